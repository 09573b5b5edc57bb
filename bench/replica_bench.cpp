// SPDX-License-Identifier: MIT
// Measures operations on the replicated fleet state (joins, changes, deltas, digests, ranges) and their size
// on the wire.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "kelpdeal/peers/codec.h"
#include "kelpdeal/replica/budget.h"
#include "kelpdeal/replica/replicated_map.h"

namespace {
std::atomic<std::uint64_t> allocation_count = 0;
}
[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocation_count;
  if (void* const memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace {

using namespace kelpdeal;
using namespace kelpdeal::replica;

Key key_of(std::int64_t i) { return {kind_of(Operation{}), "inspection-log/key-" + std::to_string(i)}; }

Operation operation_of(std::int64_t i, std::uint32_t attempts) {
  Operation operation;
  operation.state = Operation::State::may_have_run;
  operation.first_ms = 1'800'000'000'000 + i;
  operation.until_ms = operation.first_ms + 600'000;
  operation.attempts["m1"] = attempts;
  return operation;
}

ReplicatedMap filled_copy(std::int64_t entries) {
  ReplicatedMap copy({});
  for (std::int64_t i = 0; i < entries; ++i) copy.put(key_of(i), operation_of(i, 1));
  return copy;
}

void join_one(benchmark::State& state) {
  ReplicatedMap copy = filled_copy(state.range(0));
  std::int64_t i = 0;
  std::uint32_t attempts = 1;
  for (auto _ : state) {
    if (i % state.range(0) == 0) ++attempts;
    copy.put(key_of(i % state.range(0)), operation_of(i % state.range(0), attempts));
    ++i;
  }
}
void join_nothing_new(benchmark::State& state) {
  ReplicatedMap copy = filled_copy(state.range(0));
  std::int64_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(copy.put(key_of(i % state.range(0)), operation_of(i % state.range(0), 1)));
    ++i;
  }
}
void whole_digest(benchmark::State& state) {
  const ReplicatedMap copy = filled_copy(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(copy.digest());
}
void one_range(benchmark::State& state) {
  const ReplicatedMap copy = filled_copy(state.range(0));
  std::size_t range = 0;
  for (auto _ : state) benchmark::DoNotOptimize(copy.range(range++ % ReplicatedMap::kRanges));
}
void delta_piece(benchmark::State& state) {
  const ReplicatedMap copy = filled_copy(state.range(0));
  std::uint64_t mark = 0, end_mark = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(copy.changes_since(mark, 32 * 1024, end_mark));
    mark = end_mark >= copy.mark() ? 0 : end_mark;
  }
}
void piece_on_the_wire(benchmark::State& state) {
  const ReplicatedMap copy = filled_copy(state.range(0));
  Delta delta;
  delta.items = copy.changes_since(0, 32 * 1024, delta.end_mark);
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string body = peers::encode(delta);
    bytes = body.size();
    Delta read;
    benchmark::DoNotOptimize(peers::decode(body, {}, read));
  }
  state.counters["entries"] = static_cast<double>(delta.items.size());
  state.counters["bytes"] = static_cast<double>(bytes);
}
// The cost of admitting a query where the team's rate is shared: no allocation.
void admit_one(benchmark::State& state) {
  const TimePoint start{std::chrono::hours(1)};
  TeamBudget budget("m1", 1, 1e6, 1e6, 5, {}, start);
  for (int i = 2; i <= 5; ++i) budget.record_heard("m" + std::to_string(i), start);
  TimePoint now = start;
  const std::uint64_t before = allocation_count;
  for (auto _ : state) benchmark::DoNotOptimize(budget.admit(now += std::chrono::microseconds(10)));
  state.counters["allocations"] =
      static_cast<double>(allocation_count - before) / static_cast<double>(state.iterations());
}

BENCHMARK(admit_one);
BENCHMARK(join_one)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(join_nothing_new)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(whole_digest)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(one_range)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(delta_piece)->RangeMultiplier(10)->Range(1'000, 100'000);
BENCHMARK(piece_on_the_wire)->Arg(1'000);

}  // namespace

BENCHMARK_MAIN();
