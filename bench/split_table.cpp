// SPDX-License-Identifier: MIT
// Compares strategies for splitting a query's time between its two phases, by the share of the maximum value
// they achieve on simulated days. Models durations only, without nodes, queues or choice of replicas. Prints
// a table; the days are generated from fixed seeds.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <random>
#include <vector>

#include "kelpdeal/phases/split.h"

using namespace kelpdeal;
using namespace kelpdeal::phases;

namespace {

constexpr std::size_t kFirstPhaseParts = 12, kSecondPhaseParts = 3;
constexpr double kRequiredShare = 0.8, kTargetMs = 500, kMarginMs = 5;

struct Day {
  const char* name;
  double first, second, stall_share;  // medians in ms; share of parts that stall for 120 to 500 ms
};

struct Query {
  std::vector<double> first, second;
};

// Returns when the first phase ends, in ms, given its sorted arrival times.
using Strategy = std::function<double(const std::vector<double>&)>;

double value_of(const Query& query, double end) {
  const AnswerValues worth;
  const auto arrived =
      std::count_if(query.first.begin(), query.first.end(), [&](double t) { return t <= end; });
  if (static_cast<double>(arrived) < kRequiredShare * kFirstPhaseParts - 1e-9) return 0;
  const bool whole = arrived == kFirstPhaseParts;
  const double slowest = *std::max_element(query.second.begin(), query.second.end());
  if (end + slowest > kTargetMs - kMarginMs)
    return worth.first_only;  // the answer of the first phase is sent
  return whole ? worth.whole : worth.partial;
}

}  // namespace

int main() {
  const Day days[] = {{"calm", 60, 50, 0},
                      {"freezing", 60, 50, 0.06},
                      {"freezing more", 60, 50, 0.12},
                      {"all slow", 150, 120, 0}};
  std::printf(
      "| day | half | all to the first | ours | best, known afterwards | ours - half, least of 10 seeds |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const Day& day : days) {
    double sum[4] = {}, lowest[4] = {9, 9, 9, 9}, highest[4] = {}, lowest_gain = 9;
    for (unsigned seed = 1; seed <= 10; ++seed) {
      std::mt19937 random(seed);
      std::normal_distribution<> unit;
      std::uniform_real_distribution<> uniform;
      const auto draw = [&](double median) {
        const double t = median * std::exp(0.35 * unit(random));
        return uniform(random) < day.stall_share ? t + 120 + 380 * uniform(random) : t;
      };
      PhaseTimeSplitter splitter;
      double value[4] = {};
      const int queries = 2000;
      for (int n = 0; n < queries; ++n) {
        Query query;
        for (std::size_t i = 0; i < kFirstPhaseParts; ++i) query.first.push_back(draw(day.first));
        for (std::size_t i = 0; i < kSecondPhaseParts; ++i) query.second.push_back(draw(day.second));
        std::vector<double> arrivals = query.first;
        std::sort(arrivals.begin(), arrivals.end());
        const double last_arrival = arrivals.back();
        const double earliest_allowed =
            arrivals[static_cast<std::size_t>(std::ceil(kRequiredShare * kFirstPhaseParts)) - 1];
        const Strategy strategies[] = {
            [&](const auto&) { return std::min(last_arrival, std::max(earliest_allowed, kTargetMs / 2)); },
            [&](const auto&) { return std::min(last_arrival, kTargetMs - kMarginMs); },
            [&](const auto&) {
              SplitInput split;
              split.first_parts = kFirstPhaseParts;
              split.second_parts = kSecondPhaseParts;
              split.min_share = kRequiredShare;
              split.remaining_ms = kTargetMs - kMarginMs;
              for (const double t : arrivals) {
                const double until = splitter.first_phase_end_ms("report", split);
                if (until < t) return until;
                split.elapsed_ms = t;
                split.arrivals_ms.push_back(t);
              }
              return last_arrival;
            },
        };
        for (int strategy = 0; strategy < 3; ++strategy)
          value[strategy] += value_of(query, strategies[strategy](arrivals)) / queries;
        double best = 0;
        for (const double t : arrivals) best = std::max(best, value_of(query, t));
        value[3] += best / queries;
        for (const double t : query.first) splitter.observe("report", 1, to_duration(FractionalMs(t)));
        for (const double t : query.second) splitter.observe("report", 2, to_duration(FractionalMs(t)));
      }
      for (int strategy = 0; strategy < 4; ++strategy) {
        sum[strategy] += value[strategy] / 10;
        lowest[strategy] = std::min(lowest[strategy], value[strategy]);
        highest[strategy] = std::max(highest[strategy], value[strategy]);
      }
      lowest_gain = std::min(lowest_gain, value[2] - value[0]);
    }
    std::printf("| %s |", day.name);
    for (int strategy = 0; strategy < 4; ++strategy)
      std::printf(" %.3f (%.3f to %.3f) |", sum[strategy], lowest[strategy], highest[strategy]);
    std::printf(" %+.3f |\n", lowest_gain);
  }
  return 0;
}
