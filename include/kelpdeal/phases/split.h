// SPDX-License-Identifier: MIT
// Decides how long the first phase of a query waits for missing parts when a second phase must fit into the
// same target latency. Performs no I/O.
//
// Method: the r arrivals so far, of k parts, are treated as the smallest r order statistics of k log-normal
// samples. A least-squares line through their logarithms against the expected normal order statistics (Blom's
// scores) yields mean and deviation, as in "Hold 'em or Fold 'em?". This fit is combined with the smoothed
// history of the class, weighted by r, and tells how fast the current query is. The arrival distribution of
// its remaining parts is taken from the history, scaled by that speed, because a log-normal distribution
// cannot represent stalled parts. The end of the first phase is then searched over the remaining time: it
// weighs what more parts add to the first phase against what the second phase, with the time to send the
// answer on top, loses with each step.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::phases {

// Log-normal distribution of durations: mean and deviation of the logarithm of milliseconds.
struct LogNormal {
  double mean = 0, deviation = 0;
  double cdf(double ms) const;  // share of parts that take at most `ms`
};

// Smoothed history of one phase of one class: a histogram of durations with logarithmic buckets, in which
// stalled parts stay separate from the others. Older samples decay.
class History {
 public:
  void observe(Duration elapsed);
  bool has_enough_samples() const { return samples_ >= 8; }
  double cdf(double ms) const;
  // Uses the median and half the distance between the 16th and the 84th percentile.
  LogNormal fit_log_normal() const;

 private:
  static constexpr std::size_t kBuckets = 120;
  double quantile(double share) const;  // logarithm of milliseconds
  double samples_ = 0, weight_ = 1;
  std::array<double, kBuckets> buckets_{};
  std::array<double, kBuckets + 1> cumulative_{};  // prefix sums of the buckets, for fast queries
};

// Value of an answer: both phases complete; second complete but first partial; first phase only.
struct AnswerValues {
  double whole = 1, partial = 0.9, first_only = 0.8;
};

// The state of one query in its first phase.
struct SplitInput {
  std::size_t first_parts = 0;
  std::size_t second_parts = 0;
  double min_share = 0;  // minimum share of the first phase's parts that an answer needs
  // From the start of the first phase until the answer must be decided; excludes the time to send it.
  double remaining_ms = 0;
  double elapsed_ms = 0;            // since the start of the first phase
  std::vector<double> arrivals_ms;  // of the first phase's parts, ascending, since its start
  AnswerValues values;
};

// Keeps a history per class and phase, and computes the best end of a query's first phase.
class PhaseTimeSplitter {
 public:
  explicit PhaseTimeSplitter(std::size_t max_histories = 64) : max_histories_(max_histories) {}

  void observe(const std::string& class_name, int phase, Duration elapsed);
  // The best end of the first phase, in milliseconds since its start and not before `elapsed_ms`, given what
  // is known now. To be called again at each arrival. Without a history of the second phase it returns all
  // the remaining time.
  double first_phase_end_ms(const std::string& class_name, const SplitInput& split);

 private:
  std::size_t max_histories_;
  std::map<std::pair<std::string, int>, History> histories_;  // by class and phase
  std::map<std::size_t, std::vector<double>> scores_;         // Blom's scores by number of parts
};

// Fits a query's early arrivals, weighted against the history of its class (may be null).
LogNormal fit_early_arrivals(const std::vector<double>& arrivals_ms, const std::vector<double>& scores,
                             const History* history);
// Blom's approximation of the expected normal order statistics of `samples` samples, in ascending order.
std::vector<double> blom_scores(std::size_t samples);

}  // namespace kelpdeal::phases
