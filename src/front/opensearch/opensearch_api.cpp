// SPDX-License-Identifier: MIT
// Errors in the API's format, search plans, and small parsers.
#include <algorithm>
#include <map>

#include "call.h"
#include "kelpdeal/search/conditions.h"
#include "kelpdeal/search/filter_path.h"

namespace kelpdeal::opensearch {
namespace {

// Bounds of an answer whose parts are selected. Values may take 30 times the memory of their text.
constexpr json::Bounds kMaxFilteredAnswer{256, 500'000};

const char* default_error_type(int status) {
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

}  // namespace

json::Value error_body(const ApiError& error) {
  json::Object cause{{"type", error.type.empty() ? default_error_type(error.status) : error.type},
                     {"reason", error.reason}};
  if (!error.index.empty()) cause.emplace_back("index", error.index);
  json::Object outer{{"root_cause", json::Array{cause}}};
  outer.insert(outer.end(), cause.begin(), cause.end());
  return json::Object{{"error", std::move(outer)}, {"status", error.status}};
}

Answer error_answer(const ApiError& error) {
  return {error.status, error_body(error), error.retry_after, {}};
}

http::Response error_response(const ApiError& error) {
  http::Response response;
  response.status = error.status;
  response.headers.fields = {{"Content-Type", "application/json; charset=UTF-8"}};
  if (error.retry_after > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after).count();
    response.headers.fields.emplace_back("Retry-After", std::to_string(seconds));
  }
  response.body = json::write(error_body(error));
  return response;
}

json::Value read_body(Call& call, const json::Bounds& bounds) {
  std::string text = call.http.body;
  if (const auto source = call.parameters.get("source"); source && text.empty()) text = *source;
  call.parameters.accept("source_content_type");
  if (text.find_first_not_of(" \t\r\n") == std::string::npos) return {};
  std::string error;
  auto body = json::parse(text, error, bounds);
  if (!body) search::throw_parsing_error(error);
  if (!body->object()) search::throw_parsing_error("the body is not an object");
  return std::move(*body);
}

std::int64_t wall_clock_ms() {
  return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string joined(const json::Value& value) {
  if (value.string()) return *value.string();
  std::string out;
  if (value.array())
    for (const json::Value& element : *value.array())
      if (element.string()) out += (out.empty() ? "" : ",") + *element.string();
  return out;
}

json::Value without_raw_values(const json::Value& value) {
  std::string error;
  auto parsed = json::parse(json::write(value), error, kMaxFilteredAnswer);
  if (!parsed) search::throw_illegal_argument("[filter_path] is not taken for an answer like this: " + error);
  return std::move(*parsed);
}

search::TaskRegistry::Entry make_task_entry(const Call& call, const char* action, std::string description,
                                            std::function<void()> cancel) {
  search::TaskRegistry::Entry entry;
  entry.action = action;
  entry.description = std::move(description);
  entry.team = call.team;
  entry.opaque_id = call.opaque_id;
  entry.started = Clock::now();
  entry.started_wall = std::chrono::system_clock::now();
  entry.cancel = std::move(cancel);
  return entry;
}

int slice_for_routing(const IndexContract& index, const std::string& routing) {
  std::uint32_t hash = 2166136261u;  // FNV-1a
  for (const char c : routing) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return index.first_slice + static_cast<int>(hash % static_cast<std::uint32_t>(index.slices));
}

std::string Plan::index_of(int slice) const {
  for (const search::Target& target : targets)
    if (slice >= target.index->first_slice && slice < target.index->first_slice + target.index->slices)
      return target.index->name;
  return {};
}

void Plan::keep_partition(std::size_t id, std::size_t max) {
  std::vector<Part> kept;
  for (const search::PartitionPart& part : search::partition(id, max, parts.size())) {
    kept.push_back(parts[part.index]);
    kept.back().partition = part.part;
  }
  parts = std::move(kept);
}

// Not for scrolls, which track each slice, nor with aggregations, which may count documents that do not match
// (global, empty buckets).
void Plan::prune(const search::SearchRequest& request) {
  if (request.scroll || !request.aggregations.empty()) return;
  if (std::none_of(parts.begin(), parts.end(), [](const Part& part) { return part.value_ranges != nullptr; }))
    return;
  std::vector<const phases::FieldRanges*> slices;
  for (const Part& part : parts) slices.push_back(part.value_ranges);
  std::vector<Part> queried;
  for (const std::size_t index : phases::select_slices(slices, search::numeric_conditions(request.query)))
    queried.push_back(std::move(parts[index]));
  skipped = parts.size() - queried.size();
  parts = std::move(queried);
}

Plan make_plan(std::vector<search::Target> targets, const std::string& routing) {
  Plan plan;
  std::map<int, Plan::Part> parts;
  for (const search::Target& target : targets) {
    const IndexContract& index = *target.index;
    if (plan.class_name.empty()) plan.class_name = index.class_name;
    if (index.class_name != plan.class_name)
      search::throw_illegal_argument("the indices of one search must be of one class");
    std::vector<json::Value> filters;
    if (target.filters.size() == 1) filters = target.filters;
    if (target.filters.size() > 1)
      filters.push_back(json::Object{
          {"bool", json::Object{{"should", json::Array(target.filters.begin(), target.filters.end())}}}});
    const auto add = [&](int slice) {
      Plan::Part part{slice, filters, {}, nullptr, nullptr};
      if (!index.ranges.empty())
        part.value_ranges = &index.ranges[static_cast<std::size_t>(slice - index.first_slice)];
      const auto [it, inserted] = parts.emplace(slice, part);
      if (!inserted && it->second.filters != part.filters)
        search::throw_illegal_argument("slice " + std::to_string(slice) +
                                       " belongs to two of the indices, and aliases filter it in two ways");
      // The value ranges of one index do not hold for the documents of the other.
      if (!inserted && it->second.value_ranges != part.value_ranges) it->second.value_ranges = nullptr;
    };
    if (routing.empty()) {
      for (int i = 0; i < index.slices; ++i) add(index.first_slice + i);
      continue;
    }
    for (const std::string& value : search::split(routing))
      // A value may be repeated, or map to a slice that is already included.
      if (const int slice = slice_for_routing(index, value); !parts.contains(slice)) add(slice);
  }
  for (auto& [slice, part] : parts) plan.parts.push_back(std::move(part));
  plan.targets = std::move(targets);
  return plan;
}

}  // namespace kelpdeal::opensearch
