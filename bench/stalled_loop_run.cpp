// SPDX-License-Identifier: MIT
// Counts what queries lose when the program's event loop stands still for a moment, as it does in a long
// turn: the process is stopped every half second while record nodes go on answering. Usage:
// `kelpdeal_stalled_loop_run [SECONDS [STALL_MS [PROGRAM]]]`, by default 10, 150 and the program of this
// build.
#include <atomic>
#include <cstdlib>
#include <thread>

#include "../tests/program.h"
#include "running_cluster.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

constexpr int kClients = 16;
constexpr auto kStallInterval = 500ms;
constexpr auto kNodeLatency = 20ms;
constexpr auto kClientPause = 10ms;

struct Outcomes {
  std::atomic<std::uint64_t> answered{0}, refused{0}, other{0};
};

std::string query_bytes(std::uint64_t number) {
  const std::string body =
      R"({"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"})";
  return "POST /equipment-search HTTP/1.1\r\nX-Call-Class: equipment-search\r\nX-Call-Id: s" +
         std::to_string(number) +
         "\r\nX-Budget-Ms: 1000\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

void send_queries(const std::string& address, TimePoint end, Outcomes& outcomes) {
  static std::atomic<std::uint64_t> next_query{0};
  while (Clock::now() < end) {
    Client client(address);
    client.send(query_bytes(++next_query));
    const std::string response = client.read_to_end();
    ++(response.starts_with("HTTP/1.1 200")   ? outcomes.answered
       : response.starts_with("HTTP/1.1 429") ? outcomes.refused
                                              : outcomes.other);
    std::this_thread::sleep_for(kClientPause);
  }
}

void stall(Program& program, TimePoint end, Duration duration) {
  while (Clock::now() < end) {
    std::this_thread::sleep_for(kStallInterval);
    program.signal(SIGSTOP);
    std::this_thread::sleep_for(duration);
    program.signal(SIGCONT);
  }
}

// The lines of the page of counters whose name begins with one of `prefixes`.
void print_counters(const std::string& address, std::initializer_list<std::string_view> prefixes) {
  std::istringstream page(counters_page(address));
  for (std::string line; std::getline(page, line);)
    for (const std::string_view prefix : prefixes)
      if (line.starts_with(prefix)) std::printf("  %s\n", line.c_str());
}

void measure(Duration span, Duration stall_duration, const char* program_path) {
  TestCluster cluster({});
  for (const auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart&) {
      NodeReply reply;
      reply.delay = kNodeLatency;
      return reply;
    };
  Program program(cluster, cluster.config_text(), "127.0.0.1:0", {}, {}, -1, program_path);
  const std::string address = program.address();
  const RunningCluster running(cluster, 10 * span);
  std::this_thread::sleep_for(300ms);
  const TimePoint end = Clock::now() + span;
  Outcomes outcomes;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back([&] { send_queries(address, end, outcomes); });
  stall(program, end, stall_duration);
  for (std::thread& client : clients) client.join();
  std::printf("queries: %llu answered, %llu refused, %llu other\n",
              static_cast<unsigned long long>(outcomes.answered),
              static_cast<unsigned long long>(outcomes.refused),
              static_cast<unsigned long long>(outcomes.other));
  print_counters(address, {"attempts.", "node.answers_too_late", "node.connections", "queries."});
}

}  // namespace
}  // namespace kelpdeal::test

int main(int argc, char** argv) {
  using namespace kelpdeal::test;
  const auto span = std::chrono::seconds(argc > 1 ? std::atoi(argv[1]) : 10);
  const auto stall_duration = std::chrono::milliseconds(argc > 2 ? std::atoi(argv[2]) : 150);
  measure(span, stall_duration, argc > 3 ? argv[3] : KELPDEAL_PROGRAM);
  return testing::Test::HasFailure() ? 1 : 0;
}
