// SPDX-License-Identifier: MIT
// A TCP proxy that disturbs the connections that pass through it. Stands before record nodes and discovery.
#pragma once

#include <cstdint>
#include <memory>
#include <random>

#include "kelpdeal/socket.h"

namespace kelpdeal::faults {

// The faults of new connections, and of bytes that pass from now on. Rates are shares from 0 to 1.
struct ProxyFaults {
  double refuse_rate = 0;    // connections that are closed as soon as they are accepted
  double silent_rate = 0;    // connections on which nothing passes
  double cut_rate = 0;       // connections that end after `cut_after_bytes` of the upstream's bytes
  double fragment_rate = 0;  // pieces that are passed on a few bytes at a time
  double spoil_rate = 0;     // pieces from the upstream in which one byte is changed
  std::size_t cut_after_bytes = 0;
  Duration delay{};  // of each piece
};

class FaultProxy {
 public:
  // Listens on an ephemeral loopback port and forwards to `upstream`.
  FaultProxy(Scheduler& scheduler, Address upstream, std::uint64_t seed);
  Address address() const { return listener_.address(); }
  ProxyFaults faults;

 private:
  enum class Direction { to_upstream, to_client };
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;
  Task<void> accept_all();
  Task<void> serve(std::shared_ptr<Stream> client);
  Task<void> forward(LinkPtr link, Direction direction);
  Task<IoStatus> pass_on(Stream& to, std::string_view piece);
  bool occurs(double rate) { return std::uniform_real_distribution<>(0, 1)(random_) < rate; }

  Scheduler& scheduler_;
  const Address upstream_;
  std::mt19937_64 random_;
  Listener listener_;
};

}  // namespace kelpdeal::faults
