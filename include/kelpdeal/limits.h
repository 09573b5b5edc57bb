// SPDX-License-Identifier: MIT
// Every size, count and time that bounds the program. Filled once at start (src/config) and handed down.
#pragma once

#include <cstddef>

#include "kelpdeal/frames.h"
#include "kelpdeal/http.h"
#include "kelpdeal/json.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

struct Limits {
  // Sizes and counts of what is read.
  http::Bounds http;                     // of a client's request or a discovery answer
  json::Bounds json;                     // of any JSON text
  std::size_t list_bytes = 4 << 20;      // body of a discovery answer
  std::size_t frame_bytes = 256 * 1024;  // of one frame from a record node
  std::size_t parts_per_query = 1000;
  std::size_t read_chunk = 16 * 1024;

  // Descriptors. What is left of the platform's figure goes to discovery, the listeners and epoll.
  std::size_t client_connections = 512;
  std::size_t node_connections = 384;
  int backlog = 511;

  // Record nodes.
  std::size_t parts_per_connection = 32;  // settings: limits.multiplex
  std::size_t parts_per_call = 1;         // settings: familyInfo.batch
  Duration connect_timeout = Milliseconds(250);
  Duration node_idle = Milliseconds(25'000);  // we close before the node does
  Duration probe_timeout = Milliseconds(250);

  // Clients.
  std::size_t open = 0;                      // queries and parts held; 0: no bound
  Duration answer_margin = Milliseconds(3);  // from our clock to the client's: the answer's way back
  Duration client_idle = std::chrono::minutes(5);
  Duration client_read = Milliseconds(10'000);  // from a request's first byte to its last
  Duration client_write = Milliseconds(5'000);
  Duration longest_budget = std::chrono::minutes(5);
  Duration most_retry_after = Milliseconds(2'000);

  // Discovery.
  Duration watch_wait = Milliseconds(20'000);
  Duration watch_slack = Milliseconds(2'000);  // beyond the wait, until a call counts as failed

  // SIGTERM: new connections are taken for so long, and fresh ones may still bring a request.
  Duration drain_accept = Milliseconds(550);
  Duration drain_most = Milliseconds(10'000);

  // Log: of one kind of line, at most one in so long; the others are counted.
  Duration log_every = Milliseconds(1'000);
};

}  // namespace kelpdeal
