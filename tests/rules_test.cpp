// SPDX-License-Identifier: MIT
// Tests of the contract's rules, with events that would lead a naive implementation to break them.
#include "fixture.h"

using namespace cottonbay;

namespace {
std::vector<ServerEntry> three_servers() {
  return {Harness::server(11, 0), Harness::server(12, 0), Harness::server(13, 0)};
}
}  // namespace

TEST(Rules, EveryQueryEndsOnceBeforeItExpires) {
  for (const char* class_name : {"whole", "part", "once", "keyed"}) {
    Harness harness;
    harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 1)});
    harness.submit(0, 1, class_name, 2, 3000);
    harness.feed(4000);
    EXPECT_EQ(harness.result(1).size(), 1u) << class_name;
    EXPECT_NE(harness.result(1), "-") << class_name;
    EXPECT_LE(harness.ended_at_ms(1), 3000) << class_name;
  }
}

TEST(Rules, QueryWithoutServersIsRefused) {
  Harness harness;
  harness.submit(0, 1, "whole", 3, 1000);
  harness.feed(1100);
  EXPECT_EQ(harness.result(1), "r");
}

TEST(Rules, QueryGivenUpEarlyIsRefusedAtOnceWithRetryDelay) {
  Harness harness;
  harness.list_servers(0, three_servers());
  harness.warm_up(10);
  harness.submit(harness.now_ms + 5, 1, "whole", 1);
  for (int i = 0; i < 3 && harness.result(1) == "-"; ++i)
    harness.end_attempt(harness.now_ms + 20, 2, Outcome::error);
  EXPECT_EQ(harness.result(1), "r");
  EXPECT_EQ(harness.ended_at_ms(1), harness.now_ms);  // not delayed until the client stops waiting
  const Refuse* refuse = nullptr;
  for (const auto& [at, action] : harness.action_log)
    if (std::holds_alternative<Refuse>(action)) refuse = &std::get<Refuse>(action);
  ASSERT_NE(refuse, nullptr);
  EXPECT_GT(refuse->retry_after_ms, 0);
  EXPECT_LE(refuse->retry_after_ms, 500);
}

TEST(Rules, WithdrawnQueryGetsNoAnswerAndNoAttempts) {
  Harness harness;
  harness.list_servers(0, three_servers());
  harness.submit(0, 1, "whole", 1);
  harness.feed(10, {QueryWithdrawn{1}});
  harness.feed(11, {QueryWithdrawn{1}, QueryWithdrawn{99}});
  const std::size_t before = harness.sent.size();
  harness.feed(7000);
  EXPECT_EQ(harness.result(1), "-");
  EXPECT_EQ(harness.sent.size(), before);
}

TEST(Rules, AtMostOncePartThatMayHaveRunFailsWithoutRetry) {
  for (const Outcome outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Harness harness;
    harness.list_servers(0, three_servers());
    harness.submit(0, 1, "once", 1, 3000);
    harness.end_attempt(20, 2, outcome);
    harness.feed(4000);
    EXPECT_EQ(harness.attempt_count(2), 1);
    EXPECT_EQ(harness.result(1), "f");
  }
}

TEST(Rules, AtMostOncePartThatHasNotRunIsRetried) {
  for (const Outcome outcome : {Outcome::full, Outcome::connect_failed}) {
    Harness harness;
    harness.list_servers(0, three_servers());
    harness.submit(0, 1, "once", 1, 3000);
    const ServerId first = harness.last_server(2);
    harness.end_attempt(20, 2, outcome);
    EXPECT_EQ(harness.attempt_count(2), 2);
    EXPECT_NE(harness.last_server(2), first);
  }
}

TEST(Rules, DeduplicatedPartIsRetriedOnlyWithinWindow) {
  Settings settings = make_settings();
  settings.classes[3].dedup_window_ms = 500;
  for (const double at : {400.0, 600.0}) {
    Harness harness(settings);
    harness.list_servers(0, three_servers());
    harness.submit(0, 1, "keyed", 1, 5000);
    harness.end_attempt(at, 2, Outcome::error);
    EXPECT_EQ(harness.attempt_count(2), at < 500 ? 2 : 1);
  }
}

TEST(Rules, AttemptsAreSequentialAndLimited) {
  Harness harness;
  harness.list_servers(0, three_servers());
  harness.submit(0, 1, "whole", 1);
  for (int i = 0; i < 3; ++i) {
    harness.feed(harness.now_ms + 300);
    int in_flight = 0;
    for (const auto& sent : harness.sent) in_flight += sent.send.part == 2 && sent.in_flight;
    EXPECT_LE(in_flight, 1);
    if (in_flight == 1) harness.end_attempt(harness.now_ms + 1, 2, Outcome::error);
  }
  harness.feed(7000);
  EXPECT_LE(harness.attempt_count(2), 3);
}

TEST(Rules, DrainingOrRemovedServerGetsNoNewParts) {
  for (const ServerState state : {ServerState::draining, ServerState::removed}) {
    Harness harness;
    harness.list_servers(0, three_servers());
    harness.list_servers(1, {Harness::server(11, 0, 0, state)}, ListKind::changes);
    harness.warm_up(20);
    EXPECT_EQ(harness.sent_count(11), 0);
  }
  Harness harness;
  harness.list_servers(0, three_servers());
  // A server that is missing from a complete list is removed.
  harness.list_servers(1, {Harness::server(12, 0), Harness::server(13, 0)});
  harness.warm_up(20);
  EXPECT_EQ(harness.sent_count(11), 0);
}

TEST(Rules, ColdServerGetsLimitedPartOfBurst) {
  Harness harness;
  harness.list_servers(0, three_servers());
  harness.warm_up(60, 50);
  const double start = harness.now_ms;
  harness.list_servers(start, {Harness::server(11, 0, start)}, ListKind::changes);
  // A burst of 100 parts at once goes to the two warm servers.
  for (RequestId i = 0; i < 100; ++i) harness.submit(start + 1, 5000 + 10 * i, "once", 1);
  int cold = 0;
  for (const auto& sent : harness.sent) cold += sent.at_ms > start && sent.send.server == 11;
  EXPECT_LE(cold, 2);
}

TEST(Rules, RestartedCoordinatorDoesNotOverloadColdServers) {
  Harness harness;
  harness.list_servers(100, {Harness::server(11, 0, 50), Harness::server(12, 0, 50)}, ListKind::saved);
  for (RequestId i = 0; i < 50; ++i) harness.submit(101, 5000 + 10 * i, "whole", 1);
  EXPECT_LE(harness.sent.size(), 4u);
}

TEST(Rules, AnswerNeedsMinFractionAndIncompleteAnswerIsPartial) {
  Harness harness;
  harness.list_servers(
      0, {Harness::server(11, 0), Harness::server(12, 1), Harness::server(13, 2), Harness::server(14, 3)});
  harness.submit(0, 1, "part", 4);
  harness.end_attempt(100, 2, Outcome::ok);
  harness.feed(5999);
  EXPECT_EQ(harness.result(1), "r");  // a quarter of the weight, but the minimum is a half
  Harness half;
  half.list_servers(
      0, {Harness::server(11, 0), Harness::server(12, 1), Harness::server(13, 2), Harness::server(14, 3)});
  half.submit(0, 10, "part", 4);
  for (RequestId p : {11, 12}) half.end_attempt(100, p, Outcome::ok);
  half.feed(2500);
  EXPECT_EQ(half.result(10), "p");
}

TEST(Rules, RepeatedAnswersOfPartCountOnce) {
  Harness harness;
  harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 1)});
  harness.submit(0, 1, "part", 2);
  AttemptEnded ok;
  ok.part = 2;
  ok.server = harness.last_server(2);
  ok.outcome = Outcome::ok;
  harness.feed(10, {ok, ok, ok});
  EXPECT_EQ(harness.result(1), "-");
}

TEST(Rules, ExtraAttemptsStayWithinRetryBudget) {
  Settings settings = make_settings();
  settings.retry_budget_limited = true;
  settings.retry_budget_min = 2;
  settings.retry_budget_ratio = 0;
  settings.retry_budget_window_ms = 10000;
  Harness harness(settings);
  harness.list_servers(0, three_servers());
  for (RequestId i = 0; i < 6; ++i) {
    harness.submit(10 + 1000 * static_cast<double>(i), 100 + 10 * i, "whole", 1);
    harness.end_attempt(harness.now_ms + 2, 101 + 10 * i, Outcome::full);
    harness.feed(harness.now_ms + 900);  // a full server is avoided for a while
  }
  EXPECT_EQ(harness.sent.size(), 6u + 2u);
}

TEST(Rules, SecondStepIsAnsweredSeparately) {
  Settings settings = make_settings();
  settings.classes[0].second_step_parts = 1;
  Harness harness(settings);
  harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 1)});
  harness.submit(0, 1, "whole", 2);
  for (RequestId p : {2, 3}) harness.end_attempt(100, p, Outcome::ok);
  EXPECT_EQ(harness.result(1), "w");
  harness.feed(105, {Harness::part(1, 50, 0, 1.0)});
  ASSERT_EQ(harness.attempt_count(50), 1);
  harness.end_attempt(200, 50, Outcome::ok);
  EXPECT_EQ(harness.result(1), "ww");
}

TEST(Rules, FailedSubscriptionIsRetriedWithGrowingDelays) {
  Settings settings = make_settings();
  settings.list_on_request = true;
  Harness harness(settings);
  harness.list_servers(0, three_servers(), ListKind::saved);
  EXPECT_EQ(harness.count<Subscribe>(), 1);
  const auto fail = [&harness](double at) {
    ServerListReceived failed;
    failed.kind = ListKind::failed;
    harness.feed(at, {failed});
  };
  double last = 0, gap = 0;
  for (int i = 0; i < 4; ++i) {
    const int before = harness.count<Subscribe>();
    const double failed_at = harness.now_ms + 10;
    fail(failed_at);
    while (harness.count<Subscribe>() == before &&
           harness.now_ms < failed_at + settings.list_request_interval_ms)
      harness.feed(harness.now_ms + 10);
    gap = harness.now_ms - failed_at;
    EXPECT_GT(gap, last * 0.99);
    EXPECT_LT(gap, settings.list_request_interval_ms / 2);
    last = gap * 0.6;
  }
}

TEST(Rules, InvalidSettingsGiveOneLineError) {
  std::string error;
  Settings settings;
  EXPECT_EQ(Balancer::create(settings, 1, error), nullptr);
  EXPECT_FALSE(error.empty());
  settings = make_settings();
  settings.cells_per_shard = 9;
  EXPECT_EQ(Balancer::create(settings, 1, error), nullptr);
  settings = make_settings();
  settings.classes[0].slo_ms = 0;
  EXPECT_EQ(Balancer::create(settings, 1, error), nullptr);
  EXPECT_EQ(error.find('\n'), std::string::npos);
}

// Sizes of a large installation: hundreds of servers, a hundred parts per query, many coordinators.
TEST(Rules, EveryQueryEndsOnceInLargeInstallation) {
  Settings settings = make_settings();
  settings.coordinators = 76;
  settings.cells = 150;
  settings.shards = 300;
  settings.cells_per_shard = 2;
  settings.parts_per_call = 16;
  Harness harness(settings);
  std::vector<ServerEntry> servers;
  for (ServerId id = 0; id < 600; ++id)
    servers.push_back(Harness::server(1000 + id, static_cast<int>(id % 150)));
  harness.list_servers(0, servers);
  const Outcome outcomes[] = {Outcome::ok, Outcome::timeout, Outcome::error, Outcome::full, Outcome::reset};
  for (RequestId i = 0; i < 40; ++i) {
    harness.submit(harness.now_ms + 200, 100000 + 1000 * i, i % 2 ? "whole" : "part", 100);
    harness.feed(harness.now_ms + 150);
    harness.end_all_attempts(outcomes[i % 5]);
  }
  harness.feed(harness.now_ms + 10000);
  for (RequestId i = 0; i < 40; ++i) EXPECT_EQ(harness.result(100000 + 1000 * i).size(), 1u);
  for (RequestId i = 0; i < 40; ++i) EXPECT_NE(harness.result(100000 + 1000 * i), "-");
}
