// SPDX-License-Identifier: MIT
// Splitting the time of a query between its phases, with simulated time.
#include "kelpdeal/phases/split.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace kelpdeal::phases {
namespace {

using namespace std::chrono_literals;

Duration ms(double value) { return to_duration(FractionalMs(value)); }

PhaseTimeSplitter splitter_with_history(double first, double second, double deviation = 0.4) {
  PhaseTimeSplitter splitter;
  std::mt19937 random(7);
  std::lognormal_distribution<> one(std::log(first), deviation), two(std::log(second), deviation);
  for (int i = 0; i < 2000; ++i) {
    splitter.observe("report", 1, ms(one(random)));
    splitter.observe("report", 2, ms(two(random)));
  }
  return splitter;
}

SplitInput query(double remaining_ms) {
  SplitInput split;
  split.first_parts = 10;
  split.second_parts = 3;
  split.min_share = 0.8;
  split.remaining_ms = remaining_ms;
  return split;
}

TEST(PhaseTimeSplitter, BlomScoresAreSymmetricAndMatchTheReference) {
  const auto scores = blom_scores(10);
  EXPECT_NEAR(scores[9], 1.5466, 1e-3);  // reference value for ten samples
  for (std::size_t i = 0; i < 10; ++i) EXPECT_NEAR(scores[i], -scores[9 - i], 1e-9);
}

TEST(PhaseTimeSplitter, FitRecoversTheDistributionOfEarlyArrivals) {
  const auto scores = blom_scores(100);
  std::vector<double> arrivals;
  for (int i = 0; i < 40; ++i) arrivals.push_back(std::exp(4 + 0.5 * scores[static_cast<std::size_t>(i)]));
  const LogNormal fit = fit_early_arrivals(arrivals, scores, nullptr);
  EXPECT_NEAR(fit.mean, 4, 1e-6);
  EXPECT_NEAR(fit.deviation, 0.5, 1e-6);
  History history;
  for (int i = 0; i < 1000; ++i) history.observe(ms(std::exp(5)));
  const LogNormal weighted = fit_early_arrivals({arrivals[0], arrivals[1]}, scores, &history);
  EXPECT_GT(weighted.mean, 4.5);  // two arrivals have little weight against a history
  EXPECT_LT(weighted.mean, 5);
}

TEST(PhaseTimeSplitter, HistoryFollowsChangesAndIsBounded) {
  History history;
  for (int i = 0; i < 5000; ++i) history.observe(10ms);
  for (int i = 0; i < 1000; ++i) history.observe(100ms);
  EXPECT_GT(history.fit_log_normal().mean, std::log(80));
  PhaseTimeSplitter bounded(1);
  for (int i = 0; i < 20; ++i) bounded.observe("a", 1, 10ms), bounded.observe("a", 2, 10ms);
  EXPECT_EQ(bounded.first_phase_end_ms("a", query(500)), 500);  // no room for the second phase's history
}

TEST(PhaseTimeSplitter, WithoutSecondPhaseHistoryTheFirstGetsAllTime) {
  PhaseTimeSplitter empty;
  EXPECT_EQ(empty.first_phase_end_ms("report", query(500)), 500);
  for (int i = 0; i < 20; ++i) empty.observe("report", 1, 50ms);
  EXPECT_EQ(empty.first_phase_end_ms("report", query(500)), 500);
}

TEST(PhaseTimeSplitter, LeavesTheSecondPhaseEnoughTime) {
  PhaseTimeSplitter fast = splitter_with_history(120, 20), slow = splitter_with_history(120, 150);
  const double end_with_fast_second = fast.first_phase_end_ms("report", query(500));
  const double end_with_slow_second = slow.first_phase_end_ms("report", query(500));
  EXPECT_LT(end_with_slow_second, end_with_fast_second);
  EXPECT_LE(end_with_slow_second, 500 - 150);
  EXPECT_GE(end_with_slow_second, 140);  // ten parts of 120 ms have rarely all arrived before
  // A second phase that cannot finish in time gets none: the first phase uses all of it.
  PhaseTimeSplitter too_slow = splitter_with_history(50, 5000);
  EXPECT_GE(too_slow.first_phase_end_ms("report", query(500)), 150);  // all ten have arrived by then
}

TEST(PhaseTimeSplitter, StopsWaitingForAStragglerThatCostsMoreThanItAdds) {
  PhaseTimeSplitter splitter = splitter_with_history(50, 100);
  SplitInput split = query(400);
  split.arrivals_ms = {30, 35, 40, 44, 50, 55, 60, 70, 80};
  split.elapsed_ms = 100;
  const double early_end = splitter.first_phase_end_ms("report", split);
  EXPECT_GT(early_end, 100);
  split.elapsed_ms = 300;  // the straggler is stalled
  EXPECT_EQ(splitter.first_phase_end_ms("report", split), 300);
  split.arrivals_ms.resize(5);  // too bounded for an answer: waiting costs nothing
  split.elapsed_ms = 120;
  EXPECT_GT(splitter.first_phase_end_ms("report", split), 120);
  split.elapsed_ms = 400;
  EXPECT_EQ(splitter.first_phase_end_ms("report", split), 400);  // never before the current time
}

}  // namespace
}  // namespace kelpdeal::phases
