// SPDX-License-Identifier: MIT
// The clock of the whole program. Milliseconds as plain numbers appear only where the module is called
// (src/broker/driver.cpp) and in wire formats.
#pragma once

#include <chrono>

namespace kelpdeal {

using Clock = std::chrono::steady_clock;
using Duration = Clock::duration;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using FractionalMs = std::chrono::duration<double, std::milli>;

inline constexpr TimePoint kNever = TimePoint::max();

inline Duration to_duration(FractionalMs ms) { return std::chrono::duration_cast<Duration>(ms); }

}  // namespace kelpdeal
