// SPDX-License-Identifier: MIT
// Clients of a coordinator that misbehave, many at a time: they stop at every point of a request, write or
// read slowly, flood, or close over unread bytes.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "kelpdeal/socket.h"

namespace kelpdeal::faults {

enum class Behavior {
  silent,             // connects and sends nothing
  short_fields,       // stops in a head of many short fields
  long_field,         // stops in one long header field
  stopped_body,       // stops in a large body
  stopped_chunk,      // stops in a chunk of a large body
  slow_body,          // writes a large body a few bytes at a time
  large_query,        // whole queries with a large text
  many_parts,         // whole queries of all parts with a small text, over and over
  unsound_query,      // whole large bodies of very many small values that are no query
  huge_body,          // announces 60 MB and sends them
  unread_answer,      // asks for large answers and does not read them
  pipeline,           // small requests at full speed on one connection, sound and unsound
  close_over_unread,  // sends queries and closes at once, with the answers unread
  stopped_search,     // search API: stops in a large search
  stopped_bulk,       // search API: stops in a long line of a bulk
  large_search,       // search API: whole large searches
  open_cursors,       // search API: opens cursors at full speed
};

const char* name_of(Behavior behavior);

// Whether the behavior speaks the search API.
bool uses_search_front(Behavior behavior);

struct CrowdOptions {
  Behavior behavior = Behavior::silent;
  std::size_t clients = 0;
  Address front;
  int shards = 1;
  std::uint64_t seed = 0;
};

struct CrowdReport {
  std::size_t connections = 0;
  std::size_t ended = 0;               // connections that got an error or a close in time
  std::size_t overdue = 0;             // connections that got neither in time although they were owed one
  Duration slowest{};                  // from connecting to the error or the close
  std::map<int, std::size_t> answers;  // by status
};

// The text by which a record node recognizes a query that asks for a large answer.
inline constexpr std::string_view kLargeAnswerMark = "large-answer";

class Crowd {
 public:
  // Starts the clients. Each begins again when its connection has ended.
  explicit Crowd(CrowdOptions options);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  void stop() { stopping_ = true; }
  // True after stop() once every client has ended.
  bool finished() const { return finished_; }
  // Valid once the crowd has finished.
  const CrowdReport& report() const { return report_; }
  // When the client of this query closed its connection, if it has. For Behavior::close_over_unread.
  std::optional<TimePoint> closed_at(std::string_view query_id) const;

 private:
  struct Request {
    std::string id, bytes;
  };
  void run();
  Task<void> stop_when_finished();
  Task<void> run_client();
  Task<void> run_connection(Stream& stream);
  Task<void> send_and_wait(Stream& stream, std::string bytes);
  Task<void> send_slowly(Stream& stream, std::string bytes);
  Task<void> send_huge_body(Stream& stream);
  Task<void> send_pipeline(Stream& stream);
  Task<void> leave_answers_unread(Stream& stream);
  Task<void> close_over_unread(Stream& stream);
  Task<void> wait_for_end(Stream& stream, TimePoint connected_at);
  std::string opening_bytes();
  Request make_query(std::size_t text_bytes, std::string_view text_prefix = {});
  std::string make_post(const std::string& target, std::size_t announced_bytes, const std::string& body);
  std::size_t pick(std::size_t from, std::size_t to);
  Duration time_to_end() const;

  Scheduler scheduler_;
  const CrowdOptions options_;
  std::mt19937_64 random_;
  CrowdReport report_;
  mutable std::mutex closed_queries_mutex_;
  std::map<std::string, TimePoint, std::less<>> closed_queries_;
  std::size_t running_ = 0;
  std::uint64_t next_id_ = 0;
  std::atomic<bool> stopping_ = false, finished_ = false;
  std::thread thread_;
};

}  // namespace kelpdeal::faults
