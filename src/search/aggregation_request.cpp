// SPDX-License-Identifier: MIT
// Parses the aggregations of a request, and writes the form of them that is sent to each slice.
#include <algorithm>
#include <charconv>
#include <cmath>

#include "kelpdeal/search/aggregations.h"
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

// Finds the nested aggregation of each order. It must exist and have such a value.
void resolve_orders(Aggregation& spec) {
  for (Aggregation::Order& order : spec.order) {
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
      order.positions.push_back(static_cast<std::size_t>(found - level->begin()));
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
    resolve_orders(aggregation);
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
    for (const std::size_t position : order.positions) {
      const Aggregation& nested = (*level)[position];
      path += (path.empty() ? "" : ">") + nested.name;
      if (nested.kind == Kind::avg) path += ".avg";  // a slice is sent a stats aggregation in place of avg
      level = &nested.sub_aggregations;
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

}  // namespace kelpdeal::search
