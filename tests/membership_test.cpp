// SPDX-License-Identifier: MIT
// The membership protocol in virtual time: many members, a network with loss, delay and partitions, members
// that freeze, crash and restart. Checks the final views of all members and who was wrongly declared dead.
#include "kelpdeal/membership/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>

using namespace kelpdeal;
using namespace kelpdeal::membership;
using namespace std::chrono_literals;

namespace {

class SimulatedFleet {
 public:
  SimulatedFleet(int size, std::uint64_t seed, const Bounds& bounds = {}) : bounds_(bounds), random_(seed) {
    for (int i = 0; i < size; ++i) names_.push_back("n" + std::to_string(i));
    for (const std::string& name : names_) start(name);
  }

  // Each process knows the first three members from the fleet file.
  void start(const std::string& name) {
    Process& process = processes_[name];
    process.membership = std::make_unique<Membership>(name, ++incarnations_, bounds_, random_());
    process.frozen_until = {};
    process.displaced = false;
    const std::vector<std::string> peers(names_.begin(),
                                         names_.begin() + std::min<std::size_t>(3, names_.size()));
    apply_actions(name, process.membership->start(peers, now));
  }
  void kill(const std::string& name) { processes_[name].membership.reset(); }
  void freeze(const std::string& name, Duration span) { processes_[name].frozen_until = now + span; }
  void leave(const std::string& name) { apply_actions(name, processes_[name].membership->leave(now)); }
  Membership& at(const std::string& name) { return *processes_[name].membership; }
  bool displaced(const std::string& name) { return processes_[name].displaced; }

  void run(Duration span) {
    const TimePoint until = now + span;
    for (;;) {
      TimePoint at = until;
      if (!in_flight_.empty()) at = std::min(at, in_flight_.top().at);
      for (const auto& [name, process] : processes_)
        if (process.membership)
          at = std::min(at, std::max(process.membership->next_tick_at(), process.frozen_until));
      now = std::max(now, at);
      if (at >= until) return;
      while (!in_flight_.empty() && in_flight_.top().at <= now) {
        InFlightMessage in_flight = in_flight_.top();
        in_flight_.pop();
        Process& to = processes_[in_flight.to];
        if (!to.membership) continue;
        if (to.frozen_until > now) {  // it reads the message when it resumes
          in_flight.at = to.frozen_until + 1us;
          in_flight_.push(std::move(in_flight));
          continue;
        }
        apply_actions(in_flight.to, to.membership->handle_message(in_flight.from, in_flight.message, now));
      }
      for (auto& [name, process] : processes_)
        if (process.membership && process.frozen_until <= now && process.membership->next_tick_at() <= now)
          apply_actions(name, process.membership->tick(now));
    }
  }

  // The state that all running processes assign to a member, if they agree.
  std::optional<State> agreed_state(const std::string& of) {
    std::optional<State> all;
    for (const auto& [name, process] : processes_) {
      if (!process.membership || name == of) continue;
      const auto it = process.membership->members().find(of);
      const State state = it == process.membership->members().end() ? State::dead : it->second.state;
      if (all && *all != state) return std::nullopt;
      all = state;
    }
    return all;
  }
  bool all_alive() {
    return std::all_of(names_.begin(), names_.end(),
                       [this](const std::string& name) { return agreed_state(name) == State::alive; });
  }

  TimePoint now{1h};
  double loss_rate = 0;
  Duration delay = 2ms;
  std::function<bool(const std::string&, const std::string&)> link_blocked;  // from, to
  std::map<std::string, std::set<std::string>> declared_dead;                // whom, by whom
  std::map<std::string, std::size_t> sent, bytes;

 private:
  struct InFlightMessage {
    TimePoint at;
    std::string from, to;
    Message message;
    bool operator<(const InFlightMessage& other) const { return at > other.at; }
  };
  struct Process {
    std::unique_ptr<Membership> membership;
    TimePoint frozen_until{};
    bool displaced = false;
  };
  void apply_actions(const std::string& name, std::vector<Action> actions) {
    for (Action& action : actions) {
      if (auto* send = std::get_if<Send>(&action)) {
        ++sent[name];
        bytes[name] += 16 + 24 * send->message.updates.size();
        if (std::uniform_real_distribution<>(0, 1)(random_) < loss_rate) continue;
        if (link_blocked && link_blocked(name, send->to)) continue;
        const double delay_factor = std::uniform_real_distribution<>(0.5, 1.5)(random_);
        in_flight_.push({now + to_duration(FractionalMs(delay) * delay_factor), name, send->to,
                         std::move(send->message)});
      } else if (const auto* changed = std::get_if<MemberChanged>(&action)) {
        if (changed->state == State::dead) declared_dead[changed->name].insert(name);
      } else {
        processes_[name].displaced = true;
      }
    }
  }
  const Bounds bounds_;
  std::mt19937_64 random_;
  std::uint64_t incarnations_ = 0;
  std::vector<std::string> names_;
  std::map<std::string, Process> processes_;
  std::priority_queue<InFlightMessage> in_flight_;
};

}  // namespace

TEST(Membership, AllMembersDiscoverEachOtherThroughConfiguredPeers) {
  for (const int size : {3, 30, 300}) {
    SimulatedFleet fleet(size, 1);
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_alive()) << size;
    EXPECT_TRUE(fleet.declared_dead.empty()) << size;
  }
}

TEST(Membership, KilledMemberIsDeadForAllAndRejoinsWithHigherIncarnation) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SimulatedFleet fleet(7, seed);
    fleet.run(10s);
    const MemberVersion before = fleet.at("n0").members().at("n5").version;
    fleet.kill("n5");
    fleet.run(60s);
    EXPECT_EQ(fleet.agreed_state("n5"), State::dead);
    EXPECT_EQ(fleet.declared_dead.size(), 1u);
    fleet.start("n5");
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_alive());
    EXPECT_GT(fleet.at("n0").members().at("n5").version, before);
  }
}

// Message and byte rates per member must not grow with the fleet.
TEST(Membership, CostPerMemberIsIndependentOfFleetSize) {
  std::map<int, double> per_second, bytes;
  for (const int size : {10, 100}) {
    SimulatedFleet fleet(size, 3);
    fleet.run(150s);  // the updates from the start have spread
    fleet.sent.clear();
    fleet.bytes.clear();
    fleet.run(60s);
    for (const auto& [name, count] : fleet.sent) per_second[size] += static_cast<double>(count) / 60 / size;
    for (const auto& [name, count] : fleet.bytes) bytes[size] += static_cast<double>(count) / 60 / size;
  }
  EXPECT_LT(per_second[100], 1.2 * per_second[10]);
  EXPECT_LT(bytes[100], 1.5 * bytes[10]);
}

TEST(Membership, TwentyPercentMessageLossDeclaresNobodyDead) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SimulatedFleet fleet(30, seed);
    fleet.run(20s);
    fleet.declared_dead.clear();
    fleet.loss_rate = 0.2;
    fleet.delay = 50ms;
    fleet.run(300s);
    EXPECT_TRUE(fleet.declared_dead.empty()) << fleet.declared_dead.size();
    fleet.loss_rate = 0;
    fleet.run(30s);
    EXPECT_TRUE(fleet.all_alive());
  }
}

// A member that was paused received nothing meanwhile; that is a local problem and must not count against
// others.
TEST(Membership, ResumedMemberDeclaresNobodyDeadAndRejoins) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    SimulatedFleet fleet(7, seed);
    fleet.run(10s);
    for (const Duration span : {700ms, 3'000ms, 120'000ms}) {
      fleet.declared_dead.clear();
      fleet.freeze("n2", span);
      fleet.run(span + 40s);
      for (const auto& [whom, by] : fleet.declared_dead) {
        EXPECT_EQ(whom, "n2") << "accused by " << *by.begin();
        EXPECT_FALSE(by.contains("n2"));
      }
      if (span < 5s) {
        EXPECT_TRUE(fleet.declared_dead.empty());
      }
      EXPECT_TRUE(fleet.all_alive());
    }
  }
}

// The pause begins after a probe was sent and ends long after its timeout: the target must not be suspected,
// and older suspicions must be extended by the length of the pause.
TEST(Membership, ProbePendingDuringFreezeCausesNoSuspicion) {
  Membership member("n1", 1, {}, 5);
  TimePoint now{1h};
  member.start({"n2", "n3"}, now);
  Message hello;
  hello.updates = {
      {"n2", {1, 0}, State::alive}, {"n3", {1, 0}, State::alive}, {"n3", {1, 0}, State::suspect}};
  member.handle_message("n2", hello, now);
  const auto suspects_anyone = [&](std::vector<Action> actions) {
    return std::any_of(actions.begin(), actions.end(), [](const Action& action) {
      const auto* changed = std::get_if<MemberChanged>(&action);
      return changed && changed->state != State::alive;
    });
  };
  const auto sends_ping = [&](const std::vector<Action>& actions) {
    return std::any_of(actions.begin(), actions.end(), [](const Action& action) {
      const auto* send = std::get_if<Send>(&action);
      return send && send->to == "n2" && send->message.kind == Message::Kind::ping;
    });
  };
  for (int i = 0; i < 10; ++i) {
    now = std::max(member.next_tick_at(), now);
    if (sends_ping(member.tick(now))) break;
  }
  now += 60s;
  EXPECT_FALSE(suspects_anyone(member.tick(now)));
  EXPECT_GE(member.local_health_score(), 1);
}

TEST(Membership, PartitionedSidesRejoinAfterHealing) {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    SimulatedFleet fleet(10, seed);
    fleet.run(10s);
    const auto side = [](const std::string& name) { return name < "n4"; };
    fleet.link_blocked = [&](const std::string& a, const std::string& b) { return side(a) != side(b); };
    fleet.run(120s);
    EXPECT_EQ(fleet.at("n0").members().at("n7").state, State::dead);
    EXPECT_EQ(fleet.at("n7").members().at("n0").state, State::dead);
    EXPECT_EQ(fleet.at("n7").members().at("n8").state, State::alive);
    fleet.link_blocked = nullptr;
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_alive());
  }
}

// Other members relay the probe and the ack.
TEST(Membership, OneWayLinkFailureDeclaresNobodyDead) {
  SimulatedFleet fleet(7, 5);
  fleet.run(10s);
  fleet.link_blocked = [](const std::string& a, const std::string& b) { return a == "n1" && b == "n4"; };
  fleet.run(300s);
  EXPECT_TRUE(fleet.declared_dead.empty());
}

TEST(Membership, GracefulLeaveIsNotReportedAsDeath) {
  SimulatedFleet fleet(7, 6);
  fleet.run(10s);
  fleet.leave("n3");
  fleet.run(200ms);
  fleet.kill("n3");
  fleet.run(60s);
  EXPECT_EQ(fleet.agreed_state("n3"), State::left);
  EXPECT_TRUE(fleet.declared_dead.empty());
  fleet.start("n3");
  fleet.run(20s);
  EXPECT_TRUE(fleet.all_alive());
}

TEST(Membership, OlderProcessWithSameNameIsDisplaced) {
  Membership first("n1", 5, {}, 1);
  first.start({"n2"}, TimePoint{1h});
  Message updates;
  updates.kind = Message::Kind::ping;
  updates.updates.push_back({"n1", {9, 0}, State::alive});
  const auto actions = first.handle_message("n2", updates, TimePoint{1h} + 1s);
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(),
                          [](const Action& action) { return std::get_if<Displaced>(&action); }));
  EXPECT_TRUE(first.tick(TimePoint{1h} + 2s).empty());  // a displaced member is silent
}

TEST(Membership, MemberCountIsLimited) {
  Bounds bounds;
  bounds.max_members = 10;
  Membership member("n1", 5, bounds, 1);
  member.start({"n2"}, TimePoint{1h});
  Message updates;
  for (int i = 0; i < 100; ++i) updates.updates.push_back({"x" + std::to_string(i), {1, 0}, State::alive});
  member.handle_message("n2", updates, TimePoint{1h} + 1s);
  EXPECT_LE(member.members().size(), 10u);
}
