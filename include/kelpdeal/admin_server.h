// SPDX-License-Identifier: MIT
// Server for operators' calls on its own address: reads one line, writes one line and closes the connection.
// Connections that do not send a complete line in time are closed; a complete call is answered at once.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "kelpdeal/accepted_connections.h"
#include "kelpdeal/limits.h"
#include "kelpdeal/metrics.h"
#include "kelpdeal/socket.h"

namespace kelpdeal {

class AdminServer {
 public:
  // `answer` takes a call's line without its line ending and returns the complete answer line. Throws
  // std::system_error if the address cannot be bound.
  AdminServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
              std::function<Task<std::string>(std::string)> answer);
  Address address() const { return listener_.address(); }

 private:
  Task<void> accept_connections();
  Task<void> serve_connection(AcceptedConnections::Position position);

  Scheduler& scheduler_;
  const Limits limits_;
  Metrics& metrics_;
  std::function<Task<std::string>(std::string)> answer_;
  Listener listener_;
  AcceptedConnections connections_;
};

}  // namespace kelpdeal
