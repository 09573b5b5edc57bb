// SPDX-License-Identifier: MIT
#include "kelpdeal/part_ids.h"

namespace kelpdeal {

bool PartIds::available(const std::string& id, QueryNumber query) const {
  const auto entry = entries_.find(id);
  if (entry == entries_.end()) return true;
  return entry->second.current == Current::none && entry->second.query == query;
}

void PartIds::queue(const std::string& id, QueryNumber query) {
  Entry& entry = entries_[id];
  entry.query = query;
  entry.current = Current::queued;
}

void PartIds::discard(const std::string& id) {
  const auto entry = entries_.find(id);
  if (entry == entries_.end()) return;
  entry->second.current = Current::none;
  if (entry->second.past == Past::none) entries_.erase(entry);
}

void PartIds::written(const std::string& id) { entries_[id].current = Current::written; }

void PartIds::give_up(const std::string& id) {
  const auto entry = entries_.find(id);
  if (entry == entries_.end()) return;
  entry->second.current = Current::none;
  set_past(entry, Past::given_up);
}

PartIds::Answer PartIds::answered(const std::string& id) {
  const auto entry = entries_.find(id);
  if (entry == entries_.end()) return Answer::unknown;
  const bool expected = entry->second.current == Current::written;
  if (!expected && entry->second.past == Past::none) return Answer::unknown;  // not written yet
  if (expected) entry->second.current = Current::none;
  set_past(entry, Past::answered);
  return expected ? Answer::expected : Answer::late;
}

void PartIds::set_past(Entries::iterator entry, Past past) {
  if (entry->second.past == past) return;
  if (entry->second.past == Past::given_up) --given_up_count_;
  if (entry->second.past == Past::answered) std::erase(answered_, &entry->first);
  entry->second.past = past;
  if (past == Past::given_up) ++given_up_count_;
  if (past == Past::answered) answered_.push_back(&entry->first);
  if (answered_.size() > max_past_) forget_first_answered();
}

void PartIds::forget_answered() {
  while (!answered_.empty()) forget_first_answered();
}

void PartIds::forget_first_answered() {
  const auto entry = entries_.find(*answered_.front());
  answered_.pop_front();
  entry->second.past = Past::none;
  if (entry->second.current == Current::none) entries_.erase(entry);
}

}  // namespace kelpdeal
