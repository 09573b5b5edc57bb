// SPDX-License-Identifier: MIT
#include "kelpdeal/search/template.h"

#include <kainjow/mustache.hpp>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {
namespace {

namespace mustache = kainjow::mustache;

std::string escape_for_string(const std::string& text) {
  const std::string quoted = json::quote(text);
  return quoted.substr(1, quoted.size() - 2);
}

std::string to_text(const json::Value& value) {
  if (value.is_null()) return {};
  return value.string() ? *value.string() : json::write(value);
}

mustache::data to_data(const json::Value& value) {
  if (const bool* flag = value.boolean())
    return *flag ? mustache::data::type::bool_true : mustache::data::type::bool_false;
  if (const json::Array* items = value.array()) {
    mustache::data list(mustache::data::type::list);
    for (const json::Value& item : *items) list.push_back(to_data(item));
    return list;
  }
  if (const json::Object* members = value.object()) {
    mustache::data object(mustache::data::type::object);
    for (const auto& [name, member] : *members) object.set(name, to_data(member));
    return object;
  }
  if (value.is_null()) return mustache::data::type::bool_false;
  return to_text(value);
}

std::string trimmed(const std::string& text) {
  const std::size_t from = text.find_first_not_of(" \t\n"), to = text.find_last_not_of(" \t\n");
  return from == std::string::npos ? std::string() : text.substr(from, to - from + 1);
}

}  // namespace

json::Value render_template(const json::Value& source, const json::Value& parameters, std::size_t max_bytes,
                            const json::Bounds& bounds) {
  if (!source.string() && !source.object())
    throw_illegal_argument("[source] must be text or an object: stored templates are not kept here");
  if (!parameters.is_null() && !parameters.object()) throw_illegal_argument("[params] must be an object");
  const std::string text = source.string() ? *source.string() : json::write(source);
  mustache::data data = to_data(parameters.object() ? parameters : json::Value(json::Object{}));
  data.set("toJson", mustache::data(mustache::lambda([&parameters](const std::string& name) {
             const json::Value* value = parameters.at(trimmed(name));
             return value ? json::write(*value) : std::string("null");
           })));
  data.set("join", mustache::data(mustache::lambda([&parameters](const std::string& name) {
             const json::Value* value = parameters.at(trimmed(name));
             std::string out;
             if (value && value->array())
               for (const json::Value& item : *value->array())
                 out += (out.empty() ? "" : ",") + escape_for_string(to_text(item));
             return out;
           })));
  mustache::mustache tmpl(text);
  if (!tmpl.is_valid())
    throw_illegal_argument("the template cannot be read: " + truncated(tmpl.error_message()));
  tmpl.set_custom_escape(escape_for_string);
  std::string out;
  // Bounds the output: nested sections can make it grow without limit.
  tmpl.render(data, [&](const std::string& piece) {
    if (out.size() + piece.size() > max_bytes)
      throw_illegal_argument("the template's output is longer than " + std::to_string(max_bytes) + " bytes");
    out += piece;
  });
  if (!tmpl.error_message().empty())
    throw_illegal_argument("the template failed: " + truncated(tmpl.error_message()));
  std::string error;
  auto value = json::parse(out, error, bounds);
  if (!value || !value->object())
    throw_parsing_error("the template's output is no JSON object: " +
                        (value ? std::string("another value") : error));
  return std::move(*value);
}

}  // namespace kelpdeal::search
