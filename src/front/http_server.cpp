// SPDX-License-Identifier: MIT
#include "kelpdeal/http_server.h"

namespace kelpdeal {

HttpServer::HttpServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
                       HttpHandler& handler)
    : scheduler_(scheduler),
      limits_(limits),
      metrics_(metrics),
      handler_(handler),
      listener_(scheduler, listen, limits.backlog) {
  scheduler_.spawn(accept_all());
}

Task<void> HttpServer::accept_all() {
  while (auto stream = co_await listener_.accept()) {
    metrics_.count("clients.connections");
    if (connections_.size() >= limits_.client_connections) close_oldest_idle();
    connections_.emplace_back(std::move(stream), limits_.http);
    scheduler_.spawn(converse(std::prev(connections_.end())));
    // Guards against more descriptors than we may hold: newcomers wait in the backlog.
    while (connections_.size() >= limits_.client_connections + 8)
      co_await scheduler_.sleep_until(Clock::now() + Milliseconds(5));
  }
  accepting_ = false;
}

void HttpServer::close_oldest_idle() {
  Connection* oldest = nullptr;
  for (Connection& connection : connections_)
    if (connection.idle && !connection.stream->has_input() && (!oldest || connection.since < oldest->since))
      oldest = &connection;
  if (oldest) oldest->stream->cancel();
  metrics_.log("descriptors", oldest ? "many clients: the longest idle connection is closed"
                                     : "many clients, and no connection is idle");
}

void HttpServer::drain() {
  if (draining_) return;
  draining_ = true;
  // Clients use the connections they have for as long as these stay open, and new ones keep coming for a
  // while. What is idle closes at once unless it is new or a request is already in.
  for (Connection& connection : connections_)
    if (connection.idle && !connection.fresh && !connection.stream->has_input()) connection.stream->cancel();
  drain_timer_ = scheduler_.in(limits_.drain_accept, [this] {
    listener_.close();
    for (Connection& connection : connections_)
      if (connection.idle && !connection.stream->has_input()) connection.stream->cancel();
  });
}

Task<void> HttpServer::converse(Place place) {
  try {
    while (co_await exchange(*place)) {
    }
  } catch (const std::exception& e) {
    // Guards against a connection that stays on the list, and holds up a drain, after its task has failed.
    metrics_.log("fault", e.what());
  }
  connections_.erase(place);
}

// One request and its answer. False once the connection is to be closed.
Task<bool> HttpServer::exchange(Connection& connection) {
  connection.idle = true;
  connection.since = Clock::now();
  std::vector<char> chunk(limits_.read_chunk);
  http::State state = connection.parser.advance();
  TimePoint deadline = connection.since + limits_.client_idle;
  TimePoint received = Clock::now();
  while (state == http::State::more) {
    if (!connection.parser.idle() && connection.idle) {
      connection.idle = connection.fresh = false;
      deadline = Clock::now() + limits_.client_read;
    }
    const IoResult got = co_await connection.stream->read_some(chunk, deadline);
    if (got.io == Io::timed_out && !connection.parser.idle()) {
      metrics_.log("http", "a request was not finished in time");
      co_await answer(connection, handler_.reject(408, "the request was not finished in time"));
    }
    if (got.io != Io::ok) co_return false;
    received = Clock::now();
    connection.parser.feed({chunk.data(), got.bytes});
    state = connection.parser.advance();
  }
  connection.idle = connection.fresh = false;
  if (state == http::State::bad) {
    metrics_.log("http", connection.parser.problem());
    connection.closing = true;
    co_await answer(connection, handler_.reject(connection.parser.status(), connection.parser.problem()));
    co_return false;
  }

  http::Request request = connection.parser.take();
  connection.closing = !request.keeps_alive();
  Caller caller;
  connection.stream->on_hang_up([&caller] { caller.leave(); });
  http::Response response = co_await handler_.handle(std::move(request), caller, received);
  connection.stream->on_hang_up(nullptr);
  if (caller.gone()) co_return false;
  co_await answer(connection, std::move(response));
  co_return !connection.closing;
}

Task<void> HttpServer::answer(Connection& connection, http::Response response) {
  connection.closing |= draining_;
  if (connection.closing) response.headers.fields.emplace_back("Connection", "close");
  metrics_.count("clients.status_" + std::to_string(response.status));
  const IoResult put =
      co_await connection.stream->write_all(http::write(response), Clock::now() + limits_.client_write);
  if (put.io != Io::ok) {
    connection.closing = true;
    co_return;
  }
  if (!connection.closing) co_return;
  // Guards against an answer lost to a reset: bytes unread at the close would make one.
  connection.stream->finish_writing();
  std::vector<char> rest(4096);
  const TimePoint until = Clock::now() + Milliseconds(500);
  while ((co_await connection.stream->read_some(rest, until)).io == Io::ok) {
  }
}

}  // namespace kelpdeal
