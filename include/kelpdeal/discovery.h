// SPDX-License-Identifier: MIT
// The platform's discovery over HTTP: the whole list, and a watch on its changes.
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
                  std::uint64_t seed, DirectorySink& sink);

  // The version that is already known, where a watch begins.
  void set_known_version(std::uint64_t version) { version_ = version; }
  // Where lists are pushed, nobody subscribes: the list is kept up from here on, through every failure, the
  // whole of it first. Elsewhere nothing happens before subscribe().
  void start();
  // One watch at a time, opened anew at the pace's word after each failure: a further call changes nothing.
  void subscribe() override;
  void fetch() override;
  // Goes on at another address: the whole list first, then a watch from it.
  void change_address(Address address);
  Address address() const { return address_; }

 private:
  void begin();
  Task<void> watch(std::uint64_t turn);
  Task<void> fetch_once();
  // The parsed answer to one GET; nothing if it failed.
  Task<std::optional<NodeList>> get(std::string target, TimePoint deadline);

  Scheduler& scheduler_;
  Address address_;
  const Limits limits_;
  Metrics& metrics_;
  DirectorySink& sink_;
  DiscoverySchedule schedule_;
  std::shared_ptr<Stream> kept_;              // a connection between two calls
  std::vector<std::weak_ptr<Stream>> calls_;  // connections with a call on them
  bool anew_ = false;                         // the whole list comes first: of a new address, of an agent
  std::uint64_t version_ = 0;
  std::uint64_t turn_ = 0;  // the watch that counts, 0 before the first; older ones end
  bool silent_ = false;     // the agent's last call failed
};

}  // namespace kelpdeal
