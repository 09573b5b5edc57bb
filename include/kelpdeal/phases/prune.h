// SPDX-License-Identifier: MIT
// Determines which slices cannot contain matches of a query, from the known value ranges of each slice.
// Performs no I/O.
//
// A slice is skipped only if that is proven safe: a slice without a known range is always requested, and a
// condition that is not understood is ignored. Conditions are checked against a slice one at a time, never
// combined, because a document with several values may satisfy each condition with a different value. Ranges
// are closed intervals of doubles. Whole numbers beyond 2^53 are rounded monotonically, so rounding can only
// cause an unnecessary request.
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

// A necessary condition for a match: the document has a value of the field in at least one of the intervals.
struct Condition {
  std::string field;
  std::vector<Interval> any_of;  // empty: nothing matches
};

// Value ranges of a slice by field name. A range covers every value of the slice's documents.
using FieldRanges = std::map<std::string, Interval>;

// Returns false only if no document of the slice can satisfy all conditions.
bool may_match(const FieldRanges& ranges, const std::vector<Condition>& conditions);

// Returns the indices of the slices to request, in order. At least one slice is always selected, so that the
// answer is well-formed.
std::vector<std::size_t> select_slices(const std::vector<const FieldRanges*>& slices,
                                       const std::vector<Condition>& conditions);

}  // namespace kelpdeal::phases
