// SPDX-License-Identifier: MIT
// Handler of bulks. Items start as their lines arrive, and reading pauses while no item may start: memory use
// is bounded by Limits regardless of the length of the bulk.
#include <deque>

#include "kelpdeal/search/bulk.h"
#include "write.h"

namespace kelpdeal {

using namespace opensearch;
using search::throw_illegal_argument;

namespace {

// The outcome of one item, as values and as text.
constexpr std::size_t kItemResultBytes = 1024;

ApiError no_memory_error() {
  return {429, "rejected_execution_exception", "refused: no memory", {}, std::chrono::seconds(1)};
}

// Refused items are listed in the answer too, so their number is bounded as well.
constexpr std::size_t kMaxListedItemsFactor = 4;

// The `error` of an item.
json::Object error_cause(const ApiError& error) {
  json::Object cause{{"type", error.type}, {"reason", error.reason}};
  if (error.retry_after > Duration::zero())
    cause.emplace_back("retry_after_ms", std::chrono::ceil<Milliseconds>(error.retry_after).count());
  return cause;
}

// The outcome of an item that did not start.
json::Value refused_item(const search::BulkItem& item, const ApiError& error) {
  return json::Object{{item.action_name(), json::Object{{"_index", item.index},
                                                        {"_id", item.id.empty() ? json::Value() : item.id},
                                                        {"status", error.status},
                                                        {"error", error_cause(error)}}}};
}

// Why an item is refused whatever the load; empty if it may be written.
std::string problem_of(const search::BulkItem& item) {
  if (!item.problem.empty()) return item.problem;
  if (item.action == search::BulkItem::Action::update || item.action == search::BulkItem::Action::erase)
    return "documents are recorded, not updated or deleted";
  return {};
}

}  // namespace

// A bulk that is being read and executed.
struct OpenSearchFront::Bulk {
  Bulk(const Call& bulk_call, Scheduler& scheduler, search::FanoutLimiter& fanout,
       admission::MemoryAccount& memory)
      : call(bulk_call),
        done(scheduler),
        limiter(fanout, 0),
        results_memory(memory, admission::Use::accepted_requests) {
    caller.on_cancel = [this] {
      for (CancellationToken& item_caller : item_callers) item_caller.cancel();
    };
  }
  void refuse(const search::BulkItem& item, const ApiError& item_error) {
    items.push_back(refused_item(item, item_error));
  }

  const Call& call;
  std::string routing, client_key;
  std::optional<Duration> timeout;
  std::deque<json::Value> items;  // elements must not move while items write their results to them
  std::deque<CancellationToken> item_callers;
  Mailbox<int> done;
  CancellationToken caller;
  search::FanoutLimiter::RequestLimiter limiter;
  std::optional<ApiError> error;  // ends the bulk
  admission::Charge results_memory;
};

Task<void> OpenSearchFront::run_bulk_item(Bulk& bulk, std::unique_ptr<Write> write, CancellationToken& caller,
                                          json::Value& out) {
  json::Object item;
  try {
    const Call& call = bulk.call;
    Call item_call{call.http, Clock::now(), call.pattern, {}, {}, {}, call.team, call.opaque_id};
    Answer answer = co_await execute_write(*write, item_call, caller);
    item = std::move(*answer.body.object());
    item.emplace_back("status", answer.status);
    bulk.limiter.on_accepted();
  } catch (const ApiError& error) {
    item = {{"_index", write->index->name},
            {"_id", write->id},
            {"status", error.status},
            {"error", error_cause(error)}};
    if (error.status == 429) bulk.limiter.on_refused(Clock::now(), error.retry_after);
  }
  out = json::Object{{write->action_name, std::move(item)}};
  bulk.limiter.on_ended();  // here and not by the bulk, which may be waiting for its client
  bulk.done.put(1);
}

// Starts the write of an item as soon as the load allows it, or lists it as refused.
Task<void> OpenSearchFront::start_bulk_item(Bulk& bulk, search::BulkItem item) {
  if (!bulk.results_memory.grow(kItemResultBytes)) {
    bulk.error = no_memory_error();
    co_return;
  }
  if (bulk.items.size() >= limits_.max_bulk_items) {
    bulk.refuse(item, {429,
                       "rejected_execution_exception",
                       "a bulk holds at most " + std::to_string(limits_.max_bulk_items) +
                           " items: send this one again",
                       {},
                       std::chrono::seconds(1)});
    if (bulk.items.size() >= kMaxListedItemsFactor * limits_.max_bulk_items)
      bulk.error = ApiError{413, "content_too_long_exception", "far too many items in one bulk", {}, {}};
    co_return;
  }
  if (const std::string problem = problem_of(item); !problem.empty()) {
    bulk.refuse(item, {400, "illegal_argument_exception", problem, {}, {}});
    co_return;
  }
  // Pauses reading until the item may start.
  while (!bulk.limiter.can_start() && !bulk.caller.cancelled())
    co_await bulk.done.take(Clock::now() + search::kFanoutPollInterval);
  const Duration retry_after = bulk.limiter.backoff_remaining(Clock::now());
  if (retry_after > Duration::zero()) {
    bulk.refuse(item, {429, "rejected_execution_exception", "refused: overload", {}, retry_after});
    co_return;
  }
  auto write = std::make_unique<Write>();
  write->memory = admission::Charge(memory_, admission::Use::accepted_requests);
  if (!write->memory.resize(item.document.size())) {
    bulk.refuse(item, no_memory_error());
    co_return;
  }
  admission::Charge document_memory = std::move(write->memory);
  try {
    *write = prepare_write({bulk.client_key, bulk.call.team, item.index, item.id,
                            item.routing.empty() ? bulk.routing : item.routing,
                            item.action == search::BulkItem::Action::create, std::move(item.document)});
  } catch (const ApiError& error) {
    bulk.refuse(item, error);
    co_return;
  }
  write->memory = std::move(document_memory);
  write->action_name = item.action_name();
  write->timeout = bulk.timeout;
  json::Value& out = bulk.items.emplace_back();
  CancellationToken& caller = bulk.item_callers.emplace_back();
  if (bulk.caller.cancelled()) caller.cancel();
  bulk.limiter.on_started();
  scheduler_.spawn(run_bulk_item(bulk, std::move(write), caller, out));
}

// Starts the items of all lines that have arrived.
Task<void> OpenSearchFront::read_bulk_lines(Bulk& bulk, search::LineSplitter& lines,
                                            search::BulkParser& parser) {
  while (!bulk.error) {
    const std::optional<std::string> line = lines.next();
    if (!line) break;
    std::optional<search::BulkItem> item;
    try {
      item = parser.add_line(*line);
    } catch (const ApiError& error) {
      bulk.error = error;
    }
    if (item) co_await start_bulk_item(bulk, std::move(*item));
  }
  if (lines.line_too_long())
    bulk.error = ApiError{
        413,
        "content_too_long_exception",
        "a line of the bulk is longer than " + std::to_string(limits_.max_bulk_line_bytes) + " bytes",
        {},
        {}};
}

// Reads the body to its end, or until the bulk ends early.
Task<void> OpenSearchFront::read_bulk(Bulk& bulk, HttpBody& body) {
  search::LineSplitter lines(limits_.max_bulk_line_bytes);
  search::BulkParser parser(bulk.call.index, limits_.search_json);
  bool expect_more = true;
  while (expect_more && !bulk.error && !bulk.caller.cancelled()) {
    const std::optional<std::string> piece = co_await body.next();
    if (piece) {
      lines.feed(*piece);
      if (!body.keep(lines.buffered_bytes())) bulk.error = no_memory_error();
    } else {
      expect_more = false;
      if (body.shed()) bulk.error = no_memory_error();
      // The client disconnected: the last item may be truncated, so it is dropped.
      if (!body.complete()) break;
      lines.finish();
    }
    co_await read_bulk_lines(bulk, lines, parser);
  }
  while (bulk.limiter.in_flight() > 0) co_await bulk.done.take();
  if (!bulk.error && parser.awaiting_document() && body.complete())
    bulk.error =
        ApiError{400,
                 "illegal_argument_exception",
                 "The bulk request must be terminated by a newline, and its last action needs a document",
                 {},
                 {}};
}

OpenSearchFront::Answer OpenSearchFront::bulk_answer(Bulk& bulk) const {
  // An invalid bulk without any item is an error; otherwise the client must receive the outcome of the items.
  if (bulk.error && bulk.items.empty()) throw *bulk.error;
  if (bulk.items.empty()) throw_illegal_argument("request body is required");
  if (bulk.error) bulk.refuse({}, *bulk.error);
  bool errors = false;
  json::Array out;
  for (json::Value& item : bulk.items) {
    if (item.object()->front().second.number_or("status", 0) >= 300) errors = true;
    out.push_back(std::move(item));
  }
  const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - bulk.call.received);
  return {200, json::Object{{"took", took.count()}, {"errors", errors}, {"items", std::move(out)}}, {}, {}};
}

Task<Answer> OpenSearchFront::bulk(Call&, CancellationToken&) {
  throw_illegal_argument("a bulk has a body");  // bulks arrive through stream()
  co_return Answer{};
}

Task<Answer> OpenSearchFront::stream_bulk(Call& call, HttpBody& body, CancellationToken& caller) {
  Bulk bulk(call, scheduler_, fanout_, memory_);
  bulk.routing = call.parameters.get("routing").value_or("");
  const auto timeout = call.parameters.get("timeout");
  reject_refresh(call.parameters);
  if (const auto pipeline = call.parameters.get("pipeline"); pipeline && *pipeline != "_none")
    throw_illegal_argument("[pipeline] is not taken: pipelines are not known here");
  call.parameters.accept("wait_for_active_shards require_alias _source _source_includes _source_excludes");
  call.reject_unknown_parameters();
  if (!call.index.empty()) single_index(call.index);
  if (timeout) bulk.timeout = search::parse_time(*timeout, "timeout");
  bulk.client_key = client_key_of(call);
  const CallerLink link(caller, bulk.caller);
  const search::TaskRegistry::Running running(tasks_,
                                              make_task_entry(call, "indices:data/write/bulk", "bulk"));
  co_await read_bulk(bulk, body);
  co_return bulk_answer(bulk);
}

}  // namespace kelpdeal
