// SPDX-License-Identifier: MIT
// Runs the decision module: collects its events, steps it once per tick and executes its actions. Also the
// only place that converts between the program's clock and the module's milliseconds.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>
#include <variant>

#include "kelpdeal/broker.h"

namespace kelpdeal {

using cottonbay::RequestId;

// Events that the coroutine of a query (Broker::serve) receives.
struct SendChosen {
  int step = 0;
  std::size_t part = 0;  // index in the current step
  NodeId node = 0;
  AttemptId attempt = 0;
  TimePoint until, begin_by = kNever;
};
struct AnswerChosen {
  bool whole = false;
};
struct RefuseChosen {
  Duration retry_after{};
  std::string reason;  // from the module: "load", "share", "holders", "late", "given_up"
};
struct FailChosen {};
struct PartReceived {
  int step = 0;
  std::size_t part = 0;
  double score = 0;
  std::string value;
  bool value_dropped = false;
};
struct ClientDisconnected {};
using QueryEvent =
    std::variant<SendChosen, AnswerChosen, RefuseChosen, FailChosen, PartReceived, ClientDisconnected>;
using QueryEvents = Mailbox<QueryEvent>;

// Connects the broker's queries, the node transport and the directory with the decision module.
class Driver {
 public:
  Driver(Scheduler& scheduler, const cottonbay::Settings& settings, const Limits& limits, std::uint64_t seed,
         Metrics& metrics);

  void start(NodeTransport& transport, Directory& directory, const NodeList& known);

  // Announces a query and the parts of its first step. Its events go to `query_events` until release_query().
  RequestId query_arrived(const QueryRequest& request, const cottonbay::ClassSettings& class_settings,
                          QueryEvents& query_events);
  void parts_arrived(RequestId query, const std::vector<PartRequest>& parts, QueryEvents& query_events);
  void withdraw(RequestId query);
  void release_query(RequestId query);

  // Queues an attempt that a query has prepared; it is sent with the other attempts of this tick.
  void dispatch(NodeId node, Attempt attempt);

  void attempt_ended(AttemptId attempt, AttemptResult result);
  void probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load);
  void nodes_listed(const NodeList& list, cottonbay::ListKind kind);
  void list_failed();
  void set_health_exchange(NodeHealthExchange& exchange) { health_exchange_ = &exchange; }
  void suspect_node(const std::string& uid, std::int64_t boot_ms);
  std::vector<NodeEntry> nodes() const;
  // Nodes that operators have taken offline: the module sees them as draining, whatever the list says, until
  // they leave the set.
  void set_offline_nodes(const std::set<std::string, std::less<>>& offline);
  bool has_node(std::string_view uid) const { return nodes_.find(std::string(uid)) != nodes_.end(); }

 private:
  struct QueryRecord {
    QueryEvents* events = nullptr;
    TimePoint expires;
    int step = 0;
    std::vector<RequestId> parts;
    PartSink* sink = nullptr;
    // Keyed classes: a part that may have been executed may be repeated within this time.
    Duration dedup_window = Duration::max();
    TimePoint second_step_started{};  // when the first call of the second step was sent
  };
  struct PartRecord {
    RequestId query = 0;
    int step = 0;
    int shard = 0;
    std::size_t index = 0;
    std::vector<AttemptId> attempts;
    bool received = false;
    TimePoint first_execution =
        kNever;  // send time of the earliest ended attempt that may have been executed
  };
  struct AttemptRecord {
    RequestId part = 0;
    int number = 0;
    NodeId node = 0;
    TimePoint sent_at;
    Timer timer;
    bool in_transport = false;  // handed to the transport
  };
  Task<void> run_ticks();
  void queue_event(cottonbay::Event event);
  void run_guarded(void (Driver::*step)());
  void process_events();
  void flush_outbox();
  TimePoint send_time(const std::vector<Attempt>& call, TimePoint now);
  void send_call(NodeId node, std::vector<Attempt> call);
  void end_attempt(AttemptId id, AttemptResult result);
  void erase_parts(QueryRecord& record);
  TimePoint latest_start(const PartRecord& part, const QueryRecord& query) const;
  void cancel_unsent_to(const std::set<NodeId>& nodes);
  void cancel_if_unsent(AttemptId id);
  void act(const cottonbay::Send& action);
  void act(const cottonbay::Cancel& action);
  void act(const cottonbay::Answer& action);
  void act(const cottonbay::Refuse& action);
  void act(const cottonbay::Fail& action);
  void act(const cottonbay::SetTimer& action);
  void act(const cottonbay::Subscribe& action);
  void act(const cottonbay::FetchList& action);
  void act(const cottonbay::Probe& action);
  void act(const cottonbay::CloseIdle& action);
  void act(const cottonbay::SendToPeer& action);
  void act(const cottonbay::Log& action);
  void post(RequestId query, QueryEvent event);

  double to_ms(TimePoint time) const;
  TimePoint from_ms(double ms) const;
  double to_ms(std::chrono::system_clock::time_point time) const;

  Scheduler& scheduler_;
  const cottonbay::Settings& settings_;
  const Limits& limits_;
  Metrics& metrics_;
  std::unique_ptr<cottonbay::Balancer> balancer_;
  NodeTransport* transport_ = nullptr;
  Directory* directory_ = nullptr;
  NodeHealthExchange* health_exchange_ = nullptr;
  std::set<NodeId> peer_suspected_;  // suspected by other coordinators; passed to the module in the next tick

  const TimePoint started_;
  const std::chrono::system_clock::time_point started_wall_;
  TimePoint now_, last_tick_;
  Parker pending_;
  std::vector<cottonbay::Event> events_;
  struct NodeRecord {
    NodeId id = 0;
    TimePoint unlisted_at = kNever;
    NodeEntry entry;
  };
  // The entry as the module is to see it: a node that is offline appears as draining.
  cottonbay::ServerEntry entry_of(const NodeRecord& record) const;
  std::unordered_map<std::string, NodeRecord> nodes_;  // by uid
  std::set<std::string, std::less<>> offline_;         // uids that operators have taken offline
  std::unordered_map<RequestId, QueryRecord> queries_;
  std::vector<RequestId> released_;  // ended queries; their records are kept until the next tick
  std::unordered_map<RequestId, PartRecord> parts_;
  std::unordered_map<AttemptId, AttemptRecord> attempts_;
  std::vector<std::pair<NodeId, std::vector<Attempt>>> outbox_;  // by node, in order of first use
  std::unordered_map<std::uint64_t, Timer> timers_;
  std::unordered_map<std::uint64_t, Timer> delayed_calls_;
  std::uint64_t next_id_ = 0, next_attempt_ = 0, next_timer_ = 0;
  NodeId next_node_ = 0;
};

}  // namespace kelpdeal
