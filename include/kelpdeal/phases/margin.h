// SPDX-License-Identifier: MIT
// Estimates the time from the decision of an answer until it has been sent. A phase that must leave time for
// sending an answer ends earlier by this margin. Performs no I/O.
//
// Method: smoothed mean plus four smoothed deviations, with the gains of RFC 6298 (1/8 and 1/4), clamped to
// bounds. Before the first observation the margin is `initial`.
#pragma once

#include "kelpdeal/time.h"

namespace kelpdeal::phases {

class MarginEstimator {
 public:
  struct Bounds {
    Duration initial = Milliseconds(10), min = Milliseconds(2), max = Milliseconds(100);
  };
  explicit MarginEstimator(const Bounds& bounds) : bounds_(bounds) {}

  void observe(Duration elapsed);
  Duration margin() const;

 private:
  Bounds bounds_;
  bool has_samples_ = false;
  double mean_ms_ = 0, deviation_ms_ = 0;
};

}  // namespace kelpdeal::phases
