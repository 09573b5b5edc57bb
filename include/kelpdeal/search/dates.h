// SPDX-License-Identifier: MIT
// Dates as the search API writes them: milliseconds since 1970, ISO 8601, format patterns, date maths.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kelpdeal::search {

// "2026-03-31", "2026-03-31T08:00:00.000Z", "+01:00" at the end; also a plain number of milliseconds.
std::optional<std::int64_t> parse_date(std::string_view text);
// By a pattern of yyyy uuuu MM dd HH mm ss SSS and quoted text, or one of the names date, date_time,
// strict_date_optional_time, epoch_millis, epoch_second; nothing for a pattern of other letters.
std::optional<std::string> format_date(std::int64_t ms, std::string_view pattern, std::int64_t zone_ms);
// "UTC", "Z", "+01:00"; nothing for a zone that is known by a name.
std::optional<std::int64_t> parse_zone_offset(std::string_view zone);
// The start of the unit that `ms` lies in, and of the one after it. Units: minute ... year, with `zone_ms`.
std::int64_t start_of_unit(std::int64_t ms, std::string_view unit, std::int64_t zone_ms);
std::int64_t start_of_next_unit(std::int64_t start, std::string_view unit, std::int64_t zone_ms);
// "m", "1m", "minute" ... to the unit's name; empty if it is none.
std::string_view parse_calendar_unit(std::string_view text);
// "now/d", "now-1M/M", "2026-03-31||+1d/d" at the time `now_ms`. Nothing if it is no date maths.
std::optional<std::int64_t> evaluate_date_math(std::string_view text, std::int64_t now_ms);

}  // namespace kelpdeal::search
