// SPDX-License-Identifier: MIT
// Codec between the simulator's line protocol and the interface of cottonbay. It makes no decisions.
#pragma once

#include <array>
#include <cstdint>
#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cottonbay/balancer.h"

namespace cottonbay::wire {

// Invalid input; the message is one line.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A parsed line of the protocol: the message name and its name=value fields, in any order. Accessors throw
// MalformedInput if a value has the wrong type.
class Fields {
 public:
  explicit Fields(std::string_view line);
  const std::string& name() const { return name_; }
  bool has(std::string_view key) const;
  std::string text(std::string_view key, std::string_view default_value = "") const;
  double number(std::string_view key, double default_value = 0) const;
  std::uint64_t unsigned_integer(std::string_view key) const;  // throws if the field is missing
  int integer(std::string_view key, int default_value = 0) const;
  bool flag(std::string_view key, bool default_value = false) const;
  std::vector<std::string> list(std::string_view key) const;

 private:
  std::string name_;
  std::map<std::string, std::string, std::less<>> values_;
};

Settings parse_settings(const Fields& fields);
ServerEntry parse_server(const Fields& fields);
// Base64 with padding; the empty string is written as "-".
std::string base64_encode(std::string_view bytes);
std::string base64_decode(std::string_view text);

// Runs any number of Balancer instances on one pair of streams, as the simulator asks for.
class SimulatorSession {
 public:
  // Reads batches until the input ends. Throws MalformedInput on invalid input.
  void run(std::istream& in, std::ostream& out);

 private:
  struct Instance {
    std::unique_ptr<Balancer> balancer;
    std::vector<Event> events;
    bool in_batch_order = false;  // already in batch_order_
  };
  void begin_batch(const Fields& fields);
  void handle_message(const Fields& fields, std::istream& in);
  void step_instance(std::uint64_t id, Instance& instance, std::ostream& out);
  void end_batch(std::ostream& out);

  std::map<std::uint64_t, Instance> instances_;
  std::vector<std::uint64_t> batch_order_;  // instances with events in this batch, by their first event
  std::array<std::vector<ServerEntry>, 16> pages_;
  double now_ms_ = 0;
  bool in_batch_ = false;
};

}  // namespace cottonbay::wire
