// SPDX-License-Identifier: MIT
#include "kelpdeal/replica/syncer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kelpdeal::replica {

std::vector<std::string> partners_of(const std::string& name, const std::set<std::string>& members) {
  std::vector<std::pair<std::uint64_t, std::string>> ring;
  for (const std::string& member : members) ring.emplace_back(XXH64(member.data(), member.size(), 0), member);
  const std::pair<std::uint64_t, std::string> is_own{XXH64(name.data(), name.size(), 0), name};
  if (!members.contains(name)) ring.push_back(is_own);
  std::sort(ring.begin(), ring.end());
  const auto at = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), is_own) - ring.begin());
  std::vector<std::string> partners;
  for (std::size_t step = 1; step < ring.size(); step *= 4) {
    partners.push_back(ring[(at + step) % ring.size()].second);
    // Also the predecessor, so that a small ring stays connected if one member dies undetected.
    if (step == 1 && ring.size() > 2) partners.push_back(ring[(at + ring.size() - 1) % ring.size()].second);
  }
  return partners;
}

Syncer::Syncer(std::string name, std::uint64_t incarnation, ReplicatedMap& entries, const SyncBounds& bounds,
               std::function<bool(const Key&, const Value&)> is_own)
    : name_(std::move(name)),
      incarnation_(incarnation),
      entries_(entries),
      bounds_(bounds),
      is_own_(std::move(is_own)) {}

void Syncer::set_members(const std::set<std::string>& names) {
  targets_ = partners_of(name_, names);
  for (const std::string& partner : targets_) partners_.try_emplace(partner);
  std::erase_if(partners_, [&names](const auto& entry) { return !names.contains(entry.first); });
}

std::uint64_t Syncer::lag() const {
  std::uint64_t least = 0;
  bool any = false;
  for (const auto& [name, partner] : partners_) {
    if (!partner.heard) continue;
    const std::uint64_t left = partner.latest_mark - std::min(partner.latest_mark, partner.received_mark);
    least = any ? std::min(least, left) : left;
    any = true;
  }
  return least;
}

std::vector<Syncer::Lag> Syncer::lags() const {
  std::vector<Lag> all;
  for (const auto& [name, partner] : partners_)
    if (partner.heard)
      all.push_back({name, partner.latest_mark - std::min(partner.latest_mark, partner.received_mark),
                     entries_.mark() - std::min(entries_.mark(), partner.acknowledged_mark)});
  return all;
}

Delta Syncer::new_delta(Partner& partner) const {
  Delta delta;
  delta.incarnation = incarnation_;
  delta.latest_mark = entries_.mark();
  delta.acknowledged_incarnation = partner.incarnation;
  delta.acknowledged_mark = partner.received_mark;
  partner.acknowledgement_due = false;
  return delta;
}

std::optional<Delta> Syncer::next_delta(Partner& partner, TimePoint now) {
  if (sending_paused_) return std::nullopt;
  const bool waiting = partner.sent_mark > partner.acknowledged_mark;
  if (waiting && now < partner.sent_at + partner.resend_delay) return std::nullopt;
  if (partner.acknowledged_mark >= entries_.mark()) return std::nullopt;
  // Limits the load on a partner that does not answer: each unacknowledged delta is repeated after a longer
  // delay.
  partner.resend_delay =
      waiting ? std::min(2 * partner.resend_delay, bounds_.max_resend_delay) : bounds_.resend_delay;
  Delta delta = new_delta(partner);
  delta.start_mark = partner.acknowledged_mark;
  delta.items = entries_.changes_since(partner.acknowledged_mark, bounds_.max_delta_bytes, delta.end_mark);
  partner.sent_mark = delta.end_mark;
  partner.sent_at = now;
  return delta;
}

void Syncer::resync() {
  entries_.clear_except(is_own_);
  ++resync_count_;
  caught_up_ = false;
  for (auto& [name, partner] : partners_) {
    partner = {};
    partner.acknowledgement_due = true;  // tells it that none of its changes are held here any more
  }
}

std::vector<Syncer::Outgoing> Syncer::tick(TimePoint now) {
  std::vector<Outgoing> out;
  if (std::exchange(last_seen_mark_, entries_.mark()) != entries_.mark()) changed_at_ = now;
  for (const std::string& name : targets_) {
    Partner& partner = partners_[name];
    if (auto delta = next_delta(partner, now)) out.push_back({name, std::move(*delta)});
  }
  for (auto& [name, partner] : partners_)
    if (partner.acknowledgement_due) out.push_back({name, new_delta(partner)});
  if (!targets_.empty() && now - compared_at_ >= bounds_.compare_interval) {
    compared_at_ = now;
    const std::string& name = targets_[next_compared_++ % targets_.size()];
    Delta delta = new_delta(partners_[name]);
    delta.digest = entries_.digest();
    out.push_back({name, std::move(delta)});
  }
  return out;
}

void Syncer::on_member_heard(const std::string& name) {
  const auto it = partners_.find(name);
  if (it != partners_.end())
    it->second.resend_delay = std::min(it->second.resend_delay, bounds_.resend_delay);
}

void Syncer::update_partner(Partner& partner, const Delta& delta) {
  // Another process with its own marks, which has received nothing from this one.
  if (delta.incarnation != partner.incarnation) {
    partner.incarnation = delta.incarnation;
    partner.received_mark = partner.acknowledged_mark = partner.sent_mark = 0;
    partner.catch_up_mark = delta.latest_mark;
    partner.heard = true;
  }
  partner.latest_mark = delta.latest_mark;
  if (delta.acknowledged_incarnation == incarnation_) {
    // The mark may go back: a partner that was away discards its entries and fetches everything again.
    const std::uint64_t acknowledged = std::min(delta.acknowledged_mark, entries_.mark());
    partner.sent_mark =
        acknowledged < partner.acknowledged_mark ? acknowledged : std::max(partner.sent_mark, acknowledged);
    partner.acknowledged_mark = acknowledged;
  } else {
    partner.acknowledged_mark = 0;  // it refers to an earlier process of this member
  }
}

std::vector<Syncer::Outgoing> Syncer::handle_message(const std::string& from, const Delta& delta,
                                                     TimePoint now) {
  std::vector<Outgoing> out;
  const auto it = partners_.try_emplace(from).first;
  Partner& partner = it->second;
  update_partner(partner, delta);
  for (const Item& item : delta.items) entries_.put(item.key, item.value);
  // The delta must start at or before the received mark; a later start leaves a gap and does not advance the
  // mark.
  if (delta.end_mark > 0 && delta.start_mark <= partner.received_mark &&
      delta.end_mark > partner.received_mark)
    partner.received_mark = delta.end_mark;
  partner.acknowledgement_due |= delta.end_mark > 0;
  if (partner.heard && partner.received_mark >= partner.catch_up_mark) caught_up_ = true;

  // Digests differ while changes are in flight. The comparison is meaningful if nothing was written for a
  // while, or if the digests keep differing.
  Delta answer;
  bool send_answer = false;
  if (delta.digest != 0) partner.mismatches = delta.digest == entries_.digest() ? 0 : partner.mismatches + 1;
  const bool quiet = last_seen_mark_ == entries_.mark() && now - changed_at_ > 2 * bounds_.resend_delay;
  if (delta.digest != 0 && partner.mismatches > 0 &&
      (quiet || partner.mismatches >= bounds_.mismatches_before_repair)) {
    ++mismatch_count_;
    answer = new_delta(partner);
    answer.range_digests.assign(entries_.digests().begin(), entries_.digests().end());
    send_answer = true;
  }
  if (delta.range_digests.size() == ReplicatedMap::kRanges) {
    answer = new_delta(partner);
    std::size_t bytes = 0;
    for (std::size_t range = 0;
         range < ReplicatedMap::kRanges && answer.requested_ranges.size() < bounds_.max_requested_ranges;
         ++range) {
      if (delta.range_digests[range] == entries_.digests()[range]) continue;
      // Exchanges both ways at once: requests the range and sends its entries.
      answer.requested_ranges.push_back(static_cast<std::uint32_t>(range));
      for (Item& item : range_items(range)) {
        bytes += item.key.name.size() + 64;
        answer.items.push_back(std::move(item));
      }
      if (bytes > bounds_.max_delta_bytes) break;
    }
    send_answer = true;
  }
  if (!delta.requested_ranges.empty()) {
    answer = new_delta(partner);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < std::min(delta.requested_ranges.size(), bounds_.max_requested_ranges); ++i) {
      if (delta.requested_ranges[i] >= ReplicatedMap::kRanges) continue;
      // Eight ranges of a large replica could block the event loop; the remaining ranges will be found to
      // differ again.
      if (bytes > bounds_.max_delta_bytes) break;
      for (Item& item : range_items(delta.requested_ranges[i])) {
        bytes += item.key.name.size() + 64;
        answer.items.push_back(std::move(item));
      }
    }
    send_answer = true;
  }
  if (send_answer) out.push_back({from, std::move(answer)});
  // Sends the next delta as soon as one is acknowledged, so that catching up does not wait for a tick.
  if (std::find(targets_.begin(), targets_.end(), from) != targets_.end())
    if (auto next = next_delta(partner, now)) out.push_back({from, std::move(*next)});
  if (partner.acknowledgement_due) out.push_back({from, new_delta(partner)});
  return out;
}

}  // namespace kelpdeal::replica
