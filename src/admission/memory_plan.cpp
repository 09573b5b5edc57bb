// SPDX-License-Identifier: MIT
#include "kelpdeal/admission/memory_plan.h"

#include <algorithm>

namespace kelpdeal::admission {
namespace {

struct UseDescription {
  const char* name;
  const char* counter;
  std::size_t percent;        // of what the program and the connections leave
  std::size_t large_percent;  // of the share
};

constexpr std::array<UseDescription, kUseCount> kUses{{
    {"unfinished requests", "unfinished_requests", 16, 75},
    {"accepted requests", "accepted_requests", 24, 50},
    {"answers", "answers", 7, 75},
    {"responses", "responses", 6, 100},
    {"calls to nodes", "node_calls", 8, 75},
    {"answers being received", "node_input", 6, 100},
    {"node lists", "node_list", 27, 100},
    {"cursors", "cursors", 3, 100},
    {"messages between coordinators", "peer_links", 3, 100},
}};

constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kProgramBytes = 8 * kMegabyte;
// Parsing one body of many small values takes a multiple of its size, for one body at a time.
constexpr std::size_t kMaxWorkingSpaceBytes = 16 * kMegabyte;
constexpr std::size_t kWorkingSpaceDivisor = 8;  // of the limit
constexpr std::size_t kClientConnectionBytes = 5 * 1024;
constexpr std::size_t kNodeConnectionBytes = 4 * 1024;
// A limit below the least that is supported still leaves room to serve something.
constexpr std::size_t kMinDividedBytes = 4 * kMegabyte;

}  // namespace

const char* name_of(Use use) { return kUses[static_cast<std::size_t>(use)].name; }
const char* counter_of(Use use) { return kUses[static_cast<std::size_t>(use)].counter; }

std::size_t MemoryPlan::sum() const {
  std::size_t total = program + working_space + connections;
  for (const Share& share : shares) total += share.bound;
  return total;
}

MemoryPlan plan_memory(std::size_t limit, std::size_t client_connections, std::size_t node_connections) {
  MemoryPlan plan;
  plan.limit = limit;
  plan.program = kProgramBytes;
  plan.working_space =
      limit == 0 ? kMaxWorkingSpaceBytes : std::min(limit / kWorkingSpaceDivisor, kMaxWorkingSpaceBytes);
  plan.connections = client_connections * kClientConnectionBytes + node_connections * kNodeConnectionBytes;
  if (limit == 0) {
    plan.shares.fill({static_cast<std::size_t>(-1), static_cast<std::size_t>(-1)});
    return plan;
  }
  const std::size_t taken = plan.program + plan.working_space + plan.connections;
  const std::size_t divided = std::max(limit > taken ? limit - taken : 0, kMinDividedBytes);
  for (std::size_t i = 0; i < kUseCount; ++i) {
    plan.shares[i].bound = divided * kUses[i].percent / 100;
    plan.shares[i].large_bound = plan.shares[i].bound * kUses[i].large_percent / 100;
  }
  return plan;
}

}  // namespace kelpdeal::admission
