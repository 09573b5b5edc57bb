// SPDX-License-Identifier: MIT
// One member's replica of the fleet's shared data: entries by kind and name, a change log for delta
// synchronisation, and digests that show where two replicas differ. No I/O; the caller passes the time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kelpdeal/replica/values.h"
#include "kelpdeal/time.h"

namespace kelpdeal::replica {

struct Key {
  std::uint32_t kind = 0;
  std::string name;
  auto operator<=>(const Key&) const = default;
};

struct Item {
  Key key;
  Value value;
};

struct ReplicatedMapBounds {
  std::size_t max_entries = 200'000;  // further entries are rejected
  std::size_t max_name_bytes = 256;   // of a key's name
  // Tombstones of collected entries that are kept, most recent first.
  std::size_t max_tombstones = 10'000;
  Duration retention = std::chrono::minutes(10);  // obsolete entries are kept at least this long
};

// The replica. Keys are distributed over ranges by their hashes; each range has a digest.
class ReplicatedMap {
 public:
  static constexpr std::size_t kRanges = 256;

  explicit ReplicatedMap(const ReplicatedMapBounds& bounds) : bounds_(bounds) {}

  // refused: over a limit, or of another kind.
  enum class PutResult { unchanged, changed, refused };
  // Merges a value that was created here or received from another member. changes_since() passes on what
  // changed. A value that equals the tombstone of a collected entry is ignored: the other members collect it
  // themselves. Otherwise two replicas that collect it at different times would keep passing it back and
  // forth.
  PutResult put(const Key& key, const Value& value);
  const Value* find(const Key& key) const;
  std::size_t size() const { return entries_.size(); }
  template <typename Visitor>
  void for_each(Visitor visit) const {
    for (const auto& [key, entry] : entries_) visit(key, entry.value);
  }

  // Number of entries per kind.
  const std::map<std::uint32_t, std::size_t>& counts() const { return counts_; }
  template <typename Visitor>
  void for_each_of_kind(std::uint32_t kind, Visitor visit) const {
    for (auto it = entries_.lower_bound({kind, ""}); it != entries_.end() && it->first.kind == kind; ++it)
      visit(it->first, it->second.value);
  }
  // The mark of an entry's last change; 0 if there is no such entry.
  std::uint64_t mark_of(const Key& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.changed_mark;
  }

  // Increases with each change. A peer that has received the changes up to a mark lacks only later ones.
  // Marks are specific to this replica and this process.
  std::uint64_t mark() const { return mark_; }
  // The changes after `mark`, oldest first, up to about `bytes` but at least one item. `end_mark` is the mark
  // that a receiver has reached with them.
  std::vector<Item> changes_since(std::uint64_t mark, std::size_t bytes, std::uint64_t& end_mark) const;

  // Equal digests mean equal replicas, except for a collision probability of 2^-64 per range. Updated with
  // each change.
  const std::array<std::uint64_t, kRanges>& digests() const { return digests_; }
  std::uint64_t digest() const;
  // Digest of the entries of one kind that are not obsolete; visits all of that kind. Replicas that agree
  // have equal digests even if some have already collected obsolete entries.
  std::uint64_t digest_of_live(std::uint32_t kind, std::int64_t unix_ms) const;
  static std::size_t range_of(const Key& key);
  // The entries of one range.
  std::vector<Item> range(std::size_t range) const;

  // Removes entries that are obsolete, have been so for `retention`, and have not changed since
  // `acked_by_all`, the lowest mark that every member is known to have received. Visits at most `max_visited`
  // entries and continues there in the next call while collecting(). Returns the number removed.
  std::size_t collect(std::uint64_t acked_by_all, std::int64_t unix_ms, TimePoint now,
                      std::vector<Key>* removed_keys = nullptr, std::size_t max_visited = SIZE_MAX);
  bool collecting() const { return collect_resume_key_.has_value(); }
  // The most recent tombstones: they identify stale copies of collected entries.
  const std::map<Key, Value>& tombstones() const { return tombstones_; }
  void add_tombstone(const Key& key, const Value& value);
  // Removes all entries except those selected by `keep`. For a member that was away longer than the others
  // retain obsolete entries, so that it cannot reintroduce them. It then fetches everything from the others.
  template <typename Predicate>
  void clear_except(Predicate keep) {
    std::map<Key, Value> kept;
    for (const auto& [key, entry] : entries_)
      if (keep(key, entry.value)) kept.emplace(key, entry.value);
    entries_.clear();
    counts_.clear();
    collect_resume_key_.reset();
    entries_by_mark_.clear();
    entries_by_range_ = {};
    digests_ = {};
    for (const auto& [key, value] : kept) put(key, value);
  }

 private:
  struct Entry {
    Value value;
    std::uint64_t changed_mark = 0, hash = 0;
    std::size_t bytes = 0;       // encoded, including the name
    TimePoint obsolete_since{};  // the epoch: not obsolete
  };
  static std::uint64_t hash_of(const Key& key, const std::string& encoded);
  const ReplicatedMapBounds bounds_;
  std::map<Key, Entry> entries_;
  std::map<std::uint32_t, std::size_t> counts_;  // by kind
  std::optional<Key> collect_resume_key_;        // where collect() continues
  using Node = std::pair<const Key, Entry>;      // an element of entries_; its address is stable
  std::map<std::uint64_t, const Node*> entries_by_mark_;
  std::array<std::set<const Node*>, kRanges> entries_by_range_;
  std::map<Key, Value> tombstones_;  // the most recent ones
  std::array<std::uint64_t, kRanges> digests_{};
  std::uint64_t mark_ = 0;
};

}  // namespace kelpdeal::replica
