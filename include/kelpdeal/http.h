// SPDX-License-Identifier: MIT
// HTTP/1.1 messages: an incremental, bounded parser for requests and responses (bodies by length or in
// chunks), and writers. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kelpdeal::http {

struct Headers {
  std::vector<std::pair<std::string, std::string>> fields;
  // Names are compared without regard to case. Null if absent.
  const std::string* find(std::string_view name) const;
  // True if the comma-separated list `name` holds `token`.
  bool lists(std::string_view name, std::string_view token) const;
};

struct Request {
  std::string method, target, body;
  int minor = 1;
  Headers headers;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  // The value of a query parameter, as written; nothing if absent.
  std::optional<std::string> parameter(std::string_view name) const;
  bool keeps_alive() const;
  // All query parameters, decoded, in the order written.
  std::vector<std::pair<std::string, std::string>> parameters() const;
};

struct Response {
  int status = 0, minor = 1;
  std::string body;
  Headers headers;
  bool keeps_alive() const;
};

struct Bounds {
  std::size_t head = 16 * 1024;
  std::size_t fields = 100;
  std::size_t body = 64 * 1024;
};

enum class State { more, head, done, bad };

// Feed it bytes until it is done or bad. What follows the message stays in the buffer for the next.
template <typename Message>
class Parser {
 public:
  explicit Parser(Bounds bounds) : bounds_(bounds) {}

  void feed(std::string_view bytes) { buffer_ += bytes; }
  // Goes as far as the bytes allow. Once done, take() hands the message over and starts the next.
  State advance();
  Message take();

  // Stops once at the end of each head, with State::head: its message can be looked at, and what its body may
  // hold be set, before the body is read.
  void stop_at_head() { stops_at_head_ = true; }
  const Message& message() const { return message_; }
  void bound_body(std::size_t most) { most_body_ = most; }
  // What of the body has come since the last call, for one that is used as it comes.
  std::string take_piece() { return std::exchange(message_.body, {}); }

  bool idle() const { return stage_ == Stage::start && buffer_.empty(); }
  // The status that tells a client what was wrong: 400, 413, 431, 501 or 505.
  int status() const { return status_; }
  const std::string& problem() const { return problem_; }
  // For responses whose body ends with the connection.
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
  bool line(std::string_view& text);
  bool start_line(std::string_view text);
  bool field(std::string_view text);
  bool framing();

  Bounds bounds_;
  std::string buffer_;
  Message message_;
  Stage stage_ = Stage::start;
  std::size_t left_ = 0, head_bytes_ = 0;
  std::size_t most_body_ = bounds_.body, body_bytes_ = 0;
  bool stops_at_head_ = false, stopped_ = false;
  int status_ = 400;
  std::string problem_;
};

template <>
bool Parser<Request>::start_line(std::string_view text);
template <>
bool Parser<Response>::start_line(std::string_view text);

std::string_view reason(int status);
std::string write(const Response& response);  // adds Content-Length
std::string write(const Request& request);    // adds Content-Length where there is a body

std::string percent_decode(std::string_view text, bool plus_is_space = true);

}  // namespace kelpdeal::http
