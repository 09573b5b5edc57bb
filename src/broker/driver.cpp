// SPDX-License-Identifier: MIT
#include "driver.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal {
namespace {

std::int64_t boot_of(const NodeEntry& node) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(node.started.time_since_epoch()).count();
}

}  // namespace
namespace {

// The module's clock at our start. A node's start time must come out above 0, which means 'long ago', and
// the figures must stay small enough for a double to hold nanoseconds.
constexpr FractionalMs kModuleEpoch = std::chrono::hours(24);

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "attempts.ok";
    case Outcome::error:
      return "attempts.error";
    case Outcome::full:
      return "attempts.full";
    case Outcome::timeout:
      return "attempts.timeout";
    case Outcome::connect_failed:
      return "attempts.connect_failed";
    case Outcome::reset:
      return "attempts.reset";
    case Outcome::cancelled:
      return "attempts.cancelled";
    case Outcome::moot:
      return "attempts.moot";
  }
  return "attempts.unknown";
}

}  // namespace

Driver::Driver(Scheduler& scheduler, const cottonbay::Settings& settings, const Limits& limits,
               std::uint64_t seed, Metrics& metrics)
    : scheduler_(scheduler),
      settings_(settings),
      limits_(limits),
      metrics_(metrics),
      started_(Clock::now()),
      started_wall_(std::chrono::system_clock::now()),
      now_(started_),
      last_turn_(started_),
      pending_(scheduler) {
  std::string error;
  balancer_ = cottonbay::Balancer::create(settings, seed, error);
  if (!balancer_) throw ConfigError("field settings: " + error);
}

void Driver::start(NodeTransport& transport, Directory& directory, const NodeList& known) {
  transport_ = &transport;
  directory_ = &directory;
  nodes_listed(known, cottonbay::ListKind::saved);
  scheduler_.spawn(turns());
}

double Driver::to_ms(TimePoint time) const { return (FractionalMs(time - started_) + kModuleEpoch).count(); }

TimePoint Driver::from_ms(double ms) const { return started_ + to_duration(FractionalMs(ms) - kModuleEpoch); }

double Driver::to_ms(std::chrono::system_clock::time_point time) const {
  if (time.time_since_epoch().count() == 0) return 0;
  return std::max(0.0, (FractionalMs(time - started_wall_) + kModuleEpoch).count());
}

// ---- events ----
void Driver::tell(cottonbay::Event event) {
  events_.push_back(std::move(event));
  pending_.wake();
}

RequestId Driver::query_arrived(const QueryRequest& request, const cottonbay::ClassSettings& cls,
                                Choices& choices) {
  cottonbay::QueryArrived e;
  e.id = ++next_id_;
  e.number = e.id;
  e.class_name = request.class_name;
  e.tenant = request.tenant;
  e.key = request.key;
  e.expires_ms = to_ms(request.expires);
  e.repeat = request.repeat;
  e.parts = static_cast<int>(request.parts.size());
  QueryRecord& record = queries_[e.id];
  record.choices = &choices;
  record.expires = request.expires;
  record.sink = request.sink;
  if (cls.effect == cottonbay::Effect::keyed) record.window = to_duration(FractionalMs(cls.window_ms));
  const RequestId id = e.id;
  tell(std::move(e));
  parts_arrived(id, request.parts, choices);
  return id;
}

void Driver::parts_arrived(RequestId query, const std::vector<PartRequest>& parts, Choices& choices) {
  QueryRecord& record = queries_[query];
  record.choices = &choices;
  ++record.step;
  forget_parts(record);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    cottonbay::PartArrived e;
    e.id = ++next_id_;
    e.number = query;
    e.shard = parts[i].shard;
    e.weight = parts[i].weight;
    e.hinted = parts[i].cost_hint.has_value();
    if (e.hinted) e.cost_hint_ms = FractionalMs(*parts[i].cost_hint).count();
    record.parts.push_back(e.id);
    parts_[e.id] = {query, record.step, parts[i].shard, i, {}, false};
    tell(std::move(e));
  }
}

void Driver::withdraw(RequestId query) { tell(cottonbay::QueryWithdrawn{query}); }

void Driver::forget_parts(QueryRecord& record) {
  for (const RequestId part : record.parts) parts_.erase(part);
  record.parts.clear();
}

void Driver::forget(RequestId query) {
  const auto it = queries_.find(query);
  if (it == queries_.end()) return;
  // Guards against work nobody wants any more: the module's cancels for a query that was withdrawn come with
  // its next turn, and need the parts' records to find the attempts.
  it->second.choices = nullptr;
  it->second.sink = nullptr;
  leaving_.push_back(query);
  // Guards against an attempt that begins for a query that is over, whether or not the module may cancel: one
  // that waits for its turn, its connection or the other parts of its call is taken back and never sent.
  for (const RequestId id : it->second.parts)
    if (const auto part = parts_.find(id); part != parts_.end())
      for (const AttemptId attempt : part->second.attempts) take_back(attempt);
}

void Driver::nodes_listed(const NodeList& list, cottonbay::ListKind kind) {
  cottonbay::ServersListed e;
  e.kind = kind;
  e.version = list.version;
  const TimePoint now = Clock::now();
  const auto unlist = [now](NodeRecord& record) { record.left = std::min(record.left, now); };
  if (list.complete)
    for (auto& [uid, record] : nodes_) unlist(record);
  for (const NodeEntry& node : list.nodes) {
    NodeRecord& record = nodes_[node.uid];
    if (record.id == 0) record.id = ++next_node_;
    record.entry = node;
    const NodeId id = record.id;
    if (node.state == cottonbay::ServerState::removed)
      unlist(record);
    else
      record.left = kNever;
    e.servers.push_back(entry_of(record));
    if (transport_) transport_->update_node(id, node);
  }
  // Guards against a coordinator that grows with every node there ever was. One that left is remembered for a
  // while, as a list that runs behind may still name it.
  std::erase_if(nodes_, [&](const auto& entry) {
    const bool forgotten = now - entry.second.left >= limits_.removed_node_retention;
    if (forgotten && transport_) transport_->remove_node(entry.second.id);
    return forgotten;
  });
  std::set<NodeId> ending;
  for (const auto& [uid, record] : nodes_)
    if (record.left != kNever || entry_of(record).state != cottonbay::ServerState::serving)
      ending.insert(record.id);
  tell(std::move(e));
  take_back_from(ending);
}

// Guards against what was chosen for a node before it was known to drain, and waits for its turn or its
// connection: it would begin there later, perhaps past the grace.
void Driver::take_back_from(const std::set<NodeId>& nodes) {
  std::set<AttemptId> there;  // in the order chosen
  for (const auto& [id, record] : attempts_)
    if (nodes.contains(record.node)) there.insert(id);
  for (const AttemptId id : there) take_back(id);
}

// Ends an attempt of which nothing has left as never sent; any other goes on.
void Driver::take_back(AttemptId id) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end() && (!it->second.sent_on || transport_->cancel_unsent(id))) end_attempt(id, {});
}

cottonbay::ServerEntry Driver::entry_of(const NodeRecord& record) const {
  const NodeEntry& node = record.entry;
  cottonbay::ServerEntry entry;
  entry.id = record.id;
  entry.started_ms = to_ms(node.started);
  entry.zone = node.zone;
  entry.kind = node.kind;
  entry.weight = node.weight;
  entry.state = node.state;
  if (entry.state == cottonbay::ServerState::serving && out_.count(node.uid) > 0)
    entry.state = cottonbay::ServerState::draining;
  entry.cell = node.cell;
  return entry;
}

void Driver::set_offline_nodes(const std::set<std::string, std::less<>>& out) {
  std::vector<const NodeRecord*> changed;
  for (const auto& [uid, record] : nodes_)
    if ((out_.count(uid) > 0) != (out.count(uid) > 0) && record.left == kNever) changed.push_back(&record);
  out_ = out;
  if (changed.empty()) return;
  cottonbay::ServersListed e;
  e.kind = cottonbay::ListKind::changes;
  for (const NodeRecord* record : changed) e.servers.push_back(entry_of(*record));
  tell(std::move(e));
  std::set<NodeId> ending;
  for (const NodeRecord* record : changed)
    if (out.count(record->entry.uid) > 0) ending.insert(record->id);
  take_back_from(ending);
}

std::vector<NodeEntry> Driver::nodes() const {
  std::vector<NodeEntry> listed;
  for (const auto& [uid, record] : nodes_)
    if (record.left == kNever) listed.push_back(record.entry);
  std::sort(listed.begin(), listed.end(),
            [](const NodeEntry& a, const NodeEntry& b) { return a.uid < b.uid; });
  return listed;
}

void Driver::list_failed() {
  cottonbay::ServersListed e;
  e.kind = cottonbay::ListKind::failed;
  tell(std::move(e));
}

void Driver::probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load) {
  tell(cottonbay::ProbeEnded{node, outcome, FractionalMs(elapsed).count(), std::move(load)});
}

void Driver::attempt_ended(AttemptId attempt, AttemptResult result) {
  end_attempt(attempt, std::move(result));
}

// Every attempt the module has asked for ends here, exactly once.
void Driver::end_attempt(AttemptId id, AttemptResult result) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  const AttemptRecord record = std::move(it->second);
  attempts_.erase(it);
  const auto part = parts_.find(record.part);
  if (result.outcome == Outcome::ok && part != parts_.end() && !part->second.in) {
    // Guards against an answer that could not be put together with the others: it counts as failed, and the
    // module may ask another holder.
    const auto query = queries_.find(part->second.query);
    PartSink* sink = query == queries_.end() ? nullptr : query->second.sink;
    if (sink && !sink->usable(part->second.step, part->second.shard, result.value)) {
      metrics_.log("values", "a record node's value cannot be used for what was asked");
      result.outcome = Outcome::error;
    }
  }
  metrics_.count(name_of(result.outcome));
  const bool may_have_run = result.outcome != Outcome::connect_failed && result.outcome != Outcome::full &&
                            result.outcome != Outcome::moot;
  if (part != parts_.end() && may_have_run) part->second.ran_at = std::min(part->second.ran_at, record.sent);
  const bool over = part == parts_.end() || part->second.in || result.outcome == Outcome::ok;
  tell(cottonbay::AttemptEnded{record.part, record.number, record.node, result.outcome,
                               FractionalMs(Clock::now() - record.sent).count(), over, result.load});
  if (result.outcome != Outcome::ok || part == parts_.end() || part->second.in) return;
  part->second.in = true;
  choose(part->second.query,
         PartIn{part->second.step, part->second.place, result.score, std::move(result.value)});
}

// ---- turns ----
Task<void> Driver::turns() {
  const Duration tick = to_duration(FractionalMs(settings_.tick_ms));
  for (;;) {
    while (events_.empty()) co_await pending_.park();
    // The first event after a quiet tick is handled at once; those that follow share the next turn.
    if (const TimePoint next = last_turn_ + tick; Clock::now() < next) co_await scheduler_.sleep_until(next);
    co_await scheduler_.yield();
    guarded(&Driver::take_turn);
    co_await scheduler_.yield();  // the lives act on what was chosen
    guarded(&Driver::flush);
  }
}

// Guards against one turn's fault ending all decisions.
void Driver::guarded(void (Driver::*step)()) {
  try {
    (this->*step)();
  } catch (const std::exception& e) {
    metrics_.log("fault", e.what());
  }
}

void Driver::take_turn() {
  now_ = last_turn_ = std::max(Clock::now(), now_);
  const std::vector<cottonbay::Event> events = std::exchange(events_, {});
  const std::vector<RequestId> leaving = std::exchange(leaving_, {});
  std::vector<cottonbay::Action> actions;
  std::string error;
  if (!balancer_->step(to_ms(now_), events, actions, error)) {
    // The module is unchanged by what it could not take; what it chose before still holds.
    metrics_.log("module", error);
  }
  for (const cottonbay::Action& action : actions) std::visit([this](const auto& a) { act(a); }, action);
  peer_suspected_.clear();
  for (const RequestId query : leaving) {
    const auto it = queries_.find(query);
    forget_parts(it->second);
    queries_.erase(it);
  }
}

void Driver::dispatch(NodeId node, Attempt attempt) {
  // Guards against a call too many: parts for one node in one turn travel together.
  for (auto& [to, call] : outbox_)
    if (to == node) return call.push_back(std::move(attempt));
  outbox_.emplace_back(node, std::vector<Attempt>());
  outbox_.back().second.push_back(std::move(attempt));
}

void Driver::flush() {
  const std::size_t most = static_cast<std::size_t>(std::max(settings_.parts_per_call, 1));
  for (auto& [node, attempts] : std::exchange(outbox_, {})) {
    for (std::size_t at = 0; at < attempts.size(); at += most) {
      std::vector<Attempt> call;
      for (std::size_t i = at; i < std::min(at + most, attempts.size()); ++i)
        if (attempts_.contains(attempts[i].id)) call.push_back(std::move(attempts[i]));
      if (call.empty()) continue;
      const TimePoint now = Clock::now(), when = leaves_at(call, now);
      if (when <= now) {
        leave(node, std::move(call));
        continue;
      }
      const std::uint64_t number = ++next_timer_;
      auto held = std::make_shared<std::vector<Attempt>>(std::move(call));
      waiting_[number] = scheduler_.at(when, [this, number, node = node, held] {
        leave(node, std::move(*held));
        waiting_.erase(number);
      });
    }
  }
}

// Guards against parts that are turned away for nothing: a second step begins with its first part to arrive,
// and what reaches other nodes before that is known there gets `E`. So its first call goes ahead of the
// others.
TimePoint Driver::leaves_at(const std::vector<Attempt>& call, TimePoint now) {
  TimePoint when = now;
  for (const Attempt& attempt : call) {
    if (!attempt.second_step) continue;
    const auto part = parts_.find(attempts_[attempt.id].part);
    const auto query = part == parts_.end() ? queries_.end() : queries_.find(part->second.query);
    if (query == queries_.end()) continue;
    TimePoint& begun = query->second.second_begun;
    if (begun == TimePoint{}) begun = now;
    if (begun != now)  // of the call that begins it all parts go together
      when = std::max(when, begun + limits_.second_step_delay);
  }
  return when;
}

void Driver::leave(NodeId node, std::vector<Attempt> call) {
  // Some may have ended while they waited.
  std::erase_if(call, [this](const Attempt& attempt) { return !attempts_.contains(attempt.id); });
  if (call.empty()) return;
  for (const Attempt& attempt : call) attempts_[attempt.id].sent_on = true;
  metrics_.count("calls.sent");
  metrics_.count("attempts.sent", call.size());
  transport_->send(node, std::move(call));
}

void Driver::choose(RequestId query, Choice choice) {
  const auto it = queries_.find(query);
  if (it != queries_.end() && it->second.choices) it->second.choices->put(std::move(choice));
}

// ---- actions ----
void Driver::act(const cottonbay::Send& action) {
  const auto part = parts_.find(action.part);
  const AttemptId id = ++next_attempt_;
  AttemptRecord& record = attempts_[id];
  record.part = action.part;
  record.node = action.server;
  record.sent = now_;
  const auto query = part == parts_.end() ? queries_.end() : queries_.find(part->second.query);
  if (query == queries_.end()) return end_attempt(id, {});
  record.number = static_cast<int>(part->second.attempts.size());
  const auto still_out = [this](AttemptId earlier) { return attempts_.contains(earlier); };
  const bool copy = std::any_of(part->second.attempts.begin(), part->second.attempts.end(), still_out);
  part->second.attempts.push_back(id);
  TimePoint until = query->second.expires;
  if (action.until_ms > 0) until = std::min(until, from_ms(action.until_ms));
  if (until <= now_ || record.number >= settings_.max_attempts) return end_attempt(id, {});
  if (record.number > 0) metrics_.count(copy ? "attempts.copies" : "attempts.repeats");
  record.timer = scheduler_.at(until, [this, id] {
    transport_->give_up(id, NodeTransport::GiveUpReason::timed_out);
    AttemptResult result;
    result.outcome = Outcome::timeout;
    end_attempt(id, result);
  });
  choose(part->second.query, SendChosen{part->second.step, part->second.place, action.server, id, until,
                                        begin_by(part->second, query->second)});
}

// The window counts from the first attempt that may have run, one that is still out among them.
TimePoint Driver::begin_by(const PartRecord& part, const QueryRecord& query) const {
  if (query.window == Duration::max()) return kNever;
  TimePoint first = part.ran_at;
  for (const AttemptId id : part.attempts)
    if (const auto out = attempts_.find(id); out != attempts_.end() && id != part.attempts.back())
      first = std::min(first, out->second.sent);
  return first == kNever ? kNever : first + query.window;
}

void Driver::act(const cottonbay::Cancel& action) {
  const auto part = parts_.find(action.part);
  if (part == parts_.end() || action.attempt < 0 ||
      action.attempt >= static_cast<int>(part->second.attempts.size()))
    return;
  const AttemptId id = part->second.attempts[static_cast<std::size_t>(action.attempt)];
  if (!attempts_.contains(id)) return;
  transport_->give_up(id, NodeTransport::GiveUpReason::cancelled);
  AttemptResult result;
  result.outcome = Outcome::cancelled;
  end_attempt(id, result);
}

void Driver::act(const cottonbay::Answer& action) { choose(action.query, AnswerChosen{action.whole}); }

void Driver::act(const cottonbay::Refuse& action) {
  const auto query = queries_.find(action.query);
  const auto sent = [this](RequestId id) {
    const auto part = parts_.find(id);
    return part != parts_.end() && !part->second.attempts.empty();
  };
  if (query != queries_.end())
    metrics_.count(std::any_of(query->second.parts.begin(), query->second.parts.end(), sent)
                       ? "queries.refused_under_way"
                       : "queries.refused_unsent");
  metrics_.count(std::string("queries.refused_") + action.why);
  choose(action.query, RefuseChosen{to_duration(FractionalMs(action.retry_after_ms)), action.why});
}

void Driver::act(const cottonbay::Fail& action) { choose(action.query, FailChosen{}); }

void Driver::act(const cottonbay::SetTimer& action) {
  const std::uint64_t number = ++next_timer_;
  // Guards against a timer a rounding error too early, which the module would pass over for good.
  const TimePoint when = now_ + to_duration(FractionalMs(action.in_ms)) + std::chrono::microseconds(1);
  timers_[number] = scheduler_.at(when, [this, number, token = action.token] {
    timers_.erase(number);
    tell(cottonbay::TimerFired{token});
  });
}

void Driver::act(const cottonbay::Subscribe&) { directory_->subscribe(); }
void Driver::act(const cottonbay::FetchList&) { directory_->fetch(); }
void Driver::act(const cottonbay::Probe& action) { transport_->probe(action.server); }
void Driver::act(const cottonbay::CloseIdle& action) { transport_->close_idle(action.server); }
void Driver::act(const cottonbay::Tell&) {}  // coordinators share nothing here
void Driver::act(const cottonbay::Log& action) {
  metrics_.log("decision", action.text);
  // Guards against an echo: what others say, said again as found here, would stay fresh for ever.
  if (!health_exchange_ || action.about == 0 || peer_suspected_.contains(action.about)) return;
  for (const auto& [uid, record] : nodes_)
    if (record.id == action.about)
      health_exchange_->report_node_health(uid, boot_of(record.entry), action.hangs);
}

void Driver::suspect_node(const std::string& uid, std::int64_t boot_ms) {
  const auto it = nodes_.find(uid);
  if (it == nodes_.end() || it->second.left != kNever || boot_of(it->second.entry) != boot_ms) return;
  peer_suspected_.insert(it->second.id);
  tell(cottonbay::ProbeEnded{it->second.id, Outcome::timeout, 0, {}});
}

}  // namespace kelpdeal
