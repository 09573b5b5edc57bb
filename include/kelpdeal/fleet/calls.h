// SPDX-License-Identifier: MIT
// Operators' calls to the fleet address and their JSON answers. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kelpdeal/fleet/member.h"
#include "kelpdeal/metrics.h"
#include "kelpdeal/peers/links.h"

namespace kelpdeal::fleet {

struct Call {
  enum class Kind { offline, online, members, digest, out, state };
  Kind kind = Kind::members;
  std::string node;  // for `OFFLINE` and `ONLINE`
};

// Parses one call from its line without the line terminator; the name may be in any case. Returns nothing and
// sets `problem` if it is not a valid call.
std::optional<Call> parse_call(std::string_view line, std::string& problem);

const char* name_of(membership::State state);

// The JSON answers of `MEMBERS`, `DIGEST`, `OUT` and `STATE`.
std::string members_json(const Member& member, TimePoint now);
std::string digest_json(const Member& member);
std::string out_json(const Member& member);
// Number of entries by kind, replication lag (also by peer), traffic of each link, local health score,
// replicas found to differ, maximum delay of the event loop, and the counters whose names begin with `fleet.`
// or `peers.`.
std::string state_json(const Member& member, const std::vector<peers::Links::Traffic>& traffic,
                       const Metrics& metrics, Duration loop_delay, TimePoint now);

}  // namespace kelpdeal::fleet
