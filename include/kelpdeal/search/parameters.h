// SPDX-License-Identifier: MIT
// The parameters of a request's query string: each is asked for by name, and one that nobody asked for is an
// error, as it would be passed over without a word.
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
  explicit Parameters(std::vector<std::pair<std::string, std::string>> given) : given_(std::move(given)) {}
  // Marks it as known, given or not.
  std::optional<std::string> get(std::string_view name);
  std::optional<bool> flag(std::string_view name);  // throws ApiError
  std::optional<std::size_t> count(std::string_view name, std::size_t most);
  void accept(std::string_view names);  // known, and of no consequence here: "a b c"
  // Takes the place of what was given.
  void set(const std::string& name, std::string value);
  // Throws ApiError that names those nobody asked for.
  void reject_unknown(std::string_view path) const;

 private:
  std::vector<std::pair<std::string, std::string>> given_;
  std::set<std::string, std::less<>> known_;
};

// "a,b" to its words; "" is one empty word.
std::vector<std::string> split(std::string_view text, char at = ',');
// The same as a list of texts.
json::Array split_to_json_array(std::string_view text);

bool read_flag(std::string_view text, std::string_view name);
std::size_t read_count(std::string_view text, std::string_view name, std::size_t most);

}  // namespace kelpdeal::search
