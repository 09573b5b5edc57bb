// SPDX-License-Identifier: MIT
// Handlers of documents: single and multiple reads, and single writes.
#include <algorithm>

#include "write.h"

namespace kelpdeal {

using namespace opensearch;
using search::split_to_json_array;
using search::throw_illegal_argument;

namespace {

constexpr std::size_t kMaxClientKeyBytes = 64;

}  // namespace

std::string opensearch::client_key_of(const Call& call) {
  const std::string* key = call.http.headers.find("Idempotency-Key");
  if (!key) return {};
  if (key->size() > kMaxClientKeyBytes || key->find_first_of(" ,=+\n") != std::string::npos)
    throw ApiError{400, "action_request_validation_exception", "Idempotency-Key is malformed", {}, {}};
  return *key;
}

void opensearch::reject_refresh(search::Parameters& parameters) {
  const auto refresh = parameters.get("refresh");
  if (refresh && *refresh != "false")
    throw_illegal_argument("[refresh] is not taken: when a document can be found is the nodes' business");
}

// `operation.index` is the name that the client gave.
OpenSearchFront::Write OpenSearchFront::prepare_write(search::Operation operation) {
  Write write;
  write.index = &single_index(operation.index);
  const IndexContract& index = *write.index;
  write.has_action_line = !index.write_class.empty();
  write.class_name = write.has_action_line ? index.write_class : index.class_name;
  if (broker_.find_class(write.class_name)->effect == cottonbay::Effect::idempotent)
    throw_illegal_argument("index [" + index.name + "] takes searches, not documents");
  // What the client does not send again must not be part of a repeatable operation.
  if (!operation.client_key.empty() && operation.index.starts_with('<'))
    throw_illegal_argument(
        "a repeat under the same Idempotency-Key could be for another index: name it without "
        "date math");
  if (!write.has_action_line && operation.client_key.empty() && operation.id.empty())
    throw ApiError{400,
                   "action_request_validation_exception",
                   "Idempotency-Key is missing, and the path names no id",
                   {},
                   {}};
  operation.index = index.name;
  const bool repeatable = !operation.client_key.empty() || !operation.id.empty();
  // A write that the client can't repeat is another operation each time.
  write.key = repeatable ? search::identity_of(operation) : next_id();
  write.id = operation.id.empty() ? write.key : operation.id;
  write.operation = std::move(operation);
  return write;
}

Task<Answer> OpenSearchFront::execute_write(const Write& write, const Call& call, CancellationToken& caller) {
  const IndexContract& index = *write.index;
  const cottonbay::ClassSettings* class_settings = broker_.find_class(write.class_name);
  const TeamQuotas::Permit permit = acquire_permit(call, write.class_name);
  QueryRequest query;
  query.id = next_id();
  query.key = write.key;
  query.class_name = write.class_name;
  query.operation = write.has_action_line;
  query.document_id = write.id;
  const search::Operation& operation = write.operation;
  if (write.has_action_line) {
    json::Object options{{"_index", index.name}, {"_id", write.id}};
    if (!operation.routing.empty()) options.emplace_back("routing", operation.routing);
    const bool one_line = operation.document.find('\n') == std::string::npos;
    query.text = json::write(json::Object{{operation.create ? "create" : "index", std::move(options)}}) +
                 "\n" + (one_line ? operation.document : json::compact(operation.document)) + "\n";
  } else {
    query.text = operation.document;
  }
  const Duration deadline = to_duration(FractionalMs(class_settings->deadline_ms));
  const Duration budget = std::min(deadline, write.timeout.value_or(deadline));
  query.expires = call.received + budget - std::min(limits_.reply_transit_margin, budget);
  const int slice = slice_for_routing(index, operation.routing.empty() ? write.id : operation.routing);
  query.parts.push_back({slice, 1.0, std::nullopt});
  const Reply reply = co_await broker_.serve(std::move(query), caller);

  const search::ItemOutcome outcome =
      search::item_outcome(reply.kind == Reply::Kind::answered, reply.kind == Reply::Kind::refused,
                           reply.kind == Reply::Kind::rejected);
  if (outcome.kind == search::ItemOutcome::Kind::refused)
    throw ApiError{
        429,
        outcome.type,
        "refused: " + reply.reason,
        {},
        reply.retry_after > Duration::zero() ? reply.retry_after : Duration(std::chrono::seconds(1))};
  if (outcome.kind == search::ItemOutcome::Kind::rejected)
    throw ApiError{409, "illegal_argument_exception", "rejected: " + reply.reason, {}, {}};
  if (outcome.kind == search::ItemOutcome::Kind::unknown)
    throw ApiError{504,
                   "timeout_exception",
                   "no answer in time; the document may have been recorded: repeat it under the same key",
                   index.name,
                   {}};
  json::Object answer{{"_index", index.name}, {"_id", write.id}};
  int status = 201;
  std::string result = "created";
  // The node may report its outcome: an update of an existing document, or a conflict.
  std::string error;
  const auto node_result =
      reply.items.empty() ? std::nullopt : json::parse(reply.items.front().value, error, limits_.search_json);
  if (write.has_action_line && node_result && node_result->object()) {
    status = static_cast<int>(std::clamp(node_result->number_or("status", 201), 200.0, 599.0));
    if (const json::Value* problem = node_result->find("error"); problem && status >= 400)
      throw ApiError{status,
                     problem->text_or("type", "exception"),
                     problem->text_or("reason", "the node refused the document"),
                     index.name,
                     {}};
    result = node_result->text_or("result", status == 200 ? "updated" : "created");
    for (const char* name : {"_version", "_seq_no", "_primary_term"})
      if (const json::Value* value = node_result->find(name)) answer.emplace_back(name, *value);
  }
  answer.emplace_back("result", result);
  answer.emplace_back("_shards", json::Object{{"total", 1}, {"successful", 1}, {"failed", 0}});
  co_return Answer{status, std::move(answer), {}, {}};
}

Task<Answer> OpenSearchFront::write_document(Call& call, CancellationToken& caller) {
  search::Operation operation;
  operation.client_key = client_key_of(call);
  operation.team = call.team;
  operation.index = call.index;
  operation.id = call.id;
  operation.routing = call.parameters.get("routing").value_or("");
  const auto timeout = call.parameters.get("timeout");
  const std::string op_type = call.parameters.get("op_type").value_or("index");
  if (op_type != "index" && op_type != "create")
    throw_illegal_argument("opType must be 'create' or 'index', found: [" + search::truncated(op_type, 40) +
                           "]");
  reject_refresh(call.parameters);
  call.parameters.accept("wait_for_active_shards require_alias");
  call.reject_unknown_parameters();
  operation.create = call.pattern.find("_create") != std::string::npos || op_type == "create";
  if (operation.id.size() > 512) throw_illegal_argument("id is too long, must be no longer than 512 bytes");
  std::string error;
  const auto document = json::parse(call.http.body, error, limits_.search_json);
  if (!document || !document->object())
    throw ApiError{
        400, "mapper_parsing_exception", document ? "the document is not an object" : error, {}, {}};
  operation.document = call.http.body;
  Write write = prepare_write(std::move(operation));
  if (timeout) write.timeout = search::parse_time(*timeout, "timeout");
  co_return co_await execute_write(write, call, caller);
}

Task<Answer> OpenSearchFront::reject_change(Call& call, CancellationToken&) {
  single_index(call.index);
  throw_illegal_argument("documents are recorded, not " +
                         std::string(call.http.method == "DELETE" ? "deleted" : "updated in place") +
                         ": record a new one");
  co_return Answer{};
}

// ---- reads ----
// What the items of a multi-get have in common, unless they state otherwise.
struct OpenSearchFront::ReadDefaults {
  json::Value source, stored_fields;
  std::string routing;
};

Task<json::Object> OpenSearchFront::fetch_document(const std::string& index_name, const std::string& id,
                                                   const std::string& routing, const json::Value& source,
                                                   const json::Value& stored, const Call& call,
                                                   CancellationToken& caller) {
  const IndexContract& index = single_index(index_name);
  json::Object body{{"query", json::Object{{"ids", json::Object{{"values", json::Array{id}}}}}},
                    {"size", 1},
                    {"version", true},
                    {"seq_no_primary_term", true},
                    {"track_total_hits", false}};
  if (!source.is_null()) body.emplace_back("_source", source);
  if (!stored.is_null()) body.emplace_back("stored_fields", stored);
  search::Parameters none;
  const search::SearchRequest request = search::parse_search(body, none, bounds_);
  const Plan plan = make_plan({search::Target{&index, {}}}, routing.empty() ? id : routing);
  const SearchResult result = co_await execute(request, plan, call, index.name, caller);
  json::Object out{{"_index", index.name}, {"_id", id}};
  if (result.page.hits.empty()) {
    out.emplace_back("found", false);
    co_return out;
  }
  const std::string_view hit = result.page.hits.front().raw()->text;
  for (const char* name : {"_version", "_seq_no", "_primary_term"})
    if (const auto value = json::member(hit, name)) out.emplace_back(name, json::Raw{std::string(*value)});
  if (!routing.empty()) out.emplace_back("_routing", routing);
  out.emplace_back("found", true);
  for (const char* name : {"_source", "fields"})
    if (const auto value = json::member(hit, name)) out.emplace_back(name, json::Raw{std::string(*value)});
  co_return out;
}

namespace {

// The source filter given in the query string.
json::Value source_of(search::Parameters& parameters) {
  json::Value source;
  if (const auto given = parameters.get("_source"))
    source = *given == "true" || given->empty() ? json::Value(true)
             : *given == "false"                ? json::Value(false)
                                                : json::Value(split_to_json_array(*given));
  const auto includes = parameters.get("_source_includes"), excludes = parameters.get("_source_excludes");
  if (!includes && !excludes) return source;
  json::Object filter;
  if (includes) filter.emplace_back("includes", split_to_json_array(*includes));
  if (excludes) filter.emplace_back("excludes", split_to_json_array(*excludes));
  return filter;
}

}  // namespace

Task<Answer> OpenSearchFront::read_document(Call& call, CancellationToken& caller) {
  const json::Value source = source_of(call.parameters);
  const auto stored = call.parameters.get("stored_fields");
  const std::string routing = call.parameters.get("routing").value_or("");
  call.parameters.accept("preference realtime refresh version version_type");
  call.reject_unknown_parameters();
  // GCC 12 evaluates both operands of a conditional expression inside co_await, so the choice is made before.
  json::Value fields;
  if (stored) fields = split_to_json_array(*stored);
  json::Object found = co_await fetch_document(call.index, call.id, routing, source, fields, call, caller);
  const bool found_document = json::Value(found).flag_or("found", false);
  co_return Answer{found_document ? 200 : 404, std::move(found), {}, {}};
}

Task<Answer> OpenSearchFront::read_document_source(Call& call, CancellationToken& caller) {
  const json::Value source = source_of(call.parameters);
  const std::string routing = call.parameters.get("routing").value_or("");
  call.parameters.accept("preference realtime refresh version version_type");
  call.reject_unknown_parameters();
  const json::Value found = co_await fetch_document(call.index, call.id, routing, source, {}, call, caller);
  const json::Value* document = found.find("_source");
  if (!document)
    throw ApiError{
        404,
        "resource_not_found_exception",
        "Document not found [" + search::truncated(call.index) + "]/[" + search::truncated(call.id) + "]",
        {},
        {}};
  co_return Answer{200, *document, {}, {}};
}

Task<void> OpenSearchFront::fetch_item(const json::Value& spec, const ReadDefaults& defaults,
                                       const Call& call, CancellationToken& caller, json::Value& out,
                                       Mailbox<int>& done) {
  const std::string index = spec.text_or("_index", call.index), id = spec.text_or("_id", "");
  try {
    Call item_call{call.http, Clock::now(), call.pattern, index, id, {}, call.team, call.opaque_id};
    item_call.is_single = false;
    const std::string routing = spec.text_or("routing", spec.text_or("_routing", defaults.routing));
    const json::Value *source = spec.find("_source"), *stored = spec.find("stored_fields");
    const json::Value& source_filter = source ? *source : defaults.source;
    const json::Value& fields = stored ? *stored : defaults.stored_fields;
    out = co_await fetch_document(index, id, routing, source_filter, fields, item_call, caller);
  } catch (const ApiError& error) {
    json::Object failed{{"_index", index}, {"_id", id}};
    const json::Value body = error_body(error);
    failed.emplace_back("error", *body.find("error"));
    if (error.status == 429) failed.emplace_back("status", 429);
    out = std::move(failed);
  }
  done.put(1);
}

Task<Answer> OpenSearchFront::multi_get(Call& call, CancellationToken& caller) {
  const json::Value body = read_body(call, limits_.search_json);
  ReadDefaults defaults;
  defaults.source = source_of(call.parameters);
  defaults.routing = call.parameters.get("routing").value_or("");
  if (const auto stored = call.parameters.get("stored_fields"))
    defaults.stored_fields = split_to_json_array(*stored);
  call.parameters.accept("preference realtime refresh");
  call.reject_unknown_parameters();
  const json::Value *docs = body.find("docs"), *ids = body.find("ids");
  std::vector<json::Value> specs;
  const auto add = [&](json::Value spec) {
    if (specs.size() >= limits_.max_multi_get_documents)
      throw_illegal_argument("more than " + std::to_string(limits_.max_multi_get_documents) +
                             " documents in one multi-get");
    if (call.index.empty() && !spec.find("_index"))
      throw ApiError{400,
                     "action_request_validation_exception",
                     "Validation Failed: 1: index is missing for doc " + std::to_string(specs.size()) + ";",
                     {},
                     {}};
    if (spec.text_or("_id", "").empty())
      throw ApiError{400,
                     "action_request_validation_exception",
                     "Validation Failed: 1: id is missing for doc " + std::to_string(specs.size()) + ";",
                     {},
                     {}};
    specs.push_back(std::move(spec));
  };
  if (docs && docs->array())
    for (const json::Value& doc : *docs->array()) add(doc.object() ? doc : json::Object{});
  if (ids && ids->array())
    for (const json::Value& id : *ids->array())
      add(json::Object{{"_id", id.string() ? *id.string() : json::write(id)}});
  if (specs.empty())
    throw ApiError{
        400, "action_request_validation_exception", "Validation Failed: 1: no documents to get;", {}, {}};
  // The defaults are sent for each document.
  const std::size_t default_bytes = json::write(defaults.source).size() +
                                    json::write(defaults.stored_fields).size() + defaults.routing.size();
  if (default_bytes * specs.size() > limits_.max_multi_get_default_bytes)
    throw_illegal_argument("the fields and the routing given for all documents are too long for " +
                           std::to_string(specs.size()) + " documents");

  ItemCallers callers(caller, specs.size());
  json::Array out(specs.size());
  Mailbox<int> done(scheduler_);
  search::FanoutLimiter::RequestLimiter limiter(fanout_, 0);
  for (std::size_t next = 0, ended = 0; ended < specs.size();) {
    while (next < specs.size() && (limiter.can_start() || callers.gone())) {
      limiter.on_started();
      scheduler_.spawn(fetch_item(specs[next], defaults, call, callers[next], out[next], done));
      ++next;
    }
    if (!co_await done.take(Clock::now() + search::kFanoutPollInterval)) continue;
    limiter.on_ended();
    ++ended;
  }
  co_return Answer{200, json::Object{{"docs", std::move(out)}}, {}, {}};
}

}  // namespace kelpdeal
