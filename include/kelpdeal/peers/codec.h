// SPDX-License-Identifier: MIT
// Encodes the bodies of messages between coordinators as msgpack arrays. Fields added by a later format
// follow the known ones and are ignored; a body that is too short, has a wrong type or exceeds a limit is
// rejected as a whole.
#pragma once

#include <string>
#include <string_view>

#include "kelpdeal/membership/membership.h"
#include "kelpdeal/replica/syncer.h"

namespace kelpdeal::peers {

struct CodecBounds {
  std::size_t max_member_name_bytes = 64;  // of a member's name
  std::size_t max_updates = 2'000;         // per message
  std::size_t max_key_bytes = 256;         // of an entry's name
  std::size_t max_value_bytes = 64 * 1024;
  std::size_t max_items = 20'000;  // per delta
};

// The body of hello and welcome, the first message of each side of a link; the sender's identity is in the
// envelope.
struct Hello {
  std::uint32_t newest_format = 0, oldest_format = 0;  // formats that the sender can read
  // In a welcome: the incarnation of a later process under the name of the receiver, whose hello is therefore
  // rejected; 0: none.
  std::uint64_t superseded_by = 0;
  bool operator==(const Hello&) const = default;
};

// A request to all peers, for decisions that need more than local state.
struct Question {
  enum class Type : std::uint8_t {
    listed,  // whether a data node is known, by its uid
    // A claim on a keyed operation, by its entry's name; the reply includes what is known of the operation.
    claim,
    release  // the operation is over; `items` holds its outcome; not answered
  };
  std::uint64_t number = 0;  // as counted by the sender
  Type type = Type::listed;
  std::string name;
  // For a claim.
  std::uint32_t planned_attempts = 0, duration_ms = 0;
  std::int64_t at_ms = 0, window_ms = 0;
  std::vector<replica::Item> items;
};

struct Reply {
  std::uint64_t number = 0;
  bool affirmative = false;          // listed: the node is known here; claim: granted
  bool busy = false;                 // claim: held by another member
  std::vector<replica::Item> items;  // claim: the known state of the operation
};

std::string encode(const Hello& hello);
std::string encode(const Question& question);
std::string encode(const Reply& reply);
std::string encode(const membership::Message& message);
std::string encode(const replica::Delta& delta);
bool decode(std::string_view body, Hello& hello);
bool decode(std::string_view body, const CodecBounds& bounds, Question& question);
bool decode(std::string_view body, const CodecBounds& bounds, Reply& reply);
bool decode(std::string_view body, const CodecBounds& bounds, membership::Message& message);
bool decode(std::string_view body, const CodecBounds& bounds, replica::Delta& delta);

}  // namespace kelpdeal::peers
