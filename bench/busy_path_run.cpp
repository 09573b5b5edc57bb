// SPDX-License-Identifier: MIT
// Measures the throughput of the program's client path: queries that record nodes answer, queries that are
// refused at once, and a page of the program itself, sent one at a time or pipelined. A client on a
// connection of its own meanwhile asks whether the program is ready, and its slowest answer is printed.
// Usage: `kelpdeal_busy_path_run [SECONDS [PROGRAM]]`, by default 4 and the program of this build.
#include <poll.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

#include "../tests/program.h"
#include "running_cluster.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

struct Load {
  const char* label;
  std::size_t connections, pipelined;
  bool query;    // else GET /-/healthy
  int open_cap;  // of the settings; 1: every query is refused at once
};

std::atomic<std::uint64_t> next_query{0};

std::string request_bytes(const Load& load) {
  if (!load.query) return "GET /-/healthy HTTP/1.1\r\n\r\n";
  const std::string body =
      R"({"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"c41e77d0"})";
  return "POST /equipment-search HTTP/1.1\r\nX-Call-Class: equipment-search\r\nX-Call-Id: b" +
         std::to_string(++next_query) +
         "\r\nX-Budget-Ms: 1000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends the load's requests on one connection until `end`, and counts the answers.
void send_load(const std::string& address, const Load& load, TimePoint end,
               std::atomic<std::uint64_t>& answers) {
  Client client(address);
  while (Clock::now() < end) {
    std::string batch;
    for (std::size_t i = 0; i < load.pipelined; ++i) batch += request_bytes(load);
    if (!client.send(batch) || !client.read_responses(load.pipelined)) return;
    answers += load.pipelined;
  }
}

// The slowest answer to a page that is asked for on connections of its own until `end`.
FractionalMs slowest_answer_beside(const std::string& address, TimePoint end) {
  FractionalMs slowest{};
  while (Clock::now() < end) {
    Client client(address);
    const TimePoint sent = Clock::now();
    client.send("GET /-/ready HTTP/1.1\r\n\r\n");
    client.read_responses(1);
    slowest = std::max(slowest, FractionalMs(Clock::now() - sent));
    std::this_thread::sleep_for(5ms);
  }
  return slowest;
}

FractionalMs cpu_time(pid_t process) {
  clockid_t clock{};
  timespec used{};
  if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &used) != 0) return {};
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

void measure(const Load& load, Duration span, const char* program_path) {
  ClusterOptions options;
  options.open_cap = load.open_cap;
  TestCluster cluster(options);
  Program program(cluster, cluster.config_text(), "127.0.0.1:0", {}, {}, -1, program_path);
  const std::string address = program.address();
  const RunningCluster running(cluster, 10 * span);
  std::this_thread::sleep_for(300ms);
  const FractionalMs cpu_before = cpu_time(program.id());
  const TimePoint start = Clock::now(), end = start + span;
  std::atomic<std::uint64_t> answers{0};
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < load.connections; ++i)
    clients.emplace_back([&] { send_load(address, load, end, answers); });
  const FractionalMs slowest = slowest_answer_beside(address, end);
  const FractionalMs cpu_used = cpu_time(program.id()) - cpu_before;
  const std::uint64_t answered = answers;
  for (std::thread& client : clients) client.join();
  const double seconds = std::chrono::duration<double>(span).count();
  std::printf("| %s | %.0f | %.1f | %.1f |\n", load.label, static_cast<double>(answered) / seconds,
              1000 * cpu_used.count() / static_cast<double>(std::max<std::uint64_t>(answered, 1)),
              slowest.count());
  std::fflush(stdout);
}

}  // namespace
}  // namespace kelpdeal::test

int main(int argc, char** argv) {
  using namespace kelpdeal::test;
  const auto span = std::chrono::seconds(argc > 1 ? std::atoi(argv[1]) : 4);
  const char* program = argc > 2 ? argv[2] : KELPDEAL_PROGRAM;
  std::printf(
      "| load | answers/s | us of processor each | slowest answer beside, ms |\n| --- | --- | --- | --- |\n");
  for (const Load& load :
       {Load{"queries, 1 connection", 1, 1, true, 0}, Load{"queries, 32 connections", 32, 1, true, 0},
        Load{"page, 32 connections", 32, 1, false, 0}, Load{"refusals, 32 connections", 32, 1, true, 1},
        Load{"refusals, 1 connection, 100 pipelined", 1, 100, true, 1},
        Load{"refusals, 16 connections, 300 pipelined", 16, 300, true, 1}})
    measure(load, span, program);
  return 0;
}
