// SPDX-License-Identifier: MIT
// `kelpdeal fleet members|state|digest|out|offline ID|online ID --at ADDRESS [--json]`: operators' calls from
// a shell.
#pragma once

#include <string>

#include "kelpdeal/socket.h"

namespace kelpdeal::fleet {

// Sends one call to a member's fleet address and returns the answer line; empty if none arrived within 3 s.
// Runs its own scheduler, so it is only for programs other than the coordinator.
std::string call_member(const Address& at, const std::string& line);

// `argv` starts at `fleet`. Returns the exit status: 0 for SUCCESS, 1 for FAILURE or no answer, 2 for invalid
// arguments.
int run_command(int argc, const char* const* argv);

}  // namespace kelpdeal::fleet
