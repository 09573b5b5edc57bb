// SPDX-License-Identifier: MIT
// The connections that a server for few callers has accepted, bounded in number.
#pragma once

#include <cstddef>
#include <list>
#include <memory>

#include "kelpdeal/socket.h"

namespace kelpdeal {

// At the bound, the connection that has waited longest for its caller to identify itself or to complete its
// call is closed for a new one. Connections in use are never closed for others.
class AcceptedConnections {
 public:
  struct Connection {
    std::unique_ptr<Stream> stream;
    bool in_use = false;   // its caller has identified itself, or its call is being executed
    bool closing = false;  // cancelled to make room
  };
  using Position = std::list<Connection>::iterator;

  explicit AcceptedConnections(std::size_t max_open) : max_open_(max_open) {}

  // available: the bound is not reached. made: a waiting connection is being closed. none: all are in use, so
  // no connection may be added.
  enum class Room { available, made, none };
  Room make_room();
  Position add(std::unique_ptr<Stream> stream);
  void remove(Position position) { connections_.erase(position); }
  void cancel_all();
  std::size_t open_count() const;

 private:
  const std::size_t max_open_;
  std::list<Connection> connections_;  // oldest first
};

}  // namespace kelpdeal
