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

ReplicatedMap::Took ReplicatedMap::put(const Key& key, const Value& value) {
  if (key.kind != kind_of(value) || key.name.size() > bounds_.name_bytes) return Took::refused;
  auto it = entries_.find(key);
  const bool fresh = it == entries_.end();
  if (fresh) {
    // Guards against an old copy of what was collected here: whoever still has it is told how it ended.
    Value whole = value;
    const auto old = collected_.find(key);
    if (old != collected_.end()) {
      if (old->second == value) return Took::nothing_new;
      join(whole, old->second);
    }
    if (entries_.size() >= bounds_.entries) return Took::refused;
    if (old != collected_.end()) collected_.erase(old);
    it = entries_.emplace(key, Entry{std::move(whole), 0, 0, 0, {}}).first;
    by_range_[range_of(key)].insert(&*it);
    ++counts_[key.kind];
  } else if (!join(it->second.value, value)) {
    return Took::nothing_new;
  }
  Entry& entry = it->second;
  if (!fresh) by_change_.erase(entry.changed);
  entry.changed = ++mark_;
  entry.spent_since = {};
  by_change_[entry.changed] = &*it;
  // The sum of the entries' hashes is the same whatever order they came in, and one can be taken out again.
  std::uint64_t& digest = digests_[range_of(key)];
  digest -= entry.hash;
  const std::string encoded = encode(entry.value);
  entry.hash = hash_of(key, encoded);
  entry.bytes = key.name.size() + encoded.size();
  digest += entry.hash;
  return Took::changed;
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
  for (auto it = by_change_.upper_bound(mark); it != by_change_.end(); ++it) {
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

std::uint64_t ReplicatedMap::digest_of_unspent(std::uint32_t kind, std::int64_t unix_ms) const {
  std::uint64_t sum = 1;
  for (auto it = entries_.lower_bound({kind, ""}); it != entries_.end() && it->first.kind == kind; ++it)
    if (!spent(it->second.value, unix_ms)) sum += it->second.hash;
  return sum;
}

std::vector<Item> ReplicatedMap::range(std::size_t range) const {
  std::vector<Item> items;
  items.reserve(by_range_[range].size());
  for (const Node* node : by_range_[range]) items.push_back({node->first, node->second.value});
  return items;
}

void ReplicatedMap::remember(const Key& key, const Value& value) {
  // Kinds that end by time stand last, and go first: they are spent wherever they come back from.
  if (bounds_.remembered == 0) return;
  if (collected_.size() >= bounds_.remembered) collected_.erase(std::prev(collected_.end()));
  collected_[key] = value;
}

std::size_t ReplicatedMap::collect(std::uint64_t held_by_all, std::int64_t unix_ms, TimePoint now,
                                   std::vector<Key>* keys, std::size_t most) {
  std::size_t gone = 0;
  auto it = collect_from_ ? entries_.lower_bound(*collect_from_) : entries_.begin();
  collect_from_.reset();
  for (std::size_t looked = 0; it != entries_.end(); ++looked) {
    if (looked == most) {
      collect_from_ = it->first;
      break;
    }
    Entry& entry = it->second;
    const bool over = spent(entry.value, unix_ms);
    if (!over)
      entry.spent_since = {};
    else if (entry.spent_since == TimePoint{})
      entry.spent_since = now;
    if (!over || now - entry.spent_since < bounds_.keep || entry.changed > held_by_all) {
      ++it;
      continue;
    }
    digests_[range_of(it->first)] -= entry.hash;
    by_change_.erase(entry.changed);
    by_range_[range_of(it->first)].erase(&*it);
    remember(it->first, entry.value);
    if (keys) keys->push_back(it->first);
    --counts_[it->first.kind];
    it = entries_.erase(it);
    ++gone;
  }
  return gone;
}

}  // namespace kelpdeal::replica
