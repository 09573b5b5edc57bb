// SPDX-License-Identifier: MIT
// Renders the merged result of aggregations.
#include <algorithm>
#include <cmath>
#include <limits>

#include "kelpdeal/search/aggregations.h"
#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/compare.h"
#include "kelpdeal/search/dates.h"

namespace kelpdeal::search {
namespace {

using Kind = Aggregation::Kind;

// Memory of the rendered result: of a member, of a bucket without what is nested in it, and of the values of
// a stats or extended_stats aggregation.
constexpr std::size_t kMemberBytes = sizeof(json::Member);
constexpr std::size_t kBucketBytes = 4 * kMemberBytes;
constexpr std::size_t kStatsBytes = 20 * kMemberBytes;
constexpr std::size_t kBytesPerMetaByte = 20;  // a value for every other byte, as in [0,0,0]

json::Value or_null(const std::optional<double>& value) {
  return value ? json::Value(*value) : json::Value();
}

// The prefix of an aggregation's name in a response with typed_keys.
std::string type_prefix(const Aggregation& spec, const json::Value* first_key) {
  if (spec.kind != Kind::terms) return spec.type;
  if (!first_key || first_key->string()) return "sterms";
  return first_key->integer() ? "lterms" : "dterms";
}

// In place of the value by which a bucket is ordered, if it has none.
constexpr double kNoValue = std::numeric_limits<double>::quiet_NaN();

int compare_keys(const json::Value& a, const json::Value& b) {
  if (a.string() && b.string()) return a.string()->compare(*b.string());
  const auto exact_a = a.integer(), exact_b = b.integer();
  if (exact_a && exact_b) return order_of(*exact_a, *exact_b);
  return order_of(a.number() ? *a.number() : 0, b.number() ? *b.number() : 0);
}

}  // namespace

std::optional<double> AggregationReducer::metric_value(const State& state, std::string_view value) {
  const MetricTotals& totals = state.totals;
  const auto count = static_cast<double>(totals.count);
  const double mean = totals.count ? totals.sum / count : 0;
  const double variance = totals.count ? std::max(0.0, totals.sum_of_squares / count - mean * mean) : 0;
  switch (state.spec->kind) {
    case Kind::min:
      return totals.min;
    case Kind::max:
      return totals.max;
    case Kind::sum:
      return totals.sum;
    case Kind::value_count:
      return count;
    case Kind::avg:
      if (totals.count == 0) return std::nullopt;
      return mean;
    default:
      break;
  }
  if (value == "count") return count;
  if (value == "sum") return totals.sum;
  if (value == "min") return totals.min;
  if (value == "max") return totals.max;
  if (totals.count == 0) return std::nullopt;
  if (value == "avg") return mean;
  if (value == "sum_of_squares") return totals.sum_of_squares;
  if (value == "variance" || value == "variance_population") return variance;
  if (value == "std_deviation" || value == "std_deviation_population") return std::sqrt(variance);
  if (totals.count > 1 && value == "variance_sampling") return variance * count / (count - 1);
  if (totals.count > 1 && value == "std_deviation_sampling") return std::sqrt(variance * count / (count - 1));
  return std::nullopt;
}

const AggregationReducer::State& AggregationReducer::state_of(const Aggregation& spec,
                                                              const std::vector<State>& states) const {
  for (const State& state : states)
    if (state.spec == &spec) return state;
  State& empty = empty_states_[&spec];
  empty.spec = &spec;
  return empty;
}

std::optional<double> AggregationReducer::order_value(const Aggregations& specs,
                                                      const std::vector<State>& states,
                                                      const Aggregation::Order& order,
                                                      std::size_t depth) const {
  const Aggregation& spec = specs[order.positions[depth]];
  const State& state = state_of(spec, states);
  if (depth + 1 == order.path.size()) return metric_value(state, order.value);
  if (state.buckets.empty()) return std::nullopt;
  return order_value(spec.sub_aggregations, state.buckets.front().sub_states, order, depth + 1);
}

// The values of nested aggregations by which the buckets are ordered, in rows of one bucket each. They are
// looked up once and not for each comparison.
std::vector<double> AggregationReducer::order_values(const Aggregation& spec,
                                                     const BucketPointers& buckets) const {
  std::vector<double> values;
  for (const Bucket* bucket : buckets)
    for (const Aggregation::Order& order : spec.order)
      if (!order.path.empty())
        values.push_back(order_value(spec.sub_aggregations, bucket->sub_states, order, 0).value_or(kNoValue));
  return values;
}

void AggregationReducer::sort(const Aggregation& spec, BucketPointers& buckets) const {
  order_values_ += buckets.size() * spec.order.size();
  if (order_values_ > bounds_.max_order_values)
    throw ApiError{400,
                   "too_many_buckets_exception",
                   "aggregation [" + truncated(spec.name) + "]: [order] takes more than " +
                       std::to_string(bounds_.max_order_values) + " values of buckets",
                   {},
                   {}};
  struct Row {
    const Bucket* bucket;
    const double* values;
  };
  const std::vector<double> values = order_values(spec, buckets);
  const std::size_t width = buckets.empty() ? 0 : values.size() / buckets.size();
  std::vector<Row> rows;
  for (const Bucket* bucket : buckets) rows.push_back({bucket, values.data() + rows.size() * width});
  const auto before = [&](const Row& a, const Row& b) {
    const double *x = a.values, *y = b.values;
    for (const Aggregation::Order& order : spec.order) {
      int comparison = 0;
      if (order.path.empty()) {
        comparison = order.value == "_count" ? order_of(a.bucket->count, b.bucket->count)
                                             : compare_keys(a.bucket->key, b.bucket->key);
      } else {
        // Buckets without a value are sorted last.
        if (std::isnan(*x) != std::isnan(*y)) return std::isnan(*y);
        comparison = order_of(*x++, *y++);
      }
      if (comparison != 0) return order.descending ? comparison > 0 : comparison < 0;
    }
    return false;
  };
  std::stable_sort(rows.begin(), rows.end(), before);
  std::transform(rows.begin(), rows.end(), buckets.begin(), [](const Row& row) { return row.bucket; });
}

// Bounds the response, while its buckets are made: a small interval over wide extended_bounds would produce
// millions of them.
void AggregationReducer::check_bucket_limit(std::size_t buckets) const {
  if (rendered_buckets_ + buckets > bounds_.max_buckets) throw_too_many_buckets(bounds_.max_buckets);
}

// Must be called before the memory is used: the request's names and formats are repeated for each bucket.
void AggregationReducer::add_result_bytes(std::size_t bytes) const {
  rendered_bytes_ += bytes;
  if (rendered_bytes_ > bounds_.max_result_bytes)
    throw ApiError{400,
                   "too_many_buckets_exception",
                   "the aggregations' result would take more than " +
                       std::to_string(bounds_.max_result_bytes) + " bytes",
                   {},
                   {}};
}

// The buckets of a histogram, including the empty ones in the gaps.
AggregationReducer::BucketPointers AggregationReducer::fill_gaps(const State& state,
                                                                 std::deque<Bucket>& gaps) const {
  const Aggregation& spec = *state.spec;
  const bool dates = spec.kind == Kind::date_histogram;
  BucketPointers sorted;
  for (const Bucket& bucket : state.buckets) sorted.push_back(&bucket);
  std::sort(sorted.begin(), sorted.end(), [](const Bucket* a, const Bucket* b) {
    return a->key.number() && b->key.number() && *a->key.number() < *b->key.number();
  });
  BucketPointers out;
  // The largest bucket key not above a value, and the key after a given one.
  const auto floor_key = [&](double value) {
    if (!spec.calendar_interval.empty())
      return static_cast<double>(start_of_unit(static_cast<std::int64_t>(value - spec.offset),
                                               spec.calendar_interval, spec.zone_offset_ms)) +
             spec.offset;
    const double zone = static_cast<double>(spec.zone_offset_ms);
    return std::floor((value + zone - spec.offset) / spec.interval) * spec.interval + spec.offset - zone;
  };
  const auto next_key = [&](double key, double first, std::size_t steps) {
    if (!spec.calendar_interval.empty())
      return static_cast<double>(start_of_next_unit(static_cast<std::int64_t>(key - spec.offset),
                                                    spec.calendar_interval, spec.zone_offset_ms)) +
             spec.offset;
    return first + static_cast<double>(steps + 1) * spec.interval;
  };
  std::optional<double> from, to;
  if (!sorted.empty()) from = *sorted.front()->key.number(), to = *sorted.back()->key.number();
  if (spec.extended_bounds) {
    const double low = floor_key(spec.extended_bounds->first), high = floor_key(spec.extended_bounds->second);
    from = from ? std::min(*from, low) : low;
    to = to ? std::max(*to, high) : high;
  }
  if (!from) return out;
  const double tolerance = spec.calendar_interval.empty() ? spec.interval * 1e-6 : 0.5;
  std::size_t next = 0;
  double key = *from;
  for (std::size_t steps = 0; key <= *to + tolerance; ++steps) {
    check_bucket_limit(out.size());
    while (next < sorted.size() && *sorted[next]->key.number() < key - tolerance)
      out.push_back(sorted[next++]);
    if (next < sorted.size() && std::abs(*sorted[next]->key.number() - key) <= tolerance) {
      out.push_back(sorted[next++]);
    } else {
      add_result_bytes(sizeof(Bucket));
      Bucket& empty = gaps.emplace_back();
      empty.key = key;
      if (dates)
        empty.key_as_string =
            format_date(static_cast<std::int64_t>(key), spec.format, spec.zone_offset_ms).value_or("");
      out.push_back(&empty);
    }
    key = next_key(key, *from, steps);
  }
  for (; next < sorted.size(); ++next) out.push_back(sorted[next]);
  return out;
}

const std::vector<AggregationReducer::Bucket>& AggregationReducer::empty_ranges(
    const Aggregation& spec) const {
  const auto [it, inserted] = empty_range_buckets_.try_emplace(&spec);
  if (!inserted) return it->second;
  const auto side = [](const json::Value* bound) {
    if (!bound) return std::string("*");
    const std::string text = bound->string() ? *bound->string() : json::write(*bound);
    return bound->integer() ? text + ".0" : text;
  };
  for (const json::Value& range : *spec.body.find("ranges")->array()) {
    add_result_bytes(sizeof(Bucket));
    Bucket& bucket = it->second.emplace_back();
    const json::Value *from = range.find("from"), *to = range.find("to");
    bucket.key = range.text_or("key", side(from) + "-" + side(to));
    if (from && from->number()) bucket.range_bounds.emplace_back("from", *from);
    if (to && to->number()) bucket.range_bounds.emplace_back("to", *to);
  }
  return it->second;
}

const std::vector<AggregationReducer::Bucket>& AggregationReducer::empty_filters(
    const Aggregation& spec) const {
  const auto [it, inserted] = empty_filter_buckets_.try_emplace(&spec);
  if (!inserted) return it->second;
  const std::size_t count = spec.filter_count + (spec.other_bucket ? 1 : 0);
  for (std::size_t i = 0; i < count; ++i) {
    add_result_bytes(sizeof(Bucket));
    const bool other = i == spec.filter_count;
    it->second.emplace_back().key = spec.filter_names.empty() ? std::to_string(i)
                                    : other                   ? spec.other_key
                                                              : spec.filter_names[i];
  }
  return it->second;
}

// In request order, including filters for which no slice responded.
AggregationReducer::BucketPointers AggregationReducer::filter_buckets(const State& state) const {
  BucketPointers out;
  for (const Bucket& empty : empty_filters(*state.spec)) {
    const auto found = state.bucket_index.find(*empty.key.string());
    out.push_back(found == state.bucket_index.end() ? &empty : &state.buckets[found->second]);
  }
  return out;
}

// The buckets to render of an aggregation other than terms. `gaps` holds those that exist only here.
AggregationReducer::BucketPointers AggregationReducer::buckets_of(const State& state,
                                                                  std::deque<Bucket>& gaps) const {
  const Aggregation& spec = *state.spec;
  if (spec.kind == Kind::filters) return filter_buckets(state);
  BucketPointers out;
  if (spec.kind == Kind::range) {
    for (const Bucket& bucket : state.buckets.empty() ? empty_ranges(spec) : state.buckets)
      out.push_back(&bucket);
    return out;
  }
  const Aggregation::Order& first_order = spec.order.front();
  const bool by_key = first_order.path.empty() && first_order.value == "_key" && !first_order.descending;
  if (spec.min_doc_count == 0) {
    out = fill_gaps(state, gaps);
    if (by_key) return out;
  } else {
    for (const Bucket& bucket : state.buckets)
      if (bucket.count >= spec.min_doc_count) out.push_back(&bucket);
  }
  sort(spec, out);
  return out;
}

json::Object AggregationReducer::render_bucket(const State& state, const Bucket& bucket, bool typed) const {
  check_bucket_limit(1);
  ++rendered_buckets_;
  add_result_bytes(kBucketBytes + bucket.key_as_string.size() + kMemberBytes * bucket.range_bounds.size() +
                   (bucket.key.string() ? bucket.key.string()->size() : 0));
  json::Object out;
  out.reserve(4 + bucket.range_bounds.size() + state.spec->sub_aggregations.size());
  const Kind kind = state.spec->kind;
  if (!bucket.key_as_string.empty()) out.emplace_back("key_as_string", bucket.key_as_string);
  if (kind != Kind::single_bucket && kind != Kind::filters) out.emplace_back("key", bucket.key);
  out.insert(out.end(), bucket.range_bounds.begin(), bucket.range_bounds.end());
  out.emplace_back("doc_count", bucket.count);
  if (kind == Kind::terms && state.spec->show_doc_count_error)
    out.emplace_back("doc_count_error_upper_bound",
                     state.doc_count_error_known
                         ? json::Value(state.doc_count_error - bucket.error_of_contributors)
                         : json::Value(-1));
  for (json::Member& member : render(state.spec->sub_aggregations, bucket.sub_states, typed))
    out.push_back(std::move(member));
  return out;
}

json::Value AggregationReducer::render_terms(const State& state, bool typed) const {
  const Aggregation& spec = *state.spec;
  BucketPointers sorted;
  std::uint64_t other = state.other_doc_count;
  for (const Bucket& bucket : state.buckets)
    if (bucket.count >= spec.min_doc_count) sorted.push_back(&bucket);
  sort(spec, sorted);
  for (std::size_t i = spec.size; i < sorted.size(); ++i) other += sorted[i]->count;
  sorted.resize(std::min(sorted.size(), spec.size));
  json::Array buckets;
  for (const Bucket* bucket : sorted) buckets.push_back(render_bucket(state, *bucket, typed));
  return json::Object{{"doc_count_error_upper_bound",
                       state.doc_count_error_known ? json::Value(state.doc_count_error) : json::Value(-1)},
                      {"sum_other_doc_count", other},
                      {"buckets", std::move(buckets)}};
}

json::Value AggregationReducer::render_buckets(const State& state, bool typed) const {
  const Aggregation& spec = *state.spec;
  std::deque<Bucket> gaps;
  const BucketPointers sorted = buckets_of(state, gaps);
  const bool by_name = spec.kind == Kind::filters ? spec.keyed && !spec.filter_names.empty() : spec.keyed;
  if (!by_name) {
    json::Array buckets;
    for (const Bucket* bucket : sorted) buckets.push_back(render_bucket(state, *bucket, typed));
    return json::Object{{"buckets", std::move(buckets)}};
  }
  json::Object buckets;
  for (const Bucket* bucket : sorted) {
    const std::string name = !bucket->key_as_string.empty() ? bucket->key_as_string
                             : bucket->key.string()         ? *bucket->key.string()
                                                            : json::write(bucket->key);
    json::Object body = render_bucket(state, *bucket, typed);
    if (spec.kind == Kind::range)
      std::erase_if(body, [](const json::Member& member) { return member.first == "key"; });
    buckets.emplace_back(name, std::move(body));
  }
  return json::Object{{"buckets", std::move(buckets)}};
}

json::Value AggregationReducer::render_one(const State& state, bool typed) const {
  const Aggregation& spec = *state.spec;
  if (spec.kind == Kind::terms) return render_terms(state, typed);
  if (spec.kind == Kind::single_bucket) {
    const Bucket none;
    return render_bucket(state, state.buckets.empty() ? none : state.buckets.front(), typed);
  }
  return spec.is_metric() ? render_metric(state) : render_buckets(state, typed);
}

json::Value AggregationReducer::render_metric(const State& state) const {
  const Aggregation& spec = *state.spec;
  const bool several_values = spec.kind == Kind::stats || spec.kind == Kind::extended_stats;
  add_result_bytes(several_values ? kStatsBytes : kMemberBytes);
  const MetricTotals& totals = state.totals;
  const auto value = [&](const char* name) { return or_null(metric_value(state, name)); };
  json::Object out;
  if (spec.kind == Kind::value_count) return json::Object{{"value", totals.count}};
  if (!several_values) {
    out.emplace_back("value", value("value"));
    const std::string& text = spec.kind == Kind::min ? totals.min_text : totals.max_text;
    if ((spec.kind == Kind::min || spec.kind == Kind::max) && !text.empty())
      out.emplace_back("value_as_string", text);
    return out;
  }
  out.emplace_back("count", totals.count);
  for (const char* name : {"min", "max", "avg", "sum"}) out.emplace_back(name, value(name));
  if (!totals.min_text.empty()) out.emplace_back("min_as_string", totals.min_text);
  if (!totals.max_text.empty()) out.emplace_back("max_as_string", totals.max_text);
  if (spec.kind == Kind::stats) return out;
  for (const char* name : {"sum_of_squares", "variance", "variance_population", "variance_sampling",
                           "std_deviation", "std_deviation_population", "std_deviation_sampling"})
    out.emplace_back(name, value(name));
  const auto bound = [&](const char* deviation, double sign) -> json::Value {
    const auto mean = metric_value(state, "avg"), spread = metric_value(state, deviation);
    return mean && spread ? json::Value(*mean + sign * spec.sigma * *spread) : json::Value();
  };
  out.emplace_back("std_deviation_bounds",
                   json::Object{{"upper", bound("std_deviation", 1)},
                                {"lower", bound("std_deviation", -1)},
                                {"upper_population", bound("std_deviation_population", 1)},
                                {"lower_population", bound("std_deviation_population", -1)},
                                {"upper_sampling", bound("std_deviation_sampling", 1)},
                                {"lower_sampling", bound("std_deviation_sampling", -1)}});
  return out;
}

json::Object AggregationReducer::render(const Aggregations& specs, const std::vector<State>& states,
                                        bool typed) const {
  json::Object out;
  for (const Aggregation& spec : specs) {
    add_result_bytes(kMemberBytes + spec.name.size() + kBytesPerMetaByte * spec.meta_bytes);
    const State& state = state_of(spec, states);
    json::Value rendered = render_one(state, typed);
    if (!spec.meta.is_null()) rendered.object()->insert(rendered.object()->begin(), {"meta", spec.meta});
    std::string name = spec.name;
    if (typed)
      name = type_prefix(spec, state.buckets.empty() ? nullptr : &state.buckets.front().key) + "#" + name;
    out.emplace_back(std::move(name), std::move(rendered));
  }
  return out;
}

json::Object AggregationReducer::render(bool typed_keys) const {
  rendered_buckets_ = rendered_bytes_ = order_values_ = 0;
  return render(specs_, states_, typed_keys);
}

}  // namespace kelpdeal::search
