// SPDX-License-Identifier: MIT
// Responses of the OpenSearch-style front in the terms of that API.
#include "kelpdeal/opensearch_front.h"
#include "kelpdeal/search/operation.h"
#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

http::Request make_request(const char* method, const std::string& target, const std::string& body = "",
                           const std::string& team = "") {
  http::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!team.empty()) request.headers.fields.emplace_back("X-Team", team);
  return request;
}

class OpenSearch : public testing::Test {
 protected:
  OpenSearch() : world({Api::opensearch, Api::platform}) {}
  Task<http::Response> send(http::Request request) {
    return world.send(world.gateway->search_address(), std::move(request));
  }
  TestCluster world;
};

TEST_F(OpenSearch, SearchOverSeveralIndicesReturnsApiResponse) {
  world.start();
  world.run([&]() -> Task<void> {
    http::Request request =
        make_request("POST", "/equipment-search-0,equipment-search-3/_search?size=1", "{}");
    request.headers.fields.emplace_back("X-Opaque-Id", "tool-7");
    const http::Response response = co_await send(std::move(request));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(header_of(response, "X-Opaque-Id"), "tool-7");
    const json::Value body = body_of(response);
    EXPECT_GE(body.number_or("took", -1), 0);
    EXPECT_FALSE(body.flag_or("timed_out", true));
    EXPECT_EQ(body.number_or("_shards.total", 0), 2);
    EXPECT_EQ(body.number_or("_shards.successful", 0), 2);
    EXPECT_EQ(body.number_or("_shards.skipped", -1), 0);
    EXPECT_EQ(body.number_or("_shards.failed", -1), 0);
    EXPECT_EQ(body.number_or("hits.total.value", 0), 2);
    EXPECT_EQ(body.at("hits.hits")->array()->size(), 1u);
  }());
}

TEST_F(OpenSearch, PartialResponseListsFailedShardsUnlessDisallowed) {
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart& part) {
      return NodeReply{part.shard == 2 ? NodeReply::Kind::silent : NodeReply::Kind::serve, 1, {}};
    };
  world.start();
  world.run([&]() -> Task<void> {
    const std::string target =
        "/area-report-0,area-report-1,area-report-2,area-report-3,area-report-4/_search?timeout=900ms";
    const http::Response partial = co_await send(make_request("GET", target));
    const json::Value body = body_of(partial);
    EXPECT_EQ(partial.status, 200);
    EXPECT_TRUE(body.flag_or("timed_out", false));
    EXPECT_EQ(body.number_or("_shards.total", 0), 5);
    EXPECT_EQ(body.number_or("_shards.successful", 0), 4);
    EXPECT_EQ(body.number_or("_shards.failed", 0), 1);
    const json::Value failure = body.at("_shards.failures")->array()->at(0);
    EXPECT_EQ(failure.number_or("shard", -1), 2);
    EXPECT_EQ(failure.text_or("index", ""), "area-report-2");
    EXPECT_EQ(failure.text_or("reason.type", ""), "timeout_exception");
    EXPECT_EQ(body.text_or("hits.total.relation", ""), "gte");

    const http::Response none =
        co_await send(make_request("GET", target + "&allow_partial_search_results=false"));
    EXPECT_EQ(none.status, 504);
    EXPECT_EQ(body_of(none).text_or("error.type", ""), "search_phase_execution_exception");
  }());
}

TEST_F(OpenSearch, AnswersInitialCallsOfClientLibraries) {
  world.start();
  world.run([&]() -> Task<void> {
    const http::Response ping = co_await send(make_request("HEAD", "/"));
    EXPECT_EQ(ping.status, 200);
    EXPECT_TRUE(ping.body.empty());
    const http::Response info = co_await send(make_request("GET", "/"));
    EXPECT_FALSE(body_of(info).text_or("version.number", "").empty());
  }());
}

TEST_F(OpenSearch, ErrorsContainTypeReasonAndStatus) {
  world.start();
  world.run([&]() -> Task<void> {
    const struct {
      const char *method, *target, *body;
      int status;
      const char* type;
    } cases[] = {
        {"POST", "/none/_search", "{}", 404, "index_not_found_exception"},
        {"POST", "/equipment-search-0/_search", "{", 400, "parsing_exception"},
        {"POST", "/equipment-search-0/_search", "[]", 400, "parsing_exception"},
        {"POST", "/equipment-search-0/_search", "{\"aggs\":{\"a\":{\"cardinality\":{}}}}", 400,
         "illegal_argument_exception"},
        {"POST", "/equipment-search-0/_search", "{\"query\":{\"near\":{}}}", 400, "parsing_exception"},
        {"POST", "/equipment-search-0/_search?sise=3", "{}", 400, "illegal_argument_exception"},
        {"POST", "/equipment-search-0/_search?timeout=5", "{}", 400, "illegal_argument_exception"},
        {"POST", "/equipment-search-0/_search?timeout=-5s", "{}", 400, "illegal_argument_exception"},
        {"POST", "/equipment-search-0/_search", "{\"size\":-1}", 400, "illegal_argument_exception"},
        {"POST", "/equipment-search-0,area-report-1/_search", "{}", 400, "illegal_argument_exception"},
        {"POST", "/inspection-log-0/_search", "{}", 400, "illegal_argument_exception"},
        {"POST", "/equipment-search-0/_doc/1", "{}", 400, "illegal_argument_exception"},
        {"POST", "/inspection-log-0/_doc", "{}", 400, "action_request_validation_exception"},
        {"PUT", "/inspection-log-0/_doc/1", "x", 400, "mapper_parsing_exception"},
        {"POST", "/_msearch", "{}\n", 400, "parsing_exception"},
        {"DELETE", "/equipment-search-0/_search", "", 405, "illegal_argument_exception"},
        {"GET", "/_cat/none", "", 400, "illegal_argument_exception"},
    };
    for (const auto& test_case : cases) {
      const http::Response response =
          co_await send(make_request(test_case.method, test_case.target, test_case.body));
      EXPECT_EQ(response.status, test_case.status) << test_case.method << test_case.target << test_case.body;
      const json::Value body = body_of(response);
      EXPECT_EQ(body.number_or("status", 0), test_case.status);
      EXPECT_EQ(body.text_or("error.type", ""), test_case.type) << test_case.target << test_case.body;
      EXPECT_FALSE(body.text_or("error.reason", "").empty());
      EXPECT_EQ(body.at("error.root_cause")->array()->at(0).text_or("type", ""), test_case.type);
    }
    EXPECT_EQ(world.parts_received(), 0u);
  }());
}

TEST_F(OpenSearch, OversizedBodyIsRejectedAndCounted) {
  world.start();
  world.run([&]() -> Task<void> {
    http::Request large = make_request("POST", "/equipment-search-0/_search", std::string(1'100'000, ' '));
    const http::Response response = co_await send(std::move(large));
    EXPECT_EQ(response.status, 413);
    EXPECT_EQ(body_of(response).text_or("error.type", ""), "content_too_long_exception");
    EXPECT_EQ(world.gateway->metrics().value("log.http"), 1u);
  }());
}

TEST_F(OpenSearch, MultiSearchReturnsResponsesInRequestOrder) {
  world.start();
  world.run([&]() -> Task<void> {
    const http::Response response = co_await send(
        make_request("POST", "/_msearch",
                     "{\"index\":\"equipment-search-1\"}\n{}\n{\"index\":\"none\"}\n{}\n{\"index\":["
                     "\"equipment-search-2\"]}\n{}\n"));
    EXPECT_EQ(response.status, 200);
    const json::Value body = body_of(response);
    const json::Array& answers = *body.find("responses")->array();
    EXPECT_EQ(answers.size(), 3u);
    EXPECT_EQ(answers[0].at("hits.hits")->array()->at(0).text_or("_id", ""), "s1");
    EXPECT_EQ(answers[0].number_or("status", 0), 200);
    EXPECT_EQ(answers[1].number_or("status", 0), 404);
    EXPECT_EQ(answers[1].text_or("error.type", ""), "index_not_found_exception");
    EXPECT_EQ(answers[2].at("hits.hits")->array()->at(0).text_or("_id", ""), "s2");
  }());
}

TEST_F(OpenSearch, DocumentIsWrittenOnceUnderItsKey) {
  world.start();
  world.run([&]() -> Task<void> {
    const http::Response response =
        co_await send(make_request("PUT", "/inspection-log-4/_doc/lift-9", "{\"ok\":true}"));
    EXPECT_EQ(response.status, 201);
    const json::Value body = body_of(response);
    EXPECT_EQ(body.text_or("_index", ""), "inspection-log-4");
    EXPECT_EQ(body.text_or("_id", ""), "lift-9");
    EXPECT_EQ(body.text_or("result", ""), "created");
    EXPECT_EQ(world.parts_received(), 1u);
    for (const auto& node : world.nodes)
      for (const ReceivedPart& part : node->received) {
        EXPECT_EQ(part.key,
                  search::identity_of({"", "", "inspection-log-4", "lift-9", "", false, "{\"ok\":true}"}));
        EXPECT_EQ(part.shard, 4);
        EXPECT_EQ(part.text, "{\"ok\":true}");
      }
  }());
}

TEST_F(OpenSearch, TimeoutEndsSearch) {
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::silent, 1, {}}; };
  world.start();
  world.run([&]() -> Task<void> {
    const TimePoint start = Clock::now();
    const http::Response response =
        co_await send(make_request("POST", "/equipment-search-0/_search", "{\"timeout\":\"300ms\"}"));
    EXPECT_LT(Clock::now() - start, 350ms);
    // Searches may be repeated, so an abandoned one is reported as refused, with a delay after which to
    // retry.
    EXPECT_EQ(response.status, 429);
    EXPECT_EQ(body_of(response).text_or("error.type", ""), "rejected_execution_exception");
    EXPECT_GE(std::stoi(header_of(response, "Retry-After")), 1);
  }());
}

TEST_F(OpenSearch, TeamContractsAreEnforcedWithApiErrors) {
  FrontContract contract;
  contract.listen = "127.0.0.1:0";
  contract.indices = {{"equipment", "equipment-search", 0, 2}, {"log", "inspection-log", 0, 6}};
  contract.teams = {{"owners", {"equipment-search"}, 1, 1, 0}, {"tools", {"equipment-search"}, 0, 1, 1}};
  world.start(contract);
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::serve, 1, 100ms}; };
  world.run([&]() -> Task<void> {
    const http::Response nobody = co_await send(make_request("GET", "/equipment/_search"));
    EXPECT_EQ(nobody.status, 401);
    EXPECT_EQ(body_of(nobody).text_or("error.type", ""), "security_exception");
    const http::Response other = co_await send(make_request("PUT", "/log/_doc/1", "{}", "owners"));
    EXPECT_EQ(other.status, 403);
    const http::Response first = co_await send(make_request("GET", "/equipment/_search", "", "owners"));
    EXPECT_EQ(first.status, 200);
    const http::Response second = co_await send(make_request("GET", "/equipment/_search", "", "owners"));
    EXPECT_EQ(second.status, 429);
    EXPECT_EQ(header_of(second, "Retry-After"), "1");
    EXPECT_EQ(body_of(second).text_or("error.type", ""), "rejected_execution_exception");
    // The team may run one search at a time: the second search of the multi-search is refused.
    const http::Response both =
        co_await send(make_request("POST", "/equipment/_msearch", "{}\n{}\n{}\n{}\n", "tools"));
    const json::Value body = body_of(both);
    EXPECT_EQ(body.find("responses")->array()->at(0).number_or("status", 0), 200);
    EXPECT_EQ(body.find("responses")->array()->at(1).number_or("status", 0), 429);
    EXPECT_EQ(world.gateway->metrics().value("budgets.refused"), 4u);
  }());
}

TEST(OpenSearchPlan, QueriesEachSliceOnce) {
  const std::vector<IndexContract> indices = {{"a-1", "c", 0, 2}, {"a-2", "c", 2, 2}, {"b", "c", 1, 3}};
  std::vector<search::Target> targets;
  for (const IndexContract& index : indices) targets.push_back({&index, {}});
  const auto slices = [&](const std::string& routing) {
    std::vector<int> found;
    for (const auto& part : opensearch::make_plan(targets, routing).parts) found.push_back(part.slice);
    return found;
  };
  EXPECT_EQ(slices(""), (std::vector<int>{0, 1, 2, 3}));
  for (const int slice : slices("lift-9")) EXPECT_LT(slice, 4);
  EXPECT_EQ(slices("lift-9"), slices("lift-9"));
  EXPECT_LE(slices("lift-9").size(), 3u);
}

}  // namespace
}  // namespace kelpdeal::test
