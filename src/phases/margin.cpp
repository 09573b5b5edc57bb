// SPDX-License-Identifier: MIT
#include "kelpdeal/phases/margin.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal::phases {

void MarginEstimator::observe(Duration elapsed) {
  const double ms = std::max(FractionalMs(elapsed).count(), 0.0);
  if (!has_samples_) {
    has_samples_ = true;
    mean_ms_ = ms;
    deviation_ms_ = ms / 2;
    return;
  }
  deviation_ms_ += (std::abs(ms - mean_ms_) - deviation_ms_) / 4;
  mean_ms_ += (ms - mean_ms_) / 8;
}

Duration MarginEstimator::margin() const {
  if (!has_samples_) return bounds_.initial;
  return std::clamp(to_duration(FractionalMs(mean_ms_ + 4 * deviation_ms_)), bounds_.min, bounds_.max);
}

}  // namespace kelpdeal::phases
