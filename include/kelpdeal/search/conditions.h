// SPDX-License-Identifier: MIT
// What a query asks of numbers in every match: the form that slices are left out by (phases/prune.h).
#pragma once

#include <vector>

#include "kelpdeal/json.h"
#include "kelpdeal/phases/prune.h"

namespace kelpdeal::search {

// Reads `range`, `term` and `terms` of numbers, alone or under the `must` and `filter` of `bool` or the
// filter of `constant_score`. Whatever else a query holds is passed over: it can only narrow the matches
// further.
std::vector<phases::Condition> numeric_conditions(const json::Value& query);

}  // namespace kelpdeal::search
