// SPDX-License-Identifier: MIT
#include "kelpdeal/phases/plan.h"

#include <algorithm>

namespace kelpdeal::phases {

void PhasePlan::begin_phase(std::vector<int> shards, TimePoint now) {
  ++phase_;
  phase_started_ = now;
  shards_ = std::move(shards);
  received_.assign(shards_.size(), false);
  scores_.assign(shards_.size(), 0);
}

bool PhasePlan::record_part(int phase, std::size_t index, double score) {
  if (phase != phase_ || index >= shards_.size() || received_[index]) return false;
  received_[index] = true;
  scores_[index] = score;
  return true;
}

std::vector<std::size_t> PhasePlan::advance(bool whole, TimePoint now) {
  std::vector<std::size_t> next;
  if (is_later_phase() || rules_.second_phase_parts == 0) return next;
  first_whole_ = whole;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (received_[i]) next.push_back(i), first_phase_shards_.push_back(shards_[i]);
    if (!received_[i]) missing_.push_back(shards_[i]);
  }
  std::sort(first_phase_shards_.begin(), first_phase_shards_.end());
  std::sort(next.begin(), next.end(), [this](std::size_t a, std::size_t b) {
    return scores_[a] != scores_[b] ? scores_[a] > scores_[b] : shards_[a] < shards_[b];
  });
  next.resize(std::min(next.size(), rules_.second_phase_parts));
  std::vector<int> shards;
  for (const std::size_t index : next) shards.push_back(shards_[index]);
  begin_phase(std::move(shards), now);
  return next;
}

std::vector<int> PhasePlan::missing() const {
  std::vector<int> all = missing_;
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (!received_[i]) all.push_back(shards_[i]);
  return all;
}

std::size_t PhasePlan::received_parts() const {
  return static_cast<std::size_t>(std::count(received_.begin(), received_.end(), true));
}

TimePoint PhasePlan::deadline(Duration margin) const {
  if (!has_fallback_answer()) return expires_;
  const TimePoint slo = arrived_ + rules_.slo - margin, end = expires_ - margin;
  return slo > phase_started_ ? std::min(slo, end) : end;
}

}  // namespace kelpdeal::phases
