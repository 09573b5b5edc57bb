// SPDX-License-Identifier: MIT
// Operator commands without I/O: parsing and execution.
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

TEST(OperatorCommand, ParsesValidLinesAndReportsInvalidOnes) {
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

TEST(OperatorCommandLineReader, JoinsPiecesAndRejectsLongLines) {
  LineReader reader(16);
  EXPECT_EQ(reader.feed("OFF"), LineReader::State::more);
  EXPECT_EQ(reader.feed("LINE s"), LineReader::State::more);
  EXPECT_EQ(reader.feed("-1\r\nHEALTH\n"), LineReader::State::done);
  EXPECT_EQ(reader.line(), "OFFLINE s-1");
  LineReader longer(16);
  EXPECT_EQ(longer.feed("OFFLINE 0123456789"), LineReader::State::too_long);
  EXPECT_EQ(longer.feed("\n"), LineReader::State::too_long);
}

ProcessState state_with_known_node() {
  ProcessState state;
  state.started = true;
  state.node_known = true;
  return state;
}

Command command(Kind kind, std::string node = "") { return Command{kind, std::move(node)}; }

TEST(AdminController, NodeStaysOfflineUntilOnlineAndUnknownIdsAreRefused) {
  AdminController controller;
  const TimePoint now{};
  ProcessState unknown_node = state_with_known_node();
  unknown_node.node_known = false;
  EXPECT_FALSE(controller.execute(command(Kind::offline, "ghost"), unknown_node, now).success);
  EXPECT_FALSE(controller.execute(command(Kind::online, "ghost"), unknown_node, now).success);
  EXPECT_TRUE(controller.offline_nodes().empty());

  const CommandResult offline =
      controller.execute(command(Kind::offline, "s-1"), state_with_known_node(), now);
  EXPECT_TRUE(offline.success);
  EXPECT_TRUE(offline.offline_changed);
  EXPECT_EQ(offline.line(), "SUCCESS out s-1\n");
  const CommandResult again = controller.execute(command(Kind::offline, "s-1"), state_with_known_node(), now);
  EXPECT_TRUE(again.success);
  EXPECT_FALSE(again.offline_changed);
  EXPECT_TRUE(controller.is_offline("s-1"));
  // The node has left the list in the meantime: it stays offline, and ONLINE is still accepted.
  EXPECT_TRUE(controller.execute(command(Kind::online, "s-1"), unknown_node, now).success);
  EXPECT_FALSE(controller.is_offline("s-1"));
  const CommandResult back = controller.execute(command(Kind::online, "s-1"), state_with_known_node(), now);
  EXPECT_TRUE(back.success);
  EXPECT_FALSE(back.offline_changed);
}

TEST(AdminController, RefusesOfflineBeyondTheLimit) {
  AdminController controller(AdminLimits{2, Milliseconds(1'000)});
  EXPECT_TRUE(controller.execute(command(Kind::offline, "a"), state_with_known_node(), {}).success);
  EXPECT_TRUE(controller.execute(command(Kind::offline, "b"), state_with_known_node(), {}).success);
  const CommandResult third = controller.execute(command(Kind::offline, "c"), state_with_known_node(), {});
  EXPECT_FALSE(third.success);
  EXPECT_EQ(third.line(), "FAILURE too many data nodes out by hand\n");
}

TEST(AdminController, LeaveAndJoinChangeReadiness) {
  AdminController controller(AdminLimits{16, Milliseconds(1'000)});
  const TimePoint start = TimePoint{} + Milliseconds(5'000);
  EXPECT_TRUE(controller.execute(command(Kind::health), state_with_known_node(), start).success);
  EXPECT_EQ(controller.close_connections_from(), kNever);
  const CommandResult leave = controller.execute(command(Kind::leave), state_with_known_node(), start);
  EXPECT_TRUE(leave.leaving_changed);
  EXPECT_FALSE(controller.ready(state_with_known_node()));
  EXPECT_EQ(controller.execute(command(Kind::health), state_with_known_node(), start).line(),
            "FAILURE leaving\n");
  // A repeated LEAVE keeps the time of the first.
  EXPECT_FALSE(controller.execute(command(Kind::leave), state_with_known_node(), start + Milliseconds(500))
                   .leaving_changed);
  EXPECT_EQ(controller.close_connections_from(), start + Milliseconds(1'000));
  const CommandResult join =
      controller.execute(command(Kind::join), state_with_known_node(), start + Milliseconds(2'000));
  EXPECT_TRUE(join.success && join.leaving_changed);
  EXPECT_TRUE(controller.ready(state_with_known_node()));
  EXPECT_EQ(controller.close_connections_from(), kNever);
}

TEST(AdminController, RefusesJoinWhileStopping) {
  AdminController controller;
  ProcessState stopping = state_with_known_node();
  stopping.stopping = true;
  EXPECT_EQ(controller.execute(command(Kind::health), stopping, {}).line(), "FAILURE stopping\n");
  controller.execute(command(Kind::leave), stopping, {});
  EXPECT_FALSE(controller.execute(command(Kind::join), stopping, {}).success);
  AdminController not_started;
  EXPECT_EQ(not_started.execute(command(Kind::health), ProcessState{}, {}).line(), "FAILURE starting\n");
}

TEST(AdminController, RestoresOfflineNodesFromSerializedText) {
  AdminController previous;
  previous.execute(command(Kind::offline, "s-1"), state_with_known_node(), {});
  previous.execute(command(Kind::offline, "s-7"), state_with_known_node(), {});
  AdminController next;
  ASSERT_TRUE(next.restore(previous.serialize()));
  EXPECT_TRUE(next.is_offline("s-1"));
  EXPECT_TRUE(next.is_offline("s-7"));
  EXPECT_EQ(next.offline_nodes().size(), 2u);
  // Invalid text leaves the set unchanged.
  EXPECT_FALSE(next.restore("kelpdeal out-by-hand 1\ns-2"));
  EXPECT_FALSE(next.restore("something else\n"));
  EXPECT_FALSE(next.restore("kelpdeal out-by-hand 1\n\n"));
  EXPECT_EQ(next.offline_nodes().size(), 2u);
  previous.execute(command(Kind::online, "s-1"), state_with_known_node(), {});
  ASSERT_TRUE(next.restore(previous.serialize()));
  EXPECT_EQ(next.offline_nodes().size(), 1u);
}

}  // namespace
}  // namespace kelpdeal::operations
