// SPDX-License-Identifier: MIT
#include "kelpdeal/operations/command.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace kelpdeal::operations {
namespace {

std::vector<std::string_view> split_words(std::string_view line) {
  std::vector<std::string_view> words;
  std::size_t position = 0;
  while (position < line.size()) {
    while (position < line.size() && (line[position] == ' ' || line[position] == '\t')) ++position;
    const std::size_t begin = position;
    while (position < line.size() && line[position] != ' ' && line[position] != '\t') ++position;
    if (position > begin) words.push_back(line.substr(begin, position - begin));
  }
  return words;
}

std::string to_upper(std::string_view word) {
  std::string text(word);
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return text;
}

}  // namespace

bool valid_node_id(std::string_view id) {
  return !id.empty() &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

std::optional<Command> parse_command(std::string_view line, std::string& problem) {
  const std::vector<std::string_view> words = split_words(line);
  if (words.empty()) {
    problem = "empty call";
    return std::nullopt;
  }
  const std::string name = to_upper(words[0]);
  Command command;
  std::size_t expected_words = 1;
  if (name == "HEALTH") {
    command.kind = Command::Kind::health;
  } else if (name == "LEAVE") {
    command.kind = Command::Kind::leave;
  } else if (name == "JOIN") {
    command.kind = Command::Kind::join;
  } else if (name == "OFFLINE" || name == "ONLINE") {
    command.kind = name == "OFFLINE" ? Command::Kind::offline : Command::Kind::online;
    expected_words = 2;
  } else {
    problem = "unknown call";
    return std::nullopt;
  }
  if (words.size() != expected_words) {
    problem = expected_words == 2 ? "wants one data node id" : "takes no argument";
    return std::nullopt;
  }
  if (expected_words == 2) {
    if (!valid_node_id(words[1])) {
      problem = "the id is not printable";
      return std::nullopt;
    }
    command.node = std::string(words[1]);
  }
  return command;
}

LineReader::State LineReader::feed(std::string_view piece) {
  if (state_ != State::more) return state_;
  const std::size_t end = piece.find('\n');
  line_.append(piece.substr(0, std::min(end, piece.size())));
  if (line_.size() > max_bytes_) return state_ = State::too_long;
  if (end == std::string_view::npos) return state_;
  if (line_.ends_with('\r')) line_.pop_back();
  return state_ = State::done;
}

std::string success(std::string_view text) {
  return text.empty() ? "SUCCESS\n" : "SUCCESS " + std::string(text) + "\n";
}
std::string failure(std::string_view text) {
  return text.empty() ? "FAILURE\n" : "FAILURE " + std::string(text) + "\n";
}

}  // namespace kelpdeal::operations
