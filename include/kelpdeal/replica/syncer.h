// SPDX-License-Identifier: MIT
// How copies come to be equal: whom a member tells, what, and how much at once. No I/O.
//
// Each member tells a few partners, so many as the fleet's size has digits, what changed in its copy since
// the mark they have taken, a bounded piece at a time, the next once one is taken. What a piece changes in
// their copy they pass on likewise; what it does not change ends there. So each change passes each member
// about as often as it has partners, and one that has just come takes the whole by the same pieces. Marks can
// miss what went wrong unseen, so partners compare digests now and then, and exchange the ranges that differ.
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

// How often a member, the first, forgot spent entries without word of another, the second: which then may
// hold what the others have forgotten.
using Rounds = std::map<std::pair<std::string, std::string>, std::uint32_t>;

// One message between partners. Marks are of the process that counts them (`life`, its incarnation).
struct Delta {
  std::uint64_t incarnation = 0;               // the sender's
  std::uint64_t start_mark = 0, end_mark = 0;  // the items bring a taker of `from` to `upto`; 0, 0: none
  std::uint64_t latest_mark = 0;               // the sender's latest mark
  std::uint64_t taken_life = 0, taken = 0;     // how far the sender has taken the receiver's changes
  std::vector<Item> items;
  std::uint64_t digest = 0;           // of the whole copy; 0: not told
  std::vector<std::uint64_t> ranges;  // of each range, where the whole differs; empty: not told
  std::vector<std::uint32_t> wanted;  // ranges that the receiver is asked to send
  Rounds rounds;
};

struct SyncBounds {
  std::size_t piece_bytes = 32 * 1024;
  std::size_t wanted = 8;                            // ranges at once
  Duration tick = std::chrono::milliseconds(100);    // how often partners are looked at
  Duration resend = std::chrono::milliseconds(500);  // a piece that is not taken, after so long
  Duration most_resend = std::chrono::seconds(8);    // ... growing up to this
  Duration compare = std::chrono::seconds(2);        // digests, with one partner
  std::size_t unequal =
      5;  // digests so often unequal in a row count as different, also while more is written
};

class Syncer {
 public:
  // `own` says which entries are this member's own acknowledged word: all that one that was away keeps.
  Syncer(std::string name, std::uint64_t incarnation, ReplicatedMap& copy, const SyncBounds& bounds,
         std::function<bool(const Key&, const Value&)> own);

  // Everyone in the fleet that is alive, oneself included or not.
  void members(const std::set<std::string>& names);
  struct Outgoing {
    std::string to;
    Delta delta;
  };
  std::vector<Outgoing> tick(TimePoint now);  // every `tick`
  std::vector<Outgoing> handle_message(const std::string& from, const Delta& delta, TimePoint now);

  // Something came of that member: what it has not taken was lost rather than slow, and is not held back any
  // longer than a first repeat is.
  void there(const std::string& name);

  // Forgets all but its own word and takes the whole anew: of one that may hold what the others forgot.
  void forget();
  // Sends no entries for as long: of one that does not know yet whether its own still count.
  void hold(bool held) { held_ = held; }

  // Whether all is taken that some partner had when it was first heard since the start, or since it forgot.
  // Until then nothing may be promised that needs the state; `lag` is what is still to come, in changes.
  bool caught_up() const { return caught_up_ || partners_.empty(); }
  std::uint64_t lag() const;
  // Between us and that partner, in changes: of its own not taken here, of ours not taken there.
  struct Lag {
    std::string partner;
    std::uint64_t here = 0, there = 0;
  };
  std::vector<Lag> lags() const;
  const std::vector<std::string>& partners() const { return order_; }
  std::uint64_t differing() const { return differing_; }  // copies found unequal by their digests
  std::uint64_t forgotten() const { return forgotten_; }  // times that it was away for too long

 private:
  struct Partner {
    std::uint64_t life = 0;             // of its process, as last heard
    std::uint64_t taken = 0, latest_mark = 0;  // of its changes: taken here, and there in all
    std::uint64_t goal = 0;             // its head when first heard
    bool heard = false;
    std::uint64_t theirs = 0;  // of ours: taken there
    std::uint64_t sent = 0;    // ... and sent
    TimePoint sent_at{};
    std::size_t unequal = 0;  // digests in a row that were
    Duration resend{};
    bool owed = false;  // it is to be told how far we are
  };
  Delta base(Partner& partner) const;
  std::vector<Item> items_of(std::size_t range) const {
    return held_ ? std::vector<Item>() : copy_.range(range);
  }
  std::optional<Delta> next_piece(Partner& partner, TimePoint now);
  void heard(Partner& partner, const Delta& delta);

  const std::string name_;
  const std::uint64_t life_;
  ReplicatedMap& copy_;
  const SyncBounds bounds_;
  const std::function<bool(const Key&, const Value&)> own_;
  std::map<std::string, Partner> partners_;
  std::vector<std::string> order_;
  TimePoint changed_at_{}, compared_at_{};
  std::uint64_t changed_to_ = 0;  // the mark then
  std::size_t turn_ = 0;          // whose turn it is to be compared with
  bool caught_up_ = false, held_ = false;
  std::uint64_t differing_ = 0, forgotten_ = 0;
};

// Whom `name` tells of the fleet's members: those at 1, 4, 16, ... places after it in the order of their
// hashes, which nobody has to agree on. Each is reached from each in a few steps, and who is told need not
// tell back.
std::vector<std::string> partners_of(const std::string& name, const std::set<std::string>& members);

}  // namespace kelpdeal::replica
