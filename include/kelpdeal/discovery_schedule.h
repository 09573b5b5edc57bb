// SPDX-License-Identifier: MIT
// Schedules calls to the discovery service, with backoff and jitter. Performs no I/O: the caller passes in
// the current time, and the jitter comes from a seeded generator.
//
// All coordinators share one discovery service that processes calls one at a time. Continuing a watch at once
// costs it next to nothing. A new watch costs a full call, and so does a call that waits too long in its
// queue and fails. If a hundred coordinators start together, or return together after an outage, they can
// keep the service busy with calls that all fail. New watches are therefore spread over a time span in which
// all coordinators can be served; the current node list stays in use meanwhile. After a failure the span
// grows.
//
// The platform assumes that a coordinator knows a change `assumed_known_after` after the change could be read
// from discovery, whether or not the coordinator's calls succeeded. A watch therefore waits at most a third
// of that time, and the pause after a call that never reached discovery (as during an outage) leaves time for
// another call and its answer. Calls that time out in discovery's queue cost it as much as others: the pauses
// after those grow until all coordinators together use half of its capacity. For up to about 40 coordinators
// that stays below `assumed_known_after`; with more, discovery cannot serve anyone sooner.
//
// Where lists are pushed, an agent on the local machine is called instead. Its calls are free and need no
// spreading. But the coordinator is assumed to know what the agent knows, so a call and the pause after it
// must be clearly shorter than the grace period after which a draining node must get no new attempts.
#pragma once

#include <cstdint>
#include <random>

#include "kelpdeal/time.h"

namespace kelpdeal {

struct DiscoveryScheduleOptions {
  int coordinators = 1;                               // settings: balancers
  Duration max_poll_interval = Milliseconds(10'000);  // settings: guarantees.askEveryMs
  Duration call_cost = Milliseconds(50);              // discovery's time per new watch of a coordinator
  Duration spread_threshold = Milliseconds(200);      // no spreading if all new watches together take less
  Duration min_watch_wait = Milliseconds(1'500);      // minimum time that a watch waits for changes
  Duration watch_slack = Milliseconds(1'000);         // time beyond the wait until a call counts as failed
  Duration min_backoff = Milliseconds(250);
  // Given by the platform: a change counts as known to a coordinator this long after it was available.
  Duration assumed_known_after = Milliseconds(6'000);
  bool pushed = false;                      // settings: discovery is `automatic`
  Duration push_grace = Milliseconds(500);  // if pushed; settings: guarantees.stopSendingWithinMs
};

// The caller reports the start and the end of each call, and makes the next one no earlier than next_call().
class DiscoverySchedule {
 public:
  DiscoverySchedule(const DiscoveryScheduleOptions& options, std::uint64_t seed)
      : options_(options), random_(seed) {}

  // Resets the schedule, at startup or after the discovery address has changed.
  void start(TimePoint now);
  void call_started(TimePoint now) { call_started_at_ = now; }
  // The watch continues at once. With pushed lists it continues after a short pause if the agent answered at
  // once.
  void call_succeeded(TimePoint now);
  // The next watch is a new one. Each consecutive failure doubles the span from which its time is drawn, up
  // to max_pause() or, with pushed lists, to a fraction of `push_grace`.
  void call_failed(TimePoint now);

  TimePoint next_call() const { return next_call_; }  // earliest time of the next call
  Duration watch_wait() const;                        // how long a watch may wait for changes
  Duration watch_slack() const;                       // time beyond that until the call counts as failed
  Duration startup_spread() const;  // span in which all coordinators' new watches can be served
  // Longest pause between a failed call and the next one. `queued`: the call timed out in discovery's queue
  // and has used its capacity; a refused call or a failed connection has not.
  Duration max_pause(bool queued) const;

 private:
  double draw(double from, double to);

  const DiscoveryScheduleOptions options_;
  std::mt19937_64 random_;
  TimePoint next_call_{}, call_started_at_{};
  Duration backoff_{};
};

}  // namespace kelpdeal
