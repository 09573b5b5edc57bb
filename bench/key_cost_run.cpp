// SPDX-License-Identifier: MIT
// Measures the latency that claims add to keyed operations: three coordinators (processes) and a sequence of
// keys at one of them, with both others present, with one cut off (a majority remains), with both cut off
// (refused), and without a fleet. Usage: `kelpdeal_key_cost_run [KEYS]`, 300 by default.
#include <algorithm>
#include <cstdio>

#include "../tests/fleet/process_harness.h"

namespace {

using namespace kelpdeal;
using namespace kelpdeal::test;
using namespace std::chrono_literals;

Task<void> measure(TestCluster& world, const std::string& front, const char* label, int keys, int& next_key) {
  std::vector<double> times_ms;
  int answered = 0;
  for (int i = 0; i < keys; ++i) {
    http::Request request = world.request("inspection-log", "0,1", 1s, "key-" + std::to_string(next_key++));
    const TimePoint start = Clock::now();
    const http::Response response = co_await world.send(front, std::move(request));
    times_ms.push_back(FractionalMs(Clock::now() - start).count());
    answered += response.status == 200 || response.status == 201;
    co_await world.pause(2ms);
  }
  std::sort(times_ms.begin(), times_ms.end());
  std::printf("| %s | %.2f | %.2f | %d of %d |\n", label, times_ms[times_ms.size() / 2],
              times_ms[times_ms.size() * 99 / 100], answered, keys);
}

}  // namespace

int main(int argc, char** argv) {
  int next_key = 0;
  const int keys = argc > 1 ? std::atoi(argv[1]) : 300;
  std::printf("| fleet | ms, p50 | p99 | answered |\n| --- | --- | --- | --- |\n");
  {
    TestCluster world({});
    Program alone(world, world.config_text(), "127.0.0.1:0");
    const std::string front = alone.address();
    world.run(measure(world, front, "none", keys, next_key), 60s);
  }
  FleetHarness fleet("cost", 3, false);
  const auto scenario = [&]() -> Task<void> {
    co_await fleet.world.pause(5500ms);  // claims are granted only after this time
    co_await measure(fleet.world, fleet.front(0), "all three there", keys, next_key);
    fleet.partition({2}, true);
    co_await measure(fleet.world, fleet.front(0), "one cut off", keys, next_key);
    fleet.partition({1}, true);
    co_await measure(fleet.world, fleet.front(0), "both cut off", std::min(keys, 50), next_key);
  };
  fleet.run(scenario, 120s);
  return testing::Test::HasFailure() ? 1 : 0;
}
