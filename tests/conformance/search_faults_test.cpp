// SPDX-License-Identifier: MIT
// The search API under faults: cursors while nodes and coordinators are replaced, responses that stall,
// truncated and refused bulks, many concurrent searches.
#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "kelpdeal/opensearch_transport.h"
#include "search_fixture.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;
using json::Value;

constexpr const char* kCursorKeys =
    "new 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n"
    "old ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100  # rotated out on Monday\n";

// Request bodies are built outside coroutines: GCC 12 rejects nested initializer lists inside co_await.
std::string next_page_body(const Value& page) {
  return json::write(json::Object{{"scroll", "1m"}, {"scroll_id", page.text_or("_scroll_id", "")}});
}
std::string id_body(const char* name, const std::string& id) { return json::write(json::Object{{name, id}}); }
std::string point_in_time_body(const std::string& pit, const Value& after) {
  json::Object body{
      {"size", 4}, {"sort", json::Array{"site"}}, {"pit", json::Object{{"id", pit}, {"keep_alive", "1m"}}}};
  if (!after.is_null()) body.emplace_back("search_after", after);
  return json::write(body);
}

class SearchFaults : public testing::TestWithParam<Api> {};

// Reads all pages of a scroll and returns the ids of the hits in order. `between` runs before each further
// page.
Task<std::vector<std::string>> scroll_all(SearchFixture& fixture, std::string path, std::string body,
                                          std::function<Task<void>(int)> between = {}) {
  std::vector<std::string> seen;
  Value page = co_await fixture.get("POST", path, body);
  for (int number = 1; number < 50; ++number) {
    const std::vector<std::string> ids = ids_of(page);
    EXPECT_FALSE(page.find("error")) << json::write(page);
    if (ids.empty()) break;
    seen.insert(seen.end(), ids.begin(), ids.end());
    if (between) co_await between(number);
    const std::string next = next_page_body(page);
    page = co_await fixture.get("POST", "/_search/scroll", next);
  }
  co_return seen;
}

// Expects `count` ids without duplicates.
void expect_all_once(const std::vector<std::string>& seen, std::size_t count) {
  const std::set<std::string> each(seen.begin(), seen.end());
  EXPECT_EQ(each.size(), seen.size()) << "a hit was returned twice";
  EXPECT_EQ(seen.size(), count) << "a hit was lost";
}

TEST_P(SearchFaults, ScrollWithEqualSortKeysReturnsEachHitOnce) {
  SearchFixture fixture(GetParam());
  const std::string express = R"("query":{"match":{"maker":"otis express"}})",
                    all = R"("query":{"match_all":{}})";
  const std::vector<std::pair<std::string, std::string>> bodies = {
      {all, R"("sort":[{"site":"asc"}])"},
      {all, R"("size":4)"},
      {all, R"("sort":["_doc"])"},
      {all, R"("sort":[{"faults":{"order":"desc","missing":"_first"}}])"},
      {express, R"("size":4)"}};
  fixture.world.run([&]() -> Task<void> {
    for (const auto& [query, order] : bodies) {
      const Value whole =
          co_await fixture.get("POST", "/lifts,escalators/_search?size=100", "{" + query + "}");
      const std::vector<std::string> seen = co_await scroll_all(
          fixture, "/lifts,escalators/_search?scroll=1m&size=4", "{" + query + "," + order + "}");
      expect_all_once(seen, ids_of(whole).size());
      EXPECT_GE(seen.size() / 4, 7u);
    }
  }());
}

TEST_P(SearchFaults, ScrollIsUnaffectedByNodeReplacementBetweenPages) {
  SearchFixture fixture(GetParam());
  fixture.world.run([&]() -> Task<void> {
    const std::vector<std::string> whole =
        co_await scroll_all(fixture, "/lifts,escalators/_search?scroll=1m", R"({"size":5,"sort":["site"]})");
    const auto replace = [&](int page) -> Task<void> {
      if (page != 3) co_return;
      fixture.world.discovery->set("n1", fixture.world.nodes[1]->address(), 1, "terminating");
      co_await fixture.world.pause(30ms);
      fixture.world.nodes[1]->refuse_connections();
      fixture.world.nodes.push_back(std::make_unique<FakeNode>(fixture.world.scheduler, GetParam()));
      fixture.world.nodes.back()->on_part = [&fixture](const ReceivedPart& part) {
        return fixture.answer(part);
      };
      fixture.world.discovery->set("n1", fixture.world.nodes[1]->address(), 1, "terminated");
      fixture.world.discovery->set("n9", fixture.world.nodes.back()->address(), 1, "in_service");
      co_await fixture.world.pause(50ms);
    };
    const std::vector<std::string> seen = co_await scroll_all(fixture, "/lifts,escalators/_search?scroll=1m",
                                                              R"({"size":5,"sort":["site"]})", replace);
    EXPECT_EQ(seen, whole);
    expect_all_once(seen, 45);
  }());
}

TEST_P(SearchFaults, ScrollContinuesAtAnotherCoordinatorAndAfterKeyRotation) {
  SearchFixture fixture(GetParam(), [](FrontContract& contract) { contract.cursor_keys = kCursorKeys; });
  fixture.world.run([&]() -> Task<void> {
    const auto restart = [&](int page) -> Task<void> {
      if (page % 2 == 0) co_return;
      // Starts another coordinator; the second time, with the keys in reverse order.
      FrontContract contract = fixture.contract;
      if (page == 3) {
        const std::string text = kCursorKeys;
        const std::size_t cut = text.find('\n') + 1;
        contract.cursor_keys = text.substr(cut) + text.substr(0, cut);
      }
      fixture.move_to_another(contract);
      co_await fixture.world.pause(20ms);
    };
    const std::vector<std::string> seen = co_await scroll_all(fixture, "/lifts,escalators/_search?scroll=1m",
                                                              R"({"size":7,"sort":["faults"]})", restart);
    expect_all_once(seen, 45);
  }());
}

TEST_P(SearchFaults, SlicedScrollReturnsEachHitInOneSlice) {
  SearchFixture fixture(GetParam());
  fixture.world.run([&]() -> Task<void> {
    for (int max = 2; max < 10; ++max) {
      std::vector<std::string> seen;
      for (int id = 0; id < max; ++id) {
        const std::string body =
            R"({"size":5,"slice":{"id":)" + std::to_string(id) + R"(,"max":)" + std::to_string(max) + "}}";
        for (std::string& one : co_await scroll_all(fixture, "/lifts,escalators/_search?scroll=1m", body))
          seen.push_back(std::move(one));
      }
      expect_all_once(seen, 45);
    }
  }());
}

TEST_P(SearchFaults, PointInTimeContinuesFromMarkerOfLastHit) {
  SearchFixture fixture(GetParam());
  fixture.world.run([&]() -> Task<void> {
    const Value opened =
        co_await fixture.get("POST", "/lifts,escalators/_search/point_in_time?keep_alive=1m");
    EXPECT_EQ(opened.number_or("_shards.total", 0), 4);
    std::string pit = opened.text_or("pit_id", "");
    std::vector<std::string> seen;
    Value after;
    for (int page = 0; page < 30; ++page) {
      const std::string body = point_in_time_body(pit, after);
      const Value answer = co_await fixture.get("POST", "/_search", body);
      const std::vector<std::string> ids = ids_of(answer);
      if (ids.empty()) break;
      seen.insert(seen.end(), ids.begin(), ids.end());
      after = *answer.at("hits.hits")->array()->back().find("sort");
      pit = answer.text_or("pit_id", "");
    }
    expect_all_once(seen, 45);

    const Value listed = co_await fixture.get("GET", "/_search/point_in_time/_all");
    EXPECT_EQ(listed.find("pits")->array()->size(), 1u);
    const std::string close_body = id_body("pit_id", pit), search_after_close = point_in_time_body(pit, {});
    const Value closed = co_await fixture.get("DELETE", "/_search/point_in_time", close_body);
    EXPECT_TRUE(closed.find("pits")->array()->at(0).flag_or("successful", false));
    const http::Response closed_response = co_await fixture.ask("POST", "/_search", search_after_close);
    EXPECT_EQ(closed_response.status, 404) << closed_response.body;
  }());
}

TEST_P(SearchFaults, CursorExcludesDocumentsRecordedAfterItWasOpened) {
  SearchFixture fixture(GetParam(), [](FrontContract& contract) {
    for (IndexContract& index : contract.indices)
      if (index.name == "lifts") index.time_field = "recorded";
  });
  fixture.documents = {};
  const auto now =
      std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  for (int i = 0; i < 20; ++i)
    fixture.documents.add(
        {"a" + std::to_string(100 + i), i % 2, 1, i, json::Object{{"recorded", now - 1000}, {"n", i % 3}}});
  fixture.world.run([&]() -> Task<void> {
    const auto add = [&](int page) {
      for (int i = 0; i < 5; ++i)
        fixture.documents.add({"a" + std::to_string(page) + std::to_string(i), i % 2, 1, i,
                               json::Object{{"recorded", now + 60'000}, {"n", i % 3}}});
    };
    const auto record = [&](int page) -> Task<void> {
      add(page);
      co_return;
    };
    const std::vector<std::string> seen =
        co_await scroll_all(fixture, "/lifts/_search?scroll=1m", R"({"size":3,"sort":["n"]})", record);
    expect_all_once(seen, 20);
  }());
}

TEST_P(SearchFaults, ScrollReturnsHitsOfSlicesThatMissedEarlierPages) {
  SearchFixture fixture(GetParam());
  int pages = 0;
  for (auto& node : fixture.world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      NodeReply answer = fixture.answer(part);
      // One of five slices does not respond on the second and third page; the class area-report allows
      // partial responses.
      if (part.shard == 3 && (pages == 2 || pages == 3))
        answer.kind = GetParam() == Api::platform ? NodeReply::Kind::silent : NodeReply::Kind::error;
      return answer;
    };
  fixture.world.run(
      [&]() -> Task<void> {
        pages = 1;
        const auto count = [&](int page) -> Task<void> {
          pages = page + 1;
          co_return;
        };
        const std::vector<std::string> seen =
            co_await scroll_all(fixture, "/report/_search?scroll=1m", R"({"size":8,"sort":["site"]})", count);
        expect_all_once(seen, 54);
      }(),
      30s);
}

TEST_P(SearchFaults, InvalidCursorIdsReturnDistinctErrors) {
  SearchFixture fixture(GetParam(), [](FrontContract& contract) {
    contract.cursor_keys = kCursorKeys;
    contract.teams = {{"a", {"equipment-search"}, 0, 1, 0}, {"b", {"equipment-search"}, 0, 1, 0}};
  });
  fixture.world.run([&]() -> Task<void> {
    const http::Response first =
        co_await fixture.ask("POST", "/lifts/_search?scroll=1m", R"({"size":2})", "a");
    const std::string id = body_of(first).text_or("_scroll_id", "");
    const auto follow = [&](const std::string& scroll_id, const char* team) {
      return fixture.ask("POST", "/_search/scroll", id_body("scroll_id", scroll_id), team);
    };
    std::string altered = id, other = id;
    altered[altered.size() / 2] = altered[altered.size() / 2] == 'A' ? 'B' : 'A';
    struct Case {
      std::string id;
      const char* team;
      int status;
      const char* type;
    };
    const auto all_cases = [&] {
      return std::vector<Case>{{id, "a", 200, ""},
                               {altered, "a", 400, "illegal_argument_exception"},
                               {id.substr(0, id.size() - 5), "a", 400, "illegal_argument_exception"},
                               {id.substr(4), "a", 400, "illegal_argument_exception"},
                               {"", "a", 400, "action_request_validation_exception"},
                               {"!!!", "a", 400, "illegal_argument_exception"},
                               {std::string(40'000, 'A'), "a", 400, "illegal_argument_exception"},
                               {id, "b", 403, "security_exception"}};
    };
    const std::vector<Case> cases = all_cases();
    for (const auto& one : cases) {
      const http::Response response = co_await follow(one.id, one.team);
      EXPECT_EQ(response.status, one.status) << response.body;
      EXPECT_EQ(body_of(response).text_or("error.type", ""), one.type);
    }
    // A cursor of another team cannot be cleared either.
    const std::string body = id_body("scroll_id", id);
    EXPECT_EQ((co_await fixture.ask("DELETE", "/_search/scroll", body, "b")).status, 403);
    EXPECT_EQ((co_await fixture.ask("DELETE", "/_search/scroll", body, "a")).status, 200);
    EXPECT_EQ((co_await fixture.ask("DELETE", "/_search/scroll", body, "a")).status, 404);
    const http::Response cleared = co_await follow(id, "a");
    EXPECT_EQ(cleared.status, 404);
    EXPECT_EQ(body_of(cleared).text_or("error.type", ""), "search_context_missing_exception");
    const http::Response short_lived =
        co_await fixture.ask("POST", "/lifts/_search?scroll=30ms", R"({"size":2})", "a");
    co_await fixture.world.pause(50ms);
    EXPECT_EQ((co_await follow(body_of(short_lived).text_or("_scroll_id", ""), "a")).status, 404);
    const http::Response second =
        co_await fixture.ask("POST", "/lifts/_search?scroll=1m", R"({"size":2})", "a");
    co_await fixture.ask("DELETE", "/_search/scroll/_all", "", "a");
    EXPECT_EQ((co_await follow(body_of(second).text_or("_scroll_id", ""), "a")).status, 404);
    // An id signed before a restart with a key that is no longer configured.
    const http::Response last =
        co_await fixture.ask("POST", "/lifts/_search?scroll=1m", R"({"size":2})", "a");
    FrontContract contract = fixture.contract;
    contract.cursor_keys = "";
    fixture.move_to_another(contract);
    EXPECT_EQ((co_await follow(body_of(last).text_or("_scroll_id", ""), "a")).status, 400);
  }());
}

TEST_P(SearchFaults, CursorsBeyondTeamLimitAreRefused) {
  ClusterOptions few_cursors;
  few_cursors.adjust = [](Limits& limits) { limits.max_cursors_per_team = 3; };
  SearchFixture fixture(GetParam(), {}, few_cursors);
  fixture.world.run([&]() -> Task<void> {
    for (int i = 0; i < 3; ++i)
      EXPECT_EQ((co_await fixture.ask("POST", "/lifts/_search?scroll=1m", R"({"size":2})")).status, 200);
    const http::Response fourth = co_await fixture.ask("POST", "/lifts/_search?scroll=1m", R"({"size":2})");
    EXPECT_EQ(fourth.status, 429);
    EXPECT_EQ(header_of(fourth, "Retry-After"), "1");
    EXPECT_EQ((co_await fixture.ask("POST", "/lifts/_search", R"({"size":2})")).status, 200);
    co_await fixture.ask("DELETE", "/_search/scroll/_all");
    EXPECT_EQ((co_await fixture.ask("POST", "/lifts/_search?scroll=1m", R"({"size":2})")).status, 200);
  }());
}

TEST_P(SearchFaults, SearchAvoidsDrainingNodeAndStaysComplete) {
  SearchFixture fixture(GetParam());
  fixture.world.run([&]() -> Task<void> {
    const Value first =
        co_await fixture.get("POST", "/lifts,escalators/_search?scroll=1m", R"({"size":10,"sort":["site"]})");
    fixture.world.discovery->set("n1", fixture.world.nodes[1]->address(), 1, "terminating");
    co_await fixture.world.pause(50ms);
    const std::size_t before = fixture.world.nodes[1]->received.size();
    const Value search = co_await fixture.get("POST", "/lifts,escalators/_search", R"({"size":0})");
    EXPECT_EQ(search.number_or("hits.total.value", 0), 45);
    EXPECT_EQ(search.number_or("_shards.failed", -1), 0);
    const std::string next = next_page_body(first);
    const Value second = co_await fixture.get("POST", "/_search/scroll", next);
    EXPECT_EQ(ids_of(second).size(), 10u);
    EXPECT_EQ(fixture.world.nodes[1]->received.size(), before);
    const Value health = co_await fixture.get("GET", "/_cluster/health");
    EXPECT_EQ(health.text_or("status", ""), "yellow");
  }());
}

TEST_P(SearchFaults, CancelledSearchReturnsAtOnceAndAbandonsItsParts) {
  SearchFixture fixture(GetParam());
  for (auto& node : fixture.world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::silent, 1, {}}; };
  fixture.world.run([&]() -> Task<void> {
    std::optional<http::Response> answer;
    const auto search = [&]() -> Task<void> {
      answer = co_await fixture.ask("POST", "/lifts/_search", "{}");
    };
    fixture.world.scheduler.spawn(search());
    while (fixture.world.parts_received() < 2) co_await fixture.world.pause(2ms);
    const Value tasks = co_await fixture.get("GET", "/_tasks?actions=*search");
    const json::Object& listed = *tasks.at("nodes.kelpdeal.tasks")->object();
    EXPECT_EQ(listed.size(), 1u);
    const TimePoint start = Clock::now();
    co_await fixture.ask("POST", "/_tasks/" + listed.front().first + "/_cancel");
    while (!answer) co_await fixture.world.pause(1ms);
    EXPECT_LT(Clock::now() - start, 100ms);
    EXPECT_EQ(answer->status, 400);
    EXPECT_EQ(body_of(*answer).text_or("error.type", ""), "task_cancelled_exception");
    co_await fixture.world.pause(50ms);
    std::size_t given_up = 0;
    for (const auto& node : fixture.world.nodes) given_up += node->cancelled_ids.size();
    EXPECT_EQ(given_up, fixture.world.parts_received());
  }());
}

TEST_P(SearchFaults, TruncatedBulkRecordsExactlyTheCompleteItems) {
  SearchFixture fixture(GetParam());
  fixture.world.run([&]() -> Task<void> {
    const Address to = *Address::parse(fixture.world.gateway->search_address());
    std::string lines;
    for (int i = 0; i < 20; ++i)
      lines += R"({"index":{"_id":"cut-)" + std::to_string(i) + "\"}}\n{\"site\":\"cut\"}\n";
    const std::string truncated_lines = lines.substr(0, lines.size() / 2 - 10);  // ends within a document
    {
      const auto stream = co_await connect(fixture.world.scheduler, to, Clock::now() + 1s);
      const std::string head =
          "POST /lifts/_bulk HTTP/1.1\r\nContent-Length: " + std::to_string(lines.size()) + "\r\n\r\n" +
          truncated_lines;
      co_await stream->write_all(head);
      co_await fixture.world.pause(100ms);
    }
    co_await fixture.world.pause(50ms);
    const Value count = co_await fixture.get("POST", "/lifts/_count", R"({"query":{"term":{"site":"cut"}}})");
    // Each complete item was recorded once; the truncated one was not.
    EXPECT_EQ(count.number_or("count", -1), 9);
    EXPECT_EQ((co_await fixture.ask("GET", "/_cluster/health")).status, 200);
  }());
}

TEST_P(SearchFaults, BulkUnderOverloadReportsRefusedItems) {
  SearchFixture fixture(GetParam());
  int calls = 0;
  for (auto& node : fixture.world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      if (++calls > 10) return NodeReply{NodeReply::Kind::busy, 1, {}};
      return fixture.answer(part);
    };
  fixture.world.run(
      [&]() -> Task<void> {
        std::string lines;
        for (int i = 0; i < 300; ++i)
          lines += R"({"index":{"_id":"flood-)" + std::to_string(i) + "\"}}\n{\"site\":\"flood\"}\n";
        const TimePoint start = Clock::now();
        const Value answer = co_await fixture.get("POST", "/lifts/_bulk", lines);
        EXPECT_LT(Clock::now() - start, 10s);
        EXPECT_TRUE(answer.flag_or("errors", false));
        int created = 0, refused = 0;
        std::set<std::string> each;
        for (const Value& item : *answer.find("items")->array()) {
          const Value& one = item.object()->front().second;
          each.insert(one.text_or("_id", ""));
          const double status = one.number_or("status", 0);
          created += status == 201;
          if (status == 429) {
            ++refused;
            EXPECT_GT(one.number_or("error.retry_after_ms", 0), 0);
          }
        }
        EXPECT_EQ(each.size(), 300u);
        EXPECT_EQ(created, 10);
        EXPECT_EQ(refused, 290);
        EXPECT_EQ((co_await fixture.get("POST", "/_cluster/health")).find("error") != nullptr, true);
        // After several consecutive refusals the rest is not tried: it would only add to the overload.
        EXPECT_LT(fixture.world.parts_received(), 300u);
      }(),
      30s);
}

TEST_P(SearchFaults, ItemWithUnknownOutcomeIsRetriedOnlyWithinItsClassLimits) {
  SearchFixture fixture(GetParam());
  for (auto& node : fixture.world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      if (part.text.find("\"_id\":\"lost\"") != std::string::npos)
        return NodeReply{NodeReply::Kind::silent, 1, {}};
      return fixture.answer(part);
    };
  fixture.world.run([&]() -> Task<void> {
    const Value answer = co_await fixture.get("POST", "/lifts/_bulk",
                                              "{\"index\":{\"_id\":\"lost\"}}\n{\"site\":\"x\"}\n{\"index\":{"
                                              "\"_id\":\"kept\"}}\n{\"site\":\"x\"}\n");
    const json::Array& items = *answer.find("items")->array();
    EXPECT_EQ(items[0].number_or("index.status", 0), 504);
    EXPECT_EQ(items[0].text_or("index.error.type", ""), "timeout_exception");
    EXPECT_EQ(items[1].number_or("index.status", 0), 201);
    TimePoint first = kNever;
    std::set<std::string> keys;
    for (const auto& node : fixture.world.nodes)
      for (const ReceivedPart& part : node->received)
        if (part.text.find("\"_id\":\"lost\"") != std::string::npos) {
          first = std::min(first, part.received_at);
          keys.insert(part.key);
        }
    EXPECT_EQ(keys.size(), 1u);  // retries use the same key and stay within the class's window
    for (const auto& node : fixture.world.nodes)
      for (const ReceivedPart& part : node->received)
        if (keys.contains(part.key)) {
          EXPECT_LE(part.received_at - first, 650ms);
        }
  }());
}

// A loaded machine completes fewer searches in time and refuses or delays more; bench/flood_run.cpp measures
// the share.
TEST_P(SearchFaults, TenThousandConcurrentSearchesEachGetOneResponse) {
  SearchFixture fixture(GetParam());
  std::string lines;
  for (int i = 0; i < 200; ++i) lines += "{}\n{\"size\":0}\n";
  fixture.world.run(
      [&]() -> Task<void> {
        std::size_t answered = 0, refused = 0, late = 0, ended = 0;
        const auto one = [&]() -> Task<void> {
          const Value answer = co_await fixture.get("POST", "/year-2026/_msearch", lines);
          for (const Value& each : *answer.find("responses")->array()) {
            answered += each.number_or("status", 0) == 200;
            refused += each.number_or("status", 0) == 429;
            late += each.number_or("status", 0) == 504;
          }
          ++ended;
        };
        for (int i = 0; i < 50; ++i) fixture.world.scheduler.spawn(one());
        // Single searches run at the same time.
        for (int i = 0; i < 5; ++i) {
          const int status = (co_await fixture.ask("POST", "/lifts/_search", "{\"size\":1}")).status;
          EXPECT_TRUE(status == 200 || status == 429 || status == 504) << status;
        }
        while (ended < 50) co_await fixture.world.pause(5ms);
        EXPECT_EQ(answered + refused + late, 10'000u);
        EXPECT_GT(answered, 0u);
      }(),
      100s);
}

// bench/flood_run.cpp measures the same over a longer time.
TEST_P(SearchFaults, SingleSearchesMeetTargetBesideMultiSearchLoad) {
  SearchFixture fixture(GetParam());
  // By node, when each of its two cores becomes free. A part occupies one for 8 ms.
  std::map<FakeNode*, std::array<TimePoint, 2>> cores;
  for (auto& node : fixture.world.nodes) {
    node->stream_replies = true;
    node->on_part = [&, n = node.get()](const ReceivedPart& part) {
      auto& [a, b] = cores[n];
      TimePoint& core = a <= b ? a : b;
      core = std::max(core, Clock::now()) + 8ms;
      NodeReply answer = fixture.answer(part);
      answer.delay = core - Clock::now();
      return answer;
    };
  }
  std::string searches;
  for (int i = 0; i < 100; ++i) searches += "{}\n{\"size\":0}\n";
  bool stop = false;
  std::size_t running = 0, asked = 0, in_time = 0;
  const auto flood = [&]() -> Task<void> {
    ++running;
    while (!stop) co_await fixture.ask("POST", "/lifts,escalators/_msearch", searches);
    --running;
  };
  const auto single = [&]() -> Task<void> {
    ++running;
    const TimePoint start = Clock::now();
    const http::Response response = co_await fixture.ask("POST", "/lifts/_search", "{}");
    in_time += response.status == 200 && Clock::now() - start <= 500ms;
    --running;
  };
  fixture.world.run(
      [&]() -> Task<void> {
        for (int i = 0; i < 5; ++i) co_await fixture.ask("POST", "/lifts/_search", "{}");
        for (int i = 0; i < 4; ++i) fixture.world.scheduler.spawn(flood());
        for (int i = 0; i < 140; ++i) {
          if (i == 60) asked = in_time = 0;  // the limit for the multi-searches has settled
          ++asked;
          fixture.world.scheduler.spawn(single());
          co_await fixture.world.pause(25ms);
        }
        stop = true;
        while (running > 0) co_await fixture.world.pause(5ms);
      }(),
      60s);
  // Without the limits on multi-item requests, no single search completes in time.
  EXPECT_GE(in_time * 10, asked * 8) << in_time << " of " << asked;
}

INSTANTIATE_TEST_SUITE_P(Nodes, SearchFaults, testing::Values(Api::platform, Api::opensearch),
                         [](const auto& info) {
                           return info.param == Api::platform ? std::string("OverFrames")
                                                              : std::string("OverTheApi");
                         });

// ---- responses of nodes ----
TEST(StreamedResponses, PartsReadBeforeNodeStallsAreKept) {
  ClusterOptions one_call;
  one_call.node_count = 3;
  SearchFixture fixture(Api::opensearch, {}, one_call);
  // Each node responds to the first part of a multi-search and then stalls.
  std::set<std::size_t> begun;
  for (auto& node : fixture.world.nodes) {
    node->stream_replies = true;
    node->on_part = [&fixture, &begun, n = &node](const ReceivedPart& part) {
      NodeReply answer = fixture.answer(part);
      const std::size_t call =
          part.call_number * 10 + static_cast<std::size_t>(n - fixture.world.nodes.data());
      if (!begun.insert(call).second) answer.kind = NodeReply::Kind::silent;
      return answer;
    };
  }
  fixture.world.run([&]() -> Task<void> {
    const Value answer = co_await fixture.get("POST", "/lifts,escalators/_search", R"({"size":0})");
    EXPECT_EQ(answer.number_or("hits.total.value", 0), 45) << json::write(answer);
    // Stalled parts were retried at other nodes; parts that had arrived were not requested again.
    const Metrics& metrics = fixture.world.gateway->metrics();
    EXPECT_EQ(metrics.value("attempts.ok"), 4u);
    EXPECT_GT(fixture.world.parts_received(), 4u);
  }());
}

TEST(StreamedResponses, EachPartCountsOnArrival) {
  ClusterOptions one_node;
  one_node.node_count = 1;
  SearchFixture fixture(Api::opensearch, {}, one_node);
  fixture.world.nodes[0]->stream_replies = true;
  int asked = 0;
  fixture.world.nodes[0]->on_part = [&](const ReceivedPart& part) {
    NodeReply answer = fixture.answer(part);
    answer.delay = ++asked == 4 ? 150ms : 0ms;
    return answer;
  };
  fixture.world.run([&]() -> Task<void> {
    std::optional<Value> answer;
    const auto ask = [&]() -> Task<void> {
      answer = co_await fixture.get("POST", "/lifts,escalators/_search", R"({"size":0})");
    };
    fixture.world.scheduler.spawn(ask());
    co_await fixture.world.pause(75ms);
    EXPECT_EQ(fixture.world.gateway->metrics().value("attempts.ok"), 3u);
    EXPECT_FALSE(answer);
    while (!answer) co_await fixture.world.pause(5ms);
    EXPECT_EQ(answer->number_or("hits.total.value", 0), 45);
  }());
}

TEST(StreamedResponses, PartsReadBeforeInvalidOneAreNotRequestedAgain) {
  SearchFixture fixture(Api::opensearch);
  std::set<std::string> first_parts;
  bool sent_invalid = false;
  for (auto& node : fixture.world.nodes) {
    node->stream_replies = true;
    node->on_part = [&](const ReceivedPart& part) {
      NodeReply answer = fixture.answer(part);
      // In the first call with several parts, the second response is invalid.
      if (part.call_number == 1 && first_parts.contains("first") && !sent_invalid) {
        sent_invalid = true;
        answer.corrupt = [](const std::string&) { return std::string("{\"hits\":{]noise"); };
      } else if (part.call_number == 1) {
        first_parts.insert("first");
      }
      return answer;
    };
  }
  fixture.world.run([&]() -> Task<void> {
    const Value answer = co_await fixture.get("POST", "/lifts,escalators/_search", R"({"size":0})");
    EXPECT_EQ(answer.number_or("hits.total.value", 0), 45) << json::write(answer);
    EXPECT_TRUE(sent_invalid);
    const Metrics& metrics = fixture.world.gateway->metrics();
    EXPECT_EQ(metrics.value("attempts.ok"), 4u);
    EXPECT_GE(metrics.value("attempts.reset"), 1u);
    EXPECT_EQ(metrics.value("node.spoilt"), 1u);
    // Each part that arrived was requested once.
    EXPECT_EQ(fixture.world.parts_received(), 4u + metrics.value("attempts.reset"));
  }());
}

// At most 16 items run at once, for at least 15 ms each, so a loaded machine can only take longer; with the
// total limit of 48 it would take a third of the time.
TEST_P(SearchFaults, BulkIsReadNoFasterThanItemsComplete) {
  SearchFixture fixture(GetParam());
  for (auto& node : fixture.world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      NodeReply answer = fixture.answer(part);
      answer.delay = 15ms;
      return answer;
    };
  fixture.world.run([&]() -> Task<void> {
    std::string lines;
    for (int i = 0; i < 400; ++i)
      lines += "{\"index\":{\"_id\":\"slow-" + std::to_string(i) + "\"}}\n{\"site\":\"slow\"}\n";
    const TimePoint start = Clock::now();
    const Value answer = co_await fixture.get("POST", "/lifts/_bulk", lines);
    EXPECT_EQ(answer.find("items")->array()->size(), 400u);
    EXPECT_FALSE(answer.flag_or("errors", true));
    EXPECT_GE(Clock::now() - start, 400 / 16 * 15ms);
  }());
}

TEST(NodeResponses, MapToAttemptOutcomes) {
  const struct {
    int status;
    const char* text;
    bool write;
    Outcome outcome;
  } cases[] = {
      {200, R"({"timed_out":false,"hits":{"total":{"value":1},"hits":[]}})", false, Outcome::ok},
      {200, R"({"timed_out":true,"hits":{"hits":[]}})", false, Outcome::error},
      {429, R"({"error":{"type":"x"}})", false, Outcome::full},
      {503, "{}", false, Outcome::full},
      {500, R"({"error":{"type":"es_rejected_execution_exception"},"status":500})", false, Outcome::full},
      {500, R"({"error":{"type":"rejected_execution_exception"},"status":500})", true, Outcome::full},
      {500, R"({"error":{"type":"circuit_breaking_exception"},"status":500})", false, Outcome::full},
      {500, R"({"error":{"type":"circuit_breaking_exception"},"status":500})", true, Outcome::error},
      {500, R"({"error":{"type":"null_pointer_exception"},"status":500})", false, Outcome::error},
      {400, R"({"error":{"type":"parsing_exception","reason":"no"},"status":400})", false, Outcome::ok},
      {404, "{}", false, Outcome::error},
      {200,
       R"({"_shards":{"failed":1,"failures":[{"reason":{"type":"es_rejected_execution_exception"}}]},"hits":{"hits":[]}})",
       false, Outcome::full},
      {200,
       R"({"_shards":{"failed":1,"failures":[{"reason":{"type":"script_exception"}}]},"hits":{"hits":[]}})",
       false, Outcome::error},
      {200, R"({"_shards":{"failed":1},"hits":{"hits":[]}})", false, Outcome::error},
      {201, R"({"result":"created"})", true, Outcome::ok},
      {409, R"({"error":{"type":"version_conflict_engine_exception"},"status":409})", true, Outcome::ok},
  };
  for (const auto& one : cases)
    EXPECT_EQ(parse_node_answer(one.status, one.text, one.write).outcome, one.outcome)
        << one.status << " " << one.text;
}

}  // namespace
}  // namespace kelpdeal::test
