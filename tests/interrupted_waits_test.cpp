// SPDX-License-Identifier: MIT
// Marks and wake-ups for a coroutine that is in another wait than the expected one: each has to be seen at
// once (docs/incidents/eviction-ends.md).
#include <deque>

#include "conformance/search_fixture.h"
#include "fleet_keys.h"
#include "kelpdeal/peers/links.h"
#include "socket_fixtures.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

// ---- the HTTP server ----
// A server whose next request after a malformed one is read only after the test.
struct PausingServer : ServerFixture {
  explicit PausingServer(std::size_t max_connections)
      : ServerFixture([=](Limits& limits) {
          limits.max_client_connections = max_connections;
          limits.malformed_request_delay = 60s;
          limits.new_client_grace = 0ms;
        }) {}
  // A client whose connection is in that pause.
  std::unique_ptr<Peer> paused_client() {
    auto peer = std::make_unique<Peer>(address());
    peer->write(kMalformedRequest);
    std::string answer;
    until([&] { return (answer += peer->read()).ends_with("answer"); });
    return peer;
  }
};

// Guards against an eviction that is not seen: the connection kept its mark, and no other was evicted any
// more.
TEST(InterruptedWaits, ConnectionInPauseAfterMalformedRequestIsEvicted) {
  PausingServer fixture(2);
  const auto first = fixture.paused_client(), second = fixture.paused_client();
  for (int i = 0; i < 5; ++i) {
    Peer newcomer(fixture.address());
    newcomer.write(kRequest);
    std::string answer;
    fixture.until([&] { return (answer += newcomer.read()).ends_with("answer"); });
  }
  fixture.until([&] { return (first->read(), first->ended); });
  EXPECT_EQ(first->error, 0);
}

// The client's next request arrives after the eviction and before its connection is closed: it is not
// handled, and the client sees the end of the stream.
TEST(InterruptedWaits, RequestDuringEvictionInPauseIsDropped) {
  PausingServer fixture(2);
  const auto first = fixture.paused_client(), second = fixture.paused_client();
  const int handled = fixture.handler.handled;
  fixture.handler.while_handling = [&] {
    if (!first->ended) first->write(kMalformedRequest);
  };
  Peer newcomer(fixture.address());
  newcomer.write(kRequest);
  fixture.until([&] { return newcomer.read().ends_with("answer"); });
  fixture.until([&] { return (first->read(), first->ended); });
  EXPECT_EQ(fixture.handler.handled, handled + 1);
}

// Requests that were read behind malformed ones are answered before their connections are evicted.
TEST(InterruptedWaits, RequestReadBehindMalformedOneIsAnswered) {
  ServerFixture fixture([](Limits& limits) {
    limits.max_client_connections = 2;
    limits.malformed_request_delay = 30ms;
    limits.new_client_grace = 0ms;
  });
  Peer first(fixture.address()), second(fixture.address());
  for (Peer* peer : {&first, &second}) peer->write(kMalformedRequest + kRequest);
  fixture.until([&] { return fixture.handler.handled == 2; });
  Peer newcomer(fixture.address());
  newcomer.write(kRequest);
  fixture.until([&] { return newcomer.read().ends_with("answer"); });
  for (Peer* peer : {&first, &second}) {
    const std::string answers = peer->read();
    EXPECT_TRUE(answers.starts_with("HTTP/1.1 404")) << answers;
    EXPECT_NE(answers.find("HTTP/1.1 200"), std::string::npos) << answers;
  }
}

// Clients that repeat a malformed request as soon as it is answered, beside others that say nothing and
// connect again when they are closed: each new client is served all the same.
TEST(InterruptedWaits, NewClientsAreServedBesideRepeatingAndSilentOnes) {
  ServerFixture fixture([](Limits& limits) {
    limits.max_client_connections = 32;
    limits.max_active_clients = 24;
    limits.malformed_request_delay = 20ms;
    limits.new_client_grace = 5ms;
    limits.first_request_timeout = 60s;  // silent connections end by eviction only
  });
  std::deque<Peer> repeating, silent;
  const auto play = [&] {
    for (Peer& peer : repeating) {
      const bool answered = !peer.read().empty();
      const bool closed = peer.ended || peer.error;
      if (closed) peer = Peer(fixture.address());
      if (closed || answered) peer.write(kMalformedRequest);
    }
    for (Peer& peer : silent) {
      peer.read();
      if (peer.ended || peer.error) peer = Peer(fixture.address());
    }
  };
  for (int i = 0; i < 12; ++i) repeating.emplace_back(fixture.address()).write(kMalformedRequest);
  for (int i = 0; i < 30; ++i) silent.emplace_back(fixture.address());
  for (int i = 0; i < 30; ++i) {
    Peer usual(fixture.address());
    usual.write(kRequest);
    std::string answer;
    fixture.until([&] {
      play();
      return (answer += usual.read()).ends_with("answer") || usual.ended;
    });
    EXPECT_TRUE(answer.ends_with("answer")) << i;
  }
}

TEST(InterruptedWaits, ConnectionInPauseClosesAtDrain) {
  PausingServer fixture(8);
  const auto client = fixture.paused_client();
  fixture.server.drain();
  fixture.until([&] { return (client->read(), client->ended); });
  EXPECT_EQ(client->error, 0);
}

// LEAVE finds an unread request on a connection, and JOIN follows before it is served: the connection stays
// open.
TEST(InterruptedWaits, JoinTakesBackTheCloseOfLeave) {
  ServerFixture fixture;
  Peer peer(fixture.address());
  peer.write(kRequest);
  fixture.until([&] { return peer.read().ends_with("answer"); });
  const Timer leave_and_join = fixture.scheduler.at(Clock::now(), [&] {
    peer.write(kRequest);
    fixture.server.leave(Clock::now() - 1s);
  });
  const Timer join = fixture.scheduler.at(Clock::now(), [&] { fixture.server.join(); });
  std::string answer;
  fixture.until([&] { return (answer += peer.read()).ends_with("answer"); });
  EXPECT_EQ(answer.find("Connection: close"), std::string::npos);
  peer.write(kRequest);
  answer.clear();
  fixture.until([&] { return (answer += peer.read()).ends_with("answer") || peer.ended; });
  EXPECT_FALSE(peer.ended);
}

// ---- sockets ----
TEST(InterruptedWaits, WaitingWriteIsInterrupted) {
  Scheduler scheduler;
  int pair[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair), 0);
  Stream near(scheduler, Descriptor(pair[0]));
  const Descriptor far(pair[1]);
  const auto writes = [&]() -> Task<void> {
    const IoResult put = co_await near.write_all(std::string(4 << 20, 'x'), Clock::now() + 5s);
    EXPECT_EQ(put.status, IoStatus::cancelled);
    scheduler.stop();
  };
  scheduler.spawn(writes());
  const Timer interrupt = scheduler.in(5ms, [&] { near.interrupt(); });
  scheduler.run();
}

// ---- connections to nodes ----
// A node is listed under another address: a connection that rests on the old one is closed at once.
TEST(InterruptedWaits, RestingConnectionToOldAddressIsClosed) {
  SingleNodeTransport world(Api::platform);
  world.transport->send(1, {attempt_of(1, "q1", "equipment-search")});
  world.run_to(1);
  FakeNode moved(world.scheduler, Api::platform);
  world.listed(1, moved.address());
  until(world.scheduler, [&] { return world.node.connections_closed == 1; });
  world.transport->send(1, {attempt_of(2, "q2", "equipment-search")});
  world.run_to(2);
  EXPECT_EQ(moved.received.size(), 1u);
}

// ---- links between coordinators ----
struct IgnoringSink : peers::LinkSink {
  void on_message(const peers::Envelope&) override {}
  void on_link_changed(const std::string&, std::uint64_t, bool) override {}
  void on_superseded(std::uint64_t) override {}
};

// A peer connects to this member while an attempt to connect to it is still being made, and that attempt
// fails: the next one follows at once, not after the delay.
TEST(InterruptedWaits, PeerThatConnectedDuringFailedAttemptIsRetriedAtOnce) {
  Scheduler scheduler;
  Metrics metrics(1s);
  IgnoringSink sink;
  peers::LinkBounds bounds;
  bounds.handshake_timeout = 300ms;
  bounds.min_backoff = bounds.max_backoff = 60s;
  const Address any = *Address::parse("127.0.0.1:0");
  const Descriptor silent = listening_socket();  // where the peer does not answer
  peers::Links member(scheduler, "n1", 10, any, {{"n2", *Address::parse(local_address(silent.get()))}},
                      fleet_keys(), bounds, metrics, 1, sink);
  const Descriptor first_attempt = accept_one(scheduler, silent);
  peers::Links peer(scheduler, "n2", 20, any, {{"n1", member.address()}}, fleet_keys(), {}, metrics, 2, sink);
  const Descriptor second_attempt = accept_one(scheduler, silent);
  EXPECT_TRUE(second_attempt);
  scheduler.destroy_tasks();
}

// ---- bulks ----
// The items of a bulk have ended, and its client is slow with the next ones: others may use the fan-out
// meanwhile.
TEST(InterruptedWaits, SlowBulkHoldsNoFanout) {
  ClusterOptions options;
  options.adjust = [](Limits& limits) { limits.max_fanout = 4, limits.max_fanout_per_request = 3; };
  SearchFixture fixture(Api::platform, {}, options);
  std::string items;
  for (int i = 0; i < 3; ++i)
    items += "{\"index\":{\"_id\":\"s" + std::to_string(i) + "\"}}\n{\"site\":\"slow\"}\n";
  Peer slow(fixture.world.front_address());
  slow.write("POST /escalators/_bulk HTTP/1.1\r\nContent-Type: application/x-ndjson\r\nContent-Length: " +
             std::to_string(items.size() + 10) + "\r\n\r\n" + items);
  const auto ended = [&] { return fixture.world.gateway->metrics().value("attempts.ok"); };
  until(fixture.world, [&] { return ended() >= 3; });
  constexpr Duration kWork = 400ms;
  std::map<std::string, TimePoint> received;  // the first attempt of each part
  for (auto& node : fixture.world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      received.try_emplace(part.id, part.received_at);
      NodeReply reply = fixture.answer(part);
      reply.delay = kWork;
      return reply;
    };
  fixture.world.run([&]() -> Task<void> {
    std::string two;
    for (const char* id : {"a", "b"})
      two += std::string(R"({"index":{"_id":")") + id + "\"}}\n" + R"({"site":"slow"})" + "\n";
    EXPECT_EQ((co_await fixture.ask("POST", "/escalators/_bulk", two)).status, 200);
  }());
  ASSERT_EQ(received.size(), 2u);
  const auto between = received.begin()->second - received.rbegin()->second;
  EXPECT_LT(std::chrono::abs(between), kWork);  // they were out at the same time
}

}  // namespace
}  // namespace kelpdeal::test
