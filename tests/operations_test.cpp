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

ProcessState listed() {
  ProcessState state;
  state.started = true;
  state.node_known = true;
  return state;
}

Command call(Kind kind, std::string node = "") { return Command{kind, std::move(node)}; }

TEST(TheDoor, HoldsANodeOutUntilItsCallBackAndRefusesIdsNeverListed) {
  AdminController controller;
  const TimePoint now{};
  ProcessState unknown = listed();
  unknown.node_known = false;
  EXPECT_FALSE(controller.execute(call(Kind::offline, "ghost"), unknown, now).success);
  EXPECT_FALSE(controller.execute(call(Kind::online, "ghost"), unknown, now).success);
  EXPECT_TRUE(controller.offline_nodes().empty());

  const CommandResult out = controller.execute(call(Kind::offline, "s-1"), listed(), now);
  EXPECT_TRUE(out.success);
  EXPECT_TRUE(out.offline_changed);
  EXPECT_EQ(out.line(), "SUCCESS out s-1\n");
  const CommandResult again = controller.execute(call(Kind::offline, "s-1"), listed(), now);
  EXPECT_TRUE(again.success);
  EXPECT_FALSE(again.offline_changed);
  EXPECT_TRUE(controller.is_offline("s-1"));
  // Gone from the list meanwhile: the ban still holds, and the call back is still taken.
  EXPECT_TRUE(controller.execute(call(Kind::online, "s-1"), unknown, now).success);
  EXPECT_FALSE(controller.is_offline("s-1"));
  const CommandResult back = controller.execute(call(Kind::online, "s-1"), listed(), now);
  EXPECT_TRUE(back.success);
  EXPECT_FALSE(back.offline_changed);
}

TEST(TheDoor, RefusesMoreBansThanItsBound) {
  AdminController controller(AdminLimits{2, Milliseconds(1'000)});
  EXPECT_TRUE(controller.execute(call(Kind::offline, "a"), listed(), {}).success);
  EXPECT_TRUE(controller.execute(call(Kind::offline, "b"), listed(), {}).success);
  const CommandResult third = controller.execute(call(Kind::offline, "c"), listed(), {});
  EXPECT_FALSE(third.success);
  EXPECT_EQ(third.line(), "FAILURE too many data nodes out by hand\n");
}

TEST(TheDoor, SendsClientsAwayAndTakesThemAgain) {
  AdminController controller(AdminLimits{16, Milliseconds(1'000)});
  const TimePoint start = TimePoint{} + Milliseconds(5'000);
  EXPECT_TRUE(controller.execute(call(Kind::health), listed(), start).success);
  EXPECT_EQ(controller.close_connections_from(), kNever);
  const CommandResult leave = controller.execute(call(Kind::leave), listed(), start);
  EXPECT_TRUE(leave.leaving_changed);
  EXPECT_FALSE(controller.ready(listed()));
  EXPECT_EQ(controller.execute(call(Kind::health), listed(), start).line(), "FAILURE leaving\n");
  // A repeated LEAVE keeps the time of the first.
  EXPECT_FALSE(controller.execute(call(Kind::leave), listed(), start + Milliseconds(500)).leaving_changed);
  EXPECT_EQ(controller.close_connections_from(), start + Milliseconds(1'000));
  const CommandResult join = controller.execute(call(Kind::join), listed(), start + Milliseconds(2'000));
  EXPECT_TRUE(join.success && join.leaving_changed);
  EXPECT_TRUE(controller.ready(listed()));
  EXPECT_EQ(controller.close_connections_from(), kNever);
}

TEST(TheDoor, TakesNobodyAgainOnceTheProcessStops) {
  AdminController controller;
  ProcessState stopping = listed();
  stopping.stopping = true;
  EXPECT_EQ(controller.execute(call(Kind::health), stopping, {}).line(), "FAILURE stopping\n");
  controller.execute(call(Kind::leave), stopping, {});
  EXPECT_FALSE(controller.execute(call(Kind::join), stopping, {}).success);
  AdminController fresh;
  EXPECT_EQ(fresh.execute(call(Kind::health), ProcessState{}, {}).line(), "FAILURE starting\n");
}

TEST(TheDoor, HandsItsBansToTheNextProcess) {
  AdminController old;
  old.execute(call(Kind::offline, "s-1"), listed(), {});
  old.execute(call(Kind::offline, "s-7"), listed(), {});
  AdminController next;
  ASSERT_TRUE(next.restore(old.serialize()));
  EXPECT_TRUE(next.is_offline("s-1"));
  EXPECT_TRUE(next.is_offline("s-7"));
  EXPECT_EQ(next.offline_nodes().size(), 2u);
  // What cannot be read leaves the set as it was.
  EXPECT_FALSE(next.restore("kelpdeal out-by-hand 1\ns-2"));
  EXPECT_FALSE(next.restore("something else\n"));
  EXPECT_FALSE(next.restore("kelpdeal out-by-hand 1\n\n"));
  EXPECT_EQ(next.offline_nodes().size(), 2u);
  old.execute(call(Kind::online, "s-1"), listed(), {});
  ASSERT_TRUE(next.restore(old.serialize()));
  EXPECT_EQ(next.offline_nodes().size(), 1u);
}

}  // namespace
}  // namespace kelpdeal::operations
