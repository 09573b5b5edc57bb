// SPDX-License-Identifier: MIT
// Measures what one request can cost: for each page of the search front, and for each kind of work, the body
// that costs the most within the front's bounds, with record nodes that answer as badly as theirs allow.
// Prints the longest turn of the event loop and the peak memory of a program that serves that one request.
// Usage: `kelpdeal_search_pages_run [PROGRAM [PAGE]]`, by default the program of this build and all pages.
// Programs may need several GB: run it under `ulimit -v`.
#include <sys/resource.h>

#include <cstdlib>
#include <thread>

#include "../tests/program.h"
#include "running_cluster.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kBodyBytes = 1'000'000;    // under Limits::max_search_body_bytes
constexpr std::size_t kTargetBytes = 15'000;     // under http::Bounds::head
constexpr std::size_t kFrameBytes = 255 * 1024;  // under Limits::max_frame_bytes
constexpr std::chrono::seconds kAnswerTimeout{60};
constexpr Duration kServeTimeout = 120s;

struct Page {
  std::string name, method, target;
  std::function<std::string()> body;
  std::string answer{};  // of each record node; empty: one hit
  std::string content{"application/json"};
};

std::string repeat(std::string_view text, std::size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) all += text;
  return all;
}

// As many copies of `text` between `before` and `after` as fit into `bytes`, separated by commas.
std::string filled(std::string_view before, std::string_view text, std::string_view after,
                   std::size_t bytes) {
  std::string all(before);
  while (all.size() + text.size() + 1 + after.size() <= bytes) {
    if (all.size() > before.size()) all += ',';
    all += text;
  }
  return all.append(after);
}

std::string template_body(const std::string& source, const std::string& parameters = "{}") {
  return "{\"source\":" + json::quote(source) + ",\"params\":" + parameters + "}";
}

std::string nested_sections(std::size_t count) { return repeat("{{#a}}", count) + repeat("{{/a}}", count); }

// A member "NAME0":VALUE, "NAME1":VALUE, ... for each of `count`.
std::string members(const std::string& name, const std::string& value, std::size_t count) {
  std::string all;
  for (std::size_t i = 0; i < count; ++i)
    all += (i ? ",\"" : "\"") + name + std::to_string(i) + "\":" + value;
  return all;
}

// A name of many parts that is looked up, in vain, in each of the sections around it: all hold its first
// parts.
std::string dotted_names_body() {
  const int sections = 63, parts = 95;
  std::string inner = "0";
  for (int depth = sections; depth > 0; --depth) {
    std::string chain = "0";
    for (int part = depth; part < parts; ++part) chain = R"({"a":)" + chain + "}";
    inner = R"({"a":)" + chain + R"(,"b":)" + inner + "}";
  }
  const std::string tags = repeat("{{" + repeat("a.", parts) + "a}}", 20);
  const std::string text =
      repeat("{{#b}}", sections - 1) + "{{#l}}" + tags + "{{/l}}" + repeat("{{/b}}", sections - 1);
  return template_body(text, R"({"l":)" + filled("[", "1", "]", 2'000) + R"(,"b":)" + inner + "}");
}

std::string metrics(std::size_t count) {
  return "{" + members("m", R"({"extended_stats":{"field":"a"}})", count) + "}";
}

std::string search_answer(const std::string& hits, const std::string& aggregations = "{}") {
  return R"({"hits":{"total":{"value":1,"relation":"eq"},"max_score":1,"hits":[)" + hits +
         R"(]},"aggregations":)" + aggregations + "}";
}

std::string histogram_body(const std::string& options, const std::string& nested) {
  return R"({"size":0,"aggs":{"h":{"date_histogram":{"field":"t","fixed_interval":"1ms",)"
         R"("extended_bounds":{"min":0,"max":65000})" +
         options + "}" + (nested.empty() ? "" : ",\"aggs\":" + nested) + "}}}";
}

const std::string kEmptyHistogram = search_answer("", R"({"h":{"buckets":[]}})");

std::vector<Page> template_pages() {
  const auto page = [](std::string name, std::function<std::string()> body) {
    return Page{std::move(name), "POST", "/_render/template", std::move(body)};
  };
  const auto list = [](std::size_t items) { return filled("[", "1", "]", 2 * items); };
  return {
      page("template: 50,000 nested sections",
           [] { return template_body(nested_sections(50'000) + "{{/b}}"); }),
      page("template: 10,000 nested sections", [] { return template_body(nested_sections(10'000)); }),
      page("template: blanks", [] { return template_body(std::string(kBodyBytes - 100, ' ')); }),
      page("template: empty tags", [] { return template_body(repeat("{{}}", kBodyBytes / 4 - 100)); }),
      page("template: long value in a list",
           [list] {
             return template_body("{{#l}}{{x}}{{/l}}", "{\"l\":" + list(50'000) + ",\"x\":\"" +
                                                           std::string(kBodyBytes - 200'000, 'x') + "\"}");
           }),
      page("template: long text in a list",
           [list] {
             return template_body("{{#l}}" + std::string(500'000, 'x') + "{{/l}}",
                                  "{\"l\":" + list(50'000) + "}");
           }),
      page("template: long delimiter",
           [] {
             return template_body("{{=" + std::string(300'000, 'a') + "b c=}}" + std::string(300'000, 'a'));
           }),
      page("template: template in a value",
           [] {
             return template_body("{{#toJson}}x{{/toJson}}", "{\"x\":\"" + nested_sections(50'000) + "\"}");
           }),
      page("template: a value that includes itself",
           [] { return template_body("{{>x}}", R"({"x":"{{>x}}{{>x}}"})"); }),
      page("template: blanks in a list",
           [list] {
             return template_body("{{#l}}" + std::string(90'000, ' ') + "{{/l}}",
                                  "{\"l\":" + list(50'000) + "}");
           }),
      page("template: tags in a list",
           [list] {
             return template_body("{{#l}}" + repeat("{{a}}", 90) + "{{/l}}", "{\"l\":" + list(50'000) + "}");
           }),
      page("template: short section in a list",
           [list] { return template_body("{{#l}}{{#l}}{{/l}}{{/l}}", "{\"l\":" + list(50'000) + "}"); }),
      page("template: deep parameters",
           [] {
             std::string deep = filled("[", "1", "]", kBodyBytes / 5 - 10'000);
             for (int i = 0; i < 95; ++i) deep = "[" + deep + "]";
             return template_body("{}", "{\"x\":" + deep + "}");
           }),
      page("template: dotted names in nested sections", dotted_names_body),
      page("template: long names of deep parameters",
           [] {
             std::string deep = "{" + members(std::string(9'000, 'n'), "1", 100) + "}";
             for (int i = 0; i < 95; ++i) deep = "[" + deep + "]";
             return template_body("{}", "{\"x\":" + deep + "}");
           }),
  };
}

std::vector<Page> aggregation_pages() {
  const auto page = [](std::string name, std::function<std::string()> body, std::string answer) {
    return Page{std::move(name), "POST", "/equipment/_search", std::move(body), std::move(answer)};
  };
  const std::string metric = R"({"extended_stats":{"field":"a"}})";
  return {
      page(
          "aggregation: gaps", [] { return histogram_body("", ""); }, kEmptyHistogram),
      page(
          "aggregation: gaps with a long format",
          [] { return histogram_body(",\"format\":\"" + std::string(20'000, '-') + "\"", ""); },
          kEmptyHistogram),
      page(
          "aggregation: gaps with 190 metrics", [] { return histogram_body("", metrics(190)); },
          kEmptyHistogram),
      page(
          "aggregation: gaps with a long name",
          [metric] {
            return histogram_body("", "{\"" + std::string(kBodyBytes / 2, 'n') + "\":" + metric + "}");
          },
          kEmptyHistogram),
      page(
          "aggregation: gaps in gaps",
          [] {
            const std::string inner = histogram_body("", "");
            return histogram_body(
                "", inner.substr(inner.find("{\"h\""), inner.size() - inner.find("{\"h\"") - 1));
          },
          kEmptyHistogram),
      page(
          "aggregation: ranges with 190 metrics",
          [] {
            return filled("{\"size\":0,\"aggs\":{\"g\":{\"global\":{},\"aggs\":{\"r\":{\"aggs\":" +
                              metrics(190) + ",\"range\":{\"field\":\"a\",\"ranges\":[",
                          "{\"from\":1}", "]}}}}}}", kBodyBytes / 2);
          },
          search_answer("", R"({"g":{"doc_count":0}})")),
      page(
          "aggregation: filters with a long name",
          [] {
            return filled("{\"size\":0,\"aggs\":{\"" + std::string(kBodyBytes / 2, 'f') +
                              "\":{\"filters\":{\"filters\":[",
                          "{\"match_all\":{}}", "]}}}}", kBodyBytes);
          },
          search_answer("")),
      page(
          "aggregation: orders",
          [] {
            return filled(
                R"({"size":0,"aggs":{"t":{"aggs":)" + metrics(190) + R"(,"terms":{"field":"a","order":[)",
                R"({"m189.sum":"asc"})", "]}}}}", kBodyBytes);
          },
          search_answer("", R"({"t":{"buckets":[{"key":"a","doc_count":1},{"key":"b","doc_count":1}]}})")),
      page(
          "aggregation: gaps, 31 orders of 190 metrics",
          [] {
            return histogram_body(filled(",\"order\":[", R"({"m189.sum":"asc"})", "]", 600), metrics(190));
          },
          kEmptyHistogram),
      page(
          "aggregation: gaps, 31 orders of one metric",
          [] { return histogram_body(filled(",\"order\":[", R"({"m0.sum":"asc"})", "]", 550), metrics(1)); },
          kEmptyHistogram),
      page(
          "aggregation: gaps, 14 orders of one metric",
          [] { return histogram_body(filled(",\"order\":[", R"({"m0.sum":"asc"})", "]", 250), metrics(1)); },
          kEmptyHistogram),
      page(
          "aggregation: terms with 190 metrics, short buckets",
          [] {
            return R"({"size":0,"aggs":{"t":{"terms":{"field":"a","size":10000},"aggs":)" + metrics(190) +
                   "}}}";
          },
          [] {
            std::string buckets;
            for (int i = 0; buckets.size() < kFrameBytes - 200; ++i)
              buckets += (i ? ",{\"key\":" : "{\"key\":") + std::to_string(i) + R"(,"doc_count":1,"m0":{}})";
            return search_answer("", "{\"t\":{\"buckets\":[" + buckets + "]}}");
          }()),
      page(
          "aggregation: 199 in one search", [] { return "{\"size\":0,\"aggs\":" + metrics(199) + "}"; },
          [] {
            return search_answer("", "{\"x\":\"" + std::string(kFrameBytes - 10'000, 'x') + "\"," +
                                         members("m", "{}", 199) + "}");
          }()),
  };
}

std::vector<Page> search_pages() {
  const std::string numbers = filled("", "0", "", kFrameBytes - 500);
  const std::string wide_hit = R"({"_id":"a","_score":1,"_source":{)" + [] {
    std::string all;
    for (int i = 0; all.size() < kFrameBytes - 500; ++i)
      all += (i ? ",\"" : "\"") + std::to_string(i) + "\":0";
    return all;
  }() + "}}";
  const std::string many_hits = [] {
    std::string all;
    for (int i = 0; all.size() < kFrameBytes - 500; ++i)
      all += (i ? ",{\"_id\":\"" : "{\"_id\":\"") + std::to_string(i) + "\",\"_score\":1}";
    return all;
  }();
  const std::string stars = repeat("**.", 28) + "x";
  return {
      {"search: terms", "POST", "/equipment/_search",
       [] { return filled(R"({"query":{"terms":{"a":[)", "7", "]}}}", kBodyBytes / 8); }},
      {"search: clauses", "POST", "/equipment/_search",
       [] { return filled(R"({"query":{"bool":{"must":[)", R"({"match_all":{}})", "]}}}", 17'000); }},
      {"search: values", "POST", "/equipment/_search",
       [] { return filled(R"({"script_fields":{"a":[)", "[]", "]}}", 290'000); }},
      {"search: sort keys", "POST", "/equipment/_search",
       [] { return filled(R"({"sort":[)", "\"a\"", "]}", 390'000); }},
      {"search: ?pretty, an answer of numbers", "POST", "/equipment/_search?pretty",
       [] { return std::string("{}"); },
       search_answer(R"({"_id":"a","_score":1,"_source":{"n":[)" + numbers + "]}}")},
      {"search: ?filter_path with many **", "POST",
       "/equipment/_search?filter_path=" + filled("", stars, "", 64 * (stars.size() + 1)),
       [] { return std::string("{}"); }, search_answer(wide_hit)},
      {"search: ?filter_path with a long pattern", "POST",
       "/equipment/_search?filter_path=**.*" + std::string(kTargetBytes, 'a') + "b",
       [] { return std::string("{}"); },
       search_answer(R"({"_id":"a","_score":1,"_source":{")" + std::string(kFrameBytes - 500, 'a') +
                     "\":1}}")},
      {"search: 10,000 hits, two steps", "POST", "/report/_search",
       [] { return std::string(R"({"size":10000})"); }, search_answer(many_hits)},
      {"search: parameters", "GET", "/equipment/_search?" + repeat("a&", kTargetBytes / 2),
       [] { return std::string(); }},
      {"search: index expression", "GET", "/" + filled("", "e*", "", kTargetBytes) + "/_search",
       [] { return std::string(); }},
      {"search: pattern", "GET", "/" + repeat("*e", kTargetBytes / 2) + "/_search",
       [] { return std::string(); }},
      {"search: date name", "GET", "/%3Ca-%7Bnow" + repeat("+1d", kTargetBytes / 3 - 20) + "%7D%3E/_search",
       [] { return std::string(); }},
      {"count: terms", "POST", "/equipment/_count",
       [] { return filled(R"({"query":{"terms":{"a":[)", "7", "]}}}", kBodyBytes / 8); }},
      {"validate: clauses", "POST", "/equipment/_validate/query",
       [] { return filled(R"({"query":{"bool":{"must":[)", R"({"match_all":{}})", "]}}}", kBodyBytes); }},
      {"search template: nested sections", "POST", "/equipment/_search/template",
       [] { return template_body(nested_sections(50'000)); }},
      {"multi-search: empty lines",
       "POST",
       "/_msearch",
       [] { return std::string(kBodyBytes, '\n'); },
       {},
       "application/x-ndjson"},
      {"multi-search: 200, long query string",
       "POST",
       "/equipment/_msearch?" + repeat("typed_keys=true&", kTargetBytes / 16),
       [] { return repeat("{}\n{}\n", 200); },
       {},
       "application/x-ndjson"},
      {"multi-search template: 200 nested",
       "POST",
       "/equipment/_msearch/template",
       [] { return repeat("{}\n{\"source\":\"" + nested_sections(400) + "\"}\n", 200); },
       {},
       "application/x-ndjson"},
      {"scroll: ids", "DELETE", "/_search/scroll",
       [] { return filled("{\"scroll_id\":\"", "a", "\"}", kBodyBytes); }},
      {"point in time: ids", "DELETE", "/_search/point_in_time",
       [] { return filled("{\"pit_id\":\"", "a", "\"}", kBodyBytes); }},
      {"open scroll", "POST", "/equipment/_search?scroll=1m",
       [] { return filled(R"({"query":{"terms":{"a":[)", "7", "]}}}", 20'000); }, search_answer("")},
      {"open point in time", "POST", "/equipment/_search/point_in_time?keep_alive=1m",
       [] { return std::string(); }},
  };
}

std::vector<Page> document_pages() {
  return {
      {"document", "PUT", "/written/_doc/a", [] { return filled("{\"a\":[", "1", "]}", 190'000); }},
      {"document: deep", "PUT", "/written/_doc/a",
       [] { return "{\"a\":" + repeat("[", 98) + "\n" + repeat("]", 98) + "}"; }},
      {"read a document", "GET",
       "/equipment/_doc/" + std::string(500, 'a') + "?_source=" + filled("", "a", "", kTargetBytes),
       [] { return std::string(); }},
      {"multi-get: 1,000, long source filter", "POST",
       "/equipment/_mget?_source=" + filled("", "a", "", kTargetBytes),
       [] { return filled("{\"ids\":[", "\"a\"", "]}", 4'000); }},
      {"bulk: 10,000 items",
       "POST",
       "/written/_bulk",
       [] { return repeat("{\"index\":{\"_id\":\"a\"}}\n{}\n", 10'000); },
       {},
       "application/x-ndjson"},
      {"bulk: empty lines",
       "POST",
       "/written/_bulk",
       [] { return std::string(16'000'000, '\n'); },
       {},
       "application/x-ndjson"},
      {"bulk: options",
       "POST",
       "/written/_bulk",
       [] { return filled("{\"index\":{", "\"x\":1", "}}\n{}\n", kBodyBytes / 2); },
       {},
       "application/x-ndjson"},
  };
}

std::vector<Page> cluster_pages() {
  const auto get = [](std::string target) {
    return Page{target.substr(0, 48), "GET", std::move(target), [] { return std::string(); }};
  };
  std::vector<Page> pages = {
      get("/_cat/shards?s=" + filled("", "ip", "", kTargetBytes)),
      get("/_cat/shards?format=json&h=" + filled("", "ip", "", kTargetBytes)),
      get("/_cat/shards?h=" + filled("", "*", "", kTargetBytes)),
      get("/_cat/aliases/" + filled("", "a*", "", kTargetBytes)),
      get("/_cat/tasks"),
      get("/_cat/health"),
      get("/_cat/indices"),
      get("/_cat/nodes"),
      get("/_cat/count/equipment"),
      get("/_alias/" + filled("", "a*", "", kTargetBytes)),
      get("/_resolve/index/" + filled("", "e*", "", kTargetBytes)),
      get("/_search_shards?routing=" + filled("", "a", "", kTargetBytes)),
      get("/_mapping"),
      get("/_settings"),
      get("/_cluster/health"),
      get("/_nodes"),
      get("/_tasks?actions=" + filled("", "a*", "", kTargetBytes)),
      get("/?filter_path=" + filled("", repeat("**.", 31) + "x", "", kTargetBytes / 2)),
  };
  pages.push_back({"/_field_caps", "POST", "/_field_caps",
                   [] { return filled("{\"fields\":\"", "a", "\"}", kBodyBytes); }});
  return pages;
}

std::vector<Page> platform_pages() {
  return {
      {"platform: 64 KB of members", "POST", "platform:/equipment-search",
       [] {
         return filled("{\"slices\":[{\"slice\":0,\"mass\":1,", "\"a\":1", "}],\"filter\":\"x\"}", 64'000);
       }},
      {"platform: 64 KB of brackets", "POST", "platform:/equipment-search",
       [] { return filled("{\"slices\":[", "[]", "]}", 64'000); }},
  };
}

std::string request_bytes(const Page& page, std::string_view target) {
  const std::string body = page.body();
  return page.method + " " + std::string(target) +
         " HTTP/1.1\r\nConnection: close\r\nContent-Type: " + page.content +
         "\r\nX-Call-Class: equipment-search\r\nX-Call-Id: a\r\nX-Budget-Ms: 1000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A member of /proc/PID/status in kB; 0 if the process has ended.
std::size_t process_kb(pid_t process, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name + ":")) return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10);
  return 0;
}

std::string counter(const std::string& address, const std::string& name) {
  const std::string text = counters_page(address);
  const std::size_t at = text.find("\n" + name + " ");
  return at == std::string::npos
             ? "0"
             : text.substr(at + name.size() + 2, text.find('\n', at + 1) - at - name.size() - 2);
}

void measure(const Page& page, const char* program_path, const std::string& front) {
  ClusterOptions options;
  TestCluster cluster(options);
  const std::string answer =
      page.answer.empty() ? search_answer(R"({"_id":"a","_score":1,"_source":{"a":1}})") : page.answer;
  for (auto& node : cluster.nodes)
    node->on_part = [&answer](const ReceivedPart&) {
      NodeReply reply;
      reply.value = answer;
      return reply;
    };
  Program program(cluster, cluster.config_text(), "127.0.0.1:0", {"--front", front}, {}, -1, program_path);
  const std::string platform = program.address(), search = program.address();
  const RunningCluster running_cluster(cluster, kServeTimeout);
  std::this_thread::sleep_for(200ms);
  constexpr std::string_view kPlatform = "platform:";
  const bool on_platform = page.target.starts_with(kPlatform);
  const std::string bytes =
      request_bytes(page, std::string_view(page.target).substr(on_platform ? kPlatform.size() : 0));
  std::string status = "none";
  {
    Client client(on_platform ? platform : search, kAnswerTimeout);
    client.send(bytes);
    const std::string text = client.read_to_end();
    if (text.size() > 12) status = text.substr(9, 3);
  }
  const bool running = program.running();
  const std::string longest_us = running ? counter(platform, "loop.longest_turn_us") : "0";
  const double peak_mb = running ? static_cast<double>(process_kb(program.id(), "VmHWM")) / 1024 : 0;
  if (running)
    std::printf("| %s | %zu | %s | %.1f | %.0f |\n", page.name.c_str(), bytes.size() / 1000, status.c_str(),
                std::strtod(longest_us.c_str(), nullptr) / 1000, peak_mb);
  else
    std::printf("| %s | %zu | %s | program ended | program ended |\n", page.name.c_str(), bytes.size() / 1000,
                status.c_str());
  std::fflush(stdout);
}

}  // namespace
}  // namespace kelpdeal::test

int main(int argc, char** argv) {
  using namespace kelpdeal::test;
  const char* program = argc > 1 ? argv[1] : KELPDEAL_PROGRAM;
  const std::string only = argc > 2 ? argv[2] : "";
  const std::string front = testing::TempDir() + "kelpdeal-pages-" + std::to_string(::getpid()) + ".json";
  std::ofstream(front) << R"({"listen":"127.0.0.1:0","indices":{"equipment":{"class":"equipment-search"},)"
                          R"("report":{"class":"area-report"},)"
                          R"("written":{"class":"equipment-search","write_class":"inspection-log"}}})";
  std::printf(
      "| page | kB sent | status | longest turn, ms | peak memory, MB |\n| --- | --- | --- | --- | --- |\n");
  for (const auto& pages : {template_pages(), aggregation_pages(), search_pages(), document_pages(),
                            cluster_pages(), platform_pages()})
    for (const Page& page : pages)
      if (page.name.find(only) != std::string::npos) measure(page, program, front);
  std::remove(front.c_str());
  return 0;
}
