// SPDX-License-Identifier: MIT
// How long a first phase waits for what is not in, when a second is to follow in the same aim. No I/O.
//
// Method: of the query at hand, the r of k arrivals so far are taken as the smallest order statistics of k
// log-normal draws; a least-squares line through their logarithms against the expected normal order
// statistics (Blom's scores) gives mean and deviation, as in "Hold 'em or Fold 'em?". They are weighed
// against the smoothed history of the class by r, and tell how fast this query is. How its last parts come is
// the history's to say, stretched so: a log-normal has no place for parts that stand still. Then the end of
// the phase is scanned over what is left: what more parts add to the first, and what the second, with the
// answer's lag on top, loses by each step.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::phases {

// ln of a duration in milliseconds.
struct LogNormal {
  double mean = 0, deviation = 0;
  double cdf(double ms) const;  // the share of parts that take no longer
};

// Smoothed history of one phase of one class: shares of durations in buckets that are evenly spaced in their
// logarithm, so that parts which stand still keep their place behind the others. Older samples fade.
class History {
 public:
  void observe(Duration took);
  bool has_enough_samples() const { return samples_ >= 8; }
  double cdf(double ms) const;
  LogNormal fit_log_normal()
      const;  // by the median, and by half of what lies between the 16th and 84th in a hundred

 private:
  static constexpr std::size_t kBuckets = 120;
  double quantile(double share) const;  // ln ms
  double samples_ = 0, weight_ = 1;
  std::array<double, kBuckets> buckets_{};
  std::array<double, kBuckets + 1> below_{};  // their sums, as decisions read them often
};

// What an answer earns: first and second whole; the second in but the first partial; the first's alone.
struct AnswerValues {
  double whole = 1, partial = 0.9, first_only = 0.8;
};

struct SplitInput {
  std::size_t first_parts = 0;   // of the first phase
  std::size_t second_parts = 0;  // of the second
  double min_share = 0;          // least share of the first that may be answered from
  double remaining_ms = 0;  // from the first's beginning until the answer must be decided, its lag taken off
  double elapsed_ms = 0;    // since the first's beginning
  std::vector<double> arrivals_ms;  // of the first, in order, in milliseconds since its beginning
  AnswerValues values;
};

class PhaseTimeSplitter {
 public:
  explicit PhaseTimeSplitter(std::size_t most_classes = 64) : most_(most_classes) {}

  void observe(const std::string& cls, int phase, Duration took);
  // Milliseconds since the first phase's beginning at which it best ends, with what is known now; not before
  // `now_ms`. Asked again at each arrival. Without history of the second it waits for all that is left.
  double first_phase_end_ms(const std::string& cls, const SplitInput& split);

 private:
  std::size_t most_;
  std::map<std::pair<std::string, int>, History> known_;
  std::map<std::size_t, std::vector<double>> scores_;  // by number of parts
};

// The fit of a query's early arrivals, weighed against its class's history.
LogNormal fit_early_arrivals(const std::vector<double>& arrivals_ms, const std::vector<double>& scores,
                             const History* history);
// Blom's expected normal order statistics of so many draws, the least first.
std::vector<double> blom_scores(std::size_t draws);

}  // namespace kelpdeal::phases
