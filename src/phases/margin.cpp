// SPDX-License-Identifier: MIT
#include "kelpdeal/phases/margin.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal::phases {

void MarginEstimator::observe(Duration took) {
  const double ms = std::max(FractionalMs(took).count(), 0.0);
  if (!known_) {
    known_ = true;
    mean_ms_ = ms;
    dev_ms_ = ms / 2;
    return;
  }
  dev_ms_ += (std::abs(ms - mean_ms_) - dev_ms_) / 4;
  mean_ms_ += (ms - mean_ms_) / 8;
}

Duration MarginEstimator::margin() const {
  if (!known_) return bounds_.initial;
  return std::clamp(to_duration(FractionalMs(mean_ms_ + 4 * dev_ms_)), bounds_.min, bounds_.max);
}

}  // namespace kelpdeal::phases
