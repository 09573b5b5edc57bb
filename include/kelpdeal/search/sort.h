// SPDX-License-Identifier: MIT
// The order of hits: sort keys as a request states them, and how two hits' sort values compare.
#pragma once

#include <string>
#include <vector>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

struct SortField {
  std::string field;
  bool descending = false;
  enum class Missing { last, first, value } missing = Missing::last;
  json::Value written;  // in the form the slices get
};

struct SortOrder {
  std::vector<SortField> fields;  // none: by score, the best first
  // True if only the score counts.
  bool by_score() const;
  bool names(std::string_view field) const;
  void append(const std::string& field, bool descending);
  json::Array written() const;
};

// `sort` of a body: a name, an object, or a list of them. Throws ApiError.
SortOrder parse_sort(const json::Value& sort);
// `sort` of a path: "name,name:desc". Throws ApiError.
SortOrder parse_sort(const std::string& parameter);

// Below 0 if a hit with these sort values stands before the other. Values of different types cannot be
// ordered: throws ApiError. Only the first `most` keys count.
int compare(const SortOrder& order, const json::Array& a, const json::Array& b, std::size_t most = 64);

}  // namespace kelpdeal::search
