// SPDX-License-Identifier: MIT
// What runs at this coordinator, for those who look at it or stop it. A team sees its own. No I/O.
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
    std::string action, what, team, opaque;
    std::uint64_t parent = 0;
    TimePoint begun;
    std::chrono::system_clock::time_point begun_wall;
    bool cancelled = false;
    std::function<void()> cancel;  // empty: it cannot be
  };
  // Listed for as long as this lives.
  class Running {
   public:
    Running(TaskRegistry& book, Entry entry) : book_(book), id_(++book.last_) {
      book_.entries_[id_] = std::move(entry);
    }
    ~Running() { book_.entries_.erase(id_); }
    Running(const Running&) = delete;
    Running& operator=(const Running&) = delete;
    std::uint64_t id() const { return id_; }
    bool cancelled() const { return book_.entries_.at(id_).cancelled; }

   private:
    TaskRegistry& book_;
    std::uint64_t id_;
  };

  // Of a team; "" sees all (where there are no teams).
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
  // False if it is not there, not the team's, or cannot be cancelled. Its children are cancelled with it.
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
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace kelpdeal::search
