// SPDX-License-Identifier: MIT
#include "fault_proxy.h"

#include <algorithm>
#include <string>
#include <vector>

namespace kelpdeal::faults {
namespace {

constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::size_t kFragmentBytes = 7;
constexpr std::size_t kMaxFragmentedBytes = 256;  // of a piece; the rest follows in one write
constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr Duration kSilence = std::chrono::seconds(30);
constexpr int kBacklog = 256;

}  // namespace

struct FaultProxy::Link {
  std::shared_ptr<Stream> client, upstream;
  std::size_t bytes_until_cut = 0;  // 0: not cut
  void end() const {
    client->cancel();
    upstream->cancel();
  }
};

FaultProxy::FaultProxy(Scheduler& scheduler, Address upstream, std::uint64_t seed)
    : scheduler_(scheduler),
      upstream_(upstream),
      random_(seed),
      listener_(scheduler, *Address::parse("127.0.0.1:0"), kBacklog) {
  scheduler_.spawn(accept_all());
}

Task<void> FaultProxy::accept_all() {
  while (std::shared_ptr<Stream> client = co_await listener_.accept()) {
    if (occurs(faults.refuse_rate)) continue;
    scheduler_.spawn(serve(std::move(client)));
  }
}

Task<void> FaultProxy::serve(std::shared_ptr<Stream> client) {
  if (occurs(faults.silent_rate)) {
    co_await scheduler_.sleep_until(Clock::now() + kSilence);
    co_return;
  }
  const auto link = std::make_shared<Link>();
  link->client = std::move(client);
  link->upstream = co_await connect(scheduler_, upstream_, Clock::now() + kConnectTimeout);
  if (!link->upstream) co_return;
  if (occurs(faults.cut_rate)) link->bytes_until_cut = std::max<std::size_t>(faults.cut_after_bytes, 1);
  scheduler_.spawn(forward(link, Direction::to_upstream));
  co_await forward(link, Direction::to_client);
}

Task<void> FaultProxy::forward(LinkPtr link, Direction direction) {
  const bool to_client = direction == Direction::to_client;
  Stream& from = to_client ? *link->upstream : *link->client;
  Stream& to = to_client ? *link->client : *link->upstream;
  std::vector<char> buffer(kPieceBytes);
  for (;;) {
    const IoResult got = co_await from.read_some(buffer);
    if (got.status != IoStatus::ok) break;
    std::size_t length = got.bytes;
    const bool cut = to_client && link->bytes_until_cut > 0 && link->bytes_until_cut <= length;
    if (cut) length = link->bytes_until_cut - 1;
    if (to_client && link->bytes_until_cut > 0 && !cut) link->bytes_until_cut -= length;
    if (to_client && length > 0 && occurs(faults.spoil_rate)) buffer[random_() % length] ^= 0x15;
    if (faults.delay > Duration::zero()) co_await scheduler_.sleep_until(Clock::now() + faults.delay);
    if (co_await pass_on(to, {buffer.data(), length}) != IoStatus::ok || cut) break;
  }
  link->end();
}

Task<IoStatus> FaultProxy::pass_on(Stream& to, std::string_view piece) {
  if (occurs(faults.fragment_rate)) {
    std::size_t left = std::min(piece.size(), kMaxFragmentedBytes);
    while (left > 0) {
      const std::size_t size = std::min(left, kFragmentBytes);
      const IoResult put = co_await to.write_all(piece.substr(0, size));
      if (put.status != IoStatus::ok) co_return put.status;
      piece.remove_prefix(size);
      left -= size;
      co_await scheduler_.next_turn();
    }
  }
  co_return (co_await to.write_all(piece)).status;
}

}  // namespace kelpdeal::faults
