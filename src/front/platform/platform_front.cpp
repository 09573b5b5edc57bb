// SPDX-License-Identifier: MIT
#include "kelpdeal/platform_front.h"

#include <charconv>
#include <cmath>
#include <set>

namespace kelpdeal {
namespace {

constexpr std::size_t kMaxIdBytes = 64;

http::Response plain_text_response(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.headers.fields = {{"Content-Type", "text/plain"}};
  response.body = std::move(body);
  return response;
}

bool is_valid_id(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         text.find_first_of(" .,\n=+") == std::string_view::npos;
}

// Reads the parts of a query. Returns null, or a description of the problem.
const char* read_parts(const json::Value& body, const cottonbay::Settings& settings, const Limits& limits,
                       QueryRequest& query) {
  const json::Value* slices = body.find("slices");
  if (!slices || !slices->array() || slices->array()->empty()) return "slices is not a list of parts";
  if (slices->array()->size() > limits.max_parts_per_query) return "slices lists too many parts";
  const json::Value* filter = body.find("filter");
  if (!filter || !filter->string()) return "filter is not text";
  query.text = *filter->string();
  std::set<int> seen;
  double total_mass = 0;
  for (const json::Value& slice : *slices->array()) {
    PartRequest part;
    const double shard = slice.number_or("slice", -1);
    if (shard < 0 || shard >= settings.shards || shard != std::floor(shard)) return "slice is not a shard";
    part.shard = static_cast<int>(shard);
    if (!seen.insert(part.shard).second) return "slice is listed twice";
    part.weight = slice.number_or("mass", -1);
    if (part.weight < 0 || part.weight > 1) return "mass is not a share";
    total_mass += part.weight;
    if (const json::Value* micros = slice.find("micros"); micros && micros->number())
      part.cost_hint = std::chrono::microseconds(static_cast<long>(std::clamp(*micros->number(), 0.0, 1e9)));
    query.parts.push_back(part);
  }
  // An answer's completeness is the sum of its parts' masses, so all masses together have to be 1.
  if (std::abs(total_mass - 1) > limits.weight_sum_tolerance) return "the masses do not add up to 1";
  return nullptr;
}

}  // namespace

std::optional<QueryRequest> read_query(const http::Request& request, const Broker& broker,
                                       const Limits& limits, TimePoint received, int& status,
                                       std::string& problem) {
  status = 400;
  const auto header = [&](const char* name) {
    const std::string* value = request.headers.find(name);
    return value ? *value : std::string();
  };
  QueryRequest query;
  const std::string_view path = request.path().substr(1);
  query.class_name = header("X-Call-Class");
  if (query.class_name.empty()) query.class_name = path.substr(0, path.find('/'));
  const cottonbay::ClassSettings* class_settings = broker.find_class(query.class_name);
  if (!class_settings || path.substr(0, path.find('/')) != query.class_name) {
    status = 404;
    problem = "unknown class";
    return std::nullopt;
  }
  query.id = header("X-Call-Id");
  if (!is_valid_id(query.id)) return problem = "X-Call-Id is missing or malformed", std::nullopt;
  const std::string budget = header("X-Budget-Ms");
  std::int64_t ms = 0;
  const auto parsed = std::from_chars(budget.data(), budget.data() + budget.size(), ms);
  if (budget.empty() || parsed.ec != std::errc() || parsed.ptr != budget.data() + budget.size() || ms < 0)
    return problem = "X-Budget-Ms is not a number of milliseconds", std::nullopt;
  const Duration time_left =
      std::min<Duration>(Milliseconds(std::min<std::int64_t>(ms, 1'000'000'000)), limits.max_request_budget);
  query.expires = received + time_left - std::min<Duration>(limits.reply_transit_margin, time_left);
  query.repeat = header("X-Again") == "1";
  query.tenant = header("X-Caller");
  if (class_settings->effect == cottonbay::Effect::deduplicated) {
    query.key = header("Idempotency-Key");
    if (!is_valid_id(query.key)) return problem = "Idempotency-Key is missing or malformed", std::nullopt;
  }
  const auto body = json::parse(request.body, problem, limits.json);
  if (!body) return std::nullopt;
  if (const char* parts_problem = read_parts(*body, broker.settings(), limits, query))
    return problem = parts_problem, std::nullopt;
  return query;
}

namespace {

void add_retry_after(http::Response& response, Duration delay) {
  if (delay <= Duration::zero()) return;
  const auto ms = std::chrono::ceil<Milliseconds>(delay).count();
  const std::string fraction = std::to_string(1000 + ms % 1000).substr(1);
  response.headers.fields.emplace_back("Retry-After", std::to_string(ms / 1000).append(".").append(fraction));
}

}  // namespace

http::Response write_reply(const Reply& reply) {
  http::Response response;
  response.headers.fields = {{"Content-Type", "application/json"}};
  if (reply.kind == Reply::Kind::answered) {
    response.status = 200;
    response.body = std::string("{\"entire\":") + (reply.whole ? "true" : "false") + ",\"items\":[";
    for (std::size_t i = 0; i < reply.items.size(); ++i)
      response.body += (i ? ",{\"slice\":" : "{\"slice\":") + std::to_string(reply.items[i].shard) +
                       ",\"body\":" + json::quote(reply.items[i].value) + "}";
    response.body += "]}";
    return response;
  }
  const bool refused = reply.kind == Reply::Kind::refused;
  response.status = refused ? 429 : reply.kind == Reply::Kind::rejected ? 409 : 504;
  if (refused) add_retry_after(response, reply.retry_after);
  response.body = "{\"error\":" + json::quote(reply.reason) + "}";
  return response;
}

http::Response PlatformFront::reject(int status, const std::string& problem) {
  return plain_text_response(status, problem + "\n");
}

http::Response PlatformFront::refuse(const std::string& problem) {
  http::Response response = plain_text_response(503, problem + "\n");
  add_retry_after(response, limits_.max_retry_after);
  return response;
}

Task<http::Response> PlatformFront::handle(http::Request request, CancellationToken& caller,
                                           TimePoint received) {
  const std::string_view path = request.path();
  if (request.method == "GET") {
    if (path == "/-/ready")
      co_return ready_ ? plain_text_response(200, "ready\n") : plain_text_response(503, "draining\n");
    if (path == "/-/healthy") co_return plain_text_response(200, "healthy\n");
    if (path == "/-/counters") co_return plain_text_response(200, metrics_.text());
    co_return plain_text_response(404, "no such page\n");
  }
  if (request.method != "POST" || path.size() < 2 || path[0] != '/')
    co_return plain_text_response(request.method == "POST" ? 404 : 405, "queries are POSTed to /CLASS\n");
  if (!broker_.has_memory_for(request.body.size())) co_return refuse("no memory for the request: try again");
  int status = 400;
  std::string problem;
  auto query = read_query(request, broker_, limits_, received, status, problem);
  if (!query) {
    metrics_.log("request", problem);
    co_return plain_text_response(status, problem + "\n");
  }
  free_memory(request);  // the query holds what is needed of it
  co_return write_reply(co_await broker_.serve(std::move(*query), caller));
}

}  // namespace kelpdeal
