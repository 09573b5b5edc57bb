// SPDX-License-Identifier: MIT
// The OpenSearch-style front: searches over indices, multi-searches, and writes of documents, in that API's
// terms and under the same decisions and rules as the platform's front.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "kelpdeal/broker.h"
#include "kelpdeal/contract.h"
#include "kelpdeal/http_server.h"

namespace kelpdeal {

namespace opensearch {

struct Route {
  const char* method;
  const char* pattern;  // as in an OpenAPI description: "/{index}/_search"
};
// Every call that the front takes.
std::span<const Route> routes();

// An error in the API's terms; thrown by what reads requests.
struct ApiError {
  int status = 400;
  std::string type, reason, index;
  Duration retry_after{};
};
http::Response write_error(const ApiError& error);
json::Value error_body(const ApiError& error);

// "500ms", "2s", "1m" ...; nothing for -1. Throws ApiError.
std::optional<Duration> parse_time(const std::string& text, const char* name);

// The indices that an expression names, in the contract's order of naming: "a,b", "equipment-*", "_all".
std::vector<const IndexContract*> resolve(const std::string& expression, bool ignore_unavailable,
                                          const std::vector<IndexContract>& indices);

// One search, as asked for.
struct Search {
  std::vector<const IndexContract*> indices;
  std::string class_name, text, routing;
  std::optional<Duration> timeout;
  bool allow_partial = true;
  std::size_t from = 0, size = 10;
};
// The slices that a search needs, each once.
std::vector<int> slices_of(const Search& search);
int slice_of(const IndexContract& index, const std::string& routing);

// A status and a body, ready to be written or to stand in a multi-search.
struct Rendered {
  int status = 200;
  json::Value body;
  Duration retry_after{};
};
Rendered write_search(const Search& search, const Reply& reply, Duration took);

}  // namespace opensearch

class OpenSearchFront : public HttpHandler {
 public:
  OpenSearchFront(Scheduler& scheduler, Broker& broker, FrontContract contract, const Limits& limits,
                  std::uint64_t seed, Metrics& metrics);

  Task<http::Response> handle(http::Request request, Caller& caller, TimePoint received) override;
  http::Response reject(int status, const std::string& problem) override;

 private:
  struct Call;
  Task<http::Response> dispatch(const Call& call, Caller& caller);
  Task<opensearch::Rendered> search(opensearch::Search search, const Call& call, Caller& caller);
  Task<void> search_one(std::string header, std::string body, const Call& call, Caller& caller,
                        opensearch::Rendered& outcome, Mailbox<int>& done);
  Task<http::Response> multi_search(const Call& call, Caller& caller);
  Task<http::Response> write_document(const Call& call, Caller& caller);
  opensearch::Search read_search(const std::string& expression, const json::Value& header,
                                 const std::string& body, const Call& call) const;
  Budgets::Permit permit(const Call& call, const std::string& class_name);
  std::string next_id();

  Scheduler& scheduler_;
  Broker& broker_;
  const FrontContract contract_;
  Budgets budgets_;
  const Limits limits_;
  Metrics& metrics_;
  std::uint64_t ids_;
};

}  // namespace kelpdeal
