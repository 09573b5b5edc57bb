// SPDX-License-Identifier: MIT
// One member of the fleet, without I/O: combines membership, the replicated shared state and its
// synchronisation, and decides which guarantees hold. Messages are passed in and returned as values; the
// caller passes both clocks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kelpdeal/membership/membership.h"
#include "kelpdeal/replica/replicated_map.h"
#include "kelpdeal/replica/syncer.h"
#include "kelpdeal/time.h"

namespace kelpdeal::fleet {

struct MemberBounds {
  membership::Bounds membership;
  replica::ReplicatedMapBounds entries;
  replica::SyncBounds sync;
  std::size_t max_bans = 4'096;  // maximum number of banned nodes
  // Without any message for this long, a member is ready on its own.
  Duration solo_ready_after = std::chrono::seconds(10);
  Duration collect_interval = std::chrono::seconds(10);  // how often obsolete entries are collected
  std::size_t collect_slice = 2'000;                     // ... entries visited per tick
  // A member dead for longer no longer delays collection; it has to discard its state.
  Duration max_retention = std::chrono::hours(1);
  // After a pause this long the state of the others is unknown.
  Duration freeze_threshold = std::chrono::seconds(5);
  // A displacement this soon after the start is by this member's own earlier process.
  Duration self_replacement_window = std::chrono::seconds(5);
  Duration tick_interval = std::chrono::milliseconds(50);  // approximate interval of ticks
};

struct Outgoing {
  std::string to;
  std::variant<membership::Message, replica::Delta> body;
};

// The outcome of an operators' call.
struct CallResult {
  bool success = false;
  std::string text;
  // The shared state changed: acknowledged only once stored, if the file configures a folder.
  bool changed = false;
};

// One member as shown to operators.
struct MemberRow {
  std::string name;
  membership::State state = membership::State::alive;
  std::uint64_t incarnation = 0;
  std::uint32_t lag_ms = 0;
  bool ready = false;
};

class Member {
 public:
  // `peers`: the members named in the fleet file, without this one.
  Member(std::string name, std::uint64_t incarnation, std::vector<std::string> peers,
         const MemberBounds& bounds, std::uint64_t seed);

  // The state loaded from a folder, or taken over from an earlier Member of this process, before start().
  // `unshared`: written here and not known to have been received by others.
  struct SavedState {
    std::vector<replica::Item> shared, unshared;
    std::vector<replica::Item> tombstones;  // of lifted bans
    replica::MissedCollections missed_collections;
  };
  void restore(const SavedState& saved_state);
  SavedState saved_state() const;
  // Changes up to this mark are held by a majority of the configured members.
  std::uint64_t shared_mark() const { return shared_mark_; }
  const replica::MissedCollections& missed_collections() const { return missed_collections_; }
  // Changes not known to be held by a majority.
  std::uint64_t unshared() const { return entries_.mark() - std::min(entries_.mark(), shared_mark_); }
  std::vector<Outgoing> start(TimePoint now);
  // To be called every `tick_interval`.
  std::vector<Outgoing> tick(TimePoint now, std::int64_t unix_ms);
  std::vector<Outgoing> handle_message(const std::string& from, const membership::Message& message,
                                       TimePoint now);
  std::vector<Outgoing> handle_message(const std::string& from, const replica::Delta& delta, TimePoint now);
  std::vector<Outgoing> leave(TimePoint now);

  // Bans a data node across the whole fleet, or lifts the ban. `listed`: some member's list contains the
  // node.
  CallResult offline(const std::string& node, bool listed);
  CallResult online(const std::string& node, bool listed);
  // Nodes banned by any member.
  std::set<std::string, std::less<>> banned_nodes() const;

  replica::ReplicatedMap& entries() { return entries_; }
  const replica::ReplicatedMap& entries() const { return entries_; }
  // Whether it has received the state that existed when it started; until then guarantees that need the whole
  // state do not hold.
  bool ready(TimePoint now) const;
  std::uint32_t lag_ms(TimePoint now) const;
  std::vector<MemberRow> rows(TimePoint now) const;
  std::set<std::string> alive() const;  // without this member
  // Returns and clears the changes of other members' states.
  std::vector<membership::MemberChanged> take_changes() { return std::exchange(changes_, {}); }
  // Set if a later process under this member's name exists. A value other than kReplaced: the later process
  // was this member's own past, and this one continues under that incarnation (a new Member with the same
  // state). kReplaced: another process is running, and this one must stop.
  static constexpr std::uint64_t kReplaced = ~std::uint64_t{0};
  // A peer has heard that incarnation under this member's name.
  void on_superseded(std::uint64_t incarnation, TimePoint now);
  std::uint64_t replaced_by() const { return replaced_by_; }
  // Increases when entries were removed or discarded: the state on disk must be rewritten.
  std::uint64_t rewrite_count() const { return rewrite_count_; }
  std::vector<replica::Key> take_collected() { return std::exchange(collected_, {}); }
  const replica::Syncer& syncer() const { return syncer_; }
  const std::string& name() const { return name_; }
  std::uint64_t incarnation() const { return incarnation_; }
  int local_health_score() const { return membership_.local_health_score(); }

 private:
  struct PeerReplica {  // a peer's replica
    membership::Message::ReplicaStatus status;
    std::uint64_t agreed_mark = 0;  // this member's mark when the peer's digest last matched
    TimePoint agreed_at{};
    std::uint64_t incarnation = 0;
  };
  void collect(TimePoint now, std::int64_t unix_ms);
  void append_messages(std::vector<membership::Action> actions, std::vector<Outgoing>& out, TimePoint now);
  void append_messages(std::vector<replica::Syncer::Outgoing> deltas, std::vector<Outgoing>& out) const;
  std::uint64_t bans_digest();
  std::uint64_t majority_mark() const;
  std::size_t count_agreeing_peers() const;
  bool has_majority() const { return 2 * (alive().size() + 1) > peers_.size() + 1; }
  void begin_rejoin(TimePoint now);
  void update_rejoin(TimePoint now);
  void apply_missed_collections(const replica::MissedCollections& missed_collections);
  replica::Stamp next_stamp() { return {incarnation_, ++writes_}; }

  const std::string name_;
  const std::uint64_t incarnation_;
  const std::vector<std::string> peers_;
  const MemberBounds bounds_;
  membership::Membership membership_;
  replica::ReplicatedMap entries_;
  replica::Syncer syncer_;
  std::map<std::string, PeerReplica> peer_replicas_;
  std::map<std::string, TimePoint> dead_since_;
  std::vector<membership::MemberChanged> changes_;
  std::vector<replica::Key> collected_;
  std::set<std::string> heard_peers_;  // heard since the start or since the last pause
  TimePoint started_{}, last_message_at_{}, collected_at_{}, synced_at_{}, behind_since_{},
      rejoin_started_at_{}, last_activity_at_{}, partitioned_until_{};
  bool rejoining_ = true, partitioned_ = true;
  std::uint64_t shared_mark_ = 0;
  replica::MissedCollections missed_collections_;
  std::uint64_t writes_ = 0, replaced_by_ = 0, rewrite_count_ = 0;
  // Digest of the bans, and the mark it was computed at.
  std::uint64_t bans_digest_mark_ = ~std::uint64_t{0}, bans_digest_ = 0;
};

}  // namespace kelpdeal::fleet
