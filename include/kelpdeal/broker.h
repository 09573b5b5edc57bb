// SPDX-License-Identifier: MIT
// The core: requests, attempts and outcomes, and no wire. A front hands it requests; it asks the decision
// module (cottonbay) what to do, has a node transport carry the attempts, and gives each request one final
// reply.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "cottonbay/balancer.h"
#include "kelpdeal/config.h"
#include "kelpdeal/limits.h"
#include "kelpdeal/metrics.h"
#include "kelpdeal/part_sink.h"
#include "kelpdeal/phases/margin.h"
#include "kelpdeal/scheduler.h"
#include "kelpdeal/task.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

using AttemptId = std::uint64_t;
using NodeId = cottonbay::ServerId;
using cottonbay::Outcome;

struct PartRequest {
  int shard = 0;
  double weight = 0;
  std::optional<Duration> cost_hint;
  std::shared_ptr<const std::string> text{};  // for this part alone; null: the request's
};

struct QueryRequest {
  std::string id, class_name;
  std::string key;       // the idempotency key of a keyed class
  std::string tenant{};  // as in the settings; empty or unknown: of none, and over no share
  std::string text;      // handed to every node unchanged
  bool repeat = false;
  TimePoint expires;  // when the client has to have the whole answer
  std::vector<PartRequest> parts;
  bool operation = false;    // the text is a line that says what to do, and the document
  bool keep_first = false;   // a first step's answer goes out, as a partial one, if the second brings none
  PartSink* sink = nullptr;  // gets the values as they come in, and then the reply holds none
};

// One try of one part at one node.
struct Attempt {
  AttemptId id = 0;
  std::string query, class_name, key, text;
  int shard = 0;
  TimePoint until;
  bool operation = false;  // as in the request
  // The second step of a query: which shards were in after the first, and whether that one was whole.
  bool second_step = false, first_step_whole = false;
  std::vector<int> first_step_shards;
  // Not to be begun later: a repeat within a keyed class's window that waits for its connection past the
  // window's end would run a second time.
  TimePoint begin_by = kNever;
};

struct AttemptResult {
  Outcome outcome = Outcome::moot;
  double score = 0;
  std::string value;
  cottonbay::LoadReport load;
};

struct Reply {
  enum class Kind { answered, refused, failed, rejected };  // rejected: the request itself is at fault
  struct Item {
    int shard = 0;
    double score = 0;
    std::string value;
  };
  Kind kind = Kind::failed;
  bool whole = false;
  std::vector<Item> items;     // of the last step
  std::vector<int> requested;  // the shards of the first step
  std::vector<int> missing;    // those of them that are not in, or not in at the second step
  Duration retry_after{};      // of a refusal; 0: no advice
  TimePoint decided_at{};      // when it was
  std::string reason;          // of a refusal or failure, one word: "overload", "deadline", ...
};

// Carries attempts to nodes. It reports the end of each attempt exactly once, unless it was given up.
class NodeTransport {
 public:
  enum class GiveUpReason { cancelled, timed_out };
  virtual ~NodeTransport() = default;
  virtual void update_node(NodeId node, const NodeEntry& entry) = 0;
  virtual void send(NodeId node, std::vector<Attempt> call) = 0;
  virtual void give_up(AttemptId attempt, GiveUpReason why) = 0;
  // True if nothing of the attempt has been written yet: it never will be, and its end is not reported.
  virtual bool cancel_unsent(AttemptId attempt) = 0;
  virtual void probe(NodeId node) = 0;
  virtual void close_idle(NodeId node) = 0;
  // The node is gone from the list for good: nothing new goes to it, and nothing of it is kept once what is
  // out has ended.
  virtual void remove_node(NodeId node) = 0;
};

class AttemptSink {
 public:
  virtual ~AttemptSink() = default;
  virtual void attempt_ended(AttemptId attempt, AttemptResult result) = 0;
  virtual void probe_ended(NodeId node, Outcome outcome, Duration elapsed, cottonbay::LoadReport load) = 0;
};

// Where the list of nodes comes from.
class Directory {
 public:
  virtual ~Directory() = default;
  virtual void subscribe() = 0;
  virtual void fetch() = 0;
};

class DirectorySink {
 public:
  virtual ~DirectorySink() = default;
  virtual void nodes_listed(const NodeList& list) = 0;
  virtual void list_failed() = 0;
};

// The client's end of a request: whoever serves the connection says so once the client has left.
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

// Where the settings of an installation hold keyed operations in common: asked before the first attempt, told
// after the last.
class KeyedOperations {
 public:
  struct Grant {
    bool granted = false;
    int max_attempts = 0;           // for each part, at the most
    TimePoint send_until = kNever;  // a repeat after that may run a second time
    Duration retry_after{};         // where it does not go
    std::string reason;
  };
  virtual ~KeyedOperations() = default;
  // `cap`: attempts for each part that the settings allow.
  virtual Task<Grant> begin(std::string class_name, std::string key, Duration window, int cap,
                            TimePoint until) = 0;
  // `made`: attempts for the part that had most; `first`: when the first was sent.
  virtual void end(const std::string& class_name, const std::string& key, Duration window, int made,
                   TimePoint first, bool done) = 0;
};

// Where coordinators tell each other which record nodes hang. What is said is advice.
class NodeHealthExchange {
 public:
  virtual ~NodeHealthExchange() = default;
  // This coordinator has found out that the node hangs, or that it answers again. `boot_ms`: which start of
  // it.
  virtual void report_node_health(const std::string& uid, std::int64_t boot_ms, bool hangs) = 0;
};

class Driver;

// The ids of queries that are open or whose client still waits: a new query has a new one.
class RecentQueryIds {
 public:
  explicit RecentQueryIds(std::size_t capacity) : capacity_(capacity) {}
  // False if it is in use.
  bool claim(const std::string& id, TimePoint until, TimePoint now);

 private:
  std::size_t capacity_;
  std::unordered_set<std::string> ids_;
  std::set<std::pair<TimePoint, std::string>> ends_;
};

class Broker : public AttemptSink, public DirectorySink {
 public:
  // Throws ConfigError if the module does not take the settings.
  Broker(Scheduler& scheduler, const Config& config, Metrics& metrics);
  ~Broker() override;

  // Both must outlive the broker's use of them; start() hands the module its first list.
  void start(NodeTransport& transport, Directory& directory, const NodeList& known);
  // Must outlive the broker's use of it.
  void set_keyed_operations(KeyedOperations& keyed) { keyed_ = &keyed; }
  void set_health_exchange(NodeHealthExchange& beliefs);
  // Others say that this start of the node hangs.
  void suspect_node(const std::string& uid, std::int64_t boot_ms);

  // The life of one request, up to its one final reply.
  Task<Reply> serve(QueryRequest request, CancellationToken& caller);

  const cottonbay::Settings& settings() const { return settings_; }
  const cottonbay::ClassSettings* find_class(std::string_view name) const;
  std::size_t open_count() const { return open_; }
  // The nodes listed now, those that drain included.
  std::vector<NodeEntry> nodes() const;
  // Data nodes out by hand (by uid): nothing new goes to them, whatever the list says, until they leave the
  // set. known() tells whether discovery or the configuration has listed a node of that uid.
  void set_offline_nodes(const std::set<std::string, std::less<>>& out);
  bool has_node(std::string_view uid) const;
  // A front tells how long it took to put an answer together and out.
  void reply_sent(const Reply& reply) { margin_.observe(Clock::now() - reply.decided_at); }
  // Whatever comes from now on has its reply by then.
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
  std::unique_ptr<Driver> driver_;
  RecentQueryIds used_;
  TimePoint latest_expiry_ = kNever;
  phases::MarginEstimator margin_;
  KeyedOperations* keyed_ = nullptr;
  std::size_t open_ = 0;  // queries and parts held
};

}  // namespace kelpdeal
