// SPDX-License-Identifier: MIT
#include "kelpdeal/search/wildcard.h"

#include <algorithm>

#include "kelpdeal/search/parameters.h"

namespace kelpdeal::search {
namespace {

constexpr std::size_t kNotFound = std::string_view::npos;
// A search for a piece of up to this size compares each character a few times at most.
constexpr std::size_t kShortPiece = 16;

// The length of the longest proper prefix of each prefix of `piece` that is also its suffix.
std::vector<std::size_t> prefix_lengths(std::string_view piece) {
  std::vector<std::size_t> lengths(piece.size(), 0);
  for (std::size_t i = 1, matched = 0; i < piece.size(); ++i) {
    while (matched > 0 && piece[i] != piece[matched]) matched = lengths[matched - 1];
    if (piece[i] == piece[matched]) ++matched;
    lengths[i] = matched;
  }
  return lengths;
}

// The position after the first occurrence of `piece` in `text`, in linear time (Knuth, Morris and Pratt).
std::size_t end_of_first(std::string_view text, std::string_view piece) {
  if (piece.size() <= kShortPiece) {
    const std::size_t at = text.find(piece);
    return at == kNotFound ? kNotFound : at + piece.size();
  }
  const std::vector<std::size_t> lengths = prefix_lengths(piece);
  for (std::size_t i = 0, matched = 0; i < text.size(); ++i) {
    while (matched > 0 && text[i] != piece[matched]) matched = lengths[matched - 1];
    if (text[i] == piece[matched]) ++matched;
    if (matched == piece.size()) return i + 1;
  }
  return kNotFound;
}

}  // namespace

bool matches_wildcard(std::string_view pattern, std::string_view name) {
  const std::size_t first_star = pattern.find('*'), last_star = pattern.rfind('*');
  if (first_star == kNotFound) return pattern == name;
  const std::string_view prefix = pattern.substr(0, first_star), suffix = pattern.substr(last_star + 1);
  if (name.size() < prefix.size() + suffix.size() || !name.starts_with(prefix) || !name.ends_with(suffix))
    return false;
  // Between the outer stars, the first occurrence of each piece leaves the most room for the others.
  name = name.substr(prefix.size(), name.size() - prefix.size() - suffix.size());
  for (std::size_t at = first_star + 1; at <= last_star;) {
    const std::size_t end = pattern.find('*', at);
    const std::size_t used = end_of_first(name, pattern.substr(at, end - at));
    if (used == kNotFound) return false;
    name.remove_prefix(used);
    at = end + 1;
  }
  return true;
}

NamePatterns::NamePatterns(std::string_view list) {
  if (!list.empty() && list != "_all" && list != "*") patterns_ = split(list);
}

bool NamePatterns::match(std::string_view name) const {
  return patterns_.empty() ||
         std::any_of(patterns_.begin(), patterns_.end(),
                     [&](const std::string& pattern) { return matches_wildcard(pattern, name); });
}

}  // namespace kelpdeal::search
