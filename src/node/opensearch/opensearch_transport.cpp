// SPDX-License-Identifier: MIT
#include "kelpdeal/opensearch_transport.h"

#include <algorithm>

#include "kelpdeal/frame_transport.h"

namespace kelpdeal {
namespace {

// Name and value pairs that tell a node which part is meant, how long we wait, and of a second step what the
// first one found.
json::Object options(const Attempt& attempt, TimePoint now) {
  const auto left = std::chrono::ceil<Milliseconds>(attempt.until - now).count();
  json::Object out{{"preference", "_shards:" + std::to_string(attempt.shard)},
                   {"request_id", wire_id(attempt)},
                   {"timeout", std::to_string(std::max<std::int64_t>(left, 1)) + "ms"}};
  if (attempt.second) {
    std::string from;
    for (const int shard : attempt.from) from += (from.empty() ? "" : ",") + std::to_string(shard);
    out.emplace_back("phase", "fetch");
    out.emplace_back("from_shards", from);
    out.emplace_back("whole", attempt.first_whole ? "true" : "false");
  }
  return out;
}

std::string percent_encode(std::string_view text) {
  static constexpr std::string_view plain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~,:";
  static constexpr char hex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (plain.find(c) != std::string_view::npos) {
      out += c;
    } else {
      out += '%';
      out += hex[static_cast<unsigned char>(c) >> 4];
      out += hex[static_cast<unsigned char>(c) & 15];
    }
  }
  return out;
}

// A body on one line; text that is no JSON object becomes a query of that text.
std::string one_line(const std::string& text) {
  if (!json::Scanner(text).is_object() || !json::valid(text))
    return json::write(
        json::Object{{"query", json::Object{{"query_string", json::Object{{"query", text}}}}}});
  if (text.find('\n') == std::string::npos) return text;
  // Between the values of JSON a line's end is but a space; in a string it cannot stand.
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
      request.body += json::write(header) + "\n" + one_line(part.text) + "\n";
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
    request.target += "/_doc/" + percent_encode(part.key);
    request.headers.fields.emplace_back("Idempotency-Key", part.key);
  } else {
    request.target += "/_search";
  }
  char separator = '?';
  for (const auto& [name, value] : options(part, now)) {
    request.target += separator + name + "=" + percent_encode(*value.string());
    separator = '&';
  }
  request.body = write || part.operation ? part.text : one_line(part.text);
  return request;
}

AttemptResult parse_node_answer(int status, std::string_view text, bool write) {
  AttemptResult result;
  std::string error;
  // Hits and buckets are not looked at here: what is read of the answer is small.
  const auto small = [&](const char* name) -> json::Value {
    const auto raw = json::member(text, name);
    return raw ? json::parse(*raw, error).value_or(json::Value()) : json::Value();
  };
  const json::Value problem = small("error");
  const std::string type = problem.text_or("type", "");
  const bool rejected = type == "es_rejected_execution_exception" || type == "rejected_execution_exception";
  // A search that trips a breaker is as good as not run; a write may have got further.
  const bool broke = type == "circuit_breaking_exception" && !write;
  if (status == 429 || status == 503 || rejected || broke) {
    result.outcome = Outcome::full;
    return result;
  }
  // The request itself is at fault: every holder would say so. The front makes it the client's answer.
  if (problem.object() && status >= 400 && status < 429 && status != 408) {
    result.outcome = Outcome::ok;
    result.value = text;
    return result;
  }
  result.outcome = Outcome::error;
  if (status != 200 && status != 201) return result;
  const json::Value shards = small("_shards");
  if (shards.number_or("failed", 0) > 0) {
    // Turned away at the door by each of its copies: it has not run.
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
  if (best)
    result.score =
        json::parse(*best, error).value_or(json::Value()).number() ? *json::parse(*best, error)->number() : 0;
  // A search's whole answer can be put together with others; a bare list of hits is passed on as one.
  const bool whole = hits && json::member(*hits, "total");
  result.value = whole || !list ? text : *list;
  return result;
}

struct OpenSearchTransport::Call {
  NodeId node = 0;
  bool write = false;
  std::vector<Attempt> parts;  // in the order written
  std::vector<AttemptId> wanted;
  std::unique_ptr<Stream> stream;
  bool begun = false, ended = false;  // its request is being written, or was; nobody wants it any more
  // Of a multi-search: its answers as they come in, and how many have.
  std::optional<json::ItemStream> items;
  std::size_t read = 0;
};

OpenSearchTransport::OpenSearchTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics,
                                         AttemptSink& sink)
    : scheduler_(scheduler), limits_(limits), metrics_(metrics), sink_(sink) {}

OpenSearchTransport::~OpenSearchTransport() = default;

void OpenSearchTransport::listed(NodeId id, const NodeEntry& entry) {
  Node& node = nodes_.try_emplace(id, Node{{}, {}, ConnectBackoff(limits_.connects, id)}).first->second;
  if (entry.endpoint.empty()) return;
  const auto address = Address::parse(entry.endpoint);
  if (!address) return metrics_.log("discovery", "node " + entry.uid + " has no usable endpoint");
  if (node.address && node.address->text() != address->text()) node.idle.clear();
  node.address = address;
}

void OpenSearchTransport::send(NodeId node, std::vector<Attempt> call) {
  // Documents are written one by one, searches of one call together.
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
    call->wanted.push_back(part.id);
    where_[part.id] = call;
  }
  call->parts = std::move(parts);
  scheduler_.spawn(run(std::move(call)));
}

void OpenSearchTransport::give_up(AttemptId attempt, Why) {
  const auto it = where_.find(attempt);
  if (it == where_.end()) return;
  const CallPtr call = it->second.lock();
  where_.erase(it);
  if (!call) return;
  std::erase(call->wanted, attempt);
  // Guards against a part that is asked for after all with the others of its call, once their connection is
  // up.
  if (!call->begun) std::erase_if(call->parts, [&](const Attempt& part) { return part.id == attempt; });
  if (!call->wanted.empty()) return;
  // Closing the connection is how this API gives a request up.
  call->ended = true;
  if (call->stream) call->stream->cancel();
}

bool OpenSearchTransport::take_back(AttemptId attempt) {
  const auto it = where_.find(attempt);
  const CallPtr call = it == where_.end() ? nullptr : it->second.lock();
  if (!call || call->begun) return false;
  give_up(attempt, Why::cancelled);
  return true;
}

void OpenSearchTransport::probe(NodeId node) { scheduler_.spawn(run_probe(node)); }
void OpenSearchTransport::close_idle(NodeId id) {
  if (const auto node = nodes_.find(id); node != nodes_.end()) node->second.idle.clear();
}
void OpenSearchTransport::left(NodeId node) { nodes_.erase(node); }

// A kept connection, or a new one. Null if there is none to be had; `failed` says what that tells.
Task<std::unique_ptr<Stream>> OpenSearchTransport::open(NodeId id, Outcome& failed) {
  const auto known = nodes_.find(id);
  if (known == nodes_.end()) co_return nullptr;
  Node& node = known->second;
  while (!node.idle.empty()) {
    Kept kept = std::move(node.idle.back());
    node.idle.pop_back();
    // Guards against a request written just as the node closes an idle connection.
    if (kept.stream->has_input() || Clock::now() - kept.since > limits_.node_idle) continue;
    co_return std::move(kept.stream);
  }
  const TimePoint start = Clock::now();
  if (!node.address || !node.connects.may_open(node.up, start) || !make_room()) {
    // Guards against a verdict on a node that is there, for a table of connections that is full, its or ours.
    if (node.up > 0) failed = Outcome::full;
    co_return nullptr;
  }
  metrics_.count("node.connections_opened");
  const Address to = *node.address;
  auto stream = co_await connect(scheduler_, to, start + limits_.connects.timeout);
  const auto still = nodes_.find(id);
  if (still == nodes_.end()) co_return stream;
  ConnectBackoff& connects = still->second.connects;
  if (stream) {
    connects.opened();
  } else {
    failed = connects.failed(still->second.up, Clock::now() - start, Clock::now());
    metrics_.count(failed == Outcome::full ? "node.connect_turned_away" : "node.connect_failed");
  }
  co_return stream;
}

// Guards against more descriptors than we may hold: connections at rest count too, and the one that has been
// idle longest makes room. False if what is open is all in use.
bool OpenSearchTransport::make_room() {
  std::size_t held = connections_;  // this call's among them
  std::deque<Kept>* oldest = nullptr;
  for (auto& [id, node] : nodes_) {
    held += node.idle.size();
    if (!node.idle.empty() && (!oldest || node.idle.front().since < oldest->front().since))
      oldest = &node.idle;
  }
  if (held <= limits_.node_connections) return true;
  if (!oldest) {
    metrics_.log("descriptors", "no connection left for a record node");
    return false;
  }
  oldest->pop_front();
  return true;
}

void OpenSearchTransport::keep(NodeId node, std::unique_ptr<Stream> stream) {
  const auto known = nodes_.find(node);
  // Guards against what a node sends behind its answer: the next request's answer would be read out of it.
  if (known == nodes_.end() || stream->has_input()) return;
  std::deque<Kept>& idle = known->second.idle;
  idle.push_back({std::move(stream), Clock::now()});
  if (idle.size() > limits_.parts_per_connection) idle.pop_front();
  if (!aged_) give_back();
}

// Guards against connections that pile up after a rush, and fill the tables of nodes that are not asked.
void OpenSearchTransport::give_back() {
  aged_.reset();
  const TimePoint now = Clock::now();
  TimePoint oldest = TimePoint::max();
  for (auto& [id, node] : nodes_) {
    while (!node.idle.empty() && now - node.idle.front().since > limits_.node_idle) node.idle.pop_front();
    if (!node.idle.empty()) oldest = std::min(oldest, node.idle.front().since);
  }
  if (oldest != TimePoint::max())
    aged_ = scheduler_.at(oldest + limits_.node_idle + Milliseconds(1), [this] { give_back(); });
}

Task<std::optional<http::Response>> OpenSearchTransport::read(Stream& stream, TimePoint deadline,
                                                              Call* call) {
  http::Bounds bounds = limits_.http;
  bounds.body = limits_.frame_bytes;
  const bool several = call && call->parts.size() > 1;
  if (several) bounds.body *= call->parts.size();
  http::Parser<http::Response> parser(bounds);
  parser.stop_at_head();
  std::vector<char> chunk(limits_.read_chunk);
  bool begun = false, streamed = false;
  for (;;) {
    const IoResult got = co_await stream.read_some(chunk, deadline);
    // Guards against an answer that trickles without end: the node's own writes arrive together. A
    // multi-search comes in as its searches end; each of its parts has its own time.
    if (!std::exchange(begun, true) && !several)
      deadline = std::min(deadline, Clock::now() + limits_.frame_time);
    if (got.status == IoStatus::end_of_stream && parser.finish_at_eof()) co_return parser.take();
    if (got.status != IoStatus::ok) co_return std::nullopt;
    parser.feed({chunk.data(), got.bytes});
    http::State state = parser.advance();
    if (state == http::State::head) {
      streamed = several && parser.message().status == 200;
      state = parser.advance();
    }
    if (streamed && !take_items(*call, parser.take_piece())) co_return std::nullopt;
    if (state == http::State::done) {
      http::Response response = parser.take();
      // Guards against more behind an answer than belongs to it: the connection is not used again.
      if (!parser.idle()) response.headers.fields = {{"Connection", "close"}};
      co_return response;
    }
    if (state == http::State::bad) {
      spoilt("an answer that could not be read: " + parser.problem());
      co_return std::nullopt;
    }
  }
}

// Each answer of a multi-search counts from when it has come in, so that the fit of early arrivals sees each
// part's own time, and what was read stays in if the node then stands still. False if it cannot be read.
bool OpenSearchTransport::take_items(Call& call, std::string piece) {
  if (!call.items) call.items.emplace("responses", limits_.frame_bytes);
  call.items->feed(piece);
  while (auto item = call.items->next()) {
    if (call.read >= call.parts.size() || !json::valid(*item)) {
      spoilt("an answer to a multi-search that could not be read");
      return false;
    }
    const AttemptId attempt = call.parts[call.read++].id;
    std::erase(call.wanted, attempt);
    std::string error;
    const auto told = json::member(*item, "status");
    const auto status = told ? json::parse(*told, error) : std::nullopt;
    finish(attempt, parse_node_answer(status && status->number() ? static_cast<int>(*status->number()) : 200,
                                      *item, false));
  }
  if (!call.items->bad()) return true;
  spoilt("an answer to a multi-search that could not be read");
  return false;
}

Task<void> OpenSearchTransport::run(CallPtr call) {
  ++connections_;
  Outcome failed = Outcome::connect_failed;
  std::unique_ptr<Stream> opened = co_await open(call->node, failed);
  call->stream = std::move(opened);
  std::vector<AttemptId> late;
  for (const Attempt& part : call->parts)
    if (part.begin_by <= Clock::now()) late.push_back(part.id);
  for (const AttemptId id : late) {
    give_up(id, Why::cancelled);
    sink_.attempt_ended(id, {});
  }
  if (!call->stream || call->ended) {
    finish(*call, failed);
  } else {
    count_up(call->node, 1);
    call->begun = true;
    const std::string bytes =
        http::write(build_node_request(call->parts, call->write, call->stream->peer().text(), Clock::now()));
    TimePoint write_by = Clock::now() + limits_.frame_time;
    for (const Attempt& part : call->parts) write_by = std::min(write_by, part.begin_by);
    const IoResult put = co_await call->stream->write_all(bytes, write_by);
    if (put.status != IoStatus::ok) {
      finish(*call, Outcome::connect_failed);  // its last byte was not written: it has not run
    } else {
      TimePoint last{};
      for (const Attempt& part : call->parts) last = std::max(last, part.until);
      const std::optional<http::Response> response =
          co_await read(*call->stream, last + limits_.connects.timeout, call.get());
      if (!response) {
        finish(*call, Outcome::reset);
      } else {
        const bool reusable = finish(*call, *response) && response->keeps_alive();
        if (reusable) keep(call->node, std::move(call->stream));
      }
    }
    count_up(call->node, -1);
  }
  --connections_;
}

void OpenSearchTransport::count_up(NodeId id, int by) {
  if (const auto node = nodes_.find(id); node != nodes_.end())
    node->second.up = by < 0 && node->second.up == 0 ? 0 : node->second.up + static_cast<std::size_t>(by);
}

Task<void> OpenSearchTransport::run_probe(NodeId node) {
  const TimePoint start = Clock::now();
  Outcome outcome = Outcome::connect_failed;
  std::unique_ptr<Stream> stream = co_await open(node, outcome);
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
      if (response && response->keeps_alive()) keep(node, std::move(stream));
    }
  }
  sink_.probe_ended(node, outcome, Clock::now() - start, {});
}

void OpenSearchTransport::spoilt(const std::string& what) {
  metrics_.count("node.spoilt");
  metrics_.log("node-api", "a record node sent " + what + "; connection closed");
}

void OpenSearchTransport::finish(AttemptId attempt, AttemptResult result) {
  if (where_.erase(attempt) > 0) sink_.attempt_ended(attempt, std::move(result));
}

void OpenSearchTransport::finish(Call& call, Outcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  for (const AttemptId attempt : std::exchange(call.wanted, {})) finish(attempt, result);
}

// False if the answer could not be read: nothing more is asked on its connection.
bool OpenSearchTransport::finish(Call& call, const http::Response& response) {
  if (call.items) {
    // Its parts have been told as they came in; what is left had no answer in it.
    const bool all = call.read == call.parts.size() && call.items->done();
    if (!all) spoilt("an answer to a multi-search that does not fit it");
    finish(call, Outcome::reset);
    return all;
  }
  const bool readable = json::valid(response.body);
  if (!readable && response.status == 200) spoilt("an answer that could not be read");
  std::string_view text = readable ? std::string_view(response.body) : "{}";
  int status = response.status;
  if (call.parts.front().operation && status == 200) {
    // A bulk of one item: what became of it stands inside.
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
      spoilt("an answer to a bulk that could not be read");
      finish(call, Outcome::reset);
      return false;
    }
    text = *item;
    status = static_cast<int>(json::parse(text, error).value_or(json::Value()).number_or("status", 500));
  }
  for (const Attempt& part : call.parts) {
    AttemptResult result = parse_node_answer(status, text, call.write);
    // An answer that cannot be read may have run all the same.
    if (!readable && result.outcome == Outcome::ok) result.outcome = Outcome::reset;
    finish(part.id, std::move(result));
  }
  call.wanted.clear();
  return readable || response.status != 200;
}

}  // namespace kelpdeal
