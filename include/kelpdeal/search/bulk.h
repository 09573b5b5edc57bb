// SPDX-License-Identifier: MIT
// A bulk's lines as they come in: which items they make up. Bounded whatever the bulk's length; no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

// Cuts bytes into lines. One longer than `most` ends it.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t most) : most_(most) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next whole line; after end(), also what stands behind the last line's end.
  std::optional<std::string> next();
  void finish() { ended_ = true; }
  bool line_too_long() const { return too_long_; }
  std::size_t buffered_bytes() const { return buffer_.size() - at_; }

 private:
  std::size_t most_, at_ = 0;
  std::string buffer_;
  bool ended_ = false, too_long_ = false;
};

struct BulkItem {
  enum class Action { index, create, update, erase } action = Action::index;
  std::string index, id, routing;
  std::string document;  // empty for a delete
  std::string problem;   // why it cannot be done; the other members may be empty then
  const char* name() const;
};

// Puts lines together to items.
class BulkParser {
 public:
  BulkParser(std::string default_index, const json::Bounds& bounds)
      : default_index_(std::move(default_index)), bounds_(bounds) {}
  // An item, if this line ends one. A line that is no action throws ApiError: what stands behind it could be
  // either, so nothing more can be read.
  std::optional<BulkItem> add_line(std::string text);
  std::size_t line_count() const { return lines_; }
  bool awaiting_document() const { return waiting_.has_value(); }

 private:
  std::string default_index_;
  const json::Bounds bounds_;
  std::optional<BulkItem> waiting_;  // for its document
  std::size_t lines_ = 0;
};

// A key under which a node tells a repeat of the same write from another one: at most 32 hexadecimal digits.
std::string idempotency_key(std::string_view client_key, std::string_view index, std::string_view id,
                            std::string_view document);

}  // namespace kelpdeal::search
