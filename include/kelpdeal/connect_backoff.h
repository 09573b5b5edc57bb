// SPDX-License-Identifier: MIT
// What a connect to a record node that fails tells, and when a further connection to it is tried. No I/O: the
// clock is handed in, and the jitter is drawn from a seed.
//
// A node holds so many connections and refuses any more, as a process that is gone refuses all. Which of the
// two it is shows by the connections that are up: those of a dead process are reset. So a refusal beside one
// that is up is no verdict on the node, only a part that it turned away. Many coordinators meet a full table
// together; a further connection is tried again after a pause, drawn between half and all of a span that
// doubles by each failure in a row.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "cottonbay/balancer.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

class ConnectBackoff {
 public:
  struct Bounds {
    Duration least = Milliseconds(100);   // first pause
    Duration most = Milliseconds(5'000);  // longest pause
    Duration timeout =
        Milliseconds(250);   // settings: limits.dialTimeoutMs; a connect that lasts longer has failed
    std::uint64_t seed = 0;  // differs by coordinator, so that their pauses do
  };
  ConnectBackoff(const Bounds& bounds, std::uint64_t node)
      : bounds_(bounds), random_(static_cast<std::minstd_rand::result_type>(bounds.seed ^ (node << 8))) {}

  // Whether a connection may be opened beside so many that are up. A first one always may: whether a node
  // is tried at all is not decided here.
  bool may_open(std::size_t up, TimePoint now) const { return up == 0 || now >= next_; }
  void opened() { pause_ = {}; }
  // `took`: how long the connect lasted. `full`: the node is there, and turned a connection away.
  cottonbay::Outcome failed(std::size_t up, Duration took, TimePoint now);

 private:
  Bounds bounds_;
  std::minstd_rand random_;
  TimePoint next_{};
  Duration pause_{};
};

}  // namespace kelpdeal
