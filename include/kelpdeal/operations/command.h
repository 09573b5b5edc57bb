// SPDX-License-Identifier: MIT
// Protocol of the operator interface: one command per connection, one line in each direction. The commands
// are `HEALTH`, `OFFLINE ID`, `ONLINE ID`, `LEAVE` and `JOIN`. The answer line begins with `SUCCESS` or
// `FAILURE`.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kelpdeal::operations {

struct Command {
  enum class Kind { health, offline, online, leave, join };
  Kind kind = Kind::health;
  std::string node;  // record node id of `OFFLINE` and `ONLINE`
};

// Parses a command line (without its line end). Words are separated by spaces or tabs; the command name is
// case-insensitive. Returns nothing and sets `problem` if the line is not a valid command.
std::optional<Command> parse_command(std::string_view line, std::string& problem);

// Whether a record node's id may appear in a command: one word of printable ASCII.
bool valid_node_id(std::string_view id);

// Assembles a command line from the received pieces. A line longer than `max_bytes` is rejected.
class LineReader {
 public:
  enum class State { more, done, too_long };
  explicit LineReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  // Adds one piece. Once `done`, line() returns the line without "\r\n" or "\n"; further input is ignored.
  State feed(std::string_view piece);
  const std::string& line() const { return line_; }

 private:
  std::size_t max_bytes_;
  std::string line_;
  State state_ = State::more;
};

// The answer line, including its line end.
std::string success(std::string_view text);
std::string failure(std::string_view text);

}  // namespace kelpdeal::operations
