// SPDX-License-Identifier: MIT
// Skipped slices: no hit of the unpruned answer is lost, on random documents and queries; and over sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "kelpdeal/opensearch_front.h"
#include "kelpdeal/search/conditions.h"
#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;
using phases::FieldRanges;
using search::numeric_conditions;
using Document = std::map<std::string, std::vector<double>>;

json::Value parsed(const std::string& text) {
  std::string error;
  const auto value = json::parse(text, error);
  EXPECT_TRUE(value) << error << " in " << text;
  return value.value_or(json::Value());
}

// Evaluates the queries below, independently of the code under test.
bool matches(const Document& document, const json::Value& query) {
  const auto& [kind, body] = query.object()->front();
  if (kind == "match_all") return true;
  if (kind == "constant_score") return matches(document, *body.find("filter"));
  if (kind == "bool") {
    const auto clauses_of = [&](const char* name) {
      const json::Value* list = body.find(name);
      return list ? *list->array() : json::Array();
    };
    const auto matches_clause = [&](const json::Value& clause) { return matches(document, clause); };
    const json::Array must = clauses_of("must"), filter = clauses_of("filter"), should = clauses_of("should"),
                      must_not = clauses_of("must_not");
    return std::all_of(must.begin(), must.end(), matches_clause) &&
           std::all_of(filter.begin(), filter.end(), matches_clause) &&
           std::none_of(must_not.begin(), must_not.end(), matches_clause) &&
           (should.empty() || !must.empty() || !filter.empty() ||
            std::any_of(should.begin(), should.end(), matches_clause));
  }
  const auto& [field, expected] = body.object()->front();
  const auto values = document.find(field);
  if (values == document.end()) return false;
  return std::any_of(values->second.begin(), values->second.end(), [&](double value) {
    if (kind == "term") return value == *expected.number();
    if (kind == "terms")
      return std::any_of(expected.array()->begin(), expected.array()->end(),
                         [&](const json::Value& result) { return value == *result.number(); });
    for (const auto& [name, bound] : *expected.object()) {
      const double limit = *bound.number();
      if (name == "gt"    ? value <= limit
          : name == "gte" ? value < limit
          : name == "lt"  ? value >= limit
                          : value > limit)
        return false;
    }
    return true;
  });
}

class RandomData {
 public:
  explicit RandomData(unsigned seed) : random_(seed) {}
  int below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
  json::Value query(int depth) {
    const std::string field = below(2) ? "register" : "year";
    const int kind = below(depth > 0 ? 7 : 4);
    if (kind == 0) return json::Object{{"match_all", json::Object{}}};
    if (kind == 1) return json::Object{{"term", json::Object{{field, below(120)}}}};
    if (kind == 2)
      return json::Object{{"terms", json::Object{{field, json::Array{below(120), below(120), below(120)}}}}};
    if (kind == 3) {
      const char* lows[] = {"gt", "gte"};
      const char* highs[] = {"lt", "lte"};
      json::Object bounds;
      const int low = below(120);
      if (below(4)) bounds.emplace_back(lows[below(2)], low);
      if (below(4)) bounds.emplace_back(highs[below(2)], low + below(30));
      return json::Object{{"range", json::Object{{field, std::move(bounds)}}}};
    }
    if (kind == 4) return json::Object{{"constant_score", json::Object{{"filter", query(depth - 1)}}}};
    json::Object parts;
    for (const char* name : {"must", "filter", "should", "must_not"}) {
      json::Array clauses;
      for (int i = below(3); i > 0; --i) clauses.push_back(query(depth - 1));
      parts.emplace_back(name, std::move(clauses));
    }
    return json::Object{{"bool", std::move(parts)}};
  }
  // Register numbers come from a range of 10 per slice, years from anywhere. A document has up to two values.
  Document document(int slice) {
    Document result;
    for (int i = below(5) ? 1 + below(2) : 0; i > 0; --i)
      result["register"].push_back(10 * slice + below(10));
    for (int i = below(3); i > 0; --i) result["year"].push_back(below(120));
    return result;
  }

 private:
  std::mt19937 random_;
};

TEST(Prune, SkippedSlicesContainNoHit) {
  RandomData random(20261201);
  std::size_t skipped = 0, hits = 0;
  for (int round = 0; round < 3000; ++round) {
    std::vector<std::vector<Document>> documents(12);
    std::vector<FieldRanges> ranges(12);
    std::vector<const FieldRanges*> slices;
    for (int slice = 0; slice < 12; ++slice) {
      for (int i = 0; i < 8; ++i) documents[slice].push_back(random.document(slice));
      ranges[slice]["register"] = {10.0 * slice, 10.0 * slice + 9};
      slices.push_back(random.below(10) ? &ranges[slice] : nullptr);  // some slices have no known ranges
    }
    const json::Value query = random.query(3);
    const auto selected = select_slices(slices, numeric_conditions(query));
    ASSERT_FALSE(selected.empty());
    skipped += 12 - selected.size();
    for (std::size_t slice = 0; slice < 12; ++slice) {
      const bool requested = std::find(selected.begin(), selected.end(), slice) != selected.end();
      for (const Document& document : documents[slice]) {
        if (!matches(document, query)) continue;
        ++hits;
        ASSERT_TRUE(requested) << json::write(query) << " has a hit in slice " << slice;
      }
    }
  }
  EXPECT_GE(skipped, 5000u);  // of 36,000
  EXPECT_GE(hits, 5000u);
}

TEST(Prune, UnsupportedQueriesGiveNoCondition) {
  const struct {
    const char* query;
    std::size_t conditions;
  } cases[] = {
      {R"({"range":{"a":{"gte":1,"lt":5}}})", 1},
      {R"({"range":{"a":{"gte":1,"boost":2}}})", 1},
      {R"({"range":{"a":{"gte":"now-1d"}}})", 0},
      {R"({"range":{"a":{"gte":1,"relation":"within"}}})", 0},
      {R"({"range":{"a":{"gte":1,"format":"epoch_millis"}}})", 0},
      {R"({"term":{"a":5}})", 1},
      {R"({"term":{"a":{"value":5}}})", 1},
      {R"({"term":{"a":"5"}})", 0},
      {R"({"terms":{"a":[1,2]}})", 1},
      {R"({"terms":{"a":[1,"x"]}})", 0},
      {R"({"terms":{"a":{"index":"other"}}})", 0},
      {R"({"bool":{"must":{"term":{"a":5}},"filter":[{"term":{"a":6}}]}})", 2},
      {R"({"bool":{"should":[{"term":{"a":5}}]}})", 0},
      {R"({"bool":{"must_not":[{"term":{"a":5}}]}})", 0},
      {R"({"nested":{"path":"p","query":{"term":{"p.a":5}}}})", 0},
      {R"({"bool":5})", 0},
      {R"({"range":[]})", 0},
      {R"(null)", 0},
  };
  for (const auto& c : cases) EXPECT_EQ(numeric_conditions(parsed(c.query)).size(), c.conditions) << c.query;
  // A document with two values can satisfy both conditions, although no single value does.
  const FieldRanges ranges{{"a", {0, 20}}};
  EXPECT_TRUE(may_match(
      ranges, numeric_conditions(
                  parsed(R"({"bool":{"filter":[{"range":{"a":{"gte":15}}},{"range":{"a":{"lt":5}}}]}})"))));
  EXPECT_FALSE(may_match(ranges, numeric_conditions(parsed(R"({"terms":{"a":[]}})"))));
}

TEST(Prune, ScrollsAndAggregationsRequestEverySlice) {
  const auto skipped = [](const auto& change) {
    const FieldRanges first{{"register", {0, 9}}}, other{{"register", {10, 19}}};
    opensearch::Plan plan;
    plan.parts = {{0, {}, {}, nullptr, &first}, {1, {}, {}, nullptr, &other}};
    search::SearchRequest request;
    request.query = parsed(R"({"term":{"register":5}})");
    change(request);
    plan.prune(request);
    EXPECT_EQ(plan.parts.size() + plan.skipped, 2u);
    return plan.skipped;
  };
  EXPECT_EQ(skipped([](search::SearchRequest&) {}), 1u);
  EXPECT_EQ(skipped([](search::SearchRequest& request) { request.scroll = 1s; }), 0u);
  EXPECT_EQ(skipped([](search::SearchRequest& request) { request.aggregations.emplace_back(); }), 0u);
}

class SkippedSlices : public testing::TestWithParam<Api> {};

TEST_P(SkippedSlices, AreNotRequestedAndAreReported) {
  TestCluster world({Api::opensearch, GetParam()});
  FrontContract contract;
  contract.listen = "127.0.0.1:0";
  contract.opensearch_nodes = GetParam() == Api::opensearch;
  IndexContract lifts;
  lifts.name = "lifts";
  lifts.class_name = "equipment-search";
  lifts.slices = 6;
  for (int slice = 0; slice < 6; ++slice)
    lifts.ranges.push_back({{"register", {100.0 * slice, 100.0 * slice + 99}}});
  contract.indices = {lifts};
  world.start(contract);
  const struct {
    const char* path;
    const char* body;
    std::size_t parts;
  } cases[] = {
      {"/lifts/_search", R"({"query":{"range":{"register":{"gte":250,"lte":310}}}})", 2},
      // No slice can match, but one is requested for a well-formed answer.
      {"/lifts/_search", R"({"query":{"term":{"register":5000}}})", 1},
      {"/lifts/_search", R"({"query":{"range":{"year":{"gte":250}}}})", 6},
  };
  world.run([&]() -> Task<void> {
    for (const auto& c : cases) {
      const std::size_t before = world.parts_received();
      http::Request request;
      request.method = "POST";
      request.target = c.path;
      request.body = c.body;
      const http::Response response = co_await world.send(world.front_address(), request);
      EXPECT_EQ(world.parts_received() - before, c.parts) << c.body;
      EXPECT_EQ(response.status, 200);
      const json::Value body = body_of(response);
      EXPECT_EQ(body.number_or("_shards.total", 0), 6);
      EXPECT_EQ(body.number_or("_shards.successful", 0), 6);
      EXPECT_EQ(body.number_or("_shards.skipped", -1), static_cast<double>(6 - c.parts)) << c.body;
    }
  }());
}

INSTANTIATE_TEST_SUITE_P(Nodes, SkippedSlices, testing::Values(Api::platform, Api::opensearch),
                         node_api_name);

}  // namespace
}  // namespace kelpdeal::test
