// SPDX-License-Identifier: MIT
// Encoding of the frames between coordinators and record nodes. A frame is a 4-byte little-endian length,
// followed by that many bytes: one type byte and the payload. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kelpdeal/receive_buffer.h"

namespace kelpdeal::frames {

// Frame types.
inline constexpr char kCall = '1', kCancel = '2', kProbe = '3', kLoadProbe = '4', kAnswer = '5',
                      kUnusable = 'X';

struct Frame {
  char type = 0;
  std::string payload;
  bool value_dropped = false;  // the payload is the first line of an answer, without its value
};

std::string encode(char type, std::string_view payload);

// One part of a call.
struct CallPart {
  std::string id;
  int shard = 0;
  std::string options;  // comma-separated NAME=VALUE pairs: "d=240,k=..."
  std::string text;     // the query or the write operation
};
std::string encode_call(const std::vector<CallPart>& parts);
// What precedes the text of one part in a call.
struct CallPartHeader {
  std::string id;
  int shard = 0;
  std::string options;
  std::size_t text_bytes = 0;
};
// The bytes of a call between the texts: one string before each part's text, so that texts need not be
// copied.
std::vector<std::string> encode_call_headers(const std::vector<CallPartHeader>& parts);
// Empty if the payload is malformed.
std::optional<std::vector<CallPart>> decode_call(std::string_view payload);

// The answer to one part of a call.
struct AnswerPart {
  std::string id;
  char outcome = 'E';  // S: served, E: error, B: busy
  std::int64_t score = 0;
  std::string report;  // the node's load report, "-" if there is none
  std::string value;
};
std::string encode_answer(const AnswerPart& answer);
std::optional<AnswerPart> decode_answer(std::string_view payload);

// Splits a byte stream into frames.
class Reader {
 public:
  explicit Reader(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}
  void feed(std::string_view bytes);
  // The next complete frame, if there is one.
  std::optional<Frame> next();
  // Drops the value of the answer that is arriving, now and as it arrives: next() returns the answer without
  // it. False if no value has begun to arrive.
  bool drop_value();
  // True once the stream is invalid: a frame's length is 0 or exceeds the bound, its type is unknown, or the
  // first line of an answer is too long or has no end. No further frames are returned.
  bool bad() const { return bad_; }
  // True if a frame has been received in part.
  bool mid_frame() const { return !buffer_.empty() || dropping_bytes_ > 0; }
  // The memory in use, in bytes.
  std::size_t held_bytes() const { return buffer_.held_bytes(); }

 private:
  std::size_t max_frame_bytes_;
  ReceiveBuffer buffer_;
  std::size_t dropping_bytes_ = 0;            // still to arrive of a dropped value
  std::optional<Frame> frame_without_value_;  // not returned yet
  bool bad_ = false;
};

}  // namespace kelpdeal::frames
