// SPDX-License-Identifier: MIT
#include "kelpdeal/phases/prune.h"

#include <algorithm>

namespace kelpdeal::phases {

bool may_match(const FieldRanges& ranges, const std::vector<Condition>& conditions) {
  return std::all_of(conditions.begin(), conditions.end(), [&](const Condition& condition) {
    const auto range = ranges.find(condition.field);
    if (range == ranges.end()) return true;
    return std::any_of(condition.any_of.begin(), condition.any_of.end(),
                       [&](const Interval& wanted) { return wanted.overlaps(range->second); });
  });
}

std::vector<std::size_t> select_slices(const std::vector<const FieldRanges*>& slices,
                                       const std::vector<Condition>& conditions) {
  std::vector<std::size_t> selected;
  for (std::size_t i = 0; i < slices.size(); ++i)
    if (!slices[i] || may_match(*slices[i], conditions)) selected.push_back(i);
  if (selected.empty() && !slices.empty()) selected.push_back(0);
  return selected;
}

}  // namespace kelpdeal::phases
