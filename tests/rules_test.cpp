// SPDX-License-Identifier: MIT
// Each rule of the contract, by events that would tempt a breach.
#include "fixture.h"

using namespace cottonbay;

namespace {
std::vector<ServerEntry> three() { return {Host::server(11, 0), Host::server(12, 0), Host::server(13, 0)}; }
}  // namespace

TEST(Rules, EveryQueryEndsOnceBeforeItsClientLeaves) {
  for (const char* cls : {"whole", "part", "once", "keyed"}) {
    Host host;
    host.list(0, {Host::server(11, 0), Host::server(12, 1)});
    host.ask(0, 1, cls, 2, 3000);
    host.feed(4000);
    EXPECT_EQ(host.ended(1).size(), 1u) << cls;
    EXPECT_NE(host.ended(1), "-") << cls;
    EXPECT_LE(host.ended_at(1), 3000) << cls;
  }
}

TEST(Rules, AQueryWithoutAnyServerEndsToo) {
  Host host;
  host.ask(0, 1, "whole", 3, 1000);
  host.feed(1100);
  EXPECT_EQ(host.ended(1), "r");
}

TEST(Rules, AQueryGivenUpEarlyIsAnsweredAtOnceAndSaysWhenToComeBack) {
  Host host;
  host.list(0, three());
  host.warm_up(10);
  host.ask(host.now + 5, 1, "whole", 1);
  for (int i = 0; i < 3 && host.ended(1) == "-"; ++i) host.ends(host.now + 20, 2, Outcome::error);
  EXPECT_EQ(host.ended(1), "r");
  EXPECT_EQ(host.ended_at(1), host.now);  // not held back to its client's end
  const Refuse* refuse = nullptr;
  for (const auto& [at, action] : host.log)
    if (std::holds_alternative<Refuse>(action)) refuse = &std::get<Refuse>(action);
  ASSERT_NE(refuse, nullptr);
  EXPECT_GT(refuse->retry_after_ms, 0);
  EXPECT_LE(refuse->retry_after_ms, 500);
}

TEST(Rules, AWithdrawnQueryGetsNoAnswerAndNoSends) {
  Host host;
  host.list(0, three());
  host.ask(0, 1, "whole", 1);
  host.feed(10, {QueryWithdrawn{1}});
  host.feed(11, {QueryWithdrawn{1}, QueryWithdrawn{99}});
  const std::size_t before = host.sent.size();
  host.feed(7000);
  EXPECT_EQ(host.ended(1), "-");
  EXPECT_EQ(host.sent.size(), before);
}

TEST(Rules, AnUnsafePartThatMayHaveRunIsNeitherRepeatedNorRefused) {
  for (const Outcome outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Host host;
    host.list(0, three());
    host.ask(0, 1, "once", 1, 3000);
    host.ends(20, 2, outcome);
    host.feed(4000);
    EXPECT_EQ(host.attempts(2), 1);
    EXPECT_EQ(host.ended(1), "f");
  }
}

TEST(Rules, AnUnsafePartProvedNotToHaveRunIsSentAgain) {
  for (const Outcome outcome : {Outcome::full, Outcome::connect_failed}) {
    Host host;
    host.list(0, three());
    host.ask(0, 1, "once", 1, 3000);
    const ServerId first = host.last_server(2);
    host.ends(20, 2, outcome);
    EXPECT_EQ(host.attempts(2), 2);
    EXPECT_NE(host.last_server(2), first);
  }
}

TEST(Rules, AKeyedPartIsRepeatedOnlyWithinItsWindow) {
  Settings s = make_settings();
  s.classes[3].dedup_window_ms = 500;
  for (const double at : {400.0, 600.0}) {
    Host host(s);
    host.list(0, three());
    host.ask(0, 1, "keyed", 1, 5000);
    host.ends(at, 2, Outcome::error);
    EXPECT_EQ(host.attempts(2), at < 500 ? 2 : 1);
  }
}

TEST(Rules, NoMoreAttemptsThanAllowedAndNeverTwoAtOnce) {
  Host host;
  host.list(0, three());
  host.ask(0, 1, "whole", 1);
  for (int i = 0; i < 3; ++i) {
    host.feed(host.now + 300);
    int out = 0;
    for (const auto& sent : host.sent) out += sent.send.part == 2 && sent.out;
    EXPECT_LE(out, 1);
    if (out == 1) host.ends(host.now + 1, 2, Outcome::error);
  }
  host.feed(7000);
  EXPECT_LE(host.attempts(2), 3);
}

TEST(Rules, NothingNewGoesToADrainingOrRemovedServer) {
  for (const ServerState state : {ServerState::draining, ServerState::removed}) {
    Host host;
    host.list(0, three());
    host.list(1, {Host::server(11, 0, 0, state)}, ListKind::changes);
    host.warm_up(20);
    EXPECT_EQ(host.sent_to(11), 0);
  }
  Host host;
  host.list(0, three());
  host.list(1, {Host::server(12, 0), Host::server(13, 0)});  // missing from a complete list: removed
  host.warm_up(20);
  EXPECT_EQ(host.sent_to(11), 0);
}

TEST(Rules, AColdServerGetsLessThanItsShare) {
  Host host;
  host.list(0, three());
  host.warm_up(60, 50);
  const double start = host.now;
  host.list(start, {Host::server(11, 0, start)}, ListKind::changes);
  // A flood of 100 parts at once: the two warm ones bear it.
  for (RequestId i = 0; i < 100; ++i) host.ask(start + 1, 5000 + 10 * i, "once", 1);
  int cold = 0;
  for (const auto& sent : host.sent) cold += sent.at > start && sent.send.server == 11;
  EXPECT_LE(cold, 2);
}

TEST(Rules, NoColdServerIsFloodedByAMixerJustStarted) {
  Host host;
  host.list(100, {Host::server(11, 0, 50), Host::server(12, 0, 50)}, ListKind::saved);
  for (RequestId i = 0; i < 50; ++i) host.ask(101, 5000 + 10 * i, "whole", 1);
  EXPECT_LE(host.sent.size(), 4u);
}

TEST(Rules, NoAnswerUnderTheFloorAndNoneMarkedWholeThatIsNot) {
  Host host;
  host.list(0, {Host::server(11, 0), Host::server(12, 1), Host::server(13, 2), Host::server(14, 3)});
  host.ask(0, 1, "part", 4);
  host.ends(100, 2, Outcome::ok);
  host.feed(5999);
  EXPECT_EQ(host.ended(1), "r");  // a quarter of the weight, the floor is a half
  Host half;
  half.list(0, {Host::server(11, 0), Host::server(12, 1), Host::server(13, 2), Host::server(14, 3)});
  half.ask(0, 10, "part", 4);
  for (RequestId p : {11, 12}) half.ends(100, p, Outcome::ok);
  half.feed(2500);
  EXPECT_EQ(half.ended(10), "p");
}

TEST(Rules, APartCountsOnceForAnyNumberOfAnswers) {
  Host host;
  host.list(0, {Host::server(11, 0), Host::server(12, 1)});
  host.ask(0, 1, "part", 2);
  AttemptEnded ok;
  ok.part = 2;
  ok.server = host.last_server(2);
  ok.outcome = Outcome::ok;
  host.feed(10, {ok, ok, ok});
  EXPECT_EQ(host.ended(1), "-");
}

TEST(Rules, FurtherAttemptsStayWithinAStatedBudget) {
  Settings s = make_settings();
  s.retry_budget_limited = true;
  s.retry_budget_min = 2;
  s.retry_budget_ratio = 0;
  s.retry_budget_window_ms = 10000;
  Host host(s);
  host.list(0, three());
  for (RequestId i = 0; i < 6; ++i) {
    host.ask(10 + 1000 * static_cast<double>(i), 100 + 10 * i, "whole", 1);
    host.ends(host.now + 2, 101 + 10 * i, Outcome::full);
    host.feed(host.now + 900);  // a full server is left alone for a while
  }
  EXPECT_EQ(host.sent.size(), 6u + 2u);
}

TEST(Rules, ASecondStepAwaitsASecondAnswer) {
  Settings s = make_settings();
  s.classes[0].second_step_parts = 1;
  Host host(s);
  host.list(0, {Host::server(11, 0), Host::server(12, 1)});
  host.ask(0, 1, "whole", 2);
  for (RequestId p : {2, 3}) host.ends(100, p, Outcome::ok);
  EXPECT_EQ(host.ended(1), "w");
  host.feed(105, {Host::part(1, 50, 0, 1.0)});
  ASSERT_EQ(host.attempts(50), 1);
  host.ends(200, 50, Outcome::ok);
  EXPECT_EQ(host.ended(1), "ww");
}

TEST(Rules, AListOnRequestIsSubscribedToAndRenewedWithGrowingWaits) {
  Settings s = make_settings();
  s.list_on_request = true;
  Host host(s);
  host.list(0, three(), ListKind::saved);
  EXPECT_EQ(host.count<Subscribe>(), 1);
  const auto fail = [&host](double at) {
    ServerListReceived failed;
    failed.kind = ListKind::failed;
    host.feed(at, {failed});
  };
  double last = 0, gap = 0;
  for (int i = 0; i < 4; ++i) {
    const int before = host.count<Subscribe>();
    const double failed_at = host.now + 10;
    fail(failed_at);
    while (host.count<Subscribe>() == before && host.now < failed_at + s.list_request_interval_ms)
      host.feed(host.now + 10);
    gap = host.now - failed_at;
    EXPECT_GT(gap, last * 0.99);
    EXPECT_LT(gap, s.list_request_interval_ms / 2);
    last = gap * 0.6;
  }
}

TEST(Rules, BadSettingsGiveOneLine) {
  std::string error;
  Settings s;
  EXPECT_EQ(Balancer::create(s, 1, error), nullptr);
  EXPECT_FALSE(error.empty());
  s = make_settings();
  s.cells_per_shard = 9;
  EXPECT_EQ(Balancer::create(s, 1, error), nullptr);
  s = make_settings();
  s.classes[0].slo_ms = 0;
  EXPECT_EQ(Balancer::create(s, 1, error), nullptr);
  EXPECT_EQ(error.find('\n'), std::string::npos);
}

// The sizes to come: hundreds of servers, a hundred parts a query, many mixers.
TEST(Rules, EveryQueryEndsOnceAtLargeSizes) {
  Settings s = make_settings();
  s.coordinators = 76;
  s.cells = 150;
  s.shards = 300;
  s.cells_per_shard = 2;
  s.parts_per_call = 16;
  Host host(s);
  std::vector<ServerEntry> servers;
  for (ServerId id = 0; id < 600; ++id)
    servers.push_back(Host::server(1000 + id, static_cast<int>(id % 150)));
  host.list(0, servers);
  const Outcome outcomes[] = {Outcome::ok, Outcome::timeout, Outcome::error, Outcome::full, Outcome::reset};
  for (RequestId i = 0; i < 40; ++i) {
    host.ask(host.now + 200, 100000 + 1000 * i, i % 2 ? "whole" : "part", 100);
    host.feed(host.now + 150);
    host.settle(outcomes[i % 5]);
  }
  host.feed(host.now + 10000);
  for (RequestId i = 0; i < 40; ++i) EXPECT_EQ(host.ended(100000 + 1000 * i).size(), 1u);
  for (RequestId i = 0; i < 40; ++i) EXPECT_NE(host.ended(100000 + 1000 * i), "-");
}
