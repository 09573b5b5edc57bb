// SPDX-License-Identifier: MIT
#include "kelpdeal/connect_backoff.h"

#include <algorithm>

namespace kelpdeal {

cottonbay::Outcome ConnectBackoff::on_failure(std::size_t established, Duration elapsed, TimePoint now) {
  interval_ = std::clamp(2 * interval_, bounds_.min_interval, bounds_.max_interval);
  next_attempt_ =
      now + to_duration(FractionalMs(interval_) * std::uniform_real_distribution<>(0.5, 1)(random_));
  // If the machine went down, its connections still look established, but a new connect times out. A timeout
  // therefore never counts as `full`.
  return established > 0 && elapsed < bounds_.timeout ? cottonbay::Outcome::full
                                                      : cottonbay::Outcome::connect_failed;
}

}  // namespace kelpdeal
