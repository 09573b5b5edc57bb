// SPDX-License-Identifier: MIT
#include "kelpdeal/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>

#include "kelpdeal/fields.h"

namespace kelpdeal {
namespace {

[[noreturn]] void fail(const std::string& field, const std::string& why) { Fields::fail(field, why); }

cottonbay::ServerState parse_state(const std::string& text, const std::string& path) {
  if (text == "in_service") return cottonbay::ServerState::serving;
  if (text == "terminating") return cottonbay::ServerState::draining;
  if (text == "terminated") return cottonbay::ServerState::removed;
  fail(path, "unknown state");
}

std::uint64_t parse_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto got = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (got.ec != std::errc() || got.ptr != text.data() + text.size()) fail("seed", "is not a hex number");
  return seed;
}

}  // namespace

void Limits::share_descriptors(std::size_t sockets) {
  client_connections = sockets / 2;
  // The platform gives clients a third of the descriptors for their requests. What is kept stays well under
  // it.
  client_requests = sockets / 4;
  node_connections = sockets * 3 / 8;
}

cottonbay::Settings parse_settings(const json::Value& value) {
  const Fields f(value, "settings");
  cottonbay::Settings s;
  const json::Array& classes = f.array("grades");
  if (classes.empty()) fail("settings.grades", "lists no class");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const Fields g(classes[i], "settings.grades." + std::to_string(i));
    cottonbay::ClassSettings c;
    c.name = g.needed_text("name");
    c.aim_ms = g.at_least("sloMs", 0, 0);
    c.deadline_ms = g.at_least("deadlineMs", 0, 0);
    c.window_ms = g.at_least("dedupWindowMs", 0, 0);
    const std::string effect = g.text("effect", "at_most_once");
    if (effect == "idempotent")
      c.effect = cottonbay::Effect::safe;
    else if (effect == "deduplicated")
      c.effect = cottonbay::Effect::keyed;
    else if (effect != "at_most_once")
      fail(g.path("effect"), "unknown effect");
    c.streamed = g.flag("stream", false);
    c.worth = g.at_least("worth", 0, 0);
    c.late_worth = g.at_least("lateWorth", 0, 0);
    c.need = f.entry("familyInfo.wholeAt", i, 1);
    c.floor = f.entry("familyInfo.minShare", i, 1);
    c.partial_earns = f.entry("familyInfo.partialEarns", i, 0);
    c.second_step = static_cast<int>(f.entry("familyInfo.followUp", i, 0));
    s.classes.push_back(std::move(c));
  }
  for (const json::Value& tenant : f.array("tenants")) {
    const Fields t(tenant, "settings.tenants");
    s.tenants.push_back({t.needed_text("name"), t.number("quotaPerS", 0), t.number("share", 0)});
  }
  s.zone = f.text("zone", "");
  s.mixers = f.integer("balancers", 1, 1);
  s.rank = f.integer("rank", 0);
  s.tick_ms = f.at_least("resolutionMs", 1, 0);
  s.shards = f.integer("familyInfo.shards", 0, 1);
  s.cells = f.integer("familyInfo.places", 0, 1);
  s.reach = f.integer("familyInfo.reach", 1, 1);
  s.parts_per_call = f.integer("familyInfo.batch", 1, 1);
  s.call_cost_ms = f.at_least("familyInfo.callMs", 0, 0);
  s.may_probe = f.flag("limits.probing", false);
  s.may_cancel = f.flag("limits.cancel", false);
  s.may_copy = f.flag("limits.parallelTries", false);
  s.may_advise_retry = f.flag("limits.retryAfter", false);
  s.list_on_request = f.text("discovery", "automatic") == "subscribe";
  s.worth_by_work = f.text("valueBy", "request") == "work";
  s.repeats_marked = f.flag("clientHabits.marksRetry", false);
  s.max_attempts = f.integer("limits.sendCap", 1, 1);
  s.max_open = f.integer("limits.openCap", 0);
  s.max_retry_after_ms = f.at_least("limits.maxRetryAfterMs", 0, 0);
  s.connect_timeout_ms = f.at_least("limits.dialTimeoutMs", 250, 1);
  s.over_share_worth = f.number("overShareWorth", 1);
  s.late_fail_price = f.number("prices.lateFail", 0);
  s.answer_slack_ms = f.number("guarantees.graceToAnswerMs", 0);
  s.drain_grace_ms = f.number("guarantees.stopSendingWithinMs", 0);
  s.ask_within_ms = f.number("guarantees.askEveryMs", 0);
  s.cold_from = f.number("guarantees.coldFrom", 1);
  s.cold_ms = f.number("guarantees.coldMs", 0);
  s.tip_multiple = f.number("guarantees.tipMultiple", 0);
  s.tip_after_ms = f.number("guarantees.overloadForMs", 0);
  s.extra_limited = f.find("guarantees.ratioSpanMs") != nullptr;
  s.extra_free = f.number("guarantees.minExtra", 0);
  s.extra_share = f.number("guarantees.furtherRatio", 0);
  s.extra_window_ms = f.number("guarantees.ratioSpanMs", 0);
  return s;
}

NodeList parse_node_list(const json::Value& value) {
  const Fields f(value, "");
  NodeList list;
  list.version = static_cast<std::uint64_t>(f.at_least("rev", 0, 0));
  list.complete = f.flag("all", false);
  const json::Array& targets = f.array("targets");
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const Fields t(targets[i], "targets." + std::to_string(i));
    NodeEntry node;
    node.uid = t.needed_text("uid");
    node.endpoint = t.text("endpoint", "");
    node.zone = t.text("az", "");
    node.kind = t.text("model", "");
    node.state = parse_state(t.text("state", "in_service"), t.path("state"));
    node.weight = t.number("capacity_hint", 1);
    node.cell = t.integer("pod_group", 0);
    const double started = std::clamp(t.number("boot_ms", 0), 0.0, 9e12);
    node.started += std::chrono::duration_cast<std::chrono::system_clock::duration>(FractionalMs(started));
    list.nodes.push_back(std::move(node));
  }
  return list;
}

Config parse_config(const json::Value& file) {
  const Fields f(file, "");
  Config config;
  config.name = f.text("name", "");
  config.listen = f.text("listen", "");
  config.discovery = f.text("discovery", "");
  config.admin = f.text("admin_addr", "");
  config.seed = parse_seed(f.text("seed", "0"));
  const json::Value* settings = f.find("settings");
  if (!settings) fail("settings", "is missing");
  config.settings = parse_settings(*settings);
  if (const json::Value* known = f.find("known")) config.known = parse_node_list(*known);

  const Fields s(*settings, "settings");
  Limits& limits = config.limits;
  limits.open = static_cast<std::size_t>(config.settings.max_open);
  limits.parts_per_call = static_cast<std::size_t>(config.settings.parts_per_call);
  limits.parts_per_connection = static_cast<std::size_t>(s.integer("limits.multiplex", 1, 1));
  limits.connects.timeout = to_duration(FractionalMs(config.settings.connect_timeout_ms));
  limits.connects.seed = config.seed;
  double longest = 0, aim = 0;
  for (const cottonbay::ClassSettings& c : config.settings.classes) {
    longest = std::max(longest, c.deadline_ms);
    aim = std::max(aim, c.aim_ms);
  }
  limits.drain_end = to_duration(FractionalMs(std::min(longest, 3'000.0))) + Milliseconds(600);
  limits.drain_serve = std::max(limits.drain_accept, limits.drain_end - to_duration(FractionalMs(aim)));
  // Guards against an end of our own, before the platform's, that finds a long request without its answer.
  limits.drain_most =
      std::max<Duration>(limits.drain_most, to_duration(FractionalMs(longest)) + Milliseconds(1'000));
  limits.frame_time = limits.connects.timeout;
  limits.pace.callers = config.settings.mixers;
  if (config.settings.ask_within_ms > 0)
    limits.pace.ask_within = to_duration(FractionalMs(config.settings.ask_within_ms));
  limits.pace.pushed = !config.settings.list_on_request;
  if (config.settings.drain_grace_ms > 0)
    limits.pace.told_within = to_duration(FractionalMs(config.settings.drain_grace_ms));
  // Guards against advice where none is allowed: 0 names no time.
  limits.most_retry_after =
      to_duration(FractionalMs(config.settings.may_advise_retry ? config.settings.max_retry_after_ms : 0));
  const double idle = s.at_least("limits.connIdleMs", 30'000, 1);
  // Guards against writing on a connection that the node is closing: ours closes well before.
  limits.node_idle = to_duration(FractionalMs(std::max(idle * 0.8, idle - 5'000)));
  config.sockets = static_cast<std::size_t>(f.integer("limits.sockets", 1024, 64));
  limits.share_descriptors(config.sockets);
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
  // Guards against a process that may hold fewer descriptors than the file says: clients would take what
  // discovery and record nodes need.
  rlimit allowed{};
  if (::getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur < config.sockets)
    config.limits.share_descriptors(std::max<std::size_t>(allowed.rlim_cur, 64));
  const auto prefer = [&](const char* name, std::string& field) {
    if (std::string value = variable(name); !value.empty()) field = std::move(value);
    if (field.empty()) throw ConfigError(std::string(name) + ": is not set");
  };
  prefer("GW_NAME", config.name);
  prefer("GW_LISTEN", config.listen);
  // The file may have been replaced since the environment was made, as at a reload: here it counts first.
  if (config.discovery.empty()) prefer("GW_DISCOVERY", config.discovery);
  if (std::string value = variable("GW_ADMIN_ADDR"); !value.empty()) config.admin = std::move(value);
  if (!config.admin.empty()) {
    std::string dir = variable("TMPDIR");
    if (dir.empty()) dir = "/tmp";
    config.handover = dir + "/kelpdeal-" + config.name + ".out";
  }
  if (const std::string passed = variable("GW_PASSED_SOCKET"); !passed.empty()) {
    int fd = -1;
    const auto got = std::from_chars(passed.data(), passed.data() + passed.size(), fd);
    if (got.ec != std::errc() || got.ptr != passed.data() + passed.size() || fd < 0)
      throw ConfigError("GW_PASSED_SOCKET: is not a descriptor number: " + passed);
    config.passed_socket = fd;
  }
  return config;
}

}  // namespace kelpdeal
