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
using Array = std::vector<Value>;
using Member = std::pair<std::string, Value>;
using Object = std::vector<Member>;  // in the order written

class Value {
 public:
  Value() = default;
  Value(bool value) : data_(value) {}
  Value(double value) : data_(value) {}
  Value(int value) : data_(static_cast<double>(value)) {}
  Value(std::int64_t value) : data_(static_cast<double>(value)) {}
  Value(std::uint64_t value) : data_(static_cast<double>(value)) {}
  Value(std::string value) : data_(std::move(value)) {}
  Value(std::string_view value) : data_(std::string(value)) {}
  Value(const char* value) : data_(std::string(value)) {}
  Value(Array value) : data_(std::move(value)) {}
  Value(Object value) : data_(std::move(value)) {}

  bool is_null() const { return std::holds_alternative<std::monostate>(data_); }
  const bool* boolean() const { return std::get_if<bool>(&data_); }
  const double* number() const { return std::get_if<double>(&data_); }
  const std::string* string() const { return std::get_if<std::string>(&data_); }
  const Array* array() const { return std::get_if<Array>(&data_); }
  const Object* object() const { return std::get_if<Object>(&data_); }

  // The member of that name, or null. Of two of one name the last counts.
  const Value* find(std::string_view name) const;
  // Follows names separated by dots.
  const Value* at(std::string_view path) const;

  double number_or(std::string_view path, double absent) const;
  std::string text_or(std::string_view path, std::string_view absent) const;
  bool flag_or(std::string_view path, bool absent) const;

  bool operator==(const Value& other) const = default;

 private:
  std::variant<std::monostate, bool, double, std::string, Array, Object> data_;
};

struct Bounds {
  std::size_t depth = 32;
  std::size_t values = 100'000;
};

// One whole JSON text, or why it is not one in `error`.
std::optional<Value> parse(std::string_view text, std::string& error, const Bounds& bounds = {});

std::string write(const Value& value);
// A string in quotes.
std::string quote(std::string_view text);

}  // namespace kelpdeal::json
