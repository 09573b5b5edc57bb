// SPDX-License-Identifier: MIT
// Event queue on a virtual clock that jumps from one event to the next.
#pragma once

#include <functional>
#include <map>

#include "kelpdeal/time.h"

namespace kelpdeal::test {

class VirtualTime {
 public:
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  void schedule_after(Duration duration, std::function<void()> event) {
    events_.emplace(now + duration, std::move(event));
  }
  void run(Duration duration) {
    const TimePoint end = now + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      now = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    now = end;
  }

 private:
  std::multimap<TimePoint, std::function<void()>> events_;
};

}  // namespace kelpdeal::test
