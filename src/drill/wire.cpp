// SPDX-License-Identifier: MIT
#include "wire.h"

#include <charconv>
#include <cmath>

namespace cottonbay::wire {
namespace {

[[noreturn]] void fail(const std::string& what) { throw MalformedInput(what); }

double parse_number(std::string_view text, std::string_view key) {
  double value = 0;
  const auto end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || !std::isfinite(value))
    fail("field " + std::string(key) + " is not a number: " + std::string(text.substr(0, 40)));
  return value;
}

Outcome parse_outcome(std::string_view text) {
  static constexpr std::pair<std::string_view, Outcome> names[] = {
      {"ok", Outcome::ok},         {"error", Outcome::error},
      {"full", Outcome::full},     {"timeout", Outcome::timeout},
      {"reset", Outcome::reset},   {"connect_failed", Outcome::connect_failed},
      {"moot", Outcome::not_sent}, {"cancelled", Outcome::cancelled}};
  for (const auto& [name, outcome] : names)
    if (name == text) return outcome;
  fail("unknown outcome: " + std::string(text));
}

LoadReport parse_load(const std::string& text) {
  LoadReport load;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find(',', at), text.size());
    const std::string_view item = std::string_view(text).substr(at, end - at);
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) fail("malformed load report: " + text.substr(0, 40));
    load.emplace_back(item.substr(0, colon), parse_number(item.substr(colon + 1), item.substr(0, colon)));
    at = end + 1;
  }
  return load;
}

bool read_line(std::istream& in, std::string& line) {
  if (!std::getline(in, line)) return false;
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return true;
}

std::string number_text(double value) {
  char buffer[64];
  const auto result = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3);
  return std::string(buffer, result.ptr);
}

std::string one_line(std::string text) {
  for (char& c : text)
    if (c == '\n' || c == '\r') c = ' ';
  return text;
}

struct Writer {
  std::uint64_t instance;
  std::string line;
  void start(const char* name) { line += std::string(name) + " mixerId=" + std::to_string(instance); }
  void add(const char* key, const std::string& value) { line += std::string(" ") + key + "=" + value; }
  void operator()(const Send& action) {
    start("route");
    add("requestId", std::to_string(action.part));
    if (action.timeout_at_ms > 0) add("untilMs", number_text(action.timeout_at_ms));
    add("searcher", std::to_string(action.server));
  }
  void operator()(const Cancel& action) {
    start("retract");
    add("requestId", std::to_string(action.part));
    add("shot", std::to_string(action.attempt));
  }
  void operator()(const Answer& action) {
    start("reply_now");
    add("requestId", std::to_string(action.query));
    add("whole", action.complete ? "1" : "0");
  }
  void operator()(const Refuse& action) {
    start("push_back");
    add("requestId", std::to_string(action.query));
    if (action.retry_after_ms > 0) add("backoffMs", number_text(action.retry_after_ms));
  }
  void operator()(const Fail& action) {
    start("give_up");
    add("requestId", std::to_string(action.query));
  }
  void operator()(const SetTimer& action) {
    start("set_timer");
    add("inMs", number_text(action.delay_ms));
    add("handle", action.token);
  }
  void operator()(const Subscribe&) {
    start("keep_informed");
    add("whole", "1");
  }
  void operator()(const FetchList&) { start("refresh"); }
  void operator()(const Probe& action) {
    start("sound_out");
    add("searcher", std::to_string(action.server));
  }
  void operator()(const CloseIdle& action) {
    start("close_idle");
    add("searcher", std::to_string(action.server));
  }
  void operator()(const SendToPeer& action) {
    start("share");
    add("recipient", std::to_string(action.to));
    add("data", base64_encode(action.data));
  }
  void operator()(const Log& action) {
    start("write_log");
    add("what", one_line(action.text));
  }
};

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string base64_encode(std::string_view bytes) {
  if (bytes.empty()) return "-";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j <= bytes.size() ? kAlphabet[group >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}

std::string base64_decode(std::string_view text) {
  if (text == "-") return "";
  if (text.size() % 4 != 0) fail("malformed base64");
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t group = 0;
    int pads = 0;
    for (std::size_t j = 0; j < 4; ++j) {
      const char c = text[i + j];
      const std::size_t digit = kAlphabet.find(c);
      const bool pad = c == '=' && j >= 2 && i + 4 == text.size();
      if ((digit == std::string_view::npos && !pad) || (!pad && pads > 0)) fail("malformed base64");
      group = group << 6 | (pad ? 0u : static_cast<std::uint32_t>(digit));
      pads += pad;
    }
    for (int j = 0; j < 3 - pads; ++j) out += static_cast<char>(group >> (16 - 8 * j) & 255);
  }
  return out;
}

Fields::Fields(std::string_view line) {
  const std::size_t space = line.find(' ');
  name_ = line.substr(0, space);
  std::size_t at = space == std::string_view::npos ? line.size() : space + 1;
  while (at < line.size()) {
    std::size_t end = std::min(line.find(' ', at), line.size());
    const std::size_t equals = line.find('=', at);
    if (equals == std::string_view::npos || equals > end)
      fail("field is not of the form name=value in " + name_ + ": " +
           std::string(line.substr(at, std::min<std::size_t>(40, end - at))));
    const std::string_view key = line.substr(at, equals - at);
    if (key == "what") end = line.size();  // free text extends to the end of the line
    values_[std::string(key)] = line.substr(equals + 1, end - equals - 1);
    at = end + 1;
  }
}

bool Fields::has(std::string_view key) const { return values_.find(key) != values_.end(); }

std::string Fields::text(std::string_view key, std::string_view default_value) const {
  const auto it = values_.find(key);
  return it == values_.end() ? std::string(default_value) : it->second;
}

double Fields::number(std::string_view key, double default_value) const {
  const auto it = values_.find(key);
  return it == values_.end() || it->second.empty() ? default_value : parse_number(it->second, key);
}

std::uint64_t Fields::unsigned_integer(std::string_view key) const {
  const auto it = values_.find(key);
  if (it == values_.end()) fail(name_ + " has no field " + std::string(key));
  std::uint64_t value = 0;
  const char* end = it->second.data() + it->second.size();
  const auto result = std::from_chars(it->second.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end)
    fail("field " + std::string(key) + " is not an integer: " + it->second.substr(0, 40));
  return value;
}

int Fields::integer(std::string_view key, int default_value) const {
  const double value = number(key, default_value);
  if (std::abs(value) > 2e9) fail("field " + std::string(key) + " is out of range");
  return static_cast<int>(std::lround(value));
}

bool Fields::flag(std::string_view key, bool default_value) const {
  const std::string value = text(key, default_value ? "1" : "0");
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false" || value.empty()) return false;
  fail("field " + std::string(key) + " is not a boolean: " + value.substr(0, 40));
}

std::vector<std::string> Fields::list(std::string_view key) const {
  std::vector<std::string> items;
  const std::string all = text(key);
  for (std::size_t at = 0; at < all.size();) {
    const std::size_t end = std::min(all.find(',', at), all.size());
    items.push_back(all.substr(at, end - at));
    at = end + 1;
  }
  return items;
}

Settings parse_settings(const Fields& fields) {
  Settings settings;
  const auto per_class = [&fields](const char* key, int i, double default_value) {
    const auto items = fields.list(key);
    return i < static_cast<int>(items.size()) ? parse_number(items[i], key) : default_value;
  };
  const int classes = fields.integer("grades.count");
  if (classes < 0 || classes > 10000) fail("grades.count is out of range");
  for (int i = 0; i < classes; ++i) {
    const std::string prefix = "grades." + std::to_string(i) + ".";
    ClassSettings query_class;
    query_class.name = fields.text(prefix + "name");
    query_class.slo_ms = fields.number(prefix + "sloMs");
    query_class.deadline_ms = fields.number(prefix + "deadlineMs");
    query_class.dedup_window_ms = fields.number(prefix + "dedupWindowMs");
    const std::string effect = fields.text(prefix + "effect", "at_most_once");
    if (effect == "idempotent") query_class.effect = Effect::idempotent;
    if (effect == "deduplicated") query_class.effect = Effect::deduplicated;
    query_class.streamed = fields.flag(prefix + "stream");
    query_class.value = fields.number(prefix + "worth");
    query_class.late_value_fraction = fields.number(prefix + "lateWorth");
    query_class.complete_fraction = per_class("familyInfo.wholeAt", i, 1);
    query_class.min_fraction = per_class("familyInfo.minShare", i, 1);
    query_class.partial_value_fraction = per_class("familyInfo.partialEarns", i, 0);
    query_class.second_step_parts = static_cast<int>(per_class("familyInfo.followUp", i, 0));
    settings.classes.push_back(std::move(query_class));
  }
  const int tenants = fields.integer("tenants.count");
  if (tenants < 0 || tenants > 100000) fail("tenants.count is out of range");
  for (int i = 0; i < tenants; ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    settings.tenants.push_back(
        {fields.text(prefix + "name"), fields.number(prefix + "quotaPerS"), fields.number(prefix + "share")});
  }
  settings.zone = fields.text("zone");
  settings.coordinators = fields.integer("balancers", 1);
  settings.coordinator_index = fields.integer("rank");
  settings.tick_ms = fields.number("resolutionMs");
  settings.shards = fields.integer("familyInfo.shards");
  settings.cells = fields.integer("familyInfo.places");
  settings.cells_per_shard = fields.integer("familyInfo.reach", 1);
  settings.parts_per_call = fields.integer("familyInfo.batch", 1);
  settings.call_cost_ms = fields.number("familyInfo.callMs");
  settings.may_probe = fields.flag("limits.probing");
  settings.may_cancel = fields.flag("limits.cancel");
  settings.may_hedge = fields.flag("limits.parallelTries");
  settings.may_advise_retry = fields.flag("limits.retryAfter");
  settings.list_on_request = fields.text("discovery") == "subscribe";
  settings.value_per_part = fields.text("valueBy") == "work";
  settings.retries_marked = fields.flag("clientHabits.marksRetry");
  settings.max_attempts = fields.integer("limits.sendCap", 1);
  settings.max_open = fields.integer("limits.openCap");
  settings.max_retry_after_ms = fields.number("limits.maxRetryAfterMs");
  settings.connect_timeout_ms = fields.number("limits.dialTimeoutMs");
  settings.over_share_value_factor = fields.number("overShareWorth", 1);
  settings.late_failure_cost = fields.number("prices.lateFail");
  settings.answer_slack_ms = fields.number("guarantees.graceToAnswerMs");
  settings.drain_grace_ms = fields.number("guarantees.stopSendingWithinMs");
  settings.list_request_interval_ms = fields.number("guarantees.askEveryMs");
  settings.cold_capacity = fields.number("guarantees.coldFrom", 1);
  settings.warm_up_ms = fields.number("guarantees.coldMs");
  settings.overload_factor = fields.number("guarantees.tipMultiple");
  settings.overload_window_ms = fields.number("guarantees.overloadForMs");
  settings.retry_budget_limited = fields.has("guarantees.ratioSpanMs");
  settings.retry_budget_min = fields.number("guarantees.minExtra");
  settings.retry_budget_ratio = fields.number("guarantees.furtherRatio");
  settings.retry_budget_window_ms = fields.number("guarantees.ratioSpanMs");
  return settings;
}

ServerEntry parse_server(const Fields& fields) {
  if (fields.name() != "row") fail("expected a row message, got " + fields.name().substr(0, 40));
  ServerEntry entry;
  entry.id = fields.unsigned_integer("searcher");
  entry.started_ms = fields.number("launchedMs");
  entry.zone = fields.text("locality");
  entry.kind = fields.text("familyType");
  entry.weight = fields.number("heft", 1);
  entry.cell = fields.integer("position");
  const std::string state = fields.text("availability", "SERVING");
  if (state == "DRAINING")
    entry.state = ServerState::draining;
  else if (state == "DELETED")
    entry.state = ServerState::removed;
  else if (state != "SERVING")
    fail("unknown availability: " + state.substr(0, 40));
  return entry;
}

void SimulatorSession::begin_batch(const Fields& fields) {
  if (!fields.has("simTimeMs")) fail("begin_batch has no field simTimeMs");
  now_ms_ = fields.number("simTimeMs");
  in_batch_ = true;
}

void SimulatorSession::handle_message(const Fields& fields, std::istream& in) {
  if (fields.name() == "register") {
    const std::uint64_t page = fields.unsigned_integer("page");
    if (page >= pages_.size()) fail("page is out of range");
    std::vector<ServerEntry> entries;
    std::string line;
    for (std::uint64_t left = fields.unsigned_integer("hosts"); left > 0; --left) {
      if (!read_line(in, line)) fail("input ends inside a register message");
      entries.push_back(parse_server(Fields(line)));
    }
    pages_[page] = std::move(entries);
    return;
  }
  static constexpr std::string_view known[] = {"configure", "halt",      "announce",  "work_item", "verdict",
                                               "sampled",   "under_way", "withdrawn", "wake",      "inbox"};
  bool is_known = false;
  for (const auto name : known) is_known |= name == fields.name();
  if (!is_known) fail("unknown message: " + fields.name().substr(0, 40));
  const std::uint64_t id = fields.unsigned_integer("mixerId");
  if (fields.name() == "configure") {
    std::string error;
    Instance started;
    started.balancer = Balancer::create(
        parse_settings(fields), fields.has("randomSeed") ? fields.unsigned_integer("randomSeed") : 0, error);
    if (!started.balancer) fail("settings of instance " + std::to_string(id) + ": " + error);
    started.in_batch_order = true;
    const auto old = instances_.find(id);
    if (old == instances_.end() || !old->second.in_batch_order) batch_order_.push_back(id);
    instances_[id] = std::move(started);
    return;
  }
  const auto it = instances_.find(id);
  if (fields.name() == "halt") {  // discards its events of this batch too
    if (it != instances_.end()) {
      it->second.balancer.reset();
      it->second.events.clear();
    }
    return;
  }
  if (it == instances_.end() || !it->second.balancer)
    fail(fields.name() + " for an instance that is not running: " + std::to_string(id));
  Instance& instance = it->second;
  if (!instance.in_batch_order) {
    instance.in_batch_order = true;
    batch_order_.push_back(id);
  }
  auto& events = instance.events;
  if (fields.name() == "announce") {
    ServerListReceived event;
    event.version = fields.has("gen") ? fields.unsigned_integer("gen") : 0;
    const std::string how = fields.text("how");
    if (how == "FAILED") {
      event.kind = ListKind::failed;
    } else {
      if (how == "INCREMENTAL")
        event.kind = ListKind::changes;
      else if (how == "FULL")
        event.kind = ListKind::complete;
      else if (how == "SAVED")
        event.kind = ListKind::saved;
      else
        fail("unknown kind of server list: " + how.substr(0, 40));
      const std::uint64_t page = fields.has("page") ? fields.unsigned_integer("page") : 0;
      if (page >= pages_.size()) fail("page is out of range");
      event.servers = pages_[page];
    }
    events.emplace_back(std::move(event));
  } else if (fields.name() == "work_item") {
    const int bits = fields.integer("bitmap");
    const int shard = static_cast<int>(std::floor(fields.number("slice", -1)));
    if (shard < 0) {
      QueryArrived event;
      event.id = fields.unsigned_integer("requestId");
      event.query_number = static_cast<std::uint64_t>(fields.number("askNo"));
      event.class_name = fields.text("type");
      event.tenant = fields.text("tenant");
      event.key = fields.text("partitionKey");
      event.expires_ms = fields.number("dropDeadMs");
      event.cost_hint_ms = fields.number("sizeHintMs");
      event.has_cost_hint = bits & 1;
      event.is_retry = bits & 2;
      event.is_write = bits & 4;
      event.parts = fields.integer("sizeOrWeight");
      events.emplace_back(std::move(event));
    } else {
      PartArrived event;
      event.id = fields.unsigned_integer("requestId");
      event.query_number = static_cast<std::uint64_t>(fields.number("askNo"));
      event.shard = shard;
      event.weight = fields.number("sizeOrWeight");
      event.cost_hint_ms = fields.number("sizeHintMs");
      event.has_cost_hint = bits & 1;
      events.emplace_back(event);
    }
  } else if (fields.name() == "verdict") {
    events.emplace_back(AttemptEnded{fields.unsigned_integer("requestId"), fields.integer("shot"),
                                     fields.unsigned_integer("searcher"),
                                     parse_outcome(fields.text("verdict")), fields.number("elapsedMs"),
                                     fields.flag("complete"), parse_load(fields.text("gauge"))});
  } else if (fields.name() == "sampled") {
    events.emplace_back(ProbeEnded{fields.unsigned_integer("searcher"), parse_outcome(fields.text("verdict")),
                                   fields.number("elapsedMs"), parse_load(fields.text("gauge"))});
  } else if (fields.name() == "under_way") {
    events.emplace_back(StreamStarted{fields.unsigned_integer("requestId"), fields.integer("shot"),
                                      fields.unsigned_integer("searcher"), fields.number("elapsedMs")});
  } else if (fields.name() == "withdrawn") {
    events.emplace_back(QueryWithdrawn{fields.unsigned_integer("requestId")});
  } else if (fields.name() == "wake") {
    events.emplace_back(TimerFired{fields.text("handle")});
  } else {
    events.emplace_back(PeerMessage{fields.integer("sender"), base64_decode(fields.text("data", "-"))});
  }
}

void SimulatorSession::step_instance(std::uint64_t id, Instance& instance, std::ostream& out) {
  instance.in_batch_order = false;
  if (!instance.balancer || instance.events.empty()) return;
  std::vector<Action> actions;
  std::string error;
  const bool succeeded = instance.balancer->step(now_ms_, instance.events, actions, error);
  instance.events.clear();
  Writer writer{id, {}};
  for (const Action& action : actions) {
    std::visit(writer, action);
    writer.line += '\n';
  }
  if (!succeeded) {
    writer.start("panic");
    writer.add("what", one_line(error));
    writer.line += '\n';
  }
  out << writer.line;
}

void SimulatorSession::end_batch(std::ostream& out) {
  for (const std::uint64_t id : batch_order_) {
    const auto it = instances_.find(id);
    if (it != instances_.end()) step_instance(id, it->second, out);
  }
  batch_order_.clear();
  in_batch_ = false;
  out << "eor\n" << std::flush;
}

void SimulatorSession::run(std::istream& in, std::ostream& out) {
  std::string line;
  while (read_line(in, line)) {
    if (line.empty()) continue;
    if (line == "commit") {
      if (!in_batch_) fail("commit outside a batch");
      end_batch(out);
      continue;
    }
    const Fields fields(line);
    if (fields.name() == "begin_batch") {
      if (in_batch_) fail("begin_batch inside a batch");
      begin_batch(fields);
    } else if (!in_batch_) {
      fail("message outside a batch: " + fields.name().substr(0, 40));
    } else {
      handle_message(fields, in);
    }
  }
  if (in_batch_) fail("input ends inside a batch");
}

}  // namespace cottonbay::wire
