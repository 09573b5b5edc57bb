// SPDX-License-Identifier: MIT
// One team's contract kept over the whole fleet: how much this member may admit now, from what it has heard
// that the others have admitted. No I/O; the clock is handed in.
//
// What is left of the contract is one bucket, filled at its rate up to its burst, from which everybody's
// admissions are taken as they are heard of. A member may spend a share of it until the next look: what falls
// to those it hears, divided by what each of them was asked for lately, so that uneven clients find the room
// where they are. What falls to members it does not hear stays untouched: on each side of a cut no more is
// spent than that side's members' part of what was left and of what comes in, so both together stay within
// the contract. What is over it in the worst case is what others admit between two looks and have not been
// heard to.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "kelpdeal/replica/values.h"
#include "kelpdeal/time.h"

namespace kelpdeal::replica {

struct BudgetBounds {
  Duration look = std::chrono::milliseconds(100);      // how often shares are dealt anew
  Duration silent = std::chrono::milliseconds(1'500);  // not heard for so long: it is on another side
  Duration demand = std::chrono::seconds(2);  // what each is asked for is averaged over about so long
  double least_share = 0.25;  // of an even share, for a member that was asked for nothing lately
};

class TeamBudget {
 public:
  // `per_second` and `burst` are requests of the whole fleet; `members` is everyone that may serve the team,
  // oneself included, heard or not.
  TeamBudget(std::string name, std::uint64_t incarnation, double per_second, double burst,
             std::size_t members, const BudgetBounds& bounds, TimePoint now);

  void resize(std::size_t members) { members_ = std::max<std::size_t>(members, 1); }
  // A member was heard, whether or not it told of this team.
  void record_heard(const std::string& member, TimePoint now);
  // The account as the copy has it now.
  void learn(const Account& account, TimePoint now);
  // One request: admitted or not. An admission counts at once.
  bool admit(TimePoint now);
  // What this process has admitted, to be put into the copy.
  Account account() const;
  // When to come back: as soon as one more fits, at the share dealt last; at most that.
  Duration retry_after(Duration most) const;
  double level() const { return level_; }

 private:
  struct Member {
    Account::Spent sum;  // over all its processes
    double demand = 0;   // what it is asked for, a second
    bool known = false;
    TimePoint heard{};
  };
  void fill(TimePoint now);
  void deal(TimePoint now);
  double rate() const;  // that comes in for us, a millisecond

  const std::string name_;
  const std::uint64_t incarnation_;
  const double per_ms_, burst_;
  std::size_t members_, hearing_ = 1;
  const BudgetBounds bounds_;
  double level_, share_ = 0, share_of_ = 0, credit_ = 0;
  double asked_ = 0;  // of us, a second, admitted or not
  std::uint64_t admitted_ = 0, attempted_ = 0;
  std::uint64_t asked_since_ = 0;
  std::map<std::string, Member> others_;
  TimePoint filled_, dealt_, credited_, learnt_;
};

}  // namespace kelpdeal::replica
