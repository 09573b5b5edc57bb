// SPDX-License-Identifier: MIT
#include "kelpdeal/phases/prune.h"

#include <algorithm>

namespace kelpdeal::phases {

bool may_match(const FieldRanges& held, const std::vector<Condition>& conditions) {
  return std::all_of(conditions.begin(), conditions.end(), [&](const Condition& condition) {
    const auto known = held.find(condition.field);
    if (known == held.end()) return true;
    return std::any_of(condition.any_of.begin(), condition.any_of.end(),
                       [&](const Interval& wanted) { return wanted.overlaps(known->second); });
  });
}

std::vector<std::size_t> select_slices(const std::vector<const FieldRanges*>& slices,
                                       const std::vector<Condition>& conditions) {
  std::vector<std::size_t> asked;
  for (std::size_t i = 0; i < slices.size(); ++i)
    if (!slices[i] || may_match(*slices[i], conditions)) asked.push_back(i);
  if (asked.empty() && !slices.empty()) asked.push_back(0);
  return asked;
}

}  // namespace kelpdeal::phases
