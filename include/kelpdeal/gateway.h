// SPDX-License-Identifier: MIT
// A whole coordinator, put together from its parts. It ends the scheduler's tasks when it goes.
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
  // Throws ConfigError if the configuration cannot be used, std::system_error if an address cannot be had.
  // `fleet`: what `--fleet FILE` says; without it this coordinator shares nothing with others.
  Gateway(Scheduler& scheduler, const Config& config, const std::optional<FrontContract>& contract = {},
          const std::optional<fleet::FleetFile>& fleet = {});
  ~Gateway();

  // Begins a planned stop: the scheduler stops once all that was taken is answered.
  void drain();
  // Takes over what a new configuration says of discovery; connections, decisions and open queries stay. One
  // that cannot be read is logged, and the old one stays.
  void reload(const std::function<Config()>& read);
  // One operators' call (`HEALTH`, `OFFLINE ID`, `ONLINE ID`, `LEAVE`, `JOIN`) as the door takes it, and its
  // answer line: `SUCCESS ...` or `FAILURE ...` with its end. See docs/operators-door.md.
  std::string run_operator_command(std::string_view line);
  const Metrics& metrics() const;
  // Where it listens; the second is empty without the OpenSearch-style front.
  std::string address() const;
  std::string search_address() const;
  // The operators' door; empty without `admin_addr`.
  std::string admin_address() const;
  // The peers' links and the fleet's operators' calls; empty without a fleet.
  std::string peers_address() const;
  std::string fleet_address() const;

 private:
  struct Components;
  std::unique_ptr<Components> components_;
};

// The whole program: reads the environment, serves until SIGTERM or SIGINT, prints the counters, and returns
// the exit status. SIGHUP reads GW_CONFIG again, SIGUSR1 prints the counters at any time. `--front FILE` adds
// the OpenSearch-style front, `--fleet FILE` what is held in common with other coordinators; `fleet ...`
// makes a call to one.
int run_program(int argc, char** argv);

}  // namespace kelpdeal
