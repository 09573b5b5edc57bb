// SPDX-License-Identifier: MIT
// The parameters of a request's query string. Each is read by name; one that no code reads is reported as an
// error, because it would otherwise be ignored silently.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

class Parameters {
 public:
  Parameters() = default;
  explicit Parameters(std::vector<std::pair<std::string, std::string>> values) : values_(std::move(values)) {}
  // Returns the value if given, and marks the name as known.
  std::optional<std::string> get(std::string_view name);
  std::optional<bool> flag(std::string_view name);  // throws ApiError
  std::optional<std::size_t> count(std::string_view name, std::size_t max_value);
  void accept(std::string_view names);  // marks space-separated names as known but without effect
  // Replaces the value of a parameter.
  void set(const std::string& name, std::string value);
  // Throws ApiError listing the parameters that were not read or accepted.
  void reject_unknown(std::string_view path) const;

 private:
  std::vector<std::pair<std::string, std::string>> values_;
  std::set<std::string, std::less<>> known_;
};

// Splits "a,b" into its words; "" is one empty word.
std::vector<std::string> split(std::string_view text, char separator = ',');
// The same as a JSON array of strings.
json::Array split_to_json_array(std::string_view text);

bool read_flag(std::string_view text, std::string_view name);
std::size_t read_count(std::string_view text, std::string_view name, std::size_t max_value);

}  // namespace kelpdeal::search
