// SPDX-License-Identifier: MIT
// HTTP/1.1 server for a front: parsing, keep-alive, malformed input, client disconnects, connection limits
// and draining before a planned stop.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <tuple>

#include "kelpdeal/admission/memory_account.h"
#include "kelpdeal/broker.h"
#include "kelpdeal/http.h"
#include "kelpdeal/socket.h"
#include "kelpdeal/turn_queue.h"

namespace kelpdeal {

// A request body that is read as a stream.
class HttpBody {
 public:
  virtual ~HttpBody() = default;
  // The next piece; empty at the end of the stream. complete() then tells whether the whole body was
  // received.
  virtual Task<std::optional<std::string>> next() = 0;
  virtual bool complete() const = 0;
  // Charges the memory in which the handler keeps pieces that it cannot process yet, in bytes. False if there
  // is no memory for them: the stream then ends.
  virtual bool keep(std::size_t bytes) = 0;
  // True if the stream ended because its memory was needed for other requests.
  virtual bool shed() const = 0;
};

// Processes the requests of an HttpServer.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // How the body of a request is read.
  struct BodyPolicy {
    std::size_t max_bytes = 0;  // 0: the server's default bound
    bool streamed = false;      // passed to stream() while it is received
  };
  virtual BodyPolicy body_policy(const http::Request&) const { return {}; }
  virtual Task<http::Response> stream(http::Request head, HttpBody& body, CancellationToken& caller,
                                      TimePoint received) {
    (void)body;
    return handle(std::move(head), caller, received);
  }
  // `received`: when the request's last byte was read.
  virtual Task<http::Response> handle(http::Request request, CancellationToken& caller,
                                      TimePoint received) = 0;
  // The response to malformed input.
  virtual http::Response reject(int status, const std::string& problem) = 0;
  // The response to a request that there is no room for. Trying again is harmless.
  virtual http::Response refuse(const std::string& problem) = 0;
};

class HttpServer {
 public:
  // Uses the listening socket `inherited` instead of binding `listen` if it is given (the platform passes it
  // as descriptor 4 during an upgrade).
  HttpServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
             admission::MemoryAccount& memory, HttpHandler& handler, Descriptor inherited = {});
  Address address() const { return listener_.address(); }

  // Starts a planned stop: continues to serve for a while, then closes the listener and idle connections.
  // drained() returns true when no connection is left.
  void drain();
  // Moves clients away without stopping (the operators' LEAVE): from `close_from` on, idle connections are
  // closed and every response closes its connection; the listener stays open. join() reverts this.
  void leave(TimePoint close_from);
  void join();
  bool drained() const { return draining_ && connections_.empty() && (!accepting_ || drain_accept_over_); }

 private:
  struct Connection {
    Connection(Scheduler& scheduler, std::unique_ptr<Stream> stream, const http::Bounds& bounds,
               admission::MemoryAccount& memory)
        : stream(std::move(stream)),
          parser(bounds),
          pause(scheduler),
          input(memory, admission::Use::unfinished_requests),
          output(memory, admission::Use::responses) {}
    std::unique_ptr<Stream> stream;
    http::Parser<http::Request> parser;
    Parker pause;              // delays the next request after a malformed one
    admission::Charge input;   // of the request that is arriving, beyond what every connection may hold
    admission::Charge output;  // of the response that is being written, likewise
    TimePoint connected_at = Clock::now();
    TimePoint last_input = connected_at;
    TimePoint output_since = connected_at;  // when the current response began to be written
    TimePoint state_since = connected_at;   // start of the current state
    // silent: connected, but nothing has been received yet. lingering: see close_gracefully().
    enum class State { silent, idle, reading, serving, lingering } state = State::silent;
    bool closing = false;  // closes after the current response
    // Closes unless a request has arrived. evicted: to free capacity. close_if_idle: because of a drain or
    // LEAVE.
    bool evicted = false, close_if_idle = false;
    bool writing = false;           // a response
    bool waits_for_turn = false;    // a large request that is not read meanwhile
    bool ignores_refusal = false;   // was refused, and its next requests had arrived already
    bool shed = false;              // its unfinished request was dropped to free memory
    bool peer_gone = false;         // the client closed it or accepts no more data: close without lingering
    bool expects_continue = false;  // the client sent Expect: 100-continue and waits for the interim response
    void enter(State next) {
      state = next;
      state_since = Clock::now();
    }
    bool awaiting_request() const { return state == State::silent || state == State::idle; }
    // Whether a request, or a part of one, has arrived that has not been served.
    bool has_input() const { return !parser.idle() || stream->has_input(); }
    // Whether the connection is to be closed instead of waiting for more of a request.
    bool must_close() const { return evicted || (close_if_idle && !has_input()); }
    // Ends the wait of the connection's coroutine, whichever it is in, so that it sees must_close().
    void interrupt() {
      stream->interrupt();
      pause.wake(WakeReason::cancelled);
    }
  };
  using ConnectionPosition = std::list<Connection>::iterator;
  Task<void> accept_connections();
  Task<void> serve_connection(ConnectionPosition position);
  class StreamedBody;
  http::State advance(Connection& connection);
  bool charge_input(Connection& connection, std::size_t kept_bytes = 0);
  bool is_slow(const Connection& connection, TimePoint now) const;
  Connection* slowest_input();
  void shed_input(Connection& connection);
  Task<void> wait_for_turn(Connection& connection);
  bool shed_slowest_output();
  Task<bool> refuse_unfinished(Connection& connection);
  Task<bool> serve_request(Connection& connection);
  Task<bool> serve_streamed(Connection& connection, TimePoint received);
  Task<void> send_response(Connection& connection, http::Response response);
  Task<IoResult> write_response(Connection& connection, const std::string& head, const std::string& body);
  Task<void> close_gracefully(Connection& connection);
  void add_connection(std::unique_ptr<Stream> stream);
  static void watch_disconnect(Connection& connection, CancellationToken& caller);
  static bool client_disconnected(Connection& connection, const CancellationToken& caller);
  using Candidate = std::tuple<int, TimePoint, Connection*>;  // priority to keep it, state since, connection
  // Priorities of connections that may be closed for others, the first to go first. kKeep: not closed.
  enum RetentionPriority : int { kEnding, kUseless, kSlow, kUnfinished, kIdle, kKeep };
  int retention_priority(const Connection& connection, TimePoint now) const;
  std::size_t evict(std::vector<Candidate> candidates, std::size_t max_count);
  bool evict_for_capacity();
  void evict_idle();

  Scheduler& scheduler_;
  const Limits limits_;
  Metrics& metrics_;
  admission::MemoryAccount& memory_;
  HttpHandler& handler_;
  TurnQueue large_reads_;
  Listener listener_;
  std::list<Connection> connections_;
  std::vector<char> read_buffer_;  // shared by all connections: data read is passed on before the next read
  Timer drain_serve_timer_, drain_accept_timer_, leave_timer_;
  // draining_: a planned stop has begun. drain_accept_over_: it ends as soon as no connection is left.
  // close_after_response_: connections are no longer kept alive. accepting_: the listener is open.
  bool draining_ = false, drain_accept_over_ = false, close_after_response_ = false, accepting_ = true;
  void close_idle();
};

}  // namespace kelpdeal
