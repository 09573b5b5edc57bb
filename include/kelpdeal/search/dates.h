// SPDX-License-Identifier: MIT
// Dates in the search API's formats: milliseconds since 1970, ISO 8601, format patterns, date math.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kelpdeal::search {

// Parses "2026-03-31" or "2026-03-31T08:00:00.000Z", also with an offset such as "+01:00", or a plain number
// of milliseconds.
std::optional<std::int64_t> parse_date(std::string_view text);
// Formats with a pattern of yyyy uuuu MM dd HH mm ss SSS and quoted text, or with one of the named formats
// date, date_time, strict_date_optional_time, epoch_millis, epoch_second. Returns nothing for a pattern with
// other letters.
std::optional<std::string> format_date(std::int64_t ms, std::string_view pattern,
                                       std::int64_t zone_offset_ms);
// The UTC offset in milliseconds of "UTC", "Z" or "+01:00"; nothing for a zone known by name.
std::optional<std::int64_t> parse_zone_offset(std::string_view zone);
// The start of the calendar unit that contains `ms`, and of the one after it. Units: minute ... year, in a
// zone with the UTC offset `zone_offset_ms`.
std::int64_t start_of_unit(std::int64_t ms, std::string_view unit, std::int64_t zone_offset_ms);
std::int64_t start_of_next_unit(std::int64_t start, std::string_view unit, std::int64_t zone_offset_ms);
// The name of the unit that "m", "1m", "minute" ... denote; empty for other text.
std::string_view parse_calendar_unit(std::string_view text);
// Evaluates "now/d", "now-1M/M" or "2026-03-31||+1d/d" at the time `now_ms`. Returns nothing for invalid
// text.
std::optional<std::int64_t> evaluate_date_math(std::string_view text, std::int64_t now_ms);

}  // namespace kelpdeal::search
