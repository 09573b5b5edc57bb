// SPDX-License-Identifier: MIT
// How the memory limit of the process is divided among the uses that peers can make it hold. No I/O.
#pragma once

#include <array>
#include <cstddef>

namespace kelpdeal::admission {

// What memory is held for.
enum class Use : std::size_t {
  unfinished_requests,  // requests that are still arriving
  accepted_requests,    // requests in progress: their texts, parts and bookkeeping
  answers,              // values of nodes that belong to a request in progress
  responses,            // responses that their clients have not read yet
  node_calls,           // calls copied for a node, and the ids of the parts on each connection
  node_input,           // answers of nodes that are still arriving
  node_list,            // lists of nodes, and what is known of each node
  cursors,              // open and cleared cursors
  peer_links,           // messages between the coordinators of a fleet
};
inline constexpr std::size_t kUseCount = 9;
// "unfinished requests"; for log lines.
const char* name_of(Use use);
// "unfinished_requests"; for counters.
const char* counter_of(Use use);

// The bound of one use, in bytes.
struct Share {
  std::size_t bound = 0;
  // Holders of more than kSmallHolderBytes may together fill the share only up to this, so that large
  // requests cannot keep out small ones.
  std::size_t large_bound = 0;
};
inline constexpr std::size_t kSmallHolderBytes = 16 * 1024;

struct MemoryPlan {
  std::size_t limit = 0;          // of the process; 0: none, and no share has a bound
  std::size_t program = 0;        // the program itself
  std::size_t working_space = 0;  // of the one message that is being parsed or written
  std::size_t connections = 0;    // sockets, coroutines and small buffers of all connections
  std::array<Share, kUseCount> shares{};
  const Share& share(Use use) const { return shares[static_cast<std::size_t>(use)]; }
  // Of all shares and the rest: at most `limit`, if that is at least 32 MB, the least that is supported.
  std::size_t sum() const;
};

// `limit` in bytes, 0 for none; the numbers of connections are those that the descriptor limit allows.
MemoryPlan plan_memory(std::size_t limit, std::size_t client_connections, std::size_t node_connections);

}  // namespace kelpdeal::admission
