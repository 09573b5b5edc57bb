// SPDX-License-Identifier: MIT
// The rules, on real sockets: each is checked through both fronts and with both kinds of record node, and the
// outcomes have to be the same.
#include <map>
#include <sstream>

#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

QueryResult answered(bool whole, const char* hits) {
  QueryResult result;
  result.kind = "answered";
  result.whole = whole;
  std::istringstream words(hits);
  for (std::string word; words >> word;) result.hits.insert(word);
  return result;
}

class BothApis : public testing::TestWithParam<std::pair<Api, Api>> {
 protected:
  static ClusterOptions options() { return {GetParam().first, GetParam().second}; }
  static NodeReply answer(NodeReply::Kind kind) { return {kind, 1, {}}; }
};

TEST_P(BothApis, AWholeAnswerHoldsEveryPart) {
  TestCluster world(options());
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("equipment-search", "0,1,2,3", 1s);
    EXPECT_EQ(result, answered(true, "s0 s1 s2 s3"));
    EXPECT_EQ(world.parts_received(), 4u);
  }());
}

TEST_P(BothApis, PartsForOneNodeTravelAsOneCall) {
  ClusterOptions one = options();
  one.node_count = 1;
  TestCluster world(one);
  world.start();
  world.run([&]() -> Task<void> {
    co_await world.ask("equipment-search", "0,1,2,3", 1s);
    EXPECT_EQ(world.nodes[0]->received.size(), 4u);
    for (const ReceivedPart& part : world.nodes[0]->received) EXPECT_EQ(part.call_number, 1u);
  }());
}

TEST_P(BothApis, TheSecondStepAsksTheBestShardsAndNamesThoseThatWereIn) {
  TestCluster world(options());
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{NodeReply::Kind::serve, 10.0 + part.shard, {}};
    };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1s);
    EXPECT_EQ(result, answered(true, "s3 s4"));
    std::size_t second = 0;
    for (const auto& node : world.nodes)
      for (const ReceivedPart& part : node->received) {
        if (!part.id.ends_with(".phase2")) continue;
        ++second;
        EXPECT_EQ(part.from, "0+1+2+3+4");
        EXPECT_EQ(part.whole, "1");
        EXPECT_TRUE(part.id.ends_with("." + std::to_string(part.shard) + ".phase2"));
      }
    EXPECT_EQ(second, 2u);
  }());
}

// A second step begins with its first part to arrive; what reached other nodes within 50 us of it was turned
// away. Checked by the last part's arrival, which a busy machine only makes later.
TEST_P(BothApis, TheSecondStepsFirstCallGoesAheadOfTheOthers) {
  ClusterOptions apart = options();
  apart.adjust = [](Limits& limits) { limits.second_step_gap = 60ms; };
  TestCluster world(apart);
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{NodeReply::Kind::serve, 10.0 + part.shard, {}};
    };
  world.start();
  world.run([&]() -> Task<void> {
    // Its two parts, at slices 3 and 4, have no node in common once the one between them drains.
    world.discovery->set("n1", world.nodes[1]->address(), 1, "terminating");
    co_await world.pause(50ms);
    for (int i = 0; i < 3; ++i) {
      const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1s);
      EXPECT_EQ(result, answered(true, "s3 s4"));
    }
    struct Steps {
      TimePoint first_ended{}, second_ended{};
      int second = 0;
    };
    std::map<std::string, Steps> steps;  // by query
    for (const auto& node : world.nodes)
      for (const ReceivedPart& part : node->received) {
        Steps& of = steps[part.id.substr(0, part.id.find('.'))];
        const bool second = part.id.ends_with(".phase2");
        TimePoint& ended = second ? of.second_ended : of.first_ended;
        ended = std::max(ended, part.received_at);
        of.second += second;
      }
    EXPECT_EQ(steps.size(), 3u);
    for (const auto& [query, of] : steps) {
      EXPECT_EQ(of.second, 2);
      EXPECT_GE(of.second_ended - of.first_ended, 60ms);
    }
  }());
}

TEST_P(BothApis, APartialReportSaysThatItIsPartial) {
  TestCluster world(options());
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{part.shard == 2 ? NodeReply::Kind::silent : NodeReply::Kind::serve, 1, {}};
    };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 1s);
    EXPECT_EQ(result.kind, "answered");
    EXPECT_FALSE(result.whole);
    EXPECT_EQ(result.hits.size(), 2u);
    for (const auto& node : world.nodes)
      for (const ReceivedPart& part : node->received)
        EXPECT_EQ(part.whole, part.id.ends_with(".phase2") ? "0" : "");
  }());
}

TEST_P(BothApis, NothingIsAnsweredFromLessThanTheLeastShare) {
  TestCluster world(options());
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{part.shard >= 3 ? NodeReply::Kind::silent : NodeReply::Kind::serve, 1, {}};
    };
  world.start();
  world.run([&]() -> Task<void> {
    const TimePoint start = Clock::now();
    const QueryResult result = co_await world.ask("area-report", "0,1,2,3,4", 700ms);
    EXPECT_NE(result.kind, "answered");
    EXPECT_LT(Clock::now() - start, 750ms);  // one final answer before the client's time is up
  }());
}

TEST_P(BothApis, APartIsSentToAnotherHolderAfterAnError) {
  TestCluster world(options());
  world.nodes[0]->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::error, 1, {}}; };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("equipment-search", "0", 1s);
    EXPECT_EQ(result, answered(true, "s0"));
  }());
}

TEST_P(BothApis, AttemptsOfAPartAreCapped) {
  TestCluster world(options());
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::error, 1, {}}; };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("equipment-search", "0", 1s);
    EXPECT_NE(result.kind, "answered");
    EXPECT_GE(world.parts_received(), 2u);
    EXPECT_LE(world.parts_received(), 4u);
  }());
}

TEST_P(BothApis, AKeyedPartIsResentOnlyWithinItsWindowAndUnderItsKey) {
  TestCluster world(options());
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::silent, 1, {}}; };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("inspection-log", "0", 1100ms, "key7");
    // It may have run, so its end is no refusal, which would promise that asking again is harmless.
    EXPECT_EQ(result.kind, "failed");
    TimePoint first = kNever;
    for (const auto& node : world.nodes)
      for (const ReceivedPart& part : node->received) first = std::min(first, part.received_at);
    for (const auto& node : world.nodes)
      for (const ReceivedPart& part : node->received) {
        EXPECT_EQ(part.key, "key7");
        EXPECT_LE(part.received_at - first, 650ms);
      }
  }());
}

TEST_P(BothApis, ARefusedConnectionProvesThatThePartNeverRan) {
  TestCluster world(options());
  world.nodes[0]->stop();
  world.start();
  world.run([&]() -> Task<void> {
    for (int i = 0; i < 4; ++i) {
      const QueryResult result = co_await world.ask("inspection-log", "0", 1s, "k" + std::to_string(i));
      EXPECT_EQ(result, answered(true, ""));
    }
    EXPECT_EQ(world.nodes[1]->received.size(), 4u);
    const Metrics& metrics = world.gateway->metrics();
    EXPECT_EQ(metrics.value("attempts.repeats"), metrics.value("attempts.connect_failed"));
    EXPECT_EQ(metrics.value("attempts.copies"), 0u);
  }());
}

TEST_P(BothApis, AConnectionThatBreaksAfterTheWriteIsAReset) {
  TestCluster world(options());
  bool first = true;
  for (auto& node : world.nodes)
    node->on_part = [&first](const ReceivedPart&) {
      return NodeReply{std::exchange(first, false) ? NodeReply::Kind::reset : NodeReply::Kind::serve, 1, {}};
    };
  world.start();
  world.run([&]() -> Task<void> {
    const QueryResult result = co_await world.ask("equipment-search", "0", 1s);
    EXPECT_EQ(result, answered(true, "s0"));
    EXPECT_EQ(world.gateway->metrics().value("attempts.reset"), 1u);
  }());
}

TEST_P(BothApis, NothingNewGoesToANodeThatDrains) {
  TestCluster world(options());
  world.start();
  world.run([&]() -> Task<void> {
    co_await world.ask("equipment-search", "0,1,2", 1s);
    world.discovery->set("n1", world.nodes[1]->address(), 1, "terminating");
    co_await world.pause(50ms);
    const std::size_t before = world.nodes[1]->received.size();
    // A search over several indices whose slices the draining node holds too.
    for (int i = 0; i < 5; ++i) {
      const QueryResult result = co_await world.ask("equipment-search", "0,1,2,3,4", 1s);
      EXPECT_EQ(result, answered(true, "s0 s1 s2 s3 s4"));
    }
    EXPECT_EQ(world.nodes[1]->received.size(), before);
  }());
}

TEST_P(BothApis, AColdNodeIsSpared) {
  TestCluster world(options());
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  world.discovery->set("n0", world.nodes[0]->address(), 0, "in_service",
                       std::chrono::duration_cast<Milliseconds>(now).count());
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::serve, 1, 20ms}; };
  world.start();
  world.run([&]() -> Task<void> {
    for (int i = 0; i < 10; ++i) {
      const QueryResult result = co_await world.ask("equipment-search", "0,3", 1s);
      EXPECT_EQ(result.kind, "answered");
    }
    // Both slices are held by the cold node and a warm one; the cold one gets a few at the most.
    EXPECT_LE(world.nodes[0]->received.size(), 6u);
    EXPECT_GE(world.nodes[1]->received.size(), 14u);
  }());
}

TEST_P(BothApis, WhatAClientNoLongerWaitsForIsGivenUp) {
  TestCluster world(options());
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::silent, 1, {}}; };
  world.start();
  world.run([&]() -> Task<void> {
    const std::string address = world.front_address();
    {
      const Address to = *Address::parse(address);
      const auto stream = co_await connect(world.scheduler, to, Clock::now() + 1s);
      const std::string bytes = http::write(world.request("equipment-search", "0", 1s, ""));
      co_await stream->write_all(bytes);
      while (world.parts_received() == 0) co_await world.pause(2ms);
    }  // the client leaves
    co_await world.pause(60ms);
    std::size_t given_up = 0;
    for (const auto& node : world.nodes) given_up += node->cancelled_ids.size();
    EXPECT_EQ(given_up, 1u);
    EXPECT_EQ(world.gateway->metrics().value("queries.withdrawn"), 1u);
  }());
}

TEST_P(BothApis, MoreThanMayBeHeldIsRefusedAtOnce) {
  ClusterOptions few = options();
  few.open_cap = 4;
  TestCluster world(few);
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::serve, 1, 200ms}; };
  world.start();
  world.run([&]() -> Task<void> {
    std::optional<QueryResult> first;
    const auto ask_first = [&]() -> Task<void> { first = co_await world.ask("equipment-search", "0,1", 1s); };
    world.scheduler.spawn(ask_first());
    while (world.parts_received() == 0) co_await world.pause(2ms);
    const TimePoint start = Clock::now();
    const QueryResult second = co_await world.ask("equipment-search", "2,3", 1s);
    EXPECT_EQ(second.kind, "refused");
    EXPECT_LT(Clock::now() - start, 100ms);
    while (!first) co_await world.pause(2ms);
    EXPECT_EQ(*first, answered(true, "s0 s1"));
  }());
}

TEST_P(BothApis, ASpoiltAnswerIsAFailedAttemptThatMayHaveRunAndEndsItsConnection) {
  const auto cut = [](const std::string& good) { return good.substr(0, good.size() - 3); };
  const bool frames = GetParam().second == Api::platform;
  const std::function<std::string(const std::string&)> spoils[] = {
      [](const std::string&) { return std::string("\x07\x13noise that is no answer of any kind"); },
      cut,                            // it never ends
      [&](const std::string& good) {  // a value of 3 GB
        if (frames) return std::string("\0\0\0\xc0", 4) + good.substr(4);
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{");
      },
      [&](const std::string& good) {  // a line that never ends
        if (frames) return frames::encode('5', std::string(5000, 'a'));
        return good.substr(0, 20) + std::string(20'000, 'a');
      },
      [&](const std::string& good) {  // an unknown letter; no JSON
        if (frames) return good.substr(0, 4) + "Q" + good.substr(5);
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot JSON!");
      },
      [&](const std::string& good) {  // an unknown end; no status
        if (!frames) return "HTTP/1.1 abc" + good.substr(12);
        std::string other = good;
        other[other.find(" S ") + 1] = 'Z';
        return other;
      },
      [&](const std::string& good) {  // an unknown id; no HTTP
        if (!frames) return "ICY/1.1" + good.substr(8);
        return frames::encode_answer({"0123456789abcdef.0", 'S', 1, "-", "x"});
      },
  };
  for (const auto& corrupt : spoils) {
    TestCluster world(options());
    int spoilt = 0;
    for (auto& node : world.nodes)
      node->on_part = [&](const ReceivedPart&) {
        NodeReply answer;
        if (spoilt++ == 0) answer.corrupt = corrupt;
        return answer;
      };
    world.start();
    world.run([&]() -> Task<void> {
      for (int i = 0; i < 3; ++i) {
        const QueryResult result = co_await world.ask("equipment-search", "0", 1s);
        EXPECT_EQ(result, answered(true, "s0")) << "after " << corrupt("abcd5q.0 S 1 -\nvalue");
      }
      EXPECT_EQ(world.gateway->metrics().value("attempts.reset"), 1u);
      EXPECT_EQ(world.gateway->metrics().value("attempts.timeout"), 0u);
      std::size_t connections = 0;
      for (const auto& node : world.nodes) connections += node->connections;
      EXPECT_EQ(connections, 2u);  // the spoilt one, and that of the next attempt
    }());
  }
}

TEST_P(BothApis, AGoodAnswerIsTakenWhateverStandsBehindIt) {
  const bool frames = GetParam().second == Api::platform;
  const std::function<std::string(const std::string&)> behind[] = {
      [](const std::string& good) { return good + good; },
      [](const std::string& good) { return good + "noise"; },
      [&](const std::string& good) {  // a load report that cannot be read; a header of the node's own
        std::string other = good;
        if (frames) {
          const std::size_t report = other.find(" -\n") + 1;
          other.replace(report, 1, "{a b:c,");
          other[0] = static_cast<char>(other[0] + 6);
        } else {
          other.insert(other.find("\r\n") + 2, "X-Load: {a b:c,\r\n");
        }
        return other;
      },
  };
  for (const auto& corrupt : behind) {
    TestCluster world(options());
    for (auto& node : world.nodes)
      node->on_part = [&](const ReceivedPart&) {
        NodeReply answer;
        answer.corrupt = corrupt;
        return answer;
      };
    world.start();
    world.run([&]() -> Task<void> {
      for (int i = 0; i < 4; ++i) {
        const QueryResult result = co_await world.ask("equipment-search", "0", 1s);
        EXPECT_EQ(result, answered(true, "s0"));
        co_await world.pause(10ms);
      }
      EXPECT_EQ(world.gateway->metrics().value("attempts.ok"), 4u);
      EXPECT_EQ(world.parts_received(), 4u);
    }());
  }
}

TEST_P(BothApis, SilentAndHalfRequestsGetAnErrorOrACloseInTime) {
  ClusterOptions quick = options();
  quick.adjust = [](Limits& limits) { limits.client_first = limits.client_read = 100ms; };
  TestCluster world(quick);
  world.start();
  world.run([&]() -> Task<void> {
    const Address to = *Address::parse(world.front_address());
    for (const std::string text :
         {"", "P", "POST /equipment-search HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"}) {
      const auto stream = co_await connect(world.scheduler, to, Clock::now() + 1s);
      co_await stream->write_all(text);
      std::vector<char> chunk(1024);
      const IoResult got = co_await stream->read_some(chunk, Clock::now() + 1s);
      EXPECT_EQ(got.status, text.empty() ? IoStatus::end_of_stream : IoStatus::ok);
      const std::string head(chunk.data(), got.bytes);
      EXPECT_EQ(head.substr(0, 13), text.empty() ? "" : "HTTP/1.1 408 ");
    }
    EXPECT_EQ(world.gateway->metrics().value("clients.silent"), 1u);
  }());
}

TEST_P(BothApis, ClientsAreServedWhileOthersHoldEveryConnectionAndSayNothing) {
  ClusterOptions few = options();
  few.adjust = [](Limits& limits) { limits.client_connections = 8; };
  TestCluster world(few);
  world.start();
  world.run([&]() -> Task<void> {
    const Address to = *Address::parse(world.front_address());
    std::vector<std::unique_ptr<Stream>> silent;
    for (int i = 0; i < 40; ++i) silent.push_back(co_await connect(world.scheduler, to, Clock::now() + 1s));
    const TimePoint start = Clock::now();
    const QueryResult result = co_await world.ask("equipment-search", "0", 1s);
    EXPECT_EQ(result, answered(true, "s0"));
    EXPECT_LT(Clock::now() - start, 900ms);
    EXPECT_GE(world.gateway->metrics().value("clients.shed"), 30u);
  }());
}

TEST_P(BothApis, ConnectionsThatAskedOnceAndStayDoNotUseUpWhatRequestsMayHold) {
  ClusterOptions few = options();
  few.adjust = [](Limits& limits) { limits.client_requests = 6; };
  TestCluster world(few);
  world.start();
  world.run([&]() -> Task<void> {
    const Address to = *Address::parse(world.front_address());
    std::vector<std::unique_ptr<Stream>> kept;
    std::vector<char> chunk(4096);
    for (int i = 0; i < 20; ++i) {
      kept.push_back(co_await connect(world.scheduler, to, Clock::now() + 1s));
      const std::string bytes = http::write(world.request("equipment-search", "0", 1s, ""));
      co_await kept.back()->write_all(bytes);
      EXPECT_EQ((co_await kept.back()->read_some(chunk, Clock::now() + 1s)).status, IoStatus::ok);
    }
    co_await world.pause(20ms);
    std::size_t open = 0;
    for (const auto& stream : kept) open += !stream->has_input();
    EXPECT_LE(open, 8u);
    EXPECT_FALSE(kept.back()->has_input());  // the longest idle ones went
    EXPECT_TRUE(kept.front()->has_input());
  }());
}

TEST_P(BothApis, AMalformedRequestIsAnsweredAtOnceAndTheNextOneWaits) {
  TestCluster world(options());
  world.start();
  world.run([&]() -> Task<void> {
    const Address to = *Address::parse(world.front_address());
    const auto stream = co_await connect(world.scheduler, to, Clock::now() + 1s);
    http::Request request = world.request("equipment-search", "0", 1s, "");
    request.body = "{";
    const std::string bytes = http::write(request);
    std::vector<char> chunk(1024);
    const TimePoint start = Clock::now();
    for (int i = 0; i < 3; ++i) {
      co_await stream->write_all(bytes);
      co_await stream->read_some(chunk, Clock::now() + 1s);
      EXPECT_LT(Clock::now() - start, 80ms + i * 150ms);
    }
    EXPECT_GE(Clock::now() - start, 200ms);
    EXPECT_EQ(world.gateway->metrics().value("clients.status_400"), 3u);
  }());
}

INSTANTIATE_TEST_SUITE_P(
    Fronts, BothApis,
    testing::Values(std::pair(Api::platform, Api::platform), std::pair(Api::opensearch, Api::platform),
                    std::pair(Api::platform, Api::opensearch), std::pair(Api::opensearch, Api::opensearch)),
    [](const auto& info) {
      const auto name = [](Api api) {
        return api == Api::platform ? std::string("Platform") : std::string("OpenSearch");
      };
      return name(info.param.first) + "Front" + name(info.param.second) + "Nodes";
    });

}  // namespace
}  // namespace kelpdeal::test
