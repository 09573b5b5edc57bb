// SPDX-License-Identifier: MIT
// Aggregations: what is asked, the form of it that each slice gets, and what the slices' answers come to.
// Slices are added one by one, in any order; nothing of a slice's text is kept.
#pragma once

#include <cstddef>
#include <cstdint>
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

struct AggregationBounds {
  std::size_t max_depth = 6;
  std::size_t max_aggregations = 200;   // aggregations of one request
  std::size_t max_buckets = 65'536;     // of one answer
  std::size_t max_shard_size = 20'000;  // of one terms aggregation at one slice
};

struct Aggregation {
  enum class Kind {
    terms,
    histogram,
    date_histogram,
    range,  // and date_range
    filters,
    single,  // filter, missing, global, nested, reverse_nested: one bucket
    min,
    max,
    sum,
    value_count,
    avg,
    stats,
    extended_stats
  };
  struct Order {
    std::vector<std::string> path;  // of aggregations inside the bucket; empty for _key and _count
    std::string value;              // _key, _count, or a metric's value
    bool descending = false;
  };
  Kind kind = Kind::single;
  std::string name, type;  // type as written: "terms", "date_range", ...
  json::Value body, meta;
  std::vector<Aggregation> inside;

  std::size_t size = 10, shard_size = 0;  // terms
  std::uint64_t min_doc_count = 0;        // terms, histograms
  std::vector<Order> order;               // terms, histograms
  bool keyed = false, show_error = false;
  std::vector<std::string> keys;  // filters: their names, none if they have none
  bool other_bucket = false;
  std::string other_key = "_other_";
  std::size_t filter_count = 0;
  // Histograms. Dates count in milliseconds.
  double interval = 0, offset = 0;
  std::string calendar;                             // minute ... year; empty: a fixed interval
  std::int64_t zone_ms = 0;                         // of a zone with a fixed offset
  bool zone_fixed = true;                           // false: one with summer time, whose gaps are not filled
  std::optional<std::pair<double, double>> extend;  // extended_bounds
  std::string format;
  double sigma = 2;  // extended_stats

  bool metric() const { return kind >= Kind::min; }
};
using Aggregations = std::vector<Aggregation>;

// `aggs` of a body. Throws ApiError for what cannot be put together, with the reason.
Aggregations parse_aggregations(const json::Value& aggs, const AggregationBounds& bounds);
// What each slice is asked.
json::Object aggregations_for_slice(const Aggregations& aggregations);

class AggregationReducer {
 public:
  AggregationReducer(const Aggregations& asked, const AggregationBounds& bounds);
  // True if `raw`, a slice's "aggregations", holds all that was asked for.
  static bool usable(const Aggregations& asked, std::string_view raw);
  // `from` is where a slice's "aggregations" begin, in valid JSON. Throws ApiError if they do not go together
  // with the others.
  void add(std::string_view from);
  json::Object render(bool typed_keys) const;

 private:
  struct Bucket;
  struct Numbers {
    std::uint64_t count = 0;
    double sum = 0, squares = 0;
    std::optional<double> min, max;
    std::string min_text, max_text;  // as the slice formatted them
  };
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  struct State {
    const Aggregation* asked = nullptr;
    Numbers numbers;
    std::vector<Bucket> buckets;
    std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>> where;  // by key as written
    std::uint64_t other = 0, error = 0;
    bool error_known = true;
  };
  struct Bucket {
    json::Value key;
    std::string key_text;  // key_as_string
    json::Object fixed;    // from, to and such
    std::uint64_t count = 0, error_seen = 0;
    std::vector<State> inside;
  };
  static std::vector<State> start(const Aggregations& asked);
  const char* add_all(std::vector<State>& states, std::string_view from);
  const char* add_one(State& state, std::string_view from);
  const char* add_terms(State& state, std::string_view from);
  std::size_t add_term(State& state, json::Walk& members, std::uint64_t& count);
  const char* add_buckets(State& state, std::string_view from);
  Bucket& bucket_of(State& state, json::Walk& buckets, std::size_t number);
  const char* add_bucket(Bucket& bucket, std::string_view from);
  static std::pair<Bucket&, bool> place(State& state, std::string_view key);
  json::Object render(const std::vector<State>& states, bool typed) const;
  json::Value render_one(const State& state, bool typed) const;
  json::Value render_buckets(const State& state, bool typed) const;
  json::Value render_terms(const State& state, bool typed) const;
  json::Object render_bucket(const State& state, const Bucket& bucket, bool typed) const;
  std::vector<Bucket> fill(const State& state) const;
  std::vector<Bucket> all_ranges(const State& state) const;
  static std::optional<double> metric(const State& state, std::string_view value);
  static std::optional<double> order_value(const std::vector<State>& states, const Aggregation::Order& order,
                                           std::size_t step);
  static void sort(const Aggregation& asked, std::vector<const Bucket*>& buckets);
  void count_bucket() const;

  const Aggregations& asked_;
  const AggregationBounds bounds_;
  std::vector<State> states_;
  // The buckets that a range has wherever it stands, as the first slice to answer wrote them: an empty bucket
  // between others has them too.
  std::map<const Aggregation*, std::vector<Bucket>> ranges_;
  mutable std::size_t rendered_ = 0;
};

}  // namespace kelpdeal::search
