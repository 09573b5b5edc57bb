// SPDX-License-Identifier: MIT
// A complete coordinator, assembled from its components. Its destructor ends the scheduler's tasks.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kelpdeal/config.h"
#include "kelpdeal/contract.h"
#include "kelpdeal/fleet/fleet_file.h"
#include "kelpdeal/metrics.h"
#include "kelpdeal/scheduler.h"

namespace kelpdeal {

class Gateway {
 public:
  // Throws ConfigError if the configuration is invalid, std::system_error if an address cannot be bound.
  // `fleet`: the contents of `--fleet FILE`; without it this coordinator shares no state with others.
  Gateway(Scheduler& scheduler, const Config& config, const std::optional<FrontContract>& contract = {},
          const std::optional<fleet::FleetFile>& fleet = {});
  ~Gateway();

  // Starts a graceful shutdown: the scheduler stops once all accepted requests have been answered.
  void drain();
  // Applies the discovery address of a new configuration. Connections, decisions and open queries are kept.
  // If the configuration cannot be read, the error is logged and the old one stays in effect.
  void reload(const std::function<Config()>& read);
  // Executes one operator command (`HEALTH`, `OFFLINE ID`, `ONLINE ID`, `LEAVE`, `JOIN`), as received on the
  // operator interface. Returns the answer line, `SUCCESS ...` or `FAILURE ...`, with its line end. See
  // docs/operators-door.md.
  std::string run_operator_command(std::string_view line);
  const Metrics& metrics() const;
  // Listening addresses. The second is empty without the OpenSearch-style front.
  std::string address() const;
  std::string search_address() const;
  // The operator interface; empty without `admin_addr`.
  std::string admin_address() const;
  // The links to peers and the fleet's operator interface; empty without a fleet.
  std::string peers_address() const;
  std::string fleet_address() const;

 private:
  struct Components;
  std::unique_ptr<Components> components_;
};

// The program: reads the environment, serves until SIGTERM or SIGINT, prints the counters and returns the
// exit status. SIGHUP reloads GW_CONFIG; SIGUSR1 prints the counters. `--front FILE` enables the
// OpenSearch-style front, `--fleet FILE` the state shared with other coordinators; `fleet ...` sends an
// operator command to a coordinator.
int run_program(int argc, char** argv);

}  // namespace kelpdeal
