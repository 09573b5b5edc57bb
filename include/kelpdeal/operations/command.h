// SPDX-License-Identifier: MIT
// The operators' door: one call a connection, one line each way. The calls are `HEALTH`, `OFFLINE ID`,
// `ONLINE ID`, `LEAVE` and `JOIN`; the answer is a line that begins with `SUCCESS` or `FAILURE`.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kelpdeal::operations {

struct Command {
  enum class Kind { health, offline, online, leave, join };
  Kind kind = Kind::health;
  std::string node;  // the data node's id, of `OFFLINE` and `ONLINE`
};

// One call read from its line (without the line's end). Words are split by spaces or tabs; the call's name
// is taken in any case. Nothing, and `problem` says why, if it is not one of the calls.
std::optional<Command> parse_command(std::string_view line, std::string& problem);

// Whether a data node's id may stand in a call: one word of printable ASCII.
bool valid_node_id(std::string_view id);

// Collects a call's line from what arrives in pieces, bounded: a line longer than `most` bytes is refused.
class LineReader {
 public:
  enum class State { more, done, too_long };
  explicit LineReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  // Takes one piece; once `done`, line() holds the line without "\r\n" or "\n", and what follows is ignored.
  State feed(std::string_view piece);
  const std::string& line() const { return line_; }

 private:
  std::size_t max_bytes_;
  std::string line_;
  State state_ = State::more;
};

// The answer line, with its end.
std::string success(std::string_view text);
std::string failure(std::string_view text);

}  // namespace kelpdeal::operations
