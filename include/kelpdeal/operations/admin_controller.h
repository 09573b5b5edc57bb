// SPDX-License-Identifier: MIT
// What the operators' calls decide, without I/O: which data nodes are out by hand, whether this coordinator
// sends its clients away, and the answer to each call. The gateway asks it and carries out what it says.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "kelpdeal/operations/command.h"
#include "kelpdeal/time.h"

namespace kelpdeal::operations {

struct AdminLimits {
  std::size_t max_offline_nodes = 4'096;  // data nodes out by hand at once; beyond, a call out is refused
  Duration close_delay = Milliseconds(1'000);  // after LEAVE, kept connections close from here on
};

// What the gateway knows when a call comes.
struct ProcessState {
  bool started = false;     // serving on its addresses
  bool stopping = false;    // told to stop (SIGTERM)
  bool node_known = false;  // of OFFLINE and ONLINE: the node was listed by discovery or the configuration
};

// One call's outcome: the answer line, and what changed.
struct CommandResult {
  bool success = false;
  std::string text;              // after SUCCESS or FAILURE
  bool offline_changed = false;  // the set of nodes out by hand is new: re-list the node, save the hand-over
  bool leaving_changed = false;
  std::string line() const { return success ? operations::success(text) : operations::failure(text); }
};

class AdminController {
 public:
  explicit AdminController(AdminLimits limits = {}) : limits_(limits) {}

  CommandResult execute(const Command& command, const ProcessState& state, TimePoint now);

  // Out by hand: whatever the list says, nothing new goes to it until ONLINE.
  bool is_offline(std::string_view node) const { return offline_.find(node) != offline_.end(); }
  const std::set<std::string, std::less<>>& offline_nodes() const { return offline_; }

  // Sent away by LEAVE and not taken back by JOIN.
  bool leaving() const { return leaving_; }
  // From when on kept connections close after their answer (and idle ones at once), while leaving.
  TimePoint close_connections_from() const { return leaving_ ? left_at_ + limits_.close_delay : kNever; }
  // Ready to take clients: started, not stopping, not sent away.
  bool ready(const ProcessState& state) const { return state.started && !state.stopping && !leaving_; }

  // The hand-over between two processes at an upgrade: the nodes out by hand, one line each. restore() takes
  // a whole text for the set it holds (false, with the set unchanged, if it cannot be read).
  std::string serialize() const;
  bool restore(std::string_view text);

 private:
  AdminLimits limits_;
  std::set<std::string, std::less<>> offline_;
  bool leaving_ = false;
  TimePoint left_at_{};
};

}  // namespace kelpdeal::operations
