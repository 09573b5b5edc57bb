// SPDX-License-Identifier: MIT
// The configuration file given with `--fleet FILE` (TOML, parsed by toml++): peers, keys and listen
// addresses. It is validated completely; an error is one line that names the field.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kelpdeal/fleet/event_log.h"
#include "kelpdeal/fleet/member.h"
#include "kelpdeal/peers/envelope.h"
#include "kelpdeal/peers/links.h"

namespace kelpdeal::fleet {

struct FleetFile {
  std::string name;  // this member's
  // Of the peers' links and of the operators' calls; port 0 picks a free one.
  Address listen, admin;
  std::string key_file;  // as written; the keys are read from it
  std::string folder;    // of the state on disk; empty: none
  std::vector<peers::Peer> peers;
  EventLogFile log;  // the structured log
  // Whether keyed operations proceed when the peers cannot report their state in time, by class; otherwise
  // they are refused.
  std::map<std::string, bool, std::less<>> proceed_unheard;
  bool beliefs = true;  // whether reports of hanging record nodes are shared
  Duration ask_timeout = std::chrono::milliseconds(150);  // maximum wait for the peers' answers
  Duration clock_offset{};  // added to the wall clock, for tests with a wrong clock
  MemberBounds bounds;      // with `keep_ms` and `most_keep_ms` from the file, if present
  std::optional<peers::Keys> keys;
};

// `name`: the coordinator's, used if the file names none. Throws ConfigError.
FleetFile read_fleet_file(const std::string& path, const std::string& name);

}  // namespace kelpdeal::fleet
