// SPDX-License-Identifier: MIT
#include "kelpdeal/search/aggregations.h"

#include <algorithm>
#include <charconv>
#include <cmath>

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
    {"terms", Kind::terms},      {"histogram", Kind::histogram},
    {"range", Kind::range},      {"date_histogram", Kind::date_histogram},
    {"date_range", Kind::range}, {"filters", Kind::filters},
    {"filter", Kind::single},    {"missing", Kind::single},
    {"global", Kind::single},    {"nested", Kind::single},
    {"min", Kind::min},          {"reverse_nested", Kind::single},
    {"max", Kind::max},          {"sum", Kind::sum},
    {"avg", Kind::avg},          {"value_count", Kind::value_count},
    {"stats", Kind::stats},      {"extended_stats", Kind::extended_stats},
};

struct Refused {
  const char *name, *why;
};
// Keys of histograms, dates in milliseconds among them, lie within it.
constexpr double kFarthest = 8.64e15;

constexpr const char* kSketch =
    "a slice answers with one number, and two such numbers cannot be put together";
constexpr const char* kPipeline =
    "pipeline aggregations are computed from merged buckets, which is not done here";
constexpr Refused kRefused[] = {
    {"cardinality", kSketch},
    {"percentiles", kSketch},
    {"percentile_ranks", kSketch},
    {"median_absolute_deviation", kSketch},
    {"weighted_avg", kSketch},
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
    {"avg_bucket", kPipeline},
    {"sum_bucket", kPipeline},
    {"min_bucket", kPipeline},
    {"max_bucket", kPipeline},
    {"stats_bucket", kPipeline},
    {"bucket_sort", kPipeline},
    {"bucket_script", kPipeline},
    {"bucket_selector", kPipeline},
    {"derivative", kPipeline},
    {"cumulative_sum", kPipeline},
    {"moving_fn", kPipeline},
    {"serial_diff", kPipeline},
};

[[noreturn]] void refuse(const std::string& name, const std::string& why) {
  throw_illegal_argument("aggregation [" + truncated(name) + "]: " + why);
}

std::size_t count_of(const json::Value& body, const char* option, std::size_t absent,
                     const std::string& name) {
  const json::Value* value = body.find(option);
  if (!value) return absent;
  const double* number = value->number();
  if (!number || *number < 0 || *number != std::floor(*number) || *number > 1e9)
    refuse(name, "[" + std::string(option) + "] must be a whole number");
  return static_cast<std::size_t>(*number);
}

double number_of(const json::Value& value, const std::string& name, const char* option) {
  if (!value.number()) refuse(name, "[" + std::string(option) + "] must be a number");
  return *value.number();
}

void only(const json::Value& body, const std::string& name, std::string_view known) {
  for (const auto& [option, value] : *body.object()) {
    bool found = false;
    for (std::size_t at = 0; at < known.size() && !found;) {
      const std::size_t end = known.find(' ', at);
      found = known.substr(at, end - at) == option;
      at = end + 1;
    }
    if (!found)
      throw_parsing_error("aggregation [" + truncated(name) + "] does not support [" + truncated(option) +
                          "]");
  }
}

Aggregation::Order read_order(const std::string& path, const json::Value& direction,
                              const std::string& name) {
  Aggregation::Order order;
  const std::string* way = direction.string();
  if (!way || (*way != "asc" && *way != "desc")) refuse(name, "[order] is neither asc nor desc");
  order.descending = *way == "desc";
  if (path == "_key" || path == "_count") {
    order.value = path;
    return order;
  }
  std::size_t at = 0;
  for (std::size_t end = 0; (end = path.find('>', at)) != std::string::npos; at = end + 1)
    order.path.push_back(path.substr(at, end - at));
  const std::size_t dot = path.find('.', at);
  order.path.push_back(path.substr(at, dot == std::string::npos ? dot : dot - at));
  order.value = dot == std::string::npos ? "value" : path.substr(dot + 1);
  return order;
}

std::vector<Aggregation::Order> read_orders(const json::Value& body, const std::string& name) {
  std::vector<Aggregation::Order> orders;
  const json::Value* given = body.find("order");
  if (!given) return orders;
  const auto one = [&](const json::Value& entry) {
    if (!entry.object() || entry.object()->size() != 1) refuse(name, "[order] must name one key");
    const json::Member& member = entry.object()->front();
    orders.push_back(read_order(member.first, member.second, name));
  };
  if (const json::Array* several = given->array())
    for (const json::Value& entry : *several) one(entry);
  else
    one(*given);
  return orders;
}

// An order by another aggregation has to name one that is there and that has such a value.
void check_orders(const Aggregation& asked) {
  for (const Aggregation::Order& order : asked.order) {
    const Aggregations* level = &asked.inside;
    for (std::size_t i = 0; i < order.path.size(); ++i) {
      const auto found = std::find_if(level->begin(), level->end(),
                                      [&](const Aggregation& a) { return a.name == order.path[i]; });
      if (found == level->end())
        refuse(asked.name,
               "invalid aggregation order path: no aggregation [" + truncated(order.path[i]) + "]");
      const bool last = i + 1 == order.path.size();
      if (last ? !found->metric() : found->kind != Kind::single)
        refuse(asked.name, "invalid aggregation order path: [" + order.path[i] + "] cannot be ordered by");
      const bool several = found->kind == Kind::stats || found->kind == Kind::extended_stats;
      if (last && several != (order.value != "value"))
        refuse(asked.name, "invalid aggregation order path: [" + order.path[i] + "] needs one value named");
      level = &found->inside;
    }
  }
}

void read_terms(Aggregation& a, const AggregationBounds& bounds) {
  only(a.body, a.name,
       "field size shard_size min_doc_count shard_min_doc_count order missing include exclude script format "
       "value_type collect_mode execution_hint show_term_doc_count_error ");
  a.size = count_of(a.body, "size", 10, a.name);
  if (a.size == 0) refuse(a.name, "[size] must be greater than 0");
  a.min_doc_count = count_of(a.body, "min_doc_count", 1, a.name);
  a.order = read_orders(a.body, a.name);
  // In the order of keys a slice's first ones are enough, but for those that too few documents hold.
  const bool by_key = a.order.size() == 1 && a.order.front().value == "_key" && a.min_doc_count <= 1;
  a.shard_size =
      std::max(a.size, count_of(a.body, "shard_size", by_key ? a.size : a.size + a.size / 2 + 10, a.name));
  if (a.shard_size > bounds.max_shard_size)
    refuse(a.name, "more than " + std::to_string(bounds.max_shard_size) + " buckets are asked of each slice");
  if (a.order.empty()) a.order.push_back({{}, "_count", true});
  if (a.order.back().value != "_key") a.order.push_back({{}, "_key", false});
  a.show_error = a.body.flag_or("show_term_doc_count_error", false);
}

void read_date_interval(Aggregation& a) {
  const std::string calendar = a.body.text_or("calendar_interval", ""),
                    fixed = a.body.text_or("fixed_interval", "");
  if (a.body.find("interval"))
    refuse(a.name, "[interval] is no longer taken: use fixed_interval or calendar_interval");
  if (calendar.empty() == fixed.empty())
    refuse(a.name, "one of [fixed_interval] and [calendar_interval] is needed");
  if (!calendar.empty()) {
    a.calendar = parse_calendar_unit(calendar);
    if (a.calendar.empty())
      refuse(a.name, "the supplied interval [" + truncated(calendar) + "] is no calendar interval");
  } else {
    double amount = 0;
    const char* end = fixed.data() + fixed.size();
    const auto got = std::from_chars(fixed.data(), end, amount, std::chars_format::fixed);
    const std::string_view unit(got.ptr, static_cast<std::size_t>(end - got.ptr));
    const double ms = unit == "ms"  ? 1
                      : unit == "s" ? 1e3
                      : unit == "m" ? 6e4
                      : unit == "h" ? 3.6e6
                      : unit == "d" ? 8.64e7
                                    : 0;
    if (got.ec != std::errc() || ms == 0 || amount * ms < 1)
      refuse(a.name, "failed to parse [fixed_interval] with value [" + truncated(fixed) + "]");
    a.interval = std::floor(amount * ms);
  }
  const std::string zone = a.body.text_or("time_zone", "");
  const auto offset = parse_zone_offset(zone);
  a.zone_fixed = offset.has_value();
  a.zone_ms = offset.value_or(0);
  if (const json::Value* shift = a.body.find("offset")) {
    if (!shift->string() || shift->string()->size() < 2) refuse(a.name, "[offset] must be text such as +6h");
    const bool sign = (*shift->string())[0] == '+' || (*shift->string())[0] == '-';
    const auto moved = evaluate_date_math("now" + std::string(sign ? "" : "+") + *shift->string(), 0);
    if (!moved) refuse(a.name, "[offset] must be text such as +6h");
    a.offset = static_cast<double>(*moved);
  }
}

void read_histogram(Aggregation& a) {
  const bool dates = a.kind == Kind::date_histogram;
  only(a.body, a.name,
       dates ? "field fixed_interval calendar_interval interval time_zone offset format min_doc_count keyed "
               "missing "
               "order extended_bounds hard_bounds script "
             : "field interval offset format min_doc_count keyed missing order extended_bounds hard_bounds "
               "script ");
  if (dates) {
    read_date_interval(a);
  } else {
    const json::Value* interval = a.body.find("interval");
    if (!interval) refuse(a.name, "[interval] is needed");
    a.interval = number_of(*interval, a.name, "interval");
    if (!(a.interval > 0)) refuse(a.name, "[interval] must be >0 for histogram aggregation");
    a.offset = a.body.number_or("offset", 0);
  }
  a.format = a.body.text_or("format", "");
  a.min_doc_count = count_of(a.body, "min_doc_count", 0, a.name);
  a.keyed = a.body.flag_or("keyed", false);
  a.order = read_orders(a.body, a.name);
  if (a.order.empty() || a.order.back().value != "_key") a.order.push_back({{}, "_key", false});
  if (const json::Value* bounds = a.body.find("extended_bounds")) {
    const auto bound = [&](const char* side) -> double {
      const json::Value* value = bounds->find(side);
      if (value && value->number()) return *value->number();
      if (dates && value && value->string())
        if (const auto ms = parse_date(*value->string())) return static_cast<double>(*ms);
      refuse(a.name, "[extended_bounds] needs [min] and [max], as numbers or plain dates");
    };
    a.extend.emplace(bound("min"), bound("max"));
    if (a.extend->first > a.extend->second) refuse(a.name, "[extended_bounds.min] is greater than its [max]");
  }
  const auto near = [](double value) { return std::abs(value) < kFarthest; };
  if (!near(a.interval) || !near(a.offset) ||
      (a.extend && !(near(a.extend->first) && near(a.extend->second))))
    refuse(a.name, "its interval, offset and bounds have to lie within " + std::to_string(kFarthest));
  const bool fills = a.min_doc_count == 0;
  if (dates && fills && !a.zone_fixed)
    refuse(a.name, "gaps in a zone known by name cannot be filled here: state min_doc_count 1, or an offset");
  if (dates && fills && !format_date(0, a.format, a.zone_ms))
    refuse(a.name,
           "gaps cannot be written in the format [" + truncated(a.format) + "]: state min_doc_count 1");
}

void read_filters(Aggregation& a, const QueryBounds& queries) {
  only(a.body, a.name, "filters other_bucket other_bucket_key keyed ");
  const json::Value* filters = a.body.find("filters");
  if (!filters || (!filters->object() && !filters->array())) refuse(a.name, "[filters] are needed");
  if (const json::Object* named = filters->object()) {
    a.keyed = a.body.flag_or("keyed", true);
    for (const auto& [key, query] : *named) {
      check_query(query, "aggs." + a.name + ".filters." + truncated(key), queries);
      a.keys.push_back(key);
    }
  } else {
    for (const json::Value& query : *filters->array())
      check_query(query, "aggs." + a.name + ".filters", queries);
  }
  a.filter_count = filters->object() ? filters->object()->size() : filters->array()->size();
  if (a.filter_count == 0) refuse(a.name, "[filters] cannot be empty");
  a.other_bucket = a.body.flag_or("other_bucket", false) || a.body.find("other_bucket_key");
  a.other_key = a.body.text_or("other_bucket_key", "_other_");
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
      out.push_back(one(name, value, depth));
    }
    return out;
  }

 private:
  Aggregation one(const std::string& name, const json::Value& value, std::size_t depth) {
    if (!value.object()) throw_parsing_error("aggregation [" + truncated(name) + "] is not an object");
    Aggregation a;
    a.name = name;
    const json::Value* inside = nullptr;
    for (const auto& [part, body] : *value.object()) {
      if (part == "aggs" || part == "aggregations") {
        inside = &body;
      } else if (part == "meta") {
        a.meta = body;
      } else if (!a.type.empty()) {
        throw_parsing_error("Found two aggregation type definitions in [" + truncated(name) + "]: [" +
                            a.type + "] and [" + truncated(part) + "]");
      } else {
        a.type = part;
        a.body = body;
      }
    }
    if (a.type.empty()) throw_parsing_error("Missing definition for aggregation [" + truncated(name) + "]");
    for (const Refused& refused : kRefused)
      if (a.type == refused.name) refuse(name, "[" + a.type + "] is not taken: " + refused.why);
    const auto type =
        std::find_if(std::begin(kTypes), std::end(kTypes), [&](const Type& t) { return a.type == t.name; });
    if (type == std::end(kTypes)) throw_parsing_error("Unknown aggregation type [" + truncated(a.type) + "]");
    a.kind = type->kind;
    if (!a.body.object())
      throw_parsing_error("aggregation [" + truncated(name) + "]: [" + a.type + "] is not an object");
    if (inside) {
      if (a.metric())
        throw_illegal_argument("Aggregator [" + truncated(name) + "] of type [" + a.type +
                               "] cannot accept sub-aggregations");
      a.inside = read(*inside, depth + 1);
    }
    options(a);
    check_orders(a);
    return a;
  }

  void options(Aggregation& a) {
    const QueryBounds queries;
    switch (a.kind) {
      case Kind::terms:
        return read_terms(a, bounds_);
      case Kind::histogram:
      case Kind::date_histogram:
        return read_histogram(a);
      case Kind::range: {
        only(a.body, a.name, "field ranges keyed format missing script time_zone ");
        const json::Value* ranges = a.body.find("ranges");
        if (!ranges || !ranges->array() || ranges->array()->empty()) refuse(a.name, "[ranges] are needed");
        a.keyed = a.body.flag_or("keyed", false);
        return;
      }
      case Kind::filters:
        return read_filters(a, queries);
      case Kind::single:
        if (a.type == "filter") check_query(a.body, "aggs." + a.name + ".filter", queries);
        return;
      case Kind::extended_stats:
        only(a.body, a.name, "field missing script format sigma ");
        a.sigma = a.body.number_or("sigma", 2);
        if (a.sigma < 0) refuse(a.name, "[sigma] must be greater than or equal to 0");
        return;
      default:
        only(a.body, a.name, "field missing script format value_type ");
    }
  }

  const AggregationBounds& bounds_;
  std::size_t count_ = 0;
};

// The order that a slice's terms are cut by.
json::Value slice_order(const Aggregation& a) {
  json::Array out;
  for (const Aggregation::Order& order : a.order) {
    std::string path;
    const Aggregations* level = &a.inside;
    for (const std::string& step : order.path) {
      path += (path.empty() ? "" : ">") + step;
      const auto found = std::find_if(level->begin(), level->end(),
                                      [&](const Aggregation& one) { return one.name == step; });
      if (found->kind == Kind::avg) path += ".avg";  // a slice is asked for its stats
      level = &found->inside;
    }
    if (path.empty())
      path = order.value;
    else if (order.value != "value")
      path += "." + order.value;
    out.push_back(json::Object{{path, order.descending ? "desc" : "asc"}});
  }
  return out;
}

json::Object without(const json::Value& body, std::initializer_list<const char*> names) {
  json::Object out;
  for (const json::Member& member : *body.object())
    if (std::none_of(names.begin(), names.end(), [&](const char* name) { return member.first == name; }))
      out.push_back(member);
  return out;
}

std::uint64_t whole_number(std::string_view raw) {
  std::uint64_t value = 0;
  std::from_chars(raw.data(), raw.data() + raw.size(), value);
  return value;
}

std::optional<double> any_number(std::string_view raw) {
  double value = 0;
  const auto got = std::from_chars(raw.data(), raw.data() + raw.size(), value);
  if (raw.empty() || got.ec != std::errc()) return std::nullopt;
  return value;
}

json::Value or_null(const std::optional<double>& value) {
  return value ? json::Value(*value) : json::Value();
}

// What stands before a name with typed_keys.
std::string type_prefix(const Aggregation& asked, const json::Value* first_key) {
  if (asked.kind != Kind::terms) return asked.type;
  if (!first_key || first_key->string()) return "sterms";
  return first_key->integer() ? "lterms" : "dterms";
}

}  // namespace

Aggregations parse_aggregations(const json::Value& aggs, const AggregationBounds& bounds) {
  return AggregationReader(bounds).read(aggs, 1);
}

json::Object aggregations_for_slice(const Aggregations& aggregations) {
  json::Object out;
  for (const Aggregation& a : aggregations) {
    json::Object one;
    std::string type = a.type;
    json::Object body;
    switch (a.kind) {
      case Kind::terms:
        body = without(a.body, {"size", "shard_size", "min_doc_count", "order", "show_term_doc_count_error"});
        body.emplace_back("size", static_cast<std::uint64_t>(a.shard_size));
        body.emplace_back("shard_size", static_cast<std::uint64_t>(a.shard_size));
        body.emplace_back("min_doc_count", a.min_doc_count == 0 ? 0 : 1);
        body.emplace_back("order", slice_order(a));
        break;
      case Kind::histogram:
      case Kind::date_histogram:
        body = without(a.body, {"min_doc_count", "keyed", "order", "extended_bounds"});
        body.emplace_back("min_doc_count", 1);
        break;
      case Kind::range:
        body = without(a.body, {"keyed"});
        break;
      case Kind::filters:
        body = without(a.body, {"keyed"});
        break;
      case Kind::avg:
        type = "stats";
        [[fallthrough]];
      default:
        body = *a.body.object();
    }
    one.emplace_back(type, std::move(body));
    if (!a.inside.empty()) one.emplace_back("aggs", aggregations_for_slice(a.inside));
    out.emplace_back(a.name, std::move(one));
  }
  return out;
}

AggregationReducer::AggregationReducer(const Aggregations& asked, const AggregationBounds& bounds)
    : asked_(asked), bounds_(bounds), states_(start(asked_)) {}

std::vector<AggregationReducer::State> AggregationReducer::start(const Aggregations& asked) {
  std::vector<State> states(asked.size());
  for (std::size_t i = 0; i < asked.size(); ++i) states[i].asked = &asked[i];
  return states;
}

bool AggregationReducer::usable(const Aggregations& asked, std::string_view raw) {
  return std::all_of(asked.begin(), asked.end(), [&](const Aggregation& a) {
    const auto found = json::member(raw, a.name);
    return found && json::Walk(*found).is_object();
  });
}

void AggregationReducer::add(std::string_view from) { add_all(states_, from); }

// These take the text from where their value begins, and give where it ends, so that nothing is passed over
// twice.
const char* AggregationReducer::add_all(std::vector<State>& states, std::string_view from) {
  json::Walk walk(from);
  if (!walk.is_object()) return nullptr;
  while (walk.next())
    for (State& state : states)
      if (walk.name() == state.asked->name) walk.ended_at(add_one(state, walk.from_here()));
  return walk.end();
}

const char* AggregationReducer::add_one(State& state, std::string_view from) {
  const Aggregation& asked = *state.asked;
  if (asked.kind == Kind::terms) return add_terms(state, from);
  if (asked.kind == Kind::single) return add_bucket(place(state, "").first, from);
  if (!asked.metric()) return add_buckets(state, from);
  Numbers& n = state.numbers;
  std::string_view min_text, max_text;
  std::optional<double> min, max;
  json::Walk walk(from);
  while (walk.next()) {
    const std::string_view name = walk.name();
    const std::optional<double> value = any_number(walk.raw());
    if (name == "count")
      n.count += whole_number(walk.raw());
    else if (name == "sum")
      n.sum += value.value_or(0);
    else if (name == "sum_of_squares")
      n.squares += value.value_or(0);
    else if (name == "min" || (name == "value" && asked.kind == Kind::min))
      min = value;
    else if (name == "max" || (name == "value" && asked.kind == Kind::max))
      max = value;
    else if (name == "value" && asked.kind == Kind::sum)
      n.sum += value.value_or(0);
    else if (name == "value" && asked.kind == Kind::value_count)
      n.count += whole_number(walk.raw());
    else if (name == "min_as_string" || (name == "value_as_string" && asked.kind == Kind::min))
      min_text = walk.raw();
    else if (name == "max_as_string" || (name == "value_as_string" && asked.kind == Kind::max))
      max_text = walk.raw();
  }
  if (min && (!n.min || *min < *n.min)) n.min = min, n.min_text = json::unquote(min_text);
  if (max && (!n.max || *max > *n.max)) n.max = max, n.max_text = json::unquote(max_text);
  return walk.end();
}

// The bucket of a key, and whether it is new.
std::pair<AggregationReducer::Bucket&, bool> AggregationReducer::place(State& state, std::string_view key) {
  const auto found = state.where.find(key);
  if (found != state.where.end()) return {state.buckets[found->second], false};
  state.where.emplace(std::string(key), state.buckets.size());
  Bucket& bucket = state.buckets.emplace_back();
  bucket.inside = start(state.asked->inside);
  return {bucket, true};
}

const char* AggregationReducer::add_bucket(Bucket& bucket, std::string_view from) {
  json::Walk walk(from);
  while (walk.next()) {
    if (walk.name() == "doc_count") {
      bucket.count += whole_number(walk.raw());
      continue;
    }
    for (State& inside : bucket.inside)
      if (walk.name() == inside.asked->name) walk.ended_at(add_one(inside, walk.from_here()));
  }
  return walk.end();
}

const char* AggregationReducer::add_terms(State& state, std::string_view from) {
  std::uint64_t other = 0, own_error = 0, last = 0;
  std::vector<std::size_t> given;  // the buckets that this slice gave
  json::Walk walk(from);
  while (walk.next()) {
    if (walk.name() == "sum_other_doc_count") other = whole_number(walk.raw());
    if (walk.name() == "doc_count_error_upper_bound") own_error = whole_number(walk.raw());
    if (walk.name() != "buckets") continue;
    json::Walk buckets(walk.from_here());
    while (buckets.next()) {
      json::Walk members(buckets.from_here());
      const std::size_t bucket = add_term(state, members, last);
      buckets.ended_at(members.end());
      given.push_back(bucket);
    }
    walk.ended_at(buckets.end());
  }
  const Aggregation& asked = *state.asked;
  state.other += other;
  const bool by_key = asked.order.front().value == "_key";
  const bool by_count = asked.order.front().value == "_count" && asked.order.front().descending;
  if (!by_key && !by_count && other > 0) state.error_known = false;
  const std::uint64_t error = own_error + (by_count && other > 0 ? last : 0);
  state.error += error;
  if (error > 0)
    for (const std::size_t i : given) state.buckets[i].error_seen += error;
  return walk.end();
}

// One bucket of a slice's terms; gives its place, and its count in `count`.
std::size_t AggregationReducer::add_term(State& state, json::Walk& members, std::uint64_t& count) {
  std::string_view key, text;
  std::vector<std::pair<std::size_t, std::string_view>> inner;
  while (members.next()) {
    const std::string_view name = members.name();
    if (name == "key")
      key = members.raw();
    else if (name == "doc_count")
      count = whole_number(members.raw());
    else if (name == "key_as_string")
      text = members.raw();
    else
      for (std::size_t i = 0; i < state.asked->inside.size(); ++i)
        if (name == state.asked->inside[i].name) inner.emplace_back(i, members.raw());
  }
  // The key is looked up as it is written: the same value is written the same way by every slice but for
  // escapes and the forms of a number, which are read first.
  const bool plain = key.empty() || (key.front() == '"' ? key.find('\\') == std::string_view::npos
                                                        : key.find_first_of(".eE") == std::string_view::npos);
  std::string read, error;
  if (!plain) {
    const auto value = json::parse(key, error);
    if (value) key = read = json::write(*value);
  }
  const auto [bucket, fresh] = place(state, key);
  if (fresh) {
    bucket.key = json::parse(key, error).value_or(json::Value());
    bucket.key_text = json::unquote(text);
    if (state.buckets.front().key.string() && !bucket.key.string())
      throw_illegal_argument("aggregation [" + state.asked->name +
                             "]: the slices hold keys of different types");
  }
  bucket.count += count;
  for (const auto& [i, raw] : inner) add_one(bucket.inside[i], raw);
  return static_cast<std::size_t>(&bucket - state.buckets.data());
}

// Buckets that lie in a list, or by name.
const char* AggregationReducer::add_buckets(State& state, std::string_view from) {
  json::Walk walk(from);
  while (walk.next()) {
    if (walk.name() != "buckets") continue;
    json::Walk buckets(walk.from_here());
    for (std::size_t number = 0; buckets.next(); ++number) {
      const std::string_view raw = buckets.raw();
      add_bucket(bucket_of(state, buckets, number), raw);
    }
    walk.ended_at(buckets.end());
  }
  if (state.asked->kind != Kind::range || ranges_.contains(state.asked)) return walk.end();
  std::vector<Bucket>& shape = ranges_[state.asked];
  for (const Bucket& bucket : state.buckets) {
    Bucket& empty = shape.emplace_back();
    empty.key = bucket.key;
    empty.key_text = bucket.key_text;
    empty.fixed = bucket.fixed;
  }
  return walk.end();
}

// The bucket that the present one of `buckets` belongs to.
AggregationReducer::Bucket& AggregationReducer::bucket_of(State& state, json::Walk& buckets,
                                                          std::size_t number) {
  const Aggregation& asked = *state.asked;
  std::string key;
  std::string_view written, text;
  json::Object fixed;
  json::Walk members(buckets.raw());
  while (members.next()) {
    const std::string_view name = members.name();
    if (name == "key")
      written = members.raw();
    else if (name == "key_as_string")
      text = members.raw();
    else if (name == "from" || name == "to" || name == "from_as_string" || name == "to_as_string")
      fixed.emplace_back(std::string(name), json::Raw{std::string(members.raw())});
  }
  if (asked.kind == Kind::filters) {
    key = buckets.is_object() ? json::unquote(buckets.name()) : std::to_string(number);
  } else {
    const auto value = any_number(written);
    // Guards against a bucket that stands nowhere: the gaps between the others could not be told.
    const bool histogram = asked.kind == Kind::histogram || asked.kind == Kind::date_histogram;
    if (histogram && (!value || !(std::abs(*value) < kFarthest)))
      throw ApiError{500,
                     "aggregation_execution_exception",
                     "aggregation [" + asked.name + "]: a slice gave a bucket without a key",
                     {},
                     {}};
    key = value ? json::write(json::Value(*value)) : std::string(written);
  }
  const auto [bucket, fresh] = place(state, key);
  if (fresh) {
    std::string error;
    bucket.key =
        asked.kind == Kind::filters ? json::Value(key) : json::parse(written, error).value_or(json::Value());
    bucket.key_text = json::unquote(text);
    bucket.fixed = std::move(fixed);
  }
  return bucket;
}

// ---- the answer ----
std::optional<double> AggregationReducer::metric(const State& state, std::string_view value) {
  const Numbers& n = state.numbers;
  const auto count = static_cast<double>(n.count);
  const double mean = n.count ? n.sum / count : 0;
  const double variance = n.count ? std::max(0.0, n.squares / count - mean * mean) : 0;
  switch (state.asked->kind) {
    case Kind::min:
      return n.min;
    case Kind::max:
      return n.max;
    case Kind::sum:
      return n.sum;
    case Kind::value_count:
      return count;
    case Kind::avg:
      if (n.count == 0) return std::nullopt;
      return mean;
    default:
      break;
  }
  if (value == "count") return count;
  if (value == "sum") return n.sum;
  if (value == "min") return n.min;
  if (value == "max") return n.max;
  if (n.count == 0) return std::nullopt;
  if (value == "avg") return mean;
  if (value == "sum_of_squares") return n.squares;
  if (value == "variance" || value == "variance_population") return variance;
  if (value == "std_deviation" || value == "std_deviation_population") return std::sqrt(variance);
  if (n.count > 1 && value == "variance_sampling") return variance * count / (count - 1);
  if (n.count > 1 && value == "std_deviation_sampling") return std::sqrt(variance * count / (count - 1));
  return std::nullopt;
}

std::optional<double> AggregationReducer::order_value(const std::vector<State>& states,
                                                      const Aggregation::Order& order, std::size_t step) {
  for (const State& state : states) {
    if (state.asked->name != order.path[step]) continue;
    if (step + 1 == order.path.size()) return metric(state, order.value);
    if (state.buckets.empty()) return std::nullopt;
    return order_value(state.buckets.front().inside, order, step + 1);
  }
  return std::nullopt;
}

void AggregationReducer::sort(const Aggregation& asked, std::vector<const Bucket*>& buckets) {
  const auto before = [&](const Bucket* a, const Bucket* b) {
    for (const Aggregation::Order& order : asked.order) {
      int found = 0;
      if (order.value == "_count" && order.path.empty()) {
        found = a->count < b->count ? -1 : b->count < a->count;
      } else if (order.path.empty()) {
        if (a->key.string() && b->key.string()) {
          found = a->key.string()->compare(*b->key.string());
        } else {
          const auto exact_a = a->key.integer(), exact_b = b->key.integer();
          const double x = a->key.number() ? *a->key.number() : 0, y = b->key.number() ? *b->key.number() : 0;
          found =
              exact_a && exact_b ? (*exact_a < *exact_b ? -1 : *exact_b < *exact_a) : (x < y ? -1 : y < x);
        }
      } else {
        const auto x = order_value(a->inside, order, 0), y = order_value(b->inside, order, 0);
        if (x.has_value() != y.has_value()) return x.has_value();  // those without a value stand last
        if (x) found = *x < *y ? -1 : *y < *x;
      }
      if (found != 0) return order.descending ? found > 0 : found < 0;
    }
    return false;
  };
  std::stable_sort(buckets.begin(), buckets.end(), before);
}

void AggregationReducer::count_bucket() const {
  // Guards against an answer without end: a small interval over wide bounds makes millions of buckets.
  if (++rendered_ > bounds_.max_buckets)
    throw ApiError{400,
                   "too_many_buckets_exception",
                   "Trying to create too many buckets. Must be less than or equal to: [" +
                       std::to_string(bounds_.max_buckets) + "]",
                   {},
                   {}};
}

// The buckets of a histogram with those between that are empty.
std::vector<AggregationReducer::Bucket> AggregationReducer::fill(const State& state) const {
  const Aggregation& asked = *state.asked;
  const bool dates = asked.kind == Kind::date_histogram;
  std::vector<const Bucket*> sorted;
  for (const Bucket& bucket : state.buckets) sorted.push_back(&bucket);
  std::sort(sorted.begin(), sorted.end(), [](const Bucket* a, const Bucket* b) {
    return a->key.number() && b->key.number() && *a->key.number() < *b->key.number();
  });
  std::vector<Bucket> out;
  // The place of a key among all that there could be, and back.
  const auto floor_key = [&](double value) {
    if (!asked.calendar.empty())
      return static_cast<double>(start_of_unit(static_cast<std::int64_t>(value - asked.offset),
                                               asked.calendar, asked.zone_ms)) +
             asked.offset;
    const double zone = static_cast<double>(asked.zone_ms);
    return std::floor((value + zone - asked.offset) / asked.interval) * asked.interval + asked.offset - zone;
  };
  const auto next_key = [&](double key, double first, std::size_t steps) {
    if (!asked.calendar.empty())
      return static_cast<double>(start_of_next_unit(static_cast<std::int64_t>(key - asked.offset),
                                                    asked.calendar, asked.zone_ms)) +
             asked.offset;
    return first + static_cast<double>(steps + 1) * asked.interval;
  };
  std::optional<double> from, to;
  if (!sorted.empty()) from = *sorted.front()->key.number(), to = *sorted.back()->key.number();
  if (asked.extend) {
    const double low = floor_key(asked.extend->first), high = floor_key(asked.extend->second);
    from = from ? std::min(*from, low) : low;
    to = to ? std::max(*to, high) : high;
  }
  if (!from) return out;
  const double tolerance = asked.calendar.empty() ? asked.interval * 1e-6 : 0.5;
  std::size_t i = 0;
  double key = *from;
  for (std::size_t steps = 0; key <= *to + tolerance; ++steps) {
    if (out.size() > bounds_.max_buckets) count_bucket();
    while (i < sorted.size() && *sorted[i]->key.number() < key - tolerance) out.push_back(*sorted[i++]);
    if (i < sorted.size() && std::abs(*sorted[i]->key.number() - key) <= tolerance) {
      out.push_back(*sorted[i++]);
    } else {
      Bucket empty;
      empty.key = key;
      if (dates)
        empty.key_text =
            format_date(static_cast<std::int64_t>(key), asked.format, asked.zone_ms).value_or("");
      empty.inside = start(asked.inside);
      out.push_back(std::move(empty));
    }
    if (out.size() > bounds_.max_buckets) rendered_ = bounds_.max_buckets, count_bucket();
    key = next_key(key, *from, steps);
  }
  for (; i < sorted.size(); ++i) out.push_back(*sorted[i]);
  return out;
}

std::vector<AggregationReducer::Bucket> AggregationReducer::all_ranges(const State& state) const {
  if (!state.buckets.empty()) return state.buckets;
  std::vector<Bucket> out;
  if (const auto shape = ranges_.find(state.asked); shape != ranges_.end()) {
    out = shape->second;
  } else {
    // No slice has met it: as the request says.
    const auto side = [](const json::Value* bound) {
      if (!bound) return std::string("*");
      const std::string text = bound->string() ? *bound->string() : json::write(*bound);
      return bound->integer() ? text + ".0" : text;
    };
    for (const json::Value& range : *state.asked->body.find("ranges")->array()) {
      Bucket& bucket = out.emplace_back();
      const json::Value *from = range.find("from"), *to = range.find("to");
      bucket.key = range.text_or("key", side(from) + "-" + side(to));
      if (from && from->number()) bucket.fixed.emplace_back("from", *from);
      if (to && to->number()) bucket.fixed.emplace_back("to", *to);
    }
  }
  for (Bucket& bucket : out) bucket.inside = start(state.asked->inside);
  return out;
}

json::Object AggregationReducer::render_bucket(const State& state, const Bucket& bucket, bool typed) const {
  count_bucket();
  json::Object out;
  const Kind kind = state.asked->kind;
  if (!bucket.key_text.empty()) out.emplace_back("key_as_string", bucket.key_text);
  if (kind != Kind::single && kind != Kind::filters) out.emplace_back("key", bucket.key);
  out.insert(out.end(), bucket.fixed.begin(), bucket.fixed.end());
  out.emplace_back("doc_count", bucket.count);
  if (kind == Kind::terms && state.asked->show_error)
    out.emplace_back("doc_count_error_upper_bound",
                     state.error_known ? json::Value(state.error - bucket.error_seen) : json::Value(-1));
  for (json::Member& member : render(bucket.inside, typed)) out.push_back(std::move(member));
  return out;
}

json::Value AggregationReducer::render_terms(const State& state, bool typed) const {
  const Aggregation& asked = *state.asked;
  std::vector<const Bucket*> sorted;
  std::uint64_t other = state.other;
  for (const Bucket& bucket : state.buckets)
    if (bucket.count >= asked.min_doc_count) sorted.push_back(&bucket);
  sort(asked, sorted);
  for (std::size_t i = asked.size; i < sorted.size(); ++i) other += sorted[i]->count;
  sorted.resize(std::min(sorted.size(), asked.size));
  json::Array buckets;
  for (const Bucket* bucket : sorted) buckets.push_back(render_bucket(state, *bucket, typed));
  return json::Object{
      {"doc_count_error_upper_bound", state.error_known ? json::Value(state.error) : json::Value(-1)},
      {"sum_other_doc_count", other},
      {"buckets", std::move(buckets)}};
}

json::Value AggregationReducer::render_buckets(const State& state, bool typed) const {
  const Aggregation& asked = *state.asked;
  const bool histogram = asked.kind == Kind::histogram || asked.kind == Kind::date_histogram;
  std::vector<Bucket> filled;
  if (histogram && asked.min_doc_count == 0) filled = fill(state);
  if (asked.kind == Kind::range) filled = all_ranges(state);
  std::vector<Bucket> blank;
  if (asked.kind == Kind::filters) {
    // In the order asked, also where no slice has answered.
    const std::size_t count = asked.filter_count + (asked.other_bucket ? 1 : 0);
    for (std::size_t i = 0; i < count; ++i) {
      const bool other = i == asked.filter_count;
      std::string key = asked.keys.empty() ? std::to_string(i) : other ? asked.other_key : asked.keys[i];
      const auto found = state.where.find(key);
      Bucket bucket;
      if (found != state.where.end())
        bucket = state.buckets[found->second];
      else
        bucket.inside = start(asked.inside);
      bucket.key = key;
      blank.push_back(std::move(bucket));
    }
  }
  std::vector<const Bucket*> sorted;
  const bool own = histogram && asked.min_doc_count > 0;
  for (const Bucket& bucket : asked.kind == Kind::filters ? blank : own ? state.buckets : filled)
    if (!histogram || bucket.count >= asked.min_doc_count) sorted.push_back(&bucket);
  if (histogram) sort(asked, sorted);
  const bool named = asked.kind == Kind::filters ? asked.keyed && !asked.keys.empty() : asked.keyed;
  if (!named) {
    json::Array buckets;
    for (const Bucket* bucket : sorted) buckets.push_back(render_bucket(state, *bucket, typed));
    return json::Object{{"buckets", std::move(buckets)}};
  }
  json::Object buckets;
  for (const Bucket* bucket : sorted) {
    const std::string name = !bucket->key_text.empty() ? bucket->key_text
                             : bucket->key.string()    ? *bucket->key.string()
                                                       : json::write(bucket->key);
    json::Object body = render_bucket(state, *bucket, typed);
    if (asked.kind == Kind::range)
      std::erase_if(body, [](const json::Member& member) { return member.first == "key"; });
    buckets.emplace_back(name, std::move(body));
  }
  return json::Object{{"buckets", std::move(buckets)}};
}

json::Value AggregationReducer::render_one(const State& state, bool typed) const {
  const Aggregation& asked = *state.asked;
  if (asked.kind == Kind::terms) return render_terms(state, typed);
  if (asked.kind == Kind::single) {
    Bucket none;
    none.inside = start(asked.inside);
    return render_bucket(state, state.buckets.empty() ? none : state.buckets.front(), typed);
  }
  if (!asked.metric()) return render_buckets(state, typed);
  const Numbers& n = state.numbers;
  const auto value = [&](const char* name) { return or_null(metric(state, name)); };
  json::Object out;
  if (asked.kind == Kind::value_count) return json::Object{{"value", n.count}};
  if (asked.kind != Kind::stats && asked.kind != Kind::extended_stats) {
    out.emplace_back("value", value("value"));
    const std::string& text = asked.kind == Kind::min ? n.min_text : n.max_text;
    if ((asked.kind == Kind::min || asked.kind == Kind::max) && !text.empty())
      out.emplace_back("value_as_string", text);
    return out;
  }
  out.emplace_back("count", n.count);
  for (const char* name : {"min", "max", "avg", "sum"}) out.emplace_back(name, value(name));
  if (!n.min_text.empty()) out.emplace_back("min_as_string", n.min_text);
  if (!n.max_text.empty()) out.emplace_back("max_as_string", n.max_text);
  if (asked.kind == Kind::stats) return out;
  for (const char* name : {"sum_of_squares", "variance", "variance_population", "variance_sampling",
                           "std_deviation", "std_deviation_population", "std_deviation_sampling"})
    out.emplace_back(name, value(name));
  const auto bound = [&](const char* deviation, double sign) -> json::Value {
    const auto mean = metric(state, "avg"), spread = metric(state, deviation);
    return mean && spread ? json::Value(*mean + sign * asked.sigma * *spread) : json::Value();
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

json::Object AggregationReducer::render(const std::vector<State>& states, bool typed) const {
  json::Object out;
  for (const State& state : states) {
    json::Value one = render_one(state, typed);
    if (!state.asked->meta.is_null())
      one.object()->insert(one.object()->begin(), {"meta", state.asked->meta});
    std::string name = state.asked->name;
    if (typed)
      name = type_prefix(*state.asked, state.buckets.empty() ? nullptr : &state.buckets.front().key) + "#" +
             name;
    out.emplace_back(std::move(name), std::move(one));
  }
  return out;
}

json::Object AggregationReducer::render(bool typed_keys) const {
  rendered_ = 0;
  return render(states_, typed_keys);
}

}  // namespace kelpdeal::search
