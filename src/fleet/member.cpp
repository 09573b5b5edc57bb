// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/member.h"

#include <algorithm>
#include <utility>

namespace kelpdeal::fleet {
namespace {

constexpr std::uint32_t kBanKind = 0;  // replica::kind_of(Ban{})

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
      entries_(bounds.entries),
      syncer_(name_, incarnation, entries_, bounds.sync,
              // Kept by a member that was away: active bans that no majority is known to hold, and everything
              // but active bans. The rest is held, or has been collected, by the others.
              [this](const replica::Key& key, const replica::Value& value) {
                const auto* ban = std::get_if<replica::Ban>(&value);
                return !ban || !ban->is_active() || entries_.mark_of(key) > shared_mark_;
              }) {}

void Member::restore(const SavedState& saved_state) {
  for (const replica::Item& item : saved_state.tombstones) entries_.add_tombstone(item.key, item.value);
  for (const replica::Item& item : saved_state.shared) entries_.put(item.key, item.value);
  shared_mark_ = entries_.mark();
  for (const replica::Item& item : saved_state.unshared) entries_.put(item.key, item.value);
  missed_collections_ = saved_state.missed_collections;
}

Member::SavedState Member::saved_state() const {
  SavedState saved_state;
  saved_state.missed_collections = missed_collections_;
  for (const auto& [key, value] : entries_.tombstones())
    if (key.kind == kBanKind) saved_state.tombstones.push_back({key, value});
  entries_.for_each([&](const replica::Key& key, const replica::Value& value) {
    (entries_.mark_of(key) > shared_mark_ ? saved_state.unshared : saved_state.shared)
        .push_back({key, value});
  });
  return saved_state;
}

// ---- Start and rejoin ----
// The replica may contain entries that the others have already collected. Nothing is sent until the other
// members have reported how often they did.
void Member::begin_rejoin(TimePoint now) {
  rejoining_ = partitioned_ = true;
  rejoin_started_at_ = partitioned_until_ = now;
  heard_peers_.clear();
  syncer_.pause_sending(true);
}

void Member::update_rejoin(TimePoint now) {
  const TimePoint before = std::exchange(last_activity_at_, now);
  if (before != TimePoint{} && now - before > bounds_.freeze_threshold) begin_rejoin(now);
  if (!rejoining_) return;
  // Ends once a majority has been heard, or after a while without one: if the whole fleet starts at once,
  // nobody must wait for another.
  const bool majority_heard = 2 * (heard_peers_.size() + 1) > peers_.size() + 1;
  if (!majority_heard && now - rejoin_started_at_ < bounds_.solo_ready_after) return;
  rejoining_ = false;
  syncer_.pause_sending(false);
}

// A member left out of a collection may hold bans that were lifted and collected meanwhile. It discards the
// active bans that a majority held and fetches the current ones; what was written since, and lifted bans,
// stay.
void Member::apply_missed_collections(const replica::MissedCollections& missed_collections) {
  bool left_out = false;
  for (const auto& [members, number] : missed_collections) {
    std::uint32_t& known = missed_collections_[members];
    left_out |= members.second == name_ && number > known;
    known = std::max(known, number);
  }
  if (!left_out) return;
  syncer_.resync();
  ++rewrite_count_;
  shared_mark_ = 0;
}

std::vector<Outgoing> Member::start(TimePoint now) {
  started_ = collected_at_ = now;
  begin_rejoin(now);
  for (const std::string& peer : peers_) dead_since_[peer] = now;
  std::vector<Outgoing> out;
  append_messages(membership_.start(peers_, now), out, now);
  return out;
}

std::set<std::string> Member::alive() const {
  std::set<std::string> names;
  for (const auto& [name, member] : membership_.members())
    if (member.state <= membership::State::suspect) names.insert(name);
  return names;
}

bool Member::ready(TimePoint now) const {
  if (peers_.empty() || last_message_at_ == TimePoint{})
    return peers_.empty() || now - started_ >= bounds_.solo_ready_after;
  return syncer_.caught_up();
}

std::uint32_t Member::lag_ms(TimePoint now) const {
  return behind_since_ == TimePoint{} ? 0 : std::max<std::uint32_t>(whole_ms(now - behind_since_), 1);
}

std::uint64_t Member::bans_digest() {
  if (std::exchange(bans_digest_mark_, entries_.mark()) != entries_.mark())
    bans_digest_ = entries_.digest_of_live(kBanKind, 0);
  return bans_digest_;
}

std::size_t Member::count_agreeing_peers() const {
  return static_cast<std::size_t>(
      std::count_if(peer_replicas_.begin(), peer_replicas_.end(),
                    [this](const auto& entry) { return entry.second.agreed_at > partitioned_until_; }));
}

// The mark that a majority of the configured members holds. Any collection without this member includes one
// of them.
std::uint64_t Member::majority_mark() const {
  const std::size_t others = (peers_.size() + 1) / 2;
  if (others == 0) return entries_.mark();
  std::vector<std::uint64_t> marks;
  for (const auto& [name, peer] : peer_replicas_) marks.push_back(peer.agreed_mark);
  if (marks.size() < others) return 0;
  std::nth_element(marks.begin(), marks.begin() + static_cast<std::ptrdiff_t>(others - 1), marks.end(),
                   std::greater<>());
  return marks[others - 1];
}

void Member::append_messages(std::vector<membership::Action> actions, std::vector<Outgoing>& out,
                             TimePoint now) {
  for (membership::Action& action : actions) {
    if (auto* send = std::get_if<membership::Send>(&action)) {
      send->message.replica_status = {ready(now), lag_ms(now), bans_digest(), missed_collections_};
      out.push_back({std::move(send->to), std::move(send->message)});
    } else if (auto* changed = std::get_if<membership::MemberChanged>(&action)) {
      if (changed->state == membership::State::dead)
        dead_since_.try_emplace(changed->name, now);
      else
        dead_since_.erase(changed->name);
      // An earlier process's replica must not be taken for that of the current one.
      if (const auto peer = peer_replicas_.find(changed->name);
          peer != peer_replicas_.end() && peer->second.incarnation != changed->version.incarnation)
        peer->second = {{}, 0, {}, changed->version.incarnation};
      if (changed->state == membership::State::left) peer_replicas_.erase(changed->name);
      changes_.push_back(std::move(*changed));
    } else if (const auto* displaced = std::get_if<membership::Displaced>(&action)) {
      on_superseded(displaced->by.incarnation, now);
    }
  }
}

// If the clock was set back over a restart, the member's own past looks like the later process to the others.
// That is assumed only shortly after the start; of two running processes the later one stays.
void Member::on_superseded(std::uint64_t incarnation, TimePoint now) {
  if (incarnation <= incarnation_ || replaced_by_ != 0) return;
  replaced_by_ = now - started_ <= bounds_.self_replacement_window ? incarnation + 1 : kReplaced;
}

void Member::append_messages(std::vector<replica::Syncer::Outgoing> deltas,
                             std::vector<Outgoing>& out) const {
  for (replica::Syncer::Outgoing& message : deltas) {
    message.delta.missed_collections = missed_collections_;
    out.push_back({std::move(message.to), std::move(message.delta)});
  }
}

std::vector<Outgoing> Member::tick(TimePoint now, std::int64_t unix_ms) {
  std::vector<Outgoing> out;
  if (replaced_by_ != 0) return out;
  update_rejoin(now);
  if (membership_.next_tick_at() <= now) append_messages(membership_.tick(now), out, now);
  if (now - synced_at_ >= bounds_.sync.tick) {
    synced_at_ = now;
    syncer_.set_members(alive());
    // A collection may be recorded just as this member returns, by one that has not heard of it yet: the
    // member counts as reconnected only once a majority has reported the same bans.
    if (!has_majority()) {
      partitioned_ = true;
      partitioned_until_ = now;
    } else if (partitioned_ && count_agreeing_peers() >= (peers_.size() + 1) / 2) {
      partitioned_ = false;
    }
    shared_mark_ = std::max(shared_mark_, majority_mark());
    append_messages(syncer_.tick(now), out);
  }
  const bool behind = !ready(now) || syncer_.lag() > 0;
  if (!behind)
    behind_since_ = {};
  else if (behind_since_ == TimePoint{})
    behind_since_ = now;
  // Collects a slice per tick, so that a large replica does not block the loop.
  if (now - collected_at_ >= bounds_.collect_interval || entries_.collecting()) {
    if (!entries_.collecting()) collected_at_ = now;
    collect(now, unix_ms);
  }
  return out;
}

// A lifted ban must not be collected while a member that may return still holds it as active: each of those
// must have reported the same bans. A member that has been dead for too long no longer delays this if a
// majority is present; the collection is recorded, and when it returns it thereby learns to discard its
// state.
void Member::collect(TimePoint now, std::int64_t unix_ms) {
  if (rejoining_) return;
  std::uint64_t acked_by_all = entries_.mark();
  std::vector<std::string> left_out;
  std::set<std::string> all = alive();
  for (const auto& [name, since] : dead_since_) {
    if (partitioned_ || now - since < bounds_.max_retention)
      all.insert(name);
    else
      left_out.push_back(name);
  }
  for (const std::string& name : all) {
    const auto peer = peer_replicas_.find(name);
    acked_by_all = std::min(acked_by_all, peer == peer_replicas_.end() ? 0 : peer->second.agreed_mark);
  }
  if (entries_.collect(acked_by_all, unix_ms, now, &collected_, bounds_.collect_slice) == 0) return;
  bans_digest_mark_ = ~std::uint64_t{0};
  for (const std::string& name : left_out) ++missed_collections_[{name_, name}];
}

std::vector<Outgoing> Member::handle_message(const std::string& from, const membership::Message& message,
                                             TimePoint now) {
  std::vector<Outgoing> out;
  if (replaced_by_ != 0) return out;
  update_rejoin(now);
  last_message_at_ = now;
  // A member that receives but is not heard does not notice it: the gossip says that it was declared dead.
  for (const membership::MemberUpdate& update : message.updates)
    if (update.name == name_ && update.state == membership::State::dead && !rejoining_) begin_rejoin(now);
  heard_peers_.insert(from);
  syncer_.on_member_heard(from);
  apply_missed_collections(message.replica_status.missed_collections);
  PeerReplica& peer = peer_replicas_[from];
  peer.status = message.replica_status;
  if (message.replica_status.digest != 0 && message.replica_status.digest == bans_digest()) {
    peer.agreed_mark = entries_.mark();
    peer.agreed_at = now;
  }
  append_messages(membership_.handle_message(from, message, now), out, now);
  return out;
}

std::vector<Outgoing> Member::handle_message(const std::string& from, const replica::Delta& delta,
                                             TimePoint now) {
  std::vector<Outgoing> out;
  if (replaced_by_ != 0) return out;
  update_rejoin(now);
  last_message_at_ = now;
  apply_missed_collections(delta.missed_collections);
  append_messages(syncer_.handle_message(from, delta, now), out);
  return out;
}

std::vector<Outgoing> Member::leave(TimePoint now) {
  std::vector<Outgoing> out;
  if (replaced_by_ == 0) append_messages(membership_.leave(now), out, now);
  return out;
}

// ---- Operators' calls ----
CallResult Member::offline(const std::string& node, bool listed) {
  const replica::Key key{kBanKind, node};
  const auto* value = entries_.find(key);
  const auto* ban = value ? std::get_if<replica::Ban>(value) : nullptr;
  if (!listed && !(ban && ban->is_active())) return {false, "unknown data node " + node};
  if (!ban && banned_nodes().size() >= bounds_.max_bans) return {false, "too many data nodes out by hand"};
  // A repeated OFFLINE gets a new stamp: a concurrent ONLINE has not seen this one and must not lift it.
  replica::Ban placed;
  placed.placed[name_] = next_stamp();
  if (entries_.put(key, placed) != replica::ReplicatedMap::PutResult::changed)
    return {false, "the copy is full"};
  return {true, "out " + node, true};
}

CallResult Member::online(const std::string& node, bool listed) {
  const replica::Key key{kBanKind, node};
  const auto* value = entries_.find(key);
  const auto* ban = value ? std::get_if<replica::Ban>(value) : nullptr;
  if (!ban || !ban->is_active()) {
    if (listed) return {true, "was not out " + node};
    return {false, "unknown data node " + node};
  }
  replica::Ban lifted;
  lifted.lifted = ban->placed;
  entries_.put(key, lifted);
  return {true, "back " + node, true};
}

std::set<std::string, std::less<>> Member::banned_nodes() const {
  std::set<std::string, std::less<>> nodes;
  entries_.for_each_of_kind(kBanKind, [&nodes](const replica::Key& key, const replica::Value& value) {
    if (const auto* ban = std::get_if<replica::Ban>(&value); ban && ban->is_active()) nodes.insert(key.name);
  });
  return nodes;
}

std::vector<MemberRow> Member::rows(TimePoint now) const {
  std::vector<MemberRow> rows{{name_, membership::State::alive, incarnation_, lag_ms(now), ready(now)}};
  for (const auto& [name, member] : membership_.members()) {
    const auto peer = peer_replicas_.find(name);
    const bool there = peer != peer_replicas_.end() && member.state <= membership::State::suspect;
    rows.push_back({name, member.state, member.version.incarnation, there ? peer->second.status.lag_ms : 0,
                    there && peer->second.status.ready});
  }
  std::sort(rows.begin(), rows.end(), [](const MemberRow& a, const MemberRow& b) { return a.name < b.name; });
  return rows;
}

}  // namespace kelpdeal::fleet
