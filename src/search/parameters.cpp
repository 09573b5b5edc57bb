// SPDX-License-Identifier: MIT
#include "kelpdeal/search/parameters.h"

#include <algorithm>
#include <charconv>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> words;
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t end = std::min(text.find(separator, from), text.size());
    words.emplace_back(text.substr(from, end - from));
    from = end + 1;
  }
  return words;
}

json::Array split_to_json_array(std::string_view text) {
  json::Array list;
  for (std::string& word : split(text)) list.emplace_back(std::move(word));
  return list;
}

bool read_flag(std::string_view text, std::string_view name) {
  if (text == "true" || text.empty()) return true;
  if (text == "false") return false;
  throw_illegal_argument("Failed to parse value [" + truncated(text, 40) + "] of [" + std::string(name) +
                         "] as only [true] or [false] are allowed.");
}

std::size_t read_count(std::string_view text, std::string_view name, std::size_t max_value) {
  std::size_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      value > max_value)
    throw_illegal_argument("failed to parse [" + std::string(name) + "] with value [" + truncated(text, 40) +
                           "]: it must be a whole number from 0 to " + std::to_string(max_value));
  return value;
}

std::optional<std::string> Parameters::get(std::string_view name) {
  known_.emplace(name);
  for (const auto& [key, value] : values_)
    if (key == name) return value;
  return std::nullopt;
}

std::optional<bool> Parameters::flag(std::string_view name) {
  const auto text = get(name);
  if (!text) return std::nullopt;
  return read_flag(*text, name);
}

std::optional<std::size_t> Parameters::count(std::string_view name, std::size_t max_value) {
  const auto text = get(name);
  if (!text) return std::nullopt;
  return read_count(*text, name, max_value);
}

void Parameters::accept(std::string_view names) {
  for (std::string& name : split(names, ' ')) known_.insert(std::move(name));
}

void Parameters::set(const std::string& name, std::string value) {
  std::erase_if(values_, [&](const auto& parameter) { return parameter.first == name; });
  values_.emplace_back(name, std::move(value));
}

void Parameters::reject_unknown(std::string_view path) const {
  std::string unknown;
  for (const auto& [key, value] : values_)
    if (!known_.contains(key)) unknown += (unknown.empty() ? "[" : ", [") + truncated(key, 40) + "]";
  if (!unknown.empty())
    throw_illegal_argument("request [" + truncated(path) + "] contains unrecognized parameter: " + unknown);
}

}  // namespace kelpdeal::search
