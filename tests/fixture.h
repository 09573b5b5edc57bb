// SPDX-License-Identifier: MIT
// Test harness: feeds events to one Balancer at explicit times and records its actions. It is not a
// simulator: every answer of a server is an event that the test writes out.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cottonbay/balancer.h"

namespace cottonbay {

inline ClassSettings make_class(const std::string& name, Effect effect = Effect::idempotent) {
  ClassSettings settings;
  settings.name = name;
  settings.slo_ms = 2000;
  settings.deadline_ms = 6000;
  settings.dedup_window_ms = 5000;
  settings.effect = effect;
  settings.value = 1;
  settings.late_value_fraction = 0.1;
  settings.partial_value_fraction = 0.9;
  return settings;
}

// Classes: "whole" needs every part, "part" half of the weight; "once" and "keyed" are named for their
// effect.
inline Settings make_settings() {
  Settings settings;
  settings.classes = {make_class("whole"), make_class("part"), make_class("once", Effect::at_most_once),
                      make_class("keyed", Effect::deduplicated)};
  settings.classes[1].min_fraction = 0.5;
  settings.tick_ms = 5;
  settings.coordinators = 2;
  settings.shards = 4;
  settings.cells = 4;
  settings.cells_per_shard = 1;
  settings.max_attempts = 3;
  settings.may_cancel = true;
  settings.may_advise_retry = true;
  settings.max_retry_after_ms = 500;
  settings.answer_slack_ms = 20;
  settings.drain_grace_ms = 1000;
  settings.list_request_interval_ms = 10000;
  settings.cold_capacity = 0.2;
  settings.warm_up_ms = 16000;
  settings.overload_factor = 2;
  settings.overload_window_ms = 1000;
  return settings;
}

// As many shards as cells; each shard is held by two consecutive cells, and parts share calls.
inline Settings with_overlapping_cells(Settings settings, int cells) {
  settings.cells = settings.shards = cells;
  settings.cells_per_shard = 2;
  settings.parts_per_call = 8;
  return settings;
}

class Harness {
 public:
  struct Sent {
    Send send;
    double at_ms;
    int attempt;
    bool in_flight = true;
  };

  explicit Harness(const Settings& settings = make_settings(), std::uint64_t seed = 7) {
    std::string error;
    balancer_ = Balancer::create(settings, seed, error);
    EXPECT_NE(balancer_, nullptr) << error;
  }

  // Runs the timers due by `at_ms`, then feeds the events.
  void feed(double at_ms, std::vector<Event> events = {}) {
    while (!timers_.empty() && timers_.begin()->first <= at_ms) {
      const auto [due_ms, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ms = std::max(now_ms, due_ms);
      step({TimerFired{token}});
    }
    now_ms = at_ms;
    if (!events.empty()) step(events);
  }

  void list_servers(double at_ms, std::vector<ServerEntry> servers, ListKind kind = ListKind::complete) {
    ServerListReceived event;
    event.kind = kind;
    event.servers = std::move(servers);
    feed(at_ms, {event});
  }

  static ServerEntry server(ServerId id, int cell, double started_ms = 0,
                            ServerState state = ServerState::serving) {
    ServerEntry entry;
    entry.id = id;
    entry.cell = cell;
    entry.started_ms = started_ms;
    entry.state = state;
    return entry;
  }

  // A query with the parts id+1 .. id+part_count at the shards 0 .. part_count-1, of equal weight.
  static std::vector<Event> query(RequestId id, const std::string& class_name, int part_count,
                                  double expires_ms) {
    QueryArrived query;
    query.id = id;
    query.query_number = id;
    query.class_name = class_name;
    query.expires_ms = expires_ms;
    query.parts = part_count;
    std::vector<Event> events{query};
    for (int i = 0; i < part_count; ++i)
      events.push_back(part(id, id + 1 + static_cast<RequestId>(i), i, 1.0 / part_count));
    return events;
  }
  static PartArrived part(std::uint64_t query_number, RequestId id, int shard, double weight) {
    PartArrived part;
    part.id = id;
    part.query_number = query_number;
    part.shard = shard;
    part.weight = weight;
    return part;
  }
  void submit(double at_ms, RequestId id, const std::string& class_name, int part_count,
              double within_ms = 6000) {
    feed(at_ms, query(id, class_name, part_count, at_ms + within_ms));
  }

  // Ends the newest attempt of the part in flight.
  void end_attempt(double at_ms, RequestId part, Outcome outcome) {
    feed(at_ms);
    for (auto it = sent.rbegin(); it != sent.rend(); ++it)
      if (it->send.part == part && it->in_flight) {
        it->in_flight = false;
        AttemptEnded event;
        event.part = part;
        event.attempt = it->attempt;
        event.server = it->send.server;
        event.outcome = outcome;
        event.elapsed_ms = at_ms - it->at_ms;
        return feed(at_ms, {event});
      }
    ADD_FAILURE() << "no attempt of part " << part << " is in flight";
  }

  // Ends every attempt in flight.
  void end_all_attempts(Outcome outcome) {
    std::vector<RequestId> parts;
    for (const Sent& attempt : sent)
      if (attempt.in_flight) parts.push_back(attempt.send.part);
    for (const RequestId part : parts) end_attempt(now_ms, part, outcome);
  }

  // Runs `query_count` single-part queries at shard 0, each answered after `latency_ms`, so that latencies
  // are known.
  void warm_up(int query_count, double latency_ms = 100, const std::string& class_name = "whole") {
    for (int i = 0; i < query_count; ++i) {
      const RequestId id = 1000000 + 10 * next_query_++;
      submit(now_ms + 5, id, class_name, 1);
      end_attempt(now_ms + latency_ms, id + 1, Outcome::ok);
    }
  }

  int attempt_count(RequestId part) const {
    return count_sent([part](const Sent& attempt) { return attempt.send.part == part; });
  }
  int sent_count(ServerId id) const {
    return count_sent([id](const Sent& attempt) { return attempt.send.server == id; });
  }
  ServerId last_server(RequestId part) const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it)
      if (it->send.part == part) return it->send.server;
    return 0;
  }
  template <class T>
  int count() const {
    return static_cast<int>(std::count_if(action_log.begin(), action_log.end(),
                                          [](const auto& a) { return std::holds_alternative<T>(a.second); }));
  }
  // Results of a query: 'w' complete, 'p' partial, 'r' refused, 'f' failed, '-' none. A query with a second
  // step has one letter per step; with any other, more than one letter means that it ended more than once.
  std::string result(RequestId query) const {
    const auto it = results_.find(query);
    return it == results_.end() ? "-" : it->second.first;
  }
  double ended_at_ms(RequestId query) const { return results_.at(query).second; }

  double now_ms = 0;
  std::vector<Sent> sent;
  std::vector<std::pair<double, Action>> action_log;

 private:
  template <class F>
  int count_sent(F predicate) const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(), predicate));
  }
  void record_result(RequestId query, char letter) {
    auto& [text, at_ms] = results_[query];
    text += letter;
    at_ms = now_ms;
  }
  void step(const std::vector<Event>& events) {
    std::vector<Action> actions;
    std::string error;
    ASSERT_TRUE(balancer_->step(now_ms, events, actions, error)) << error;
    for (const Action& action : actions) {
      action_log.emplace_back(now_ms, action);
      if (const auto* send = std::get_if<Send>(&action))
        sent.push_back({*send, now_ms, attempt_count(send->part)});
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(std::max(now_ms + timer->delay_ms, now_ms + 0.001), timer->token);
      if (const auto* answer = std::get_if<Answer>(&action))
        record_result(answer->query, answer->complete ? 'w' : 'p');
      if (const auto* refuse = std::get_if<Refuse>(&action)) record_result(refuse->query, 'r');
      if (const auto* fail = std::get_if<Fail>(&action)) record_result(fail->query, 'f');
    }
  }

  std::unique_ptr<Balancer> balancer_;
  std::multimap<double, std::string> timers_;
  std::map<RequestId, std::pair<std::string, double>> results_;
  int next_query_ = 0;
};

}  // namespace cottonbay
