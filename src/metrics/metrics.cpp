// SPDX-License-Identifier: MIT
#include "kelpdeal/metrics.h"

#include <cstdio>

namespace kelpdeal {

void Metrics::count(std::string_view name, std::uint64_t increment) {
  const auto it = counters_.find(name);
  if (it != counters_.end())
    it->second += increment;
  else
    counters_.emplace(name, increment);
}

void Metrics::raise(std::string_view name, std::uint64_t value) {
  if (const std::uint64_t known = this->value(name); known < value) count(name, value - known);
}

std::uint64_t Metrics::value(std::string_view name) const {
  const auto it = counters_.find(name);
  return it == counters_.end() ? 0 : it->second;
}

std::string Metrics::text() const {
  std::string out;
  for (const auto& [name, value] : counters_) out += name + " " + std::to_string(value) + "\n";
  return out;
}

void Metrics::log(std::string_view kind, std::string_view text) {
  count("log." + std::string(kind));
  LogState& state = log_states_[std::string(kind)];
  const TimePoint now = Clock::now();
  if (now < state.next_line) {
    ++state.suppressed;
    return;
  }
  std::string line = "kelpdeal " + std::string(kind) + ": ";
  for (const char c : text.substr(0, 400)) line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  if (state.suppressed > 0) line += " (and " + std::to_string(state.suppressed) + " more like it)";
  std::fprintf(stderr, "%s\n", line.c_str());
  state = {now + log_interval_, 0};
}

}  // namespace kelpdeal
