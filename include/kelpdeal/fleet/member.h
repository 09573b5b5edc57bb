// SPDX-License-Identifier: MIT
// One member of the fleet put together: who is there (membership), what is held in common (replica), how the
// copies come to be equal (syncer), and what may be promised on it. No I/O: messages come in and go out as
// values, both clocks are handed in.
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
  replica::ReplicatedMapBounds copy;
  replica::SyncBounds sync;
  std::size_t bans = 4'096;                       // nodes out by hand at once
  Duration alone = std::chrono::seconds(10);      // nobody was heard for so long: ready without the others
  Duration collect = std::chrono::seconds(10);    // how often spent entries are looked for
  std::size_t slice = 2'000;                      // ... so many looked at a tick
  Duration most_keep = std::chrono::hours(1);     // one dead for so long holds up no collection; it forgets
  Duration frozen = std::chrono::seconds(5);      // stood still for so long: what went on is not known
  Duration twin = std::chrono::seconds(5);        // displaced so soon after its start: by its own past
  Duration beat = std::chrono::milliseconds(50);  // how often ticks come, about
};

struct Outgoing {
  std::string to;
  std::variant<membership::Message, replica::Delta> body;
};

// The outcome of an operators' call.
struct Word {
  bool success = false;
  std::string text;
  bool changed = false;  // the copy changed: it counts as said once that is kept where the file asks for it
};

// One member as the operators see it.
struct Row {
  std::string name;
  membership::State state = membership::State::alive;
  std::uint64_t incarnation = 0;
  std::uint32_t lag_ms = 0;
  bool ready = false;
};

class Member {
 public:
  // `peers`: whom the fleet's file names, oneself left out.
  Member(std::string name, std::uint64_t incarnation, std::vector<std::string> peers,
         const MemberBounds& bounds, std::uint64_t seed);

  // What a folder held, or an earlier Member of this process, before start(). `unshared`: said here, and
  // taken by nobody yet as far as is known.
  struct Kept {
    std::vector<replica::Item> shared, unshared;
    std::vector<replica::Item> collected;  // bans that were lifted, and are no entries any more
    replica::MissedCollections missed_collections;
  };
  void restore(const Kept& kept);
  Kept kept() const;
  // Changes up to that mark are held by most of the configured members.
  std::uint64_t shared_mark() const { return shared_mark_; }
  const replica::MissedCollections& missed_collections() const { return missed_collections_; }
  // Changes that most are not known to hold.
  std::uint64_t unshared() const { return copy_.mark() - std::min(copy_.mark(), shared_mark_); }
  std::vector<Outgoing> start(TimePoint now);
  std::vector<Outgoing> tick(TimePoint now, std::int64_t unix_ms);  // every `beat`
  std::vector<Outgoing> handle_message(const std::string& from, const membership::Message& message,
                                       TimePoint now);
  std::vector<Outgoing> handle_message(const std::string& from, const replica::Delta& delta, TimePoint now);
  std::vector<Outgoing> leave(TimePoint now);

  // A data node out by hand, over the whole fleet, and back. `listed`: some member's list names it.
  Word offline(const std::string& node, bool listed);
  Word online(const std::string& node, bool listed);
  // Out at some member's word, for all.
  std::set<std::string, std::less<>> out() const;

  replica::ReplicatedMap& entries() { return copy_; }
  const replica::ReplicatedMap& entries() const { return copy_; }
  // Whether it has what was there when it came: until then it makes no promise that needs all of it.
  bool ready(TimePoint now) const;
  std::uint32_t lag_ms(TimePoint now) const;
  std::vector<Row> rows(TimePoint now) const;
  std::set<std::string> alive() const;  // the others
  // True once for every change of someone else's state.
  std::vector<membership::MemberChanged> changes() { return std::exchange(changes_, {}); }
  // A later process under our name is about. Above 0: this one was only mistaken for its own past, and goes
  // on under that incarnation (a new Member on the same copy); kTwin: another is there, and this one is out.
  static constexpr std::uint64_t kTwin = ~std::uint64_t{0};
  // A peer has heard that process under our name.
  void outlived(std::uint64_t incarnation, TimePoint now);
  std::uint64_t displaced_to() const { return displaced_to_; }
  // Grows when entries went, or were forgotten: what is kept of them elsewhere is to be written anew.
  std::uint64_t rewritten() const { return rewritten_; }
  std::vector<replica::Key> collected() { return std::exchange(collected_, {}); }
  const replica::Syncer& syncer() const { return syncer_; }
  const std::string& name() const { return name_; }
  std::uint64_t incarnation() const { return incarnation_; }
  int doubt() const { return membership_.local_health_score(); }

 private:
  struct Seen {  // of a peer's copy
    membership::Message::ReplicaStatus said;
    std::uint64_t agreed = 0;  // our mark when its digest last was ours
    TimePoint agreed_at{};
    std::uint64_t incarnation = 0;
  };
  void collect(TimePoint now, std::int64_t unix_ms);
  void carry(std::vector<membership::Action> acts, std::vector<Outgoing>& out, TimePoint now);
  void carry(std::vector<replica::Syncer::Outgoing> pieces, std::vector<Outgoing>& out) const;
  std::uint64_t bans_digest();
  std::uint64_t held_by_most() const;
  std::size_t agreeing() const;
  bool majority() const { return 2 * (alive().size() + 1) > peers_.size() + 1; }
  void came(TimePoint now);
  void notice(TimePoint now);
  void apply_missed_collections(const replica::MissedCollections& missed_collections);
  replica::Stamp stamp() { return {incarnation_, ++writes_}; }

  const std::string name_;
  const std::uint64_t incarnation_;
  const std::vector<std::string> peers_;
  const MemberBounds bounds_;
  membership::Membership membership_;
  replica::ReplicatedMap copy_;
  replica::Syncer syncer_;
  std::map<std::string, Seen> seen_;
  std::map<std::string, TimePoint> dead_since_;
  std::vector<membership::MemberChanged> changes_;
  std::vector<replica::Key> collected_;
  std::set<std::string> met_;  // heard since it came, or woke
  TimePoint started_{}, heard_{}, collected_at_{}, synced_at_{}, behind_since_{}, came_{}, last_{},
      apart_until_{};
  bool coming_ = true, apart_ = true;
  std::uint64_t shared_mark_ = 0;
  replica::MissedCollections missed_collections_;
  std::uint64_t writes_ = 0, displaced_to_ = 0, rewritten_ = 0;
  std::uint64_t digest_mark_ = ~std::uint64_t{0}, digest_ = 0;  // of the bans, at that mark
};

}  // namespace kelpdeal::fleet
