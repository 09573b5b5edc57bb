// SPDX-License-Identifier: MIT
// Measures the time and memory of merging slice responses, by size. HitsAsValues is the comparison: all hits
// of all slices parsed, sorted, then truncated.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>

#include "kelpdeal/search/reduce.h"

namespace {

using namespace kelpdeal;

std::uint64_t next_random(std::uint64_t& state) {
  state = state * 6364136223846793005u + 1442695040888963407u;
  return state >> 33;
}

// A slice's response with `count` hits, best first.
std::string hits_response(int slice, int count, std::uint64_t& state) {
  std::vector<std::uint64_t> scores;
  for (int i = 0; i < count; ++i) scores.push_back(next_random(state) % 1'000'000);
  std::sort(scores.rbegin(), scores.rend());
  std::string out = R"({"took":1,"timed_out":false,"hits":{"total":{"value":)" + std::to_string(count) +
                    R"(,"relation":"eq"},"max_score":1000000,"hits":[)";
  for (int i = 0; i < count; ++i)
    out += std::string(i ? "," : "") + R"({"_index":"lifts","_id":"d)" + std::to_string(slice) + "-" +
           std::to_string(i) + R"(","_score":)" + std::to_string(scores[static_cast<std::size_t>(i)]) +
           R"(,"_source":{"register":"R-)" + std::to_string(i) +
           R"(","site":"derby","note":"checked and found in order","faults":3}})";
  return out + "]}}";
}

std::string terms_response(int buckets, std::uint64_t& state) {
  std::string out =
      R"({"hits":{"total":{"value":1,"relation":"eq"},"max_score":null,"hits":[]},"aggregations":{"t":{"doc_count_error_upper_bound":0,"sum_other_doc_count":0,"buckets":[)";
  for (int i = 0; i < buckets; ++i)
    out += std::string(i ? "," : "") + R"({"key":"register-)" + std::to_string(i) + R"(","doc_count":)" +
           std::to_string(1 + next_random(state) % 1000) + "}";
  return out + "]}}}";
}

std::vector<std::string> slice_responses(int count, int hits) {
  std::uint64_t state = 7;
  std::vector<std::string> out;
  for (int i = 0; i < count; ++i) out.push_back(hits_response(i, hits, state));
  return out;
}

search::SearchRequest make_request(const json::Value& body) {
  search::Parameters none;
  return search::parse_search(body, none, {});
}

std::size_t heap_bytes_in_use() { return mallinfo2().uordblks; }

void run(benchmark::State& state, const search::SearchRequest& request,
         const std::vector<std::string>& values) {
  std::size_t bytes = 0, held = 0;
  for (const std::string& value : values) bytes += value.size();
  for (auto _ : state) {
    const std::size_t before = heap_bytes_in_use();
    search::Reducer reducer(request, {}, [](int) { return std::string("lifts"); });
    for (std::size_t i = 0; i < values.size(); ++i) {
      benchmark::DoNotOptimize(reducer.usable(1, static_cast<int>(i), values[i]));
      state.PauseTiming();
      std::string value = values[i];  // values are moved in; the copy does not belong to the measurement
      state.ResumeTiming();
      reducer.take(1, static_cast<int>(i), 0, std::move(value));
    }
    held = heap_bytes_in_use() - std::min(before, heap_bytes_in_use());
    benchmark::DoNotOptimize(json::write(json::Value(reducer.page(true).hits)));
  }
  state.counters["held_kB"] = static_cast<double>(held) / 1024;
  state.counters["read_kB"] = static_cast<double>(bytes) / 1024;
}

void Hits(benchmark::State& state) {
  const auto request = make_request(json::Object{{"size", static_cast<int>(state.range(1))}});
  run(state, request, slice_responses(static_cast<int>(state.range(0)), static_cast<int>(state.range(1))));
}
BENCHMARK(Hits)
    ->Args({4, 10})
    ->Args({20, 1000})
    ->Args({100, 10})
    ->Args({100, 100})
    ->Args({100, 1000})
    ->Unit(benchmark::kMicrosecond);

void HitsAsValues(benchmark::State& state) {
  const std::vector<std::string> values =
      slice_responses(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  std::size_t held = 0;
  for (auto _ : state) {
    const std::size_t before = heap_bytes_in_use();
    std::vector<std::pair<double, json::Value>> hits;
    for (const std::string& value : values) {
      std::string error;
      const auto read = json::parse(value, error, {64, 10'000'000});
      for (const json::Value& hit : *read->at("hits.hits")->array())
        hits.emplace_back(hit.number_or("_score", 0), hit);
    }
    held = heap_bytes_in_use() - std::min(before, heap_bytes_in_use());
    std::stable_sort(hits.begin(), hits.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    json::Array shown;
    for (std::size_t i = 0; i < static_cast<std::size_t>(state.range(1)); ++i)
      shown.push_back(std::move(hits[i].second));
    benchmark::DoNotOptimize(json::write(json::Value(std::move(shown))));
  }
  state.counters["held_kB"] = static_cast<double>(held) / 1024;
}
BENCHMARK(HitsAsValues)->Args({4, 10})->Args({100, 1000})->Unit(benchmark::kMicrosecond);

void Terms(benchmark::State& state) {
  const auto request = make_request(json::Object{
      {"size", 0},
      {"aggs",
       json::Object{
           {"t", json::Object{{"terms", json::Object{{"field", "register"},
                                                     {"size", static_cast<int>(state.range(1))}}}}}}}});
  std::uint64_t random = 7;
  std::vector<std::string> values;
  for (int i = 0; i < state.range(0); ++i)
    values.push_back(terms_response(static_cast<int>(state.range(1)), random));
  std::size_t rendered = 0;
  for (auto _ : state) {
    search::Reducer reducer(request, {}, [](int) { return std::string("lifts"); });
    for (std::size_t i = 0; i < values.size(); ++i) {
      benchmark::DoNotOptimize(reducer.usable(1, static_cast<int>(i), values[i]));
      state.PauseTiming();
      std::string value = values[i];
      state.ResumeTiming();
      reducer.take(1, static_cast<int>(i), 0, std::move(value));
    }
    rendered = json::write(json::Value(*reducer.page(true).aggregations)).size();
  }
  state.counters["answer_kB"] = static_cast<double>(rendered) / 1024;
}
BENCHMARK(Terms)->Args({20, 100})->Args({20, 10'000})->Unit(benchmark::kMicrosecond);

void ReadSearch(benchmark::State& state) {
  std::string error;
  const std::string text =
      R"({"query":{"bool":{"must":[{"term":{"site":"derby"}}],"filter":[{"range":{"faults":{"gte":2}}}]}},"sort":[{"installed":"desc"},"register"],"size":20,"aggs":{"s":{"terms":{"field":"site"},"aggs":{"m":{"avg":{"field":"faults"}}}}}})";
  for (auto _ : state) {
    const auto body = json::parse(text, error);
    const search::SearchRequest request = make_request(*body);
    benchmark::DoNotOptimize(search::slice_request_text(request, {}));
  }
}
BENCHMARK(ReadSearch)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
