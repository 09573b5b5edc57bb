// SPDX-License-Identifier: MIT
#include "kelpdeal/phases/split.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal::phases {
namespace {

constexpr double kFade = 1.0 / 512;             // by a class's history, of what is older, at each sample
constexpr double kLowest = -2.5, kWidth = 0.1;  // of its buckets: from 0.08 ms to 13 s, each 10% wide
constexpr double kPrior = 6;                    // arrivals that the history counts for
constexpr int kSteps = 48;                      // of the scan
constexpr std::size_t kMostSizes = 256;         // numbers of parts whose scores are kept
constexpr double kLeastDeviation = 0.02;

double normal_cdf(double z) { return std::erfc(-z / std::sqrt(2.0)) / 2; }

// P(at least `need` of n) where each comes with probability p.
double at_least(int need, int n, double p) {
  if (need <= 0) return 1;
  if (need > n || p <= 0) return 0;
  if (p >= 1) return 1;
  // From the top: all n, then one fewer, until `need`.
  double term = std::pow(p, n), sum = term;
  for (int missing = 1; missing <= n - need; ++missing) {
    term *= (1 - p) / p * (n - missing + 1) / missing;
    sum += term;
  }
  return std::min(sum, 1.0);
}

}  // namespace

double LogNormal::cdf(double ms) const {
  if (ms <= 0) return 0;
  return normal_cdf((std::log(ms) - mean) / std::max(deviation, kLeastDeviation));
}

void History::observe(Duration took) {
  samples_ += 1;
  weight_ *= 1 + kFade;
  const double place = (std::log(std::max(FractionalMs(took).count(), 1e-6)) - kLowest) / kWidth;
  buckets_[static_cast<std::size_t>(std::clamp(place, 0.0, kBuckets - 1.0))] += weight_;
  if (weight_ > 1e9) {
    for (double& bucket : buckets_) bucket /= weight_;
    weight_ = 1;
  }
  for (std::size_t i = 0; i < kBuckets; ++i) below_[i + 1] = below_[i] + buckets_[i];
}

double History::cdf(double ms) const {
  if (ms <= 0 || below_.back() <= 0) return 0;
  const double place = std::clamp((std::log(ms) - kLowest) / kWidth, 0.0, static_cast<double>(kBuckets));
  const auto i = std::min(static_cast<std::size_t>(place), kBuckets - 1);
  return (below_[i] + buckets_[i] * (place - static_cast<double>(i))) / below_.back();
}

double History::quantile(double share) const {
  const double wanted = share * below_.back();
  for (std::size_t i = 0; i < kBuckets; ++i)
    if (buckets_[i] > 0 && below_[i + 1] >= wanted)
      return kLowest + kWidth * (static_cast<double>(i) + (wanted - below_[i]) / buckets_[i]);
  return kLowest + kWidth * kBuckets;
}

LogNormal History::fit_log_normal() const {
  return {quantile(0.5), std::max((quantile(0.84) - quantile(0.16)) / 2, kLeastDeviation)};
}

// By bisection: Boost's quantile would bring 162 MB of headers to the platform's build, and this is done once
// for each number of parts.
std::vector<double> blom_scores(std::size_t draws) {
  std::vector<double> scores(draws);
  for (std::size_t i = 0; i < draws; ++i) {
    const double below = (static_cast<double>(i) + 0.625) / (static_cast<double>(draws) + 0.25);
    double low = -9, high = 9;
    for (int step = 0; step < 50; ++step)
      (normal_cdf((low + high) / 2) < below ? low : high) = (low + high) / 2;
    scores[i] = (low + high) / 2;
  }
  return scores;
}

LogNormal fit_early_arrivals(const std::vector<double>& arrivals, const std::vector<double>& z,
                             const History* history) {
  const bool past = history && history->has_enough_samples();
  const LogNormal prior = past ? history->fit_log_normal() : LogNormal{};
  if (arrivals.size() < 2 || arrivals.size() > z.size()) return prior;
  const double r = static_cast<double>(arrivals.size());
  double z_mean = 0, y_mean = 0, zz = 0, zy = 0;
  std::vector<double> y(arrivals.size());
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    y[i] = std::log(std::max(arrivals[i], 0.01));
    z_mean += z[i] / r, y_mean += y[i] / r;
  }
  for (std::size_t i = 0; i < arrivals.size(); ++i)
    zz += (z[i] - z_mean) * (z[i] - z_mean), zy += (z[i] - z_mean) * (y[i] - y_mean);
  const double slope = std::max(zz > 0 ? zy / zz : 0, kLeastDeviation);
  const LogNormal own{y_mean - slope * z_mean, slope};
  if (!past) return own;
  const double share = r / (r + kPrior);
  return {share * own.mean + (1 - share) * prior.mean, share * own.deviation + (1 - share) * prior.deviation};
}

void PhaseTimeSplitter::observe(const std::string& cls, int phase, Duration took) {
  const auto key = std::pair(cls, phase);
  if (known_.size() >= most_ && !known_.contains(key)) return;
  known_[key].observe(took);
}

double PhaseTimeSplitter::first_phase_end_ms(const std::string& cls, const SplitInput& split) {
  const auto first = known_.find({cls, 1}), second = known_.find({cls, 2});
  const bool first_known = first != known_.end() && first->second.has_enough_samples();
  if (split.remaining_ms <= split.elapsed_ms) return split.elapsed_ms;
  if (second == known_.end() || !second->second.has_enough_samples()) return split.remaining_ms;
  if (!first_known && split.arrivals_ms.size() < 2) return split.remaining_ms;
  if (scores_.size() >= kMostSizes && !scores_.contains(split.first_parts)) scores_.clear();
  std::vector<double>& scores = scores_[split.first_parts];
  if (scores.size() != split.first_parts) scores = blom_scores(split.first_parts);
  const LogNormal one = fit_early_arrivals(split.arrivals_ms, scores, first_known ? &first->second : nullptr);
  // Without history of the first, the early arrivals say all.
  const double stretch = first_known ? std::exp(one.mean - first->second.fit_log_normal().mean) : 1;
  const auto first_by = [&](double t) { return first_known ? first->second.cdf(t / stretch) : one.cdf(t); };

  const int in = static_cast<int>(split.arrivals_ms.size()), out = static_cast<int>(split.first_parts) - in;
  const int need =
      static_cast<int>(std::ceil(split.min_share * static_cast<double>(split.first_parts) - 1e-9)) - in;
  const double gone = first_by(split.elapsed_ms), open = std::max(1 - gone, 1e-9);
  // The phase ends by itself once all are in: what is whole by then has the time that is left.
  double best = -1, at = split.elapsed_ms, done = 0, whole_before = 0;
  for (int i = 0; i <= kSteps; ++i) {
    const double t = split.elapsed_ms + (split.remaining_ms - split.elapsed_ms) * i / kSteps;
    const double each = std::clamp((first_by(t) - gone) / open, 0.0, 1.0);
    const double whole = std::pow(each, out), enough = at_least(need, out, each);
    const double next =
        std::pow(second->second.cdf(split.remaining_ms - t), static_cast<double>(split.second_parts));
    done += (whole - whole_before) * (next * split.values.whole + (1 - next) * split.values.first_only);
    whole_before = whole;
    const double worth =
        done + (enough - whole) * (next * split.values.partial + (1 - next) * split.values.first_only);
    if (worth > best + 1e-9) best = worth, at = t;
  }
  return at;
}

}  // namespace kelpdeal::phases
