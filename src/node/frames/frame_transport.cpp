// SPDX-License-Identifier: MIT
#include "kelpdeal/frame_transport.h"

#include <algorithm>

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

// One connection to a node and all that is out on it.
struct FrameTransport::Link {
  struct Item {
    char letter = frames::kCall;
    std::vector<Attempt> call;  // of a call
    std::string id;             // of a part given up
  };
  struct Out {
    AttemptId attempt = 0;
    TimePoint written;
  };
  Link(Scheduler& scheduler, NodeId node, Address to, std::size_t frame_bytes)
      : node(node), address(to), wanted(scheduler), reader(frame_bytes) {}

  NodeId node;
  Address address;
  std::unique_ptr<Stream> stream;
  Parker wanted;  // the writer waits here
  std::deque<Item> queue;
  std::vector<AttemptId> writing;
  std::map<std::string, Out> out;  // by the id on the wire
  std::deque<TimePoint> probes;
  frames::Reader reader;
  TimePoint heard{}, used = Clock::now();
  bool up = false, ended = false, retired = false;

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
    : scheduler_(scheduler), limits_(limits), metrics_(metrics), sink_(sink) {}

FrameTransport::~FrameTransport() = default;

void FrameTransport::listed(NodeId id, const NodeEntry& entry) {
  Node& node = nodes_[id];
  if (entry.endpoint.empty()) return;
  const auto address = Address::parse(entry.endpoint);
  if (!address) return metrics_.log("discovery", "node " + entry.uid + " has no usable endpoint");
  if (node.address && node.address->text() != address->text())
    for (const LinkPtr& link : node.links) link->retired = true;
  node.address = address;
}

// A connection with room for so many parts, opened if need be. Null if there is none to be had.
FrameTransport::LinkPtr FrameTransport::pick(NodeId id, std::size_t parts) {
  Node& node = nodes_[id];
  LinkPtr best;
  for (const LinkPtr& link : node.links) {
    if (link->ended || link->retired || link->load() + parts > limits_.parts_per_connection) continue;
    // Guards against a request written just as the node closes an idle connection.
    if (link->idle() && link->up && Clock::now() - link->used > limits_.node_idle) continue;
    if (!best || (link->up && !best->up) || (link->up == best->up && link->load() < best->load()))
      best = link;
  }
  if (best || !node.address) return best;
  if (connections_ >= limits_.node_connections && !make_room()) {
    metrics_.log("descriptors", "no connection left for a record node");
    return nullptr;
  }
  best = std::make_shared<Link>(scheduler_, id, *node.address, limits_.frame_bytes);
  node.links.push_back(best);
  ++connections_;
  metrics_.count("node.connections_opened");
  scheduler_.spawn(run(best));
  return best;
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

void FrameTransport::send(NodeId node, std::vector<Attempt> call) {
  const LinkPtr link = pick(node, call.size());
  if (!link) {
    AttemptResult result;
    result.outcome = Outcome::connect_failed;
    for (const Attempt& attempt : call) sink_.attempt_ended(attempt.id, result);
    return;
  }
  for (const Attempt& attempt : call) where_[attempt.id] = link;
  link->used = Clock::now();
  link->queue.push_back({frames::kCall, std::move(call), {}});
  link->wanted.wake();
}

void FrameTransport::give_up(AttemptId attempt, Why why) {
  const auto it = where_.find(attempt);
  if (it == where_.end()) return;
  const LinkPtr link = it->second.lock();
  where_.erase(it);
  if (!link || link->ended) return;
  for (Link::Item& item : link->queue)
    if (std::erase_if(item.call, [&](const Attempt& a) { return a.id == attempt; })) return;
  const auto out = std::find_if(link->out.begin(), link->out.end(),
                                [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (out == link->out.end()) return;
  // Guards against a machine that vanished: its connections stay open and silent for ever. One that has
  // brought nothing since a part was written on it gets no further parts.
  if (why == Why::timed_out && link->heard < out->second.written) link->retired = true;
  link->queue.push_back({frames::kGiveUp, {}, out->first});
  link->out.erase(out);
  link->wanted.wake();
}

void FrameTransport::probe(NodeId node) {
  const LinkPtr link = pick(node, 0);
  if (!link) return sink_.probe_ended(node, Outcome::connect_failed, {}, {});
  link->probes.push_back(Clock::now());
  link->queue.push_back({frames::kProbe, {}, {}});
  link->wanted.wake();
}

void FrameTransport::close_idle(NodeId id) {
  for (const LinkPtr& link : nodes_[id].links)
    if (link->idle()) link->cancel();
}

void FrameTransport::finish(Link&, AttemptId attempt, AttemptResult result) {
  if (where_.erase(attempt) > 0) sink_.attempt_ended(attempt, std::move(result));
}

// The life of a connection: it comes up, is read until it ends, and what is left on it ends with it.
Task<void> FrameTransport::run(LinkPtr link) {
  link->stream = co_await connect(scheduler_, link->address, Clock::now() + limits_.connect_timeout);
  if (link->stream && !link->ended) {
    link->up = true;
    scheduler_.spawn(write(link));
    std::vector<char> chunk(limits_.read_chunk);
    while (!link->ended) {
      const IoResult got = co_await link->stream->read_some(chunk, Clock::now() + limits_.node_idle);
      if (got.io == Io::timed_out) {
        if (link->idle() && Clock::now() - link->used >= limits_.node_idle) break;
        continue;
      }
      if (got.io != Io::ok) break;
      link->heard = link->used = Clock::now();
      link->reader.feed({chunk.data(), got.bytes});
      while (auto frame = link->reader.next()) read_frame(*link, *frame);
      if (link->reader.bad()) {
        metrics_.log("frames", "a record node sent a frame out of bounds; connection closed");
        break;
      }
      if (link->retired && link->idle()) break;
    }
  } else if (!link->ended) {
    metrics_.count("node.connect_failed");
  }
  end(link);
}

void FrameTransport::end(const LinkPtr& link) {
  link->cancel();
  --connections_;
  std::erase(nodes_[link->node].links, link);
  AttemptResult never, maybe;
  never.outcome = Outcome::connect_failed;  // a frame whose last byte was not written has not run
  maybe.outcome = Outcome::reset;
  for (const Link::Item& item : std::exchange(link->queue, {}))
    for (const Attempt& attempt : item.call) finish(*link, attempt.id, never);
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
    Link::Item item = std::move(link->queue.front());
    link->queue.pop_front();
    std::string bytes;
    std::vector<std::pair<std::string, AttemptId>> parts;
    if (item.letter == frames::kCall) {
      std::vector<frames::CallPart> call;
      for (const Attempt& attempt : item.call) {
        call.push_back({wire_id(attempt), attempt.shard, wire_list(attempt, Clock::now()), attempt.text});
        parts.emplace_back(call.back().id, attempt.id);
        link->writing.push_back(attempt.id);
      }
      if (call.empty()) continue;  // all were given up before they left
      bytes = frames::encode_call(call);
    } else {
      bytes = frames::encode(item.letter, item.id);
    }
    const IoResult put = co_await link->stream->write_all(bytes);
    link->used = Clock::now();
    if (put.io != Io::ok) break;
    link->writing.clear();
    for (const auto& [id, attempt] : parts) {
      if (where_.contains(attempt))
        link->out[id] = {attempt, Clock::now()};
      else  // given up while it was being written
        link->queue.push_back({frames::kGiveUp, {}, id});
    }
  }
  link->cancel();
}

void FrameTransport::read_frame(Link& link, const frames::Frame& frame) {
  if (frame.letter == frames::kAnswer) {
    auto answer = frames::decode_answer(frame.rest);
    if (!answer) {
      metrics_.log("frames", "a record node's answer could not be read");
      link.cancel();
      return;
    }
    const auto out = link.out.find(answer->id);
    if (out == link.out.end()) {
      metrics_.count("node.answers_too_late");
      return;
    }
    const AttemptId attempt = out->second.attempt;
    link.out.erase(out);
    AttemptResult result;
    result.outcome = answer->end == 'S' ? Outcome::ok : answer->end == 'B' ? Outcome::full : Outcome::error;
    result.score = answer->score;
    result.value = std::move(answer->value);
    finish(link, attempt, std::move(result));
  } else if (frame.letter == frames::kProbe || frame.letter == frames::kLoadProbe) {
    if (link.probes.empty()) return;
    const Duration elapsed = Clock::now() - link.probes.front();
    link.probes.pop_front();
    sink_.probe_ended(link.node, frame.rest == "E" ? Outcome::error : Outcome::ok, elapsed, {});
  } else {
    metrics_.log("frames", frame.letter == frames::kUnusable
                               ? "a record node could not use a frame: " + frame.rest
                               : "a record node sent an unknown frame");
    link.cancel();
  }
}

}  // namespace kelpdeal
