// SPDX-License-Identifier: MIT
// Clock and duration types used throughout the program. Plain numbers of milliseconds appear only at the
// decision module's interface (src/broker/driver.cpp) and in wire formats.
#pragma once

#include <chrono>

namespace kelpdeal {

using Clock = std::chrono::steady_clock;
using Duration = Clock::duration;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using FractionalMs = std::chrono::duration<double, std::milli>;

// As a deadline: none.
inline constexpr TimePoint kNever = TimePoint::max();

inline Duration to_duration(FractionalMs ms) { return std::chrono::duration_cast<Duration>(ms); }

}  // namespace kelpdeal
