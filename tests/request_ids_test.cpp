// SPDX-License-Identifier: MIT
// Ids of queries and of their parts: clients choose them, and nodes match answers to parts by nothing else.
// An answer must never be taken for that of another client's request (docs/incidents/mixed-up-answers.md).
#include <gtest/gtest.h>

#include "kelpdeal/admin_server.h"
#include "kelpdeal/part_ids.h"
#include "kelpdeal/query_ids.h"
#include "socket_fixtures.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{1h};

// ---- ids of queries ----
// Guards against forgetting the id of an open query in favour of those of many ended ones.
TEST(QueryIds, OpenIdIsInUseHoweverManyOthersEnd) {
  Metrics metrics(1s);
  QueryIds ids(4, metrics);
  const auto open = ids.claim("open", kStart + 1s, kStart);
  ASSERT_TRUE(open);
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(ids.claim("e" + std::to_string(i), kStart + 10s, kStart));
  EXPECT_FALSE(ids.claim("open", kStart + 1s, kStart));
  EXPECT_FALSE(ids.claim("open", kStart + 1s, kStart + 5s));  // its query is open beyond its expiry
  EXPECT_EQ(ids.open_count(), 1u);
  EXPECT_EQ(ids.ended_count(), 4u);
  EXPECT_EQ(metrics.value("queries.ids_forgotten"), 96u);
}

TEST(QueryIds, EndedIdIsInUseUntilItsExpiry) {
  Metrics metrics(1s);
  QueryIds ids(4, metrics);
  { const auto ended = ids.claim("a", kStart + 1s, kStart); }
  EXPECT_FALSE(ids.claim("a", kStart + 3s, kStart + 999ms));
  EXPECT_TRUE(ids.claim("a", kStart + 3s, kStart + 1s));
  EXPECT_EQ(metrics.value("queries.ids_forgotten"), 0u);
}

// Clients that send a query and go, again and again, must not make the coordinator serve a second request
// under the id of an open one.
TEST(QueryIds, OpenIdIsRejectedBesideClientsThatSendAndGo) {
  ClusterOptions options;
  options.adjust = [](Limits& limits) { limits.max_ended_query_ids = 4; };
  TestCluster cluster(options);
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{NodeReply::Kind::serve, 1, part.id.starts_with("q1.") ? 300ms : 0ms};
    };
  cluster.start();
  const http::Request open_request = cluster.request("equipment-search", "0", 1s, "");  // query id q1
  Peer usual(cluster.gateway->address());
  usual.write(http::write(open_request));
  until(cluster, [&] { return cluster.parts_received() == 1; });
  for (int i = 0; i < 40; ++i) {
    Peer gone(cluster.gateway->address());
    gone.write(http::write(cluster.request("equipment-search", "1", 60s, "")));
    // Half of these clients leave before their request is read.
    if (i % 2) until(cluster, [&] { return !gone.read().empty(); });
  }
  Peer bad(cluster.gateway->address());
  bad.write(http::write(open_request));
  std::string rejected;
  until(cluster, [&] { return !(rejected += bad.read()).empty(); });
  EXPECT_TRUE(rejected.starts_with("HTTP/1.1 409")) << rejected;
  std::string answer;
  until(cluster, [&] { return !(answer += usual.read()).empty(); });
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_GT(cluster.gateway->metrics().value("queries.ids_forgotten"), 0u);
}

// ---- ids of parts on one connection ----
using Answer = PartIds::Answer;

void write_part(PartIds& ids, const std::string& id, PartIds::QueryNumber query) {
  ids.queue(id, query);
  ids.written(id);
}

TEST(PartIds, IdIsNotAvailableToAnotherQueryWhileItMayBeAnswered) {
  PartIds ids(8);
  ids.queue("q.0", 1);
  EXPECT_FALSE(ids.available("q.0", 1));
  EXPECT_FALSE(ids.available("q.0", 2));
  EXPECT_EQ(ids.answered("q.0"), Answer::unknown);  // it has not been written
  ids.written("q.0");
  EXPECT_FALSE(ids.available("q.0", 1));
  ids.give_up("q.0");
  EXPECT_TRUE(ids.available("q.0", 1));  // a repeat: both parts have the same value
  EXPECT_FALSE(ids.available("q.0", 2));
  EXPECT_EQ(ids.answered("q.0"), Answer::late);
  EXPECT_FALSE(ids.available("q.0", 2));  // nodes may send an answer twice
  EXPECT_EQ(ids.answered("q.0"), Answer::late);
  EXPECT_EQ(ids.answered("q.1"), Answer::unknown);
}

TEST(PartIds, RepeatUnderTheSameIdIsMatched) {
  PartIds ids(8);
  write_part(ids, "q.0", 1);
  ids.give_up("q.0");
  ids.queue("q.0", 1);
  EXPECT_EQ(ids.answered("q.0"), Answer::late);  // of the first part: the repeat has not been written
  ids.discard("q.0");
  EXPECT_EQ(ids.answered("q.0"), Answer::late);
  write_part(ids, "q.0", 1);
  EXPECT_EQ(ids.answered("q.0"), Answer::expected);
  EXPECT_EQ(ids.answered("q.0"), Answer::late);
  EXPECT_EQ(ids.size(), 1u);
}

// Guards against forgetting a given-up part, whose answer would then end the connection for all others.
TEST(PartIds, GivenUpPartsAreNeverForgottenAndAnsweredOnesAreBounded) {
  PartIds ids(4);
  write_part(ids, "given up", 1);
  ids.give_up("given up");
  for (int i = 0; i < 100; ++i) {
    write_part(ids, std::to_string(i), 2);
    EXPECT_EQ(ids.answered(std::to_string(i)), Answer::expected);
  }
  EXPECT_EQ(ids.size(), 5u);
  EXPECT_EQ(ids.answered("99"), Answer::late);
  EXPECT_EQ(ids.answered("0"), Answer::unknown);
  EXPECT_EQ(ids.answered("given up"), Answer::late);
  EXPECT_FALSE(ids.full());
  for (int i = 0; i < 4; ++i) {
    write_part(ids, "g" + std::to_string(i), 3);
    ids.give_up("g" + std::to_string(i));
  }
  EXPECT_TRUE(ids.full());
  EXPECT_EQ(ids.answered("g0"), Answer::late);
  EXPECT_FALSE(ids.full());
}

// ---- ids of parts in the transports ----
Attempt attempt_of_query(AttemptId id, const std::string& query, cottonbay::RequestId number) {
  Attempt attempt = attempt_of(id, query, "equipment-search");
  attempt.query_number = number;
  return attempt;
}

// The node's side of connections that speak frames; the test decides when it answers.
class FrameNode {
 public:
  explicit FrameNode(SingleNodeTransport& world) : world_(world) {
    world_.listed(1, local_address(listener_.get()));
  }
  Descriptor accept() { return accept_one(world_.scheduler, listener_); }
  // Reads the next frame.
  frames::Frame read(const Descriptor& connection) {
    std::optional<frames::Frame> frame;
    until(world_.scheduler, [&] {
      char byte = 0;
      while (!(frame = reader_.next()) && ::recv(connection.get(), &byte, 1, MSG_DONTWAIT) == 1)
        reader_.feed({&byte, 1});
      return frame.has_value();
    });
    return frame.value_or(frames::Frame{});
  }
  static void answer(const Descriptor& connection, const std::string& id, const std::string& value) {
    frames::AnswerPart out;
    out.id = id;
    out.outcome = 'S';
    out.value = value;
    const std::string bytes = frames::encode_answer(out);
    EXPECT_EQ(::send(connection.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }

 private:
  SingleNodeTransport& world_;
  Descriptor listener_ = listening_socket();
  frames::Reader reader_{1 << 20};
};

// Two queries bear one id, and a part of the first is out or given up. The second's part must go elsewhere,
// and each gets the value that was made for it.
TEST(PartIdsOfFrames, ValuesOfTwoQueriesUnderOneIdAreNotMixedUp) {
  for (const bool given_up : {false, true}) {
    SingleNodeTransport world(Api::platform);
    FrameNode node(world);
    world.transport->send(1, {attempt_of_query(1, "q", 1)});
    const Descriptor first = node.accept();
    EXPECT_EQ(node.read(first).type, frames::kCall);
    if (given_up) {
      world.transport->give_up(1, NodeTransport::GiveUpReason::cancelled);
      EXPECT_EQ(node.read(first).type, frames::kCancel);
    }
    world.transport->send(1, {attempt_of_query(2, "q", 2)});
    const Descriptor second = node.accept();
    EXPECT_EQ(node.read(second).type, frames::kCall);
    FrameNode::answer(first, "q.0", "of the first");
    until(world.scheduler, [&] {
      return given_up ? world.metrics.value("node.answers_too_late") == 1 : world.recorder.of.contains(1);
    });
    EXPECT_FALSE(world.recorder.of.contains(2));
    FrameNode::answer(second, "q.0", "of the second");
    world.run_to(2);
    EXPECT_EQ(world.recorder.values[2], "of the second");
    EXPECT_EQ(world.recorder.values[1], given_up ? "" : "of the first");
    EXPECT_EQ(world.recorder.of.contains(1), !given_up);
    EXPECT_EQ(world.metrics.value("node.spoilt"), 0u);
  }
}

// The same within one call.
TEST(PartIdsOfFrames, PartsUnderOneIdInOneCallUseTwoConnections) {
  SingleNodeTransport world(Api::platform);
  FrameNode node(world);
  world.transport->send(1, {attempt_of_query(1, "q", 1), attempt_of_query(2, "q", 2)});
  for (const char* value : {"one", "two"}) {
    const Descriptor connection = node.accept();
    EXPECT_EQ(node.read(connection).type, frames::kCall);
    FrameNode::answer(connection, "q.0", value);
    until(world.scheduler, [&] { return world.recorder.of.size() == (value[0] == 'o' ? 1u : 2u); });
  }
  EXPECT_EQ(world.recorder.of[1], Outcome::ok);
  EXPECT_EQ(world.recorder.of[2], Outcome::ok);
  EXPECT_NE(world.recorder.values[1], world.recorder.values[2]);
}

// A part was given up long ago, and many others were answered on its connection since. Its answer must not
// end the connection, on which another client's part is out.
TEST(PartIdsOfFrames, LateAnswerLongAfterGivingUpLeavesConnectionOpen) {
  SingleNodeTransport world(Api::platform, [](Limits& limits) { limits.past_parts_factor = 1; });
  FrameNode node(world);
  AttemptId last = 1;
  world.transport->send(1, {attempt_of_query(last, "late", 1)});
  const Descriptor connection = node.accept();
  EXPECT_EQ(node.read(connection).type, frames::kCall);
  world.transport->give_up(last, NodeTransport::GiveUpReason::cancelled);
  EXPECT_EQ(node.read(connection).type, frames::kCancel);
  for (std::size_t i = 0; i < 2 * world.limits.parts_per_connection; ++i) {
    ++last;
    const std::string query = "q" + std::to_string(last);
    world.transport->send(1, {attempt_of_query(last, query, last)});
    EXPECT_EQ(node.read(connection).type, frames::kCall);
    FrameNode::answer(connection, query + ".0", "v");
    world.run_to(last);
  }
  ++last;
  world.transport->send(1, {attempt_of_query(last, "out", last)});
  EXPECT_EQ(node.read(connection).type, frames::kCall);
  FrameNode::answer(connection, "late.0", "v");
  FrameNode::answer(connection, "out.0", "v");
  world.run_to(last);
  EXPECT_EQ(world.recorder.of[last], Outcome::ok);
  EXPECT_EQ(world.metrics.value("node.spoilt"), 0u);
}

// After giving up as many parts as it can remember, a connection takes no further part and is replaced.
TEST(PartIdsOfFrames, ConnectionFullOfGivenUpPartsIsReplaced) {
  SingleNodeTransport world(Api::platform, [](Limits& limits) {
    limits.past_parts_factor = 1;
    limits.parts_per_connection = 3;
  });
  FrameNode node(world);
  std::optional<Descriptor> connection;
  for (AttemptId id = 1; id <= 3; ++id) {
    world.transport->send(1, {attempt_of_query(id, "q" + std::to_string(id), id)});
    if (!connection) connection = node.accept();
    EXPECT_EQ(node.read(*connection).type, frames::kCall);
    world.transport->give_up(id, NodeTransport::GiveUpReason::cancelled);
    EXPECT_EQ(node.read(*connection).type, frames::kCancel);
  }
  EXPECT_EQ(world.metrics.value("node.connections_retired"), 1u);
  world.transport->send(1, {attempt_of_query(4, "q4", 4)});
  const Descriptor replacement = node.accept();
  EXPECT_EQ(node.read(replacement).type, frames::kCall);
  FrameNode::answer(replacement, "q4.0", "v");
  world.run_to(4);
  EXPECT_EQ(world.recorder.of[4], Outcome::ok);
}

// Over the OpenSearch-style API, requests on connections of their own carry the parts: one id may be out
// twice.
TEST(PartIdsOfApi, ValuesOfTwoQueriesUnderOneIdAreNotMixedUp) {
  SingleNodeTransport world(Api::opensearch);
  Attempt first = attempt_of_query(1, "q", 1), second = attempt_of_query(2, "q", 2);
  first.text = R"({"query":{"match":{"a":"first"}}})";
  second.text = R"({"query":{"match":{"a":"second"}}})";
  world.node.on_part = [](const ReceivedPart& part) {
    const bool is_first = part.text.find("first") != std::string::npos;
    const std::string id = is_first ? "first" : "second";
    return NodeReply{NodeReply::Kind::serve,
                     1,
                     is_first ? 60ms : 0ms,
                     {},
                     R"({"timed_out":false,"hits":{"hits":[{"_id":")" + id + R"("}]}})"};
  };
  world.transport->send(1, {std::move(first)});
  world.transport->send(1, {std::move(second)});
  world.run_to(1);
  world.run_to(2);
  EXPECT_NE(world.recorder.values[1].find("first"), std::string::npos) << world.recorder.values[1];
  EXPECT_NE(world.recorder.values[2].find("second"), std::string::npos) << world.recorder.values[2];
}

// ---- connections of operators ----
// Callers that say nothing must not end a connection whose call is being executed: its answer would be lost.
TEST(AdminServer, CallInProgressIsAnsweredBesideManySilentCallers) {
  Scheduler scheduler;
  Metrics metrics(1s);
  Limits limits;
  limits.max_admin_connections = 3;
  Parker finish(scheduler);
  const auto answer = [&](std::string line) -> Task<std::string> {
    co_await finish.park();
    co_return "SUCCESS " + line + "\n";
  };
  AdminServer server(scheduler, *Address::parse("127.0.0.1:0"), limits, metrics, answer);
  Peer operators_call(server.address().text());
  operators_call.write("OFFLINE n1\n");
  until(scheduler, [&] { return finish.parked(); });
  std::vector<std::unique_ptr<Peer>> silent;
  for (int i = 0; i < 12; ++i) silent.push_back(std::make_unique<Peer>(server.address().text()));
  until(scheduler, [&] { return metrics.value("admin.connections") == 13; });
  EXPECT_EQ(metrics.value("admin.shed"), 10u);
  finish.wake();
  std::string reply;
  until(scheduler, [&] { return !(reply += operators_call.read()).empty(); });
  EXPECT_EQ(reply, "SUCCESS OFFLINE n1\n");
  scheduler.destroy_tasks();
}

}  // namespace
}  // namespace kelpdeal::test
