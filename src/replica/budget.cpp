// SPDX-License-Identifier: MIT
#include "kelpdeal/replica/budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kelpdeal::replica {
namespace {

double ms(Duration span) { return FractionalMs(span).count(); }

// Towards `now_rate` over about `over`.
double averaged(double rate, double now_rate, Duration span, Duration over) {
  return rate + (now_rate - rate) * -std::expm1(-ms(span) / ms(over));
}

}  // namespace

TeamBudget::TeamBudget(std::string name, std::uint64_t incarnation, double per_second, double burst,
                       std::size_t members, const BudgetBounds& bounds, TimePoint now)
    : name_(std::move(name)),
      incarnation_(incarnation),
      per_ms_(per_second / 1'000),
      burst_(burst),
      members_(std::max<std::size_t>(members, 1)),
      bounds_(bounds),
      // Guards against a burst won by each restart: one that comes begins with nothing left, and is dealt its
      // share of what comes in.
      level_(0),
      filled_(now),
      dealt_(now),
      credited_(now),
      learnt_(now) {}

void TeamBudget::fill(TimePoint now) {
  if (now <= filled_) return;
  // What falls to members that are silent is theirs, on whatever side they are.
  const double part = static_cast<double>(hearing_) / static_cast<double>(members_);
  level_ = std::min(burst_ * part, level_ + per_ms_ * part * ms(now - filled_));
  filled_ = now;
}

void TeamBudget::record_heard(const std::string& member, TimePoint now) {
  if (member == name_) return;
  Member& other = others_[member];
  // What it spent meanwhile was of its own part.
  if (now - other.heard > bounds_.silent) other.known = false;
  other.heard = now;
}

void TeamBudget::learn(const Account& account, TimePoint now) {
  fill(now);
  std::map<std::string, Account::Spent> sums;
  for (const auto& [who, spent] : account.by) {
    if (who.first == name_) continue;
    sums[who.first].admitted += spent.admitted;
    sums[who.first].attempted += spent.attempted;
  }
  for (const auto& [member, sum] : sums) {
    Member& other = others_[member];
    if (now - other.heard > bounds_.silent) continue;  // told of by others
    // What it did before it was heard of was taken from what there was then.
    const bool known = std::exchange(other.known, true);
    if (known && sum.admitted > other.sum.admitted)
      level_ -= static_cast<double>(sum.admitted - other.sum.admitted);
    // By what it was asked for, as for oneself: by what it admitted, one that has little would get less and
    // less.
    if (known && sum.attempted > other.sum.attempted)
      other.demand += static_cast<double>(sum.attempted - other.sum.attempted) / (ms(bounds_.demand) / 1'000);
    other.sum = sum;
  }
  // What nobody tells of any more fades.
  for (auto& [member, other] : others_)
    other.demand = averaged(other.demand, 0, now - learnt_, bounds_.demand);
  learnt_ = now;
}

void TeamBudget::deal(TimePoint now) {
  if (now - dealt_ < bounds_.look && share_of_ > 0) return;
  fill(now);
  const Duration span = std::max<Duration>(now - dealt_, bounds_.look);
  asked_ = averaged(asked_, static_cast<double>(asked_since_) / ms(span) * 1'000, span, bounds_.demand);
  asked_since_ = 0;
  dealt_ = now;
  double demands = asked_;
  std::size_t hearing = 1;
  for (const auto& [member, other] : others_) {
    if (now - other.heard > bounds_.silent) continue;
    ++hearing;
    demands += other.demand;
  }
  hearing = std::min(hearing, members_);
  // Of what is left, those that fell silent keep their part.
  if (hearing < hearing_) level_ *= static_cast<double>(hearing) / static_cast<double>(hearing_);
  hearing_ = hearing;
  const double even = 1.0 / static_cast<double>(hearing);
  const double mine = demands > 0 ? asked_ / demands : even;
  // A little is left for each that was asked for nothing, so that its first request finds room.
  const double least = bounds_.least_share * even;
  share_of_ = least + (1 - bounds_.least_share) * mine;
  share_ = std::max(level_, 0.0) * share_of_;
}

double TeamBudget::rate() const {
  return per_ms_ * share_of_ * static_cast<double>(hearing_) / static_cast<double>(members_);
}

bool TeamBudget::admit(TimePoint now) {
  ++asked_since_;
  ++attempted_;
  deal(now);
  // What comes in is shared alike. One that is asked for little saves up one request over many looks,
  // whatever the others leave meanwhile: its own part is worth at the most that one.
  credit_ = std::min(1.0, credit_ + std::max(0.0, ms(now - credited_)) * rate());
  credited_ = now;
  if (credit_ >= 1)
    credit_ -= 1;
  else if (share_ >= 1)
    share_ -= 1;
  else
    return false;
  fill(now);
  level_ -= 1;
  ++admitted_;
  return true;
}

Account TeamBudget::account() const {
  Account account;
  account.by[{name_, incarnation_}] = {admitted_, attempted_};
  return account;
}

Duration TeamBudget::retry_after(Duration most) const {
  if (rate() <= 0) return most;
  return std::min(most, to_duration(FractionalMs((1 - credit_) / rate())));
}

}  // namespace kelpdeal::replica
