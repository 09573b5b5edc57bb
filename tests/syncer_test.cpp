// SPDX-License-Identifier: MIT
// Many copies in virtual time, over a network that loses, doubles, delays and cuts. Judged by whether all
// copies are equal in the end, by what nobody may lose, and by what a member pays.
#include "kelpdeal/replica/syncer.h"

#include <gtest/gtest.h>

#include <memory>
#include <queue>
#include <random>

using namespace kelpdeal;
using namespace kelpdeal::replica;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kBan = 0, kCleared = 4;

class Fleet {
 public:
  Fleet(int size, std::uint64_t seed, SyncBounds bounds = {}) : bounds_(bounds), random_(seed) {
    for (int i = 0; i < size; ++i) names_.insert("n" + std::to_string(i));
    for (const std::string& name : names_) start(name);
  }
  // Anew and without memory.
  void start(const std::string& name) {
    Member& member = members_[name];
    member.copy = std::make_unique<ReplicatedMap>(ReplicatedMapBounds{});
    member.syncer = std::make_unique<Syncer>(name, ++incarnations_, *member.copy, bounds_,
                                             [name](const Key&, const Value& value) {
                                               const auto* ban = std::get_if<Ban>(&value);
                                               return ban && ban->placed.contains(name);
                                             });
    member.syncer->members(names_);
  }
  ReplicatedMap& copy(const std::string& name) { return *members_[name].copy; }
  Syncer& syncer(const std::string& name) { return *members_[name].syncer; }
  void offline(const std::string& name, const std::string& node) {
    Ban ban = banned(name, node);
    ban.placed[name] = {incarnations_, ++count_};
    copy(name).put({kBan, node}, ban);
  }
  void online(const std::string& name, const std::string& node) {
    Ban ban = banned(name, node);
    ban.lifted = ban.placed;
    copy(name).put({kBan, node}, ban);
  }
  Ban banned(const std::string& name, const std::string& node) {
    const Value* value = copy(name).find({kBan, node});
    return value ? std::get<Ban>(*value) : Ban{};
  }
  void run(Duration span) {
    const TimePoint until = now + span;
    while (now < until) {
      now += bounds_.tick;
      while (!mail_.empty() && mail_.top().at <= now) {
        const Mail mail = mail_.top();
        mail_.pop();
        if (frozen.contains(mail.to)) continue;
        post(mail.to, members_[mail.to].syncer->handle_message(mail.from, mail.delta, mail.at), mail.at);
      }
      for (auto& [name, member] : members_)
        if (!frozen.contains(name)) post(name, member.syncer->tick(now), now);
    }
  }
  bool equal() {
    for (auto& [name, member] : members_)
      if (member.copy->digest() != members_.begin()->second.copy->digest()) return false;
    return true;
  }
  // How long until all copies are equal, at most that.
  Duration until_equal(Duration most) {
    const TimePoint began = now;
    while (!equal() && now - began < most) run(bounds_.tick);
    return now - began;
  }

  TimePoint now{1h};
  double loss = 0, twice = 0;
  Duration delay = 2ms;
  std::function<bool(const std::string&, const std::string&)> cut;
  std::function<void(Delta&)> damage;  // unseen
  std::set<std::string> frozen;
  std::size_t bytes = 0, items = 0;

 private:
  struct Mail {
    TimePoint at;
    std::string from, to;
    Delta delta;
    bool operator<(const Mail& other) const { return at > other.at; }
  };
  struct Member {
    std::unique_ptr<ReplicatedMap> copy;
    std::unique_ptr<Syncer> syncer;
  };
  void post(const std::string& from, std::vector<Syncer::Outgoing> out, TimePoint at) {
    std::uniform_real_distribution<> chance(0, 1);
    for (Syncer::Outgoing& one : out) {
      bytes += 64 + 8 * one.delta.ranges.size();
      for (const Item& item : one.delta.items) bytes += item.key.name.size() + encode(item.value).size() + 8;
      items += one.delta.items.size();
      if (damage) damage(one.delta);
      for (int copies = chance(random_) < twice ? 2 : 1; copies > 0; --copies) {
        if (chance(random_) < loss || (cut && cut(from, one.to))) continue;
        mail_.push(
            {at + to_duration(FractionalMs(delay) * (0.5 + chance(random_))), from, one.to, one.delta});
      }
    }
  }
  const SyncBounds bounds_;
  std::mt19937_64 random_;
  std::set<std::string> names_;
  std::map<std::string, Member> members_;
  std::priority_queue<Mail> mail_;
  std::uint64_t incarnations_ = 0, count_ = 0;
};

}  // namespace

TEST(Partners, EachIsReachedFromEachAlsoAroundOneThatDied) {
  for (const int size : {1, 2, 3, 7, 30, 300}) {
    std::set<std::string> names;
    for (int i = 0; i < size; ++i) names.insert("n" + std::to_string(i));
    for (const std::string& dead : {std::string(), std::string("n0")}) {
      if (size < 3 && !dead.empty()) continue;
      std::set<std::string> reached{"n1"};
      if (size == 1) reached = {"n0"};
      for (std::size_t before = 0; before != reached.size();) {
        before = reached.size();
        for (const std::string& name : std::set(reached))
          for (const std::string& partner : partners_of(name, names))
            if (partner != dead) reached.insert(partner);
      }
      EXPECT_EQ(reached.size(), names.size() - !dead.empty()) << size;
    }
    for (const std::string& name : names) EXPECT_LE(partners_of(name, names).size(), 6u);
  }
}

TEST(Syncer, AWordReachesAllInAFewTicks) {
  for (const int size : {3, 7, 100}) {
    Fleet fleet(size, 1);
    fleet.run(1s);
    fleet.offline("n1", "s-1");
    EXPECT_LE(fleet.until_equal(10s), 2s) << size;
    EXPECT_TRUE(fleet.banned("n2", "s-1").out());
  }
}

// Contradicting words on both sides of a cut, much lost and doubled: all equal once it heals, the ban made
// there unseen stands, and the lifted one stays lifted.
TEST(Syncer, BothSidesOfACutMeetByTheRules) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(7, seed);
    fleet.offline("n0", "s-1");
    fleet.offline("n0", "s-2");
    fleet.run(5s);
    fleet.cut = [](const std::string& a, const std::string& b) { return (a < "n3") != (b < "n3"); };
    fleet.online("n1", "s-1");
    fleet.online("n1", "s-2");
    fleet.offline("n5", "s-2");
    fleet.run(30s);
    EXPECT_FALSE(fleet.banned("n2", "s-2").out());
    EXPECT_TRUE(fleet.banned("n6", "s-1").out());
    fleet.cut = nullptr;
    fleet.loss = 0.2;
    fleet.twice = 0.2;
    fleet.delay = 50ms;
    EXPECT_LT(fleet.until_equal(60s), 30s) << seed;
    for (const char* name : {"n0", "n3", "n6"}) {
      EXPECT_FALSE(fleet.banned(name, "s-1").out());
      EXPECT_TRUE(fleet.banned(name, "s-2").out());
    }
  }
}

TEST(Syncer, OneThatStartsEmptyTakesAllInPiecesWhileMoreIsWritten) {
  Fleet fleet(3, 4);
  for (int i = 0; i < 20'000; ++i) fleet.copy("n0").put({kCleared, "c" + std::to_string(i)}, Cleared{i + 1});
  EXPECT_LT(fleet.until_equal(60s), 60s);
  fleet.start("n2");
  EXPECT_FALSE(fleet.syncer("n2").caught_up());
  fleet.run(100ms);
  for (int i = 0; i < 50; ++i) {
    fleet.copy("n0").put({kCleared, "new" + std::to_string(i)}, Cleared{i + 1});
    fleet.run(100ms);
  }
  EXPECT_LT(fleet.until_equal(60s), 60s);
  EXPECT_TRUE(fleet.syncer("n2").caught_up());
  EXPECT_EQ(fleet.syncer("n2").lag(), 0u);
  EXPECT_EQ(fleet.copy("n2").size(), 20'050u);
}

// What one alone held reaches the others after they all lost theirs.
TEST(Syncer, AllButOneStartAnewAndNothingIsLost) {
  Fleet fleet(5, 5);
  fleet.offline("n3", "s-1");
  fleet.run(5s);
  for (const char* name : {"n0", "n1", "n2", "n4"}) fleet.start(name);
  EXPECT_LT(fleet.until_equal(30s), 10s);
  EXPECT_TRUE(fleet.banned("n0", "s-1").out());
}

// Marks say that all is taken, and it is not: only digests show it.
TEST(Syncer, WhatWentMissingUnseenIsFoundByDigests) {
  for (const bool more_is_written : {false, true}) {
    Fleet fleet(5, 6);
    fleet.damage = [n = 0](Delta& delta) mutable {
      if (++n % 3 == 0 && !delta.items.empty() && delta.end_mark > 0) delta.items.pop_back();
    };
    for (int i = 0; i < 200; ++i) {
      fleet.copy("n" + std::to_string(i % 5)).put({kCleared, "c" + std::to_string(i)}, Cleared{i + 1});
      fleet.run(100ms);
    }
    fleet.damage = nullptr;
    if (more_is_written)
      for (int i = 0; i < 400; ++i) {
        fleet.copy("n0").put({kCleared, "more"}, Cleared{i + 1});
        fleet.run(100ms);
      }
    else
      fleet.run(40s);
    EXPECT_LT(fleet.until_equal(5s), 5s) << more_is_written;
    std::uint64_t differing = 0;
    for (const char* name : {"n0", "n1", "n2", "n3", "n4"}) differing += fleet.syncer(name).differing();
    EXPECT_GT(differing, 0u);
  }
}

// Danger: it still holds a ban that the others lifted, and have forgotten both.
TEST(Syncer, OneFrozenForLongerThanTheOthersRememberBringsNothingBack) {
  Fleet fleet(5, 7);
  fleet.offline("n0", "s-1");
  fleet.offline("n4", "s-2");  // the frozen one's own, acknowledged
  fleet.run(5s);
  fleet.frozen = {"n4"};
  fleet.online("n0", "s-1");
  fleet.run(60s);
  for (const char* name : {"n0", "n1", "n2", "n3"}) {  // all have it, and it was kept long enough
    ReplicatedMap& copy = fleet.copy(name);
    copy.collect(copy.mark(), 0, fleet.now);
    EXPECT_EQ(copy.collect(copy.mark(), 0, fleet.now + 11min), 1u);
  }
  fleet.syncer("n4").forget();  // it has heard that it was left out
  fleet.frozen.clear();
  EXPECT_LT(fleet.until_equal(30s), 20s);
  EXPECT_EQ(fleet.syncer("n4").forgotten(), 1u);
  for (const char* name : {"n0", "n2", "n4"}) {
    EXPECT_FALSE(fleet.banned(name, "s-1").out());
    EXPECT_TRUE(fleet.banned(name, "s-2").out());
  }
}

// What a partner says, one message at a time: digests would mend in the end what marks got wrong.
TEST(Syncer, MarksAreOfOneProcessAndSkipNothing) {
  ReplicatedMap copy({});
  Syncer syncer("n1", 1, copy, {}, [](const Key&, const Value&) { return false; });
  const TimePoint now{1h};
  syncer.members({"n1", "n2"});
  const auto taken = [&](std::uint64_t life, std::uint64_t from, std::uint64_t end_mark) {
    Delta delta;
    delta.incarnation = life;
    delta.start_mark = from;
    delta.end_mark = delta.latest_mark = end_mark;
    delta.items.push_back({{kCleared, "c" + std::to_string(end_mark)}, Cleared{1}});
    const auto out = syncer.handle_message("n2", delta, now);
    EXPECT_FALSE(out.empty());
    return out.empty() ? 0 : out.back().delta.taken;
  };
  EXPECT_EQ(taken(1, 0, 5), 5u);
  EXPECT_EQ(taken(1, 7, 9), 5u);  // what lies between is lacking
  EXPECT_EQ(taken(1, 5, 9), 9u);
  EXPECT_EQ(taken(1, 0, 3), 9u);  // late
  EXPECT_EQ(taken(2, 0, 2), 2u);  // another process, which counts anew
  Delta differing;
  differing.incarnation = 2;
  differing.ranges.assign(ReplicatedMap::kRanges, 0);
  const auto out = syncer.handle_message("n2", differing, now);
  ASSERT_FALSE(out.empty());
  std::set<std::uint32_t> ranges;
  copy.each([&](const Key& key, const Value&) {
    ranges.insert(static_cast<std::uint32_t>(ReplicatedMap::range_of(key)));
  });
  EXPECT_EQ(std::set(out[0].delta.wanted.begin(), out[0].delta.wanted.end()), ranges);
}

// Repeats to one that is silent come ever more rarely; a word of it ends the wait.
TEST(Syncer, OneThatIsHeardAgainIsToldAtOnceWhatItMissed) {
  ReplicatedMap copy({});
  Syncer syncer("n1", 1, copy, {}, [](const Key&, const Value&) { return true; });
  syncer.members({"n1", "n2"});
  copy.put({kCleared, "c"}, Cleared{1});
  TimePoint now{1h};
  const auto sent = [&] {
    const auto out = syncer.tick(now);
    return std::any_of(out.begin(), out.end(), [](const auto& one) { return !one.delta.items.empty(); });
  };
  Duration waited{};
  for (TimePoint last = now; now < TimePoint{1h} + 40s; now += 100ms)
    if (sent()) waited = now - std::exchange(last, now);
  EXPECT_GE(waited, 7s);
  while (!sent()) now += 100ms;  // just sent, and lost again
  now += 600ms;
  EXPECT_FALSE(sent());
  syncer.there("n2");
  EXPECT_TRUE(sent());
}

TEST(Syncer, AMemberPaysAlikeInASmallAndALargeFleet) {
  std::map<int, double> idle, busy;
  for (const int size : {10, 100}) {
    Fleet fleet(size, 8);
    fleet.run(5s);
    fleet.bytes = 0;
    fleet.run(20s);
    idle[size] = static_cast<double>(fleet.bytes) / 20 / size;
    fleet.bytes = 0;
    for (int i = 0; i < 100; ++i) {  // ten words a second in the whole fleet, whatever its size
      fleet.copy("n" + std::to_string(i % size)).put({kCleared, "c" + std::to_string(i)}, Cleared{i + 1});
      fleet.run(100ms);
    }
    fleet.run(10s);
    busy[size] = static_cast<double>(fleet.bytes) / 20 / size;
  }
  EXPECT_LT(idle[100], 1.5 * idle[10]);
  EXPECT_LT(busy[100], 2.5 * busy[10]);
}
