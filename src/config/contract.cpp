// SPDX-License-Identifier: MIT
#include "kelpdeal/contract.h"

#include <algorithm>

#include "kelpdeal/field_reader.h"

namespace kelpdeal {
namespace {

const cottonbay::ClassSettings* find_class(const cottonbay::Settings& settings, const std::string& name) {
  for (const cottonbay::ClassSettings& settings_class : settings.classes)
    if (settings_class.name == name) return &settings_class;
  return nullptr;
}

IndexContract parse_index(const std::string& name, const json::Value& value,
                          const cottonbay::Settings& settings) {
  const FieldReader fields(value, "indices." + name);
  IndexContract index;
  index.name = name;
  index.class_name = fields.required_text("class");
  if (!find_class(settings, index.class_name)) FieldReader::fail(fields.path("class"), "unknown class");
  index.first_slice = fields.integer("first_slice", 0);
  index.slices = fields.integer("slices", settings.shards - index.first_slice, 1);
  if (index.first_slice + index.slices > settings.shards)
    FieldReader::fail(fields.path("slices"), "there are only " + std::to_string(settings.shards) + " slices");
  if (name.empty() || name.find_first_of("*,/\\ <>#\"?|") != std::string::npos || name.starts_with('_') ||
      name.starts_with('-') || name.starts_with('+'))
    FieldReader::fail("indices." + name, "is not a valid index name");
  index.write_class = fields.text("write_class", "");
  if (!index.write_class.empty()) {
    const cottonbay::ClassSettings* write_class = find_class(settings, index.write_class);
    if (!write_class) FieldReader::fail(fields.path("write_class"), "unknown class");
    // Requests of an idempotent class are retried freely, which must not happen to writes.
    if (write_class->effect == cottonbay::Effect::idempotent)
      FieldReader::fail(fields.path("write_class"),
                        "is an idempotent class: nodes could not tell a retry from a new document");
  }
  index.hidden = fields.boolean("hidden", false);
  index.time_field = fields.text("time_field", "");
  if (const json::Value* ranges = fields.find("slice_ranges")) {
    if (!ranges->object()) FieldReader::fail(fields.path("slice_ranges"), "is not an object");
    index.ranges.resize(static_cast<std::size_t>(index.slices));
    for (const auto& [field, list] : *ranges->object()) {
      const std::string path = fields.path("slice_ranges") + "." + field;
      if (!list.array() || list.array()->size() != index.ranges.size())
        FieldReader::fail(path, "is not a list with one [min, max] pair per slice");
      for (std::size_t i = 0; i < index.ranges.size(); ++i) {
        const json::Array* pair = (*list.array())[i].array();
        if (!pair || pair->size() != 2 || !(*pair)[0].number() || !(*pair)[1].number() ||
            *(*pair)[0].number() > *(*pair)[1].number())
          FieldReader::fail(path, "slice " + std::to_string(i) + " has no [min, max] pair of numbers");
        index.ranges[i][field] = {*(*pair)[0].number(), *(*pair)[1].number()};
      }
    }
  }
  if (const json::Value* properties = fields.find("mappings.properties")) index.properties = *properties;
  if (const json::Value* shown = fields.find("settings")) index.settings = *shown;
  if (const json::Value* aliases = fields.find("aliases")) {
    if (!aliases->object()) FieldReader::fail(fields.path("aliases"), "is not an object");
    for (const auto& [alias, options] : *aliases->object()) {
      const json::Value* filter = options.find("filter");
      index.aliases.push_back({alias, filter ? *filter : json::Value()});
    }
  }
  return index;
}

TeamContract parse_team(const std::string& name, const json::Value& value,
                        const cottonbay::Settings& settings) {
  const FieldReader fields(value, "teams." + name);
  TeamContract team;
  team.name = name;
  for (const json::Value& item : fields.array("classes")) {
    if (!item.string() || !find_class(settings, *item.string()))
      FieldReader::fail(fields.path("classes"), "unknown class");
    team.classes.insert(*item.string());
  }
  if (team.classes.empty()) FieldReader::fail(fields.path("classes"), "lists no class");
  team.per_second = fields.at_least("per_second", 0, 0);
  team.burst = fields.at_least("burst", std::max(1.0, team.per_second), 1);
  team.concurrent = static_cast<std::size_t>(fields.integer("concurrent", 0));
  return team;
}

json::Value parse_file(const std::string& path, const char* what) {
  std::string error;
  auto value = json::parse(read_file(path, what), error);
  if (!value) throw ConfigError(std::string(what) + ": " + path + " is not JSON: " + error);
  return std::move(*value);
}

}  // namespace

FrontContract parse_front_contract(const json::Value& file, const json::Value& agreements,
                                   const json::Value& messages, const cottonbay::Settings& settings) {
  const FieldReader fields(file, "");
  FrontContract front;
  front.listen = fields.required_text("listen");
  const FieldReader message_fields(messages, "");
  const std::string nodes = message_fields.text("node_api", "frames");
  if (nodes != "frames" && nodes != "opensearch")
    FieldReader::fail("node_api", "is neither frames nor opensearch");
  front.opensearch_nodes = nodes == "opensearch";
  front.max_frame_bytes = static_cast<std::size_t>(message_fields.integer("frame_bytes", 0));
  front.max_node_list_bytes = static_cast<std::size_t>(message_fields.integer("list_bytes", 0));
  const auto members = [&](const char* name) -> const json::Object& {
    static const json::Object none;
    const json::Value* value = agreements.find(name);
    if (!value) return none;
    if (!value->object()) FieldReader::fail(name, "is not an object");
    return *value->object();
  };
  for (const auto& [name, value] : members("indices")) {
    const auto has_same_name = [&name = name](const IndexContract& other) { return other.name == name; };
    if (std::any_of(front.indices.begin(), front.indices.end(), has_same_name))
      FieldReader::fail("indices." + name, "is defined twice");
    front.indices.push_back(parse_index(name, value, settings));
  }
  if (front.indices.empty()) FieldReader::fail("indices", "lists no index");
  for (const IndexContract& index : front.indices)
    for (const IndexContract::Alias& alias : index.aliases)
      if (std::any_of(front.indices.begin(), front.indices.end(),
                      [&](const IndexContract& other) { return other.name == alias.name; }))
        FieldReader::fail("indices." + index.name + ".aliases." + alias.name, "is the name of an index");
  for (const auto& [name, value] : members("teams")) front.teams.push_back(parse_team(name, value, settings));
  return front;
}

FrontContract load_front_contract(const std::string& path, const cottonbay::Settings& settings) {
  const json::Value file = parse_file(path, "front file");
  // The contracts are part of the API descriptions or of the front file itself.
  const auto agreements = [&](const char* description) -> json::Value {
    const std::string name = FieldReader(file, "").text(description, "");
    if (name.empty()) return json::Value(file);
    const json::Value described = parse_file(path.substr(0, path.rfind('/') + 1) + name, description);
    const json::Value* found = described.find("x-kelpdeal-contracts");
    if (!found) FieldReader::fail(description, name + " has no x-kelpdeal-contracts");
    return *found;
  };
  FrontContract front = parse_front_contract(file, agreements("openapi"), agreements("asyncapi"), settings);
  if (const std::string keys = FieldReader(file, "").text("cursor_keys", ""); !keys.empty())
    front.cursor_keys = read_file(path.substr(0, path.rfind('/') + 1) + keys, "cursor_keys");
  return front;
}

TeamQuotas::TeamQuotas(std::vector<TeamContract> teams) {
  for (TeamContract& team : teams) {
    TeamState& state = teams_[team.name];
    state.tokens = team.burst;
    state.contract = std::move(team);
  }
}

TeamQuotas::Decision TeamQuotas::acquire(const std::string& team, const std::string& class_name,
                                         TimePoint now) {
  if (teams_.empty()) {
    ++unlimited_;
    return {Permit(&unlimited_), {}, {}};
  }
  const auto it = teams_.find(team);
  if (it == teams_.end()) return {std::nullopt, Refusal::unknown_team, {}};
  TeamState& state = it->second;
  const TeamContract& contract = state.contract;
  if (!contract.classes.contains(class_name)) return {std::nullopt, Refusal::class_not_agreed, {}};
  if (contract.concurrent > 0 && state.running >= contract.concurrent)
    return {std::nullopt, Refusal::concurrency, std::chrono::seconds(1)};
  Duration retry_after{};
  if (contract.per_second > 0 && shared_rates_) {
    if (!shared_rates_->admit(team, now, retry_after)) return {std::nullopt, Refusal::rate, retry_after};
  } else if (contract.per_second > 0) {
    if (state.last_refill != TimePoint{})
      state.tokens = std::min(contract.burst,
                              state.tokens + std::chrono::duration<double>(now - state.last_refill).count() *
                                                 contract.per_second);
    state.last_refill = now;
    if (state.tokens < 1)
      return {std::nullopt, Refusal::rate,
              std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>((1 - state.tokens) / contract.per_second))};
    state.tokens -= 1;
  }
  ++state.running;
  return {Permit(&state.running), {}, {}};
}

}  // namespace kelpdeal
