// SPDX-License-Identifier: MIT
// Runs Balancer instances for the simulator, over standard input and output.
#include <cstdio>
#include <exception>
#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    cottonbay::wire::SimulatorSession().run(std::cin, std::cout);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "cottonbay_drill: %s\n", exception.what());
    return 1;
  }
  return 0;
}
