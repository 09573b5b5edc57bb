// SPDX-License-Identifier: MIT
#include "kelpdeal/replica/replicated_map.h"

#include <xxhash.h>

namespace kelpdeal::replica {
std::uint64_t ReplicatedMap::hash_of(const Key& key, const std::string& encoded) {
  const std::uint64_t seed = XXH64(key.name.data(), key.name.size(), key.kind);
  return XXH64(encoded.data(), encoded.size(), seed);
}

std::size_t ReplicatedMap::range_of(const Key& key) {
  return XXH64(key.name.data(), key.name.size(), key.kind) % kRanges;
}

ReplicatedMap::PutResult ReplicatedMap::put(const Key& key, const Value& value) {
  if (key.kind != kind_of(value) || key.name.size() > bounds_.max_name_bytes) return PutResult::refused;
  auto it = entries_.find(key);
  const bool is_new = it == entries_.end();
  if (is_new) {
    // A stale copy of a collected entry is merged with its tombstone, so that its sender learns the final
    // state.
    Value merged = value;
    const auto tombstone = tombstones_.find(key);
    if (tombstone != tombstones_.end()) {
      if (tombstone->second == value) return PutResult::unchanged;
      join(merged, tombstone->second);
    }
    if (entries_.size() >= bounds_.max_entries) return PutResult::refused;
    if (tombstone != tombstones_.end()) tombstones_.erase(tombstone);
    it = entries_.emplace(key, Entry{std::move(merged), 0, 0, 0, {}}).first;
    entries_by_range_[range_of(key)].insert(&*it);
    ++counts_[key.kind];
  } else if (!join(it->second.value, value)) {
    return PutResult::unchanged;
  }
  Entry& entry = it->second;
  if (!is_new) entries_by_mark_.erase(entry.changed_mark);
  entry.changed_mark = ++mark_;
  entry.obsolete_since = {};
  entries_by_mark_[entry.changed_mark] = &*it;
  // The sum of the entries' hashes does not depend on their order, and a hash can be subtracted again.
  std::uint64_t& digest = digests_[range_of(key)];
  digest -= entry.hash;
  const std::string encoded = encode(entry.value);
  entry.hash = hash_of(key, encoded);
  entry.bytes = key.name.size() + encoded.size();
  digest += entry.hash;
  return PutResult::changed;
}

const Value* ReplicatedMap::find(const Key& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second.value;
}

std::vector<Item> ReplicatedMap::changes_since(std::uint64_t mark, std::size_t bytes,
                                               std::uint64_t& end_mark) const {
  std::vector<Item> items;
  end_mark = mark_;
  std::size_t used = 0;
  for (auto it = entries_by_mark_.upper_bound(mark); it != entries_by_mark_.end(); ++it) {
    const auto& [key, entry] = *it->second;
    used += entry.bytes + 16;
    if (!items.empty() && used > bytes) return items;
    items.push_back({key, entry.value});
    end_mark = it->first;
  }
  end_mark = mark_;
  return items;
}

std::uint64_t ReplicatedMap::digest() const { return XXH64(digests_.data(), sizeof digests_, 0); }

std::uint64_t ReplicatedMap::digest_of_live(std::uint32_t kind, std::int64_t unix_ms) const {
  std::uint64_t sum = 1;
  for (auto it = entries_.lower_bound({kind, ""}); it != entries_.end() && it->first.kind == kind; ++it)
    if (!is_obsolete(it->second.value, unix_ms)) sum += it->second.hash;
  return sum;
}

std::vector<Item> ReplicatedMap::range(std::size_t range) const {
  std::vector<Item> items;
  items.reserve(entries_by_range_[range].size());
  for (const Node* node : entries_by_range_[range]) items.push_back({node->first, node->second.value});
  return items;
}

void ReplicatedMap::add_tombstone(const Key& key, const Value& value) {
  // Evicts from the end, where the kinds that expire by time are: their stale copies are recognised as
  // expired anyway.
  if (bounds_.max_tombstones == 0) return;
  if (tombstones_.size() >= bounds_.max_tombstones) tombstones_.erase(std::prev(tombstones_.end()));
  tombstones_[key] = value;
}

std::size_t ReplicatedMap::collect(std::uint64_t acked_by_all, std::int64_t unix_ms, TimePoint now,
                                   std::vector<Key>* removed_keys, std::size_t max_visited) {
  std::size_t removed_count = 0;
  auto it = collect_resume_key_ ? entries_.lower_bound(*collect_resume_key_) : entries_.begin();
  collect_resume_key_.reset();
  for (std::size_t visited = 0; it != entries_.end(); ++visited) {
    if (visited == max_visited) {
      collect_resume_key_ = it->first;
      break;
    }
    Entry& entry = it->second;
    const bool obsolete = is_obsolete(entry.value, unix_ms);
    if (!obsolete)
      entry.obsolete_since = {};
    else if (entry.obsolete_since == TimePoint{})
      entry.obsolete_since = now;
    if (!obsolete || now - entry.obsolete_since < bounds_.retention || entry.changed_mark > acked_by_all) {
      ++it;
      continue;
    }
    digests_[range_of(it->first)] -= entry.hash;
    entries_by_mark_.erase(entry.changed_mark);
    entries_by_range_[range_of(it->first)].erase(&*it);
    add_tombstone(it->first, entry.value);
    if (removed_keys) removed_keys->push_back(it->first);
    --counts_[it->first.kind];
    it = entries_.erase(it);
    ++removed_count;
  }
  return removed_count;
}

}  // namespace kelpdeal::replica
