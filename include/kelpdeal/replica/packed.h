// SPDX-License-Identifier: MIT
// Bounded msgpack decoding for messages and values from other coordinators.
#pragma once

#define MSGPACK_NO_BOOST
#include <algorithm>
#include <cstddef>
#include <msgpack.hpp>
#include <string_view>

namespace kelpdeal::replica {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::size_t kMaxItems = 50'000;  // items of any list, before its own limit

// Decodes `bytes`; `end` receives the end of the value. Throws msgpack's exceptions if the input is truncated
// or over a limit.
inline msgpack::object_handle unpack_bounded(std::string_view bytes, std::size_t& end,
                                             std::size_t max_list_items = kMaxItems, std::size_t depth = 8) {
  // Prevents allocations for a length that is only announced.
  const std::size_t max_items = std::min(bytes.size(), max_list_items);
  const msgpack::unpack_limit limit(max_items, max_items, bytes.size(), bytes.size(), bytes.size(), depth);
  end = 0;
  return msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limit);
}

}  // namespace kelpdeal::replica
