// SPDX-License-Identifier: MIT
// The phases of a query: as data with the clock in hand, and on sockets with nodes that freeze in the second.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "kelpdeal/phases/margin.h"
#include "kelpdeal/phases/plan.h"
#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;
using phases::MarginKeeper;
using phases::PhasePlan;
using Places = std::vector<std::size_t>;

const TimePoint kStart{1h};

TEST(PhasePlan, TheSecondPhaseAsksTheBestThatAreIn) {
  PhasePlan plan({2, true, 500ms}, kStart, kStart + 1s);
  plan.begin({4, 7, 1, 9}, kStart);
  EXPECT_FALSE(plan.keeps());
  EXPECT_TRUE(plan.take(1, 0, 3));
  EXPECT_TRUE(plan.take(1, 2, 3));
  EXPECT_TRUE(plan.take(1, 3, 1));
  EXPECT_FALSE(plan.take(1, 3, 9));  // at most one value a part
  EXPECT_FALSE(plan.take(1, 4, 9));
  EXPECT_EQ(plan.missing(), std::vector<int>{7});
  EXPECT_EQ(plan.advance(false, kStart + 50ms), (Places{2, 0}));  // of equal score the lowest shard
  EXPECT_EQ(plan.phase(), 2);
  EXPECT_FALSE(plan.first_whole());
  EXPECT_EQ(plan.from(), (std::vector<int>{1, 4, 9}));
  EXPECT_EQ(plan.holds(), 3u);
  EXPECT_FALSE(plan.take(1, 1, 9));  // too late for its phase
  EXPECT_TRUE(plan.take(2, 1, 9));
  EXPECT_EQ(plan.missing(), (std::vector<int>{7, 1}));
  EXPECT_TRUE(plan.advance(true, kStart + 60ms).empty());  // it was the last
  EXPECT_EQ(plan.phase(), 2);
}

TEST(PhasePlan, WithoutASecondPhaseTheFirstIsTheLast) {
  PhasePlan plan({0, true, 500ms}, kStart, kStart + 1s);
  plan.begin({1, 2}, kStart);
  plan.take(1, 0, 1);
  EXPECT_TRUE(plan.advance(true, kStart).empty());
  EXPECT_FALSE(plan.keeps());
  EXPECT_EQ(plan.until(10ms), kStart + 1s);
}

TEST(PhasePlan, ALaterPhaseEndsWhileTheKeptAnswerIsInTime) {
  struct Case {
    bool keeps;
    Duration second_begins, budget, until;
  };
  const Case cases[] = {
      {true, 100ms, 1000ms, 490ms},  // the aim, less the margin
      {true, 100ms, 300ms, 290ms},   // the client leaves before the aim
      {true, 475ms, 1000ms, 490ms},  // 5% of the time left
      {true, 495ms, 1000ms, 990ms},  // late in any case: there is all the time that the client has
      {true, 700ms, 1000ms, 990ms}, {false, 100ms, 1000ms, 1000ms},  // nothing kept: as the module decides
  };
  for (const Case& c : cases) {
    PhasePlan plan({1, c.keeps, 500ms}, kStart, kStart + c.budget);
    plan.begin({1, 2}, kStart);
    plan.take(1, 0, 1);
    EXPECT_EQ(plan.until(10ms), kStart + c.budget);  // the first phase is the module's
    plan.advance(true, kStart + c.second_begins);
    EXPECT_EQ(plan.until(10ms) - kStart, c.until);
  }
}

TEST(MarginKeeper, FollowsWhatAnswersTakeWithinItsBounds) {
  MarginKeeper keeper({10ms, 2ms, 100ms});
  EXPECT_EQ(keeper.margin(), 10ms);
  for (int i = 0; i < 200; ++i) keeper.observe(8ms);
  EXPECT_GE(keeper.margin(), 8ms);
  EXPECT_LE(keeper.margin(), 9ms);
  for (int i = 0; i < 200; ++i) keeper.observe(i % 2 ? 20ms : 40ms);
  EXPECT_GE(keeper.margin(), 40ms);  // the slow ones are in it
  for (int i = 0; i < 50; ++i) keeper.observe(3s);
  EXPECT_EQ(keeper.margin(), 100ms);
  for (int i = 0; i < 200; ++i) keeper.observe(0ms);
  EXPECT_EQ(keeper.margin(), 2ms);
}

// `area-report` through the search front: five slices, then the best two once more; aim 500 ms.
class TwoPhases : public testing::TestWithParam<Api> {
 protected:
  ClusterOptions options{Api::opensearch, GetParam()};
  static bool second(const ReceivedPart& part) { return part.id.ends_with(".phase2"); }
  static NodeReply with_score(const ReceivedPart& part) {
    return {NodeReply::Kind::serve, 10.0 + part.shard, {}};
  }
  // All nodes stand still for what `frozen` says, and serve the rest.
  static void freeze(TestCluster& world, const std::function<bool(const ReceivedPart&)>& frozen) {
    for (auto& node : world.nodes)
      node->on_part = [frozen](const ReceivedPart& part) {
        return frozen(part) ? NodeReply{NodeReply::Kind::silent} : with_score(part);
      };
  }
};

TEST_P(TwoPhases, WhatTheFirstFoundGoesOutInTimeWhereEveryNodeFreezesInTheSecond) {
  struct Case {
    NodeReply::Kind kind;
    Duration after;
  };
  const Case cases[] = {{NodeReply::Kind::silent, 0ms},   // for good
                        {NodeReply::Kind::serve, 900ms},  // answers after the kept answer went out
                        {NodeReply::Kind::error, 0ms},
                        {NodeReply::Kind::reset, 0ms}};
  for (const Case& c : cases) {
    TestCluster world(options);
    for (auto& node : world.nodes)
      node->on_part = [&](const ReceivedPart& part) {
        return second(part) ? NodeReply{c.kind, 1, c.after} : with_score(part);
      };
    world.start();
    world.run([&]() -> Task<void> {
      for (int i = 0; i < 2; ++i) {
        const TimePoint start = Clock::now();
        const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1100ms);
        EXPECT_EQ(result.kind, "answered");
        EXPECT_FALSE(result.whole);
        EXPECT_EQ(result.hits.size(), 5u);
        EXPECT_LE(Clock::now() - start, 600ms);
      }
      co_await world.pause(600ms);
      EXPECT_EQ(world.gateway->metrics().value("queries.kept_first"), 2u);
      EXPECT_EQ(world.gateway->metrics().value("queries.answered_partial"), 2u);
      EXPECT_EQ(world.gateway->metrics().value("queries.failed"), 0u);
    }());
  }
}

// Of the second's two parts one comes: its value must not have taken the place of what the first found.
TEST_P(TwoPhases, HalfASecondPhaseTakesNothingFromTheFirst) {
  TestCluster world(options);
  freeze(world, [](const ReceivedPart& part) { return second(part) && part.shard == 3; });
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1100ms);
    EXPECT_EQ(result.kind, "answered");
    EXPECT_FALSE(result.whole);
    EXPECT_EQ(result.hits.size(), 5u);
  }());
}

TEST_P(TwoPhases, AnAnswerThatTheFirstHadNotIsNotMadeUp) {
  TestCluster world(options);
  freeze(world, [](const ReceivedPart& part) { return part.shard >= 3 || second(part); });
  world.start();
  world.run([&]() -> Task<void> {  // three of five are under its floor
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 700ms);
    EXPECT_NE(result.kind, "answered");
    EXPECT_EQ(world.gateway->metrics().value("queries.kept_first"), 0u);
  }());
}

TEST_P(TwoPhases, AClientThatLeavesBetweenThePhasesEndsItsQuery) {
  TestCluster world(options);
  bool in_second = false;
  freeze(world, [&](const ReceivedPart& part) {
    in_second |= second(part);
    return second(part);
  });
  world.start();
  world.run([&]() -> Task<void> {
    {
      const auto stream =
          co_await connect(world.scheduler, *Address::parse(world.front_address()), Clock::now() + 1s);
      co_await stream->write_all(http::write(world.request("area-report", "0,1,2,3,4", 1100ms, "k1")));
      while (!in_second) co_await world.pause(1ms);
    }
    co_await world.pause(100ms);
    EXPECT_EQ(world.gateway->metrics().value("queries.withdrawn"), 1u);
    EXPECT_EQ(world.gateway->metrics().value("queries.kept_first"), 0u);
  }());
}

TEST_P(TwoPhases, OnThePlatformsFrontASecondStepIsAsItWas) {
  options.front = Api::platform;
  TestCluster world(options);
  freeze(world, second);
  world.start();
  world.run([&]() -> Task<void> {
    EXPECT_EQ((co_await world.ask("area-report", "0,1,2,3,4", 700ms)).kind, "failed");
    EXPECT_EQ(world.gateway->metrics().value("queries.kept_first"), 0u);
  }());
}

TEST_P(TwoPhases, ANodeThatDrainsBetweenThePhasesIsNotAskedInTheSecond) {
  TestCluster world(options);
  bool drained = false;
  for (auto& node : world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      if (second(part) || drained) return with_score(part);
      // The list says so while the first phase still waits for its last parts.
      drained = true;
      world.discovery->set("n1", world.nodes[1]->address(), 1, "terminating");
      return NodeReply{NodeReply::Kind::serve, 10.0 + part.shard, 80ms};
    };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1100ms);
    EXPECT_EQ(result.kind, "answered");
    EXPECT_TRUE(result.whole);
    std::size_t seconds = 0;
    for (const ReceivedPart& part : world.nodes[1]->received) seconds += second(part);
    EXPECT_EQ(seconds, 0u);  // nothing of the second phase goes to the one that drains
  }());
}

// Nodes that stand still for 120 to 500 ms every second or so, by a fixed seed, in both phases. Whatever the
// first phase had in time is answered, no answer is under the floor, and none is marked whole that is not.
TEST_P(TwoPhases, FreezingNodesCostNoAnswerThatTheFirstHeld) {
  TestCluster world(options);
  std::mt19937 random(20261201);
  struct Known {
    std::map<int, TimePoint> first, second;  // by slice, when its answer leaves the node
  };
  std::map<std::string, Known> known;  // by what the query asks for
  std::map<const FakeNode*, std::pair<TimePoint, TimePoint>> freezes;
  for (auto& node : world.nodes)
    node->on_part = [&, self = node.get()](const ReceivedPart& part) {
      auto& [from, to] = freezes[self];
      while (to < part.received_at) {
        from = std::max(to, part.received_at) + Milliseconds(random() % 1000);
        to = from + Milliseconds(120 + random() % 380);
      }
      NodeReply answer = with_score(part);
      if (from <= part.received_at) answer.delay = to - part.received_at;
      const std::size_t at = part.text.find("\"n\":");
      Known& of = known[part.text.substr(at, part.text.find('}', at) - at)];
      TimePoint& out = (second(part) ? of.second : of.first).try_emplace(part.shard, kNever).first->second;
      out = std::min(out, part.received_at + answer.delay);
      return answer;
    };
  world.start();
  int answered = 0, kept = 0, lost = 0, all = 0;
  const auto ask = [&](int n) -> Task<void> {
    http::Request request = world.request("area-report", "0,1,2,3,4", 1100ms, "");
    request.body = "{\"query\":{\"term\":{\"n\":" + std::to_string(n) + "}}}";
    const TimePoint start = Clock::now();
    const http::Response response = co_await world.send(world.front_address(), std::move(request));
    EXPECT_LE(Clock::now() - start, 2500ms);
    ++all;
    const Known& of = known["\"n\":" + std::to_string(n)];
    if (response.status == 200) {
      ++answered;
      const json::Value body = body_of(response);
      const bool whole = !body.flag_or("timed_out", true);
      const auto hits = body.at("hits.hits")->array()->size();
      if (whole) {
        EXPECT_EQ(hits, 2u);  // those of the second phase
        EXPECT_EQ(of.second.size(), 2u);
      } else {
        // The first's, at its floor; or the second's, where the first was partial.
        EXPECT_TRUE(hits >= 4 || (hits == 2 && of.second.size() == 2)) << hits;
        kept += hits >= 4;
      }
    } else if (of.first.size() == 5) {
      TimePoint last{};
      for (const auto& [slice, out] : of.first) last = std::max(last, out);
      lost += last < start + 600ms;
    }
  };
  world.run([&]() -> Task<void> {
    for (int n = 0; n < 200; ++n) {
      world.scheduler.spawn(ask(n));
      co_await world.pause(40ms);
    }
    while (all < 200) co_await world.pause(10ms);
    EXPECT_EQ(lost, 0);
    EXPECT_GE(answered, 1);
  }());
  std::printf("%d answered, %d of them by the first phase alone, %d had all of it and no answer\n", answered,
              kept, lost);
}

INSTANTIATE_TEST_SUITE_P(Nodes, TwoPhases, testing::Values(Api::platform, Api::opensearch), node_api_name);

}  // namespace
}  // namespace kelpdeal::test
