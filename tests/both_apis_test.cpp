// SPDX-License-Identifier: MIT
// The coordinator's rules on real sockets. Each test runs through both fronts and with both kinds of record
// node, and the outcomes have to be the same.
#include <map>
#include <sstream>

#include "kelpdeal/search/operation.h"
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

TEST_P(BothApis, CompleteAnswerContainsEveryPart) {
  TestCluster cluster(options());
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const QueryResult result = co_await cluster.ask("equipment-search", "0,1,2,3", 1s);
    EXPECT_EQ(result, answered(true, "s0 s1 s2 s3"));
    EXPECT_EQ(cluster.parts_received(), 4u);
  }());
}

TEST_P(BothApis, PartsForOneNodeAreSentInOneCall) {
  ClusterOptions one = options();
  one.node_count = 1;
  TestCluster cluster(one);
  cluster.start();
  cluster.run([&]() -> Task<void> {
    co_await cluster.ask("equipment-search", "0,1,2,3", 1s);
    EXPECT_EQ(cluster.nodes[0]->received.size(), 4u);
    for (const ReceivedPart& part : cluster.nodes[0]->received) EXPECT_EQ(part.call_number, 1u);
  }());
}

TEST_P(BothApis, SecondStepQueriesBestShardsAndListsFirstStepShards) {
  TestCluster cluster(options());
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{NodeReply::Kind::serve, 10.0 + part.shard, {}};
    };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const QueryResult result = co_await cluster.ask("area-report", "0,1,2,3,4", 1s);
    EXPECT_EQ(result, answered(true, "s3 s4"));
    std::size_t second = 0;
    for (const auto& node : cluster.nodes)
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

// The second step of a query begins when its first part reaches a node. Nodes reject other parts of it that
// arrive within 50 us of that, so the remaining calls are sent after a gap. The test compares the arrival of
// the last parts, which a busy machine can only delay further.
TEST_P(BothApis, SecondStepSendsFirstCallBeforeOthers) {
  ClusterOptions with_gap = options();
  with_gap.adjust = [](Limits& limits) { limits.second_step_delay = 60ms; };
  TestCluster cluster(with_gap);
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{NodeReply::Kind::serve, 10.0 + part.shard, {}};
    };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    // The second step's parts, slices 3 and 4, have no node in common once n1 drains.
    cluster.discovery->set("n1", cluster.nodes[1]->address(), 1, "terminating");
    co_await cluster.pause(50ms);
    for (int i = 0; i < 3; ++i) {
      const QueryResult result = co_await cluster.ask("area-report", "0,1,2,3,4", 1s);
      EXPECT_EQ(result, answered(true, "s3 s4"));
    }
    struct Steps {
      TimePoint first_ended{}, second_ended{};
      int second = 0;
    };
    std::map<std::string, Steps> steps;  // by query
    for (const auto& node : cluster.nodes)
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

TEST_P(BothApis, PartialReportIsMarkedPartial) {
  TestCluster cluster(options());
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{part.shard == 2 ? NodeReply::Kind::silent : NodeReply::Kind::serve, 1, {}};
    };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const QueryResult result = co_await cluster.ask("area-report", "0,1,2,3,4", 1s);
    EXPECT_EQ(result.kind, "answered");
    EXPECT_FALSE(result.whole);
    EXPECT_EQ(result.hits.size(), 2u);
    for (const auto& node : cluster.nodes)
      for (const ReceivedPart& part : node->received)
        EXPECT_EQ(part.whole, part.id.ends_with(".phase2") ? "0" : "");
  }());
}

TEST_P(BothApis, QueryBelowMinimumShareIsNotAnswered) {
  TestCluster cluster(options());
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{part.shard >= 3 ? NodeReply::Kind::silent : NodeReply::Kind::serve, 1, {}};
    };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const TimePoint start = Clock::now();
    const QueryResult result = co_await cluster.ask("area-report", "0,1,2,3,4", 700ms);
    EXPECT_NE(result.kind, "answered");
    EXPECT_LT(Clock::now() - start, 750ms);  // the final answer comes before the client's deadline
  }());
}

TEST_P(BothApis, FailedPartIsRetriedOnAnotherHolder) {
  TestCluster cluster(options());
  cluster.nodes[0]->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::error, 1, {}}; };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const QueryResult result = co_await cluster.ask("equipment-search", "0", 1s);
    EXPECT_EQ(result, answered(true, "s0"));
  }());
}

TEST_P(BothApis, AttemptsPerPartAreLimited) {
  TestCluster cluster(options());
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::error, 1, {}}; };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const QueryResult result = co_await cluster.ask("equipment-search", "0", 1s);
    EXPECT_NE(result.kind, "answered");
    EXPECT_GE(cluster.parts_received(), 2u);
    EXPECT_LE(cluster.parts_received(), 4u);
  }());
}

TEST_P(BothApis, KeyedPartIsRetriedOnlyWithinWindowWithSameKey) {
  TestCluster cluster(options());
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::silent, 1, {}}; };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const QueryResult result = co_await cluster.ask("inspection-log", "0", 1100ms, "key7");
    // The platform's protocol passes the client's key on; the search front makes one of the whole operation.
    const std::string expected_key =
        options().front == Api::platform
            ? "key7"
            : search::identity_of({"key7", "", "inspection-log-0", "", "", false, "{\"q\":1}"});
    // The part may have run, so the query must not end as refused, which would imply that a retry is safe.
    EXPECT_EQ(result.kind, "failed");
    TimePoint first = kNever;
    for (const auto& node : cluster.nodes)
      for (const ReceivedPart& part : node->received) first = std::min(first, part.received_at);
    for (const auto& node : cluster.nodes)
      for (const ReceivedPart& part : node->received) {
        EXPECT_EQ(part.key, expected_key);
        EXPECT_LE(part.received_at - first, 650ms);
      }
  }());
}

TEST_P(BothApis, PartAfterRefusedConnectionIsRetriedAsNotRun) {
  TestCluster cluster(options());
  cluster.nodes[0]->refuse_connections();
  cluster.start();
  cluster.run([&]() -> Task<void> {
    for (int i = 0; i < 4; ++i) {
      const QueryResult result = co_await cluster.ask("inspection-log", "0", 1s, "k" + std::to_string(i));
      EXPECT_EQ(result, answered(true, ""));
    }
    EXPECT_EQ(cluster.nodes[1]->received.size(), 4u);
    const Metrics& metrics = cluster.gateway->metrics();
    EXPECT_EQ(metrics.value("attempts.repeats"), metrics.value("attempts.connect_failed"));
    EXPECT_EQ(metrics.value("attempts.copies"), 0u);
  }());
}

TEST_P(BothApis, ConnectionLostAfterWriteCountsAsReset) {
  TestCluster cluster(options());
  bool first = true;
  for (auto& node : cluster.nodes)
    node->on_part = [&first](const ReceivedPart&) {
      return NodeReply{std::exchange(first, false) ? NodeReply::Kind::reset : NodeReply::Kind::serve, 1, {}};
    };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const QueryResult result = co_await cluster.ask("equipment-search", "0", 1s);
    EXPECT_EQ(result, answered(true, "s0"));
    EXPECT_EQ(cluster.gateway->metrics().value("attempts.reset"), 1u);
  }());
}

TEST_P(BothApis, DrainingNodeReceivesNoNewParts) {
  TestCluster cluster(options());
  cluster.start();
  cluster.run([&]() -> Task<void> {
    co_await cluster.ask("equipment-search", "0,1,2", 1s);
    cluster.discovery->set("n1", cluster.nodes[1]->address(), 1, "terminating");
    co_await cluster.pause(50ms);
    const std::size_t before = cluster.nodes[1]->received.size();
    // Searches over several slices, some of which the draining node holds.
    for (int i = 0; i < 5; ++i) {
      const QueryResult result = co_await cluster.ask("equipment-search", "0,1,2,3,4", 1s);
      EXPECT_EQ(result, answered(true, "s0 s1 s2 s3 s4"));
    }
    EXPECT_EQ(cluster.nodes[1]->received.size(), before);
  }());
}

TEST_P(BothApis, ColdNodeReceivesFewParts) {
  TestCluster cluster(options());
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  cluster.discovery->set("n0", cluster.nodes[0]->address(), 0, "in_service",
                         std::chrono::duration_cast<Milliseconds>(now).count());
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::serve, 1, 20ms}; };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    for (int i = 0; i < 10; ++i) {
      const QueryResult result = co_await cluster.ask("equipment-search", "0,3", 1s);
      EXPECT_EQ(result.kind, "answered");
    }
    // Both slices are held by the cold node and a warm one; the cold one receives only a few parts.
    EXPECT_LE(cluster.nodes[0]->received.size(), 6u);
    EXPECT_GE(cluster.nodes[1]->received.size(), 14u);
  }());
}

TEST_P(BothApis, AttemptsAreCancelledWhenClientDisconnects) {
  TestCluster cluster(options());
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::silent, 1, {}}; };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const std::string address = cluster.front_address();
    {
      const Address to = *Address::parse(address);
      const auto stream = co_await connect(cluster.scheduler, to, Clock::now() + 1s);
      const std::string bytes = http::write(cluster.request("equipment-search", "0", 1s, ""));
      co_await stream->write_all(bytes);
      while (cluster.parts_received() == 0) co_await cluster.pause(2ms);
    }  // the client disconnects
    co_await cluster.pause(60ms);
    std::size_t given_up = 0;
    for (const auto& node : cluster.nodes) given_up += node->cancelled_ids.size();
    EXPECT_EQ(given_up, 1u);
    EXPECT_EQ(cluster.gateway->metrics().value("queries.withdrawn"), 1u);
  }());
}

TEST_P(BothApis, QueryAboveOpenCapIsRefusedImmediately) {
  ClusterOptions few = options();
  few.open_cap = 4;
  TestCluster cluster(few);
  for (auto& node : cluster.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::serve, 1, 200ms}; };
  cluster.start();
  cluster.run([&]() -> Task<void> {
    std::optional<QueryResult> first;
    const auto ask_first = [&]() -> Task<void> {
      first = co_await cluster.ask("equipment-search", "0,1", 1s);
    };
    cluster.scheduler.spawn(ask_first());
    while (cluster.parts_received() == 0) co_await cluster.pause(2ms);
    const TimePoint start = Clock::now();
    const QueryResult second = co_await cluster.ask("equipment-search", "2,3", 1s);
    EXPECT_EQ(second.kind, "refused");
    EXPECT_LT(Clock::now() - start, 100ms);
    while (!first) co_await cluster.pause(2ms);
    EXPECT_EQ(*first, answered(true, "s0 s1"));
  }());
}

TEST_P(BothApis, CorruptAnswerCountsAsResetAndClosesConnection) {
  const auto cut = [](const std::string& good) { return good.substr(0, good.size() - 3); };
  const bool frames = GetParam().second == Api::platform;
  const std::function<std::string(const std::string&)> corruptions[] = {
      [](const std::string&) { return std::string("\x07\x13noise that is no answer of any kind"); },
      cut,                            // incomplete
      [&](const std::string& good) {  // announces a value of 3 GB
        if (frames) return std::string("\0\0\0\xc0", 4) + good.substr(4);
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{");
      },
      [&](const std::string& good) {  // a line without an end
        if (frames) return frames::encode('5', std::string(5000, 'a'));
        return good.substr(0, 20) + std::string(20'000, 'a');
      },
      [&](const std::string& good) {  // an unknown frame type; not JSON
        if (frames) return good.substr(0, 4) + "Q" + good.substr(5);
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot JSON!");
      },
      [&](const std::string& good) {  // an unknown outcome; no status code
        if (!frames) return "HTTP/1.1 abc" + good.substr(12);
        std::string other = good;
        other[other.find(" S ") + 1] = 'Z';
        return other;
      },
      [&](const std::string& good) {  // an unknown part id; not HTTP
        if (!frames) return "ICY/1.1" + good.substr(8);
        return frames::encode_answer({"0123456789abcdef.0", 'S', 1, "-", "x"});
      },
  };
  for (const auto& corrupt : corruptions) {
    TestCluster cluster(options());
    int answers_sent = 0;
    for (auto& node : cluster.nodes)
      node->on_part = [&](const ReceivedPart&) {
        NodeReply answer;
        if (answers_sent++ == 0) answer.corrupt = corrupt;
        return answer;
      };
    cluster.start();
    cluster.run([&]() -> Task<void> {
      for (int i = 0; i < 3; ++i) {
        const QueryResult result = co_await cluster.ask("equipment-search", "0", 1s);
        EXPECT_EQ(result, answered(true, "s0")) << "after " << corrupt("abcd5q.0 S 1 -\nvalue");
      }
      EXPECT_EQ(cluster.gateway->metrics().value("attempts.reset"), 1u);
      EXPECT_EQ(cluster.gateway->metrics().value("attempts.timeout"), 0u);
      std::size_t connections = 0;
      for (const auto& node : cluster.nodes) connections += node->connections;
      EXPECT_EQ(connections, 2u);  // the one with the corrupt answer, and the next attempt's
    }());
  }
}

TEST_P(BothApis, ValidAnswerIsAcceptedDespiteTrailingData) {
  const bool frames = GetParam().second == Api::platform;
  const std::function<std::string(const std::string&)> behind[] = {
      [](const std::string& good) { return good + good; },
      [](const std::string& good) { return good + "noise"; },
      [&](const std::string& good) {  // a malformed load report; an unknown header
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
    TestCluster cluster(options());
    for (auto& node : cluster.nodes)
      node->on_part = [&](const ReceivedPart&) {
        NodeReply answer;
        answer.corrupt = corrupt;
        return answer;
      };
    cluster.start();
    cluster.run([&]() -> Task<void> {
      for (int i = 0; i < 4; ++i) {
        const QueryResult result = co_await cluster.ask("equipment-search", "0", 1s);
        EXPECT_EQ(result, answered(true, "s0"));
        co_await cluster.pause(10ms);
      }
      EXPECT_EQ(cluster.gateway->metrics().value("attempts.ok"), 4u);
      EXPECT_EQ(cluster.parts_received(), 4u);
    }());
  }
}

TEST_P(BothApis, IncompleteRequestsTimeOutWithErrorOrClose) {
  ClusterOptions quick = options();
  quick.adjust = [](Limits& limits) { limits.first_request_timeout = limits.client_read_timeout = 100ms; };
  TestCluster cluster(quick);
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const Address to = *Address::parse(cluster.front_address());
    for (const std::string text :
         {"", "P", "POST /equipment-search HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"}) {
      const auto stream = co_await connect(cluster.scheduler, to, Clock::now() + 1s);
      co_await stream->write_all(text);
      std::vector<char> chunk(1024);
      const IoResult got = co_await stream->read_some(chunk, Clock::now() + 1s);
      EXPECT_EQ(got.status, text.empty() ? IoStatus::end_of_stream : IoStatus::ok);
      const std::string head(chunk.data(), got.bytes);
      EXPECT_EQ(head.substr(0, 13), text.empty() ? "" : "HTTP/1.1 408 ");
    }
    EXPECT_EQ(cluster.gateway->metrics().value("clients.silent"), 1u);
  }());
}

TEST_P(BothApis, ClientsAreServedWhileSilentConnectionsFillTheLimit) {
  ClusterOptions few = options();
  few.adjust = [](Limits& limits) { limits.max_client_connections = 8; };
  TestCluster cluster(few);
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const Address to = *Address::parse(cluster.front_address());
    std::vector<std::unique_ptr<Stream>> silent;
    for (int i = 0; i < 40; ++i) silent.push_back(co_await connect(cluster.scheduler, to, Clock::now() + 1s));
    const TimePoint start = Clock::now();
    const QueryResult result = co_await cluster.ask("equipment-search", "0", 1s);
    EXPECT_EQ(result, answered(true, "s0"));
    EXPECT_LT(Clock::now() - start, 900ms);
    EXPECT_GE(cluster.gateway->metrics().value("clients.shed"), 30u);
  }());
}

TEST_P(BothApis, IdleConnectionsDoNotExhaustRequestLimit) {
  ClusterOptions few = options();
  few.adjust = [](Limits& limits) { limits.max_active_clients = 6; };
  TestCluster cluster(few);
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const Address to = *Address::parse(cluster.front_address());
    std::vector<std::unique_ptr<Stream>> kept;
    std::vector<char> chunk(4096);
    for (int i = 0; i < 20; ++i) {
      kept.push_back(co_await connect(cluster.scheduler, to, Clock::now() + 1s));
      const std::string bytes = http::write(cluster.request("equipment-search", "0", 1s, ""));
      co_await kept.back()->write_all(bytes);
      EXPECT_EQ((co_await kept.back()->read_some(chunk, Clock::now() + 1s)).status, IoStatus::ok);
    }
    co_await cluster.pause(20ms);
    std::size_t open = 0;
    for (const auto& stream : kept) open += !stream->has_input();
    EXPECT_LE(open, 8u);
    EXPECT_FALSE(kept.back()->has_input());  // those idle for the longest time were closed
    EXPECT_TRUE(kept.front()->has_input());
  }());
}

TEST_P(BothApis, MalformedRequestIsAnsweredAtOnceAndDelaysTheNext) {
  TestCluster cluster(options());
  cluster.start();
  cluster.run([&]() -> Task<void> {
    const Address to = *Address::parse(cluster.front_address());
    const auto stream = co_await connect(cluster.scheduler, to, Clock::now() + 1s);
    http::Request request = cluster.request("equipment-search", "0", 1s, "");
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
    EXPECT_EQ(cluster.gateway->metrics().value("clients.status_400"), 3u);
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
