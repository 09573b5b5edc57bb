// SPDX-License-Identifier: MIT
// Extracts the numeric conditions that every match of a query must meet. Slices that cannot meet them are not
// queried (phases/prune.h).
#pragma once

#include <vector>

#include "kelpdeal/json.h"
#include "kelpdeal/phases/prune.h"

namespace kelpdeal::search {

// Extracts `range`, `term` and `terms` conditions on numbers, at the top level or under `must` and `filter`
// of `bool` or the filter of `constant_score`. Other clauses are ignored: they can only narrow the matches
// further.
std::vector<phases::Condition> numeric_conditions(const json::Value& query);

}  // namespace kelpdeal::search
