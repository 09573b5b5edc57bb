// SPDX-License-Identifier: MIT
// What may still be owed when something ends (docs/design/endings.md): each test has its bytes arrive in the
// very instant. A peer writes or closes with plain system calls from inside the scheduler's turn, so that
// what the program does next finds it done; nothing waits for a race to happen.
#include <sys/resource.h>

#include "kelpdeal/http_server.h"
#include "kelpdeal/opensearch_transport.h"
#include "program.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

// A peer on a blocking socket of its own, at no turn of the scheduler's.
class Peer {
 public:
  explicit Peer(const std::string& address) : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const Address to = *Address::parse(address);
    EXPECT_EQ(::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&to.raw), sizeof to.raw), 0);
  }
  void write(const std::string& bytes) {
    EXPECT_EQ(::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void close() { socket_.reset(); }
  // All that has come by now. `ended`: the other side has shut down; `error`: the connection was reset.
  std::string read() {
    std::string all;
    char buffer[4096];
    for (;;) {
      const ssize_t got = ::recv(socket_.get(), buffer, sizeof buffer, MSG_DONTWAIT);
      if (got > 0) all.append(buffer, static_cast<std::size_t>(got));
      if (got == 0) ended = true;
      if (got < 0 && errno != EAGAIN && errno != EINTR) error = errno;
      if (got <= 0) break;
    }
    int pending = 0;
    socklen_t size = sizeof pending;
    ::getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &pending, &size);
    if (pending != 0) error = pending;
    return all;
  }
  bool ended = false;
  int error = 0;

 private:
  Descriptor socket_;
};

// ---- the server's own closes ----
struct Counting : HttpHandler {
  Task<http::Response> handle(http::Request, Caller& caller, TimePoint) override {
    ++handled;
    gone += caller.gone();
    if (meanwhile) std::exchange(meanwhile, nullptr)();
    http::Response response;
    response.body = "answer";
    co_return response;
  }
  http::Response reject(int status, const std::string&) override {
    http::Response response;
    response.status = status;
    return response;
  }
  int handled = 0, gone = 0;
  std::function<void()> meanwhile;  // done once, as the next request is handled
};

const std::string kRequest = "POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";

struct Served {
  explicit Served(std::function<void(Limits&)> adjust = {})
      : limits([&] {
          Limits l;
          l.drain_serve = Duration{};
          if (adjust) adjust(l);
          return l;
        }()),
        server(scheduler, *Address::parse("127.0.0.1:0"), limits, metrics, handler) {}
  ~Served() { scheduler.end_tasks(); }
  std::string address() const { return server.address().text(); }
  // Runs until it is so.
  void until(std::function<bool()> so) {
    const auto wait = [&]() -> Task<void> {
      const TimePoint last = Clock::now() + 5s;
      bool is = so();
      for (; !is && Clock::now() < last; is = so()) co_await scheduler.sleep_until(Clock::now() + 1ms);
      EXPECT_TRUE(is);
    };
    run_to_end(scheduler, wait(), 10s);
  }
  Scheduler scheduler;
  const Limits limits;
  Metrics metrics{1s};
  Counting handler;
  HttpServer server;
};

// A request that meets the shutdown of a resting connection: it comes after we have decided to close and
// before we do, or once the client has seen the end. It is not answered, so it must not be taken; and no
// reset may take away the end, by which the client knows that it may ask again.
TEST(Endings, ARequestThatCrossesTheShutdownIsDroppedAndItsClientSeesTheEnd) {
  for (const bool once_seen : {false, true}) {
    Served served;
    Peer peer(served.address());
    peer.write(kRequest);
    std::string answer;
    served.until([&] { return (answer += peer.read()).ends_with("answer"); });
    served.server.drain();
    // Fires in the turn of the drain's own timer, behind it.
    const Timer crossing = served.scheduler.at(Clock::now(), [&] {
      if (!once_seen) peer.write(kRequest);
    });
    served.until([&] { return peer.read().empty() && peer.ended; });
    if (once_seen) peer.write(kRequest);
    served.until([&] { return served.server.drained() || served.metrics.value("clients.dropped_late") > 0; });
    EXPECT_EQ(peer.read(), "");
    EXPECT_EQ(peer.error, 0) << once_seen;
    EXPECT_EQ(served.handler.handled, 1);
    peer.close();
    served.until([&] { return served.server.drained(); });
  }
}

// Clients that are up but not accepted yet when the listener closes: a reset would be all they get.
TEST(Endings, NewcomersThatWaitToBeAcceptedAreServedAsTheListenerCloses) {
  Served served;
  std::vector<std::unique_ptr<Peer>> peers;
  const Timer crossing = served.scheduler.at(Clock::now(), [&] {
    for (int i = 0; i < 20; ++i) {
      peers.push_back(std::make_unique<Peer>(served.address()));
      peers.back()->write(kRequest);
    }
  });
  served.server.drain();  // its timer comes behind that one, in the same turn
  served.until([&] { return !peers.empty() && served.server.drained(); });
  for (const auto& peer : peers) {
    const std::string answer = peer->read();
    EXPECT_TRUE(answer.ends_with("answer")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_EQ(peer->error, 0);
  }
  EXPECT_EQ(served.handler.handled, 20);
}

// Half a request when the drain begins is read to its end, and has its answer.
TEST(Endings, ARequestThatHasBegunWhenTheServerClosesIsAnswered) {
  Served served;
  Peer peer(served.address());
  peer.write(kRequest.substr(0, 10));
  served.until([&] { return served.metrics.value("clients.connections") == 1; });
  served.server.drain();
  const Timer crossing = served.scheduler.at(Clock::now(), [&] { peer.write(kRequest.substr(10)); });
  std::string answer;
  served.until([&] { return (answer += peer.read(), peer.ended); });
  EXPECT_TRUE(answer.ends_with("answer")) << answer;
  EXPECT_EQ(peer.error, 0);
}

// Evicted to make room for others, as its next request comes: that one is not taken, and no reset.
TEST(Endings, ARequestThatCrossesAnEvictionIsDroppedAndItsClientSeesTheEnd) {
  Served served([](Limits& limits) { limits.client_requests = 1; });
  Peer first(served.address()), second(served.address());
  for (Peer* peer : {&first, &second}) {
    peer->write(kRequest);
    served.until([&] { return peer->read().ends_with("answer"); });
  }
  // A newcomer makes the server let the idlest go. Its own request is handled before that one's task goes on.
  served.handler.meanwhile = [&] { first.write(kRequest); };
  Peer third(served.address());
  third.write(kRequest);
  served.until([&] { return third.read().ends_with("answer"); });
  EXPECT_EQ(served.metrics.value("clients.shed_idle"), 1u);
  served.until([&] { return (first.read(), first.ended); });
  EXPECT_EQ(first.error, 0);
  EXPECT_EQ(served.handler.handled, 3);
}

// The client has closed before its request is read, with more bytes behind it: no event of that is left to
// come.
TEST(Endings, AClientThatClosedBeforeItsRequestWasReadIsGoneAlsoBehindUnreadBytes) {
  for (const char* behind : {"", "POST /x HT"}) {
    Served served;
    const Timer crossing = served.scheduler.at(Clock::now(), [&] {
      Peer peer(served.address());
      peer.write(kRequest + behind);
      peer.close();
    });
    served.until([&] { return served.handler.handled == 1; });
    EXPECT_EQ(served.handler.gone, 1) << behind;
  }
}

}  // namespace
}  // namespace kelpdeal::test
