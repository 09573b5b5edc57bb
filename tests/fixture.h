// SPDX-License-Identifier: MIT
// Feeds events to one Balancer with the clock in hand and keeps what it did. It is no simulator: every
// answer of a server is an event that the test writes out.
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
  ClassSettings c;
  c.name = name;
  c.slo_ms = 2000;
  c.deadline_ms = 6000;
  c.dedup_window_ms = 5000;
  c.effect = effect;
  c.value = 1;
  c.late_value_fraction = 0.1;
  c.partial_value_fraction = 0.9;
  return c;
}

inline Settings make_settings() {
  Settings s;
  s.classes = {make_class("whole"), make_class("part"), make_class("once", Effect::at_most_once),
               make_class("keyed", Effect::deduplicated)};
  s.classes[1].min_fraction = 0.5;
  s.tick_ms = 5;
  s.coordinators = 2;
  s.shards = 4;
  s.cells = 4;
  s.cells_per_shard = 1;
  s.max_attempts = 3;
  s.may_cancel = true;
  s.may_advise_retry = true;
  s.max_retry_after_ms = 500;
  s.answer_slack_ms = 20;
  s.drain_grace_ms = 1000;
  s.list_request_interval_ms = 10000;
  s.cold_capacity = 0.2;
  s.warm_up_ms = 16000;
  s.overload_factor = 2;
  s.overload_window_ms = 1000;
  return s;
}

// As many shards as cells, each shard held by two cells in a row, calls shared.
inline Settings in_ring(Settings s, int cells) {
  s.cells = s.shards = cells;
  s.cells_per_shard = 2;
  s.parts_per_call = 8;
  return s;
}

class Host {
 public:
  struct Sent {
    Send send;
    double at;
    int attempt;
    bool out = true;
  };

  explicit Host(const Settings& settings = make_settings(), std::uint64_t seed = 7) {
    std::string error;
    balancer_ = Balancer::create(settings, seed, error);
    EXPECT_NE(balancer_, nullptr) << error;
  }

  // Runs the timers that fall due up to `at` and then feeds the events.
  void feed(double at, std::vector<Event> events = {}) {
    while (!timers_.empty() && timers_.begin()->first <= at) {
      const auto [due, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, due);
      step({TimerFired{token}});
    }
    now = at;
    if (!events.empty()) step(events);
  }

  void list(double at, std::vector<ServerEntry> servers, ListKind kind = ListKind::complete) {
    ServerListReceived e;
    e.kind = kind;
    e.servers = std::move(servers);
    feed(at, {e});
  }

  static ServerEntry server(ServerId id, int cell, double started = 0,
                            ServerState state = ServerState::serving) {
    ServerEntry e;
    e.id = id;
    e.cell = cell;
    e.started_ms = started;
    e.state = state;
    return e;
  }

  // A query of parts id+1 .. id+k at shards 0 .. k-1 of equal weight.
  static std::vector<Event> query(RequestId id, const std::string& cls, int k, double expires) {
    QueryArrived q;
    q.id = id;
    q.query_number = id;
    q.class_name = cls;
    q.expires_ms = expires;
    q.parts = k;
    std::vector<Event> events{q};
    for (int i = 0; i < k; ++i) events.push_back(part(id, id + 1 + static_cast<RequestId>(i), i, 1.0 / k));
    return events;
  }
  static PartArrived part(std::uint64_t number, RequestId id, int shard, double weight) {
    PartArrived p;
    p.id = id;
    p.query_number = number;
    p.shard = shard;
    p.weight = weight;
    return p;
  }
  void ask(double at, RequestId id, const std::string& cls, int k, double within = 6000) {
    feed(at, query(id, cls, k, at + within));
  }

  // The newest attempt of the part ends so.
  void ends(double at, RequestId part, Outcome outcome) {
    feed(at);
    for (auto it = sent.rbegin(); it != sent.rend(); ++it)
      if (it->send.part == part && it->out) {
        it->out = false;
        AttemptEnded e;
        e.part = part;
        e.attempt = it->attempt;
        e.server = it->send.server;
        e.outcome = outcome;
        e.elapsed_ms = at - it->at;
        return feed(at, {e});
      }
    ADD_FAILURE() << "no attempt of part " << part << " is out";
  }

  // Every attempt that is out now ends so.
  void settle(Outcome outcome) {
    std::vector<RequestId> parts;
    for (const Sent& s : sent)
      if (s.out) parts.push_back(s.send.part);
    for (const RequestId part : parts) ends(now, part, outcome);
  }

  // So many single-part queries at shard 0 answered after `took`, so that latencies are known.
  void warm_up(int n, double took = 100, const std::string& cls = "whole") {
    for (int i = 0; i < n; ++i) {
      const RequestId id = 1000000 + 10 * next_++;
      ask(now + 5, id, cls, 1);
      ends(now + took, id + 1, Outcome::ok);
    }
  }

  int attempts(RequestId part) const {
    return count_if([part](const Sent& s) { return s.send.part == part; });
  }
  int sent_to(ServerId id) const {
    return count_if([id](const Sent& s) { return s.send.server == id; });
  }
  ServerId last_server(RequestId part) const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it)
      if (it->send.part == part) return it->send.server;
    return 0;
  }
  template <class T>
  int count() const {
    return static_cast<int>(std::count_if(log.begin(), log.end(),
                                          [](const auto& a) { return std::holds_alternative<T>(a.second); }));
  }
  // How a query ended: 'w'hole, 'p'artial, 'r'efused, 'f'ailed, '-' not; more than one letter is a breach.
  std::string ended(RequestId query) const {
    const auto it = ends_.find(query);
    return it == ends_.end() ? "-" : it->second.first;
  }
  double ended_at(RequestId query) const { return ends_.at(query).second; }

  double now = 0;
  std::vector<Sent> sent;
  std::vector<std::pair<double, Action>> log;

 private:
  template <class F>
  int count_if(F f) const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(), f));
  }
  void note(RequestId query, char how) {
    auto& [text, at] = ends_[query];
    text += how;
    at = now;
  }
  void step(const std::vector<Event>& events) {
    std::vector<Action> actions;
    std::string error;
    ASSERT_TRUE(balancer_->step(now, events, actions, error)) << error;
    for (const Action& action : actions) {
      log.emplace_back(now, action);
      if (const auto* send = std::get_if<Send>(&action)) sent.push_back({*send, now, attempts(send->part)});
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(std::max(now + timer->delay_ms, now + 0.001), timer->token);
      if (const auto* answer = std::get_if<Answer>(&action))
        note(answer->query, answer->complete ? 'w' : 'p');
      if (const auto* refuse = std::get_if<Refuse>(&action)) note(refuse->query, 'r');
      if (const auto* fail = std::get_if<Fail>(&action)) note(fail->query, 'f');
    }
  }

  std::unique_ptr<Balancer> balancer_;
  std::multimap<double, std::string> timers_;
  std::map<RequestId, std::pair<std::string, double>> ends_;
  int next_ = 0;
};

}  // namespace cottonbay
