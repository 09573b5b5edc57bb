// SPDX-License-Identifier: MIT
// Unit tests of the package search: parsers and decisions.
#include <gtest/gtest.h>
#include <sodium.h>

#include "kelpdeal/search/bulk.h"
#include "kelpdeal/search/cursor_registry.h"
#include "kelpdeal/search/dates.h"
#include "kelpdeal/search/fanout.h"
#include "kelpdeal/search/filter_path.h"
#include "kelpdeal/search/reduce.h"
#include "kelpdeal/search/tasks.h"
#include "kelpdeal/search/template.h"
#include "kelpdeal/search/wildcard.h"

namespace kelpdeal::search {
namespace {

using namespace std::chrono_literals;
using json::Array;
using json::Object;
using json::Value;

Value parsed(const std::string& text) {
  std::string error;
  auto value = json::parse(text, error, {100, 100000});
  EXPECT_TRUE(value) << error << ": " << text;
  return value ? *value : Value();
}

template <typename F>
std::string error_reason_of(F action) {
  try {
    action();
  } catch (const ApiError& error) {
    return error.reason;
  }
  return "";
}

TEST(Dates, ParseRoundAndFormat) {
  const struct {
    const char* text;
    std::int64_t ms;
  } read[] = {{"1970-01-01", 0},
              {"2026-03-31T08:05:09.250Z", 1774944309250},
              {"2026-03-31T08:05:09.250+01:00", 1774940709250},
              {"2024-02-29", 1709164800000},
              {"1969-12-31T23:59:59Z", -1000},
              {"1774944309250", 1774944309250},
              {"2026-03", 1772323200000},
              {"2026", 1767225600000}};
  for (const auto& test_case : read) EXPECT_EQ(parse_date(test_case.text), test_case.ms) << test_case.text;
  for (const char* wrong :
       {"", "x", "2026-13-01", "2025-02-29", "2026-03-31T25:00", "2026-03-31T08:00:00.", "2026-03-31x"})
    EXPECT_FALSE(parse_date(wrong)) << wrong;

  const std::int64_t now = *parse_date("2026-03-31T08:05:09.250Z");
  const struct {
    const char *text, *expected;
  } date_math_cases[] = {
      {"now", "2026-03-31T08:05:09.250Z"},    {"now/d", "2026-03-31T00:00:00.000Z"},
      {"now-1M", "2026-02-28T08:05:09.250Z"}, {"now+1M/M", "2026-04-01T00:00:00.000Z"},
      {"now/y", "2026-01-01T00:00:00.000Z"},  {"now-36h", "2026-03-29T20:05:09.250Z"},
      {"now/w", "2026-03-30T00:00:00.000Z"},  {"2024-02-29||+1y", "2025-02-28T00:00:00.000Z"},
      {"now/h", "2026-03-31T08:00:00.000Z"}};
  for (const auto& test_case : date_math_cases) {
    const auto ms = evaluate_date_math(test_case.text, now);
    ASSERT_TRUE(ms) << test_case.text;
    EXPECT_EQ(format_date(*ms, "", 0), test_case.expected) << test_case.text;
  }
  for (const char* wrong : {"later", "now+", "now/x", "now*2", "now+1", "now+999999999d", "2026-99||/d"})
    EXPECT_FALSE(evaluate_date_math(wrong, now)) << wrong;
  EXPECT_EQ(format_date(now, "yyyy.MM.dd 'at' H:mm", 3'600'000), "2026.03.31 at 9:05");
  EXPECT_EQ(format_date(now, "", 3'600'000), "2026-03-31T09:05:09.250+01:00");
  EXPECT_FALSE(format_date(now, "EEE", 0));
  EXPECT_EQ(start_of_unit(now, "quarter", 0), *parse_date("2026-01-01"));
  EXPECT_EQ(start_of_next_unit(*parse_date("2026-01-01"), "quarter", 0), *parse_date("2026-04-01"));
  EXPECT_EQ(start_of_unit(now, "day", 3'600'000 * 18), *parse_date("2026-04-01T00:00:00+18:00"));
}

TEST(IndexNames, MatchWildcardsInBoundedTime) {
  const std::string name(2000, 'a');
  std::string pattern;
  for (int i = 0; i < 300; ++i) pattern += "*a";
  const auto start = Clock::now();
  EXPECT_FALSE(matches_wildcard(pattern + "b", name));
  EXPECT_LT(Clock::now() - start, 500ms);
  EXPECT_TRUE(matches_wildcard("a*c*", "abcd"));
  EXPECT_FALSE(matches_wildcard("a*c", "abcd"));
  EXPECT_TRUE(matches_wildcard("*", ""));
}

TEST(QueryDsl, RejectsExcessiveDepthAndClauseCount) {
  const auto nested = [](int depth) {
    std::string text = R"({"match_all":{}})";
    for (int i = 1; i < depth; ++i) text = R"({"bool":{"must":)" + text + "}}";
    return text;
  };
  EXPECT_EQ(error_reason_of([&] { check_query(parsed(nested(20)), "query", {}); }), "");
  EXPECT_NE(
      error_reason_of([&] { check_query(parsed(nested(21)), "query", {}); }).find("nested deeper than 20"),
      std::string::npos);
  const auto wide = [](int clauses) {
    std::string text;
    for (int i = 0; i < clauses; ++i) text += std::string(i ? "," : "") + R"({"term":{"a":1}})";
    return R"({"bool":{"should":[)" + text + "]}}";
  };
  EXPECT_EQ(error_reason_of([&] { check_query(parsed(wide(1023)), "query", {}); }), "");
  EXPECT_NE(
      error_reason_of([&] { check_query(parsed(wide(1024)), "query", {}); }).find("more than 1024 clauses"),
      std::string::npos);
}

TEST(FilterPaths, RejectExcessivePathsAndDepth) {
  std::string many, deep = "a";
  for (int i = 0; i < 65; ++i) many += std::string(i ? "," : "") + "a" + std::to_string(i);
  for (int i = 0; i < 64; ++i) deep += ".a";
  EXPECT_NE(error_reason_of([&] { filter_path(Object{}, many); }), "");
  EXPECT_NE(error_reason_of([&] { filter_path(Object{}, deep); }), "");
  // Many ** over a deep body: each value is visited once with a set of positions, not once for each
  // combination of matches.
  std::string stars = "**", body = "1";
  for (int i = 0; i < 30; ++i)
    stars += ".**", body = "{\"a\":" + body + ",\"b\":[" + body.substr(0, 50) + "]}";
  std::string error;
  if (const auto value = json::parse(body, error)) filter_path(*value, stars + ".z");
  EXPECT_EQ(json::write(filter_path(parsed(R"({"a":{"b":1,"c":{"b":2}},"d":[{"b":3},{"e":4}]})"), "**.b")),
            R"({"a":{"b":1,"c":{"b":2}},"d":[{"b":3}]})");
  EXPECT_EQ(json::write(filter_path(parsed(R"({"a":{"b":1,"c":2},"d":3})"), "a,-a.c")), R"({"a":{"b":1}})");
}

TEST(Partitions, CoverEverySliceOnce) {
  for (std::size_t slices = 1; slices <= 8; ++slices)
    for (std::size_t max = 2; max <= 20; ++max) {
      // By slice: the number of its parts, and the parts covered.
      std::map<std::size_t, std::pair<std::size_t, std::set<std::size_t>>> seen;
      for (std::size_t id = 0; id < max; ++id)
        for (const PartitionPart& part : partition(id, max, slices)) {
          auto& [cut, ids] = seen[part.index];
          cut = part.part ? part.part->second : 1;
          EXPECT_TRUE(ids.insert(part.part ? part.part->first : 0).second);
        }
      EXPECT_EQ(seen.size(), slices);
      for (const auto& [place, one] : seen) EXPECT_EQ(one.second.size(), one.first) << slices << " " << max;
    }
}

// ---- cursors ----
SortOrder order_by(const char* field) {
  SortOrder order;
  order.append(field, false);
  order.append("_id", false);
  return order;
}
Page page_ending_at(int key, int slice, const char* id) {
  Page page;
  page.last_position = Position{{key}, slice, id};
  return page;
}

TEST(Cursors, ContinueFromPositionOfEachSlice) {
  const SortOrder order = order_by("n");
  Cursor cursor;
  const std::vector<int> all = {0, 1, 2};
  advance_cursor(cursor, order, page_ending_at(5, 1, "d"), all, {2});  // slice 2 did not respond
  auto needed = remaining_slices(cursor, all);
  ASSERT_EQ(needed.size(), 3u);
  EXPECT_EQ(needed[0].second->id, "d");
  EXPECT_EQ(needed[2].second, nullptr);
  // Slice 2 responds again; its hits up to (3, slice 2, x) fill the page, and the other slices stay at their
  // position.
  advance_cursor(cursor, order, page_ending_at(3, 2, "x"), all, {});
  needed = remaining_slices(cursor, all);
  EXPECT_EQ(needed[0].second->sort_values.at(0), Value(5));
  EXPECT_EQ(needed[2].second->sort_values.at(0), Value(3));
  // It misses another page and keeps its position; then it catches up.
  advance_cursor(cursor, order, page_ending_at(7, 0, "q"), all, {2});
  EXPECT_EQ(remaining_slices(cursor, all)[2].second->sort_values.at(0), Value(3));
  Page last = page_ending_at(9, 2, "z");
  last.finished_slices = {0};
  advance_cursor(cursor, order, last, all, {});
  needed = remaining_slices(cursor, all);
  ASSERT_EQ(needed.size(), 2u);
  EXPECT_EQ(needed[1].second->sort_values.at(0), Value(9));
  EXPECT_TRUE(cursor.lagging.empty());
  // An empty page leaves all positions unchanged.
  advance_cursor(cursor, order, Page{}, {1, 2}, {1});
  EXPECT_EQ(remaining_slices(cursor, all).size(), 2u);
  EXPECT_EQ(cursor.position->id, "z");
}

TEST(Cursors, RoundTripThroughJson) {
  Cursor cursor;
  cursor.number = 18'446'744'073'709'551'557u;
  cursor.team = "owners";
  cursor.opened = WallClock::time_point(1000ms);
  cursor.expires = WallClock::time_point(1'900'000'000'000ms);
  cursor.indices = {"lifts", "escalators"};
  cursor.filters = {Value(), parsed(R"({"term":{"site":"derby"}})")};
  cursor.search_body = parsed(R"({"size":3})");
  cursor.position = Position{{1.5, std::int64_t{9'007'199'254'740'993}, Value()}, 2, "d\"1"};
  cursor.lagging[4] = std::nullopt;
  cursor.lagging[5] = Position{{"x"}, 5, "y"};
  cursor.finished_slices = {1, 3};
  cursor.total = 12;
  const auto read = cursor_from_json(cursor_to_json(cursor));
  ASSERT_TRUE(read);
  EXPECT_EQ(json::write(cursor_to_json(*read)), json::write(cursor_to_json(cursor)));
  EXPECT_EQ(read->number, cursor.number);
  EXPECT_EQ(read->position->sort_values.at(1).integer(), 9'007'199'254'740'993);
  for (const char* wrong : {"{}", "[]", R"({"kind":"scroln"})", R"({"kind":"scroll","behind":[[1]]})"})
    EXPECT_FALSE(cursor_from_json(parsed(wrong))) << wrong;
}

TEST(CursorKeys, ParseRejectsInvalidLines) {
  ASSERT_GE(sodium_init(), 0);
  const std::string hex(64, 'a');
  std::string problem;
  EXPECT_EQ(parse_cursor_keys("one " + hex + "\n# none\n\ntwo " + hex + " # old\n", problem)->size(), 2u);
  for (const std::string& wrong :
       std::vector<std::string>{"", "one", "one " + hex.substr(1), "one " + hex + "a",
                                "one " + std::string(64, 'x'), std::string(33, 'n') + " " + hex}) {
    EXPECT_FALSE(parse_cursor_keys(wrong, problem)) << wrong;
    EXPECT_EQ(problem.find("aaaa"), std::string::npos);  // keys must not be revealed in messages
  }
}

TEST(CursorRegistry, EnforcesLimitsAndRemovesExpiredEntries) {
  CursorRegistry registry({3, 5});
  const WallClock::time_point now = WallClock::now();
  const auto cursor = [&](std::uint64_t number, const char* team, Duration keep) {
    Cursor result;
    result.number = number;
    result.team = team;
    result.opened = now;
    result.expires = now + std::chrono::duration_cast<WallClock::duration>(keep);
    return result;
  };
  for (std::uint64_t i = 0; i < 3; ++i) EXPECT_TRUE(registry.open(cursor(i, "a", 1min), now));
  EXPECT_FALSE(registry.open(cursor(3, "a", 1min), now));
  EXPECT_TRUE(registry.open(cursor(4, "b", 1min), now));
  EXPECT_TRUE(registry.open(cursor(5, "b", 1min), now));
  EXPECT_FALSE(registry.open(cursor(6, "c", 1min), now));  // the total limit
  EXPECT_TRUE(
      registry.renew(cursor(99, "c", 1min), now));  // opened at another coordinator: served, not counted
  EXPECT_EQ(registry.size(), 5u);
  EXPECT_TRUE(registry.clear(cursor(0, "a", 1min), now));
  EXPECT_FALSE(registry.clear(cursor(0, "a", 1min), now));
  EXPECT_FALSE(registry.renew(cursor(0, "a", 1min), now));
  EXPECT_TRUE(registry.open(cursor(7, "a", 1min), now));
  EXPECT_EQ(registry.clear_all("b", Cursor::Kind::scroll, now), 2u);
  EXPECT_FALSE(registry.renew(cursor(77, "b", 1min), now));  // includes cursors opened at other coordinators
  EXPECT_TRUE(registry.open(cursor(8, "a", 2min), now + 61s));  // all others have expired after a minute
  EXPECT_EQ(registry.size(), 1u);
  // The record of cleared cursors is bounded.
  for (std::uint64_t i = 100; i < 300; ++i) registry.clear(cursor(i, "a", 1min), now + 61s);
}

// ---- multi-item requests ----
TEST(FanoutLimiter, DividesLimitFairlyBetweenRequests) {
  FanoutLimiter limiter({12, 8});
  FanoutLimiter::RequestLimiter first(limiter, 0);
  const auto start_all_allowed = [](FanoutLimiter::RequestLimiter& request) {
    std::size_t started = 0;
    for (; request.can_start(); ++started) request.on_started();
    return started;
  };
  EXPECT_EQ(start_all_allowed(first), 8u);  // a single request is limited by max_per_request
  FanoutLimiter::RequestLimiter second(limiter, 0), third(limiter, 2);
  EXPECT_EQ(first.window(), 4u);
  EXPECT_FALSE(first.can_start());
  EXPECT_EQ(start_all_allowed(second), 4u);  // the rest of the total of 12
  EXPECT_EQ(start_all_allowed(third), 1u);   // each request may run one item
  for (int i = 0; i < 5; ++i) first.on_ended();
  EXPECT_EQ(start_all_allowed(third), 1u);  // up to its own max_concurrent
  EXPECT_EQ(start_all_allowed(first), 1u);  // up to its fair share
}

TEST(FanoutLimiter, WindowHalvesOnRefusalAndRecovers) {
  FanoutLimiter limiter({48, 16});
  FanoutLimiter::RequestLimiter request(limiter, 0);
  const TimePoint now = Clock::now();
  EXPECT_EQ(request.window(), 16u);
  request.on_refused(now, 500ms);
  request.on_refused(now + 1ms, 500ms);  // within the grouping time: same cause
  EXPECT_EQ(request.window(), 8u);
  request.on_refused(now + 60ms, 500ms);
  EXPECT_EQ(request.window(), 4u);
  for (int i = 0; i < 5; ++i) request.on_accepted();
  EXPECT_EQ(request.window(), 5u);
  for (int i = 0; i < 8; ++i) request.on_refused(now + 100ms, 500ms);
  EXPECT_EQ(request.backoff_remaining(now + 200ms), Duration(400ms));
  EXPECT_EQ(request.backoff_remaining(now + 700ms), Duration::zero());
  request.on_accepted();
  EXPECT_EQ(request.backoff_remaining(now + 200ms), Duration::zero());
}

TEST(FanoutLimiter, LimitShrinksForSlowSingleRequestsAndRecovers) {
  FanoutLimiter limiter({48, 16});
  FanoutLimiter::RequestLimiter request(limiter, 0);
  TimePoint now = Clock::now();
  limiter.record_single_request(false, 90ms, 500ms, now);  // within a fifth of the latency target
  EXPECT_EQ(limiter.limit(), 48u);
  limiter.record_single_request(true, 5ms, 500ms, now);
  limiter.record_single_request(true, 5ms, 500ms, now + 10ms);  // within the grouping time
  EXPECT_EQ(limiter.limit(), 24u);
  limiter.record_single_request(false, 120ms, 500ms, now + 60ms);
  EXPECT_EQ(limiter.limit(), 19u);
  for (int i = 0; i < 100; ++i) limiter.record_single_request(true, 5ms, 500ms, now += 100ms);
  EXPECT_EQ(limiter.limit(), 1u);
  EXPECT_TRUE(request.can_start());  // each request may still run one item
  request.on_started();
  EXPECT_FALSE(request.can_start());
  for (int i = 0; i < 20'000; ++i) request.on_accepted();
  EXPECT_EQ(limiter.limit(), 48u);  // capped at the configured limit
}

TEST(Bulks, ParseLinesAndItems) {
  LineSplitter lines(20);
  lines.feed("one\r\ntw");
  EXPECT_EQ(lines.next(), "one");
  EXPECT_FALSE(lines.next());
  lines.feed("o\n\nlast");
  EXPECT_EQ(lines.next(), "two");
  EXPECT_EQ(lines.next(), "");
  EXPECT_FALSE(lines.next());
  lines.finish();
  EXPECT_EQ(lines.next(), "last");
  EXPECT_FALSE(lines.next());
  lines.feed(std::string(21, 'x'));
  EXPECT_FALSE(lines.next());
  EXPECT_TRUE(lines.line_too_long());

  BulkParser reader("lifts", {});
  EXPECT_FALSE(reader.add_line(R"({"index":{"_id":7,"routing":"r"}})"));
  const auto item = reader.add_line(R"({"a":1})");
  ASSERT_TRUE(item);
  EXPECT_EQ(item->id + item->index + item->routing + item->document, R"(7liftsr{"a":1})");
  EXPECT_EQ(reader.add_line(R"({"delete":{"_id":"1"}})")->action, BulkItem::Action::erase);
  EXPECT_FALSE(reader.add_line("  "));
  EXPECT_FALSE(reader.add_line(R"({"create":{"_id":"1"}})"));
  EXPECT_NE(reader.add_line("[1]")->problem, "");
  EXPECT_FALSE(reader.add_line(R"({"index":{"_id":")" + std::string(513, 'i') + "\"}}"));
  EXPECT_NE(reader.add_line("{}")->problem, "");
  for (const char* wrong : {"{}", "x", R"({"upsert":{}})", R"({"index":1})", R"({"index":{},"create":{}})"})
    EXPECT_NE(error_reason_of([&] { reader.add_line(wrong); }), "") << wrong;
}

TEST(Tasks, AreListedAndCancelledByTheirTeamOnly) {
  TaskRegistry registry;
  int cancelled_count = 0;
  TaskRegistry::Entry entry;
  entry.team = "a";
  entry.cancel = [&] { ++cancelled_count; };
  const TaskRegistry::Running parent(registry, entry);
  entry.parent = parent.id();
  const TaskRegistry::Running child(registry, entry);
  entry.cancel = nullptr;
  entry.parent = 0;
  const TaskRegistry::Running bulk(registry, entry);
  EXPECT_EQ(registry.list("a").size(), 3u);
  EXPECT_EQ(registry.list("b").size(), 0u);
  EXPECT_FALSE(registry.cancel(parent.id(), "b"));
  EXPECT_FALSE(registry.cancel(bulk.id(), "a"));
  EXPECT_TRUE(registry.cancel(parent.id(), "a"));
  EXPECT_EQ(cancelled_count, 2);
  EXPECT_TRUE(child.cancelled());
  EXPECT_FALSE(bulk.cancelled());
  EXPECT_TRUE(registry.cancel(parent.id(), "a"));
  EXPECT_EQ(cancelled_count, 2);  // cancelled only once
}

json::Value render_template(const json::Value& source, const json::Value& parameters, std::size_t max_bytes) {
  TemplateBudget budget;
  return search::render_template(source, parameters, max_bytes, {}, budget);
}

// Guards against a template that holds the event loop for good: nested sections over a list multiply the work
// and write nothing (docs/incidents/one-peer-holds-the-loop.md).
TEST(Templates, SectionsThatWriteNothingAreBounded) {
  std::string error;
  json::Array items;
  for (int i = 0; i < 1000; ++i) items.push_back(json::Value(static_cast<double>(i)));
  json::Object parameters{{"a", std::move(items)}};
  const json::Value values(std::move(parameters));
  std::string visits;
  for (int i = 0; i < 100'000; ++i) visits += "{{!}}";
  const std::string templates[] = {"{{#a}}{{#a}}{{#a}}{{#a}}{{/a}}{{/a}}{{/a}}{{/a}}",
                                   "{{#a}}" + visits + "{{/a}}", "{{=< >=}}<#a><#a><#a><#a></a></a></a></a>"};
  for (const std::string& text : templates)
    EXPECT_THROW(render_template(json::Value(text), values, 1 << 20), search::ApiError);
  const json::Value rendered =
      render_template(json::Value(std::string(R"({"terms":[{{#a}}"{{.}}",{{/a}}"end"]})")), values, 1 << 20);
  EXPECT_EQ(rendered.find("terms")->array()->size(), 1001u);
}

TEST(Templates, EscapeValuesAndBoundOutput) {
  const auto render = [](const char* source, const char* parameters) {
    return json::write(render_template(Value(source), parsed(parameters), 500));
  };
  EXPECT_EQ(render(R"({"a":"{{x}}"})", R"({"x":"\"},{"})"), R"({"a":"\"},{"})");
  EXPECT_EQ(render(R"({"a":[{{#l}}{{.}},{{/l}}0]})", R"({"l":[1,2]})"), R"({"a":[1,2,0]})");
  EXPECT_NE(error_reason_of([&] {
              render(R"({"a":"{{#l}}{{#l}}{{#l}}xxxxxxxxxx{{/l}}{{/l}}{{/l}}"})",
                     R"({"l":[1,2,3,4,5,6,7,8,9]})");
            }).find("longer than 500"),
            std::string::npos);
}

// ---- cases found by fuzzing ----
TEST(FuzzRegressions, HistogramBucketWithoutKeyIsRejected) {
  Parameters none;
  const SearchRequest request =
      parse_search(parsed(R"({"aggs":{"h":{"histogram":{"field":"n","interval":1}}}})"), none, {});
  for (const char* key : {R"("x")", "null", "1e300", R"("")"}) {
    Reducer reducer(request, {}, [](int) { return std::string(); });
    const std::string value = std::string(R"({"hits":{"hits":[]},"aggregations":{"h":{"buckets":[{"key":)") +
                              key + R"(,"doc_count":1}]}}})";
    ASSERT_TRUE(reducer.usable(1, 0, value));
    reducer.take(1, 0, 0, value);
    EXPECT_NE(error_reason_of([&] { reducer.page(true); }), "") << key;
  }
  for (const char* body : {R"({"field":"n","interval":1,"extended_bounds":{"min":0,"max":1e300}})",
                           R"({"field":"n","interval":1e300})"})
    EXPECT_NE(error_reason_of([&] {
                parse_search(parsed(std::string(R"({"aggs":{"h":{"histogram":)") + body + "}}}"), none, {});
              }),
              "")
        << body;
}

TEST(ItemStream, ReturnsItemsAsSoonAsComplete) {
  json::ItemStream stream("responses", 40);
  stream.feed(R"({"took":[1,{"responses":[9]}],"responses":[{"a":"]}"},[1)");
  EXPECT_EQ(stream.next(), R"({"a":"]}"})");
  EXPECT_FALSE(stream.next());
  stream.feed("] , 7");
  EXPECT_EQ(stream.next(), "[1]");
  EXPECT_FALSE(stream.next());
  stream.feed("]}");
  EXPECT_EQ(stream.next(), "7");
  EXPECT_FALSE(stream.next());
  EXPECT_TRUE(stream.done());
  for (const std::string& wrong :
       std::vector<std::string>{"[1]", "x", "}", R"({"responses":[")" + std::string(60, 'a')}) {
    json::ItemStream other("responses", 40);
    other.feed(wrong);
    while (other.next()) {
    }
    EXPECT_TRUE(other.bad()) << wrong;
  }
}

}  // namespace
}  // namespace kelpdeal::search
