// SPDX-License-Identifier: MIT
// The thin front for the platform's protocol.
#pragma once

#include <string>

#include "kelpdeal/broker.h"
#include "kelpdeal/http_server.h"

namespace kelpdeal {

class PlatformFront : public HttpHandler {
 public:
  PlatformFront(Broker& broker, const Limits& limits, Metrics& metrics)
      : broker_(broker), limits_(limits), metrics_(metrics) {}

  Task<http::Response> handle(http::Request request, Caller& caller, TimePoint received) override;
  http::Response reject(int status, const std::string& problem) override;
  void mark_draining() { ready_ = false; }
  // Of the operators' LEAVE (false) and JOIN (true).
  void set_ready(bool ready) { ready_ = ready; }

 private:
  Broker& broker_;
  const Limits limits_;
  Metrics& metrics_;
  bool ready_ = true;
};

// What a client's request asks for; nothing, with a status and one line, if it is malformed.
std::optional<QueryRequest> read_query(const http::Request& request, const Broker& broker,
                                       const Limits& limits, TimePoint received, int& status,
                                       std::string& problem);
http::Response write_reply(const Reply& reply);

}  // namespace kelpdeal
