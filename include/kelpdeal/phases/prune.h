// SPDX-License-Identifier: MIT
// Which slices a query cannot match, by what is known of the values that each holds. No I/O.
//
// Only what is proved is left out: a slice without a known interval is always asked, and a condition that is
// not understood is none. Conditions are held against a slice one by one, never put together: a document with
// several values may meet each with another one. Bounds are closed and doubles, which rounds whole numbers
// beyond 2^53 in order, so it can only ask a slice too many.
#pragma once

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace kelpdeal::phases {

struct Interval {
  double min = -std::numeric_limits<double>::infinity();
  double max = std::numeric_limits<double>::infinity();
  bool overlaps(const Interval& other) const { return min <= other.max && other.min <= max; }
};

// What every match has: of each field, a value in each of its intervals, or in one of a condition's several.
struct Condition {
  std::string field;
  std::vector<Interval> any_of;  // empty: nothing matches
};

// Of a slice, by field: holds every value that its documents have there.
using FieldRanges = std::map<std::string, Interval>;

// False only if no document of the slice can meet all conditions.
bool may_match(const FieldRanges& held, const std::vector<Condition>& conditions);

// The places of the slices that are to be asked, in order. At least one is, so that an answer has its form.
std::vector<std::size_t> select_slices(const std::vector<const FieldRanges*>& slices,
                                       const std::vector<Condition>& conditions);

}  // namespace kelpdeal::phases
