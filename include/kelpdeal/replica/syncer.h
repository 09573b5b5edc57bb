// SPDX-License-Identifier: MIT
// Synchronises replicas by delta gossip: which members to send to, what, and how much at once. No I/O.
//
// Each member sends the changes since the mark that they have acknowledged to a few partners, whose number
// grows with the logarithm of the fleet's size. Deltas are bounded in size; the next one is sent once the
// last is acknowledged. What a delta changes at the partner is passed on the same way; what changes nothing
// is not. So each change passes each member about as often as it has partners, and a member that has just
// started receives the whole state by the same deltas. As marks cannot reveal silent losses, partners also
// compare digests now and then and exchange the ranges that differ.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kelpdeal/replica/replicated_map.h"
#include "kelpdeal/time.h"

namespace kelpdeal::replica {

// How often a member (first) collected obsolete entries without an acknowledgement of another (second). The
// other one may still hold entries that the rest of the fleet has removed.
using MissedCollections = std::map<std::pair<std::string, std::string>, std::uint32_t>;

// One message between partners. A mark belongs to the process that counts it, identified by its incarnation.
struct Delta {
  std::uint64_t incarnation = 0;  // of the sender
  // The items bring a receiver at `start_mark` to `end_mark`; both 0: no items by mark.
  std::uint64_t start_mark = 0, end_mark = 0;
  std::uint64_t latest_mark = 0;  // the sender's
  // Up to where the sender has received the receiver's changes, and of which incarnation.
  std::uint64_t acknowledged_incarnation = 0, acknowledged_mark = 0;
  std::vector<Item> items;
  std::uint64_t digest = 0;  // of the whole replica; 0: not sent
  // Per range, after the whole digests differed; empty: not sent.
  std::vector<std::uint64_t> range_digests;
  std::vector<std::uint32_t> requested_ranges;  // ranges that the receiver is asked to send
  MissedCollections missed_collections;
};

struct SyncBounds {
  std::size_t max_delta_bytes = 32 * 1024;
  std::size_t max_requested_ranges = 8;            // per message
  Duration tick = std::chrono::milliseconds(100);  // how often partners are checked
  // Initial delay until an unacknowledged delta is repeated.
  Duration resend_delay = std::chrono::milliseconds(500);
  Duration max_resend_delay = std::chrono::seconds(8);  // upper limit of the growing delay
  Duration compare_interval = std::chrono::seconds(2);  // digests, with one partner at a time
  // Digests that differ this often in a row trigger a repair even while entries are being written.
  std::size_t mismatches_before_repair = 5;
};

class Syncer {
 public:
  // `is_own` selects the entries that this member must keep when it discards the rest in resync().
  Syncer(std::string name, std::uint64_t incarnation, ReplicatedMap& entries, const SyncBounds& bounds,
         std::function<bool(const Key&, const Value&)> is_own);

  // All members that are alive, with or without this one.
  void set_members(const std::set<std::string>& names);
  struct Outgoing {
    std::string to;
    Delta delta;
  };
  std::vector<Outgoing> tick(TimePoint now);  // to be called every SyncBounds::tick
  std::vector<Outgoing> handle_message(const std::string& from, const Delta& delta, TimePoint now);

  // A message of that member arrived: an unacknowledged delta was probably lost, so it is repeated after the
  // initial delay at most.
  void on_member_heard(const std::string& name);

  // Discards all entries but its own and fetches the whole state again. For a member that may hold entries
  // that the others have already removed.
  void resync();
  // While paused, no entries are sent: for a member that does not know yet whether its own entries are still
  // valid.
  void pause_sending(bool paused) { sending_paused_ = paused; }

  // Whether everything has been received that some partner had when it was first heard after the start or a
  // resync. Until then guarantees that need the shared state do not hold. `lag` is what is still missing, in
  // changes.
  bool caught_up() const { return caught_up_ || partners_.empty(); }
  std::uint64_t lag() const;
  // Pending changes between this member and a partner: the partner's not received here, this member's not
  // received there.
  struct Lag {
    std::string partner;
    std::uint64_t behind_here = 0, behind_there = 0;
  };
  std::vector<Lag> lags() const;
  const std::vector<std::string>& partners() const { return targets_; }
  // Replicas found to differ by their digests.
  std::uint64_t mismatch_count() const { return mismatch_count_; }
  std::uint64_t resync_count() const { return resync_count_; }  // times this member was away too long

 private:
  struct Partner {
    std::uint64_t incarnation = 0;  // of its process, as last heard
    // Of its changes: received here, and its latest.
    std::uint64_t received_mark = 0, latest_mark = 0;
    std::uint64_t catch_up_mark = 0;  // its latest mark when it was first heard
    bool heard = false;
    std::uint64_t acknowledged_mark = 0;  // of this member's changes: acknowledged by it
    // Of this member's changes: sent to it.
    std::uint64_t sent_mark = 0;
    TimePoint sent_at{};
    std::size_t mismatches = 0;  // in a row
    Duration resend_delay{};
    bool acknowledgement_due = false;  // an acknowledgement is to be sent
  };
  Delta new_delta(Partner& partner) const;
  std::vector<Item> range_items(std::size_t range) const {
    return sending_paused_ ? std::vector<Item>() : entries_.range(range);
  }
  std::optional<Delta> next_delta(Partner& partner, TimePoint now);
  void update_partner(Partner& partner, const Delta& delta);

  const std::string name_;
  const std::uint64_t incarnation_;
  ReplicatedMap& entries_;
  const SyncBounds bounds_;
  const std::function<bool(const Key&, const Value&)> is_own_;
  std::map<std::string, Partner> partners_;
  std::vector<std::string> targets_;
  TimePoint changed_at_{}, compared_at_{};
  std::uint64_t last_seen_mark_ = 0;  // the mark at that time
  // Round-robin index of digest comparisons.
  std::size_t next_compared_ = 0;
  bool caught_up_ = false, sending_paused_ = false;
  std::uint64_t mismatch_count_ = 0, resync_count_ = 0;
};

// The members that `name` sends to: those 1, 4, 16, ... places after it on the ring of name hashes, and its
// predecessor. Needs no coordination. Each member is reachable from each other in a few hops; the relation
// need not be mutual.
std::vector<std::string> partners_of(const std::string& name, const std::set<std::string>& members);

}  // namespace kelpdeal::replica
