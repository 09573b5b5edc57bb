// SPDX-License-Identifier: MIT
#include "kelpdeal/http_server.h"

#include <algorithm>

namespace kelpdeal {
namespace {

// Of so many connections, those that go at once where one too many came, so that not each newcomer has to
// look for another.
std::size_t some_of(std::size_t most) { return std::max<std::size_t>(most / 16, 1); }

}  // namespace

HttpServer::HttpServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
                       HttpHandler& handler, Descriptor inherited)
    : scheduler_(scheduler),
      limits_(limits),
      metrics_(metrics),
      handler_(handler),
      listener_(scheduler, listen, limits.backlog, std::move(inherited)),
      chunk_(limits.read_chunk) {
  scheduler_.spawn(accept_all());
}

Task<void> HttpServer::accept_all() {
  while (auto stream = co_await listener_.accept()) {
    take(std::move(stream));
    shed_idle();
    // Guards against more descriptors than we may hold: newcomers wait in the backlog until one is free.
    while (connections_.size() >= limits_.client_connections) {
      if (make_room()) co_await scheduler_.yield();
      if (connections_.size() >= limits_.client_connections)
        co_await scheduler_.sleep_until(Clock::now() + Milliseconds(1));
    }
  }
  accepting_ = false;
}

void HttpServer::take(std::unique_ptr<Stream> stream) {
  metrics_.count("clients.connections");
  connections_.emplace_back(std::move(stream), limits_.http);
  connections_.back().parser.stop_at_head();
  scheduler_.spawn(converse(std::prev(connections_.end())));
}

// Guards against clients that ask once and keep their connection: once these hold all that the platform gives
// to requests, nobody else gets one. The longest idle ones go.
void HttpServer::shed_idle() {
  using State = Connection::State;
  const auto in_use = [](const Connection& c) { return !c.shed && c.state != State::silent; };
  const auto used = static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), in_use));
  if (used <= limits_.client_requests) return;
  std::vector<Candidate> idle;
  for (Connection& c : connections_)
    if (in_use(c) && c.state == State::idle) idle.emplace_back(0, c.since, &c);
  const std::size_t most = used - limits_.client_requests + some_of(limits_.client_requests) - 1;
  metrics_.count("clients.shed_idle", shed(std::move(idle), most));
}

// Closes the connections that are worth least, as many as may go of a sixteenth: what has its answer,
// newcomers that say nothing, requests that come to no end, and last what is idle between two requests. True
// if some are on their way out.
bool HttpServer::make_room() {
  using State = Connection::State;
  const TimePoint now = Clock::now();
  constexpr int kStays = 4;
  const auto worth = [&](const Connection& c) {
    if (c.state == State::lingering) return 0;
    if (c.state == State::silent && now - c.connected >= limits_.client_fresh) return 1;
    if (c.state == State::reading && now - c.since >= limits_.client_read / 4) return 2;
    return c.state == State::idle ? 3 : kStays;
  };
  std::vector<Candidate> candidates;
  for (Connection& c : connections_) {
    if (c.shed) return true;  // its end is under way
    if (const int its = worth(c); its < kStays) candidates.emplace_back(its, c.since, &c);
  }
  const std::size_t went = shed(std::move(candidates), some_of(limits_.client_connections));
  metrics_.log("descriptors", went > 0 ? "many clients: the connections of least worth are closed"
                                       : "many clients, and none that could be closed");
  metrics_.count("clients.shed", went);
  return went > 0;
}

// Lets so many of them go at the most, the least first; none that has input. How many go. The system is asked
// only of those whose turn it is: under a flood, asking of all for each newcomer takes the time of everybody.
std::size_t HttpServer::shed(std::vector<Candidate> candidates, std::size_t most) {
  std::size_t went = 0;
  const auto after = std::greater<Candidate>();
  std::make_heap(candidates.begin(), candidates.end(), after);
  for (; went < most && !candidates.empty(); candidates.pop_back()) {
    std::pop_heap(candidates.begin(), candidates.end(), after);
    Connection& least = *std::get<Connection*>(candidates.back());
    if (least.between() && least.stream->has_input()) continue;
    least.shed = true;
    least.stream->interrupt();
    ++went;
  }
  return went;
}

void HttpServer::drain() {
  if (draining_) return;
  draining_ = true;
  // Guards against a stop that leaves clients without a coordinator while others are restarted too: they use
  // the connections they have for as long as these stay open.
  parting_timer_ = scheduler_.in(limits_.drain_accept, [this] { parting_ = true; });
  drain_timer_ = scheduler_.in(limits_.drain_serve, [this] {
    closing_ = true;
    // Guards against newcomers that are up but not accepted yet: a closed listener resets them unanswered.
    while (connections_.size() < limits_.client_connections) {
      auto stream = listener_.try_accept();
      if (!stream) break;
      take(std::move(stream));
    }
    listener_.close();
    close_idle();
  });
}

void HttpServer::close_idle() {
  for (Connection& connection : connections_) {
    if (!connection.between()) continue;
    connection.parting = true;  // unless a request is there, which is read first
    if (!connection.stream->has_input()) connection.stream->interrupt();
  }
}

void HttpServer::leave(TimePoint close_from) {
  leave_timer_ = scheduler_.at(close_from, [this] {
    closing_ = true;
    close_idle();
  });
}

void HttpServer::join() {
  leave_timer_.cancel();
  if (!draining_) closing_ = false;
}

Task<void> HttpServer::converse(Place place) {
  try {
    while (co_await exchange(*place)) {
    }
    co_await part(*place);
  } catch (const std::exception& e) {
    // Guards against a connection that stays on the list, and holds up a drain, after its task has failed.
    metrics_.log("fault", e.what());
  }
  connections_.erase(place);
}

// As far as the bytes allow; stops at the head of a request whose body is streamed.
http::State HttpServer::advance(Connection& connection) {
  http::State state = connection.parser.advance();
  if (state != http::State::head) return state;
  const http::Request& head = connection.parser.message();
  const HttpHandler::BodyPolicy body_policy = handler_.body_policy(head);
  if (body_policy.most > 0) connection.parser.limit_body(body_policy.most);
  connection.invite = head.headers.has_token("expect", "100-continue");
  return body_policy.streamed ? state : connection.parser.advance();
}

// The body of one request on its connection.
class HttpServer::Streamed : public HttpBody {
 public:
  Streamed(HttpServer& server, Connection& connection) : server_(server), connection_(connection) {}
  Task<std::optional<std::string>> next() override {
    while (state_ == http::State::more) {
      state_ = connection_.parser.advance();
      if (std::string piece = connection_.parser.take_body_chunk(); !piece.empty()) co_return piece;
      if (state_ != http::State::more) break;
      // Each piece has its time, not the body: it comes no faster than its items are dealt with.
      const IoResult got =
          co_await connection_.stream->read_some(server_.chunk_, Clock::now() + server_.limits_.client_read);
      if (got.status != IoStatus::ok) {
        state_ = http::State::bad;
        break;
      }
      connection_.parser.feed({server_.chunk_.data(), got.bytes});
    }
    co_return std::nullopt;
  }
  bool complete() const override { return state_ == http::State::done; }

 private:
  HttpServer& server_;
  Connection& connection_;
  http::State state_ = http::State::more;
};

// Tells the caller once its client has closed the connection. Guards against one that closed while its
// request stood unread, perhaps with more bytes behind it: no event of that is left to come.
void HttpServer::listen_for_leave(Connection& connection, Caller& caller) {
  connection.stream->on_hang_up([&caller] { caller.leave(); });
  if (!caller.gone() && connection.stream->peer_closed()) caller.leave();
}

// True if the client left meanwhile; nobody waits for an answer then.
bool HttpServer::left(Connection& connection, const Caller& caller) {
  connection.stream->on_hang_up(nullptr);
  connection.lost |= caller.gone();
  return caller.gone();
}

// A request whose body is dealt with as it comes. False once the connection is to be closed.
Task<bool> HttpServer::take_stream(Connection& connection, TimePoint received) {
  http::Request head = connection.parser.message();
  connection.closing = !head.keeps_alive();
  if (std::exchange(connection.invite, false))
    co_await connection.stream->write_all("HTTP/1.1 100 Continue\r\n\r\n",
                                          Clock::now() + limits_.client_read);
  Streamed body(*this, connection);
  Caller caller;
  listen_for_leave(connection, caller);
  http::Response response = co_await handler_.stream(std::move(head), body, caller, received);
  if (left(connection, caller)) co_return false;
  // What was not read of the body cannot be told from a next request.
  if (body.complete())
    connection.parser.take();
  else
    connection.closing = true;
  co_await answer(connection, std::move(response));
  if (connection.closing) co_return false;
  connection.turn(Connection::State::idle);
  co_return true;
}

// One request and its answer. False once the connection is to be closed.
Task<bool> HttpServer::exchange(Connection& connection) {
  using State = Connection::State;
  const bool first = connection.state == State::silent;
  http::State state = advance(connection);
  if ((connection.shed || connection.parting) && state == http::State::more && connection.parser.idle() &&
      !connection.stream->has_input())
    co_return false;
  TimePoint deadline =
      first ? connection.connected + limits_.client_first : Clock::now() + limits_.client_idle;
  TimePoint received = Clock::now();
  while (state == http::State::more) {
    if (!connection.parser.idle() && connection.between()) {
      connection.turn(State::reading);
      if (!first) deadline = Clock::now() + limits_.client_read;
    }
    const IoResult got = co_await connection.stream->read_some(chunk_, deadline);
    if (got.status == IoStatus::timed_out && !connection.parser.idle()) {
      metrics_.log("http", "a request was not finished in time");
      connection.closing = true;
      co_await answer(connection, handler_.reject(408, "the request was not finished in time"));
    }
    if (got.status == IoStatus::timed_out && first && connection.parser.idle())
      metrics_.count("clients.silent");
    connection.lost |= got.status == IoStatus::end_of_stream || got.status == IoStatus::failed;
    if (got.status != IoStatus::ok) co_return false;
    received = Clock::now();
    connection.parser.feed({chunk_.data(), got.bytes});
    state = advance(connection);
    if (state == http::State::more && std::exchange(connection.invite, false))
      co_await connection.stream->write_all("HTTP/1.1 100 Continue\r\n\r\n", deadline);
  }
  connection.turn(State::serving);
  if (state == http::State::head) co_return co_await take_stream(connection, received);
  connection.invite = false;
  if (state == http::State::bad) {
    metrics_.log("http", connection.parser.problem());
    connection.closing = true;
    co_await answer(connection, handler_.reject(connection.parser.status(), connection.parser.problem()));
    co_return false;
  }

  http::Request request = connection.parser.take();
  connection.closing = !request.keeps_alive();
  Caller caller;
  listen_for_leave(connection, caller);
  http::Response response = co_await handler_.handle(std::move(request), caller, received);
  if (left(connection, caller)) co_return false;
  const bool malformed = response.status >= 400 && response.status < 429;
  co_await answer(connection, std::move(response));
  if (connection.closing) co_return false;
  connection.turn(State::idle);
  // Guards against a client that repeats a malformed request as fast as it is turned away: its answer is not
  // held back, but the next request waits.
  if (malformed) co_await scheduler_.sleep_until(Clock::now() + limits_.client_pause);
  co_return true;
}

Task<void> HttpServer::answer(Connection& connection, http::Response response) {
  connection.closing |= closing_;
  if (connection.closing) response.headers.fields.emplace_back("Connection", "close");
  metrics_.count("clients.status_" + std::to_string(response.status));
  const IoResult put =
      co_await connection.stream->write_all(http::write(response), Clock::now() + limits_.client_write);
  if (put.status == IoStatus::ok) co_return;
  connection.closing = connection.lost = true;  // it takes nothing more
}

// How each of our own closes goes. Guards against an answer lost to a reset: bytes unread at the close would
// make one. What comes after the shutdown is read and dropped, never sent on: its client sees the end, and
// asks again elsewhere. Of a body that goes on and on only so much is read, as reading all of it would take
// the time of everybody else; and where a connection makes room, only what is there.
Task<void> HttpServer::part(Connection& connection) {
  if (connection.lost) co_return;
  connection.turn(Connection::State::lingering);
  connection.stream->finish_writing();
  const TimePoint until = Clock::now() + (connection.shed ? Duration::zero() : limits_.client_linger);
  bool waits = !connection.shed;
  for (std::size_t left = limits_.linger_bytes; left > 0;) {
    if (connection.shed && !connection.stream->has_input()) co_return;
    const IoResult got = co_await connection.stream->read_some(chunk_, until);
    if (got.status == IoStatus::cancelled && std::exchange(waits, false)) continue;  // it makes room
    if (got.status != IoStatus::ok) co_return;
    metrics_.count("clients.dropped_late");
    left -= std::min(left, got.bytes);
  }
}

}  // namespace kelpdeal
