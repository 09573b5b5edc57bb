// SPDX-License-Identifier: MIT
#include "kelpdeal/replica/syncer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kelpdeal::replica {

std::vector<std::string> partners_of(const std::string& name, const std::set<std::string>& members) {
  std::vector<std::pair<std::uint64_t, std::string>> ring;
  for (const std::string& member : members) ring.emplace_back(XXH64(member.data(), member.size(), 0), member);
  const std::pair<std::uint64_t, std::string> own{XXH64(name.data(), name.size(), 0), name};
  if (!members.contains(name)) ring.push_back(own);
  std::sort(ring.begin(), ring.end());
  const auto at = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), own) - ring.begin());
  std::vector<std::string> partners;
  for (std::size_t step = 1; step < ring.size(); step *= 4) {
    partners.push_back(ring[(at + step) % ring.size()].second);
    // The one before as well, so that a ring of two steps stays whole when one in it dies unseen.
    if (step == 1 && ring.size() > 2) partners.push_back(ring[(at + ring.size() - 1) % ring.size()].second);
  }
  return partners;
}

Syncer::Syncer(std::string name, std::uint64_t incarnation, ReplicatedMap& copy, const SyncBounds& bounds,
               std::function<bool(const Key&, const Value&)> own)
    : name_(std::move(name)), life_(incarnation), copy_(copy), bounds_(bounds), own_(std::move(own)) {}

void Syncer::members(const std::set<std::string>& names) {
  order_ = partners_of(name_, names);
  for (const std::string& partner : order_) partners_.try_emplace(partner);
  std::erase_if(partners_, [&names](const auto& entry) { return !names.contains(entry.first); });
}

std::uint64_t Syncer::lag() const {
  std::uint64_t least = 0;
  bool any = false;
  for (const auto& [name, partner] : partners_) {
    if (!partner.heard) continue;
    const std::uint64_t left = partner.latest_mark - std::min(partner.latest_mark, partner.taken);
    least = any ? std::min(least, left) : left;
    any = true;
  }
  return least;
}

std::vector<Syncer::Lag> Syncer::lags() const {
  std::vector<Lag> all;
  for (const auto& [name, partner] : partners_)
    if (partner.heard)
      all.push_back({name, partner.latest_mark - std::min(partner.latest_mark, partner.taken),
                     copy_.mark() - std::min(copy_.mark(), partner.theirs)});
  return all;
}

Delta Syncer::base(Partner& partner) const {
  Delta delta;
  delta.incarnation = life_;
  delta.latest_mark = copy_.mark();
  delta.taken_life = partner.life;
  delta.taken = partner.taken;
  partner.owed = false;
  return delta;
}

std::optional<Delta> Syncer::next_piece(Partner& partner, TimePoint now) {
  if (held_) return std::nullopt;
  const bool waiting = partner.sent > partner.theirs;
  if (waiting && now < partner.sent_at + partner.resend) return std::nullopt;
  if (partner.theirs >= copy_.mark()) return std::nullopt;
  // Guards against a partner that is flooded as it does not answer: each piece unanswered is repeated later.
  partner.resend = waiting ? std::min(2 * partner.resend, bounds_.most_resend) : bounds_.resend;
  Delta delta = base(partner);
  delta.start_mark = partner.theirs;
  delta.items = copy_.changes_since(partner.theirs, bounds_.piece_bytes, delta.end_mark);
  partner.sent = delta.end_mark;
  partner.sent_at = now;
  return delta;
}

void Syncer::forget() {
  copy_.forget_but(own_);
  ++forgotten_;
  caught_up_ = false;
  for (auto& [name, partner] : partners_) {
    partner = {};
    partner.owed = true;  // it is to know that nothing of its is held here
  }
}

std::vector<Syncer::Outgoing> Syncer::tick(TimePoint now) {
  std::vector<Outgoing> out;
  if (std::exchange(changed_to_, copy_.mark()) != copy_.mark()) changed_at_ = now;
  for (const std::string& name : order_) {
    Partner& partner = partners_[name];
    if (auto delta = next_piece(partner, now)) out.push_back({name, std::move(*delta)});
  }
  for (auto& [name, partner] : partners_)
    if (partner.owed) out.push_back({name, base(partner)});
  if (!order_.empty() && now - compared_at_ >= bounds_.compare) {
    compared_at_ = now;
    const std::string& name = order_[turn_++ % order_.size()];
    Delta delta = base(partners_[name]);
    delta.digest = copy_.digest();
    out.push_back({name, std::move(delta)});
  }
  return out;
}

void Syncer::there(const std::string& name) {
  const auto it = partners_.find(name);
  if (it != partners_.end()) it->second.resend = std::min(it->second.resend, bounds_.resend);
}

void Syncer::heard(Partner& partner, const Delta& delta) {
  if (delta.incarnation !=
      partner.life) {  // another process, with marks of its own, which has taken nothing of ours
    partner.life = delta.incarnation;
    partner.taken = partner.theirs = partner.sent = 0;
    partner.goal = delta.latest_mark;
    partner.heard = true;
  }
  partner.latest_mark = delta.latest_mark;
  if (delta.taken_life == life_) {
    // It may fall back: who was away forgets, and takes the whole anew.
    const std::uint64_t taken = std::min(delta.taken, copy_.mark());
    partner.sent = taken < partner.theirs ? taken : std::max(partner.sent, taken);
    partner.theirs = taken;
  } else {
    partner.theirs = 0;  // it speaks of an earlier process of ours
  }
}

std::vector<Syncer::Outgoing> Syncer::handle_message(const std::string& from, const Delta& delta,
                                                     TimePoint now) {
  std::vector<Outgoing> out;
  const auto it = partners_.try_emplace(from).first;
  Partner& partner = it->second;
  heard(partner, delta);
  for (const Item& item : delta.items) copy_.put(item.key, item.value);
  // A piece that begins where we are, or before; one that begins later leaves a gap, and is no step.
  if (delta.end_mark > 0 && delta.start_mark <= partner.taken && delta.end_mark > partner.taken)
    partner.taken = delta.end_mark;
  partner.owed |= delta.end_mark > 0;
  if (partner.heard && partner.taken >= partner.goal) caught_up_ = true;

  // Digests differ for as long as something is under way. They tell something where nothing was written for a
  // while, or if they go on differing.
  Delta answer;
  bool answers = false;
  if (delta.digest != 0) partner.unequal = delta.digest == copy_.digest() ? 0 : partner.unequal + 1;
  const bool quiet = changed_to_ == copy_.mark() && now - changed_at_ > 2 * bounds_.resend;
  if (delta.digest != 0 && partner.unequal > 0 && (quiet || partner.unequal >= bounds_.unequal)) {
    ++differing_;
    answer = base(partner);
    answer.ranges.assign(copy_.digests().begin(), copy_.digests().end());
    answers = true;
  }
  if (delta.ranges.size() == ReplicatedMap::kRanges) {
    answer = base(partner);
    std::size_t bytes = 0;
    for (std::size_t range = 0; range < ReplicatedMap::kRanges && answer.wanted.size() < bounds_.wanted;
         ++range) {
      if (delta.ranges[range] == copy_.digests()[range]) continue;
      // Both ways at once: what is asked for there is sent from here.
      answer.wanted.push_back(static_cast<std::uint32_t>(range));
      for (Item& item : items_of(range)) {
        bytes += item.key.name.size() + 64;
        answer.items.push_back(std::move(item));
      }
      if (bytes > bounds_.piece_bytes) break;
    }
    answers = true;
  }
  if (!delta.wanted.empty()) {
    answer = base(partner);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < std::min(delta.wanted.size(), bounds_.wanted); ++i) {
      if (delta.wanted[i] >= ReplicatedMap::kRanges) continue;
      // Guards against a loop that stands still over what eight ranges of a large copy hold: the rest is
      // found to differ again.
      if (bytes > bounds_.piece_bytes) break;
      for (Item& item : items_of(delta.wanted[i])) {
        bytes += item.key.name.size() + 64;
        answer.items.push_back(std::move(item));
      }
    }
    answers = true;
  }
  if (answers) out.push_back({from, std::move(answer)});
  // The next piece goes as soon as one is taken: who catches up waits for no tick.
  if (std::find(order_.begin(), order_.end(), from) != order_.end())
    if (auto next = next_piece(partner, now)) out.push_back({from, std::move(*next)});
  if (partner.owed) out.push_back({from, base(partner)});
  return out;
}

}  // namespace kelpdeal::replica
