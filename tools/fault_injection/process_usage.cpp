// SPDX-License-Identifier: MIT
#include "process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace kelpdeal::faults {

ProcessUsage read_process_usage(pid_t process) {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  ProcessUsage usage;
  const std::string folder = "/proc/" + std::to_string(process);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) usage.resident_bytes = std::stoul(line.substr(6)) * kBytesPerKilobyte;
    if (line.starts_with("VmHWM:"))
      usage.peak_resident_bytes = std::stoul(line.substr(6)) * kBytesPerKilobyte;
  }
  std::error_code error;
  for (std::filesystem::directory_iterator entry(folder + "/fd", error), end; !error && entry != end;
       entry.increment(error))
    ++usage.descriptors;
  return usage;
}

}  // namespace kelpdeal::faults
