// SPDX-License-Identifier: MIT
// Resolves index expressions: lists, patterns, exclusions, aliases, date math, hidden indices.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kelpdeal/contract.h"
#include "kelpdeal/json.h"

namespace kelpdeal::search {

struct IndexNameOptions {
  bool ignore_unavailable = false;  // unknown names are skipped
  bool allow_no_indices = true;
  bool expand_open = true;  // patterns are expanded; otherwise they are taken as plain names
  bool expand_hidden = false;
};
// Reads values such as "open,hidden", "all" or "none". Throws ApiError.
void read_expand_wildcards(const std::string& text, IndexNameOptions& options);

// An index named by an expression, with the filters of the aliases it was named by.
struct Target {
  const IndexContract* index = nullptr;
  std::vector<json::Value> filters;  // a document must match one of them; empty: no restriction
};

// Returns the indices in the order named, each once. Throws ApiError.
std::vector<Target> resolve(const std::string& expression, const IndexNameOptions& options,
                            const std::vector<IndexContract>& indices, std::int64_t now_ms);

// Expands "<log-{now/d{yyyy.MM.dd|+01:00}}>" at the given time. Throws ApiError.
std::string expand_date_name(std::string_view text, std::int64_t now_ms);

}  // namespace kelpdeal::search
