// SPDX-License-Identifier: MIT
#include "kelpdeal/opensearch_transport.h"

#include <algorithm>

#include "kelpdeal/frame_transport.h"

namespace kelpdeal {
namespace {

// What is read at once. Each call that waits has a buffer of its own.
constexpr std::size_t kReadBytes = 4 * 1024;
// Input that a call may hold without a charge: the plan reserves it for each connection.
constexpr std::size_t kUnchargedInputBytes = 1024;

// Options that identify the part and the time we wait for it and, for a second step, describe the result of
// the first.
json::Object options(const Attempt& attempt, TimePoint now) {
  const auto remaining = std::chrono::ceil<Milliseconds>(attempt.until - now).count();
  json::Object out{{"preference", "_shards:" + std::to_string(attempt.shard)},
                   {"request_id", wire_id(attempt)},
                   {"timeout", std::to_string(std::max<std::int64_t>(remaining, 1)) + "ms"}};
  if (attempt.second_step) {
    std::string from;
    for (const int shard : attempt.first_step_shards)
      from += (from.empty() ? "" : ",") + std::to_string(shard);
    out.emplace_back("phase", "fetch");
    out.emplace_back("from_shards", from);
    out.emplace_back("whole", attempt.first_step_whole ? "true" : "false");
  }
  return out;
}

std::string percent_encode(std::string_view text) {
  static constexpr std::string_view unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~,:";
  static constexpr char hex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (unreserved.find(c) != std::string_view::npos) {
      out += c;
    } else {
      out += '%';
      out += hex[static_cast<unsigned char>(c) >> 4];
      out += hex[static_cast<unsigned char>(c) & 15];
    }
  }
  return out;
}

// The search body on one line. Text that is not a JSON object becomes a query_string query for that text.
std::string one_line(const std::string& text) {
  if (!json::Scanner(text).is_object() || !json::valid(text))
    return json::write(
        json::Object{{"query", json::Object{{"query_string", json::Object{{"query", text}}}}}});
  if (text.find('\n') == std::string::npos) return text;
  // In valid JSON, line breaks occur only between tokens, where a space is equivalent.
  std::string line = text;
  std::replace_if(
      line.begin(), line.end(), [](char c) { return c == '\n' || c == '\r'; }, ' ');
  return line;
}

}  // namespace

http::Request build_node_request(const std::vector<Attempt>& parts, bool write, const std::string& host,
                                 TimePoint now) {
  http::Request request;
  request.method = "POST";
  request.headers.fields = {{"Host", host}, {"Content-Type", "application/json"}};
  if (parts.size() > 1) {
    request.target = "/_msearch";
    request.headers.fields[1].second = "application/x-ndjson";
    for (const Attempt& part : parts) {
      json::Object header{{"index", part.class_name}};
      for (json::Member& option : options(part, now)) header.push_back(std::move(option));
      request.body += json::write(header) + "\n" + one_line(part.text.str()) + "\n";
    }
    return request;
  }
  const Attempt& part = parts.front();
  request.target = "/" + percent_encode(part.class_name);
  if (part.operation) {
    request.headers.fields[1].second = "application/x-ndjson";
    request.headers.fields.emplace_back("Idempotency-Key", part.key);
    request.target += "/_bulk";
  } else if (write) {
    request.method = "PUT";
    request.target += "/_doc/" + percent_encode(part.document_id.empty() ? part.key : part.document_id);
    request.headers.fields.emplace_back("Idempotency-Key", part.key);
  } else {
    request.target += "/_search";
  }
  char separator = '?';
  for (const auto& [name, value] : options(part, now)) {
    request.target += separator + name + "=" + percent_encode(*value.string());
    separator = '&';
  }
  request.body = write || part.operation ? part.text.str() : one_line(part.text.str());
  return request;
}

AttemptResult parse_node_answer(int status, std::string_view text, bool write) {
  AttemptResult result;
  std::string error;
  // Parses single members of the answer. Hits and buckets, which may be large, are not parsed.
  const auto parse_member = [&](const char* name) -> json::Value {
    const auto raw = json::member(text, name);
    return raw ? json::parse(*raw, error).value_or(json::Value()) : json::Value();
  };
  const json::Value problem = parse_member("error");
  const std::string type = problem.text_or("type", "");
  const bool rejected = type == "es_rejected_execution_exception" || type == "rejected_execution_exception";
  // A search that tripped a circuit breaker counts as not run; a write may have been applied in part.
  const bool breaker_tripped = type == "circuit_breaking_exception" && !write;
  if (status == 429 || status == 503 || rejected || breaker_tripped) {
    result.outcome = Outcome::full;
    return result;
  }
  // The request itself is invalid and every holder would reject it: the front passes the error to the client.
  if (problem.object() && status >= 400 && status < 429 && status != 408) {
    result.outcome = Outcome::ok;
    result.value = text;
    return result;
  }
  result.outcome = Outcome::error;
  if (status != 200 && status != 201) return result;
  const json::Value shards = parse_member("_shards");
  if (shards.number_or("failed", 0) > 0) {
    // If every shard copy rejected the request, it has not run.
    const json::Value* failures = shards.find("failures");
    const bool all_rejected =
        failures && failures->array() && !failures->array()->empty() &&
        std::all_of(failures->array()->begin(), failures->array()->end(), [](const json::Value& failure) {
          return failure.text_or("reason.type", "").ends_with("rejected_execution_exception");
        });
    if (all_rejected) result.outcome = Outcome::full;
    return result;
  }
  if (json::member(text, "timed_out").value_or("") == "true") return result;
  result.outcome = Outcome::ok;
  const auto hits = json::member(text, "hits");
  const auto list = hits ? json::member(*hits, "hits") : std::nullopt;
  const auto best = hits ? json::member(*hits, "max_score") : std::nullopt;
  if (best) {
    const json::Value score = json::parse(*best, error).value_or(json::Value());
    result.score = score.number() ? *score.number() : 0;
  }
  // A complete search answer can be merged with others; otherwise only the list of hits is passed on.
  const bool complete = hits && json::member(*hits, "total");
  result.value = complete || !list ? text : *list;
  return result;
}

struct OpenSearchTransport::Call {
  NodeId node = 0;
  bool write = false;
  std::vector<Attempt> parts;         // in the order of the request
  std::vector<AttemptId> unreported;  // attempts without a reported result
  admission::Charge memory;           // of the request, while it is written
  std::unique_ptr<Stream> stream;
  // request_started: writing the request has begun. abandoned: every attempt was given up.
  bool request_started = false, abandoned = false;
  // For a multi-search: the stream of answers and the number processed.
  std::optional<json::ItemStream> items;
  std::size_t answers_processed = 0;
};

OpenSearchTransport::OpenSearchTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics,
                                         admission::MemoryAccount& memory, AttemptSink& sink)
    : scheduler_(scheduler), limits_(limits), metrics_(metrics), memory_(memory), sink_(sink) {}

OpenSearchTransport::~OpenSearchTransport() = default;

void OpenSearchTransport::update_node(NodeId id, const NodeEntry& entry) {
  Node& node = nodes_.try_emplace(id, Node{{}, {}, ConnectBackoff(limits_.connect_pacing, id)}).first->second;
  if (entry.endpoint.empty()) return;
  const auto address = Address::parse(entry.endpoint);
  if (!address) return metrics_.log("discovery", "node " + entry.uid + " has no usable endpoint");
  if (node.address && node.address->text() != address->text()) node.idle.clear();
  node.address = address;
}

void OpenSearchTransport::send(NodeId node, std::vector<Attempt> call) {
  // Each write is sent as its own request; the searches of one call are sent together.
  std::vector<Attempt> searches;
  for (Attempt& attempt : call) {
    if (attempt.key.empty()) {
      searches.push_back(std::move(attempt));
    } else {
      std::vector<Attempt> one;
      one.push_back(std::move(attempt));
      start(node, std::move(one), true);
    }
  }
  if (!searches.empty()) start(node, std::move(searches), false);
}

void OpenSearchTransport::start(NodeId node, std::vector<Attempt> parts, bool write) {
  auto call = std::make_shared<Call>();
  call->node = node;
  call->write = write;
  for (const Attempt& part : parts) {
    call->unreported.push_back(part.id);
    calls_by_attempt_[part.id] = call;
  }
  call->parts = std::move(parts);
  scheduler_.spawn(run(std::move(call)));
}

void OpenSearchTransport::give_up(AttemptId attempt, GiveUpReason) {
  const auto it = calls_by_attempt_.find(attempt);
  if (it == calls_by_attempt_.end()) return;
  const CallPtr call = it->second.lock();
  calls_by_attempt_.erase(it);
  if (!call) return;
  std::erase(call->unreported, attempt);
  // A call that still waits for its connection must not include this part.
  if (!call->request_started)
    std::erase_if(call->parts, [&](const Attempt& part) { return part.id == attempt; });
  if (!call->unreported.empty()) return;
  // This API cancels a request when its connection is closed.
  call->abandoned = true;
  if (call->stream) call->stream->cancel();
}

bool OpenSearchTransport::cancel_unsent(AttemptId attempt) {
  const auto it = calls_by_attempt_.find(attempt);
  const CallPtr call = it == calls_by_attempt_.end() ? nullptr : it->second.lock();
  if (!call || call->request_started) return false;
  give_up(attempt, GiveUpReason::cancelled);
  return true;
}

void OpenSearchTransport::probe(NodeId node) { scheduler_.spawn(run_probe(node)); }
void OpenSearchTransport::close_idle(NodeId id) {
  if (const auto node = nodes_.find(id); node != nodes_.end()) node->second.idle.clear();
}
void OpenSearchTransport::remove_node(NodeId node) { nodes_.erase(node); }

// Takes an idle connection or opens a new one. Null if there is none; `failed` is then the attempts' outcome.
Task<std::unique_ptr<Stream>> OpenSearchTransport::acquire_connection(NodeId id, Outcome& failed) {
  const auto known = nodes_.find(id);
  if (known == nodes_.end()) co_return nullptr;
  Node& node = known->second;
  while (!node.idle.empty()) {
    IdleConnection idle_connection = std::move(node.idle.back());
    node.idle.pop_back();
    // The node may be about to close a connection that has been idle for this long. Input on an idle
    // connection is its end or unexpected data.
    if (idle_connection.stream->has_input() ||
        Clock::now() - idle_connection.idle_since > limits_.node_idle_timeout)
      continue;
    co_return std::move(idle_connection.stream);
  }
  const TimePoint start = Clock::now();
  if (!node.address || !node.connect_backoff.may_open(node.active_calls, start) || !ensure_capacity()) {
    // With another connection established the node is alive: the connection limit (the node's or ours) is
    // reached, which must not count as a failure of the node.
    if (node.active_calls > 0) failed = Outcome::full;
    co_return nullptr;
  }
  metrics_.count("node.connections_opened");
  const Address to = *node.address;
  auto stream = co_await connect(scheduler_, to, start + limits_.connect_pacing.timeout);
  const auto current = nodes_.find(id);
  if (current == nodes_.end()) co_return stream;
  ConnectBackoff& connect_backoff = current->second.connect_backoff;
  if (stream) {
    connect_backoff.on_success();
  } else {
    failed = connect_backoff.on_failure(current->second.active_calls, Clock::now() - start, Clock::now());
    metrics_.count(failed == Outcome::full ? "node.connect_turned_away" : "node.connect_failed");
  }
  co_return stream;
}

// Enforces the limit on connections, which includes idle ones: if it is exceeded, closes the one that has
// been idle for the longest time. False if all connections are in use.
bool OpenSearchTransport::ensure_capacity() {
  std::size_t connections = running_calls_;  // includes the current call
  std::deque<IdleConnection>* oldest = nullptr;
  for (auto& [id, node] : nodes_) {
    connections += node.idle.size();
    if (!node.idle.empty() && (!oldest || node.idle.front().idle_since < oldest->front().idle_since))
      oldest = &node.idle;
  }
  if (connections <= limits_.max_node_connections) return true;
  if (!oldest) {
    metrics_.log("descriptors", "connection limit reached; cannot connect to a record node");
    return false;
  }
  oldest->pop_front();
  return true;
}

void OpenSearchTransport::keep_idle(NodeId node, std::unique_ptr<Stream> stream) {
  const auto known = nodes_.find(node);
  // Data after the answer would be taken for the answer to the next request, so such a connection is closed.
  if (known == nodes_.end() || stream->has_input()) return;
  std::deque<IdleConnection>& idle = known->second.idle;
  idle.push_back({std::move(stream), Clock::now()});
  if (idle.size() > limits_.parts_per_connection) idle.pop_front();
  if (!idle_timer_) close_expired_idle();
}

// Closes connections that have been idle for too long. After a load peak they would otherwise accumulate and
// fill the connection tables of nodes that get no requests.
void OpenSearchTransport::close_expired_idle() {
  idle_timer_.reset();
  const TimePoint now = Clock::now();
  TimePoint oldest = TimePoint::max();
  for (auto& [id, node] : nodes_) {
    while (!node.idle.empty() && now - node.idle.front().idle_since > limits_.node_idle_timeout)
      node.idle.pop_front();
    if (!node.idle.empty()) oldest = std::min(oldest, node.idle.front().idle_since);
  }
  if (oldest != TimePoint::max())
    idle_timer_ =
        scheduler_.at(oldest + limits_.node_idle_timeout + Milliseconds(1), [this] { close_expired_idle(); });
}

Task<std::optional<http::Response>> OpenSearchTransport::read(Stream& stream, TimePoint deadline,
                                                              Call* call) {
  http::Bounds bounds = limits_.http;
  bounds.body = limits_.max_frame_bytes;
  const bool several = call && call->parts.size() > 1;
  if (several) bounds.body *= call->parts.size();
  http::Parser<http::Response> parser(bounds);
  parser.stop_at_head();
  admission::Charge memory(memory_, admission::Use::node_input);
  std::vector<char> chunk(kReadBytes);
  bool answer_started = false, streamed = false;
  for (;;) {
    const IoResult got = co_await stream.read_some(chunk, deadline);
    // A node writes a single answer at once, so it has to be complete soon after its first byte. The answer
    // to a multi-search arrives as its searches finish; each of its parts has its own deadline.
    if (!std::exchange(answer_started, true) && !several)
      deadline = std::min(deadline, Clock::now() + limits_.frame_read_timeout);
    if (got.status == IoStatus::end_of_stream && parser.finish_at_eof()) co_return parser.take();
    if (got.status != IoStatus::ok) co_return std::nullopt;
    parser.feed({chunk.data(), got.bytes});
    http::State state = parser.advance();
    if (state == http::State::head) {
      streamed = several && parser.message().status == 200;
      state = parser.advance();
    }
    if (streamed && !process_items(*call, parser.take_body_chunk())) co_return std::nullopt;
    const std::size_t held = parser.held_bytes() + (call && call->items ? call->items->held_bytes() : 0);
    if (!memory.resize(held > kUnchargedInputBytes ? held : 0)) {
      metrics_.count("node.values_dropped");
      metrics_.log("node-api", "no memory for the answer of a record node; it is dropped");
      if (call) report_dropped_values(*call);
      co_return std::nullopt;
    }
    if (state == http::State::done) {
      http::Response response = parser.take();
      // A connection with data after the answer must not be reused.
      if (!parser.idle()) response.headers.fields = {{"Connection", "close"}};
      co_return response;
    }
    if (state == http::State::bad) {
      log_protocol_error("malformed HTTP response: " + parser.problem());
      co_return std::nullopt;
    }
  }
}

// Reports each answer of a multi-search as soon as it has arrived, so that the fit of early arrivals sees
// each part's own latency, and answers already received count even if the node then hangs. False if the
// response is malformed.
bool OpenSearchTransport::process_items(Call& call, std::string_view piece) {
  if (!call.items) call.items.emplace("responses", limits_.max_frame_bytes);
  call.items->feed(piece);
  while (auto item = call.items->next()) {
    if (call.answers_processed >= call.parts.size() || !json::valid(*item)) {
      log_protocol_error("malformed multi-search response");
      return false;
    }
    const AttemptId attempt = call.parts[call.answers_processed++].id;
    std::erase(call.unreported, attempt);
    std::string error;
    const auto status_text = json::member(*item, "status");
    const auto status = status_text ? json::parse(*status_text, error) : std::nullopt;
    report_result(attempt,
                  parse_node_answer(status && status->number() ? static_cast<int>(*status->number()) : 200,
                                    *item, false));
  }
  if (!call.items->bad()) return true;
  log_protocol_error("malformed multi-search response");
  return false;
}

// A small request is written as one piece, so that it arrives in one packet.
Task<IoResult> OpenSearchTransport::write(Stream& stream, const http::Request& request, TimePoint deadline) {
  const std::string head = http::write_head(request);
  if (request.body.size() > admission::kSmallHolderBytes) {
    std::vector<std::string_view> pieces(1, head);  // GCC 12 rejects a list of them in a coroutine
    pieces.push_back(request.body);
    co_return co_await stream.write_pieces(std::move(pieces), deadline);
  }
  const std::string whole = head + request.body;
  co_return co_await stream.write_all(whole, deadline);
}

Task<void> OpenSearchTransport::run(CallPtr call) {
  ++running_calls_;
  Outcome failed = Outcome::connect_failed;
  std::unique_ptr<Stream> opened = co_await acquire_connection(call->node, failed);
  call->stream = std::move(opened);
  std::vector<AttemptId> expired;
  for (const Attempt& part : call->parts)
    if (part.begin_by <= Clock::now()) expired.push_back(part.id);
  for (const AttemptId id : expired) {
    give_up(id, GiveUpReason::cancelled);
    sink_.attempt_ended(id, {});
  }
  std::size_t request_bytes = 0;
  for (const Attempt& part : call->parts) request_bytes += part.text.size();
  call->memory = admission::Charge(memory_, admission::Use::node_calls);
  if (!call->stream || call->abandoned) {
    report_result(*call, failed);
  } else if (!call->memory.resize(request_bytes)) {
    report_result(*call, Outcome::full);  // not sent, and not a failure of the node
    keep_idle(call->node, std::move(call->stream));
  } else {
    adjust_active_calls(call->node, 1);
    call->request_started = true;
    http::Request request =
        build_node_request(call->parts, call->write, call->stream->peer().text(), Clock::now());
    TimePoint write_by = Clock::now() + limits_.frame_read_timeout;
    for (const Attempt& part : call->parts) write_by = std::min(write_by, part.begin_by);
    const IoResult write_result = co_await write(*call->stream, request, write_by);
    free_memory(request);
    call->memory.release();
    if (write_result.status != IoStatus::ok) {
      report_result(*call, Outcome::connect_failed);  // a request that was not written completely has not run
    } else {
      TimePoint last_deadline{};
      for (const Attempt& part : call->parts) last_deadline = std::max(last_deadline, part.until);
      const std::optional<http::Response> response =
          co_await read(*call->stream, last_deadline + limits_.connect_pacing.timeout, call.get());
      if (!response) {
        report_result(*call, Outcome::reset);
      } else {
        const bool reusable = report_result(*call, *response) && response->keeps_alive();
        if (reusable) keep_idle(call->node, std::move(call->stream));
      }
    }
    adjust_active_calls(call->node, -1);
  }
  --running_calls_;
}

void OpenSearchTransport::adjust_active_calls(NodeId id, int by) {
  if (const auto node = nodes_.find(id); node != nodes_.end())
    node->second.active_calls = by < 0 && node->second.active_calls == 0
                                    ? 0
                                    : node->second.active_calls + static_cast<std::size_t>(by);
}

Task<void> OpenSearchTransport::run_probe(NodeId node) {
  const TimePoint start = Clock::now();
  Outcome outcome = Outcome::connect_failed;
  std::unique_ptr<Stream> stream = co_await acquire_connection(node, outcome);
  if (stream) {
    http::Request request;
    request.method = "GET";
    request.target = "/";
    request.headers.fields = {{"Host", stream->peer().text()}};
    const std::string bytes = http::write(request);
    const TimePoint deadline = start + limits_.probe_timeout;
    if ((co_await stream->write_all(bytes, deadline)).status == IoStatus::ok) {
      const std::optional<http::Response> response = co_await read(*stream, deadline);
      outcome = !response ? Outcome::timeout : response->status == 200 ? Outcome::ok : Outcome::error;
      if (response && response->keeps_alive()) keep_idle(node, std::move(stream));
    }
  }
  sink_.probe_ended(node, outcome, Clock::now() - start, {});
}

void OpenSearchTransport::log_protocol_error(const std::string& what) {
  metrics_.count("node.spoilt");
  metrics_.log("node-api", "protocol error from a record node: " + what + "; connection closed");
}

void OpenSearchTransport::report_result(AttemptId attempt, AttemptResult result) {
  if (calls_by_attempt_.erase(attempt) > 0) sink_.attempt_ended(attempt, std::move(result));
}

void OpenSearchTransport::report_result(Call& call, Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  for (const AttemptId attempt : std::exchange(call.unreported, {})) report_result(attempt, result);
}

// The node has answered, so it is not at fault; the connection with the rest of the answer is closed.
void OpenSearchTransport::report_dropped_values(Call& call) {
  AttemptResult result;
  result.outcome = Outcome::ok;
  result.value_dropped = true;
  for (const AttemptId attempt : std::exchange(call.unreported, {})) report_result(attempt, result);
}

// Reports the results in a complete response. False if it is malformed; its connection must not be reused.
bool OpenSearchTransport::report_result(Call& call, const http::Response& response) {
  if (call.items) {
    // Received answers have been reported already; the remaining parts were not answered.
    const bool complete = call.answers_processed == call.parts.size() && call.items->done();
    if (!complete) log_protocol_error("incomplete multi-search response");
    report_result(call, Outcome::reset);
    return complete;
  }
  const bool readable = json::valid(response.body);
  if (!readable && response.status == 200) log_protocol_error("response body is not valid JSON");
  std::string_view text = readable ? std::string_view(response.body) : "{}";
  int status = response.status;
  if (call.parts.front().operation && status == 200) {
    // The answer to a bulk request with a single item: the outcome is in that item.
    std::string error;
    const auto items = json::member(text, "items");
    std::optional<std::string_view> item;
    if (items) {
      json::Scanner list(*items);
      if (list.next()) {
        json::Scanner action(list.raw());
        if (action.next()) item = action.raw();
      }
    }
    if (!item) {
      log_protocol_error("malformed bulk response");
      report_result(call, Outcome::reset);
      return false;
    }
    text = *item;
    const double stated = json::parse(text, error).value_or(json::Value()).number_or("status", 500);
    status = static_cast<int>(std::clamp(stated, 100.0, 599.0));
  }
  for (const Attempt& part : call.parts) {
    AttemptResult result = parse_node_answer(status, text, call.write);
    // The part may have run although its answer is malformed.
    if (!readable && result.outcome == Outcome::ok) result.outcome = Outcome::reset;
    report_result(part.id, std::move(result));
  }
  call.unreported.clear();
  return readable || response.status != 200;
}

}  // namespace kelpdeal
