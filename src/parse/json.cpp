// SPDX-License-Identifier: MIT
#include "kelpdeal/json.h"

#include <charconv>
#include <cmath>

namespace kelpdeal::json {

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

double Value::number_or(std::string_view path, double absent) const {
  const Value* value = at(path);
  return value && value->number() ? *value->number() : absent;
}

std::string Value::text_or(std::string_view path, std::string_view absent) const {
  const Value* value = at(path);
  return value && value->string() ? *value->string() : std::string(absent);
}

bool Value::flag_or(std::string_view path, bool absent) const {
  const Value* value = at(path);
  return value && value->boolean() ? *value->boolean() : absent;
}

namespace {

class Reader {
 public:
  Reader(std::string_view text, const Bounds& bounds) : text_(text), bounds_(bounds) {}

  std::optional<Value> whole(std::string& error) {
    Value value;
    if (read(value, 0)) {
      space();
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
  void space() {
    while (at_ < text_.size() &&
           (text_[at_] == ' ' || text_[at_] == '\t' || text_[at_] == '\n' || text_[at_] == '\r'))
      ++at_;
  }
  bool take(char c) {
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool word(std::string_view expected) {
    if (text_.substr(at_, expected.size()) != expected) return fail("unknown word");
    at_ += expected.size();
    return true;
  }

  bool read(Value& value, std::size_t depth) {
    if (depth > bounds_.depth) return fail("nested too deep");
    if (++values_ > bounds_.values) return fail("too many values");
    space();
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
        return word("true") && (value = Value(true), true);
      case 'f':
        return word("false") && (value = Value(false), true);
      case 'n':
        return word("null") && (value = Value(), true);
      default:
        return read_number(value);
    }
  }

  bool read_object(Value& value, std::size_t depth) {
    Object members;
    ++at_;
    space();
    if (!take('}')) {
      do {
        space();
        Member member;
        if (at_ >= text_.size() || text_[at_] != '"') return fail("expected a name");
        if (!read_string(member.first)) return false;
        space();
        if (!take(':')) return fail("expected a colon");
        if (!read(member.second, depth + 1)) return false;
        members.push_back(std::move(member));
        space();
      } while (take(','));
      if (!take('}')) return fail("expected , or }");
    }
    value = Value(std::move(members));
    return true;
  }

  bool read_array(Value& value, std::size_t depth) {
    Array items;
    ++at_;
    space();
    if (!take(']')) {
      do {
        Value item;
        if (!read(item, depth + 1)) return false;
        items.push_back(std::move(item));
        space();
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
    if (take('.') && digits() == 0) return fail("bad number");
    if (at_ < text_.size() && (text_[at_] == 'e' || text_[at_] == 'E')) {
      ++at_;
      if (!take('+')) take('-');
      if (digits() == 0) return fail("bad number");
    }
    double number = 0;
    const auto got = std::from_chars(text_.data() + start, text_.data() + at_, number);
    if (got.ec != std::errc() || !std::isfinite(number)) return fail("number out of range");
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
      const char c = text_[at_++];
      if (c == '"') return true;
      if (static_cast<unsigned char>(c) < 0x20) return fail("control character in a string");
      if (c != '\\') {
        out += c;
        continue;
      }
      if (at_ >= text_.size()) break;
      static constexpr std::string_view from = "\"\\/bfnrt", to = "\"\\/\b\f\n\r\t";
      const char escape = text_[at_++];
      if (const std::size_t i = from.find(escape); i != std::string_view::npos) {
        out += to[i];
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

void append(std::string& out, const Value& value) {
  if (value.is_null()) {
    out += "null";
  } else if (const bool* flag = value.boolean()) {
    out += *flag ? "true" : "false";
  } else if (const double* number = value.number()) {
    char buffer[32];
    const auto got = std::to_chars(buffer, buffer + sizeof buffer, *number);
    out.append(buffer, got.ptr);
  } else if (const std::string* text = value.string()) {
    out += quote(*text);
  } else if (const Array* items = value.array()) {
    out += '[';
    for (std::size_t i = 0; i < items->size(); ++i) {
      if (i) out += ',';
      append(out, (*items)[i]);
    }
    out += ']';
  } else if (const Object* members = value.object()) {
    out += '{';
    for (std::size_t i = 0; i < members->size(); ++i) {
      if (i) out += ',';
      out += quote((*members)[i].first);
      out += ':';
      append(out, (*members)[i].second);
    }
    out += '}';
  }
}

}  // namespace

std::optional<Value> parse(std::string_view text, std::string& error, const Bounds& bounds) {
  return Reader(text, bounds).whole(error);
}

std::string write(const Value& value) {
  std::string out;
  append(out, value);
  return out;
}

std::string quote(std::string_view text) {
  static constexpr char hex[] = "0123456789abcdef";
  std::string out = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20) {
      out += "\\u00";
      out += hex[byte >> 4];
      out += hex[byte & 15];
    } else {
      out += c;
    }
  }
  return out + '"';
}

}  // namespace kelpdeal::json
