// SPDX-License-Identifier: MIT
// A team's contract over a fleet in virtual time: what is admitted in all, while clients are uneven, copies
// lag, the fleet is cut, and members start anew.
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

class Fleet {
 public:
  Fleet(std::size_t size, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) members_.push_back(Member{});
    for (std::size_t i = 0; i < size; ++i) start(i);
  }
  void start(std::size_t i) {
    members_[i].copy = {};
    members_[i].budget.emplace("n" + std::to_string(i), ++incarnations_, kRate, kBurst, members_.size(),
                               BudgetBounds{}, now);
  }
  // `asked` a second at each member, drawn.
  void run(Duration span, const std::vector<double>& asked) {
    const TimePoint until = now + span;
    for (; now < until; now += 10ms) {
      for (std::size_t i = 0; i < members_.size(); ++i) {
        Member& member = members_[i];
        for (int n = std::poisson_distribution<>(asked[i] / 100)(random_); n > 0; --n)
          admitted[i] += member.budget->admit(now);
      }
      if ((now - start_) % 100ms != 0ms) continue;
      for (std::size_t i = 0; i < members_.size(); ++i) {  // each tells all, and is heard later
        Value own = members_[i].copy;
        join(own, members_[i].budget->account());
        members_[i].copy = std::get<Account>(own);
        for (std::size_t j = 0; j < members_.size(); ++j)
          if (i != j && !(cut && cut(i, j))) mail_.push_back({now + lag, i, j, members_[i].copy});
      }
      for (; !mail_.empty() && mail_.front().at <= now; mail_.pop_front()) {
        Member& to = members_[mail_.front().to];
        Value copy = to.copy;
        join(copy, mail_.front().account);
        to.copy = std::get<Account>(copy);
        to.budget->record_heard("n" + std::to_string(mail_.front().from), now);
        to.budget->learn(to.copy, now);
      }
    }
  }
  std::uint64_t all() const {
    std::uint64_t sum = 0;
    for (const auto& [member, count] : admitted) sum += count;
    return sum;
  }

  TimePoint now{1h};
  Duration lag = 100ms;
  std::function<bool(std::size_t, std::size_t)> cut;
  std::map<std::size_t, std::uint64_t> admitted;

 private:
  struct Member {
    std::optional<TeamBudget> budget;
    Account copy;
  };
  struct Mail {
    TimePoint at;
    std::size_t from, to;
    Account account;
  };
  const TimePoint start_{1h};
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::deque<Mail> mail_;
  std::uint64_t incarnations_ = 0;
};

// What the contract allows in so long.
double allowed(Duration span) { return kBurst + kRate * FractionalMs(span).count() / 1'000; }

}  // namespace

TEST(TeamBudget, UnevenClientsFindTheRoomWhereTheyAre) {
  Fleet fleet(5, 1);
  const std::vector<double> uneven = {160, 10, 10, 10, 10};
  fleet.run(60s, uneven);
  const auto all = static_cast<double>(fleet.all());
  EXPECT_LE(all, 1.02 * allowed(60s));
  EXPECT_GE(all, 0.85 * allowed(60s));  // a fixed fifth each would come to (20 + 4 * 10) / 100
  for (std::size_t i = 1; i < 5; ++i) EXPECT_GE(fleet.admitted[i], 250u);
}

TEST(TeamBudget, AllAtOneMemberWhileTheOthersAreIdle) {
  Fleet fleet(5, 2);
  fleet.run(60s, {300, 0, 0, 0, 0});
  EXPECT_LE(static_cast<double>(fleet.all()), 1.02 * allowed(60s));
  EXPECT_GE(static_cast<double>(fleet.all()), 0.7 * allowed(60s));
}

// A flood at each, heard late: what is over is what was admitted unheard.
TEST(TeamBudget, LateNewsCostsALittleAndIsPaidBack) {
  for (const Duration lag : {50ms, 300ms, 900ms}) {
    Fleet fleet(5, 3);
    fleet.lag = lag;
    fleet.run(60s, {300, 300, 300, 300, 300});
    EXPECT_LE(static_cast<double>(fleet.all()), allowed(60s) + kRate) << lag.count();
    EXPECT_GE(static_cast<double>(fleet.all()), 0.85 * allowed(60s));
  }
}

TEST(TeamBudget, BothSidesOfACutTogetherStayWithinTheContract) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(5, seed);
    fleet.run(10s, {5, 5, 5, 5, 5});  // the bucket is full as the cut comes
    const std::uint64_t before = fleet.all();
    fleet.cut = [](std::size_t a, std::size_t b) { return (a < 2) != (b < 2); };
    fleet.run(30s, {300, 300, 300, 300, 300});
    EXPECT_LE(static_cast<double>(fleet.all() - before), 1.1 * allowed(30s)) << seed;
    const std::uint64_t small_side = fleet.admitted[0] + fleet.admitted[1];
    EXPECT_GE(small_side, 800u);  // two fifths of what comes in are its own
    fleet.cut = nullptr;
    const std::uint64_t healed = fleet.all();
    fleet.run(30s, {300, 300, 300, 300, 300});
    EXPECT_LE(static_cast<double>(fleet.all() - healed), allowed(30s));
    EXPECT_GE(static_cast<double>(fleet.all() - healed), 0.8 * allowed(30s));
  }
}

// Guards against a burst won by each restart.
TEST(TeamBudget, MembersThatStartAnewAgainAndAgainWinNothing) {
  Fleet fleet(5, 4);
  fleet.run(5s, {300, 300, 300, 300, 300});
  const std::uint64_t before = fleet.all();
  for (std::size_t i = 0; i < 30; ++i) {
    fleet.start(i % 5);
    fleet.run(1s, {300, 300, 300, 300, 300});
  }
  EXPECT_LE(static_cast<double>(fleet.all() - before), 1.05 * allowed(30s));
}

TEST(TeamBudget, ARefusedOneIsToldWhenToComeBack) {
  TeamBudget budget("n1", 1, 10, 5, 2, {}, TimePoint{1h});
  EXPECT_FALSE(budget.admit(TimePoint{1h}));
  const Duration wait = budget.retry_after(5s);
  EXPECT_GT(wait, 50ms);
  EXPECT_LE(wait, 5s);
  EXPECT_TRUE(budget.admit(TimePoint{1h} + wait + 100ms));
}
