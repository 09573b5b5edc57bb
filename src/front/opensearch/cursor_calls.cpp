// SPDX-License-Identifier: MIT
// Handlers of scrolls and points in time.
#include <algorithm>

#include "call.h"

namespace kelpdeal {

using namespace opensearch;
using search::Cursor;
using search::throw_illegal_argument;
using search::WallClock;

namespace {

constexpr const char* kContextMissing = "search_context_missing_exception";

[[noreturn]] void throw_context_missing(const std::string& what) {
  throw ApiError{404, kContextMissing, what, {}, {}};
}

// The ids given in a body or a path: one, or a list of them.
std::vector<std::string> ids_of(const json::Value& body, const char* name, const std::string& path_ids) {
  std::vector<std::string> ids;
  const auto add = [&](const std::string& text) {
    for (std::string& id : search::split(text))
      if (!id.empty()) ids.push_back(std::move(id));
  };
  add(path_ids);
  if (const json::Value* given = body.find(name)) {
    if (given->string()) add(*given->string());
    if (given->array())
      for (const json::Value& element : *given->array())
        if (element.string()) add(*element.string());
  }
  return ids;
}

}  // namespace

std::string OpenSearchFront::encode_cursor(const Cursor& cursor) const {
  std::string id = signer_.sign(json::write(search::cursor_to_json(cursor)));
  if (id.size() > limits_.max_cursor_bytes)
    throw_illegal_argument("the search is too large for a cursor: its id would hold " +
                           std::to_string(id.size()) + " bytes, " + std::to_string(limits_.max_cursor_bytes) +
                           " are the most");
  return id;
}

Cursor OpenSearchFront::decode_cursor(const std::string& id, Cursor::Kind kind, const Call& call) const {
  const auto payload = id.size() > limits_.max_cursor_bytes ? std::nullopt : signer_.verify(id);
  if (!payload)
    throw_illegal_argument(kind == Cursor::Kind::scroll ? "Cannot parse scroll id"
                                                        : "invalid id: [" + search::truncated(id, 40) + "]");
  std::string error;
  const auto value = json::parse(*payload, error, limits_.search_json);
  std::optional<Cursor> cursor;
  if (value) cursor = search::cursor_from_json(*value);
  if (!cursor || cursor->kind != kind)
    throw_illegal_argument(kind == Cursor::Kind::scroll ? "Cannot parse scroll id"
                                                        : "invalid id: it is no point in time");
  if (cursor->team != call.team)
    throw ApiError{403, "security_exception", "the cursor belongs to another team", {}, {}};
  if (cursor->expires <= WallClock::now())
    throw_context_missing("No search context found for id [" + std::to_string(cursor->number) +
                          "]: it has expired");
  return std::move(*cursor);
}

Cursor OpenSearchFront::create_cursor(Cursor::Kind kind, const std::vector<search::Target>& targets,
                                      const Call& call, Duration keep_alive) {
  Cursor cursor;
  cursor.kind = kind;
  cursor.number = next_random();
  cursor.team = call.team;
  cursor.opened = WallClock::now();
  cursor.expires = cursor.opened + std::chrono::duration_cast<WallClock::duration>(keep_alive);
  for (const search::Target& target : targets) {
    cursor.indices.push_back(target.index->name);
    json::Value filter;
    if (target.filters.size() == 1) filter = target.filters.front();
    if (target.filters.size() > 1)
      filter = json::Object{
          {"bool", json::Object{{"should", json::Array(target.filters.begin(), target.filters.end())}}}};
    cursor.filters.push_back(std::move(filter));
  }
  if (!cursors_.open(cursor, cursor.opened))
    throw ApiError{429,
                   "rejected_execution_exception",
                   "Trying to create too many scroll contexts. Must be less than or equal to: [" +
                       std::to_string(limits_.max_cursors_per_team) + "]",
                   {},
                   std::chrono::seconds(1)};
  return cursor;
}

std::vector<search::Target> OpenSearchFront::targets_of(const Cursor& cursor) const {
  std::vector<search::Target> targets;
  for (std::size_t i = 0; i < cursor.indices.size(); ++i) {
    const auto index =
        std::find_if(contract_.indices.begin(), contract_.indices.end(),
                     [&](const IndexContract& candidate) { return candidate.name == cursor.indices[i]; });
    if (index == contract_.indices.end())
      throw ApiError{404,
                     "index_not_found_exception",
                     "no such index [" + cursor.indices[i] + "]",
                     cursor.indices[i],
                     {}};
    search::Target target{&*index, {}};
    if (!cursor.filters[i].is_null()) target.filters.push_back(cursor.filters[i]);
    targets.push_back(std::move(target));
  }
  return targets;
}

// Excludes documents recorded after the cursor was opened, for indices with a time field.
void OpenSearchFront::add_time_filters(const Cursor& cursor, Plan& plan) const {
  const auto opened_ms = std::chrono::duration_cast<Milliseconds>(cursor.opened.time_since_epoch()).count();
  for (const search::Target& target : plan.targets) {
    const IndexContract& index = *target.index;
    if (index.time_field.empty()) continue;
    for (Plan::Part& part : plan.parts)
      if (part.slice >= index.first_slice && part.slice < index.first_slice + index.slices)
        part.filters.push_back(json::Object{
            {"range", json::Object{{index.time_field,
                                    json::Object{{"lte", opened_ms}, {"format", "epoch_millis"}}}}}});
  }
}

Task<Answer> OpenSearchFront::scroll(Call& call, CancellationToken& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  const std::string keep_alive = call.parameters.get("scroll").value_or(body.text_or("scroll", ""));
  const std::vector<std::string> ids =
      ids_of(body, "scroll_id", call.id.empty() ? call.parameters.get("scroll_id").value_or("") : call.id);
  const auto total_as_number = call.parameters.flag("rest_total_hits_as_int");
  call.reject_unknown_parameters();
  if (body.object())
    for (const auto& [name, value] : *body.object())
      if (name != "scroll" && name != "scroll_id")
        throw_illegal_argument("Unknown parameter [" + search::truncated(name, 40) +
                               "] in request body or parameter is of the wrong type");
  if (ids.size() != 1)
    throw ApiError{
        400, "action_request_validation_exception", "Validation Failed: 1: scrollId is missing;", {}, {}};
  Cursor cursor = decode_cursor(ids.front(), Cursor::Kind::scroll, call);
  const WallClock::time_point now = WallClock::now();
  if (!keep_alive.empty()) {
    const auto keep_alive_time = search::parse_time(keep_alive, "scroll");
    if (!keep_alive_time || *keep_alive_time > bounds_.max_keep_alive || *keep_alive_time <= Duration::zero())
      throw_illegal_argument("Keep alive for request is out of range");
    cursor.expires =
        std::max(cursor.expires, now + std::chrono::duration_cast<WallClock::duration>(*keep_alive_time));
  }
  if (!cursors_.renew(cursor, now))
    throw_context_missing("No search context found for id [" + std::to_string(cursor.number) +
                          "]: it was cleared");

  // Repeats the original search from the cursor's position.
  search::Parameters parameters;
  parameters.set("scroll", "1m");
  if (cursor.typed_keys) parameters.set("typed_keys", "true");
  search::SearchRequest request = search::parse_search(cursor.search_body, parameters, bounds_);
  request.total_as_number = total_as_number.value_or(cursor.total_as_number);
  Plan plan = make_plan(targets_of(cursor), cursor.routing);
  add_time_filters(cursor, plan);
  if (request.partition) plan.keep_partition(request.partition->first, request.partition->second);
  const std::size_t total_slices = plan.parts.size();
  std::vector<int> slices;
  for (const Plan::Part& part : plan.parts) slices.push_back(part.slice);
  const auto needed = search::remaining_slices(cursor, slices);
  std::vector<Plan::Part> parts;
  for (const auto& [slice, after] : needed)
    for (Plan::Part& part : plan.parts)
      if (part.slice == slice) {
        part.after = after;
        parts.push_back(part);
      }
  plan.parts = std::move(parts);
  // The parts point to positions inside the cursor, so it is advanced only after they are answered.
  SearchResult result = co_await execute(request, plan, call, "scroll", caller);
  result.page.total = request.total_as_number
                          ? json::Value(cursor.total)
                          : json::Value(json::Object{{"value", cursor.total}, {"relation", "eq"}});
  if (request.visible_sort_keys == 0 && cursor.max_score) result.page.max_score = *cursor.max_score;
  search::advance_cursor(cursor, request.sort, result.page, result.slices, result.reply.missing);
  json::Object answer{{"_scroll_id", encode_cursor(cursor)}};
  for (json::Member& member : result_body(plan, result)) answer.push_back(std::move(member));
  for (json::Member& member : answer)
    if (member.first == "_shards")
      for (json::Member& counter : *member.second.object()) {
        // Slices without further hits are not queried, but count as successful.
        if (counter.first == "total") counter.second = static_cast<std::uint64_t>(total_slices);
        if (counter.first == "successful")
          counter.second = static_cast<std::uint64_t>(total_slices - result.reply.missing.size());
      }
  co_return Answer{200, std::move(answer), {}, {}};
}

std::size_t OpenSearchFront::clear_all_cursors(const std::string& team, Cursor::Kind kind) {
  if (const auto cleared = cursors_.clear_all(team, kind, WallClock::now())) return *cleared;
  throw ApiError{429,
                 "rejected_execution_exception",
                 "too many teams have cleared all of their cursors",
                 {},
                 std::chrono::seconds(1)};
}

Task<Answer> OpenSearchFront::clear_scroll(Call& call, CancellationToken&) {
  const json::Value body = read_body(call, limits_.search_json);
  call.reject_unknown_parameters();
  const std::vector<std::string> ids = ids_of(body, "scroll_id", call.id);
  if (ids.empty())
    throw ApiError{
        400, "action_request_validation_exception", "Validation Failed: 1: no scroll ids specified;", {}, {}};
  const WallClock::time_point now = WallClock::now();
  std::size_t freed = 0;
  if (ids.size() == 1 && ids.front() == "_all") {
    freed = clear_all_cursors(call.team, Cursor::Kind::scroll);
    co_return Answer{
        200, json::Object{{"succeeded", true}, {"num_freed", static_cast<std::uint64_t>(freed)}}, {}, {}};
  }
  // All ids are decoded before any cursor is cleared.
  std::vector<Cursor> cursors;
  for (const std::string& id : ids) {
    try {
      cursors.push_back(decode_cursor(id, Cursor::Kind::scroll, call));
    } catch (const ApiError& error) {
      if (error.status != 404) throw;
    }
  }
  for (const Cursor& cursor : cursors) freed += cursors_.clear(cursor, now);
  co_return Answer{freed ? 200 : 404,
                   json::Object{{"succeeded", true}, {"num_freed", static_cast<std::uint64_t>(freed)}},
                   {},
                   {}};
}

Task<Answer> OpenSearchFront::open_point_in_time(Call& call, CancellationToken&) {
  const auto keep_alive = call.parameters.get("keep_alive");
  const std::string routing = call.parameters.get("routing").value_or("");
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  call.parameters.accept("preference allow_partial_pit_creation");
  call.reject_unknown_parameters();
  if (!keep_alive || keep_alive->empty())
    throw ApiError{400,
                   "action_request_validation_exception",
                   "Validation Failed: 1: keep alive not specified;",
                   {},
                   {}};
  const auto keep_alive_time = search::parse_time(*keep_alive, "keep_alive");
  if (!keep_alive_time || *keep_alive_time <= Duration::zero() || *keep_alive_time > bounds_.max_keep_alive)
    throw_illegal_argument("Keep alive for request is out of range");
  const std::vector<search::Target> targets = resolve(call.index, names);
  const Plan plan = make_plan(targets, routing);  // throws if the indices cannot be searched together
  if (!plan.class_name.empty() &&
      broker_.find_class(plan.class_name)->effect != cottonbay::Effect::idempotent)
    throw_illegal_argument("index [" + targets.front().index->name + "] takes documents, not searches");
  Cursor cursor = create_cursor(Cursor::Kind::point_in_time, targets, call, *keep_alive_time);
  cursor.routing = routing;
  const auto count = static_cast<std::uint64_t>(plan.parts.size());
  const auto opened_ms = std::chrono::duration_cast<Milliseconds>(cursor.opened.time_since_epoch()).count();
  co_return Answer{
      200,
      json::Object{
          {"pit_id", encode_cursor(cursor)},
          {"_shards", json::Object{{"total", count}, {"successful", count}, {"skipped", 0}, {"failed", 0}}},
          {"creation_time", opened_ms}},
      {},
      {}};
}

Task<Answer> OpenSearchFront::close_point_in_time(Call& call, CancellationToken&) {
  const json::Value body = read_body(call, limits_.search_json);
  call.reject_unknown_parameters();
  const std::vector<std::string> ids = ids_of(body, "pit_id", "");
  if (ids.empty())
    throw ApiError{
        400, "action_request_validation_exception", "Validation Failed: 1: no pit ids specified;", {}, {}};
  json::Array pits;
  std::vector<std::pair<std::string, std::optional<Cursor>>> decoded;
  for (const std::string& id : ids) {
    decoded.emplace_back(id, std::nullopt);
    try {
      decoded.back().second = decode_cursor(id, Cursor::Kind::point_in_time, call);
    } catch (const ApiError& error) {
      if (error.status != 404) throw;
    }
  }
  for (auto& [id, cursor] : decoded)
    pits.push_back(
        json::Object{{"successful", !cursor || cursors_.clear(*cursor, WallClock::now())}, {"pit_id", id}});
  co_return Answer{200, json::Object{{"pits", std::move(pits)}}, {}, {}};
}

Task<Answer> OpenSearchFront::list_points_in_time(Call& call, CancellationToken&) {
  call.reject_unknown_parameters();
  const WallClock::time_point now = WallClock::now();
  json::Array pits;
  for (const auto& [number, entry] : cursors_.list(call.team, Cursor::Kind::point_in_time, now)) {
    const auto ms = [](auto duration) { return std::chrono::duration_cast<Milliseconds>(duration).count(); };
    // The signed ids are not stored; only their holders have them.
    pits.push_back(json::Object{{"pit_id", std::to_string(number)},
                                {"creation_time", ms(entry.value.opened.time_since_epoch())},
                                {"keep_alive", ms(entry.expires - now)}});
  }
  co_return Answer{200, json::Object{{"pits", std::move(pits)}}, {}, {}};
}

Task<Answer> OpenSearchFront::close_all_points_in_time(Call& call, CancellationToken&) {
  call.reject_unknown_parameters();
  const WallClock::time_point now = WallClock::now();
  json::Array pits;
  for (const auto& [number, entry] : cursors_.list(call.team, Cursor::Kind::point_in_time, now))
    pits.push_back(json::Object{{"successful", true}, {"pit_id", std::to_string(number)}});
  clear_all_cursors(call.team, Cursor::Kind::point_in_time);
  co_return Answer{200, json::Object{{"pits", std::move(pits)}}, {}, {}};
}

}  // namespace kelpdeal
