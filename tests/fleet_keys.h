// SPDX-License-Identifier: MIT
#pragma once

#include <string>

#include "kelpdeal/peers/envelope.h"

namespace kelpdeal::test {

// The key of a one-line key file: `digit` repeated 64 times.
inline peers::Keys fleet_keys(char digit = 'a') {
  std::string problem;
  return *peers::Keys::parse(std::string(64, digit), problem);
}

}  // namespace kelpdeal::test
