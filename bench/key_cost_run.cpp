// SPDX-License-Identifier: MIT
// What a claim costs a keyed operation in time: three coordinators (processes), one key after another at one
// of them, with the others there, with one cut off (a majority is left), with both cut off (refused), and
// without a fleet. `kelpdeal_key_cost_run [KEYS]`; by default 300.
#include <algorithm>
#include <cstdio>

#include "../tests/fleet/process_harness.h"

namespace {

using namespace kelpdeal;
using namespace kelpdeal::test;
using namespace std::chrono_literals;

Task<void> measure(TestCluster& world, const std::string& front, const char* what, int keys, int& number) {
  std::vector<double> took;
  int answered = 0;
  for (int i = 0; i < keys; ++i) {
    http::Request request = world.request("inspection-log", "0,1", 1s, "key-" + std::to_string(number++));
    const TimePoint began = Clock::now();
    const http::Response response = co_await world.send(front, std::move(request));
    took.push_back(FractionalMs(Clock::now() - began).count());
    answered += response.status == 200 || response.status == 201;
    co_await world.pause(2ms);
  }
  std::sort(took.begin(), took.end());
  std::printf("| %s | %.2f | %.2f | %d of %d |\n", what, took[took.size() / 2], took[took.size() * 99 / 100],
              answered, keys);
}

}  // namespace

int main(int argc, char** argv) {
  int number = 0;
  const int keys = argc > 1 ? std::atoi(argv[1]) : 300;
  std::printf("| fleet | ms, p50 | p99 | answered |\n| --- | --- | --- | --- |\n");
  {
    TestCluster world({});
    Program alone(world, world.config_text(), "127.0.0.1:0");
    const std::string front = alone.address();
    world.run(measure(world, front, "none", keys, number), 60s);
  }
  FleetHarness fleet("cost", 3, false);
  const auto day = [&]() -> Task<void> {
    co_await fleet.world.pause(5500ms);  // claims are granted from here on
    co_await measure(fleet.world, fleet.front(0), "all three there", keys, number);
    fleet.partition({2}, true);
    co_await measure(fleet.world, fleet.front(0), "one cut off", keys, number);
    fleet.partition({1}, true);
    co_await measure(fleet.world, fleet.front(0), "both cut off", std::min(keys, 50), number);
  };
  fleet.run(day, 120s);
  return testing::Test::HasFailure() ? 1 : 0;
}
