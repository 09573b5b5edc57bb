// SPDX-License-Identifier: MIT
// The structure of queries: every node of the tree is one that exists, with members that exist, nested no
// deeper and no wider than allowed. What a query means is the record nodes' business.
#pragma once

#include <cstddef>
#include <string_view>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

struct QueryBounds {
  std::size_t max_depth = 20;
  std::size_t max_clauses = 1024;  // leaves and branches together
};

// Throws ApiError: 400 that names what is wrong and where. `place` is what the complaint calls the query.
void check_query(const json::Value& query, std::string_view place, const QueryBounds& bounds);

}  // namespace kelpdeal::search
