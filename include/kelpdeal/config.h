// SPDX-License-Identifier: MIT
// The coordinator's configuration: the GW_* environment variables and the file that GW_CONFIG names.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cottonbay/balancer.h"
#include "kelpdeal/json.h"
#include "kelpdeal/limits.h"

namespace kelpdeal {

// Its message is one line that names the invalid field.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A record node as listed by discovery or the configuration.
struct NodeEntry {
  std::string uid, endpoint, zone, kind;
  cottonbay::ServerState state = cottonbay::ServerState::serving;
  double weight = 1;
  int cell = 0;
  std::chrono::system_clock::time_point started;  // the Unix epoch means "long ago"
};

// A node list, or with `complete` unset only the entries that have changed since the previous version.
struct NodeList {
  std::uint64_t version = 0;
  bool complete = false;
  std::vector<NodeEntry> nodes;
};

struct Config {
  std::string name, listen, discovery;
  // Address of the operator interface (`admin_addr`, $GW_ADMIN_ADDR); empty: none.
  std::string admin_address;
  // Listening socket inherited from the platform ($GW_PASSED_SOCKET, descriptor 4 at upgrades); -1: none,
  // bind `listen` instead.
  int passed_socket = -1;
  // File that hands the set of offline nodes to the other process of an upgrade: in $TMPDIR, named after the
  // coordinator. Only used with an operator interface.
  std::string handover_path;
  std::uint64_t seed = 0;
  std::size_t memory_mb = 0;           // memory that the platform allows (`limits.memory_mb`), in megabytes
  std::size_t max_descriptors = 1024;  // file descriptors that the platform allows (`limits.sockets`)
  cottonbay::Settings settings;
  NodeList known_nodes;
  Limits limits;
};

// `variable` returns the value of an environment variable, empty if it is not set.
Config load_config(const std::function<std::string(const char*)>& variable);
Config parse_config(const json::Value& file);
cottonbay::Settings parse_settings(const json::Value& settings);
NodeList parse_node_list(const json::Value& list);
// The same from text, without building more than one node's value at a time. Throws ConfigError, also for a
// list of more than `max_nodes` nodes.
NodeList parse_node_list(std::string_view text, const json::Bounds& bounds, std::size_t max_nodes);

// Reads a small file. Throws ConfigError.
std::string read_file(const std::string& path, const char* what);

}  // namespace kelpdeal
