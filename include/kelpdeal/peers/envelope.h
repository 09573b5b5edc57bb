// SPDX-License-Identifier: MIT
// The authenticated envelope of messages between coordinators. Pure functions on bytes; no I/O.
//
// On a link each message is a four-byte length (little-endian) followed by that many bytes: the keyed hash
// (libsodium's BLAKE2b, 32 bytes) and the bytes it covers, a msgpack array of format, sender, the sender's
// incarnation, receiver, the receiver's incarnation as known to the sender, an increasing number, kind, body,
// and any fields of a later format. A receiver accepts a message that is addressed to its own incarnation and
// signed with one of its keys, and accepts it once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kelpdeal/receive_buffer.h"

namespace kelpdeal::peers {

constexpr std::uint32_t kFormat = 1;        // written
constexpr std::uint32_t kOldestFormat = 1;  // read; the next format will read this one too
constexpr std::size_t kHashBytes = 32;
constexpr std::size_t kKeyBytes = 32;

// A hello opens a link; a welcome answers it on the same connection.
enum class Kind : std::uint32_t { hello, welcome, membership, delta, question, reply };

struct Envelope {
  std::uint32_t format = kFormat;
  std::string from, to;
  std::uint64_t from_incarnation = 0;
  // 0 only in a hello, when the receiver's incarnation is not known yet.
  std::uint64_t to_incarnation = 0;
  std::uint64_t number = 0;  // increases with each message of that process to that receiver
  std::uint32_t kind = 0;    // unknown kinds are ignored
  std::string body;
};

// The fleet's keys; the first one signs. Two are valid at a time, so that keys can be rotated member by
// member.
class Keys {
 public:
  // Parses one key of 64 hex digits per line; empty lines are ignored. Returns nothing and sets `problem` if
  // the text holds no key, more than two, or anything else.
  static std::optional<Keys> parse(std::string_view text, std::string& problem);
  std::string sign(std::string_view covered) const;
  bool verify(std::string_view hash, std::string_view covered) const;

 private:
  std::vector<std::string> keys_;
};

// Encodes and signs a message, length prefix included.
std::string seal(const Envelope& envelope, const Keys& keys);

// Why a message was dropped; each reason is counted under its name. `superseded`: a hello of a process
// although a later one of that name was heard.
enum class DropReason { none, too_long, forged, unreadable, format, not_for_us, replayed, superseded };
const char* name_of(DropReason reason);

// Splits the byte stream of a link into messages. After too_long() the link cannot be used any more.
class MessageReader {
 public:
  explicit MessageReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete message without its length prefix; nothing while it is incomplete, or after too_long().
  std::optional<std::string> next();
  bool too_long() const { return too_long_; }
  void limit_message(std::size_t max_bytes) { max_bytes_ = max_bytes; }
  // The memory in use, in bytes.
  std::size_t held_bytes() const { return buffer_.held_bytes(); }

 private:
  std::size_t max_bytes_;
  ReceiveBuffer buffer_;
  bool too_long_ = false;
};

// Verifies messages for one process: signed with one of its keys, addressed to its incarnation, and each
// number once.
class EnvelopeVerifier {
 public:
  EnvelopeVerifier(std::string name, std::uint64_t incarnation, const Keys& keys)
      : name_(std::move(name)), incarnation_(incarnation), keys_(keys) {}
  DropReason open(std::string_view message, Envelope& envelope);
  // The latest incarnation heard under that name; 0: none.
  std::uint64_t latest_incarnation(const std::string& name) const;

 private:
  struct Seen {
    std::uint64_t incarnation = 0, number = 0;
  };
  std::string name_;
  std::uint64_t incarnation_;
  Keys keys_;
  // By authenticated sender. Hellos and welcomes travel on separate connections, so each is counted
  // separately: two that are under way at the same time may arrive in either order.
  std::map<std::pair<std::string, std::uint32_t>, Seen> last_seen_;
};

}  // namespace kelpdeal::peers
