// SPDX-License-Identifier: MIT
// Links between coordinators on real sockets: delivery, and the effects of a peer that is slow, silent,
// unauthenticated or restarted.
#include "kelpdeal/peers/links.h"

#include <gtest/gtest.h>

#include "fleet_keys.h"
#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;
using namespace kelpdeal::peers;

struct RecordingSink : LinkSink {
  std::vector<std::string> bodies;
  std::vector<std::uint64_t> incarnations;  // of links that came up
  std::size_t down_count = 0;
  void on_message(const Envelope& envelope) override {
    bodies.push_back(envelope.from + ":" + envelope.body);
  }
  void on_link_changed(const std::string&, std::uint64_t incarnation, bool up) override {
    if (up)
      incarnations.push_back(incarnation);
    else
      ++down_count;
  }
  std::uint64_t superseded_by = 0;
  void on_superseded(std::uint64_t incarnation) override { superseded_by = incarnation; }
};

// A member with its links; `listen` may be reused by a later one.
struct Member {
  Member(Scheduler& scheduler, const std::string& name, std::uint64_t incarnation, Address listen,
         const std::vector<Peer>& peers, const Keys& keys = fleet_keys(), LinkBounds bounds = {})
      : links(scheduler, name, incarnation, listen, peers, keys, bounds, metrics, incarnation, sink) {}
  Metrics metrics{1s};
  RecordingSink sink;
  Links links;
};

const Address kAny = *Address::parse("127.0.0.1:0");

// A port that is currently unused.
Address free_address(Scheduler& scheduler) { return Listener(scheduler, kAny, 1).address(); }

class LinksTest : public testing::Test {
 protected:
  ~LinksTest() override { scheduler.destroy_tasks(); }
  void run(Task<void> task) {
    run_to_end(scheduler, std::move(task), 20s);
    scheduler.destroy_tasks();  // before the members whose links they use are destroyed
  }
  Task<void> until(std::function<bool()> condition, Duration max_wait = 5s) {
    const TimePoint last = Clock::now() + max_wait;
    while (!condition() && Clock::now() < last) co_await scheduler.sleep_until(Clock::now() + 2ms);
    EXPECT_TRUE(condition());
  }
  Task<void> pause(Duration span) { return scheduler.sleep_until(Clock::now() + span); }
  Scheduler scheduler;
};

TEST_F(LinksTest, MessagesOfBothSidesArriveInOrderAndOnce) {
  const Address at = free_address(scheduler);
  Member first(scheduler, "n1", 10, kAny, {{"n2", at}});
  Member second_member(scheduler, "n2", 20, at, {{"n1", first.links.address()}});
  run([&]() -> Task<void> {
    for (int i = 0; i < 100; ++i) {  // some are queued before the links are up
      EXPECT_TRUE(first.links.send("n2", Kind::delta, "a" + std::to_string(i)));
      EXPECT_TRUE(second_member.links.send("n1", Kind::membership, "b" + std::to_string(i)));
      if (i % 10 == 0) co_await pause(3ms);
    }
    co_await until(
        [&] { return first.sink.bodies.size() >= 100 && second_member.sink.bodies.size() >= 100; });
    for (std::size_t i = 0; i < 100; ++i) {
      EXPECT_EQ(second_member.sink.bodies[i], "n1:a" + std::to_string(i));
      EXPECT_EQ(first.sink.bodies[i], "n2:b" + std::to_string(i));
    }
    EXPECT_EQ(first.sink.incarnations, std::vector<std::uint64_t>{20});
    EXPECT_FALSE(first.links.send("n9", Kind::delta, "to nobody"));
  }());
}

TEST_F(LinksTest, PeerWithAnotherKeyIsRejected) {
  const Address at = free_address(scheduler);
  Member first(scheduler, "n1", 10, kAny, {{"n2", at}});
  Member second_member(scheduler, "n2", 20, at, {{"n1", first.links.address()}}, fleet_keys('b'));
  run([&]() -> Task<void> {
    first.links.send("n2", Kind::delta, "secret");
    second_member.links.send("n1", Kind::delta, "forged");
    co_await until([&] { return first.metrics.value("peers.dropped_forged") > 1; });
    EXPECT_FALSE(first.links.up("n2"));
    EXPECT_TRUE(first.sink.bodies.empty());
    EXPECT_TRUE(second_member.sink.bodies.empty());
    // Backoff limits the reconnection attempts.
    EXPECT_LT(first.metrics.value("peers.accepted"), 60u);
  }());
}

// The backoff is minutes here; a peer that connects is reconnected at once.
TEST_F(LinksTest, IncomingConnectionEndsTheBackoff) {
  const Address at = free_address(scheduler);
  LinkBounds slow_backoff;
  slow_backoff.min_backoff = slow_backoff.max_backoff = 10min;
  Member first(scheduler, "n1", 10, kAny, {{"n2", at}}, fleet_keys(), slow_backoff);
  std::optional<Member> second_member;
  run([&]() -> Task<void> {
    co_await pause(50ms);  // the first connection attempt has failed
    EXPECT_FALSE(first.links.up("n2"));
    second_member.emplace(scheduler, "n2", 20, at, std::vector<Peer>{{"n1", first.links.address()}});
    co_await until([&] { return first.links.up("n2"); });
  }());
}

// A process with an earlier incarnation than one already heard (its clock was set back over a restart) would
// be ignored by all; it is told so. Once it continues under a later incarnation, its messages are accepted.
TEST_F(LinksTest, EarlierIncarnationIsToldOfTheLaterOne) {
  const Address at = free_address(scheduler), second = free_address(scheduler);
  Member first(scheduler, "n1", 10, at, {{"n2", second}});
  std::optional<Member> second_member, back;
  const std::vector<Peer> peers{{"n1", at}};
  run([&]() -> Task<void> {
    second_member.emplace(scheduler, "n2", 20, second, peers);
    co_await until([&] { return second_member->links.up("n1"); });
    second_member->links.stop();
    back.emplace(scheduler, "n2", 15, kAny, peers);
    co_await until([&] { return back->sink.superseded_by == 20; });
    EXPECT_FALSE(back->links.up("n1"));
    back->links.restart_as(21);
    co_await until([&] { return back->links.up("n1"); });
    back->links.send("n1", Kind::delta, "again");
    co_await until([&] { return !first.sink.bodies.empty(); });
    EXPECT_EQ(first.sink.bodies.back(), "n2:again");
  }());
}

// The welcome of a peer that the test plays, as the given incarnation.
std::string welcome_of(const std::string& name, std::uint64_t incarnation, std::uint64_t number) {
  Envelope envelope;
  envelope.from = name;
  envelope.from_incarnation = incarnation;
  envelope.to = "n1";
  envelope.to_incarnation = 10;
  envelope.number = number;
  envelope.kind = static_cast<std::uint32_t>(Kind::welcome);
  envelope.body = encode(Hello{kFormat, kOldestFormat});
  return seal(envelope, fleet_keys());
}

TEST_F(LinksTest, RestartedPeerIsReconnectedUnderItsNewIncarnation) {
  Listener listener(scheduler, kAny, 8);
  Member first(scheduler, "n1", 10, kAny, {{"n2", listener.address()}});
  run([&]() -> Task<void> {
    for (const std::uint64_t incarnation : {20, 21}) {
      const auto stream = co_await listener.accept();
      first.links.send("n2", Kind::delta, "to " + std::to_string(incarnation));
      MessageReader reader(1 << 16);
      EnvelopeVerifier verifier("n2", incarnation, fleet_keys());
      std::vector<std::string> bodies;
      std::vector<char> chunk(4096);
      bool answered = false;
      while (bodies.size() < 2) {
        const IoResult got = co_await stream->read_some(chunk, Clock::now() + 2s);
        EXPECT_EQ(got.status, IoStatus::ok);
        if (got.status != IoStatus::ok) co_return;
        reader.feed({chunk.data(), got.bytes});
        while (const auto message = reader.next()) {
          Envelope envelope;
          EXPECT_EQ(verifier.open(*message, envelope), DropReason::none);
          bodies.push_back(envelope.body);
        }
        const std::string answer = welcome_of("n2", incarnation, 1);
        if (!std::exchange(answered, true)) co_await stream->write_all(answer);
      }
      EXPECT_EQ(bodies[1], "to " + std::to_string(incarnation));
    }
    EXPECT_EQ(first.sink.incarnations, (std::vector<std::uint64_t>{20, 21}));
    EXPECT_EQ(first.sink.down_count, 1u);
  }());
}

// A peer answers the hello and then stops reading: its queue fills up to the limit; other peers and the loop
// are not delayed.
TEST_F(LinksTest, PeerThatDoesNotReadDelaysNobodyElse) {
  Listener listener(scheduler, kAny, 8);
  const Address good_at = free_address(scheduler);
  LinkBounds bounds;
  bounds.write_timeout = 300ms;
  Member first(scheduler, "n1", 10, kAny, {{"slow", listener.address()}, {"n2", good_at}}, fleet_keys(),
               bounds);
  Member second_member(scheduler, "n2", 20, good_at, {{"n1", first.links.address()}});
  std::vector<std::shared_ptr<Stream>> streams;
  std::size_t calls = 0;
  const auto slow = [&]() -> Task<void> {
    while (std::shared_ptr<Stream> stream = co_await listener.accept()) {
      streams.push_back(stream);
      std::vector<char> chunk(4096);
      co_await stream->read_some(chunk, Clock::now() + 1s);
      const std::string answer = welcome_of("slow", 5, ++calls);
      co_await stream->write_all(answer);
    }
  };
  scheduler.spawn(slow());
  run([&]() -> Task<void> {
    co_await until([&] { return first.links.up("slow") && first.links.up("n2"); });
    const std::string body(64 * 1024, 'x');
    TimePoint last = Clock::now();
    Duration longest{};
    std::size_t refused = 0;
    for (int i = 0; i < 300; ++i) {
      refused += !first.links.send("slow", Kind::delta, body);
      EXPECT_LE(first.links.queued("slow"), bounds.max_queue_bytes);
      if (i % 10 == 0) {
        EXPECT_TRUE(first.links.send("n2", Kind::delta, std::to_string(i)));
      }
      co_await pause(2ms);
      longest = std::max(longest, Clock::now() - last);
      last = Clock::now();
    }
    EXPECT_GT(refused, 0u);
    EXPECT_EQ(first.metrics.value("peers.dropped_full"), refused);
    co_await until([&] { return second_member.sink.bodies.size() == 30; });
    EXPECT_LT(longest, 250ms);
    co_await until([&] { return calls >= 2; });  // reconnected after the write timeout
  }());
}

// Unauthenticated data closes its connection; repeated messages and those to an earlier incarnation are
// ignored.
TEST_F(LinksTest, ForgedReplayedAndOversizedMessagesAreDroppedAndCounted) {
  Member first(scheduler, "n1", 10, kAny, {});
  const auto sealed = [](std::uint64_t to_incarnation, std::uint64_t number, Kind kind, std::string body) {
    Envelope envelope;
    envelope.from = "n2";
    envelope.from_incarnation = 20;
    envelope.to = "n1";
    envelope.to_incarnation = to_incarnation;
    envelope.number = number;
    envelope.kind = static_cast<std::uint32_t>(kind);
    envelope.body = std::move(body);
    return seal(envelope, fleet_keys());
  };
  const std::string hello = sealed(0, 1, Kind::hello, encode(Hello{kFormat, kOldestFormat}));
  run([&]() -> Task<void> {
    const auto open = [&]() -> Task<std::unique_ptr<Stream>> {
      co_return co_await connect(scheduler, first.links.address(), Clock::now() + 1s);
    };
    const auto good = co_await open();
    const std::string bytes =
        hello + sealed(10, 1, Kind::delta, "first") + sealed(10, 1, Kind::delta, "twice") +
        sealed(9, 2, Kind::delta, "to one before") + sealed(10, 3, Kind::delta, "second");
    co_await good->write_all(bytes);
    co_await until([&] { return first.sink.bodies.size() == 2; });
    EXPECT_EQ(first.sink.bodies[1], "n2:second");
    EXPECT_EQ(first.metrics.value("peers.dropped_replayed"), 2u);
    // A replayed hello opens nothing; garbage and an excessive length close the connection.
    for (const std::string& bad :
         {hello, std::string("\x40\0\0\0", 4) + std::string(64, 'z'), std::string("\xff\xff\xff\x7f", 4)}) {
      const auto stream = co_await open();
      co_await stream->write_all(bad);
      if (bad == hello) continue;
      char chunk[64];
      EXPECT_NE((co_await stream->read_some(chunk, Clock::now() + 2s)).status, IoStatus::timed_out);
    }
    co_await until([&] { return first.metrics.value("peers.dropped_too_long") == 1; });
    EXPECT_EQ(first.metrics.value("peers.dropped_forged"), 1u);
    EXPECT_EQ(first.metrics.value("peers.dropped_replayed"), 3u);
    EXPECT_EQ(first.sink.bodies.size(), 2u);
  }());
}

// Guards against callers that never identify themselves ending the links of peers (incident: mixed-up
// answers, related paths).
TEST_F(LinksTest, LinkOfPeerStaysBesideManyUnidentifiedCallers) {
  const Address at = free_address(scheduler);
  LinkBounds bounds;
  bounds.max_accepted = 3;
  Member first(scheduler, "n1", 10, kAny, {{"n2", at}});
  Member second(scheduler, "n2", 20, at, {{"n1", first.links.address()}}, fleet_keys(), bounds);
  run([&]() -> Task<void> {
    co_await until([&] { return first.links.up("n2") && second.links.up("n1"); });
    std::vector<std::unique_ptr<Stream>> callers;
    for (std::uint64_t accepted = 2; accepted <= 13; ++accepted) {
      callers.push_back(co_await connect(scheduler, at, Clock::now() + 1s));
      co_await until([&] { return second.metrics.value("peers.accepted") == accepted; });
    }
    EXPECT_EQ(second.metrics.value("peers.shed"), 10u);
    EXPECT_TRUE(first.links.send("n2", Kind::delta, "after the callers"));
    co_await until([&] { return !second.sink.bodies.empty(); });
    EXPECT_EQ(first.sink.down_count, 0u);
  }());
}

}  // namespace
}  // namespace kelpdeal::test
