// SPDX-License-Identifier: MIT
// When discovery is asked. No I/O: the clock is handed in, and the jitter is drawn from a seed.
//
// All coordinators share one discovery service that takes calls in turn. A watch that is gone on with at once
// costs it next to nothing; a new one costs a call, and so does one that has waited there too long and fails.
// A hundred that start together, or come back together after a failure, so keep it busy with calls that all
// fail. New watches are spread over a span in which those of all coordinators can be served; the list held
// serves meanwhile. After a failure the span grows.
//
// What discovery has counts as told `told_after` after it could be reached, whatever became of our calls. So
// a watch waits for a third of it at the most, and a pause after a call that never reached it, as while it is
// down, leaves time for a further call and its answer. Calls that stood in its queue in vain cost it as much
// as others: pauses after those grow until all callers together ask for half of what it can do, which stays
// under `told_after` for some 40 callers. Beyond, nobody can be served sooner.
//
// Where lists are pushed, an agent on our own machine is asked instead. Its calls cost nobody anything, so no
// pace is owed to it; but what it has counts as told to us, so no call, and no pause after one, may last
// nearly as long as the grace after which a node that drains gets nothing new.
#pragma once

#include <cstdint>
#include <random>

#include "kelpdeal/time.h"

namespace kelpdeal {

struct DiscoveryScheduleOptions {
  int coordinators = 1;                               // settings: balancers
  Duration max_poll_interval = Milliseconds(10'000);  // settings: guarantees.askEveryMs
  Duration call_cost = Milliseconds(50);          // of discovery's time, left to each coordinator's new watch
  Duration spread_threshold = Milliseconds(200);  // all new watches together take less: no need to wait
  Duration min_watch_wait = Milliseconds(1'500);  // of a watch for changes, at the least
  Duration watch_slack = Milliseconds(1'000);     // beyond the wait, until a call counts as failed
  Duration min_backoff = Milliseconds(250);
  Duration assumed_known_after =
      Milliseconds(6'000);  // the platform's: a change counts as told so long after it was there
  bool pushed = false;      // settings: discovery is `automatic`
  Duration push_grace = Milliseconds(500);  // where pushed; settings: guarantees.stopSendingWithinMs
};

class DiscoverySchedule {
 public:
  DiscoverySchedule(const DiscoveryScheduleOptions& bounds, std::uint64_t seed)
      : bounds_(bounds), random_(seed) {}

  // Begins anew, for a coordinator that has just started or whose discovery has moved.
  void start(TimePoint now);
  // A call leaves.
  void call_started(TimePoint now) { call_started_at_ = now; }
  // The watch goes on, at once; where lists are pushed after a short while, if the agent answers at once.
  void call_succeeded(TimePoint now);
  // The next watch is a new one. Each failure in a row doubles the span it is drawn from, up to most_pause(),
  // or a share of `told_within` where lists are pushed.
  void call_failed(TimePoint now);

  TimePoint next_call() const { return next_call_; }  // no call before this
  Duration watch_wait() const;                        // how long a watch may wait for changes
  Duration watch_slack() const;                       // beyond that, until it counts as failed
  Duration startup_spread() const;  // in which a new watch of each coordinator can be served
  // From a failed call's end to the next call, at the most; `queued`: it stood in discovery's queue in vain,
  // where one that was refused or never came up cost it nothing.
  Duration max_pause(bool queued) const;

 private:
  double draw(double from, double to);

  const DiscoveryScheduleOptions bounds_;
  std::mt19937_64 random_;
  TimePoint next_call_{}, call_started_at_{};
  Duration backoff_{};
};

}  // namespace kelpdeal
