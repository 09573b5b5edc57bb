// SPDX-License-Identifier: MIT
// Handlers of searches: single searches, multi-searches, counts, templates.
#include <algorithm>

#include "call.h"
#include "kelpdeal/search/reduce.h"
#include "kelpdeal/search/template.h"

namespace kelpdeal {

using namespace opensearch;
using search::throw_illegal_argument;

namespace {

json::Value shards_body(const Plan& plan, const std::vector<int>& missing, std::size_t total,
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

// Options allowed in the header line of a multi-search item.
constexpr const char* kHeaderOptions[] = {"index",
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

Task<Answer> OpenSearchFront::search(Call& call, CancellationToken& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  co_return co_await search_body(call, body, caller);
}

Task<Answer> OpenSearchFront::search_body(Call& call, const json::Value& body, CancellationToken& caller) {
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
    cursor = create_cursor(search::Cursor::Kind::scroll, plan.targets, call, *request.scroll);
    cursor->routing = request.routing;
    cursor->search_body = search::scroll_search_body(request);
    cursor->typed_keys = request.typed_keys;
    cursor->total_as_number = request.total_as_number;
    add_time_filters(*cursor, plan);
  }
  if (request.partition) plan.keep_partition(request.partition->first, request.partition->second);
  // With a point in time, a client continues from the sort values of the last hit it received. The last of
  // them is the marker "slice/id". The id is compared only within its slice; the other slices continue by the
  // order of slices, so the marker determines the position in all of them. If the client omits it, the search
  // continues after all hits that tie with the other values.
  std::optional<search::Position> after;
  if (request.pit_id && request.search_after) {
    after.emplace();
    after->sort_values = *request.search_after;
    if (after->sort_values.size() == request.sort.fields.size()) {
      const std::string marker =
          after->sort_values.back().string() ? *after->sort_values.back().string() : std::string();
      after->sort_values.pop_back();
      const std::size_t slash = marker.find('/');
      if (slash == std::string::npos)
        throw_illegal_argument(
            "[search_after] does not end with the mark that the hits of a point in time carry");
      after->slice = static_cast<int>(search::read_count(marker.substr(0, slash), "search_after", 1'000'000));
      after->id = marker.substr(slash + 1);
    } else {
      after->slice = 1'000'001;  // after all hits that tie with it
    }
    for (Plan::Part& part : plan.parts) part.after = &*after;
  }

  plan.prune(request);
  metrics_.count("slices.skipped", plan.skipped);
  SearchResult result = co_await execute(request, plan, call, call.index, caller);
  json::Object answer;
  if (request.scroll) {
    search::advance_cursor(*cursor, request.sort, result.page, result.slices, result.reply.missing);
    cursor->total = result.page.total_hits;
    if (const double* score = result.page.max_score.number()) cursor->max_score = *score;
    answer.emplace_back("_scroll_id", encode_cursor(*cursor));
  }
  if (request.pit_id) answer.emplace_back("pit_id", encode_cursor(*cursor));
  for (json::Member& member : result_body(plan, result)) answer.push_back(std::move(member));
  co_return Answer{200, std::move(answer), {}, {}};
}

Task<OpenSearchFront::SearchResult> OpenSearchFront::execute(const search::SearchRequest& request,
                                                             const Plan& plan, const Call& call,
                                                             const std::string& description,
                                                             CancellationToken& caller) {
  SearchResult result;
  if (plan.parts.empty()) {
    // A pattern that matches no index is not an error.
    search::Reducer none(request, bounds_.aggregations, [](int) { return std::string(); });
    result.reply.kind = Reply::Kind::answered;
    result.reply.whole = true;
    result.page = none.page(true);
    co_return result;
  }
  const cottonbay::ClassSettings* class_settings = broker_.find_class(plan.class_name);
  if (class_settings->effect != cottonbay::Effect::idempotent)
    throw_illegal_argument("index [" + plan.targets.front().index->name + "] takes documents, not searches");
  const TeamQuotas::Permit permit = acquire_permit(call, plan.class_name);

  QueryRequest query;
  query.id = next_id();
  query.class_name = plan.class_name;
  const Duration deadline = to_duration(FractionalMs(class_settings->deadline_ms));
  const Duration budget = std::min(request.timeout.value_or(deadline), deadline);
  query.expires = call.received + budget - std::min(limits_.reply_transit_margin, budget);
  const bool same_for_all = std::all_of(plan.parts.begin(), plan.parts.end(), [](const Plan::Part& part) {
    return part.filters.empty() && !part.partition && !part.after;
  });
  if (same_for_all) query.text = search::slice_request_text(request, {});
  for (const Plan::Part& part : plan.parts) {
    PartRequest part_request{part.slice, 1.0 / static_cast<double>(plan.parts.size()), std::nullopt};
    if (!same_for_all) {
      search::SliceOptions options{part.filters, part.after, part.slice, part.partition};
      part_request.text = std::make_shared<const std::string>(search::slice_request_text(request, options));
    }
    query.parts.push_back(std::move(part_request));
    result.slices.push_back(part.slice);
  }
  search::Reducer reducer(request, bounds_.aggregations, [&plan](int slice) { return plan.index_of(slice); });
  query.sink = &reducer;
  query.keep_first = true;

  CancellationToken search_caller;  // ends when the client disconnects or the task is cancelled
  const CallerLink link(caller, search_caller);
  const search::TaskRegistry::Running running(
      tasks_,
      make_task_entry(call, "indices:data/read/search",
                      "indices[" + description + "], " + std::to_string(plan.parts.size()) + " slices",
                      [&search_caller] { search_caller.cancel(); }));
  result.reply = co_await broker_.serve(std::move(query), search_caller);
  result.took = Clock::now() - call.received;
  if (call.is_single)
    fanout_.record_single_request(result.reply.kind == Reply::Kind::refused, result.took,
                                  to_duration(FractionalMs(class_settings->slo_ms)), Clock::now());

  if (running.cancelled())
    throw ApiError{400, "task_cancelled_exception", "the search was cancelled", {}, {}};
  const Reply& reply = result.reply;
  if (reply.kind == Reply::Kind::refused)
    throw ApiError{
        429,
        "rejected_execution_exception",
        "refused: " + reply.reason,
        {},
        reply.retry_after > Duration::zero() ? reply.retry_after : Duration(std::chrono::seconds(1))};
  if (reply.kind == Reply::Kind::rejected)
    throw ApiError{409, "illegal_argument_exception", "rejected: " + reply.reason, {}, {}};
  if (reply.kind == Reply::Kind::failed)
    throw ApiError{504, "timeout_exception", "no answer in time: " + reply.reason, {}, {}};
  if (!reply.whole && !request.allow_partial)
    throw ApiError{504, "search_phase_execution_exception", "Partial shards failure", {}, {}};
  result.page = reducer.page(reply.whole);
  broker_.reply_sent(reply);
  co_return result;
}

json::Object OpenSearchFront::result_body(const Plan& plan, SearchResult& result) const {
  search::Page& page = result.page;
  std::vector<int> missing = result.reply.missing;
  std::sort(missing.begin(), missing.end());
  missing.erase(std::unique(missing.begin(), missing.end()), missing.end());
  json::Object answer{{"took", std::chrono::duration_cast<Milliseconds>(result.took).count()},
                      {"timed_out", !result.reply.whole}};
  if (page.terminated_early) answer.emplace_back("terminated_early", true);
  const std::size_t total = plan.parts.size() + plan.skipped;
  answer.emplace_back("_shards", shards_body(plan, missing, total, plan.skipped));
  json::Object hits;
  if (!page.total.is_null()) hits.emplace_back("total", std::move(page.total));
  hits.emplace_back("max_score", std::move(page.max_score));
  hits.emplace_back("hits", std::move(page.hits));
  answer.emplace_back("hits", std::move(hits));
  if (page.aggregations) answer.emplace_back("aggregations", std::move(*page.aggregations));
  return answer;
}

// ---- multi-search ----
Task<Answer> OpenSearchFront::multi_search(Call& call, CancellationToken& caller) {
  co_return co_await run_multi_search(call, false, caller);
}
Task<Answer> OpenSearchFront::multi_search_template(Call& call, CancellationToken& caller) {
  co_return co_await run_multi_search(call, true, caller);
}

Task<void> OpenSearchFront::run_search_item(const Call& call, const search::Parameters& shared_parameters,
                                            const json::Value& header, std::string body,
                                            search::TemplateBudget* template_budget,
                                            CancellationToken& caller, Answer& outcome, std::size_t place,
                                            Mailbox<std::size_t>& done) {
  try {
    Call item_call{call.http, Clock::now(), call.pattern, call.index, {}, {}, call.team, call.opaque_id};
    item_call.is_single = false;
    item_call.parameters = shared_parameters;
    for (const auto& [name, value] : *header.object()) {
      if (std::none_of(std::begin(kHeaderOptions), std::end(kHeaderOptions),
                       [&option = name](const char* known) { return option == known; }))
        throw_illegal_argument("key [" + search::truncated(name, 40) +
                               "] is not supported in the metadata section");
      if (name == "index" || name == "indices")
        item_call.index = joined(value);
      else
        item_call.parameters.set(name, value.string()  ? *value.string()
                                       : value.array() ? joined(value)
                                                       : json::write(value));
    }
    std::string error;
    auto search_json = json::parse(body.empty() ? "{}" : body, error, limits_.search_json);
    if (!search_json || !search_json->object())
      search::throw_parsing_error(search_json ? "the body is not an object" : error);
    if (template_budget) search_json = rendered_body(*search_json, *template_budget);
    outcome = co_await search_body(item_call, *search_json, caller);
  } catch (const ApiError& error) {
    outcome = error_answer(error);
  }
  done.put(place);
}

Task<Answer> OpenSearchFront::run_multi_search(Call& call, bool templates, CancellationToken& caller) {
  const std::size_t max_concurrent = call.parameters.count("max_concurrent_searches", 10'000).value_or(0);
  search::Parameters shared_parameters;
  for (const char* shared : {"typed_keys", "rest_total_hits_as_int", "search_type"})
    if (const auto value = call.parameters.get(shared)) shared_parameters.set(shared, *value);
  call.parameters.accept("ccs_minimize_roundtrips pre_filter_shard_size max_concurrent_shard_requests");
  call.reject_unknown_parameters();
  std::vector<std::string> lines;
  search::LineSplitter splitter(limits_.max_search_body_bytes);
  splitter.feed(call.http.body);
  splitter.finish();
  while (auto line = splitter.next()) {
    lines.push_back(std::move(*line));
    // An empty line may follow the last search.
    if (lines.size() > 2 * limits_.max_multi_searches + 1)
      throw_illegal_argument("more than " + std::to_string(limits_.max_multi_searches) +
                             " searches in one multi-search");
  }
  if (!lines.empty() && lines.back().empty() && lines.size() % 2 != 0) lines.pop_back();
  if (lines.empty() || lines.size() % 2 != 0)
    search::throw_parsing_error("a multi-search needs a header and a body line for each search");
  const std::size_t count = lines.size() / 2;
  if (count > limits_.max_multi_searches)
    throw_illegal_argument("more than " + std::to_string(limits_.max_multi_searches) +
                           " searches in one multi-search");
  std::vector<json::Value> headers(count);
  for (std::size_t i = 0; i < count; ++i) {
    std::string error;
    auto header = json::parse(lines[2 * i].empty() ? "{}" : lines[2 * i], error, limits_.search_json);
    if (!header || !header->object())
      search::throw_parsing_error("the header of search " + std::to_string(i) + " is not an object");
    headers[i] = std::move(*header);
  }

  // Each item has its own caller, as all of them are notified when the client disconnects.
  ItemCallers callers(caller, count);
  std::vector<Answer> outcomes(count);
  Mailbox<std::size_t> done(scheduler_);
  search::TemplateBudget template_budget;
  const search::TaskRegistry::Running running(
      tasks_, make_task_entry(call, "indices:data/read/msearch", "requests[" + std::to_string(count) + "]",
                              [&callers] { callers.leave(); }));
  {
    search::FanoutLimiter::RequestLimiter limiter(fanout_, max_concurrent);
    std::size_t next = 0, ended = 0;
    const auto record_outcome = [&](const Answer& outcome) {
      if (outcome.status == 429)
        limiter.on_refused(Clock::now(), outcome.retry_after);
      else
        limiter.on_accepted();
    };
    while (ended < count) {
      while (next < count && (limiter.can_start() || callers.gone())) {
        if (const Duration retry_after = limiter.backoff_remaining(Clock::now());
            retry_after > Duration::zero()) {
          outcomes[next++] =
              error_answer({429, "rejected_execution_exception", "refused: overload", {}, retry_after});
          ++ended;
          continue;
        }
        limiter.on_started();
        scheduler_.spawn(run_search_item(
            call, shared_parameters, headers[next], std::move(lines[2 * next + 1]),
            templates ? &template_budget : nullptr, callers[next], outcomes[next], next, done));
        ++next;
        // Rendering a template may take a while: one in each turn of the loop.
        if (templates) co_await scheduler_.next_turn();
      }
      if (ended >= count) break;
      const auto finished = co_await done.take(Clock::now() + search::kFanoutPollInterval);
      if (!finished) continue;
      limiter.on_ended();
      ++ended;
      record_outcome(outcomes[*finished]);
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
    json::Object response = std::move(*outcome.body.object());
    if (std::none_of(response.begin(), response.end(),
                     [](const json::Member& member) { return member.first == "status"; }))
      response.emplace_back("status", outcome.status);
    responses.emplace_back(std::move(response));
  }
  const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - call.received).count();
  Answer answer{200, json::Object{{"took", took}, {"responses", std::move(responses)}}, {}, {}};
  if (all_refused) answer.retry_after = retry_after;
  co_return answer;
}

// The search body that a template body describes.
json::Value OpenSearchFront::rendered_body(const json::Value& body, search::TemplateBudget& budget) const {
  const json::Value* source = body.find("source");
  const json::Value* parameters = body.find("params");
  return search::render_template(source ? *source : json::Value(), parameters ? *parameters : json::Value(),
                                 limits_.max_search_body_bytes, limits_.search_json, budget);
}
json::Value OpenSearchFront::rendered_body(const json::Value& body) const {
  search::TemplateBudget budget;
  return rendered_body(body, budget);
}

// ---- count, validation, templates ----
Task<Answer> OpenSearchFront::count(Call& call, CancellationToken& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  json::Object count_body{{"size", 0}, {"track_total_hits", true}};
  if (body.object())
    for (const json::Member& member : *body.object()) {
      if (member.first != "query")
        search::throw_parsing_error("request does not support [" + search::truncated(member.first, 40) + "]");
      count_body.push_back(member);
    }
  if (const auto score = call.parameters.get("min_score")) {
    std::string error;
    const auto value = json::parse(*score, error);
    if (!value || !value->number()) throw_illegal_argument("[min_score] must be a number");
    count_body.emplace_back("min_score", *value);
  }
  search::SearchRequest request = search::parse_search(count_body, call.parameters, bounds_);
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  call.reject_unknown_parameters();
  const Plan plan = make_plan(resolve(call.index, names), request.routing);
  SearchResult result = co_await execute(request, plan, call, call.index, caller);
  json::Object answer{{"count", result.page.total_hits}};
  const json::Object body_of_search = result_body(plan, result);
  for (const json::Member& member : body_of_search)
    if (member.first == "_shards" || member.first == "terminated_early") answer.push_back(member);
  co_return Answer{200, std::move(answer), {}, {}};
}

Task<Answer> OpenSearchFront::validate(Call& call, CancellationToken&) {
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
      json::Object explanation{{"index", target.index->name}, {"valid", problem.empty()}};
      if (!problem.empty()) explanation.emplace_back("error", problem);
      explanations.push_back(std::move(explanation));
    }
    answer.emplace_back("explanations", std::move(explanations));
  }
  co_return Answer{200, std::move(answer), {}, {}};
}

Task<Answer> OpenSearchFront::search_template(Call& call, CancellationToken& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  for (const char* option : {"explain", "profile"})
    if (const json::Value* value = body.find(option); value && *value != json::Value(false))
      throw_illegal_argument("[" + std::string(option) + "] is not taken of a template");
  const json::Value rendered = rendered_body(body);
  co_return co_await search_body(call, rendered, caller);
}

Task<Answer> OpenSearchFront::render_template(Call& call, CancellationToken&) {
  const json::Value body = read_body(call, limits_.search_json);
  call.reject_unknown_parameters();
  co_return Answer{200, json::Object{{"template_output", rendered_body(body)}}, {}, {}};
}

}  // namespace kelpdeal
