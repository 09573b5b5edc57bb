// SPDX-License-Identifier: MIT
#include "kelpdeal/connect_backoff.h"

#include <algorithm>

namespace kelpdeal {

cottonbay::Outcome ConnectBackoff::failed(std::size_t up, Duration took, TimePoint now) {
  pause_ = std::clamp(2 * pause_, bounds_.least, bounds_.most);
  next_ = now + to_duration(FractionalMs(pause_) * std::uniform_real_distribution<>(0.5, 1)(random_));
  // Guards against a machine that vanished: its connections stay up, and no new one comes up in time.
  return up > 0 && took < bounds_.timeout ? cottonbay::Outcome::full : cottonbay::Outcome::connect_failed;
}

}  // namespace kelpdeal
