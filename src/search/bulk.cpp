// SPDX-License-Identifier: MIT
#include "kelpdeal/search/bulk.h"

#include <algorithm>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {

std::optional<std::string> LineSplitter::next() {
  const std::string_view received = buffer_.view();
  std::size_t end = received.find('\n', searched_);
  if (end == std::string_view::npos) {
    if (received.size() > max_line_bytes_) too_long_ = true;
    searched_ = received.size();
    if (!finished_ || received.empty()) return std::nullopt;
    end = received.size();
  }
  if (end > max_line_bytes_) {
    too_long_ = true;
    return std::nullopt;
  }
  std::string line(received.substr(0, end));
  buffer_.consume(std::min(end + 1, received.size()));
  searched_ = 0;
  if (line.ends_with('\r')) line.pop_back();
  return line;
}

const char* BulkItem::action_name() const {
  switch (action) {
    case Action::index:
      return "index";
    case Action::create:
      return "create";
    case Action::update:
      return "update";
    case Action::erase:
      return "delete";
  }
  return "";
}

std::optional<BulkItem> BulkParser::add_line(std::string text) {
  ++line_count_;
  if (pending_item_) {
    BulkItem item = std::move(*pending_item_);
    pending_item_.reset();
    std::string error;
    const auto document = item.problem.empty() ? json::parse(text, error, bounds_) : std::nullopt;
    if (item.problem.empty() && (!document || !document->object()))
      item.problem = document ? "the document is not an object" : "failed to parse: " + error;
    item.document = std::move(text);
    return item;
  }
  if (text.find_first_not_of(" \t") == std::string::npos) return std::nullopt;
  const auto throw_malformed = [&](const std::string& what) {
    throw_illegal_argument("Malformed action/metadata line [" + std::to_string(line_count_) + "], " + what);
  };
  std::string error;
  const auto line = json::parse(text, error, bounds_);
  if (!line || !line->object() || line->object()->size() != 1)
    throw_malformed("expected an object of one action");
  const auto& [action, options] = line->object()->front();
  BulkItem item;
  if (action == "index")
    item.action = BulkItem::Action::index;
  else if (action == "create")
    item.action = BulkItem::Action::create;
  else if (action == "update")
    item.action = BulkItem::Action::update;
  else if (action == "delete")
    item.action = BulkItem::Action::erase;
  else
    throw_malformed("expected one of [create, delete, index, update] but found [" + truncated(action, 40) +
                    "]");
  if (!options.object()) throw_malformed("expected an object behind [" + action + "]");
  item.index = default_index_;
  for (const auto& [name, value] : *options.object()) {
    const auto assign_text = [&, &value = value, &name = name](std::string& target) {
      if (value.string())
        target = *value.string();
      else if (value.number())
        target = json::write(value);
      else
        item.problem = "[" + name + "] must be text";
    };
    if (name == "_index")
      assign_text(item.index);
    else if (name == "_id")
      assign_text(item.id);
    else if (name == "routing" || name == "_routing")
      assign_text(item.routing);
    else if (name == "require_alias" && value == json::Value(false))
      continue;
    else if (name == "op_type" && value == json::Value("create"))
      item.action = BulkItem::Action::create;
    else if (name == "op_type" && value == json::Value("index"))
      continue;
    else
      item.problem = "Action/metadata line [" + std::to_string(line_count_) + "] contains a parameter [" +
                     truncated(name, 40) + "] that is not taken";
  }
  if (item.index.empty() && item.problem.empty()) item.problem = "index is missing";
  if (item.id.size() > 512) item.problem = "id is too long, must be no longer than 512 bytes";
  if (item.action == BulkItem::Action::erase) return item;
  pending_item_ = std::move(item);
  return std::nullopt;
}

}  // namespace kelpdeal::search
