// SPDX-License-Identifier: MIT
#include "crowd.h"

#include <algorithm>
#include <vector>

namespace kelpdeal::faults {
namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // of a query, by the protocol
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxHeaderFields = 100;
constexpr std::size_t kSearchBytes = 1000 * 1000;
constexpr std::size_t kHugeBodyBytes = 60 * 1000 * 1000;
constexpr std::size_t kSlowPieceBytes = 700;
constexpr Duration kSlowPieceInterval = Milliseconds(40);
constexpr Duration kPollInterval = Milliseconds(100);
constexpr Duration kRetryInterval = Milliseconds(10);
constexpr int kPipelinedRequests = 40;
constexpr int kUnreadRequests = 4;
// A malformed or silent client is owed an error or a close this long after connecting.
constexpr Duration kTimeToEnd = std::chrono::seconds(3);
constexpr Duration kTimeToEndOfHugeBody = std::chrono::seconds(6);
constexpr Duration kGiveUpAfter = std::chrono::seconds(8);

std::string repeated(std::string_view text, std::size_t bytes) {
  std::string all;
  all.reserve(bytes + text.size());
  while (all.size() < bytes) all += text;
  return all;
}

}  // namespace

const char* name_of(Behavior behavior) {
  constexpr const char* kNames[] = {
      "silent",        "short_fields", "long_field",        "stopped_body",   "stopped_chunk",
      "slow_body",     "large_query",  "many_parts",        "unsound_query",  "huge_body",
      "unread_answer", "pipeline",     "close_over_unread", "stopped_search", "stopped_bulk",
      "large_search",  "open_cursors"};
  return kNames[static_cast<std::size_t>(behavior)];
}

bool uses_search_front(Behavior behavior) { return behavior >= Behavior::stopped_search; }

Crowd::Crowd(CrowdOptions options) : options_(options), random_(options.seed), thread_([this] { run(); }) {}

Crowd::~Crowd() {
  stop();
  thread_.join();
}

void Crowd::run() {
  for (std::size_t i = 0; i < options_.clients; ++i) {
    ++running_;
    scheduler_.spawn(run_client());
  }
  scheduler_.spawn(stop_when_finished());
  scheduler_.run();
  scheduler_.destroy_tasks();
  finished_ = true;
}

Task<void> Crowd::stop_when_finished() {
  while (running_ > 0) co_await scheduler_.sleep_until(Clock::now() + kPollInterval);
  scheduler_.stop();
}

std::optional<TimePoint> Crowd::closed_at(std::string_view query_id) const {
  const std::lock_guard lock(closed_queries_mutex_);
  const auto closed = closed_queries_.find(query_id);
  return closed == closed_queries_.end() ? std::nullopt : std::optional(closed->second);
}

std::size_t Crowd::pick(std::size_t from, std::size_t to) { return from + random_() % (to - from + 1); }

Duration Crowd::time_to_end() const {
  return options_.behavior == Behavior::huge_body ? kTimeToEndOfHugeBody : kTimeToEnd;
}

std::string Crowd::make_post(const std::string& target, std::size_t announced_bytes,
                             const std::string& body) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: backend.local\r\nContent-Length: " + std::to_string(announced_bytes) +
         "\r\n\r\n" + body;
}

Crowd::Request Crowd::make_query(std::size_t text_bytes, std::string_view text_prefix) {
  Request request;
  request.id = "c" + std::to_string(options_.seed) + "-" + std::to_string(++next_id_);
  std::string body = "{\"slices\":[";
  for (int shard = 0; shard < options_.shards; ++shard)
    body += (shard > 0 ? ",{\"slice\":" : "{\"slice\":") + std::to_string(shard) +
            ",\"mass\":" + std::to_string(1.0 / options_.shards) + "}";
  body += "],\"filter\":\"" + std::string(text_prefix) + std::string(text_bytes, 'x') + "\"}";
  request.bytes = "POST /equipment-search HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + request.id +
                  "\r\nX-Call-Class: equipment-search\r\nX-Budget-Ms: 1200\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body;
  return request;
}

// What the client sends before it stops, or a whole request.
std::string Crowd::opening_bytes() {
  const std::string search = "/equipment-search-0/_search";
  switch (options_.behavior) {
    case Behavior::short_fields:
      return "POST /equipment-search HTTP/1.1\r\n" + repeated("a:b\r\n", pick(1, kMaxHeaderFields - 1) * 5);
    case Behavior::long_field:
      return "POST /equipment-search HTTP/1.1\r\na: " + std::string(pick(1, kMaxHeadBytes - 100), 'b');
    case Behavior::stopped_body: {
      const std::string whole = make_query(kMaxBodyBytes - 1000).bytes;
      return whole.substr(0, pick(whole.size() * 3 / 4, whole.size() - 1));
    }
    case Behavior::stopped_chunk:
      return "POST /equipment-search HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" +
             std::string(pick(kMaxBodyBytes / 2, kMaxBodyBytes - 2), 'x');
    case Behavior::slow_body:
    case Behavior::large_query:
      return make_query(pick(kMaxBodyBytes / 2, kMaxBodyBytes - 1000)).bytes;
    case Behavior::many_parts:
      return make_query(10).bytes;
    case Behavior::unsound_query: {
      const std::string body = "[" + repeated("0,", kMaxBodyBytes - 10) + "0]";
      return "POST /equipment-search HTTP/1.1\r\nX-Call-Id: u" + std::to_string(++next_id_) +
             "\r\nX-Call-Class: equipment-search\r\nX-Budget-Ms: 1200\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    case Behavior::stopped_search:
      return make_post(search, kSearchBytes, std::string(pick(kSearchBytes / 2, kSearchBytes - 1), ' '));
    case Behavior::stopped_bulk:
      return make_post(
          "/inspection-log-0/_bulk", 4 * kSearchBytes,
          "{\"index\":{}}\n{\"text\":\"" + std::string(pick(kSearchBytes / 2, kSearchBytes), 'x'));
    case Behavior::large_search: {
      const std::string body = "{\"query\":{\"match\":{\"text\":\"" +
                               std::string(pick(kSearchBytes / 2, kSearchBytes - 100), 'x') + "\"}}}";
      return make_post(search, body.size(), body);
    }
    case Behavior::open_cursors: {
      const std::string body = "{\"query\":{\"match_all\":{}}}";
      return make_post(search + "?scroll=10m", body.size(), body);
    }
    default:
      return {};
  }
}

Task<void> Crowd::run_client() {
  while (!stopping_) {
    // A local variable: GCC 12 destroys a temporary of this expression twice.
    const std::unique_ptr<Stream> stream =
        co_await connect(scheduler_, options_.front, Clock::now() + kGiveUpAfter);
    if (stream) {
      ++report_.connections;
      co_await run_connection(*stream);
    }
    co_await scheduler_.sleep_until(Clock::now() + kRetryInterval);
  }
  --running_;
}

Task<void> Crowd::run_connection(Stream& stream) {
  switch (options_.behavior) {
    case Behavior::slow_body:
      co_return co_await send_slowly(stream, opening_bytes());
    case Behavior::huge_body:
      co_return co_await send_huge_body(stream);
    case Behavior::unread_answer:
      co_return co_await leave_answers_unread(stream);
    case Behavior::pipeline:
      co_return co_await send_pipeline(stream);
    case Behavior::close_over_unread:
      co_return co_await close_over_unread(stream);
    default:
      co_return co_await send_and_wait(stream, opening_bytes());
  }
}

Task<void> Crowd::send_and_wait(Stream& stream, std::string bytes) {
  const TimePoint connected_at = Clock::now();
  co_await stream.write_all(bytes, connected_at + kGiveUpAfter);
  co_await wait_for_end(stream, connected_at);
}

Task<void> Crowd::send_slowly(Stream& stream, std::string bytes) {
  const TimePoint connected_at = Clock::now();
  for (std::size_t at = 0; at < bytes.size() && !stream.has_input() && !stopping_; at += kSlowPieceBytes) {
    const std::string piece = bytes.substr(at, kSlowPieceBytes);
    if ((co_await stream.write_all(piece, connected_at + kGiveUpAfter)).status != IoStatus::ok) break;
    co_await scheduler_.sleep_until(Clock::now() + kSlowPieceInterval);
  }
  co_await wait_for_end(stream, connected_at);
}

Task<void> Crowd::send_huge_body(Stream& stream) {
  const TimePoint connected_at = Clock::now();
  const std::string head = make_post("/equipment-search", kHugeBodyBytes, "");
  co_await stream.write_all(head, connected_at + kGiveUpAfter);
  const std::string piece(kMaxBodyBytes, 'x');
  for (std::size_t sent = 0; sent < kHugeBodyBytes && !stream.has_input() && !stopping_; sent += piece.size())
    if ((co_await stream.write_all(piece, connected_at + kGiveUpAfter)).status != IoStatus::ok) break;
  co_await wait_for_end(stream, connected_at);
}

Task<void> Crowd::leave_answers_unread(Stream& stream) {
  const TimePoint connected_at = Clock::now();
  for (int i = 0; i < kUnreadRequests; ++i) {
    const Request request = make_query(10, kLargeAnswerMark);
    if ((co_await stream.write_all(request.bytes, connected_at + kGiveUpAfter)).status != IoStatus::ok) break;
  }
  while (!stopping_ && !stream.peer_closed()) co_await scheduler_.sleep_until(Clock::now() + kPollInterval);
}

Task<void> Crowd::send_pipeline(Stream& stream) {
  std::vector<char> buffer(kMaxHeadBytes);
  while (!stopping_) {
    std::string bytes;
    for (int i = 0; i < kPipelinedRequests; ++i) {
      Request request = make_query(10);
      if (pick(0, 3) == 0) request.bytes.replace(request.bytes.find("\"mass\":"), 8, "\"mass\":9");
      bytes += request.bytes;
    }
    if ((co_await stream.write_all(bytes, Clock::now() + kTimeToEnd)).status != IoStatus::ok) co_return;
    while (stream.has_input())
      if ((co_await stream.read_some(buffer, Clock::now())).status != IoStatus::ok) co_return;
  }
}

Task<void> Crowd::close_over_unread(Stream& stream) {
  std::string bytes;
  std::vector<std::string> ids;
  for (int i = 0; i < kPipelinedRequests; ++i) {
    const Request request = make_query(10);
    bytes += request.bytes;
    ids.push_back(request.id);
  }
  co_await stream.write_all(bytes, Clock::now() + kTimeToEnd);
  co_await scheduler_.sleep_until(Clock::now() + Milliseconds(static_cast<std::int64_t>(pick(0, 20))));
  stream.finish_writing();
  const std::lock_guard lock(closed_queries_mutex_);
  for (const std::string& id : ids) closed_queries_[id] = Clock::now();
}

// Reads until the answer or the end of the connection.
Task<void> Crowd::wait_for_end(Stream& stream, TimePoint connected_at) {
  std::vector<char> buffer(kMaxHeadBytes);
  IoResult got{IoStatus::timed_out, 0};
  while (got.status == IoStatus::timed_out && Clock::now() - connected_at < kGiveUpAfter && !stopping_)
    got = co_await stream.read_some(buffer, Clock::now() + kPollInterval);
  const Duration took = Clock::now() - connected_at;
  const bool ended = got.status != IoStatus::timed_out;
  if (ended || took > time_to_end()) report_.slowest = std::max(report_.slowest, took);
  report_.ended += ended && took <= time_to_end();
  report_.overdue += took > time_to_end();
  constexpr std::size_t kStatusAt = sizeof "HTTP/1.1 " - 1;
  if (got.status == IoStatus::ok && got.bytes >= kStatusAt + 3)
    ++report_.answers[std::atoi(std::string(buffer.data() + kStatusAt, 3).c_str())];
}

}  // namespace kelpdeal::faults
