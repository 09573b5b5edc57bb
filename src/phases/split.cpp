// SPDX-License-Identifier: MIT
#include "kelpdeal/phases/split.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal::phases {
namespace {

constexpr double kDecay = 1.0 / 512;  // decay of older samples of a class's history, per new sample
// Histogram buckets: the logarithm of the first bucket's lower bound in ms and the logarithmic width. They
// cover 0.08 ms to 13 s, each about 10% wide.
constexpr double kFirstBucket = -2.5, kBucketWidth = 0.1;
constexpr double kHistoryArrivals = 6;        // weight of the history, in arrivals
constexpr int kSearchSteps = 48;              // resolution of the search for the end of the first phase
constexpr std::size_t kMaxScoreTables = 256;  // part counts whose scores are cached
constexpr double kMinDeviation = 0.02;

double normal_cdf(double z) { return std::erfc(-z / std::sqrt(2.0)) / 2; }

// P(at least `required` of n) where each arrives independently with probability p.
double at_least(int required, int n, double p) {
  if (required <= 0) return 1;
  if (required > n || p <= 0) return 0;
  if (p >= 1) return 1;
  // Sum from n arrivals downwards to `required`.
  double term = std::pow(p, n), sum = term;
  for (int missing = 1; missing <= n - required; ++missing) {
    term *= (1 - p) / p * (n - missing + 1) / missing;
    sum += term;
  }
  return std::min(sum, 1.0);
}

}  // namespace

double LogNormal::cdf(double ms) const {
  if (ms <= 0) return 0;
  return normal_cdf((std::log(ms) - mean) / std::max(deviation, kMinDeviation));
}

void History::observe(Duration elapsed) {
  samples_ += 1;
  weight_ *= 1 + kDecay;
  const double position =
      (std::log(std::max(FractionalMs(elapsed).count(), 1e-6)) - kFirstBucket) / kBucketWidth;
  buckets_[static_cast<std::size_t>(std::clamp(position, 0.0, kBuckets - 1.0))] += weight_;
  if (weight_ > 1e9) {
    for (double& bucket : buckets_) bucket /= weight_;
    weight_ = 1;
  }
  for (std::size_t i = 0; i < kBuckets; ++i) cumulative_[i + 1] = cumulative_[i] + buckets_[i];
}

double History::cdf(double ms) const {
  if (ms <= 0 || cumulative_.back() <= 0) return 0;
  const double position =
      std::clamp((std::log(ms) - kFirstBucket) / kBucketWidth, 0.0, static_cast<double>(kBuckets));
  const auto i = std::min(static_cast<std::size_t>(position), kBuckets - 1);
  return (cumulative_[i] + buckets_[i] * (position - static_cast<double>(i))) / cumulative_.back();
}

double History::quantile(double share) const {
  const double target = share * cumulative_.back();
  for (std::size_t i = 0; i < kBuckets; ++i)
    if (buckets_[i] > 0 && cumulative_[i + 1] >= target)
      return kFirstBucket + kBucketWidth * (static_cast<double>(i) + (target - cumulative_[i]) / buckets_[i]);
  return kFirstBucket + kBucketWidth * kBuckets;
}

LogNormal History::fit_log_normal() const {
  return {quantile(0.5), std::max((quantile(0.84) - quantile(0.16)) / 2, kMinDeviation)};
}

// Uses bisection: Boost's quantile function would add 162 MB of headers to the platform's build, and this
// runs only once for each number of parts.
std::vector<double> blom_scores(std::size_t samples) {
  std::vector<double> scores(samples);
  for (std::size_t i = 0; i < samples; ++i) {
    const double below = (static_cast<double>(i) + 0.625) / (static_cast<double>(samples) + 0.25);
    double low = -9, high = 9;
    for (int step = 0; step < 50; ++step)
      (normal_cdf((low + high) / 2) < below ? low : high) = (low + high) / 2;
    scores[i] = (low + high) / 2;
  }
  return scores;
}

LogNormal fit_early_arrivals(const std::vector<double>& arrivals, const std::vector<double>& scores,
                             const History* history) {
  const bool has_history = history && history->has_enough_samples();
  const LogNormal prior = has_history ? history->fit_log_normal() : LogNormal{};
  if (arrivals.size() < 2 || arrivals.size() > scores.size()) return prior;
  const double r = static_cast<double>(arrivals.size());
  double z_mean = 0, y_mean = 0, zz = 0, zy = 0;
  std::vector<double> y(arrivals.size());
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    y[i] = std::log(std::max(arrivals[i], 0.01));
    z_mean += scores[i] / r, y_mean += y[i] / r;
  }
  for (std::size_t i = 0; i < arrivals.size(); ++i)
    zz += (scores[i] - z_mean) * (scores[i] - z_mean), zy += (scores[i] - z_mean) * (y[i] - y_mean);
  const double slope = std::max(zz > 0 ? zy / zz : 0, kMinDeviation);
  const LogNormal arrivals_fit{y_mean - slope * z_mean, slope};
  if (!has_history) return arrivals_fit;
  const double share = r / (r + kHistoryArrivals);
  return {share * arrivals_fit.mean + (1 - share) * prior.mean,
          share * arrivals_fit.deviation + (1 - share) * prior.deviation};
}

void PhaseTimeSplitter::observe(const std::string& class_name, int phase, Duration elapsed) {
  const auto key = std::pair(class_name, phase);
  if (histories_.size() >= max_histories_ && !histories_.contains(key)) return;
  histories_[key].observe(elapsed);
}

double PhaseTimeSplitter::first_phase_end_ms(const std::string& class_name, const SplitInput& split) {
  const auto first = histories_.find({class_name, 1}), second = histories_.find({class_name, 2});
  const bool first_known = first != histories_.end() && first->second.has_enough_samples();
  if (split.remaining_ms <= split.elapsed_ms) return split.elapsed_ms;
  if (second == histories_.end() || !second->second.has_enough_samples()) return split.remaining_ms;
  if (!first_known && split.arrivals_ms.size() < 2) return split.remaining_ms;
  if (scores_.size() >= kMaxScoreTables && !scores_.contains(split.first_parts)) scores_.clear();
  std::vector<double>& scores = scores_[split.first_parts];
  if (scores.size() != split.first_parts) scores = blom_scores(split.first_parts);
  const LogNormal fit = fit_early_arrivals(split.arrivals_ms, scores, first_known ? &first->second : nullptr);
  // Without a history of the first phase only the early arrivals are used.
  const double slowdown = first_known ? std::exp(fit.mean - first->second.fit_log_normal().mean) : 1;
  const auto first_cdf = [&](double end_ms) {
    return first_known ? first->second.cdf(end_ms / slowdown) : fit.cdf(end_ms);
  };

  const int received = static_cast<int>(split.arrivals_ms.size()),
            outstanding = static_cast<int>(split.first_parts) - received;
  const int required =
      static_cast<int>(std::ceil(split.min_share * static_cast<double>(split.first_parts) - 1e-9)) - received;
  const double p_arrived = first_cdf(split.elapsed_ms), p_not_arrived = std::max(1 - p_arrived, 1e-9);
  // The phase ends early once all parts have been received; the second phase then has all the remaining time.
  double best_value = -1, best_end = split.elapsed_ms, early_end_value = 0, previous_p_all = 0;
  for (int i = 0; i <= kSearchSteps; ++i) {
    const double end_ms = split.elapsed_ms + (split.remaining_ms - split.elapsed_ms) * i / kSearchSteps;
    const double p_arrival = std::clamp((first_cdf(end_ms) - p_arrived) / p_not_arrived, 0.0, 1.0);
    const double p_all = std::pow(p_arrival, outstanding),
                 p_sufficient = at_least(required, outstanding, p_arrival);
    const double p_second =
        std::pow(second->second.cdf(split.remaining_ms - end_ms), static_cast<double>(split.second_parts));
    early_end_value +=
        (p_all - previous_p_all) * (p_second * split.values.whole + (1 - p_second) * split.values.first_only);
    previous_p_all = p_all;
    const double value =
        early_end_value +
        (p_sufficient - p_all) * (p_second * split.values.partial + (1 - p_second) * split.values.first_only);
    if (value > best_value + 1e-9) best_value = value, best_end = end_ms;
  }
  return best_end;
}

}  // namespace kelpdeal::phases
