// SPDX-License-Identifier: MIT
// Carries attempts to record nodes in the platform's frames.
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
  FrameTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics, AttemptSink& sink);
  ~FrameTransport() override;

  void listed(NodeId node, const NodeEntry& entry) override;
  void send(NodeId node, std::vector<Attempt> call) override;
  void give_up(AttemptId attempt, Why why) override;
  bool take_back(AttemptId attempt) override;
  void probe(NodeId node) override;
  void close_idle(NodeId node) override;
  void left(NodeId node) override;

  std::size_t connections() const { return connections_; }

 private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;
  struct Node {
    std::optional<Address> address;
    std::vector<LinkPtr> links;
    ConnectBackoff connects;
    bool left = false;  // it goes from here with its last connection
  };
  Task<void> run(LinkPtr link);
  Task<void> write(LinkPtr link);
  void send(NodeId node, std::vector<Attempt> call, bool moved);
  void read_frame(Link& link, const frames::Frame& frame);
  void spoilt(Link& link, const std::string& what);
  void end(const LinkPtr& link);
  void finish(Link& link, AttemptId attempt, AttemptResult result);
  static std::size_t up(const Node& node);
  LinkPtr pick(NodeId node, std::size_t parts);
  bool make_room();

  Scheduler& scheduler_;
  const Limits limits_;
  Metrics& metrics_;
  AttemptSink& sink_;
  std::unordered_map<NodeId, Node> nodes_;
  std::unordered_map<AttemptId, std::weak_ptr<Link>> where_;
  std::size_t connections_ = 0;
  std::vector<char> chunk_;  // what is read goes through here at once; no connection keeps one
};

// The id and the list that a part's line in a frame carries.
std::string wire_id(const Attempt& attempt);
std::string wire_list(const Attempt& attempt, TimePoint now);

}  // namespace kelpdeal
