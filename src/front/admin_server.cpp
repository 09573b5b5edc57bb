// SPDX-License-Identifier: MIT
#include "kelpdeal/admin_server.h"

#include "kelpdeal/operations/command.h"

namespace kelpdeal {

AdminServer::AdminServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
                         std::function<Task<std::string>(std::string)> answer)
    : scheduler_(scheduler),
      limits_(limits),
      metrics_(metrics),
      answer_(std::move(answer)),
      listener_(scheduler, listen, limits.listen_backlog),
      connections_(limits.max_admin_connections) {
  scheduler_.spawn(accept_connections());
}

Task<void> AdminServer::accept_connections() {
  while (auto stream = co_await listener_.accept()) {
    metrics_.count("admin.connections");
    // Bounds the connections, as callers that hold theirs open would use up the clients' descriptors.
    const AcceptedConnections::Room room = connections_.make_room();
    if (room != AcceptedConnections::Room::available) metrics_.count("admin.shed");
    if (room != AcceptedConnections::Room::none)
      scheduler_.spawn(serve_connection(connections_.add(std::move(stream))));
  }
}

Task<void> AdminServer::serve_connection(AcceptedConnections::Position position) {
  Stream& stream = *position->stream;
  operations::LineReader reader(limits_.max_admin_line_bytes);
  const TimePoint deadline = Clock::now() + limits_.admin_read_timeout;
  char chunk[256];
  operations::LineReader::State state = operations::LineReader::State::more;
  while (state == operations::LineReader::State::more) {
    const IoResult got = co_await stream.read_some(chunk, deadline);
    if (got.status != IoStatus::ok) break;
    state = reader.feed({chunk, got.bytes});
  }
  std::string reply;
  if (state == operations::LineReader::State::done) {
    position->in_use = true;
    reply = co_await answer_(reader.line());
  } else if (state == operations::LineReader::State::too_long) {
    metrics_.count("admin.bad");
    metrics_.log("admin", "call exceeds the maximum line length");
    reply = operations::failure("call too long");
  } else {
    metrics_.count("admin.unfinished");
  }
  if (!reply.empty()) {
    co_await stream.write_all(reply, Clock::now() + limits_.admin_write_timeout);
    stream.finish_writing();
  }
  connections_.remove(position);
}

}  // namespace kelpdeal
