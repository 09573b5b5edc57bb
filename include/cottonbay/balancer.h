// SPDX-License-Identifier: MIT
// Public interface of cottonbay, the decision module of the coordinator: the settings of a Balancer, the
// events that it is fed and the actions that it returns. The decisions themselves are in src/balance.cpp.
// Times are in milliseconds on the caller's monotonic clock, whose origin is arbitrary.
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

// Whether a part may be executed twice: any time; within the deduplication window; never.
enum class Effect { idempotent, deduplicated, at_most_once };
// How an attempt ended. `full`: the server rejected it without running it. `not_sent`: it never left.
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, not_sent };
enum class ServerState { serving, draining, removed };
// Kind of a server list: changes to the last one, the complete list, a complete list saved by an earlier run,
// a failed request for the list.
enum class ListKind { changes, complete, saved, failed };

// A class of queries. Fractions of an answer refer to the weight of the answered parts.
struct ClassSettings {
  std::string name;
  double slo_ms = 0;           // an answer within this time has its full value
  double deadline_ms = 0;      // how long the client waits in total, over all its tries
  double dedup_window_ms = 0;  // deduplicated classes: servers drop repeats for this long
  Effect effect = Effect::at_most_once;
  bool streamed = false;
  double value = 0;                   // of a complete answer
  double late_value_fraction = 0;     // fraction of the value earned between SLO and deadline
  double complete_fraction = 1;       // fraction of the weight from which an answer is complete
  double min_fraction = 1;            // fraction of the weight that an answer needs at least
  double partial_value_fraction = 0;  // a partial answer earns this times its fraction / complete_fraction
  int second_step_parts = 0;          // parts of a second step; 0: there is none
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // requests per second over all coordinators
  double share = 0;        // its share of all parts
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::string zone;
  int coordinators = 1;  // number of coordinators that share the servers
  int coordinator_index = 0;
  double tick_ms = 0;  // timer resolution
  // Servers of the cells (s + 0 .. cells_per_shard - 1) mod cells hold shard s.
  int shards = 0, cells = 0, cells_per_shard = 1;
  int parts_per_call = 1;
  double call_cost_ms = 0;
  bool may_probe = false, may_cancel = false, may_hedge = false, may_advise_retry = false;
  bool list_on_request = false;  // the server list is sent only on a subscription or a request
  bool value_per_part = false;   // ClassSettings::value is per unit of work (part), not per query
  bool retries_marked = false;   // clients mark their retries (QueryArrived::is_retry)
  int max_attempts = 1;          // per part
  int max_open = 0;              // queries and parts held at once
  double max_retry_after_ms = 0;
  double connect_timeout_ms = 0;
  double over_share_value_factor = 1;  // factor on the value of a query whose tenant is over its share
  double late_failure_cost = 0;
  double answer_slack_ms = 0, drain_grace_ms = 0;
  double list_request_interval_ms = 0;  // a server list has to be requested at least this often
  // A (re)started server begins with cold_capacity of its capacity and has all of it after warm_up_ms.
  double cold_capacity = 1, warm_up_ms = 0;
  // More than overload_factor times its capacity for overload_window_ms overloads a server.
  double overload_factor = 0, overload_window_ms = 0;
  // Retry budget: the attempts beyond the first of each part. Within the window, they are limited to the
  // minimum plus the ratio times the parts.
  bool retry_budget_limited = false;
  double retry_budget_min = 0, retry_budget_ratio = 0, retry_budget_window_ms = 0;
};

using LoadReport = std::vector<std::pair<std::string, double>>;

struct ServerEntry {
  ServerId id = 0;
  double started_ms = 0;  // 0: unknown, long ago
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
// The parts of the query follow in the same batch.
struct QueryArrived {
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
  std::uint64_t query_number = 0;  // of the query it belongs to
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
  // With Outcome::error: the server answered, but its value does not fit this one request. That says nothing
  // of the server's health: other requests must not be kept from it.
  bool value_unusable = false;
};
// Result of a probe. Also used to pass on reports of other coordinators that a server hangs (`timeout`); they
// are ignored while the server answers this coordinator.
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
// Answers the query with the parts received so far.
struct Answer {
  RequestId query = 0;
  bool complete = false;
};
// Rejects the query; a retry by the client is harmless.
struct Refuse {
  RequestId query = 0;
  double retry_after_ms = 0;
  // "late": the SLO has passed and a late answer has no value; "holders": too few healthy holders of its
  // shards; "share": its tenant is over its share; "load": the servers are overloaded; "given_up": it was
  // begun, but cannot be answered in time.
  const char* reason = "";
};
// Ends the query with an error; some of its parts may have run.
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
// Sends a message to another coordinator.
struct SendToPeer {
  int to = -1;  // -1: all
  std::string data;
};
// A log line. `server`: the server that is suspected from now on, or no longer; 0: the line is not about a
// server. `hung`: it is suspected of hanging.
struct Log {
  std::string text;
  ServerId server = 0;
  bool hung = false;
};
using Action = std::variant<Send, Cancel, Answer, Refuse, Fail, SetTimer, Subscribe, FetchList, Probe,
                            CloseIdle, SendToPeer, Log>;

class Balancer {
 public:
  // Returns null and sets `error` to one line if the settings are invalid.
  static std::unique_ptr<Balancer> create(const Settings& settings, std::uint64_t seed, std::string& error);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Processes a batch of events that all happened at `now_ms` and appends the resulting actions, in order.
  // Returns false and sets `error` to one line on an internal failure.
  bool step(double now_ms, const std::vector<Event>& events, std::vector<Action>& actions,
            std::string& error);

 private:
  class Impl;
  explicit Balancer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace cottonbay
