// SPDX-License-Identifier: MIT
// Team rate contracts across a fleet in virtual time: the total admitted with unevenly distributed clients,
// delayed reports, partitions and restarting members.
#include "kelpdeal/replica/budget.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>

using namespace kelpdeal;
using namespace kelpdeal::replica;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 100, kBurst = 50;

class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t size, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) members_.push_back(Member{});
    for (std::size_t i = 0; i < size; ++i) start(i);
  }
  void start(std::size_t i) {
    members_[i].account = {};
    members_[i].budget.emplace("n" + std::to_string(i), ++incarnations_, kRate, kBurst, members_.size(),
                               BudgetBounds{}, now);
  }
  // `demand`: mean requests per second at each member.
  void run(Duration span, const std::vector<double>& demand) {
    const TimePoint until = now + span;
    for (; now < until; now += 10ms) {
      for (std::size_t i = 0; i < members_.size(); ++i) {
        Member& member = members_[i];
        for (int count = std::poisson_distribution<>(demand[i] / 100)(random_); count > 0; --count)
          admitted[i] += member.budget->admit(now);
      }
      if ((now - start_) % 100ms != 0ms) continue;
      // Each member reports to all others, with a delay.
      for (std::size_t i = 0; i < members_.size(); ++i) {
        Value own = members_[i].account;
        join(own, members_[i].budget->account());
        members_[i].account = std::get<Account>(own);
        for (std::size_t j = 0; j < members_.size(); ++j)
          if (i != j && !(link_blocked && link_blocked(i, j)))
            pending_reports_.push_back({now + report_delay, i, j, members_[i].account});
      }
      for (; !pending_reports_.empty() && pending_reports_.front().at <= now; pending_reports_.pop_front()) {
        Member& to = members_[pending_reports_.front().to];
        Value account = to.account;
        join(account, pending_reports_.front().account);
        to.account = std::get<Account>(account);
        to.budget->record_heard("n" + std::to_string(pending_reports_.front().from), now);
        to.budget->apply_account(to.account, now);
      }
    }
  }
  std::uint64_t total_admitted() const {
    std::uint64_t sum = 0;
    for (const auto& [member, count] : admitted) sum += count;
    return sum;
  }

  TimePoint now{1h};
  Duration report_delay = 100ms;
  std::function<bool(std::size_t, std::size_t)> link_blocked;
  std::map<std::size_t, std::uint64_t> admitted;

 private:
  struct Member {
    std::optional<TeamBudget> budget;
    Account account;
  };
  struct PendingReport {
    TimePoint at;
    std::size_t from, to;
    Account account;
  };
  const TimePoint start_{1h};
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::deque<PendingReport> pending_reports_;
  std::uint64_t incarnations_ = 0;
};

// The maximum that the contract allows in that time.
double max_admitted(Duration span) { return kBurst + kRate * FractionalMs(span).count() / 1'000; }

}  // namespace

TEST(TeamBudget, UnevenDemandUsesTheWholeRate) {
  SimulatedFleet fleet(5, 1);
  const std::vector<double> uneven = {160, 10, 10, 10, 10};
  fleet.run(60s, uneven);
  const auto total_admitted = static_cast<double>(fleet.total_admitted());
  EXPECT_LE(total_admitted, 1.02 * max_admitted(60s));
  // A fixed fifth for each member would yield (20 + 4 * 10) / 100.
  EXPECT_GE(total_admitted, 0.85 * max_admitted(60s));
  for (std::size_t i = 1; i < 5; ++i) EXPECT_GE(fleet.admitted[i], 250u);
}

TEST(TeamBudget, DemandAtOneMemberOnlyUsesMostOfTheRate) {
  SimulatedFleet fleet(5, 2);
  fleet.run(60s, {300, 0, 0, 0, 0});
  EXPECT_LE(static_cast<double>(fleet.total_admitted()), 1.02 * max_admitted(60s));
  EXPECT_GE(static_cast<double>(fleet.total_admitted()), 0.7 * max_admitted(60s));
}

// Overload at all members with delayed reports: the excess is what was admitted but not reported yet.
TEST(TeamBudget, DelayedReportsCauseBoundedExcess) {
  for (const Duration report_delay : {50ms, 300ms, 900ms}) {
    SimulatedFleet fleet(5, 3);
    fleet.report_delay = report_delay;
    fleet.run(60s, {300, 300, 300, 300, 300});
    EXPECT_LE(static_cast<double>(fleet.total_admitted()), max_admitted(60s) + kRate) << report_delay.count();
    EXPECT_GE(static_cast<double>(fleet.total_admitted()), 0.85 * max_admitted(60s));
  }
}

TEST(TeamBudget, PartitionedSidesTogetherStayWithinTheContract) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet(5, seed);
    fleet.run(10s, {5, 5, 5, 5, 5});  // the bucket is full when the partition starts
    const std::uint64_t before = fleet.total_admitted();
    fleet.link_blocked = [](std::size_t a, std::size_t b) { return (a < 2) != (b < 2); };
    fleet.run(30s, {300, 300, 300, 300, 300});
    EXPECT_LE(static_cast<double>(fleet.total_admitted() - before), 1.1 * max_admitted(30s)) << seed;
    const std::uint64_t small_side = fleet.admitted[0] + fleet.admitted[1];
    EXPECT_GE(small_side, 800u);  // two fifths of the refill belong to this side
    fleet.link_blocked = nullptr;
    const std::uint64_t healed = fleet.total_admitted();
    fleet.run(30s, {300, 300, 300, 300, 300});
    EXPECT_LE(static_cast<double>(fleet.total_admitted() - healed), max_admitted(30s));
    EXPECT_GE(static_cast<double>(fleet.total_admitted() - healed), 0.8 * max_admitted(30s));
  }
}

// A restart must not gain a burst.
TEST(TeamBudget, RepeatedRestartsGainNothing) {
  SimulatedFleet fleet(5, 4);
  fleet.run(5s, {300, 300, 300, 300, 300});
  const std::uint64_t before = fleet.total_admitted();
  for (std::size_t i = 0; i < 30; ++i) {
    fleet.start(i % 5);
    fleet.run(1s, {300, 300, 300, 300, 300});
  }
  EXPECT_LE(static_cast<double>(fleet.total_admitted() - before), 1.05 * max_admitted(30s));
}

TEST(TeamBudget, RefusalReportsRetryAfter) {
  TeamBudget budget("n1", 1, 10, 5, 2, {}, TimePoint{1h});
  EXPECT_FALSE(budget.admit(TimePoint{1h}));
  const Duration wait = budget.retry_after(5s);
  EXPECT_GT(wait, 50ms);
  EXPECT_LE(wait, 5s);
  EXPECT_TRUE(budget.admit(TimePoint{1h} + wait + 100ms));
}
