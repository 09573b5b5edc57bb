// SPDX-License-Identifier: MIT
// Carries attempts to record nodes that speak the OpenSearch-style API: a part is a search of one shard (or
// the write of one document), the parts of one call travel as one multi-search.
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
  OpenSearchTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics, AttemptSink& sink);
  ~OpenSearchTransport() override;

  void listed(NodeId node, const NodeEntry& entry) override;
  void send(NodeId node, std::vector<Attempt> call) override;
  void give_up(AttemptId attempt, Why why) override;
  bool take_back(AttemptId attempt) override;
  void probe(NodeId node) override;
  void close_idle(NodeId node) override;
  void left(NodeId node) override;

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;
  struct Kept {
    std::unique_ptr<Stream> stream;
    TimePoint since;
  };
  struct Node {
    std::optional<Address> address;
    std::deque<Kept> idle;
    ConnectBackoff connects;
    std::size_t up = 0;  // calls under way on a connection
  };
  Task<void> run(CallPtr call);
  Task<void> run_probe(NodeId node);
  Task<std::unique_ptr<Stream>> open(NodeId node, Outcome& failed);
  Task<std::optional<http::Response>> read(Stream& stream, TimePoint deadline, Call* call = nullptr);
  bool take_items(Call& call, std::string piece);
  void start(NodeId node, std::vector<Attempt> parts, bool write);
  void finish(Call& call, Outcome outcome);
  bool finish(Call& call, const http::Response& response);
  void spoilt(const std::string& what);
  void finish(AttemptId attempt, AttemptResult result);
  void count_up(NodeId node, int by);
  void give_back();
  bool make_room();
  void keep(NodeId node, std::unique_ptr<Stream> stream);

  Scheduler& scheduler_;
  const Limits limits_;
  Metrics& metrics_;
  AttemptSink& sink_;
  std::unordered_map<NodeId, Node> nodes_;
  std::unordered_map<AttemptId, std::weak_ptr<Call>> where_;
  std::size_t connections_ = 0;
  std::optional<Timer> aged_;  // when the kept connection that is oldest has been idle for too long
};

// The request that carries the parts of one call, and what an answer to one of its parts means.
http::Request build_node_request(const std::vector<Attempt>& parts, bool write, const std::string& host,
                                 TimePoint now);
// `text` is the answer to one part, valid JSON; of a write, `write` is true.
AttemptResult parse_node_answer(int status, std::string_view text, bool write);

}  // namespace kelpdeal
