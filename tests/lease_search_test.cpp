// SPDX-License-Identifier: MIT
// Enumerates the states that three acceptors and two proposers can reach: each message may be lost, delayed,
// duplicated or reordered, time may pass before any step, clocks run at the two extremes of the drift bound,
// acceptors and proposers restart. Runs the production classes.
#include <gtest/gtest.h>
#include <xxhash.h>

#include <deque>
#include <unordered_set>

#include "kelpdeal/lease/lease.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;
using namespace kelpdeal::lease;

constexpr std::int64_t kFast = 10, kSlow = 8;  // advance of a clock in ms per step of true time
const char* const kTask = "watch";
// Sanitizer builds look for other faults and need a hundred times as long per state.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kSanitized = true;
#else
constexpr bool kSanitized = false;
#endif

Bounds short_bounds() {
  Bounds bounds;
  bounds.lease_duration = 20ms;      // two steps of a fast clock
  bounds.max_clock_drift = 1.0 / 9;  // of the rates 10 and 8
  bounds.round_timeout = 1ms;        // shorter than a step: a proposer may retry at any step
  return bounds;
}

// The events that one search allows.
struct Plan {
  std::int64_t max_steps = 5;       // of true time
  std::vector<int> acquires{1, 1};  // per proposer: calls that acquire or renew
  int acceptor_restarts = 0, proposer_restarts = 0, releases = 0;
  bool refusals = false;     // delivered; otherwise all are lost
  bool keeps_floor = false;  // acceptors restart with the highest ballot that they had promised
  std::vector<std::int64_t> acceptor_rates{kFast, kFast, kFast}, proposer_rates{kSlow, kSlow};
};

struct Sent {
  bool to_acceptor = false;
  int to = 0, from = 0;
  Message message;
  auto operator<=>(const Sent&) const = default;
};

struct SystemState {
  std::vector<Acceptor> acceptors;
  std::vector<Proposer> proposers;
  std::vector<std::string> acceptor_states, proposer_states;  // current
  std::vector<int> acquires{0, 0}, incarnations{1, 1};
  // All messages so far, as sorted indices: each may be delivered at any time, any number of times.
  std::vector<std::uint16_t> sent;
  std::int64_t time = 0;
  int acceptor_restarts = 0, proposer_restarts = 0, releases = 0;
  Ballot latest_token;  // of the latest holder
};

class Search {
 public:
  explicit Search(const Plan& plan) : plan_(plan) {
    SystemState state;
    for (int i = 0; i < 3; ++i) {
      names_.insert(acceptor(i));
      // Started long ago: the silent period is over.
      state.acceptors.emplace_back(short_bounds(), clock(plan_.acceptor_rates, i, 0) - 1s);
    }
    for (int i = 0; i < 2; ++i) state.proposers.emplace_back(proposer(i), 1, names_, short_bounds());
    update_state_texts(state);
    visit(std::move(state));
  }

  // Returns false and sets `violation` as soon as a state breaks a rule.
  bool run() {
    while (!frontier_.empty() && violation.empty()) {
      const SystemState state = std::move(frontier_.back());
      frontier_.pop_back();
      expand(state);
    }
    return violation.empty();
  }
  std::string violation;
  // Visited states: all, those with a holder, those in which the holder changed.
  std::size_t states = 0, states_with_holder = 0, states_with_new_holder = 0;
  bool exhaustive = true;  // all reachable states were visited
  std::size_t max_states = kSanitized ? 2'000 : 100'000;

 private:
  static std::string acceptor(int i) { return "a" + std::to_string(i); }
  static std::string proposer(int i) { return "p" + std::to_string(i); }
  static TimePoint clock(const std::vector<std::int64_t>& rates, int i, std::int64_t time) {
    return TimePoint{} + 1h + Milliseconds(rates[static_cast<std::size_t>(i)] * time);
  }
  TimePoint acceptor_clock(const SystemState& state, int i) const {
    return clock(plan_.acceptor_rates, i, state.time);
  }
  TimePoint proposer_clock(const SystemState& state, int i) const {
    return clock(plan_.proposer_rates, i, state.time);
  }

  void update_state_texts(SystemState& state) const {
    state.acceptor_states.clear(), state.proposer_states.clear();
    for (int i = 0; i < 3; ++i)
      state.acceptor_states.push_back(
          state.acceptors[static_cast<std::size_t>(i)].state_text(acceptor_clock(state, i)));
    for (int i = 0; i < 2; ++i)
      state.proposer_states.push_back(
          state.proposers[static_cast<std::size_t>(i)].state_text(proposer_clock(state, i)));
  }
  void send(SystemState& state, Sent entry) {
    const auto [at, fresh] =
        numbers_.try_emplace(std::move(entry), static_cast<std::uint16_t>(table_.size()));
    if (fresh) table_.push_back(&at->first);
    const auto place = std::lower_bound(state.sent.begin(), state.sent.end(), at->second);
    if (place == state.sent.end() || *place != at->second) state.sent.insert(place, at->second);
  }
  void send_all(SystemState& state, int from, const std::vector<Outgoing>& out) {
    for (const Outgoing& entry : out) send(state, {true, entry.to.back() - '0', from, entry.message});
  }
  // Replaces a proposer in place; its fields are const.
  void replace(SystemState& state, int i, Proposer&& proposer) {
    const auto at = static_cast<std::size_t>(i);
    std::destroy_at(&state.proposers[at]);
    std::construct_at(&state.proposers[at], std::move(proposer));
    state.proposer_states[at] = state.proposers[at].state_text(proposer_clock(state, i));
  }
  void replace(SystemState& state, int i, Acceptor&& acceptor) {
    const auto at = static_cast<std::size_t>(i);
    std::destroy_at(&state.acceptors[at]);
    std::construct_at(&state.acceptors[at], std::move(acceptor));
    state.acceptor_states[at] = state.acceptors[at].state_text(acceptor_clock(state, i));
  }

  void visit(SystemState state) {
    std::string text{static_cast<char>(state.time), static_cast<char>(state.acceptor_restarts),
                     static_cast<char>(state.proposer_restarts), static_cast<char>(state.releases)};
    for (const int acquires : state.acquires) text += static_cast<char>(acquires);
    text += std::to_string(state.latest_token.number) + state.latest_token.member;
    for (const std::string& entry : state.acceptor_states) text += "#" + entry;
    for (const std::string& entry : state.proposer_states) text += "#" + entry;
    text.append(reinterpret_cast<const char*>(state.sent.data()), 2 * state.sent.size());
    if (seen_.contains(XXH64(text.data(), text.size(), 0))) return;
    if (states >= max_states) {
      exhaustive = false;
      return;
    }
    seen_.insert(XXH64(text.data(), text.size(), 0));
    ++states;
    int holders = 0;
    for (int i = 0; i < 2; ++i) {
      const Proposer& entry = state.proposers[static_cast<std::size_t>(i)];
      if (!entry.holds(kTask, proposer_clock(state, i))) continue;
      ++holders;
      const Ballot token = entry.token(kTask);
      if (token < state.latest_token && (plan_.acceptor_restarts == 0 || plan_.keeps_floor))
        violation = "token went backwards at " + entry.state_text(proposer_clock(state, i));
      states_with_new_holder += state.latest_token.number > 0 && state.latest_token.member != token.member;
      state.latest_token = std::max(state.latest_token, token);
    }
    states_with_holder += holders > 0;
    if (holders > 1)
      violation = "two holders: " + state.proposer_states[0] + " and " + state.proposer_states[1];
    frontier_.push_back(std::move(state));
  }

  void expand(const SystemState& state) {
    if (state.time < plan_.max_steps) {
      SystemState next = state;
      ++next.time;
      update_state_texts(next);
      visit(std::move(next));
    }
    for (const std::uint16_t number : state.sent) {
      const Sent entry = *table_[number];
      const auto at = static_cast<std::size_t>(entry.to);
      if (entry.to_acceptor) {
        Acceptor there = state.acceptors[at];
        const auto answer = there.handle_message(entry.message, acceptor_clock(state, entry.to));
        const bool counts = answer && (plan_.refusals || answer->kind != Message::Kind::refuse);
        if (!counts && there.state_text(acceptor_clock(state, entry.to)) == state.acceptor_states[at])
          continue;
        SystemState next = state;
        replace(next, entry.to, std::move(there));
        if (counts) send(next, {false, entry.from, entry.to, *answer});
        visit(std::move(next));
      } else {
        Proposer there = state.proposers[at];
        const auto out =
            there.handle_message(acceptor(entry.from), entry.message, proposer_clock(state, entry.to));
        if (out.empty() && there.state_text(proposer_clock(state, entry.to)) == state.proposer_states[at])
          continue;
        SystemState next = state;
        replace(next, entry.to, std::move(there));
        send_all(next, entry.to, out);
        visit(std::move(next));
      }
    }
    for (int i = 0; i < 2; ++i) {
      const auto at = static_cast<std::size_t>(i);
      const auto act = [&](auto what, int SystemState::*counter) {
        Proposer there = state.proposers[at];
        const auto out = what(there);
        if (out.empty()) return;
        SystemState next = state;
        replace(next, i, std::move(there));
        send_all(next, i, out);
        if (counter) ++(next.*counter);
        if (!counter) ++next.acquires[at];
        visit(std::move(next));
      };
      if (state.acquires[at] < plan_.acquires[at])
        act([&](Proposer& t) { return t.acquire_or_renew(kTask, proposer_clock(state, i)); }, nullptr);
      if (state.releases < plan_.releases)
        act([&](Proposer& t) { return t.release(kTask, proposer_clock(state, i)); }, &SystemState::releases);
      if (state.proposer_restarts < plan_.proposer_restarts && state.acquires[at] > 0) {
        SystemState next = state;
        ++next.proposer_restarts;
        replace(next, i,
                Proposer(proposer(i), static_cast<std::uint64_t>(++next.incarnations[at]), names_,
                         short_bounds()));
        visit(std::move(next));
      }
    }
    if (state.acceptor_restarts < plan_.acceptor_restarts)
      for (int i = 0; i < 3; ++i) {
        SystemState next = state;
        ++next.acceptor_restarts;
        const Ballot floor =
            plan_.keeps_floor ? next.acceptors[static_cast<std::size_t>(i)].highest_promised() : Ballot{};
        replace(next, i, Acceptor(short_bounds(), acceptor_clock(next, i), floor));
        visit(std::move(next));
      }
  }

  const Plan plan_;
  std::set<std::string> names_;
  std::vector<SystemState> frontier_;
  std::unordered_set<std::uint64_t> seen_;
  std::map<Sent, std::uint16_t> numbers_;
  std::vector<const Sent*> table_;
};

void search(const char* name, const Plan& plan) {
  Search search(plan);
  if (const char* most = std::getenv("KELPDEAL_STATES")) search.max_states = std::strtoull(most, nullptr, 10);
  EXPECT_TRUE(search.run()) << search.violation;
  std::printf("%s: %zu states%s, %zu with a holder, %zu after a change of holder\n", name, search.states,
              search.exhaustive ? " (all)" : "", search.states_with_holder, search.states_with_new_holder);
  EXPECT_GT(search.states_with_holder, 0u);
  if (!kSanitized) {
    EXPECT_GT(search.states_with_new_holder, 0u);
  }
}

TEST(LeaseSearch, LostDelayedDuplicatedAndReorderedMessages) {
  Plan plan;
  plan.max_steps = 3;
  search("two proposers", plan);
}

TEST(LeaseSearch, Renewals) {
  Plan plan;
  plan.max_steps = 3;
  plan.acquires = {2, 1};
  search("renewal", plan);
}

TEST(LeaseSearch, AcceptorRestartsWithoutState) {
  Plan plan;
  plan.max_steps = 3;
  plan.acceptor_restarts = 1;
  search("acceptor restarts", plan);
}

TEST(LeaseSearch, AcceptorRestartWithFloorKeepsTokensMonotonic) {
  Plan plan;
  plan.max_steps = 3;
  plan.acceptor_restarts = 1;
  plan.keeps_floor = true;
  search("acceptor restarts with its floor", plan);
}

TEST(LeaseSearch, ProposerRestarts) {
  Plan plan;
  plan.max_steps = 2;
  plan.acquires = {2, 1};
  plan.proposer_restarts = 1;
  search("proposer restarts", plan);
}

TEST(LeaseSearch, Release) {
  Plan plan;
  plan.max_steps = 2;
  plan.acquires = {2, 1};
  plan.releases = 1;
  search("release", plan);
}

}  // namespace
}  // namespace kelpdeal::test
