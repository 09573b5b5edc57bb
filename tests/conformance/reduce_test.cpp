// SPDX-License-Identifier: MIT
// The response merged from slices equals that of one node that holds everything: random documents and
// requests from a fixed seed.
#include "kelpdeal/search/reduce.h"

#include <gtest/gtest.h>

#include <random>

#include "search_fixture.h"

namespace kelpdeal::test {
namespace {

using json::Array;
using json::Object;
using json::Value;

class RequestGenerator {
 public:
  explicit RequestGenerator(unsigned seed) : engine_(seed) {}
  int below(int n) { return static_cast<int>(engine_() % static_cast<unsigned>(n)); }
  bool one_in(int n) { return below(n) == 0; }
  template <std::size_t N>
  const char* pick(const char* const (&from)[N]) {
    return from[static_cast<std::size_t>(below(static_cast<int>(N)))];
  }

  Value document() {
    Object document;
    if (!one_in(6)) document.emplace_back("n", below(12));
    if (!one_in(6)) document.emplace_back("x", static_cast<double>(below(40)) * 0.25 - 2);
    if (!one_in(6)) document.emplace_back("k", "key-" + std::to_string(below(7)));
    if (!one_in(4))
      document.emplace_back("t", one_in(3) ? Array{"red", "blue"} : Array{pick({"red", "green", "blue"})});
    if (!one_in(8)) document.emplace_back("b", one_in(2));
    document.emplace_back("when", std::int64_t{1'760'000'000'000} + std::int64_t{3'600'000} * below(3000));
    if (!one_in(5)) document.emplace_back("big", std::int64_t{9'007'199'254'740'990} + below(6));
    return document;
  }
  Value query(int depth = 0) {
    switch (below(depth > 2 ? 7 : 9)) {
      case 0:
        return Object{{"match_all", Object{}}};
      case 1:
        return Object{{"term", Object{{"k", "key-" + std::to_string(below(8))}}}};
      case 2:
        return Object{{"range", Object{{"n", Object{{pick({"gt", "gte"}), below(6)},
                                                    {pick({"lt", "lte"}), 5 + below(8)}}}}}};
      case 3:
        return Object{{"terms", Object{{"t", Array{"red", "green"}}}}};
      case 4:
        return Object{{"exists", Object{{"field", pick({"n", "x", "k"})}}}};
      case 5:
        return Object{{"prefix", Object{{"k", pick({"key", "key-1", "no"})}}}};
      case 6:
        return Object{{"match", Object{{"t", "red blue"}}}};
      default: {
        Object body;
        for (const char* part : {"must", "should", "filter", "must_not"})
          if (one_in(part[0] == 's' ? 2 : 3)) {
            Array list;
            for (int i = 0, n = 1 + below(2); i < n; ++i) list.push_back(query(depth + 1));
            body.emplace_back(part, std::move(list));
          }
        return Object{{"bool", std::move(body)}};
      }
    }
  }
  Value sort() {
    Array keys;
    for (int i = 0, n = 1 + below(3); i < n; ++i) {
      const char* field = pick({"n", "x", "k", "when", "big", "_score"});
      Object options{{"order", pick({"asc", "desc"})}};
      if (field[0] != '_' && one_in(2)) options.emplace_back("missing", one_in(2) ? "_first" : "_last");
      keys.push_back(Object{{field, std::move(options)}});
    }
    return keys;
  }
  Value metric() {
    const char* kind = pick({"min", "max", "sum", "avg", "value_count", "stats", "extended_stats"});
    return Object{{kind, Object{{"field", pick({"n", "x"})}}}};
  }
  Value aggregation(int depth = 0) {
    Object spec;
    switch (below(8)) {
      case 0: {
        Object body{{"field", pick({"k", "n", "t"})}, {"size", 2 + below(8)}};
        Value inner = Object{{"m", Object{{"avg", Object{{"field", "x"}}}}}};
        if (one_in(3))
          body.emplace_back("order", Object{{"_key", pick({"asc", "desc"})}});
        else if (one_in(3))
          body.emplace_back("order", Object{{"m", pick({"asc", "desc"})}}),
              body.emplace_back("shard_size", 100);
        if (one_in(4)) body.emplace_back("min_doc_count", 2);
        spec.emplace_back("terms", std::move(body));
        spec.emplace_back("aggs", std::move(inner));
        return spec;
      }
      case 1: {
        Object body{{"field", "n"}, {"interval", 1 + below(4)}};
        if (one_in(3)) body.emplace_back("min_doc_count", 1);
        if (one_in(3)) body.emplace_back("extended_bounds", Object{{"min", -3}, {"max", 15}});
        if (one_in(4)) body.emplace_back("order", Object{{"_count", "desc"}});
        spec.emplace_back("histogram", std::move(body));
        break;
      }
      case 2: {
        Object body{{"field", "when"}};
        if (one_in(2))
          body.emplace_back("calendar_interval", "month");
        else
          body.emplace_back("fixed_interval", pick({"7d", "12h"}));
        if (one_in(3)) body.emplace_back("min_doc_count", 1);
        spec.emplace_back("date_histogram", std::move(body));
        break;
      }
      case 3:
        spec.emplace_back("range", Object{{"field", "x"},
                                          {"ranges", Array{Object{{"to", 0}}, Object{{"from", 0}, {"to", 4}},
                                                           Object{{"from", 4}, {"key", "high"}}}}});
        break;
      case 4: {
        Object body{{"filters", Object{{"a", query(2)}, {"b", query(2)}}}};
        if (one_in(2)) body.emplace_back("other_bucket", true);
        spec.emplace_back("filters", std::move(body));
        break;
      }
      case 5:
        spec.emplace_back("filter", query(1));
        break;
      case 6:
        spec.emplace_back("missing", Object{{"field", pick({"n", "x", "k"})}});
        break;
      default:
        return metric();
    }
    if (depth < 3 && one_in(2))
      spec.emplace_back("aggs", Object{{"inner", aggregation(depth + 1)}, {"m", metric()}});
    return spec;
  }
  Object request() {
    Object request;
    if (!one_in(4)) request.emplace_back("query", query());
    if (one_in(2)) request.emplace_back("sort", sort());
    if (one_in(3)) request.emplace_back("from", below(12));
    if (!one_in(3)) request.emplace_back("size", below(25));
    if (one_in(4)) request.emplace_back("track_total_hits", one_in(2) ? Value(one_in(2)) : Value(below(30)));
    if (one_in(6)) request.emplace_back("min_score", 1);
    if (one_in(6)) request.emplace_back("post_filter", query(2));
    if (one_in(6)) request.emplace_back("collapse", Object{{"field", "k"}});
    if (one_in(5)) request.emplace_back("track_scores", true);
    if (one_in(6)) request.emplace_back("_source", Array{"n", "k"});
    if (one_in(2)) request.emplace_back("aggs", Object{{"one", aggregation()}, {"two", aggregation()}});
    return request;
  }

 private:
  std::mt19937 engine_;
};

search::AggregationBounds wide_bounds() {
  search::AggregationBounds bounds;
  bounds.max_depth = 8;
  return bounds;
}

TEST(Reduce, MergedResponseEqualsThatOfOneNode) {
  RequestGenerator generator(20261201);
  std::size_t with_hits = 0, with_buckets = 0;
  for (int pair = 0; pair < 2000; ++pair) {
    const int slices = 1 + generator.below(6);
    DocumentStore documents;
    for (int i = 0, n = generator.below(90); i < n; ++i)
      documents.add({"d" + std::to_string(i), generator.below(slices), 1, i, generator.document()});
    const Object body = generator.request();
    const std::string text = json::write(body);
    SCOPED_TRACE("pair " + std::to_string(pair) + ": " + text);
    std::vector<int> all;
    for (int s = 0; s < slices; ++s) all.push_back(s);
    const Value expected = documents.search(text, all);

    search::Parameters none;
    search::SearchBounds bounds;
    bounds.aggregations = wide_bounds();
    const search::SearchRequest request = search::parse_search(body, none, bounds);
    search::Reducer reducer(request, wide_bounds(), [](int) { return std::string("of-the-node"); });
    std::vector<int> order = all;
    for (std::size_t i = order.size(); i > 1; --i)
      std::swap(order[i - 1], order[static_cast<std::size_t>(generator.below(static_cast<int>(i)))]);
    for (const int slice : order) {
      std::string value = json::write(documents.search(search::slice_request_text(request, {}), {slice}));
      ASSERT_TRUE(reducer.usable(1, slice, value)) << value;
      reducer.take(1, slice, 0, std::move(value));
      EXPECT_LE(reducer.hit_count(), request.from + request.size);
    }
    const search::Page page = reducer.page(true);
    std::string error;
    Object hits{{"max_score", page.max_score}, {"hits", page.hits}};
    if (!page.total.is_null()) hits.emplace_back("total", page.total);
    Object got{{"hits", std::move(hits)}};
    if (page.aggregations) got.emplace_back("aggregations", *page.aggregations);
    const Value actual = *json::parse(json::write(got), error);
    Object wanted{{"hits", *expected.find("hits")}};
    if (const Value* aggregations = expected.find("aggregations"))
      wanted.emplace_back("aggregations", *aggregations);
    std::string where;
    ASSERT_TRUE(json_contains(wanted, actual, where)) << where;
    with_hits += !page.hits.empty();
    with_buckets += page.aggregations.has_value();
  }
  // Most of the random requests return hits, and about half have aggregations.
  EXPECT_GT(with_hits, 1000u);
  EXPECT_GT(with_buckets, 800u);
}

TEST(Reduce, TruncatedTermsListReportsErrorBound) {
  // Slice 0 returns only two keys: its count for "c" may be as large as the last count it returned.
  const Value body =
      Object{{"size", 0},
             {"aggs", Object{{"k", Object{{"terms", Object{{"field", "k"},
                                                           {"size", 2},
                                                           {"shard_size", 2},
                                                           {"show_term_doc_count_error", true}}}}}}}};
  search::Parameters none;
  const search::SearchRequest request = search::parse_search(body, none, {});
  search::Reducer reducer(request, {}, [](int) { return std::string("i"); });
  const auto slice = [](const char* buckets, int other) {
    return std::string(
               R"({"hits":{"total":{"value":9,"relation":"eq"},"max_score":null,"hits":[]},"aggregations":{"k":{"doc_count_error_upper_bound":0,"sum_other_doc_count":)") +
           std::to_string(other) + ",\"buckets\":" + buckets + "}}}";
  };
  reducer.take(1, 0, 0, slice(R"([{"key":"a","doc_count":5},{"key":"b","doc_count":3}])", 4));
  reducer.take(1, 1, 0, slice(R"([{"key":"c","doc_count":6},{"key":"a","doc_count":1}])", 0));
  const Value got = *reducer.page(true).aggregations;
  EXPECT_EQ(
      json::write(*got.at("k")),
      R"({"doc_count_error_upper_bound":3,"sum_other_doc_count":7,"buckets":[{"key":"a","doc_count":6,"doc_count_error_upper_bound":0},{"key":"c","doc_count":6,"doc_count_error_upper_bound":3}]})");
}

TEST(Reduce, PreservesHitContentByteForByte) {
  search::Parameters none;
  const search::SearchRequest request = search::parse_search(Object{}, none, {});
  search::Reducer reducer(request, {}, [](int) { return std::string("lifts"); });
  const std::string source = R"({"big":12345678901234567890,"float":1.0,"text":"\u00e9\/","list":[ 1 , 2]})";
  reducer.take(
      1, 0, 0,
      R"({"hits":{"total":{"value":1,"relation":"eq"},"max_score":1.5,"hits":[{"_index":"x","_id":"1","_score":1.5,"_source":)" +
          source + "}]}}");
  EXPECT_EQ(json::write(reducer.page(true).hits.at(0)),
            R"({"_index":"lifts","_id":"1","_score":1.5,"_source":)" + source + "}");
}

TEST(Reduce, SortValuesOfMixedTypesAreRejected) {
  search::Parameters none;
  const search::SearchRequest request = search::parse_search(Object{{"sort", Array{"n"}}}, none, {});
  search::Reducer reducer(request, {}, [](int) { return std::string("i"); });
  const auto slice = [](const char* key) {
    return std::string(
               R"({"hits":{"total":{"value":1,"relation":"eq"},"max_score":null,"hits":[{"_id":"1","_score":null,"sort":[)") +
           key + "]}]}}";
  };
  reducer.take(1, 0, 0, slice("7"));
  reducer.take(1, 1, 0, slice("\"seven\""));
  try {
    reducer.page(true);
    FAIL() << "numbers and text were ordered together";
  } catch (const search::ApiError& error) {
    EXPECT_EQ(error.status, 400);
    EXPECT_NE(error.reason.find("field [n]"), std::string::npos);
  }
}

TEST(Reduce, ResponsesWithoutRequestedValuesAreUnusable) {
  search::Parameters none;
  const search::SearchRequest request = search::parse_search(
      Object{{"sort", Array{"n"}}, {"aggs", Object{{"a", Object{{"max", Object{{"field", "n"}}}}}}}}, none,
      {});
  search::Reducer reducer(request, {}, [](int) { return std::string("i"); });
  const std::string good = R"({"hits":{"hits":[{"_id":"1","sort":[1]}]},"aggregations":{"a":{"value":1}}})";
  EXPECT_TRUE(reducer.usable(1, 0, good));
  for (const char* wrong :
       {"", "x", "[]", "{}", R"({"hits":{"hits":[{"_id":"1","sort":[1]}]}})",
        R"({"hits":{"hits":[{"_id":"1"}]},"aggregations":{"a":{"value":1}}})",
        R"({"hits":{"hits":[{"_id":"1","sort":[1,2]}]},"aggregations":{"a":{"value":1}}})",
        R"({"hits":{"hits":[{"_id":"1","sort":[1]}]},"aggregations":{"a":{"value":1}})",
        R"({"hits":{"hits":[{"_id":"1","sort":[1]}]},"aggregations":{"b":{"value":1}}})"})
    EXPECT_FALSE(reducer.usable(1, 0, wrong)) << wrong;
}

}  // namespace
}  // namespace kelpdeal::test
