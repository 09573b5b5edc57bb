// SPDX-License-Identifier: MIT
// HTTP/1.1 messages: an incremental parser with bounds for requests and responses (Content-Length and chunked
// bodies), and writers. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kelpdeal/receive_buffer.h"

namespace kelpdeal::http {

struct Headers {
  std::vector<std::pair<std::string, std::string>> fields;
  // The first field of that name, compared case-insensitively; null if absent.
  const std::string* find(std::string_view name) const;
  // True if a field `name`, a comma-separated list, contains `token`.
  bool has_token(std::string_view name, std::string_view token) const;
};

struct Request {
  std::string method, target, body;
  int minor_version = 1;
  Headers headers;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  // The decoded value of a query parameter; empty if absent.
  std::optional<std::string> parameter(std::string_view name) const;
  bool keeps_alive() const;
  // All query parameters, decoded, in order of appearance.
  std::vector<std::pair<std::string, std::string>> parameters() const;
};

struct Response {
  int status = 0, minor_version = 1;
  std::string body;
  Headers headers;
  bool keeps_alive() const;
};

// The largest message that a parser accepts.
struct Bounds {
  std::size_t head = 16 * 1024;  // bytes of the start line and the header fields
  std::size_t fields = 100;      // number of header fields
  std::size_t body = 64 * 1024;  // bytes
};

// more: needs more input. head: stopped after the head, see Parser::stop_at_head(). done: a complete message
// is available. bad: the input is malformed or exceeds a bound.
enum class State { more, head, done, bad };

// Incremental parser. Input after the end of a message stays buffered for the next message.
template <typename Message>
class Parser {
 public:
  explicit Parser(Bounds bounds) : bounds_(bounds) {}

  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // Parses as much of the input as possible. After State::done, take() returns the message and starts the
  // next one.
  State advance();
  Message take();

  // Makes advance() return State::head once after the head of each message, so that the caller can inspect
  // message() and set a limit for the body before the body is parsed.
  void stop_at_head() { stops_at_head_ = true; }
  const Message& message() const { return message_; }
  void limit_body(std::size_t max_bytes) { max_body_ = max_bytes; }
  // Takes the part of the body received since the last call, for bodies that are processed as a stream.
  std::string take_body_chunk() { return std::exchange(message_.body, {}); }

  // True between messages: no byte of the next message has arrived.
  bool idle() const { return stage_ == Stage::start && buffer_.empty(); }
  // After State::bad: the response status for the error (400, 413, 431, 501 or 505) and its description.
  int status() const { return status_; }
  const std::string& problem() const { return problem_; }
  // The memory that the unfinished message takes, in bytes.
  std::size_t held_bytes() const;
  // Drops the input and the unfinished message, and frees their memory. The parser is then of no further use.
  void discard();
  // Completes a response whose body is delimited by the end of the connection. False for any other message.
  bool finish_at_eof();

 private:
  enum class Stage {
    start,
    head,
    framing,
    length,
    chunk_size,
    chunk,
    chunk_end,
    trailer,
    until_end,
    done,
    bad
  };
  State bad(int status, std::string problem);
  bool peek_line(std::string_view& text);
  bool parse_start_line(std::string_view text);
  bool parse_field(std::string_view text);
  bool parse_framing();

  Bounds bounds_;
  ReceiveBuffer buffer_;
  Message message_;
  Stage stage_ = Stage::start;
  // remaining_: bytes left of the body or chunk; while lines are parsed, the length of the current line.
  std::size_t remaining_ = 0, head_bytes_ = 0;
  std::size_t max_body_ = bounds_.body, body_bytes_ = 0;
  bool stops_at_head_ = false, stopped_at_head_ = false;
  int status_ = 400;
  std::string problem_;
};

template <>
bool Parser<Request>::parse_start_line(std::string_view text);
template <>
bool Parser<Response>::parse_start_line(std::string_view text);

std::string_view reason(int status);
std::string write(const Response& response);  // adds Content-Length
std::string write(const Request& request);    // adds Content-Length if there is a body
// The same up to the body.
std::string write_head(const Response& response);
std::string write_head(const Request& request);

std::string percent_decode(std::string_view text, bool plus_is_space = true);

}  // namespace kelpdeal::http
