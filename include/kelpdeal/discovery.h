// SPDX-License-Identifier: MIT
// Client of the platform's discovery service over HTTP: fetches the complete node list and watches for
// changes.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kelpdeal/broker.h"
#include "kelpdeal/discovery_schedule.h"
#include "kelpdeal/http.h"
#include "kelpdeal/socket.h"

namespace kelpdeal {

class DiscoveryClient : public Directory {
 public:
  DiscoveryClient(Scheduler& scheduler, Address address, const Limits& limits, Metrics& metrics,
                  admission::MemoryAccount& memory, std::uint64_t seed, DirectorySink& sink);

  // Sets the version of the list that is already known; a watch starts from there.
  void set_known_version(std::uint64_t version) { version_ = version; }
  // Where lists are pushed, nobody subscribes: starts with the complete list and keeps it up to date through
  // all failures. Otherwise nothing happens before subscribe().
  void start();
  // Starts the watch; further calls have no effect. After a failure the watch is reopened when the schedule
  // allows it.
  void subscribe() override;
  void fetch() override;
  // Switches to another address: fetches its complete list, then watches from there.
  void change_address(Address address);
  Address address() const { return address_; }

 private:
  void start_watch();
  Task<void> watch(std::uint64_t generation);
  Task<void> fetch_once();
  // Sends one GET and parses the answer; empty if the call failed.
  Task<std::optional<NodeList>> get(std::string target, TimePoint deadline);

  Scheduler& scheduler_;
  Address address_;
  const Limits limits_;
  Metrics& metrics_;
  admission::MemoryAccount& memory_;
  DirectorySink& sink_;
  DiscoverySchedule schedule_;
  std::shared_ptr<Stream> idle_connection_;                // kept alive between two calls
  std::vector<std::weak_ptr<Stream>> active_connections_;  // connections with a call in progress
  bool need_complete_list_ = false;                        // after an address change, and from an agent
  std::uint64_t version_ = 0;
  std::uint64_t watch_generation_ = 0;  // the current watch, 0 before the first one; older watches end
  bool agent_failed_ = false;           // the last call to the agent failed
};

}  // namespace kelpdeal
