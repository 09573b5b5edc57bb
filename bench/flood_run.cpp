// SPDX-License-Identifier: MIT
// Measures single searches beside heavy multi-search and bulk load, on loopback, with record nodes that have
// a fixed number of cores and a fixed time per part. Prints the share of single searches in time without
// load, with load, and with load but without the fan-out limits.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "../tests/conformance/search_fixture.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

struct Outcome {
  std::size_t asked = 0, in_time = 0, refused = 0, items = 0, items_done = 0;
  std::vector<double> ms;
  double service() const { return asked ? static_cast<double>(in_time) / static_cast<double>(asked) : 0; }
  double percentile(double share) const {
    if (ms.empty()) return 0;
    std::vector<double> sorted = ms;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
  }
};

// A node with two cores: parts wait until one is free, and occupy it for the given time.
struct NodeCores {
  TimePoint free_at[2] = {};
  Duration reserve(Duration work) {
    TimePoint& core = free_at[0] <= free_at[1] ? free_at[0] : free_at[1];
    const TimePoint now = Clock::now();
    core = std::max(core, now) + work;
    return core - now;
  }
};

Outcome run(Api api, bool under_load, bool limited, Duration span) {
  ClusterOptions options;
  if (!limited)
    options.adjust = [](Limits& limits) { limits.max_fanout = limits.max_fanout_per_request = 100'000; };
  SearchFixture fixture(api, {}, options);
  std::vector<NodeCores> cores(fixture.world.nodes.size());
  for (std::size_t i = 0; i < cores.size(); ++i) {
    fixture.world.nodes[i]->stream_replies = true;
    fixture.world.nodes[i]->on_part = [&fixture, &cores, i](const ReceivedPart& part) {
      NodeReply answer = fixture.answer(part);
      answer.delay = cores[i].reserve(8ms);
      return answer;
    };
  }
  Outcome outcome;
  std::string searches, documents;
  for (int i = 0; i < 100; ++i) searches += "{}\n{\"size\":0}\n";
  for (int i = 0; i < 1000; ++i)
    documents += "{\"index\":{\"_id\":\"f" + std::to_string(i) + "\"}}\n{\"site\":\"flood\"}\n";
  bool stop = false;
  std::size_t running = 0;
  const auto send_load = [&](const char* target, const std::string& body, const char* list) -> Task<void> {
    ++running;
    while (!stop) {
      const json::Value answer = co_await fixture.get("POST", target, body);
      if (const json::Value* items = answer.find(list); items && items->array())
        for (const json::Value& item : *items->array()) {
          ++outcome.items;
          const double status = item.find("status") ? item.number_or("status", 0)
                                                    : item.object()->front().second.number_or("status", 0);
          outcome.items_done += status < 300;
        }
    }
    --running;
  };
  const auto single_search = [&]() -> Task<void> {
    ++running;
    const TimePoint start = Clock::now();
    const http::Response response =
        co_await fixture.ask("POST", "/lifts/_search", R"({"size":5,"sort":["register"]})");
    const Duration took = Clock::now() - start;
    outcome.ms.push_back(FractionalMs(took).count());
    outcome.in_time += response.status == 200 && took <= 500ms;
    outcome.refused += response.status == 429;
    --running;
  };
  fixture.world.run(
      [&]() -> Task<void> {
        for (int i = 0; i < 10; ++i)
          co_await fixture.ask("POST", "/lifts/_search", "{}");  // so that latencies are known
        if (under_load) {
          for (int i = 0; i < 4; ++i)
            fixture.world.scheduler.spawn(send_load("/lifts,escalators/_msearch", searches, "responses"));
          for (int i = 0; i < 2; ++i)
            fixture.world.scheduler.spawn(send_load("/escalators/_bulk", documents, "items"));
          co_await fixture.world.pause(300ms);
        }
        const TimePoint end = Clock::now() + span;
        while (Clock::now() < end) {
          ++outcome.asked;
          fixture.world.scheduler.spawn(single_search());
          co_await fixture.world.pause(25ms);
        }
        stop = true;
        while (running > 0) co_await fixture.world.pause(5ms);
      }(),
      span + 120s);
  return outcome;
}

}  // namespace
}  // namespace kelpdeal::test

int main(int argc, char** argv) {
  using namespace kelpdeal::test;
  const auto span = std::chrono::seconds(argc > 1 ? std::atoi(argv[1]) : 10);
  std::printf("%-24s %8s %8s %8s %8s %8s %8s %9s\n", "run", "asked", "service", "refused", "p50 ms", "p95 ms",
              "p99 ms", "items/s");
  for (const Api api : {Api::platform, Api::opensearch}) {
    double alone = 0;
    for (const auto& [name, under_load, limited] :
         {std::tuple("alone", false, true), std::tuple("flooded", true, true),
          std::tuple("flooded, no fan-out limit", true, false)}) {
      const Outcome outcome = run(api, under_load, limited, span);
      if (!under_load) alone = outcome.service();
      const std::string label = std::string(api == Api::platform ? "frames: " : "api: ") + name;
      std::printf("%-34s %6zu %8.3f %8zu %8.1f %8.1f %8.1f %9.0f   kept %.3f\n", label.c_str(), outcome.asked,
                  outcome.service(), outcome.refused, outcome.percentile(0.5), outcome.percentile(0.95),
                  outcome.percentile(0.99),
                  static_cast<double>(outcome.items_done) / static_cast<double>(span.count()),
                  alone > 0 ? outcome.service() / alone : 0);
      std::fflush(stdout);
    }
  }
  return 0;
}
