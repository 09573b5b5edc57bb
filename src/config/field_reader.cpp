// SPDX-License-Identifier: MIT
#include "kelpdeal/field_reader.h"

#include <cmath>

namespace kelpdeal {

void FieldReader::fail(const std::string& field, const std::string& reason) {
  throw ConfigError("field " + field + ": " + reason);
}

FieldReader::FieldReader(const json::Value& value, std::string path) : value_(value), path_(std::move(path)) {
  if (!value.object()) fail(path_.empty() ? "(top)" : path_, "is not an object");
}

std::string FieldReader::path(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

double FieldReader::number(std::string_view name, double default_value) const {
  const json::Value* value = find(name);
  if (!value || value->is_null()) return default_value;
  if (!value->number()) fail(path(name), "is not a number");
  return *value->number();
}

double FieldReader::at_least(std::string_view name, double default_value, double min_value) const {
  const double value = number(name, default_value);
  if (value < min_value) fail(path(name), "is below " + std::to_string(static_cast<long>(min_value)));
  return value;
}

int FieldReader::integer(std::string_view name, int default_value, int min_value) const {
  const double value = at_least(name, default_value, min_value);
  if (value != std::floor(value) || value > 1e9) fail(path(name), "is not an integer in range");
  return static_cast<int>(value);
}

bool FieldReader::boolean(std::string_view name, bool default_value) const {
  const json::Value* value = find(name);
  if (!value || value->is_null()) return default_value;
  if (value->boolean()) return *value->boolean();
  if (value->number() && (*value->number() == 0 || *value->number() == 1)) return *value->number() == 1;
  fail(path(name), "is not a boolean");
}

std::string FieldReader::text(std::string_view name, std::string_view default_value) const {
  const json::Value* value = find(name);
  if (!value || value->is_null()) return std::string(default_value);
  if (!value->string()) fail(path(name), "is not a string");
  return *value->string();
}

std::string FieldReader::required_text(std::string_view name) const {
  std::string value = text(name, "");
  if (value.empty()) fail(path(name), "is missing");
  return value;
}

const json::Array& FieldReader::array(std::string_view name) const {
  static const json::Array empty;
  const json::Value* value = find(name);
  if (!value || value->is_null()) return empty;
  if (!value->array()) fail(path(name), "is not a list");
  return *value->array();
}

double FieldReader::entry(std::string_view name, std::size_t i, double default_value) const {
  const json::Array& items = array(name);
  if (i >= items.size()) return default_value;
  if (!items[i].number()) fail(path(name) + "." + std::to_string(i), "is not a number");
  return *items[i].number();
}

}  // namespace kelpdeal
