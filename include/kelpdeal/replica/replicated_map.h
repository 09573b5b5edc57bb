// SPDX-License-Identifier: MIT
// One member's copy of what the fleet holds in common: entries by kind and name, what changed since when, and
// digests by which two copies find where they differ. No I/O; the clock is handed in.
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
  std::size_t entries = 200'000;             // no more are taken in
  std::size_t name_bytes = 256;              // of a key's name
  std::size_t remembered = 10'000;           // of what was collected, the last
  Duration keep = std::chrono::minutes(10);  // what is spent is kept so long at the least
};

class ReplicatedMap {
 public:
  static constexpr std::size_t kRanges = 256;  // of the keys' hashes

  explicit ReplicatedMap(const ReplicatedMapBounds& bounds) : bounds_(bounds) {}

  // Joins a value in, made here or heard from another. What changed is passed on by since().
  enum class Took { nothing_new, changed, refused };  // refused: over a bound, or the kind does not fit
  Took put(const Key& key, const Value& value);
  // What another's copy still holds of what was collected here, just as it was, is no news: the others
  // collect it themselves. Else two copies would hand it to and fro for as long as they do so at different
  // times.
  const Value* find(const Key& key) const;
  std::size_t size() const { return entries_.size(); }
  template <typename Visitor>
  void each(Visitor visit) const {
    for (const auto& [key, entry] : entries_) visit(key, entry.value);
  }

  // Entries of each kind that is there.
  const std::map<std::uint32_t, std::size_t>& counts() const { return counts_; }
  template <typename Visitor>
  void each_of(std::uint32_t kind, Visitor visit) const {
    for (auto it = entries_.lower_bound({kind, ""}); it != entries_.end() && it->first.kind == kind; ++it)
      visit(it->first, it->second.value);
  }
  // The mark of an entry's last change; 0 if there is none.
  std::uint64_t changed(const Key& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.changed;
  }

  // Grows with each change. A peer that has taken a piece up to a mark lacks only what changed later. Marks
  // are of this copy and this process.
  std::uint64_t mark() const { return mark_; }
  // What changed after `mark`, oldest change first, up to about so many bytes but one item at the least.
  // `upto` is the mark that the piece brings a taker to.
  std::vector<Item> changes_since(std::uint64_t mark, std::size_t bytes, std::uint64_t& end_mark) const;

  // Equal digests: equal copies, but for one chance in 2^64 by range. Kept up with each change.
  const std::array<std::uint64_t, kRanges>& digests() const { return digests_; }
  std::uint64_t digest() const;
  // Of one kind's entries that are not spent; looks at each of the kind. Copies of which some have forgotten
  // spent ones already agree by it.
  std::uint64_t digest_of_unspent(std::uint32_t kind, std::int64_t unix_ms) const;
  static std::size_t range_of(const Key& key);
  // The entries of one range.
  std::vector<Item> range(std::size_t range) const;

  // Forgets what is spent, has been for `keep`, and has not changed since `held_by_all`, the least mark that
  // every member is known to have taken. Looks at so many entries at the most, and goes on there with the
  // next call while collecting(). How many went.
  std::size_t collect(std::uint64_t held_by_all, std::int64_t unix_ms, TimePoint now,
                      std::vector<Key>* gone = nullptr, std::size_t most = SIZE_MAX);
  bool collecting() const { return collect_from_.has_value(); }
  // What was collected here, the last of it: an old copy of such an entry is known by it.
  const std::map<Key, Value>& collected() const { return collected_; }
  void remember(const Key& key, const Value& value);
  // Forgets all but what `keeps` names: of one that was away for longer than the others keep what is spent,
  // so that what it held cannot come back by it. It then takes all from the others.
  template <typename Keeps>
  void forget_but(Keeps keeps) {
    std::map<Key, Value> kept;
    for (const auto& [key, entry] : entries_)
      if (keeps(key, entry.value)) kept.emplace(key, entry.value);
    entries_.clear();
    counts_.clear();
    collect_from_.reset();
    by_change_.clear();
    by_range_ = {};
    digests_ = {};
    for (const auto& [key, value] : kept) put(key, value);
  }

 private:
  struct Entry {
    Value value;
    std::uint64_t changed = 0, hash = 0;
    std::size_t bytes = 0;    // encoded, with its name
    TimePoint spent_since{};  // the epoch: it is not
  };
  static std::uint64_t hash_of(const Key& key, const std::string& encoded);
  const ReplicatedMapBounds bounds_;
  std::map<Key, Entry> entries_;
  std::map<std::uint32_t, std::size_t> counts_;  // by kind
  std::optional<Key> collect_from_;              // where collect() goes on
  using Node = std::pair<const Key, Entry>;      // of entries_, which stays where it is
  std::map<std::uint64_t, const Node*> by_change_;
  std::array<std::set<const Node*>, kRanges> by_range_;
  std::map<Key, Value> collected_;  // the last of them
  std::array<std::uint64_t, kRanges> digests_{};
  std::uint64_t mark_ = 0;
};

}  // namespace kelpdeal::replica
