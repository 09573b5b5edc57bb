// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/event_log.h"

// Header only: the shared libraries would cost each coordinator memory pages that `run` never uses.
#define FMT_HEADER_ONLY
#define SPDLOG_FMT_EXTERNAL
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>

#include "kelpdeal/json.h"

namespace kelpdeal::fleet {
namespace {

constexpr std::size_t kQueueCapacity = 1'024;  // lines
constexpr auto kFlushInterval = std::chrono::milliseconds(200);

json::Value value_of(const EventLog::Value& value) {
  return std::visit([](const auto& held) { return json::Value(held); }, value);
}

}  // namespace

std::string event_line(bool as_json, std::string_view event, std::string_view member,
                       std::initializer_list<EventLog::Field> fields) {
  if (as_json) {
    json::Object line{{"event", std::string(event)}, {"member", std::string(member)}};
    for (const auto& [name, value] : fields) line.emplace_back(std::string(name), value_of(value));
    return json::write(std::move(line));
  }
  std::string line = std::string(event) + " member=" + std::string(member);
  for (const auto& [name, value] : fields)
    line += " " + std::string(name) + "=" + json::write(value_of(value));
  return line;
}

struct EventLog::Sink {
  std::shared_ptr<spdlog::details::thread_pool> pool =
      std::make_shared<spdlog::details::thread_pool>(kQueueCapacity, 1);
  std::shared_ptr<spdlog::async_logger> logger;
  std::chrono::steady_clock::time_point last_flush_at{};
};

EventLog::EventLog(const EventLogFile& file, std::string name)
    : name_(std::move(name)), json_(file.json), sink_(std::make_unique<Sink>()) {
  auto sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file.path);
  sink_->logger = std::make_shared<spdlog::async_logger>("fleet", std::move(sink), sink_->pool,
                                                         spdlog::async_overflow_policy::overrun_oldest);
  // A full disk cannot be reported here, as this log is where it would be reported.
  sink_->logger->set_error_handler([](const std::string&) {});
  sink_->logger->set_pattern(json_ ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z",%v)" : "%Y-%m-%dT%H:%M:%S.%e%z %v");
}

EventLog::~EventLog() { sink_->logger->flush(); }

void EventLog::write(std::string_view event, std::initializer_list<Field> fields) {
  std::string line = event_line(json_, event, name_, fields);
  if (json_) line.erase(0, 1);  // the pattern adds the opening brace with the time
  sink_->logger->info(line);
  if (const auto now = std::chrono::steady_clock::now(); now - sink_->last_flush_at >= kFlushInterval) {
    sink_->last_flush_at = now;
    sink_->logger->flush();
  }
}

}  // namespace kelpdeal::fleet
