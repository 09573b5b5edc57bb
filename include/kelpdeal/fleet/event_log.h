// SPDX-License-Identifier: MIT
// The fleet's structured log: one line per event, as text or JSON, if the fleet file configures it. spdlog
// writes it on its own thread, so that a slow disk blocks nothing; when its bounded queue is full, the oldest
// lines are dropped.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace kelpdeal::fleet {

struct EventLogFile {
  std::string path;  // empty: no log
  bool json = true;
};

class EventLog {
 public:
  using Value = std::variant<std::string, std::int64_t, bool>;
  using Field = std::pair<std::string_view, Value>;

  // `name`: the member's, on every line. Throws std::runtime_error if the file cannot be opened.
  EventLog(const EventLogFile& file, std::string name);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void write(std::string_view event, std::initializer_list<Field> fields);

 private:
  struct Sink;
  const std::string name_;
  const bool json_;
  std::unique_ptr<Sink> sink_;
};

// The line without its timestamp: `{"event":...,"member":...,...}` or `event member=... ...`.
std::string event_line(bool as_json, std::string_view event, std::string_view member,
                       std::initializer_list<EventLog::Field> fields);

}  // namespace kelpdeal::fleet
