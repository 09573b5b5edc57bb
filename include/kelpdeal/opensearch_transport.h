// SPDX-License-Identifier: MIT
// Node transport for record nodes that speak the OpenSearch-style API. A part is a search of one shard or the
// write of one document; the searches of one call are sent as one multi-search.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "kelpdeal/broker.h"
#include "kelpdeal/http.h"
#include "kelpdeal/socket.h"

namespace kelpdeal {

class OpenSearchTransport : public NodeTransport {
 public:
  OpenSearchTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics,
                      admission::MemoryAccount& memory, AttemptSink& sink);
  ~OpenSearchTransport() override;

  void update_node(NodeId node, const NodeEntry& entry) override;
  void send(NodeId node, std::vector<Attempt> call) override;
  void give_up(AttemptId attempt, GiveUpReason why) override;
  bool cancel_unsent(AttemptId attempt) override;
  void probe(NodeId node) override;
  void close_idle(NodeId node) override;
  void remove_node(NodeId node) override;

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;
  struct IdleConnection {
    std::unique_ptr<Stream> stream;
    TimePoint idle_since;
  };
  struct Node {
    std::optional<Address> address;
    std::deque<IdleConnection> idle;  // oldest first
    ConnectBackoff connect_backoff;
    std::size_t active_calls = 0;  // calls that have a connection
  };
  Task<void> run(CallPtr call);
  Task<void> run_probe(NodeId node);
  Task<std::unique_ptr<Stream>> acquire_connection(NodeId node, Outcome& failed);
  Task<std::optional<http::Response>> read(Stream& stream, TimePoint deadline, Call* call = nullptr);
  static Task<IoResult> write(Stream& stream, const http::Request& request, TimePoint deadline);
  bool process_items(Call& call, std::string_view piece);
  void start(NodeId node, std::vector<Attempt> parts, bool write);
  void report_result(Call& call, Outcome outcome);
  void report_dropped_values(Call& call);
  bool report_result(Call& call, const http::Response& response);
  void log_protocol_error(const std::string& what);
  void report_result(AttemptId attempt, AttemptResult result);
  void adjust_active_calls(NodeId node, int by);
  void close_expired_idle();
  bool ensure_capacity();
  void keep_idle(NodeId node, std::unique_ptr<Stream> stream);

  Scheduler& scheduler_;
  const Limits limits_;
  Metrics& metrics_;
  admission::MemoryAccount& memory_;
  AttemptSink& sink_;
  std::unordered_map<NodeId, Node> nodes_;
  std::unordered_map<AttemptId, std::weak_ptr<Call>> calls_by_attempt_;
  std::size_t running_calls_ = 0;
  std::optional<Timer> idle_timer_;  // expires when the oldest idle connection is to be closed
};

// Builds the request that carries the parts of one call.
http::Request build_node_request(const std::vector<Attempt>& parts, bool write, const std::string& host,
                                 TimePoint now);
// Interprets the answer to one part. `text` is valid JSON; `write` is true for a write.
AttemptResult parse_node_answer(int status, std::string_view text, bool write);

}  // namespace kelpdeal
