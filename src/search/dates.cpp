// SPDX-License-Identifier: MIT
#include "kelpdeal/search/dates.h"

#include <charconv>
#include <chrono>

namespace kelpdeal::search {
namespace {

using std::chrono::days;
using std::chrono::sys_days;
using std::chrono::year_month_day;

constexpr std::int64_t kSecond = 1000, kMinute = 60 * kSecond, kHour = 60 * kMinute, kDay = 24 * kHour;

std::int64_t floor_div(std::int64_t a, std::int64_t b) { return a / b - (a % b != 0 && (a < 0) != (b < 0)); }

year_month_day date_of(std::int64_t ms) { return year_month_day(sys_days(days(floor_div(ms, kDay)))); }
std::int64_t ms_of(year_month_day date) { return sys_days(date).time_since_epoch().count() * kDay; }

// Reads `count` digits at `position`. Returns a negative value if they are not present.
int read_digits(std::string_view text, std::size_t& position, std::size_t count) {
  if (position + count > text.size()) return -1;
  int value = 0;
  const auto parsed = std::from_chars(text.data() + position, text.data() + position + count, value);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + position + count || text[position] == '-')
    return -1;
  position += count;
  return value;
}

bool skip_char(std::string_view text, std::size_t& position, char c) {
  if (position >= text.size() || text[position] != c) return false;
  ++position;
  return true;
}

std::string padded(std::int64_t value, std::size_t width) {
  std::string out = std::to_string(value);
  return out.size() < width ? std::string(width - out.size(), '0') + out : out;
}

std::int64_t add_units(std::int64_t ms, char unit, std::int64_t amount) {
  switch (unit) {
    case 's':
      return ms + amount * kSecond;
    case 'm':
      return ms + amount * kMinute;
    case 'h':
    case 'H':
      return ms + amount * kHour;
    case 'd':
      return ms + amount * kDay;
    case 'w':
      return ms + amount * 7 * kDay;
    default:
      break;
  }
  const std::int64_t ms_of_day = ms - floor_div(ms, kDay) * kDay;
  const auto months = std::chrono::months(unit == 'y' ? 12 * amount : amount);
  year_month_day moved = date_of(ms) + months;
  if (!moved.ok()) moved = moved.year() / moved.month() / std::chrono::last;
  return ms_of(moved) + ms_of_day;
}

}  // namespace

std::optional<std::int64_t> parse_zone_offset(std::string_view zone) {
  if (zone.empty() || zone == "UTC" || zone == "Z" || zone == "GMT" || zone == "Etc/UTC") return 0;
  if (zone[0] != '+' && zone[0] != '-') return std::nullopt;
  std::size_t position = 1;
  const int hours = read_digits(zone, position, 2);
  if (hours < 0 || hours > 18) return std::nullopt;
  skip_char(zone, position, ':');
  const int minutes = position == zone.size() ? 0 : read_digits(zone, position, 2);
  if (minutes < 0 || minutes > 59 || position != zone.size()) return std::nullopt;
  const std::int64_t ms = hours * kHour + minutes * kMinute;
  return zone[0] == '-' ? -ms : ms;
}

std::optional<std::int64_t> parse_date(std::string_view text) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (!text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() &&
      (text.size() != 4 || text[0] == '-'))
    return number;
  std::size_t position = 0;
  int month = 1, day = 1;
  const int year = read_digits(text, position, 4);
  if (year < 0) return std::nullopt;
  if (skip_char(text, position, '-') && (month = read_digits(text, position, 2)) < 0) return std::nullopt;
  if (skip_char(text, position, '-') && (day = read_digits(text, position, 2)) < 0) return std::nullopt;
  if (month < 1 || month > 12 || day < 1 || day > 31) return std::nullopt;
  const year_month_day date(std::chrono::year(year), std::chrono::month(static_cast<unsigned>(month)),
                            std::chrono::day(static_cast<unsigned>(day)));
  if (!date.ok()) return std::nullopt;
  std::int64_t ms = ms_of(date);
  if (skip_char(text, position, 'T') && position < text.size()) {
    const int hour = read_digits(text, position, 2);
    if (hour < 0 || hour > 23) return std::nullopt;
    ms += hour * kHour;
    for (const std::int64_t unit : {kMinute, kSecond}) {
      if (!skip_char(text, position, ':')) break;
      const int value = read_digits(text, position, 2);
      if (value < 0 || value > 59) return std::nullopt;
      ms += value * unit;
    }
    if (skip_char(text, position, '.') || skip_char(text, position, ',')) {
      std::int64_t scale = 100;
      std::size_t count = 0;
      for (; position < text.size() && text[position] >= '0' && text[position] <= '9' && count < 9;
           ++position, ++count, scale /= 10)
        ms += (text[position] - '0') * scale;
      if (count == 0) return std::nullopt;
    }
  }
  if (position == text.size()) return ms;
  const auto zone = parse_zone_offset(text.substr(position));
  if (!zone) return std::nullopt;
  return ms - *zone;
}

std::optional<std::string> format_date(std::int64_t ms, std::string_view pattern,
                                       std::int64_t zone_offset_ms) {
  if (pattern == "epoch_millis") return std::to_string(ms);
  if (pattern == "epoch_second") return std::to_string(floor_div(ms, kSecond));
  const std::int64_t local = ms + zone_offset_ms;
  const year_month_day date = date_of(local);
  const std::int64_t ms_of_day = local - floor_div(local, kDay) * kDay;
  std::string zone = "Z";
  if (zone_offset_ms != 0) {
    const std::int64_t size = zone_offset_ms < 0 ? -zone_offset_ms : zone_offset_ms;
    zone = (zone_offset_ms < 0 ? "-" : "+") + padded(size / kHour, 2) + ":" + padded(size / kMinute % 60, 2);
  }
  if (pattern == "date" || pattern == "strict_date" || pattern == "yyyy-MM-dd") pattern = "yyyy-MM-dd";
  const bool iso = pattern.empty() || pattern == "date_time" || pattern == "strict_date_time" ||
                   pattern.starts_with("strict_date_optional_time") ||
                   pattern.starts_with("date_optional_time");
  if (iso) return *format_date(ms, "yyyy-MM-dd'T'HH:mm:ss.SSS", zone_offset_ms) + zone;
  std::string out;
  for (std::size_t position = 0; position < pattern.size();) {
    const char c = pattern[position];
    if (c == '\'') {
      const std::size_t end = pattern.find('\'', position + 1);
      if (end == std::string_view::npos) return std::nullopt;
      out += end == position + 1 ? "'" : pattern.substr(position + 1, end - position - 1);
      position = end + 1;
      continue;
    }
    std::size_t count = 1;
    while (position + count < pattern.size() && pattern[position + count] == c) ++count;
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (c == 'y' || c == 'u')
      out += padded(count == 2 ? static_cast<int>(date.year()) % 100 : static_cast<int>(date.year()), count);
    else if (c == 'M' && count <= 2)
      out += padded(static_cast<unsigned>(date.month()), count);
    else if (c == 'd' && count <= 2)
      out += padded(static_cast<unsigned>(date.day()), count);
    else if (c == 'H')
      out += padded(ms_of_day / kHour, count);
    else if (c == 'm')
      out += padded(ms_of_day / kMinute % 60, count);
    else if (c == 's')
      out += padded(ms_of_day / kSecond % 60, count);
    else if (c == 'S' && count <= 3)
      out += padded(ms_of_day % 1000, 3).substr(0, count);
    else if (c == 'X')
      out += zone;
    else if (letter)
      return std::nullopt;
    else
      out.append(count, c);
    position += count;
  }
  return out;
}

std::int64_t start_of_unit(std::int64_t ms, std::string_view unit, std::int64_t zone_offset_ms) {
  const std::int64_t local = ms + zone_offset_ms;
  const auto floor_to_span = [&](std::int64_t span) {
    return floor_div(local, span) * span - zone_offset_ms;
  };
  if (unit == "second") return floor_to_span(kSecond);
  if (unit == "minute") return floor_to_span(kMinute);
  if (unit == "hour") return floor_to_span(kHour);
  if (unit == "day") return floor_to_span(kDay);
  // Weeks start on Monday; 1970-01-01 was a Thursday.
  if (unit == "week") return floor_div(local + 3 * kDay, 7 * kDay) * 7 * kDay - 3 * kDay - zone_offset_ms;
  const year_month_day date = date_of(local);
  auto month = static_cast<unsigned>(date.month());
  if (unit == "quarter") month = (month - 1) / 3 * 3 + 1;
  if (unit == "year") month = 1;
  return ms_of(date.year() / std::chrono::month(month) / 1) - zone_offset_ms;
}

std::int64_t start_of_next_unit(std::int64_t start, std::string_view unit, std::int64_t zone_offset_ms) {
  static constexpr std::pair<std::string_view, std::int64_t> spans[] = {
      {"second", kSecond}, {"minute", kMinute}, {"hour", kHour}, {"day", kDay}, {"week", 7 * kDay}};
  for (const auto& [name, span] : spans)
    if (unit == name) return start + span;
  const int months = unit == "month" ? 1 : unit == "quarter" ? 3 : 12;
  return add_units(start + zone_offset_ms, 'M', months) - zone_offset_ms;
}

std::string_view parse_calendar_unit(std::string_view text) {
  static constexpr std::string_view units[][3] = {
      {"minute", "1m", "m"}, {"hour", "1h", "h"},    {"day", "1d", "d"}, {"week", "1w", "w"},
      {"month", "1M", "M"},  {"quarter", "1q", "q"}, {"year", "1y", "y"}};
  for (const auto& unit : units)
    for (const std::string_view name : unit)
      if (text == name) return unit[0];
  return {};
}

std::optional<std::int64_t> evaluate_date_math(std::string_view text, std::int64_t now_ms) {
  std::int64_t ms = now_ms;
  if (text.starts_with("now")) {
    text.remove_prefix(3);
  } else if (const std::size_t bars = text.find("||"); bars != std::string_view::npos) {
    const auto anchor = parse_date(text.substr(0, bars));
    if (!anchor) return std::nullopt;
    ms = *anchor;
    text.remove_prefix(bars + 2);
  } else {
    return std::nullopt;
  }
  for (std::size_t position = 0; position < text.size();) {
    const char sign = text[position++];
    if (sign == '/') {
      if (position >= text.size()) return std::nullopt;
      const std::string_view unit = text[position] == 's'   ? "second"
                                    : text[position] == 'H' ? "hour"
                                                            : parse_calendar_unit(text.substr(position, 1));
      if (unit.empty()) return std::nullopt;
      ms = start_of_unit(ms, unit, 0);
      ++position;
      continue;
    }
    if (sign != '+' && sign != '-') return std::nullopt;
    int amount = 1;
    const auto parsed = std::from_chars(text.data() + position, text.data() + text.size(), amount);
    if (parsed.ec == std::errc()) position = static_cast<std::size_t>(parsed.ptr - text.data());
    // Bounds the amount so that the date stays within the calendar's range.
    if (position >= text.size() ||
        std::string_view("smhHdwMy").find(text[position]) == std::string_view::npos || amount < 0 ||
        amount > 100'000)
      return std::nullopt;
    ms = add_units(ms, text[position++], sign == '-' ? -amount : amount);
  }
  return ms;
}

}  // namespace kelpdeal::search
