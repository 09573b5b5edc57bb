// SPDX-License-Identifier: MIT
#include "kelpdeal/field_reader.h"

#include <cmath>

namespace kelpdeal {

void Fields::fail(const std::string& field, const std::string& why) {
  throw ConfigError("field " + field + ": " + why);
}

Fields::Fields(const json::Value& value, std::string path) : value_(value), path_(std::move(path)) {
  if (!value.object()) fail(path_.empty() ? "(top)" : path_, "is not an object");
}

std::string Fields::path(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

double Fields::number(std::string_view name, double absent) const {
  const json::Value* value = find(name);
  if (!value || value->is_null()) return absent;
  if (!value->number()) fail(path(name), "is not a number");
  return *value->number();
}

double Fields::at_least(std::string_view name, double absent, double least) const {
  const double value = number(name, absent);
  if (value < least) fail(path(name), "is below " + std::to_string(static_cast<long>(least)));
  return value;
}

int Fields::integer(std::string_view name, int absent, int least) const {
  const double value = at_least(name, absent, least);
  if (value != std::floor(value) || value > 1e9) fail(path(name), "is not a whole number in range");
  return static_cast<int>(value);
}

bool Fields::flag(std::string_view name, bool absent) const {
  const json::Value* value = find(name);
  if (!value || value->is_null()) return absent;
  if (value->boolean()) return *value->boolean();
  if (value->number() && (*value->number() == 0 || *value->number() == 1)) return *value->number() == 1;
  fail(path(name), "is not a flag");
}

std::string Fields::text(std::string_view name, std::string_view absent) const {
  const json::Value* value = find(name);
  if (!value || value->is_null()) return std::string(absent);
  if (!value->string()) fail(path(name), "is not text");
  return *value->string();
}

std::string Fields::needed_text(std::string_view name) const {
  std::string value = text(name, "");
  if (value.empty()) fail(path(name), "is missing");
  return value;
}

const json::Array& Fields::array(std::string_view name) const {
  static const json::Array none;
  const json::Value* value = find(name);
  if (!value || value->is_null()) return none;
  if (!value->array()) fail(path(name), "is not a list");
  return *value->array();
}

double Fields::entry(std::string_view name, std::size_t i, double absent) const {
  const json::Array& items = array(name);
  if (i >= items.size()) return absent;
  if (!items[i].number()) fail(path(name) + "." + std::to_string(i), "is not a number");
  return *items[i].number();
}

}  // namespace kelpdeal
