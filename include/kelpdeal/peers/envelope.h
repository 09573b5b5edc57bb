// SPDX-License-Identifier: MIT
// What travels between coordinators: messages under a keyed hash. Pure functions on bytes; no I/O.
//
// On a link each message is a four-byte length (least significant byte first) and so many bytes: the hash
// (libsodium's BLAKE2b, keyed, 32 bytes) and what it covers, a msgpack array of format, sender, its
// incarnation, receiver, the receiver's incarnation as the sender knows it, a number that grows, kind, body,
// and whatever a later format adds. A receiver takes what is meant for its own process, under one of its
// keys, once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kelpdeal::peers {

constexpr std::uint32_t kFormat = 1;        // what is written
constexpr std::uint32_t kOldestFormat = 1;  // what is still read; the next format reads this one too
constexpr std::size_t kHashBytes = 32;
constexpr std::size_t kKeyBytes = 32;

// A hello opens a link, a welcome answers it, on that connection.
enum class Kind : std::uint32_t { hello, welcome, membership, delta, question, reply };

struct Envelope {
  std::uint32_t format = kFormat;
  std::string from, to;
  std::uint64_t from_incarnation = 0;
  std::uint64_t to_incarnation = 0;  // 0 only in a hello: the receiver's incarnation is not known yet
  std::uint64_t number = 0;          // grows with each message of that process to that receiver
  std::uint32_t kind = 0;            // one that is not known is passed over
  std::string body;
};

// The fleet's keys, the first signs. Two are valid at a time, so that they can be changed one member at a
// time.
class Keys {
 public:
  // One of 64 hex digits a line; empty lines are passed over. Nothing, and one line, if the text holds no
  // key, more than two, or something else.
  static std::optional<Keys> parse(std::string_view text, std::string& problem);
  std::string sign(std::string_view covered) const;
  bool verify(std::string_view hash, std::string_view covered) const;

 private:
  std::vector<std::string> keys_;
};

// The bytes of one message, length first.
std::string seal(const Envelope& envelope, const Keys& keys);

// Why a message was dropped; each is counted under its name.
// `outlived`: a hello of a process after which a later one of that name was heard.
enum class Drop { none, too_long, forged, unreadable, format, not_for_us, replayed, outlived };
const char* name_of(Drop drop);

// Messages off one link, whatever pieces its bytes come in. After `too_long` the link is of no use.
class Reader {
 public:
  explicit Reader(std::size_t most) : most_(most) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next whole message without its length; nothing while more is to come, or once too_long().
  std::optional<std::string> next();
  bool too_long() const { return too_long_; }

 private:
  std::size_t most_;
  std::string buffer_;
  bool too_long_ = false;
};

// What one process accepts: only under its keys, meant for this life of it, and each number once.
class Gate {
 public:
  Gate(std::string name, std::uint64_t life, const Keys& keys)
      : name_(std::move(name)), life_(life), keys_(keys) {}
  Drop open(std::string_view message, Envelope& envelope);
  // The latest process of that name that was heard; 0: none.
  std::uint64_t latest(const std::string& name) const;

 private:
  struct Seen {
    std::uint64_t life = 0, number = 0;
  };
  std::string name_;
  std::uint64_t life_;
  Keys keys_;
  // Of senders that hold the key. Hellos and welcomes travel on connections of their own, so each is counted
  // for itself: of two on their way at once either may come first.
  std::map<std::pair<std::string, std::uint32_t>, Seen> seen_;
};

}  // namespace kelpdeal::peers
