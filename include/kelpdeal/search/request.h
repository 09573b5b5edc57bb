// SPDX-License-Identifier: MIT
// One search as requested by a client: the parsed and validated request, and the request sent to each slice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kelpdeal/json.h"
#include "kelpdeal/search/aggregations.h"
#include "kelpdeal/search/names.h"
#include "kelpdeal/search/parameters.h"
#include "kelpdeal/search/query_dsl.h"
#include "kelpdeal/search/sort.h"
#include "kelpdeal/time.h"

namespace kelpdeal::search {

struct SearchBounds {
  std::size_t max_result_window = 10'000;  // bounds from + size
  QueryBounds query;
  AggregationBounds aggregations;
  json::Bounds json;
  Duration max_keep_alive = std::chrono::hours(24);
  std::size_t max_slices = 1024;  // of a sliced scroll or point in time
};

// A position in the total order of a search's hits, from which it continues: sort values, then slice, then
// document id. The position within each slice follows from it.
struct Position {
  json::Array sort_values;
  int slice = -1;
  std::string id;
};

struct SearchRequest {
  json::Object passthrough_members;  // members of the body that are passed to the slices unchanged
  json::Value query;                 // null: match all
  std::size_t from = 0, size = 10;
  SortOrder sort;
  std::optional<json::Array> search_after;
  std::optional<std::uint64_t> total_limit = 10'000;  // hits are counted up to this; nullopt: all are
  bool track_total = true;                            // false: the total is not requested
  bool track_scores = false;
  std::optional<Duration> timeout;
  std::string collapse_field;
  Aggregations aggregations;
  std::optional<std::string> pit_id;
  std::optional<Duration> pit_keep_alive, scroll;
  std::optional<std::pair<std::size_t, std::size_t>> partition;  // id and max of `slice`
  bool allow_partial = true;
  std::string routing;
  bool typed_keys = false, total_as_number = false;

  // Set for cursors: hits have a total order, with the document's id as the last sort key. Clients receive
  // the first `visible_sort_keys` of the sort values that slices return.
  bool total_order = false;
  std::size_t visible_sort_keys = 0;
  bool sorted() const { return !sort.fields.empty(); }
  // The number of hits requested from each slice: any of them may be on the page.
  std::size_t window() const { return size == 0 ? 0 : from + size; }
  // Adds the document's id as the last sort key.
  void use_total_order();
};

// `body`: an object or null. Query string parameters override the body. Throws ApiError.
SearchRequest parse_search(const json::Value& body, Parameters& parameters, const SearchBounds& bounds);
IndexNameOptions read_name_options(Parameters& parameters);

// Parses "500ms", "2s", "1m" ...; returns nothing for -1. Throws ApiError.
std::optional<Duration> parse_time(const std::string& text, const char* name);

// The part of a slice's request that differs between slices.
struct SliceOptions {
  std::vector<json::Value> filters;  // all of them must match
  const Position* after = nullptr;   // where to continue
  int slice = 0;
  std::optional<std::pair<std::size_t, std::size_t>> partition;
};
std::string slice_request_text(const SearchRequest& request, const SliceOptions& options);

// The slices that partition `id` of `max` of a sliced scroll covers, as positions below `slices`, each with
// the part of the slice to search (id and max; nullopt: all of it).
struct PartitionPart {
  std::size_t index = 0;
  std::optional<std::pair<std::size_t, std::size_t>> part;
};
std::vector<PartitionPart> partition(std::size_t id, std::size_t max, std::size_t slices);

}  // namespace kelpdeal::search
