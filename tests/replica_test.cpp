// SPDX-License-Identifier: MIT
// The replicated values: algebraic laws of each kind's join over random values, the rules that the joins
// implement, and replicas that receive updates out of order, repeatedly or late.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "kelpdeal/replica/replicated_map.h"

using namespace kelpdeal;
using namespace kelpdeal::replica;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kBan = 0, kOperation = 1, kAccount = 2, kHealthReport = 3, kCleared = 4,
                        kGeneration = 5;
constexpr std::uint32_t kNew = 9;  // introduced by a later format

class RandomValues {
 public:
  explicit RandomValues(std::uint64_t seed) : random_(seed) {}
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
          v.usage_by_process[{member(), static_cast<std::uint64_t>(uniform(2))}] = {
              static_cast<std::uint64_t>(uniform(5)), static_cast<std::uint64_t>(uniform(5))};
        return v;
      }
      case kHealthReport:
        return HealthReport{uniform(2), uniform(3), static_cast<HealthReport::State>(uniform(2)), member()};
      case kCleared:
        return ClearedCursor{uniform(5)};
      case kGeneration:
        return SettingsGeneration{static_cast<std::uint64_t>(uniform(2)),
                                  std::string(1, static_cast<char>('a' + uniform(2))), uniform(3) == 0};
      default:
        return UnknownValue{kind, static_cast<std::uint64_t>(uniform(3)),
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

const std::vector<std::uint32_t> kAll = {kBan,     kOperation,  kAccount, kHealthReport,
                                         kCleared, kGeneration, kNew};

// A ban as a member places it.
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

TEST_P(Joins, AreCommutativeAssociativeIdempotentAndMonotonic) {
  RandomValues random_values(GetParam() + 1);
  for (int i = 0; i < 20'000; ++i) {
    const Value a = random_values.value(GetParam()), b = random_values.value(GetParam()),
                c = random_values.value(GetParam());
    const Value ab = joined(a, b);
    ASSERT_EQ(ab, joined(b, a));
    ASSERT_EQ(joined(ab, c), joined(a, joined(b, c)));
    ASSERT_EQ(joined(a, a), a);
    ASSERT_EQ(joined(ab, a), ab);  // monotone: nothing is retracted
    ASSERT_GE(rank(ab), std::max(rank(a), rank(b)));
    Value into = a;
    const bool grew = join(into, b);
    ASSERT_EQ(grew, into != a);  // the return value tells whether anything changed
  }
}

TEST_P(Joins, SurviveEncodingAndRejectCorruptBytes) {
  RandomValues random_values(GetParam() + 100);
  for (int i = 0; i < 2'000; ++i) {
    const Value a = random_values.value(GetParam());
    Value back;
    ASSERT_TRUE(decode(kind_of(a), rank(a), encode(a), back));
    ASSERT_EQ(a, back);
    // Truncated or corrupted bytes are rejected or decode to another value, without a crash.
    std::string bytes = encode(a);
    if (!bytes.empty())
      bytes[static_cast<std::size_t>(random_values.uniform(static_cast<int>(bytes.size()) - 1))] ^= 0x55;
    (void)decode(kind_of(a), rank(a), bytes, back);
    bytes.resize(bytes.size() / 2);
    (void)decode(kind_of(a), rank(a), bytes, back);
  }
}

// ---- Semantics of the joins ----
TEST(Ban, ConcurrentOfflineWinsOverOnline) {
  const Ban first = offline({}, "n1", {5, 1});
  const Ban lifted = online(first);
  const Ban again = offline(first, "n2", {7, 1});  // without having seen the lift
  EXPECT_FALSE(lifted.is_active());
  EXPECT_TRUE(std::get<Ban>(joined(lifted, again)).is_active());
}

TEST(Ban, StaleCopyDoesNotRestoreLiftedBanButLaterIncarnationCan) {
  const Ban old = offline({}, "n1", {5, 3});
  const Ban lifted = online(old);
  EXPECT_FALSE(std::get<Ban>(joined(lifted, old)).is_active());
  // A later process of n1 counts from 1 again, but its higher incarnation takes precedence.
  EXPECT_TRUE(std::get<Ban>(joined(lifted, offline({}, "n1", {6, 1}))).is_active());
}

TEST(Operation, JoinKeepsMayHaveRunAndAddsAttempts) {
  Operation a, b;
  a.state = Operation::State::may_have_run;
  a.attempts["n1"] = 2;
  b.attempts["n2"] = 1;
  const auto both = std::get<Operation>(joined(a, b));
  EXPECT_EQ(both.state, Operation::State::may_have_run);
  EXPECT_EQ(both.total_attempts(), 3u);
}

TEST(Account, RestartedMemberAddsToItsEarlierUsage) {
  Account a;
  a.usage_by_process[{"n1", 1}] = {10, 12};
  Account later;
  later.usage_by_process[{"n1", 2}] = {1, 1};
  EXPECT_EQ(std::get<Account>(joined(a, later)).sum().admitted, 11u);
}

TEST(HealthReport, WeightDecaysAndAppliesToOneStartOfTheNode) {
  const HealthReport report{1'000, 50'000, HealthReport::State::suspect, "n1"};
  EXPECT_DOUBLE_EQ(report.weight(1'000, 50'000, 2'000), 1);
  EXPECT_DOUBLE_EQ(report.weight(1'000, 52'000, 2'000), 0.5);
  EXPECT_DOUBLE_EQ(report.weight(1'001, 50'000, 2'000), 0);  // the node has restarted since
  EXPECT_DOUBLE_EQ(report.weight(1'000, 10'000, 2'000), 1);  // the reporter's clock is ahead
}

// ---- ReplicatedMap ----
TEST(ReplicatedMap, SameUpdatesInAnyOrderGiveEqualReplicas) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    RandomValues random_values(seed);
    std::vector<Item> words;
    for (int i = 0; i < 200; ++i) {
      const std::uint32_t kind = kAll[static_cast<std::size_t>(random_values.uniform(6))];
      words.push_back({{kind, "k" + std::to_string(random_values.uniform(9))}, random_values.value(kind)});
    }
    ReplicatedMap first({}), other({});
    for (const Item& word : words) first.put(word.key, word.value);
    std::shuffle(words.begin(), words.end(), random_values.random());
    words.insert(words.end(), words.begin(), words.begin() + 50);
    for (const Item& word : words) other.put(word.key, word.value);
    EXPECT_EQ(first.digest(), other.digest());
    EXPECT_EQ(first.digests(), other.digests());
    EXPECT_EQ(first.size(), other.size());
  }
}

// The missing changes arrive in bounded deltas, each with a mark to continue from, while more is written.
TEST(ReplicatedMap, DeltasFromMarkMissNoChange) {
  RandomValues random_values(3);
  ReplicatedMap sender({}), receiver({});
  std::uint64_t mark = 0;
  std::size_t pieces = 0;
  for (int i = 0; i < 400; ++i) {
    sender.put({kCleared, "c" + std::to_string(random_values.uniform(99))}, ClearedCursor{i});
    if (i % 3) continue;
    std::uint64_t end_mark = 0;
    const auto items = sender.changes_since(mark, 100, end_mark);
    EXPECT_LE(items.size(), 6u);
    for (const Item& item : items) receiver.put(item.key, item.value);
    mark = end_mark;
    ++pieces;
  }
  for (std::uint64_t end_mark = 0; mark < sender.mark(); mark = end_mark, ++pieces)
    for (const Item& item : sender.changes_since(mark, 100, end_mark)) receiver.put(item.key, item.value);
  EXPECT_EQ(sender.digest(), receiver.digest());
  EXPECT_LT(pieces, 400u);
  std::uint64_t end_mark = 0;
  EXPECT_TRUE(sender.changes_since(mark, 100, end_mark).empty());
}

// Only the ranges that differ need to be exchanged.
TEST(ReplicatedMap, DigestsIdentifyDifferingRanges) {
  ReplicatedMap first({}), other({});
  for (int i = 0; i < 5'000; ++i)
    for (ReplicatedMap* entries : {&first, &other})
      entries->put({kCleared, "c" + std::to_string(i)}, ClearedCursor{i + 1});
  first.put({kBan, "s-1"}, offline({}, "n1", {1, 1}));
  other.put({kCleared, "c7"}, ClearedCursor{99'999});
  std::size_t moved = 0, differing = 0;
  for (std::size_t range = 0; range < ReplicatedMap::kRanges; ++range) {
    if (first.digests()[range] == other.digests()[range]) continue;
    ++differing;
    for (const auto& [from, to] : {std::pair{&first, &other}, std::pair{&other, &first}})
      for (const Item& item : from->range(range)) {
        to->put(item.key, item.value);
        ++moved;
      }
  }
  EXPECT_EQ(differing, 2u);
  EXPECT_LT(moved, 200u);
  EXPECT_EQ(first.digest(), other.digest());
}

TEST(ReplicatedMap, CollectsObsoleteEntriesAfterRetentionAndAcknowledgement) {
  ReplicatedMapBounds bounds;
  bounds.retention = 10s;
  ReplicatedMap entries(bounds);
  const TimePoint start{1h};
  entries.put({kBan, "s-1"}, online(offline({}, "n1", {1, 1})));
  entries.put({kBan, "s-2"}, offline({}, "n1", {1, 2}));
  EXPECT_EQ(entries.collect(entries.mark(), 0, start), 0u);  // has only just become obsolete
  EXPECT_EQ(entries.collect(0, 0, start + 11s), 0u);         // some member may lack it
  // An active ban never becomes obsolete.
  EXPECT_EQ(entries.collect(entries.mark(), 0, start + 11s), 1u);
  EXPECT_EQ(entries.size(), 1u);
  ReplicatedMap fresh(bounds);
  fresh.put({kBan, "s-2"}, offline({}, "n1", {1, 2}));
  EXPECT_EQ(entries.digest(), fresh.digest());
}

TEST(ReplicatedMap, IncrementalCollectionVisitsAllEntries) {
  ReplicatedMapBounds bounds;
  bounds.retention = 10s;
  ReplicatedMap entries(bounds);
  const TimePoint start{1h};
  for (int i = 0; i < 100; ++i)
    entries.put({kCleared, "c" + std::to_string(i)}, ClearedCursor{i % 2 == 0 ? 5 : 50});
  EXPECT_EQ(entries.counts().at(kCleared), 100u);
  std::size_t gone = 0, slices = 0;
  for (const TimePoint now : {start, start + 11s}) do {
      gone += entries.collect(entries.mark(), 10, now, nullptr, 7);
      ++slices;
    } while (entries.collecting());
  EXPECT_EQ(gone, 50u);
  EXPECT_EQ(slices, 30u);
  EXPECT_EQ(entries.counts().at(kCleared), 50u);
}

// A member that was away longer than obsolete entries are retained still holds a ban that was lifted
// meanwhile; it must not bring the ban back.
TEST(ReplicatedMap, ClearExceptKeepsOnlyOwnEntries) {
  ReplicatedMap away({}), fleet({});
  // Lifted and collected by the others meanwhile.
  away.put({kBan, "s-1"}, offline({}, "n1", {1, 1}));
  // Placed and acknowledged by itself while it was partitioned.
  away.put({kBan, "s-2"}, offline({}, "n3", {1, 1}));
  away.clear_except([](const Key&, const Value& value) {
    const auto* ban = std::get_if<Ban>(&value);
    return ban && ban->placed.contains("n3");
  });
  std::uint64_t end_mark = 0;
  for (const Item& item : away.changes_since(0, 10'000, end_mark)) fleet.put(item.key, item.value);
  EXPECT_EQ(fleet.find({kBan, "s-1"}), nullptr);
  EXPECT_NE(fleet.find({kBan, "s-2"}), nullptr);
}

TEST(ReplicatedMap, RejectsExcessEntriesLongNamesAndWrongKinds) {
  ReplicatedMapBounds bounds;
  bounds.max_entries = 2;
  bounds.max_name_bytes = 4;
  ReplicatedMap entries(bounds);
  EXPECT_EQ(entries.put({kBan, "long name"}, Ban{}), ReplicatedMap::PutResult::refused);
  EXPECT_EQ(entries.put({kBan, "x"}, ClearedCursor{1}), ReplicatedMap::PutResult::refused);
  EXPECT_EQ(entries.put({kCleared, "a"}, ClearedCursor{1}), ReplicatedMap::PutResult::changed);
  EXPECT_EQ(entries.put({kCleared, "a"}, ClearedCursor{1}), ReplicatedMap::PutResult::unchanged);
  EXPECT_EQ(entries.put({kCleared, "b"}, ClearedCursor{1}), ReplicatedMap::PutResult::changed);
  EXPECT_EQ(entries.put({kCleared, "c"}, ClearedCursor{1}), ReplicatedMap::PutResult::refused);
  EXPECT_EQ(entries.put({kCleared, "a"}, ClearedCursor{2}), ReplicatedMap::PutResult::changed);
}
