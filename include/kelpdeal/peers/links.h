// SPDX-License-Identifier: MIT
// Links between coordinators, run on the scheduler. To each peer there is one connection opened by this
// member, which carries only this member's messages after a hello in both directions; the peer's messages
// arrive on the connection that the peer opens. Nothing waits for a peer: unsent messages stay in a queue of
// bounded size, and messages that do not fit are dropped and counted, as their senders repeat them.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kelpdeal/accepted_connections.h"
#include "kelpdeal/admission/memory_account.h"
#include "kelpdeal/metrics.h"
#include "kelpdeal/peers/codec.h"
#include "kelpdeal/peers/envelope.h"
#include "kelpdeal/scheduler.h"
#include "kelpdeal/socket.h"

namespace kelpdeal::peers {

struct LinkBounds {
  std::size_t max_message_bytes = 1 << 20;   // of one message, both directions
  std::size_t max_hello_bytes = 4 * 1024;    // of the message by which a caller identifies itself
  std::size_t max_queue_bytes = 512 * 1024;  // waiting for one peer
  // Connections from peers, including those that have not been identified yet.
  std::size_t max_accepted = 64;
  Duration connect_timeout = Milliseconds(500);
  Duration handshake_timeout = Milliseconds(1'000);  // from connecting to the other side's hello
  Duration write_timeout = Milliseconds(2'000);      // of one message; a slower reader is reconnected
  Duration idle_timeout = Milliseconds(15'000);      // an accepted connection without a complete message
  // Between failed connection attempts.
  Duration min_backoff = Milliseconds(50), max_backoff = Milliseconds(2'000);
};

struct Peer {
  std::string name;
  Address address;  // as seen by this member
};

class LinkSink {
 public:
  virtual ~LinkSink() = default;
  // An authenticated message of a peer, of any kind except hello and welcome.
  virtual void on_message(const Envelope& envelope) = 0;
  // A link opened by this member, to that incarnation of the peer, came up or went down.
  virtual void on_link_changed(const std::string& peer, std::uint64_t incarnation, bool up) = 0;
  // A peer has heard a later process under this member's name and ignores this one.
  virtual void on_superseded(std::uint64_t incarnation) = 0;
};

class Links {
 public:
  // Messages are charged to `memory`, if there is one. Throws std::system_error if `listen` cannot be bound.
  Links(Scheduler& scheduler, std::string name, std::uint64_t incarnation, Address listen,
        const std::vector<Peer>& peers, const Keys& keys, const LinkBounds& bounds, Metrics& metrics,
        std::uint64_t seed, LinkSink& sink, admission::MemoryAccount* memory = nullptr);

  // Returns false if the message was dropped: unknown peer, too long, or the queue is full.
  bool send(const std::string& peer, Kind kind, std::string body);
  bool up(const std::string& peer) const;
  // Continues as a later incarnation: every link is reconnected under it.
  void restart_as(std::uint64_t incarnation);
  // Permanent: nothing is sent or received afterwards.
  void stop();
  std::size_t queued(const std::string& peer) const;  // bytes
  Address address() const { return listener_.address(); }
  // Traffic with a peer since the start; bytes include the envelope.
  struct Traffic {
    std::string peer;
    bool up = false;
    std::size_t queued = 0;
    std::uint64_t bytes_sent = 0, bytes_received = 0;
  };
  std::vector<Traffic> traffic() const;

 private:
  struct Message {
    Kind kind;
    std::string body;
  };
  struct Link {
    Link(Scheduler& scheduler, Address to, admission::Charge memory)
        : address(to), writer_wakeup(scheduler), backoff_delay(scheduler), queue_memory(std::move(memory)) {}
    Address address;
    Parker writer_wakeup;  // wakes the writer
    // Delays the next connection attempt.
    Parker backoff_delay;
    std::deque<Message> queue;
    std::size_t bytes = 0;
    admission::Charge queue_memory;
    // The number of the last message sent, the peer's incarnation, and the bytes sent and received.
    std::uint64_t number = 0, incarnation = 0, sent = 0, received = 0;
    Duration backoff{};
    bool up = false, broken = false;
    bool peer_reachable = false;  // it has connected to this member since the last attempt to connect to it
    std::unique_ptr<Stream> stream;
  };
  Task<void> connect_loop(std::string peer);
  Task<bool> handshake(const std::string& peer, Link& link);
  Task<void> accept_all();
  Task<void> serve_connection(AcceptedConnections::Position position);
  Task<std::optional<Envelope>> next_envelope(Stream& stream, MessageReader& reader, TimePoint deadline,
                                              std::size_t& bytes);
  admission::Charge new_charge() const;
  std::string handshake_message(Kind kind, const std::string& to, std::uint64_t to_incarnation,
                                std::uint64_t superseded_by = 0);
  void count_drop(DropReason reason);

  Scheduler& scheduler_;
  const std::string name_;
  std::uint64_t incarnation_;
  bool stopped_ = false;
  const Keys keys_;
  const LinkBounds bounds_;
  Metrics& metrics_;
  LinkSink& sink_;
  admission::MemoryAccount* const memory_;
  std::mt19937_64 random_;
  EnvelopeVerifier verifier_;
  Listener listener_;
  std::map<std::string, std::unique_ptr<Link>, std::less<>> links_;
  // Number of the last handshake message, by receiver.
  std::map<std::string, std::uint64_t, std::less<>> handshake_numbers_;
  AcceptedConnections accepted_;
};

}  // namespace kelpdeal::peers
