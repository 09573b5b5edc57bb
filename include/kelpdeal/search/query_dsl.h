// SPDX-License-Identifier: MIT
// Validates the structure of queries: each node of the tree must be a known query with known members, within
// the limits on depth and number of clauses. Field values are not interpreted; the record nodes do that.
#pragma once

#include <cstddef>
#include <string_view>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

struct QueryBounds {
  std::size_t max_depth = 20;
  std::size_t max_clauses = 1024;  // leaf and compound queries together
};

// Throws ApiError with status 400 that states the error and its location. `path` is the location of the query
// itself.
void check_query(const json::Value& query, std::string_view path, const QueryBounds& bounds);

}  // namespace kelpdeal::search
