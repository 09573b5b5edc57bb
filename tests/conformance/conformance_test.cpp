// SPDX-License-Identifier: MIT
// Runs the cases in cases/*.json (request, expected response) with both kinds of record node and the
// documents of search_fixture.cpp. With KELPDEAL_RECORD=1, the response of a single node is recorded in cases
// without an expected response, and the table in docs/search-api.md is regenerated.
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "search_fixture.h"

namespace kelpdeal::test {
namespace {

using json::Array;
using json::Object;
using json::Value;
namespace fs = std::filesystem;

std::string read_file(const fs::path& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

Array read_cases(const fs::path& path) {
  std::string error;
  auto value = json::parse(read_file(path), error, {128, 10'000'000});
  EXPECT_TRUE(value && value->array()) << path << ": " << error;
  return value && value->array() ? *value->array() : Array{};
}

std::vector<fs::path> case_files() {
  std::vector<fs::path> found;
  for (const auto& entry : fs::directory_iterator(KELPDEAL_CASES)) found.push_back(entry.path());
  std::sort(found.begin(), found.end());
  return found;
}

// The parts of a node's response that are recorded as expected.
Value expectation(const Value& answer, bool whole_hits) {
  Object hits{{"max_score", *answer.at("hits.max_score")}};
  if (const Value* total = answer.at("hits.total")) hits.emplace_back("total", *total);
  Array list;
  for (const Value& hit : *answer.at("hits.hits")->array()) {
    Object kept;
    for (const auto& [name, value] : *hit.object())
      if (name != "_index" && (whole_hits || name == "_id" || name == "sort" || name == "_score"))
        kept.emplace_back(name, value);
    list.emplace_back(std::move(kept));
  }
  hits.emplace_back("hits", std::move(list));
  Object out{{"hits", std::move(hits)}};
  if (const Value* aggregations = answer.find("aggregations"))
    out.emplace_back("aggregations", *aggregations);
  return out;
}

Value single_node_response(const Value& test_case, bool whole_hits) {
  DocumentStore documents;
  add_sample_documents(documents, fixture_contract(Api::platform));
  std::vector<int> slices;
  for (const Value& slice : *test_case.find("slices")->array())
    slices.push_back(static_cast<int>(*slice.number()));
  const Value* body = test_case.find("body");
  return expectation(documents.search(body->is_null() ? "{}" : json::write(*body), slices), whole_hits);
}

// One attempt for each part, so that it has the whole time to the deadline. The nodes share the coordinator's
// thread: when the machine stands still for 0.1 s, earlier time-outs would make suspects of all nodes with an
// attempt out, and searches that need them would be refused. Other tests cover attempts that time out.
ClusterOptions with_one_attempt() {
  ClusterOptions options;
  options.settings.emplace_back(R"("sendCap":4)", R"("sendCap":1)");
  return options;
}

class Conformance : public testing::TestWithParam<std::pair<std::string, Api>> {};

TEST_P(Conformance, CasesOfFileReturnExpectedResponses) {
  SearchFixture fixture(GetParam().second, {}, with_one_attempt());
  const Array cases = read_cases(fs::path(KELPDEAL_CASES) / (GetParam().first + ".json"));
  fixture.world.run(
      [&]() -> Task<void> {
        for (const Value& test_case : cases) {
          const Array& request = *test_case.find("request")->array();
          const std::string method = *request[0].string(), target = *request[1].string();
          std::string body;
          if (request.size() > 2) body = request[2].string() ? *request[2].string() : json::write(request[2]);
          const std::string name = test_case.text_or("feature", "") + ": " + test_case.text_or("name", "");
          const http::Response response = co_await fixture.ask(method.c_str(), target, body);
          EXPECT_EQ(response.status, test_case.number_or("status", 0)) << name << ": " << response.body;
          if (method == "HEAD") {
            EXPECT_TRUE(response.body.empty()) << name;
          }
          std::string where, error;
          const auto answer = json::parse(response.body, error, {128, 10'000'000});
          if (const Value* expected = test_case.find("expect")) {
            EXPECT_TRUE(answer && json_contains(*expected, *answer, where)) << name << where << "\n"
                                                                            << response.body.substr(0, 2000);
          }
          // The recorded responses equal those of one node that holds everything.
          if (const Value* single_node = test_case.find("one")) {
            EXPECT_TRUE(
                answer &&
                json_contains(single_node_response(*single_node, GetParam().first == "hits"), *answer, where))
                << name << where;
          }
          if (method != "HEAD") {
            EXPECT_TRUE(test_case.find("expect")) << name << " has no expected response";
          }
        }
      }(),
      std::chrono::seconds(60));
}

std::vector<std::pair<std::string, Api>> all_cases() {
  std::vector<std::pair<std::string, Api>> found;
  for (const fs::path& path : case_files())
    for (const Api api : {Api::platform, Api::opensearch}) found.emplace_back(path.stem().string(), api);
  return found;
}

INSTANTIATE_TEST_SUITE_P(Files, Conformance, testing::ValuesIn(all_cases()), [](const auto& info) {
  std::string name = info.param.first;
  std::erase(name, '-');
  return name + (info.param.second == Api::platform ? "OverFrames" : "OverTheApi");
});

// The table in docs/search-api.md.
std::string coverage_table() {
  std::ostringstream out;
  out << "| area | what is covered (cases) |\n| --- | --- |\n";
  std::size_t count = 0;
  for (const fs::path& path : case_files()) {
    std::vector<std::pair<std::string, int>> features;
    for (const Value& test_case : read_cases(path)) {
      const std::string feature = test_case.text_or("feature", "");
      const auto it =
          std::find_if(features.begin(), features.end(), [&](const auto& f) { return f.first == feature; });
      if (it == features.end())
        features.emplace_back(feature, 1);
      else
        ++it->second;
      ++count;
    }
    out << "| " << path.stem().string() << " | ";
    for (std::size_t i = 0; i < features.size(); ++i)
      out << (i ? ", " : "") << "`" << features[i].first << "` " << features[i].second;
    out << " |\n";
  }
  out << "\n" << count << " cases, each over both kinds of record node.\n";
  return out.str();
}

TEST(ConformanceCases, CountIsSufficientAndDocsTableIsUpToDate) {
  const fs::path docs = fs::path(KELPDEAL_CASES) / "../../../docs/search-api.md";
  const std::string begin = "<!-- table: made from tests/conformance/cases -->\n",
                    end = "<!-- end of table -->";
  std::string page = read_file(docs);
  const std::size_t from = page.find(begin), to = page.find(end);
  ASSERT_NE(from, std::string::npos);
  ASSERT_NE(to, std::string::npos);
  if (std::getenv("KELPDEAL_RECORD")) {
    for (const fs::path& path : case_files()) {
      Array cases = read_cases(path);
      std::string text = "[\n";
      for (std::size_t i = 0; i < cases.size(); ++i) {
        if (!cases[i].find("expect") && cases[i].find("one"))
          cases[i].object()->emplace_back("expect",
                                          single_node_response(*cases[i].find("one"), path.stem() == "hits"));
        text += (i ? ",\n" : "") + json::write(cases[i]);
      }
      std::ofstream(path) << text << "\n]\n";
    }
    page.replace(from, to - from, begin + coverage_table());
    std::ofstream(docs) << page;
  }
  EXPECT_EQ(page.substr(from, page.find(end) - from), begin + coverage_table());
  std::size_t count = 0;
  for (const fs::path& path : case_files()) count += read_cases(path).size();
  EXPECT_GE(count, 250u);
}

}  // namespace
}  // namespace kelpdeal::test
