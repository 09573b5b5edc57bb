// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <thread>

#include "kelpdeal/metrics.h"
#include "kelpdeal/scheduler.h"
#include "kelpdeal/socket.h"

namespace kelpdeal {
namespace {

using namespace std::chrono_literals;

// Accepted and outgoing connections set TCP_NODELAY: a small write that the kernel delayed could be lost to a
// reset.
TEST(Socket, EveryConnectionDisablesNagle) {
  Scheduler scheduler;
  Listener listener(scheduler, *Address::parse("127.0.0.1:0"), 4);
  std::unique_ptr<Stream> accepted, outgoing;
  const auto both = [&]() -> Task<void> {
    outgoing = co_await connect(scheduler, listener.address(), Clock::now() + 2s);
    accepted = co_await listener.accept();
    scheduler.stop();
  };
  scheduler.spawn(both());
  scheduler.run();
  ASSERT_TRUE(outgoing && accepted);
  int checked = 0;
  for (int fd = 3; fd < 256; ++fd) {
    Address ours, theirs;
    socklen_t size = sizeof ours.raw;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&ours.raw), &size) != 0) continue;
    size = sizeof theirs.raw;
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&theirs.raw), &size) != 0) continue;  // not connected
    const std::string address = listener.address().text();
    if (ours.text() != address && theirs.text() != address) continue;
    int no_delay = 0;
    size = sizeof no_delay;
    EXPECT_EQ(::getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, &size), 0);
    EXPECT_NE(no_delay, 0) << fd;
    ++checked;
  }
  EXPECT_EQ(checked, 2);
}

TEST(Scheduler, DestructorDestroysUnfinishedTasks) {
  auto token = std::make_shared<int>(1);
  {
    Scheduler scheduler;
    Parker never(scheduler);
    const auto waits = [&, token]() -> Task<void> { co_await never.park(); };
    const auto ends = [&, token]() -> Task<void> { co_await scheduler.yield(); };
    const auto stops = [&]() -> Task<void> {
      co_await scheduler.sleep_until(Clock::now() + 10ms);
      scheduler.stop();
    };
    scheduler.spawn(waits());
    scheduler.spawn(ends());
    scheduler.spawn(stops());
    scheduler.run();
  }
  EXPECT_EQ(token.use_count(), 1);
}

TEST(Scheduler, TimersRunInOrderAndCanBeCancelled) {
  Scheduler scheduler;
  std::string order;
  const TimePoint now = Clock::now();
  const Timer second = scheduler.at(now + 4ms, [&] { order += "2"; });
  const Timer first = scheduler.at(now + 2ms, [&] { order += "1"; });
  Timer cancelled_timer = scheduler.at(now + 3ms, [&] { order += "x"; });
  const Timer last = scheduler.at(now + 6ms, [&] { scheduler.stop(); });
  cancelled_timer.cancel();
  scheduler.run();
  EXPECT_EQ(order, "12");
}

// A socket pair of which one end is watched.
struct WatchedSocket : ReadinessHandler {
  explicit WatchedSocket(Scheduler& watching) : scheduler(watching) {
    int pair[2];
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
    watched = Descriptor(pair[0]);
    peer = Descriptor(pair[1]);
    scheduler.watch(watched.get(), EPOLLIN, *this);
  }
  ~WatchedSocket() override { scheduler.unwatch(watched.get(), *this); }
  void on_ready(std::uint32_t) override { seen = true; }
  void send_byte() const { EXPECT_EQ(::write(peer.get(), "x", 1), 1); }

  Scheduler& scheduler;
  Descriptor watched, peer;
  bool seen = false;
};

// Guards against time-outs of what has arrived: after a long turn of the loop (a large request, a machine
// that stands still) the sockets are read before the timers run that became due in it.
TEST(Scheduler, SocketsAreReadBeforeTimersThatBecameDueInALongTurn) {
  Scheduler scheduler;
  WatchedSocket socket(scheduler);
  bool read_before_timer = false;
  const Timer timer = scheduler.in(5ms, [&] {
    read_before_timer = socket.seen;
    scheduler.stop();
  });
  const auto long_turn = [&]() -> Task<void> {
    socket.send_byte();
    std::this_thread::sleep_for(20ms);
    co_return;
  };
  scheduler.spawn(long_turn());
  scheduler.run();
  EXPECT_TRUE(read_before_timer);
}

// As above, for more sockets than one poll of the loop reports.
TEST(Scheduler, ManyReadySocketsAreReadBeforeTimersThatBecameDueInALongTurn) {
  Scheduler scheduler;
  std::deque<WatchedSocket> sockets;
  for (int i = 0; i < 200; ++i) sockets.emplace_back(scheduler);
  std::ptrdiff_t read_before_timer = 0;
  const Timer timer = scheduler.in(5ms, [&] {
    read_before_timer =
        std::count_if(sockets.begin(), sockets.end(), [](const WatchedSocket& one) { return one.seen; });
    scheduler.stop();
  });
  const auto long_turn = [&]() -> Task<void> {
    for (const WatchedSocket& socket : sockets) socket.send_byte();
    std::this_thread::sleep_for(20ms);
    co_return;
  };
  scheduler.spawn(long_turn());
  scheduler.run();
  EXPECT_EQ(read_before_timer, std::ssize(sockets));
}

// As above, for a process that stands still while it waits: a signal ends the wait without a poll.
TEST(Scheduler, SocketsAreReadBeforeTimersThatBecameDueInAnInterruptedWait) {
  static int sending_end = -1;
  static ssize_t sent = 0;
  struct sigaction action {};
  struct sigaction previous {};
  action.sa_handler = [](int) {  // async-signal-safe calls only
    const TimePoint until = Clock::now() + 30ms;
    sent = ::write(sending_end, "x", 1);
    while (Clock::now() < until) {
    }
  };
  Scheduler scheduler;
  WatchedSocket socket(scheduler);
  sending_end = socket.peer.get();
  ::sigaction(SIGALRM, &action, &previous);
  const itimerval alarm{{0, 0}, {0, 5'000}};
  ::setitimer(ITIMER_REAL, &alarm, nullptr);
  bool read_before_timer = false;
  const Timer timer = scheduler.in(20ms, [&] {
    read_before_timer = socket.seen;
    scheduler.stop();
  });
  scheduler.run();
  ::sigaction(SIGALRM, &previous, nullptr);
  EXPECT_EQ(sent, 1);
  EXPECT_TRUE(read_before_timer);
}

// Descriptors that are always ready, as these are never read, must not hold up timers.
TEST(Scheduler, TimersRunBesideManySocketsThatStayReady) {
  Scheduler scheduler;
  std::deque<WatchedSocket> sockets;
  for (int i = 0; i < 200; ++i) sockets.emplace_back(scheduler).send_byte();
  const auto deadline = Clock::now() + 10s;
  bool fired = false;
  const Timer timer = scheduler.in(5ms, [&] {
    fired = Clock::now() < deadline;
    scheduler.stop();
  });
  scheduler.run();
  EXPECT_TRUE(fired);
}

// A coroutine that gives up the rest of its turn is resumed in the next one.
TEST(Scheduler, NextTurnBeginsWithTheNextPoll) {
  Scheduler scheduler;
  std::uint64_t turns = 0;
  const auto waits = [&]() -> Task<void> {
    const std::uint64_t before = scheduler.turn();
    co_await scheduler.next_turn();
    turns = scheduler.turn() - before;
    scheduler.stop();
  };
  scheduler.spawn(waits());
  scheduler.run();
  EXPECT_EQ(turns, 1u);
}

TEST(Scheduler, ExceptionOfSpawnedTaskIsRethrownOrPassedToHandler) {
  Scheduler scheduler;
  const auto throws = [&]() -> Task<void> {
    co_await scheduler.yield();
    throw std::runtime_error("x");
  };
  scheduler.spawn(throws());
  EXPECT_THROW(scheduler.run(), std::runtime_error);
  int caught = 0;
  scheduler.on_failure = [&](std::exception_ptr) {
    ++caught;
    scheduler.stop();
  };
  scheduler.spawn(throws());
  scheduler.run();
  EXPECT_EQ(caught, 1);
}

TEST(Mailbox, KeepsOrderAndHonoursDeadline) {
  Scheduler scheduler;
  Mailbox<int> mailbox(scheduler);
  std::vector<int> got;
  const auto reads = [&]() -> Task<void> {
    while (const auto message = co_await mailbox.take(Clock::now() + 20ms)) got.push_back(*message);
    scheduler.stop();
  };
  const auto writes = [&]() -> Task<void> {
    mailbox.put(1);
    mailbox.put(2);
    co_await scheduler.yield();
    mailbox.put(3);
  };
  scheduler.spawn(reads());
  scheduler.spawn(writes());
  scheduler.run();
  EXPECT_EQ(got, (std::vector<int>{1, 2, 3}));
}

TEST(Stream, ReadsAndWritesTimeOutAndCanBeCancelled) {
  Scheduler scheduler;
  int pair[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair), 0);
  Stream near(scheduler, Descriptor(pair[0]));
  auto far = std::make_unique<Stream>(scheduler, Descriptor(pair[1]));
  const auto steps = [&]() -> Task<void> {
    std::vector<char> chunk(64);
    const IoResult late = co_await near.read_some(chunk, Clock::now() + 5ms);
    EXPECT_EQ(late.status, IoStatus::timed_out);
    const std::string large(4 << 20, 'x');
    const IoResult stuck = co_await near.write_all(large, Clock::now() + 5ms);
    EXPECT_EQ(stuck.status, IoStatus::timed_out);
    EXPECT_GT(stuck.bytes, 0u);
    EXPECT_LT(stuck.bytes, large.size());
    const Timer cancel = scheduler.in(5ms, [&] { near.cancel(); });
    const IoResult cancelled = co_await near.read_some(chunk);
    EXPECT_EQ(cancelled.status, IoStatus::cancelled);
    scheduler.stop();
  };
  scheduler.spawn(steps());
  scheduler.run();
}

TEST(Stream, RefusedConnectAndPeerCloseAreReported) {
  Scheduler scheduler;
  Listener listener(scheduler, *Address::parse("127.0.0.1:0"), 4);
  const Address address = listener.address();
  const auto steps = [&]() -> Task<void> {
    auto client = co_await connect(scheduler, address, Clock::now() + 1s);
    const auto server = co_await listener.accept();
    EXPECT_TRUE(client && server);
    bool closed = false;
    server->on_hang_up([&] { closed = true; });
    client.reset();
    co_await scheduler.sleep_until(Clock::now() + 10ms);
    EXPECT_TRUE(closed);
    listener.close();
    const auto refused = co_await connect(scheduler, address, Clock::now() + 1s);
    EXPECT_FALSE(refused);
    scheduler.stop();
  };
  scheduler.spawn(steps());
  scheduler.run();
}

// ---- peers that keep a loop supplied ----
// Guards against loops that never suspend while their peer keeps the socket ready: a timer that is due has to
// run after a few operations (docs/incidents/one-peer-holds-the-loop.md).
constexpr int kManySteps = 2'000;

// Runs `step` until a timer that is due at once has run, `kManySteps` times at the most; returns how often.
int steps_until_timer(Scheduler& scheduler, std::function<Task<void>()> step) {
  int steps = 0;
  bool fired = false;
  const auto loop = [&]() -> Task<void> {
    const Timer timer = scheduler.at(Clock::now(), [&] { fired = true; });
    for (; steps < kManySteps && !fired; ++steps) co_await step();
    scheduler.stop();
  };
  scheduler.spawn(loop());
  scheduler.run();
  scheduler.destroy_tasks();
  return steps;
}

struct FedStream {
  FedStream() {
    int pair[2];
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair), 0);
    stream = std::make_unique<Stream>(scheduler, Descriptor(pair[0]));
    peer = Descriptor(pair[1]);
  }
  Scheduler scheduler;
  std::unique_ptr<Stream> stream;
  Descriptor peer;
};

TEST(TurnOfTheLoop, ReaderOfFedStreamLetsTimersRun) {
  FedStream fed;
  const int steps = steps_until_timer(fed.scheduler, [&]() -> Task<void> {
    EXPECT_EQ(::send(fed.peer.get(), "x", 1, 0), 1);
    char byte = 0;
    const IoResult got = co_await fed.stream->read_some({&byte, 1}, Clock::now() + 1h);
    EXPECT_EQ(got.status, IoStatus::ok);
  });
  EXPECT_LT(steps, 20);
}

TEST(TurnOfTheLoop, WriterToEmptiedStreamLetsTimersRun) {
  FedStream fed;
  const int steps = steps_until_timer(fed.scheduler, [&]() -> Task<void> {
    const IoResult put = co_await fed.stream->write_all("x", Clock::now() + 1h);
    EXPECT_EQ(put.status, IoStatus::ok);
    char byte = 0;
    EXPECT_EQ(::recv(fed.peer.get(), &byte, 1, 0), 1);
  });
  EXPECT_LT(steps, 20);
}

TEST(TurnOfTheLoop, AcceptingFromFullBacklogLetsTimersRun) {
  Scheduler scheduler;
  Listener listener(scheduler, *Address::parse("127.0.0.1:0"), 4);
  const Address to = listener.address();
  const int steps = steps_until_timer(scheduler, [&]() -> Task<void> {
    const Descriptor peer(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    EXPECT_EQ(::connect(peer.get(), reinterpret_cast<const sockaddr*>(&to.raw), sizeof to.raw), 0);
    EXPECT_TRUE(co_await listener.accept());
  });
  EXPECT_LT(steps, 40);
}

TEST(TurnOfTheLoop, ConnectingAgainAndAgainLetsTimersRun) {
  Scheduler scheduler;
  const Listener listener(scheduler, *Address::parse("127.0.0.1:0"), 511);
  const int steps = steps_until_timer(scheduler, [&]() -> Task<void> {
    EXPECT_TRUE(co_await connect(scheduler, listener.address(), Clock::now() + 1s));
  });
  EXPECT_LT(steps, 20);
}

TEST(TurnOfTheLoop, CoroutinesThatWakeEachOtherLetTimersRun) {
  Scheduler scheduler;
  const int steps = steps_until_timer(scheduler, [&]() -> Task<void> { co_await scheduler.yield(); });
  EXPECT_LT(steps, kManySteps);
}

// A read that waits for its turn is cancelled like one that waits for data.
TEST(TurnOfTheLoop, ReadThatWaitsForItsTurnCanBeInterrupted) {
  FedStream fed;
  bool interrupted = false;
  const auto reads = [&]() -> Task<void> {
    char byte = 0;
    for (int i = 0; i < 20 && !interrupted; ++i) {
      EXPECT_EQ(::send(fed.peer.get(), "x", 1, 0), 1);
      interrupted =
          (co_await fed.stream->read_some({&byte, 1}, Clock::now() + 1h)).status == IoStatus::cancelled;
    }
    fed.scheduler.stop();
  };
  const auto interrupts = [&]() -> Task<void> {
    fed.stream->interrupt();
    co_return;
  };
  fed.scheduler.spawn(reads());
  fed.scheduler.spawn(interrupts());
  fed.scheduler.run();
  EXPECT_TRUE(interrupted);
}

TEST(Address, ParsesIpv4AddressAndPort) {
  EXPECT_EQ(Address::parse("10.0.0.4:8000")->text(), "10.0.0.4:8000");
  for (const char* invalid :
       {"", "10.0.0.4", "10.0.0.4:", "10.0.0:1", "a:1", "10.0.0.4:99999", "10.0.0.4:1x"})
    EXPECT_FALSE(Address::parse(invalid)) << invalid;
}

TEST(Metrics, LogLinesAreCountedAndRateLimited) {
  Metrics metrics(1h);
  testing::internal::CaptureStderr();
  for (int i = 0; i < 5; ++i) metrics.log("kind", "text\nwith a break");
  EXPECT_EQ(testing::internal::GetCapturedStderr(), "kelpdeal kind: text with a break\n");
  EXPECT_EQ(metrics.value("log.kind"), 5u);
  EXPECT_EQ(metrics.text(), "log.kind 5\n");
}

}  // namespace
}  // namespace kelpdeal
