// SPDX-License-Identifier: MIT
// Small stand-ins for what surrounds the coordinator, on the test's own scheduler and on ephemeral loopback
// ports: record nodes that speak frames or the OpenSearch-style API, discovery, and clients of both fronts.
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

// Names a test by the API of its nodes.
inline std::string node_api_name(const testing::TestParamInfo<Api>& info) {
  return info.param == Api::platform ? "Frames" : "OverTheApi";
}

// A part as a node saw it.
struct ReceivedPart {
  std::string id, key, text, from, whole, class_name;
  int shard = 0;
  std::int64_t timeout_ms = 0;
  std::size_t call_number = 0;  // which call it came with
  TimePoint received_at;
};

// What a node does with a part.
struct NodeReply {
  enum class Kind { serve, error, busy, silent, reset };
  Kind kind = Kind::serve;
  double score = 1;
  Duration delay{};
  std::function<std::string(const std::string&)> corrupt{};  // of the bytes that would be right
  std::string value{};  // in place of the usual hits: what frames carry, or the answer in the API
};

class FakeNode {
 public:
  FakeNode(Scheduler& scheduler, Api api);
  std::function<NodeReply(const ReceivedPart&)> on_part = [](const ReceivedPart&) { return NodeReply{}; };
  std::vector<ReceivedPart> received;
  std::vector<std::string>
      cancelled_ids;  // ids of frame 2; with the OpenSearch-style API, ids of a closed call
  std::size_t connections = 0, ended = 0;  // accepted so far; of them, those that were closed
  // Answers of a multi-search are written one by one, each after its own time; else together after the
  // slowest.
  bool stream_replies = false;
  std::string report{};  // of its load, in each answer's frame
  std::string address() const { return listener_.address().text(); }
  void stop() { listener_.close(); }  // new connections are refused from here on
  std::size_t received_for_shard(int shard) const;

 private:
  using Link = std::shared_ptr<Stream>;
  Task<void> accept_all();
  Task<void> serve(Link link);
  Task<void> serve_frames(Link link);
  Task<void> serve_http(Link link);
  Task<void> answer_frame(Link link, ReceivedPart part);
  std::vector<ReceivedPart> parts_of(const http::Request& request);
  Task<bool> trickle(Link link, std::vector<ReceivedPart> parts);
  static json::Value body_for(const ReceivedPart& part, const NodeReply& answer);
  Task<http::Response> answer_http(const http::Request& request, const std::vector<ReceivedPart>& parts,
                                   NodeReply& first, bool& reset, bool& silent);
  Scheduler& scheduler_;
  Api api_;
  Listener listener_;
  std::size_t calls_ = 0;
};

class FakeDiscovery {
 public:
  explicit FakeDiscovery(Scheduler& scheduler);
  void set(const std::string& uid, const std::string& endpoint, int cell, const std::string& state,
           std::int64_t boot_ms = 0);
  bool failing = false, silent = false;
  bool patient = true;                                       // a watch waits for what is new
  std::function<std::string(const std::string&)> corrupt{};  // of a body that would be right
  std::vector<TimePoint> called, answered;
  std::vector<std::string> asked;  // the targets of the calls
  std::string address() const { return listener_.address().text(); }
  std::string list(bool whole, std::uint64_t after) const;

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

// Runs the scheduler until the task is done; fails the test if that takes too long.
void run_to_end(Scheduler& scheduler, Task<void> task, Duration most);

// What a client makes of an answer, whichever front gave it.
struct QueryResult {
  std::string kind;  // "answered", "refused", "failed"
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
  // What deployments differ in. Pushed: discovery is an agent that is sent the list, 500 ms of grace for
  // drains. Sets: the nodes i and i + node_count / 2 hold the same shards, where else neighbours share them.
  bool pushed = false, sets = false, reports = false, tenants = false;
  bool keyed = true;  // else all classes may be repeated, none has a second step
  std::function<void(Limits&)> adjust{};
  std::vector<std::pair<std::string, std::string>>
      settings{};  // text of GW_CONFIG: what stands there, and instead
};

// A coordinator with its nodes, in one thread. Shard s is held by the nodes s and s + 1 (mod node_count), in
// sets by those of cell s (mod the number of sets).
class TestCluster {
 public:
  explicit TestCluster(ClusterOptions options);
  ~TestCluster();

  Scheduler scheduler;
  ClusterOptions options;
  std::vector<std::unique_ptr<FakeNode>> nodes;
  std::unique_ptr<FakeDiscovery> discovery;
  std::unique_ptr<Gateway> gateway;

  // The text of GW_CONFIG; with empty agreements the second front has one index a class and slice.
  std::string config_text() const;
  int cells() const { return options.sets ? options.node_count / 2 : options.node_count; }
  int reach() const { return options.sets ? 1 : std::min(2, options.node_count); }
  bool holds(int node, int shard) const;
  void start();
  void start(const FrontContract& contract);
  // Runs until the task is done; fails the test if that takes too long.
  void run(Task<void> task, Duration most = std::chrono::seconds(20));
  std::string front_address() const;  // of the front that the options name
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
