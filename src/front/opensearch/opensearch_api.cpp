// SPDX-License-Identifier: MIT
// The API's terms: errors, times, index expressions, the shape of a search's answer.
#include <algorithm>
#include <charconv>
#include <set>

#include "kelpdeal/opensearch_front.h"

namespace kelpdeal::opensearch {
namespace {

bool matches(std::string_view pattern, std::string_view name) {
  const std::size_t star = pattern.find('*');
  if (star == std::string_view::npos) return pattern == name;
  if (name.substr(0, star) != pattern.substr(0, star)) return false;
  pattern.remove_prefix(star + 1);
  for (std::size_t at = star; at <= name.size(); ++at)
    if (matches(pattern, name.substr(at))) return true;
  return false;
}

const char* type_of(int status) {
  switch (status) {
    case 408:
      return "timeout_exception";
    case 413:
    case 431:
      return "content_too_long_exception";
    default:
      return "illegal_argument_exception";
  }
}

struct Hit {
  double score = 0;
  json::Value value;
};

// The hits that one part brought: a list of hits in the API's form, or else one value.
void add_hits(const std::string& index, const Reply::Item& item, std::vector<Hit>& hits) {
  std::string error;
  const auto value = json::parse(item.value, error);
  if (value && value->array()) {
    for (const json::Value& hit : *value->array()) {
      const json::Value* score = hit.find("_score");
      hits.push_back({score && score->number() ? *score->number() : item.score, hit});
    }
    return;
  }
  hits.push_back({item.score, json::Object{{"_index", index},
                                           {"_shard", item.shard},
                                           {"_score", item.score},
                                           {"_source", json::Object{{"body", item.value}}}}});
}

// The index of a search that a slice belongs to.
std::string index_of(const Search& search, int slice) {
  for (const IndexContract* index : search.indices)
    if (slice >= index->first_slice && slice < index->first_slice + index->slices) return index->name;
  return {};
}

json::Value shards(const Search& search, const Reply& reply) {
  json::Array failures;
  const std::set<int> missing(reply.missing.begin(), reply.missing.end());
  for (const int slice : missing)
    failures.push_back(json::Object{{"shard", slice},
                                    {"index", index_of(search, slice)},
                                    {"node", json::Value()},
                                    {"reason", json::Object{{"type", "timeout_exception"},
                                                            {"reason", "no answer of this shard in time"}}}});
  const std::size_t total = reply.asked.size();
  json::Object out{{"total", static_cast<std::uint64_t>(total)},
                   {"successful", static_cast<std::uint64_t>(total - missing.size())},
                   {"skipped", 0},
                   {"failed", static_cast<std::uint64_t>(missing.size())}};
  if (!failures.empty()) out.emplace_back("failures", std::move(failures));
  return out;
}

}  // namespace

json::Value error_body(const ApiError& error) {
  json::Object cause{{"type", error.type}, {"reason", error.reason}};
  if (!error.index.empty()) cause.emplace_back("index", error.index);
  json::Object outer{{"root_cause", json::Array{cause}}};
  outer.insert(outer.end(), cause.begin(), cause.end());
  return json::Object{{"error", std::move(outer)}, {"status", error.status}};
}

http::Response write_error(const ApiError& error) {
  http::Response response;
  response.status = error.status;
  response.headers.fields = {{"Content-Type", "application/json; charset=UTF-8"}};
  if (error.retry_after > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after).count();
    response.headers.fields.emplace_back("Retry-After", std::to_string(seconds));
  }
  ApiError named = error;
  if (named.type.empty()) named.type = type_of(error.status);
  response.body = json::write(error_body(named));
  return response;
}

std::optional<Duration> parse_time(const std::string& text, const char* name) {
  if (text == "-1") return std::nullopt;
  static constexpr std::pair<std::string_view, double> units[] = {
      {"nanos", 1e-6}, {"micros", 1e-3}, {"ms", 1}, {"s", 1e3}, {"m", 6e4}, {"h", 3.6e6}, {"d", 8.64e7}};
  double amount = 0;
  const char* end = text.data() + text.size();
  const auto got = std::from_chars(text.data(), end, amount, std::chars_format::fixed);
  const std::string_view unit(got.ptr, static_cast<std::size_t>(end - got.ptr));
  if (got.ec == std::errc() && amount >= 0)
    for (const auto& [suffix, ms] : units)
      if (unit == suffix) return to_duration(FractionalMs(std::min(amount * ms, 8.64e7)));
  throw ApiError{400,
                 "illegal_argument_exception",
                 std::string("failed to parse setting [") + name + "] with value [" + text.substr(0, 40) +
                     "] as a time value",
                 {},
                 {}};
}

std::vector<const IndexContract*> resolve(const std::string& expression, bool ignore_unavailable,
                                          const std::vector<IndexContract>& indices) {
  std::vector<const IndexContract*> found;
  for (std::size_t at = 0; at <= expression.size();) {
    const std::size_t end = std::min(expression.find(',', at), expression.size());
    std::string name = expression.substr(at, end - at);
    if (name == "_all" || name.empty()) name = "*";
    bool any = false;
    for (const IndexContract& index : indices) {
      if (!matches(name, index.name)) continue;
      any = true;
      if (std::find(found.begin(), found.end(), &index) == found.end()) found.push_back(&index);
    }
    if (!any && !ignore_unavailable && name.find('*') == std::string::npos)
      throw ApiError{404,
                     "index_not_found_exception",
                     "no such index [" + name.substr(0, 80) + "]",
                     name.substr(0, 80),
                     {}};
    at = end + 1;
  }
  return found;
}

int slice_of(const IndexContract& index, const std::string& routing) {
  std::uint32_t hash = 2166136261u;  // FNV-1a: the same at every coordinator and after every start
  for (const char c : routing) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return index.first_slice + static_cast<int>(hash % static_cast<std::uint32_t>(index.slices));
}

std::vector<int> slices_of(const Search& search) {
  std::set<int> slices;
  for (const IndexContract* index : search.indices) {
    if (!search.routing.empty()) {
      slices.insert(slice_of(*index, search.routing));
      continue;
    }
    for (int i = 0; i < index->slices; ++i) slices.insert(index->first_slice + i);
  }
  return {slices.begin(), slices.end()};
}

Rendered write_search(const Search& search, const Reply& reply, Duration took) {
  if (reply.kind == Reply::Kind::refused) {
    const Duration advice =
        reply.retry_after > Duration::zero() ? reply.retry_after : Duration(std::chrono::seconds(1));
    const ApiError error{429, "rejected_execution_exception", "refused: " + reply.why, {}, advice};
    return {429, error_body(error), advice};
  }
  if (reply.kind == Reply::Kind::rejected) {
    const ApiError error{409, "illegal_argument_exception", "rejected: " + reply.why, {}, {}};
    return {409, error_body(error), {}};
  }
  if (reply.kind == Reply::Kind::failed) {
    const ApiError error{504, "timeout_exception", "no answer in time: " + reply.why, {}, {}};
    return {504, error_body(error), {}};
  }
  if (!reply.whole && !search.allow_partial) {
    const ApiError error{504, "search_phase_execution_exception", "Partial shards failure", {}, {}};
    return {504, error_body(error), {}};
  }
  std::vector<Hit> hits;
  for (const Reply::Item& item : reply.items) add_hits(index_of(search, item.shard), item, hits);
  std::stable_sort(hits.begin(), hits.end(), [](const Hit& a, const Hit& b) { return a.score > b.score; });
  json::Array shown;
  for (std::size_t i = search.from; i < hits.size() && i < search.from + search.size; ++i)
    shown.push_back(std::move(hits[i].value));
  const json::Value best = hits.empty() ? json::Value() : json::Value(hits.front().score);
  json::Object body{
      {"took", std::chrono::duration_cast<Milliseconds>(took).count()},
      {"timed_out", !reply.whole},
      {"_shards", shards(search, reply)},
      {"hits", json::Object{{"total", json::Object{{"value", static_cast<std::uint64_t>(hits.size())},
                                                   {"relation", reply.whole ? "eq" : "gte"}}},
                            {"max_score", best},
                            {"hits", std::move(shown)}}}};
  return {200, std::move(body), {}};
}

}  // namespace kelpdeal::opensearch
