// SPDX-License-Identifier: MIT
// Counters of what is taken in, sent and answered, and a log whose lines are counted and rate-limited.
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

  void count(std::string_view name, std::uint64_t by = 1);
  std::uint64_t value(std::string_view name) const;
  const std::map<std::string, std::uint64_t, std::less<>>& all() const { return counters_; }
  // "name value" lines, sorted by name.
  std::string text() const;

  // A line on standard error, "kelpdeal KIND: text". Of one kind, at most one line in a span is written; the
  // next written tells how many were left out. Each counts as log.KIND.
  void log(std::string_view kind, std::string_view text);

 private:
  struct Kind {
    TimePoint next;
    std::uint64_t left_out = 0;
  };
  Duration log_interval_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, Kind, std::less<>> kinds_;
};

}  // namespace kelpdeal
