// SPDX-License-Identifier: MIT
#include "kelpdeal/search/aggregations.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/dates.h"
#include "kelpdeal/search/query_dsl.h"

namespace kelpdeal::search {
namespace {

using Kind = Aggregation::Kind;

struct Type {
  const char* name;
  Kind kind;
};
constexpr Type kTypes[] = {
    {"terms", Kind::terms},
    {"histogram", Kind::histogram},
    {"range", Kind::range},
    {"date_histogram", Kind::date_histogram},
    {"date_range", Kind::range},
    {"filters", Kind::filters},
    {"filter", Kind::single_bucket},
    {"missing", Kind::single_bucket},
    {"global", Kind::single_bucket},
    {"nested", Kind::single_bucket},
    {"min", Kind::min},
    {"reverse_nested", Kind::single_bucket},
    {"max", Kind::max},
    {"sum", Kind::sum},
    {"avg", Kind::avg},
    {"value_count", Kind::value_count},
    {"stats", Kind::stats},
    {"extended_stats", Kind::extended_stats},
};

struct UnsupportedType {
  const char *name, *reason;
};
constexpr const char* kSingleNumberNotMergeable =
    "a slice answers with one number, and two such numbers cannot be put together";
constexpr const char* kPipelineNotSupported =
    "pipeline aggregations are computed from merged buckets, which is not done here";
constexpr UnsupportedType kUnsupportedTypes[] = {
    {"cardinality", kSingleNumberNotMergeable},
    {"percentiles", kSingleNumberNotMergeable},
    {"percentile_ranks", kSingleNumberNotMergeable},
    {"median_absolute_deviation", kSingleNumberNotMergeable},
    {"weighted_avg", kSingleNumberNotMergeable},
    {"scripted_metric", "its parts cannot be put together without running its scripts"},
    {"significant_terms", "its scores depend on all documents of an index"},
    {"significant_text", "its scores depend on all documents of an index"},
    {"rare_terms", "a term that is rare in one slice may not be rare in all"},
    {"sampler", "a sample of each slice is no sample of all"},
    {"diversified_sampler", "a sample of each slice is no sample of all"},
    {"auto_date_histogram", "slices may choose different intervals"},
    {"variable_width_histogram", "slices choose different intervals"},
    {"composite", "its pages cannot be put together yet"},
    {"multi_terms", "it cannot be put together yet"},
    {"top_hits", "it cannot be put together yet"},
    {"matrix_stats", "it cannot be put together yet"},
    {"geo_bounds", "it cannot be put together yet"},
    {"geo_centroid", "it cannot be put together yet"},
    {"avg_bucket", kPipelineNotSupported},
    {"sum_bucket", kPipelineNotSupported},
    {"min_bucket", kPipelineNotSupported},
    {"max_bucket", kPipelineNotSupported},
    {"stats_bucket", kPipelineNotSupported},
    {"bucket_sort", kPipelineNotSupported},
    {"bucket_script", kPipelineNotSupported},
    {"bucket_selector", kPipelineNotSupported},
    {"derivative", kPipelineNotSupported},
    {"cumulative_sum", kPipelineNotSupported},
    {"moving_fn", kPipelineNotSupported},
    {"serial_diff", kPipelineNotSupported},
};

[[noreturn]] void reject(const std::string& name, const std::string& reason) {
  throw_illegal_argument("aggregation [" + truncated(name) + "]: " + reason);
}

std::size_t read_whole_number(const json::Value& body, const char* option, std::size_t default_value,
                              const std::string& name) {
  const json::Value* value = body.find(option);
  if (!value) return default_value;
  const double* number = value->number();
  if (!number || *number < 0 || *number != std::floor(*number) || *number > 1e9)
    reject(name, "[" + std::string(option) + "] must be a whole number");
  return static_cast<std::size_t>(*number);
}

double read_number(const json::Value& value, const std::string& name, const char* option) {
  if (!value.number()) reject(name, "[" + std::string(option) + "] must be a number");
  return *value.number();
}

void reject_unknown_options(const json::Value& body, const std::string& name, std::string_view known) {
  for (const auto& [option, value] : *body.object()) {
    bool found = false;
    for (std::size_t position = 0; position < known.size() && !found;) {
      const std::size_t end = known.find(' ', position);
      found = known.substr(position, end - position) == option;
      position = end + 1;
    }
    if (!found)
      throw_parsing_error("aggregation [" + truncated(name) + "] does not support [" + truncated(option) +
                          "]");
  }
}

Aggregation::Order read_order(const std::string& path, const json::Value& direction, const std::string& name,
                              const AggregationBounds& bounds) {
  Aggregation::Order order;
  const std::string* direction_text = direction.string();
  if (!direction_text || (*direction_text != "asc" && *direction_text != "desc"))
    reject(name, "[order] is neither asc nor desc");
  order.descending = *direction_text == "desc";
  if (path == "_key" || path == "_count") {
    order.value = path;
    return order;
  }
  std::size_t position = 0;
  for (std::size_t end = 0; (end = path.find('>', position)) != std::string::npos; position = end + 1) {
    if (order.path.size() >= bounds.max_depth) reject(name, "invalid aggregation order path: it is too long");
    order.path.push_back(path.substr(position, end - position));
  }
  const std::size_t dot = path.find('.', position);
  order.path.push_back(path.substr(position, dot == std::string::npos ? dot : dot - position));
  order.value = dot == std::string::npos ? "value" : path.substr(dot + 1);
  return order;
}

std::vector<Aggregation::Order> read_orders(const json::Value& body, const std::string& name,
                                            const AggregationBounds& bounds) {
  std::vector<Aggregation::Order> orders;
  const json::Value* given = body.find("order");
  if (!given) return orders;
  const auto read_one = [&](const json::Value& entry) {
    if (!entry.object() || entry.object()->size() != 1) reject(name, "[order] must name one key");
    const json::Member& member = entry.object()->front();
    if (orders.size() >= bounds.max_orders)
      reject(name, "[order] names more than " + std::to_string(bounds.max_orders) + " keys");
    orders.push_back(read_order(member.first, member.second, name, bounds));
  };
  if (const json::Array* entries = given->array())
    for (const json::Value& entry : *entries) read_one(entry);
  else
    read_one(*given);
  return orders;
}

// An order by a nested aggregation must name an existing one that has such a value.
void check_orders(const Aggregation& spec) {
  for (const Aggregation::Order& order : spec.order) {
    const Aggregations* level = &spec.sub_aggregations;
    for (std::size_t i = 0; i < order.path.size(); ++i) {
      const auto found = std::find_if(level->begin(), level->end(), [&](const Aggregation& aggregation) {
        return aggregation.name == order.path[i];
      });
      if (found == level->end())
        reject(spec.name,
               "invalid aggregation order path: no aggregation [" + truncated(order.path[i]) + "]");
      const bool is_last = i + 1 == order.path.size();
      if (is_last ? !found->is_metric() : found->kind != Kind::single_bucket)
        reject(spec.name,
               "invalid aggregation order path: [" + truncated(order.path[i]) + "] cannot be ordered by");
      const bool has_several_values = found->kind == Kind::stats || found->kind == Kind::extended_stats;
      if (is_last && has_several_values != (order.value != "value"))
        reject(spec.name,
               "invalid aggregation order path: [" + truncated(order.path[i]) + "] needs one value named");
      level = &found->sub_aggregations;
    }
  }
}

void read_terms(Aggregation& aggregation, const AggregationBounds& bounds) {
  reject_unknown_options(
      aggregation.body, aggregation.name,
      "field size shard_size min_doc_count shard_min_doc_count order missing include exclude script format "
      "value_type collect_mode execution_hint show_term_doc_count_error ");
  aggregation.size = read_whole_number(aggregation.body, "size", 10, aggregation.name);
  if (aggregation.size == 0) reject(aggregation.name, "[size] must be greater than 0");
  aggregation.min_doc_count = read_whole_number(aggregation.body, "min_doc_count", 1, aggregation.name);
  aggregation.order = read_orders(aggregation.body, aggregation.name, bounds);
  // Ordered by key, the first `size` terms of each slice suffice unless min_doc_count can drop some of them.
  const bool by_key = aggregation.order.size() == 1 && aggregation.order.front().value == "_key" &&
                      aggregation.min_doc_count <= 1;
  aggregation.shard_size =
      std::max(aggregation.size,
               read_whole_number(aggregation.body, "shard_size",
                                 by_key ? aggregation.size : aggregation.size + aggregation.size / 2 + 10,
                                 aggregation.name));
  if (aggregation.shard_size > bounds.max_shard_size)
    reject(aggregation.name,
           "more than " + std::to_string(bounds.max_shard_size) + " buckets are asked of each slice");
  if (aggregation.order.empty()) aggregation.order.push_back({{}, "_count", true});
  if (aggregation.order.back().value != "_key") aggregation.order.push_back({{}, "_key", false});
  aggregation.show_doc_count_error = aggregation.body.flag_or("show_term_doc_count_error", false);
}

void read_date_interval(Aggregation& aggregation) {
  const std::string calendar_interval = aggregation.body.text_or("calendar_interval", ""),
                    fixed = aggregation.body.text_or("fixed_interval", "");
  if (aggregation.body.find("interval"))
    reject(aggregation.name, "[interval] is no longer taken: use fixed_interval or calendar_interval");
  if (calendar_interval.empty() == fixed.empty())
    reject(aggregation.name, "one of [fixed_interval] and [calendar_interval] is needed");
  if (!calendar_interval.empty()) {
    aggregation.calendar_interval = parse_calendar_unit(calendar_interval);
    if (aggregation.calendar_interval.empty())
      reject(aggregation.name,
             "the supplied interval [" + truncated(calendar_interval) + "] is no calendar interval");
  } else {
    double amount = 0;
    const char* end = fixed.data() + fixed.size();
    const auto parsed = std::from_chars(fixed.data(), end, amount, std::chars_format::fixed);
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    const double ms = unit == "ms"  ? 1
                      : unit == "s" ? 1e3
                      : unit == "m" ? 6e4
                      : unit == "h" ? 3.6e6
                      : unit == "d" ? 8.64e7
                                    : 0;
    if (parsed.ec != std::errc() || ms == 0 || amount * ms < 1)
      reject(aggregation.name, "failed to parse [fixed_interval] with value [" + truncated(fixed) + "]");
    aggregation.interval = std::floor(amount * ms);
  }
  const std::string zone = aggregation.body.text_or("time_zone", "");
  const auto offset = parse_zone_offset(zone);
  aggregation.has_fixed_zone_offset = offset.has_value();
  aggregation.zone_offset_ms = offset.value_or(0);
  if (const json::Value* shift = aggregation.body.find("offset")) {
    if (!shift->string() || shift->string()->size() < 2)
      reject(aggregation.name, "[offset] must be text such as +6h");
    const bool sign = (*shift->string())[0] == '+' || (*shift->string())[0] == '-';
    const auto moved = evaluate_date_math("now" + std::string(sign ? "" : "+") + *shift->string(), 0);
    if (!moved) reject(aggregation.name, "[offset] must be text such as +6h");
    aggregation.offset = static_cast<double>(*moved);
  }
}

void read_histogram(Aggregation& aggregation, const AggregationBounds& bounds) {
  const bool dates = aggregation.kind == Kind::date_histogram;
  reject_unknown_options(
      aggregation.body, aggregation.name,
      dates ? "field fixed_interval calendar_interval interval time_zone offset format min_doc_count keyed "
              "missing "
              "order extended_bounds hard_bounds script "
            : "field interval offset format min_doc_count keyed missing order extended_bounds hard_bounds "
              "script ");
  if (dates) {
    read_date_interval(aggregation);
  } else {
    const json::Value* interval = aggregation.body.find("interval");
    if (!interval) reject(aggregation.name, "[interval] is needed");
    aggregation.interval = read_number(*interval, aggregation.name, "interval");
    if (!(aggregation.interval > 0))
      reject(aggregation.name, "[interval] must be >0 for histogram aggregation");
    aggregation.offset = aggregation.body.number_or("offset", 0);
  }
  aggregation.format = aggregation.body.text_or("format", "");
  if (aggregation.format.size() > bounds.max_format_bytes)
    reject(aggregation.name, "[format] is longer than " + std::to_string(bounds.max_format_bytes) + " bytes");
  aggregation.min_doc_count = read_whole_number(aggregation.body, "min_doc_count", 0, aggregation.name);
  aggregation.keyed = aggregation.body.flag_or("keyed", false);
  aggregation.order = read_orders(aggregation.body, aggregation.name, bounds);
  if (aggregation.order.empty() || aggregation.order.back().value != "_key")
    aggregation.order.push_back({{}, "_key", false});
  if (const json::Value* extended = aggregation.body.find("extended_bounds")) {
    const auto bound = [&](const char* side) -> double {
      const json::Value* value = extended->find(side);
      if (value && value->number()) return *value->number();
      if (dates && value && value->string())
        if (const auto ms = parse_date(*value->string())) return static_cast<double>(*ms);
      reject(aggregation.name, "[extended_bounds] needs [min] and [max], as numbers or plain dates");
    };
    aggregation.extended_bounds.emplace(bound("min"), bound("max"));
    if (aggregation.extended_bounds->first > aggregation.extended_bounds->second)
      reject(aggregation.name, "[extended_bounds.min] is greater than its [max]");
  }
  const auto is_valid_key = [](double value) { return std::abs(value) < kMaxHistogramKey; };
  if (!is_valid_key(aggregation.interval) || !is_valid_key(aggregation.offset) ||
      (aggregation.extended_bounds && !(is_valid_key(aggregation.extended_bounds->first) &&
                                        is_valid_key(aggregation.extended_bounds->second))))
    reject(aggregation.name,
           "its interval, offset and bounds have to lie within " + std::to_string(kMaxHistogramKey));
  const bool fills_gaps = aggregation.min_doc_count == 0;
  if (dates && fills_gaps && !aggregation.has_fixed_zone_offset)
    reject(aggregation.name,
           "gaps in a zone known by name cannot be filled here: state min_doc_count 1, or an offset");
  if (dates && fills_gaps && !format_date(0, aggregation.format, aggregation.zone_offset_ms))
    reject(aggregation.name, "gaps cannot be written in the format [" + truncated(aggregation.format) +
                                 "]: state min_doc_count 1");
}

void read_filters(Aggregation& aggregation, const QueryBounds& query_bounds) {
  reject_unknown_options(aggregation.body, aggregation.name, "filters other_bucket other_bucket_key keyed ");
  const json::Value* filters = aggregation.body.find("filters");
  if (!filters || (!filters->object() && !filters->array())) reject(aggregation.name, "[filters] are needed");
  if (const json::Object* named = filters->object()) {
    aggregation.keyed = aggregation.body.flag_or("keyed", true);
    for (const auto& [key, query] : *named) {
      check_query(query, "aggs." + truncated(aggregation.name) + ".filters." + truncated(key), query_bounds);
      aggregation.filter_names.push_back(key);
    }
  } else {
    const std::string path = "aggs." + truncated(aggregation.name) + ".filters";
    for (const json::Value& query : *filters->array()) check_query(query, path, query_bounds);
  }
  aggregation.filter_count = filters->object() ? filters->object()->size() : filters->array()->size();
  if (aggregation.filter_count == 0) reject(aggregation.name, "[filters] cannot be empty");
  aggregation.other_bucket =
      aggregation.body.flag_or("other_bucket", false) || aggregation.body.find("other_bucket_key");
  aggregation.other_key = aggregation.body.text_or("other_bucket_key", "_other_");
}

class AggregationReader {
 public:
  explicit AggregationReader(const AggregationBounds& bounds) : bounds_(bounds) {}

  Aggregations read(const json::Value& aggs, std::size_t depth) {
    if (!aggs.object()) throw_parsing_error("[aggs] is not an object");
    if (depth > bounds_.max_depth)
      throw_illegal_argument("aggregations are nested deeper than " + std::to_string(bounds_.max_depth));
    Aggregations out;
    for (const auto& [name, value] : *aggs.object()) {
      if (++count_ > bounds_.max_aggregations)
        throw_illegal_argument("more than " + std::to_string(bounds_.max_aggregations) + " aggregations");
      if (name.empty() || name.find_first_of("[]>") != std::string::npos)
        throw_illegal_argument("Invalid aggregation name [" + truncated(name) + "]");
      out.push_back(read_one(name, value, depth));
    }
    return out;
  }

 private:
  Aggregation read_one(const std::string& name, const json::Value& value, std::size_t depth) {
    if (!value.object()) throw_parsing_error("aggregation [" + truncated(name) + "] is not an object");
    Aggregation aggregation;
    aggregation.name = name;
    const json::Value* nested = nullptr;
    for (const auto& [part, body] : *value.object()) {
      if (part == "aggs" || part == "aggregations") {
        nested = &body;
      } else if (part == "meta") {
        aggregation.meta = body;
        aggregation.meta_bytes = json::write(body).size();
      } else if (!aggregation.type.empty()) {
        throw_parsing_error("Found two aggregation type definitions in [" + truncated(name) + "]: [" +
                            truncated(aggregation.type) + "] and [" + truncated(part) + "]");
      } else {
        aggregation.type = part;
        aggregation.body = body;
      }
    }
    if (aggregation.type.empty())
      throw_parsing_error("Missing definition for aggregation [" + truncated(name) + "]");
    for (const UnsupportedType& unsupported : kUnsupportedTypes)
      if (aggregation.type == unsupported.name)
        reject(name, "[" + aggregation.type + "] is not taken: " + unsupported.reason);
    const auto type = std::find_if(std::begin(kTypes), std::end(kTypes),
                                   [&](const Type& t) { return aggregation.type == t.name; });
    if (type == std::end(kTypes))
      throw_parsing_error("Unknown aggregation type [" + truncated(aggregation.type) + "]");
    aggregation.kind = type->kind;
    if (!aggregation.body.object())
      throw_parsing_error("aggregation [" + truncated(name) + "]: [" + aggregation.type +
                          "] is not an object");
    if (nested) {
      if (aggregation.is_metric())
        throw_illegal_argument("Aggregator [" + truncated(name) + "] of type [" + aggregation.type +
                               "] cannot accept sub-aggregations");
      aggregation.sub_aggregations = read(*nested, depth + 1);
    }
    read_options(aggregation);
    check_orders(aggregation);
    return aggregation;
  }

  void read_options(Aggregation& aggregation) {
    const QueryBounds query_bounds;
    switch (aggregation.kind) {
      case Kind::terms:
        return read_terms(aggregation, bounds_);
      case Kind::histogram:
      case Kind::date_histogram:
        return read_histogram(aggregation, bounds_);
      case Kind::range: {
        reject_unknown_options(aggregation.body, aggregation.name,
                               "field ranges keyed format missing script time_zone ");
        const json::Value* ranges = aggregation.body.find("ranges");
        if (!ranges || !ranges->array() || ranges->array()->empty())
          reject(aggregation.name, "[ranges] are needed");
        aggregation.keyed = aggregation.body.flag_or("keyed", false);
        return;
      }
      case Kind::filters:
        return read_filters(aggregation, query_bounds);
      case Kind::single_bucket:
        if (aggregation.type == "filter")
          check_query(aggregation.body, "aggs." + truncated(aggregation.name) + ".filter", query_bounds);
        return;
      case Kind::extended_stats:
        reject_unknown_options(aggregation.body, aggregation.name, "field missing script format sigma ");
        aggregation.sigma = aggregation.body.number_or("sigma", 2);
        if (aggregation.sigma < 0) reject(aggregation.name, "[sigma] must be greater than or equal to 0");
        return;
      default:
        reject_unknown_options(aggregation.body, aggregation.name, "field missing script format value_type ");
    }
  }

  const AggregationBounds& bounds_;
  std::size_t count_ = 0;
};

// The order by which a slice truncates its list of terms.
json::Value slice_order(const Aggregation& aggregation) {
  json::Array out;
  for (const Aggregation::Order& order : aggregation.order) {
    std::string path;
    const Aggregations* level = &aggregation.sub_aggregations;
    for (const std::string& step : order.path) {
      path += (path.empty() ? "" : ">") + step;
      const auto found = std::find_if(level->begin(), level->end(),
                                      [&](const Aggregation& candidate) { return candidate.name == step; });
      if (found->kind == Kind::avg) path += ".avg";  // a slice is sent a stats aggregation in place of avg
      level = &found->sub_aggregations;
    }
    if (path.empty())
      path = order.value;
    else if (order.value != "value")
      path += "." + order.value;
    out.push_back(json::Object{{path, order.descending ? "desc" : "asc"}});
  }
  return out;
}

json::Object copy_without(const json::Value& body, std::initializer_list<const char*> names) {
  json::Object out;
  for (const json::Member& member : *body.object())
    if (std::none_of(names.begin(), names.end(), [&](const char* name) { return member.first == name; }))
      out.push_back(member);
  return out;
}

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

[[noreturn]] void throw_too_many_buckets(std::size_t max_buckets) {
  throw ApiError{400,
                 "too_many_buckets_exception",
                 "Trying to create too many buckets. Must be less than or equal to: [" +
                     std::to_string(max_buckets) + "]",
                 {},
                 {}};
}

json::Value or_null(const std::optional<double>& value) {
  return value ? json::Value(*value) : json::Value();
}

// The prefix of an aggregation's name in a response with typed_keys.
std::string type_prefix(const Aggregation& spec, const json::Value* first_key) {
  if (spec.kind != Kind::terms) return spec.type;
  if (!first_key || first_key->string()) return "sterms";
  return first_key->integer() ? "lterms" : "dterms";
}

}  // namespace

Aggregations parse_aggregations(const json::Value& aggs, const AggregationBounds& bounds) {
  return AggregationReader(bounds).read(aggs, 1);
}

json::Object aggregations_for_slice(const Aggregations& aggregations) {
  json::Object out;
  for (const Aggregation& aggregation : aggregations) {
    json::Object slice_spec;
    std::string type = aggregation.type;
    json::Object body;
    switch (aggregation.kind) {
      case Kind::terms:
        body = copy_without(aggregation.body,
                            {"size", "shard_size", "min_doc_count", "order", "show_term_doc_count_error"});
        body.emplace_back("size", static_cast<std::uint64_t>(aggregation.shard_size));
        body.emplace_back("shard_size", static_cast<std::uint64_t>(aggregation.shard_size));
        body.emplace_back("min_doc_count", aggregation.min_doc_count == 0 ? 0 : 1);
        body.emplace_back("order", slice_order(aggregation));
        break;
      case Kind::histogram:
      case Kind::date_histogram:
        body = copy_without(aggregation.body, {"min_doc_count", "keyed", "order", "extended_bounds"});
        body.emplace_back("min_doc_count", 1);
        break;
      case Kind::range:
        body = copy_without(aggregation.body, {"keyed"});
        break;
      case Kind::filters:
        body = copy_without(aggregation.body, {"keyed"});
        break;
      case Kind::avg:
        type = "stats";
        [[fallthrough]];
      default:
        body = *aggregation.body.object();
    }
    slice_spec.emplace_back(type, std::move(body));
    if (!aggregation.sub_aggregations.empty())
      slice_spec.emplace_back("aggs", aggregations_for_slice(aggregation.sub_aggregations));
    out.emplace_back(aggregation.name, std::move(slice_spec));
  }
  return out;
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

void AggregationReducer::add(std::string_view input) { merge_all(states_, input); }

// The merge functions take text that starts at their value and return where the value ends, so that no text
// is scanned twice.
const char* AggregationReducer::merge_all(std::vector<State>& states, std::string_view input) {
  json::Scanner walk(input);
  if (!walk.is_object()) return nullptr;
  while (walk.next())
    for (const Aggregation& spec : specs_)
      if (walk.name() == spec.name)
        walk.skip_to(merge_one(find_or_add_state(states, spec), walk.remaining()));
  return walk.end();
}

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

// ---- rendering ----
namespace {

// Memory of the rendered result: of a member, of a bucket without what is nested in it, and of the values of
// a stats or extended_stats aggregation.
constexpr std::size_t kMemberBytes = sizeof(json::Member);
constexpr std::size_t kBucketBytes = 4 * kMemberBytes;
constexpr std::size_t kStatsBytes = 20 * kMemberBytes;
constexpr std::size_t kBytesPerMetaByte = 20;  // a value for every other byte, as in [0,0,0]

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
  for (const Aggregation& spec : specs) {
    if (spec.name != order.path[depth]) continue;
    const State& state = state_of(spec, states);
    if (depth + 1 == order.path.size()) return metric_value(state, order.value);
    if (state.buckets.empty()) return std::nullopt;
    return order_value(spec.sub_aggregations, state.buckets.front().sub_states, order, depth + 1);
  }
  return std::nullopt;
}

void AggregationReducer::sort(const Aggregation& spec, BucketPointers& buckets) const {
  const auto before = [&](const Bucket* a, const Bucket* b) {
    for (const Aggregation::Order& order : spec.order) {
      int comparison = 0;
      if (order.value == "_count" && order.path.empty()) {
        comparison = a->count < b->count ? -1 : b->count < a->count;
      } else if (order.path.empty()) {
        if (a->key.string() && b->key.string()) {
          comparison = a->key.string()->compare(*b->key.string());
        } else {
          const auto exact_a = a->key.integer(), exact_b = b->key.integer();
          const double x = a->key.number() ? *a->key.number() : 0, y = b->key.number() ? *b->key.number() : 0;
          comparison =
              exact_a && exact_b ? (*exact_a < *exact_b ? -1 : *exact_b < *exact_a) : (x < y ? -1 : y < x);
        }
      } else {
        const auto x = order_value(spec.sub_aggregations, a->sub_states, order, 0),
                   y = order_value(spec.sub_aggregations, b->sub_states, order, 0);
        if (x.has_value() != y.has_value()) return x.has_value();  // buckets without a value are sorted last
        if (x) comparison = *x < *y ? -1 : *y < *x;
      }
      if (comparison != 0) return order.descending ? comparison > 0 : comparison < 0;
    }
    return false;
  };
  std::stable_sort(buckets.begin(), buckets.end(), before);
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
  if (spec.kind != Kind::stats && spec.kind != Kind::extended_stats) {
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
  rendered_buckets_ = rendered_bytes_ = 0;
  return render(specs_, states_, typed_keys);
}

}  // namespace kelpdeal::search
