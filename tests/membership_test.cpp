// SPDX-License-Identifier: MIT
// The fleet's members in virtual time: many of them, a network that loses, delays and cuts, members that
// freeze, die and come back. Judged by what all believe in the end, and by who was accused wrongly.
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

class Fleet {
 public:
  Fleet(int size, std::uint64_t seed, const Bounds& bounds = {}) : bounds_(bounds), random_(seed) {
    for (int i = 0; i < size; ++i) names_.push_back("n" + std::to_string(i));
    for (const std::string& name : names_) start(name);
  }

  // Each knows the first three by the file, as a real fleet would name a few.
  void start(const std::string& name) {
    Process& process = processes_[name];
    process.membership = std::make_unique<Membership>(name, ++incarnations_, bounds_, random_());
    process.frozen_until = {};
    process.displaced = false;
    const std::vector<std::string> peers(names_.begin(),
                                         names_.begin() + std::min<std::size_t>(3, names_.size()));
    act(name, process.membership->start(peers, now));
  }
  void kill(const std::string& name) { processes_[name].membership.reset(); }
  void freeze(const std::string& name, Duration span) { processes_[name].frozen_until = now + span; }
  void leave(const std::string& name) { act(name, processes_[name].membership->leave(now)); }
  Membership& at(const std::string& name) { return *processes_[name].membership; }
  bool displaced(const std::string& name) { return processes_[name].displaced; }

  void run(Duration span) {
    const TimePoint until = now + span;
    for (;;) {
      TimePoint at = until;
      if (!mail_.empty()) at = std::min(at, mail_.top().at);
      for (const auto& [name, process] : processes_)
        if (process.membership) at = std::min(at, std::max(process.membership->next(), process.frozen_until));
      now = std::max(now, at);
      if (at >= until) return;
      while (!mail_.empty() && mail_.top().at <= now) {
        Mail mail = mail_.top();
        mail_.pop();
        Process& to = processes_[mail.to];
        if (!to.membership) continue;
        if (to.frozen_until > now) {  // it reads it once it wakes
          mail.at = to.frozen_until + 1us;
          mail_.push(std::move(mail));
          continue;
        }
        act(mail.to, to.membership->handle_message(mail.from, mail.message, now));
      }
      for (auto& [name, process] : processes_)
        if (process.membership && process.frozen_until <= now && process.membership->next() <= now)
          act(name, process.membership->tick(now));
    }
  }

  // What all that run believe of one, if they agree.
  std::optional<State> agreed(const std::string& of) {
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
                       [this](const std::string& name) { return agreed(name) == State::alive; });
  }

  TimePoint now{1h};
  double loss = 0;
  Duration delay = 2ms;
  std::function<bool(const std::string&, const std::string&)> cut;  // from, to
  std::map<std::string, std::set<std::string>> called_dead;         // whom, by whom
  std::map<std::string, std::size_t> sent, bytes;

 private:
  struct Mail {
    TimePoint at;
    std::string from, to;
    Message message;
    bool operator<(const Mail& other) const { return at > other.at; }
  };
  struct Process {
    std::unique_ptr<Membership> membership;
    TimePoint frozen_until{};
    bool displaced = false;
  };
  void act(const std::string& name, std::vector<Act> acts) {
    for (Act& act : acts) {
      if (auto* send = std::get_if<Send>(&act)) {
        ++sent[name];
        bytes[name] += 16 + 24 * send->message.news.size();
        if (std::uniform_real_distribution<>(0, 1)(random_) < loss) continue;
        if (cut && cut(name, send->to)) continue;
        const double late = std::uniform_real_distribution<>(0.5, 1.5)(random_);
        mail_.push({now + to_duration(FractionalMs(delay) * late), name, send->to, std::move(send->message)});
      } else if (const auto* changed = std::get_if<Changed>(&act)) {
        if (changed->state == State::dead) called_dead[changed->name].insert(name);
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
  std::priority_queue<Mail> mail_;
};

}  // namespace

TEST(Membership, AllFindEachOtherThroughAFewThatAreNamed) {
  for (const int size : {3, 30, 300}) {
    Fleet fleet(size, 1);
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_alive()) << size;
    EXPECT_TRUE(fleet.called_dead.empty()) << size;
  }
}

TEST(Membership, OneThatDiesIsDeadToAllAndComesBackAsALaterLife) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    Fleet fleet(7, seed);
    fleet.run(10s);
    const Life before = fleet.at("n0").members().at("n5").life;
    fleet.kill("n5");
    fleet.run(60s);
    EXPECT_EQ(fleet.agreed("n5"), State::dead);
    EXPECT_EQ(fleet.called_dead.size(), 1u);
    fleet.start("n5");
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_alive());
    EXPECT_GT(fleet.at("n0").members().at("n5").life, before);
  }
}

// What a member pays does not grow with the fleet: messages a second, and bytes.
TEST(Membership, ItsCostIsFlatInTheFleetsSize) {
  std::map<int, double> per_second, bytes;
  for (const int size : {10, 100}) {
    Fleet fleet(size, 3);
    fleet.run(150s);  // the news of the start is through
    fleet.sent.clear();
    fleet.bytes.clear();
    fleet.run(60s);
    for (const auto& [name, count] : fleet.sent) per_second[size] += static_cast<double>(count) / 60 / size;
    for (const auto& [name, count] : fleet.bytes) bytes[size] += static_cast<double>(count) / 60 / size;
  }
  EXPECT_LT(per_second[100], 1.2 * per_second[10]);
  EXPECT_LT(bytes[100], 1.5 * bytes[10]);
}

TEST(Membership, AFifthOfAllMessagesLostAccusesNobodyForLong) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Fleet fleet(30, seed);
    fleet.run(20s);
    fleet.called_dead.clear();
    fleet.loss = 0.2;
    fleet.delay = 50ms;
    fleet.run(300s);
    EXPECT_TRUE(fleet.called_dead.empty()) << fleet.called_dead.size();
    fleet.loss = 0;
    fleet.run(30s);
    EXPECT_TRUE(fleet.all_alive());
  }
}

// A member that stood still has heard nothing; that is its own trouble, and no verdict on the others.
TEST(Membership, OneThatWakesAccusesNobodyAndIsTakenBack) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    Fleet fleet(7, seed);
    fleet.run(10s);
    for (const Duration span : {700ms, 3'000ms, 120'000ms}) {
      fleet.called_dead.clear();
      fleet.freeze("n2", span);
      fleet.run(span + 40s);
      for (const auto& [whom, by] : fleet.called_dead) {
        EXPECT_EQ(whom, "n2") << "accused by " << *by.begin();
        EXPECT_FALSE(by.contains("n2"));
      }
      if (span < 5s) {
        EXPECT_TRUE(fleet.called_dead.empty());
      }
      EXPECT_TRUE(fleet.all_alive());
    }
  }
}

// It had asked and stood still before the answer was read: on waking that says nothing of whom it had asked,
// and suspicions from before wait on for as long as it stood.
TEST(Membership, AQuestionThatWasOutWhileItStoodStillAccusesNobody) {
  Membership one("n1", 1, {}, 5);
  TimePoint now{1h};
  one.start({"n2", "n3"}, now);
  Message hello;
  hello.news = {{"n2", {1, 0}, State::alive}, {"n3", {1, 0}, State::alive}, {"n3", {1, 0}, State::suspect}};
  one.handle_message("n2", hello, now);
  const auto accused = [&](std::vector<Act> acts) {
    return std::any_of(acts.begin(), acts.end(), [](const Act& act) {
      const auto* changed = std::get_if<Changed>(&act);
      return changed && changed->state != State::alive;
    });
  };
  const auto asks = [&](const std::vector<Act>& acts) {
    return std::any_of(acts.begin(), acts.end(), [](const Act& act) {
      const auto* send = std::get_if<Send>(&act);
      return send && send->to == "n2" && send->message.kind == Message::Kind::ping;
    });
  };
  for (int i = 0; i < 10; ++i) {
    now = std::max(one.next(), now);
    if (asks(one.tick(now))) break;
  }
  now += 60s;
  EXPECT_FALSE(accused(one.tick(now)));
  EXPECT_GE(one.doubt(), 1);
}

TEST(Membership, BothSidesOfACutMeetAgainOnceItHeals) {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    Fleet fleet(10, seed);
    fleet.run(10s);
    const auto side = [](const std::string& name) { return name < "n4"; };
    fleet.cut = [&](const std::string& a, const std::string& b) { return side(a) != side(b); };
    fleet.run(120s);
    EXPECT_EQ(fleet.at("n0").members().at("n7").state, State::dead);
    EXPECT_EQ(fleet.at("n7").members().at("n0").state, State::dead);
    EXPECT_EQ(fleet.at("n7").members().at("n8").state, State::alive);
    fleet.cut = nullptr;
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_alive());
  }
}

// One way only: the others carry the question and the answer.
TEST(Membership, ACutInOneDirectionBetweenTwoAccusesNobody) {
  Fleet fleet(7, 5);
  fleet.run(10s);
  fleet.cut = [](const std::string& a, const std::string& b) { return a == "n1" && b == "n4"; };
  fleet.run(300s);
  EXPECT_TRUE(fleet.called_dead.empty());
}

TEST(Membership, OneThatLeavesInOrderIsNeverSuspected) {
  Fleet fleet(7, 6);
  fleet.run(10s);
  fleet.leave("n3");
  fleet.run(200ms);
  fleet.kill("n3");
  fleet.run(60s);
  EXPECT_EQ(fleet.agreed("n3"), State::left);
  EXPECT_TRUE(fleet.called_dead.empty());
  fleet.start("n3");
  fleet.run(20s);
  EXPECT_TRUE(fleet.all_alive());
}

TEST(Membership, OfTwoUnderOneNameTheLaterStays) {
  Membership first("n1", 5, {}, 1);
  first.start({"n2"}, TimePoint{1h});
  Message news;
  news.kind = Message::Kind::ping;
  news.news.push_back({"n1", {9, 0}, State::alive});
  const auto acts = first.handle_message("n2", news, TimePoint{1h} + 1s);
  EXPECT_TRUE(
      std::any_of(acts.begin(), acts.end(), [](const Act& act) { return std::get_if<Displaced>(&act); }));
  EXPECT_TRUE(first.tick(TimePoint{1h} + 2s).empty());  // it says no more
}

TEST(Membership, NoMoreMembersThanItsBound) {
  Bounds bounds;
  bounds.members = 10;
  Membership one("n1", 5, bounds, 1);
  one.start({"n2"}, TimePoint{1h});
  Message news;
  for (int i = 0; i < 100; ++i) news.news.push_back({"x" + std::to_string(i), {1, 0}, State::alive});
  one.handle_message("n2", news, TimePoint{1h} + 1s);
  EXPECT_LE(one.members().size(), 10u);
}
