// SPDX-License-Identifier: MIT
#include "kelpdeal/peers/links.h"

#include <algorithm>

namespace kelpdeal::peers {
namespace {

// Of one accepted connection; one read may bring hundreds.
constexpr int kMessagesPerTurn = 16;

}  // namespace

Links::Links(Scheduler& scheduler, std::string name, std::uint64_t incarnation, Address listen,
             const std::vector<Peer>& peers, const Keys& keys, const LinkBounds& bounds, Metrics& metrics,
             std::uint64_t seed, LinkSink& sink, admission::MemoryAccount* memory)
    : scheduler_(scheduler),
      name_(std::move(name)),
      incarnation_(incarnation),
      keys_(keys),
      bounds_(bounds),
      metrics_(metrics),
      sink_(sink),
      memory_(memory),
      random_(seed),
      verifier_(name_, incarnation, keys),
      listener_(scheduler, listen, static_cast<int>(bounds.max_accepted)),
      accepted_(bounds.max_accepted) {
  for (const Peer& peer : peers)
    links_[peer.name] = std::make_unique<Link>(scheduler, peer.address, new_charge());
  for (const auto& [peer, link] : links_) scheduler_.spawn(connect_loop(peer));
  scheduler_.spawn(accept_all());
}

admission::Charge Links::new_charge() const {
  return memory_ ? admission::Charge(*memory_, admission::Use::peer_links) : admission::Charge();
}

bool Links::send(const std::string& peer, Kind kind, std::string body) {
  const auto it = links_.find(peer);
  if (it == links_.end() || stopped_) return false;
  Link& link = *it->second;
  // Bounds the memory for a peer that is down or reads slowly.
  if (body.size() + 256 > bounds_.max_message_bytes || link.bytes + body.size() > bounds_.max_queue_bytes ||
      !link.queue_memory.resize(link.bytes + body.size())) {
    metrics_.count("peers.dropped_full");
    return false;
  }
  link.bytes += body.size();
  link.queue.push_back({kind, std::move(body)});
  link.writer_wakeup.wake();
  return true;
}

bool Links::up(const std::string& peer) const {
  const auto it = links_.find(peer);
  return it != links_.end() && it->second->up;
}

void Links::restart_as(std::uint64_t incarnation) {
  incarnation_ = incarnation;
  verifier_ = EnvelopeVerifier(name_, incarnation, keys_);
  for (const auto& [peer, link] : links_) {
    link->broken = true;
    link->writer_wakeup.wake();
  }
  accepted_.cancel_all();
}

void Links::stop() {
  stopped_ = true;
  listener_.close();
  restart_as(incarnation_);
}

std::size_t Links::queued(const std::string& peer) const {
  const auto it = links_.find(peer);
  return it == links_.end() ? 0 : it->second->bytes;
}

std::vector<Links::Traffic> Links::traffic() const {
  std::vector<Traffic> all;
  for (const auto& [peer, link] : links_)
    all.push_back({peer, link->up, link->bytes, link->sent, link->received});
  return all;
}

std::string Links::handshake_message(Kind kind, const std::string& to, std::uint64_t to_incarnation,
                                     std::uint64_t superseded_by) {
  Envelope envelope;
  envelope.from = name_;
  envelope.from_incarnation = incarnation_;
  envelope.to = to;
  envelope.to_incarnation = to_incarnation;
  envelope.number = ++handshake_numbers_[to];
  envelope.kind = static_cast<std::uint32_t>(kind);
  envelope.body = encode(Hello{kFormat, kOldestFormat, superseded_by});
  return seal(envelope, keys_);
}

void Links::count_drop(DropReason reason) {
  metrics_.count(std::string("peers.dropped_") + name_of(reason));
  metrics_.log("peers", std::string("dropped a message: ") + name_of(reason));
}

// The next message that passes verification; nothing once the connection is unusable.
Task<std::optional<Envelope>> Links::next_envelope(Stream& stream, MessageReader& reader, TimePoint deadline,
                                                   std::size_t& bytes) {
  std::vector<char> chunk(16 * 1024);
  admission::Charge memory = new_charge();
  for (;;) {
    while (const auto message = reader.next()) {
      Envelope envelope;
      const DropReason reason = verifier_.open(*message, envelope);
      bytes = message->size() + 4;
      if (reason == DropReason::none) co_return envelope;
      count_drop(reason);
      // If a member's clock was set back over a restart without a state folder, its messages would be ignored
      // until the clock has caught up. It is told about the later incarnation, so that it can continue under
      // a still later one or learn that it was replaced.
      if (reason == DropReason::superseded) {
        const std::string answer = handshake_message(Kind::welcome, envelope.from, envelope.from_incarnation,
                                                     verifier_.latest_incarnation(envelope.from));
        co_await stream.write_all(answer, deadline);
        co_return std::nullopt;
      }
      // Limits floods: a connection that delivers unauthenticated data is closed.
      if (reason == DropReason::forged || reason == DropReason::unreadable) co_return std::nullopt;
    }
    if (reader.too_long()) {
      count_drop(DropReason::too_long);
      co_return std::nullopt;
    }
    const IoResult got = co_await stream.read_some(chunk, deadline);
    if (got.status != IoStatus::ok) co_return std::nullopt;
    reader.feed({chunk.data(), got.bytes});
    if (!memory.resize(chunk.size() + reader.held_bytes())) {
      metrics_.count("peers.dropped_no_memory");
      metrics_.log("peers", "no memory for a message; connection closed");
      co_return std::nullopt;
    }
  }
}

// ---- Outgoing links ----
Task<bool> Links::handshake(const std::string& peer, Link& link) {
  const TimePoint deadline = Clock::now() + bounds_.handshake_timeout;
  const std::string bytes = handshake_message(Kind::hello, peer, 0);
  if ((co_await link.stream->write_all(bytes, deadline)).status != IoStatus::ok) co_return false;
  MessageReader reader(bounds_.max_message_bytes);
  std::size_t size = 0;
  const auto answer = co_await next_envelope(*link.stream, reader, deadline, size);
  Hello their_hello;
  if (!answer || answer->from != peer || answer->kind != static_cast<std::uint32_t>(Kind::welcome) ||
      !decode(answer->body, their_hello))
    co_return false;
  // Two members without a common format would only count each other's messages as faults.
  if (their_hello.newest_format + 1 < kFormat || their_hello.oldest_format > kFormat) {
    metrics_.log("peers", peer + " uses no supported message format");
    co_return false;
  }
  if (their_hello.superseded_by > incarnation_) {
    sink_.on_superseded(their_hello.superseded_by);
    co_return false;
  }
  link.incarnation = answer->from_incarnation;
  co_return true;
}

Task<void> Links::connect_loop(std::string peer) {
  Link& link = *links_.find(peer)->second;
  while (!stopped_) {
    link.peer_reachable = false;
    link.stream = co_await connect(scheduler_, link.address, Clock::now() + bounds_.connect_timeout);
    link.broken = false;
    if (link.stream && co_await handshake(peer, link)) {
      link.up = true;
      link.backoff = {};
      metrics_.count("peers.links_up");
      metrics_.log("peers", "the link to " + peer + " is up");
      link.stream->on_hang_up([&link] {
        link.broken = true;
        link.writer_wakeup.wake();
      });
      sink_.on_link_changed(peer, link.incarnation, true);
      while (!link.broken) {
        if (link.queue.empty()) {
          co_await link.writer_wakeup.park();
          continue;
        }
        Message message = std::move(link.queue.front());
        link.queue.pop_front();
        link.bytes -= message.body.size();
        if (!link.queue_memory.resize(link.bytes)) break;  // giving back never fails
        Envelope envelope;
        envelope.from = name_;
        envelope.from_incarnation = incarnation_;
        envelope.to = peer;
        envelope.to_incarnation = link.incarnation;
        envelope.number = ++link.number;
        envelope.kind = static_cast<std::uint32_t>(message.kind);
        envelope.body = std::move(message.body);
        const std::string bytes = seal(envelope, keys_);
        if ((co_await link.stream->write_all(bytes, Clock::now() + bounds_.write_timeout)).status !=
            IoStatus::ok)
          break;
        metrics_.count("peers.sent");
        metrics_.count("peers.bytes_sent", bytes.size());
        link.sent += bytes.size();
      }
      link.up = false;
      link.stream->on_hang_up(nullptr);
      metrics_.log("peers", "the link to " + peer + " is down");
      sink_.on_link_changed(peer, link.incarnation, false);
    }
    link.stream = nullptr;
    // Capped exponential backoff with jitter, so that members that lost the same peer do not reconnect to it
    // in step.
    link.backoff = std::min(std::max(2 * link.backoff, bounds_.min_backoff), bounds_.max_backoff);
    const double share = std::uniform_real_distribution<>(0.25, 1)(random_);
    // A peer that connects to this member is reachable again, so the delay or its rest is skipped. It may
    // have done so while the last attempt was still being made.
    if (link.peer_reachable ||
        co_await link.backoff_delay.park(Clock::now() + to_duration(FractionalMs(link.backoff) * share)) ==
            WakeReason::ready)
      link.backoff = {};
  }
}

// ---- Accepted connections ----
Task<void> Links::accept_all() {
  while (auto stream = co_await listener_.accept()) {
    metrics_.count("peers.accepted");
    // Callers that do not identify themselves must neither hold all connections nor end those of peers.
    const AcceptedConnections::Room room = accepted_.make_room();
    if (room != AcceptedConnections::Room::available) metrics_.count("peers.shed");
    if (room != AcceptedConnections::Room::none)
      scheduler_.spawn(serve_connection(accepted_.add(std::move(stream))));
  }
}

Task<void> Links::serve_connection(AcceptedConnections::Position position) {
  Stream& stream = *position->stream;
  // A caller that has not identified itself can make this process hold no more than a hello.
  MessageReader reader(std::min(bounds_.max_hello_bytes, bounds_.max_message_bytes));
  TimePoint deadline = Clock::now() + bounds_.handshake_timeout;
  std::string peer;
  Link* link = nullptr;  // this member's link to it, if it is a configured peer
  std::size_t size = 0;
  TurnBudget messages(scheduler_, kMessagesPerTurn);
  while (const auto envelope = co_await next_envelope(stream, reader, deadline, size)) {
    if (!messages.take()) co_await scheduler_.next_turn();
    if (envelope->kind == static_cast<std::uint32_t>(Kind::hello)) {
      Hello their_hello;
      if (!peer.empty() || !decode(envelope->body, their_hello)) break;
      peer = envelope->from;
      reader.limit_message(bounds_.max_message_bytes);
      position->in_use = true;
      const std::string answer = handshake_message(Kind::welcome, peer, envelope->from_incarnation);
      if ((co_await stream.write_all(answer, Clock::now() + bounds_.write_timeout)).status != IoStatus::ok)
        break;
      if (const auto it = links_.find(peer); it != links_.end()) link = it->second.get();
      if (link) {
        link->peer_reachable = true;
        link->backoff_delay.wake();
      }
    } else {
      if (envelope->from != peer) break;
      metrics_.count("peers.received");
      metrics_.count("peers.bytes_received", size);
      if (link) link->received += size;
      sink_.on_message(*envelope);
    }
    deadline = Clock::now() + bounds_.idle_timeout;
  }
  accepted_.remove(position);
}

}  // namespace kelpdeal::peers
