// SPDX-License-Identifier: MIT
// What a connect that fails tells, with the clock in hand; and on sockets, a node whose table is full.
#include "kelpdeal/connect_backoff.h"

#include <gtest/gtest.h>

#include <set>

#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using cottonbay::Outcome;
using namespace std::chrono_literals;

const TimePoint kStart{1h};

TEST(ConnectBackoff, ARefusalIsNoVerdictWhereAnotherConnectionIsUp) {
  ConnectBackoff pace({}, 7);
  EXPECT_EQ(pace.failed(1, 1ms, kStart), Outcome::full);
  EXPECT_EQ(pace.failed(0, 1ms, kStart), Outcome::connect_failed);
  // One that vanished leaves its connections up, and a new one never comes up.
  EXPECT_EQ(pace.failed(1, 250ms, kStart), Outcome::connect_failed);
}

TEST(ConnectBackoff, AFurtherConnectionIsTriedAfterAPauseThatGrowsAndDiffers) {
  std::set<Duration> pauses;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ConnectBackoff::Bounds bounds;
    bounds.seed = seed;
    ConnectBackoff pace(bounds, 7);
    TimePoint now = kStart;
    Duration span = bounds.least;
    for (int failures = 0; failures < 10; ++failures) {
      pace.failed(1, 1ms, now);
      EXPECT_TRUE(pace.may_open(0, now));  // whether a node is tried at all is the module's to say
      EXPECT_FALSE(pace.may_open(1, now + span / 2 - 1ms));
      EXPECT_TRUE(pace.may_open(1, now + span));
      TimePoint first = now;
      while (!pace.may_open(1, first)) first += 1ms;
      if (failures == 0) pauses.insert(first - now);
      now += span;
      span = std::min(2 * span, bounds.most);
    }
    pace.opened();
    pace.failed(1, 1ms, now);
    EXPECT_TRUE(pace.may_open(1, now + bounds.least));
  }
  EXPECT_GE(pauses.size(), 20u);  // of 50 pauses of 50 to 100 ms, in whole milliseconds
}

class Connections : public testing::TestWithParam<Api> {};

// One part at a time on a connection, so that two at once want two; the table of the first node holds one.
TEST_P(Connections, AFullTableCostsANodeNoTrustAndOneConnectionServesOn) {
  ClusterOptions narrow{Api::platform, GetParam()};
  narrow.node_count = 2;
  narrow.adjust = [](Limits& limits) { limits.parts_per_connection = 1; };
  TestCluster world(narrow);
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::serve, 1, 60ms}; };
  world.start();
  world.run([&]() -> Task<void> {
    FakeNode& node = *world.nodes[0];
    while (node.connections == 0) co_await world.ask("equipment-search", "0", 1s);
    node.stop();
    int answered = 0;
    const auto ask = [&]() -> Task<void> {
      answered += (co_await world.ask("equipment-search", "0", 900ms)).kind == "answered";
    };
    for (int i = 0; i < 12; ++i) {
      world.scheduler.spawn(ask());
      co_await world.pause(15ms);  // so that no two share a call
    }
    co_await world.pause(1s);
    const Metrics& metrics = world.gateway->metrics();
    EXPECT_EQ(answered, 12);
    EXPECT_EQ(node.connections, 1u);
    EXPECT_EQ(metrics.value("node.connect_failed"), 0u);
    EXPECT_GE(metrics.value("node.connect_turned_away"), 1u);
    EXPECT_LE(metrics.value("node.connect_turned_away"), 4u);
    EXPECT_EQ(metrics.value("attempts.connect_failed"), 0u);
  }());
}

TEST_P(Connections, AHandshakeIsNotPaidForEachPartAndAnIdleConnectionIsGivenBack) {
  ClusterOptions one{Api::platform, GetParam()};
  one.node_count = 1;
  one.adjust = [](Limits& limits) { limits.node_idle = 200ms; };
  TestCluster world(one);
  world.start();
  world.run([&]() -> Task<void> {
    for (int i = 0; i < 5; ++i) co_await world.ask("equipment-search", "0,1", 1s);
    EXPECT_EQ(world.nodes[0]->connections, 1u);
    EXPECT_EQ(world.nodes[0]->ended, 0u);
    co_await world.pause(600ms);
    EXPECT_EQ(world.nodes[0]->ended, 1u);
    EXPECT_EQ((co_await world.ask("equipment-search", "0,1", 1s)).kind, "answered");
  }());
}

INSTANTIATE_TEST_SUITE_P(Nodes, Connections, testing::Values(Api::platform, Api::opensearch), node_api_name);

}  // namespace
}  // namespace kelpdeal::test
