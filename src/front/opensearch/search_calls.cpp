// SPDX-License-Identifier: MIT
// Searches: one, many at once, counts, templates.
#include <algorithm>

#include "call.h"
#include "kelpdeal/search/reduce.h"
#include "kelpdeal/search/template.h"

namespace kelpdeal {

using namespace opensearch;
using search::throw_illegal_argument;

namespace {

json::Value shards_of(const Plan& plan, const std::vector<int>& missing, std::size_t total,
                      std::size_t skipped) {
  json::Array failures;
  for (const int slice : missing)
    failures.push_back(json::Object{{"shard", slice},
                                    {"index", plan.index_of(slice)},
                                    {"node", json::Value()},
                                    {"reason", json::Object{{"type", "timeout_exception"},
                                                            {"reason", "no answer of this shard in time"}}}});
  json::Object out{{"total", static_cast<std::uint64_t>(total)},
                   {"successful", static_cast<std::uint64_t>(total - missing.size())},
                   {"skipped", static_cast<std::uint64_t>(skipped)},
                   {"failed", static_cast<std::uint64_t>(missing.size())}};
  if (!failures.empty()) out.emplace_back("failures", std::move(failures));
  return out;
}

// Options of a multi-search that stand in a search's header line.
constexpr const char* kHeaderNames[] = {"index",
                                        "indices",
                                        "search_type",
                                        "preference",
                                        "routing",
                                        "request_cache",
                                        "ignore_unavailable",
                                        "expand_wildcards",
                                        "allow_no_indices",
                                        "allow_partial_search_results",
                                        "ignore_throttled",
                                        "ccs_minimize_roundtrips",
                                        "cancel_after_time_interval",
                                        "timeout"};

}  // namespace

Task<Answer> OpenSearchFront::search(Call& call, Caller& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  co_return co_await search_body(call, body, caller);
}

Task<Answer> OpenSearchFront::search_body(Call& call, const json::Value& body, Caller& caller) {
  search::SearchRequest request = search::parse_search(body, call.parameters, bounds_);
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  call.reject_unknown_parameters();

  std::optional<search::Cursor> cursor;
  Plan plan;
  if (request.pit_id) {
    if (!call.index.empty()) throw_illegal_argument("[indices] cannot be used with point in time");
    cursor = decode_cursor(*request.pit_id, search::Cursor::Kind::point_in_time, call);
    if (request.pit_keep_alive)
      cursor->expires = std::max(
          cursor->expires, search::WallClock::now() + std::chrono::duration_cast<search::WallClock::duration>(
                                                          *request.pit_keep_alive));
    if (!cursors_.renew(*cursor, search::WallClock::now()))
      throw ApiError{404, "search_context_missing_exception", "the point in time was closed", {}, {}};
    plan = make_plan(targets_of(*cursor), cursor->routing);
    add_time_filters(*cursor, plan);
  } else {
    plan = make_plan(resolve(call.index, names), request.routing);
  }
  if (request.scroll) {
    cursor = new_cursor(search::Cursor::Kind::scroll, plan.targets, call, *request.scroll);
    cursor->routing = request.routing;
    cursor->search = search::scroll_search_body(request);
    cursor->typed_keys = request.typed_keys;
    cursor->total_as_number = request.total_as_number;
    add_time_filters(*cursor, plan);
  }
  if (request.partition) plan.keep_partition(request.partition->first, request.partition->second);
  // Of a point in time, a client goes on by the keys of the last hit it saw: the last of them is the id, and
  // holds within a slice; where it is there, it is enough for all slices, as ids are their own tie-break.
  std::optional<search::Position> after;
  if (request.pit_id && request.search_after) {
    after.emplace();
    after->keys = *request.search_after;
    if (after->keys.size() == request.sort.fields.size()) {
      const std::string mark = after->keys.back().string() ? *after->keys.back().string() : std::string();
      after->keys.pop_back();
      const std::size_t slash = mark.find('/');
      if (slash == std::string::npos)
        throw_illegal_argument(
            "[search_after] does not end with the mark that the hits of a point in time carry");
      after->slice = static_cast<int>(search::read_count(mark.substr(0, slash), "search_after", 1'000'000));
      after->id = mark.substr(slash + 1);
    } else {
      after->slice = 1'000'001;  // behind all that tie with it
    }
    for (Plan::Part& part : plan.parts) part.after = &*after;
  }

  plan.prune(request);
  metrics_.count("slices.skipped", plan.skipped);
  Found found = co_await execute(request, plan, call, call.index, caller);
  json::Object answer;
  if (request.scroll) {
    search::advance_cursor(*cursor, request.sort, found.page, found.asked, found.reply.missing);
    cursor->total = found.page.counted;
    if (const double* score = found.page.max_score.number()) cursor->max_score = *score;
    answer.emplace_back("_scroll_id", encode_cursor(*cursor));
  }
  if (request.pit_id) answer.emplace_back("pit_id", encode_cursor(*cursor));
  for (json::Member& member : write_found(plan, found)) answer.push_back(std::move(member));
  co_return Answer{200, std::move(answer), {}, {}};
}

Task<OpenSearchFront::Found> OpenSearchFront::execute(const search::SearchRequest& request, const Plan& plan,
                                                      const Call& call, const std::string& what,
                                                      Caller& caller) {
  Found found;
  if (plan.parts.empty()) {
    // A pattern that names nothing is no error.
    search::Reducer none(request, bounds_.aggregations, [](int) { return std::string(); });
    found.reply.kind = Reply::Kind::answered;
    found.reply.whole = true;
    found.page = none.page(true);
    co_return found;
  }
  const cottonbay::ClassSettings* cls = broker_.find_class(plan.class_name);
  if (cls->effect != cottonbay::Effect::safe)
    throw_illegal_argument("index [" + plan.targets.front().index->name + "] takes documents, not searches");
  const Budgets::Permit held = permit(call, plan.class_name);

  QueryRequest query;
  query.id = next_id();
  query.class_name = plan.class_name;
  const Duration whole = to_duration(FractionalMs(cls->deadline_ms));
  const Duration budget = std::min(request.timeout.value_or(whole), whole);
  query.expires = call.received + budget - std::min(limits_.answer_margin, budget);
  const bool alike = std::all_of(plan.parts.begin(), plan.parts.end(), [](const Plan::Part& part) {
    return part.filters.empty() && !part.partition && !part.after;
  });
  if (alike) query.text = search::slice_request_text(request, {});
  for (const Plan::Part& part : plan.parts) {
    PartRequest one{part.slice, 1.0 / static_cast<double>(plan.parts.size()), std::nullopt};
    if (!alike) {
      search::SliceOptions form{part.filters, part.after, part.slice, part.partition};
      one.text = std::make_shared<const std::string>(search::slice_request_text(request, form));
    }
    query.parts.push_back(std::move(one));
    found.asked.push_back(part.slice);
  }
  search::Reducer reducer(request, bounds_.aggregations, [&plan](int slice) { return plan.index_of(slice); });
  query.sink = &reducer;
  query.keep_first = true;

  Caller own;  // ends with the client, or by a cancel
  const CallerLink linked(caller, own);
  const search::TaskRegistry::Running running(
      tasks_, task_entry(call, "indices:data/read/search",
                         "indices[" + what + "], " + std::to_string(plan.parts.size()) + " slices",
                         [&own] { own.leave(); }));
  found.reply = co_await broker_.serve(std::move(query), own);
  found.took = Clock::now() - call.received;
  if (call.single)
    fanout_.record_single_request(found.reply.kind == Reply::Kind::refused, found.took,
                                  to_duration(FractionalMs(cls->aim_ms)), Clock::now());

  if (running.cancelled())
    throw ApiError{400, "task_cancelled_exception", "the search was cancelled", {}, {}};
  const Reply& reply = found.reply;
  if (reply.kind == Reply::Kind::refused)
    throw ApiError{
        429,
        "rejected_execution_exception",
        "refused: " + reply.why,
        {},
        reply.retry_after > Duration::zero() ? reply.retry_after : Duration(std::chrono::seconds(1))};
  if (reply.kind == Reply::Kind::rejected)
    throw ApiError{409, "illegal_argument_exception", "rejected: " + reply.why, {}, {}};
  if (reply.kind == Reply::Kind::failed)
    throw ApiError{504, "timeout_exception", "no answer in time: " + reply.why, {}, {}};
  if (!reply.whole && !request.allow_partial)
    throw ApiError{504, "search_phase_execution_exception", "Partial shards failure", {}, {}};
  found.page = reducer.page(reply.whole);
  broker_.answer_out(reply);
  co_return found;
}

json::Object OpenSearchFront::write_found(const Plan& plan, Found& found) const {
  search::Page& page = found.page;
  std::vector<int> missing = found.reply.missing;
  std::sort(missing.begin(), missing.end());
  missing.erase(std::unique(missing.begin(), missing.end()), missing.end());
  json::Object answer{{"took", std::chrono::duration_cast<Milliseconds>(found.took).count()},
                      {"timed_out", !found.reply.whole}};
  if (page.terminated_early) answer.emplace_back("terminated_early", true);
  const std::size_t total = plan.parts.size() + plan.skipped;
  answer.emplace_back("_shards", shards_of(plan, missing, total, plan.skipped));
  json::Object hits;
  if (!page.total.is_null()) hits.emplace_back("total", std::move(page.total));
  hits.emplace_back("max_score", std::move(page.max_score));
  hits.emplace_back("hits", std::move(page.hits));
  answer.emplace_back("hits", std::move(hits));
  if (page.aggregations) answer.emplace_back("aggregations", std::move(*page.aggregations));
  return answer;
}

// ---- many at once ----
Task<Answer> OpenSearchFront::multi_search(Call& call, Caller& caller) {
  co_return co_await run_many(call, false, caller);
}
Task<Answer> OpenSearchFront::multi_search_template(Call& call, Caller& caller) {
  co_return co_await run_many(call, true, caller);
}

Task<void> OpenSearchFront::search_one(const Call& call, const json::Value& header, std::string body,
                                       bool is_template, Caller& caller, Answer& outcome, std::size_t place,
                                       Mailbox<std::size_t>& done) {
  try {
    Call one{call.http, Clock::now(), call.pattern, call.index, {}, {}, call.team, call.opaque};
    one.single = false;
    std::vector<std::pair<std::string, std::string>> given;
    for (const char* shared : {"typed_keys", "rest_total_hits_as_int", "search_type"})
      if (const auto value = call.http.parameter(shared)) given.emplace_back(shared, *value);
    one.parameters = search::Parameters(std::move(given));
    for (const auto& [name, value] : *header.object()) {
      if (std::none_of(std::begin(kHeaderNames), std::end(kHeaderNames),
                       [&n = name](const char* known) { return n == known; }))
        throw_illegal_argument("key [" + search::truncated(name, 40) +
                               "] is not supported in the metadata section");
      if (name == "index" || name == "indices")
        one.index = joined(value);
      else
        one.parameters.set(name, value.string()  ? *value.string()
                                 : value.array() ? joined(value)
                                                 : json::write(value));
    }
    std::string error;
    auto read = json::parse(body.empty() ? "{}" : body, error, limits_.search_json);
    if (!read || !read->object()) search::throw_parsing_error(read ? "the body is not an object" : error);
    if (is_template) {
      const json::Value* source = read->find("source");
      const json::Value* parameters = read->find("params");
      read =
          search::render_template(source ? *source : json::Value(), parameters ? *parameters : json::Value(),
                                  limits_.search_body, limits_.search_json);
    }
    outcome = co_await search_body(one, *read, caller);
  } catch (const ApiError& error) {
    outcome = answer_error(error);
  }
  done.put(place);
}

Task<Answer> OpenSearchFront::run_many(Call& call, bool templates, Caller& caller) {
  const std::size_t at_once = call.parameters.count("max_concurrent_searches", 10'000).value_or(0);
  call.parameters.accept(
      "typed_keys rest_total_hits_as_int search_type ccs_minimize_roundtrips pre_filter_shard_size "
      "max_concurrent_shard_requests");
  call.reject_unknown_parameters();
  std::vector<std::string> lines;
  search::LineSplitter splitter(limits_.search_body);
  splitter.feed(call.http.body);
  splitter.finish();
  while (auto line = splitter.next()) lines.push_back(std::move(*line));
  if (!lines.empty() && lines.back().empty() && lines.size() % 2 != 0) lines.pop_back();
  if (lines.empty() || lines.size() % 2 != 0)
    search::throw_parsing_error("a multi-search needs a header and a body line for each search");
  const std::size_t count = lines.size() / 2;
  if (count > limits_.searches)
    throw_illegal_argument("more than " + std::to_string(limits_.searches) + " searches in one multi-search");
  std::vector<json::Value> headers(count);
  for (std::size_t i = 0; i < count; ++i) {
    std::string error;
    auto header = json::parse(lines[2 * i].empty() ? "{}" : lines[2 * i], error, limits_.search_json);
    if (!header || !header->object())
      search::throw_parsing_error("the header of search " + std::to_string(i) + " is not an object");
    headers[i] = std::move(*header);
  }

  // Each has a caller of its own, as all of them have to hear that the client left.
  ItemCallers callers(caller, count);
  std::vector<Answer> outcomes(count);
  Mailbox<std::size_t> done(scheduler_);
  const search::TaskRegistry::Running running(
      tasks_, task_entry(call, "indices:data/read/msearch", "requests[" + std::to_string(count) + "]",
                         [&callers] { callers.leave(); }));
  {
    search::FanoutLimiter::RequestLimiter limiter(fanout_, at_once);
    std::size_t next = 0, ended = 0;
    const auto note = [&](const Answer& outcome) {
      if (outcome.status == 429)
        limiter.on_refused(Clock::now(), outcome.retry_after);
      else
        limiter.on_accepted();
    };
    while (ended < count) {
      while (next < count && (limiter.can_start() || callers.gone())) {
        if (const Duration advice = limiter.backoff_remaining(Clock::now()); advice > Duration::zero()) {
          outcomes[next++] =
              answer_error({429, "rejected_execution_exception", "refused: overload", {}, advice});
          ++ended;
          continue;
        }
        limiter.on_started();
        scheduler_.spawn(search_one(call, headers[next], std::move(lines[2 * next + 1]), templates,
                                    callers[next], outcomes[next], next, done));
        ++next;
      }
      if (ended >= count) break;
      // The windows of others may open ours without word.
      const auto got = co_await done.take(Clock::now() + Milliseconds(20));
      if (!got) continue;
      limiter.on_ended();
      ++ended;
      note(outcomes[*got]);
    }
  }
  if (running.cancelled())
    throw ApiError{400, "task_cancelled_exception", "the searches were cancelled", {}, {}};

  json::Array responses;
  Duration retry_after{};
  bool all_refused = true;
  for (Answer& outcome : outcomes) {
    all_refused &= outcome.status == 429;
    retry_after = std::max(retry_after, outcome.retry_after);
    json::Object one = std::move(*outcome.body.object());
    if (std::none_of(one.begin(), one.end(),
                     [](const json::Member& member) { return member.first == "status"; }))
      one.emplace_back("status", outcome.status);
    responses.emplace_back(std::move(one));
  }
  const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - call.received).count();
  Answer answer{200, json::Object{{"took", took}, {"responses", std::move(responses)}}, {}, {}};
  if (all_refused) answer.retry_after = retry_after;
  co_return answer;
}

// ---- others ----
Task<Answer> OpenSearchFront::count(Call& call, Caller& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  json::Object asked{{"size", 0}, {"track_total_hits", true}};
  if (body.object())
    for (const json::Member& member : *body.object()) {
      if (member.first != "query")
        search::throw_parsing_error("request does not support [" + search::truncated(member.first, 40) + "]");
      asked.push_back(member);
    }
  if (const auto score = call.parameters.get("min_score")) {
    std::string error;
    const auto value = json::parse(*score, error);
    if (!value || !value->number()) throw_illegal_argument("[min_score] must be a number");
    asked.emplace_back("min_score", *value);
  }
  search::SearchRequest request = search::parse_search(asked, call.parameters, bounds_);
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  call.reject_unknown_parameters();
  const Plan plan = make_plan(resolve(call.index, names), request.routing);
  Found found = co_await execute(request, plan, call, call.index, caller);
  json::Object answer{{"count", found.page.counted}};
  const json::Object whole = write_found(plan, found);
  for (const json::Member& member : whole)
    if (member.first == "_shards" || member.first == "terminated_early") answer.push_back(member);
  co_return Answer{200, std::move(answer), {}, {}};
}

Task<Answer> OpenSearchFront::validate(Call& call, Caller&) {
  const json::Value body = read_body(call, limits_.search_json);
  const bool explain = call.parameters.flag("explain").value_or(false);
  call.parameters.accept("rewrite all_shards");
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  std::string problem;
  try {
    search::Parameters& parameters = call.parameters;
    parameters.set("explain", "false");
    search::parse_search(body, parameters, bounds_);
  } catch (const ApiError& error) {
    problem = error.reason;
  }
  call.reject_unknown_parameters();
  const std::vector<search::Target> targets = resolve(call.index, names);
  json::Object answer{{"_shards", json::Object{{"total", 1}, {"successful", 1}, {"failed", 0}}},
                      {"valid", problem.empty()}};
  if (explain) {
    json::Array explanations;
    for (const search::Target& target : targets) {
      json::Object one{{"index", target.index->name}, {"valid", problem.empty()}};
      if (!problem.empty()) one.emplace_back("error", problem);
      explanations.push_back(std::move(one));
    }
    answer.emplace_back("explanations", std::move(explanations));
  }
  co_return Answer{200, std::move(answer), {}, {}};
}

Task<Answer> OpenSearchFront::search_template(Call& call, Caller& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  for (const char* option : {"explain", "profile"})
    if (const json::Value* value = body.find(option); value && *value != json::Value(false))
      throw_illegal_argument("[" + std::string(option) + "] is not taken of a template");
  const json::Value* source = body.find("source");
  const json::Value* parameters = body.find("params");
  const json::Value rendered =
      search::render_template(source ? *source : json::Value(), parameters ? *parameters : json::Value(),
                              limits_.search_body, limits_.search_json);
  co_return co_await search_body(call, rendered, caller);
}

Task<Answer> OpenSearchFront::render_template(Call& call, Caller&) {
  const json::Value body = read_body(call, limits_.search_json);
  call.reject_unknown_parameters();
  const json::Value* source = body.find("source");
  const json::Value* parameters = body.find("params");
  json::Value rendered =
      search::render_template(source ? *source : json::Value(), parameters ? *parameters : json::Value(),
                              limits_.search_body, limits_.search_json);
  co_return Answer{200, json::Object{{"template_output", std::move(rendered)}}, {}, {}};
}

}  // namespace kelpdeal
