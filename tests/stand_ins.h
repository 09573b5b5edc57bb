// SPDX-License-Identifier: MIT
// Fakes of the services around a coordinator, on the test's own scheduler and on ephemeral loopback ports:
// record nodes that speak frames or the OpenSearch-style API, discovery, and clients of both fronts.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kelpdeal/frames.h"
#include "kelpdeal/gateway.h"
#include "kelpdeal/http.h"
#include "kelpdeal/json.h"
#include "kelpdeal/socket.h"

namespace kelpdeal::test {

enum class Api { platform, opensearch };

// Names a parameterized test after the API of its nodes.
inline std::string node_api_name(const testing::TestParamInfo<Api>& info) {
  return info.param == Api::platform ? "Frames" : "OverTheApi";
}

// A part as received by a fake node.
struct ReceivedPart {
  std::string id, key, text, from, whole, class_name;
  int shard = 0;
  std::int64_t timeout_ms = 0;
  std::size_t call_number = 0;  // parts of one call have the same number
  TimePoint received_at;
};

// How a fake node responds to a part.
struct NodeReply {
  enum class Kind { serve, error, busy, silent, reset };
  Kind kind = Kind::serve;
  double score = 1;
  Duration delay{};
  std::function<std::string(const std::string&)> corrupt{};  // maps the correct bytes to those that are sent
  std::string value{};  // replaces the default hits: the value in a frame, or the answer in the API
};

class FakeNode {
 public:
  FakeNode(Scheduler& scheduler, Api api);
  std::function<NodeReply(const ReceivedPart&)> on_part = [](const ReceivedPart&) { return NodeReply{}; };
  std::vector<ReceivedPart> received;
  // Ids of the parts that the coordinator cancelled: by a cancel frame, or by closing the request's
  // connection.
  std::vector<std::string> cancelled_ids;
  std::size_t connections = 0, connections_closed = 0;  // accepted so far; closed of those
  // If true, the answers of a multi-search are written one by one, each after its own delay; otherwise
  // together, after the longest delay.
  bool stream_replies = false;
  std::string report{};  // load report in each answer frame
  std::string address() const { return listener_.address().text(); }
  // Closes the listener. Its port stays bound: another process that got the port would accept the parts.
  void refuse_connections();
  std::size_t received_for_shard(int shard) const;

 private:
  using ConnectionPtr = std::shared_ptr<Stream>;
  Task<void> accept_all();
  Task<void> serve(ConnectionPtr connection);
  Task<void> serve_frames(ConnectionPtr connection);
  Task<void> serve_http(ConnectionPtr connection);
  using Answers = Mailbox<std::optional<std::string>>;  // empty: the connection has ended
  Task<void> write_answers(ConnectionPtr connection, std::shared_ptr<Answers> answers);
  Task<void> answer_frame(ConnectionPtr connection, std::shared_ptr<Answers> answers, ReceivedPart part);
  std::vector<ReceivedPart> parts_of(const http::Request& request);
  Task<bool> stream_multi_search(ConnectionPtr connection, std::vector<ReceivedPart> parts);
  static json::Value body_for(const ReceivedPart& part, const NodeReply& answer);
  Task<http::Response> answer_http(const http::Request& request, const std::vector<ReceivedPart>& parts,
                                   NodeReply& first, bool& reset, bool& silent);
  Scheduler& scheduler_;
  Api api_;
  Listener listener_;
  Descriptor reserved_port_;  // after refuse_connections()
  std::size_t calls_ = 0;
};

class FakeDiscovery {
 public:
  explicit FakeDiscovery(Scheduler& scheduler);
  void set(const std::string& uid, const std::string& endpoint, int cell, const std::string& state,
           std::int64_t boot_ms = 0);
  bool failing = false, silent = false;                      // answers 503; does not answer
  bool long_polling = true;                                  // a watch waits until there is a change
  std::function<std::string(const std::string&)> corrupt{};  // maps the correct body to the one that is sent
  std::vector<TimePoint> call_times, answer_times;
  std::vector<std::string> call_targets;
  std::string address() const { return listener_.address().text(); }
  // The body of an answer: every target, or those that changed after a version.
  std::string list(bool complete, std::uint64_t after_version) const;

 private:
  struct Target {
    json::Value entry;
    std::uint64_t version = 0;
  };
  Task<void> accept_all();
  Task<void> serve(std::shared_ptr<Stream> stream);
  Scheduler& scheduler_;
  Listener listener_;
  std::map<std::string, Target> targets_;
  std::uint64_t version_ = 1;
};

// Runs the scheduler until the task has finished; fails the test if that takes longer than `timeout`.
void run_to_end(Scheduler& scheduler, Task<void> task, Duration timeout);

// The outcome of a query as a client sees it, independent of the front.
struct QueryResult {
  std::string kind;  // "answered", "refused", "failed" or "bad"
  bool whole = false;
  std::set<std::string> hits;
  bool operator==(const QueryResult&) const = default;
};

struct ClusterOptions {
  Api front = Api::platform;
  Api nodes = Api::platform;
  int node_count = 3;
  int shards = 6;
  int open_cap = 0;
  int watch_wait_ms = 20'000;
  // Deployment variants. pushed: discovery is an agent to which the list is pushed, with a grace period of
  // 500 ms for drains. sets: nodes i and i + node_count / 2 hold the same shards; otherwise neighbours share
  // them. reports: nodes report their load. tenants: the settings define two tenants.
  bool pushed = false, sets = false, reports = false, tenants = false;
  bool keyed = true;  // if false, all classes are idempotent and none has a second step
  std::function<void(Limits&)> adjust{};
  std::vector<std::pair<std::string, std::string>>
      settings{};  // replacements in the text of GW_CONFIG: old, new
};

// A coordinator with its fake nodes and discovery, in one thread. Shard s is held by the nodes s and s + 1
// (mod node_count), or, with `sets`, by the nodes of cell s (mod the number of sets).
class TestCluster {
 public:
  explicit TestCluster(ClusterOptions options);
  ~TestCluster();

  Scheduler scheduler;
  ClusterOptions options;
  std::vector<std::unique_ptr<FakeNode>> nodes;
  std::unique_ptr<FakeDiscovery> discovery;
  std::unique_ptr<Gateway> gateway;

  // The text of GW_CONFIG.
  std::string config_text() const;
  int cells() const { return options.sets ? options.node_count / 2 : options.node_count; }
  int reach() const { return options.sets ? 1 : std::min(2, options.node_count); }
  bool holds(int node, int shard) const;
  // Starts the coordinator. Without a contract, the search front has one index per class and slice.
  void start();
  void start(const FrontContract& contract);
  // Runs until the task has finished; fails the test if that takes longer than `timeout`.
  void run(Task<void> task, Duration timeout = std::chrono::seconds(20));
  std::string front_address() const;  // of the front selected by the options
  Task<http::Response> send(std::string address, http::Request request);
  // `slices`: "0,1,2".
  Task<QueryResult> ask(std::string class_name, std::string slices, Duration budget, std::string key = "k1");
  Task<void> pause(Duration span) { return scheduler.sleep_until(Clock::now() + span); }
  http::Request request(const std::string& class_name, const std::string& slices, Duration budget,
                        const std::string& key);
  std::size_t parts_received() const;

 private:
  std::uint64_t next_id_ = 0;
};

std::string header_of(const http::Response& response, const char* name);
json::Value body_of(const http::Response& response);

}  // namespace kelpdeal::test
