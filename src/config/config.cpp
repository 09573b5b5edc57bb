// SPDX-License-Identifier: MIT
#include "kelpdeal/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>

#include "kelpdeal/field_reader.h"

namespace kelpdeal {
namespace {

[[noreturn]] void fail(const std::string& field, const std::string& reason) {
  FieldReader::fail(field, reason);
}

cottonbay::ServerState parse_state(const std::string& text, const std::string& path) {
  if (text == "in_service") return cottonbay::ServerState::serving;
  if (text == "terminating") return cottonbay::ServerState::draining;
  if (text == "terminated") return cottonbay::ServerState::removed;
  fail(path, "unknown state");
}

// Limits::allocate_memory().
constexpr std::size_t kMinLargestMessages = 2;  // messages of the largest size that a share holds at least
constexpr std::size_t kNodeListTextDivisor =
    3;  // of the share for lists, the rest is for what is known of nodes
constexpr std::size_t kParsedValueBytes = 128;  // of one JSON value while its list grows
constexpr std::size_t kNodeBytes = 900;         // what is known of one node
constexpr std::size_t kCursorBytes = 400;       // an open cursor and the record of a cleared one
constexpr int kDefaultMemoryMb = 1024;

std::uint64_t parse_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    fail("seed", "is not a hex number");
  return seed;
}

}  // namespace

void Limits::allocate_descriptors(std::size_t descriptors) {
  max_client_connections = descriptors / 2;
  // The platform lets clients use a third of the descriptors for their requests; stay well below that.
  max_active_clients = descriptors / 4;
  max_node_connections = descriptors * 3 / 8;
}

void Limits::allocate_memory(std::size_t bytes) {
  using admission::Use;
  memory = admission::plan_memory(bytes, max_client_connections, max_node_connections);
  json.values = std::min(json.values, memory.working_space / kParsedValueBytes);
  search_json.values = std::min(search_json.values, memory.working_space / kParsedValueBytes);
  fit_messages_to_memory();
  max_nodes = std::min(max_nodes, (memory.share(Use::node_list).bound - max_node_list_bytes) / kNodeBytes);
  max_cursors = std::min(max_cursors, memory.share(Use::cursors).bound / kCursorBytes);
  max_cursors_per_team = std::min(max_cursors_per_team, max_cursors);
}

void Limits::fit_messages_to_memory() {
  using admission::Use;
  const std::size_t input = memory.share(Use::unfinished_requests).large_bound / kMinLargestMessages;
  max_search_body_bytes = std::min(max_search_body_bytes, input);
  max_bulk_line_bytes = std::min(max_bulk_line_bytes, input);
  max_frame_bytes = std::min(max_frame_bytes, memory.share(Use::node_input).bound / kMinLargestMessages);
  max_node_list_bytes =
      std::min(max_node_list_bytes, memory.share(Use::node_list).bound / kNodeListTextDivisor);
}

cottonbay::Settings parse_settings(const json::Value& value) {
  const FieldReader fields(value, "settings");
  cottonbay::Settings settings;
  const json::Array& classes = fields.array("grades");
  if (classes.empty()) fail("settings.grades", "lists no class");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const FieldReader class_fields(classes[i], "settings.grades." + std::to_string(i));
    cottonbay::ClassSettings class_settings;
    class_settings.name = class_fields.required_text("name");
    class_settings.slo_ms = class_fields.at_least("sloMs", 0, 0);
    class_settings.deadline_ms = class_fields.at_least("deadlineMs", 0, 0);
    class_settings.dedup_window_ms = class_fields.at_least("dedupWindowMs", 0, 0);
    const std::string effect = class_fields.text("effect", "at_most_once");
    if (effect == "idempotent")
      class_settings.effect = cottonbay::Effect::idempotent;
    else if (effect == "deduplicated")
      class_settings.effect = cottonbay::Effect::deduplicated;
    else if (effect != "at_most_once")
      fail(class_fields.path("effect"), "unknown effect");
    class_settings.streamed = class_fields.boolean("stream", false);
    class_settings.value = class_fields.at_least("worth", 0, 0);
    class_settings.late_value_fraction = class_fields.at_least("lateWorth", 0, 0);
    class_settings.complete_fraction = fields.entry("familyInfo.wholeAt", i, 1);
    class_settings.min_fraction = fields.entry("familyInfo.minShare", i, 1);
    class_settings.partial_value_fraction = fields.entry("familyInfo.partialEarns", i, 0);
    class_settings.second_step_parts = static_cast<int>(fields.entry("familyInfo.followUp", i, 0));
    settings.classes.push_back(std::move(class_settings));
  }
  for (const json::Value& tenant : fields.array("tenants")) {
    const FieldReader entry_fields(tenant, "settings.tenants");
    settings.tenants.push_back({entry_fields.required_text("name"), entry_fields.number("quotaPerS", 0),
                                entry_fields.number("share", 0)});
  }
  settings.zone = fields.text("zone", "");
  settings.coordinators = fields.integer("balancers", 1, 1);
  settings.coordinator_index = fields.integer("rank", 0);
  settings.tick_ms = fields.at_least("resolutionMs", 1, 0);
  settings.shards = fields.integer("familyInfo.shards", 0, 1);
  settings.cells = fields.integer("familyInfo.places", 0, 1);
  settings.cells_per_shard = fields.integer("familyInfo.reach", 1, 1);
  settings.parts_per_call = fields.integer("familyInfo.batch", 1, 1);
  settings.call_cost_ms = fields.at_least("familyInfo.callMs", 0, 0);
  settings.may_probe = fields.boolean("limits.probing", false);
  settings.may_cancel = fields.boolean("limits.cancel", false);
  settings.may_hedge = fields.boolean("limits.parallelTries", false);
  settings.may_advise_retry = fields.boolean("limits.retryAfter", false);
  settings.list_on_request = fields.text("discovery", "automatic") == "subscribe";
  settings.value_per_part = fields.text("valueBy", "request") == "work";
  settings.retries_marked = fields.boolean("clientHabits.marksRetry", false);
  settings.max_attempts = fields.integer("limits.sendCap", 1, 1);
  settings.max_open = fields.integer("limits.openCap", 0);
  settings.max_retry_after_ms = fields.at_least("limits.maxRetryAfterMs", 0, 0);
  settings.connect_timeout_ms = fields.at_least("limits.dialTimeoutMs", 250, 1);
  settings.over_share_value_factor = fields.number("overShareWorth", 1);
  settings.late_failure_cost = fields.number("prices.lateFail", 0);
  settings.answer_slack_ms = fields.number("guarantees.graceToAnswerMs", 0);
  settings.drain_grace_ms = fields.number("guarantees.stopSendingWithinMs", 0);
  settings.list_request_interval_ms = fields.number("guarantees.askEveryMs", 0);
  settings.cold_capacity = fields.number("guarantees.coldFrom", 1);
  settings.warm_up_ms = fields.number("guarantees.coldMs", 0);
  settings.overload_factor = fields.number("guarantees.tipMultiple", 0);
  settings.overload_window_ms = fields.number("guarantees.overloadForMs", 0);
  settings.retry_budget_limited = fields.find("guarantees.ratioSpanMs") != nullptr;
  settings.retry_budget_min = fields.number("guarantees.minExtra", 0);
  settings.retry_budget_ratio = fields.number("guarantees.furtherRatio", 0);
  settings.retry_budget_window_ms = fields.number("guarantees.ratioSpanMs", 0);
  return settings;
}

namespace {

NodeEntry parse_node(const json::Value& value, const std::string& path) {
  const FieldReader fields(value, path);
  NodeEntry node;
  node.uid = fields.required_text("uid");
  node.endpoint = fields.text("endpoint", "");
  node.zone = fields.text("az", "");
  node.kind = fields.text("model", "");
  node.state = parse_state(fields.text("state", "in_service"), fields.path("state"));
  node.weight = fields.number("capacity_hint", 1);
  node.cell = fields.integer("pod_group", 0);
  const double started = std::clamp(fields.number("boot_ms", 0), 0.0, 9e12);
  node.started += std::chrono::duration_cast<std::chrono::system_clock::duration>(FractionalMs(started));
  return node;
}

}  // namespace

NodeList parse_node_list(const json::Value& value) {
  const FieldReader fields(value, "");
  NodeList list;
  list.version = static_cast<std::uint64_t>(fields.at_least("rev", 0, 0));
  list.complete = fields.boolean("all", false);
  const json::Array& targets = fields.array("targets");
  for (std::size_t i = 0; i < targets.size(); ++i)
    list.nodes.push_back(parse_node(targets[i], "targets." + std::to_string(i)));
  return list;
}

NodeList parse_node_list(std::string_view text, const json::Bounds& bounds, std::size_t max_nodes) {
  constexpr std::size_t kAnyNumber = static_cast<std::size_t>(-1);
  if (!json::valid(text, {bounds.depth, kAnyNumber})) fail("list", "is not JSON, or nested too deeply");
  const auto parse_value = [&bounds](std::string_view raw, const std::string& path) {
    std::string error;
    auto value = json::parse(raw, error, bounds);
    if (!value) fail(path, error);
    return std::move(*value);
  };
  // All members but the nodes; of members with the same name the last one counts.
  json::Object members;
  std::optional<std::string_view> targets;
  json::Scanner scanner(text);
  if (!scanner.is_object()) fail("list", "is not an object");
  while (scanner.next()) {
    if (scanner.name() == "targets")
      targets = scanner.raw();
    else if (scanner.name() == "rev" || scanner.name() == "all")
      members.emplace_back(scanner.name(), parse_value(scanner.raw(), std::string(scanner.name())));
  }
  NodeList list = parse_node_list(json::Value(std::move(members)));
  if (!targets || *targets == "null") return list;
  json::Scanner items(*targets);
  if (!items.is_array()) fail("targets", "is not a list");
  while (items.next()) {
    if (list.nodes.size() >= max_nodes) fail("targets", "lists more nodes than there is memory for");
    const std::string path = "targets." + std::to_string(list.nodes.size());
    list.nodes.push_back(parse_node(parse_value(items.raw(), path), path));
  }
  return list;
}

Config parse_config(const json::Value& file) {
  const FieldReader fields(file, "");
  Config config;
  config.name = fields.text("name", "");
  config.listen = fields.text("listen", "");
  config.discovery = fields.text("discovery", "");
  config.admin_address = fields.text("admin_addr", "");
  config.seed = parse_seed(fields.text("seed", "0"));
  const json::Value* settings = fields.find("settings");
  if (!settings) fail("settings", "is missing");
  config.settings = parse_settings(*settings);
  if (const json::Value* known = fields.find("known")) config.known_nodes = parse_node_list(*known);

  const FieldReader settings_fields(*settings, "settings");
  Limits& limits = config.limits;
  limits.max_open = static_cast<std::size_t>(config.settings.max_open);
  limits.parts_per_call = static_cast<std::size_t>(config.settings.parts_per_call);
  limits.parts_per_connection = static_cast<std::size_t>(settings_fields.integer("limits.multiplex", 1, 1));
  limits.connect_pacing.timeout = to_duration(FractionalMs(config.settings.connect_timeout_ms));
  limits.connect_pacing.seed = config.seed;
  double longest_deadline = 0, longest_aim = 0;
  for (const cottonbay::ClassSettings& class_settings : config.settings.classes) {
    longest_deadline = std::max(longest_deadline, class_settings.deadline_ms);
    longest_aim = std::max(longest_aim, class_settings.slo_ms);
  }
  limits.drain_answer_deadline =
      to_duration(FractionalMs(std::min(longest_deadline, 3'000.0))) + Milliseconds(600);
  limits.drain_serve_period = std::max(limits.drain_accept_period,
                                       limits.drain_answer_deadline - to_duration(FractionalMs(longest_aim)));
  // The drain must not end before the longest request can be answered.
  limits.max_drain_time = std::max<Duration>(
      limits.max_drain_time, to_duration(FractionalMs(longest_deadline)) + Milliseconds(1'000));
  limits.frame_read_timeout = limits.connect_pacing.timeout;
  limits.discovery_schedule.coordinators = config.settings.coordinators;
  if (config.settings.list_request_interval_ms > 0)
    limits.discovery_schedule.max_poll_interval =
        to_duration(FractionalMs(config.settings.list_request_interval_ms));
  limits.discovery_schedule.pushed = !config.settings.list_on_request;
  if (config.settings.drain_grace_ms > 0)
    limits.discovery_schedule.push_grace = to_duration(FractionalMs(config.settings.drain_grace_ms));
  // 0 disables the advice where the settings do not allow it.
  limits.max_retry_after =
      to_duration(FractionalMs(config.settings.may_advise_retry ? config.settings.max_retry_after_ms : 0));
  const double idle = settings_fields.at_least("limits.connIdleMs", 30'000, 1);
  // Close idle connections well before the node does, so that nothing is written to a closing connection.
  limits.node_idle_timeout = to_duration(FractionalMs(std::max(idle * 0.8, idle - 5'000)));
  config.max_descriptors = static_cast<std::size_t>(fields.integer("limits.sockets", 1024, 64));
  limits.allocate_descriptors(config.max_descriptors);
  config.memory_mb = static_cast<std::size_t>(fields.integer("limits.memory_mb", kDefaultMemoryMb, 1));
  limits.allocate_memory(config.memory_mb << 20);
  return config;
}

std::string read_file(const std::string& path, const char* what) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError(std::string(what) + ": cannot read " + path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

Config load_config(const std::function<std::string(const char*)>& variable) {
  const std::string path = variable("GW_CONFIG");
  if (path.empty()) throw ConfigError("GW_CONFIG: is not set");
  std::string error;
  const auto file = json::parse(read_file(path, "GW_CONFIG"), error);
  if (!file) throw ConfigError("GW_CONFIG: not JSON: " + error);
  Config config = parse_config(*file);
  // If the process may open fewer descriptors than the file says, divide the actual limit: clients would
  // otherwise take those that discovery and record nodes need.
  rlimit allowed{};
  if (::getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur < config.max_descriptors) {
    config.limits.allocate_descriptors(std::max<std::size_t>(allowed.rlim_cur, 64));
    config.limits.allocate_memory(config.memory_mb << 20);
  }
  const auto read_variable = [&](const char* name, std::string& field) {
    if (std::string value = variable(name); !value.empty()) field = std::move(value);
    if (field.empty()) throw ConfigError(std::string(name) + ": is not set");
  };
  read_variable("GW_NAME", config.name);
  read_variable("GW_LISTEN", config.listen);
  // For discovery the file takes precedence: at a reload it is newer than the environment.
  if (config.discovery.empty()) read_variable("GW_DISCOVERY", config.discovery);
  if (std::string value = variable("GW_ADMIN_ADDR"); !value.empty()) config.admin_address = std::move(value);
  if (!config.admin_address.empty()) {
    std::string dir = variable("TMPDIR");
    if (dir.empty()) dir = "/tmp";
    config.handover_path = dir + "/kelpdeal-" + config.name + ".out";
  }
  if (const std::string passed = variable("GW_PASSED_SOCKET"); !passed.empty()) {
    int fd = -1;
    const auto parsed = std::from_chars(passed.data(), passed.data() + passed.size(), fd);
    if (parsed.ec != std::errc() || parsed.ptr != passed.data() + passed.size() || fd < 0)
      throw ConfigError("GW_PASSED_SOCKET: is not a descriptor number: " + passed);
    config.passed_socket = fd;
  }
  return config;
}

}  // namespace kelpdeal
