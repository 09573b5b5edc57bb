// SPDX-License-Identifier: MIT
// Backoff of connects to record nodes: the class itself with simulated time, and both transports on sockets
// against a node whose connection table is full.
#include "kelpdeal/connect_backoff.h"

#include <gtest/gtest.h>

#include <set>

#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using cottonbay::Outcome;
using namespace std::chrono_literals;

const TimePoint kStart{1h};

TEST(ConnectBackoff, RefusalBesideEstablishedConnectionCountsAsFull) {
  ConnectBackoff backoff({}, 7);
  EXPECT_EQ(backoff.on_failure(1, 1ms, kStart), Outcome::full);
  EXPECT_EQ(backoff.on_failure(0, 1ms, kStart), Outcome::connect_failed);
  // A machine that went down: its connections still look established, and a new connect times out.
  EXPECT_EQ(backoff.on_failure(1, 250ms, kStart), Outcome::connect_failed);
}

TEST(ConnectBackoff, RetryIntervalGrowsAndIsRandomized) {
  std::set<Duration> delays;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ConnectBackoff::Bounds bounds;
    bounds.seed = seed;
    ConnectBackoff backoff(bounds, 7);
    TimePoint now = kStart;
    Duration interval = bounds.min_interval;
    for (int failures = 0; failures < 10; ++failures) {
      backoff.on_failure(1, 1ms, now);
      EXPECT_TRUE(backoff.may_open(0, now));  // a first connection is always allowed
      EXPECT_FALSE(backoff.may_open(1, now + interval / 2 - 1ms));
      EXPECT_TRUE(backoff.may_open(1, now + interval));
      TimePoint first = now;
      while (!backoff.may_open(1, first)) first += 1ms;
      if (failures == 0) delays.insert(first - now);
      now += interval;
      interval = std::min(2 * interval, bounds.max_interval);
    }
    backoff.on_success();
    backoff.on_failure(1, 1ms, now);
    EXPECT_TRUE(backoff.may_open(1, now + bounds.min_interval));
  }
  EXPECT_GE(delays.size(), 20u);  // of 50 pauses of 50 to 100 ms, in whole milliseconds
}

class Connections : public testing::TestWithParam<Api> {};

// With one part per connection, two parts at the same time need two connections, but the first node accepts
// only one. Its refusals must not count as failures of the node.
TEST_P(Connections, FullTableIsNoNodeFailureAndExistingConnectionServes) {
  ClusterOptions narrow{Api::platform, GetParam()};
  narrow.node_count = 2;
  narrow.adjust = [](Limits& limits) { limits.parts_per_connection = 1; };
  TestCluster cluster(narrow);
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::serve, 1, 60ms}; };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    FakeNode& node = *cluster.nodes[0];
    while (node.connections == 0) co_await cluster.ask("equipment-search", "0", 1s);
    node.refuse_connections();
    int answered = 0;
    const auto ask = [&]() -> Task<void> {
      answered += (co_await cluster.ask("equipment-search", "0", 900ms)).kind == "answered";
    };
    for (int i = 0; i < 12; ++i) {
      cluster.scheduler.spawn(ask());
      co_await cluster.pause(15ms);  // so that no two parts are sent in one call
    }
    co_await cluster.pause(1s);
    const Metrics& metrics = cluster.gateway->metrics();
    EXPECT_EQ(answered, 12);
    EXPECT_EQ(node.connections, 1u);
    EXPECT_EQ(metrics.value("node.connect_failed"), 0u);
    EXPECT_GE(metrics.value("node.connect_turned_away"), 1u);
    EXPECT_LE(metrics.value("node.connect_turned_away"), 4u);
    EXPECT_EQ(metrics.value("attempts.connect_failed"), 0u);
  }());
}

TEST_P(Connections, ConnectionIsReusedAndClosedAfterIdleTime) {
  ClusterOptions one{Api::platform, GetParam()};
  one.node_count = 1;
  one.adjust = [](Limits& limits) { limits.node_idle_timeout = 200ms; };
  TestCluster cluster(one);
  cluster.start();
  cluster.run([&]() -> Task<void> {
    for (int i = 0; i < 5; ++i) co_await cluster.ask("equipment-search", "0,1", 1s);
    EXPECT_EQ(cluster.nodes[0]->connections, 1u);
    EXPECT_EQ(cluster.nodes[0]->connections_closed, 0u);
    co_await cluster.pause(600ms);
    EXPECT_EQ(cluster.nodes[0]->connections_closed, 1u);
    EXPECT_EQ((co_await cluster.ask("equipment-search", "0,1", 1s)).kind, "answered");
  }());
}

INSTANTIATE_TEST_SUITE_P(Nodes, Connections, testing::Values(Api::platform, Api::opensearch), node_api_name);

}  // namespace
}  // namespace kelpdeal::test
