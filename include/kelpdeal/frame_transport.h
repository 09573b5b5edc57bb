// SPDX-License-Identifier: MIT
// Node transport that sends attempts to record nodes in the platform's frame protocol (frames.h).
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "kelpdeal/broker.h"
#include "kelpdeal/frames.h"
#include "kelpdeal/socket.h"

namespace kelpdeal {

class FrameTransport : public NodeTransport {
 public:
  FrameTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics,
                 admission::MemoryAccount& memory, AttemptSink& sink);
  ~FrameTransport() override;

  void update_node(NodeId node, const NodeEntry& entry) override;
  void send(NodeId node, std::vector<Attempt> call) override;
  void give_up(AttemptId attempt, GiveUpReason why) override;
  bool cancel_unsent(AttemptId attempt) override;
  void probe(NodeId node) override;
  void close_idle(NodeId node) override;
  void remove_node(NodeId node) override;

  std::size_t connections() const { return connection_count_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Node {
    std::optional<Address> address;
    std::vector<ConnectionPtr> connections;
    ConnectBackoff connect_backoff;
    bool left = false;  // removed from the node list; erased when its last connection ends
  };
  Task<void> run(ConnectionPtr connection);
  Task<void> write(ConnectionPtr connection);
  void send(NodeId node, std::vector<Attempt> call, bool resent);
  static std::vector<Attempt> take_repeated_ids(std::vector<Attempt>& call);
  void stop_waiting(Connection& connection, const std::string& id);
  void read_frame(Connection& connection, const frames::Frame& frame);
  void protocol_error(Connection& connection, const std::string& what);
  void close(const ConnectionPtr& connection);
  bool charge_ids(Connection& connection, std::size_t added);
  bool charge_input(Connection& connection);
  bool drop_value(Connection& connection);
  void read_frames(Connection& connection);
  struct EncodedCall;
  EncodedCall encode_call(Connection& connection, const std::vector<Attempt>& call);
  void report_result(Connection& connection, AttemptId attempt, AttemptResult result);
  static std::size_t established_count(const Node& node);
  ConnectionPtr select_connection(NodeId node, const std::vector<Attempt>& call);
  bool close_longest_idle();

  Scheduler& scheduler_;
  const Limits limits_;
  Metrics& metrics_;
  admission::MemoryAccount& memory_;
  AttemptSink& sink_;
  std::unordered_map<NodeId, Node> nodes_;
  std::unordered_map<AttemptId, std::weak_ptr<Connection>> connections_by_attempt_;
  std::size_t connection_count_ = 0;
  std::vector<char> read_buffer_;  // shared by all connections: data read is passed on before the next read
};

// The id and the options in a part's header line within a call frame.
std::string wire_id(const Attempt& attempt);
std::string wire_options(const Attempt& attempt, TimePoint now);

}  // namespace kelpdeal
