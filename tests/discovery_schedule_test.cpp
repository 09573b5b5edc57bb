// SPDX-License-Identifier: MIT
// Schedule of discovery calls, with simulated time.
#include "kelpdeal/discovery_schedule.h"

#include <gtest/gtest.h>

#include <queue>
#include <set>

using namespace kelpdeal;
using namespace std::chrono_literals;

namespace {

constexpr int kFleet = 100;
const TimePoint kStart{1h};

DiscoveryScheduleOptions make_options(int coordinators) {
  DiscoveryScheduleOptions options;
  options.coordinators = coordinators;
  return options;
}

// Simulates a discovery service that processes new watches one at a time, each taking `service`. Watches that
// have waited for 2 s fail but have used their processing time. Returns how many coordinators have a watch
// after `span`.
int watching_after(Duration span, const DiscoveryScheduleOptions& options, Duration service) {
  using Call = std::pair<TimePoint, std::size_t>;
  std::vector<DiscoverySchedule> schedules;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (std::size_t i = 0; i < kFleet; ++i) {
    schedules.emplace_back(options, i + 1);
    schedules.back().start(kStart);
    calls.emplace(schedules.back().next_call(), i);
  }
  int watching = 0;
  TimePoint service_free_at = kStart;
  while (!calls.empty() && calls.top().first < kStart + span) {
    const auto [at, caller] = calls.top();
    calls.pop();
    service_free_at = std::max(service_free_at, at) + service;
    if (service_free_at - at <= 2s) {
      ++watching;
    } else {
      schedules[caller].call_failed(at + 2s);
      calls.emplace(schedules[caller].next_call(), caller);
    }
  }
  return watching;
}

}  // namespace

TEST(DiscoverySchedule, HundredCoordinatorsAreServedBySpreadingTheirCalls) {
  EXPECT_EQ(watching_after(6s, make_options(kFleet), 50ms), kFleet);
  EXPECT_GE(watching_after(30s, make_options(kFleet), 90ms), kFleet);  // slower than `call_cost` assumes
  // Without spreading, as for few coordinators, nearly all calls fail for a long time.
  EXPECT_LT(watching_after(6s, make_options(2), 50ms), kFleet * 3 / 4);
}

TEST(DiscoverySchedule, StartTimesDifferWithinTheSpread) {
  std::set<TimePoint> start_times;
  for (std::uint64_t seed = 0; seed < kFleet; ++seed) {
    DiscoverySchedule schedule(make_options(kFleet), seed), same_seed(make_options(kFleet), seed);
    schedule.start(kStart);
    same_seed.start(kStart);
    EXPECT_EQ(schedule.next_call(), same_seed.next_call());
    EXPECT_GE(schedule.next_call(), kStart);
    EXPECT_LE(schedule.next_call(), kStart + 5s);
    start_times.insert(schedule.next_call());
  }
  EXPECT_EQ(start_times.size(), static_cast<std::size_t>(kFleet));
}

TEST(DiscoverySchedule, FewCoordinatorsCallAtOnceWithShortWatches) {
  DiscoverySchedule schedule(make_options(3), 1);
  schedule.start(kStart);
  EXPECT_EQ(schedule.next_call(), kStart);
  EXPECT_EQ(schedule.watch_wait(), 1500ms);
}

TEST(DiscoverySchedule, SuccessfulWatchContinuesAtOnce) {
  DiscoverySchedule schedule(make_options(kFleet), 1);
  schedule.start(kStart);
  schedule.call_failed(kStart + 6s);
  schedule.call_succeeded(kStart + 20s);
  EXPECT_EQ(schedule.next_call(), kStart + 20s);
}

TEST(DiscoverySchedule, FailedCallsBackOffExponentially) {
  for (const int coordinators : {3, kFleet}) {
    DiscoverySchedule schedule(make_options(coordinators), 9);
    schedule.start(kStart);
    const Duration first = std::clamp<Duration>(schedule.startup_spread(), 250ms, 3s);
    // Few coordinators cannot overload discovery, and must know its changes within 6 s. A hundred back off
    // until discovery can serve them.
    const Duration max_span = coordinators == kFleet ? 10s : 1500ms;
    Duration span = first;
    TimePoint now = kStart + 10s;
    for (int i = 0; i < 10; ++i) {
      schedule.call_failed(now);
      EXPECT_GE(schedule.next_call() - now, span / 4);
      EXPECT_LE(schedule.next_call() - now, span);
      now = schedule.next_call() + 1s;
      span = std::min<Duration>(2 * span, max_span);
    }
    schedule.call_succeeded(now);  // resets the backoff
    schedule.call_failed(now);
    EXPECT_LE(schedule.next_call() - now, first);
  }
}

// A change counts as known to a coordinator 6 s after discovery could be reached, whether or not its calls
// succeeded. Whenever discovery becomes reachable again, an answer must arrive within that time.
TEST(DiscoverySchedule, AnswerArrivesWithinTheAssumedTimeAfterAnyOutage) {
  const Duration refused = 1ms, connect_timeout = 250ms;
  for (const int coordinators : {1, 6, 20, 30, 100, 300})
    for (const Duration failed_after : {refused, connect_timeout})
      for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        DiscoverySchedule schedule(make_options(coordinators), seed);
        schedule.start(kStart);
        // An outage of a minute: refused or unanswered connection attempts.
        TimePoint now = schedule.next_call();
        Duration longest{};
        while (now < kStart + 60s) {
          const TimePoint started_at = now;
          schedule.call_started(now);
          schedule.call_failed(now + failed_after);
          now = schedule.next_call();
          // Worst case: discovery becomes reachable again just after the call started.
          longest = std::max(longest, now - started_at);
        }
        ASSERT_LE(longest + 1s, 6s) << coordinators;
        // A watch that gets no answer, just after a successful call, and the call that follows.
        schedule.call_succeeded(now);
        schedule.call_started(now);
        schedule.call_failed(now + schedule.watch_wait() + schedule.watch_slack());
        // A hundred coordinators cannot be served at once: within the grace period of 2 s that follows.
        ASSERT_LE(schedule.next_call() + 1s - now, coordinators <= 30 ? 6s : 8s) << coordinators;
        // Repeated calls that time out in discovery's queue.
        for (int i = 0; i < 8; ++i) {
          const TimePoint ended = schedule.next_call() + schedule.watch_slack();
          schedule.call_started(schedule.next_call());
          schedule.call_failed(ended);
          ASSERT_LE(schedule.next_call() + 1s - ended, coordinators <= 30 ? 6s : 11s) << coordinators;
        }
      }
}

// Where lists are pushed, changes that the agent has count as known: after any call, answered or not, the
// answer to the next one must arrive within the grace period.
TEST(DiscoverySchedule, PushedListIsPolledWithinTheGracePeriod) {
  DiscoveryScheduleOptions options = make_options(10'000);
  options.pushed = true;
  options.push_grace = 500ms;
  DiscoverySchedule schedule(options, 5);
  schedule.start(kStart);
  EXPECT_EQ(schedule.next_call(), kStart);  // calls to the local agent need no spreading
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    schedule.call_started(now);
    schedule.call_failed(now + schedule.watch_wait() + schedule.watch_slack());
    // A failed call is not repeated without a pause.
    EXPECT_GT(schedule.next_call(), now + schedule.watch_wait() + schedule.watch_slack());
    EXPECT_LT(schedule.next_call(), now + options.push_grace);
    now = schedule.next_call();
  }
  schedule.call_started(now);
  schedule.call_succeeded(now);  // an agent that answers without waiting
  EXPECT_GE(schedule.next_call(), now + 20ms);
  EXPECT_LE(schedule.next_call(), now + 100ms);
  schedule.call_started(now);
  schedule.call_succeeded(now + schedule.watch_wait());
  EXPECT_EQ(schedule.next_call(), now + schedule.watch_wait());
}

TEST(DiscoverySchedule, CallIntervalStaysWithinTheSettingsForAnyFleetSize) {
  DiscoveryScheduleOptions options = make_options(10'000);
  options.max_poll_interval = 4s;
  DiscoverySchedule schedule(options, 5);
  schedule.start(kStart);
  EXPECT_LE(schedule.next_call(), kStart + 2s);
  for (int i = 0; i < 10; ++i) schedule.call_failed(kStart);
  EXPECT_LE(schedule.next_call(), kStart + 4s);
  EXPECT_LE(schedule.watch_wait(), 2s);
}
