// SPDX-License-Identifier: MIT
// Index names: lists, patterns, exclusions, aliases, date maths, hidden indices.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kelpdeal/contract.h"
#include "kelpdeal/json.h"

namespace kelpdeal::search {

struct IndexNameOptions {
  bool ignore_unavailable = false;  // a name that is none is passed over
  bool allow_no_indices = true;     // a pattern may match nothing
  bool expand_open = true;          // patterns are expanded at all
  bool expand_hidden = false;
};
// "open,hidden", "all", "none". Throws ApiError.
void read_expand_wildcards(const std::string& text, IndexNameOptions& options);

// An index that an expression names, and what an alias leaves of it.
struct Target {
  const IndexContract* index = nullptr;
  std::vector<json::Value> filters;  // a document has to match one of them; none: all count
};

// In the order named, each index once. Throws ApiError.
std::vector<Target> resolve(const std::string& expression, const IndexNameOptions& options,
                            const std::vector<IndexContract>& indices, std::int64_t now_ms);

// "*" stands for any run of characters; takes time of at most pattern times name.
bool matches_wildcard(std::string_view pattern, std::string_view name);
// "<log-{now/d{yyyy.MM.dd|+01:00}}>" to the name at that time. Throws ApiError.
std::string expand_date_name(std::string_view text, std::int64_t now_ms);

}  // namespace kelpdeal::search
