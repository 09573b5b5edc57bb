// SPDX-License-Identifier: MIT
// The cursors that are open and those that were cleared. No operation takes time in proportion to their
// number, except for those that list or clear all cursors of a team.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "kelpdeal/search/cursor.h"

namespace kelpdeal::search {

// Values by cursor number, each with the time at which it expires.
template <typename Value>
class ExpiringMap {
 public:
  struct Entry {
    Value value;
    WallClock::time_point expires;
  };
  std::size_t size() const { return entries_.size(); }
  const std::map<std::uint64_t, Entry>& entries() const { return entries_; }
  bool contains(std::uint64_t number) const { return entries_.contains(number); }
  // False if the number is there already; its entry stays as it is.
  bool insert(std::uint64_t number, Value value, WallClock::time_point expires) {
    if (!entries_.try_emplace(number, Entry{std::move(value), expires}).second) return false;
    by_expiry_.emplace(expires, number);
    return true;
  }
  // Makes an entry expire at `expires` or when it would have, whichever is later. False if it is not there.
  bool extend(std::uint64_t number, WallClock::time_point expires) {
    const auto it = entries_.find(number);
    if (it == entries_.end()) return false;
    if (expires <= it->second.expires) return true;
    by_expiry_.erase({it->second.expires, number});
    by_expiry_.emplace(expires, number);
    it->second.expires = expires;
    return true;
  }
  // Removes an entry, and returns its value.
  std::optional<Value> remove(std::uint64_t number) {
    const auto it = entries_.find(number);
    if (it == entries_.end()) return std::nullopt;
    by_expiry_.erase({it->second.expires, number});
    std::optional<Value> value(std::move(it->second.value));
    entries_.erase(it);
    return value;
  }
  // The number of the entry that expires first, if it does so by `latest`.
  std::optional<std::uint64_t> first_expiring(WallClock::time_point latest) const {
    if (by_expiry_.empty() || by_expiry_.begin()->first > latest) return std::nullopt;
    return by_expiry_.begin()->second;
  }

 private:
  std::map<std::uint64_t, Entry> entries_;
  std::set<std::pair<WallClock::time_point, std::uint64_t>> by_expiry_;
};

// Cleared cursors, as shared between coordinators.
class SharedCursors {
 public:
  virtual ~SharedCursors() = default;
  virtual bool cleared(std::uint64_t number) = 0;
  // `until`: when the cursor would have expired.
  virtual void clear(std::uint64_t number, WallClock::time_point until) = 0;
};

// The cursors known to this coordinator: enforces the limits on open cursors and records which were cleared
// here.
class CursorRegistry {
 public:
  struct Bounds {
    std::size_t max_per_team = 500, max_total = 10'000;
    Duration max_keep_alive = std::chrono::hours(24);
  };
  explicit CursorRegistry(Bounds bounds) : bounds_(bounds) {}
  // `shared` must outlive this object.
  void share(SharedCursors& shared) { shared_ = &shared; }

  // Returns false if the team's limit or the total limit is reached.
  bool open(const Cursor& cursor, WallClock::time_point now);
  // Continues a cursor, opened here or at another coordinator. Returns false if it was cleared here or at a
  // coordinator that shares its clears.
  bool renew(const Cursor& cursor, WallClock::time_point now);
  // Returns true if it was not cleared before.
  bool clear(const Cursor& cursor, WallClock::time_point now);
  // Clears all cursors of the team and kind opened up to now. Returns how many of them were known here;
  // nothing if too many teams have done so, and nothing was cleared.
  std::optional<std::size_t> clear_all(const std::string& team, Cursor::Kind kind, WallClock::time_point now);
  struct Entry {
    std::string team;
    Cursor::Kind kind = Cursor::Kind::scroll;
    WallClock::time_point opened;
  };
  using Entries = std::map<std::uint64_t, ExpiringMap<Entry>::Entry>;
  Entries list(const std::string& team, Cursor::Kind kind, WallClock::time_point now);
  std::size_t size() const { return open_.size(); }

 private:
  void remove_expired(WallClock::time_point now);
  void add(const Cursor& cursor);
  void remove(std::uint64_t number);
  const Bounds bounds_;
  ExpiringMap<Entry> open_;
  std::map<std::string, std::size_t> open_by_team_;
  struct Cleared {};
  ExpiringMap<Cleared> cleared_;
  std::map<std::pair<std::string, Cursor::Kind>, WallClock::time_point> cleared_all_;
  SharedCursors* shared_ = nullptr;
};

}  // namespace kelpdeal::search
