// SPDX-License-Identifier: MIT
// Runs stand-ins for discovery and for record nodes that hold documents, as a separate process. Writes the
// configuration for a coordinator to the given folder, prints "ready ADDRESS", and exits when its standard
// input is closed.
#include <fcntl.h>

#include <cstdio>
#include <fstream>
#include <iostream>

#include "search_fixture.h"

namespace kelpdeal::test {
namespace {

struct Input : ReadinessHandler {
  Scheduler& scheduler;
  explicit Input(Scheduler& s) : scheduler(s) { scheduler.watch(0, EPOLLIN, *this); }
  void on_ready(std::uint32_t) override {
    char bytes[64];
    if (::read(0, bytes, sizeof bytes) <= 0) scheduler.stop();
  }
};

int run(const std::string& folder, Api api) {
  TestCluster world({Api::opensearch, api});
  DocumentStore documents;
  add_sample_documents(documents, fixture_contract(api));
  for (auto& node : world.nodes)
    node->on_part = [&documents](const ReceivedPart& part) { return answer_from(documents, part); };
  std::ofstream(folder + "/config.json") << world.config_text();
  std::cout << "ready " << world.discovery->address() << std::endl;
  ::fcntl(0, F_SETFL, O_NONBLOCK);
  const Input input(world.scheduler);
  world.scheduler.run();
  return 0;
}

}  // namespace
}  // namespace kelpdeal::test

int main(int argc, char** argv) {
  if (argc != 3) return std::cerr << "usage: kelpdeal_stand_in FOLDER frames|opensearch\n", 2;
  const auto api =
      std::string(argv[2]) == "opensearch" ? kelpdeal::test::Api::opensearch : kelpdeal::test::Api::platform;
  return kelpdeal::test::run(argv[1], api);
}
