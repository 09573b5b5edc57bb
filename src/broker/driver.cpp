// SPDX-License-Identifier: MIT
#include "driver.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal {
namespace {

std::int64_t boot_time_ms(const NodeEntry& node) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(node.started.time_since_epoch()).count();
}

// The module's time at program start. A node's start time must come out above 0, which means "long ago", and
// the values must stay small enough for a double to represent nanoseconds.
constexpr FractionalMs kModuleEpoch = std::chrono::hours(24);

const char* counter_name(Outcome outcome) {
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
    case Outcome::not_sent:
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
      last_tick_(started_),
      pending_(scheduler) {
  std::string error;
  balancer_ = cottonbay::Balancer::create(settings, seed, error);
  if (!balancer_) throw ConfigError("field settings: " + error);
}

void Driver::start(NodeTransport& transport, Directory& directory, const NodeList& known) {
  transport_ = &transport;
  directory_ = &directory;
  nodes_listed(known, cottonbay::ListKind::saved);
  scheduler_.spawn(run_ticks());
}

double Driver::to_ms(TimePoint time) const { return (FractionalMs(time - started_) + kModuleEpoch).count(); }

TimePoint Driver::from_ms(double ms) const { return started_ + to_duration(FractionalMs(ms) - kModuleEpoch); }

double Driver::to_ms(std::chrono::system_clock::time_point time) const {
  if (time.time_since_epoch().count() == 0) return 0;
  return std::max(0.0, (FractionalMs(time - started_wall_) + kModuleEpoch).count());
}

// ---- events ----
void Driver::queue_event(cottonbay::Event event) {
  events_.push_back(std::move(event));
  pending_.wake();
}

RequestId Driver::query_arrived(const QueryRequest& request, const cottonbay::ClassSettings& class_settings,
                                QueryEvents& query_events) {
  cottonbay::QueryArrived event;
  event.id = ++next_id_;
  event.query_number = event.id;
  event.class_name = request.class_name;
  event.tenant = request.tenant;
  event.key = request.key;
  event.expires_ms = to_ms(request.expires);
  event.is_retry = request.repeat;
  event.parts = static_cast<int>(request.parts.size());
  QueryRecord& record = queries_[event.id];
  record.events = &query_events;
  record.expires = request.expires;
  record.sink = request.sink;
  if (class_settings.effect == cottonbay::Effect::deduplicated)
    record.dedup_window = to_duration(FractionalMs(class_settings.dedup_window_ms));
  const RequestId id = event.id;
  queue_event(std::move(event));
  parts_arrived(id, request.parts, query_events);
  return id;
}

void Driver::parts_arrived(RequestId query, const std::vector<PartRequest>& parts,
                           QueryEvents& query_events) {
  QueryRecord& record = queries_[query];
  record.events = &query_events;
  ++record.step;
  erase_parts(record);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    cottonbay::PartArrived event;
    event.id = ++next_id_;
    event.query_number = query;
    event.shard = parts[i].shard;
    event.weight = parts[i].weight;
    event.has_cost_hint = parts[i].cost_hint.has_value();
    if (event.has_cost_hint) event.cost_hint_ms = FractionalMs(*parts[i].cost_hint).count();
    record.parts.push_back(event.id);
    parts_[event.id] = {query, record.step, parts[i].shard, i, {}, false};
    queue_event(event);
  }
}

void Driver::withdraw(RequestId query) { queue_event(cottonbay::QueryWithdrawn{query}); }

void Driver::erase_parts(QueryRecord& record) {
  for (const RequestId part : record.parts) parts_.erase(part);
  record.parts.clear();
}

void Driver::release_query(RequestId query) {
  const auto it = queries_.find(query);
  if (it == queries_.end()) return;
  // The module's cancels for a withdrawn query arrive in the next tick and need the records of its parts to
  // find the attempts. The records are therefore kept until then.
  it->second.events = nullptr;
  it->second.sink = nullptr;
  released_.push_back(query);
  // No attempt may start for a query that has ended, whether or not the module may cancel. An attempt that
  // still waits for the next tick, a connection or the other parts of its call is dropped unsent.
  for (const RequestId id : it->second.parts)
    if (const auto part = parts_.find(id); part != parts_.end())
      for (const AttemptId attempt : part->second.attempts) cancel_if_unsent(attempt);
}

void Driver::nodes_listed(const NodeList& list, cottonbay::ListKind kind) {
  cottonbay::ServerListReceived event;
  event.kind = kind;
  event.version = list.version;
  const TimePoint now = Clock::now();
  const auto unlist = [now](NodeRecord& record) { record.unlisted_at = std::min(record.unlisted_at, now); };
  if (list.complete)
    for (auto& [uid, record] : nodes_) unlist(record);
  for (const NodeEntry& node : list.nodes) {
    if (nodes_.size() >= limits_.max_nodes && !nodes_.contains(node.uid)) {
      metrics_.count("discovery.nodes_over_limit");
      metrics_.log("discovery", "no memory for another node; ignoring " + node.uid);
      continue;
    }
    NodeRecord& record = nodes_[node.uid];
    if (record.id == 0) record.id = ++next_node_;
    record.entry = node;
    const NodeId id = record.id;
    if (node.state == cottonbay::ServerState::removed)
      unlist(record);
    else
      record.unlisted_at = kNever;
    event.servers.push_back(entry_of(record));
    if (transport_) transport_->update_node(id, node);
  }
  // Forget removed nodes, or memory would grow with every node that was ever listed. A removed node is kept
  // for a while, because an outdated list may still name it.
  std::erase_if(nodes_, [&](const auto& entry) {
    const bool forgotten = now - entry.second.unlisted_at >= limits_.removed_node_retention;
    if (forgotten && transport_) transport_->remove_node(entry.second.id);
    return forgotten;
  });
  std::set<NodeId> unavailable;
  for (const auto& [uid, record] : nodes_)
    if (record.unlisted_at != kNever || entry_of(record).state != cottonbay::ServerState::serving)
      unavailable.insert(record.id);
  queue_event(std::move(event));
  cancel_unsent_to(unavailable);
}

// Drops attempts that were chosen before their node was known to drain and that still wait for the next tick
// or a connection: they would start on that node later, perhaps after its drain grace period.
void Driver::cancel_unsent_to(const std::set<NodeId>& nodes) {
  std::set<AttemptId> affected;  // in the order in which they were chosen
  for (const auto& [id, record] : attempts_)
    if (nodes.contains(record.node)) affected.insert(id);
  for (const AttemptId id : affected) cancel_if_unsent(id);
}

// Ends the attempt as never sent if nothing of it has been written; otherwise the attempt continues.
void Driver::cancel_if_unsent(AttemptId id) {
  const auto it = attempts_.find(id);
  if (it != attempts_.end() && (!it->second.in_transport || transport_->cancel_unsent(id)))
    end_attempt(id, {});
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
  if (entry.state == cottonbay::ServerState::serving && offline_.count(node.uid) > 0)
    entry.state = cottonbay::ServerState::draining;
  entry.cell = node.cell;
  return entry;
}

void Driver::set_offline_nodes(const std::set<std::string, std::less<>>& offline) {
  std::vector<const NodeRecord*> changed;
  for (const auto& [uid, record] : nodes_)
    if ((offline_.count(uid) > 0) != (offline.count(uid) > 0) && record.unlisted_at == kNever)
      changed.push_back(&record);
  offline_ = offline;
  if (changed.empty()) return;
  cottonbay::ServerListReceived event;
  event.kind = cottonbay::ListKind::changes;
  for (const NodeRecord* record : changed) event.servers.push_back(entry_of(*record));
  queue_event(std::move(event));
  std::set<NodeId> unavailable;
  for (const NodeRecord* record : changed)
    if (offline.count(record->entry.uid) > 0) unavailable.insert(record->id);
  cancel_unsent_to(unavailable);
}

std::vector<NodeEntry> Driver::nodes() const {
  std::vector<NodeEntry> listed;
  for (const auto& [uid, record] : nodes_)
    if (record.unlisted_at == kNever) listed.push_back(record.entry);
  std::sort(listed.begin(), listed.end(),
            [](const NodeEntry& a, const NodeEntry& b) { return a.uid < b.uid; });
  return listed;
}

void Driver::list_failed() {
  cottonbay::ServerListReceived event;
  event.kind = cottonbay::ListKind::failed;
  queue_event(std::move(event));
}

void Driver::probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load) {
  queue_event(cottonbay::ProbeEnded{node, outcome, FractionalMs(elapsed).count(), std::move(load)});
}

void Driver::attempt_ended(AttemptId attempt, AttemptResult result) {
  end_attempt(attempt, std::move(result));
}

// Every attempt that the module has requested ends here, exactly once.
void Driver::end_attempt(AttemptId id, AttemptResult result) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  const AttemptRecord record = std::move(it->second);
  attempts_.erase(it);
  const auto part = parts_.find(record.part);
  bool value_unusable = false;
  if (result.outcome == Outcome::ok && part != parts_.end() && !part->second.received) {
    // A value that cannot be merged with the others counts as an error, so that the module may ask another
    // holder.
    const auto query = queries_.find(part->second.query);
    PartSink* sink = query == queries_.end() ? nullptr : query->second.sink;
    if (sink && !result.value_dropped && !sink->usable(part->second.step, part->second.shard, result.value)) {
      metrics_.log("values", "a record node returned a value that does not fit the request");
      result.outcome = Outcome::error;
      value_unusable = true;
    }
  }
  metrics_.count(counter_name(result.outcome));
  const bool may_have_run = result.outcome != Outcome::connect_failed && result.outcome != Outcome::full &&
                            result.outcome != Outcome::not_sent;
  if (part != parts_.end() && may_have_run)
    part->second.first_execution = std::min(part->second.first_execution, record.sent_at);
  const bool closed = part == parts_.end() || part->second.received || result.outcome == Outcome::ok;
  queue_event(cottonbay::AttemptEnded{record.part, record.number, record.node, result.outcome,
                                      FractionalMs(Clock::now() - record.sent_at).count(), closed,
                                      result.load, value_unusable});
  if (result.outcome != Outcome::ok || part == parts_.end() || part->second.received) return;
  part->second.received = true;
  post(part->second.query, PartReceived{part->second.step, part->second.index, result.score,
                                        std::move(result.value), result.value_dropped});
}

// ---- ticks ----
Task<void> Driver::run_ticks() {
  const Duration tick = to_duration(FractionalMs(settings_.tick_ms));
  for (;;) {
    while (events_.empty()) co_await pending_.park();
    // The first event after an idle tick is processed at once; the following ones share the next tick.
    if (const TimePoint next = last_tick_ + tick; Clock::now() < next) co_await scheduler_.sleep_until(next);
    co_await scheduler_.yield();
    run_guarded(&Driver::process_events);
    co_await scheduler_.yield();  // the queries' coroutines execute the module's decisions
    run_guarded(&Driver::flush_outbox);
  }
}

// Logs an exception of one step, so that a fault in one tick does not stop all decisions.
void Driver::run_guarded(void (Driver::*step)()) {
  try {
    (this->*step)();
  } catch (const std::exception& e) {
    metrics_.log("fault", e.what());
  }
}

void Driver::process_events() {
  now_ = last_tick_ = std::max(Clock::now(), now_);
  const std::vector<cottonbay::Event> events = std::exchange(events_, {});
  const std::vector<RequestId> released = std::exchange(released_, {});
  std::vector<cottonbay::Action> actions;
  std::string error;
  if (!balancer_->step(to_ms(now_), events, actions, error)) {
    // Events that the module rejects leave its state unchanged; its earlier decisions remain valid.
    metrics_.log("module", error);
  }
  for (const cottonbay::Action& action : actions) std::visit([this](const auto& a) { act(a); }, action);
  peer_suspected_.clear();
  for (const RequestId query : released) {
    const auto it = queries_.find(query);
    erase_parts(it->second);
    queries_.erase(it);
  }
}

void Driver::dispatch(NodeId node, Attempt attempt) {
  // Parts for the same node in the same tick share one call.
  for (auto& [to, call] : outbox_)
    if (to == node) return call.push_back(std::move(attempt));
  outbox_.emplace_back(node, std::vector<Attempt>());
  outbox_.back().second.push_back(std::move(attempt));
}

void Driver::flush_outbox() {
  const std::size_t max_parts = static_cast<std::size_t>(std::max(settings_.parts_per_call, 1));
  for (auto& [node, attempts] : std::exchange(outbox_, {})) {
    for (std::size_t begin = 0; begin < attempts.size(); begin += max_parts) {
      std::vector<Attempt> call;
      for (std::size_t i = begin; i < std::min(begin + max_parts, attempts.size()); ++i)
        if (attempts_.contains(attempts[i].id)) call.push_back(std::move(attempts[i]));
      if (call.empty()) continue;
      const TimePoint now = Clock::now(), when = send_time(call, now);
      if (when <= now) {
        send_call(node, std::move(call));
        continue;
      }
      const std::uint64_t number = ++next_timer_;
      auto delayed = std::make_shared<std::vector<Attempt>>(std::move(call));
      delayed_calls_[number] = scheduler_.at(when, [this, number, node = node, delayed] {
        send_call(node, std::move(*delayed));
        delayed_calls_.erase(number);
      });
    }
  }
}

// A second step begins when its first part arrives at a node. Parts that reach other nodes before that is
// known there are answered with `E`. The first call of a second step is therefore sent ahead of the others.
TimePoint Driver::send_time(const std::vector<Attempt>& call, TimePoint now) {
  TimePoint when = now;
  for (const Attempt& attempt : call) {
    if (!attempt.second_step) continue;
    const auto part = parts_.find(attempts_[attempt.id].part);
    const auto query = part == parts_.end() ? queries_.end() : queries_.find(part->second.query);
    if (query == queries_.end()) continue;
    TimePoint& begun = query->second.second_step_started;
    if (begun == TimePoint{}) begun = now;
    if (begun != now)  // all parts of the first call are sent together
      when = std::max(when, begun + limits_.second_step_delay);
  }
  return when;
}

void Driver::send_call(NodeId node, std::vector<Attempt> call) {
  // Some attempts may have ended while the call was delayed.
  std::erase_if(call, [this](const Attempt& attempt) { return !attempts_.contains(attempt.id); });
  if (call.empty()) return;
  for (const Attempt& attempt : call) attempts_[attempt.id].in_transport = true;
  metrics_.count("calls.sent");
  metrics_.count("attempts.sent", call.size());
  transport_->send(node, std::move(call));
}

void Driver::post(RequestId query, QueryEvent event) {
  const auto it = queries_.find(query);
  if (it != queries_.end() && it->second.events) it->second.events->put(std::move(event));
}

// ---- actions ----
void Driver::act(const cottonbay::Send& action) {
  const auto part = parts_.find(action.part);
  const AttemptId id = ++next_attempt_;
  AttemptRecord& record = attempts_[id];
  record.part = action.part;
  record.node = action.server;
  record.sent_at = now_;
  const auto query = part == parts_.end() ? queries_.end() : queries_.find(part->second.query);
  if (query == queries_.end()) return end_attempt(id, {});
  record.number = static_cast<int>(part->second.attempts.size());
  const auto outstanding = [this](AttemptId earlier) { return attempts_.contains(earlier); };
  const bool hedged = std::any_of(part->second.attempts.begin(), part->second.attempts.end(), outstanding);
  part->second.attempts.push_back(id);
  TimePoint until = query->second.expires;
  if (action.timeout_at_ms > 0) until = std::min(until, from_ms(action.timeout_at_ms));
  if (until <= now_ || record.number >= settings_.max_attempts) return end_attempt(id, {});
  if (record.number > 0) metrics_.count(hedged ? "attempts.copies" : "attempts.repeats");
  record.timer = scheduler_.at(until, [this, id] {
    transport_->give_up(id, NodeTransport::GiveUpReason::timed_out);
    AttemptResult result;
    result.outcome = Outcome::timeout;
    end_attempt(id, result);
  });
  post(part->second.query, SendChosen{part->second.step, part->second.index, action.server, id, until,
                                      latest_start(part->second, query->second)});
}

// The deduplication window starts with the first attempt that may have been executed, outstanding ones
// included.
TimePoint Driver::latest_start(const PartRecord& part, const QueryRecord& query) const {
  if (query.dedup_window == Duration::max()) return kNever;
  TimePoint first = part.first_execution;
  for (const AttemptId id : part.attempts)
    if (const auto attempt = attempts_.find(id); attempt != attempts_.end() && id != part.attempts.back())
      first = std::min(first, attempt->second.sent_at);
  return first == kNever ? kNever : first + query.dedup_window;
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

void Driver::act(const cottonbay::Answer& action) { post(action.query, AnswerChosen{action.complete}); }

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
  metrics_.count(std::string("queries.refused_") + action.reason);
  post(action.query, RefuseChosen{to_duration(FractionalMs(action.retry_after_ms)), action.reason});
}

void Driver::act(const cottonbay::Fail& action) { post(action.query, FailChosen{}); }

void Driver::act(const cottonbay::SetTimer& action) {
  const std::uint64_t number = ++next_timer_;
  // One microsecond more: a timer that fires too early by a rounding error would be ignored by the module and
  // never fire again.
  const TimePoint when = now_ + to_duration(FractionalMs(action.delay_ms)) + std::chrono::microseconds(1);
  timers_[number] = scheduler_.at(when, [this, number, token = action.token] {
    timers_.erase(number);
    queue_event(cottonbay::TimerFired{token});
  });
}

void Driver::act(const cottonbay::Subscribe&) { directory_->subscribe(); }
void Driver::act(const cottonbay::FetchList&) { directory_->fetch(); }
void Driver::act(const cottonbay::Probe& action) { transport_->probe(action.server); }
void Driver::act(const cottonbay::CloseIdle& action) { transport_->close_idle(action.server); }
void Driver::act(const cottonbay::SendToPeer&) {}  // coordinators exchange no module messages here
void Driver::act(const cottonbay::Log& action) {
  metrics_.log("decision", action.text);
  // Do not report a suspicion that came from other coordinators as this one's own: the repeated report would
  // keep the suspicion alive forever.
  if (!health_exchange_ || action.server == 0 || peer_suspected_.contains(action.server)) return;
  for (const auto& [uid, record] : nodes_)
    if (record.id == action.server)
      health_exchange_->report_node_health(uid, boot_time_ms(record.entry), action.hung);
}

void Driver::suspect_node(const std::string& uid, std::int64_t boot_ms) {
  const auto it = nodes_.find(uid);
  if (it == nodes_.end() || it->second.unlisted_at != kNever || boot_time_ms(it->second.entry) != boot_ms)
    return;
  peer_suspected_.insert(it->second.id);
  queue_event(cottonbay::ProbeEnded{it->second.id, Outcome::timeout, 0, {}});
}

}  // namespace kelpdeal
