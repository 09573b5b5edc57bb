// SPDX-License-Identifier: MIT
// Task leases for a fleet of coordinators. At most one member holds the lease on a task. No I/O; the caller
// passes the time, which is monotonic: only durations matter, never the wall-clock time.
//
// A majority of the configured members grants a lease in two phases, after Trencseni, Gazso, Reinhardt,
// "PaxosLease: Diskless Paxos for Leases" (2012): a proposer's ballot is first promised and then accepted by
// a majority. An acceptor accepts only the exact ballot that it promised in the current process incarnation,
// and does not promise another ballot while a lease is running. It needs no disk: after a restart without
// state it stays silent until any lease that it may have granted has expired.
//
// Durations: an accepted lease runs for `lease_duration` on the acceptor's clock, which is at least
// lease_duration / (1 + drift) of true time. The holder measures from before it sent the proposal, on its own
// clock, holder_duration() = lease_duration (1 - drift) / (1 + drift), which is at most that long in true
// time. So the holder's lease expires before the acceptors' records of it, as long as all clocks stay within
// the drift bound.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::lease {

struct Bounds {
  Duration lease_duration = std::chrono::seconds(2);  // of every lease
  double max_clock_drift = 0.005;                     // maximum deviation of each clock's rate from true time
  // A round without a majority by then has failed.
  Duration round_timeout = std::chrono::milliseconds(200);
  std::size_t max_tasks = 10'000;  // maximum number of tasks an acceptor tracks
};

// How long a lease is valid for its holder, measured on the holder's clock from before it sent the proposal.
Duration holder_duration(const Bounds& bounds);

// Increases from holder to holder of a task and serves as the fencing token of the holder's actions: a party
// that checks tokens rejects any token older than the newest it has seen. `number` starts above the member's
// incarnation, which increases with each restart.
struct Ballot {
  std::uint64_t number = 0;
  std::string member;
  auto operator<=>(const Ballot&) const = default;
};

struct Message {
  // From proposers: prepare, propose (also renews), release. From acceptors: promise, accept, refuse.
  enum class Kind : std::uint8_t { prepare, propose, release, promise, accept, refuse };
  Kind kind = Kind::prepare;
  std::string task;
  Ballot ballot;  // the proposer's; the answer repeats it
  // Of the proposal; the answer repeats it, so that it is matched with one round only.
  std::uint64_t round = 0;
  Ballot promised;  // refuse: the highest promised ballot, if that was the reason
  // Refuse: how long the current lease still runs on the acceptor's clock; 0: none is running.
  Duration remaining{};
  auto operator<=>(const Message&) const = default;
};

struct Outgoing {
  std::string to;
  Message message;
};

// The granting side of one member.
class Acceptor {
 public:
  // `started_at`: start of this process, which does not know what an earlier process granted. `floor`:
  // ballots below it are not promised, so that tokens keep increasing; comes from wherever an earlier process
  // stored it.
  Acceptor(const Bounds& bounds, TimePoint started_at, Ballot floor = {})
      : bounds_(bounds), silent_until_(started_at + bounds.lease_duration), floor_(std::move(floor)) {}

  // Returns the answer; nothing while silent, beyond max_tasks, or if the message is not a request.
  std::optional<Message> handle_message(const Message& message, TimePoint now);
  // Forgets tasks whose lease has expired and that nobody requested for a lease duration. Their highest
  // ballot becomes the floor of all tasks.
  void forget(TimePoint now);
  // The highest ballot promised, to be stored for a later process.
  Ballot highest_promised() const;
  std::size_t size() const { return tasks_.size(); }
  bool silent(TimePoint now) const { return now < silent_until_; }
  // The same text for the same state, for tests that enumerate states.
  std::string state_text(TimePoint now) const;

 private:
  struct Task {
    Ballot promised, accepted;
    TimePoint expires_at{}, last_request_at{};  // of the accepted lease; of the last request
  };
  const Bounds bounds_;
  TimePoint silent_until_;
  Ballot floor_;
  std::map<std::string, Task> tasks_;
};

// The acquiring side of one member.
class Proposer {
 public:
  // `acceptors`: the configured members including this one. The majority is counted over these, never over
  // the members that are currently reachable.
  Proposer(std::string name, std::uint64_t incarnation, std::set<std::string> acceptors,
           const Bounds& bounds);

  // Starts to acquire the task, retries if the last round timed out, or renews a lease that is held.
  std::vector<Outgoing> acquire_or_renew(const std::string& task, TimePoint now);
  std::vector<Outgoing> handle_message(const std::string& from, const Message& message, TimePoint now);
  // Stops holding the lease at once, then informs the acceptors.
  std::vector<Outgoing> release(const std::string& task, TimePoint now);

  bool holds(const std::string& task, TimePoint now) const { return remaining(task, now) > Duration{}; }
  Duration remaining(const std::string& task, TimePoint now) const;
  // The fencing token of a lease that is held; to be sent with every action.
  Ballot token(const std::string& task) const;
  // Whether an action that takes up to `max_duration` may start now; to be checked immediately before its
  // first byte. As the whole duration must fit into the remaining lease, drift included, a frozen process can
  // let out at most that one action too late.
  bool can_start_action(const std::string& task, Duration max_duration, TimePoint now) const;
  // When to call again: after another member's lease expires, or when a renewal is due.
  TimePoint next_attempt_at(const std::string& task) const;
  std::vector<std::string> held_tasks(TimePoint now) const;
  std::string state_text(TimePoint now) const;

 private:
  struct Task {
    enum class State : std::uint8_t { idle, preparing, proposing } state = State::idle;
    Ballot ballot;
    std::uint64_t round = 0;
    // When the request of this round was sent.
    TimePoint round_started_at{};
    // Acceptors by their answer in this round.
    std::set<std::string> agreed_by, refused_by;
    bool acquired = false;
    TimePoint expires_at{};  // of the lease held
    TimePoint next_attempt_at{};
  };
  std::size_t majority() const { return acceptors_.size() / 2 + 1; }
  std::vector<Outgoing> to_all(const Message& message) const;
  std::vector<Outgoing> prepare(const std::string& name, Task& task, TimePoint now);
  std::vector<Outgoing> propose(const std::string& name, Task& task, TimePoint now);
  std::vector<Outgoing> abandon_round(const std::string& name, Task& task, TimePoint now);

  const std::string name_;
  const std::set<std::string> acceptors_;
  const Bounds bounds_;
  // After a failed round. Differs between members, so that two proposers that collide do not collide again.
  const Duration retry_delay_;
  std::uint64_t last_ballot_number_;
  std::map<std::string, Task> tasks_;
};

// Remembers the newest token per task and rejects actions with an older one.
class Fence {
 public:
  bool admits(const std::string& task, const Ballot& token);
  std::uint64_t refused() const { return refused_; }

 private:
  std::map<std::string, Ballot> newest_tokens_;
  std::uint64_t refused_ = 0;
};

}  // namespace kelpdeal::lease
