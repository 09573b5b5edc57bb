// SPDX-License-Identifier: MIT
// Named counters, and a log whose lines are counted and rate-limited.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kelpdeal/time.h"

namespace kelpdeal {

class Metrics {
 public:
  explicit Metrics(Duration log_interval) : log_interval_(log_interval) {}

  void count(std::string_view name, std::uint64_t increment = 1);
  // Raises the value to `value` if it is lower: for maxima.
  void raise(std::string_view name, std::uint64_t value);
  std::uint64_t value(std::string_view name) const;
  const std::map<std::string, std::uint64_t, std::less<>>& all() const { return counters_; }
  // "name value" lines, sorted by name.
  std::string text() const;

  // Writes "kelpdeal KIND: text" to standard error. Per kind, at most one line is written per log interval;
  // the next line states how many were suppressed. Every call increments the counter log.KIND.
  void log(std::string_view kind, std::string_view text);

 private:
  struct LogState {
    TimePoint next_line;
    std::uint64_t suppressed = 0;
  };
  Duration log_interval_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, LogState, std::less<>> log_states_;
};

}  // namespace kelpdeal
