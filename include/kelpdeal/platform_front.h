// SPDX-License-Identifier: MIT
// HTTP front for the platform's query protocol.
#pragma once

#include <string>

#include "kelpdeal/broker.h"
#include "kelpdeal/http_server.h"

namespace kelpdeal {

class PlatformFront : public HttpHandler {
 public:
  PlatformFront(Broker& broker, const Limits& limits, Metrics& metrics)
      : broker_(broker), limits_(limits), metrics_(metrics) {}

  Task<http::Response> handle(http::Request request, CancellationToken& caller, TimePoint received) override;
  http::Response reject(int status, const std::string& problem) override;
  http::Response refuse(const std::string& problem) override;
  // Makes /-/ready answer 503 from now on, for a planned stop.
  void mark_draining() { ready_ = false; }
  // Sets readiness on the operators' LEAVE (false) and JOIN (true).
  void set_ready(bool ready) { ready_ = ready; }

 private:
  Broker& broker_;
  const Limits limits_;
  Metrics& metrics_;
  bool ready_ = true;
};

// Parses a client's query. If it is malformed, returns nothing and sets the response's `status` and the
// one-line `problem`.
std::optional<QueryRequest> read_query(const http::Request& request, const Broker& broker,
                                       const Limits& limits, TimePoint received, int& status,
                                       std::string& problem);
http::Response write_reply(const Reply& reply);

}  // namespace kelpdeal
