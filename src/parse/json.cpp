// SPDX-License-Identifier: MIT
#include "kelpdeal/json.h"

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <cmath>
#include <cstring>

namespace kelpdeal::json {
namespace {

// Doubles represent every integer of up to this magnitude exactly.
constexpr double kExactInDouble = 9007199254740992.0;  // 2^53

}  // namespace

Value::Value(std::int64_t value) {
  const auto approximate = static_cast<double>(value);
  if (std::abs(approximate) < kExactInDouble)
    data_ = approximate;
  else
    data_ = ExactInteger{approximate, value};
}

std::optional<std::int64_t> Value::integer() const {
  if (const ExactInteger* exact = std::get_if<ExactInteger>(&data_)) return exact->value;
  const double* number = std::get_if<double>(&data_);
  if (!number || std::abs(*number) >= kExactInDouble || *number != std::floor(*number)) return std::nullopt;
  return static_cast<std::int64_t>(*number);
}

const Value* Value::find(std::string_view name) const {
  const Object* members = object();
  if (!members) return nullptr;
  for (auto it = members->rbegin(); it != members->rend(); ++it)
    if (it->first == name) return &it->second;
  return nullptr;
}

const Value* Value::at(std::string_view path) const {
  const Value* value = this;
  while (value) {
    const std::size_t dot = path.find('.');
    value = value->find(path.substr(0, dot));
    if (dot == std::string_view::npos) return value;
    path.remove_prefix(dot + 1);
  }
  return nullptr;
}

double Value::number_or(std::string_view path, double fallback) const {
  const Value* value = at(path);
  return value && value->number() ? *value->number() : fallback;
}

std::string Value::text_or(std::string_view path, std::string_view fallback) const {
  const Value* value = at(path);
  return value && value->string() ? *value->string() : std::string(fallback);
}

bool Value::flag_or(std::string_view path, bool fallback) const {
  const Value* value = at(path);
  return value && value->boolean() ? *value->boolean() : fallback;
}

namespace {

// The position of the first quote, backslash or control character, searched eight bytes at a time.
std::size_t find_special(std::string_view text, std::size_t at) {
  constexpr std::uint64_t low_bits = 0x0101010101010101u, high_bits = 0x8080808080808080u;
  const auto has_zero = [](std::uint64_t bytes) { return (bytes - low_bits) & ~bytes & high_bits; };
  while (at + 8 <= text.size()) {
    std::uint64_t bytes = 0;
    std::memcpy(&bytes, text.data() + at, 8);
    const std::uint64_t found = ((bytes - low_bits * 0x20) & ~bytes & high_bits) |
                                has_zero(bytes ^ low_bits * '"') | has_zero(bytes ^ low_bits * '\\');
    // The lowest marked byte is exact; higher ones may be false positives caused by a carry.
    if (found && std::endian::native == std::endian::little)
      return at + static_cast<std::size_t>(std::countr_zero(found)) / 8;
    if (found) break;
    at += 8;
  }
  while (at < text.size() && text[at] != '"' && text[at] != '\\' &&
         static_cast<unsigned char>(text[at]) >= 0x20)
    ++at;
  return at;
}

// Recursive descent parser.
class Parser {
 public:
  Parser(std::string_view text, const Bounds& bounds) : text_(text), bounds_(bounds) {}

  std::optional<Value> parse_document(std::string& error) {
    Value value;
    if (read(value, 0)) {
      skip_whitespace();
      if (at_ == text_.size()) return value;
      fail("more after the value");
    }
    error = problem_ + " at byte " + std::to_string(at_);
    return std::nullopt;
  }

 private:
  bool fail(const char* problem) {
    if (problem_.empty()) problem_ = problem;
    return false;
  }
  void skip_whitespace() {
    while (at_ < text_.size() &&
           (text_[at_] == ' ' || text_[at_] == '\t' || text_[at_] == '\n' || text_[at_] == '\r'))
      ++at_;
  }
  bool take(char c) {
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool expect_literal(std::string_view expected) {
    if (text_.substr(at_, expected.size()) != expected) return fail("unknown word");
    at_ += expected.size();
    return true;
  }

  bool read(Value& value, std::size_t depth) {
    if (depth > bounds_.depth) return fail("nested too deep");
    if (++values_ > bounds_.values) return fail("too many values");
    skip_whitespace();
    if (at_ >= text_.size()) return fail("ends too soon");
    switch (text_[at_]) {
      case '{':
        return read_object(value, depth);
      case '[':
        return read_array(value, depth);
      case '"': {
        std::string text;
        if (!read_string(text)) return false;
        value = Value(std::move(text));
        return true;
      }
      case 't':
        return expect_literal("true") && (value = Value(true), true);
      case 'f':
        return expect_literal("false") && (value = Value(false), true);
      case 'n':
        return expect_literal("null") && (value = Value(), true);
      default:
        return read_number(value);
    }
  }

  bool read_object(Value& value, std::size_t depth) {
    Object members;
    ++at_;
    skip_whitespace();
    if (!take('}')) {
      do {
        skip_whitespace();
        Member member;
        if (at_ >= text_.size() || text_[at_] != '"') return fail("expected a name");
        if (!read_string(member.first)) return false;
        skip_whitespace();
        if (!take(':')) return fail("expected a colon");
        if (!read(member.second, depth + 1)) return false;
        members.push_back(std::move(member));
        skip_whitespace();
      } while (take(','));
      if (!take('}')) return fail("expected , or }");
    }
    value = Value(std::move(members));
    return true;
  }

  bool read_array(Value& value, std::size_t depth) {
    Array items;
    ++at_;
    skip_whitespace();
    if (!take(']')) {
      do {
        Value item;
        if (!read(item, depth + 1)) return false;
        items.push_back(std::move(item));
        skip_whitespace();
      } while (take(','));
      if (!take(']')) return fail("expected , or ]");
    }
    value = Value(std::move(items));
    return true;
  }

  bool read_number(Value& value) {
    const std::size_t start = at_;
    const auto digits = [this] {
      const std::size_t from = at_;
      while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') ++at_;
      return at_ - from;
    };
    take('-');
    const bool zero = at_ < text_.size() && text_[at_] == '0';
    const std::size_t whole = digits();
    if (whole == 0 || (zero && whole > 1)) return fail("unknown value");
    const std::size_t whole_end = at_;
    if (take('.') && digits() == 0) return fail("bad number");
    if (at_ < text_.size() && (text_[at_] == 'e' || text_[at_] == 'E')) {
      ++at_;
      if (!take('+')) take('-');
      if (digits() == 0) return fail("bad number");
    }
    double number = 0;
    const auto got = std::from_chars(text_.data() + start, text_.data() + at_, number);
    if (got.ec != std::errc() || !std::isfinite(number)) return fail("number out of range");
    std::int64_t exact = 0;
    if (at_ == whole_end && std::abs(number) >= kExactInDouble &&
        std::from_chars(text_.data() + start, text_.data() + at_, exact).ec == std::errc())
      value = Value(exact);
    else
      value = Value(number);
    return true;
  }

  bool hex4(unsigned& code) {
    if (at_ + 4 > text_.size()) return fail("bad escape");
    const auto got = std::from_chars(text_.data() + at_, text_.data() + at_ + 4, code, 16);
    if (got.ec != std::errc() || got.ptr != text_.data() + at_ + 4) return fail("bad escape");
    at_ += 4;
    return true;
  }

  static void append_utf8(std::string& out, unsigned code) {
    if (code < 0x80) {
      out += static_cast<char>(code);
    } else if (code < 0x800) {
      out += static_cast<char>(0xC0 | code >> 6);
      out += static_cast<char>(0x80 | (code & 0x3F));
    } else if (code < 0x10000) {
      out += static_cast<char>(0xE0 | code >> 12);
      out += static_cast<char>(0x80 | (code >> 6 & 0x3F));
      out += static_cast<char>(0x80 | (code & 0x3F));
    } else {
      out += static_cast<char>(0xF0 | code >> 18);
      out += static_cast<char>(0x80 | (code >> 12 & 0x3F));
      out += static_cast<char>(0x80 | (code >> 6 & 0x3F));
      out += static_cast<char>(0x80 | (code & 0x3F));
    }
  }

  bool read_string(std::string& out) {
    ++at_;
    while (at_ < text_.size()) {
      const std::size_t from = at_;
      at_ = find_special(text_, at_);
      out.append(text_, from, at_ - from);
      if (at_ >= text_.size()) break;
      const char c = text_[at_++];
      if (c == '"') return true;
      if (c != '\\') return fail("control character in a string");
      if (at_ >= text_.size()) break;
      static constexpr std::string_view escapes = "\"\\/bfnrt", decoded = "\"\\/\b\f\n\r\t";
      const char escape = text_[at_++];
      if (const std::size_t i = escapes.find(escape); i != std::string_view::npos) {
        out += decoded[i];
      } else if (escape == 'u') {
        unsigned code = 0;
        if (!hex4(code)) return false;
        if (code >= 0xD800 && code < 0xDC00) {
          unsigned low = 0;
          if (!take('\\') || !take('u') || !hex4(low) || low < 0xDC00 || low > 0xDFFF)
            return fail("half a surrogate pair");
          code = 0x10000 + ((code - 0xD800) << 10) + (low - 0xDC00);
        } else if (code >= 0xDC00 && code < 0xE000) {
          return fail("half a surrogate pair");
        }
        append_utf8(out, code);
      } else {
        return fail("bad escape");
      }
    }
    return fail("string without an end");
  }

  std::string_view text_;
  const Bounds& bounds_;
  std::size_t at_ = 0, values_ = 0;
  std::string problem_;
};

void append_double(std::string& out, double number) {
  char buffer[32];
  const auto got = std::to_chars(buffer, buffer + sizeof buffer, number);
  out.append(buffer, got.ptr);
  // The shortest digits of a large number are not its exact value, but as an integer they would be read as
  // such.
  std::int64_t integer = 0;
  const auto read = std::from_chars(buffer, got.ptr, integer);
  const bool read_as_integer = read.ec == std::errc() && read.ptr == got.ptr;
  if (read_as_integer && std::abs(number) >= kExactInDouble) out += ".0";
}

void append_quoted(std::string& out, std::string_view text) {
  static constexpr char hex[] = "0123456789abcdef";
  out += '"';
  for (std::size_t at = 0;;) {
    const std::size_t special = find_special(text, at);
    out.append(text, at, special - at);
    if (special >= text.size()) break;
    const auto byte = static_cast<unsigned char>(text[special]);
    if (byte < 0x20) {
      out += "\\u00";
      out += hex[byte >> 4];
      out += hex[byte & 15];
    } else {
      out += '\\';
      out += text[special];
    }
    at = special + 1;
  }
  out += '"';
}

// Appends a value that is neither an array nor an object; false for those.
bool append_scalar(std::string& out, const Value& value) {
  if (value.is_null()) {
    out += "null";
  } else if (const Raw* raw = value.raw()) {
    out += raw->text;
  } else if (const bool* flag = value.boolean()) {
    out += *flag ? "true" : "false";
  } else if (const double* number = value.number()) {
    const auto exact = value.integer();
    if (exact && std::abs(*number) >= kExactInDouble)
      out += std::to_string(*exact);
    else
      append_double(out, *number);
  } else if (const std::string* text = value.string()) {
    append_quoted(out, *text);
  } else {
    return false;
  }
  return true;
}

void append(std::string& out, const Value& value) {
  if (append_scalar(out, value)) return;
  const char* separator = "";
  if (const Array* items = value.array()) {
    out += '[';
    for (const Value& item : *items) {
      out += std::exchange(separator, ",");
      append(out, item);
    }
    out += ']';
  } else if (const Object* members = value.object()) {
    out += '{';
    for (const auto& [name, member] : *members) {
      out += std::exchange(separator, ",");
      append_quoted(out, name);
      out += ':';
      append(out, member);
    }
    out += '}';
  }
}

}  // namespace

std::optional<Value> parse(std::string_view text, std::string& error, const Bounds& bounds) {
  return Parser(text, bounds).parse_document(error);
}

namespace {

std::size_t skip_space(std::string_view text, std::size_t at) {
  while (at < text.size() && (text[at] == ' ' || text[at] == '\t' || text[at] == '\n' || text[at] == '\r'))
    ++at;
  return at;
}

// The position after a string's closing quote; `at` is the position after the opening quote. Most strings are
// short, so the inlined search by eight bytes is faster than a library call.
std::size_t skip_string(std::string_view text, std::size_t at) {
  for (;;) {
    at = find_special(text, at);
    if (at >= text.size()) return text.size();
    if (text[at] == '"') return at + 1;
    at += text[at] == '\\' ? 2 : 1;
  }
}

}  // namespace

namespace {

// Accepts exactly the texts that Parser accepts, but builds no values, as record nodes send answers of many
// MB.
class Validator {
 public:
  Validator(std::string_view text, const Bounds& bounds) : text_(text), bounds_(bounds) {}

  bool is_valid() {
    std::string open;  // the open brackets
    std::size_t values = 0;
    for (;;) {
      // Expects a value.
      if (open.size() > bounds_.depth || ++values > bounds_.values) return false;
      skip_whitespace();
      const char c = at_ < text_.size() ? text_[at_] : '\0';
      bool entered = false;
      if (c == '{' || c == '[') {
        ++at_;
        open += c;
        entered = true;
      } else if (c == '"'   ? !string()
                 : c == 't' ? !expect_literal("true")
                 : c == 'f' ? !expect_literal("false")
                 : c == 'n' ? !expect_literal("null")
                            : !number()) {
        return false;
      }
      // After a value or an opening bracket: advances to the next value or to the end of the text.
      for (;;) {
        skip_whitespace();
        if (open.empty()) return at_ == text_.size();
        if (at_ >= text_.size()) return false;
        const char delimiter = text_[at_];
        if (delimiter == (open.back() == '{' ? '}' : ']')) {
          ++at_;
          open.pop_back();
          entered = false;
          continue;
        }
        if (!entered) {
          if (delimiter != ',') return false;
          ++at_;
          skip_whitespace();
        }
        if (open.back() == '{') {
          if (at_ >= text_.size() || text_[at_] != '"' || !string()) return false;
          skip_whitespace();
          if (at_ >= text_.size() || text_[at_++] != ':') return false;
        }
        break;
      }
    }
  }

 private:
  void skip_whitespace() {
    while (at_ < text_.size() &&
           (text_[at_] == ' ' || text_[at_] == '\n' || text_[at_] == '\r' || text_[at_] == '\t'))
      ++at_;
  }
  bool expect_literal(std::string_view expected) {
    if (text_.substr(at_, expected.size()) != expected) return false;
    at_ += expected.size();
    return true;
  }
  std::size_t digits() {
    const std::size_t from = at_;
    while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') ++at_;
    return at_ - from;
  }
  bool number() {
    const std::size_t start = at_;
    if (at_ < text_.size() && text_[at_] == '-') ++at_;
    const bool zero = at_ < text_.size() && text_[at_] == '0';
    const std::size_t whole = digits();
    if (whole == 0 || (zero && whole > 1)) return false;
    if (at_ < text_.size() && text_[at_] == '.') {
      ++at_;
      if (digits() == 0) return false;
    }
    const bool power = at_ < text_.size() && (text_[at_] == 'e' || text_[at_] == 'E');
    if (power) {
      ++at_;
      if (at_ < text_.size() && (text_[at_] == '+' || text_[at_] == '-')) ++at_;
      if (digits() == 0) return false;
    }
    // Only very long numbers and numbers with an exponent can be out of range.
    if (!power && at_ - start < 300) return true;
    double value = 0;
    const auto got = std::from_chars(text_.data() + start, text_.data() + at_, value);
    return got.ec == std::errc() && std::isfinite(value);
  }
  bool string() {
    const std::size_t start = at_++;
    for (;;) {
      at_ = find_special(text_, at_);
      if (at_ >= text_.size()) return false;
      if (text_[at_] == '"') return ++at_, true;
      if (text_[at_] != '\\' || at_ + 1 >= text_.size()) return false;
      const char escape = text_[at_ + 1];
      if (escape == 'u') {
        // Surrogate pairs need decoding, which only the parser implements.
        const std::size_t end = skip_string(text_, start + 1);
        std::string error;
        if (!parse(text_.substr(start, end - start), error)) return false;
        at_ = end;
        return true;
      }
      if (std::string_view("\"\\/bfnrt").find(escape) == std::string_view::npos) return false;
      at_ += 2;
    }
  }

  std::string_view text_;
  const Bounds& bounds_;
  std::size_t at_ = 0;
};

// Puts valid JSON text on several lines, without building its values.
class Indenter {
 public:
  Indenter(std::string_view text, std::size_t max_bytes) : text_(text), max_bytes_(max_bytes) {}

  // Nothing if the result would be longer than `max_bytes`.
  std::optional<std::string> run() {
    while (at_ < text_.size()) {
      if (out_.size() > max_bytes_) return std::nullopt;
      read_token();
    }
    out_ += '\n';
    return std::move(out_);
  }

 private:
  static constexpr std::size_t kIndent = 2;

  void read_token() {
    const char c = text_[at_];
    if (c == '"') {
      const std::size_t end = skip_string(text_, at_ + 1);
      out_.append(text_, at_, end - at_);
      at_ = end;
      return;
    }
    ++at_;
    if (c == '{' || c == '[') {
      out_ += c;
      open();
    } else if (c == '}' || c == ']') {
      --depth_;
      start_line();
      out_ += c;
    } else if (c == ',') {
      out_ += c;
      start_line();
    } else if (c == ':') {
      out_ += " : ";
    } else if (c != ' ' && c != '\t' && c != '\n' && c != '\r') {
      out_ += c;
    }
  }
  // After an opening bracket. An empty list or object stays on its line.
  void open() {
    at_ = skip_space(text_, at_);
    if (at_ < text_.size() && (text_[at_] == '}' || text_[at_] == ']')) {
      out_ += text_[at_++];
      return;
    }
    ++depth_;
    start_line();
  }
  void start_line() { out_.append(1, '\n').append(kIndent * depth_, ' '); }

  std::string_view text_;
  const std::size_t max_bytes_;
  std::size_t at_ = 0, depth_ = 0;
  std::string out_;
};

}  // namespace

bool valid(std::string_view text, const Bounds& bounds) { return Validator(text, bounds).is_valid(); }

std::string write(const Value& value) {
  std::string out;
  append(out, value);
  return out;
}

std::string write_pretty(const Value& value, std::size_t max_bytes) {
  std::string text = write(value);
  if (auto indented = Indenter(text, max_bytes).run()) return std::move(*indented);
  return std::move(text) + '\n';
}

namespace {

// The characters that matter when a value is skipped; all others are passed over.
constexpr std::array<bool, 256> kDelimiters = [] {
  std::array<bool, 256> delimiters{};
  for (const unsigned char c : {'"', '{', '}', '[', ']', ','}) delimiters[c] = true;
  return delimiters;
}();

std::size_t skip_value(std::string_view text, std::size_t at) {
  std::size_t depth = 0;
  const std::size_t size = text.size();
  while (at < size) {
    while (at < size && !kDelimiters[static_cast<unsigned char>(text[at])]) ++at;
    if (at >= size) break;
    const char c = text[at];
    if (c == '"') {
      at = skip_string(text, at + 1);
    } else if (c == '{' || c == '[') {
      ++depth;
      ++at;
      continue;
    } else if (c == ',') {
      if (depth == 0) return at;
      ++at;
      continue;
    } else {
      if (depth == 0) return at;
      --depth;
      ++at;
    }
    if (depth == 0) return at;
  }
  return at;
}

}  // namespace

Scanner::Scanner(std::string_view text) : text_(text) {
  at_ = skip_space(text_, 0);
  if (at_ < text_.size() && (text_[at_] == '{' || text_[at_] == '[')) open_ = text_[at_++];
}

bool Scanner::next() {
  if (!open_ || closed_) return false;
  if (started_ && at_ == value_at_) at_ = skip_value(text_, at_);
  started_ = true;
  at_ = skip_space(text_, at_);
  if (at_ < text_.size() && text_[at_] == ',') at_ = skip_space(text_, at_ + 1);
  if (at_ >= text_.size() || text_[at_] == '}' || text_[at_] == ']') {
    if (at_ < text_.size()) ++at_;
    closed_ = true;
    return false;
  }
  if (open_ == '{') {
    const std::size_t from = at_ + 1;
    at_ = skip_string(text_, from);
    name_ = text_.substr(std::min(from, text_.size()), at_ > from ? at_ - from - 1 : 0);
    at_ = skip_space(text_, at_);
    if (at_ < text_.size() && text_[at_] == ':') at_ = skip_space(text_, at_ + 1);
  }
  value_at_ = at_;
  // In invalid text there may be no value here; stop instead of not advancing.
  if (at_ >= text_.size() || text_[at_] == ',' || text_[at_] == '}' || text_[at_] == ']') {
    closed_ = true;
    return false;
  }
  return true;
}

std::string_view Scanner::raw() {
  if (at_ == value_at_) at_ = skip_value(text_, at_);
  std::string_view value = text_.substr(value_at_, at_ - value_at_);
  while (!value.empty() && static_cast<unsigned char>(value.back()) <= ' ') value.remove_suffix(1);
  return value;
}

std::optional<std::string_view> member(std::string_view object, std::string_view name) {
  std::optional<std::string_view> found;
  Scanner scanner(object);
  if (!scanner.is_object()) return found;
  while (!found && scanner.next())
    if (scanner.name() == name) found = scanner.raw();
  return found;
}

std::optional<std::string> ItemStream::next() {
  const auto item_until = [this](std::size_t end) {
    std::string item = buffer_.substr(item_start_, end - item_start_);
    while (!item.empty() && static_cast<unsigned char>(item.back()) <= ' ') item.pop_back();
    item_start_ = npos;
    outside_start_ = end;
    return item;
  };
  while (!bad_ && !done_ && at_ < buffer_.size()) {
    const char c = buffer_[at_];
    if (in_string_) {
      if (escaped_) {
        escaped_ = false;
      } else if (c == '\\') {
        escaped_ = true;
      } else if (c == '"') {
        in_string_ = false;
        if (depth_ == 1 && !value_next_) key_ = buffer_.substr(string_start_, at_ - string_start_);
      }
      ++at_;
      continue;
    }
    const bool space = static_cast<unsigned char>(c) <= ' ';
    if (in_list_ && depth_ == 2 && !space && c != ',' && c != ']' && item_start_ == npos) item_start_ = at_;
    if (in_list_ && depth_ == 2 && (c == ',' || c == ']') && item_start_ != npos) {
      return item_until(at_);  // the delimiter is processed again by the next call
    }
    if (c == '"') {
      in_string_ = true;
      string_start_ = at_ + 1;
    } else if (c == '{' || c == '[') {
      if (depth_ == 0 && c == '[') bad_ = true;
      in_list_ |= depth_ == 1 && c == '[' && value_next_ && key_ == member_;
      ++depth_;
    } else if (c == '}' || c == ']') {
      if (depth_ == 0) {
        bad_ = true;
      } else if (--depth_ == 1) {
        in_list_ = false;
      } else if (in_list_ && depth_ == 2 && item_start_ != npos) {
        // Complete at its closing bracket; the text after it may arrive much later.
        return item_until(++at_);
      }
      done_ = depth_ == 0;
    } else if (depth_ == 0 && !space) {
      bad_ = true;
    }
    if (depth_ == 1 && c == ':') value_next_ = true;
    if (depth_ == 1 && c == ',') value_next_ = false;
    ++at_;
  }
  discard_consumed();
  if (buffer_.size() > max_bytes_ || bytes_outside_items_ > max_bytes_) bad_ = true;
  return std::nullopt;
}

// Removes all text but that of the item or name that has begun.
void ItemStream::discard_consumed() {
  const std::size_t kept = item_start_ != npos ? item_start_ : in_string_ ? string_start_ - 1 : at_;
  bytes_outside_items_ += kept - outside_start_;
  buffer_.erase(0, kept);
  at_ -= kept;
  if (item_start_ != npos) item_start_ = 0;
  if (in_string_) string_start_ -= kept;
  outside_start_ = 0;
}

std::string unquote(std::string_view raw) {
  if (raw.size() < 2 || raw.front() != '"') return std::string(raw);
  if (raw.find('\\') == std::string_view::npos) return std::string(raw.substr(1, raw.size() - 2));
  std::string error;
  const auto value = parse(raw, error);
  return value && value->string() ? *value->string() : std::string();
}

std::string compact(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t at = 0; (at = skip_space(text, at)) < text.size();) {
    std::size_t end = at + 1;
    if (text[at] == '"') end = skip_string(text, end);
    out.append(text, at, end - at);
    at = end;
  }
  return out;
}

std::string quote(std::string_view text) {
  std::string out;
  append_quoted(out, text);
  return out;
}

}  // namespace kelpdeal::json
