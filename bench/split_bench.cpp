// SPDX-License-Identifier: MIT
// Measures one decision of the time splitter, by the number of parts, half of which have arrived.
#include <benchmark/benchmark.h>

#include <cmath>

#include "kelpdeal/phases/split.h"

using namespace kelpdeal;
using namespace kelpdeal::phases;

static void split(benchmark::State& state) {
  PhaseTimeSplitter splitter;
  for (int i = 0; i < 1000; ++i)
    for (const int phase : {1, 2}) splitter.observe("report", phase, Milliseconds(20 + i % 80));
  SplitInput query;
  query.first_parts = static_cast<std::size_t>(state.range(0));
  query.second_parts = 3;
  query.min_share = 0.8;
  query.remaining_ms = 495;
  const auto scores = blom_scores(query.first_parts);
  for (std::size_t i = 0; i < query.first_parts / 2; ++i)
    query.arrivals_ms.push_back(60 * std::exp(0.4 * scores[i]));
  query.elapsed_ms = query.arrivals_ms.back();
  for (auto _ : state) benchmark::DoNotOptimize(splitter.first_phase_end_ms("report", query));
  state.SetComplexityN(state.range(0));
}
BENCHMARK(split)->RangeMultiplier(4)->Range(4, 4096)->Arg(100)->Complexity(benchmark::oN);

BENCHMARK_MAIN();
