// SPDX-License-Identifier: MIT
#include "kelpdeal/opensearch_front.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal {

using namespace opensearch;

namespace {

constexpr Route kRoutes[] = {
    {"GET", "/"},
    {"HEAD", "/"},
    {"GET", "/_search"},
    {"POST", "/_search"},
    {"GET", "/{index}/_search"},
    {"POST", "/{index}/_search"},
    {"GET", "/_msearch"},
    {"POST", "/_msearch"},
    {"GET", "/{index}/_msearch"},
    {"POST", "/{index}/_msearch"},
    {"POST", "/{index}/_doc"},
    {"PUT", "/{index}/_doc/{id}"},
    {"POST", "/{index}/_doc/{id}"},
    {"PUT", "/{index}/_create/{id}"},
    {"POST", "/{index}/_create/{id}"},
};
constexpr std::size_t kMostSearches = 100;  // of one multi-search

std::vector<std::string> segments(std::string_view path) {
  std::vector<std::string> found;
  for (std::size_t at = 1; at < path.size();) {
    const std::size_t end = std::min(path.find('/', at), path.size());
    found.push_back(http::percent_decode(path.substr(at, end - at), false));
    at = end + 1;
  }
  return found;
}

// The route of a path, telling the names in braces; below 0 if there is none.
bool follows(const Route& route, const std::vector<std::string>& path, std::string& index, std::string& id) {
  const std::vector<std::string> pattern = segments(route.pattern);
  if (pattern.size() != path.size()) return false;
  for (std::size_t i = 0; i < path.size(); ++i) {
    const bool name = pattern[i].starts_with('{');
    if (name ? path[i].empty() || path[i].starts_with('_') : pattern[i] != path[i])
      if (!(pattern[i] == "{index}" && path[i] == "_all") && !(pattern[i] == "{id}" && !path[i].empty()))
        return false;
  }
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (pattern[i] == "{index}") index = path[i];
    if (pattern[i] == "{id}") id = path[i];
  }
  return true;
}

http::Response answer(int status, const json::Value& body) {
  http::Response response;
  response.status = status;
  response.headers.fields = {{"Content-Type", "application/json; charset=UTF-8"}};
  response.body = json::write(body);
  return response;
}

http::Response answer(const Rendered& outcome) {
  http::Response response = answer(outcome.status, outcome.body);
  if (outcome.retry_after > Duration::zero())
    response.headers.fields.emplace_back(
        "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(outcome.retry_after).count()));
  return response;
}

[[noreturn]] void invalid(const std::string& reason) {
  throw ApiError{400, "illegal_argument_exception", reason, {}, {}};
}

bool to_flag(const std::string& text, const char* name) {
  if (text == "true" || text.empty()) return true;
  if (text == "false") return false;
  invalid(std::string("failed to parse [") + name + "] as a boolean");
}

std::size_t to_count(double value, const char* name) {
  if (!(value >= 0) || value > 10'000 || value != std::floor(value))
    invalid(std::string("[") + name + "] must be a whole number from 0 to 10000");
  return static_cast<std::size_t>(value);
}

std::size_t to_count(const std::string& text, const char* name) {
  std::string error;
  const auto value = json::parse(text, error);
  if (!value || !value->number()) invalid(std::string("failed to parse [") + name + "]");
  return to_count(*value->number(), name);
}

}  // namespace

std::span<const Route> opensearch::routes() { return kRoutes; }

// One HTTP request, as routed.
struct OpenSearchFront::Call {
  const http::Request& http;
  std::string pattern, index, id, team;
  TimePoint received;
};

OpenSearchFront::OpenSearchFront(Scheduler& scheduler, Broker& broker, FrontContract contract,
                                 const Limits& limits, std::uint64_t seed, Metrics& metrics)
    : scheduler_(scheduler),
      broker_(broker),
      contract_(std::move(contract)),
      budgets_(contract_.teams),
      limits_(limits),
      metrics_(metrics),
      ids_(seed) {}

http::Response OpenSearchFront::reject(int status, const std::string& problem) {
  return write_error({status, {}, problem, {}, {}});
}

std::string OpenSearchFront::next_id() {
  std::uint64_t x = ids_ += 0x9e3779b97f4a7c15ULL;  // splitmix64
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  x ^= x >> 31;
  static constexpr char hex[] = "0123456789abcdef";
  std::string id;
  for (int shift = 60; shift >= 0; shift -= 4) id += hex[x >> shift & 15];
  return id;
}

Task<http::Response> OpenSearchFront::handle(http::Request request, Caller& caller, TimePoint received) {
  metrics_.count("opensearch.requests");
  Call call{request, {}, {}, {}, {}, received};
  if (const std::string* team = request.headers.find("X-Team")) call.team = *team;
  http::Response response;
  try {
    response = co_await dispatch(call, caller);
  } catch (const ApiError& error) {
    if (error.status < 429) metrics_.log("request", error.reason);
    response = write_error(error);
  }
  if (const std::string* opaque = request.headers.find("X-Opaque-Id"))
    response.headers.fields.emplace_back("X-Opaque-Id", *opaque);
  co_return response;
}

Task<http::Response> OpenSearchFront::dispatch(const Call& given, Caller& caller) {
  Call call = given;
  const std::vector<std::string> path = segments(call.http.path());
  bool known_path = false;
  for (const Route& route : kRoutes) {
    if (!follows(route, path, call.index, call.id)) continue;
    known_path = true;
    if (call.http.method == route.method) call.pattern = route.pattern;
  }
  if (call.pattern.empty() && known_path)
    throw ApiError{405, "illegal_argument_exception", "method not allowed for this path", {}, {}};
  if (call.pattern.empty())
    throw ApiError{400, "illegal_argument_exception", "no handler found for this uri and method", {}, {}};

  if (call.http.method == "HEAD") {
    http::Response alive;  // what client libraries ping with; it has no body
    alive.status = 200;
    co_return alive;
  }
  if (call.pattern == "/")
    co_return answer(
        200, json::Object{{"name", "kelpdeal"},
                          {"cluster_name", "kelpdeal"},
                          {"version", json::Object{{"distribution", "kelpdeal"}, {"number", "2.0.0"}}},
                          {"tagline", "A broker that speaks an OpenSearch-style API"}});
  if (call.pattern.ends_with("/_search")) {
    Search asked = read_search(call.index, json::Value(), call.http.body, call);
    const Rendered outcome = co_await search(std::move(asked), call, caller);
    co_return answer(outcome);
  }
  if (call.pattern.ends_with("/_msearch")) co_return co_await multi_search(call, caller);
  co_return co_await write_document(call, caller);
}

Search OpenSearchFront::read_search(const std::string& expression, const json::Value& header,
                                    const std::string& body, const Call& call) const {
  const auto option = [&](const char* name) -> std::optional<std::string> {
    if (const json::Value* value = header.find(name)) {
      if (value->string()) return *value->string();
      if (value->boolean()) return *value->boolean() ? "true" : "false";
    }
    return call.http.parameter(name);
  };
  Search search;
  search.text = body.empty() ? "{}" : body;
  std::string error;
  const auto query = json::parse(search.text, error, limits_.json);
  if (!query || !query->object())
    throw ApiError{400, "parsing_exception", query ? "the body is not an object" : error, {}, {}};
  if (query->find("aggs") || query->find("aggregations"))
    invalid("aggregations are not taken: their parts cannot be put together here");

  const bool ignore = to_flag(option("ignore_unavailable").value_or("false"), "ignore_unavailable");
  search.indices = resolve(expression, ignore, contract_.indices);
  if (search.indices.empty())
    throw ApiError{404, "index_not_found_exception", "no such index", expression, {}};
  search.class_name = search.indices.front()->class_name;
  for (const IndexContract* index : search.indices)
    if (index->class_name != search.class_name) invalid("the indices of one search must be of one class");
  if (broker_.find_class(search.class_name)->effect != cottonbay::Effect::safe)
    invalid("index [" + search.indices.front()->name + "] takes documents, not searches");

  if (const auto timeout = option("timeout")) search.timeout = parse_time(*timeout, "timeout");
  if (const json::Value* timeout = query->find("timeout")) {
    if (!timeout->string()) invalid("[timeout] must be text with a unit");
    search.timeout = parse_time(*timeout->string(), "timeout");
  }
  search.allow_partial =
      to_flag(option("allow_partial_search_results").value_or("true"), "allow_partial_search_results");
  search.routing = option("routing").value_or("");
  if (const auto from = option("from")) search.from = to_count(*from, "from");
  if (const auto size = option("size")) search.size = to_count(*size, "size");
  if (query->find("from")) search.from = to_count(query->number_or("from", -1), "from");
  if (query->find("size")) search.size = to_count(query->number_or("size", -1), "size");
  return search;
}

Budgets::Permit OpenSearchFront::permit(const Call& call, const std::string& class_name) {
  Budgets::Verdict verdict = budgets_.ask(call.team, class_name, Clock::now());
  if (verdict.permit) return std::move(*verdict.permit);
  metrics_.count("budgets.refused");
  switch (verdict.refusal) {
    case Budgets::Refusal::unknown_team:
      throw ApiError{401, "security_exception", "X-Team names no team with a contract", {}, {}};
    case Budgets::Refusal::class_not_agreed:
      throw ApiError{403,
                     "security_exception",
                     "the contract of [" + call.team + "] does not cover class [" + class_name + "]",
                     {},
                     {}};
    case Budgets::Refusal::rate:
      throw ApiError{429,
                     "rejected_execution_exception",
                     "team [" + call.team + "] is over its rate",
                     {},
                     verdict.retry_after};
    case Budgets::Refusal::concurrency:
      break;
  }
  throw ApiError{429,
                 "rejected_execution_exception",
                 "team [" + call.team + "] has too many requests running",
                 {},
                 verdict.retry_after};
}

Task<Rendered> OpenSearchFront::search(Search search, const Call& call, Caller& caller) {
  const Budgets::Permit held = permit(call, search.class_name);
  const cottonbay::ClassSettings* cls = broker_.find_class(search.class_name);
  QueryRequest query;
  query.id = next_id();
  query.class_name = search.class_name;
  query.text = search.text;
  const Duration whole = to_duration(FractionalMs(cls->deadline_ms));
  const Duration budget = std::min(search.timeout.value_or(whole), whole);
  query.expires = call.received + budget - std::min(limits_.answer_margin, budget);
  const std::vector<int> slices = slices_of(search);
  for (const int slice : slices)
    query.parts.push_back({slice, 1.0 / static_cast<double>(slices.size()), std::nullopt});
  const Reply reply = co_await broker_.serve(std::move(query), caller);
  co_return write_search(search, reply, Clock::now() - call.received);
}

Task<void> OpenSearchFront::search_one(std::string header, std::string body, const Call& call, Caller& caller,
                                       Rendered& outcome, Mailbox<int>& done) {
  try {
    std::string error;
    const auto options = json::parse(header.empty() ? "{}" : header, error, limits_.json);
    if (!options || !options->object())
      throw ApiError{400, "parsing_exception", "a header of the multi-search is not an object", {}, {}};
    std::string index = call.index;
    if (const json::Value* named = options->find("index")) {
      index.clear();
      if (named->string()) index = *named->string();
      if (const json::Array* several = named->array())
        for (const json::Value& one : *several)
          if (one.string()) index += (index.empty() ? "" : ",") + *one.string();
    }
    Search asked = read_search(index, *options, body, call);
    outcome = co_await search(std::move(asked), call, caller);
  } catch (const ApiError& error) {
    outcome = {error.status, error_body(error), error.retry_after};
  }
  done.put(1);
}

Task<http::Response> OpenSearchFront::multi_search(const Call& call, Caller& caller) {
  std::vector<std::string> lines;
  const std::string& body = call.http.body;
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t end = std::min(body.find('\n', at), body.size());
    std::string line = body.substr(at, end - at);
    if (line.ends_with('\r')) line.pop_back();
    lines.push_back(std::move(line));
    at = end + 1;
  }
  while (!lines.empty() && lines.back().empty() && lines.size() % 2 != 0) lines.pop_back();
  if (lines.empty() || lines.size() % 2 != 0)
    throw ApiError{
        400, "parsing_exception", "a multi-search needs a header and a body line for each search", {}, {}};
  const std::size_t count = lines.size() / 2;
  if (count > kMostSearches) invalid("too many searches in one multi-search");

  // All run at once; each has a caller of its own, as all of them have to hear that the client left.
  std::vector<Caller> callers(count);
  std::vector<Rendered> outcomes(count);
  Mailbox<int> done(scheduler_);
  caller.on_leave = [&callers] {
    for (Caller& each : callers) each.leave();
  };
  if (caller.gone()) caller.on_leave();
  for (std::size_t i = 0; i < count; ++i)
    scheduler_.spawn(search_one(std::move(lines[2 * i]), std::move(lines[2 * i + 1]), call, callers[i],
                                outcomes[i], done));
  for (std::size_t i = 0; i < count; ++i) co_await done.take();
  caller.on_leave = nullptr;

  json::Array responses;
  Duration retry_after{};
  bool all_refused = true;
  for (Rendered& outcome : outcomes) {
    all_refused &= outcome.status == 429;
    retry_after = std::max(retry_after, outcome.retry_after);
    json::Object entry = *outcome.body.object();
    if (!outcome.body.find("status")) entry.emplace_back("status", outcome.status);
    responses.push_back(std::move(entry));
  }
  const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - call.received).count();
  Rendered whole{200, json::Object{{"took", took}, {"responses", std::move(responses)}}, {}};
  if (all_refused) whole.retry_after = retry_after;
  co_return answer(whole);
}

Task<http::Response> OpenSearchFront::write_document(const Call& call, Caller& caller) {
  const std::vector<const IndexContract*> found = resolve(call.index, false, contract_.indices);
  if (found.size() != 1) invalid("a document goes to one index");
  const IndexContract& index = *found.front();
  const cottonbay::ClassSettings* cls = broker_.find_class(index.class_name);
  if (cls->effect == cottonbay::Effect::safe)
    invalid("index [" + index.name + "] takes searches, not documents");
  std::string error;
  const auto document = json::parse(call.http.body, error, limits_.json);
  if (!document || !document->object())
    throw ApiError{
        400, "mapper_parsing_exception", document ? "the document is not an object" : error, {}, {}};

  QueryRequest query;
  query.id = next_id();
  const std::string* key = call.http.headers.find("Idempotency-Key");
  query.key = key ? *key : call.id;
  if (query.key.empty() || query.key.size() > 64 || query.key.find_first_of(" ,=+\n") != std::string::npos)
    throw ApiError{400,
                   "action_request_validation_exception",
                   "Idempotency-Key is missing or malformed, and the path names no id",
                   {},
                   {}};
  const std::string id = call.id.empty() ? query.key : call.id;
  query.class_name = index.class_name;
  query.text = call.http.body;
  const Budgets::Permit held = permit(call, index.class_name);
  const Duration whole = to_duration(FractionalMs(cls->deadline_ms));
  Duration budget = whole;
  if (const auto timeout = call.http.parameter("timeout"))
    budget = std::min(whole, parse_time(*timeout, "timeout").value_or(whole));
  query.expires = call.received + budget - std::min(limits_.answer_margin, budget);
  const std::string routing = call.http.parameter("routing").value_or(id);
  query.parts = {{slice_of(index, routing), 1.0, std::nullopt}};
  const Reply reply = co_await broker_.serve(std::move(query), caller);

  if (reply.kind == Reply::Kind::answered)
    co_return answer(201,
                     json::Object{{"_index", index.name},
                                  {"_id", id},
                                  {"result", "created"},
                                  {"_shards", json::Object{{"total", 1}, {"successful", 1}, {"failed", 0}}}});
  if (reply.kind == Reply::Kind::refused || reply.kind == Reply::Kind::rejected)
    co_return answer(write_search({}, reply, {}));
  throw ApiError{504,
                 "timeout_exception",
                 "no answer in time; the document may have been recorded: repeat it under the same key",
                 index.name,
                 {}};
}

}  // namespace kelpdeal
