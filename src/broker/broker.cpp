// SPDX-License-Identifier: MIT
#include "kelpdeal/broker.h"

#include <algorithm>

#include "driver.h"
#include "kelpdeal/phases/plan.h"

namespace kelpdeal {
namespace {

// Counts what a request holds for as long as it lives.
class Held {
 public:
  Held(std::size_t& open, std::size_t amount) : open_(open), amount_(amount) { open_ += amount_; }
  ~Held() { open_ -= amount_; }
  Held(const Held&) = delete;
  Held& operator=(const Held&) = delete;
  void change(std::size_t amount) {
    open_ = open_ - amount_ + amount;
    amount_ = amount;
  }

 private:
  std::size_t& open_;
  std::size_t amount_;
};

// Lets go of the driver and the caller whichever way a life ends.
class Registered {
 public:
  Registered(Driver& driver, CancellationToken& caller, RequestId query)
      : driver_(driver), caller_(caller), query_(query) {}
  ~Registered() {
    caller_.on_cancel = nullptr;
    driver_.forget(query_);
  }
  Registered(const Registered&) = delete;
  Registered& operator=(const Registered&) = delete;

 private:
  Driver& driver_;
  CancellationToken& caller_;
  RequestId query_;
};

// The parts that the next phase asks once more.
std::vector<PartRequest> parts_again(const std::vector<PartRequest>& parts,
                                     const std::vector<std::size_t>& which) {
  std::vector<PartRequest> again;
  for (const std::size_t i : which)
    again.push_back({parts[i].shard, 1.0 / static_cast<double>(which.size()), std::nullopt, parts[i].text});
  return again;
}

// A query that ends without an answer, for the log: how far it came and how long its client had left.
std::string tell(const QueryRequest& request, const phases::PhasePlan& plan) {
  const auto left = std::chrono::duration_cast<Milliseconds>(request.expires - Clock::now()).count();
  return request.class_name + (request.repeat ? " (repeat)" : "") + ", step " + std::to_string(plan.phase()) +
         ", " + std::to_string(plan.received_parts()) + " of " + std::to_string(plan.parts()) +
         " parts in, " + std::to_string(left) + " ms left";
}

Reply refused(std::string why, Duration retry_after) {
  Reply reply;
  reply.kind = Reply::Kind::refused;
  reply.reason = std::move(why);
  reply.retry_after = retry_after;
  return reply;
}

Reply failed(std::string why) {
  Reply reply;
  reply.reason = std::move(why);
  return reply;
}

// One keyed operation's part in what coordinators hold in common; without that it allows all.
class SharedKey {
 public:
  SharedKey(KeyedOperations* keyed, const QueryRequest& request, const cottonbay::ClassSettings& cls)
      : keyed_(keyed), request_(request), window_(to_duration(FractionalMs(cls.window_ms))) {}
  SharedKey(const SharedKey&) = delete;
  SharedKey& operator=(const SharedKey&) = delete;
  ~SharedKey() {
    if (!grant_.granted) return;
    const int made = made_.empty() ? 0 : *std::max_element(made_.begin(), made_.end());
    keyed_->end(request_.class_name, request_.key, window_, made, first_, done);
  }
  Task<bool> begin(int cap) {
    grant_ = co_await keyed_->begin(request_.class_name, request_.key, window_, cap, request_.expires);
    made_.resize(request_.parts.size());
    co_return grant_.granted;
  }
  const KeyedOperations::Grant& grant() const { return grant_; }
  bool may_send(std::size_t part, TimePoint now) {
    if (!grant_.granted) return true;
    if (part >= made_.size() || made_[part] >= grant_.max_attempts || now >= grant_.send_until) return false;
    if (first_ == TimePoint{}) first_ = now;
    ++made_[part];
    return true;
  }
  bool done = false;

 private:
  KeyedOperations* const keyed_;
  const QueryRequest& request_;
  const Duration window_;
  KeyedOperations::Grant grant_;
  std::vector<int> made_;
  TimePoint first_{};
};

}  // namespace

bool RecentQueryIds::claim(const std::string& id, TimePoint until, TimePoint now) {
  while (!ends_.empty() && (ends_.begin()->first <= now || ends_.size() >= capacity_)) {
    ids_.erase(ends_.begin()->second);
    ends_.erase(ends_.begin());
  }
  if (!ids_.insert(id).second) return false;
  ends_.emplace(until, id);
  return true;
}

Broker::Broker(Scheduler& scheduler, const Config& config, Metrics& metrics)
    : scheduler_(scheduler),
      settings_(config.settings),
      limits_(config.limits),
      metrics_(metrics),
      driver_(std::make_unique<Driver>(scheduler, settings_, limits_, config.seed, metrics)),
      used_(limits_.max_recent_query_ids),
      margin_(limits_.answer_margin_bounds) {}

Broker::~Broker() = default;

void Broker::start(NodeTransport& transport, Directory& directory, const NodeList& known) {
  driver_->start(transport, directory, known);
}

const cottonbay::ClassSettings* Broker::find_class(std::string_view name) const {
  for (const cottonbay::ClassSettings& c : settings_.classes)
    if (c.name == name) return &c;
  return nullptr;
}

void Broker::attempt_ended(AttemptId attempt, AttemptResult result) {
  driver_->attempt_ended(attempt, std::move(result));
}
void Broker::probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load) {
  driver_->probe_ended(node, outcome, elapsed, std::move(load));
}
void Broker::nodes_listed(const NodeList& list) {
  driver_->nodes_listed(list, list.complete ? cottonbay::ListKind::complete : cottonbay::ListKind::changes);
}
std::vector<NodeEntry> Broker::nodes() const { return driver_->nodes(); }

void Broker::set_offline_nodes(const std::set<std::string, std::less<>>& out) {
  driver_->set_offline_nodes(out);
}

bool Broker::has_node(std::string_view uid) const { return driver_->has_node(uid); }
void Broker::set_health_exchange(NodeHealthExchange& beliefs) { driver_->set_health_exchange(beliefs); }
void Broker::suspect_node(const std::string& uid, std::int64_t boot_ms) {
  driver_->suspect_node(uid, boot_ms);
}
void Broker::list_failed() { driver_->list_failed(); }

Task<Reply> Broker::serve(QueryRequest request, CancellationToken& caller) {
  metrics_.count("queries.taken");
  request.expires = std::min(request.expires, latest_expiry_);

  // Admit: the settings bound what one coordinator may hold.
  const cottonbay::ClassSettings* cls = find_class(request.class_name);
  const std::size_t needs = 1 + request.parts.size();
  if (!cls) co_return failed("class");
  if (limits_.max_open > 0 && open_ + needs > limits_.max_open) {
    metrics_.count("queries.refused");
    metrics_.log("capacity", "as many queries and parts are held as the settings allow; a query is refused");
    co_return refused("capacity", limits_.max_retry_after);
  }
  // Guards against a client that takes another's id: answers of nodes are told apart by it.
  if (!used_.claim(request.id, request.expires, Clock::now())) {
    metrics_.count("queries.rejected");
    metrics_.log("request", "the id of another request that is open");
    Reply rejected;
    rejected.kind = Reply::Kind::rejected;
    rejected.reason = "id in use";
    co_return rejected;
  }
  Held held(open_, needs);
  const auto client_gone = [&] {
    metrics_.count("queries.withdrawn");
    return failed("client gone");
  };
  // Guards against work for nobody: the client may have closed before its request was read.
  if (caller.cancelled()) co_return client_gone();

  Reply reply;
  for (const PartRequest& part : request.parts) reply.requested.push_back(part.shard);

  // Over a fleet a key stays within its cap, whichever coordinators its client comes through.
  SharedKey key(keyed_, request, *cls);
  if (keyed_ && cls->effect == cottonbay::Effect::keyed && !request.key.empty() &&
      !co_await key.begin(settings_.max_attempts)) {
    metrics_.count("queries.refused");
    metrics_.log("unanswered", "refused (" + key.grant().reason + "): a keyed operation");
    co_return refused("key", std::min(key.grant().retry_after, limits_.max_retry_after));
  }
  if (caller.cancelled()) co_return client_gone();

  // Tell the module.
  std::vector<PartRequest> parts = request.parts;  // of the phase under way
  std::vector<std::optional<Reply::Item>> values(parts.size());
  phases::PhasePlan plan({static_cast<std::size_t>(cls->second_step), request.keep_first,
                          to_duration(FractionalMs(cls->aim_ms))},
                         Clock::now(), request.expires);
  plan.begin_phase(reply.requested, Clock::now());
  Choices choices(scheduler_);
  const RequestId query = driver_->query_arrived(request, *cls, choices);
  Registered registered(*driver_, caller, query);
  caller.on_cancel = [&choices] { choices.put(ClientLeft{}); };
  const auto answered = [&](bool whole) {
    reply.kind = Reply::Kind::answered;
    reply.whole = whole;
    reply.missing = plan.missing();
    reply.decided_at = Clock::now();
    metrics_.count(whole ? "queries.answered" : "queries.answered_partial");
  };

  // Act on what it chooses, phase by phase, until it ends the query.
  for (;;) {
    std::optional<Choice> choice = co_await choices.take(plan.deadline(margin_.margin()));
    // Whatever was chosen before its client left and is not acted on yet: no attempt begins for it.
    if (caller.cancelled()) {
      driver_->withdraw(query);
      co_return client_gone();
    }
    if (plan.has_fallback_answer() && (!choice || std::get_if<FailChosen>(&*choice))) {
      // What the phase before found goes out, in time: this one brings nothing.
      driver_->withdraw(query);
      metrics_.count("queries.kept_first");
      if (request.sink) request.sink->keep_first();
      answered(false);
      co_return reply;
    }
    if (!choice) {  // guards against a query without an answer, should the module's own timer be late
      driver_->withdraw(query);
      metrics_.count("queries.failed");
      metrics_.log("overdue", "query " + request.id + " had no decision before its time was up");
      co_return failed("deadline");
    }

    if (const auto* send = std::get_if<SendChosen>(&*choice)) {
      if (send->step != plan.phase()) continue;
      if (!key.may_send(send->part, Clock::now())) {
        metrics_.count("attempts.over_shared_cap");
        driver_->attempt_ended(send->attempt, {});
        continue;
      }
      Attempt attempt{send->attempt,
                      request.id,
                      request.class_name,
                      request.key,
                      request.text,
                      0,
                      send->until,
                      request.operation,
                      plan.is_later_phase(),
                      plan.first_whole(),
                      plan.first_phase_shards()};
      attempt.shard = parts[send->part].shard;
      attempt.begin_by = send->begin_by;
      if (const auto& text = parts[send->part].text) attempt.text = *text;
      driver_->dispatch(send->node, std::move(attempt));

    } else if (auto* in = std::get_if<PartIn>(&*choice)) {
      if (!plan.record_part(in->step, in->part, in->score)) continue;  // a first step's value in the second
      const int shard = parts[in->part].shard;
      if (request.sink)
        request.sink->take(in->step, shard, in->score, std::move(in->value));
      else
        values[in->part] = Reply::Item{shard, in->score, std::move(in->value)};

    } else if (const auto* answer = std::get_if<AnswerChosen>(&*choice)) {
      reply.items.clear();
      for (auto& value : values)
        if (value) reply.items.push_back(std::move(*value));
      if (const auto again = plan.advance(answer->whole, Clock::now()); !again.empty()) {
        parts = parts_again(parts, again);
        values.assign(parts.size(), std::nullopt);
        held.change(plan.open_count());
        driver_->parts_arrived(query, parts, choices);
        continue;
      }
      key.done = true;
      answered(answer->whole);
      co_return reply;

    } else if (const auto* refuse = std::get_if<RefuseChosen>(&*choice)) {
      metrics_.count("queries.refused");
      metrics_.log("unanswered", "refused (" + refuse->reason + "): " + tell(request, plan));
      co_return refused("overload", refuse->retry_after);

    } else if (std::get_if<FailChosen>(&*choice)) {
      metrics_.count("queries.failed");
      metrics_.log("unanswered", "failed: " + tell(request, plan));
      co_return failed("deadline");
    }  // else the client has left: above
  }
}

}  // namespace kelpdeal
