// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/command.h"

#include <CLI/CLI.hpp>
#include <cstdio>

#include "kelpdeal/json.h"
#include "kelpdeal/socket.h"

namespace kelpdeal::fleet {
namespace {

constexpr Duration kAnswerTimeout = std::chrono::seconds(3);
constexpr std::size_t kMaxAnswerBytes = 8 << 20;

// Stores the answer line without its terminator; empty if none arrived.
Task<void> send_call(Scheduler& scheduler, Address at, std::string line, std::string& answer) {
  const TimePoint until = Clock::now() + kAnswerTimeout;
  if (const auto stream = co_await connect(scheduler, at, until)) {
    if ((co_await stream->write_all(line + "\n", until)).status == IoStatus::ok) {
      std::vector<char> chunk(64 * 1024);
      while (answer.find('\n') == std::string::npos && answer.size() < kMaxAnswerBytes) {
        const IoResult got = co_await stream->read_some(chunk, until);
        if (got.status != IoStatus::ok) break;
        answer.append(chunk.data(), got.bytes);
      }
    }
  }
  const std::size_t end = answer.find('\n');
  answer = end == std::string::npos ? std::string() : answer.substr(0, end);
  scheduler.stop();
}

std::string to_cell(const json::Value& value) {
  if (const std::string* text = value.string()) return *text;
  return json::write(value);
}

// Prints lists as lines, objects as names and values, lists of objects as tables.
void print(const json::Value& value) {
  if (const json::Array* rows = value.array()) {
    for (std::size_t i = 0; i < rows->size(); ++i) {
      const json::Object* row = (*rows)[i].object();
      if (!row) {
        std::printf("%s\n", to_cell((*rows)[i]).c_str());
        continue;
      }
      std::string head, line;
      for (const auto& [name, each] : *row) {
        head += name + "\t";
        line += to_cell(each) + "\t";
      }
      if (i == 0) std::printf("%s\n", head.c_str());
      std::printf("%s\n", line.c_str());
    }
  } else if (const json::Object* object = value.object()) {
    for (const auto& [name, each] : *object) std::printf("%s\t%s\n", name.c_str(), to_cell(each).c_str());
  } else {
    std::printf("%s\n", to_cell(value).c_str());
  }
}

}  // namespace

std::string call_member(const Address& at, const std::string& line) {
  std::string answer;
  Scheduler scheduler;
  scheduler.spawn(send_call(scheduler, at, line, answer));
  scheduler.run();
  return answer;
}

int run_command(int argc, const char* const* argv) {
  CLI::App app{"Calls to a coordinator's fleet address."};
  app.require_subcommand(1);
  std::string at, node;
  bool as_json = false;
  const std::map<std::string, std::string> calls = {
      {"members", "list the fleet's members and their states"},
      {"state", "show the contents and the replication lag of the shared state"},
      {"digest", "show the digest of the shared state; equal digests mean equal states"},
      {"out", "list the data nodes taken out by operators"},
      {"offline", "take a data node out of service across the whole fleet"},
      {"online", "put a data node back into service"}};
  for (const auto& [name, help] : calls) {
    CLI::App* sub = app.add_subcommand(name, help);
    sub->add_option("--at", at, "operators' address of any fleet member")->required();
    sub->add_flag("--json", as_json, "print the answer as raw JSON");
    if (name == "offline" || name == "online")
      sub->add_option("node", node, "id of the data node")->required();
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  const auto address = Address::parse(at);
  if (!address) {
    std::fprintf(stderr, "kelpdeal fleet: --at: invalid address: %s\n", at.c_str());
    return 2;
  }
  std::string line = app.get_subcommands().front()->get_name();
  std::transform(line.begin(), line.end(), line.begin(), [](unsigned char c) { return std::toupper(c); });
  if (!node.empty()) line += " " + node;
  const std::string answer = call_member(*address, line);
  constexpr std::string_view kSuccess = "SUCCESS";
  if (!answer.starts_with(kSuccess)) {
    std::fprintf(stderr, "kelpdeal fleet: %s\n", answer.empty() ? "no answer" : answer.c_str());
    return 1;
  }
  const std::string text = answer.substr(std::min(kSuccess.size() + 1, answer.size()));
  std::string error;
  const auto value = json::parse(text, error);
  if (as_json || !value)
    std::printf("%s\n", text.c_str());
  else
    print(*value);
  return 0;
}

}  // namespace kelpdeal::fleet
