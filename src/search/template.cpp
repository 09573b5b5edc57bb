// SPDX-License-Identifier: MIT
#include "kelpdeal/search/template.h"

#include <algorithm>
#include <kainjow/mustache.hpp>

#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/template_shape.h"

namespace kelpdeal::search {
namespace {

namespace mustache = kainjow::mustache;

constexpr std::size_t kMaxTemplateWork = 4'000'000;  // of one template, in the units of TemplateBudget
constexpr std::size_t kMaxPartials = 64;             // included templates; each can include others
constexpr std::size_t kComparedBytesPerStep = 64;

// Bounds the work of one rendering while it is done: sections over lists multiply it and need not write
// anything, and what is written is only handed over at the end of a line.
class WorkBudget {
 public:
  explicit WorkBudget(TemplateBudget& request) : request_(request) {}
  void spend(std::size_t work) {
    if (work > std::min(left_, request_.work_left))
      throw_illegal_argument("the template takes too many steps to render");
    left_ -= work;
    request_.work_left -= work;
  }

 private:
  TemplateBudget& request_;
  std::size_t left_ = kMaxTemplateWork;
};

std::string escape_for_string(const std::string& text) {
  const std::string quoted = json::quote(text);
  return quoted.substr(1, quoted.size() - 2);
}

std::string to_text(const json::Value& value) {
  if (value.is_null()) return {};
  return value.string() ? *value.string() : json::write(value);
}

// A value that lies in others is copied once for each of them.
mustache::data to_data(const json::Value& value, WorkBudget& budget, std::size_t depth = 1) {
  budget.spend(depth);
  if (const bool* flag = value.boolean())
    return *flag ? mustache::data::type::bool_true : mustache::data::type::bool_false;
  if (const json::Array* items = value.array()) {
    mustache::data list(mustache::data::type::list);
    for (const json::Value& item : *items) list.push_back(to_data(item, budget, depth + 1));
    return list;
  }
  if (const json::Object* members = value.object()) {
    mustache::data object(mustache::data::type::object);
    for (const auto& [name, member] : *members) {
      budget.spend(depth * name.size());
      object.set(name, to_data(member, budget, depth + 1));
    }
    return object;
  }
  if (value.is_null()) return mustache::data::type::bool_false;
  std::string text = to_text(value);
  budget.spend(depth * text.size());
  return text;
}

// The cost of a look-up in one section: each part of the name is looked up, and compared with other names.
std::size_t lookup_cost(const std::string& name) {
  const auto dots = static_cast<std::size_t>(std::count(name.begin(), name.end(), '.'));
  return 1 + dots + name.size() / kComparedBytesPerStep;
}

// Collects the output.
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

// The rendering's view of the parameters, by which its work is counted. A section's rendering counts as the
// most costly section of that name, a look-up as the parts of the name in each open section and the value
// found.
class BoundedContext : public mustache::context<std::string> {
 public:
  BoundedContext(const mustache::data& data, WorkBudget& budget) : context(&data), budget_(budget) {}

  // Must be called for each text before the library parses it.
  void add_template(const std::string& text) const {
    budget_.spend(text.size());
    for (const auto& [name, cost] : measure_template(text, {})) {
      std::size_t& highest = section_costs_[name];
      highest = std::max(highest, cost);
    }
  }
  void push(const mustache::data* data) override {
    const auto section = section_costs_.find(last_name_);
    budget_.spend(1 + (section == section_costs_.end() ? 0 : section->second));
    sections_.push_back(last_name_);
    context::push(data);
  }
  void pop() override {
    last_name_ = std::move(sections_.back());  // the section may be entered again for the next item
    sections_.pop_back();
    context::pop();
  }
  const mustache::data* get(const std::string& name) const override {
    budget_.spend((1 + sections_.size()) * lookup_cost(name));
    last_name_ = name;
    const mustache::data* found = context::get(name);
    if (found && found->is_string()) budget_.spend(found->string_value().size());
    return found;
  }
  const mustache::data* get_partial(const std::string& name) const override {
    if (++partials_ > kMaxPartials)
      throw_illegal_argument("the template includes more than " + std::to_string(kMaxPartials) + " others");
    const mustache::data* found = get(name);
    if (found && found->is_string()) add_template(found->string_value());
    return found;
  }

 private:
  WorkBudget& budget_;
  std::vector<std::string> sections_;  // names of those entered
  mutable SectionCosts section_costs_;
  mutable std::string last_name_;  // the library looks a section up before it enters it
  mutable std::size_t partials_ = 0;
};

// A section whose text names a parameter, and which is replaced by what `write` makes of that parameter. Its
// output is not a template.
template <typename Write>
mustache::data parameter_section(const json::Value& parameters, WorkBudget& budget, Write write) {
  return mustache::data(
      mustache::lambda2([&parameters, &budget, write](const std::string& name, const mustache::renderer&) {
        std::string out = write(parameters.at(trimmed(name)));
        budget.spend(out.size());
        return out;
      }));
}

std::string joined_text(const json::Value* value) {
  std::string out;
  if (!value || !value->array()) return out;
  for (const json::Value& item : *value->array())
    out += (out.empty() ? "" : ",") + escape_for_string(to_text(item));
  return out;
}

}  // namespace

json::Value render_template(const json::Value& source, const json::Value& parameters, std::size_t max_bytes,
                            const json::Bounds& bounds, TemplateBudget& budget) {
  if (!source.string() && !source.object())
    throw_illegal_argument("[source] must be text or an object: stored templates are not kept here");
  if (!parameters.is_null() && !parameters.object()) throw_illegal_argument("[params] must be an object");
  const std::string text = source.string() ? *source.string() : json::write(source);
  WorkBudget work(budget);
  mustache::data data = to_data(parameters.object() ? parameters : json::Value(json::Object{}), work);
  data.set("toJson", parameter_section(parameters, work, [](const json::Value* value) {
             return value ? json::write(*value) : std::string("null");
           }));
  data.set("join", parameter_section(parameters, work, joined_text));
  BoundedContext context(data, work);
  context.add_template(text);
  mustache::mustache tmpl(text);
  if (!tmpl.is_valid())
    throw_illegal_argument("the template cannot be read: " + truncated(tmpl.error_message()));
  tmpl.set_custom_escape([&work](const std::string& value) {
    std::string escaped = escape_for_string(value);
    work.spend(escaped.size() - value.size());
    return escaped;
  });
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
