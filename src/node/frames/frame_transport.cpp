// SPDX-License-Identifier: MIT
#include "kelpdeal/frame_transport.h"

#include <algorithm>
#include <unordered_set>

namespace kelpdeal {

std::string wire_id(const Attempt& attempt) {
  return attempt.query + "." + std::to_string(attempt.shard) + (attempt.second ? ".phase2" : "");
}

std::string wire_list(const Attempt& attempt, TimePoint now) {
  const auto left = std::chrono::ceil<Milliseconds>(attempt.until - now).count();
  std::string list = "d=" + std::to_string(std::max<std::int64_t>(left, 1));
  if (!attempt.key.empty()) list += ",k=" + attempt.key;
  if (attempt.second) {
    list += ",from=";
    for (std::size_t i = 0; i < attempt.from.size(); ++i)
      list += (i ? "+" : "") + std::to_string(attempt.from[i]);
    list += attempt.first_whole ? ",whole=1" : ",whole=0";
  }
  return list;
}

namespace {

// The ids that a connection is done with, the latest ones: what is given up may still be answered, and an
// answer may come twice. An answer under any other id is spoilt.
class PastIds {
 public:
  explicit PastIds(std::size_t most) : most_(most) {}
  void add(std::string id) {
    if (!ids_.insert(id).second) return;
    order_.push_back(std::move(id));
    if (order_.size() <= most_) return;
    ids_.erase(order_.front());
    order_.pop_front();
  }
  bool contains(const std::string& id) const { return ids_.contains(id); }

 private:
  std::size_t most_;
  std::unordered_set<std::string> ids_;
  std::deque<std::string> order_;
};

}  // namespace

// One connection to a node and all that is out on it.
struct FrameTransport::Link {
  struct Item {
    char letter = frames::kCall;
    std::vector<Attempt> call;  // of a call
    std::string id;             // of a part given up
    bool moved = false;         // from a connection that the node closed
  };
  struct Out {
    AttemptId attempt = 0;
    TimePoint written;
  };
  Link(Scheduler& scheduler, NodeId node, Address to, const Limits& limits)
      : node(node),
        address(to),
        wanted(scheduler),
        past(limits.past_ids * limits.parts_per_connection),
        reader(limits.frame_bytes) {}

  NodeId node;
  Address address;
  std::unique_ptr<Stream> stream;
  Parker wanted;  // the writer waits here
  std::deque<Item> queue;
  std::vector<AttemptId> writing;
  std::map<std::string, Out> out;  // by the id on the wire
  PastIds past;
  std::deque<TimePoint> probes;
  frames::Reader reader;
  std::optional<TimePoint> begun;  // when the frame that is not whole yet began
  TimePoint heard{}, used = Clock::now();
  bool up = false, ended = false, retired = false;
  bool closed_by_node = false;              // as nothing was out on it
  Outcome never = Outcome::connect_failed;  // what has not left on it ends as

  std::size_t load() const {
    std::size_t parts = out.size() + writing.size();
    for (const Item& item : queue) parts += item.call.size();
    return parts;
  }
  bool idle() const { return queue.empty() && writing.empty() && out.empty() && probes.empty(); }
  void cancel() {
    ended = true;
    if (stream) stream->cancel();
    wanted.wake();
  }
};

FrameTransport::FrameTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics,
                               AttemptSink& sink)
    : scheduler_(scheduler), limits_(limits), metrics_(metrics), sink_(sink), chunk_(limits.read_chunk) {}

FrameTransport::~FrameTransport() = default;

void FrameTransport::listed(NodeId id, const NodeEntry& entry) {
  Node& node = nodes_.try_emplace(id, Node{{}, {}, ConnectBackoff(limits_.connects, id)}).first->second;
  if (entry.endpoint.empty()) return;
  const auto address = Address::parse(entry.endpoint);
  if (!address) return metrics_.log("discovery", "node " + entry.uid + " has no usable endpoint");
  if (node.address && node.address->text() != address->text())
    for (const LinkPtr& link : node.links) link->retired = true;
  node.address = address;
}

// A connection with room for so many parts, opened if need be. Null if there is none to be had.
FrameTransport::LinkPtr FrameTransport::pick(NodeId id, std::size_t parts) {
  const auto known = nodes_.find(id);
  if (known == nodes_.end()) return nullptr;
  Node& node = known->second;
  LinkPtr best;
  for (const LinkPtr& link : node.links) {
    if (link->ended || link->retired || link->load() + parts > limits_.parts_per_connection) continue;
    // Guards against a request written just as the node closes an idle connection.
    if (link->idle() && link->up && Clock::now() - link->used > limits_.node_idle) continue;
    if (!best || (link->up && !best->up) || (link->up == best->up && link->load() < best->load()))
      best = link;
  }
  if (best || !node.address || node.left || !node.connects.may_open(up(node), Clock::now())) return best;
  if (connections_ >= limits_.node_connections && !make_room()) {
    metrics_.log("descriptors", "no connection left for a record node");
    return nullptr;
  }
  best = std::make_shared<Link>(scheduler_, id, *node.address, limits_);
  node.links.push_back(best);
  ++connections_;
  metrics_.count("node.connections_opened");
  scheduler_.spawn(run(best));
  return best;
}

std::size_t FrameTransport::up(const Node& node) {
  return static_cast<std::size_t>(
      std::count_if(node.links.begin(), node.links.end(),
                    [](const LinkPtr& link) { return link->up && !link->ended && !link->retired; }));
}

// Closes the connection that has been idle longest.
bool FrameTransport::make_room() {
  LinkPtr oldest;
  for (const auto& [id, node] : nodes_)
    for (const LinkPtr& link : node.links)
      if (!link->ended && link->idle() && (!oldest || link->used < oldest->used)) oldest = link;
  if (oldest) oldest->cancel();
  return oldest != nullptr;
}

void FrameTransport::send(NodeId node, std::vector<Attempt> call) { send(node, std::move(call), false); }

void FrameTransport::send(NodeId node, std::vector<Attempt> call, bool moved) {
  const LinkPtr link = pick(node, call.size());
  if (!link) {
    AttemptResult result;
    const auto known = nodes_.find(node);
    // Guards against a verdict on a node that is there, for a table of connections that is full, its or ours.
    const bool there = known != nodes_.end() && up(known->second) > 0;
    result.outcome = there ? Outcome::full : Outcome::connect_failed;
    for (const Attempt& attempt : call) sink_.attempt_ended(attempt.id, result);
    return;
  }
  for (const Attempt& attempt : call) where_[attempt.id] = link;
  link->used = Clock::now();
  link->queue.push_back({frames::kCall, std::move(call), {}, moved});
  link->wanted.wake();
}

void FrameTransport::give_up(AttemptId attempt, Why why) {
  // Also where the connection has ended: what waits on it may be about to move to another.
  if (take_back(attempt)) return;
  const auto it = where_.find(attempt);
  if (it == where_.end()) return;
  const LinkPtr link = it->second.lock();
  where_.erase(it);
  if (!link || link->ended) return;
  const auto out = std::find_if(link->out.begin(), link->out.end(),
                                [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (out == link->out.end()) return;
  // Guards against a machine that vanished: its connections stay open and silent for ever. One that has
  // brought nothing since a part was written on it gets no further parts.
  if (why == Why::timed_out && link->heard < out->second.written) link->retired = true;
  link->queue.push_back({frames::kCancel, {}, out->first});
  link->past.add(out->first);
  link->out.erase(out);
  link->wanted.wake();
}

bool FrameTransport::take_back(AttemptId attempt) {
  const auto it = where_.find(attempt);
  const LinkPtr link = it == where_.end() ? nullptr : it->second.lock();
  if (!link) return false;
  for (Link::Item& item : link->queue)
    if (std::erase_if(item.call, [&](const Attempt& a) { return a.id == attempt; }) > 0) {
      where_.erase(it);
      return true;
    }
  return false;
}

void FrameTransport::probe(NodeId node) {
  const LinkPtr link = pick(node, 0);
  if (!link) return sink_.probe_ended(node, Outcome::connect_failed, {}, {});
  link->probes.push_back(Clock::now());
  link->queue.push_back({frames::kProbe, {}, {}});
  link->wanted.wake();
}

void FrameTransport::close_idle(NodeId id) {
  if (const auto node = nodes_.find(id); node != nodes_.end())
    for (const LinkPtr& link : node->second.links)
      if (link->idle()) link->cancel();
}

void FrameTransport::left(NodeId id) {
  const auto node = nodes_.find(id);
  if (node == nodes_.end()) return;
  node->second.left = true;
  for (const LinkPtr& link : node->second.links) {
    link->retired = true;
    if (link->idle()) link->cancel();
  }
  if (node->second.links.empty()) nodes_.erase(node);
}

void FrameTransport::finish(Link&, AttemptId attempt, AttemptResult result) {
  if (where_.erase(attempt) > 0) sink_.attempt_ended(attempt, std::move(result));
}

// The life of a connection: it comes up, is read until it ends, and what is left on it ends with it.
Task<void> FrameTransport::run(LinkPtr link) {
  const TimePoint start = Clock::now();
  link->stream = co_await connect(scheduler_, link->address, start + limits_.connects.timeout);
  const auto node = nodes_.find(link->node);
  if (link->stream && !link->ended) {
    if (node != nodes_.end()) node->second.connects.opened();
    link->up = true;
    scheduler_.spawn(write(link));
    while (!link->ended) {
      // Guards against a frame that never ends: the node's own writes arrive together.
      const TimePoint until =
          link->begun ? *link->begun + limits_.frame_time : Clock::now() + limits_.node_idle;
      const IoResult got = co_await link->stream->read_some(chunk_, until);
      if (got.status == IoStatus::timed_out) {
        if (link->begun) spoilt(*link, "a frame that did not end");
        if (link->idle() && Clock::now() - link->used >= limits_.node_idle) break;
        continue;
      }
      if (got.status == IoStatus::end_of_stream || got.status == IoStatus::failed)
        link->closed_by_node |= link->out.empty() && link->writing.empty();
      if (got.status != IoStatus::ok) break;
      link->heard = link->used = Clock::now();
      link->reader.feed({chunk_.data(), got.bytes});
      while (!link->ended) {
        const auto frame = link->reader.next();
        if (!frame) break;
        link->begun.reset();
        read_frame(*link, *frame);
      }
      if (link->ended) break;
      if (link->reader.bad()) {
        spoilt(*link, "what is no frame");
        break;
      }
      if (!link->reader.mid_frame())
        link->begun.reset();
      else if (!link->begun)
        link->begun = link->heard;
      if (link->retired && link->idle()) break;
    }
  } else if (!link->ended) {
    if (node != nodes_.end())
      link->never = node->second.connects.failed(up(node->second), Clock::now() - start, Clock::now());
    metrics_.count(link->never == Outcome::full ? "node.connect_turned_away" : "node.connect_failed");
  }
  end(link);
}

void FrameTransport::end(const LinkPtr& link) {
  link->cancel();
  --connections_;
  if (const auto node = nodes_.find(link->node); node != nodes_.end()) {
    std::erase(node->second.links, link);
    if (node->second.left && node->second.links.empty()) nodes_.erase(node);
  }
  AttemptResult never, maybe;
  never.outcome = link->never;  // a frame whose last byte was not written has not run
  maybe.outcome = Outcome::reset;
  for (Link::Item& item : std::exchange(link->queue, {})) {
    // Guards against a verdict on a node for a resting connection that it closed as a call came for it:
    // nothing of that call has left, and it goes out on another connection, once.
    if (link->closed_by_node && !item.moved && !item.call.empty())
      send(link->node, std::move(item.call), true);
    else
      for (const Attempt& attempt : item.call) finish(*link, attempt.id, never);
  }
  for (const AttemptId attempt : std::exchange(link->writing, {})) finish(*link, attempt, never);
  for (const auto& [id, out] : std::exchange(link->out, {})) finish(*link, out.attempt, maybe);
  for (const TimePoint since : std::exchange(link->probes, {}))
    sink_.probe_ended(link->node, Outcome::reset, Clock::now() - since, {});
}

Task<void> FrameTransport::write(LinkPtr link) {
  while (!link->ended) {
    if (link->queue.empty()) {
      if (link->retired && link->idle()) break;
      co_await link->wanted.park();
      continue;
    }
    if (link->out.empty() && link->stream->peer_closed()) {
      link->closed_by_node = true;
      break;
    }
    Link::Item item = std::move(link->queue.front());
    link->queue.pop_front();
    std::string bytes;
    TimePoint write_by = Clock::now() + limits_.frame_time;
    std::vector<std::pair<std::string, AttemptId>> parts;
    if (item.letter == frames::kCall) {
      std::vector<frames::CallPart> call;
      for (const Attempt& attempt : item.call) {
        if (attempt.begin_by <= Clock::now()) {
          finish(*link, attempt.id, {});
          continue;
        }
        write_by = std::min(write_by, attempt.begin_by);
        call.push_back({wire_id(attempt), attempt.shard, wire_list(attempt, Clock::now()), attempt.text});
        parts.emplace_back(call.back().id, attempt.id);
        link->writing.push_back(attempt.id);
      }
      if (call.empty()) continue;  // all were given up before they left
      bytes = frames::encode_call(call);
    } else {
      bytes = frames::encode(item.letter, item.id);
    }
    // Guards against a machine that takes nothing more: what cannot be written has not run, and can go
    // elsewhere.
    const IoResult put = co_await link->stream->write_all(bytes, write_by);
    link->used = Clock::now();
    if (put.status != IoStatus::ok) break;
    link->writing.clear();
    for (const auto& [id, attempt] : parts) {
      if (where_.contains(attempt))
        link->out[id] = {attempt, Clock::now()};
      else  // given up while it was being written
        link->queue.push_back({frames::kCancel, {}, id});
    }
  }
  link->cancel();
}

// A connection that brought what cannot be trusted is of no further use. What is out on it may have run.
void FrameTransport::spoilt(Link& link, const std::string& what) {
  metrics_.count("node.spoilt");
  metrics_.log("frames", "a record node sent " + what + "; connection closed");
  link.cancel();
}

void FrameTransport::read_frame(Link& link, const frames::Frame& frame) {
  if (frame.type == frames::kAnswer) {
    auto answer = frames::decode_answer(frame.payload);
    if (!answer) return spoilt(link, "an answer that could not be read");
    const auto out = link.out.find(answer->id);
    if (out == link.out.end()) {
      if (!link.past.contains(answer->id)) return spoilt(link, "an answer to what it was not asked");
      metrics_.count("node.answers_too_late");
      return;
    }
    const AttemptId attempt = out->second.attempt;
    link.past.add(out->first);
    link.out.erase(out);
    AttemptResult result;
    result.outcome = answer->outcome == 'S'   ? Outcome::ok
                     : answer->outcome == 'B' ? Outcome::full
                                              : Outcome::error;
    result.score = answer->score;
    result.value = std::move(answer->value);
    finish(link, attempt, std::move(result));
  } else if (frame.type == frames::kProbe || frame.type == frames::kLoadProbe) {
    if (link.probes.empty()) return spoilt(link, "an answer to a probe it was not asked");
    const Duration elapsed = Clock::now() - link.probes.front();
    link.probes.pop_front();
    sink_.probe_ended(link.node, frame.payload == "E" ? Outcome::error : Outcome::ok, elapsed, {});
  } else if (frame.type == frames::kUnusable) {
    spoilt(link, "word that it could not use a frame: " + frame.payload);
  } else {
    spoilt(link, "an unknown frame");
  }
}

}  // namespace kelpdeal
