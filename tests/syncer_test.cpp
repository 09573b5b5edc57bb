// SPDX-License-Identifier: MIT
// Many replicas in virtual time over a network with loss, duplicates, delays and partitions. Checks that all
// replicas converge, that nothing that must survive is lost, and what synchronisation costs per member.
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

class SimulatedFleet {
 public:
  SimulatedFleet(int size, std::uint64_t seed, SyncBounds bounds = {}) : bounds_(bounds), random_(seed) {
    for (int i = 0; i < size; ++i) names_.insert("n" + std::to_string(i));
    for (const std::string& name : names_) start(name);
  }
  // Starts or restarts the member without state.
  void start(const std::string& name) {
    Member& member = members_[name];
    member.entries = std::make_unique<ReplicatedMap>(ReplicatedMapBounds{});
    member.syncer = std::make_unique<Syncer>(name, ++incarnations_, *member.entries, bounds_,
                                             [name](const Key&, const Value& value) {
                                               const auto* ban = std::get_if<Ban>(&value);
                                               return ban && ban->placed.contains(name);
                                             });
    member.syncer->set_members(names_);
  }
  ReplicatedMap& entries(const std::string& name) { return *members_[name].entries; }
  Syncer& syncer(const std::string& name) { return *members_[name].syncer; }
  void offline(const std::string& name, const std::string& node) {
    Ban ban = banned(name, node);
    ban.placed[name] = {incarnations_, ++count_};
    entries(name).put({kBan, node}, ban);
  }
  void online(const std::string& name, const std::string& node) {
    Ban ban = banned(name, node);
    ban.lifted = ban.placed;
    entries(name).put({kBan, node}, ban);
  }
  Ban banned(const std::string& name, const std::string& node) {
    const Value* value = entries(name).find({kBan, node});
    return value ? std::get<Ban>(*value) : Ban{};
  }
  void run(Duration span) {
    const TimePoint until = now + span;
    while (now < until) {
      now += bounds_.tick;
      while (!in_flight_.empty() && in_flight_.top().at <= now) {
        const InFlightMessage message = in_flight_.top();
        in_flight_.pop();
        if (frozen.contains(message.to)) continue;
        send_all(message.to,
                 members_[message.to].syncer->handle_message(message.from, message.delta, message.at),
                 message.at);
      }
      for (auto& [name, member] : members_)
        if (!frozen.contains(name)) send_all(name, member.syncer->tick(now), now);
    }
  }
  bool equal() {
    for (auto& [name, member] : members_)
      if (member.entries->digest() != members_.begin()->second.entries->digest()) return false;
    return true;
  }
  // Time until all replicas are equal, at most `max_wait`.
  Duration until_equal(Duration max_wait) {
    const TimePoint start_time = now;
    while (!equal() && now - start_time < max_wait) run(bounds_.tick);
    return now - start_time;
  }

  TimePoint now{1h};
  double loss_rate = 0, duplicate_rate = 0;
  Duration delay = 2ms;
  std::function<bool(const std::string&, const std::string&)> link_blocked;
  std::function<void(Delta&)> corrupt;  // alters deltas in transit, undetected
  std::set<std::string> frozen;
  std::size_t bytes = 0, items = 0;

 private:
  struct InFlightMessage {
    TimePoint at;
    std::string from, to;
    Delta delta;
    bool operator<(const InFlightMessage& other) const { return at > other.at; }
  };
  struct Member {
    std::unique_ptr<ReplicatedMap> entries;
    std::unique_ptr<Syncer> syncer;
  };
  void send_all(const std::string& from, std::vector<Syncer::Outgoing> out, TimePoint at) {
    std::uniform_real_distribution<> chance(0, 1);
    for (Syncer::Outgoing& outgoing : out) {
      bytes += 64 + 8 * outgoing.delta.range_digests.size();
      for (const Item& item : outgoing.delta.items)
        bytes += item.key.name.size() + encode(item.value).size() + 8;
      items += outgoing.delta.items.size();
      if (corrupt) corrupt(outgoing.delta);
      for (int copies = chance(random_) < duplicate_rate ? 2 : 1; copies > 0; --copies) {
        if (chance(random_) < loss_rate || (link_blocked && link_blocked(from, outgoing.to))) continue;
        in_flight_.push({at + to_duration(FractionalMs(delay) * (0.5 + chance(random_))), from, outgoing.to,
                         outgoing.delta});
      }
    }
  }
  const SyncBounds bounds_;
  std::mt19937_64 random_;
  std::set<std::string> names_;
  std::map<std::string, Member> members_;
  std::priority_queue<InFlightMessage> in_flight_;
  std::uint64_t incarnations_ = 0, count_ = 0;
};

}  // namespace

TEST(Partners, AllMembersAreReachableEvenAroundADeadOne) {
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

TEST(Syncer, ChangeReachesAllMembersWithinTwoSeconds) {
  for (const int size : {3, 7, 100}) {
    SimulatedFleet fleet(size, 1);
    fleet.run(1s);
    fleet.offline("n1", "s-1");
    EXPECT_LE(fleet.until_equal(10s), 2s) << size;
    EXPECT_TRUE(fleet.banned("n2", "s-1").is_active());
  }
}

// Contradicting operations on two sides of a partition, then loss and duplicates while it heals: all replicas
// become equal, the ban placed without having seen the lift stays, and the lifted one stays lifted.
TEST(Syncer, PartitionedSidesConvergeByTheJoinRules) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(7, seed);
    fleet.offline("n0", "s-1");
    fleet.offline("n0", "s-2");
    fleet.run(5s);
    fleet.link_blocked = [](const std::string& a, const std::string& b) { return (a < "n3") != (b < "n3"); };
    fleet.online("n1", "s-1");
    fleet.online("n1", "s-2");
    fleet.offline("n5", "s-2");
    fleet.run(30s);
    EXPECT_FALSE(fleet.banned("n2", "s-2").is_active());
    EXPECT_TRUE(fleet.banned("n6", "s-1").is_active());
    fleet.link_blocked = nullptr;
    fleet.loss_rate = 0.2;
    fleet.duplicate_rate = 0.2;
    fleet.delay = 50ms;
    EXPECT_LT(fleet.until_equal(60s), 30s) << seed;
    for (const char* name : {"n0", "n3", "n6"}) {
      EXPECT_FALSE(fleet.banned(name, "s-1").is_active());
      EXPECT_TRUE(fleet.banned(name, "s-2").is_active());
    }
  }
}

TEST(Syncer, EmptyMemberCatchesUpWhileMoreIsWritten) {
  SimulatedFleet fleet(3, 4);
  for (int i = 0; i < 20'000; ++i)
    fleet.entries("n0").put({kCleared, "c" + std::to_string(i)}, ClearedCursor{i + 1});
  EXPECT_LT(fleet.until_equal(60s), 60s);
  fleet.start("n2");
  EXPECT_FALSE(fleet.syncer("n2").caught_up());
  fleet.run(100ms);
  for (int i = 0; i < 50; ++i) {
    fleet.entries("n0").put({kCleared, "new" + std::to_string(i)}, ClearedCursor{i + 1});
    fleet.run(100ms);
  }
  EXPECT_LT(fleet.until_equal(60s), 60s);
  EXPECT_TRUE(fleet.syncer("n2").caught_up());
  EXPECT_EQ(fleet.syncer("n2").lag(), 0u);
  EXPECT_EQ(fleet.entries("n2").size(), 20'050u);
}

// An entry that only one member still held reaches the others after they all lost their state.
TEST(Syncer, StateSurvivesRestartOfAllButOneMember) {
  SimulatedFleet fleet(5, 5);
  fleet.offline("n3", "s-1");
  fleet.run(5s);
  for (const char* name : {"n0", "n1", "n2", "n4"}) fleet.start(name);
  EXPECT_LT(fleet.until_equal(30s), 10s);
  EXPECT_TRUE(fleet.banned("n0", "s-1").is_active());
}

// The marks claim that everything was received although it was not; only digests reveal that.
TEST(Syncer, DigestsRevealSilentLoss) {
  for (const bool more_is_written : {false, true}) {
    SimulatedFleet fleet(5, 6);
    fleet.corrupt = [n = 0](Delta& delta) mutable {
      if (++n % 3 == 0 && !delta.items.empty() && delta.end_mark > 0) delta.items.pop_back();
    };
    for (int i = 0; i < 200; ++i) {
      fleet.entries("n" + std::to_string(i % 5))
          .put({kCleared, "c" + std::to_string(i)}, ClearedCursor{i + 1});
      fleet.run(100ms);
    }
    fleet.corrupt = nullptr;
    if (more_is_written)
      for (int i = 0; i < 400; ++i) {
        fleet.entries("n0").put({kCleared, "more"}, ClearedCursor{i + 1});
        fleet.run(100ms);
      }
    else
      fleet.run(40s);
    EXPECT_LT(fleet.until_equal(5s), 5s) << more_is_written;
    std::uint64_t differing = 0;
    for (const char* name : {"n0", "n1", "n2", "n3", "n4"}) differing += fleet.syncer(name).mismatch_count();
    EXPECT_GT(differing, 0u);
  }
}

// The resumed member still holds a ban that the others lifted and have already collected.
TEST(Syncer, MemberFrozenBeyondRetentionRestoresNothing) {
  SimulatedFleet fleet(5, 7);
  fleet.offline("n0", "s-1");
  fleet.offline("n4", "s-2");  // placed and acknowledged by the member that freezes
  fleet.run(5s);
  fleet.frozen = {"n4"};
  fleet.online("n0", "s-1");
  fleet.run(60s);
  // All hold the lift, and it was retained long enough.
  for (const char* name : {"n0", "n1", "n2", "n3"}) {
    ReplicatedMap& entries = fleet.entries(name);
    entries.collect(entries.mark(), 0, fleet.now);
    EXPECT_EQ(entries.collect(entries.mark(), 0, fleet.now + 11min), 1u);
  }
  fleet.syncer("n4").resync();  // it learned that collections happened without it
  fleet.frozen.clear();
  EXPECT_LT(fleet.until_equal(30s), 20s);
  EXPECT_EQ(fleet.syncer("n4").resync_count(), 1u);
  for (const char* name : {"n0", "n2", "n4"}) {
    EXPECT_FALSE(fleet.banned(name, "s-1").is_active());
    EXPECT_TRUE(fleet.banned(name, "s-2").is_active());
  }
}

// Checks single messages of one partner, as digests would eventually repair wrong marks.
TEST(Syncer, MarksBelongToOneProcessAndLeaveNoGaps) {
  ReplicatedMap entries({});
  Syncer syncer("n1", 1, entries, {}, [](const Key&, const Value&) { return false; });
  const TimePoint now{1h};
  syncer.set_members({"n1", "n2"});
  const auto mark_after = [&](std::uint64_t incarnation, std::uint64_t start_mark, std::uint64_t end_mark) {
    Delta delta;
    delta.incarnation = incarnation;
    delta.start_mark = start_mark;
    delta.end_mark = delta.latest_mark = end_mark;
    delta.items.push_back({{kCleared, "c" + std::to_string(end_mark)}, ClearedCursor{1}});
    const auto out = syncer.handle_message("n2", delta, now);
    EXPECT_FALSE(out.empty());
    return out.empty() ? 0 : out.back().delta.acknowledged_mark;
  };
  EXPECT_EQ(mark_after(1, 0, 5), 5u);
  EXPECT_EQ(mark_after(1, 7, 9), 5u);  // the changes in between are missing
  EXPECT_EQ(mark_after(1, 5, 9), 9u);
  EXPECT_EQ(mark_after(1, 0, 3), 9u);  // late
  EXPECT_EQ(mark_after(2, 0, 2), 2u);  // another process with its own marks
  Delta differing;
  differing.incarnation = 2;
  differing.range_digests.assign(ReplicatedMap::kRanges, 0);
  const auto out = syncer.handle_message("n2", differing, now);
  ASSERT_FALSE(out.empty());
  std::set<std::uint32_t> ranges;
  entries.for_each([&](const Key& key, const Value&) {
    ranges.insert(static_cast<std::uint32_t>(ReplicatedMap::range_of(key)));
  });
  EXPECT_EQ(std::set(out[0].delta.requested_ranges.begin(), out[0].delta.requested_ranges.end()), ranges);
}

// Repeats to a silent partner become rarer; any message from it ends the wait.
TEST(Syncer, MessageFromSilentPartnerEndsTheResendDelay) {
  ReplicatedMap entries({});
  Syncer syncer("n1", 1, entries, {}, [](const Key&, const Value&) { return true; });
  syncer.set_members({"n1", "n2"});
  entries.put({kCleared, "c"}, ClearedCursor{1});
  TimePoint now{1h};
  const auto sent = [&] {
    const auto out = syncer.tick(now);
    return std::any_of(out.begin(), out.end(),
                       [](const auto& outgoing) { return !outgoing.delta.items.empty(); });
  };
  Duration waited{};
  for (TimePoint last = now; now < TimePoint{1h} + 40s; now += 100ms)
    if (sent()) waited = now - std::exchange(last, now);
  EXPECT_GE(waited, 7s);
  while (!sent()) now += 100ms;  // sent, and lost again
  now += 600ms;
  EXPECT_FALSE(sent());
  syncer.on_member_heard("n2");
  EXPECT_TRUE(sent());
}

TEST(Syncer, CostPerMemberIsBoundedAsTheFleetGrows) {
  std::map<int, double> idle, busy;
  for (const int size : {10, 100}) {
    SimulatedFleet fleet(size, 8);
    fleet.run(5s);
    fleet.bytes = 0;
    fleet.run(20s);
    idle[size] = static_cast<double>(fleet.bytes) / 20 / size;
    fleet.bytes = 0;
    // Ten changes per second in the whole fleet, whatever its size.
    for (int i = 0; i < 100; ++i) {
      fleet.entries("n" + std::to_string(i % size))
          .put({kCleared, "c" + std::to_string(i)}, ClearedCursor{i + 1});
      fleet.run(100ms);
    }
    fleet.run(10s);
    busy[size] = static_cast<double>(fleet.bytes) / 20 / size;
  }
  EXPECT_LT(idle[100], 1.5 * idle[10]);
  EXPECT_LT(busy[100], 2.5 * busy[10]);
}
