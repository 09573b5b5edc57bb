// SPDX-License-Identifier: MIT
// One search as a client asks for it, checked, and the form of it that each slice gets.
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
  std::size_t max_result_window = 10'000;  // from + size
  QueryBounds query;
  AggregationBounds aggregations;
  json::Bounds json;
  Duration max_keep_alive = std::chrono::hours(24);
  std::size_t max_slices = 1024;  // of a sliced scroll
};

// Where a search goes on in the total order of its hits: sort values, then slice, then the document's id.
// From it follows where it goes on in each slice.
struct Position {
  json::Array keys;
  int slice = -1;
  std::string id;
};

struct SearchRequest {
  json::Object passthrough_members;  // of the body, those that slices get as they are
  json::Value query;                 // null: all
  std::size_t from = 0, size = 10;
  SortOrder sort;
  std::optional<json::Array> search_after;            // search_after, as given
  std::optional<std::uint64_t> total_limit = 10'000;  // count hits up to here; nothing: all
  bool track_total = true;                            // false: the total is not asked for
  bool track_scores = false;
  std::optional<Duration> timeout;
  std::string collapse_field;  // the field
  Aggregations aggregations;
  std::optional<std::string> pit_id;
  std::optional<Duration> pit_keep_alive, scroll;
  std::optional<std::pair<std::size_t, std::size_t>> partition;  // id and max of a sliced scroll
  bool allow_partial = true;
  std::string routing;
  bool typed_keys = false, total_as_number = false;

  // Set for cursors: hits are in a total order, by the document's id at last. The sort values shown are the
  // first `shown_keys` of those that slices give.
  bool total_order = false;
  std::size_t visible_sort_keys = 0;
  bool sorted() const { return !sort.fields.empty(); }
  // So many hits of each slice may be among those shown.
  std::size_t window() const { return size == 0 ? 0 : from + size; }
  // Appends the last key of the total order.
  void use_total_order();
};

// `body`: an object or null. Parameters of the path take the place of what the body says. Throws ApiError.
SearchRequest parse_search(const json::Value& body, Parameters& parameters, const SearchBounds& bounds);
IndexNameOptions read_name_options(Parameters& parameters);

// "500ms", "2s", "1m" ...; nothing for -1. Throws ApiError.
std::optional<Duration> parse_time(const std::string& text, const char* name);

// What one slice is asked, beside what all are.
struct SliceOptions {
  std::vector<json::Value> filters;  // all have to match
  const Position* after = nullptr;   // where it goes on
  int slice = 0;                     // its number
  std::optional<std::pair<std::size_t, std::size_t>> partition;
};
std::string slice_request_text(const SearchRequest& request, const SliceOptions& form);

// A sliced scroll over `slices`: the places in it of those that partition `id` of `max` needs, each with the
// part of the slice (id and max; nothing: all of it).
struct PartitionPart {
  std::size_t place = 0;
  std::optional<std::pair<std::size_t, std::size_t>> part;
};
std::vector<PartitionPart> partition(std::size_t id, std::size_t max, std::size_t slices);

}  // namespace kelpdeal::search
