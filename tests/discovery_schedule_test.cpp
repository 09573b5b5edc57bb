// SPDX-License-Identifier: MIT
// When discovery is asked, with the clock in hand.
#include "kelpdeal/discovery_schedule.h"

#include <gtest/gtest.h>

#include <queue>
#include <set>

using namespace kelpdeal;
using namespace std::chrono_literals;

namespace {

constexpr int kFleet = 100;
const TimePoint kStart{1h};

DiscoveryScheduleOptions bounds(int callers) {
  DiscoveryScheduleOptions b;
  b.coordinators = callers;
  return b;
}

// One service that takes new watches in turn, each for `service`; those that have waited for 2 s fail, and
// have cost their time all the same. How many coordinators have a watch after `span`.
int watching_after(Duration span, const DiscoveryScheduleOptions& b, Duration service) {
  using Call = std::pair<TimePoint, std::size_t>;
  std::vector<DiscoverySchedule> paces;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (std::size_t i = 0; i < kFleet; ++i) {
    paces.emplace_back(b, i + 1);
    paces.back().start(kStart);
    calls.emplace(paces.back().next_call(), i);
  }
  int watching = 0;
  TimePoint free = kStart;
  while (!calls.empty() && calls.top().first < kStart + span) {
    const auto [at, who] = calls.top();
    calls.pop();
    free = std::max(free, at) + service;
    if (free - at <= 2s) {
      ++watching;
    } else {
      paces[who].call_failed(at + 2s);
      calls.emplace(paces[who].next_call(), who);
    }
  }
  return watching;
}

}  // namespace

TEST(Pace, WhatAHundredAskAtOnceIsServedSpreadOut) {
  EXPECT_EQ(watching_after(6s, bounds(kFleet), 50ms), kFleet);
  EXPECT_GE(watching_after(30s, bounds(kFleet), 90ms), kFleet);  // slower than taken for
  // As if each were one of few: nearly all that is asked fails, for long.
  EXPECT_LT(watching_after(6s, bounds(2), 50ms), kFleet * 3 / 4);
}

TEST(Pace, EachStartsAtATimeOfItsOwnWithinTheSpread) {
  std::set<TimePoint> first;
  for (std::uint64_t seed = 0; seed < kFleet; ++seed) {
    DiscoverySchedule pace(bounds(kFleet), seed), same(bounds(kFleet), seed);
    pace.start(kStart);
    same.start(kStart);
    EXPECT_EQ(pace.next_call(), same.next_call());
    EXPECT_GE(pace.next_call(), kStart);
    EXPECT_LE(pace.next_call(), kStart + 5s);
    first.insert(pace.next_call());
  }
  EXPECT_EQ(first.size(), static_cast<std::size_t>(kFleet));
}

TEST(Pace, FewAskAtOnceAndWatchShortly) {
  DiscoverySchedule pace(bounds(3), 1);
  pace.start(kStart);
  EXPECT_EQ(pace.next_call(), kStart);
  EXPECT_EQ(pace.watch_wait(), 1500ms);
}

TEST(Pace, AWatchThatIsAnsweredGoesOnAtOnce) {
  DiscoverySchedule pace(bounds(kFleet), 1);
  pace.start(kStart);
  pace.call_failed(kStart + 6s);
  pace.call_succeeded(kStart + 20s);
  EXPECT_EQ(pace.next_call(), kStart + 20s);
}

TEST(Pace, AFailedCallIsNotRepeatedAtOnceAndThenLessAndLessOften) {
  for (const int callers : {3, kFleet}) {
    DiscoverySchedule pace(bounds(callers), 9);
    pace.start(kStart);
    const Duration first = std::clamp<Duration>(pace.startup_spread(), 250ms, 3s);
    // Few callers cannot be what keeps discovery busy, and what it has counts as told to them within 6 s; a
    // hundred ask less and less until it can serve them.
    const Duration most = callers == kFleet ? 10s : 1500ms;
    Duration span = first;
    TimePoint now = kStart + 10s;
    for (int i = 0; i < 10; ++i) {
      pace.call_failed(now);
      EXPECT_GE(pace.next_call() - now, span / 4);
      EXPECT_LE(pace.next_call() - now, span);
      now = pace.next_call() + 1s;
      span = std::min<Duration>(2 * span, most);
    }
    pace.call_succeeded(now);  // forgets
    pace.call_failed(now);
    EXPECT_LE(pace.next_call() - now, first);
  }
}

// What discovery has counts as told 6 s after it could be reached, whatever became of our calls. From any
// instant at which it can be reached again, whatever went before, an answer is there within that.
TEST(Pace, FromAnyInstantOnWhatDiscoveryHasIsHeardWithinTheTimeAfterWhichItCountsAsTold) {
  const Duration refused = 1ms, never_up = 250ms;
  for (const int callers : {1, 6, 20, 30, 100, 300})
    for (const Duration failed_after : {refused, never_up})
      for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        DiscoverySchedule pace(bounds(callers), seed);
        pace.start(kStart);
        // Down for a minute and refusing, or for a minute without a sign.
        TimePoint now = pace.next_call();
        Duration longest{};
        while (now < kStart + 60s) {
          const TimePoint begun = now;
          pace.call_started(now);
          pace.call_failed(now + failed_after);
          now = pace.next_call();
          longest = std::max(longest, now - begun);  // it can be reached again just after the call began
        }
        ASSERT_LE(longest + 1s, 6s) << callers;
        // A watch that falls silent just after an answer, and the call after it.
        pace.call_succeeded(now);
        pace.call_started(now);
        pace.call_failed(now + pace.watch_wait() + pace.watch_slack());
        // A hundred, who cannot all be served at once: within the grace of 2 s that follows.
        ASSERT_LE(pace.next_call() + 1s - now, callers <= 30 ? 6s : 8s) << callers;
        // Queued in vain, again and again.
        for (int i = 0; i < 8; ++i) {
          const TimePoint ended = pace.next_call() + pace.watch_slack();
          pace.call_started(pace.next_call());
          pace.call_failed(ended);
          ASSERT_LE(pace.next_call() + 1s - ended, callers <= 30 ? 6s : 11s) << callers;
        }
      }
}

// Where lists are pushed what the agent has counts as told: from any call, answered or not, the next one's
// answer is due within the grace.
TEST(Pace, APushedListIsLookedAtWithinTheGraceWhateverTheAgentDoes) {
  DiscoveryScheduleOptions b = bounds(10'000);
  b.pushed = true;
  b.push_grace = 500ms;
  DiscoverySchedule pace(b, 5);
  pace.start(kStart);
  EXPECT_EQ(pace.next_call(), kStart);  // nobody else pays for it
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    pace.call_started(now);
    pace.call_failed(now + pace.watch_wait() + pace.watch_slack());
    EXPECT_GT(pace.next_call(), now + pace.watch_wait() + pace.watch_slack());  // not without a pause
    EXPECT_LT(pace.next_call(), now + b.push_grace);
    now = pace.next_call();
  }
  pace.call_started(now);
  pace.call_succeeded(now);  // an agent that does not wait
  EXPECT_GE(pace.next_call(), now + 20ms);
  EXPECT_LE(pace.next_call(), now + 100ms);
  pace.call_started(now);
  pace.call_succeeded(now + pace.watch_wait());
  EXPECT_EQ(pace.next_call(), now + pace.watch_wait());
}

TEST(Pace, HoweverManyThereAreEachAsksWithinWhatTheSettingsAllow) {
  DiscoveryScheduleOptions b = bounds(10'000);
  b.max_poll_interval = 4s;
  DiscoverySchedule pace(b, 5);
  pace.start(kStart);
  EXPECT_LE(pace.next_call(), kStart + 2s);
  for (int i = 0; i < 10; ++i) pace.call_failed(kStart);
  EXPECT_LE(pace.next_call(), kStart + 4s);
  EXPECT_LE(pace.watch_wait(), 2s);
}
