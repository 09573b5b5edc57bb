// SPDX-License-Identifier: MIT
#include "kelpdeal/accepted_connections.h"

#include <algorithm>
#include <iterator>

namespace kelpdeal {

AcceptedConnections::Room AcceptedConnections::make_room() {
  if (open_count() < max_open_) return Room::available;
  const auto waiting =
      std::find_if(connections_.begin(), connections_.end(),
                   [](const Connection& connection) { return !connection.in_use && !connection.closing; });
  if (waiting == connections_.end()) return Room::none;
  waiting->closing = true;
  waiting->stream->cancel();
  return Room::made;
}

AcceptedConnections::Position AcceptedConnections::add(std::unique_ptr<Stream> stream) {
  connections_.push_back({std::move(stream)});
  return std::prev(connections_.end());
}

void AcceptedConnections::cancel_all() {
  for (const Connection& connection : connections_) connection.stream->cancel();
}

std::size_t AcceptedConnections::open_count() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const Connection& connection) { return !connection.closing; }));
}

}  // namespace kelpdeal
