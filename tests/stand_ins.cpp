// SPDX-License-Identifier: MIT
#include "stand_ins.h"

#include <algorithm>
#include <sstream>

namespace kelpdeal::test {
namespace {

const Address kAnyPort = *Address::parse("127.0.0.1:0");

std::string hits_of(int shard, double score) {
  return json::write(json::Array{json::Object{{"_id", "s" + std::to_string(shard)}, {"_score", score}}});
}

// Reads until the parser has a complete request. False if the connection ends first or the input is
// malformed.
Task<bool> next_request(Stream& stream, http::Parser<http::Request>& parser) {
  std::vector<char> chunk(4096);
  http::State state = parser.advance();
  while (state == http::State::more) {
    const IoResult got = co_await stream.read_some(chunk);
    if (got.status != IoStatus::ok) co_return false;
    parser.feed({chunk.data(), got.bytes});
    state = parser.advance();
  }
  co_return state == http::State::done;
}

http::Response json_response(int status, const json::Value& body) {
  http::Response response;
  response.status = status;
  response.body = json::write(body);
  return response;
}

}  // namespace

std::string header_of(const http::Response& response, const char* name) {
  const std::string* value = response.headers.find(name);
  return value ? *value : std::string();
}

json::Value body_of(const http::Response& response) {
  std::string error;
  auto value = json::parse(response.body, error);
  EXPECT_TRUE(value) << error << ": " << response.body;
  return value ? *value : json::Value();
}

// ---- record node ----
FakeNode::FakeNode(Scheduler& scheduler, Api api)
    : scheduler_(scheduler), api_(api), listener_(scheduler, kAnyPort, 64) {
  scheduler_.spawn(accept_all());
}

void FakeNode::refuse_connections() {
  const Address address = listener_.address();
  listener_.close();
  reserved_port_ = Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int reuse = 1;  // accepted connections may still use the port
  EXPECT_EQ(::setsockopt(reserved_port_.get(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse), 0);
  EXPECT_EQ(::bind(reserved_port_.get(), reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw),
            0);
}

std::size_t FakeNode::received_for_shard(int shard) const {
  return static_cast<std::size_t>(std::count_if(received.begin(), received.end(),
                                                [shard](const ReceivedPart& s) { return s.shard == shard; }));
}

Task<void> FakeNode::accept_all() {
  while (ConnectionPtr connection = co_await listener_.accept()) {
    ++connections;
    scheduler_.spawn(serve(std::move(connection)));
  }
}

Task<void> FakeNode::serve(ConnectionPtr connection) {
  if (api_ == Api::platform)
    co_await serve_frames(std::move(connection));
  else
    co_await serve_http(std::move(connection));
  ++connections_closed;
}

Task<void> FakeNode::serve_frames(ConnectionPtr connection) {
  frames::Reader reader(1 << 20);
  std::vector<char> chunk(4096);
  const auto answers = std::make_shared<Answers>(scheduler_);
  scheduler_.spawn(write_answers(connection, answers));
  for (;;) {
    const IoResult got = co_await connection->read_some(chunk);
    if (got.status != IoStatus::ok) co_return answers->put(std::nullopt);
    reader.feed({chunk.data(), got.bytes});
    while (const auto frame = reader.next()) {
      if (frame->type == frames::kCancel) cancelled_ids.push_back(frame->payload);
      if (frame->type != frames::kCall) continue;
      const auto parts = frames::decode_call(frame->payload);
      EXPECT_TRUE(parts) << frame->payload;
      if (!parts) co_return answers->put(std::nullopt);
      ++calls_;
      for (const frames::CallPart& part : *parts) {
        ReceivedPart received_part;
        received_part.id = part.id;
        received_part.shard = part.shard;
        received_part.text = part.text;
        received_part.call_number = calls_;
        received_part.received_at = Clock::now();
        std::istringstream list(part.options);
        for (std::string item; std::getline(list, item, ',');) {
          const std::string name = item.substr(0, item.find('=')), value = item.substr(item.find('=') + 1);
          if (name == "d") received_part.timeout_ms = std::stoll(value);
          if (name == "k") received_part.key = value;
          if (name == "from") received_part.from = value;
          if (name == "whole") received_part.whole = value;
        }
        received.push_back(received_part);
        scheduler_.spawn(answer_frame(connection, answers, std::move(received_part)));
      }
    }
  }
}

// A stream allows one writer at a time, and parts are answered concurrently.
Task<void> FakeNode::write_answers(ConnectionPtr connection, std::shared_ptr<Answers> answers) {
  while (const std::optional<std::string> bytes = *co_await answers->take())
    co_await connection->write_all(*bytes);
}

Task<void> FakeNode::answer_frame(ConnectionPtr connection, std::shared_ptr<Answers> answers,
                                  ReceivedPart part) {
  const NodeReply answer = on_part(part);
  if (answer.delay > Duration::zero()) co_await scheduler_.sleep_until(Clock::now() + answer.delay);
  if (answer.kind == NodeReply::Kind::silent) co_return;
  if (answer.kind == NodeReply::Kind::reset) {
    connection->finish_writing();
    connection->cancel();
    co_return;
  }
  frames::AnswerPart out;
  out.id = part.id;
  out.outcome = answer.kind == NodeReply::Kind::serve  ? 'S'
                : answer.kind == NodeReply::Kind::busy ? 'B'
                                                       : 'E';
  out.score = static_cast<std::int64_t>(answer.score);
  out.report = report;
  if (out.outcome == 'S') out.value = answer.value.empty() ? hits_of(part.shard, answer.score) : answer.value;
  std::string bytes = frames::encode_answer(out);
  if (answer.corrupt) bytes = answer.corrupt(bytes);
  answers->put(std::move(bytes));
}

Task<void> FakeNode::serve_http(ConnectionPtr connection) {
  http::Parser<http::Request> parser({});
  while (co_await next_request(*connection, parser)) {
    const http::Request request = parser.take();
    const std::size_t before = received.size();
    bool disconnected = false, reset = false, silent = false;
    NodeReply first;
    connection->on_hang_up([this, &disconnected, before] {
      disconnected = true;
      for (std::size_t i = before; i < received.size(); ++i) cancelled_ids.push_back(received[i].id);
    });
    const std::vector<ReceivedPart> parts = parts_of(request);
    if (stream_replies && parts.size() > 1) {
      const bool done = co_await stream_multi_search(connection, parts);
      while (!done && !disconnected) co_await scheduler_.sleep_until(Clock::now() + Milliseconds(5));
      connection->on_hang_up(nullptr);
      if (!done) co_return;
      continue;
    }
    const http::Response response = co_await answer_http(request, parts, first, reset, silent);
    if (reset) co_return;
    while (silent && !disconnected) co_await scheduler_.sleep_until(Clock::now() + Milliseconds(5));
    connection->on_hang_up(nullptr);
    if (disconnected) co_return;
    std::string bytes = http::write(response);
    if (first.corrupt) bytes = first.corrupt(bytes);
    co_await connection->write_all(bytes);
  }
}

std::vector<ReceivedPart> FakeNode::parts_of(const http::Request& request) {
  ++calls_;
  std::vector<json::Value> headers;
  std::vector<std::string> texts;
  std::string error;
  if (request.path() == "/_msearch") {
    std::istringstream lines(request.body);
    for (std::string header, body; std::getline(lines, header) && std::getline(lines, body);) {
      headers.push_back(*json::parse(header, error));
      texts.push_back(body);
    }
  } else {
    json::Object header;
    for (const char* name : {"preference", "request_id", "timeout", "from_shards", "whole"})
      if (const auto value = request.parameter(name)) header.emplace_back(name, *value);
    headers.emplace_back(std::move(header));
    texts.push_back(request.body);
  }
  std::vector<ReceivedPart> parts;
  for (std::size_t i = 0; i < headers.size(); ++i) {
    const json::Value& header = headers[i];
    ReceivedPart received_part;
    received_part.id = header.text_or("request_id", "");
    received_part.shard = std::stoi(header.text_or("preference", "_shards:-1").substr(8));
    received_part.timeout_ms = std::stoll(header.text_or("timeout", "0ms"));
    received_part.from = header.text_or("from_shards", "");
    std::replace(received_part.from.begin(), received_part.from.end(), ',', '+');
    const std::string whole = header.text_or("whole", "");
    received_part.whole = whole.empty() ? "" : whole == "true" ? "1" : "0";
    if (const std::string* key = request.headers.find("Idempotency-Key")) received_part.key = *key;
    received_part.text = texts[i];
    received_part.call_number = calls_;
    received_part.received_at = Clock::now();
    received.push_back(received_part);
    parts.push_back(std::move(received_part));
  }
  return parts;
}

json::Value FakeNode::body_for(const ReceivedPart& part, const NodeReply& answer) {
  const int status = answer.kind == NodeReply::Kind::busy    ? 429
                     : answer.kind == NodeReply::Kind::error ? 500
                                                             : 200;
  std::string error;
  if (status == 200 && !answer.value.empty()) {
    json::Object body = *json::parse(answer.value, error)->object();
    if (!json::Value(body).find("status")) body.emplace_back("status", status);
    return body;
  }
  json::Object body{{"status", status}, {"timed_out", false}};
  if (status == 200)
    body.emplace_back("hits", json::Object{{"max_score", answer.score},
                                           {"hits", *json::parse(hits_of(part.shard, answer.score), error)}});
  return body;
}

// Writes the answers of a multi-search one by one. False if a silent part ends the response early.
Task<bool> FakeNode::stream_multi_search(ConnectionPtr connection, std::vector<ReceivedPart> parts) {
  const auto chunk = [](const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  };
  const TimePoint start = Clock::now();
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{\"took\":1,\"responses\":[");
  co_await connection->write_all(head);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const NodeReply answer = on_part(parts[i]);
    if (answer.delay > Duration::zero()) co_await scheduler_.sleep_until(start + answer.delay);
    if (answer.kind == NodeReply::Kind::silent) co_return false;
    std::string body = json::write(body_for(parts[i], answer));
    if (answer.corrupt) body = answer.corrupt(body);
    const std::string text = chunk((i ? "," : "") + body);
    co_await connection->write_all(text);
  }
  const std::string end = chunk("]}") + "0\r\n\r\n";
  co_await connection->write_all(end);
  co_return true;
}

Task<http::Response> FakeNode::answer_http(const http::Request& request,
                                           const std::vector<ReceivedPart>& parts, NodeReply& first,
                                           bool& reset, bool& silent) {
  json::Array responses;
  Duration slowest{};
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const NodeReply answer = on_part(parts[i]);
    if (i == 0) first = answer;
    slowest = std::max(slowest, answer.delay);
    silent |= answer.kind == NodeReply::Kind::silent;
    reset |= answer.kind == NodeReply::Kind::reset;
    responses.push_back(body_for(parts[i], answer));
  }
  if (slowest > Duration::zero()) co_await scheduler_.sleep_until(Clock::now() + slowest);
  if (parts.size() > 1) co_return json_response(200, json::Object{{"responses", std::move(responses)}});
  const int status = static_cast<int>(responses[0].number_or("status", 500));
  if (request.path().ends_with("/_bulk") && first.kind == NodeReply::Kind::serve)
    co_return json_response(
        200, json::Object{{"took", 1}, {"items", json::Array{json::Object{{"index", responses[0]}}}}});
  co_return json_response(request.method == "PUT" && status == 200 ? 201 : status, responses[0]);
}

// ---- discovery ----
FakeDiscovery::FakeDiscovery(Scheduler& scheduler)
    : scheduler_(scheduler), listener_(scheduler, kAnyPort, 64) {
  scheduler_.spawn(accept_all());
}

void FakeDiscovery::set(const std::string& uid, const std::string& endpoint, int cell,
                        const std::string& state, std::int64_t boot_ms) {
  targets_[uid] = {json::Object{{"uid", uid},
                                {"endpoint", endpoint},
                                {"az", "a"},
                                {"model", "m"},
                                {"pod_group", cell},
                                {"state", state},
                                {"capacity_hint", 1.0},
                                {"boot_ms", boot_ms}},
                   ++version_};
}

std::string FakeDiscovery::list(bool complete, std::uint64_t after_version) const {
  json::Array targets;
  for (const auto& [uid, target] : targets_)
    if (complete || target.version > after_version) targets.push_back(target.entry);
  return json::write(json::Object{{"rev", version_}, {"all", complete}, {"targets", std::move(targets)}});
}

Task<void> FakeDiscovery::accept_all() {
  while (std::shared_ptr<Stream> stream = co_await listener_.accept())
    scheduler_.spawn(serve(std::move(stream)));
}

Task<void> FakeDiscovery::serve(std::shared_ptr<Stream> stream) {
  http::Parser<http::Request> parser({});
  while (co_await next_request(*stream, parser)) {
    const http::Request request = parser.take();
    call_times.push_back(Clock::now());
    call_targets.push_back(request.target);
    const auto index = request.parameter("index");
    const auto wait = request.parameter("wait");
    const std::uint64_t after = index ? std::stoull(*index) : 0;
    const TimePoint until = Clock::now() + Milliseconds(wait ? std::stoll(*wait) : 0);
    while (index && version_ <= after && Clock::now() < until && long_polling && !failing && !corrupt)
      co_await scheduler_.sleep_until(Clock::now() + Milliseconds(2));
    if (silent) continue;  // never answers the call
    http::Response response;
    response.status = failing ? 503 : 200;
    response.body = failing ? "" : list(!index, after);
    if (corrupt) response.body = corrupt(response.body);
    const std::string bytes = http::write(response);
    co_await stream->write_all(bytes);
    answer_times.push_back(Clock::now());
  }
}

// ---- cluster ----
TestCluster::TestCluster(ClusterOptions given) : options(given) {
  discovery = std::make_unique<FakeDiscovery>(scheduler);
  for (int i = 0; i < options.node_count; ++i) {
    nodes.push_back(std::make_unique<FakeNode>(scheduler, options.nodes));
    nodes.back()->report = options.reports ? "pending=3,cpu_share=0.61" : "";
    discovery->set("n" + std::to_string(i), nodes.back()->address(), i % cells(), "in_service");
  }
}

bool TestCluster::holds(int node, int shard) const {
  return (node % cells() - shard % cells() + cells()) % cells() < reach();
}

TestCluster::~TestCluster() { scheduler.destroy_tasks(); }

std::string TestCluster::config_text() const {
  const auto grade = [](const char* name, int slo_ms, int deadline_ms, const char* effect, double worth,
                        double late) {
    return json::Object{{"name", name},         {"sloMs", slo_ms}, {"deadlineMs", deadline_ms},
                        {"effect", effect},     {"worth", worth},  {"lateWorth", late},
                        {"dedupWindowMs", 600}, {"stream", false}};
  };
  std::string error;
  json::Object settings{{"grades", json::Array{grade("area-report", 500, 1200, "idempotent", 3, 0.1),
                                               grade("equipment-search", 500, 1200, "idempotent", 1, 0.1),
                                               grade("inspection-log", 500, 1200,
                                                     options.keyed ? "deduplicated" : "idempotent", 1, 0)}},
                        {"balancers", 1},
                        {"discovery", options.pushed ? "automatic" : "subscribe"},
                        {"resolutionMs", 5},
                        {"familyInfo", json::Object{{"batch", options.sets ? 1 : 8},
                                                    {"callMs", options.sets ? 0 : 1},
                                                    {"followUp", json::Array{options.keyed ? 2 : 0, 0, 0}},
                                                    {"minShare", json::Array{0.8, 1, 1}},
                                                    {"wholeAt", json::Array{1, 1, 1}},
                                                    {"partialEarns", json::Array{0.8, 0.9, 0.9}},
                                                    {"places", cells()},
                                                    {"reach", reach()},
                                                    {"shards", options.shards}}},
                        {"limits", json::Object{{"cancel", true},
                                                {"connIdleMs", 30'000},
                                                {"dialTimeoutMs", 100},
                                                {"maxRetryAfterMs", 2'000},
                                                {"multiplex", 32},
                                                {"openCap", options.open_cap},
                                                {"parallelTries", true},
                                                {"probing", true},
                                                {"retryAfter", true},
                                                {"sendCap", 4}}},
                        {"guarantees", json::Object{{"askEveryMs", 2'000},
                                                    {"coldFrom", 0.32},
                                                    {"coldMs", 18'000},
                                                    {"graceToAnswerMs", 20},
                                                    {"overloadForMs", 1'000},
                                                    {"stopSendingWithinMs", options.pushed ? 500 : 2'000},
                                                    {"tipMultiple", 3}}}};
  if (options.reports)
    settings.emplace_back(
        "feedback", json::Object{{"fields", json::Array{"pending", "cpu_share"}}, {"how", "piggyback"}});
  if (options.tenants) {
    const auto tenant = [](const char* name, double share) {
      return json::Object{{"name", name}, {"quotaPerS", 100 * share}, {"share", share}};
    };
    settings.emplace_back("tenants", json::Array{tenant("laanelend", 0.6), tenant("saarelend", 0.4)});
    settings.emplace_back("overShareWorth", 0.2);
  }
  json::Object file{{"name", "n0"},
                    {"listen", "127.0.0.1:0"},
                    {"discovery", discovery->address()},
                    {"seed", "8c1f30d27a5be964"},
                    {"limits", json::Object{{"sockets", 1024}}},
                    {"known", *json::parse(discovery->list(true, 0), error)},
                    {"settings", std::move(settings)}};
  if (options.pushed) {  // settings for communication between coordinators, which this program ignores
    file.emplace_back("peer_listen", "127.0.0.1:7946");
    file.emplace_back("peers", json::Array{"127.0.0.2:7946"});
    file.emplace_back("peers_all", "127.0.0.3:7946");
  }
  std::string text = json::write(std::move(file));
  for (const auto& [from, to] : options.settings) {
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    if (at != std::string::npos) text.replace(at, from.size(), to);
  }
  return text;
}

void TestCluster::start() {
  FrontContract contract;
  contract.listen = "127.0.0.1:0";
  contract.opensearch_nodes = options.nodes == Api::opensearch;
  for (const char* name : {"area-report", "equipment-search", "inspection-log"})
    for (int slice = 0; slice < options.shards; ++slice)
      contract.indices.push_back({name + ("-" + std::to_string(slice)), name, slice, 1});
  start(contract);
}

void TestCluster::start(const FrontContract& contract) {
  std::string error;
  Config config = parse_config(*json::parse(config_text(), error));
  config.limits.discovery_schedule.min_watch_wait = Milliseconds(options.watch_wait_ms);
  if (options.adjust) options.adjust(config.limits);
  gateway = std::make_unique<Gateway>(scheduler, config, contract);
}

void run_to_end(Scheduler& scheduler, Task<void> task, Duration timeout) {
  bool done = false;
  // The lambda outlives the coroutine, as run() returns after the coroutine has ended.
  const auto whole = [&]() -> Task<void> {
    co_await std::move(task);
    done = true;
    scheduler.stop();
  };
  scheduler.spawn(whole());
  const Timer guard = scheduler.in(timeout, [&scheduler] { scheduler.stop(); });
  scheduler.run();
  ASSERT_TRUE(done) << "the test's task did not finish in time";
}

void TestCluster::run(Task<void> task, Duration timeout) { run_to_end(scheduler, std::move(task), timeout); }

std::string TestCluster::front_address() const {
  return options.front == Api::platform ? gateway->address() : gateway->search_address();
}

Task<http::Response> TestCluster::send(std::string address, http::Request request) {
  const Address to = *Address::parse(address);
  const std::unique_ptr<Stream> stream =
      co_await connect(scheduler, to, Clock::now() + std::chrono::seconds(2));
  http::Response response;
  if (!stream) co_return response;
  const std::string bytes = http::write(request);
  co_await stream->write_all(bytes);
  http::Parser<http::Response> parser({});
  std::vector<char> chunk(4096);
  while (parser.advance() == http::State::more) {
    const IoResult got = co_await stream->read_some(chunk, Clock::now() + std::chrono::seconds(60));
    if (got.status != IoStatus::ok) co_return response;
    parser.feed({chunk.data(), got.bytes});
  }
  if (parser.advance() == http::State::done) response = parser.take();
  co_return response;
}

http::Request TestCluster::request(const std::string& class_name, const std::string& list, Duration budget,
                                   const std::string& key) {
  std::vector<int> slices;
  std::istringstream items(list);
  for (std::string item; std::getline(items, item, ',');) slices.push_back(std::stoi(item));
  const std::string ms = std::to_string(std::chrono::duration_cast<Milliseconds>(budget).count());
  http::Request request;
  request.method = "POST";
  const bool write = class_name == "inspection-log";
  if (options.front == Api::platform) {
    request.target = "/" + class_name;
    request.headers.fields = {{"Host", "backend.local"},
                              {"X-Call-Id", "q" + std::to_string(++next_id_)},
                              {"X-Call-Class", class_name},
                              {"X-Budget-Ms", ms}};
    if (write && options.keyed) request.headers.fields.emplace_back("Idempotency-Key", key);
    if (options.tenants) request.headers.fields.emplace_back("X-Caller", "laanelend");
    json::Array parts;
    for (const int slice : slices)
      parts.push_back(json::Object{{"slice", slice}, {"mass", 1.0 / static_cast<double>(slices.size())}});
    request.body = json::write(json::Object{{"slices", std::move(parts)}, {"filter", "{\"q\":1}"}});
    return request;
  }
  for (const int slice : slices)
    request.target += (request.target.empty() ? "/" : ",") + class_name + "-" + std::to_string(slice);
  if (write) {
    request.target += "/_doc?timeout=" + ms + "ms";
    request.headers.fields.emplace_back("Idempotency-Key", key);
  } else {
    request.target += "/_search?timeout=" + ms + "ms";
  }
  request.body = write ? "{\"q\":1}" : "{\"query\":{\"match_all\":{}}}";
  return request;
}

Task<QueryResult> TestCluster::ask(std::string class_name, std::string slices, Duration budget,
                                   std::string key) {
  http::Request asked = request(class_name, slices, budget, key);
  const std::string address = front_address();
  const http::Response response = co_await send(address, std::move(asked));
  QueryResult result;
  if (response.status != 200 && response.status != 201) {
    result.kind = response.status == 429 ? "refused" : response.status >= 500 ? "failed" : "bad";
    co_return result;
  }
  result.kind = "answered";
  const json::Value body = body_of(response);
  if (class_name == "inspection-log") {
    // In both APIs the answer to a write only says that it was applied.
    result.whole = body.flag_or("entire", body.text_or("result", "") == "created");
    co_return result;
  }
  const auto add = [&result](const json::Value& hits) {
    if (hits.array())
      for (const json::Value& hit : *hits.array()) result.hits.insert(hit.text_or("_id", "?"));
  };
  if (options.front == Api::platform) {
    result.whole = body.flag_or("entire", false);
    std::string error;
    for (const json::Value& item : *body.find("items")->array())
      add(json::parse(item.text_or("body", "[]"), error).value_or(json::Value()));
  } else {
    result.whole = !body.flag_or("timed_out", true) && body.number_or("_shards.failed", -1) == 0;
    add(*body.at("hits.hits"));
  }
  co_return result;
}

std::size_t TestCluster::parts_received() const {
  std::size_t count = 0;
  for (const auto& node : nodes) count += node->received.size();
  return count;
}

}  // namespace kelpdeal::test
