// SPDX-License-Identifier: MIT
#include "kelpdeal/broker.h"

#include <algorithm>

#include "driver.h"

namespace kelpdeal {
namespace {

// The parts of one step and what has come of them.
struct Step {
  int number = 0;
  std::vector<PartRequest> parts;
  std::vector<std::optional<PartIn>> in;
  void start(std::vector<PartRequest> asked) {
    ++number;
    parts = std::move(asked);
    in.assign(parts.size(), std::nullopt);
  }
  void tell_missing(std::vector<int>& missing) const {
    for (std::size_t i = 0; i < parts.size(); ++i)
      if (!in[i]) missing.push_back(parts[i].shard);
  }
};

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
  Registered(Driver& driver, Caller& caller, RequestId query)
      : driver_(driver), caller_(caller), query_(query) {}
  ~Registered() {
    caller_.on_leave = nullptr;
    driver_.forget(query_);
  }
  Registered(const Registered&) = delete;
  Registered& operator=(const Registered&) = delete;

 private:
  Driver& driver_;
  Caller& caller_;
  RequestId query_;
};

// The shards that score highest among those that are in, at most `most` of them.
std::vector<PartRequest> second_step(const Step& first, std::size_t most) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < first.in.size(); ++i)
    if (first.in[i]) order.push_back(i);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (first.in[a]->score != first.in[b]->score) return first.in[a]->score > first.in[b]->score;
    return first.parts[a].shard < first.parts[b].shard;
  });
  order.resize(std::min(order.size(), most));
  std::vector<PartRequest> parts;
  for (const std::size_t i : order)
    parts.push_back(
        {first.parts[i].shard, 1.0 / static_cast<double>(order.size()), std::nullopt, first.parts[i].text});
  return parts;
}

// A query that ends without an answer, for the log: how far it came and how long its client had left.
std::string tell(const QueryRequest& request, const Step& step) {
  const auto in =
      std::count_if(step.in.begin(), step.in.end(), [](const auto& part) { return part.has_value(); });
  const auto left = std::chrono::duration_cast<Milliseconds>(request.expires - Clock::now()).count();
  return request.class_name + (request.repeat ? " (repeat)" : "") + ", step " + std::to_string(step.number) +
         ", " + std::to_string(in) + " of " + std::to_string(step.parts.size()) + " parts in, " +
         std::to_string(left) + " ms left";
}

Reply refused(std::string why, Duration retry_after) {
  Reply reply;
  reply.kind = Reply::Kind::refused;
  reply.why = std::move(why);
  reply.retry_after = retry_after;
  return reply;
}

Reply failed(std::string why) {
  Reply reply;
  reply.why = std::move(why);
  return reply;
}

}  // namespace

bool UsedIds::claim(const std::string& id, TimePoint until, TimePoint now) {
  while (!ends_.empty() && (ends_.begin()->first <= now || ends_.size() >= most_)) {
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
      used_(limits_.used_ids) {}

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
void Broker::listed(const NodeList& list) {
  driver_->listed(list, list.complete ? cottonbay::ListKind::complete : cottonbay::ListKind::changes);
}
std::vector<NodeEntry> Broker::nodes() const { return driver_->nodes(); }
void Broker::list_failed() { driver_->list_failed(); }

Task<Reply> Broker::serve(QueryRequest request, Caller& caller) {
  metrics_.count("queries.taken");
  request.expires = std::min(request.expires, finish_by_);

  // Admit: the settings bound what one coordinator may hold.
  const cottonbay::ClassSettings* cls = find_class(request.class_name);
  const std::size_t needs = 1 + request.parts.size();
  if (!cls) co_return failed("class");
  if (limits_.open > 0 && open_ + needs > limits_.open) {
    metrics_.count("queries.refused");
    metrics_.log("capacity", "as many queries and parts are held as the settings allow; a query is refused");
    co_return refused("capacity", limits_.most_retry_after);
  }
  // Guards against a client that takes another's id: answers of nodes are told apart by it.
  if (!used_.claim(request.id, request.expires, Clock::now())) {
    metrics_.count("queries.rejected");
    metrics_.log("request", "the id of another request that is open");
    Reply rejected;
    rejected.kind = Reply::Kind::rejected;
    rejected.why = "id in use";
    co_return rejected;
  }
  Held held(open_, needs);

  Reply reply;
  for (const PartRequest& part : request.parts) reply.asked.push_back(part.shard);

  // Tell the module.
  Step step;
  step.start(request.parts);
  Choices choices(scheduler_);
  const RequestId query = driver_->query_arrived(request, choices);
  Registered registered(*driver_, caller, query);
  caller.on_leave = [&choices] { choices.put(ClientLeft{}); };
  if (caller.gone()) choices.put(ClientLeft{});
  bool second = false, first_whole = false;
  std::vector<int> from;

  // Act on what it chooses, until it ends the query.
  for (;;) {
    std::optional<Choice> choice = co_await choices.take(request.expires);
    if (!choice) {  // guards against a query without an answer, should the module's own timer be late
      driver_->withdraw(query);
      metrics_.count("queries.failed");
      metrics_.log("overdue", "query " + request.id + " had no decision before its time was up");
      co_return failed("deadline");
    }

    if (const auto* send = std::get_if<SendChosen>(&*choice)) {
      if (send->step != step.number) continue;
      Attempt attempt{
          send->attempt,     request.id, request.class_name, request.key, request.text, 0, send->until,
          request.operation, second,     first_whole,        from};
      attempt.shard = step.parts[send->part].shard;
      if (const auto& text = step.parts[send->part].text) attempt.text = *text;
      driver_->dispatch(send->node, std::move(attempt));

    } else if (auto* in = std::get_if<PartIn>(&*choice)) {
      if (in->step != step.number) continue;  // guards against a first step's value in the second
      const std::size_t place = in->part;
      if (request.sink)
        request.sink->take(step.number, step.parts[place].shard, in->score, std::exchange(in->value, {}));
      step.in[place] = std::move(*in);

    } else if (const auto* answer = std::get_if<AnswerChosen>(&*choice)) {
      if (cls->second_step > 0 && !second) {
        // The first step is over; a few of its shards are asked once more.
        second = true;
        first_whole = answer->whole;
        for (std::size_t i = 0; i < step.in.size(); ++i)
          if (step.in[i]) from.push_back(step.parts[i].shard);
        step.tell_missing(reply.missing);
        std::sort(from.begin(), from.end());
        step.start(second_step(step, static_cast<std::size_t>(cls->second_step)));
        held.change(1 + step.parts.size());
        driver_->parts_arrived(query, step.parts, choices);
        continue;
      }
      reply.kind = Reply::Kind::answered;
      reply.whole = answer->whole;
      step.tell_missing(reply.missing);
      for (std::size_t i = 0; i < step.parts.size(); ++i)
        if (step.in[i] && !request.sink)
          reply.items.push_back({step.parts[i].shard, step.in[i]->score, std::move(step.in[i]->value)});
      metrics_.count(reply.whole ? "queries.answered" : "queries.answered_partial");
      co_return reply;

    } else if (const auto* refuse = std::get_if<RefuseChosen>(&*choice)) {
      metrics_.count("queries.refused");
      metrics_.log("unanswered", "refused: " + tell(request, step));
      co_return refused("overload", refuse->retry_after);

    } else if (std::get_if<FailChosen>(&*choice)) {
      metrics_.count("queries.failed");
      metrics_.log("unanswered", "failed: " + tell(request, step));
      co_return failed("deadline");

    } else {  // the client has left
      driver_->withdraw(query);
      metrics_.count("queries.withdrawn");
      co_return failed("client gone");
    }
  }
}

}  // namespace kelpdeal
