// SPDX-License-Identifier: MIT
// Enforces one team's rate contract across the whole fleet: decides how much this member may admit now, based
// on what the other members report to have admitted. No I/O; the caller passes the time.
//
// The contract is modelled as one token bucket for the fleet, refilled at the contract's rate up to its
// burst. Admissions of all members are deducted as they become known. Every `share_interval` a member
// computes the share of the bucket that it may spend: the part of the reachable members, divided in
// proportion to their recent demand, so that unevenly distributed clients can use the whole rate. The part of
// unreachable members is not touched: on each side of a partition only that side's part of the remaining
// tokens and of the refill is spent, so both sides together stay within the contract. The worst-case excess
// is what other members admit between two computations without being heard.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "kelpdeal/replica/values.h"
#include "kelpdeal/time.h"

namespace kelpdeal::replica {

struct BudgetBounds {
  Duration share_interval = std::chrono::milliseconds(100);  // how often shares are recomputed
  // A member not heard for this long counts as unreachable.
  Duration silence_timeout = std::chrono::milliseconds(1'500);
  Duration demand_window = std::chrono::seconds(2);  // averaging window of each member's demand
  double min_share_fraction = 0.25;  // of an even share, kept for members without recent requests
};

class TeamBudget {
 public:
  // `per_second` and `burst` apply to the whole fleet; `members` counts all members that may serve the team,
  // including this one, reachable or not.
  TeamBudget(std::string name, std::uint64_t incarnation, double per_second, double burst,
             std::size_t members, const BudgetBounds& bounds, TimePoint now);

  void set_member_count(std::size_t members) { members_ = std::max<std::size_t>(members, 1); }
  // Any message from the member counts, whether or not it concerns this team.
  void record_heard(const std::string& member, TimePoint now);
  // Applies the replicated account as it is now.
  void apply_account(const Account& account, TimePoint now);
  // Decides on one request. An admission is deducted at once.
  bool admit(TimePoint now);
  // What this process has admitted and attempted, to be merged into the replicated account.
  Account account() const;
  // Time until the next request fits into the current share, at most `max_wait`.
  Duration retry_after(Duration max_wait) const;
  double level() const { return level_; }

 private:
  struct Member {
    Account::Usage usage;  // of all processes of that member
    double demand = 0;     // requests per second
    bool has_baseline = false;
    TimePoint last_heard_at{};
  };
  void refill(TimePoint now);
  void recompute_share(TimePoint now);
  double own_rate_per_ms() const;  // this member's part of the refill

  const std::string name_;
  const std::uint64_t incarnation_;
  const double rate_per_ms_, burst_;
  std::size_t members_, reachable_members_ = 1;
  const BudgetBounds bounds_;
  double level_, spendable_ = 0, share_fraction_ = 0, credit_ = 0;
  double demand_per_second_ = 0;  // including refused requests
  std::uint64_t admitted_ = 0, attempted_ = 0;
  std::uint64_t requests_since_recompute_ = 0;
  std::map<std::string, Member> others_;
  TimePoint refilled_at_, recomputed_at_, credit_updated_at_, accounts_applied_at_;
};

}  // namespace kelpdeal::replica
