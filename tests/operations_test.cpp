// SPDX-License-Identifier: MIT
// The operators' door without I/O: calls read from their lines, and what each decides.
#include <gtest/gtest.h>

#include "kelpdeal/operations/admin_controller.h"

namespace kelpdeal::operations {
namespace {

using Kind = Command::Kind;

struct LineCase {
  const char* line;
  bool ok;
  Kind kind;
  const char* node;
  const char* problem;
};

TEST(AnOperatorsCall, IsReadFromItsLine) {
  const LineCase cases[] = {
      {"HEALTH", true, Kind::health, "", ""},
      {"health", true, Kind::health, "", ""},
      {"  LEAVE  ", true, Kind::leave, "", ""},
      {"JOIN", true, Kind::join, "", ""},
      {"OFFLINE s-3", true, Kind::offline, "s-3", ""},
      {"ONLINE\ts-3", true, Kind::online, "s-3", ""},
      {"", false, Kind::health, "", "empty call"},
      {"   ", false, Kind::health, "", "empty call"},
      {"REBOOT", false, Kind::health, "", "unknown call"},
      {"OFFLINE", false, Kind::health, "", "wants one data node id"},
      {"OFFLINE a b", false, Kind::health, "", "wants one data node id"},
      {"HEALTH now", false, Kind::health, "", "takes no argument"},
      {"OFFLINE a\x01", false, Kind::health, "", "the id is not printable"},
  };
  for (const LineCase& c : cases) {
    std::string problem;
    const auto command = parse_command(c.line, problem);
    EXPECT_EQ(command.has_value(), c.ok) << c.line;
    if (command) {
      EXPECT_EQ(command->kind, c.kind) << c.line;
      EXPECT_EQ(command->node, c.node) << c.line;
    } else {
      EXPECT_EQ(problem, c.problem) << c.line;
    }
  }
}

TEST(AnOperatorsCall, ComesInPiecesAndIsBounded) {
  LineReader reader(16);
  EXPECT_EQ(reader.feed("OFF"), LineReader::State::more);
  EXPECT_EQ(reader.feed("LINE s"), LineReader::State::more);
  EXPECT_EQ(reader.feed("-1\r\nHEALTH\n"), LineReader::State::done);
  EXPECT_EQ(reader.line(), "OFFLINE s-1");
  LineReader longer(16);
  EXPECT_EQ(longer.feed("OFFLINE 0123456789"), LineReader::State::too_long);
  EXPECT_EQ(longer.feed("\n"), LineReader::State::too_long);
}

Facts listed() {
  Facts facts;
  facts.started = true;
  facts.listed = true;
  return facts;
}

Command call(Kind kind, std::string node = "") { return Command{kind, std::move(node)}; }

TEST(TheDoor, HoldsANodeOutUntilItsCallBackAndRefusesIdsNeverListed) {
  Door door;
  const TimePoint now{};
  Facts unknown = listed();
  unknown.listed = false;
  EXPECT_FALSE(door.decide(call(Kind::offline, "ghost"), unknown, now).success);
  EXPECT_FALSE(door.decide(call(Kind::online, "ghost"), unknown, now).success);
  EXPECT_TRUE(door.out().empty());

  const Verdict out = door.decide(call(Kind::offline, "s-1"), listed(), now);
  EXPECT_TRUE(out.success);
  EXPECT_TRUE(out.bans_changed);
  EXPECT_EQ(out.line(), "SUCCESS out s-1\n");
  const Verdict again = door.decide(call(Kind::offline, "s-1"), listed(), now);
  EXPECT_TRUE(again.success);
  EXPECT_FALSE(again.bans_changed);
  EXPECT_TRUE(door.out("s-1"));
  // Gone from the list meanwhile: the ban still holds, and the call back is still taken.
  EXPECT_TRUE(door.decide(call(Kind::online, "s-1"), unknown, now).success);
  EXPECT_FALSE(door.out("s-1"));
  const Verdict back = door.decide(call(Kind::online, "s-1"), listed(), now);
  EXPECT_TRUE(back.success);
  EXPECT_FALSE(back.bans_changed);
}

TEST(TheDoor, RefusesMoreBansThanItsBound) {
  Door door(DoorLimits{2, Milliseconds(1'000)});
  EXPECT_TRUE(door.decide(call(Kind::offline, "a"), listed(), {}).success);
  EXPECT_TRUE(door.decide(call(Kind::offline, "b"), listed(), {}).success);
  const Verdict third = door.decide(call(Kind::offline, "c"), listed(), {});
  EXPECT_FALSE(third.success);
  EXPECT_EQ(third.line(), "FAILURE too many data nodes out by hand\n");
}

TEST(TheDoor, SendsClientsAwayAndTakesThemAgain) {
  Door door(DoorLimits{16, Milliseconds(1'000)});
  const TimePoint start = TimePoint{} + Milliseconds(5'000);
  EXPECT_TRUE(door.decide(call(Kind::health), listed(), start).success);
  EXPECT_EQ(door.close_from(), kNever);
  const Verdict leave = door.decide(call(Kind::leave), listed(), start);
  EXPECT_TRUE(leave.presence_changed);
  EXPECT_FALSE(door.ready(listed()));
  EXPECT_EQ(door.decide(call(Kind::health), listed(), start).line(), "FAILURE leaving\n");
  // A repeated LEAVE keeps the time of the first.
  EXPECT_FALSE(door.decide(call(Kind::leave), listed(), start + Milliseconds(500)).presence_changed);
  EXPECT_EQ(door.close_from(), start + Milliseconds(1'000));
  const Verdict join = door.decide(call(Kind::join), listed(), start + Milliseconds(2'000));
  EXPECT_TRUE(join.success && join.presence_changed);
  EXPECT_TRUE(door.ready(listed()));
  EXPECT_EQ(door.close_from(), kNever);
}

TEST(TheDoor, TakesNobodyAgainOnceTheProcessStops) {
  Door door;
  Facts stopping = listed();
  stopping.stopping = true;
  EXPECT_EQ(door.decide(call(Kind::health), stopping, {}).line(), "FAILURE stopping\n");
  door.decide(call(Kind::leave), stopping, {});
  EXPECT_FALSE(door.decide(call(Kind::join), stopping, {}).success);
  Door fresh;
  EXPECT_EQ(fresh.decide(call(Kind::health), Facts{}, {}).line(), "FAILURE starting\n");
}

TEST(TheDoor, HandsItsBansToTheNextProcess) {
  Door old;
  old.decide(call(Kind::offline, "s-1"), listed(), {});
  old.decide(call(Kind::offline, "s-7"), listed(), {});
  Door next;
  ASSERT_TRUE(next.restore(old.saved()));
  EXPECT_TRUE(next.out("s-1"));
  EXPECT_TRUE(next.out("s-7"));
  EXPECT_EQ(next.out().size(), 2u);
  // What cannot be read leaves the set as it was.
  EXPECT_FALSE(next.restore("kelpdeal out-by-hand 1\ns-2"));
  EXPECT_FALSE(next.restore("something else\n"));
  EXPECT_FALSE(next.restore("kelpdeal out-by-hand 1\n\n"));
  EXPECT_EQ(next.out().size(), 2u);
  old.decide(call(Kind::online, "s-1"), listed(), {});
  ASSERT_TRUE(next.restore(old.saved()));
  EXPECT_EQ(next.out().size(), 1u);
}

}  // namespace
}  // namespace kelpdeal::operations
