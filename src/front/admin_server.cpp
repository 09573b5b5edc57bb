// SPDX-License-Identifier: MIT
#include "kelpdeal/admin_server.h"

#include "kelpdeal/operations/command.h"

namespace kelpdeal {

AdminServer::AdminServer(Scheduler& scheduler, Address listen, const Limits& limits, Metrics& metrics,
                         std::function<Task<std::string>(std::string)> answer)
    : scheduler_(scheduler),
      limits_(limits),
      metrics_(metrics),
      answer_(std::move(answer)),
      listener_(scheduler, listen, limits.backlog) {
  scheduler_.spawn(accept_all());
}

Task<void> AdminServer::accept_all() {
  while (auto stream = co_await listener_.accept()) {
    metrics_.count("admin.connections");
    // Guards against callers that hold their connections and starve the descriptors of clients: beyond the
    // bound the oldest caller goes, as its time is nearest its end anyway.
    if (callers_.size() >= limits_.admin_callers) {
      metrics_.count("admin.shed");
      callers_.front()->cancel();
    }
    callers_.push_back(std::move(stream));
    scheduler_.spawn(converse(std::prev(callers_.end())));
  }
}

Task<void> AdminServer::converse(Place place) {
  Stream& stream = **place;
  operations::LineReader reader(limits_.admin_line);
  const TimePoint deadline = Clock::now() + limits_.admin_read;
  char chunk[256];
  operations::LineReader::State state = operations::LineReader::State::more;
  while (state == operations::LineReader::State::more) {
    const IoResult got = co_await stream.read_some(chunk, deadline);
    if (got.status != IoStatus::ok) break;
    state = reader.feed({chunk, got.bytes});
  }
  std::string reply;
  if (state == operations::LineReader::State::done) {
    reply = co_await answer_(reader.line());
  } else if (state == operations::LineReader::State::too_long) {
    metrics_.count("admin.bad");
    metrics_.log("admin", "a call longer than its bound");
    reply = operations::failure("call too long");
  } else {
    metrics_.count("admin.unfinished");
  }
  if (!reply.empty()) {
    co_await stream.write_all(reply, Clock::now() + limits_.admin_write);
    stream.finish_writing();
  }
  callers_.erase(place);
}

}  // namespace kelpdeal
