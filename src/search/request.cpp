// SPDX-License-Identifier: MIT
#include "kelpdeal/search/request.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {
namespace {

// Sorts after every id: the largest code point.
constexpr const char* kGreatestId = "\xF4\x8F\xBF\xBF";

// Members of a body that are passed to slices unchanged.
constexpr const char* kPassedThrough[] = {"min_score",       "terminate_after",
                                          "_source",         "stored_fields",
                                          "docvalue_fields", "fields",
                                          "explain",         "script_fields",
                                          "highlight",       "version",
                                          "stats",           "seq_no_primary_term",
                                          "rescore",         "include_named_queries_score"};
struct Unsupported {
  const char *name, *reason;
};
constexpr Unsupported kUnsupported[] = {
    {"suggest", "suggestions of the slices cannot be put together"},
    {"profile", "profiles of the slices are not shown"},
    {"indices_boost", "slices do not know which index they are searched for"},
    {"ext", "extensions are not known here"},
    {"search_pipeline", "pipelines are not known here"},
    {"derived", "derived fields are not known here"},
};

std::size_t read_whole_number(const json::Value& value, const char* name, std::size_t max_value) {
  const double* number = value.number();
  if (!number || *number != std::floor(*number))
    throw_illegal_argument("[" + std::string(name) + "] must be a whole number");
  if (*number < 0)
    throw_illegal_argument("[" + std::string(name) + "] parameter cannot be negative, found [" +
                           json::write(value) + "]");
  if (*number > static_cast<double>(max_value))
    throw_illegal_argument("[" + std::string(name) + "] must be at most " + std::to_string(max_value) +
                           ", found [" + json::write(value) + "]");
  return static_cast<std::size_t>(*number);
}

std::string read_text(const json::Value& value, const char* name) {
  if (!value.string()) throw_illegal_argument("[" + std::string(name) + "] must be text");
  return *value.string();
}

void set_member(json::Object& members, const char* name, json::Value value) {
  for (json::Member& member : members)
    if (member.first == name) {
      member.second = std::move(value);
      return;
    }
  members.emplace_back(name, std::move(value));
}

void read_total(const json::Value& value, SearchRequest& request) {
  request.track_total = true;
  if (const bool* flag = value.boolean()) {
    request.track_total = *flag;
    request.total_limit.reset();
  } else if (value.number()) {
    request.total_limit = read_whole_number(value, "track_total_hits", 2'147'483'647);
  } else {
    throw_illegal_argument("[track_total_hits] must be true, false or a whole number");
  }
}

class Reader {
 public:
  Reader(SearchRequest& request, const SearchBounds& bounds) : request_(request), bounds_(bounds) {}

  void read_member(const std::string& name, const json::Value& value) {
    for (const Unsupported& unsupported : kUnsupported)
      if (name == unsupported.name && value != json::Value(false))
        throw_illegal_argument("[" + name + "] is not taken: " + unsupported.reason);
    if (name == "query") {
      check_query(value, "query", bounds_.query);
      request_.query = value;
    } else if (name == "post_filter") {
      check_query(value, "post_filter", bounds_.query);
      request_.passthrough_members.emplace_back(name, value);
    } else if (name == "from") {
      request_.from = read_whole_number(value, "from", bounds_.max_result_window * 1000);
    } else if (name == "size") {
      request_.size = read_whole_number(value, "size", bounds_.max_result_window * 1000);
    } else if (name == "sort") {
      request_.sort = parse_sort(value);
    } else if (name == "search_after") {
      if (!value.array() || value.array()->empty())
        throw_illegal_argument("[search_after] must be a list of sort values");
      for (const json::Value& element : *value.array())
        if (element.array() || element.object()) throw_illegal_argument("[search_after] takes plain values");
      request_.search_after = *value.array();
    } else if (name == "track_total_hits") {
      read_total(value, request_);
    } else if (name == "track_scores") {
      if (!value.boolean()) throw_illegal_argument("[track_scores] must be true or false");
      request_.track_scores = *value.boolean();
    } else if (name == "timeout") {
      request_.timeout = parse_time(read_text(value, "timeout"), "timeout");
    } else if (name == "collapse") {
      read_collapse(value);
    } else if (name == "aggs" || name == "aggregations") {
      if (!request_.aggregations.empty()) throw_parsing_error("[aggs] and [aggregations] stand side by side");
      request_.aggregations = parse_aggregations(value, bounds_.aggregations);
    } else if (name == "pit") {
      read_pit(value);
    } else if (name == "slice") {
      read_slice(value);
    } else if (std::any_of(std::begin(kPassedThrough), std::end(kPassedThrough),
                           [&](const char* member) { return name == member; })) {
      read_passed_through(name, value);
    } else if (std::none_of(std::begin(kUnsupported), std::end(kUnsupported),
                            [&](const Unsupported& unsupported) { return name == unsupported.name; })) {
      throw_parsing_error("unknown key [" + truncated(name) + "] in the search's body");
    }
  }

 private:
  void read_passed_through(const std::string& name, const json::Value& value) {
    const auto require_boolean = [&] {
      if (!value.boolean()) throw_illegal_argument("[" + name + "] must be true or false");
    };
    if (name == "min_score" && !value.number()) throw_illegal_argument("[min_score] must be a number");
    if (name == "terminate_after") read_whole_number(value, "terminate_after", 2'147'483'647);
    if (name == "explain" || name == "version" || name == "seq_no_primary_term") require_boolean();
    if (name == "_source" && !value.boolean() && !value.string() && !value.array() && !value.object())
      throw_parsing_error("[_source] must be true, false, a name, a list of names or an object");
    if ((name == "docvalue_fields" || name == "fields") && !value.array())
      throw_parsing_error("[" + name + "] must be a list of fields");
    if (name == "highlight" && !value.find("fields")) throw_parsing_error("[highlight] requires [fields]");
    request_.passthrough_members.emplace_back(name, value);
  }

  void read_collapse(const json::Value& value) {
    if (!value.object()) throw_parsing_error("[collapse] is not an object");
    for (const auto& [name, option] : *value.object()) {
      if (name == "field")
        request_.collapse_field = read_text(option, "collapse.field");
      else if (name == "inner_hits")
        throw_illegal_argument("[collapse] with [inner_hits] is not taken: it needs a search for each group");
      else if (name != "max_concurrent_group_searches")
        throw_parsing_error("[collapse] does not support [" + truncated(name) + "]");
    }
    if (request_.collapse_field.empty()) throw_illegal_argument("[collapse] needs a [field]");
    request_.passthrough_members.emplace_back("collapse", json::Object{{"field", request_.collapse_field}});
  }

  void read_pit(const json::Value& value) {
    if (!value.object()) throw_parsing_error("[pit] is not an object");
    for (const auto& [name, option] : *value.object()) {
      if (name == "id")
        request_.pit_id = read_text(option, "pit.id");
      else if (name == "keep_alive")
        request_.pit_keep_alive = parse_time(read_text(option, "pit.keep_alive"), "keep_alive");
      else
        throw_parsing_error("[pit] does not support [" + truncated(name) + "]");
    }
    if (!request_.pit_id) throw_illegal_argument("[pit] needs an [id]");
  }

  void read_slice(const json::Value& value) {
    if (!value.object()) throw_parsing_error("[slice] is not an object");
    std::optional<std::size_t> id, max;
    for (const auto& [name, option] : *value.object()) {
      if (name == "id")
        id = read_whole_number(option, "slice.id", bounds_.max_slices);
      else if (name == "max")
        max = read_whole_number(option, "slice.max", bounds_.max_slices);
      else
        throw_parsing_error("[slice] does not support [" + truncated(name) + "]");
    }
    if (!id || !max) throw_illegal_argument("[slice] needs [id] and [max]");
    if (*max < 2) throw_illegal_argument("max must be greater than 1");
    if (*id >= *max) throw_illegal_argument("max must be greater than id");
    request_.partition.emplace(*id, *max);
  }

  SearchRequest& request_;
  const SearchBounds& bounds_;
};

// Reads the source filtering parameters of the query string.
void read_source(Parameters& parameters, json::Object& members) {
  if (const auto source = parameters.get("_source")) {
    if (*source == "true" || *source == "false")
      set_member(members, "_source", *source == "true");
    else
      set_member(members, "_source", split_to_json_array(*source));
  }
  const auto includes = parameters.get("_source_includes"), excludes = parameters.get("_source_excludes");
  if (includes || excludes) {
    json::Object combined;
    if (includes) combined.emplace_back("includes", split_to_json_array(*includes));
    if (excludes) combined.emplace_back("excludes", split_to_json_array(*excludes));
    set_member(members, "_source", std::move(combined));
  }
}

void read_query_string(Parameters& parameters, const SearchBounds& bounds, SearchRequest& request) {
  const auto query_text = parameters.get("q");
  json::Object query;
  static constexpr std::pair<const char*, const char*> options[] = {
      {"df", "default_field"}, {"analyzer", "analyzer"}, {"default_operator", "default_operator"}};
  for (const auto& [parameter, option] : options)
    if (const auto value = parameters.get(parameter)) query.emplace_back(option, *value);
  for (const char* option : {"analyze_wildcard", "lenient"})
    if (const auto value = parameters.flag(option)) query.emplace_back(option, *value);
  if (!query_text) return;
  query.insert(query.begin(), {"query", *query_text});
  request.query = json::Object{{"query_string", std::move(query)}};
  check_query(request.query, "query", bounds.query);
}

void read_parameters(Parameters& parameters, const SearchBounds& bounds, SearchRequest& request) {
  read_query_string(parameters, bounds, request);
  read_source(parameters, request.passthrough_members);
  if (const auto from = parameters.count("from", bounds.max_result_window * 1000)) request.from = *from;
  if (const auto size = parameters.count("size", bounds.max_result_window * 1000)) request.size = *size;
  if (const auto sort = parameters.get("sort")) request.sort = parse_sort(*sort);
  if (const auto timeout = parameters.get("timeout")) request.timeout = parse_time(*timeout, "timeout");
  if (const auto total = parameters.get("track_total_hits")) {
    if (*total == "true" || *total == "false" || total->empty())
      read_total(*total != "false", request);
    else
      read_total(static_cast<std::uint64_t>(read_count(*total, "track_total_hits", 2'147'483'647)), request);
  }
  if (const auto scores = parameters.flag("track_scores")) request.track_scores = *scores;
  if (const auto max_hits = parameters.count("terminate_after", 2'147'483'647))
    set_member(request.passthrough_members, "terminate_after", static_cast<std::uint64_t>(*max_hits));
  for (const char* option : {"explain", "version", "seq_no_primary_term"})
    if (const auto flag = parameters.flag(option)) set_member(request.passthrough_members, option, *flag);
  for (const char* option : {"stored_fields", "docvalue_fields"})
    if (const auto list = parameters.get(option))
      set_member(request.passthrough_members, option, split_to_json_array(*list));
  if (const auto scroll = parameters.get("scroll")) request.scroll = parse_time(*scroll, "scroll");
  request.allow_partial = parameters.flag("allow_partial_search_results").value_or(request.allow_partial);
  request.routing = parameters.get("routing").value_or(request.routing);
  request.typed_keys = parameters.flag("typed_keys").value_or(false);
  request.total_as_number = parameters.flag("rest_total_hits_as_int").value_or(false);
  const std::string type = parameters.get("search_type").value_or("query_then_fetch");
  if (type == "dfs_query_then_fetch")
    throw_illegal_argument(
        "[search_type] dfs_query_then_fetch is not taken: terms are not counted over slices");
  if (type != "query_then_fetch") throw_illegal_argument("No search type for [" + truncated(type) + "]");
  const std::string preference = parameters.get("preference").value_or("");
  for (const char* nodes : {"_only_nodes", "_prefer_nodes", "_only_local", "_shards"})
    if (preference.starts_with(nodes))
      throw_illegal_argument("[preference] " + truncated(preference, 40) +
                             " is not taken: the broker picks the holders");
  parameters.accept(
      "batched_reduce_size pre_filter_shard_size request_cache max_concurrent_shard_requests "
      "ccs_minimize_roundtrips ignore_throttled cancel_after_time_interval phase_took");
}

// Rejects invalid combinations of options.
void check_combinations(const SearchRequest& request, const SearchBounds& bounds, bool limit_given) {
  const auto text = [](std::size_t number) { return std::to_string(number); };
  if (request.from + request.size > bounds.max_result_window) {
    if (request.scroll)
      throw_illegal_argument("Batch size is too large, size must be less than or equal to: [" +
                             text(bounds.max_result_window) + "]");
    throw_illegal_argument("Result window is too large, from + size must be less than or equal to: [" +
                           text(bounds.max_result_window) + "] but was [" +
                           text(request.from + request.size) + "]. Use scroll or search_after for more.");
  }
  if (request.search_after && request.from > 0)
    throw_illegal_argument("`from` parameter must be set to 0 when `search_after` is used.");
  if (request.search_after && request.collapse_field.size())
    throw_illegal_argument("cannot use `collapse` in conjunction with `search_after`");
  if (request.scroll) {
    if (request.search_after) throw_illegal_argument("`search_after` cannot be used in a scroll context.");
    if (request.from > 0) throw_illegal_argument("using [from] is not allowed in a scroll context");
    if (request.size == 0) throw_illegal_argument("[size] cannot be [0] in a scroll context");
    if (!request.collapse_field.empty()) throw_illegal_argument("cannot use `collapse` in a scroll context");
    if (request.pit_id) throw_illegal_argument("using [point in time] is not allowed in a scroll context");
    if (*request.scroll <= Duration::zero()) throw_illegal_argument("[scroll] keep alive must be positive");
  } else if (request.partition && !request.pit_id) {
    throw_illegal_argument("[slice] can only be used with [scroll] or [point-in-time] requests");
  }
  if (request.pit_id && !request.routing.empty())
    throw_illegal_argument("[routing] cannot be used with point in time");
  for (const auto& keep_alive : {request.scroll, request.pit_keep_alive})
    if (keep_alive && *keep_alive > bounds.max_keep_alive)
      throw_illegal_argument(
          "Keep alive for request is too large. It must be less than or equal to [" +
          text(static_cast<std::size_t>(
              std::chrono::duration_cast<std::chrono::seconds>(bounds.max_keep_alive).count())) +
          "s].");
  const bool has_rescore = std::any_of(request.passthrough_members.begin(), request.passthrough_members.end(),
                                       [](const json::Member& member) { return member.first == "rescore"; });
  if (has_rescore && (request.sorted() || request.scroll || request.search_after))
    throw_illegal_argument("[rescore] only goes with the order by score");
  if (request.total_as_number && limit_given && request.track_total && request.total_limit)
    throw_illegal_argument(
        "[rest_total_hits_as_int] cannot be used if the tracking of total hits is not accurate, got " +
        text(*request.total_limit));
}

}  // namespace

std::optional<Duration> parse_time(const std::string& text, const char* name) {
  if (text == "-1") return std::nullopt;
  static constexpr std::pair<std::string_view, double> units[] = {
      {"nanos", 1e-6}, {"micros", 1e-3}, {"ms", 1}, {"s", 1e3}, {"m", 6e4}, {"h", 3.6e6}, {"d", 8.64e7}};
  double amount = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, amount, std::chars_format::fixed);
  const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
  if (parsed.ec == std::errc() && amount >= 0)
    for (const auto& [suffix, ms] : units)
      if (unit == suffix) return to_duration(FractionalMs(std::min(amount * ms, 100 * 8.64e7)));
  throw_illegal_argument(std::string("failed to parse setting [") + name + "] with value [" +
                         truncated(text, 40) + "] as a time value");
}

IndexNameOptions read_name_options(Parameters& parameters) {
  IndexNameOptions options;
  options.ignore_unavailable = parameters.flag("ignore_unavailable").value_or(false);
  options.allow_no_indices = parameters.flag("allow_no_indices").value_or(true);
  if (const auto expand = parameters.get("expand_wildcards")) read_expand_wildcards(*expand, options);
  return options;
}

SearchRequest parse_search(const json::Value& body, Parameters& parameters, const SearchBounds& bounds) {
  SearchRequest request;
  Reader reader(request, bounds);
  bool limit_given = false;
  if (const json::Object* members = body.object()) {
    for (const auto& [name, value] : *members) {
      reader.read_member(name, value);
      limit_given |= name == "track_total_hits";
    }
  } else if (!body.is_null()) {
    throw_parsing_error("the body is not an object");
  }
  limit_given |= parameters.get("track_total_hits").has_value();
  read_parameters(parameters, bounds, request);
  // A total reported as a plain number has to be exact.
  check_combinations(request, bounds, limit_given);
  if (request.total_as_number && !limit_given) request.total_limit.reset();
  if (request.scroll) {
    if (limit_given && (!request.track_total || request.total_limit))
      throw_illegal_argument("disabling or bounding [track_total_hits] is not allowed in a scroll context");
    request.total_limit.reset();
  }
  request.visible_sort_keys = request.sort.fields.size();
  if (request.scroll || request.pit_id) request.use_total_order();
  if (!request.search_after) return request;
  // For a point in time, the last key is the marker of the hit, which may be omitted.
  const std::size_t keys = request.sort.fields.size(), given = request.search_after->size();
  if (keys == 0) throw_illegal_argument("Sort must contain at least one field.");
  if (given != keys && !(request.pit_id && given + 1 == keys))
    throw_illegal_argument("search_after has " + std::to_string(given) + " value(s) but sort has " +
                           std::to_string(keys) + ".");
  return request;
}

void SearchRequest::use_total_order() {
  total_order = true;
  if (sort.fields.empty()) sort.append("_score", true);
  // _doc, a document's number at its node, differs between the holders of a slice.
  for (SortField& field : sort.fields)
    if (field.field == "_doc") {
      SortOrder by_id;
      by_id.append("_id", false);
      field = by_id.fields.front();
    }
  sort.append("_id", false);
}

std::string slice_request_text(const SearchRequest& request, const SliceOptions& options) {
  json::Object body;
  std::vector<json::Value> filters = options.filters;
  if (filters.empty()) {
    if (!request.query.is_null()) body.emplace_back("query", request.query);
  } else {
    json::Object combined;
    if (!request.query.is_null()) combined.emplace_back("must", json::Array{request.query});
    combined.emplace_back("filter", json::Array(filters.begin(), filters.end()));
    if (request.query.is_null())
      combined.insert(combined.begin(), {"must", json::Array{json::Object{{"match_all", json::Object{}}}}});
    body.emplace_back("query", json::Object{{"bool", std::move(combined)}});
  }
  // Any slice may hold all hits of the page.
  body.emplace_back("size", static_cast<std::uint64_t>(request.window()));
  if (request.sorted()) body.emplace_back("sort", request.sort.slice_form());
  if (options.after) {
    json::Array after = options.after->sort_values;
    // The order is by sort values, slice, id. Of the hits that tie with the last one returned, slices before
    // its own have returned all of theirs, and slices after it none.
    if (request.total_order) {
      if (options.slice < options.after->slice)
        after.emplace_back(kGreatestId);
      else if (options.slice == options.after->slice)
        after.emplace_back(options.after->id);
      else
        after.emplace_back("");
    }
    body.emplace_back("search_after", std::move(after));
  } else if (request.search_after && !request.total_order) {
    body.emplace_back("search_after", *request.search_after);
  }
  if (!request.track_total)
    body.emplace_back("track_total_hits", false);
  else if (!request.total_limit)
    body.emplace_back("track_total_hits", true);
  else
    body.emplace_back("track_total_hits", *request.total_limit);
  if (request.track_scores) body.emplace_back("track_scores", true);
  if (options.partition)
    body.emplace_back("slice", json::Object{{"id", static_cast<std::uint64_t>(options.partition->first)},
                                            {"max", static_cast<std::uint64_t>(options.partition->second)}});
  body.insert(body.end(), request.passthrough_members.begin(), request.passthrough_members.end());
  if (!request.aggregations.empty()) body.emplace_back("aggs", aggregations_for_slice(request.aggregations));
  return json::write(body);
}

std::vector<PartitionPart> partition(std::size_t id, std::size_t max, std::size_t slices) {
  std::vector<PartitionPart> parts;
  if (slices == 0) return parts;
  if (max <= slices) {
    for (std::size_t index = id; index < slices; index += max) parts.push_back({index, std::nullopt});
    return parts;
  }
  // With more partitions than slices, slice p is divided among the partitions p, p + slices, ...
  const std::size_t index = id % slices;
  const std::size_t parts_of_slice = max / slices + (index < max % slices ? 1 : 0);
  if (parts_of_slice == 1)
    parts.push_back({index, std::nullopt});
  else
    parts.push_back({index, std::pair(id / slices, parts_of_slice)});
  return parts;
}

}  // namespace kelpdeal::search
