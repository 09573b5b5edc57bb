// SPDX-License-Identifier: MIT
// How the time of a query is split between its phases, with the clock in hand.
#include "kelpdeal/phases/split.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace kelpdeal::phases {
namespace {

using namespace std::chrono_literals;

Duration ms(double value) { return to_duration(FractionalMs(value)); }

PhaseTimeSplitter knowing(double first, double second, double deviation = 0.4) {
  PhaseTimeSplitter splitter;
  std::mt19937 random(7);
  std::lognormal_distribution<> one(std::log(first), deviation), two(std::log(second), deviation);
  for (int i = 0; i < 2000; ++i) {
    splitter.observe("report", 1, ms(one(random)));
    splitter.observe("report", 2, ms(two(random)));
  }
  return splitter;
}

SplitInput query(double left) {
  SplitInput split;
  split.first_parts = 10;
  split.second_parts = 3;
  split.min_share = 0.8;
  split.remaining_ms = left;
  return split;
}

TEST(Split, BlomScoresAreOrderedSymmetricAndRight) {
  const auto scores = blom_scores(10);
  EXPECT_NEAR(scores[9], 1.5466, 1e-3);  // of ten
  for (std::size_t i = 0; i < 10; ++i) EXPECT_NEAR(scores[i], -scores[9 - i], 1e-9);
}

TEST(Split, FindsBackWhatEarlyArrivalsWereDrawnFrom) {
  const auto scores = blom_scores(100);
  std::vector<double> arrivals;
  for (int i = 0; i < 40; ++i) arrivals.push_back(std::exp(4 + 0.5 * scores[static_cast<std::size_t>(i)]));
  const LogNormal fit = fit_early_arrivals(arrivals, scores, nullptr);
  EXPECT_NEAR(fit.mean, 4, 1e-6);
  EXPECT_NEAR(fit.deviation, 0.5, 1e-6);
  History history;
  for (int i = 0; i < 1000; ++i) history.observe(ms(std::exp(5)));
  const LogNormal weighed = fit_early_arrivals({arrivals[0], arrivals[1]}, scores, &history);
  EXPECT_GT(weighed.mean, 4.5);  // two arrivals say little against a history
  EXPECT_LT(weighed.mean, 5);
}

TEST(Split, HistoryFollowsAChangeAndIsBounded) {
  History history;
  for (int i = 0; i < 5000; ++i) history.observe(10ms);
  for (int i = 0; i < 1000; ++i) history.observe(100ms);
  EXPECT_GT(history.fit_log_normal().mean, std::log(80));
  PhaseTimeSplitter few(1);
  for (int i = 0; i < 20; ++i) few.observe("a", 1, 10ms), few.observe("a", 2, 10ms);
  EXPECT_EQ(few.first_phase_end_ms("a", query(500)), 500);  // the second's history found no room
}

TEST(Split, WithoutHistoryOfTheSecondThereIsNothingToSplit) {
  PhaseTimeSplitter none;
  EXPECT_EQ(none.first_phase_end_ms("report", query(500)), 500);
  for (int i = 0; i < 20; ++i) none.observe("report", 1, 50ms);
  EXPECT_EQ(none.first_phase_end_ms("report", query(500)), 500);
}

TEST(Split, LeavesTheSecondWhatItNeeds) {
  PhaseTimeSplitter fast = knowing(120, 20), slow = knowing(120, 150);
  const double beside_fast = fast.first_phase_end_ms("report", query(500));
  const double beside_slow = slow.first_phase_end_ms("report", query(500));
  EXPECT_LT(beside_slow, beside_fast);
  EXPECT_LE(beside_slow, 500 - 150);
  EXPECT_GE(beside_slow, 140);  // ten parts of 120 ms are rarely in before
  // A second phase that cannot be in time is not waited for: all goes to the first.
  PhaseTimeSplitter hopeless = knowing(50, 5000);
  EXPECT_GE(hopeless.first_phase_end_ms("report", query(500)), 150);  // by then all ten are in
}

TEST(Split, OneStragglerIsLeftOnceItCostsMoreThanItAdds) {
  PhaseTimeSplitter splitter = knowing(50, 100);
  SplitInput split = query(400);
  split.arrivals_ms = {30, 35, 40, 44, 50, 55, 60, 70, 80};
  split.elapsed_ms = 100;
  const double hopeful = splitter.first_phase_end_ms("report", split);
  EXPECT_GT(hopeful, 100);
  split.elapsed_ms = 300;  // and it stands still
  EXPECT_EQ(splitter.first_phase_end_ms("report", split), 300);
  split.arrivals_ms.resize(5);  // too few to answer from: nothing is lost by waiting
  split.elapsed_ms = 120;
  EXPECT_GT(splitter.first_phase_end_ms("report", split), 120);
  split.elapsed_ms = 400;
  EXPECT_EQ(splitter.first_phase_end_ms("report", split), 400);  // never before now
}

}  // namespace
}  // namespace kelpdeal::phases
