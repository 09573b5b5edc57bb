// SPDX-License-Identifier: MIT
#include "kelpdeal/frame_transport.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "kelpdeal/part_ids.h"

namespace kelpdeal {

namespace {

// Input that a connection may hold without a charge: the plan reserves it for each connection.
constexpr std::size_t kUnchargedInputBytes = 1024;
// The record of one part's id on a connection.
constexpr std::size_t kPartIdBytes = 160;

}  // namespace

std::string wire_id(const Attempt& attempt) {
  return attempt.query + "." + std::to_string(attempt.shard) + (attempt.second_step ? ".phase2" : "");
}

std::string wire_options(const Attempt& attempt, TimePoint now) {
  const auto remaining = std::chrono::ceil<Milliseconds>(attempt.until - now).count();
  std::string options = "d=" + std::to_string(std::max<std::int64_t>(remaining, 1));
  if (!attempt.key.empty()) options += ",k=" + attempt.key;
  if (attempt.second_step) {
    options += ",from=";
    for (std::size_t i = 0; i < attempt.first_step_shards.size(); ++i)
      options += (i ? "+" : "") + std::to_string(attempt.first_step_shards[i]);
    options += attempt.first_step_whole ? ",whole=1" : ",whole=0";
  }
  return options;
}

// One connection to a node, its send queue and the parts in flight on it.
struct FrameTransport::Connection {
  struct QueuedFrame {
    char type = frames::kCall;
    std::vector<Attempt> call;  // for kCall
    std::string id;             // for kCancel: the part's id
    bool resent = false;        // taken over from a connection that the node had closed
  };
  struct InFlightPart {
    AttemptId attempt = 0;
    TimePoint written_at;
  };
  Connection(Scheduler& scheduler, NodeId node, Address to, const Limits& limits,
             admission::MemoryAccount& memory)
      : ids_memory(memory, admission::Use::node_calls),
        input_memory(memory, admission::Use::node_input),
        node(node),
        address(to),
        writer_wakeup(scheduler),
        part_ids(limits.past_parts_factor * limits.parts_per_connection),
        reader(limits.max_frame_bytes) {}

  admission::Charge ids_memory, input_memory;
  NodeId node;
  Address address;
  std::unique_ptr<Stream> stream;
  Parker writer_wakeup;  // wakes the writer
  std::deque<QueuedFrame> queue;
  std::vector<AttemptId> being_written;
  std::map<std::string, InFlightPart> in_flight;  // by the id sent to the node
  PartIds part_ids;
  std::deque<TimePoint> probes;  // send times of unanswered probes
  frames::Reader reader;
  std::optional<TimePoint> frame_started_at;  // start of the incomplete frame, if there is one
  TimePoint last_received{}, last_used = Clock::now();
  // A retired connection gets no further parts and is closed once it is idle.
  bool established = false, ended = false, retired = false;
  bool closed_by_node = false;                       // while no part was in flight
  Outcome unsent_outcome = Outcome::connect_failed;  // outcome of parts that were never written

  std::size_t load() const {
    std::size_t parts = in_flight.size() + being_written.size();
    for (const QueuedFrame& item : queue) parts += item.call.size();
    return parts;
  }
  // Whether the call may be sent on this connection.
  bool accepts(const std::vector<Attempt>& call, std::size_t max_parts) const {
    if (ended || retired || load() + call.size() > max_parts) return false;
    return std::all_of(call.begin(), call.end(), [this](const Attempt& attempt) {
      return part_ids.available(wire_id(attempt), attempt.query_number);
    });
  }
  bool idle() const { return queue.empty() && being_written.empty() && in_flight.empty() && probes.empty(); }
  void retire() {
    retired = true;
    if (idle()) cancel();  // its reader and its writer wait, and would not see it
  }
  void cancel() {
    ended = true;
    if (stream) stream->cancel();
    writer_wakeup.wake();
  }
};

// The bytes of a call, and the parts in it.
struct FrameTransport::EncodedCall {
  std::vector<std::string> headers;  // what precedes each text
  std::vector<SharedText> texts;     // of the parts
  std::vector<std::pair<std::string, AttemptId>> parts;
  TimePoint write_by;
  std::size_t bytes() const {
    std::size_t total = 0;
    for (std::size_t i = 0; i < headers.size(); ++i) total += headers[i].size() + texts[i].size();
    return total;
  }
  // Large texts are written from where they are; small ones are joined, so that they arrive in one packet.
  std::vector<std::string_view> pieces() {
    std::vector<std::string_view> all;
    if (bytes() <= admission::kSmallHolderBytes) {
      for (std::size_t i = 0; i < headers.size(); ++i) joined += headers[i] + texts[i].str();
      return {joined};
    }
    for (std::size_t i = 0; i < headers.size(); ++i) {
      all.push_back(headers[i]);
      all.push_back(texts[i].str());
    }
    return all;
  }
  std::string joined;
};

FrameTransport::FrameTransport(Scheduler& scheduler, const Limits& limits, Metrics& metrics,
                               admission::MemoryAccount& memory, AttemptSink& sink)
    : scheduler_(scheduler),
      limits_(limits),
      metrics_(metrics),
      memory_(memory),
      sink_(sink),
      read_buffer_(limits.read_chunk_bytes) {}

FrameTransport::~FrameTransport() = default;

void FrameTransport::update_node(NodeId id, const NodeEntry& entry) {
  Node& node = nodes_.try_emplace(id, Node{{}, {}, ConnectBackoff(limits_.connect_pacing, id)}).first->second;
  if (entry.endpoint.empty()) return;
  const auto address = Address::parse(entry.endpoint);
  if (!address) return metrics_.log("discovery", "node " + entry.uid + " has no usable endpoint");
  if (node.address && node.address->text() != address->text())
    for (const ConnectionPtr& connection : node.connections) connection->retire();
  node.address = address;
}

// The least loaded connection that accepts the call, or a new one. Null if no connection may be opened.
FrameTransport::ConnectionPtr FrameTransport::select_connection(NodeId id, const std::vector<Attempt>& call) {
  const auto known = nodes_.find(id);
  if (known == nodes_.end()) return nullptr;
  Node& node = known->second;
  ConnectionPtr best;
  for (const ConnectionPtr& connection : node.connections) {
    if (!connection->accepts(call, limits_.parts_per_connection)) continue;
    // The node may be about to close a connection that has been idle for this long.
    if (connection->idle() && connection->established &&
        Clock::now() - connection->last_used > limits_.node_idle_timeout)
      continue;
    if (!best || (connection->established && !best->established) ||
        (connection->established == best->established && connection->load() < best->load()))
      best = connection;
  }
  if (best || !node.address || node.left ||
      !node.connect_backoff.may_open(established_count(node), Clock::now()))
    return best;
  if (connection_count_ >= limits_.max_node_connections && !close_longest_idle()) {
    metrics_.log("descriptors", "connection limit reached; cannot connect to a record node");
    return nullptr;
  }
  best = std::make_shared<Connection>(scheduler_, id, *node.address, limits_, memory_);
  node.connections.push_back(best);
  ++connection_count_;
  metrics_.count("node.connections_opened");
  scheduler_.spawn(run(best));
  return best;
}

std::size_t FrameTransport::established_count(const Node& node) {
  return static_cast<std::size_t>(
      std::count_if(node.connections.begin(), node.connections.end(), [](const ConnectionPtr& connection) {
        return connection->established && !connection->ended && !connection->retired;
      }));
}

// Closes the connection that has been idle for the longest time; false if none is idle.
bool FrameTransport::close_longest_idle() {
  ConnectionPtr oldest;
  for (const auto& [id, node] : nodes_)
    for (const ConnectionPtr& connection : node.connections)
      if (!connection->ended && connection->idle() && (!oldest || connection->last_used < oldest->last_used))
        oldest = connection;
  if (oldest) oldest->cancel();
  return oldest != nullptr;
}

// Removes the parts whose id another part of the call bears, and returns them.
std::vector<Attempt> FrameTransport::take_repeated_ids(std::vector<Attempt>& call) {
  std::set<std::string> ids;
  const auto repeated = std::stable_partition(call.begin(), call.end(), [&ids](const Attempt& attempt) {
    return ids.insert(wire_id(attempt)).second;
  });
  std::vector<Attempt> taken(std::make_move_iterator(repeated), std::make_move_iterator(call.end()));
  call.erase(repeated, call.end());
  return taken;
}

void FrameTransport::send(NodeId node, std::vector<Attempt> call) { send(node, std::move(call), false); }

void FrameTransport::send(NodeId node, std::vector<Attempt> call, bool resent) {
  const ConnectionPtr connection = select_connection(node, call);
  if (!connection || !charge_ids(*connection, call.size())) {
    AttemptResult result;
    const auto known = nodes_.find(node);
    // With a connection established the node is alive: the connection limit (the node's or ours) or the
    // memory limit is reached, which must not count as a failure of the node.
    const bool alive = connection || (known != nodes_.end() && established_count(known->second) > 0);
    result.outcome = alive ? Outcome::full : Outcome::connect_failed;
    for (const Attempt& attempt : call) sink_.attempt_ended(attempt.id, result);
    return;
  }
  const std::vector<Attempt> repeated = take_repeated_ids(call);
  for (const Attempt& attempt : call) {
    connections_by_attempt_[attempt.id] = connection;
    connection->part_ids.queue(wire_id(attempt), attempt.query_number);
  }
  connection->last_used = Clock::now();
  connection->queue.push_back({frames::kCall, std::move(call), {}, resent});
  connection->writer_wakeup.wake();
  if (!repeated.empty()) send(node, repeated, resent);  // on another connection
}

// Charges the ids that a connection remembers, and those of the parts that are added.
bool FrameTransport::charge_ids(Connection& connection, std::size_t added) {
  const auto charge = [&] {
    return connection.ids_memory.resize((connection.part_ids.size() + added) * kPartIdBytes);
  };
  if (charge()) return true;
  connection.part_ids.forget_answered();
  if (charge()) return true;
  // The ids of parts that were given up are remembered until their connection is closed.
  for (const auto& [id, node] : nodes_)
    for (const ConnectionPtr& other : node.connections)
      if (other->idle() && other->part_ids.size() > limits_.parts_per_connection) other->retire();
  return false;
}

// Handles the frames that have arrived completely.
void FrameTransport::read_frames(Connection& connection) {
  while (!connection.ended) {
    const auto frame = connection.reader.next();
    if (!frame) break;
    connection.frame_started_at.reset();
    read_frame(connection, *frame);
  }
}

// Drops the value of the answer that is arriving: there is no memory for it. False if the connection has
// ended.
bool FrameTransport::drop_value(Connection& connection) {
  if (connection.reader.drop_value()) {
    metrics_.count("node.values_dropped");
    metrics_.log("frames", "no memory for the value of an answer; it is dropped");
    read_frames(connection);
  } else {
    protocol_error(connection, "no memory for a frame that is no answer");
  }
  return !connection.ended && charge_input(connection);
}

// Charges the answer that is arriving on a connection.
bool FrameTransport::charge_input(Connection& connection) {
  const std::size_t held = connection.reader.held_bytes();
  return connection.input_memory.resize(held > kUnchargedInputBytes ? held : 0);
}

void FrameTransport::give_up(AttemptId attempt, GiveUpReason why) {
  // Also applies to a closed connection, whose queue may be about to move to another one.
  if (cancel_unsent(attempt)) return;
  const auto it = connections_by_attempt_.find(attempt);
  if (it == connections_by_attempt_.end()) return;
  const ConnectionPtr connection = it->second.lock();
  connections_by_attempt_.erase(it);
  if (!connection || connection->ended) return;
  const auto in_flight = std::find_if(connection->in_flight.begin(), connection->in_flight.end(),
                                      [&](const auto& entry) { return entry.second.attempt == attempt; });
  if (in_flight == connection->in_flight.end()) return;
  // The connections of a machine that went down stay open and silent indefinitely. One that has received
  // nothing since the timed-out part was written is not used for further parts.
  if (why == GiveUpReason::timed_out && connection->last_received < in_flight->second.written_at)
    connection->retired = true;
  const std::string id = in_flight->first;
  connection->in_flight.erase(in_flight);
  stop_waiting(*connection, id);
  connection->writer_wakeup.wake();
}

// Cancels a written part at the node, which may still answer it. A connection with too many such parts takes
// no further ones, as none of them may be forgotten.
void FrameTransport::stop_waiting(Connection& connection, const std::string& id) {
  connection.queue.push_back({frames::kCancel, {}, id});
  connection.part_ids.give_up(id);
  if (!connection.part_ids.full() || connection.retired) return;
  connection.retired = true;
  metrics_.count("node.connections_retired");
}

bool FrameTransport::cancel_unsent(AttemptId attempt) {
  const auto it = connections_by_attempt_.find(attempt);
  const ConnectionPtr connection = it == connections_by_attempt_.end() ? nullptr : it->second.lock();
  if (!connection) return false;
  for (Connection::QueuedFrame& item : connection->queue) {
    const auto part = std::find_if(item.call.begin(), item.call.end(),
                                   [&](const Attempt& queued) { return queued.id == attempt; });
    if (part == item.call.end()) continue;
    connection->part_ids.discard(wire_id(*part));
    item.call.erase(part);
    connections_by_attempt_.erase(it);
    return true;
  }
  return false;
}

void FrameTransport::probe(NodeId node) {
  const ConnectionPtr connection = select_connection(node, {});
  if (!connection) return sink_.probe_ended(node, Outcome::connect_failed, {}, {});
  connection->probes.push_back(Clock::now());
  connection->queue.push_back({frames::kProbe, {}, {}});
  connection->writer_wakeup.wake();
}

void FrameTransport::close_idle(NodeId id) {
  if (const auto node = nodes_.find(id); node != nodes_.end())
    for (const ConnectionPtr& connection : node->second.connections)
      if (connection->idle()) connection->cancel();
}

void FrameTransport::remove_node(NodeId id) {
  const auto node = nodes_.find(id);
  if (node == nodes_.end()) return;
  node->second.left = true;
  for (const ConnectionPtr& connection : node->second.connections) connection->retire();
  if (node->second.connections.empty()) nodes_.erase(node);
}

void FrameTransport::report_result(Connection&, AttemptId attempt, AttemptResult result) {
  if (connections_by_attempt_.erase(attempt) > 0) sink_.attempt_ended(attempt, std::move(result));
}

// Runs a connection: connects, reads until it ends, and then reports the remaining attempts.
Task<void> FrameTransport::run(ConnectionPtr connection) {
  const TimePoint start = Clock::now();
  connection->stream =
      co_await connect(scheduler_, connection->address, start + limits_.connect_pacing.timeout);
  const auto node = nodes_.find(connection->node);
  if (connection->stream && !connection->ended) {
    if (node != nodes_.end()) node->second.connect_backoff.on_success();
    connection->established = true;
    scheduler_.spawn(write(connection));
    while (!connection->ended) {
      // A node writes each frame at once, so a frame that stays incomplete is an error.
      const TimePoint until = connection->frame_started_at
                                  ? *connection->frame_started_at + limits_.frame_read_timeout
                                  : Clock::now() + limits_.node_idle_timeout;
      const IoResult got = co_await connection->stream->read_some(read_buffer_, until);
      if (got.status == IoStatus::timed_out) {
        if (connection->frame_started_at) protocol_error(*connection, "frame not completed in time");
        if (connection->idle() && Clock::now() - connection->last_used >= limits_.node_idle_timeout) break;
        continue;
      }
      if (got.status == IoStatus::end_of_stream || got.status == IoStatus::failed)
        connection->closed_by_node |= connection->in_flight.empty() && connection->being_written.empty();
      if (got.status != IoStatus::ok) break;
      connection->last_received = connection->last_used = Clock::now();
      connection->reader.feed({read_buffer_.data(), got.bytes});
      read_frames(*connection);
      if (connection->ended) break;
      if (!charge_input(*connection) && !drop_value(*connection)) break;
      if (connection->reader.bad()) {
        protocol_error(*connection, "invalid frame header");
        break;
      }
      if (!connection->reader.mid_frame())
        connection->frame_started_at.reset();
      else if (!connection->frame_started_at)
        connection->frame_started_at = connection->last_received;
      if (connection->retired && connection->idle()) break;
    }
  } else if (!connection->ended) {
    if (node != nodes_.end())
      connection->unsent_outcome = node->second.connect_backoff.on_failure(
          established_count(node->second), Clock::now() - start, Clock::now());
    metrics_.count(connection->unsent_outcome == Outcome::full ? "node.connect_turned_away"
                                                               : "node.connect_failed");
  }
  close(connection);
}

void FrameTransport::close(const ConnectionPtr& connection) {
  connection->cancel();
  --connection_count_;
  if (const auto node = nodes_.find(connection->node); node != nodes_.end()) {
    std::erase(node->second.connections, connection);
    if (node->second.left && node->second.connections.empty()) nodes_.erase(node);
  }
  AttemptResult unsent, may_have_run;
  unsent.outcome = connection->unsent_outcome;  // a node runs no part of an incomplete frame
  may_have_run.outcome = Outcome::reset;
  for (Connection::QueuedFrame& item : std::exchange(connection->queue, {})) {
    // A node may close an idle connection just as a call is queued on it. Nothing of that call was written,
    // so it is sent once more on another connection instead of counting as a failure of the node.
    if (connection->closed_by_node && !item.resent && !item.call.empty())
      send(connection->node, std::move(item.call), true);
    else
      for (const Attempt& attempt : item.call) report_result(*connection, attempt.id, unsent);
  }
  for (const AttemptId attempt : std::exchange(connection->being_written, {}))
    report_result(*connection, attempt, unsent);
  for (const auto& [id, in_flight] : std::exchange(connection->in_flight, {}))
    report_result(*connection, in_flight.attempt, may_have_run);
  for (const TimePoint since : std::exchange(connection->probes, {}))
    sink_.probe_ended(connection->node, Outcome::reset, Clock::now() - since, {});
}

// The parts of a call that may still start. The others are reported as not sent.
FrameTransport::EncodedCall FrameTransport::encode_call(Connection& connection,
                                                        const std::vector<Attempt>& call) {
  EncodedCall encoded;
  encoded.write_by = Clock::now() + limits_.frame_read_timeout;
  std::vector<frames::CallPartHeader> headers;
  for (const Attempt& attempt : call) {
    if (attempt.begin_by <= Clock::now()) {
      connection.part_ids.discard(wire_id(attempt));
      report_result(connection, attempt.id, {});
      continue;
    }
    encoded.write_by = std::min(encoded.write_by, attempt.begin_by);
    headers.push_back(
        {wire_id(attempt), attempt.shard, wire_options(attempt, Clock::now()), attempt.text.size()});
    encoded.texts.push_back(attempt.text);
    encoded.parts.emplace_back(headers.back().id, attempt.id);
    connection.being_written.push_back(attempt.id);
  }
  encoded.headers = frames::encode_call_headers(headers);
  return encoded;
}

Task<void> FrameTransport::write(ConnectionPtr connection) {
  while (!connection->ended) {
    if (connection->queue.empty()) {
      if (connection->retired && connection->idle()) break;
      co_await connection->writer_wakeup.park();
      continue;
    }
    if (connection->in_flight.empty() && connection->stream->peer_closed()) {
      connection->closed_by_node = true;
      break;
    }
    Connection::QueuedFrame item = std::move(connection->queue.front());
    connection->queue.pop_front();
    EncodedCall encoded = encode_call(*connection, item.call);
    std::vector<std::string_view> pieces = encoded.pieces();
    std::string frame;
    if (item.type == frames::kCall) {
      if (encoded.parts.empty()) continue;  // every part was cancelled or expired before it was written
    } else {
      frame = frames::encode(item.type, item.id);
      pieces.assign(1, frame);
    }
    // The write has a deadline, as a machine that went down accepts no more data. A part that was not written
    // completely has not run and can be sent to another node.
    const IoResult write_result =
        co_await connection->stream->write_pieces(std::move(pieces), encoded.write_by);
    connection->last_used = Clock::now();
    if (write_result.status != IoStatus::ok) break;
    connection->being_written.clear();
    for (const auto& [id, attempt] : encoded.parts) {
      connection->part_ids.written(id);
      if (connections_by_attempt_.contains(attempt))
        connection->in_flight[id] = {attempt, Clock::now()};
      else  // given up while it was being written
        stop_waiting(*connection, id);
    }
  }
  connection->cancel();
}

// Closes a connection after invalid input. The parts in flight on it may have run.
void FrameTransport::protocol_error(Connection& connection, const std::string& what) {
  metrics_.count("node.spoilt");
  metrics_.log("frames", "protocol error from a record node: " + what + "; connection closed");
  connection.cancel();
}

void FrameTransport::read_frame(Connection& connection, const frames::Frame& frame) {
  if (frame.type == frames::kAnswer) {
    auto answer = frames::decode_answer(frame.payload);
    if (!answer) return protocol_error(connection, "malformed answer");
    const PartIds::Answer kind = connection.part_ids.answered(answer->id);
    if (kind == PartIds::Answer::unknown) return protocol_error(connection, "answer to an unknown part");
    if (kind == PartIds::Answer::late) return metrics_.count("node.answers_too_late");
    const auto in_flight = connection.in_flight.find(answer->id);
    const AttemptId attempt = in_flight->second.attempt;
    connection.in_flight.erase(in_flight);
    AttemptResult result;
    result.outcome = answer->outcome == 'S'   ? Outcome::ok
                     : answer->outcome == 'B' ? Outcome::full
                                              : Outcome::error;
    result.score = answer->score;
    result.value = std::move(answer->value);
    result.value_dropped = frame.value_dropped;
    report_result(connection, attempt, std::move(result));
  } else if (frame.type == frames::kProbe || frame.type == frames::kLoadProbe) {
    if (connection.probes.empty()) return protocol_error(connection, "unexpected probe answer");
    const Duration elapsed = Clock::now() - connection.probes.front();
    connection.probes.pop_front();
    sink_.probe_ended(connection.node, frame.payload == "E" ? Outcome::error : Outcome::ok, elapsed, {});
  } else if (frame.type == frames::kUnusable) {
    protocol_error(connection, "the node could not use a frame: " + frame.payload);
  } else {
    protocol_error(connection, "unknown frame type");
  }
}

}  // namespace kelpdeal
