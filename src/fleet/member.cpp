// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/member.h"

#include <algorithm>
#include <utility>

namespace kelpdeal::fleet {
namespace {

constexpr std::uint32_t kBans = 0;  // the kind's number: replica::kind_of(Ban{})

std::uint32_t whole_ms(Duration span) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, 0xffffffff));
}

}  // namespace

Member::Member(std::string name, std::uint64_t incarnation, std::vector<std::string> peers,
               const MemberBounds& bounds, std::uint64_t seed)
    : name_(std::move(name)),
      incarnation_(incarnation),
      peers_(std::move(peers)),
      bounds_(bounds),
      membership_(name_, incarnation, bounds.membership, seed),
      copy_(bounds.copy),
      syncer_(name_, incarnation, copy_, bounds.sync,
              // Of one that was away: what nobody else has taken yet. The rest is the others' to keep, or to
              // have forgotten.
              [this](const replica::Key& key, const replica::Value& value) {
                const auto* ban = std::get_if<replica::Ban>(&value);
                return !ban || !ban->is_active() || copy_.mark_of(key) > shared_mark_;
              }) {}

void Member::restore(const Kept& kept) {
  for (const replica::Item& item : kept.collected) copy_.add_tombstone(item.key, item.value);
  for (const replica::Item& item : kept.shared) copy_.put(item.key, item.value);
  shared_mark_ = copy_.mark();
  for (const replica::Item& item : kept.unshared) copy_.put(item.key, item.value);
  missed_collections_ = kept.missed_collections;
}

Member::Kept Member::kept() const {
  Kept kept;
  kept.missed_collections = missed_collections_;
  for (const auto& [key, value] : copy_.tombstones())
    if (key.kind == kBans) kept.collected.push_back({key, value});
  copy_.for_each([&](const replica::Key& key, const replica::Value& value) {
    (copy_.mark_of(key) > shared_mark_ ? kept.unshared : kept.shared).push_back({key, value});
  });
  return kept;
}

// ---- coming, and being away ----
// Guards against what this member holds bringing back what the others have forgotten meanwhile: it sends
// nothing of it until it has heard how often they did.
void Member::came(TimePoint now) {
  coming_ = apart_ = true;
  came_ = apart_until_ = now;
  met_.clear();
  syncer_.pause_sending(true);
}

void Member::notice(TimePoint now) {
  const TimePoint before = std::exchange(last_, now);
  if (before != TimePoint{} && now - before > bounds_.frozen) came(now);
  if (!coming_) return;
  // Once most have been heard, or nobody for long: of a fleet that all came at once nobody waits for another.
  const bool most = 2 * (met_.size() + 1) > peers_.size() + 1;
  if (!most && now - came_ < bounds_.alone) return;
  coming_ = false;
  syncer_.pause_sending(false);
}

// Whoever was left out may hold bans that were lifted and forgotten meanwhile. It forgets those that stand
// here and that the others held, and takes what still stands from them; what was said since, and what was
// lifted, stays.
void Member::apply_missed_collections(const replica::MissedCollections& missed_collections) {
  bool left_out = false;
  for (const auto& [members, number] : missed_collections) {
    std::uint32_t& known = missed_collections_[members];
    left_out |= members.second == name_ && number > known;
    known = std::max(known, number);
  }
  if (!left_out) return;
  syncer_.resync();
  ++rewritten_;
  shared_mark_ = 0;
}

std::vector<Outgoing> Member::start(TimePoint now) {
  started_ = collected_at_ = now;
  came(now);
  for (const std::string& peer : peers_) dead_since_[peer] = now;
  std::vector<Outgoing> out;
  carry(membership_.start(peers_, now), out, now);
  return out;
}

std::set<std::string> Member::alive() const {
  std::set<std::string> names;
  for (const auto& [name, member] : membership_.members())
    if (member.state <= membership::State::suspect) names.insert(name);
  return names;
}

bool Member::ready(TimePoint now) const {
  if (peers_.empty() || heard_ == TimePoint{}) return peers_.empty() || now - started_ >= bounds_.alone;
  return syncer_.caught_up();
}

std::uint32_t Member::lag_ms(TimePoint now) const {
  return behind_since_ == TimePoint{} ? 0 : std::max<std::uint32_t>(whole_ms(now - behind_since_), 1);
}

std::uint64_t Member::bans_digest() {
  if (std::exchange(digest_mark_, copy_.mark()) != copy_.mark()) digest_ = copy_.digest_of_live(kBans, 0);
  return digest_;
}

std::size_t Member::agreeing() const {
  return static_cast<std::size_t>(std::count_if(seen_.begin(), seen_.end(), [this](const auto& entry) {
    return entry.second.agreed_at > apart_until_;
  }));
}

// What most of the configured members hold. Any round that goes without this member has one of them in it.
std::uint64_t Member::held_by_most() const {
  const std::size_t others = (peers_.size() + 1) / 2;
  if (others == 0) return copy_.mark();
  std::vector<std::uint64_t> marks;
  for (const auto& [name, seen] : seen_) marks.push_back(seen.agreed);
  if (marks.size() < others) return 0;
  std::nth_element(marks.begin(), marks.begin() + static_cast<std::ptrdiff_t>(others - 1), marks.end(),
                   std::greater<>());
  return marks[others - 1];
}

void Member::carry(std::vector<membership::Action> acts, std::vector<Outgoing>& out, TimePoint now) {
  for (membership::Action& act : acts) {
    if (auto* send = std::get_if<membership::Send>(&act)) {
      send->message.replica_status = {ready(now), lag_ms(now), bans_digest(), missed_collections_};
      out.push_back({std::move(send->to), std::move(send->message)});
    } else if (auto* changed = std::get_if<membership::MemberChanged>(&act)) {
      if (changed->state == membership::State::dead)
        dead_since_.try_emplace(changed->name, now);
      else
        dead_since_.erase(changed->name);
      // Guards against what an earlier process held being taken for what this one holds.
      if (const auto seen = seen_.find(changed->name);
          seen != seen_.end() && seen->second.incarnation != changed->version.incarnation)
        seen->second = {{}, 0, {}, changed->version.incarnation};
      if (changed->state == membership::State::left) seen_.erase(changed->name);
      changes_.push_back(std::move(*changed));
    } else if (const auto* displaced = std::get_if<membership::Displaced>(&act)) {
      outlived(displaced->by.incarnation, now);
    }
  }
}

// Guards against one whose clock was set back over a restart: to the others its own past is the later
// process. Only one that has just come is taken so; of two that both live the later stays.
void Member::outlived(std::uint64_t incarnation, TimePoint now) {
  if (incarnation <= incarnation_ || displaced_to_ != 0) return;
  displaced_to_ = now - started_ <= bounds_.twin ? incarnation + 1 : kTwin;
}

void Member::carry(std::vector<replica::Syncer::Outgoing> pieces, std::vector<Outgoing>& out) const {
  for (replica::Syncer::Outgoing& delta : pieces) {
    delta.delta.missed_collections = missed_collections_;
    out.push_back({std::move(delta.to), std::move(delta.delta)});
  }
}

std::vector<Outgoing> Member::tick(TimePoint now, std::int64_t unix_ms) {
  std::vector<Outgoing> out;
  if (displaced_to_ != 0) return out;
  notice(now);
  if (membership_.next_tick_at() <= now) carry(membership_.tick(now), out, now);
  if (now - synced_at_ >= bounds_.sync.tick) {
    synced_at_ = now;
    syncer_.set_members(alive());
    // Guards against a round that is counted as this one comes back, by one that has not heard of it yet: it
    // is with the others again only once most have said that they hold the same.
    if (!majority()) {
      apart_ = true;
      apart_until_ = now;
    } else if (apart_ && agreeing() >= (peers_.size() + 1) / 2) {
      apart_ = false;
    }
    shared_mark_ = std::max(shared_mark_, held_by_most());
    carry(syncer_.tick(now), out);
  }
  const bool behind = !ready(now) || syncer_.lag() > 0;
  if (!behind)
    behind_since_ = {};
  else if (behind_since_ == TimePoint{})
    behind_since_ = now;
  // Guards against a loop that stands still while a large copy is looked through: a slice each time.
  if (now - collected_at_ >= bounds_.collect || copy_.collecting()) {
    if (!copy_.collecting()) collected_at_ = now;
    collect(now, unix_ms);
  }
  return out;
}

// Guards against a lifted ban that is forgotten while someone still has it unlifted: each that may come back
// with what it held has to have said that it holds the same bans. One that is dead for too long holds this up
// no more, if most are there; the round is counted, and by that it learns to forget what it held.
void Member::collect(TimePoint now, std::int64_t unix_ms) {
  if (coming_) return;
  std::uint64_t held = copy_.mark();
  std::vector<std::string> without;
  std::set<std::string> all = alive();
  for (const auto& [name, since] : dead_since_) {
    if (apart_ || now - since < bounds_.most_keep)
      all.insert(name);
    else
      without.push_back(name);
  }
  for (const std::string& name : all) {
    const auto seen = seen_.find(name);
    held = std::min(held, seen == seen_.end() ? 0 : seen->second.agreed);
  }
  if (copy_.collect(held, unix_ms, now, &collected_, bounds_.slice) == 0) return;
  digest_mark_ = ~std::uint64_t{0};
  for (const std::string& name : without) ++missed_collections_[{name_, name}];
}

std::vector<Outgoing> Member::handle_message(const std::string& from, const membership::Message& message,
                                             TimePoint now) {
  std::vector<Outgoing> out;
  if (displaced_to_ != 0) return out;
  notice(now);
  heard_ = now;
  // Guards against the one that cannot be heard and does not know: it is told that it was held for dead.
  for (const membership::MemberUpdate& update : message.updates)
    if (update.name == name_ && update.state == membership::State::dead && !coming_) came(now);
  met_.insert(from);
  syncer_.on_member_heard(from);
  apply_missed_collections(message.replica_status.missed_collections);
  Seen& seen = seen_[from];
  seen.said = message.replica_status;
  if (message.replica_status.digest != 0 && message.replica_status.digest == bans_digest()) {
    seen.agreed = copy_.mark();
    seen.agreed_at = now;
  }
  carry(membership_.handle_message(from, message, now), out, now);
  return out;
}

std::vector<Outgoing> Member::handle_message(const std::string& from, const replica::Delta& delta,
                                             TimePoint now) {
  std::vector<Outgoing> out;
  if (displaced_to_ != 0) return out;
  notice(now);
  heard_ = now;
  apply_missed_collections(delta.missed_collections);
  carry(syncer_.handle_message(from, delta, now), out);
  return out;
}

std::vector<Outgoing> Member::leave(TimePoint now) {
  std::vector<Outgoing> out;
  if (displaced_to_ == 0) carry(membership_.leave(now), out, now);
  return out;
}

// ---- operators' calls ----
Word Member::offline(const std::string& node, bool listed) {
  const replica::Key key{kBans, node};
  const auto* held = copy_.find(key);
  const auto* ban = held ? std::get_if<replica::Ban>(held) : nullptr;
  if (!listed && !(ban && ban->is_active())) return {false, "unknown data node " + node};
  if (!ban && out().size() >= bounds_.bans) return {false, "too many data nodes out by hand"};
  // Said again it counts anew: an ONLINE under way elsewhere has not seen this one.
  replica::Ban placed;
  placed.placed[name_] = stamp();
  if (copy_.put(key, placed) != replica::ReplicatedMap::PutResult::changed)
    return {false, "the copy is full"};
  return {true, "out " + node, true};
}

Word Member::online(const std::string& node, bool listed) {
  const replica::Key key{kBans, node};
  const auto* held = copy_.find(key);
  const auto* ban = held ? std::get_if<replica::Ban>(held) : nullptr;
  if (!ban || !ban->is_active()) {
    if (listed) return {true, "was not out " + node};
    return {false, "unknown data node " + node};
  }
  replica::Ban lifted;
  lifted.lifted = ban->placed;
  copy_.put(key, lifted);
  return {true, "back " + node, true};
}

std::set<std::string, std::less<>> Member::out() const {
  std::set<std::string, std::less<>> nodes;
  copy_.for_each_of_kind(kBans, [&nodes](const replica::Key& key, const replica::Value& value) {
    if (const auto* ban = std::get_if<replica::Ban>(&value); ban && ban->is_active()) nodes.insert(key.name);
  });
  return nodes;
}

std::vector<Row> Member::rows(TimePoint now) const {
  std::vector<Row> rows{{name_, membership::State::alive, incarnation_, lag_ms(now), ready(now)}};
  for (const auto& [name, member] : membership_.members()) {
    const auto seen = seen_.find(name);
    const bool there = seen != seen_.end() && member.state <= membership::State::suspect;
    rows.push_back({name, member.state, member.version.incarnation, there ? seen->second.said.lag_ms : 0,
                    there && seen->second.said.ready});
  }
  std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) { return a.name < b.name; });
  return rows;
}

}  // namespace kelpdeal::fleet
