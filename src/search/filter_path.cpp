// SPDX-License-Identifier: MIT
#include "kelpdeal/search/filter_path.h"

#include <algorithm>
#include <set>
#include <vector>

#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/names.h"
#include "kelpdeal/search/parameters.h"

namespace kelpdeal::search {
namespace {

using Path = std::vector<std::string>;
// Where we are in the paths: each with how many of its names are behind us.
using State = std::set<std::pair<std::size_t, std::size_t>>;

class Filter {
 public:
  Filter(const std::string& paths, bool leave_out, std::size_t most) {
    for (std::string& path : split(paths)) {
      if (path.starts_with('-') != leave_out) continue;
      if (leave_out) path.erase(0, 1);
      if (!path.empty()) add(path, most);
    }
  }
  bool empty() const { return paths_.empty(); }
  State start() const {
    State state;
    for (std::size_t i = 0; i < paths_.size(); ++i) enter(state, i, 0);
    return state;
  }
  State step(const State& state, const std::string& name) const {
    State next;
    for (const auto& [path, at] : state) {
      if (at >= paths_[path].size()) continue;
      const std::string& pattern = paths_[path][at];
      if (pattern == "**")
        enter(next, path, at);
      else if (matches_wildcard(pattern, name))
        enter(next, path, at + 1);
    }
    return next;
  }
  bool done(const State& state) const {
    return std::any_of(state.begin(), state.end(),
                       [&](const auto& place) { return place.second >= paths_[place.first].size(); });
  }

 private:
  void add(const std::string& path, std::size_t most) {
    Path names = split(path, '.');
    if (paths_.size() >= most || names.size() > 64)
      throw_illegal_argument("[filter_path] has too many parts");
    paths_.push_back(std::move(names));
  }
  // ** stands for no name too.
  void enter(State& state, std::size_t path, std::size_t at) const {
    state.emplace(path, at);
    if (at < paths_[path].size() && paths_[path][at] == "**") enter(state, path, at + 1);
  }
  std::vector<Path> paths_;
};

// False if nothing of it is left.
bool keep(const Filter& filter, const State& state, const json::Value& value, json::Value& out) {
  if (filter.done(state)) return out = value, true;
  if (state.empty()) return false;
  if (const json::Object* members = value.object()) {
    json::Object left;
    for (const auto& [name, member] : *members) {
      json::Value inner;
      if (keep(filter, filter.step(state, name), member, inner)) left.emplace_back(name, std::move(inner));
    }
    if (left.empty()) return false;
    out = std::move(left);
    return true;
  }
  if (const json::Array* items = value.array()) {
    json::Array left;
    for (const json::Value& item : *items) {
      json::Value inner;
      if (keep(filter, state, item, inner)) left.push_back(std::move(inner));
    }
    if (left.empty()) return false;
    out = std::move(left);
    return true;
  }
  return false;
}

json::Value leave_out(const Filter& filter, const State& state, const json::Value& value) {
  if (const json::Object* members = value.object()) {
    json::Object left;
    for (const auto& [name, member] : *members) {
      const State next = filter.step(state, name);
      if (!filter.done(next)) left.emplace_back(name, leave_out(filter, next, member));
    }
    return left;
  }
  if (const json::Array* items = value.array()) {
    json::Array left;
    for (const json::Value& item : *items) left.push_back(leave_out(filter, state, item));
    return left;
  }
  return value;
}

}  // namespace

json::Value filter_path(const json::Value& body, const std::string& paths, std::size_t most) {
  const Filter in(paths, false, most), out(paths, true, most);
  json::Value value = body;
  if (!out.empty()) value = leave_out(out, out.start(), value);
  if (in.empty()) return value;
  json::Value kept;
  if (!keep(in, in.start(), value, kept)) return json::Object{};
  return kept;
}

}  // namespace kelpdeal::search
