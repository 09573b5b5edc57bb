// SPDX-License-Identifier: MIT
// Tracks which members are in the fleet and whether they are alive. No I/O: messages are passed in and
// returned as values, the caller passes the time, and the jitter comes from a seeded generator.
//
// Follows SWIM (Das, Gupta, Motivala, 2002): once per period each member probes one other; without an answer
// it asks a few others to probe the target, suspects it, and declares it dead unless the suspicion is refuted
// in time. Updates are piggybacked on probes, so the cost per member does not grow with the fleet. From
// Lifeguard (Dadgar, Phillips, Currey, 2018) comes local health awareness: a member whose own timers are
// late, or whose indirect probes get no response at all, waits longer before it suspects others, and a member
// that was paused discards the verdicts that were pending.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::membership {

enum class State : std::uint8_t { alive, suspect, dead, left };

// Orders what is said about a member: by the incarnation of its process, which increases with each start, and
// within it by how often the member has refuted a suspicion. The greater version takes precedence.
struct MemberVersion {
  std::uint64_t incarnation = 0;
  std::uint32_t refutations = 0;
  auto operator<=>(const MemberVersion&) const = default;
};

// A gossiped statement about one member.
struct MemberUpdate {
  std::string name;
  MemberVersion version;
  State state = State::alive;
  bool operator==(const MemberUpdate&) const = default;
};

// What members send each other to probe one another and to spread updates.
struct Message {
  enum class Kind : std::uint8_t {
    ping,           // requests an ack; `target`, if set, is the member on whose behalf it is sent
    ack,            // the sender is alive; with `target`, that member is
    probe_request,  // asks the receiver to probe `target`
    nack            // the sender is alive, but `target` has not answered it yet
  };
  Kind kind = Kind::ping;
  std::uint64_t number = 0;  // of the probe it belongs to, as counted by the prober
  std::string target;        // of a probe_request, a nack, and an ack for an indirect probe
  // The updates are everything the sender knows, and a ping asks for everything the receiver knows. Sent by a
  // member that has just started, or to one that it considered dead.
  bool full_state = false;
  std::vector<MemberUpdate> updates;
  // The state of the sender's replica of the shared data. Carried for the user of this module, not
  // interpreted here.
  struct ReplicaStatus {
    bool ready = false;        // it has the data that its guarantees need
    std::uint32_t lag_ms = 0;  // how long it has been behind; 0: it is up to date
    std::uint64_t digest = 0;  // of the bans in force; 0: unknown
    std::map<std::pair<std::string, std::string>, std::uint32_t>
        missed_collections;  // see replica::MissedCollections
    bool operator==(const ReplicaStatus&) const = default;
  } replica_status;
};

// Periods, counts and timeouts of the protocol.
struct Bounds {
  Duration probe_period = std::chrono::seconds(1);  // one probe per period
  // Without an ack by then, others are asked to probe too.
  Duration probe_timeout = std::chrono::milliseconds(300);
  std::size_t indirect_probe_count = 3;  // members asked for an indirect probe
  std::size_t max_updates = 12;          // per message
  double retransmit_factor = 4;  // each update is sent this many times the logarithm of the fleet's size
  // Periods, times that logarithm, until a suspicion that is not refuted becomes a death.
  double suspicion_factor = 4;
  // A suspicion lasts this many times longer while fewer than `confirmations` others report it too.
  double unconfirmed_factor = 3;
  std::size_t confirmations = 3;
  int max_health_score = 8;  // upper limit of the local health score; timeouts grow up to 1 + this
  // A timer that fires later than this indicates a local problem.
  Duration late_timer_threshold = std::chrono::milliseconds(250);
  // A member that has just started requests the full state again after this many periods and after three
  // times as many.
  std::size_t resync_periods = 3;
  // Every this many periods a dead member is probed, as a partition may have healed.
  std::size_t dead_probe_interval = 8;
  // How long dead and departed members are remembered.
  Duration dead_retention = std::chrono::hours(1);
  std::size_t max_members = 1'000;  // further members are ignored
};

// Actions for the caller to carry out.
struct Send {
  std::string to;
  Message message;
};
struct MemberChanged {  // the state of another member, as seen by this one
  std::string name;
  MemberVersion version;
  State state;
};
// A later incarnation under this member's name exists: this process has to stop.
struct Displaced {
  MemberVersion by;
};
using Action = std::variant<Send, MemberChanged, Displaced>;

// One member's view of the fleet: what it knows of the others, whom it probes next, and which updates it
// spreads.
class Membership {
 public:
  Membership(std::string name, std::uint64_t incarnation, const Bounds& bounds, std::uint64_t seed);

  // `peers`: the members named in the fleet file, alive or not. They are known before any message arrives and
  // are asked for their full state.
  std::vector<Action> start(const std::vector<std::string>& peers, TimePoint now);
  std::vector<Action> handle_message(const std::string& from, const Message& message, TimePoint now);
  // To be called at next_tick_at(). A late call lowers the member's confidence in itself.
  std::vector<Action> tick(TimePoint now);
  TimePoint next_tick_at() const;
  // Graceful departure: informs others and stops probing.
  std::vector<Action> leave(TimePoint now);

  struct Member {
    MemberVersion version;
    State state = State::alive;
    TimePoint last_heard_at{};  // directly from it; the epoch: never
  };
  // All other members; a configured peer that was never heard is `dead` with incarnation 0.
  const std::map<std::string, Member, std::less<>>& members() const { return members_; }
  const std::string& name() const { return name_; }
  MemberVersion version() const { return version_; }
  std::size_t alive() const;  // includes this member and suspects
  // 0: healthy; higher: this member's own observations are less reliable
  int local_health_score() const { return health_score_; }

 private:
  struct Suspicion {
    TimePoint since, expires_at;
    std::vector<std::string> reporters;
  };
  struct Probe {  // the current probe of this member
    std::string target;
    std::uint64_t number = 0;
    TimePoint indirect_at, ends_at;
    bool indirect_sent = false, answered = false;
    std::size_t indirect_requests = 0, nacks = 0;
  };
  struct IndirectProbe {  // a probe on behalf of another member
    std::string requester, target;
    std::uint64_t requester_number = 0;
    TimePoint expires_at;
  };
  struct Broadcast {
    MemberUpdate update;
    std::size_t transmissions = 0;
  };

  double fleet_size_log() const;  // logarithm of the fleet's size
  Duration health_scaled(Duration span) const { return span * (1 + health_score_); }
  void adjust_health_score(int delta);
  void apply_update(MemberUpdate update, const std::string& from, bool full_state, TimePoint now);
  void add_full_state(Message& message) const;
  void set_state(const std::string& name, Member& member, State state, MemberVersion version, TimePoint now);
  void add_suspicion(const std::string& name, const std::string& reporter, TimePoint now);
  void enqueue_broadcast(MemberUpdate update);
  void refute(MemberVersion seen);
  Message with_updates(Message message);
  void send(const std::string& to, Message message);
  void start_probe(TimePoint now);
  void end_probe(TimePoint now);
  const std::string* next_target();
  std::vector<std::string> random_alive_members(std::size_t count, const std::string& excluded);
  std::vector<Action> take_actions() { return std::exchange(pending_actions_, {}); }

  const std::string name_;
  const Bounds bounds_;
  std::mt19937_64 random_;
  MemberVersion version_;
  bool leaving_ = false, displaced_ = false;
  int health_score_ = 0;
  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, Suspicion, std::less<>> suspicions_;
  std::map<std::string, TimePoint, std::less<>> gone_since_;  // since when dead or left
  std::vector<Broadcast> broadcasts_;
  std::vector<std::string> probe_order_;  // members still to be probed in this round
  std::uint64_t last_probe_number_ = 0, periods_ = 0;
  Probe probe_;
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;  // by this member's probe number
  TimePoint next_probe_at_{}, last_tick_at_{};
  std::vector<Action> pending_actions_;
};

}  // namespace kelpdeal::membership
