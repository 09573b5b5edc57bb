// SPDX-License-Identifier: MIT
// The phases of a query: the plan and the margin with simulated time, and whole queries over sockets with
// nodes that stall in the second phase.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "kelpdeal/phases/margin.h"
#include "kelpdeal/phases/plan.h"
#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;
using phases::MarginEstimator;
using phases::PhasePlan;
using Indices = std::vector<std::size_t>;

const TimePoint kStart{1h};

TEST(PhasePlan, SecondPhaseRepeatsTheBestReceivedParts) {
  PhasePlan plan({2, true, 500ms}, kStart, kStart + 1s);
  plan.begin_phase({4, 7, 1, 9}, kStart);
  EXPECT_FALSE(plan.has_fallback_answer());
  EXPECT_TRUE(plan.record_part(1, 0, 3));
  EXPECT_TRUE(plan.record_part(1, 2, 3));
  EXPECT_TRUE(plan.record_part(1, 3, 1));
  EXPECT_FALSE(plan.record_part(1, 3, 9));  // at most one value per part
  EXPECT_FALSE(plan.record_part(1, 4, 9));
  EXPECT_EQ(plan.missing(), std::vector<int>{7});
  EXPECT_EQ(plan.advance(false, kStart + 50ms), (Indices{2, 0}));  // equal scores: the lowest shard first
  EXPECT_EQ(plan.phase(), 2);
  EXPECT_FALSE(plan.first_whole());
  EXPECT_EQ(plan.first_phase_shards(), (std::vector<int>{1, 4, 9}));
  EXPECT_EQ(plan.open_count(), 3u);
  EXPECT_FALSE(plan.record_part(1, 1, 9));  // its phase is over
  EXPECT_TRUE(plan.record_part(2, 1, 9));
  EXPECT_EQ(plan.missing(), (std::vector<int>{7, 1}));
  EXPECT_TRUE(plan.advance(true, kStart + 60ms).empty());  // that was the last phase
  EXPECT_EQ(plan.phase(), 2);
}

TEST(PhasePlan, EndsAfterTheFirstPhaseWithoutASecond) {
  PhasePlan plan({0, true, 500ms}, kStart, kStart + 1s);
  plan.begin_phase({1, 2}, kStart);
  plan.record_part(1, 0, 1);
  EXPECT_TRUE(plan.advance(true, kStart).empty());
  EXPECT_FALSE(plan.has_fallback_answer());
  EXPECT_EQ(plan.deadline(10ms), kStart + 1s);
}

TEST(PhasePlan, SecondPhaseEndsWhileTheFallbackAnswerIsInTime) {
  struct Case {
    bool keep_first_answer;
    Duration second_begins, budget, deadline;
  };
  const Case cases[] = {
      {true, 100ms, 1000ms, 490ms},  // the SLO, less the margin
      {true, 100ms, 300ms, 290ms},   // the client stops waiting before the SLO
      {true, 475ms, 1000ms, 490ms},  // 5% of the time left
      {true, 495ms, 1000ms, 990ms},  // late in any case: use all of the client's time
      {true, 700ms, 1000ms, 990ms}, {false, 100ms, 1000ms, 1000ms},  // no fallback: the module decides
  };
  for (const Case& c : cases) {
    PhasePlan plan({1, c.keep_first_answer, 500ms}, kStart, kStart + c.budget);
    plan.begin_phase({1, 2}, kStart);
    plan.record_part(1, 0, 1);
    EXPECT_EQ(plan.deadline(10ms), kStart + c.budget);  // the module decides about the first phase
    plan.advance(true, kStart + c.second_begins);
    EXPECT_EQ(plan.deadline(10ms) - kStart, c.deadline);
  }
}

TEST(MarginEstimator, FollowsObservedTimesWithinItsBounds) {
  MarginEstimator estimator({10ms, 2ms, 100ms});
  EXPECT_EQ(estimator.margin(), 10ms);
  for (int i = 0; i < 200; ++i) estimator.observe(8ms);
  EXPECT_GE(estimator.margin(), 8ms);
  EXPECT_LE(estimator.margin(), 9ms);
  for (int i = 0; i < 200; ++i) estimator.observe(i % 2 ? 20ms : 40ms);
  EXPECT_GE(estimator.margin(), 40ms);  // covers the slow ones
  for (int i = 0; i < 50; ++i) estimator.observe(3s);
  EXPECT_EQ(estimator.margin(), 100ms);
  for (int i = 0; i < 200; ++i) estimator.observe(0ms);
  EXPECT_EQ(estimator.margin(), 2ms);
}

// `area-report` through the search front: five slices, then the best two again; target latency 500 ms.
class TwoPhases : public testing::TestWithParam<Api> {
 protected:
  ClusterOptions options{Api::opensearch, GetParam()};
  static bool second(const ReceivedPart& part) { return part.id.ends_with(".phase2"); }
  static NodeReply with_score(const ReceivedPart& part) {
    return {NodeReply::Kind::serve, 10.0 + part.shard, {}};
  }
  // All nodes ignore the parts that `ignored` selects and serve the others.
  static void ignore_parts(TestCluster& world, const std::function<bool(const ReceivedPart&)>& ignored) {
    for (auto& node : world.nodes)
      node->on_part = [ignored](const ReceivedPart& part) {
        return ignored(part) ? NodeReply{NodeReply::Kind::silent} : with_score(part);
      };
  }
};

TEST_P(TwoPhases, FirstAnswerIsReturnedInTimeIfTheSecondPhaseFails) {
  struct Case {
    NodeReply::Kind kind;
    Duration after;
  };
  const Case cases[] = {{NodeReply::Kind::silent, 0ms},   // never answers
                        {NodeReply::Kind::serve, 900ms},  // answers after the first phase's answer was sent
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

// Only one of the second phase's two parts arrives: its value must not replace the first phase's results.
TEST_P(TwoPhases, IncompleteSecondPhaseKeepsTheFirstResults) {
  TestCluster world(options);
  ignore_parts(world, [](const ReceivedPart& part) { return second(part) && part.shard == 3; });
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1100ms);
    EXPECT_EQ(result.kind, "answered");
    EXPECT_FALSE(result.whole);
    EXPECT_EQ(result.hits.size(), 5u);
  }());
}

TEST_P(TwoPhases, FirstPhaseBelowItsFloorGivesNoAnswer) {
  TestCluster world(options);
  ignore_parts(world, [](const ReceivedPart& part) { return part.shard >= 3 || second(part); });
  world.start();
  world.run([&]() -> Task<void> {  // three of five parts are below the floor
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 700ms);
    EXPECT_NE(result.kind, "answered");
    EXPECT_EQ(world.gateway->metrics().value("queries.kept_first"), 0u);
  }());
}

TEST_P(TwoPhases, ClientDisconnectDuringTheSecondPhaseEndsTheQuery) {
  TestCluster world(options);
  bool in_second = false;
  ignore_parts(world, [&](const ReceivedPart& part) {
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

TEST_P(TwoPhases, PlatformFrontKeepsNoFirstAnswer) {
  options.front = Api::platform;
  TestCluster world(options);
  ignore_parts(world, second);
  world.start();
  world.run([&]() -> Task<void> {
    EXPECT_EQ((co_await world.ask("area-report", "0,1,2,3,4", 700ms)).kind, "failed");
    EXPECT_EQ(world.gateway->metrics().value("queries.kept_first"), 0u);
  }());
}

TEST_P(TwoPhases, DrainingNodeGetsNoSecondPhaseParts) {
  TestCluster world(options);
  bool drained = false;
  for (auto& node : world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      if (second(part) || drained) return with_score(part);
      // The node list changes while the first phase still waits for its last parts.
      drained = true;
      world.discovery->set("n1", world.nodes[1]->address(), 1, "terminating");
      return NodeReply{NodeReply::Kind::serve, 10.0 + part.shard, 80ms};
    };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1100ms);
    EXPECT_EQ(result.kind, "answered");
    EXPECT_TRUE(result.whole);
    std::size_t second_phase_parts = 0;
    for (const ReceivedPart& part : world.nodes[1]->received) second_phase_parts += second(part);
    EXPECT_EQ(second_phase_parts, 0u);  // the draining node gets no part of the second phase
  }());
}

// Nodes stall for 120 to 500 ms about once per second, in both phases, with a fixed seed. Every first phase
// that was complete in time is answered, no answer is below the floor, and no incomplete answer is marked
// whole.
TEST_P(TwoPhases, StallingNodesLoseNoCompleteFirstAnswer) {
  TestCluster world(options);
  std::mt19937 random(20261201);
  struct SentAnswers {
    std::map<int, TimePoint> first, second;  // by slice: when its answer leaves the node
  };
  std::map<std::string, SentAnswers> sent_answers;  // by the query's search term
  std::map<const FakeNode*, std::pair<TimePoint, TimePoint>> stalls;
  for (auto& node : world.nodes)
    node->on_part = [&, self = node.get()](const ReceivedPart& part) {
      auto& [from, to] = stalls[self];
      while (to < part.received_at) {
        from = std::max(to, part.received_at) + Milliseconds(random() % 1000);
        to = from + Milliseconds(120 + random() % 380);
      }
      NodeReply answer = with_score(part);
      if (from <= part.received_at) answer.delay = to - part.received_at;
      const std::size_t at = part.text.find("\"n\":");
      SentAnswers& answers = sent_answers[part.text.substr(at, part.text.find('}', at) - at)];
      TimePoint& sent_at =
          (second(part) ? answers.second : answers.first).try_emplace(part.shard, kNever).first->second;
      sent_at = std::min(sent_at, part.received_at + answer.delay);
      return answer;
    };
  world.start();
  int answered = 0, first_phase_only = 0, lost = 0, finished = 0;
  const auto ask = [&](int n) -> Task<void> {
    http::Request request = world.request("area-report", "0,1,2,3,4", 1100ms, "");
    request.body = "{\"query\":{\"term\":{\"n\":" + std::to_string(n) + "}}}";
    const TimePoint start = Clock::now();
    const http::Response response = co_await world.send(world.front_address(), std::move(request));
    EXPECT_LE(Clock::now() - start, 2500ms);
    ++finished;
    const SentAnswers& answers = sent_answers["\"n\":" + std::to_string(n)];
    if (response.status == 200) {
      ++answered;
      const json::Value body = body_of(response);
      const bool whole = !body.flag_or("timed_out", true);
      const auto hits = body.at("hits.hits")->array()->size();
      if (whole) {
        EXPECT_EQ(hits, 2u);  // those of the second phase
        EXPECT_EQ(answers.second.size(), 2u);
      } else {
        // The first phase's hits, at its floor; or the second phase's, if the first was partial.
        EXPECT_TRUE(hits >= 4 || (hits == 2 && answers.second.size() == 2)) << hits;
        first_phase_only += hits >= 4;
      }
    } else if (answers.first.size() == 5) {
      TimePoint last{};
      for (const auto& [slice, sent_at] : answers.first) last = std::max(last, sent_at);
      lost += last < start + 600ms;
    }
  };
  world.run([&]() -> Task<void> {
    for (int n = 0; n < 200; ++n) {
      world.scheduler.spawn(ask(n));
      co_await world.pause(40ms);
    }
    while (finished < 200) co_await world.pause(10ms);
    EXPECT_EQ(lost, 0);
    EXPECT_GE(answered, 1);
  }());
  std::printf(
      "%d answered, %d of them by the first phase alone, %d complete first phases without an answer\n",
      answered, first_phase_only, lost);
}

INSTANTIATE_TEST_SUITE_P(Nodes, TwoPhases, testing::Values(Api::platform, Api::opensearch), node_api_name);

}  // namespace
}  // namespace kelpdeal::test
