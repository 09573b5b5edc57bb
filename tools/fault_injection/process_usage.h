// SPDX-License-Identifier: MIT
// What the kernel says of a process: its memory and its descriptors, from /proc.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace kelpdeal::faults {

struct ProcessUsage {
  std::size_t resident_bytes = 0;       // VmRSS
  std::size_t peak_resident_bytes = 0;  // VmHWM
  std::size_t descriptors = 0;          // open file descriptors
};

// All zero if there is no such process.
ProcessUsage read_process_usage(pid_t process);

}  // namespace kelpdeal::faults
