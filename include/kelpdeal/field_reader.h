// SPDX-License-Identifier: MIT
// Reads the members of a JSON object in a configuration file. Every error names the full path of the field.
#pragma once

#include <string>
#include <string_view>

#include "kelpdeal/config.h"
#include "kelpdeal/json.h"

namespace kelpdeal {

class FieldReader {
 public:
  // Throws ConfigError if `value` is not an object. `path`: the object's path, for error messages.
  FieldReader(const json::Value& value, std::string path);
  [[noreturn]] static void fail(const std::string& field, const std::string& reason);

  std::string path(std::string_view name) const;
  // The functions below return `default_value` if the member is missing or null, and throw ConfigError if it
  // has the wrong type.
  const json::Value* find(std::string_view name) const { return value_.at(name); }
  double number(std::string_view name, double default_value) const;
  double at_least(std::string_view name, double default_value, double min_value) const;
  int integer(std::string_view name, int default_value, int min_value = 0) const;
  bool boolean(std::string_view name, bool default_value) const;
  std::string text(std::string_view name, std::string_view default_value) const;
  std::string required_text(std::string_view name) const;
  const json::Array& array(std::string_view name) const;
  // Element i of a list of numbers; `default_value` if the list is shorter.
  double entry(std::string_view name, std::size_t i, double default_value) const;

 private:
  const json::Value& value_;
  const std::string path_;
};

}  // namespace kelpdeal
