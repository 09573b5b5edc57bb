// SPDX-License-Identifier: MIT
// What the platform tells a coordinator: GW_* and the file GW_CONFIG names.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cottonbay/balancer.h"
#include "kelpdeal/json.h"
#include "kelpdeal/limits.h"

namespace kelpdeal {

// One line that names the field at fault.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A record node as discovery or the configuration lists it.
struct NodeEntry {
  std::string uid, endpoint, zone, kind;
  cottonbay::ServerState state = cottonbay::ServerState::serving;
  double weight = 1;
  int cell = 0;
  std::chrono::system_clock::time_point started;  // the epoch: long ago
};

struct NodeList {
  std::uint64_t version = 0;
  bool complete = false;
  std::vector<NodeEntry> nodes;
};

struct Config {
  std::string name, listen, discovery;
  // The operators' door (`admin_addr`, $GW_ADMIN_ADDR): empty if there is none.
  std::string admin_address;
  // The listening socket the platform hands down ($GW_PASSED_SOCKET, descriptor 4 at upgrades); -1 if none:
  // then `listen` is bound.
  int passed_socket = -1;
  // Where the nodes out by hand are kept for the other process of an upgrade: in $TMPDIR, by the
  // coordinator's name; only with an operators' door.
  std::string handover_path;
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 1024;  // descriptors that the platform allows (`limits.sockets`)
  cottonbay::Settings settings;
  NodeList known_nodes;
  Limits limits;
};

// `variable` gives an environment variable's text, empty if it is not set.
Config load_config(const std::function<std::string(const char*)>& variable);
Config parse_config(const json::Value& file);
cottonbay::Settings parse_settings(const json::Value& settings);
NodeList parse_node_list(const json::Value& list);

// Reads a whole small file. Throws ConfigError.
std::string read_file(const std::string& path, const char* what);

}  // namespace kelpdeal
