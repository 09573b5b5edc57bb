// SPDX-License-Identifier: MIT
// State and logic of the operator commands, without I/O: which record nodes are offline, whether this
// coordinator directs its clients to others, and the answer to each command. The gateway executes the
// results.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "kelpdeal/operations/command.h"
#include "kelpdeal/time.h"

namespace kelpdeal::operations {

struct AdminLimits {
  std::size_t max_offline_nodes = 4'096;       // beyond this OFFLINE is refused
  Duration close_delay = Milliseconds(1'000);  // after LEAVE, kept-alive connections close from then on
};

// What the gateway knows when a command arrives.
struct ProcessState {
  bool started = false;     // serving on its addresses
  bool stopping = false;    // has received SIGTERM
  bool node_known = false;  // OFFLINE and ONLINE: discovery or the configuration has listed the node
};

// The result of a command: the answer line and what has changed.
struct CommandResult {
  bool success = false;
  std::string text;              // follows SUCCESS or FAILURE
  bool offline_changed = false;  // the set of offline nodes has changed: relist the nodes, save the hand-over
  bool leaving_changed = false;
  std::string line() const { return success ? operations::success(text) : operations::failure(text); }
};

class AdminController {
 public:
  explicit AdminController(AdminLimits limits = {}) : limits_(limits) {}

  CommandResult execute(const Command& command, const ProcessState& state, TimePoint now);

  // An offline node gets no new attempts until ONLINE, whatever the node list says.
  bool is_offline(std::string_view node) const { return offline_.find(node) != offline_.end(); }
  const std::set<std::string, std::less<>>& offline_nodes() const { return offline_; }

  // Whether LEAVE was received and not revoked by JOIN.
  bool leaving() const { return leaving_; }
  // While leaving: the time from which kept-alive connections close after their answer, and idle ones at
  // once.
  TimePoint close_connections_from() const { return leaving_ ? left_at_ + limits_.close_delay : kNever; }
  // Ready for clients: started, not stopping and not leaving.
  bool ready(const ProcessState& state) const { return state.started && !state.stopping && !leaving_; }

  // Hand-over between two processes at an upgrade: the offline nodes as text, one per line. restore()
  // replaces the set; it returns false and leaves the set unchanged if the text is invalid.
  std::string serialize() const;
  bool restore(std::string_view text);

 private:
  AdminLimits limits_;
  std::set<std::string, std::less<>> offline_;
  bool leaving_ = false;
  TimePoint left_at_{};
};

}  // namespace kelpdeal::operations
