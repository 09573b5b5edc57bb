// SPDX-License-Identifier: MIT
#include "kelpdeal/broker.h"

#include <algorithm>

#include "driver.h"
#include "kelpdeal/phases/plan.h"

namespace kelpdeal {
namespace {

// Memory of an open request: its own bookkeeping here and in the decision module, and that of each part and
// its attempts, without texts and values.
constexpr std::size_t kRequestBytes = 3 * 1024;
constexpr std::size_t kPartBytes = 1536;
constexpr std::size_t kUnchargedValueBytes = 64;  // of a part's value; included in kPartBytes

std::size_t memory_of(const QueryRequest& request) {
  std::size_t bytes = kRequestBytes + request.parts.size() * kPartBytes + request.text.size();
  for (const PartRequest& part : request.parts)
    if (part.text) bytes += part.text->size();
  return bytes;
}

// Adds a request's queries and parts to the open count for as long as it exists.
class CapacityHold {
 public:
  CapacityHold(std::size_t& open, std::size_t amount) : open_(open), amount_(amount) { open_ += amount_; }
  ~CapacityHold() { open_ -= amount_; }
  CapacityHold(const CapacityHold&) = delete;
  CapacityHold& operator=(const CapacityHold&) = delete;
  void change(std::size_t amount) {
    open_ = open_ - amount_ + amount;
    amount_ = amount;
  }

 private:
  std::size_t& open_;
  std::size_t amount_;
};

// Detaches a query from the driver and the client when it ends, on every path.
class QueryRegistration {
 public:
  QueryRegistration(Driver& driver, CancellationToken& client, RequestId query)
      : driver_(driver), client_(client), query_(query) {}
  ~QueryRegistration() {
    client_.on_cancel = nullptr;
    driver_.release_query(query_);
  }
  QueryRegistration(const QueryRegistration&) = delete;
  QueryRegistration& operator=(const QueryRegistration&) = delete;

 private:
  Driver& driver_;
  CancellationToken& client_;
  RequestId query_;
};

// The parts of the second step: the selected ones of the first, with equal weights.
std::vector<PartRequest> make_second_step_parts(const std::vector<PartRequest>& parts,
                                                const std::vector<std::size_t>& selected) {
  std::vector<PartRequest> step_parts;
  for (const std::size_t i : selected)
    step_parts.push_back(
        {parts[i].shard, 1.0 / static_cast<double>(selected.size()), std::nullopt, parts[i].text});
  return step_parts;
}

// Log text for a query that ends without an answer: its progress and the client's remaining time.
std::string describe(const QueryRequest& request, const phases::PhasePlan& plan) {
  const auto remaining = std::chrono::duration_cast<Milliseconds>(request.expires - Clock::now()).count();
  return request.class_name + (request.repeat ? " (repeat)" : "") + ", step " + std::to_string(plan.phase()) +
         ", " + std::to_string(plan.received_parts()) + " of " + std::to_string(plan.parts()) +
         " parts received, " + std::to_string(remaining) + " ms left";
}

Reply refusal(std::string reason, Duration retry_after) {
  Reply reply;
  reply.kind = Reply::Kind::refused;
  reply.reason = std::move(reason);
  reply.retry_after = retry_after;
  return reply;
}

Reply failure(std::string reason) {
  Reply reply;
  reply.reason = std::move(reason);
  return reply;
}

// One keyed operation under the limits shared by the fleet. Without shared limits all attempts are allowed.
class KeyedOperationScope {
 public:
  KeyedOperationScope(KeyedOperations* keyed, const QueryRequest& request,
                      const cottonbay::ClassSettings& class_settings)
      : keyed_(keyed),
        request_(request),
        window_(to_duration(FractionalMs(class_settings.dedup_window_ms))) {}
  KeyedOperationScope(const KeyedOperationScope&) = delete;
  KeyedOperationScope& operator=(const KeyedOperationScope&) = delete;
  ~KeyedOperationScope() {
    if (!grant_.granted) return;
    const int attempts = attempts_.empty() ? 0 : *std::max_element(attempts_.begin(), attempts_.end());
    keyed_->end(request_.class_name, request_.key, window_, attempts, first_sent_, done);
  }
  Task<bool> begin(int max_attempts) {
    grant_ =
        co_await keyed_->begin(request_.class_name, request_.key, window_, max_attempts, request_.expires);
    attempts_.resize(request_.parts.size());
    co_return grant_.granted;
  }
  const KeyedOperations::Grant& grant() const { return grant_; }
  bool may_send(std::size_t part, TimePoint now) {
    if (!grant_.granted) return true;
    if (part >= attempts_.size() || attempts_[part] >= grant_.max_attempts || now >= grant_.send_until)
      return false;
    if (first_sent_ == TimePoint{}) first_sent_ = now;
    ++attempts_[part];
    return true;
  }
  bool done = false;

 private:
  KeyedOperations* const keyed_;
  const QueryRequest& request_;
  const Duration window_;
  KeyedOperations::Grant grant_;
  std::vector<int> attempts_;
  TimePoint first_sent_{};
};

}  // namespace

Broker::Broker(Scheduler& scheduler, const Config& config, Metrics& metrics, admission::MemoryAccount& memory)
    : scheduler_(scheduler),
      settings_(config.settings),
      limits_(config.limits),
      metrics_(metrics),
      memory_(memory),
      driver_(std::make_unique<Driver>(scheduler, settings_, limits_, config.seed, metrics)),
      query_ids_(limits_.max_ended_query_ids, metrics),
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
void Broker::set_health_exchange(NodeHealthExchange& exchange) { driver_->set_health_exchange(exchange); }
void Broker::suspect_node(const std::string& uid, std::int64_t boot_ms) {
  driver_->suspect_node(uid, boot_ms);
}
void Broker::list_failed() { driver_->list_failed(); }

Task<Reply> Broker::serve(QueryRequest request, CancellationToken& client) {
  metrics_.count("queries.taken");
  request.expires = std::min(request.expires, latest_expiry_);

  // Admission: the settings limit the queries and parts that one coordinator may have open.
  const cottonbay::ClassSettings* class_settings = find_class(request.class_name);
  const std::size_t required = 1 + request.parts.size();
  if (!class_settings) co_return failure("class");
  if (limits_.max_open > 0 && open_ + required > limits_.max_open) {
    metrics_.count("queries.refused");
    metrics_.log("capacity", "the limit of open queries and parts is reached; refusing a query");
    co_return refusal("capacity", limits_.max_retry_after);
  }
  admission::Charge request_memory(memory_, admission::Use::accepted_requests);
  if (!request_memory.resize(memory_of(request))) {
    metrics_.count("queries.refused");
    metrics_.log("unanswered", "refused (memory): " + request.class_name + ", " +
                                   std::to_string(request.parts.size()) + " parts, text of " +
                                   std::to_string(request.text.size()) + " bytes");
    co_return refusal("memory", limits_.max_retry_after);
  }
  // The client may have disconnected before its request was read.
  const auto withdrawn_reply = [&] {
    metrics_.count("queries.withdrawn");
    return failure("client gone");
  };
  if (client.cancelled()) co_return withdrawn_reply();
  // The id must be unique among open queries, because nodes' answers are matched by it.
  const auto claimed_id = query_ids_.claim(request.id, request.expires, Clock::now());
  if (!claimed_id) {
    metrics_.count("queries.rejected");
    metrics_.log("request", "the request's id is in use by another open request");
    Reply rejected;
    rejected.kind = Reply::Kind::rejected;
    rejected.reason = "id in use";
    co_return rejected;
  }
  CapacityHold hold(open_, required);

  Reply reply;
  reply.memory = admission::Charge(memory_, admission::Use::answers);
  for (const PartRequest& part : request.parts) reply.requested.push_back(part.shard);

  // In a fleet the attempt limit of a key holds across all coordinators that its client uses.
  KeyedOperationScope key(keyed_, request, *class_settings);
  if (keyed_ && class_settings->effect == cottonbay::Effect::deduplicated && !request.key.empty() &&
      !co_await key.begin(settings_.max_attempts)) {
    metrics_.count("queries.refused");
    metrics_.log("unanswered", "refused (" + key.grant().reason + "): keyed operation");
    co_return refusal("key", std::min(key.grant().retry_after, limits_.max_retry_after));
  }
  if (client.cancelled()) co_return withdrawn_reply();

  // Announce the query to the decision module.
  std::vector<PartRequest> parts = request.parts;  // of the current phase
  std::vector<std::optional<Reply::Item>> values(parts.size());
  phases::PhasePlan plan({static_cast<std::size_t>(class_settings->second_step_parts), request.keep_first,
                          to_duration(FractionalMs(class_settings->slo_ms))},
                         Clock::now(), request.expires);
  plan.begin_phase(reply.requested, Clock::now());
  QueryEvents query_events(scheduler_);
  const RequestId query = driver_->query_arrived(request, *class_settings, query_events);
  QueryRegistration registration(*driver_, client, query);
  client.on_cancel = [&query_events] { query_events.put(ClientDisconnected{}); };
  const auto set_answered = [&](bool whole) {
    reply.kind = Reply::Kind::answered;
    reply.whole = whole;
    reply.missing = plan.missing();
    reply.decided_at = Clock::now();
    metrics_.count(whole ? "queries.answered" : "queries.answered_partial");
  };

  // Execute the module's decisions, phase by phase, until the query ends.
  for (;;) {
    std::optional<QueryEvent> event = co_await query_events.take(plan.deadline(margin_.margin()));
    // After the client has disconnected no attempt starts, even if the module has already chosen one.
    if (client.cancelled()) {
      driver_->withdraw(query);
      co_return withdrawn_reply();
    }
    if (plan.has_fallback_answer() && (!event || std::get_if<FailChosen>(&*event))) {
      // The second phase has failed or run out of time: answer with the first phase's result.
      driver_->withdraw(query);
      metrics_.count("queries.kept_first");
      if (request.sink) request.sink->keep_first();
      set_answered(false);
      co_return reply;
    }
    if (!event) {  // the module's own timer is late: every query must still get a reply
      driver_->withdraw(query);
      metrics_.count("queries.failed");
      metrics_.log("overdue", "query " + request.id + " expired without a decision");
      co_return failure("deadline");
    }

    if (const auto* send_event = std::get_if<SendChosen>(&*event)) {
      if (send_event->step != plan.phase()) continue;
      if (!key.may_send(send_event->part, Clock::now())) {
        metrics_.count("attempts.over_shared_cap");
        driver_->attempt_ended(send_event->attempt, {});
        continue;
      }
      Attempt attempt{send_event->attempt,
                      request.id,
                      request.class_name,
                      request.key,
                      request.text,
                      0,
                      send_event->until,
                      request.operation,
                      plan.is_later_phase(),
                      plan.first_whole(),
                      plan.first_phase_shards()};
      attempt.shard = parts[send_event->part].shard;
      attempt.begin_by = send_event->begin_by;
      attempt.query_number = query;
      attempt.document_id = request.document_id;
      if (const auto& text = parts[send_event->part].text) attempt.text = text;
      driver_->dispatch(send_event->node, std::move(attempt));

    } else if (auto* part_event = std::get_if<PartReceived>(&*event)) {
      if (!plan.record_part(part_event->step, part_event->part, part_event->score))
        continue;  // late value of the first step
      const int shard = parts[part_event->part].shard;
      const std::size_t value_bytes = part_event->value.size();
      if (part_event->value_dropped ||
          (value_bytes > kUnchargedValueBytes && !reply.memory.grow(value_bytes))) {
        driver_->withdraw(query);
        metrics_.count("queries.failed");
        metrics_.log("unanswered", "failed (memory): " + describe(request, plan));
        co_return failure("memory");
      }
      if (request.sink)
        request.sink->take(part_event->step, shard, part_event->score, std::move(part_event->value));
      else
        values[part_event->part] = Reply::Item{shard, part_event->score, std::move(part_event->value)};

    } else if (const auto* answer_event = std::get_if<AnswerChosen>(&*event)) {
      reply.items.clear();
      for (auto& value : values)
        if (value) reply.items.push_back(std::move(*value));
      if (const auto selected = plan.advance(answer_event->whole, Clock::now()); !selected.empty()) {
        parts = make_second_step_parts(parts, selected);
        values.assign(parts.size(), std::nullopt);
        hold.change(plan.open_count());
        driver_->parts_arrived(query, parts, query_events);
        continue;
      }
      key.done = true;
      set_answered(answer_event->whole);
      co_return reply;

    } else if (const auto* refuse_event = std::get_if<RefuseChosen>(&*event)) {
      metrics_.count("queries.refused");
      metrics_.log("unanswered", "refused (" + refuse_event->reason + "): " + describe(request, plan));
      co_return refusal("overload", refuse_event->retry_after);

    } else if (std::get_if<FailChosen>(&*event)) {
      metrics_.count("queries.failed");
      metrics_.log("unanswered", "failed: " + describe(request, plan));
      co_return failure("deadline");
    }  // ClientDisconnected is handled above
  }
}

}  // namespace kelpdeal
