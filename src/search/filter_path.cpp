// SPDX-License-Identifier: MIT
#include "kelpdeal/search/filter_path.h"

#include <algorithm>
#include <vector>

#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/parameters.h"
#include "kelpdeal/search/wildcard.h"

namespace kelpdeal::search {
namespace {

using Path = std::vector<std::string>;
// The positions reached in the paths, sorted: each a path with the number of its names already matched.
using MatchState = std::vector<std::pair<std::size_t, std::size_t>>;

constexpr std::size_t kMaxFilterSteps = 2'000'000;
constexpr std::size_t kCharactersPerStep = 16;

class Filter {
 public:
  Filter(const std::string& paths, bool exclusions, std::size_t max_paths) {
    for (std::string& path : split(paths)) {
      if (path.starts_with('-') != exclusions) continue;
      if (exclusions) path.erase(0, 1);
      if (!path.empty()) add(path, max_paths);
    }
  }
  bool empty() const { return paths_.empty(); }
  MatchState start() const {
    MatchState state;
    for (std::size_t i = 0; i < paths_.size(); ++i) add_position(state, i, 0);
    return state;
  }
  // Throws ApiError once the paths have taken too many steps for the whole body.
  MatchState step(const MatchState& state, const std::string& name) const {
    MatchState next;
    for (const auto& [path, position] : state) {
      if (position >= paths_[path].size()) continue;
      const std::string& pattern = paths_[path][position];
      spend(1 + (pattern.size() + name.size()) / kCharactersPerStep);
      if (pattern == "**")
        add_position(next, path, position);
      else if (matches_wildcard(pattern, name))
        add_position(next, path, position + 1);
    }
    std::sort(next.begin(), next.end());
    next.erase(std::unique(next.begin(), next.end()), next.end());
    return next;
  }
  bool is_complete(const MatchState& state) const {
    return std::any_of(state.begin(), state.end(),
                       [&](const auto& place) { return place.second >= paths_[place.first].size(); });
  }

 private:
  void add(const std::string& path, std::size_t max_paths) {
    Path names = split(path, '.');
    if (paths_.size() >= max_paths || names.size() > 64)
      throw_illegal_argument("[filter_path] has too many parts");
    paths_.push_back(std::move(names));
  }
  // ** also matches zero levels.
  void add_position(MatchState& state, std::size_t path, std::size_t position) const {
    spend(1);
    state.emplace_back(path, position);
    if (position < paths_[path].size() && paths_[path][position] == "**")
      add_position(state, path, position + 1);
  }
  void spend(std::size_t steps) const {
    steps_ += steps;
    if (steps_ > kMaxFilterSteps)
      throw_illegal_argument("[filter_path] takes too many steps for an answer of this size");
  }
  std::vector<Path> paths_;
  mutable std::size_t steps_ = 0;
};

// Copies the included parts of `value` to `out`. Returns false if there are none.
bool include_matching(const Filter& filter, const MatchState& state, const json::Value& value,
                      json::Value& out) {
  if (filter.is_complete(state)) return out = value, true;
  if (state.empty()) return false;
  if (const json::Object* members = value.object()) {
    json::Object remaining;
    for (const auto& [name, member] : *members) {
      json::Value kept_member;
      if (include_matching(filter, filter.step(state, name), member, kept_member))
        remaining.emplace_back(name, std::move(kept_member));
    }
    if (remaining.empty()) return false;
    out = std::move(remaining);
    return true;
  }
  if (const json::Array* items = value.array()) {
    json::Array remaining;
    for (const json::Value& item : *items) {
      json::Value kept_member;
      if (include_matching(filter, state, item, kept_member)) remaining.push_back(std::move(kept_member));
    }
    if (remaining.empty()) return false;
    out = std::move(remaining);
    return true;
  }
  return false;
}

json::Value exclude_matching(const Filter& filter, const MatchState& state, const json::Value& value) {
  if (const json::Object* members = value.object()) {
    json::Object remaining;
    for (const auto& [name, member] : *members) {
      const MatchState next = filter.step(state, name);
      if (!filter.is_complete(next)) remaining.emplace_back(name, exclude_matching(filter, next, member));
    }
    return remaining;
  }
  if (const json::Array* items = value.array()) {
    json::Array remaining;
    for (const json::Value& item : *items) remaining.push_back(exclude_matching(filter, state, item));
    return remaining;
  }
  return value;
}

}  // namespace

json::Value filter_path(const json::Value& body, const std::string& paths, std::size_t max_paths) {
  const Filter included(paths, false, max_paths), excluded(paths, true, max_paths);
  json::Value remaining;
  if (!excluded.empty()) remaining = exclude_matching(excluded, excluded.start(), body);
  const json::Value& value = excluded.empty() ? body : remaining;
  if (included.empty()) return value;
  json::Value kept;
  if (!include_matching(included, included.start(), value, kept)) return json::Object{};
  return kept;
}

}  // namespace kelpdeal::search
