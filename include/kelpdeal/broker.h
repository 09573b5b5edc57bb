// SPDX-License-Identifier: MIT
// The broker: requests, attempts and outcomes, independent of any wire protocol. A front passes requests in.
// For each request the broker asks the decision module (cottonbay) what to do, sends the attempts through a
// node transport, and returns exactly one final reply.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cottonbay/balancer.h"
#include "kelpdeal/admission/memory_account.h"
#include "kelpdeal/config.h"
#include "kelpdeal/limits.h"
#include "kelpdeal/metrics.h"
#include "kelpdeal/part_sink.h"
#include "kelpdeal/phases/margin.h"
#include "kelpdeal/query_ids.h"
#include "kelpdeal/scheduler.h"
#include "kelpdeal/shared_text.h"
#include "kelpdeal/task.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

using AttemptId = std::uint64_t;
using NodeId = cottonbay::ServerId;
using cottonbay::Outcome;

// One part of a query: the share of the work that concerns one slice of the data.
struct PartRequest {
  int shard = 0;
  double weight = 0;
  std::optional<Duration> cost_hint;
  std::shared_ptr<const std::string> text{};  // query text of this part only; null: the request's text
};

// A client's request as a front passes it to the broker.
struct QueryRequest {
  std::string id, class_name;
  std::string key;            // idempotency key, for keyed classes
  std::string document_id{};  // name under which a node with an API stores the text; empty: the key
  std::string tenant{};  // a tenant name from the settings; empty or unknown: no tenant, never over its share
  SharedText text;       // forwarded to every node unchanged
  bool repeat = false;   // the client marked this request as a retry
  TimePoint expires;     // the client must have the complete answer by then
  std::vector<PartRequest> parts;
  bool operation = false;    // the text is a header line with the operation, followed by the document
  bool keep_first = false;   // if the second step fails, answer with the first step's result, as partial
  PartSink* sink = nullptr;  // receives the values as they arrive; the reply then contains none
};

// One attempt to get one part from one node.
struct Attempt {
  AttemptId id = 0;
  std::string query, class_name, key;
  SharedText text;
  int shard = 0;
  TimePoint until;
  bool operation = false;  // as in the request
  // Set in the second step of a query: the shards received in the first step, and whether that step was
  // whole.
  bool second_step = false, first_step_whole = false;
  std::vector<int> first_step_shards;
  // The attempt must not start after this time. A retry within a keyed class's deduplication window that
  // waits for a connection until the window has ended would be executed a second time.
  TimePoint begin_by = kNever;
  // Identifies the query within this process; `query` is its client's id, which another query may bear later.
  cottonbay::RequestId query_number = 0;
  std::string document_id{};  // as in the request
};

// How an attempt ended and, if it succeeded, the node's value.
struct AttemptResult {
  Outcome outcome = Outcome::not_sent;
  double score = 0;
  std::string value;
  cottonbay::LoadReport load;
  bool value_dropped = false;  // the node answered, but there was no memory for the value
};

// The final reply to a request.
struct Reply {
  enum class Kind { answered, refused, failed, rejected };  // rejected: the request itself is invalid
  struct Item {
    int shard = 0;
    double score = 0;
    std::string value;
  };
  Kind kind = Kind::failed;
  bool whole = false;
  std::vector<Item> items;     // results of the last step
  std::vector<int> requested;  // shards requested in the first step
  std::vector<int> missing;    // requested shards without a result in the first or in the second step
  Duration retry_after{};      // for a refusal; 0: no advice
  TimePoint decided_at{};      // when the answer was decided
  std::string reason;          // of a refusal or failure, one word: "overload", "deadline", ...
  admission::Charge memory;    // of the values
};

// Sends attempts to nodes. Reports the end of each attempt exactly once, unless it was given up.
class NodeTransport {
 public:
  enum class GiveUpReason { cancelled, timed_out };
  virtual ~NodeTransport() = default;
  // Adds a node or updates its entry.
  virtual void update_node(NodeId node, const NodeEntry& entry) = 0;
  virtual void send(NodeId node, std::vector<Attempt> call) = 0;
  // Abandons the attempt: its end is not reported.
  virtual void give_up(AttemptId attempt, GiveUpReason reason) = 0;
  // Returns true if nothing of the attempt has been written yet. It is then never written, and its end is not
  // reported.
  virtual bool cancel_unsent(AttemptId attempt) = 0;
  virtual void probe(NodeId node) = 0;
  virtual void close_idle(NodeId node) = 0;
  // The node has left the list permanently: no new attempts go to it, and its state is released once the
  // outstanding attempts have ended.
  virtual void remove_node(NodeId node) = 0;
};

// Receives the ends of attempts and probes from a node transport.
class AttemptSink {
 public:
  virtual ~AttemptSink() = default;
  virtual void attempt_ended(AttemptId attempt, AttemptResult result) = 0;
  virtual void probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load) = 0;
};

// Source of the node list.
class Directory {
 public:
  virtual ~Directory() = default;
  virtual void subscribe() = 0;
  virtual void fetch() = 0;
};

// Receives node lists, complete ones or changes, and failures to get one.
class DirectorySink {
 public:
  virtual ~DirectorySink() = default;
  virtual void nodes_listed(const NodeList& list) = 0;
  virtual void list_failed() = 0;
};

// Cancels a request, for example when its client disconnects. Owned by the code that serves the connection.
class CancellationToken {
 public:
  void cancel() {
    cancelled_ = true;
    if (on_cancel) on_cancel();
  }
  bool cancelled() const { return cancelled_; }
  std::function<void()> on_cancel;

 private:
  bool cancelled_ = false;
};

// Limits keyed operations across all coordinators of a fleet. Called before the first attempt and after the
// last one.
class KeyedOperations {
 public:
  struct Grant {
    bool granted = false;
    int max_attempts = 0;           // per part
    TimePoint send_until = kNever;  // an attempt sent later may be executed a second time
    Duration retry_after{};         // when not granted
    std::string reason;             // when not granted
  };
  virtual ~KeyedOperations() = default;
  // `max_attempts`: attempts per part that the settings allow.
  virtual Task<Grant> begin(std::string class_name, std::string key, Duration window, int max_attempts,
                            TimePoint until) = 0;
  // `attempts_made`: attempts of the part that had the most; `first_sent`: when the first one was sent.
  virtual void end(const std::string& class_name, const std::string& key, Duration window, int attempts_made,
                   TimePoint first_sent, bool done) = 0;
};

// Shares with other coordinators which record nodes hang. The reports are advisory.
class NodeHealthExchange {
 public:
  virtual ~NodeHealthExchange() = default;
  // This coordinator has detected that the node hangs, or that it responds again. `boot_ms` is the node's
  // start time and identifies its incarnation.
  virtual void report_node_health(const std::string& uid, std::int64_t boot_ms, bool hangs) = 0;
};

class Driver;

// Serves requests: admits them, has the decision module choose nodes and outcomes, and merges the progress of
// their parts into one reply each.
class Broker : public AttemptSink, public DirectorySink {
 public:
  // Throws ConfigError if the decision module rejects the settings.
  Broker(Scheduler& scheduler, const Config& config, Metrics& metrics, admission::MemoryAccount& memory);
  ~Broker() override;

  // Passes the initial node list to the decision module. The transport and the directory must outlive the
  // broker.
  void start(NodeTransport& transport, Directory& directory, const NodeList& known);
  // The argument must outlive the broker.
  void set_keyed_operations(KeyedOperations& keyed) { keyed_ = &keyed; }
  void set_health_exchange(NodeHealthExchange& exchange);
  // Other coordinators suspect that this incarnation of the node hangs.
  void suspect_node(const std::string& uid, std::int64_t boot_ms);

  // Processes one request until its final reply.
  Task<Reply> serve(QueryRequest request, CancellationToken& client);

  const cottonbay::Settings& settings() const { return settings_; }
  const cottonbay::ClassSettings* find_class(std::string_view name) const;
  // Whether a request of so many bytes would be admitted now: lets a front refuse it before it is parsed.
  bool has_memory_for(std::size_t request_bytes) {
    return memory_.admits(admission::Use::accepted_requests, request_bytes);
  }
  // Queries and parts in progress.
  std::size_t open_count() const { return open_; }
  // The nodes on the current list, draining ones included.
  std::vector<NodeEntry> nodes() const;
  // Sets the record nodes (by uid) that operators have taken offline. They get no new attempts, whatever the
  // list says, until they are removed from the set.
  void set_offline_nodes(const std::set<std::string, std::less<>>& offline);
  // Whether discovery or the configuration has listed a node with this uid.
  bool has_node(std::string_view uid) const;
  // Called by a front once the answer has been assembled and sent: measures the time since its decision.
  void reply_sent(const Reply& reply) { margin_.observe(Clock::now() - reply.decided_at); }
  // Requests that arrive from now on expire at `when` at the latest.
  void limit_expiry(TimePoint when) { latest_expiry_ = when; }

  void attempt_ended(AttemptId attempt, AttemptResult result) override;
  void probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load) override;
  void nodes_listed(const NodeList& list) override;
  void list_failed() override;

 private:
  Scheduler& scheduler_;
  const cottonbay::Settings settings_;
  const Limits limits_;
  Metrics& metrics_;
  admission::MemoryAccount& memory_;
  std::unique_ptr<Driver> driver_;
  QueryIds query_ids_;
  TimePoint latest_expiry_ = kNever;
  phases::MarginEstimator margin_;
  KeyedOperations* keyed_ = nullptr;
  std::size_t open_ = 0;  // queries and parts in progress
};

}  // namespace kelpdeal
