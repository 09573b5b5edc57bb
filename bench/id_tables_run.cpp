// SPDX-License-Identifier: MIT
// Measures the memory of the tables of query ids and part ids at their bounds, and the time of one use.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <list>

#include "kelpdeal/limits.h"
#include "kelpdeal/part_ids.h"
#include "kelpdeal/query_ids.h"

namespace {

using namespace kelpdeal;

constexpr std::size_t kUses = 1'000'000;

std::string hex_id(std::size_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016zx", number);
  return text;
}

std::size_t bytes_in_use() { return ::mallinfo2().uordblks; }

double nanoseconds_each(std::size_t uses, const std::function<void(std::size_t)>& use) {
  const TimePoint start = Clock::now();
  for (std::size_t i = 0; i < uses; ++i) use(i);
  return std::chrono::duration<double, std::nano>(Clock::now() - start).count() / static_cast<double>(uses);
}

void measure_query_ids(const Limits& limits) {
  Metrics metrics(std::chrono::seconds(1));
  const std::size_t before = bytes_in_use();
  QueryIds ids(limits.max_ended_query_ids, metrics);
  const TimePoint now = Clock::now(), expires = now + std::chrono::hours(1);
  std::list<QueryIds::Claim> open;
  std::size_t number = 0;
  while (open.size() < limits.max_client_connections)
    if (auto claim = ids.claim(hex_id(++number), expires, now)) open.push_back(std::move(*claim));
  const double use_ns =
      nanoseconds_each(kUses, [&](std::size_t) { ids.claim(hex_id(++number), expires, now); });
  std::printf("| query ids, %zu open and %zu ended | %.0f | %.0f |\n", ids.open_count(), ids.ended_count(),
              static_cast<double>(bytes_in_use() - before) / 1024, use_ns);
}

void measure_part_ids(const Limits& limits) {
  const std::size_t max_past = limits.past_parts_factor * limits.parts_per_connection;
  const std::size_t before = bytes_in_use();
  PartIds ids(max_past);
  std::size_t number = 0;
  const auto write_part = [&] {
    const std::string id = hex_id(++number) + ".17";
    ids.queue(id, number);
    ids.written(id);
    return id;
  };
  while (!ids.full()) ids.give_up(write_part());
  const double use_ns = nanoseconds_each(kUses, [&](std::size_t) { ids.answered(write_part()); });
  for (std::size_t i = 0; i < limits.parts_per_connection; ++i) write_part();
  std::printf("| part ids of one connection, %zu | %.0f | %.0f |\n", ids.size(),
              static_cast<double>(bytes_in_use() - before) / 1024, use_ns);
}

}  // namespace

int main() {
  const Limits limits;
  std::printf("| table at its bound | KB | ns for one id |\n| --- | --- | --- |\n");
  measure_query_ids(limits);
  measure_part_ids(limits);
  return 0;
}
