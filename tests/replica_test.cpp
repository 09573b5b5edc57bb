// SPDX-License-Identifier: MIT
// What the fleet holds in common: the laws of each kind's join over drawn values, the rules that the joins
// are for, and copies that hear of each other in any order, often, or late.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "kelpdeal/replica/replicated_map.h"

using namespace kelpdeal;
using namespace kelpdeal::replica;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kBan = 0, kOperation = 1, kAccount = 2, kBelief = 3, kCleared = 4, kGeneration = 5;
constexpr std::uint32_t kNew = 9;  // of a later format

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}
  int uniform(int most) { return std::uniform_int_distribution<>(0, most)(random_); }
  std::string member() { return "n" + std::to_string(uniform(3)); }
  std::map<std::string, Stamp> stamps() {
    std::map<std::string, Stamp> all;
    for (int i = uniform(3); i > 0; --i)
      all[member()] = {static_cast<std::uint64_t>(uniform(2)), static_cast<std::uint64_t>(uniform(3))};
    return all;
  }
  Value value(std::uint32_t kind) {
    switch (kind) {
      case kBan:
        return Ban{stamps(), stamps()};
      case kOperation: {
        Operation v;
        v.state = static_cast<Operation::State>(uniform(2));
        v.first_ms = uniform(4);
        v.until_ms = uniform(4);
        for (int i = uniform(3); i > 0; --i) v.attempts[member()] = static_cast<std::uint32_t>(uniform(4));
        return v;
      }
      case kAccount: {
        Account v;
        for (int i = uniform(3); i > 0; --i)
          v.by[{member(), static_cast<std::uint64_t>(uniform(2))}] = {static_cast<std::uint64_t>(uniform(5)),
                                                                      static_cast<std::uint64_t>(uniform(5))};
        return v;
      }
      case kBelief:
        return Belief{uniform(2), uniform(3), static_cast<Belief::State>(uniform(2)), member()};
      case kCleared:
        return Cleared{uniform(5)};
      case kGeneration:
        return Generation{static_cast<std::uint64_t>(uniform(2)),
                          std::string(1, static_cast<char>('a' + uniform(2))), uniform(3) == 0};
      default:
        return Foreign{kind, static_cast<std::uint64_t>(uniform(3)),
                       std::string(1, static_cast<char>('a' + uniform(3)))};
    }
  }
  std::mt19937_64& random() { return random_; }

 private:
  std::mt19937_64 random_;
};

Value joined(Value a, const Value& b) {
  join(a, b);
  return a;
}

const std::vector<std::uint32_t> kAll = {kBan, kOperation, kAccount, kBelief, kCleared, kGeneration, kNew};

// One member's word on a data node, as the store of a member makes it.
Ban offline(Ban seen, const std::string& member, Stamp stamp) {
  seen.placed[member] = std::max(seen.placed[member], stamp);
  return seen;
}
Ban online(Ban seen) {
  for (const auto& [member, stamp] : seen.placed) seen.lifted[member] = std::max(seen.lifted[member], stamp);
  return seen;
}

}  // namespace

class Joins : public testing::TestWithParam<std::uint32_t> {};
INSTANTIATE_TEST_SUITE_P(Kinds, Joins, testing::ValuesIn(kAll));

TEST_P(Joins, AreCommutativeAssociativeIdempotentAndMonotone) {
  Draw draw(GetParam() + 1);
  for (int i = 0; i < 20'000; ++i) {
    const Value a = draw.value(GetParam()), b = draw.value(GetParam()), c = draw.value(GetParam());
    const Value ab = joined(a, b);
    ASSERT_EQ(ab, joined(b, a));
    ASSERT_EQ(joined(ab, c), joined(a, joined(b, c)));
    ASSERT_EQ(joined(a, a), a);
    ASSERT_EQ(joined(ab, a), ab);  // nothing that a copy said is taken back
    ASSERT_GE(rank(ab), std::max(rank(a), rank(b)));
    Value into = a;
    const bool grew = join(into, b);
    ASSERT_EQ(grew, into != a);  // it tells whether anything changed
  }
}

TEST_P(Joins, AreTheSameOverTheWire) {
  Draw draw(GetParam() + 100);
  for (int i = 0; i < 2'000; ++i) {
    const Value a = draw.value(GetParam());
    Value back;
    ASSERT_TRUE(decode(kind_of(a), rank(a), encode(a), back));
    ASSERT_EQ(a, back);
    // What is cut short or spoilt is refused or another value; it crashes nothing.
    std::string bytes = encode(a);
    if (!bytes.empty())
      bytes[static_cast<std::size_t>(draw.uniform(static_cast<int>(bytes.size()) - 1))] ^= 0x55;
    (void)decode(kind_of(a), rank(a), bytes, back);
    bytes.resize(bytes.size() / 2);
    (void)decode(kind_of(a), rank(a), bytes, back);
  }
}

// ---- what the joins are for ----
TEST(Ban, AnOfflineBesideAConcurrentOnlineWins) {
  const Ban first = offline({}, "n1", {5, 1});
  const Ban lifted = online(first);
  const Ban again = offline(first, "n2", {7, 1});  // made without having seen the lift
  EXPECT_FALSE(lifted.out());
  EXPECT_TRUE(std::get<Ban>(joined(lifted, again)).out());
}

TEST(Ban, ALiftedOneDoesNotComeBackByAnOldCopyNorByARestartWithoutMemory) {
  const Ban old = offline({}, "n1", {5, 3});
  const Ban lifted = online(old);
  EXPECT_FALSE(std::get<Ban>(joined(lifted, old)).out());
  // A later process of n1 counts from 1 again; its incarnation is later, so its word is.
  EXPECT_TRUE(std::get<Ban>(joined(lifted, offline({}, "n1", {6, 1}))).out());
}

TEST(Operation, WhatMayHaveRunNeverLooksUnsentAndAttemptsAddUp) {
  Operation a, b;
  a.state = Operation::State::may_have_run;
  a.attempts["n1"] = 2;
  b.attempts["n2"] = 1;
  const auto both = std::get<Operation>(joined(a, b));
  EXPECT_EQ(both.state, Operation::State::may_have_run);
  EXPECT_EQ(both.all_attempts(), 3u);
}

TEST(Account, ARestartOfAMemberAddsToWhatItHadBefore) {
  Account a;
  a.by[{"n1", 1}] = {10, 12};
  Account later;
  later.by[{"n1", 2}] = {1, 1};
  EXPECT_EQ(std::get<Account>(joined(a, later)).sum().admitted, 11u);
}

TEST(Belief, IsAdviceThatAgesAndSpeaksOfOneStartOfTheNode) {
  const Belief belief{1'000, 50'000, Belief::State::suspect, "n1"};
  EXPECT_DOUBLE_EQ(belief.weight(1'000, 50'000, 2'000), 1);
  EXPECT_DOUBLE_EQ(belief.weight(1'000, 52'000, 2'000), 0.5);
  EXPECT_DOUBLE_EQ(belief.weight(1'001, 50'000, 2'000), 0);  // it has started anew since
  EXPECT_DOUBLE_EQ(belief.weight(1'000, 10'000, 2'000), 1);  // its writer's clock is ahead
}

// ---- copies ----
TEST(ReplicatedMap, CopiesThatHeardTheSameInAnyOrderAndOftenAreEqual) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Draw draw(seed);
    std::vector<Item> words;
    for (int i = 0; i < 200; ++i) {
      const std::uint32_t kind = kAll[static_cast<std::size_t>(draw.uniform(6))];
      words.push_back({{kind, "k" + std::to_string(draw.uniform(9))}, draw.value(kind)});
    }
    ReplicatedMap one({}), other({});
    for (const Item& word : words) one.put(word.key, word.value);
    std::shuffle(words.begin(), words.end(), draw.random());
    words.insert(words.end(), words.begin(), words.begin() + 50);
    for (const Item& word : words) other.put(word.key, word.value);
    EXPECT_EQ(one.digest(), other.digest());
    EXPECT_EQ(one.digests(), other.digests());
    EXPECT_EQ(one.size(), other.size());
  }
}

// What one lacks comes in bounded pieces, each with a mark to go on from, while more is written.
TEST(ReplicatedMap, ATakerGoesOnFromItsMarkAndMissesNothing) {
  Draw draw(3);
  ReplicatedMap giver({}), taker({});
  std::uint64_t mark = 0;
  std::size_t pieces = 0;
  for (int i = 0; i < 400; ++i) {
    giver.put({kCleared, "c" + std::to_string(draw.uniform(99))}, Cleared{i});
    if (i % 3) continue;
    std::uint64_t end_mark = 0;
    const auto items = giver.changes_since(mark, 100, end_mark);
    EXPECT_LE(items.size(), 6u);
    for (const Item& item : items) taker.put(item.key, item.value);
    mark = end_mark;
    ++pieces;
  }
  for (std::uint64_t end_mark = 0; mark < giver.mark(); mark = end_mark, ++pieces)
    for (const Item& item : giver.changes_since(mark, 100, end_mark)) taker.put(item.key, item.value);
  EXPECT_EQ(giver.digest(), taker.digest());
  EXPECT_LT(pieces, 400u);
  std::uint64_t end_mark = 0;
  EXPECT_TRUE(giver.changes_since(mark, 100, end_mark).empty());
}

// Two that differ in a few entries exchange the ranges that differ, and no others.
TEST(ReplicatedMap, DigestsNameTheRangesThatDiffer) {
  ReplicatedMap one({}), other({});
  for (int i = 0; i < 5'000; ++i)
    for (ReplicatedMap* copy : {&one, &other}) copy->put({kCleared, "c" + std::to_string(i)}, Cleared{i + 1});
  one.put({kBan, "s-1"}, offline({}, "n1", {1, 1}));
  other.put({kCleared, "c7"}, Cleared{99'999});
  std::size_t moved = 0, differing = 0;
  for (std::size_t range = 0; range < ReplicatedMap::kRanges; ++range) {
    if (one.digests()[range] == other.digests()[range]) continue;
    ++differing;
    for (const auto& [from, to] : {std::pair{&one, &other}, std::pair{&other, &one}})
      for (const Item& item : from->range(range)) {
        to->put(item.key, item.value);
        ++moved;
      }
  }
  EXPECT_EQ(differing, 2u);
  EXPECT_LT(moved, 200u);
  EXPECT_EQ(one.digest(), other.digest());
}

TEST(ReplicatedMap, WhatIsSpentGoesOnlyOnceAllHaveItAndItWasKeptLongEnough) {
  ReplicatedMapBounds bounds;
  bounds.keep = 10s;
  ReplicatedMap copy(bounds);
  const TimePoint start{1h};
  copy.put({kBan, "s-1"}, online(offline({}, "n1", {1, 1})));
  copy.put({kBan, "s-2"}, offline({}, "n1", {1, 2}));
  EXPECT_EQ(copy.collect(copy.mark(), 0, start), 0u);        // just spent
  EXPECT_EQ(copy.collect(0, 0, start + 11s), 0u);            // somebody may lack it
  EXPECT_EQ(copy.collect(copy.mark(), 0, start + 11s), 1u);  // a ban that stands is never spent
  EXPECT_EQ(copy.size(), 1u);
  ReplicatedMap fresh(bounds);
  fresh.put({kBan, "s-2"}, offline({}, "n1", {1, 2}));
  EXPECT_EQ(copy.digest(), fresh.digest());
}

TEST(ReplicatedMap, IsLookedThroughInSlicesThatMissNothing) {
  ReplicatedMapBounds bounds;
  bounds.keep = 10s;
  ReplicatedMap copy(bounds);
  const TimePoint start{1h};
  for (int i = 0; i < 100; ++i) copy.put({kCleared, "c" + std::to_string(i)}, Cleared{i % 2 == 0 ? 5 : 50});
  EXPECT_EQ(copy.counts().at(kCleared), 100u);
  std::size_t gone = 0, slices = 0;
  for (const TimePoint now : {start, start + 11s}) do {
      gone += copy.collect(copy.mark(), 10, now, nullptr, 7);
      ++slices;
    } while (copy.collecting());
  EXPECT_EQ(gone, 50u);
  EXPECT_EQ(slices, 30u);
  EXPECT_EQ(copy.counts().at(kCleared), 50u);
}

// Danger: one that was away for longer than that still holds the ban as it stood, and would bring it back.
TEST(ReplicatedMap, OneThatWasAwayTooLongBringsBackNothingButItsOwnWord) {
  ReplicatedMap away({}), fleet({});
  away.put({kBan, "s-1"}, offline({}, "n1", {1, 1}));  // lifted and collected by the others meanwhile
  away.put({kBan, "s-2"}, offline({}, "n3", {1, 1}));  // its own, acknowledged while it was alone
  away.forget_but([](const Key&, const Value& value) {
    const auto* ban = std::get_if<Ban>(&value);
    return ban && ban->placed.contains("n3");
  });
  std::uint64_t end_mark = 0;
  for (const Item& item : away.changes_since(0, 10'000, end_mark)) fleet.put(item.key, item.value);
  EXPECT_EQ(fleet.find({kBan, "s-1"}), nullptr);
  EXPECT_NE(fleet.find({kBan, "s-2"}), nullptr);
}

TEST(ReplicatedMap, NeitherTooManyEntriesNorALongNameNorAWrongKindAreTaken) {
  ReplicatedMapBounds bounds;
  bounds.entries = 2;
  bounds.name_bytes = 4;
  ReplicatedMap copy(bounds);
  EXPECT_EQ(copy.put({kBan, "long name"}, Ban{}), ReplicatedMap::Took::refused);
  EXPECT_EQ(copy.put({kBan, "x"}, Cleared{1}), ReplicatedMap::Took::refused);
  EXPECT_EQ(copy.put({kCleared, "a"}, Cleared{1}), ReplicatedMap::Took::changed);
  EXPECT_EQ(copy.put({kCleared, "a"}, Cleared{1}), ReplicatedMap::Took::nothing_new);
  EXPECT_EQ(copy.put({kCleared, "b"}, Cleared{1}), ReplicatedMap::Took::changed);
  EXPECT_EQ(copy.put({kCleared, "c"}, Cleared{1}), ReplicatedMap::Took::refused);
  EXPECT_EQ(copy.put({kCleared, "a"}, Cleared{2}), ReplicatedMap::Took::changed);
}
