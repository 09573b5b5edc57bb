// SPDX-License-Identifier: MIT
// Merges the slices' results of aggregations.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "kelpdeal/search/aggregations.h"
#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {
namespace {

using Kind = Aggregation::Kind;

std::uint64_t parse_whole_number(std::string_view raw) {
  std::uint64_t value = 0;
  std::from_chars(raw.data(), raw.data() + raw.size(), value);
  return value;
}

std::optional<double> parse_number(std::string_view raw) {
  double value = 0;
  const auto parsed = std::from_chars(raw.data(), raw.data() + raw.size(), value);
  if (raw.empty() || parsed.ec != std::errc()) return std::nullopt;
  return value;
}

}  // namespace

void AggregationReducer::throw_too_many_buckets(std::size_t max_buckets) {
  throw ApiError{400,
                 "too_many_buckets_exception",
                 "Trying to create too many buckets. Must be less than or equal to: [" +
                     std::to_string(max_buckets) + "]",
                 {},
                 {}};
}

AggregationReducer::AggregationReducer(const Aggregations& specs, const AggregationBounds& bounds)
    : specs_(specs), bounds_(bounds) {}

bool AggregationReducer::usable(const Aggregations& specs, std::string_view raw) {
  std::set<std::string_view> missing;
  for (const Aggregation& aggregation : specs) missing.insert(aggregation.name);
  json::Scanner walk(raw);
  while (!missing.empty() && walk.next())
    if (missing.erase(walk.name()) > 0 && !json::Scanner(walk.remaining()).is_object()) return false;
  return missing.empty();
}

// Bounds the memory of what slices return before their buckets and nested results are kept.
void AggregationReducer::count_merged_result() {
  if (++merged_results_ > bounds_.max_merged_results) throw_too_many_buckets(bounds_.max_merged_results);
}

AggregationReducer::State& AggregationReducer::find_or_add_state(std::vector<State>& states,
                                                                 const Aggregation& spec) {
  const auto found =
      std::find_if(states.begin(), states.end(), [&](const State& state) { return state.spec == &spec; });
  if (found != states.end()) return *found;
  count_merged_result();
  State& state = states.emplace_back();
  state.spec = &spec;
  return state;
}

void AggregationReducer::add(std::string_view input) {
  json::Scanner walk(input);
  if (!walk.is_object()) return;
  while (walk.next())
    for (const Aggregation& spec : specs_)
      if (walk.name() == spec.name)
        walk.skip_to(merge_one(find_or_add_state(states_, spec), walk.remaining()));
}

// The merge functions take text that starts at their value and return where the value ends, so that no text
// is scanned twice.
const char* AggregationReducer::merge_one(State& state, std::string_view input) {
  const Aggregation& spec = *state.spec;
  if (spec.kind == Kind::terms) return merge_terms(state, input);
  if (spec.kind == Kind::single_bucket) return merge_bucket(spec, find_or_add_bucket(state, "").first, input);
  if (!spec.is_metric()) return merge_buckets(state, input);
  MetricTotals& totals = state.totals;
  std::string_view min_text, max_text;
  std::optional<double> min, max;
  json::Scanner walk(input);
  while (walk.next()) {
    const std::string_view name = walk.name();
    const std::optional<double> value = parse_number(walk.raw());
    if (name == "count")
      totals.count += parse_whole_number(walk.raw());
    else if (name == "sum")
      totals.sum += value.value_or(0);
    else if (name == "sum_of_squares")
      totals.sum_of_squares += value.value_or(0);
    else if (name == "min" || (name == "value" && spec.kind == Kind::min))
      min = value;
    else if (name == "max" || (name == "value" && spec.kind == Kind::max))
      max = value;
    else if (name == "value" && spec.kind == Kind::sum)
      totals.sum += value.value_or(0);
    else if (name == "value" && spec.kind == Kind::value_count)
      totals.count += parse_whole_number(walk.raw());
    else if (name == "min_as_string" || (name == "value_as_string" && spec.kind == Kind::min))
      min_text = walk.raw();
    else if (name == "max_as_string" || (name == "value_as_string" && spec.kind == Kind::max))
      max_text = walk.raw();
  }
  if (min && (!totals.min || *min < *totals.min)) totals.min = min, totals.min_text = json::unquote(min_text);
  if (max && (!totals.max || *max > *totals.max)) totals.max = max, totals.max_text = json::unquote(max_text);
  return walk.end();
}

// The bucket for a key, and whether it was added by this call.
std::pair<AggregationReducer::Bucket&, bool> AggregationReducer::find_or_add_bucket(State& state,
                                                                                    std::string_view key) {
  const auto found = state.bucket_index.find(key);
  if (found != state.bucket_index.end()) return {state.buckets[found->second], false};
  count_merged_result();
  state.bucket_index.emplace(std::string(key), state.buckets.size());
  return {state.buckets.emplace_back(), true};
}

const char* AggregationReducer::merge_bucket(const Aggregation& spec, Bucket& bucket,
                                             std::string_view input) {
  json::Scanner walk(input);
  while (walk.next()) {
    if (walk.name() == "doc_count") {
      bucket.count += parse_whole_number(walk.raw());
      continue;
    }
    for (const Aggregation& sub_spec : spec.sub_aggregations)
      if (walk.name() == sub_spec.name)
        walk.skip_to(merge_one(find_or_add_state(bucket.sub_states, sub_spec), walk.remaining()));
  }
  return walk.end();
}

const char* AggregationReducer::merge_terms(State& state, std::string_view input) {
  std::uint64_t other = 0, own_error = 0, last_count = 0;
  std::vector<std::size_t> returned;  // positions of the buckets returned by this slice
  json::Scanner walk(input);
  while (walk.next()) {
    if (walk.name() == "sum_other_doc_count") other = parse_whole_number(walk.raw());
    if (walk.name() == "doc_count_error_upper_bound") own_error = parse_whole_number(walk.raw());
    if (walk.name() != "buckets") continue;
    json::Scanner buckets(walk.remaining());
    while (buckets.next()) {
      json::Scanner members(buckets.remaining());
      const std::size_t bucket = merge_terms_bucket(state, members, last_count);
      buckets.skip_to(members.end());
      returned.push_back(bucket);
    }
    walk.skip_to(buckets.end());
  }
  const Aggregation& spec = *state.spec;
  state.other_doc_count += other;
  const bool by_key = spec.order.front().value == "_key";
  const bool by_count = spec.order.front().value == "_count" && spec.order.front().descending;
  if (!by_key && !by_count && other > 0) state.doc_count_error_known = false;
  const std::uint64_t error = own_error + (by_count && other > 0 ? last_count : 0);
  state.doc_count_error += error;
  if (error > 0)
    for (const std::size_t i : returned) state.buckets[i].error_of_contributors += error;
  return walk.end();
}

// Merges one bucket of a slice's terms. Returns its position in `state.buckets`, and its document count in
// `count`.
std::size_t AggregationReducer::merge_terms_bucket(State& state, json::Scanner& members,
                                                   std::uint64_t& count) {
  std::string_view key, text;
  std::vector<std::pair<std::size_t, std::string_view>> sub_values;
  while (members.next()) {
    const std::string_view name = members.name();
    if (name == "key")
      key = members.raw();
    else if (name == "doc_count")
      count = parse_whole_number(members.raw());
    else if (name == "key_as_string")
      text = members.raw();
    else
      for (std::size_t i = 0; i < state.spec->sub_aggregations.size(); ++i)
        if (name == state.spec->sub_aggregations[i].name) sub_values.emplace_back(i, members.raw());
  }
  // Keys are looked up by their JSON text, which is the same for equal values at every slice except for
  // escapes in strings and alternative forms of a number; such keys are normalized first.
  const bool is_canonical =
      key.empty() || (key.front() == '"' ? key.find('\\') == std::string_view::npos
                                         : key.find_first_of(".eE") == std::string_view::npos);
  std::string normalized, error;
  if (!is_canonical) {
    const auto value = json::parse(key, error);
    if (value) key = normalized = json::write(*value);
  }
  const auto [bucket, inserted] = find_or_add_bucket(state, key);
  if (inserted) {
    bucket.key = json::parse(key, error).value_or(json::Value());
    bucket.key_as_string = json::unquote(text);
    if (state.buckets.front().key.string() && !bucket.key.string())
      throw_illegal_argument("aggregation [" + state.spec->name +
                             "]: the slices hold keys of different types");
  }
  bucket.count += count;
  for (const auto& [i, raw] : sub_values)
    merge_one(find_or_add_state(bucket.sub_states, state.spec->sub_aggregations[i]), raw);
  return static_cast<std::size_t>(&bucket - state.buckets.data());
}

// Merges buckets given as a list or as an object.
const char* AggregationReducer::merge_buckets(State& state, std::string_view input) {
  json::Scanner walk(input);
  while (walk.next()) {
    if (walk.name() != "buckets") continue;
    json::Scanner buckets(walk.remaining());
    for (std::size_t number = 0; buckets.next(); ++number) {
      const std::string_view raw = buckets.raw();
      merge_bucket(*state.spec, target_bucket(state, buckets, number), raw);
    }
    walk.skip_to(buckets.end());
  }
  if (state.spec->kind != Kind::range || empty_range_buckets_.contains(state.spec)) return walk.end();
  std::vector<Bucket>& empty_buckets = empty_range_buckets_[state.spec];
  for (const Bucket& bucket : state.buckets) {
    Bucket& empty = empty_buckets.emplace_back();
    empty.key = bucket.key;
    empty.key_as_string = bucket.key_as_string;
    empty.range_bounds = bucket.range_bounds;
  }
  return walk.end();
}

// The bucket into which the current element of `buckets` is merged.
AggregationReducer::Bucket& AggregationReducer::target_bucket(State& state, json::Scanner& buckets,
                                                              std::size_t number) {
  const Aggregation& spec = *state.spec;
  std::string key;
  std::string_view key_json, key_as_string;
  json::Object range_bounds;
  json::Scanner members(buckets.raw());
  while (members.next()) {
    const std::string_view name = members.name();
    if (name == "key")
      key_json = members.raw();
    else if (name == "key_as_string")
      key_as_string = members.raw();
    else if (name == "from" || name == "to" || name == "from_as_string" || name == "to_as_string")
      range_bounds.emplace_back(std::string(name), json::Raw{std::string(members.raw())});
  }
  if (spec.kind == Kind::filters) {
    key = buckets.is_object() ? json::unquote(buckets.name()) : std::to_string(number);
  } else {
    const auto value = parse_number(key_json);
    // A histogram bucket without a valid key has no position, so the gaps between buckets could not be
    // filled.
    const bool histogram = spec.kind == Kind::histogram || spec.kind == Kind::date_histogram;
    if (histogram && (!value || !(std::abs(*value) < kMaxHistogramKey)))
      throw ApiError{500,
                     "aggregation_execution_exception",
                     "aggregation [" + spec.name + "]: a slice gave a bucket without a key",
                     {},
                     {}};
    key = value ? json::write(json::Value(*value)) : std::string(key_json);
  }
  const auto [bucket, inserted] = find_or_add_bucket(state, key);
  if (inserted) {
    std::string error;
    bucket.key =
        spec.kind == Kind::filters ? json::Value(key) : json::parse(key_json, error).value_or(json::Value());
    bucket.key_as_string = json::unquote(key_as_string);
    bucket.range_bounds = std::move(range_bounds);
  }
  return bucket;
}

}  // namespace kelpdeal::search
