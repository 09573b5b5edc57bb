// SPDX-License-Identifier: MIT
// JSON values, a bounded reader and a writer. Pure functions on bytes.
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
// A whole number that a double does not hold exactly.
struct Exact {
  double approximate = 0;
  std::int64_t value = 0;
  bool operator==(const Exact&) const = default;
};
// JSON text that is written as it stands; whoever makes one has checked it.
struct Raw {
  std::string text;
  bool operator==(const Raw&) const = default;
};
using Array = std::vector<Value>;
using Member = std::pair<std::string, Value>;
using Object = std::vector<Member>;  // in the order written

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
    if (const Exact* exact = std::get_if<Exact>(&data_)) return &exact->approximate;
    return std::get_if<double>(&data_);
  }
  // Exactly, if it is a whole number that 64 bits hold.
  std::optional<std::int64_t> integer() const;
  const std::string* string() const { return std::get_if<std::string>(&data_); }
  const Array* array() const { return std::get_if<Array>(&data_); }
  const Object* object() const { return std::get_if<Object>(&data_); }
  Array* array() { return std::get_if<Array>(&data_); }
  Object* object() { return std::get_if<Object>(&data_); }
  const Raw* raw() const { return std::get_if<Raw>(&data_); }

  // The member of that name, or null. Of two of one name the last counts.
  const Value* find(std::string_view name) const;
  // Follows names separated by dots.
  const Value* at(std::string_view path) const;

  double number_or(std::string_view path, double absent) const;
  std::string text_or(std::string_view path, std::string_view absent) const;
  bool flag_or(std::string_view path, bool absent) const;

  bool operator==(const Value& other) const = default;

 private:
  std::variant<std::monostate, bool, double, std::string, Array, Object, Exact, Raw> data_;
};

struct Bounds {
  std::size_t depth = 32;
  std::size_t values = 100'000;
};

// One whole JSON text, or why it is not one in `error`.
std::optional<Value> parse(std::string_view text, std::string& error, const Bounds& bounds = {});

// Whether it is one whole JSON text; builds nothing, so that only the depth needs a bound.
bool valid(std::string_view text, const Bounds& bounds = {256, static_cast<std::size_t>(-1)});

// Goes through the members of an object, or the items of an array, without building values. The text may go
// on behind its end. For text that valid() has passed; of any other text it may give anything that lies
// within it. What is not asked for is not looked at: a value is passed over only once the next one is wanted.
class Scanner {
 public:
  explicit Scanner(std::string_view text);
  bool is_object() const { return open_ == '{'; }
  bool is_array() const { return open_ == '['; }
  // False at the end.
  bool next();
  std::string_view name() const { return name_; }  // of a member, escapes as written
  // The value's text.
  std::string_view raw();
  // The same, and all that stands behind it: for another Walk.
  std::string_view remaining() const { return text_.substr(value_at_); }
  // Where another one over this value came to its end, so that it need not be passed over again.
  void skip_to(const char* end) {
    if (end) at_ = static_cast<std::size_t>(end - text_.data());
  }
  // Behind the closing bracket, once next() has found it; null before.
  const char* end() const { return closed_ ? text_.data() + at_ : nullptr; }

 private:
  std::string_view text_, name_;
  std::size_t at_ = 0, value_at_ = 0;  // `at_` is at `value_at_` as long as the value is not passed over
  char open_ = 0;
  bool begun_ = false, closed_ = false;
};
// The raw text of a member (the first of that name), or nothing.
std::optional<std::string_view> member(std::string_view object, std::string_view name);
// A string as it is meant; the text itself if it has no quotes.
std::string unquote(std::string_view raw);

// Takes an object's text as it comes in, and gives the items of its list `member` one by one, as text. Holds
// no more than one item.
class ItemStream {
 public:
  ItemStream(std::string member, std::size_t most) : member_(std::move(member)), most_(most) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next item that is whole. It may still be no JSON: see valid().
  std::optional<std::string> next();
  // It cannot be such an object, or an item, or what stands around them, is longer than `most`.
  bool bad() const { return bad_; }
  bool done() const { return done_; }

 private:
  std::string member_, buffer_, key_;
  std::size_t most_, at_ = 0, around_ = 0;
  std::size_t depth_ = 0;         // of what is open
  std::size_t item_from_ = npos;  // where the present item began
  bool in_string_ = false, escaped_ = false, in_list_ = false, value_next_ = false;
  std::size_t string_from_ = npos;
  bool bad_ = false, done_ = false;
  static constexpr std::size_t npos = static_cast<std::size_t>(-1);
};

std::string write(const Value& value);
// In lines, indented by two, as a person reads it.
std::string write_pretty(const Value& value);
// A string in quotes.
std::string quote(std::string_view text);

}  // namespace kelpdeal::json
