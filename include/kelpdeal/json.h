// SPDX-License-Identifier: MIT
// JSON: a value type, a parser with bounds on depth and size, a validator, lazy scanners that build no
// values, and writers. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace kelpdeal::json {

class Value;
// An integer that a double cannot represent exactly.
struct ExactInteger {
  double approximate = 0;
  std::int64_t value = 0;
  bool operator==(const ExactInteger&) const = default;
};
// JSON text that the writers emit unchanged. It must be valid JSON.
struct Raw {
  std::string text;
  bool operator==(const Raw&) const = default;
};
using Array = std::vector<Value>;
using Member = std::pair<std::string, Value>;
using Object = std::vector<Member>;  // in document order

class Value {
 public:
  Value() = default;
  Value(bool value) : data_(value) {}
  Value(double value) : data_(value) {}
  Value(int value) : data_(static_cast<double>(value)) {}
  Value(std::int64_t value);
  Value(std::uint64_t value) : data_(static_cast<double>(value)) {}
  Value(Raw text) : data_(std::move(text)) {}
  Value(std::string value) : data_(std::move(value)) {}
  Value(std::string_view value) : data_(std::string(value)) {}
  Value(const char* value) : data_(std::string(value)) {}
  Value(Array value) : data_(std::move(value)) {}
  Value(Object value) : data_(std::move(value)) {}

  bool is_null() const { return std::holds_alternative<std::monostate>(data_); }
  const bool* boolean() const { return std::get_if<bool>(&data_); }
  const double* number() const {
    if (const ExactInteger* exact = std::get_if<ExactInteger>(&data_)) return &exact->approximate;
    return std::get_if<double>(&data_);
  }
  // The exact value of an integer that fits into 64 bits; empty for any other value.
  std::optional<std::int64_t> integer() const;
  const std::string* string() const { return std::get_if<std::string>(&data_); }
  const Array* array() const { return std::get_if<Array>(&data_); }
  const Object* object() const { return std::get_if<Object>(&data_); }
  Array* array() { return std::get_if<Array>(&data_); }
  Object* object() { return std::get_if<Object>(&data_); }
  const Raw* raw() const { return std::get_if<Raw>(&data_); }

  // The member of that name, or null. If a name occurs more than once, the last member counts.
  const Value* find(std::string_view name) const;
  // Looks up a path of member names separated by dots; null if there is no such value.
  const Value* at(std::string_view path) const;

  // The value at the path, or the fallback if it is absent or of another type.
  double number_or(std::string_view path, double fallback) const;
  std::string text_or(std::string_view path, std::string_view fallback) const;
  bool flag_or(std::string_view path, bool fallback) const;

  bool operator==(const Value& other) const = default;

 private:
  std::variant<std::monostate, bool, double, std::string, Array, Object, ExactInteger, Raw> data_;
};

// The largest nesting depth and number of values that a text may have.
struct Bounds {
  std::size_t depth = 32;
  std::size_t values = 100'000;
};

// Parses a complete JSON text. If it is invalid or exceeds the bounds, returns nothing and sets `error`.
std::optional<Value> parse(std::string_view text, std::string& error, const Bounds& bounds = {});

// Whether the text is a complete, valid JSON text. Builds no values, so only the depth needs a bound.
bool valid(std::string_view text, const Bounds& bounds = {256, static_cast<std::size_t>(-1)});

// Iterates over the members of an object or the items of an array without building values. The text may
// continue after the closing bracket. The text must have passed valid(); for any other text the results are
// unspecified, but lie within the text. Scanning is lazy: a value is skipped only when the next one is
// requested.
class Scanner {
 public:
  explicit Scanner(std::string_view text);
  bool is_object() const { return open_ == '{'; }
  bool is_array() const { return open_ == '['; }
  // Moves to the next member or item; false at the end.
  bool next();
  std::string_view name() const { return name_; }  // the member's name, escapes not decoded
  // The current value's text.
  std::string_view raw();
  // The text from the current value to the end, for a nested Scanner.
  std::string_view remaining() const { return text_.substr(value_at_); }
  // Continues at `end`, the end() of a nested Scanner over the current value, which avoids skipping the value
  // a second time. Null is ignored.
  void skip_to(const char* end) {
    if (end) at_ = static_cast<std::size_t>(end - text_.data());
  }
  // The position after the closing bracket once next() has reached it; null before.
  const char* end() const { return closed_ ? text_.data() + at_ : nullptr; }

 private:
  std::string_view text_, name_;
  std::size_t at_ = 0, value_at_ = 0;  // equal until the current value has been skipped
  char open_ = 0;
  bool started_ = false, closed_ = false;
};
// The raw text of the first member of that name; empty if there is none.
std::optional<std::string_view> member(std::string_view object, std::string_view name);
// Decodes a JSON string; text without quotes is returned unchanged.
std::string unquote(std::string_view raw);

// Extracts the items of the array `member` from an object's text that arrives in pieces. Returns each item as
// text as soon as it is complete and buffers no more than one item.
class ItemStream {
 public:
  ItemStream(std::string member, std::size_t max_bytes) : member_(std::move(member)), max_bytes_(max_bytes) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete item, if there is one. Its text is not validated: see valid().
  std::optional<std::string> next();
  // True if the text is not an object, or if an item or the text outside the items exceeds `max_bytes`.
  bool bad() const { return bad_; }
  bool done() const { return done_; }
  // The memory in use, in bytes.
  std::size_t held_bytes() const { return buffer_.capacity(); }

 private:
  void discard_consumed();

  std::string member_, buffer_, key_;
  std::size_t max_bytes_, at_ = 0, bytes_outside_items_ = 0;
  std::size_t outside_start_ = 0;  // start of the current text outside items
  std::size_t depth_ = 0;          // number of open brackets
  std::size_t item_start_ = npos;  // start of the current item
  bool in_string_ = false, escaped_ = false, in_list_ = false, value_next_ = false;
  std::size_t string_start_ = npos;
  bool bad_ = false, done_ = false;
  static constexpr std::size_t npos = static_cast<std::size_t>(-1);
};

std::string write(const Value& value);
// On several lines, indented by two spaces; on one line if that would take more than `max_bytes`, as the
// spaces can make up most of a deeply nested text.
std::string write_pretty(const Value& value, std::size_t max_bytes = 16 << 20);
// Valid JSON text without the white space between its tokens.
std::string compact(std::string_view text);
// A quoted and escaped JSON string.
std::string quote(std::string_view text);

}  // namespace kelpdeal::json
