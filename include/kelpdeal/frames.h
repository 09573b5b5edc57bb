// SPDX-License-Identifier: MIT
// The frames between coordinators and record nodes: a length of four bytes (least significant first) that
// covers a letter and the rest. Pure functions on bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kelpdeal::frames {

inline constexpr char kCall = '1', kCancel = '2', kProbe = '3', kLoadProbe = '4', kAnswer = '5',
                      kUnusable = 'X';

struct Frame {
  char letter = 0;
  std::string rest;
};

std::string encode(char letter, std::string_view rest);

// One part of a call.
struct CallPart {
  std::string id;
  int shard = 0;
  std::string list;  // "d=240,k=..."
  std::string text;
};
std::string encode_call(const std::vector<CallPart>& parts);
// Nothing if it is malformed.
std::optional<std::vector<CallPart>> decode_call(std::string_view rest);

struct AnswerPart {
  std::string id;
  char end = 'E';  // S, E or B
  std::int64_t score = 0;
  std::string report;  // "-" if there is none
  std::string value;
};
std::string encode_answer(const AnswerPart& answer);
std::optional<AnswerPart> decode_answer(std::string_view rest);

// Cuts a stream of bytes into frames.
class Reader {
 public:
  explicit Reader(std::size_t most) : most_(most) {}
  void feed(std::string_view bytes) { buffer_ += bytes; }
  // The next whole frame, if there is one.
  std::optional<Frame> next();
  // True once nothing more can be read: a length is 0 or over the bound, a letter is unknown, an answer's
  // line has no end.
  bool bad() const { return bad_; }
  // True if a frame has begun and is not whole.
  bool midway() const { return !buffer_.empty(); }

 private:
  std::size_t most_;
  std::string buffer_;
  bool bad_ = false;
};

}  // namespace kelpdeal::frames
