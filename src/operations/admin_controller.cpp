// SPDX-License-Identifier: MIT
#include "kelpdeal/operations/admin_controller.h"

#include <vector>

namespace kelpdeal::operations {
namespace {

constexpr std::string_view kHeader = "kelpdeal out-by-hand 1\n";

}  // namespace

CommandResult AdminController::execute(const Command& command, const ProcessState& state, TimePoint now) {
  using Kind = Command::Kind;
  CommandResult result;
  switch (command.kind) {
    case Kind::health:
      result.success = ready(state);
      result.text = result.success   ? "ready"
                    : state.stopping ? "stopping"
                    : leaving_       ? "leaving"
                                     : "starting";
      break;
    case Kind::offline:
      // Refuse an id that was never listed, for example a misspelled one: nobody would ever revoke the entry.
      if (!state.node_known && !is_offline(command.node)) {
        result.text = "unknown data node " + command.node;
      } else if (is_offline(command.node)) {
        result.success = true;  // OFFLINE is idempotent
        result.text = "already out " + command.node;
      } else if (offline_.size() >= limits_.max_offline_nodes) {
        result.text = "too many data nodes out by hand";
      } else {
        offline_.insert(command.node);
        result.success = result.offline_changed = true;
        result.text = "out " + command.node;
      }
      break;
    case Kind::online:
      if (!state.node_known && !is_offline(command.node)) {
        result.text = "unknown data node " + command.node;
      } else {
        result.success = true;
        result.offline_changed = offline_.erase(command.node) > 0;
        result.text = (result.offline_changed ? "back " : "was not out ") + command.node;
      }
      break;
    case Kind::leave:
      result.success = true;
      result.leaving_changed = !leaving_;
      if (!leaving_) left_at_ = now;  // a repeated LEAVE keeps the time of the first
      leaving_ = true;
      result.text = "leaving";
      break;
    case Kind::join:
      result.success = !state.stopping;  // a stopping process does not accept clients again
      result.leaving_changed = leaving_ && result.success;
      if (result.success) leaving_ = false;
      result.text = result.success ? "joined" : "stopping";
      break;
  }
  return result;
}

std::string AdminController::serialize() const {
  std::string text(kHeader);
  for (const std::string& node : offline_) text += node + "\n";
  return text;
}

bool AdminController::restore(std::string_view text) {
  if (!text.starts_with(kHeader) || (text.size() > kHeader.size() && !text.ends_with('\n'))) return false;
  text.remove_prefix(kHeader.size());
  std::set<std::string, std::less<>> read;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view node = text.substr(0, end);
    if (!valid_node_id(node) || read.size() >= limits_.max_offline_nodes) return false;
    read.emplace(node);
    text.remove_prefix(end + 1);
  }
  offline_ = std::move(read);
  return true;
}

}  // namespace kelpdeal::operations
