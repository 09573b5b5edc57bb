// SPDX-License-Identifier: MIT
// The requests running at this coordinator, for listing and cancellation. A team sees only its own. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::search {

class TaskRegistry {
 public:
  struct Entry {
    std::string action, description, team, opaque_id;
    std::uint64_t parent = 0;
    TimePoint started;
    std::chrono::system_clock::time_point started_wall;
    bool cancelled = false;
    std::function<void()> cancel;  // empty: not cancellable
  };
  // Keeps a task listed as long as it lives.
  class Running {
   public:
    Running(TaskRegistry& registry, Entry entry) : registry_(registry), id_(++registry.last_id_) {
      registry_.entries_[id_] = std::move(entry);
    }
    ~Running() { registry_.entries_.erase(id_); }
    Running(const Running&) = delete;
    Running& operator=(const Running&) = delete;
    std::uint64_t id() const { return id_; }
    bool cancelled() const { return registry_.entries_.at(id_).cancelled; }

   private:
    TaskRegistry& registry_;
    std::uint64_t id_;
  };

  // The tasks of a team, or all of them for "" (without team contracts).
  std::vector<std::pair<std::uint64_t, const Entry*>> list(const std::string& team) const {
    std::vector<std::pair<std::uint64_t, const Entry*>> found;
    for (const auto& [id, entry] : entries_)
      if (team.empty() || entry.team == team) found.emplace_back(id, &entry);
    return found;
  }
  const Entry* find(std::uint64_t id, const std::string& team) const {
    const auto it = entries_.find(id);
    return it == entries_.end() || (!team.empty() && it->second.team != team) ? nullptr : &it->second;
  }
  // Returns false if the task does not exist, belongs to another team or cannot be cancelled. Its child tasks
  // are cancelled too.
  bool cancel(std::uint64_t id, const std::string& team) {
    const Entry* found = find(id, team);
    if (!found || !found->cancel) return false;
    for (const auto& [child, entry] : std::map<std::uint64_t, Entry>(entries_))
      if (entry.parent == id) cancel(child, team);
    Entry& entry = entries_.at(id);
    if (!std::exchange(entry.cancelled, true)) entry.cancel();
    return true;
  }

 private:
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace kelpdeal::search
