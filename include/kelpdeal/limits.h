// SPDX-License-Identifier: MIT
// Every size, count and time that bounds the program. Filled once at start (src/config) and handed down.
#pragma once

#include <cstddef>

#include "kelpdeal/connect_backoff.h"
#include "kelpdeal/discovery_pace.h"
#include "kelpdeal/frames.h"
#include "kelpdeal/http.h"
#include "kelpdeal/json.h"
#include "kelpdeal/phases/margin.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

struct Limits {
  // Sizes and counts of what is read.
  http::Bounds http;                     // of a client's request or a discovery answer
  json::Bounds json;                     // of any JSON text
  std::size_t list_bytes = 4 << 20;      // body of a discovery answer
  std::size_t frame_bytes = 256 * 1024;  // of one frame from a record node
  std::size_t parts_per_query = 1000;
  // Of the search front: one body, one bulk, one line of it, what one request of many items holds.
  json::Bounds search_json{100, 100'000};  // of one body: queries nest three deep for each of their levels
  std::size_t search_body = 1 << 20;
  std::size_t bulk_bytes = 16 << 20;
  std::size_t bulk_line = 1 << 20;
  std::size_t bulk_items = 10'000;  // beyond them items are turned away unread
  std::size_t searches = 200;       // of one multi-search
  std::size_t documents = 1'000;    // of one multi-get
  std::size_t fanout = 48;          // items open at once over all requests of many items
  std::size_t fanout_of_one = 16;   // ... of one of them
  std::size_t cursors = 10'000, cursors_of_team = 500;
  std::size_t cursor_bytes = 32 * 1024;
  std::size_t read_chunk = 16 * 1024;
  std::size_t used_ids = 4096;  // of queries whose client may still wait
  double mass_slack = 0.0001;   // the masses of a query add up to 1 but for so much (the rule on answers)

  // Descriptors. What is left of the platform's figure goes to discovery, the listeners and epoll.
  std::size_t client_connections = 512;
  std::size_t client_requests = 256;  // of them, those that have asked for something: idle ones over it close
  std::size_t node_connections = 384;
  int backlog = 511;
  // Shares so many descriptors out: half to clients, so that however many they are, three eighths are left to
  // record nodes and an eighth, eight at the least, to discovery, the listeners and the log.
  void share_descriptors(std::size_t sockets);

  // Record nodes.
  std::size_t parts_per_connection = 32;      // settings: limits.multiplex
  std::size_t parts_per_call = 1;             // settings: familyInfo.batch
  ConnectBackoff::Bounds connects;            // `timeout`: also what a first connection may take
  Duration node_idle = Milliseconds(25'000);  // we close before the node does
  Duration probe_timeout = Milliseconds(250);
  Duration frame_time =
      Milliseconds(250);  // settings: limits.dialTimeoutMs; from a frame's first byte to its last
  Duration second_step_gap = Milliseconds(2);       // from a second step's first call to its others
  Duration node_memory = std::chrono::seconds(30);  // one that left the list is forgotten after so long
  std::size_t past_ids =
      8;  // parts that a connection is done with are remembered, so many times what it carries

  // Clients.
  std::size_t open = 0;                      // queries and parts held; 0: no bound
  phases::MarginKeeper::Bounds out;          // what a second step leaves for a kept answer's way out
  Duration answer_margin = Milliseconds(3);  // from our clock to the client's: the answer's way back
  // A bad or silent client is owed an error or a close within 3 s of connecting (6 s for a huge body): what
  // is given to a first request, and to the linger after an error, stays under that.
  Duration client_read = Milliseconds(2'000);   // from a request's first byte to its last
  Duration client_first = Milliseconds(2'000);  // from connecting to a first request's last byte
  Duration client_idle = Milliseconds(10'000);  // between requests
  Duration client_fresh = Milliseconds(50);     // so long a newcomer is spared when connections are short
  Duration client_pause = Milliseconds(100);    // after a malformed request, before the next is read
  Duration client_linger = Milliseconds(500);   // after an error, for what is still coming
  std::size_t linger_bytes = 256 * 1024;        // ... and so much of it at the most
  Duration client_write = Milliseconds(5'000);
  Duration longest_budget = std::chrono::minutes(5);
  Duration most_retry_after = Milliseconds(2'000);

  // Discovery.
  // Discovery that vanishes gives no sign: a watch that waits for long would go on waiting, and every change
  // meanwhile be missed. So it is asked again within a span in which few nodes come or go.
  PaceBounds pace;

  // SIGTERM. Clients use the connections they have for as long as these stay open, and new ones keep coming
  // for a while: all is served on for `drain_serve` (for `drain_accept`, if no connection is left by then).
  // What comes later than `drain_accept` ends by `drain_end`, before the platform may kill us.
  Duration drain_accept = Milliseconds(550);
  Duration drain_serve = Milliseconds(1'100);  // settings: one longest aim before the end
  Duration drain_end = Milliseconds(3'600);    // settings: the longest deadline, 3 s at most, and 0.6 s
  Duration drain_most = Milliseconds(10'000);  // settings: no sooner than the longest deadline and 1 s

  // The operators' door: callers at once (beyond, the oldest goes), a call's line, and how long a caller has
  // to finish its line and to take the answer. After LEAVE, kept client connections close from `leave_close`
  // on.
  std::size_t admin_callers = 64;
  std::size_t admin_line = 512;
  std::size_t admin_out = 4'096;  // data nodes out by hand at once
  Duration admin_read = Milliseconds(3'000);
  Duration admin_write = Milliseconds(1'000);
  Duration leave_close = Milliseconds(1'000);
  // How often the hand-over of nodes out by hand is looked at, for what the other process of an upgrade was
  // told.
  Duration handover_every = Milliseconds(200);

  // Log: of one kind of line, at most one in so long; the others are counted.
  Duration log_every = Milliseconds(1'000);
};

}  // namespace kelpdeal
