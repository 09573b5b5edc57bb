// SPDX-License-Identifier: MIT
// Routing, team limits, and the form of all responses.
#include "kelpdeal/opensearch_front.h"

#include <sodium.h>

#include <algorithm>

#include "call.h"
#include "kelpdeal/search/filter_path.h"

namespace kelpdeal {

using namespace opensearch;

namespace {

std::vector<std::string> split_path(std::string_view path) {
  std::vector<std::string> found;
  for (std::size_t position = 1; position < path.size();) {
    const std::size_t end = std::min(path.find('/', position), path.size());
    if (end > position) found.push_back(http::percent_decode(path.substr(position, end - position), false));
    position = end + 1;
  }
  return found;
}

// Matches a path against a route. Returns the number of placeholders filled, or a negative value if it does
// not match.
int match_route(std::string_view pattern, const std::vector<std::string>& path, Call& call) {
  std::size_t i = 0, position = 1;
  int placeholders = 0;
  Call found{call.http, {}, {}, {}, {}, {}, {}, {}};
  for (; position < pattern.size(); ++i) {
    const std::size_t end = std::min(pattern.find('/', position), pattern.size());
    const std::string_view segment = pattern.substr(position, end - position);
    position = end + 1;
    if (i >= path.size()) return -1;
    const std::string& part = path[i];
    if (!segment.starts_with('{')) {
      if (segment != part) return -1;
      continue;
    }
    ++placeholders;
    if (segment == "{index}") {
      if (part.starts_with('_') && part != "_all") return -1;
      found.index = part;
    } else if (segment == "{name}") {
      found.name = part;
    } else {
      found.id = part;
    }
  }
  if (i != path.size()) return -1;
  call.index = found.index;
  call.id = found.id;
  call.name = found.name;
  return placeholders;
}

search::SearchBounds search_bounds(const Limits& limits) {
  search::SearchBounds bounds;
  bounds.json = limits.search_json;
  return bounds;
}

// Without configured keys, a random one is used, and ids are valid only for this process.
std::vector<search::CursorKey> cursor_keys(const FrontContract& contract) {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium initialization failed: no random numbers for cursor keys");
  if (!contract.cursor_keys.empty()) {
    std::string problem;
    auto keys = search::parse_cursor_keys(contract.cursor_keys, problem);
    if (!keys) throw ConfigError("field cursor_keys: " + problem);
    return std::move(*keys);
  }
  search::CursorKey key;
  key.name = "start";
  randombytes_buf(key.secret.data(), key.secret.size());
  return {key};
}

// The memory of a request in progress: its text, which handlers copy in part, and the values parsed from it.
std::size_t memory_of(const http::Request& request) {
  constexpr std::size_t kCallBytes = 4 * 1024;
  constexpr std::size_t kValueBytes = 100;  // of a parsed value and what is made of it
  const auto is_separator = [](char c) { return c == ',' || c == ':' || c == '[' || c == '{'; };
  const auto values = std::count_if(request.body.begin(), request.body.end(), is_separator);
  return kCallBytes + 2 * request.body.size() + static_cast<std::size_t>(values) * kValueBytes;
}

std::string ceil_seconds(Duration duration) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

}  // namespace

std::span<const OpenSearchFront::Handler> OpenSearchFront::handlers() {
  using F = OpenSearchFront;
  static constexpr Handler all[] = {
      {{"GET", "/"}, &F::info},
      {{"HEAD", "/"}, &F::info},
      {{"GET", "/_search"}, &F::search},
      {{"POST", "/_search"}, &F::search},
      {{"GET", "/{index}/_search"}, &F::search},
      {{"POST", "/{index}/_search"}, &F::search},
      {{"GET", "/_msearch"}, &F::multi_search},
      {{"POST", "/_msearch"}, &F::multi_search},
      {{"GET", "/{index}/_msearch"}, &F::multi_search},
      {{"POST", "/{index}/_msearch"}, &F::multi_search},
      {{"GET", "/_count"}, &F::count},
      {{"POST", "/_count"}, &F::count},
      {{"GET", "/{index}/_count"}, &F::count},
      {{"POST", "/{index}/_count"}, &F::count},
      {{"GET", "/_validate/query"}, &F::validate},
      {{"POST", "/_validate/query"}, &F::validate},
      {{"GET", "/{index}/_validate/query"}, &F::validate},
      {{"POST", "/{index}/_validate/query"}, &F::validate},
      {{"GET", "/_search/template"}, &F::search_template},
      {{"POST", "/_search/template"}, &F::search_template},
      {{"GET", "/{index}/_search/template"}, &F::search_template},
      {{"POST", "/{index}/_search/template"}, &F::search_template},
      {{"GET", "/_msearch/template"}, &F::multi_search_template},
      {{"POST", "/_msearch/template"}, &F::multi_search_template},
      {{"GET", "/{index}/_msearch/template"}, &F::multi_search_template},
      {{"POST", "/{index}/_msearch/template"}, &F::multi_search_template},
      {{"GET", "/_render/template"}, &F::render_template},
      {{"POST", "/_render/template"}, &F::render_template},
      {{"GET", "/_search/scroll"}, &F::scroll},
      {{"POST", "/_search/scroll"}, &F::scroll},
      {{"DELETE", "/_search/scroll"}, &F::clear_scroll},
      {{"GET", "/_search/scroll/{scroll_id}"}, &F::scroll},
      {{"POST", "/_search/scroll/{scroll_id}"}, &F::scroll},
      {{"DELETE", "/_search/scroll/{scroll_id}"}, &F::clear_scroll},
      {{"POST", "/{index}/_search/point_in_time"}, &F::open_point_in_time},
      {{"DELETE", "/_search/point_in_time"}, &F::close_point_in_time},
      {{"GET", "/_search/point_in_time/_all"}, &F::list_points_in_time},
      {{"DELETE", "/_search/point_in_time/_all"}, &F::close_all_points_in_time},
      {{"POST", "/{index}/_doc"}, &F::write_document},
      {{"PUT", "/{index}/_doc/{id}"}, &F::write_document},
      {{"POST", "/{index}/_doc/{id}"}, &F::write_document},
      {{"PUT", "/{index}/_create/{id}"}, &F::write_document},
      {{"POST", "/{index}/_create/{id}"}, &F::write_document},
      {{"GET", "/{index}/_doc/{id}"}, &F::read_document},
      {{"HEAD", "/{index}/_doc/{id}"}, &F::read_document},
      {{"GET", "/{index}/_source/{id}"}, &F::read_document_source},
      {{"HEAD", "/{index}/_source/{id}"}, &F::read_document_source},
      {{"DELETE", "/{index}/_doc/{id}"}, &F::reject_change},
      {{"POST", "/{index}/_update/{id}"}, &F::reject_change},
      {{"GET", "/_mget"}, &F::multi_get},
      {{"POST", "/_mget"}, &F::multi_get},
      {{"GET", "/{index}/_mget"}, &F::multi_get},
      {{"POST", "/{index}/_mget"}, &F::multi_get},
      {{"POST", "/_bulk"}, &F::bulk},
      {{"PUT", "/_bulk"}, &F::bulk},
      {{"POST", "/{index}/_bulk"}, &F::bulk},
      {{"PUT", "/{index}/_bulk"}, &F::bulk},
      {{"GET", "/_resolve/index/{name}"}, &F::resolve_index},
      {{"GET", "/_search_shards"}, &F::search_shards},
      {{"POST", "/_search_shards"}, &F::search_shards},
      {{"GET", "/{index}/_search_shards"}, &F::search_shards},
      {{"POST", "/{index}/_search_shards"}, &F::search_shards},
      {{"GET", "/{index}"}, &F::get_index},
      {{"HEAD", "/{index}"}, &F::get_index},
      {{"GET", "/_alias"}, &F::get_alias},
      {{"GET", "/_alias/{name}"}, &F::get_alias},
      {{"HEAD", "/_alias/{name}"}, &F::get_alias},
      {{"GET", "/{index}/_alias"}, &F::get_alias},
      {{"GET", "/{index}/_alias/{name}"}, &F::get_alias},
      {{"HEAD", "/{index}/_alias/{name}"}, &F::get_alias},
      {{"GET", "/_mapping"}, &F::get_mapping},
      {{"GET", "/{index}/_mapping"}, &F::get_mapping},
      {{"GET", "/_settings"}, &F::get_settings},
      {{"GET", "/{index}/_settings"}, &F::get_settings},
      {{"GET", "/_field_caps"}, &F::field_caps},
      {{"POST", "/_field_caps"}, &F::field_caps},
      {{"GET", "/{index}/_field_caps"}, &F::field_caps},
      {{"POST", "/{index}/_field_caps"}, &F::field_caps},
      {{"GET", "/_cluster/health"}, &F::health},
      {{"GET", "/_cluster/health/{index}"}, &F::health},
      {{"GET", "/_nodes"}, &F::nodes},
      {{"GET", "/_tasks"}, &F::tasks},
      {{"GET", "/_tasks/{task_id}"}, &F::task},
      {{"POST", "/_tasks/_cancel"}, &F::cancel_tasks},
      {{"POST", "/_tasks/{task_id}/_cancel"}, &F::cancel_tasks},
      {{"GET", "/_cat/health"}, &F::cat},
      {{"GET", "/_cat/indices"}, &F::cat},
      {{"GET", "/_cat/indices/{index}"}, &F::cat},
      {{"GET", "/_cat/shards"}, &F::cat},
      {{"GET", "/_cat/shards/{index}"}, &F::cat},
      {{"GET", "/_cat/nodes"}, &F::cat},
      {{"GET", "/_cat/aliases"}, &F::cat},
      {{"GET", "/_cat/aliases/{name}"}, &F::cat},
      {{"GET", "/_cat/count"}, &F::cat},
      {{"GET", "/_cat/count/{index}"}, &F::cat},
      {{"GET", "/_cat/tasks"}, &F::cat},
  };
  return all;
}

std::span<const Route> opensearch::routes() {
  static const std::vector<Route> all = [] {
    std::vector<Route> routes;
    for (const auto& handler : OpenSearchFront::handlers()) routes.push_back(handler.route);
    return routes;
  }();
  return all;
}

OpenSearchFront::OpenSearchFront(Scheduler& scheduler, Broker& broker, FrontContract contract,
                                 const Limits& limits, std::uint64_t seed, Metrics& metrics,
                                 admission::MemoryAccount& memory)
    : scheduler_(scheduler),
      broker_(broker),
      contract_(std::move(contract)),
      budgets_(contract_.teams),
      limits_(limits),
      bounds_(search_bounds(limits)),
      metrics_(metrics),
      memory_(memory),
      id_state_(seed),
      signer_(cursor_keys(contract_)),
      cursors_({limits.max_cursors_per_team, limits.max_cursors, bounds_.max_keep_alive}),
      fanout_({limits.max_fanout, limits.max_fanout_per_request}) {
  for (const IndexContract& index : contract_.indices) {
    for (const IndexContract::Alias& alias : index.aliases) {
      if (alias.filter.is_null()) continue;
      try {
        search::check_query(alias.filter, "filter", bounds_.query);
      } catch (const ApiError& error) {
        throw ConfigError("field indices." + index.name + ".aliases." + alias.name + ": " + error.reason);
      }
    }
  }
}

http::Response OpenSearchFront::reject(int status, const std::string& problem) {
  return error_response({status, {}, problem, {}, {}});
}

http::Response OpenSearchFront::refuse(const std::string& problem) {
  return error_response({429, "rejected_execution_exception", problem, {}, std::chrono::seconds(1)});
}

std::uint64_t OpenSearchFront::next_random() {
  std::uint64_t x = id_state_ += 0x9e3779b97f4a7c15ULL;  // splitmix64
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::string OpenSearchFront::next_id() {
  const std::uint64_t x = next_random();
  static constexpr char hex[] = "0123456789abcdef";
  std::string id;
  for (int shift = 60; shift >= 0; shift -= 4) id += hex[x >> shift & 15];
  return id;
}

HttpHandler::BodyPolicy OpenSearchFront::body_policy(const http::Request& head) const {
  const std::string_view path = head.path();
  const bool bulk = path.ends_with("/_bulk") && (head.method == "POST" || head.method == "PUT");
  return {bulk ? limits_.max_bulk_bytes : limits_.max_search_body_bytes, bulk};
}

Task<http::Response> OpenSearchFront::handle(http::Request request, CancellationToken& caller,
                                             TimePoint received) {
  admission::Charge memory(memory_, admission::Use::accepted_requests);
  if (!memory.resize(memory_of(request))) co_return refuse("no memory for the request: try again");
  Call call{request, received, {}, {}, {}, {}, {}, {}};
  co_return co_await respond(call, nullptr, caller);
}

Task<http::Response> OpenSearchFront::stream(http::Request head, HttpBody& body, CancellationToken& caller,
                                             TimePoint received) {
  Call call{head, received, {}, {}, {}, {}, {}, {}};
  co_return co_await respond(call, &body, caller);
}

Task<http::Response> OpenSearchFront::respond(Call& call, HttpBody* body, CancellationToken& caller) {
  metrics_.count("opensearch.requests");
  if (const std::string* team = call.http.headers.find("X-Team")) call.team = *team;
  if (const std::string* opaque = call.http.headers.find("X-Opaque-Id")) call.opaque_id = *opaque;
  call.parameters = search::Parameters(call.http.parameters());
  call.parameters.accept("pretty human error_trace filter_path");
  Answer answer;
  try {
    const Handler& handler = route(call);
    if (body)
      answer = co_await stream_bulk(call, *body, caller);
    else
      answer = co_await (this->*handler.method)(call, caller);
  } catch (const ApiError& error) {
    if (error.status < 429) metrics_.log("request", error.reason);
    answer = error_answer(error);
  }
  co_return to_response(call, std::move(answer));
}

const OpenSearchFront::Handler& OpenSearchFront::route(Call& call) const {
  const std::vector<std::string> path = split_path(call.http.path());
  const Handler* best = nullptr;
  int fewest_placeholders = 0;
  bool path_exists = false;
  Call found{call.http, {}, {}, {}, {}, {}, {}, {}};
  for (const Handler& handler : handlers()) {
    Call candidate{call.http, {}, {}, {}, {}, {}, {}, {}};
    const int placeholders = match_route(handler.route.pattern, path, candidate);
    if (placeholders < 0) continue;
    path_exists = true;
    if (call.http.method != handler.route.method || (best && placeholders >= fewest_placeholders)) continue;
    best = &handler;
    fewest_placeholders = placeholders;
    found.index = candidate.index;
    found.id = candidate.id;
    found.name = candidate.name;
  }
  if (!best && path_exists)
    throw ApiError{
        405,
        "illegal_argument_exception",
        "method [" + call.http.method + "] is not allowed for [" + search::truncated(call.http.path()) + "]",
        {},
        {}};
  if (!best)
    search::throw_illegal_argument("no handler found for uri [" + search::truncated(call.http.path()) +
                                   "] and method [" + call.http.method + "]");
  call.pattern = best->route.pattern;
  call.index = found.index;
  call.id = found.id;
  call.name = found.name;
  return *best;
}

http::Response OpenSearchFront::to_response(const Call& call, Answer answer) const {
  http::Response response;
  response.status = answer.status;
  response.headers.fields = {
      {"Content-Type", answer.text ? "text/plain; charset=UTF-8" : "application/json; charset=UTF-8"}};
  if (answer.retry_after > Duration::zero())
    response.headers.fields.emplace_back("Retry-After", ceil_seconds(answer.retry_after));
  if (!call.opaque_id.empty()) response.headers.fields.emplace_back("X-Opaque-Id", call.opaque_id);
  if (call.http.method == "HEAD") return response;  // responses to HEAD have no body
  if (answer.text) {
    response.body = std::move(*answer.text);
    return response;
  }
  const auto paths = call.http.parameter("filter_path"), pretty = call.http.parameter("pretty");
  try {
    if (paths && !paths->empty()) answer.body = search::filter_path(without_raw_values(answer.body), *paths);
  } catch (const ApiError& error) {
    response.status = error.status;
    answer.body = error_body(error);
  }
  response.body = pretty && *pretty != "false" ? json::write_pretty(answer.body) : json::write(answer.body);
  return response;
}

std::vector<search::Target> OpenSearchFront::resolve(const std::string& expression,
                                                     const search::IndexNameOptions& options) const {
  return search::resolve(expression, options, contract_.indices, wall_clock_ms());
}

const IndexContract& OpenSearchFront::single_index(const std::string& name) const {
  search::IndexNameOptions options;
  options.expand_open = false;
  const std::vector<search::Target> found = resolve(name, options);
  if (found.size() != 1)
    search::throw_illegal_argument("[" + search::truncated(name) + "] names more than one index");
  if (!found.front().filters.empty())
    search::throw_illegal_argument("a document goes to an index, not to an alias with a filter");
  return *found.front().index;
}

TeamQuotas::Permit OpenSearchFront::acquire_permit(const Call& call, const std::string& class_name) {
  TeamQuotas::Decision verdict = budgets_.acquire(call.team, class_name, Clock::now());
  if (verdict.permit) return std::move(*verdict.permit);
  metrics_.count("budgets.refused");
  switch (verdict.refusal) {
    case TeamQuotas::Refusal::unknown_team:
      throw ApiError{401, "security_exception", "X-Team names no team with a contract", {}, {}};
    case TeamQuotas::Refusal::class_not_agreed:
      throw ApiError{403,
                     "security_exception",
                     "the contract of [" + call.team + "] does not cover class [" + class_name + "]",
                     {},
                     {}};
    case TeamQuotas::Refusal::rate:
      throw ApiError{429,
                     "rejected_execution_exception",
                     "team [" + call.team + "] is over its rate",
                     {},
                     verdict.retry_after};
    case TeamQuotas::Refusal::concurrency:
      break;
  }
  throw ApiError{429,
                 "rejected_execution_exception",
                 "team [" + call.team + "] has too many requests running",
                 {},
                 verdict.retry_after};
}

}  // namespace kelpdeal
