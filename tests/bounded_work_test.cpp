// SPDX-License-Identifier: MIT
// Requests and answers that would take far more time or memory than their length (docs/incidents/
// unbounded-work.md): they are refused, or take time in proportion to their length. Beside each stands a
// sound one of the same kind that passes.
#include <gtest/gtest.h>

#include "conformance/search_fixture.h"
#include "kelpdeal/search/bulk.h"
#include "kelpdeal/search/cursor_registry.h"
#include "kelpdeal/search/filter_path.h"
#include "kelpdeal/search/reduce.h"
#include "kelpdeal/search/wildcard.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

// Far more than linear work takes, even under the sanitizers, and far less than the work took without bounds.
constexpr Duration kLinearTime = 2s;

std::string repeat(std::string_view text, std::size_t count) {
  std::string all;
  for (std::size_t i = 0; i < count; ++i) all += text;
  return all;
}

std::string list_of(std::string_view item, std::size_t count) {
  return "[" + std::string(item) + repeat("," + std::string(item), count - 1) + "]";
}

std::string members(const std::string& name, const std::string& value, std::size_t count) {
  std::string all;
  for (std::size_t i = 0; i < count; ++i)
    all += (i ? ",\"" : "\"") + name + std::to_string(i) + "\":" + value;
  return "{" + all + "}";
}

// The reason of the error that the search front answers with; empty for an answer that is none.
std::string reason_for(const char* method, const std::string& target, const std::string& body,
                       std::function<NodeReply(const ReceivedPart&)> answer = {}) {
  SearchFixture fixture(Api::platform);
  if (answer)
    for (auto& node : fixture.world.nodes) node->on_part = answer;
  std::string reason;
  fixture.world.run([&]() -> Task<void> {
    const json::Value got = co_await fixture.get(method, target, body);
    reason = got.text_or("error.reason", "");
  }());
  return reason;
}

std::string template_body(const std::string& source, const std::string& parameters = "{}") {
  return "{\"source\":" + json::quote(source) + ",\"params\":" + parameters + "}";
}
std::string render_reason(const std::string& source, const std::string& parameters = "{}") {
  return reason_for("POST", "/_render/template", template_body(source, parameters));
}

// Guards against a template whose parsing takes time and memory with the square of its length.
TEST(BoundedWork, TemplateIsMeasuredBeforeItIsParsed) {
  const std::string nested = repeat("{{#a}}", 200) + repeat("{{/a}}", 200);
  EXPECT_NE(render_reason(nested).find("nested deeper than 64"), std::string::npos);
  EXPECT_NE(render_reason(nested + "{{/b}}").find("nested deeper than 64"), std::string::npos);
  const std::string outer = repeat("{{#a}}", 60), end = repeat("{{/a}}", 60);
  EXPECT_NE(render_reason(outer + std::string(90'000, 'x') + end).find("bytes in total"), std::string::npos);
  EXPECT_NE(render_reason(std::string(110'000, ' ')).find("tags, blanks and pieces"), std::string::npos);
  EXPECT_NE(render_reason(repeat("{{}}", 110'000)).find("tags, blanks and pieces"), std::string::npos);
  EXPECT_NE(render_reason("{{=" + std::string(17, 'a') + " b=}}").find("delimiters are longer"),
            std::string::npos);
}

// Guards against names of many parts, each of which is looked up in each open section.
TEST(BoundedWork, NamesOfManyPartsAreBoundedTimesTheOpenSections) {
  constexpr int kSections = 62, kParts = 90;
  std::string value = "0";
  for (int depth = kSections; depth > 0; --depth) {
    const int parts = kParts - depth;
    value = R"({"a":)" + repeat(R"({"a":)", parts) + "0" + repeat("}", parts) + R"(,"b":)" + value + "}";
  }
  const std::string parameters = R"({"l":)" + list_of("1", 1'000) + R"(,"b":)" + value + "}";
  const std::string tag = "{{" + repeat("a.", kParts) + "a}}";
  const auto in_sections = [](const std::string& text) {
    return repeat("{{#b}}", kSections) + text + repeat("{{/b}}", kSections);
  };
  EXPECT_EQ(render_reason(in_sections("{{#l}}" + repeat(tag, 5) + "{{/l}}"), parameters),
            "the template takes too many steps to render");
  EXPECT_EQ(render_reason("{ " + in_sections(tag) + " }", parameters), "");
}

// Guards against values and texts that are written once for each item of a list, on one line.
TEST(BoundedWork, TemplateIsBoundedWhileItIsRendered) {
  const std::string list = list_of("1", 50'000);
  const std::string value = json::quote(std::string(10'000, 'x'));
  for (const auto& [source, parameters] :
       {std::pair("{{#l}}{{x}}{{/l}}", "{\"l\":" + list + ",\"x\":" + value + "}"),
        std::pair("{{#l}}{{#toJson}}x{{/toJson}}{{/l}}", "{\"l\":" + list + ",\"x\":" + value + "}"),
        std::pair("{{#l}}{{=< >=}}<#l></l></l>", "{\"l\":" + list + "}")})
    EXPECT_NE(render_reason(source, parameters).find("too many steps"), std::string::npos) << source;
  const std::string text = "{{#l}}" + std::string(1'000, 'x') + "{{/l}}";
  EXPECT_NE(render_reason(text, "{\"l\":" + list + "}").find("too many steps"), std::string::npos);
}

// Guards against a value that includes itself as a template, which ended the process.
TEST(BoundedWork, TemplatesThatIncludeThemselvesEnd) {
  EXPECT_NE(render_reason("{{>x}}", R"({"x":"{{>x}}{{>x}}"})").find("includes more than 64"),
            std::string::npos);
}

// Guards against bounds that refuse usual templates.
TEST(BoundedWork, SoundTemplatesAreRendered) {
  const std::string items = list_of("12345", 20'000);
  const std::string pretty = "{\n" + repeat("  \"member\" : [ 1, 2, 3 ],\n", 2'000) + "  \"end\" : true\n}\n";
  const std::string nested = repeat("{{#a}}", 20) + R"("b":1)" + repeat("{{/a}}", 20);
  for (const auto& [source, parameters] :
       {std::pair(std::string(R"({"terms":[{{#l}}"{{.}}",{{/l}}"end"]})"), "{\"l\":" + items + "}"),
        std::pair(std::string(R"({"terms":{{#toJson}}l{{/toJson}}})"), "{\"l\":" + items + "}"),
        std::pair(std::string(R"({"terms":"{{#join}}l{{/join}}"})"), "{\"l\":" + items + "}"),
        std::pair(std::string("{{=<% %>=}}{\"a\":\"<%x%>\"}"), std::string(R"({"x":"y"})")),
        std::pair(pretty, std::string("{}")), std::pair("{ " + nested + "}", std::string(R"({"a":true})"))})
    EXPECT_EQ(render_reason(source, parameters), "") << source.substr(0, 80);
}

// Guards against a value that is parsed as a template of any depth.
TEST(BoundedWork, ValueWrittenByToJsonIsNoTemplate) {
  SearchFixture fixture(Api::platform);
  fixture.world.run([&]() -> Task<void> {
    const json::Value got =
        co_await fixture.get("POST", "/_render/template",
                             template_body(R"({"a":{{#toJson}}x{{/toJson}}})", R"({"x":"{{#y}}z{{/y}}"})"));
    EXPECT_EQ(got.text_or("template_output.a", ""), "{{#y}}z{{/y}}");
  }());
}

// ---- aggregations ----

NodeReply answer_with(const std::string& aggregations) {
  NodeReply reply;
  reply.value =
      R"({"hits":{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]},"aggregations":)" +
      aggregations + "}";
  return reply;
}

std::string gaps(std::size_t count, const std::string& options, const std::string& nested) {
  return R"({"size":0,"aggs":{"h":{"date_histogram":{"field":"installed","fixed_interval":"1ms",)"
         R"("extended_bounds":{"min":0,"max":)" +
         std::to_string(count - 1) + "}" + options + "}" + (nested.empty() ? "" : ",\"aggs\":" + nested) +
         "}}}";
}

std::string gaps_reason(const std::string& body) {
  return reason_for("POST", "/lifts/_search", body,
                    [](const ReceivedPart&) { return answer_with(R"({"h":{"buckets":[]}})"); });
}

// Guards against empty buckets that are made, with all that is nested in them, before they are counted.
TEST(BoundedWork, ResultOfAggregationsIsBoundedWhileItIsMade) {
  const std::string stats = R"({"extended_stats":{"field":"a"}})";
  EXPECT_NE(gaps_reason(gaps(20'000, "", members("m", stats, 190))).find("would take more than"),
            std::string::npos);
  const std::string name(50'000, 'n');
  EXPECT_NE(gaps_reason(gaps(20'000, "", "{\"" + name + "\":" + stats + "}")).find("would take more than"),
            std::string::npos);
  EXPECT_NE(
      gaps_reason(gaps(20, ",\"format\":\"" + std::string(257, '-') + "\"", "")).find("[format] is longer"),
      std::string::npos);
  EXPECT_NE(gaps_reason(gaps(70'000, "", "")).find("too many buckets"), std::string::npos);
  EXPECT_EQ(gaps_reason(gaps(65'000, "", "")), "");
  EXPECT_EQ(gaps_reason(gaps(20'000, "", members("m", R"({"sum":{"field":"a"}})", 3))), "");
}

// Guards against buckets that no slice returned and that are made for each bucket around them.
TEST(BoundedWork, RangesAndFiltersOfEmptyBucketsAreBounded) {
  const std::string stats = members("m", R"({"extended_stats":{"field":"a"}})", 180);
  for (const std::string& nested :
       {R"("range":{"field":"a","ranges":)" + list_of(R"({"from":1})", 5'000) + "}",
        R"("filters":{"filters":)" + list_of(R"({"match_all":{}})", 5'000) + "}"}) {
    const std::string body = R"({"size":0,"aggs":{"g":{"filter":{"match_all":{}},"aggs":{"r":{)" + nested +
                             ",\"aggs\":" + stats + "}}}}}";
    const std::string reason = reason_for("POST", "/lifts/_search", body, [](const ReceivedPart&) {
      return answer_with(R"({"g":{"doc_count":0}})");
    });
    EXPECT_NE(reason.find("would take more than"), std::string::npos) << nested.substr(0, 20) << reason;
  }
}

// Guards against orders that are compared for each pair of buckets.
TEST(BoundedWork, OrdersOfOneAggregationAreLimited) {
  const auto body = [](std::size_t count) {
    return R"({"size":0,"aggs":{"t":{"terms":{"field":"site","order":)" +
           list_of(R"({"_count":"asc"})", count) + "}}}}";
  };
  EXPECT_NE(reason_for("POST", "/lifts/_search", body(33)).find("more than 32 keys"), std::string::npos);
  EXPECT_EQ(reason_for("POST", "/lifts/_search", body(30)), "");
}

// Guards against buckets that are ordered by values which are looked up for each pair of them.
TEST(BoundedWork, OrdersAreBoundedTimesTheBuckets) {
  const auto ordered_by = [](const std::string& metric, std::size_t count) {
    return ",\"order\":" + list_of("{\"" + metric + ".sum\":\"asc\"}", count);
  };
  const std::string metrics = members("m", R"({"extended_stats":{"field":"a"}})", 190);
  const TimePoint start = Clock::now();
  EXPECT_NE(gaps_reason(gaps(32'000, ordered_by("m189", 32), metrics)).find("values of buckets"),
            std::string::npos);
  EXPECT_LT(Clock::now() - start, kLinearTime);
  EXPECT_EQ(gaps_reason(gaps(10'000, ordered_by("m0", 5), R"({"m0":{"stats":{"field":"a"}}})")), "");
}

search::SearchRequest parsed_search(const std::string& body) {
  std::string error;
  search::Parameters none;
  return search::parse_search(json::parse(body, error, {100, 100'000}).value_or(json::Value()), none, {});
}

// Guards against short buckets of nodes that take far more memory than text.
TEST(BoundedWork, BucketsOfNodesAreCountedBeforeTheyAreKept) {
  const search::SearchRequest request =
      parsed_search(R"({"size":0,"aggs":{"t":{"terms":{"field":"a","size":10000},"aggs":)" +
                    members("m", R"({"sum":{"field":"a"}})", 3) + "}}}");
  const auto merge = [&](int slices, int distinct) -> std::string {
    search::Reducer reducer(request, {}, [](int) { return std::string(); });
    for (int slice = 0; slice < slices; ++slice) {
      std::string buckets;
      for (int i = 0; i < distinct; ++i)
        buckets += (i ? ",{\"key\":" : "{\"key\":") + std::to_string(slice * distinct + i) +
                   R"(,"doc_count":1,"m0":{"value":1}})";
      reducer.take(1, slice, 0, answer_with("{\"t\":{\"buckets\":[" + buckets + "]}}").value);
    }
    try {
      reducer.page(true);
    } catch (const search::ApiError& error) {
      return error.reason;
    }
    return {};
  };
  EXPECT_NE(merge(30, 5'000).find("too many buckets"), std::string::npos);
  EXPECT_EQ(merge(10, 5'000), "");
}

// ---- patterns, selections and buffers ----

// Guards against a long pattern that is compared at each place of a long name.
TEST(BoundedWork, PatternsTakeLinearTime) {
  const std::string name(250'000, 'a');
  const TimePoint start = Clock::now();
  EXPECT_FALSE(search::matches_wildcard("*" + std::string(15'000, 'a') + "b*", name));
  EXPECT_TRUE(search::matches_wildcard("*" + std::string(15'000, 'a') + "b*", name + "b"));
  EXPECT_LT(Clock::now() - start, kLinearTime);
  EXPECT_TRUE(search::matches_wildcard("a*bc*d", "abbcbd"));
  EXPECT_FALSE(search::matches_wildcard("ab*ba", "aba"));
  EXPECT_FALSE(search::matches_wildcard("*ab*ab*", "abba"));
}

// Guards against many paths that are tried for each member of a large answer.
TEST(BoundedWork, FilterPathsOverLargeAnswersAreBounded) {
  json::Object wide;
  for (int i = 0; i < 20'000; ++i) wide.emplace_back("m" + std::to_string(i), 1);
  const json::Value body = json::Object{{"_source", std::move(wide)}};
  std::string paths;
  for (int i = 0; i < 60; ++i) paths += repeat("**.", 28) + "x,";
  EXPECT_THROW(search::filter_path(body, paths), search::ApiError);
  EXPECT_EQ(search::filter_path(body, "_source.m*,-_source.m1*,took").find("_source")->object()->size(),
            8'889u);
}

// Guards against answers whose values are built, or whose depth is written as spaces, to indent them.
TEST(BoundedWork, PrettyAnswersKeepTheirNumbersAndStaySmall) {
  const json::Value raw =
      json::Object{{"a", json::Raw{R"([1.0,{"b":"x, {y}","c":[ ]}])"}}, {"d", json::Array{}}};
  EXPECT_EQ(json::write_pretty(raw),
            "{\n  \"a\" : [\n    1.0,\n    {\n      \"b\" : \"x, {y}\",\n      \"c\" : []\n    }\n  ],\n"
            "  \"d\" : []\n}\n");
  EXPECT_EQ(json::write_pretty(raw, 20), json::write(raw) + "\n");
}

// Guards against buffers that are moved or searched again for each small piece.
TEST(BoundedWork, SmallPiecesOfLargeInputTakeLinearTime) {
  const TimePoint start = Clock::now();
  constexpr std::size_t kPieces = 200'000;
  http::Parser<http::Request> parser({16 * 1024, 100, kPieces});
  parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + repeat("1\r\nx\r\n", kPieces) +
              "0\r\n\r\n");
  EXPECT_EQ(parser.advance(), http::State::done);
  EXPECT_EQ(parser.take().body.size(), kPieces);
  frames::Reader reader(100);
  reader.feed(repeat(frames::encode('X', "x"), kPieces));
  std::size_t frames = 0;
  while (reader.next()) ++frames;
  EXPECT_EQ(frames, kPieces);
  json::ItemStream items("list", 100);
  items.feed("{\"list\":" + list_of("1", kPieces) + "}");
  std::size_t count = 0;
  while (items.next()) ++count;
  EXPECT_EQ(count, kPieces);
  EXPECT_TRUE(items.done());
  search::LineSplitter lines(1 << 20);
  for (std::size_t i = 0; i < kPieces; ++i) {
    lines.feed("xxxx");
    EXPECT_FALSE(lines.next());
  }
  EXPECT_LT(Clock::now() - start, 4 * kLinearTime);
}

// ---- tables, cursors and multi-item requests ----

// Guards against a table that is sorted and written once for each repeated name.
TEST(BoundedWork, RepeatedColumnsOfATableCountOnce) {
  SearchFixture fixture(Api::platform);
  fixture.world.run([&]() -> Task<void> {
    const http::Response got =
        co_await fixture.ask("GET", "/_cat/nodes?format=json&h=name,n*,name,zone&s=name:desc,zone,name");
    const json::Value rows = body_of(got);
    EXPECT_EQ(rows.array()->size(), 3u);
    if (rows.array()->size() != 3) co_return;
    EXPECT_EQ(rows.array()->front().object()->size(), 3u);  // name, node.role, zone
    EXPECT_GT(rows.array()->front().text_or("name", ""), rows.array()->back().text_or("name", ""));
  }());
}

// Guards against searching all cleared cursors for each one, and a record that only grows.
TEST(BoundedWork, ClearingCursorsTakesTimeForThoseClearedOnly) {
  search::CursorRegistry registry({500, 10'000, 24h});
  const auto now = search::WallClock::now();
  search::Cursor cursor;
  cursor.opened = now;
  const TimePoint start = Clock::now();
  for (std::uint64_t i = 0; i < 40'000; ++i) {
    cursor.number = i;
    cursor.expires = now + std::chrono::seconds(60 + i);
    EXPECT_TRUE(registry.clear(cursor, now));
  }
  EXPECT_LT(Clock::now() - start, kLinearTime);
  EXPECT_FALSE(registry.renew(cursor, now));
  for (int i = 0; i < 10'000; ++i)
    EXPECT_TRUE(registry.clear_all("team-" + std::to_string(i), search::Cursor::Kind::scroll, now));
  EXPECT_FALSE(registry.clear_all("one more", search::Cursor::Kind::scroll, now));
  EXPECT_TRUE(registry.clear_all("one more", search::Cursor::Kind::scroll, now + 25h));
}

// Guards against a long list of fields that is copied for each document.
TEST(BoundedWork, DefaultsOfAMultiGetAreBoundedTimesItsDocuments) {
  const std::string ids = "{\"ids\":" + list_of("\"a\"", 1'000) + "}";
  const std::string fields = repeat("a,", 6'000);
  EXPECT_NE(reason_for("POST", "/lifts/_mget?_source=" + fields, ids).find("too long for 1000 documents"),
            std::string::npos);
  EXPECT_EQ(reason_for("POST", "/lifts/_mget?_source=register,site", ids), "");
}

// Guards against millions of lines that are kept before they are counted.
TEST(BoundedWork, LinesOfAMultiSearchAreCountedAsTheyAreSplit) {
  EXPECT_NE(reason_for("POST", "/_msearch", std::string(900'000, '\n')).find("more than 200 searches"),
            std::string::npos);
}

}  // namespace
}  // namespace kelpdeal::test
