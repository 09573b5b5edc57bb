// SPDX-License-Identifier: MIT
// Aggregations: the request as parsed, the form of it that is sent to each slice, and the merged result.
// Slice responses are merged one at a time, in any order; the text of a response is not retained.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

// Bounds of the aggregations of one request and of their result.
struct AggregationBounds {
  std::size_t max_depth = 6;            // of nested aggregations
  std::size_t max_aggregations = 200;   // per request, nested ones included
  std::size_t max_buckets = 65'536;     // per response
  std::size_t max_shard_size = 20'000;  // requested from one slice by one terms aggregation
  std::size_t max_orders = 32;          // sort criteria of one aggregation
  std::size_t max_format_bytes = 256;   // of a date format, which is written once for each bucket
  // Buckets and nested results that are kept while the slices' results are merged.
  std::size_t max_merged_results = 262'144;
  std::size_t max_result_bytes = 48 << 20;  // memory of the merged result as it is rendered
  // Buckets that are sorted, times the sort criteria of their aggregation.
  std::size_t max_order_values = 1'000'000;
};

// Histogram keys, including dates in milliseconds, must be smaller than this in absolute value.
constexpr double kMaxHistogramKey = 8.64e15;

// One aggregation of a request, checked, with those nested in it.
struct Aggregation {
  enum class Kind {
    terms,
    histogram,
    date_histogram,
    range,  // also date_range
    filters,
    single_bucket,  // filter, missing, global, nested, reverse_nested: exactly one bucket
    min,
    max,
    sum,
    value_count,
    avg,
    stats,
    extended_stats
  };
  // One criterion by which buckets are sorted.
  struct Order {
    std::vector<std::string> path;  // names of nested aggregations; empty for _key and _count
    std::string value;              // _key, _count, or the name of a metric's value
    bool descending = false;
    std::vector<std::size_t> positions{};  // of each step of `path` among the aggregations of its level
  };
  Kind kind = Kind::single_bucket;
  std::string name, type;  // type as in the request: "terms", "date_range", ...
  json::Value body, meta;
  std::size_t meta_bytes = 0;  // of its JSON text
  std::vector<Aggregation> sub_aggregations;

  std::size_t size = 10, shard_size = 0;  // terms
  std::uint64_t min_doc_count = 0;        // terms, histograms
  std::vector<Order> order;               // terms, histograms
  bool keyed = false;                     // buckets as members of an object instead of a list
  bool show_doc_count_error = false;      // terms
  std::vector<std::string> filter_names;  // filters: their names; empty for anonymous filters
  bool other_bucket = false;              // filters: with a bucket for the documents that match none of them
  std::string other_key = "_other_";
  std::size_t filter_count = 0;
  // Histograms. For dates, values are in milliseconds.
  double interval = 0, offset = 0;
  std::string calendar_interval;    // minute ... year; empty for a fixed interval
  std::int64_t zone_offset_ms = 0;  // UTC offset, for a zone with a fixed one
  // False for a zone known by name, whose offset may change: its gaps are not filled.
  bool has_fixed_zone_offset = true;
  std::optional<std::pair<double, double>> extended_bounds;
  std::string format;
  double sigma = 2;  // extended_stats

  bool is_metric() const { return kind >= Kind::min; }
};
using Aggregations = std::vector<Aggregation>;

// Parses `aggs` of a request body. Throws ApiError with the reason for an aggregation whose slice results
// cannot be merged.
Aggregations parse_aggregations(const json::Value& aggs, const AggregationBounds& bounds);
// The aggregations in the form sent to each slice.
json::Object aggregations_for_slice(const Aggregations& aggregations);

// Merges the aggregation results of the slices into one result.
class AggregationReducer {
 public:
  AggregationReducer(const Aggregations& specs, const AggregationBounds& bounds);
  // True if `raw`, the "aggregations" object of a slice's response, contains every requested aggregation.
  static bool usable(const Aggregations& specs, std::string_view raw);
  // Merges one slice's response. `input` starts at the value of its "aggregations" member and must be valid
  // JSON; text after the value is ignored. Throws ApiError if the response is incompatible with those merged
  // before.
  void add(std::string_view input);
  json::Object render(bool typed_keys) const;

 private:
  struct Bucket;
  struct MetricTotals {
    std::uint64_t count = 0;
    double sum = 0, sum_of_squares = 0;
    std::optional<double> min, max;
    std::string min_text, max_text;  // as formatted by the slice
  };
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  struct State {
    const Aggregation* spec = nullptr;
    MetricTotals totals;
    std::vector<Bucket> buckets;
    // Positions in `buckets`, by the JSON text of the key.
    std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> bucket_index;
    std::uint64_t other_doc_count = 0, doc_count_error = 0;
    bool doc_count_error_known = true;
  };
  struct Bucket {
    json::Value key;
    std::string key_as_string;
    json::Object range_bounds;  // from, to, from_as_string and to_as_string of a range
    std::uint64_t count = 0;
    std::uint64_t error_of_contributors = 0;  // summed over the slices that returned this bucket
    std::vector<State> sub_states;            // those nested aggregations of which a slice returned a result
  };
  using BucketPointers = std::vector<const Bucket*>;

  // Merging: src/search/aggregation_merge.cpp.
  State& find_or_add_state(std::vector<State>& states, const Aggregation& spec);
  const char* merge_one(State& state, std::string_view input);
  const char* merge_terms(State& state, std::string_view input);
  std::size_t merge_terms_bucket(State& state, json::Scanner& members, std::uint64_t& count);
  const char* merge_buckets(State& state, std::string_view input);
  Bucket& target_bucket(State& state, json::Scanner& buckets, std::size_t number);
  const char* merge_bucket(const Aggregation& spec, Bucket& bucket, std::string_view input);
  std::pair<Bucket&, bool> find_or_add_bucket(State& state, std::string_view key);
  void count_merged_result();
  [[noreturn]] static void throw_too_many_buckets(std::size_t max_buckets);

  // Rendering: src/search/aggregation_render.cpp.
  json::Object render(const Aggregations& specs, const std::vector<State>& states, bool typed) const;
  json::Value render_one(const State& state, bool typed) const;
  json::Value render_buckets(const State& state, bool typed) const;
  json::Value render_terms(const State& state, bool typed) const;
  json::Object render_bucket(const State& state, const Bucket& bucket, bool typed) const;
  json::Value render_metric(const State& state) const;
  BucketPointers buckets_of(const State& state, std::deque<Bucket>& gaps) const;
  BucketPointers fill_gaps(const State& state, std::deque<Bucket>& gaps) const;
  BucketPointers filter_buckets(const State& state) const;
  const std::vector<Bucket>& empty_ranges(const Aggregation& spec) const;
  const std::vector<Bucket>& empty_filters(const Aggregation& spec) const;
  // The state of a nested aggregation, or an empty one if no slice returned a result of it.
  const State& state_of(const Aggregation& spec, const std::vector<State>& states) const;
  static std::optional<double> metric_value(const State& state, std::string_view value);
  std::optional<double> order_value(const Aggregations& specs, const std::vector<State>& states,
                                    const Aggregation::Order& order, std::size_t depth) const;
  void sort(const Aggregation& spec, BucketPointers& buckets) const;
  std::vector<double> order_values(const Aggregation& spec, const BucketPointers& buckets) const;
  void check_bucket_limit(std::size_t buckets) const;
  void add_result_bytes(std::size_t bytes) const;

  const Aggregations& specs_;
  const AggregationBounds bounds_;
  std::vector<State> states_;
  std::size_t merged_results_ = 0;
  // The empty buckets of each range aggregation, as the first slice to respond wrote them or, if none did, as
  // the request describes them. A range nested in a bucket that no slice returned is rendered with these.
  mutable std::map<const Aggregation*, std::vector<Bucket>> empty_range_buckets_;
  mutable std::map<const Aggregation*, std::vector<Bucket>> empty_filter_buckets_;
  mutable std::map<const Aggregation*, State> empty_states_;
  mutable std::size_t rendered_buckets_ = 0, rendered_bytes_ = 0, order_values_ = 0;
};

}  // namespace kelpdeal::search
