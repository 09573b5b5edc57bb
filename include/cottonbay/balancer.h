// SPDX-License-Identifier: MIT
// The whole interface of cottonbay: the settings a Balancer starts with, the events it is fed, the
// actions it returns. It holds no choices; every decision is in src/balance.cpp. Times are in
// milliseconds on the caller's clock, which may start anywhere and only goes forward.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cottonbay {

using RequestId = std::uint64_t;
using ServerId = std::uint64_t;

enum class Effect {
  idempotent,
  deduplicated,
  at_most_once
};  // may a part run twice: freely, within a window, never
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, not_sent };
enum class ServerState { serving, draining, removed };
enum class ListKind { changes, complete, saved, failed };

struct ClassSettings {
  std::string name;
  double slo_ms = 0;           // full worth up to here
  double deadline_ms = 0;      // the client's whole wait over all its tries
  double dedup_window_ms = 0;  // keyed classes: repeats are dropped for this long
  Effect effect = Effect::at_most_once;
  bool streamed = false;
  double value = 0;
  double late_value_fraction = 0;     // share of the worth earned between aim and deadline
  double complete_fraction = 1;       // share of weight that makes an answer whole
  double min_fraction = 1;            // least share of weight an answer may be built from
  double partial_value_fraction = 0;  // what a partial answer earns, times share over need
  int second_step_parts = 0;          // parts of a second step; 0: none
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // over all mixers
  double share = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::string zone;
  int coordinators = 1;
  int coordinator_index = 0;
  double tick_ms = 0;
  int shards = 0, cells = 0,
      cells_per_shard = 1;  // servers of cells (s + 0 .. reach-1) mod cells hold shard s
  int parts_per_call = 1;
  double call_cost_ms = 0;
  bool may_probe = false, may_cancel = false, may_hedge = false, may_advise_retry = false;
  bool list_on_request = false;  // the list of servers comes only when subscribed to or fetched
  bool value_per_part = false;
  bool retries_marked = false;  // clients mark their repeats (QueryArrived::is_retry)
  int max_attempts = 1;
  int max_open = 0;  // queries and parts held at once
  double max_retry_after_ms = 0;
  double connect_timeout_ms = 0;
  double over_share_value_factor = 1;
  double late_failure_cost = 0;
  double answer_slack_ms = 0, drain_grace_ms = 0, list_request_interval_ms = 0;
  double cold_capacity = 1, warm_up_ms = 0, overload_factor = 0, overload_window_ms = 0;
  bool retry_budget_limited = false;  // a budget of attempts beyond each part's first is stated
  double retry_budget_min = 0, retry_budget_ratio = 0, retry_budget_window_ms = 0;
};

using LoadReport = std::vector<std::pair<std::string, double>>;

struct ServerEntry {
  ServerId id = 0;
  double started_ms = 0;  // 0: long ago
  std::string zone, kind;
  double weight = 1;
  ServerState state = ServerState::serving;
  int cell = 0;
};

// Events.
struct ServerListReceived {
  ListKind kind = ListKind::changes;
  std::uint64_t version = 0;
  std::vector<ServerEntry> servers;
};
struct QueryArrived {  // its parts follow in the same batch
  RequestId id = 0;
  std::uint64_t query_number = 0;
  std::string class_name, tenant, key;
  double expires_ms = 0;  // when the client stops waiting for this try
  double cost_hint_ms = 0;
  bool has_cost_hint = false, is_retry = false, is_write = false;
  int parts = 0;
};
struct PartArrived {
  RequestId id = 0;
  std::uint64_t query_number = 0;  // its query's
  int shard = 0;
  double weight = 0, cost_hint_ms = 0;
  bool has_cost_hint = false;
};
struct AttemptEnded {
  RequestId part = 0;
  int attempt = 0;
  ServerId server = 0;
  Outcome outcome = Outcome::not_sent;
  double elapsed_ms = 0;
  bool part_finished = false;
  LoadReport load;
};
// Also what others say of a server: that it hangs (`timeout`). A server that answers here is asked on.
struct ProbeEnded {
  ServerId server = 0;
  Outcome outcome = Outcome::not_sent;
  double elapsed_ms = 0;
  LoadReport load;
};
struct StreamStarted {
  RequestId part = 0;
  int attempt = 0;
  ServerId server = 0;
  double elapsed_ms = 0;
};
struct QueryWithdrawn {
  RequestId id = 0;
};
struct TimerFired {
  std::string token;
};
struct PeerMessage {
  int from = 0;
  std::string data;
};
using Event = std::variant<ServerListReceived, QueryArrived, PartArrived, AttemptEnded, ProbeEnded,
                           StreamStarted, QueryWithdrawn, TimerFired, PeerMessage>;

// Actions.
struct Send {
  RequestId part = 0;
  ServerId server = 0;
  double timeout_at_ms = 0;
};
struct Cancel {
  RequestId part = 0;
  int attempt = 0;
};
struct Answer {
  RequestId query = 0;
  bool complete = false;
};
struct Refuse {
  RequestId query = 0;
  double retry_after_ms = 0;
  // "late", "holders" (too few sound ones of its shards), "share" (its tenant is over its own), "load", or
  // "given_up" (after it was begun).
  const char* reason = "";
};
struct Fail {
  RequestId query = 0;
};
struct SetTimer {
  double delay_ms = 0;
  std::string token;
};
struct Subscribe {};
struct FetchList {};
struct Probe {
  ServerId server = 0;
};
struct CloseIdle {
  ServerId server = 0;
};
struct SendToPeer {
  int to = -1;  // -1: all
  std::string data;
};
// `about`: a server that is suspected of hanging from here on, or no longer; 0: it says nothing of one.
struct Log {
  std::string text;
  ServerId server = 0;
  bool hung = false;
};
using Action = std::variant<Send, Cancel, Answer, Refuse, Fail, SetTimer, Subscribe, FetchList, Probe,
                            CloseIdle, SendToPeer, Log>;

class Balancer {
 public:
  // Null with one line in `error` if the settings make no sense.
  static std::unique_ptr<Balancer> create(const Settings& settings, std::uint64_t seed, std::string& error);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Feeds one batch of events that all happened at `now_ms` and appends the actions to take, in
  // order. False with one line in `error` if the module itself failed.
  bool step(double now_ms, const std::vector<Event>& events, std::vector<Action>& actions,
            std::string& error);

 private:
  class Impl;
  explicit Balancer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace cottonbay
