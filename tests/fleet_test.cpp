// SPDX-License-Identifier: MIT
// Tests of many coordinators together: each runs a Balancer of its own and knows nothing about the others.
#include <cmath>
#include <numeric>
#include <random>

#include "fixture.h"

using namespace cottonbay;

namespace {
constexpr int kCoordinatorCount = 100;

Settings fleet_settings() {
  Settings settings = make_settings();
  settings.coordinators = kCoordinatorCount;
  settings.cold_capacity = 0.32;
  settings.warm_up_ms = 18000;
  settings.overload_factor = 3;
  settings.overload_window_ms = 1000;
  return settings;
}
}  // namespace

// A site fails silently and returns cold, and all coordinators reach it at the same moment. Together they
// must send it no more than it can take.
TEST(Fleet, ReturningColdServerIsNotOverloadedByAllCoordinators) {
  std::vector<double> sent;  // times of all parts sent to it since its return
  double completion_rate = 0;
  for (int i = 0; i < kCoordinatorCount; ++i) {
    Harness harness(fleet_settings(), 1000 + static_cast<std::uint64_t>(i));
    harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 0)});
    harness.warm_up(60, 50);
    for (RequestId id = 10; id < 50; id += 10)
      harness.submit(harness.now_ms + 1, id, "whole", 1);  // in flight at both servers
    harness.end_all_attempts(Outcome::reset);
    for (int n = 0; n < 4; ++n) {  // it refuses connections while it starts
      harness.feed(harness.now_ms + 750);
      harness.end_all_attempts(Outcome::connect_failed);
    }
    harness.submit(harness.now_ms + 1000, 60, "whole", 1);
    harness.submit(harness.now_ms, 70, "whole", 1);
    harness.end_all_attempts(Outcome::ok);
    const double restarted_at_ms = harness.now_ms;
    harness.list_servers(restarted_at_ms, {Harness::server(11, 0, restarted_at_ms)}, ListKind::changes);
    const std::size_t before = harness.sent.size();
    for (RequestId id = 5000; id < 5400; id += 10) {  // 20 per second, at different times per coordinator
      harness.submit(harness.now_ms + 30 + (i * 7 + static_cast<int>(id)) % 40, id, "whole", 1);
      harness.feed(harness.now_ms + 2);
      harness.end_all_attempts(Outcome::ok);
    }
    for (std::size_t n = before; n < harness.sent.size(); ++n)
      if (harness.sent[n].send.server == 11) sent.push_back(harness.sent[n].at_ms - restarted_at_ms);
    completion_rate += 1000.0 / 55 / 2;  // parts per second that each server answered to it
  }
  std::sort(sent.begin(), sent.end());
  std::size_t max_in_window = 0;
  for (std::size_t from = 0, to = 0; from < sent.size(); ++from) {
    while (to < sent.size() && sent[to] < sent[from] + 1000) ++to;
    max_in_window = std::max(max_in_window, to - from);
  }
  EXPECT_LE(static_cast<double>(max_in_window), 3 * 0.32 * completion_rate);
  EXPECT_GE(max_in_window, 100u);  // the server is used
}

// Simulates coordinators in virtual time, each with queries of its own at its own rate, and servers that
// answer after a delay. One server restarts cold while the other holder of its shards leaves, so that all
// load of these shards falls on it. Counts the parts that all coordinators send to it within any overload
// window, compared with the budget N that the settings permit at the start of the window.
class ColdStartScenario {
 public:
  // `restarted` of the coordinators restart together with the server. `quiet_ms`: time between the restart
  // and the burst.
  ColdStartScenario(int coordinators, int restarted, double quiet_ms, std::uint64_t seed)
      : coordinator_count_(coordinators), burst_at_ms_(kRestartMs + quiet_ms), random_(seed) {
    settings_ = with_overlapping_cells(fleet_settings(), kServers);
    settings_.coordinators = coordinators;
    settings_.max_attempts = 4;
    std::vector<double> weights;
    for (int i = 0; i < coordinators; ++i)
      weights.push_back(i % 10 == 0 ? 4 : i % 2 ? 0.5 : 1);  // uneven rates
    const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (int i = 0; i < coordinators; ++i) {
      settings_.coordinator_index = i;
      coordinators_.emplace_back(Harness(settings_, seed * 1000 + static_cast<std::uint64_t>(i)));
      coordinators_.back().mean_gap_ms = 2 / (kUtilization * kServers * kCapacity * weights[i] / all);
      coordinators_.back().next_ms = coordinators_.back().mean_gap_ms * uniform();
    }
    std::vector<ServerEntry> servers;
    for (int i = 0; i < kServers; ++i) servers.push_back(Harness::server(11 + i, i));
    for (Coordinator& coordinator : coordinators_) coordinator.harness.list_servers(0, servers);
    run(0, kRestartMs);
    for (int i = 0; i < restarted; ++i) {
      Coordinator& coordinator = coordinators_[static_cast<std::size_t>(coordinators - 1 - i)];
      coordinator.harness = Harness(settings_, seed * 1000 + 500 + static_cast<std::uint64_t>(i));
      coordinator.answers.clear();
      coordinator.scheduled = 0;
      coordinator.harness.list_servers(kRestartMs, servers, ListKind::saved);
    }
    for (Coordinator& coordinator : coordinators_)
      coordinator.harness.list_servers(
          kRestartMs, {Harness::server(12, 1, kRestartMs), Harness::server(11, 0, 0, ServerState::draining)},
          ListKind::changes);
    run(kRestartMs, burst_at_ms_);
    for (Coordinator& coordinator : coordinators_)
      coordinator.next_ms = burst_at_ms_ + 100 * uniform();  // a burst at all of them
    run(burst_at_ms_, burst_at_ms_ + 5500);
  }
  std::size_t sent() const { return sent_to_cold_.size(); }
  // Largest number of parts in a window beyond N + 2 * sqrt(N) + 2; at max_in_window 0 if the budget is kept.
  double excess() const {
    double worst = -1e9;
    for (std::size_t from = 0, to = 0; from < sent_to_cold_.size(); ++from) {
      while (to < sent_to_cold_.size() &&
             sent_to_cold_[to] < sent_to_cold_[from] + settings_.overload_window_ms)
        ++to;
      const double share = settings_.cold_capacity + (1 - settings_.cold_capacity) *
                                                         (sent_to_cold_[from] - kRestartMs) /
                                                         settings_.warm_up_ms;
      const double n = settings_.overload_factor * share * kCapacity * settings_.overload_window_ms;
      worst = std::max(worst, static_cast<double>(to - from) - (n + 2 * std::sqrt(n) + 2));
    }
    return worst;
  }

 private:
  static constexpr int kServers = 12;
  static constexpr double kCapacity = 0.016;   // parts per ms of a warm server
  static constexpr double kUtilization = 0.6;  // share of the capacity in use
  static constexpr double kRestartMs = 8000, kTickMs = 5, kLatencyMs = 90;
  struct Coordinator {
    explicit Coordinator(Harness initial_harness) : harness(std::move(initial_harness)) {}
    Harness harness;
    double mean_gap_ms = 0, next_ms = 0;
    std::size_t scheduled = 0;                                 // attempts whose answer has been scheduled
    std::multimap<double, std::pair<RequestId, int>> answers;  // by time
    RequestId next_id = 10;
  };
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void run(double from, double until) {
    for (double now_ms = from + kTickMs; now_ms <= until; now_ms += kTickMs)
      for (Coordinator& coordinator : coordinators_) {
        while (!coordinator.answers.empty() && coordinator.answers.begin()->first <= now_ms) {
          const RequestId part = coordinator.answers.begin()->second.first;
          coordinator.answers.erase(coordinator.answers.begin());
          coordinator.harness.end_attempt(now_ms, part, Outcome::ok);
        }
        coordinator.harness.feed(now_ms);
        while (coordinator.next_ms <= now_ms) {
          // Each query uses two neighbouring shards. After the restart no query uses those of the cold server
          // for a while, so that every coordinator can save tokens for it; then all queries do.
          const bool in_burst = now_ms > burst_at_ms_;
          const int shard = in_burst ? 0 : 2 + static_cast<int>(uniform() * (kServers - 3));
          auto events = Harness::query(coordinator.next_id, "whole", 2, now_ms + 6000);
          std::get<PartArrived>(events[1]).shard = shard;
          std::get<PartArrived>(events[2]).shard = (shard + 1) % kServers;
          coordinator.next_id += 10;
          coordinator.harness.feed(now_ms, events);
          coordinator.next_ms += -std::log(1 - uniform()) * coordinator.mean_gap_ms;
        }
        for (; coordinator.scheduled < coordinator.harness.sent.size(); ++coordinator.scheduled) {
          const auto& sent = coordinator.harness.sent[coordinator.scheduled];
          if (sent.send.server == 12 && now_ms > kRestartMs) sent_to_cold_.push_back(now_ms);
          coordinator.answers.emplace(now_ms + kLatencyMs * (0.7 + 0.6 * uniform()),
                                      std::pair(sent.send.part, sent.attempt));
        }
      }
  }

  const int coordinator_count_;
  const double burst_at_ms_;
  std::mt19937_64 random_;
  Settings settings_;
  std::vector<Coordinator> coordinators_;
  std::vector<double> sent_to_cold_;
};

TEST(Fleet, TotalLoadOnColdServerStaysWithinBudget) {
  for (const int coordinators : {3, 20, 30})
    for (const int restarted : {0, coordinators / 3})
      for (const double quiet_ms : {1000, 2500, 4000})
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
          const ColdStartScenario scenario(coordinators, restarted, quiet_ms, seed);
          EXPECT_LE(scenario.excess(), 0) << coordinators << " coordinators, " << restarted
                                          << " restarted, burst after " << quiet_ms << " ms, seed " << seed;
          EXPECT_GE(scenario.sent(), 20u) << coordinators;  // the server is used
        }
}

// Six of ten servers are replaced by cold ones, and the server list lags behind. Every part still has a
// holder.
TEST(Fleet, ReplacingMostServersKeepsEveryShardServed) {
  Harness harness(with_overlapping_cells(fleet_settings(), 10));
  std::vector<ServerEntry> servers, changes;
  for (int c = 0; c < 10; ++c) servers.push_back(Harness::server(100 + static_cast<ServerId>(c), c));
  harness.list_servers(0, servers);
  for (RequestId id = 1000; id < 1300; id += 10) {
    harness.submit(harness.now_ms + 50, id, "whole", 9);
    harness.feed(harness.now_ms + 50);
    harness.end_all_attempts(Outcome::ok);
  }
  const auto gone = [](ServerId id) { return id >= 104 && id < 110; };
  for (RequestId id = 2000; id < 2100; id += 10) {  // before the list reports it
    harness.submit(harness.now_ms + 300, id, "whole", 9);
    for (int tries = 0; tries < 4; ++tries)
      for (const Harness::Sent& sent : std::vector<Harness::Sent>(harness.sent))
        if (sent.in_flight && gone(sent.send.server))
          harness.end_attempt(harness.now_ms, sent.send.part, Outcome::connect_failed);
    harness.feed(harness.now_ms + 100);
    harness.end_all_attempts(Outcome::ok);
  }
  for (int c = 4; c < 10; ++c) {
    changes.push_back(Harness::server(100 + static_cast<ServerId>(c), c, 0, ServerState::removed));
    changes.push_back(Harness::server(200 + static_cast<ServerId>(c), c, harness.now_ms));
  }
  const double list_received_at = harness.now_ms;
  harness.list_servers(list_received_at, changes, ListKind::changes);
  int complete = 0;
  for (RequestId id = 3000; id < 3300; id += 10) {
    harness.submit(harness.now_ms + 500, id, "whole", 9);
    for (int i = 0; i < 20 && harness.result(id) == "-"; ++i) {
      harness.feed(harness.now_ms + 50);
      harness.end_all_attempts(Outcome::ok);
    }
    complete += harness.result(id) == "w";
  }
  EXPECT_GE(complete, 27);  // of 30
  const auto late = [&](const Harness::Sent& sent) {
    return sent.at_ms > list_received_at && gone(sent.send.server);
  };
  EXPECT_EQ(std::count_if(harness.sent.begin(), harness.sent.end(), late), 0);
}

// Start with a saved list: servers that are gone are dropped, and new ones are used, once the current list
// arrives.
TEST(Fleet, SavedServerListIsUsedUntilNewListArrives) {
  Settings settings = fleet_settings();
  settings.list_on_request = true;
  Harness harness(settings);
  harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 0)}, ListKind::saved);
  for (RequestId id = 10; id < 100; id += 10) {
    harness.submit(harness.now_ms + 300, id, "whole", 1);
    if (harness.last_server(id + 1) == 11)
      harness.end_attempt(harness.now_ms + 1, id + 1, Outcome::connect_failed);
    harness.end_attempt(harness.now_ms + 50, id + 1, Outcome::ok);
    EXPECT_EQ(harness.result(id), "w");
  }
  EXPECT_LE(harness.sent_count(11), 4);  // a refused connection is not retried at once
  const int before = harness.sent_count(11);
  harness.list_servers(harness.now_ms, {Harness::server(12, 0), Harness::server(13, 0)}, ListKind::complete);
  for (RequestId id = 200; id < 260; id += 10) harness.submit(harness.now_ms + 1, id, "whole", 1);
  EXPECT_EQ(harness.sent_count(11), before);
  EXPECT_GE(harness.sent_count(13), 2);
}
