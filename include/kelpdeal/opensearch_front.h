// SPDX-License-Identifier: MIT
// The OpenSearch-style front: searches, cursors, documents and cluster information in the terms of that API,
// subject to the same admission decisions and rules as the platform's front. The package search parses and
// checks requests and merges results; this class connects it to HTTP and the broker.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "kelpdeal/broker.h"
#include "kelpdeal/contract.h"
#include "kelpdeal/http_server.h"
#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/bulk.h"
#include "kelpdeal/search/cursor_registry.h"
#include "kelpdeal/search/fanout.h"
#include "kelpdeal/search/operation.h"
#include "kelpdeal/search/request.h"
#include "kelpdeal/search/tasks.h"
#include "kelpdeal/search/template.h"

namespace kelpdeal {

namespace opensearch {

using search::ApiError;

struct Route {
  const char* method;
  const char* pattern;  // as in an OpenAPI description: "/{index}/_search"
};
// All routes that the front serves.
std::span<const Route> routes();

http::Response error_response(const ApiError& error);
json::Value error_body(const ApiError& error);

// The slice for a routing value: the same at every coordinator and after every restart.
int slice_for_routing(const IndexContract& index, const std::string& routing);

// A status and a body, to be sent as a response or as one item of a multi-item response.
struct Answer {
  int status = 200;
  json::Value body;
  Duration retry_after{};
  std::optional<std::string> text{};  // plain text in place of the body, for _cat
};
Answer error_answer(const ApiError& error);

// The slices that a search queries.
struct Plan {
  struct Part {
    int slice = 0;
    std::vector<json::Value> filters;
    std::optional<std::pair<std::size_t, std::size_t>> partition;
    const search::Position* after = nullptr;
    const phases::FieldRanges* value_ranges = nullptr;  // from the contract; null if it states none
  };
  std::string class_name;
  std::vector<Part> parts;
  std::vector<search::Target> targets;
  std::size_t skipped = 0;  // slices left out because they cannot match
  std::string index_of(int slice) const;
  // Restricts the parts to one partition of a sliced scroll.
  void keep_partition(std::size_t id, std::size_t max);
  // Leaves out the slices that cannot match, where this does not change the response.
  void prune(const search::SearchRequest& request);
};
// Throws ApiError if the targets cannot be searched together.
Plan make_plan(std::vector<search::Target> targets, const std::string& routing);

struct Call;

}  // namespace opensearch

class OpenSearchFront : public HttpHandler {
 public:
  // Teams' rates are then shared with other coordinators. Must be called before the first request.
  void share(SharedRateLimits& rates) { budgets_.set_shared_rate_limits(rates); }
  void share(search::SharedCursors& cursors) { cursors_.share(cursors); }
  // Throws ConfigError if an alias of the contract has an invalid query.
  OpenSearchFront(Scheduler& scheduler, Broker& broker, FrontContract contract, const Limits& limits,
                  std::uint64_t seed, Metrics& metrics, admission::MemoryAccount& memory);

  Task<http::Response> handle(http::Request request, CancellationToken& caller, TimePoint received) override;
  Task<http::Response> stream(http::Request head, HttpBody& body, CancellationToken& caller,
                              TimePoint received) override;
  BodyPolicy body_policy(const http::Request& head) const override;
  http::Response reject(int status, const std::string& problem) override;
  http::Response refuse(const std::string& problem) override;

 private:
  using Answer = opensearch::Answer;
  using Call = opensearch::Call;
  using Method = Task<Answer> (OpenSearchFront::*)(Call& call, CancellationToken& caller);
  struct Handler;
  static std::span<const Handler> handlers();
  friend std::span<const opensearch::Route> opensearch::routes();

  const Handler& route(Call& call) const;  // throws ApiError if no route matches
  Task<http::Response> respond(Call& call, HttpBody* body, CancellationToken& caller);
  http::Response to_response(const Call& call, Answer answer) const;

  // src/front/opensearch/search_calls.cpp
  Task<Answer> search(Call& call, CancellationToken& caller);
  Task<Answer> multi_search(Call& call, CancellationToken& caller);
  Task<Answer> count(Call& call, CancellationToken& caller);
  Task<Answer> validate(Call& call, CancellationToken& caller);
  Task<Answer> search_template(Call& call, CancellationToken& caller);
  Task<Answer> multi_search_template(Call& call, CancellationToken& caller);
  Task<Answer> render_template(Call& call, CancellationToken& caller);
  Task<Answer> run_multi_search(Call& call, bool templates, CancellationToken& caller);
  Task<void> run_search_item(const Call& call, const search::Parameters& shared_parameters,
                             const json::Value& header, std::string body,
                             search::TemplateBudget* template_budget, CancellationToken& caller,
                             Answer& outcome, std::size_t place, Mailbox<std::size_t>& done);
  json::Value rendered_body(const json::Value& body, search::TemplateBudget& budget) const;
  json::Value rendered_body(const json::Value& body) const;
  Task<Answer> search_body(Call& call, const json::Value& body, CancellationToken& caller);
  struct SearchResult {
    search::Page page;
    Reply reply;
    std::vector<int> slices;
    Duration took{};
  };
  // Queries the slices of the plan and merges their responses. Throws ApiError.
  Task<SearchResult> execute(const search::SearchRequest& request, const opensearch::Plan& plan,
                             const Call& call, const std::string& description, CancellationToken& caller);
  json::Object result_body(const opensearch::Plan& plan, SearchResult& result) const;

  // src/front/opensearch/cursor_calls.cpp
  Task<Answer> scroll(Call& call, CancellationToken& caller);
  Task<Answer> clear_scroll(Call& call, CancellationToken& caller);
  Task<Answer> open_point_in_time(Call& call, CancellationToken& caller);
  Task<Answer> close_point_in_time(Call& call, CancellationToken& caller);
  Task<Answer> list_points_in_time(Call& call, CancellationToken& caller);
  Task<Answer> close_all_points_in_time(Call& call, CancellationToken& caller);
  search::Cursor decode_cursor(const std::string& id, search::Cursor::Kind kind, const Call& call) const;
  search::Cursor create_cursor(search::Cursor::Kind kind, const std::vector<search::Target>& targets,
                               const Call& call, Duration keep_alive);
  std::vector<search::Target> targets_of(const search::Cursor& cursor) const;
  std::string encode_cursor(const search::Cursor& cursor) const;
  std::size_t clear_all_cursors(const std::string& team, search::Cursor::Kind kind);
  void add_time_filters(const search::Cursor& cursor, opensearch::Plan& plan) const;

  // src/front/opensearch/document_calls.cpp
  Task<Answer> write_document(Call& call, CancellationToken& caller);
  Task<Answer> read_document(Call& call, CancellationToken& caller);
  Task<Answer> read_document_source(Call& call, CancellationToken& caller);
  Task<Answer> multi_get(Call& call, CancellationToken& caller);
  Task<Answer> reject_change(Call& call, CancellationToken& caller);
  struct Write;
  Write prepare_write(search::Operation operation);
  Task<Answer> execute_write(const Write& write, const Call& call, CancellationToken& caller);
  Task<json::Object> fetch_document(const std::string& index, const std::string& id,
                                    const std::string& routing, const json::Value& source,
                                    const json::Value& stored, const Call& call, CancellationToken& caller);
  struct ReadDefaults;
  Task<void> fetch_item(const json::Value& spec, const ReadDefaults& defaults, const Call& call,
                        CancellationToken& caller, json::Value& out, Mailbox<int>& done);

  // src/front/opensearch/bulk_calls.cpp
  Task<Answer> bulk(Call& call, CancellationToken& caller);
  Task<Answer> stream_bulk(Call& call, HttpBody& body, CancellationToken& caller);
  struct Bulk;
  Task<void> read_bulk(Bulk& bulk, HttpBody& body);
  Task<void> read_bulk_lines(Bulk& bulk, search::LineSplitter& lines, search::BulkParser& parser);
  Task<void> start_bulk_item(Bulk& bulk, search::BulkItem item);
  Task<void> run_bulk_item(Bulk& bulk, std::unique_ptr<Write> write, CancellationToken& caller,
                           json::Value& out);
  Answer bulk_answer(Bulk& bulk) const;

  // src/front/opensearch/cluster_calls.cpp
  Task<Answer> info(Call& call, CancellationToken& caller);
  Task<Answer> resolve_index(Call& call, CancellationToken& caller);
  Task<Answer> search_shards(Call& call, CancellationToken& caller);
  Task<Answer> get_index(Call& call, CancellationToken& caller);
  Task<Answer> get_alias(Call& call, CancellationToken& caller);
  Task<Answer> get_mapping(Call& call, CancellationToken& caller);
  Task<Answer> get_settings(Call& call, CancellationToken& caller);
  Task<Answer> field_caps(Call& call, CancellationToken& caller);
  Task<Answer> health(Call& call, CancellationToken& caller);
  Task<Answer> nodes(Call& call, CancellationToken& caller);
  Task<Answer> tasks(Call& call, CancellationToken& caller);
  Task<Answer> task(Call& call, CancellationToken& caller);
  Task<Answer> cancel_tasks(Call& call, CancellationToken& caller);
  Task<Answer> cat(Call& call, CancellationToken& caller);
  // The result of `describe` for each index that the call names. Parameters in `accepted` are known but have
  // no effect.
  json::Object describe_indices(Call& call, std::string_view accepted,
                                const std::function<json::Object(const IndexContract&)>& describe) const;
  json::Object health_of(const std::vector<search::Target>& targets) const;
  std::vector<NodeEntry> holders(int slice) const;

  std::vector<search::Target> resolve(const std::string& expression,
                                      const search::IndexNameOptions& options) const;
  const IndexContract& single_index(const std::string& name) const;
  TeamQuotas::Permit acquire_permit(const Call& call, const std::string& class_name);
  std::uint64_t next_random();
  std::string next_id();

  Scheduler& scheduler_;
  Broker& broker_;
  const FrontContract contract_;
  TeamQuotas budgets_;
  const Limits limits_;
  const search::SearchBounds bounds_;
  Metrics& metrics_;
  admission::MemoryAccount& memory_;
  std::uint64_t id_state_;
  const search::CursorSigner signer_;
  search::CursorRegistry cursors_;
  search::FanoutLimiter fanout_;
  search::TaskRegistry tasks_;
};

}  // namespace kelpdeal
