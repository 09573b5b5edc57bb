// SPDX-License-Identifier: MIT
#include "kelpdeal/peers/links.h"

#include <algorithm>

namespace kelpdeal::peers {

Links::Links(Scheduler& scheduler, std::string name, std::uint64_t life, Address listen,
             const std::vector<Peer>& peers, const Keys& keys, const LinkBounds& bounds, Metrics& metrics,
             std::uint64_t seed, LinkSink& sink)
    : scheduler_(scheduler),
      name_(std::move(name)),
      life_(life),
      keys_(keys),
      bounds_(bounds),
      metrics_(metrics),
      sink_(sink),
      random_(seed),
      gate_(name_, life, keys),
      listener_(scheduler, listen, static_cast<int>(bounds.accepted)) {
  for (const Peer& peer : peers) links_[peer.name] = std::make_unique<Link>(scheduler, peer.address);
  for (const auto& [peer, link] : links_) scheduler_.spawn(call(peer));
  scheduler_.spawn(accept_all());
}

bool Links::send(const std::string& peer, Kind kind, std::string body) {
  const auto it = links_.find(peer);
  if (it == links_.end() || stopped_) return false;
  Link& link = *it->second;
  // Guards against memory that grows with a peer that is gone or reads slowly.
  if (body.size() + 256 > bounds_.message_bytes || link.bytes + body.size() > bounds_.queue_bytes) {
    metrics_.count("peers.dropped_full");
    return false;
  }
  link.bytes += body.size();
  link.queue.push_back({kind, std::move(body)});
  link.wanted.wake();
  return true;
}

bool Links::up(const std::string& peer) const {
  const auto it = links_.find(peer);
  return it != links_.end() && it->second->up;
}

void Links::become(std::uint64_t life) {
  life_ = life;
  gate_ = Gate(name_, life, keys_);
  for (const auto& [peer, link] : links_) {
    link->broken = true;
    link->wanted.wake();
  }
  for (const auto& stream : accepted_) stream->cancel();
}

void Links::stop() {
  stopped_ = true;
  listener_.close();
  become(life_);
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

std::string Links::greeting(Kind kind, const std::string& to, std::uint64_t to_life, std::uint64_t later) {
  Envelope e;
  e.from = name_;
  e.from_life = life_;
  e.to = to;
  e.to_life = to_life;
  e.number = ++greetings_[to];
  e.kind = static_cast<std::uint32_t>(kind);
  e.body = encode(Hello{kFormat, kOldestFormat, later});
  return seal(e, keys_);
}

void Links::drop(Drop drop) {
  metrics_.count(std::string("peers.dropped_") + name_of(drop));
  metrics_.log("peers", std::string("a message was dropped: ") + name_of(drop));
}

// The next message that the gate lets through; nothing once the connection is of no more use.
Task<std::optional<Envelope>> Links::next(Stream& stream, Reader& reader, TimePoint deadline,
                                          std::size_t& bytes) {
  std::vector<char> chunk(16 * 1024);
  for (;;) {
    while (const auto message = reader.next()) {
      Envelope envelope;
      const Drop why = gate_.open(*message, envelope);
      bytes = message->size() + 4;
      if (why == Drop::none) co_return envelope;
      drop(why);
      // Guards against one whose clock was set back over a restart without a folder: nobody would hear it
      // until its clock has caught up. Told, it goes on as a later process, or knows that it is out.
      if (why == Drop::outlived) {
        const std::string told =
            greeting(Kind::welcome, envelope.from, envelope.from_life, gate_.latest(envelope.from));
        co_await stream.write_all(told, deadline);
        co_return std::nullopt;
      }
      // Guards against floods: a connection that brings what is not the fleet's own brings nothing more.
      if (why == Drop::forged || why == Drop::unreadable) co_return std::nullopt;
    }
    if (reader.too_long()) {
      drop(Drop::too_long);
      co_return std::nullopt;
    }
    const IoResult got = co_await stream.read_some(chunk, deadline);
    if (got.status != IoStatus::ok) co_return std::nullopt;
    reader.feed({chunk.data(), got.bytes});
  }
}

// ---- to a peer ----
Task<bool> Links::greet(const std::string& peer, Link& link) {
  const TimePoint until = Clock::now() + bounds_.hello;
  const std::string bytes = greeting(Kind::hello, peer, 0);
  if ((co_await link.stream->write_all(bytes, until)).status != IoStatus::ok) co_return false;
  Reader reader(bounds_.message_bytes);
  std::size_t size = 0;
  const auto answer = co_await next(*link.stream, reader, until, size);
  Hello theirs;
  if (!answer || answer->from != peer || answer->kind != static_cast<std::uint32_t>(Kind::welcome) ||
      !decode(answer->body, theirs))
    co_return false;
  // Guards against two that cannot read each other and would count each other's messages as faults.
  if (theirs.newest_format + 1 < kFormat || theirs.oldest_format > kFormat) {
    metrics_.log("peers", peer + " speaks no format that this one knows");
    co_return false;
  }
  if (theirs.later > life_) {
    sink_.outlived(theirs.later);
    co_return false;
  }
  link.life = answer->from_life;
  co_return true;
}

Task<void> Links::call(std::string peer) {
  Link& link = *links_.find(peer)->second;
  while (!stopped_) {
    link.stream = co_await connect(scheduler_, link.address, Clock::now() + bounds_.connect);
    link.broken = false;
    if (link.stream && co_await greet(peer, link)) {
      link.up = true;
      link.backoff = {};
      metrics_.count("peers.links_up");
      metrics_.log("peers", "the link to " + peer + " is up");
      link.stream->on_hang_up([&link] {
        link.broken = true;
        link.wanted.wake();
      });
      sink_.link_changed(peer, link.life, true);
      while (!link.broken) {
        if (link.queue.empty()) {
          co_await link.wanted.park();
          continue;
        }
        Message message = std::move(link.queue.front());
        link.queue.pop_front();
        link.bytes -= message.body.size();
        Envelope e;
        e.from = name_;
        e.from_life = life_;
        e.to = peer;
        e.to_life = link.life;
        e.number = ++link.number;
        e.kind = static_cast<std::uint32_t>(message.kind);
        e.body = std::move(message.body);
        const std::string bytes = seal(e, keys_);
        if ((co_await link.stream->write_all(bytes, Clock::now() + bounds_.write)).status != IoStatus::ok)
          break;
        metrics_.count("peers.sent");
        metrics_.count("peers.bytes_sent", bytes.size());
        link.sent += bytes.size();
      }
      link.up = false;
      link.stream->on_hang_up(nullptr);
      metrics_.log("peers", "the link to " + peer + " is down");
      sink_.link_changed(peer, link.life, false);
    }
    link.stream = nullptr;
    // Full jitter, capped: members that lost one peer together do not call it together.
    link.backoff = std::min(std::max(2 * link.backoff, bounds_.least_backoff), bounds_.most_backoff);
    const double share = std::uniform_real_distribution<>(0.25, 1)(random_);
    // One that calls us can be called: a peer that is back is not left waiting for the rest of a pause.
    if (co_await link.pause.park(Clock::now() + to_duration(FractionalMs(link.backoff) * share)) ==
        WakeReason::ready)
      link.backoff = {};
  }
}

// ---- of peers ----
Task<void> Links::accept_all() {
  while (auto stream = co_await listener_.accept()) {
    metrics_.count("peers.accepted");
    // Guards against callers that hold all connections: the one that has been there longest goes; a peer
    // calls again.
    if (accepted_.size() >= bounds_.accepted) {
      metrics_.count("peers.shed");
      accepted_.front()->cancel();
    }
    accepted_.push_back(std::move(stream));
    scheduler_.spawn(listen_to(std::prev(accepted_.end())));
  }
}

Task<void> Links::listen_to(Accepted::iterator place) {
  Stream& stream = **place;
  Reader reader(bounds_.message_bytes);
  TimePoint until = Clock::now() + bounds_.hello;
  std::string peer;
  Link* link = nullptr;  // ours to it, if it is one of those configured
  std::size_t size = 0;
  while (const auto envelope = co_await next(stream, reader, until, size)) {
    if (envelope->kind == static_cast<std::uint32_t>(Kind::hello)) {
      Hello theirs;
      if (!peer.empty() || !decode(envelope->body, theirs)) break;
      peer = envelope->from;
      const std::string answer = greeting(Kind::welcome, peer, envelope->from_life);
      if ((co_await stream.write_all(answer, Clock::now() + bounds_.write)).status != IoStatus::ok) break;
      if (const auto it = links_.find(peer); it != links_.end()) link = it->second.get();
      if (link) link->pause.wake();
    } else {
      if (envelope->from != peer) break;
      metrics_.count("peers.received");
      metrics_.count("peers.bytes_received", size);
      if (link) link->received += size;
      sink_.heard(*envelope);
    }
    until = Clock::now() + bounds_.idle;
  }
  accepted_.erase(place);
}

}  // namespace kelpdeal::peers
