// SPDX-License-Identifier: MIT
// Cluster information for clients and operators: names, mappings, nodes, tasks, the _cat pages.
#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

#include "call.h"
#include "kelpdeal/search/compare.h"
#include "kelpdeal/search/wildcard.h"

namespace kelpdeal {

using namespace opensearch;
using search::NamePatterns;
using search::split;
using search::throw_illegal_argument;

namespace {

constexpr const char* kClusterName = "kelpdeal";

bool is_serving(const NodeEntry& node) { return node.state == cottonbay::ServerState::serving; }

std::string decimal(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return text;
}

// A _cat page: column names in their default order, and rows.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

bool is_number(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789.") == std::string::npos;
}

struct SortKey {
  std::size_t column = 0;
  bool descending = false;
};

// Reads a list such as "node,shard:desc". Of keys of one column only the first has an effect, and is
// returned.
std::vector<SortKey> read_sort_keys(const Table& table, const std::string& text) {
  std::vector<SortKey> keys;
  std::vector<bool> seen(table.columns.size(), false);
  for (const std::string& word : split(text)) {
    const std::size_t colon = word.find(':');
    const std::string name = word.substr(0, colon),
                      direction = colon == std::string::npos ? "asc" : word.substr(colon + 1);
    const auto column = std::find(table.columns.begin(), table.columns.end(), name);
    if (column == table.columns.end())
      throw_illegal_argument("Unable to sort by unknown sort key `" + search::truncated(name, 40) + "`");
    if (direction != "asc" && direction != "desc")
      throw_illegal_argument("Unable to sort by [" + search::truncated(direction, 40) + "]");
    const auto i = static_cast<std::size_t>(column - table.columns.begin());
    if (seen[i]) continue;
    seen[i] = true;
    keys.push_back({i, direction == "desc"});
  }
  return keys;
}

int compare_cells(const std::string& a, const std::string& b) {
  if (!is_number(a) || !is_number(b)) return a.compare(b);
  return search::order_of(std::stod(a), std::stod(b));
}

void sort_rows(Table& table, const std::string& by) {
  const std::vector<SortKey> keys = read_sort_keys(table, by);
  std::stable_sort(table.rows.begin(), table.rows.end(), [&](const auto& a, const auto& b) {
    for (const SortKey& key : keys)
      if (const int order = compare_cells(a[key.column], b[key.column]); order != 0)
        return key.descending ? order > 0 : order < 0;
    return false;
  });
}

// The columns that the patterns of a list select, in its order, each once.
std::vector<std::size_t> select_columns(const Table& table, const std::optional<std::string>& list) {
  std::vector<std::size_t> selected;
  std::vector<bool> seen(table.columns.size(), false);
  for (const std::string& pattern : split(list.value_or("*")))
    for (std::size_t i = 0; i < table.columns.size(); ++i)
      if (!seen[i] && search::matches_wildcard(pattern, table.columns[i])) {
        seen[i] = true;
        selected.push_back(i);
      }
  return selected;
}

Answer write_table(Table table, Call& call) {
  const auto columns = call.parameters.get("h"), sort = call.parameters.get("s");
  const bool with_header = call.parameters.flag("v").value_or(false),
             help = call.parameters.flag("help").value_or(false);
  const std::string format = call.parameters.get("format").value_or("text");
  call.parameters.accept(
      "bytes time local master_timeout cluster_manager_timeout health pri include_unloaded_segments");
  call.reject_unknown_parameters();
  if (format != "text" && format != "json") throw_illegal_argument("[format] is neither text nor json");
  std::string out;
  if (help) {
    for (const std::string& column : table.columns) out += column + " |\n";
    return {200, {}, {}, out};
  }
  if (sort) sort_rows(table, *sort);
  const std::vector<std::size_t> selected = select_columns(table, columns);
  if (format == "json") {
    json::Array rows;
    for (const auto& row : table.rows) {
      json::Object row_object;
      for (const std::size_t i : selected) row_object.emplace_back(table.columns[i], row[i]);
      rows.emplace_back(std::move(row_object));
    }
    return {200, std::move(rows), {}, {}};
  }
  if (with_header) table.rows.insert(table.rows.begin(), table.columns);
  std::map<std::size_t, std::size_t> widths;
  for (const auto& row : table.rows)
    for (const std::size_t i : selected) widths[i] = std::max(widths[i], row[i].size());
  for (const auto& row : table.rows) {
    std::string line;
    for (const std::size_t i : selected) line += row[i] + std::string(widths[i] - row[i].size() + 1, ' ');
    while (line.ends_with(' ')) line.pop_back();
    out += line + "\n";
  }
  return {200, {}, {}, out};
}

json::Object aliases_of(const IndexContract& index, const NamePatterns& names) {
  json::Object aliases;
  for (const IndexContract::Alias& alias : index.aliases) {
    if (!names.match(alias.name)) continue;
    json::Object options;
    if (!alias.filter.is_null()) options.emplace_back("filter", alias.filter);
    aliases.emplace_back(alias.name, std::move(options));
  }
  return aliases;
}

constexpr std::string_view kSettingsParameters =
    "local include_defaults flat_settings master_timeout cluster_manager_timeout";

json::Object mappings_of(const IndexContract& index) {
  if (index.properties.is_null()) return {};
  return json::Object{{"properties", index.properties}};
}

json::Object settings_of(const IndexContract& index, int copies) {
  json::Object settings{{"number_of_shards", std::to_string(index.slices)},
                        {"number_of_replicas", std::to_string(copies - 1)},
                        {"provided_name", index.name}};
  if (index.hidden) settings.emplace_back("hidden", "true");
  if (const json::Object* shown = index.settings.object())
    settings.insert(settings.end(), shown->begin(), shown->end());
  return json::Object{{"index", std::move(settings)}};
}

void collect_fields(const json::Value& properties, const std::string& prefix,
                    std::map<std::string, std::string>& fields) {
  if (!properties.object()) return;
  for (const auto& [name, field] : *properties.object()) {
    const std::string path = prefix.empty() ? name : prefix + "." + name;
    const json::Value* inner = field.find("properties");
    fields[path] = field.text_or("type", inner ? "object" : "");
    if (inner) collect_fields(*inner, path, fields);
    if (const json::Value* sub_fields = field.find("fields")) collect_fields(*sub_fields, path, fields);
  }
}

json::Object task_body(std::uint64_t id, const search::TaskRegistry::Entry& entry) {
  json::Object headers;
  if (!entry.opaque_id.empty()) headers.emplace_back("X-Opaque-Id", entry.opaque_id);
  json::Object task{
      {"node", kClusterName},
      {"id", id},
      {"type", "transport"},
      {"action", entry.action},
      {"description", entry.description},
      {"start_time_in_millis",
       std::chrono::duration_cast<Milliseconds>(entry.started_wall.time_since_epoch()).count()},
      {"running_time_in_nanos",
       std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now() - entry.started).count()},
      {"cancellable", static_cast<bool>(entry.cancel)},
      {"cancelled", entry.cancelled},
      {"headers", std::move(headers)}};
  return task;
}

// Converts "kelpdeal:17" to 17.
std::uint64_t task_number(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) throw_illegal_argument("malformed task id " + search::truncated(text, 40));
  return search::read_count(text.substr(colon + 1), "task_id", 1'000'000'000'000'000);
}

}  // namespace

Task<Answer> OpenSearchFront::info(Call& call, CancellationToken&) {
  call.reject_unknown_parameters();
  co_return Answer{200,
                   json::Object{{"name", kClusterName},
                                {"cluster_name", kClusterName},
                                {"cluster_uuid", kClusterName},
                                {"version", json::Object{{"distribution", "opensearch"},
                                                         {"number", contract_.version},
                                                         {"build_flavor", kClusterName},
                                                         {"minimum_wire_compatibility_version", "7.10.0"},
                                                         {"minimum_index_compatibility_version", "7.0.0"}}},
                                {"tagline", "The OpenSearch-style API of kelpdeal, a broker"}},
                   {},
                   {}};
}

Task<Answer> OpenSearchFront::resolve_index(Call& call, CancellationToken&) {
  search::IndexNameOptions names = search::read_name_options(call.parameters);
  call.reject_unknown_parameters();
  json::Array indices, aliases;
  std::map<std::string, json::Array> by_alias;
  for (const search::Target& target : resolve(call.name, names)) {
    const IndexContract& index = *target.index;
    json::Array alias_names;
    for (const IndexContract::Alias& alias : index.aliases) alias_names.emplace_back(alias.name);
    json::Array attributes{"open"};
    if (index.hidden) attributes.emplace_back("hidden");
    json::Object index_body{{"name", index.name}};
    if (!alias_names.empty()) index_body.emplace_back("aliases", std::move(alias_names));
    index_body.emplace_back("attributes", std::move(attributes));
    indices.emplace_back(std::move(index_body));
  }
  const NamePatterns given_names(call.name);
  for (const IndexContract& index : contract_.indices)
    for (const IndexContract::Alias& alias : index.aliases)
      if (given_names.match(alias.name)) by_alias[alias.name].emplace_back(index.name);
  for (auto& [name, list] : by_alias)
    aliases.push_back(json::Object{{"name", name}, {"indices", std::move(list)}});
  co_return Answer{
      200,
      json::Object{
          {"indices", std::move(indices)}, {"aliases", std::move(aliases)}, {"data_streams", json::Array{}}},
      {},
      {}};
}

// The nodes that hold a slice, according to their cells.
std::vector<NodeEntry> OpenSearchFront::holders(int slice) const {
  const cottonbay::Settings& settings = broker_.settings();
  std::vector<NodeEntry> found;
  if (settings.cells <= 0) return found;
  for (const NodeEntry& node : broker_.nodes())
    for (int i = 0; i < settings.cells_per_shard; ++i)
      if (node.cell == (slice + i) % settings.cells) found.push_back(node);
  return found;
}

Task<Answer> OpenSearchFront::search_shards(Call& call, CancellationToken&) {
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  const std::string routing = call.parameters.get("routing").value_or("");
  call.parameters.accept("preference local");
  call.reject_unknown_parameters();
  const Plan plan = make_plan(resolve(call.index, names), routing);
  json::Object nodes, indices;
  json::Array shards;
  std::set<std::string> seen;
  for (const search::Target& target : plan.targets) {
    json::Object index_body;
    if (!target.filters.empty()) index_body.emplace_back("filter", target.filters.front());
    indices.emplace_back(target.index->name, std::move(index_body));
  }
  for (const Plan::Part& part : plan.parts) {
    json::Array copies;
    for (const NodeEntry& node : holders(part.slice)) {
      copies.push_back(json::Object{{"state", is_serving(node) ? "STARTED" : "RELOCATING"},
                                    {"primary", copies.empty()},
                                    {"node", node.uid},
                                    {"relocating_node", json::Value()},
                                    {"shard", part.slice},
                                    {"index", plan.index_of(part.slice)}});
      if (seen.insert(node.uid).second)
        nodes.emplace_back(node.uid, json::Object{{"name", node.uid},
                                                  {"transport_address", node.endpoint},
                                                  {"attributes", json::Object{{"zone", node.zone}}}});
    }
    shards.emplace_back(std::move(copies));
  }
  co_return Answer{
      200,
      json::Object{
          {"nodes", std::move(nodes)}, {"indices", std::move(indices)}, {"shards", std::move(shards)}},
      {},
      {}};
}

json::Object OpenSearchFront::describe_indices(
    Call& call, std::string_view accepted,
    const std::function<json::Object(const IndexContract&)>& describe) const {
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  call.parameters.accept(accepted);
  call.reject_unknown_parameters();
  json::Object found;
  for (const search::Target& target : resolve(call.index, names))
    found.emplace_back(target.index->name, describe(*target.index));
  return found;
}

Task<Answer> OpenSearchFront::get_index(Call& call, CancellationToken&) {
  json::Object found = describe_indices(call, kSettingsParameters, [this](const IndexContract& index) {
    return json::Object{{"aliases", aliases_of(index, NamePatterns(""))},
                        {"mappings", mappings_of(index)},
                        {"settings", settings_of(index, broker_.settings().cells_per_shard)}};
  });
  if (found.empty() && call.http.method == "HEAD") co_return Answer{404, {}, {}, {}};
  co_return Answer{200, std::move(found), {}, {}};
}

Task<Answer> OpenSearchFront::get_alias(Call& call, CancellationToken&) {
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  call.parameters.accept("local");
  call.reject_unknown_parameters();
  json::Object found;
  const NamePatterns alias_names(call.name);
  bool found_alias = false;
  for (const search::Target& target : resolve(call.index, names)) {
    json::Object aliases = aliases_of(*target.index, alias_names);
    found_alias |= !aliases.empty();
    if (call.name.empty() || !aliases.empty())
      found.emplace_back(target.index->name, json::Object{{"aliases", std::move(aliases)}});
  }
  if (!call.name.empty() && !found_alias && call.name.find('*') == std::string::npos) {
    const std::string reason = "alias [" + search::truncated(call.name) + "] missing";
    co_return Answer{404, json::Object{{"error", reason}, {"status", 404}}, {}, {}};
  }
  co_return Answer{200, std::move(found), {}, {}};
}

Task<Answer> OpenSearchFront::get_mapping(Call& call, CancellationToken&) {
  json::Object found =
      describe_indices(call, "local master_timeout cluster_manager_timeout", [](const IndexContract& index) {
        return json::Object{{"mappings", mappings_of(index)}};
      });
  co_return Answer{200, std::move(found), {}, {}};
}

Task<Answer> OpenSearchFront::get_settings(Call& call, CancellationToken&) {
  json::Object found = describe_indices(call, kSettingsParameters, [this](const IndexContract& index) {
    return json::Object{{"settings", settings_of(index, broker_.settings().cells_per_shard)}};
  });
  co_return Answer{200, std::move(found), {}, {}};
}

Task<Answer> OpenSearchFront::field_caps(Call& call, CancellationToken&) {
  const json::Value body = read_body(call, limits_.search_json);
  std::string fields = call.parameters.get("fields").value_or("");
  if (const json::Value* given = body.find("fields"); given && fields.empty()) fields = joined(*given);
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  const bool unmapped = call.parameters.flag("include_unmapped").value_or(false);
  call.reject_unknown_parameters();
  if (fields.empty())
    throw ApiError{
        400, "action_request_validation_exception", "Validation Failed: 1: no fields specified;", {}, {}};
  const std::vector<search::Target> targets = resolve(call.index, names);
  const NamePatterns wanted(fields);
  json::Array indices;
  // The indices that define a field, by field name, then by type.
  std::map<std::string, std::map<std::string, std::vector<std::string>>> found;
  for (const search::Target& target : targets) {
    indices.emplace_back(target.index->name);
    std::map<std::string, std::string> own_fields;
    collect_fields(target.index->properties, "", own_fields);
    for (const auto& [field, type] : own_fields)
      if (wanted.match(field)) found[field][type].push_back(target.index->name);
  }
  json::Object out;
  for (const auto& [field, types] : found) {
    std::size_t defining_indices = 0;
    for (const auto& [type, list] : types) defining_indices += list.size();
    json::Object by_type;
    for (const auto& [type, list] : types) {
      const bool object = type == "object" || type == "nested", text = type == "text";
      json::Object caps{{"type", type}, {"searchable", !object}, {"aggregatable", !object && !text}};
      if (types.size() > 1) caps.emplace_back("indices", json::Array(list.begin(), list.end()));
      by_type.emplace_back(type, std::move(caps));
    }
    if (unmapped && defining_indices < targets.size())
      by_type.emplace_back(
          "unmapped", json::Object{{"type", "unmapped"}, {"searchable", false}, {"aggregatable", false}});
    out.emplace_back(field, std::move(by_type));
  }
  co_return Answer{200, json::Object{{"indices", std::move(indices)}, {"fields", std::move(out)}}, {}, {}};
}

// Green: all holders of every slice serve; yellow: at least one holder of each; red: none for some slice.
json::Object OpenSearchFront::health_of(const std::vector<search::Target>& targets) const {
  const auto copies = static_cast<std::size_t>(std::max(broker_.settings().cells_per_shard, 1));
  std::size_t slices = 0, active = 0, slices_without_holder = 0;
  std::set<int> seen;
  for (const search::Target& target : targets)
    for (int i = 0; i < target.index->slices; ++i) {
      const int slice = target.index->first_slice + i;
      if (!seen.insert(slice).second) continue;
      const std::vector<NodeEntry> nodes = holders(slice);
      const auto serving_copies =
          static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), is_serving));
      ++slices;
      active += std::min(serving_copies, copies);
      slices_without_holder += serving_copies == 0;
    }
  const std::size_t expected = slices * copies;
  const std::vector<NodeEntry> nodes = broker_.nodes();
  const auto serving = static_cast<std::uint64_t>(std::count_if(nodes.begin(), nodes.end(), is_serving));
  return {{"cluster_name", kClusterName},
          {"status", slices_without_holder > 0 ? "red"
                     : active < expected       ? "yellow"
                                               : "green"},
          {"timed_out", false},
          {"number_of_nodes", static_cast<std::uint64_t>(nodes.size())},
          {"number_of_data_nodes", serving},
          {"active_primary_shards", static_cast<std::uint64_t>(slices - slices_without_holder)},
          {"active_shards", static_cast<std::uint64_t>(active)},
          {"relocating_shards", 0},
          {"initializing_shards", 0},
          {"unassigned_shards", static_cast<std::uint64_t>(expected - std::min(active, expected))},
          {"number_of_pending_tasks", 0},
          {"active_shards_percent_as_number",
           expected ? 100.0 * static_cast<double>(active) / static_cast<double>(expected) : 100.0}};
}

Task<Answer> OpenSearchFront::health(Call& call, CancellationToken&) {
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  const std::string wait_for_status = call.parameters.get("wait_for_status").value_or("");
  const auto timeout = call.parameters.get("timeout");
  call.parameters.accept("level local master_timeout cluster_manager_timeout");
  call.reject_unknown_parameters();
  static constexpr std::string_view grades[] = {"green", "yellow", "red"};
  const auto grade = [&](std::string_view status) {
    return std::find(std::begin(grades), std::end(grades), status) - std::begin(grades);
  };
  if (!wait_for_status.empty() && grade(wait_for_status) == 3)
    throw_illegal_argument("unknown cluster health status [" + search::truncated(wait_for_status, 40) + "]");
  const std::vector<search::Target> targets = resolve(call.index, names);
  Duration max_wait = std::chrono::seconds(30);
  if (timeout) max_wait = std::min(search::parse_time(*timeout, "timeout").value_or(max_wait), max_wait);
  const TimePoint deadline = call.received + max_wait;
  json::Object health = health_of(targets);
  while (!wait_for_status.empty() &&
         grade(*json::Value(health).find("status")->string()) > grade(wait_for_status)) {
    if (Clock::now() >= deadline) {
      for (json::Member& member : health)
        if (member.first == "timed_out") member.second = true;
      co_return Answer{408, std::move(health), {}, {}};
    }
    co_await scheduler_.sleep_until(std::min(deadline, Clock::now() + Milliseconds(50)));
    health = health_of(targets);
  }
  co_return Answer{200, std::move(health), {}, {}};
}

Task<Answer> OpenSearchFront::nodes(Call& call, CancellationToken&) {
  call.parameters.accept("flat_settings timeout");
  call.reject_unknown_parameters();
  json::Object listed;
  for (const NodeEntry& node : broker_.nodes())
    listed.emplace_back(
        node.uid,
        json::Object{{"name", node.uid},
                     {"transport_address", node.endpoint},
                     {"roles", json::Array{"data"}},
                     {"attributes", json::Object{{"zone", node.zone},
                                                 {"kind", node.kind},
                                                 {"cell", std::to_string(node.cell)},
                                                 {"state", is_serving(node) ? "serving" : "draining"}}}});
  const auto count = static_cast<std::uint64_t>(listed.size());
  co_return Answer{
      200,
      json::Object{{"_nodes", json::Object{{"total", count}, {"successful", count}, {"failed", 0}}},
                   {"cluster_name", kClusterName},
                   {"nodes", std::move(listed)}},
      {},
      {}};
}

Task<Answer> OpenSearchFront::tasks(Call& call, CancellationToken&) {
  const NamePatterns actions(call.parameters.get("actions").value_or(""));
  call.parameters.accept("detailed group_by nodes parent_task_id wait_for_completion timeout");
  call.reject_unknown_parameters();
  json::Object listed;
  for (const auto& [id, entry] : tasks_.list(call.team))
    if (actions.match(entry->action))
      listed.emplace_back(kClusterName + (":" + std::to_string(id)), task_body(id, *entry));
  co_return Answer{
      200,
      json::Object{{"nodes", json::Object{{kClusterName, json::Object{{"name", kClusterName},
                                                                      {"tasks", std::move(listed)}}}}}},
      {},
      {}};
}

Task<Answer> OpenSearchFront::task(Call& call, CancellationToken&) {
  call.parameters.accept("wait_for_completion timeout");
  call.reject_unknown_parameters();
  const std::uint64_t id = task_number(call.id);
  const search::TaskRegistry::Entry* entry = tasks_.find(id, call.team);
  if (!entry)
    throw ApiError{
        404,
        "resource_not_found_exception",
        "task [" + search::truncated(call.id, 40) + "] isn't running and hasn't stored its results",
        {},
        {}};
  co_return Answer{200, json::Object{{"completed", false}, {"task", task_body(id, *entry)}}, {}, {}};
}

Task<Answer> OpenSearchFront::cancel_tasks(Call& call, CancellationToken&) {
  const NamePatterns actions(call.parameters.get("actions").value_or(""));
  call.parameters.accept("nodes parent_task_id wait_for_completion");
  call.reject_unknown_parameters();
  std::vector<std::uint64_t> ids;
  if (!call.id.empty()) {
    ids.push_back(task_number(call.id));
    const search::TaskRegistry::Entry* entry = tasks_.find(ids.front(), call.team);
    if (!entry)
      throw ApiError{404,
                     "resource_not_found_exception",
                     "task [" + search::truncated(call.id, 40) + "] is not found",
                     {},
                     {}};
    if (!entry->cancel)
      throw_illegal_argument("task [" + search::truncated(call.id, 40) + "] doesn't support cancellation");
  } else {
    for (const auto& [id, entry] : tasks_.list(call.team))
      if (entry->cancel && actions.match(entry->action)) ids.push_back(id);
  }
  json::Object cancelled;
  for (const std::uint64_t id : ids)
    if (const search::TaskRegistry::Entry* entry = tasks_.find(id, call.team)) {
      cancelled.emplace_back(kClusterName + (":" + std::to_string(id)), task_body(id, *entry));
      tasks_.cancel(id, call.team);
    }
  co_return Answer{
      200,
      json::Object{{"nodes", json::Object{{kClusterName, json::Object{{"name", kClusterName},
                                                                      {"tasks", std::move(cancelled)}}}}}},
      {},
      {}};
}

Task<Answer> OpenSearchFront::cat(Call& call, CancellationToken& caller) {
  const search::IndexNameOptions names = search::read_name_options(call.parameters);
  const std::string page = call.pattern.substr(6, call.pattern.find('/', 6) - 6);
  Table table;
  if (page == "health") {
    const json::Value health = health_of(resolve("", names));
    const auto text = [&](const char* name) {
      const json::Value* value = health.find(name);
      return value->string() ? *value->string() : json::write(*value);
    };
    table.columns = {"epoch",  "cluster", "status",   "node.total",           "node.data",
                     "shards", "pri",     "unassign", "active_shards_percent"};
    table.rows.push_back({std::to_string(wall_clock_ms() / 1000), kClusterName, text("status"),
                          text("number_of_nodes"), text("number_of_data_nodes"), text("active_shards"),
                          text("active_primary_shards"), text("unassigned_shards"),
                          decimal(health.number_or("active_shards_percent_as_number", 0)) + "%"});
  } else if (page == "indices") {
    table.columns = {"health", "status", "index", "pri", "rep", "class"};
    for (const search::Target& target : resolve(call.index, names))
      table.rows.push_back({*json::Value(health_of({target})).find("status")->string(), "open",
                            target.index->name, std::to_string(target.index->slices),
                            std::to_string(broker_.settings().cells_per_shard - 1),
                            target.index->class_name});
  } else if (page == "shards") {
    table.columns = {"index", "shard", "prirep", "state", "ip", "node"};
    for (const search::Target& target : resolve(call.index, names))
      for (int slice = target.index->first_slice; slice < target.index->first_slice + target.index->slices;
           ++slice) {
        bool first = true;
        for (const NodeEntry& node : holders(slice))
          table.rows.push_back({target.index->name, std::to_string(slice),
                                std::exchange(first, false) ? "p" : "r",
                                is_serving(node) ? "STARTED" : "RELOCATING",
                                node.endpoint.substr(0, node.endpoint.find(':')), node.uid});
      }
  } else if (page == "nodes") {
    table.columns = {"ip", "node.role", "zone", "cell", "state", "name"};
    for (const NodeEntry& node : broker_.nodes())
      table.rows.push_back({node.endpoint.substr(0, node.endpoint.find(':')), "d", node.zone,
                            std::to_string(node.cell), is_serving(node) ? "serving" : "draining", node.uid});
  } else if (page == "aliases") {
    table.columns = {"alias", "index", "filter"};
    const NamePatterns given_names(call.name);
    for (const IndexContract& index : contract_.indices)
      for (const IndexContract::Alias& alias : index.aliases)
        if (given_names.match(alias.name))
          table.rows.push_back({alias.name, index.name, alias.filter.is_null() ? "-" : "*"});
  } else if (page == "tasks") {
    table.columns = {"action", "task_id", "type", "start_time", "running_time", "node"};
    for (const auto& [id, entry] : tasks_.list(call.team))
      table.rows.push_back(
          {entry->action, kClusterName + (":" + std::to_string(id)), "transport",
           std::to_string(
               std::chrono::duration_cast<Milliseconds>(entry->started_wall.time_since_epoch()).count()),
           std::to_string(std::chrono::duration_cast<Milliseconds>(Clock::now() - entry->started).count()) +
               "ms",
           kClusterName});
  } else {
    table.columns = {"epoch", "timestamp", "count"};
    search::Parameters none;
    const search::SearchRequest request =
        search::parse_search(json::Object{{"size", 0}, {"track_total_hits", true}}, none, bounds_);
    std::vector<search::Target> targets = resolve(call.index, names);
    std::erase_if(
        targets,
        [&](const search::Target& target) {  // not countable with the others
          return call.index.empty() &&
                 (target.index->class_name != contract_.indices.front().class_name ||
                  broker_.find_class(target.index->class_name)->effect != cottonbay::Effect::idempotent);
        });
    const Plan plan = make_plan(std::move(targets), "");
    const SearchResult result = co_await execute(request, plan, call, call.index, caller);
    table.rows.push_back({std::to_string(wall_clock_ms() / 1000), std::to_string(wall_clock_ms()),
                          std::to_string(result.page.total_hits)});
  }
  co_return write_table(std::move(table), call);
}

}  // namespace kelpdeal
