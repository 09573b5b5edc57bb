// SPDX-License-Identifier: MIT
// The bodies of messages between coordinators as msgpack arrays. Fields that a later format adds stand behind
// those known and are passed over; what is short, of another type or over a bound is refused whole.
#pragma once

#include <string>
#include <string_view>

#include "kelpdeal/membership/membership.h"
#include "kelpdeal/replica/syncer.h"

namespace kelpdeal::peers {

struct CodecBounds {
  std::size_t name_bytes = 64;  // of a member
  std::size_t rumours = 2'000;  // in one message
  std::size_t key_bytes = 256;  // of an entry's name
  std::size_t value_bytes = 64 * 1024;
  std::size_t items = 20'000;  // in one piece
};

// What a process says first on a link, in a hello and in a welcome: who it is stands in the envelope.
struct Hello {
  std::uint32_t newest_format = 0, oldest_format = 0;  // that it reads
  // In a welcome: a later process under the name of whoever said hello, which is not taken therefore. 0:
  // none.
  std::uint64_t later = 0;
  bool operator==(const Hello&) const = default;
};

// Asked of all peers, where an answer of one's own is not enough.
struct Question {
  enum class What : std::uint8_t {
    listed,  // is a data node known, by its uid
    claim,   // a keyed operation, by its entry's name: may I send it, and what is known of it
    release  // it is over; `items` says what came of it. Not answered
  };
  std::uint64_t number = 0;  // as its asker counts
  What what = What::listed;
  std::string name;
  // Of a claim.
  std::uint32_t planned = 0, span_ms = 0;
  std::int64_t at_ms = 0, window_ms = 0;
  std::vector<replica::Item> items;
};

struct Reply {
  std::uint64_t number = 0;
  bool yes = false;                  // listed: it is known here; claim: granted
  bool busy = false;                 // claim: another holds it
  std::vector<replica::Item> items;  // claim: what is held of the operation
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
