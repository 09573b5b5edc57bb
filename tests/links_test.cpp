// SPDX-License-Identifier: MIT
// Links between coordinators on real sockets: what comes through, and what a peer that is slow, silent,
// forged or new does to the others.
#include "kelpdeal/peers/links.h"

#include <gtest/gtest.h>

#include "fleet_keys.h"
#include "stand_ins.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;
using namespace kelpdeal::peers;

struct Heard : LinkSink {
  std::vector<std::string> bodies;
  std::vector<std::uint64_t> lives;  // of links that came up
  std::size_t downs = 0;
  void heard(const Envelope& envelope) override { bodies.push_back(envelope.from + ":" + envelope.body); }
  void link_changed(const std::string&, std::uint64_t life, bool up) override {
    if (up)
      lives.push_back(life);
    else
      ++downs;
  }
  std::uint64_t later = 0;
  void outlived(std::uint64_t life) override { later = life; }
};

// A member with its links, and the address of a port that it may listen on later again.
struct Member {
  Member(Scheduler& scheduler, const std::string& name, std::uint64_t life, Address listen,
         const std::vector<Peer>& peers, const Keys& keys = fleet_keys(), LinkBounds bounds = {})
      : links(scheduler, name, life, listen, peers, keys, bounds, metrics, life, heard) {}
  Metrics metrics{1s};
  Heard heard;
  Links links;
};

const Address kAny = *Address::parse("127.0.0.1:0");

// A port that nobody listens on for now.
Address free_address(Scheduler& scheduler) { return Listener(scheduler, kAny, 1).address(); }

class LinksTest : public testing::Test {
 protected:
  ~LinksTest() override { scheduler.destroy_tasks(); }
  void run(Task<void> task) {
    run_to_end(scheduler, std::move(task), 20s);
    scheduler.destroy_tasks();  // before the members go whose links they use
  }
  Task<void> until(std::function<bool()> holds, Duration most = 5s) {
    const TimePoint last = Clock::now() + most;
    while (!holds() && Clock::now() < last) co_await scheduler.sleep_until(Clock::now() + 2ms);
    EXPECT_TRUE(holds());
  }
  Task<void> pause(Duration span) { return scheduler.sleep_until(Clock::now() + span); }
  Scheduler scheduler;
};

TEST_F(LinksTest, MessagesOfBothComeInOrderAndOnce) {
  const Address at = free_address(scheduler);
  Member one(scheduler, "n1", 10, kAny, {{"n2", at}});
  Member two(scheduler, "n2", 20, at, {{"n1", one.links.address()}});
  run([&]() -> Task<void> {
    for (int i = 0; i < 100; ++i) {  // some before the links are up
      EXPECT_TRUE(one.links.send("n2", Kind::piece, "a" + std::to_string(i)));
      EXPECT_TRUE(two.links.send("n1", Kind::membership, "b" + std::to_string(i)));
      if (i % 10 == 0) co_await pause(3ms);
    }
    co_await until([&] { return one.heard.bodies.size() >= 100 && two.heard.bodies.size() >= 100; });
    for (std::size_t i = 0; i < 100; ++i) {
      EXPECT_EQ(two.heard.bodies[i], "n1:a" + std::to_string(i));
      EXPECT_EQ(one.heard.bodies[i], "n2:b" + std::to_string(i));
    }
    EXPECT_EQ(one.heard.lives, std::vector<std::uint64_t>{20});
    EXPECT_FALSE(one.links.send("n9", Kind::piece, "to nobody"));
  }());
}

TEST_F(LinksTest, WhoHoldsAnotherKeyIsNeitherHeardNorSpokenTo) {
  const Address at = free_address(scheduler);
  Member one(scheduler, "n1", 10, kAny, {{"n2", at}});
  Member two(scheduler, "n2", 20, at, {{"n1", one.links.address()}}, fleet_keys('b'));
  run([&]() -> Task<void> {
    one.links.send("n2", Kind::piece, "secret");
    two.links.send("n1", Kind::piece, "forged");
    co_await until([&] { return one.metrics.value("peers.dropped_forged") > 1; });
    EXPECT_FALSE(one.links.up("n2"));
    EXPECT_TRUE(one.heard.bodies.empty());
    EXPECT_TRUE(two.heard.bodies.empty());
    EXPECT_LT(one.metrics.value("peers.accepted"), 60u);  // they call each other less and less often
  }());
}

// Pauses between calls grow to minutes here; one that comes back is called as soon as it calls.
TEST_F(LinksTest, APeerThatCallsIsCalledWithoutWaitingForThePausesEnd) {
  const Address at = free_address(scheduler);
  LinkBounds patient;
  patient.least_backoff = patient.most_backoff = 10min;
  Member one(scheduler, "n1", 10, kAny, {{"n2", at}}, fleet_keys(), patient);
  std::optional<Member> two;
  run([&]() -> Task<void> {
    co_await pause(50ms);  // its first call has failed
    EXPECT_FALSE(one.links.up("n2"));
    two.emplace(scheduler, "n2", 20, at, std::vector<Peer>{{"n1", one.links.address()}});
    co_await until([&] { return one.links.up("n2"); });
  }());
}

// A process with an earlier incarnation than one that was heard (its clock was set back over a restart) would
// be heard by nobody; it is told so. Once it goes on as a later one, its messages come through.
TEST_F(LinksTest, OneThatComesAsAnEarlierProcessIsToldOfTheLater) {
  const Address at = free_address(scheduler), second = free_address(scheduler);
  Member one(scheduler, "n1", 10, at, {{"n2", second}});
  std::optional<Member> two, back;
  const std::vector<Peer> peers{{"n1", at}};
  run([&]() -> Task<void> {
    two.emplace(scheduler, "n2", 20, second, peers);
    co_await until([&] { return two->links.up("n1"); });
    two->links.stop();
    back.emplace(scheduler, "n2", 15, kAny, peers);
    co_await until([&] { return back->heard.later == 20; });
    EXPECT_FALSE(back->links.up("n1"));
    back->links.become(21);
    co_await until([&] { return back->links.up("n1"); });
    back->links.send("n1", Kind::piece, "again");
    co_await until([&] { return !one.heard.bodies.empty(); });
    EXPECT_EQ(one.heard.bodies.back(), "n2:again");
  }());
}

// A peer as this test plays it: what it answers to a hello, as that process of it.
std::string answer_of(const std::string& name, std::uint64_t life, std::uint64_t number) {
  Envelope e;
  e.from = name;
  e.from_life = life;
  e.to = "n1";
  e.to_life = 10;
  e.number = number;
  e.kind = static_cast<std::uint32_t>(Kind::welcome);
  e.body = encode(Hello{kFormat, kOldestFormat});
  return seal(e, fleet_keys());
}

TEST_F(LinksTest, APeerThatStartsAnewIsCalledAnewAndSpokenToAsThatProcess) {
  Listener listener(scheduler, kAny, 8);
  Member one(scheduler, "n1", 10, kAny, {{"n2", listener.address()}});
  run([&]() -> Task<void> {
    for (const std::uint64_t life : {20, 21}) {
      const auto stream = co_await listener.accept();
      one.links.send("n2", Kind::piece, "to " + std::to_string(life));
      Reader reader(1 << 16);
      Gate gate("n2", life, fleet_keys());
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
          EXPECT_EQ(gate.open(*message, envelope), Drop::none);
          bodies.push_back(envelope.body);
        }
        const std::string answer = answer_of("n2", life, 1);
        if (!std::exchange(answered, true)) co_await stream->write_all(answer);
      }
      EXPECT_EQ(bodies[1], "to " + std::to_string(life));
    }
    EXPECT_EQ(one.heard.lives, (std::vector<std::uint64_t>{20, 21}));
    EXPECT_EQ(one.heard.downs, 1u);
  }());
}

// A peer that took the hello and reads no more: its queue fills to its bound, the others and the loop go on.
TEST_F(LinksTest, APeerThatDoesNotReadStallsNobody) {
  Listener listener(scheduler, kAny, 8);
  const Address good_at = free_address(scheduler);
  LinkBounds bounds;
  bounds.write = 300ms;
  Member one(scheduler, "n1", 10, kAny, {{"slow", listener.address()}, {"n2", good_at}}, fleet_keys(),
             bounds);
  Member two(scheduler, "n2", 20, good_at, {{"n1", one.links.address()}});
  std::vector<std::shared_ptr<Stream>> held;
  std::size_t calls = 0;
  const auto slow = [&]() -> Task<void> {
    while (std::shared_ptr<Stream> stream = co_await listener.accept()) {
      held.push_back(stream);
      std::vector<char> chunk(4096);
      co_await stream->read_some(chunk, Clock::now() + 1s);
      const std::string answer = answer_of("slow", 5, ++calls);
      co_await stream->write_all(answer);
    }
  };
  scheduler.spawn(slow());
  run([&]() -> Task<void> {
    co_await until([&] { return one.links.up("slow") && one.links.up("n2"); });
    const std::string body(64 * 1024, 'x');
    TimePoint last = Clock::now();
    Duration longest{};
    std::size_t refused = 0;
    for (int i = 0; i < 300; ++i) {
      refused += !one.links.send("slow", Kind::piece, body);
      EXPECT_LE(one.links.queued("slow"), bounds.queue_bytes);
      if (i % 10 == 0) {
        EXPECT_TRUE(one.links.send("n2", Kind::piece, std::to_string(i)));
      }
      co_await pause(2ms);
      longest = std::max(longest, Clock::now() - last);
      last = Clock::now();
    }
    EXPECT_GT(refused, 0u);
    EXPECT_EQ(one.metrics.value("peers.dropped_full"), refused);
    co_await until([&] { return two.heard.bodies.size() == 30; });
    EXPECT_LT(longest, 250ms);
    co_await until([&] { return calls >= 2; });  // it is called anew once a write has taken too long
  }());
}

// What is not the fleet's own ends its connection; what is said twice, or to a process before, is passed
// over.
TEST_F(LinksTest, ForgedReplayedAndOverlongMessagesAreDroppedAndCounted) {
  Member one(scheduler, "n1", 10, kAny, {});
  const auto sealed = [](std::uint64_t to_life, std::uint64_t number, Kind kind, std::string body) {
    Envelope e;
    e.from = "n2";
    e.from_life = 20;
    e.to = "n1";
    e.to_life = to_life;
    e.number = number;
    e.kind = static_cast<std::uint32_t>(kind);
    e.body = std::move(body);
    return seal(e, fleet_keys());
  };
  const std::string hello = sealed(0, 1, Kind::hello, encode(Hello{kFormat, kOldestFormat}));
  run([&]() -> Task<void> {
    const auto open = [&]() -> Task<std::unique_ptr<Stream>> {
      co_return co_await connect(scheduler, one.links.address(), Clock::now() + 1s);
    };
    const auto good = co_await open();
    const std::string bytes =
        hello + sealed(10, 1, Kind::piece, "first") + sealed(10, 1, Kind::piece, "twice") +
        sealed(9, 2, Kind::piece, "to one before") + sealed(10, 3, Kind::piece, "second");
    co_await good->write_all(bytes);
    co_await until([&] { return one.heard.bodies.size() == 2; });
    EXPECT_EQ(one.heard.bodies[1], "n2:second");
    EXPECT_EQ(one.metrics.value("peers.dropped_replayed"), 2u);
    // A recorded hello opens nothing; garbage and a huge length end the connection.
    for (const std::string& bad :
         {hello, std::string("\x40\0\0\0", 4) + std::string(64, 'z'), std::string("\xff\xff\xff\x7f", 4)}) {
      const auto stream = co_await open();
      co_await stream->write_all(bad);
      if (bad == hello) continue;
      char chunk[64];
      EXPECT_NE((co_await stream->read_some(chunk, Clock::now() + 2s)).status, IoStatus::timed_out);
    }
    co_await until([&] { return one.metrics.value("peers.dropped_too_long") == 1; });
    EXPECT_EQ(one.metrics.value("peers.dropped_forged"), 1u);
    EXPECT_EQ(one.metrics.value("peers.dropped_replayed"), 3u);
    EXPECT_EQ(one.heard.bodies.size(), 2u);
  }());
}

}  // namespace
}  // namespace kelpdeal::test
