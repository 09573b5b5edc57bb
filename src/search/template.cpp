// SPDX-License-Identifier: MIT
#include "kelpdeal/search/template.h"

#include <kainjow/mustache.hpp>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {
namespace {

namespace mustache = kainjow::mustache;

constexpr std::size_t kMaxTemplateSteps = 2'000'000;

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

// Collects the output. Nested sections can make it grow without limit.
class BoundedOutput {
 public:
  explicit BoundedOutput(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  BoundedOutput& operator<<(const std::string& piece) {
    if (text_.size() + piece.size() > max_bytes_)
      throw_illegal_argument("the template's output is longer than " + std::to_string(max_bytes_) + " bytes");
    text_ += piece;
    return *this;
  }
  const std::string& text() const { return text_; }

 private:
  const std::size_t max_bytes_;
  std::string text_;
};

// The rendering's view of the parameters. It bounds the work, as sections over lists multiply it and need not
// write anything: a section's rendering counts as the tags that it may visit, a look-up as the values that it
// may search.
class BoundedContext : public mustache::context<std::string> {
 public:
  BoundedContext(const mustache::data& data, const std::string& text)
      : context(&data), tags_(1 + count_tags(text)) {}
  void push(const mustache::data* data) override {
    spend(tags_);
    ++depth_;
    context::push(data);
  }
  void pop() override {
    --depth_;
    context::pop();
  }
  const mustache::data* get(const std::string& name) const override {
    spend(1 + depth_);
    return context::get(name);
  }

 private:
  static std::size_t count_tags(const std::string& text) {
    if (text.find("{{=") != std::string::npos) return text.size() / 3;  // a tag in other delimiters: "<a>"
    std::size_t count = 0;
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at + 2)) ++count;
    return count;
  }
  void spend(std::size_t steps) const {
    steps_ += steps;
    if (steps_ > kMaxTemplateSteps)
      throw_illegal_argument("the template's sections take too many steps to render");
  }
  const std::size_t tags_;
  std::size_t depth_ = 0;
  mutable std::size_t steps_ = 0;
};

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
  BoundedContext context(data, text);
  BoundedOutput out(max_bytes);
  tmpl.render(context, out);
  if (!tmpl.error_message().empty())
    throw_illegal_argument("the template failed: " + truncated(tmpl.error_message()));
  std::string error;
  auto value = json::parse(out.text(), error, bounds);
  if (!value || !value->object())
    throw_parsing_error("the template's output is no JSON object: " +
                        (value ? std::string("another value") : error));
  return std::move(*value);
}

}  // namespace kelpdeal::search
