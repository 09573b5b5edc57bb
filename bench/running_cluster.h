// SPDX-License-Identifier: MIT
// What measurements of the program have in common: its nodes and discovery run in a thread of their own.
#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "../tests/stand_ins.h"
#include "blocking_client.h"

namespace kelpdeal::test {

// Runs a cluster in a thread until this object is destroyed; fails the run after `timeout`.
class RunningCluster {
 public:
  RunningCluster(TestCluster& cluster, Duration timeout)
      : thread_([this, &cluster, timeout] { cluster.run(wait_until_stopped(cluster), timeout); }) {}
  RunningCluster(const RunningCluster&) = delete;
  RunningCluster& operator=(const RunningCluster&) = delete;
  ~RunningCluster() {
    stopped_ = true;
    thread_.join();
  }

 private:
  Task<void> wait_until_stopped(TestCluster& cluster) {
    while (!stopped_) co_await cluster.pause(std::chrono::milliseconds(5));
  }

  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// The program's page of counters: a line "NAME VALUE" for each.
inline std::string counters_page(const std::string& address) {
  Client client(address, std::chrono::seconds(5));
  client.send("GET /-/counters HTTP/1.1\r\nConnection: close\r\n\r\n");
  return client.read_to_end();
}

}  // namespace kelpdeal::test
