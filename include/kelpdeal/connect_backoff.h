// SPDX-License-Identifier: MIT
// Classifies failed connects to a record node and decides when another connection to it may be tried. No I/O:
// the clock is passed in and the jitter comes from a seeded generator.
//
// A node accepts a limited number of connections and refuses more; a node whose process has died refuses all.
// The established connections tell the two apart, since those of a dead process are reset. A refusal while
// another connection is established therefore means that the node's connection table is full, and must not
// count as a failure of the node. Many coordinators meet a full table at the same time, so retries are
// spread: each waits for a random time between half and all of an interval that doubles with each consecutive
// failure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "cottonbay/balancer.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

// The connects to one node.
class ConnectBackoff {
 public:
  // Intervals between connects, and their timeout.
  struct Bounds {
    Duration min_interval = Milliseconds(100);  // after the first failure
    Duration max_interval = Milliseconds(5'000);
    Duration timeout = Milliseconds(250);  // of a connect; settings: limits.dialTimeoutMs
    std::uint64_t seed = 0;  // differs between coordinators, so that their retries do not coincide
  };
  ConnectBackoff(const Bounds& bounds, std::uint64_t node)
      : bounds_(bounds), random_(static_cast<std::minstd_rand::result_type>(bounds.seed ^ (node << 8))) {}

  // Whether another connection may be opened while `established` connections are up. A first connection is
  // always allowed: whether the node is used at all is the decision module's choice.
  bool may_open(std::size_t established, TimePoint now) const {
    return established == 0 || now >= next_attempt_;
  }
  void on_success() { interval_ = {}; }
  // `elapsed`: how long the connect took. Returns `full` if the node is alive but refused the connection, and
  // `connect_failed` otherwise.
  cottonbay::Outcome on_failure(std::size_t established, Duration elapsed, TimePoint now);

 private:
  Bounds bounds_;
  std::minstd_rand random_;
  TimePoint next_attempt_{};
  Duration interval_{};
};

}  // namespace kelpdeal
