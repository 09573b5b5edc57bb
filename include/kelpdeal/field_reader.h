// SPDX-License-Identifier: MIT
// Reads the members of one JSON object of a configuration; every complaint names the whole path of the field.
#pragma once

#include <string>
#include <string_view>

#include "kelpdeal/config.h"
#include "kelpdeal/json.h"

namespace kelpdeal {

class FieldReader {
 public:
  FieldReader(const json::Value& value, std::string path);
  [[noreturn]] static void fail(const std::string& field, const std::string& why);

  std::string path(std::string_view name) const;
  const json::Value* find(std::string_view name) const { return value_.at(name); }
  double number(std::string_view name, double default_value) const;
  double at_least(std::string_view name, double default_value, double min_value) const;
  int integer(std::string_view name, int default_value, int min_value = 0) const;
  bool boolean(std::string_view name, bool default_value) const;
  std::string text(std::string_view name, std::string_view default_value) const;
  std::string required_text(std::string_view name) const;
  const json::Array& array(std::string_view name) const;
  // Entry i of a list of numbers, `absent` if the list is shorter.
  double entry(std::string_view name, std::size_t i, double default_value) const;

 private:
  const json::Value& value_;
  const std::string path_;
};

}  // namespace kelpdeal
