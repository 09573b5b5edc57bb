// SPDX-License-Identifier: MIT
// The order of hits: parsing of sort keys, and comparison of two hits' sort values.
#pragma once

#include <string>
#include <vector>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

struct SortField {
  std::string field;
  bool descending = false;
  enum class Missing { last, first, value } missing = Missing::last;
  json::Value slice_form;  // in the form sent to slices
};

struct SortOrder {
  std::vector<SortField> fields;  // empty: by score, best first
  // True if the score is the first sort key, best first.
  bool by_score() const;
  bool has_field(std::string_view field) const;
  void append(const std::string& field, bool descending);
  json::Array slice_form() const;
};

// Parses `sort` of a body: a name, an object, or a list of them. Throws ApiError.
SortOrder parse_sort(const json::Value& sort);
// Parses `sort` of a query string: "name,name:desc". Throws ApiError.
SortOrder parse_sort(const std::string& parameter);

// Negative if a hit with sort values `a` comes before one with `b`. Values of different types cannot be
// ordered: throws ApiError. Only the first `max_keys` keys are compared.
int compare(const SortOrder& order, const json::Array& a, const json::Array& b, std::size_t max_keys = 64);

}  // namespace kelpdeal::search
