// SPDX-License-Identifier: MIT
#include "wire.h"

#include <charconv>
#include <cmath>

namespace cottonbay::wire {
namespace {

[[noreturn]] void fail(const std::string& what) { throw Malformed(what); }

double to_number(std::string_view text, std::string_view key) {
  double value = 0;
  const auto end = text.data() + text.size();
  const auto got = std::from_chars(text.data(), end, value);
  if (got.ec != std::errc() || got.ptr != end || !std::isfinite(value))
    fail("field " + std::string(key) + " is not a number: " + std::string(text.substr(0, 40)));
  return value;
}

Outcome to_outcome(std::string_view text) {
  static constexpr std::pair<std::string_view, Outcome> names[] = {
      {"ok", Outcome::ok},         {"error", Outcome::error},
      {"full", Outcome::full},     {"timeout", Outcome::timeout},
      {"reset", Outcome::reset},   {"connect_failed", Outcome::connect_failed},
      {"moot", Outcome::not_sent}, {"cancelled", Outcome::cancelled}};
  for (const auto& [name, outcome] : names)
    if (name == text) return outcome;
  fail("unknown outcome: " + std::string(text));
}

LoadReport to_load(const std::string& text) {
  LoadReport load;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find(',', at), text.size());
    const std::string_view item = std::string_view(text).substr(at, end - at);
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) fail("bad load report: " + text.substr(0, 40));
    load.emplace_back(item.substr(0, colon), to_number(item.substr(colon + 1), item.substr(0, colon)));
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
  const auto got = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3);
  return std::string(buffer, got.ptr);
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
  void operator()(const Send& a) {
    start("route");
    add("requestId", std::to_string(a.part));
    if (a.timeout_at_ms > 0) add("untilMs", number_text(a.timeout_at_ms));
    add("searcher", std::to_string(a.server));
  }
  void operator()(const Cancel& a) {
    start("retract");
    add("requestId", std::to_string(a.part));
    add("shot", std::to_string(a.attempt));
  }
  void operator()(const Answer& a) {
    start("reply_now");
    add("requestId", std::to_string(a.query));
    add("whole", a.complete ? "1" : "0");
  }
  void operator()(const Refuse& a) {
    start("push_back");
    add("requestId", std::to_string(a.query));
    if (a.retry_after_ms > 0) add("backoffMs", number_text(a.retry_after_ms));
  }
  void operator()(const Fail& a) {
    start("give_up");
    add("requestId", std::to_string(a.query));
  }
  void operator()(const SetTimer& a) {
    start("set_timer");
    add("inMs", number_text(a.delay_ms));
    add("handle", a.token);
  }
  void operator()(const Subscribe&) {
    start("keep_informed");
    add("whole", "1");
  }
  void operator()(const FetchList&) { start("refresh"); }
  void operator()(const Probe& a) {
    start("sound_out");
    add("searcher", std::to_string(a.server));
  }
  void operator()(const CloseIdle& a) {
    start("close_idle");
    add("searcher", std::to_string(a.server));
  }
  void operator()(const SendToPeer& a) {
    start("share");
    add("recipient", std::to_string(a.to));
    add("data", base64_encode(a.data));
  }
  void operator()(const Log& a) {
    start("write_log");
    add("what", one_line(a.text));
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
  if (text.size() % 4 != 0) fail("bad base64");
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t group = 0;
    int pads = 0;
    for (std::size_t j = 0; j < 4; ++j) {
      const char c = text[i + j];
      const std::size_t digit = kAlphabet.find(c);
      const bool pad = c == '=' && j >= 2 && i + 4 == text.size();
      if ((digit == std::string_view::npos && !pad) || (!pad && pads > 0)) fail("bad base64");
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
      fail("no name=value in " + name_ + ": " +
           std::string(line.substr(at, std::min<std::size_t>(40, end - at))));
    const std::string_view key = line.substr(at, equals - at);
    if (key == "what") end = line.size();  // text goes to the end of the line
    values_[std::string(key)] = line.substr(equals + 1, end - equals - 1);
    at = end + 1;
  }
}

bool Fields::has(std::string_view key) const { return values_.find(key) != values_.end(); }

std::string Fields::text(std::string_view key, std::string_view absent) const {
  const auto it = values_.find(key);
  return it == values_.end() ? std::string(absent) : it->second;
}

double Fields::number(std::string_view key, double absent) const {
  const auto it = values_.find(key);
  return it == values_.end() || it->second.empty() ? absent : to_number(it->second, key);
}

std::uint64_t Fields::integer(std::string_view key) const {
  const auto it = values_.find(key);
  if (it == values_.end()) fail(name_ + " lacks " + std::string(key));
  std::uint64_t value = 0;
  const char* end = it->second.data() + it->second.size();
  const auto got = std::from_chars(it->second.data(), end, value);
  if (got.ec != std::errc() || got.ptr != end)
    fail("field " + std::string(key) + " is not a whole number: " + it->second.substr(0, 40));
  return value;
}

int Fields::small(std::string_view key, int absent) const {
  const double value = number(key, absent);
  if (std::abs(value) > 2e9) fail("field " + std::string(key) + " is out of range");
  return static_cast<int>(std::lround(value));
}

bool Fields::flag(std::string_view key, bool absent) const {
  const std::string value = text(key, absent ? "1" : "0");
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false" || value.empty()) return false;
  fail("field " + std::string(key) + " is not a flag: " + value.substr(0, 40));
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

Settings parse_settings(const Fields& f) {
  Settings s;
  const auto per_class = [&f](const char* key, int i, double absent) {
    const auto items = f.list(key);
    return i < static_cast<int>(items.size()) ? to_number(items[i], key) : absent;
  };
  const int classes = f.small("grades.count");
  if (classes < 0 || classes > 10000) fail("grades.count is out of range");
  for (int i = 0; i < classes; ++i) {
    const std::string at = "grades." + std::to_string(i) + ".";
    ClassSettings c;
    c.name = f.text(at + "name");
    c.slo_ms = f.number(at + "sloMs");
    c.deadline_ms = f.number(at + "deadlineMs");
    c.dedup_window_ms = f.number(at + "dedupWindowMs");
    const std::string effect = f.text(at + "effect", "at_most_once");
    if (effect == "idempotent") c.effect = Effect::idempotent;
    if (effect == "deduplicated") c.effect = Effect::deduplicated;
    c.streamed = f.flag(at + "stream");
    c.value = f.number(at + "worth");
    c.late_value_fraction = f.number(at + "lateWorth");
    c.complete_fraction = per_class("familyInfo.wholeAt", i, 1);
    c.min_fraction = per_class("familyInfo.minShare", i, 1);
    c.partial_value_fraction = per_class("familyInfo.partialEarns", i, 0);
    c.second_step_parts = static_cast<int>(per_class("familyInfo.followUp", i, 0));
    s.classes.push_back(std::move(c));
  }
  const int tenants = f.small("tenants.count");
  if (tenants < 0 || tenants > 100000) fail("tenants.count is out of range");
  for (int i = 0; i < tenants; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    s.tenants.push_back({f.text(at + "name"), f.number(at + "quotaPerS"), f.number(at + "share")});
  }
  s.zone = f.text("zone");
  s.coordinators = f.small("balancers", 1);
  s.coordinator_index = f.small("rank");
  s.tick_ms = f.number("resolutionMs");
  s.shards = f.small("familyInfo.shards");
  s.cells = f.small("familyInfo.places");
  s.cells_per_shard = f.small("familyInfo.reach", 1);
  s.parts_per_call = f.small("familyInfo.batch", 1);
  s.call_cost_ms = f.number("familyInfo.callMs");
  s.may_probe = f.flag("limits.probing");
  s.may_cancel = f.flag("limits.cancel");
  s.may_hedge = f.flag("limits.parallelTries");
  s.may_advise_retry = f.flag("limits.retryAfter");
  s.list_on_request = f.text("discovery") == "subscribe";
  s.value_per_part = f.text("valueBy") == "work";
  s.retries_marked = f.flag("clientHabits.marksRetry");
  s.max_attempts = f.small("limits.sendCap", 1);
  s.max_open = f.small("limits.openCap");
  s.max_retry_after_ms = f.number("limits.maxRetryAfterMs");
  s.connect_timeout_ms = f.number("limits.dialTimeoutMs");
  s.over_share_value_factor = f.number("overShareWorth", 1);
  s.late_failure_cost = f.number("prices.lateFail");
  s.answer_slack_ms = f.number("guarantees.graceToAnswerMs");
  s.drain_grace_ms = f.number("guarantees.stopSendingWithinMs");
  s.list_request_interval_ms = f.number("guarantees.askEveryMs");
  s.cold_capacity = f.number("guarantees.coldFrom", 1);
  s.warm_up_ms = f.number("guarantees.coldMs");
  s.overload_factor = f.number("guarantees.tipMultiple");
  s.overload_window_ms = f.number("guarantees.overloadForMs");
  s.retry_budget_limited = f.has("guarantees.ratioSpanMs");
  s.retry_budget_min = f.number("guarantees.minExtra");
  s.retry_budget_ratio = f.number("guarantees.furtherRatio");
  s.retry_budget_window_ms = f.number("guarantees.ratioSpanMs");
  return s;
}

ServerEntry parse_server(const Fields& f) {
  if (f.name() != "row") fail("expected row, got " + f.name().substr(0, 40));
  ServerEntry e;
  e.id = f.integer("searcher");
  e.started_ms = f.number("launchedMs");
  e.zone = f.text("locality");
  e.kind = f.text("familyType");
  e.weight = f.number("heft", 1);
  e.cell = f.small("position");
  const std::string state = f.text("availability", "SERVING");
  if (state == "DRAINING")
    e.state = ServerState::draining;
  else if (state == "DELETED")
    e.state = ServerState::removed;
  else if (state != "SERVING")
    fail("unknown availability: " + state.substr(0, 40));
  return e;
}

void Drill::begin_batch(const Fields& fields) {
  if (!fields.has("simTimeMs")) fail("begin_batch lacks simTimeMs");
  now_ = fields.number("simTimeMs");
  in_batch_ = true;
}

void Drill::take(const Fields& f, std::istream& in) {
  if (f.name() == "register") {
    const std::uint64_t page = f.integer("page");
    if (page >= pages_.size()) fail("page is out of range");
    std::vector<ServerEntry> entries;
    std::string line;
    for (std::uint64_t left = f.integer("hosts"); left > 0; --left) {
      if (!read_line(in, line)) fail("input ends inside a register");
      entries.push_back(parse_server(Fields(line)));
    }
    pages_[page] = std::move(entries);
    return;
  }
  static constexpr std::string_view known[] = {"configure", "halt",      "announce",  "work_item", "verdict",
                                               "sampled",   "under_way", "withdrawn", "wake",      "inbox"};
  bool is_known = false;
  for (const auto name : known) is_known |= name == f.name();
  if (!is_known) fail("unknown message: " + f.name().substr(0, 40));
  const std::uint64_t id = f.integer("mixerId");
  if (f.name() == "configure") {
    std::string error;
    Instance fresh;
    fresh.balancer =
        Balancer::create(parse_settings(f), f.has("randomSeed") ? f.integer("randomSeed") : 0, error);
    if (!fresh.balancer) fail("settings of instance " + std::to_string(id) + ": " + error);
    fresh.listed = true;
    const auto old = instances_.find(id);
    if (old == instances_.end() || !old->second.listed) order_.push_back(id);
    instances_[id] = std::move(fresh);
    return;
  }
  const auto it = instances_.find(id);
  if (f.name() == "halt") {  // whatever it was told earlier in this batch dies with it
    if (it != instances_.end()) {
      it->second.balancer.reset();
      it->second.events.clear();
    }
    return;
  }
  if (it == instances_.end() || !it->second.balancer)
    fail(f.name() + " for an instance that is not running: " + std::to_string(id));
  Instance& instance = it->second;
  if (!instance.listed) {
    instance.listed = true;
    order_.push_back(id);
  }
  auto& events = instance.events;
  if (f.name() == "announce") {
    ServerListReceived e;
    e.version = f.has("gen") ? f.integer("gen") : 0;
    const std::string how = f.text("how");
    if (how == "FAILED") {
      e.kind = ListKind::failed;
    } else {
      if (how == "INCREMENTAL")
        e.kind = ListKind::changes;
      else if (how == "FULL")
        e.kind = ListKind::complete;
      else if (how == "SAVED")
        e.kind = ListKind::saved;
      else
        fail("unknown kind of list: " + how.substr(0, 40));
      const std::uint64_t page = f.has("page") ? f.integer("page") : 0;
      if (page >= pages_.size()) fail("page is out of range");
      e.servers = pages_[page];
    }
    events.emplace_back(std::move(e));
  } else if (f.name() == "work_item") {
    const int bits = f.small("bitmap");
    const int shard = static_cast<int>(std::floor(f.number("slice", -1)));
    if (shard < 0) {
      QueryArrived e;
      e.id = f.integer("requestId");
      e.query_number = static_cast<std::uint64_t>(f.number("askNo"));
      e.class_name = f.text("type");
      e.tenant = f.text("tenant");
      e.key = f.text("partitionKey");
      e.expires_ms = f.number("dropDeadMs");
      e.cost_hint_ms = f.number("sizeHintMs");
      e.has_cost_hint = bits & 1;
      e.is_retry = bits & 2;
      e.is_write = bits & 4;
      e.parts = f.small("sizeOrWeight");
      events.emplace_back(std::move(e));
    } else {
      PartArrived e;
      e.id = f.integer("requestId");
      e.query_number = static_cast<std::uint64_t>(f.number("askNo"));
      e.shard = shard;
      e.weight = f.number("sizeOrWeight");
      e.cost_hint_ms = f.number("sizeHintMs");
      e.has_cost_hint = bits & 1;
      events.emplace_back(e);
    }
  } else if (f.name() == "verdict") {
    events.emplace_back(AttemptEnded{f.integer("requestId"), f.small("shot"), f.integer("searcher"),
                                     to_outcome(f.text("verdict")), f.number("elapsedMs"), f.flag("complete"),
                                     to_load(f.text("gauge"))});
  } else if (f.name() == "sampled") {
    events.emplace_back(ProbeEnded{f.integer("searcher"), to_outcome(f.text("verdict")),
                                   f.number("elapsedMs"), to_load(f.text("gauge"))});
  } else if (f.name() == "under_way") {
    events.emplace_back(
        StreamStarted{f.integer("requestId"), f.small("shot"), f.integer("searcher"), f.number("elapsedMs")});
  } else if (f.name() == "withdrawn") {
    events.emplace_back(QueryWithdrawn{f.integer("requestId")});
  } else if (f.name() == "wake") {
    events.emplace_back(TimerFired{f.text("handle")});
  } else {
    events.emplace_back(PeerMessage{f.small("sender"), base64_decode(f.text("data", "-"))});
  }
}

void Drill::flush_instance(std::uint64_t id, Instance& instance, std::ostream& out) {
  instance.listed = false;
  if (!instance.balancer || instance.events.empty()) return;
  std::vector<Action> actions;
  std::string error;
  const bool fine = instance.balancer->step(now_, instance.events, actions, error);
  instance.events.clear();
  Writer writer{id, {}};
  for (const Action& action : actions) {
    std::visit(writer, action);
    writer.line += '\n';
  }
  if (!fine) {
    writer.start("panic");
    writer.add("what", one_line(error));
    writer.line += '\n';
  }
  out << writer.line;
}

void Drill::reply(std::ostream& out) {
  for (const std::uint64_t id : order_) {
    const auto it = instances_.find(id);
    if (it != instances_.end()) flush_instance(id, it->second, out);
  }
  order_.clear();
  in_batch_ = false;
  out << "eor\n" << std::flush;
}

void Drill::run(std::istream& in, std::ostream& out) {
  std::string line;
  while (read_line(in, line)) {
    if (line.empty()) continue;
    if (line == "commit") {
      if (!in_batch_) fail("commit outside a batch");
      reply(out);
      continue;
    }
    const Fields fields(line);
    if (fields.name() == "begin_batch") {
      if (in_batch_) fail("begin_batch inside a batch");
      begin_batch(fields);
    } else if (!in_batch_) {
      fail("message outside a batch: " + fields.name().substr(0, 40));
    } else {
      take(fields, in);
    }
  }
  if (in_batch_) fail("input ends inside a batch");
}

}  // namespace cottonbay::wire
