// SPDX-License-Identifier: MIT
// All sizes, counts and times that bound the program. Set once at startup (src/config) and passed down.
#pragma once

#include <cstddef>

#include "kelpdeal/admission/memory_plan.h"
#include "kelpdeal/connect_backoff.h"
#include "kelpdeal/discovery_schedule.h"
#include "kelpdeal/frames.h"
#include "kelpdeal/http.h"
#include "kelpdeal/json.h"
#include "kelpdeal/phases/margin.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

struct Limits {
  // Sizes and counts of input.
  http::Bounds http;                          // for client requests and discovery answers
  json::Bounds json;                          // for any JSON text
  std::size_t max_node_list_bytes = 4 << 20;  // body of a discovery answer
  std::size_t max_frame_bytes = 256 * 1024;   // one frame from a record node
  std::size_t max_parts_per_query = 1000;
  // Search front: JSON bounds of one body; a query uses three JSON levels for each of its own levels.
  json::Bounds search_json{100, 100'000};
  std::size_t max_search_body_bytes = 1 << 20;
  std::size_t max_bulk_bytes = 16 << 20;
  std::size_t max_bulk_line_bytes = 1 << 20;
  std::size_t max_bulk_items = 10'000;          // further items are refused without being parsed
  std::size_t max_multi_searches = 200;         // searches in one multi-search
  std::size_t max_multi_get_documents = 1'000;  // documents in one multi-get
  std::size_t max_multi_get_default_bytes =
      4 << 20;                              // fields and routing for all documents, times their number
  std::size_t max_fanout = 48;              // items of multi-item requests in progress, over all requests
  std::size_t max_fanout_per_request = 16;  // the same for one request
  std::size_t max_cursors = 10'000, max_cursors_per_team = 500;
  std::size_t max_cursor_bytes = 32 * 1024;
  std::size_t read_chunk_bytes = 16 * 1024;
  std::size_t max_ended_query_ids = 4096;  // remembered until the query's expiry
  // Allowed deviation from 1 of the sum of a query's weights (the rule on answers).
  double weight_sum_tolerance = 0.0001;

  // File descriptors. The rest of the platform's limit is left to discovery, the listeners and epoll.
  std::size_t max_client_connections = 512;
  std::size_t max_active_clients = 256;  // connections that have sent a request; idle ones beyond this close
  std::size_t max_node_connections = 384;
  int listen_backlog = 511;
  // Divides the descriptors: half for clients, three eighths for record nodes, one eighth (at least eight)
  // for discovery, the listeners and the log. The shares are fixed, so clients cannot starve the other uses.
  void allocate_descriptors(std::size_t descriptors);

  // Memory: what peers may make the process hold, by use. Without a bound until allocate_memory().
  admission::MemoryPlan memory = admission::plan_memory(0, 0, 0);
  // Divides the memory limit of the process (bytes), after allocate_descriptors(), and lowers the bounds of
  // single messages and of lists that would not fit into their share.
  void allocate_memory(std::size_t bytes);
  // Lowers the bounds of single messages that would not fit into their share of the memory.
  void fit_messages_to_memory();
  std::size_t max_nodes = 100'000;             // on the list, removed ones that are remembered included
  std::size_t large_request_bytes = 8 * 1024;  // received of a request that then counts as large
  int large_reads_per_turn = 4;  // reads of large requests, over all clients, in a turn of the loop
  Duration memory_trim_interval = Milliseconds(500);
  std::size_t memory_trim_bytes = 1 << 20;  // freed since memory was last returned to the system

  // Record nodes.
  std::size_t parts_per_connection = 32;              // settings: limits.multiplex
  std::size_t parts_per_call = 1;                     // settings: familyInfo.batch
  ConnectBackoff::Bounds connect_pacing;              // `timeout` is also the timeout of a first connection
  Duration node_idle_timeout = Milliseconds(25'000);  // shorter than the node's own timeout
  Duration probe_timeout = Milliseconds(250);
  Duration frame_read_timeout = Milliseconds(250);  // first to last byte; settings: limits.dialTimeoutMs
  Duration second_step_delay = Milliseconds(2);     // from a second step's first call to its other calls
  Duration removed_node_retention = std::chrono::seconds(30);  // how long a removed node is remembered
  // A connection remembers the ids of answered parts, and is replaced after giving up parts that may still be
  // answered: this many times the number of parts that it carries.
  std::size_t past_parts_factor = 8;

  // Clients.
  std::size_t max_open = 0;  // queries and parts in progress; 0: unlimited
  // Time that a second step leaves for sending the kept answer of the first step.
  phases::MarginEstimator::Bounds answer_margin_bounds;
  Duration reply_transit_margin = Milliseconds(3);  // network time of the answer to the client
  // A malformed or silent client must get an error or a close within 3 s of connecting (6 s for a huge body).
  // The timeouts of a first request and of the linger after an error stay below that.
  Duration client_read_timeout = Milliseconds(2'000);    // first to last byte of a request
  Duration first_request_timeout = Milliseconds(2'000);  // from connecting to its last byte
  Duration client_idle_timeout = Milliseconds(10'000);   // between requests
  Duration new_client_grace = Milliseconds(50);          // new connections are not evicted this long
  // At the connection limit, an unfinished request that has received nothing for this long is ended.
  Duration stalled_request_grace = Milliseconds(100);
  // At the connection limit, a request that has been arriving for this long may be ended.
  Duration unfinished_request_grace = Milliseconds(200);
  // Short of memory or connections, a response that has been written for this long is ended.
  Duration unread_response_grace = Milliseconds(500);
  Duration malformed_request_delay = Milliseconds(100);  // after a malformed request, before reading the next
  // Before the next request of a client that was refused and had sent more requests already.
  Duration ignored_refusal_delay = Milliseconds(250);
  Duration linger_timeout = Milliseconds(500);  // reading on after an error response
  std::size_t max_linger_bytes = 256 * 1024;    // the same in bytes
  Duration client_write_timeout = Milliseconds(5'000);
  Duration max_request_budget = std::chrono::minutes(5);
  Duration max_retry_after = Milliseconds(2'000);

  // Discovery. A discovery service that disappears gives no sign: a long watch would keep waiting and miss
  // all changes. It is therefore called again within a period in which few nodes come or go.
  DiscoveryScheduleOptions discovery_schedule;

  // Draining after SIGTERM. Clients use their connections for as long as these stay open, and new connections
  // still arrive for a while. Everything is served for `drain_serve_period`, or for `drain_accept_period` if
  // no connection is left by then. Requests that arrive after `drain_accept_period` end by
  // `drain_answer_deadline`, before the platform may kill the process.
  Duration drain_accept_period = Milliseconds(550);
  // From settings: drain_answer_deadline less the longest SLO.
  Duration drain_serve_period = Milliseconds(1'100);
  // From settings: the longest deadline, 3 s at most, plus 0.6 s.
  Duration drain_answer_deadline = Milliseconds(3'600);
  Duration max_drain_time = Milliseconds(10'000);  // from settings: at least the longest deadline plus 1 s

  // The operator interface: concurrent connections (beyond the limit the oldest is closed), the length of a
  // command line, and the time to send a command and to read its answer. After LEAVE, kept-alive client
  // connections close from `leave_close_delay` on.
  std::size_t max_admin_connections = 64;
  std::size_t max_admin_line_bytes = 512;
  std::size_t max_offline_nodes = 4'096;  // record nodes taken offline by operators at the same time
  Duration admin_read_timeout = Milliseconds(3'000);
  Duration admin_write_timeout = Milliseconds(1'000);
  Duration leave_close_delay = Milliseconds(1'000);
  // How often the saved set of offline nodes is checked for changes by the other process of an upgrade.
  Duration handover_poll_interval = Milliseconds(200);

  // A turn of the event loop that takes longer is counted and logged.
  Duration slow_turn_threshold = Milliseconds(100);
  // Shorter turns do not count towards loop.longest_turn_us.
  Duration measured_turn_threshold = Milliseconds(1);

  // Log: minimum time between two lines of the same kind; further lines are only counted.
  Duration log_interval = Milliseconds(1'000);
};

}  // namespace kelpdeal
