// SPDX-License-Identifier: MIT
// Serves HTTP/1.1 connections for a front: reading, keep-alive, bad input, clients that leave, and the drain
// at a planned stop.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <tuple>

#include "kelpdeal/broker.h"
#include "kelpdeal/http.h"
#include "kelpdeal/socket.h"

namespace kelpdeal {

// A request's body as it comes in.
class HttpBody {
 public:
  virtual ~HttpBody() = default;
  // The next piece; nothing once there is no more, and then `whole` tells whether it came to its end.
  virtual Task<std::optional<std::string>> next() = 0;
  virtual bool complete() const = 0;
};

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  // What the body of a request with this head may hold, and whether it goes to stream() as it comes.
  struct BodyPolicy {
    std::size_t most = 0;  // 0: as the server's bounds say
    bool streamed = false;
  };
  virtual BodyPolicy body_policy(const http::Request&) const { return {}; }
  virtual Task<http::Response> stream(http::Request head, HttpBody& body, Caller& caller,
                                      TimePoint received) {
    (void)body;
    return handle(std::move(head), caller, received);
  }
  // `received` is when the request's last byte was read.
  virtual Task<http::Response> handle(http::Request request, Caller& caller, TimePoint received) = 0;
  // The answer to what cannot be read as a request.
  virtual http::Response reject(int status, const std::string& problem) = 0;
};

class HttpServer {
 public:
  // With `inherited`, on that socket as it listens (the platform's descriptor 4 at an upgrade), not `listen`.
  HttpServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
             HttpHandler& handler, Descriptor inherited = {});
  Address address() const { return listener_.address(); }

  // A planned stop: serves on for a while, then closes the listener and what is idle. drained() tells when
  // nothing is left.
  void drain();
  // Sends clients away without stopping (the operators' LEAVE): from `close_from` on, every answer closes its
  // connection and idle ones close; the listener stays. join() takes them again as before.
  void leave(TimePoint close_from);
  void join();
  bool drained() const { return draining_ && connections_.empty() && (!accepting_ || parting_); }

 private:
  struct Connection {
    Connection(std::unique_ptr<Stream> stream, const http::Bounds& bounds)
        : stream(std::move(stream)), parser(bounds) {}
    std::unique_ptr<Stream> stream;
    http::Parser<http::Request> parser;
    TimePoint connected = Clock::now();
    TimePoint since = connected;  // of the present state
    enum class State { silent, idle, reading, serving, lingering } state = State::silent;
    bool closing = false;                // after the present answer
    bool shed = false, parting = false;  // between two requests: to make room; as we send clients away
    bool lost = false;    // the client has closed it, or takes nothing more: nobody to linger for
    bool invite = false;  // the client waits for word that its body is wanted
    void turn(State next) {
      state = next;
      since = Clock::now();
    }
    bool between() const { return state == State::silent || state == State::idle; }
  };
  using Place = std::list<Connection>::iterator;
  Task<void> accept_all();
  Task<void> converse(Place place);
  class Streamed;
  http::State advance(Connection& connection);
  Task<bool> exchange(Connection& connection);
  Task<bool> take_stream(Connection& connection, TimePoint received);
  Task<void> answer(Connection& connection, http::Response response);
  Task<void> part(Connection& connection);
  void take(std::unique_ptr<Stream> stream);
  static void listen_for_leave(Connection& connection, Caller& caller);
  static bool left(Connection& connection, const Caller& caller);
  using Candidate = std::tuple<int, TimePoint, Connection*>;  // its worth, since when, of whom
  std::size_t shed(std::vector<Candidate> candidates, std::size_t most);
  bool make_room();
  void shed_idle();

  Scheduler& scheduler_;
  const Limits limits_;
  Metrics& metrics_;
  HttpHandler& handler_;
  Listener listener_;
  std::list<Connection> connections_;
  std::vector<char> chunk_;  // what is read goes through here at once; no connection keeps one
  Timer drain_timer_, parting_timer_, leave_timer_;
  // Of a planned stop: begun; over once no connection is left; nothing is kept open any more.
  bool draining_ = false, parting_ = false, closing_ = false, accepting_ = true;
  void close_idle();
};

}  // namespace kelpdeal
