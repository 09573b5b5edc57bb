// SPDX-License-Identifier: MIT
// How long an answer takes from its decision until it is out, so that a phase which must leave time for it
// can end so much earlier. No I/O.
//
// Method: smoothed mean plus four smoothed deviations, with the gains of RFC 6298 (1/8 and 1/4), within
// bounds. Before the first answer the margin is `first`.
#pragma once

#include "kelpdeal/time.h"

namespace kelpdeal::phases {

class MarginEstimator {
 public:
  struct Bounds {
    Duration initial = Milliseconds(10), min = Milliseconds(2), max = Milliseconds(100);
  };
  explicit MarginEstimator(const Bounds& bounds) : bounds_(bounds) {}

  void observe(Duration took);
  Duration margin() const;

 private:
  Bounds bounds_;
  bool known_ = false;
  double mean_ms_ = 0, dev_ms_ = 0;
};

}  // namespace kelpdeal::phases
