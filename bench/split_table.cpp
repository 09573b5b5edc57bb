// SPDX-License-Identifier: MIT
// The share of worth kept by ways to split a query's time between its phases, on drawn days: a model of the
// durations alone, with no nodes, queues or choices of replica. Prints a table; the days are drawn from
// seeds.
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

constexpr std::size_t kParts = 12, kSecond = 3;
constexpr double kFloor = 0.8, kAim = 500, kLag = 5;

struct Day {
  const char* name;
  double first, second, frozen;  // medians in ms; share of parts that stand still for 120 to 500 ms
};

struct Query {
  std::vector<double> first, second;
};

// When the first phase ends, in ms, given its arrivals in order.
using Way = std::function<double(const std::vector<double>&)>;

double worth_of(const Query& query, double end) {
  const AnswerValues worth;
  const auto in = std::count_if(query.first.begin(), query.first.end(), [&](double t) { return t <= end; });
  if (static_cast<double>(in) < kFloor * kParts - 1e-9) return 0;
  const bool whole = in == kParts;
  const double slowest = *std::max_element(query.second.begin(), query.second.end());
  if (end + slowest > kAim - kLag) return worth.first_only;  // the first's answer goes out
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
    double sum[4] = {}, low[4] = {9, 9, 9, 9}, high[4] = {}, least_gain = 9;
    for (unsigned seed = 1; seed <= 10; ++seed) {
      std::mt19937 random(seed);
      std::normal_distribution<> unit;
      std::uniform_real_distribution<> uniform;
      const auto draw = [&](double median) {
        const double t = median * std::exp(0.35 * unit(random));
        return uniform(random) < day.frozen ? t + 120 + 380 * uniform(random) : t;
      };
      PhaseTimeSplitter splitter;
      double kept[4] = {};
      const int queries = 2000;
      for (int n = 0; n < queries; ++n) {
        Query query;
        for (std::size_t i = 0; i < kParts; ++i) query.first.push_back(draw(day.first));
        for (std::size_t i = 0; i < kSecond; ++i) query.second.push_back(draw(day.second));
        std::vector<double> arrivals = query.first;
        std::sort(arrivals.begin(), arrivals.end());
        const double all_in = arrivals.back();
        const double least = arrivals[static_cast<std::size_t>(std::ceil(kFloor * kParts)) - 1];
        const Way by[] = {
            [&](const auto&) { return std::min(all_in, std::max(least, kAim / 2)); },
            [&](const auto&) { return std::min(all_in, kAim - kLag); },
            [&](const auto&) {
              SplitInput split;
              split.first_parts = kParts;
              split.second_parts = kSecond;
              split.min_share = kFloor;
              split.remaining_ms = kAim - kLag;
              for (const double t : arrivals) {
                const double until = splitter.first_phase_end_ms("report", split);
                if (until < t) return until;
                split.elapsed_ms = t;
                split.arrivals_ms.push_back(t);
              }
              return all_in;
            },
        };
        for (int w = 0; w < 3; ++w) kept[w] += worth_of(query, by[w](arrivals)) / queries;
        double best = 0;
        for (const double t : arrivals) best = std::max(best, worth_of(query, t));
        kept[3] += best / queries;
        for (const double t : query.first) splitter.observe("report", 1, to_duration(FractionalMs(t)));
        for (const double t : query.second) splitter.observe("report", 2, to_duration(FractionalMs(t)));
      }
      for (int w = 0; w < 4; ++w) {
        sum[w] += kept[w] / 10;
        low[w] = std::min(low[w], kept[w]);
        high[w] = std::max(high[w], kept[w]);
      }
      least_gain = std::min(least_gain, kept[2] - kept[0]);
    }
    std::printf("| %s |", day.name);
    for (int w = 0; w < 4; ++w) std::printf(" %.3f (%.3f to %.3f) |", sum[w], low[w], high[w]);
    std::printf(" %+.3f |\n", least_gain);
  }
  return 0;
}
