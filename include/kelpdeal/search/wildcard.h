// SPDX-License-Identifier: MIT
// Patterns of names, in which "*" matches any sequence of characters.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace kelpdeal::search {

// Takes time proportional to the sizes of the pattern and the name.
bool matches_wildcard(std::string_view pattern, std::string_view name);

// A list of patterns such as "a,b*", split once for many names.
class NamePatterns {
 public:
  explicit NamePatterns(std::string_view list);
  // Whether one of the patterns matches. An empty list, "*" and "_all" match every name.
  bool match(std::string_view name) const;

 private:
  std::vector<std::string> patterns_;  // empty: every name matches
};

}  // namespace kelpdeal::search
