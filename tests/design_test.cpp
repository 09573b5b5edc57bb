// SPDX-License-Identifier: MIT
// Tests of the wait-duration policy (steps 1 to 4 of the published Cedar design) and of replica selection,
// through the public interface.
#include <cmath>

#include "fixture.h"

using namespace cottonbay;

namespace {

std::vector<ServerEntry> one_server_per_cell() {
  return {Harness::server(11, 0), Harness::server(12, 1), Harness::server(13, 2), Harness::server(14, 3)};
}

// The time at which a query of class "part" is answered that never gets its last parts, or -1 without a
// partial answer.
double answer_time_ms(Settings settings, const std::vector<double>& arrivals, int part_count,
                      double within_ms = 6000) {
  settings.shards = settings.cells = part_count;
  Harness harness(settings);
  std::vector<ServerEntry> servers;
  for (int i = 0; i < part_count; ++i) servers.push_back(Harness::server(100 + static_cast<ServerId>(i), i));
  harness.list_servers(0, servers);
  harness.submit(0, 1, "part", part_count, within_ms);
  for (std::size_t i = 0; i < arrivals.size(); ++i) harness.end_attempt(arrivals[i], 2 + i, Outcome::ok);
  harness.feed(arrivals.empty() ? 7000 : arrivals.back() + 7000);
  return harness.result(1) == "p" ? harness.ended_at_ms(1) : -1;
}

}  // namespace

TEST(Design, QueryArrivalSendsAllParts) {
  Harness harness;
  harness.list_servers(0, one_server_per_cell());
  harness.submit(0, 1, "whole", 4);
  EXPECT_EQ(harness.sent.size(), 4u);
}

TEST(Design, CompleteQueryIsAnsweredOnLastPart) {
  Harness harness;
  harness.list_servers(0, one_server_per_cell());
  harness.submit(0, 1, "whole", 4);
  for (RequestId p : {2, 3, 4}) harness.end_attempt(100, p, Outcome::ok);
  EXPECT_EQ(harness.result(1), "-");
  harness.end_attempt(150, 5, Outcome::ok);
  EXPECT_EQ(harness.result(1), "w");
}

// Step 1: with fewer than two answers the timer stays at the horizon, the lesser of SLO and time left.
TEST(Design, TimerStaysAtSloUntilTwoPartsAnswer) {
  Settings settings = make_settings();
  settings.classes[1].min_fraction = 0.2;
  EXPECT_NEAR(answer_time_ms(settings, {100}, 4), 2000, 1);
  // Two ticks before the client stops waiting.
  EXPECT_NEAR(answer_time_ms(settings, {100}, 4, 1500), 1490, 1);
}

// Steps 2 to 4, compared with an independent fit and scan. The order statistics are simulated from their
// definition: means over many sorted samples of exponentials of normal draws.
TEST(Design, WaitMatchesIndependentFitAndScan) {
  constexpr int k = 4;
  std::uint64_t state = 12345;
  const auto uniform = [&state] {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (static_cast<double>(state >> 11) + 0.5) * 0x1p-53;
  };
  std::vector<double> o(k, 0.0);
  constexpr int draws = 400000;
  for (int i = 0; i < draws; ++i) {
    std::vector<double> x(k);
    for (double& v : x)
      v = std::exp(std::sqrt(-2 * std::log(uniform())) * std::cos(2 * 3.14159265358979 * uniform()));
    std::sort(x.begin(), x.end());
    for (int j = 0; j < k; ++j) o[j] += x[j] / draws;
  }
  const double t1 = 200, t2 = 300, slo = 2000;
  const double sigma = std::log(t2 / t1) / std::log(o[1] / o[0]), mu = std::log(t1) - sigma * std::log(o[0]);
  // The answer lag: a prior of four observations with mean ln(SLO / 20) and sigma 1, and two observations of
  // one tick.
  const double m0 = std::log(slo / 20), seen = std::log(5.0);
  const double lag_mu = (4 * m0 + 2 * seen) / 6;
  const double lag_sigma = std::sqrt((4 * (1 + m0 * m0) + 2 * seen * seen) / 6 - lag_mu * lag_mu);
  const auto cdf = [](double t, double mu, double sigma) {
    return t <= 0 ? 0 : 0.5 * std::erfc(-(std::log(t) - mu) / sigma / std::sqrt(2.0));
  };
  double quality = 0, best = 0, wait = 0;
  const double eps = slo / 200;
  for (double c = 0; c < slo - eps / 2; c += eps) {
    const double before = cdf(c, mu, sigma), q = cdf(slo - c, lag_mu, lag_sigma);
    const double next_q = cdf(slo - c - eps, lag_mu, lag_sigma);
    quality += (cdf(c + eps, mu, sigma) - before) * next_q - (before - std::pow(before, k)) * (q - next_q);
    if (quality >= best) best = quality, wait = c + eps;
  }
  ASSERT_LT(wait, slo - 5 * eps);
  EXPECT_NEAR(answer_time_ms(make_settings(), {t1, t2}, k), wait, 2 * eps);
}

TEST(Design, EqualArrivalTimesLeaveTimerAtSlo) {
  EXPECT_NEAR(answer_time_ms(make_settings(), {200, 200}, 4), 2000, 1);
}

TEST(Design, WideSpreadWaitsNoLongerThanSlo) {
  const double wide = answer_time_ms(make_settings(), {100, 900}, 4);
  EXPECT_GT(wide, 900);
  EXPECT_LE(wide, 2000);
}

TEST(Design, AnswersOnceCompleteFractionIsReached) {
  Settings settings = make_settings();
  settings.classes[1].complete_fraction = 0.75;
  Harness harness(settings);
  harness.list_servers(0, one_server_per_cell());
  harness.submit(0, 1, "part", 4);
  for (RequestId p : {2, 3, 4}) harness.end_attempt(100, p, Outcome::ok);
  EXPECT_EQ(harness.result(1), "w");
  EXPECT_EQ(harness.count<Cancel>(), 1);  // the part in flight is no longer needed
}

TEST(Design, AnsweredFractionIsWeighted) {
  Harness harness;
  harness.list_servers(0, one_server_per_cell());
  auto events = Harness::query(1, "part", 4, 6000);
  for (int i = 0; i < 4; ++i) std::get<PartArrived>(events[1 + i]).weight = i == 0 ? 0.7 : 0.1;
  harness.feed(0, events);
  harness.end_attempt(100, 2, Outcome::ok);
  harness.feed(2500);
  EXPECT_EQ(harness.result(1), "p");  // one part of four, but seven tenths of the weight
}

TEST(Design, ReplicaWithLowestLatencyTimesLoadIsChosen) {
  Harness harness;
  harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 0)});
  harness.submit(0, 1, "whole", 1);
  harness.submit(1, 10, "whole", 1);
  EXPECT_NE(harness.last_server(2), harness.last_server(11));  // load is considered
  const ServerId fast = harness.last_server(2);
  harness.end_attempt(100, 2, Outcome::ok);
  harness.end_attempt(700, 11, Outcome::ok);
  harness.submit(701, 20, "whole", 1);
  EXPECT_EQ(harness.last_server(21), fast);  // latency is considered
}

TEST(Design, PartsOfOneQueryAreSpreadOverEqualReplicas) {
  Settings settings = make_settings();
  settings.cells = 1;
  settings.parts_per_call = 8;
  Harness harness(settings);
  harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 0)});
  harness.submit(0, 1, "whole", 4);
  EXPECT_EQ(harness.sent_count(11) + harness.sent_count(12), 4);
  EXPECT_GE(std::min(harness.sent_count(11), harness.sent_count(12)), 1);  // no server stays idle
  settings.parts_per_call = 1;
  Harness separate_calls(settings);
  separate_calls.list_servers(0, {Harness::server(11, 0), Harness::server(12, 0)});
  separate_calls.submit(0, 1, "whole", 4);
  EXPECT_EQ(separate_calls.sent_count(11), 2);
}

// Every call costs a server some work. Neighbouring shards share holders, so a part joins a call that is
// being put together instead of opening another.
TEST(Design, SecondPartJoinsExistingCall) {
  Harness harness(with_overlapping_cells(make_settings(), 3));
  // Shard 0 has one holder, shard 1 has both.
  harness.list_servers(0, {Harness::server(11, 1), Harness::server(12, 2)});
  harness.submit(0, 1, "whole", 2);
  EXPECT_EQ(harness.last_server(2), 11u);
  EXPECT_EQ(harness.last_server(3), 11u);
  harness.submit(1, 10, "whole", 2);  // the earlier call has been sent
  EXPECT_EQ(harness.last_server(12), 12u);
}

// Where an answer needs every part, the timer cannot end the query with an answer.
TEST(Design, IncompleteQueryWaitsPastSloOnlyIfLateAnswerHasValue) {
  for (const double late_value_fraction : {0.1, 0.0}) {
    Settings settings = make_settings();
    settings.classes[0].late_value_fraction = late_value_fraction;
    Harness harness(settings);
    harness.list_servers(0, one_server_per_cell());
    harness.submit(0, 1, "whole", 4);
    for (RequestId p : {2, 3, 4}) harness.end_attempt(100, p, Outcome::ok);
    harness.feed(2500);
    EXPECT_EQ(harness.result(1), late_value_fraction > 0 ? "-" : "r");
  }
}

TEST(Design, SameEventsGiveSameActions) {
  const auto run = [] {
    Harness harness;
    harness.list_servers(0, {Harness::server(11, 0), Harness::server(12, 0), Harness::server(13, 1)});
    harness.warm_up(30, 120);
    harness.submit(harness.now_ms + 1, 1, "part", 2);
    harness.feed(harness.now_ms + 8000);
    std::vector<std::pair<RequestId, ServerId>> sends;
    for (const auto& attempt : harness.sent) sends.emplace_back(attempt.send.part, attempt.send.server);
    return sends;
  };
  EXPECT_EQ(run(), run());
}

// With a second step, its duration is the upper stage of the policy: a first answer at the end of the horizon
// makes the query late.
TEST(Design, FirstStepWaitReservesTimeForSecondStep) {
  Settings settings = make_settings();
  settings.classes[0].second_step_parts = 1;
  settings.classes[0].min_fraction = 0.5;
  std::vector<double> waits;
  for (const double second_step_ms : {10.0, 800.0}) {
    Harness harness(settings);
    harness.list_servers(0, one_server_per_cell());
    for (RequestId id = 1000; id <= 4000; id += 100) {
      const bool last = id == 4000;  // one of its parts is never answered
      const double start = harness.now_ms;
      const int before = harness.count<Answer>();
      harness.submit(start, id, "whole", 4);
      const std::vector<double> arrivals = {100, 200, 400, 500};
      for (std::size_t i = 0; i < (last ? 3u : 4u) && harness.count<Answer>() == before; ++i)
        harness.end_attempt(start + arrivals[i], id + 1 + i, Outcome::ok);
      while (harness.count<Answer>() == before && harness.now_ms < start + 3000)
        harness.feed(harness.now_ms + 5);
      if (last) waits.push_back(harness.now_ms - start);
      harness.feed(harness.now_ms, {Harness::part(id, id + 50, 0, 1)});
      harness.end_attempt(harness.now_ms + second_step_ms, id + 50, Outcome::ok);
    }
  }
  EXPECT_GT(waits[0], 1500);  // of an SLO of 2000
  EXPECT_LT(waits[1], 1200);
}
