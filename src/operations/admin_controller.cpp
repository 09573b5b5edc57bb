// SPDX-License-Identifier: MIT
#include "kelpdeal/operations/admin_controller.h"

#include <vector>

namespace kelpdeal::operations {
namespace {

constexpr std::string_view kHeader = "kelpdeal out-by-hand 1\n";

}  // namespace

Verdict Door::decide(const Command& command, const Facts& facts, TimePoint now) {
  using Kind = Command::Kind;
  Verdict verdict;
  switch (command.kind) {
    case Kind::health:
      verdict.success = ready(facts);
      verdict.text = verdict.success  ? "ready"
                     : facts.stopping ? "stopping"
                     : leaving_       ? "leaving"
                                      : "starting";
      break;
    case Kind::offline:
      // Guards against a ban nobody can take back: an id never listed is owed a no.
      if (!facts.listed && !out(command.node)) {
        verdict.text = "unknown data node " + command.node;
      } else if (out(command.node)) {
        verdict.success = true;  // calls out may be repeated
        verdict.text = "already out " + command.node;
      } else if (out_.size() >= limits_.most_out) {
        verdict.text = "too many data nodes out by hand";
      } else {
        out_.insert(command.node);
        verdict.success = verdict.bans_changed = true;
        verdict.text = "out " + command.node;
      }
      break;
    case Kind::online:
      if (!facts.listed && !out(command.node)) {
        verdict.text = "unknown data node " + command.node;
      } else {
        verdict.success = true;
        verdict.bans_changed = out_.erase(command.node) > 0;
        verdict.text = (verdict.bans_changed ? "back " : "was not out ") + command.node;
      }
      break;
    case Kind::leave:
      verdict.success = true;
      verdict.presence_changed = !leaving_;
      if (!leaving_) left_at_ = now;  // a repeated LEAVE keeps the first one's time
      leaving_ = true;
      verdict.text = "leaving";
      break;
    case Kind::join:
      verdict.success = !facts.stopping;  // a process told to stop takes nobody again
      verdict.presence_changed = leaving_ && verdict.success;
      if (verdict.success) leaving_ = false;
      verdict.text = verdict.success ? "joined" : "stopping";
      break;
  }
  return verdict;
}

std::string Door::saved() const {
  std::string text(kHeader);
  for (const std::string& node : out_) text += node + "\n";
  return text;
}

bool Door::restore(std::string_view text) {
  if (!text.starts_with(kHeader) || (text.size() > kHeader.size() && !text.ends_with('\n'))) return false;
  text.remove_prefix(kHeader.size());
  std::set<std::string, std::less<>> read;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view node = text.substr(0, end);
    if (!valid_node_id(node) || read.size() >= limits_.most_out) return false;
    read.emplace(node);
    text.remove_prefix(end + 1);
  }
  out_ = std::move(read);
  return true;
}

}  // namespace kelpdeal::operations
