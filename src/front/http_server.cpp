// SPDX-License-Identifier: MIT
#include "kelpdeal/http_server.h"

#include <algorithm>

namespace kelpdeal {
namespace {

// How many connections to evict at a time when `max_count` is exceeded, so that not every new connection
// triggers a search.
std::size_t eviction_batch_size(std::size_t max_count) { return std::max<std::size_t>(max_count / 16, 1); }

// Input and output that a connection may hold without a charge: the plan reserves them for each connection.
constexpr std::size_t kUnchargedBytes = 1024;

std::size_t charged(std::size_t bytes) { return bytes > kUnchargedBytes ? bytes : 0; }

}  // namespace

HttpServer::HttpServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
                       admission::MemoryAccount& memory, HttpHandler& handler, Descriptor inherited)
    : scheduler_(scheduler),
      limits_(limits),
      metrics_(metrics),
      memory_(memory),
      handler_(handler),
      large_reads_(scheduler, limits.large_reads_per_turn),
      listener_(scheduler, listen, limits.listen_backlog, std::move(inherited)),
      read_buffer_(limits.read_chunk_bytes) {
  scheduler_.spawn(accept_connections());
}

Task<void> HttpServer::accept_connections() {
  while (auto stream = co_await listener_.accept()) {
    add_connection(std::move(stream));
    evict_idle();
    // At the connection limit, new connections wait in the kernel's backlog until a descriptor is free.
    while (connections_.size() >= limits_.max_client_connections) {
      if (evict_for_capacity()) co_await scheduler_.yield();
      if (connections_.size() >= limits_.max_client_connections)
        co_await scheduler_.sleep_until(Clock::now() + Milliseconds(1));
    }
  }
  accepting_ = false;
}

void HttpServer::add_connection(std::unique_ptr<Stream> stream) {
  metrics_.count("clients.connections");
  connections_.emplace_back(scheduler_, std::move(stream), limits_.http, memory_);
  connections_.back().parser.stop_at_head();
  scheduler_.spawn(serve_connection(std::prev(connections_.end())));
}

// In which order connections are closed for others: those that have had their last response, new ones that
// have sent nothing, slow unfinished requests and unread responses, other unfinished requests, idle ones.
int HttpServer::retention_priority(const Connection& c, TimePoint now) const {
  using State = Connection::State;
  if (c.state == State::lingering) return kEnding;
  if (c.ignores_refusal) return kUseless;
  if (c.state == State::silent && now - c.connected_at >= limits_.new_client_grace) return kUseless;
  if (c.state == State::reading && is_slow(c, now)) return kSlow;
  if (c.writing && now - c.output_since >= limits_.unread_response_grace) return kSlow;
  if (c.state == State::reading && now - c.state_since >= limits_.unfinished_request_grace)
    return kUnfinished;
  return c.state == State::idle ? kIdle : kKeep;
}

// Clients that keep their connections after a request could hold all the connections that the platform allows
// for requests. Above the limit, closes those that are of the least use. Slow requests are closed only when
// the connections run short: then they go before the idle connections of clients that do not stop in a
// request.
void HttpServer::evict_idle() {
  const auto in_use = [](const Connection& c) { return !c.evicted && c.state != Connection::State::silent; };
  const auto in_use_count =
      static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), in_use));
  if (in_use_count <= limits_.max_active_clients) return;
  const std::size_t max_clients = limits_.max_client_connections;
  const bool short_of_connections = connections_.size() + eviction_batch_size(max_clients) >= max_clients;
  const TimePoint now = Clock::now();
  std::vector<Candidate> candidates;
  for (Connection& c : connections_) {
    const int priority = retention_priority(c, now);
    const bool unfinished = priority == kSlow || priority == kUnfinished;
    if (in_use(c) && priority < kKeep && (!unfinished || short_of_connections))
      candidates.emplace_back(priority, c.state_since, &c);
  }
  const std::size_t max_count =
      in_use_count - limits_.max_active_clients + eviction_batch_size(limits_.max_active_clients) - 1;
  metrics_.count("clients.shed_idle", evict(std::move(candidates), max_count));
}

// Evicts up to a sixteenth of the connection limit, those that are still being closed included. True if
// connections are being closed.
bool HttpServer::evict_for_capacity() {
  const TimePoint now = Clock::now();
  std::vector<Candidate> candidates;
  std::size_t pending_count = 0;
  for (Connection& c : connections_) {
    const int priority = retention_priority(c, now);
    pending_count += c.evicted;
    if (!c.evicted && priority < kKeep) candidates.emplace_back(priority, c.state_since, &c);
  }
  const std::size_t batch_size = eviction_batch_size(limits_.max_client_connections);
  metrics_.count("clients.evictions_pending", pending_count);
  if (pending_count >= batch_size) return true;
  const std::size_t evicted_count = evict(std::move(candidates), batch_size - pending_count);
  metrics_.log("descriptors", evicted_count > 0
                                  ? "client connection limit reached; evicted idle or slow connections"
                                  : "client connection limit reached; no connection can be evicted");
  metrics_.count("clients.shed", evicted_count);
  return pending_count + evicted_count > 0;
}

// Evicts at most `max_count` candidates in order of priority, except those with unread input, and returns the
// number. Only the candidates reached are polled: under a flood of connections, polling all of them for each
// new one would stall every client.
std::size_t HttpServer::evict(std::vector<Candidate> candidates, std::size_t max_count) {
  std::size_t evicted_count = 0;
  const auto lower_priority_first = std::greater<Candidate>();
  std::make_heap(candidates.begin(), candidates.end(), lower_priority_first);
  for (; evicted_count < max_count && !candidates.empty(); candidates.pop_back()) {
    std::pop_heap(candidates.begin(), candidates.end(), lower_priority_first);
    Connection& candidate = *std::get<Connection*>(candidates.back());
    if (candidate.awaiting_request() && candidate.has_input() && !candidate.ignores_refusal) continue;
    candidate.evicted = true;
    candidate.interrupt();
    ++evicted_count;
  }
  return evicted_count;
}

void HttpServer::drain() {
  if (draining_) return;
  draining_ = true;
  // Other coordinators may be restarted at the same time. Clients use their connections for as long as these
  // stay open, so they are kept open almost to the end of the drain.
  drain_accept_timer_ = scheduler_.in(limits_.drain_accept_period, [this] { drain_accept_over_ = true; });
  drain_serve_timer_ = scheduler_.in(limits_.drain_serve_period, [this] {
    close_after_response_ = true;
    // Accepts the connections in the backlog first, as closing the listener would reset them.
    while (connections_.size() < limits_.max_client_connections) {
      auto stream = listener_.try_accept();
      if (!stream) break;
      add_connection(std::move(stream));
    }
    listener_.close();
    close_idle();
  });
}

void HttpServer::close_idle() {
  for (Connection& connection : connections_) {
    if (!connection.awaiting_request()) continue;
    connection.close_if_idle = true;  // a request that has already arrived is served first
    if (!connection.has_input()) connection.interrupt();
  }
}

void HttpServer::leave(TimePoint close_from) {
  leave_timer_ = scheduler_.at(close_from, [this] {
    close_after_response_ = true;
    close_idle();
  });
}

void HttpServer::join() {
  leave_timer_.cancel();
  if (draining_) return;
  close_after_response_ = false;
  for (Connection& connection : connections_) connection.close_if_idle = false;
}

Task<void> HttpServer::serve_connection(ConnectionPosition position) {
  try {
    while (co_await serve_request(*position)) {
    }
    co_await close_gracefully(*position);
  } catch (const std::exception& e) {
    // A failed connection must be removed from the list as well, or a drain would wait for it.
    metrics_.log("fault", e.what());
  }
  connections_.erase(position);
}

// Parses the buffered input; stops at the head of a request whose body is streamed.
http::State HttpServer::advance(Connection& connection) {
  http::State state = connection.parser.advance();
  if (state != http::State::head) return state;
  const http::Request& head = connection.parser.message();
  const HttpHandler::BodyPolicy body_policy = handler_.body_policy(head);
  if (body_policy.max_bytes > 0) connection.parser.limit_body(body_policy.max_bytes);
  connection.expects_continue = head.headers.has_token("expect", "100-continue");
  return body_policy.streamed ? state : connection.parser.advance();
}

// Charges what the unfinished request of a connection holds, with `kept_bytes` that its handler keeps of it.
// If there is no room, drops the slowest of the slow requests, one after another, and if there is none, this
// one: it then returns false.
bool HttpServer::charge_input(Connection& connection, std::size_t kept_bytes) {
  while (!connection.shed) {
    if (connection.input.resize(charged(connection.parser.held_bytes() + kept_bytes))) return true;
    Connection* const slowest = slowest_input();
    shed_input(slowest ? *slowest : connection);
  }
  return false;
}

// Whether an unfinished request has stalled, or has been arriving for too long.
bool HttpServer::is_slow(const Connection& c, TimePoint now) const {
  if (now - c.last_input >= limits_.stalled_request_grace && !c.waits_for_turn) return true;
  return c.state == Connection::State::reading && now - c.state_since >= limits_.client_read_timeout / 4;
}

// The slow request that has received nothing for the longest time, of those that hold charged memory; null if
// there is none.
HttpServer::Connection* HttpServer::slowest_input() {
  const TimePoint now = Clock::now();
  Connection* slowest = nullptr;
  for (Connection& c : connections_)
    if (c.input.bytes() > 0 && !c.shed && is_slow(c, now) && (!slowest || c.last_input < slowest->last_input))
      slowest = &c;
  return slowest;
}

void HttpServer::shed_input(Connection& connection) {
  metrics_.count("memory.requests_shed");
  connection.shed = true;
  connection.parser.discard();
  connection.input.release();
  if (!connection.writing) connection.interrupt();  // a response that is being written ends first
}

// Large requests are read and handled a few at a time, so that small ones need not wait for them.
Task<void> HttpServer::wait_for_turn(Connection& connection) {
  if (connection.input.bytes() <= limits_.large_request_bytes) co_return;
  connection.waits_for_turn = true;
  co_await large_reads_.pass();
  connection.waits_for_turn = false;
  connection.last_input = Clock::now();  // until now its input was not read
}

// Ends the response that has been written for the longest time, of those whose clients have not read any of
// it for a while. False if there is none.
bool HttpServer::shed_slowest_output() {
  Connection* slowest = nullptr;
  const TimePoint now = Clock::now();
  for (Connection& c : connections_)
    if (c.writing && c.output.bytes() > 0 && !c.shed &&
        now - c.output_since >= limits_.unread_response_grace &&
        (!slowest || c.output_since < slowest->output_since))
      slowest = &c;
  if (!slowest) return false;
  metrics_.count("memory.responses_shed");
  slowest->shed = true;
  slowest->interrupt();
  return true;
}

// Ends a request that has not arrived completely and has to make room. Always false: the connection is to be
// closed.
Task<bool> HttpServer::refuse_unfinished(Connection& connection) {
  metrics_.log("http", connection.shed ? "unfinished request ended: memory was short"
                                       : "unfinished request ended: it had stalled at the connection limit");
  connection.closing = true;
  co_await send_response(connection, handler_.refuse("no room for the request: try again"));
  co_return false;
}

// The streamed body of the current request of a connection.
class HttpServer::StreamedBody : public HttpBody {
 public:
  StreamedBody(HttpServer& server, Connection& connection) : server_(server), connection_(connection) {}
  Task<std::optional<std::string>> next() override {
    connection_.last_input = Clock::now();  // until now the handler was busy, and not the client slow
    while (state_ == http::State::more) {
      if (connection_.shed) {
        state_ = http::State::bad;
        break;
      }
      state_ = connection_.parser.advance();
      if (std::string piece = connection_.parser.take_body_chunk(); !piece.empty()) co_return piece;
      if (state_ != http::State::more) break;
      co_await server_.wait_for_turn(connection_);
      if (connection_.shed) continue;
      // The deadline applies to each read and not to the whole body, which is read only as fast as its items
      // are processed.
      const IoResult got = co_await connection_.stream->read_some(
          server_.read_buffer_, Clock::now() + server_.limits_.client_read_timeout);
      if (got.status != IoStatus::ok) {
        state_ = http::State::bad;
        break;
      }
      connection_.last_input = Clock::now();
      connection_.parser.feed({server_.read_buffer_.data(), got.bytes});
    }
    co_return std::nullopt;
  }
  bool complete() const override { return state_ == http::State::done; }
  bool keep(std::size_t bytes) override { return server_.charge_input(connection_, bytes); }
  bool shed() const override { return connection_.shed; }

 private:
  HttpServer& server_;
  Connection& connection_;
  http::State state_ = http::State::more;
};

// Notifies the caller when the client closes the connection. If the client closed it before its request was
// read, possibly with more data behind the request, there will be no further event, so checks for that first.
void HttpServer::watch_disconnect(Connection& connection, CancellationToken& caller) {
  connection.stream->on_hang_up([&caller] { caller.cancel(); });
  if (!caller.cancelled() && connection.stream->peer_closed()) caller.cancel();
}

// Stops watching. True if the client has disconnected, so that no response is needed.
bool HttpServer::client_disconnected(Connection& connection, const CancellationToken& caller) {
  connection.stream->on_hang_up(nullptr);
  connection.peer_gone |= caller.cancelled();
  return caller.cancelled();
}

// Serves a request whose body is streamed to the handler. False if the connection is to be closed.
Task<bool> HttpServer::serve_streamed(Connection& connection, TimePoint received) {
  http::Request head = connection.parser.message();
  connection.closing = !head.keeps_alive();
  if (std::exchange(connection.expects_continue, false))
    co_await connection.stream->write_all("HTTP/1.1 100 Continue\r\n\r\n",
                                          Clock::now() + limits_.client_read_timeout);
  StreamedBody body(*this, connection);
  CancellationToken caller;
  watch_disconnect(connection, caller);
  http::Response response = co_await handler_.stream(std::move(head), body, caller, received);
  if (client_disconnected(connection, caller)) co_return false;
  connection.input.release();
  // The unread rest of a body could not be told apart from the next request.
  if (body.complete())
    connection.parser.take();
  else
    connection.closing = true;
  co_await send_response(connection, std::move(response));
  if (connection.closing) co_return false;
  connection.enter(Connection::State::idle);
  co_return true;
}

// Reads and serves one request. False if the connection is to be closed.
Task<bool> HttpServer::serve_request(Connection& connection) {
  using State = Connection::State;
  const bool first = connection.state == State::silent;
  http::State state = advance(connection);
  TimePoint deadline = first ? connection.connected_at + limits_.first_request_timeout
                             : Clock::now() + limits_.client_idle_timeout;
  TimePoint received = Clock::now();
  while (state == http::State::more) {
    if (connection.must_close() && connection.state == State::reading)
      co_return co_await refuse_unfinished(connection);
    if (connection.must_close()) co_return false;
    if (!connection.parser.idle() && connection.awaiting_request()) {
      connection.enter(State::reading);
      if (!first) deadline = Clock::now() + limits_.client_read_timeout;
    }
    co_await wait_for_turn(connection);
    if (connection.shed) co_return co_await refuse_unfinished(connection);
    const IoResult got = co_await connection.stream->read_some(read_buffer_, deadline);
    if (connection.shed ||
        (got.status == IoStatus::cancelled && connection.evicted && connection.state == State::reading))
      co_return co_await refuse_unfinished(connection);
    if (got.status == IoStatus::timed_out && !connection.parser.idle()) {
      metrics_.log("http", "request not received completely in time");
      connection.closing = true;
      co_await send_response(connection, handler_.reject(408, "the request was not finished in time"));
    }
    if (got.status == IoStatus::timed_out && first && connection.parser.idle())
      metrics_.count("clients.silent");
    connection.peer_gone |= got.status == IoStatus::end_of_stream || got.status == IoStatus::failed;
    if (got.status != IoStatus::ok) co_return false;
    received = connection.last_input = Clock::now();
    connection.parser.feed({read_buffer_.data(), got.bytes});
    state = advance(connection);
    if (!charge_input(connection)) co_return co_await refuse_unfinished(connection);
    if (state == http::State::more && std::exchange(connection.expects_continue, false))
      co_await connection.stream->write_all("HTTP/1.1 100 Continue\r\n\r\n", deadline);
  }
  co_await wait_for_turn(connection);
  if (connection.shed) co_return co_await refuse_unfinished(connection);
  connection.enter(State::serving);
  if (state == http::State::head) co_return co_await serve_streamed(connection, received);
  connection.expects_continue = false;
  if (state == http::State::bad) {
    metrics_.log("http", connection.parser.problem());
    connection.closing = true;
    co_await send_response(connection,
                           handler_.reject(connection.parser.status(), connection.parser.problem()));
    co_return false;
  }

  http::Request request = connection.parser.take();
  connection.input.release();  // the handler charges what it keeps of the request
  charge_input(connection);    // of the requests behind it
  connection.closing = !request.keeps_alive();
  CancellationToken caller;
  watch_disconnect(connection, caller);
  http::Response response = co_await handler_.handle(std::move(request), caller, received);
  if (client_disconnected(connection, caller)) co_return false;
  const bool malformed = response.status >= 400 && response.status < 429;
  // A client that has sent more requests before this answer is not waiting for the time it was told to.
  const bool ignores_refusal = response.status >= 429 && connection.has_input();
  co_await send_response(connection, std::move(response));
  if (connection.closing) co_return false;
  connection.enter(State::idle);
  // Slows down a client that repeats a malformed request: the response is sent at once, but the next request
  // is read only after a pause.
  if (malformed) co_await connection.pause.park(Clock::now() + limits_.malformed_request_delay);
  if (!ignores_refusal) co_return true;
  connection.ignores_refusal = true;
  co_await connection.pause.park(Clock::now() + limits_.ignored_refusal_delay);
  connection.ignores_refusal = false;
  if (connection.evicted) co_return false;
  co_return true;
}

Task<void> HttpServer::send_response(Connection& connection, http::Response response) {
  connection.closing |= close_after_response_ || connection.evicted || connection.shed;
  if (connection.closing) response.headers.fields.emplace_back("Connection", "close");
  connection.output_since = Clock::now();
  while (!connection.output.resize(charged(response.body.size()))) {
    if (shed_slowest_output()) continue;
    metrics_.log("memory", "no memory for a response; the request is answered as failed");
    response =
        handler_.reject(504, "no memory for the response");  // not as refused: it may have had an effect
    connection.closing = true;
    response.headers.fields.emplace_back("Connection", "close");
  }
  metrics_.count("clients.status_" + std::to_string(response.status));
  const std::string head = http::write_head(response);
  connection.writing = true;
  const IoResult write_result = co_await write_response(connection, head, response.body);
  connection.writing = false;
  connection.output.release();
  if (write_result.status == IoStatus::ok) co_return;
  connection.closing = connection.peer_gone = true;  // the client does not accept the response
}

// Small responses are written as one piece, so that they arrive in one packet.
Task<IoResult> HttpServer::write_response(Connection& connection, const std::string& head,
                                          const std::string& body) {
  const TimePoint deadline = Clock::now() + limits_.client_write_timeout;
  if (body.size() > admission::kSmallHolderBytes) {
    std::vector<std::string_view> pieces(1, head);  // GCC 12 rejects a list of them in a coroutine
    pieces.push_back(body);
    co_return co_await connection.stream->write_pieces(std::move(pieces), deadline);
  }
  const std::string whole = head + body;
  co_return co_await connection.stream->write_all(whole, deadline);
}

// Closes a connection from our side (lingering close). Closing a socket with unread input sends a reset,
// which can destroy a response that the client has not read yet. So the sending side is shut down first, and
// input that still arrives is read and discarded: the client sees the end of the stream and can send the
// request elsewhere. The amount read is bounded, as an endless body would take time from other clients. An
// evicted connection only discards the input that is already there.
Task<void> HttpServer::close_gracefully(Connection& connection) {
  if (connection.peer_gone) co_return;
  connection.enter(Connection::State::lingering);
  connection.stream->finish_writing();
  const TimePoint until = Clock::now() + (connection.evicted ? Duration::zero() : limits_.linger_timeout);
  bool wait_for_more = !connection.evicted;
  for (std::size_t remaining = limits_.max_linger_bytes; remaining > 0;) {
    if (connection.evicted && !connection.stream->has_input()) co_return;
    const IoResult got = co_await connection.stream->read_some(read_buffer_, until);
    if (got.status == IoStatus::cancelled && std::exchange(wait_for_more, false))
      continue;  // evicted meanwhile
    if (got.status != IoStatus::ok) co_return;
    metrics_.count("clients.dropped_late");
    remaining -= std::min(remaining, got.bytes);
  }
}

}  // namespace kelpdeal
