// SPDX-License-Identifier: MIT
// Embeds a complete coordinator: builds its settings in code, runs it without record nodes and sends it one
// readiness request.
#include <cstdio>

#include "kelpdeal/gateway.h"
#include "kelpdeal/http.h"
#include "kelpdeal/socket.h"

using namespace kelpdeal;

namespace {

Task<void> request_readiness(Scheduler& scheduler, Address address, int& status) {
  const std::unique_ptr<Stream> stream =
      co_await connect(scheduler, address, Clock::now() + std::chrono::seconds(1));
  if (stream) {
    http::Request request;
    request.method = "GET";
    request.target = "/-/ready";
    const std::string bytes = http::write(request);
    co_await stream->write_all(bytes);
    http::Parser<http::Response> parser({});
    std::vector<char> chunk(1024);
    while (parser.advance() == http::State::more) {
      const IoResult result = co_await stream->read_some(chunk, Clock::now() + std::chrono::seconds(1));
      if (result.status != IoStatus::ok) break;
      parser.feed({chunk.data(), result.bytes});
    }
    if (parser.advance() == http::State::done) status = parser.take().status;
  }
  scheduler.stop();
}

}  // namespace

int main() {
  Config config;
  config.listen = "127.0.0.1:0";
  config.discovery = "127.0.0.1:9";
  cottonbay::ClassSettings lookup;
  lookup.name = "lookup";
  lookup.slo_ms = 1000;
  lookup.deadline_ms = 3000;
  lookup.effect = cottonbay::Effect::idempotent;
  lookup.value = 1;
  config.settings.classes = {lookup};
  config.settings.tick_ms = 1;
  config.settings.shards = config.settings.cells = 1;

  Scheduler scheduler;
  const Gateway gateway(scheduler, config);
  int status = 0;
  scheduler.spawn(request_readiness(scheduler, *Address::parse(gateway.address()), status));
  scheduler.run();
  std::printf("GET /-/ready on %s returned status %d\n", gateway.address().c_str(), status);
  return status == 200 ? 0 : 1;
}
