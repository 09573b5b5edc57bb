// SPDX-License-Identifier: MIT
// Splits the body of a bulk request into lines and items as it is received. Memory use is bounded regardless
// of the length of the body. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "kelpdeal/json.h"
#include "kelpdeal/receive_buffer.h"

namespace kelpdeal::search {

// Splits a byte stream into lines. A line longer than `max_line_bytes` sets line_too_long() and ends the
// splitting.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t max_line_bytes) : max_line_bytes_(max_line_bytes) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete line; after finish(), also text after the last line break.
  std::optional<std::string> next();
  void finish() { finished_ = true; }
  bool line_too_long() const { return too_long_; }
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  std::size_t max_line_bytes_;
  std::size_t searched_ = 0;  // bytes of the current line that are known to hold no line break
  ReceiveBuffer buffer_;
  bool finished_ = false, too_long_ = false;
};

struct BulkItem {
  enum class Action { index, create, update, erase } action = Action::index;
  std::string index, id, routing;
  std::string document;  // empty for a delete
  std::string problem;   // why the item is invalid, or empty; if set, the other members may be empty
  const char* action_name() const;
};

// Assembles bulk items from lines.
class BulkParser {
 public:
  BulkParser(std::string default_index, const json::Bounds& bounds)
      : default_index_(std::move(default_index)), bounds_(bounds) {}
  // Returns an item if this line completes one. Throws ApiError for an invalid action line: whether the next
  // line is a document or an action is then unknown, so parsing cannot continue.
  std::optional<BulkItem> add_line(std::string text);
  std::size_t line_count() const { return line_count_; }
  bool awaiting_document() const { return pending_item_.has_value(); }

 private:
  std::string default_index_;
  const json::Bounds bounds_;
  std::optional<BulkItem> pending_item_;  // an action whose document has not been read yet
  std::size_t line_count_ = 0;
};

}  // namespace kelpdeal::search
