// SPDX-License-Identifier: MIT
#include "kelpdeal/replica/budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kelpdeal::replica {
namespace {

double to_ms(Duration span) { return FractionalMs(span).count(); }

// Exponential average: moves `rate` towards `current_rate` with the time constant `window`.
double averaged(double rate, double current_rate, Duration span, Duration window) {
  return rate + (current_rate - rate) * -std::expm1(-to_ms(span) / to_ms(window));
}

}  // namespace

TeamBudget::TeamBudget(std::string name, std::uint64_t incarnation, double per_second, double burst,
                       std::size_t members, const BudgetBounds& bounds, TimePoint now)
    : name_(std::move(name)),
      incarnation_(incarnation),
      rate_per_ms_(per_second / 1'000),
      burst_(burst),
      members_(std::max<std::size_t>(members, 1)),
      bounds_(bounds),
      // Starts with an empty bucket and only a share of the refill: otherwise each restart would gain a
      // burst.
      level_(0),
      refilled_at_(now),
      recomputed_at_(now),
      credit_updated_at_(now),
      accounts_applied_at_(now) {}

void TeamBudget::refill(TimePoint now) {
  if (now <= refilled_at_) return;
  // The part of unreachable members is reserved for them, on whichever side of a partition they are.
  const double part = static_cast<double>(reachable_members_) / static_cast<double>(members_);
  level_ = std::min(burst_ * part, level_ + rate_per_ms_ * part * to_ms(now - refilled_at_));
  refilled_at_ = now;
}

void TeamBudget::record_heard(const std::string& member, TimePoint now) {
  if (member == name_) return;
  Member& other = others_[member];
  // What it spent while unreachable came out of its own part.
  if (now - other.last_heard_at > bounds_.silence_timeout) other.has_baseline = false;
  other.last_heard_at = now;
}

void TeamBudget::apply_account(const Account& account, TimePoint now) {
  refill(now);
  std::map<std::string, Account::Usage> usage_by_member;
  for (const auto& [process, usage] : account.usage_by_process) {
    if (process.first == name_) continue;
    usage_by_member[process.first].admitted += usage.admitted;
    usage_by_member[process.first].attempted += usage.attempted;
  }
  for (const auto& [member, usage] : usage_by_member) {
    Member& other = others_[member];
    if (now - other.last_heard_at > bounds_.silence_timeout) continue;  // reported by other members only
    // What it spent before it was first heard came out of an earlier level.
    const bool has_baseline = std::exchange(other.has_baseline, true);
    if (has_baseline && usage.admitted > other.usage.admitted)
      level_ -= static_cast<double>(usage.admitted - other.usage.admitted);
    // Weighted by requests attempted, as for this member: weighted by admissions, a member with a small share
    // would get less and less.
    if (has_baseline && usage.attempted > other.usage.attempted)
      other.demand += static_cast<double>(usage.attempted - other.usage.attempted) /
                      (to_ms(bounds_.demand_window) / 1'000);
    other.usage = usage;
  }
  // Demand decays where nothing new is reported.
  for (auto& [member, other] : others_)
    other.demand = averaged(other.demand, 0, now - accounts_applied_at_, bounds_.demand_window);
  accounts_applied_at_ = now;
}

void TeamBudget::recompute_share(TimePoint now) {
  if (now - recomputed_at_ < bounds_.share_interval && share_fraction_ > 0) return;
  refill(now);
  const Duration span = std::max<Duration>(now - recomputed_at_, bounds_.share_interval);
  demand_per_second_ =
      averaged(demand_per_second_, static_cast<double>(requests_since_recompute_) / to_ms(span) * 1'000, span,
               bounds_.demand_window);
  requests_since_recompute_ = 0;
  recomputed_at_ = now;
  double total_demand = demand_per_second_;
  std::size_t reachable = 1;
  for (const auto& [member, other] : others_) {
    if (now - other.last_heard_at > bounds_.silence_timeout) continue;
    ++reachable;
    total_demand += other.demand;
  }
  reachable = std::min(reachable, members_);
  // Members that became unreachable keep their part of the remaining tokens.
  if (reachable < reachable_members_)
    level_ *= static_cast<double>(reachable) / static_cast<double>(reachable_members_);
  reachable_members_ = reachable;
  const double even_fraction = 1.0 / static_cast<double>(reachable);
  const double own_fraction = total_demand > 0 ? demand_per_second_ / total_demand : even_fraction;
  // Reserves a minimum for members without recent requests, so that their first request is admitted.
  const double min_fraction = bounds_.min_share_fraction * even_fraction;
  share_fraction_ = min_fraction + (1 - bounds_.min_share_fraction) * own_fraction;
  spendable_ = std::max(level_, 0.0) * share_fraction_;
}

double TeamBudget::own_rate_per_ms() const {
  return rate_per_ms_ * share_fraction_ * static_cast<double>(reachable_members_) /
         static_cast<double>(members_);
}

bool TeamBudget::admit(TimePoint now) {
  ++requests_since_recompute_;
  ++attempted_;
  recompute_share(now);
  // The refill is shared in the same proportions. A member with little demand saves up one request over many
  // intervals, whatever the others leave over: its own part is capped at that one request.
  credit_ = std::min(1.0, credit_ + std::max(0.0, to_ms(now - credit_updated_at_)) * own_rate_per_ms());
  credit_updated_at_ = now;
  if (credit_ >= 1)
    credit_ -= 1;
  else if (spendable_ >= 1)
    spendable_ -= 1;
  else
    return false;
  refill(now);
  level_ -= 1;
  ++admitted_;
  return true;
}

Account TeamBudget::account() const {
  Account account;
  account.usage_by_process[{name_, incarnation_}] = {admitted_, attempted_};
  return account;
}

Duration TeamBudget::retry_after(Duration max_wait) const {
  if (own_rate_per_ms() <= 0) return max_wait;
  return std::min(max_wait, to_duration(FractionalMs((1 - credit_) / own_rate_per_ms())));
}

}  // namespace kelpdeal::replica
