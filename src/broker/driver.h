// SPDX-License-Identifier: MIT
// Owns the decision module: batches its events by tick, routes its actions, and is the one place where the
// program's clock meets the module's milliseconds.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>
#include <variant>

#include "kelpdeal/broker.h"

namespace kelpdeal {

using cottonbay::RequestId;

// What reaches the life of a request.
struct SendChosen {
  int step = 0;
  std::size_t part = 0;  // its place in the present step
  NodeId node = 0;
  AttemptId attempt = 0;
  TimePoint until, begin_by = kNever;
};
struct AnswerChosen {
  bool whole = false;
};
struct RefuseChosen {
  Duration retry_after{};
  std::string reason;  // the module's reason: "load", "share", "holders", "late", "given_up"
};
struct FailChosen {};
struct PartIn {
  int step = 0;
  std::size_t part = 0;
  double score = 0;
  std::string value;
};
struct ClientLeft {};
using Choice = std::variant<SendChosen, AnswerChosen, RefuseChosen, FailChosen, PartIn, ClientLeft>;
using Choices = Mailbox<Choice>;

class Driver {
 public:
  Driver(Scheduler& scheduler, const cottonbay::Settings& settings, const Limits& limits, std::uint64_t seed,
         Metrics& metrics);

  void start(NodeTransport& transport, Directory& directory, const NodeList& known);

  // A query and the parts of its step. The choices about them go to `choices` until forget().
  RequestId query_arrived(const QueryRequest& request, const cottonbay::ClassSettings& cls, Choices& choices);
  void parts_arrived(RequestId query, const std::vector<PartRequest>& parts, Choices& choices);
  void withdraw(RequestId query);
  void forget(RequestId query);

  // An attempt that a life has put together; it leaves with the others of this turn.
  void dispatch(NodeId node, Attempt attempt);

  void attempt_ended(AttemptId attempt, AttemptResult result);
  void probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load);
  void nodes_listed(const NodeList& list, cottonbay::ListKind kind);
  void list_failed();
  void set_health_exchange(NodeHealthExchange& beliefs) { health_exchange_ = &beliefs; }
  void suspect_node(const std::string& uid, std::int64_t boot_ms);
  std::vector<NodeEntry> nodes() const;
  // Nodes out by hand: whatever the list says, the module sees them draining until they are back.
  void set_offline_nodes(const std::set<std::string, std::less<>>& out);
  bool has_node(std::string_view uid) const { return nodes_.find(std::string(uid)) != nodes_.end(); }

 private:
  struct QueryRecord {
    Choices* choices = nullptr;
    TimePoint expires;
    int step = 0;
    std::vector<RequestId> parts;
    PartSink* sink = nullptr;
    Duration window = Duration::max();  // of a keyed class, in which a part that may have run may be repeated
    TimePoint second_begun{};           // when the first call of its second step left
  };
  struct PartRecord {
    RequestId query = 0;
    int step = 0;
    int shard = 0;
    std::size_t place = 0;
    std::vector<AttemptId> attempts;
    bool in = false;
    TimePoint ran_at = kNever;  // when the first attempt left that has ended and may have run
  };
  struct AttemptRecord {
    RequestId part = 0;
    int number = 0;
    NodeId node = 0;
    TimePoint sent;
    Timer timer;
    bool sent_on = false;  // handed to the transport
  };
  Task<void> turns();
  void tell(cottonbay::Event event);
  void guarded(void (Driver::*step)());
  void take_turn();
  void flush();
  TimePoint leaves_at(const std::vector<Attempt>& call, TimePoint now);
  void leave(NodeId node, std::vector<Attempt> call);
  void end_attempt(AttemptId id, AttemptResult result);
  void forget_parts(QueryRecord& record);
  TimePoint begin_by(const PartRecord& part, const QueryRecord& query) const;
  void take_back_from(const std::set<NodeId>& nodes);
  void take_back(AttemptId id);
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
  void act(const cottonbay::Tell& action);
  void act(const cottonbay::Log& action);
  void choose(RequestId query, Choice choice);

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
  std::set<NodeId> peer_suspected_;  // nodes that others say hang, told to the module for its next turn

  const TimePoint started_;
  const std::chrono::system_clock::time_point started_wall_;
  TimePoint now_, last_turn_;
  Parker pending_;
  std::vector<cottonbay::Event> events_;
  struct NodeRecord {
    NodeId id = 0;
    TimePoint left = kNever;  // the list
    NodeEntry entry;
  };
  // As the module is to see it: a node out by hand drains.
  cottonbay::ServerEntry entry_of(const NodeRecord& record) const;
  std::unordered_map<std::string, NodeRecord> nodes_;  // by uid
  std::set<std::string, std::less<>> out_;             // by hand
  std::unordered_map<RequestId, QueryRecord> queries_;
  std::vector<RequestId> leaving_;  // their lives are over; kept until the module has had a turn
  std::unordered_map<RequestId, PartRecord> parts_;
  std::unordered_map<AttemptId, AttemptRecord> attempts_;
  std::vector<std::pair<NodeId, std::vector<Attempt>>> outbox_;  // by node, in the order first sent to
  std::unordered_map<std::uint64_t, Timer> timers_;
  std::unordered_map<std::uint64_t, Timer> waiting_;  // calls that leave a little later
  std::uint64_t next_id_ = 0, next_attempt_ = 0, next_timer_ = 0;
  NodeId next_node_ = 0;
};

}  // namespace kelpdeal
