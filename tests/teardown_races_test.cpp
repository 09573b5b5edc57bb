// SPDX-License-Identifier: MIT
// What may still be owed when something ends (docs/design/endings.md): each test has its bytes arrive in the
// very instant. A peer writes or closes with plain system calls from inside the scheduler's turn, so that
// what the program does next finds it done; nothing waits for a race to happen.
#include <poll.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <deque>

#include "kelpdeal/discovery.h"
#include "kelpdeal/frame_transport.h"
#include "kelpdeal/http_server.h"
#include "kelpdeal/opensearch_transport.h"
#include "program.h"

namespace {
std::size_t polls = 0;
}
// Counts how often the program asks the system how a socket is, in place of the library's.
extern "C" int poll(pollfd* sockets, nfds_t count, int timeout) {
  ++polls;
  return static_cast<int>(::syscall(SYS_poll, sockets, count, timeout));
}

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

// Runs the scheduler until it is so; fails the test if that takes too long.
void until(Scheduler& scheduler, std::function<bool()> so, Duration most = 5s) {
  const auto wait = [&]() -> Task<void> {
    const TimePoint last = Clock::now() + most;
    bool is = so();
    for (; !is && Clock::now() < last; is = so()) co_await scheduler.sleep_until(Clock::now() + 1ms);
    EXPECT_TRUE(is);
  };
  run_to_end(scheduler, wait(), most + 5s);
}

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
  ~Served() { scheduler.destroy_tasks(); }
  std::string address() const { return server.address().text(); }
  void until(std::function<bool()> so) { test::until(scheduler, std::move(so)); }
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

// It has had its last answer and lingers, and makes room for a newcomer as more bytes come: these are read
// before the close, as a reset could take the answer away.
TEST(Endings, BytesThatCrossTheCloseOfOneThatLingersToMakeRoomAreDrained) {
  Served served([](Limits& limits) { limits.client_connections = 2; });
  Peer first(served.address());
  first.write("no request\r\n\r\n");
  std::string answer;
  served.until([&] { return (answer += first.read()).starts_with("HTTP/1.1 400") && first.ended; });
  std::unique_ptr<Peer> second;
  // Its turn comes behind that of the newcomer's accept, and before that of the one that goes.
  const auto crossing = [&]() -> Task<void> {
    co_await served.scheduler.yield();
    first.write("more");
  };
  const Timer connects = served.scheduler.at(Clock::now(), [&] {
    second = std::make_unique<Peer>(served.address());
    second->write(kRequest);
    served.scheduler.spawn(crossing());
  });
  served.until([&] { return second && second->read().ends_with("answer"); });
  EXPECT_EQ(served.metrics.value("clients.shed"), 1u);
  EXPECT_EQ(served.metrics.value("clients.dropped_late"), 1u);
  EXPECT_EQ((first.read(), first.error), 0);
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

// ---- clients that are gone ----
void until(TestCluster& world, std::function<bool()> so, Duration most = 5s) {
  until(world.scheduler, std::move(so), most);
}

class Gone : public testing::TestWithParam<Api> {
 protected:
  static ClusterOptions options() { return {GetParam(), GetParam()}; }
};

INSTANTIATE_TEST_SUITE_P(Fronts, Gone, testing::Values(Api::platform, Api::opensearch), node_api_name);

// A burst of closes: all are gone before the first of their requests is read.
TEST_P(Gone, ClientsThatCloseInABurstGetNoAttempt) {
  TestCluster world(options());
  world.start();
  const Timer crossing = world.scheduler.at(Clock::now(), [&] {
    for (int i = 0; i < 50; ++i) {
      Peer peer(world.front_address());
      const std::string bytes = http::write(world.request("equipment-search", "0,1", 1s, ""));
      peer.write(i % 2 ? bytes : bytes + bytes.substr(0, 20));
      peer.close();
    }
  });
  until(world, [&] { return world.gateway->metrics().value("queries.withdrawn") == 50; });
  EXPECT_EQ(world.parts_received(), 0u);
  EXPECT_EQ(world.gateway->metrics().value("attempts.sent"), 0u);
}

// The client closes in the very turn in which its node answers with an error, or with the first step's part:
// no retry and no second step begins.
TEST_P(Gone, NoFurtherAttemptBeginsForAClientThatClosesAsAnAnswerComes) {
  for (const auto kind : {NodeReply::Kind::error, NodeReply::Kind::serve}) {
    TestCluster world(options());
    std::unique_ptr<Peer> peer;
    std::size_t first = 0;
    for (auto& node : world.nodes)
      node->on_part = [&](const ReceivedPart& part) {
        first += !part.id.ends_with(".phase2");
        if (first == 2) peer->close();
        return NodeReply{kind, 1, {}, {}, {}};
      };
    world.start();
    peer = std::make_unique<Peer>(world.front_address());
    peer->write(http::write(world.request("area-report", "0,1", 1s, "")));
    until(world, [&] { return world.gateway->metrics().value("queries.withdrawn") == 1; });
    // Whatever had begun would be at its node before this one's parts are answered.
    world.nodes[0]->on_part = world.nodes[1]->on_part =
        world.nodes[2]->on_part = [](const ReceivedPart&) { return NodeReply{}; };
    const std::size_t before = world.parts_received();
    world.run([&]() -> Task<void> { co_await world.ask("equipment-search", "0,1,2", 1s); }());
    EXPECT_EQ(before, 2u);
    EXPECT_EQ(world.parts_received(), before + 3);
  }
}

// Outcomes as the transports report them.
struct Ends : AttemptSink {
  void attempt_ended(AttemptId attempt, AttemptResult result) override { of[attempt] = result.outcome; }
  void probe_ended(NodeId, Outcome, Duration, cottonbay::LoadReport) override {}
  std::map<AttemptId, Outcome> of;
};

// A transport and the one node that it is told of.
struct OneNode {
  explicit OneNode(Api api, std::function<void(Limits&)> adjust = {}) : node(scheduler, api) {
    if (adjust) adjust(limits);
    if (api == Api::platform)
      transport = std::make_unique<FrameTransport>(scheduler, limits, metrics, ends);
    else
      transport = std::make_unique<OpenSearchTransport>(scheduler, limits, metrics, ends);
    listed(1, node.address());
  }
  ~OneNode() { scheduler.destroy_tasks(); }
  void listed(NodeId id, const std::string& address) {
    NodeEntry entry;
    entry.uid = "n" + std::to_string(id);
    entry.endpoint = address;
    transport->listed(id, entry);
  }
  // Runs until that attempt has ended.
  void run_to(AttemptId attempt) {
    until(scheduler, [&] { return ends.of.contains(attempt); });
  }
  Scheduler scheduler;
  Metrics metrics{1s};
  Limits limits;
  Ends ends;
  FakeNode node;
  std::unique_ptr<NodeTransport> transport;
};

Attempt attempt_of(AttemptId id, const std::string& query, const std::string& class_name) {
  Attempt attempt;
  attempt.id = id;
  attempt.query = query;
  attempt.class_name = class_name;
  attempt.text = "{}";
  attempt.until = Clock::now() + 2s;
  return attempt;
}

// Two clients' parts wait in one call for its connection; one of them leaves. Only the other's part is asked
// for.
TEST_P(Gone, APartTakenBackWhileItsCallWaitsForAConnectionIsNotAskedForWithTheOthers) {
  for (const bool given_up : {false, true}) {
    OneNode one(GetParam());
    one.transport->send(1,
                        {attempt_of(1, "q0", "equipment-search"), attempt_of(2, "q1", "equipment-search")});
    if (given_up)
      one.transport->give_up(1, NodeTransport::Why::cancelled);
    else
      EXPECT_TRUE(one.transport->take_back(1));
    one.run_to(2);
    ASSERT_EQ(one.node.received.size(), 1u);
    EXPECT_EQ(one.node.received[0].id.substr(0, 2), "q1");
    EXPECT_FALSE(one.ends.of.contains(1));
    EXPECT_FALSE(one.transport->take_back(2));  // what was written cannot be
  }
}

// A node that takes a connection and reads nothing until told to.
class Unread {
 public:
  Unread() {
    const int small = 4096;
    ::setsockopt(listener_.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  }
  std::string address() const { return local_address(listener_.get()); }
  // The ids of the parts that have come by now.
  const std::vector<std::string>& read() {
    if (!link_) link_ = Descriptor(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK));
    char buffer[65536];
    for (ssize_t got = 1; link_ && got > 0;) {
      got = ::recv(link_.get(), buffer, sizeof buffer, 0);
      if (got > 0) reader_.feed({buffer, static_cast<std::size_t>(got)});
    }
    while (const auto frame = reader_.next()) {
      const auto parts = frames::decode_call(frame->payload);
      if (frame->type == frames::kCall && parts)
        for (const frames::CallPart& part : *parts) ids_.push_back(part.id.substr(0, part.id.find('.')));
    }
    return ids_;
  }

 private:
  Descriptor listener_ = listening_socket(), link_;
  frames::Reader reader_{8 << 20};
  std::vector<std::string> ids_;
};

// For calls that wait at a node that does not read: all on one connection, no write given up, and aims so
// long that a busy machine makes no attempt time out.
ClusterOptions held_up(int node_count) {
  ClusterOptions options;
  options.node_count = node_count;
  options.shards = 30;
  options.settings = {{"\"multiplex\":32", "\"multiplex\":400"}};
  for (int i = 0; i < 3; ++i)
    options.settings.emplace_back("\"sloMs\":500,\"deadlineMs\":1200",
                                  "\"sloMs\":20000,\"deadlineMs\":60000");
  options.adjust = [](Limits& limits) { limits.frame_time = 60s; };
  return options;
}

// Of the keyed class: 300 ms from the first attempt, in which a part may be repeated.
void short_window(ClusterOptions& options) {
  options.settings.emplace_back("\"dedupWindowMs\":600,\"stream\":false}]",
                                "\"dedupWindowMs\":300,\"stream\":false}]");
}

// More than any buffer between the two takes: 4 calls of 8 parts of 60 kB, four times.
std::vector<std::unique_ptr<Peer>> ask_wide(TestCluster& world) {
  std::string slices = "0";
  for (int slice = 1; slice < world.options.shards; ++slice) slices += "," + std::to_string(slice);
  std::vector<std::unique_ptr<Peer>> wide;
  for (int i = 0; i < 4; ++i) {
    http::Request request = world.request("equipment-search", slices, 60s, "");
    request.body.replace(request.body.find("{\\\"q\\\":1}"), 9, std::string(60'000, 'x'));
    wide.push_back(std::make_unique<Peer>(world.gateway->address()));
    wide.back()->write(http::write(request));
  }
  return wide;
}

// Its part waits behind a call that the node does not read, where the settings allow no cancels: it is taken
// back all the same, as none of it has left.
TEST(Endings, APartThatWaitsForItsTurnOnAConnectionIsTakenBackWhenItsClientLeaves) {
  ClusterOptions options = held_up(1);
  options.settings.emplace_back("\"cancel\":true", "\"cancel\":false");
  TestCluster world(options);
  Unread node;
  world.discovery->set("n0", node.address(), 0, "in_service");
  world.start();
  const auto sent = [&] { return world.gateway->metrics().value("attempts.sent"); };
  const auto wide = ask_wide(world);
  until(
      world, [&] { return sent() == 120; }, 30s);
  Peer second(world.gateway->address());
  second.write(http::write(world.request("equipment-search", "4", 60s, "")));  // its id: q5
  until(world, [&] { return sent() == 121; });
  second.close();
  until(world, [&] { return world.gateway->metrics().value("queries.withdrawn") == 1; });
  Peer third(world.gateway->address());
  third.write(http::write(world.request("equipment-search", "5", 60s, "")));
  until(
      world, [&] { return !node.read().empty() && node.read().back() == "q6"; }, 30s);
  for (const std::string& id : node.read()) EXPECT_NE(id, "q5");
}

// The next connection that comes to a listening socket of the test's.
Descriptor accept_one(Scheduler& scheduler, const Descriptor& listener) {
  Descriptor link;
  until(scheduler, [&] {
    link = Descriptor(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
    return static_cast<bool>(link);
  });
  return link;
}

// Answers the next part that comes on a node's end of a connection; its query.
std::string answer_one(Scheduler& scheduler, const Descriptor& link) {
  frames::Reader reader(1 << 20);
  char buffer[4096];
  until(scheduler, [&] {
    const ssize_t got = ::recv(link.get(), buffer, sizeof buffer, MSG_DONTWAIT);
    if (got > 0) reader.feed({buffer, static_cast<std::size_t>(got)});
    return got > 0;
  });
  const auto frame = reader.next();
  EXPECT_TRUE(frame);
  if (!frame) return {};
  frames::AnswerPart out;
  out.id = frames::decode_call(frame->payload)->front().id;
  out.outcome = 'S';
  out.value = "[]";
  const std::string bytes = frames::encode_answer(out);
  EXPECT_EQ(::send(link.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  return out.id.substr(0, out.id.find('.'));
}

// A resting connection that its node closes as a call is about to be written on it: the call has not left,
// and goes out on another connection. Nobody is blamed, and no attempt is spent.
TEST(Endings, ACallThatMeetsItsConnectionsCloseGoesOutOnAnother) {
  ClusterOptions options;
  options.node_count = 1;
  TestCluster world(options);
  const Descriptor listener = listening_socket();
  world.discovery->set("n0", local_address(listener.get()), 0, "in_service");
  world.start();
  Peer client(world.gateway->address());
  client.write(http::write(world.request("equipment-search", "0", 1s, "")));
  until(world, [&] { return world.gateway->metrics().value("calls.sent") == 1; });
  Descriptor link = accept_one(world.scheduler, listener);
  answer_one(world.scheduler, link);
  until(world, [&] { return client.read().find("200 OK") != std::string::npos; });
  // The close falls into the very pass of the scheduler that takes the request, before it is sent on: the
  // word for it is read in the same batch of events, behind the request.
  int pair[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair), 0);
  const Descriptor word(pair[0]);
  const auto crossing =
      [&, heard = std::make_shared<Stream>(world.scheduler, Descriptor(pair[1]))]() -> Task<void> {
    char byte = 0;
    co_await heard->read_some({&byte, 1});
    EXPECT_EQ(world.gateway->metrics().value("queries.taken"), 2u);
    EXPECT_EQ(world.gateway->metrics().value("calls.sent"), 1u);
    link.reset();
  };
  world.scheduler.spawn(crossing());
  const Timer both = world.scheduler.at(Clock::now() + 5ms, [&] {
    client.write(http::write(world.request("equipment-search", "0", 1s, "")));
    EXPECT_EQ(::send(word.get(), "x", 1, 0), 1);
  });
  until(world, [&] { return world.gateway->metrics().value("node.connections_opened") == 2; });
  link = accept_one(world.scheduler, listener);
  answer_one(world.scheduler, link);
  until(world, [&] { return client.read().find("200 OK") != std::string::npos; });
  const Metrics& metrics = world.gateway->metrics();
  EXPECT_EQ(metrics.value("attempts.sent"), 2u);
  EXPECT_EQ(metrics.value("attempts.reset") + metrics.value("attempts.connect_failed"), 0u);
}

// The same close, and the part is given up after the connection has been found closed and before what waits
// on it is moved: it does not go out on the other one.
TEST(Endings, APartGivenUpAsItsConnectionClosesIsNotMovedToAnother) {
  OneNode one(Api::platform);
  const Descriptor listener = listening_socket();
  one.listed(1, local_address(listener.get()));
  one.transport->send(1, {attempt_of(1, "q1", "equipment-search")});
  Descriptor link = accept_one(one.scheduler, listener);
  EXPECT_EQ(answer_one(one.scheduler, link), "q1");
  one.run_to(1);
  const auto give_up = [&]() -> Task<void> {
    one.transport->give_up(2, NodeTransport::Why::cancelled);
    co_return;
  };
  const Timer crossing = one.scheduler.at(Clock::now(), [&] {
    link.reset();
    one.transport->send(1, {attempt_of(2, "q2", "equipment-search")});  // its writer goes first
    one.scheduler.spawn(give_up());
    one.transport->send(1, {attempt_of(3, "q3", "equipment-search")});
  });
  link = accept_one(one.scheduler, listener);
  EXPECT_EQ(answer_one(one.scheduler, link), "q3");
  one.run_to(3);
  EXPECT_FALSE(one.ends.of.contains(2));
}

// What waits for its turn at a node when that node is told to drain is taken back, and goes to another
// holder: by that alone, no time-out and no copy brings it there.
TEST(Endings, APartThatWaitsAtANodeThatDrainsGoesElsewhere) {
  TestCluster world(held_up(2));
  Unread node;  // in place of n0, the only holder that is listed as yet
  world.discovery->set("n0", node.address(), 0, "in_service");
  world.discovery->set("n1", world.nodes[1]->address(), 1, "terminating");
  world.start();
  const auto sent = [&] { return world.gateway->metrics().value("attempts.sent"); };
  const auto wide = ask_wide(world);
  until(
      world, [&] { return sent() == 120; }, 30s);
  Peer late(world.gateway->address());
  late.write(http::write(world.request("equipment-search", "4", 60s, "")));  // q5
  until(world, [&] { return sent() == 121; });
  world.discovery->set("n1", world.nodes[1]->address(), 1, "in_service");
  world.discovery->set("n0", node.address(), 0, "terminating");
  until(
      world, [&] { return late.read().find("200 OK") != std::string::npos; }, 30s);
  EXPECT_EQ(world.nodes[1]->received_for_shard(4) > 0, true);
  const Metrics& metrics = world.gateway->metrics();
  EXPECT_EQ(metrics.value("attempts.timeout") + metrics.value("attempts.copies"), 0u);
  EXPECT_GT(metrics.value("attempts.moot"), 0u);
  for (const std::string& id : node.read()) EXPECT_NE(id, "q5");
}

// A repeat of a keyed part is due within its window, and waits for its connection until the window is over:
// it is never written, as the node would take it for a new one.
TEST_P(Gone, ARepeatThatWouldBeginPastItsWindowDoesNotBegin) {
  for (const bool past : {true, false}) {
    OneNode one(GetParam());
    Attempt repeat = attempt_of(1, "q0", "inspection-log");
    repeat.key = "k";
    repeat.begin_by = Clock::now() + (past ? Duration::zero() : Duration(2s));
    one.transport->send(1, {std::move(repeat)});
    one.run_to(1);
    EXPECT_EQ(one.node.received.size(), past ? 0u : 1u);
    EXPECT_EQ(one.ends.of[1], past ? Outcome::moot : Outcome::ok);
  }
}

// Its write has begun within the window, and the node does not take it: the write ends with the window, as
// the request counts from its last byte.
TEST_P(Gone, ARepeatWhoseWriteIsHeldUpEndsWithItsWindow) {
  OneNode one(GetParam(), [](Limits& limits) { limits.frame_time = 60s; });
  const Unread node;
  one.listed(1, node.address());
  Attempt repeat = attempt_of(1, "q0", "inspection-log");
  repeat.key = "k";
  repeat.text = std::string(16 << 20, 'x');  // more than any buffer between the two takes
  repeat.until = Clock::now() + 60s;
  repeat.begin_by = Clock::now() + 300ms;
  one.transport->send(1, {std::move(repeat)});
  one.run_to(1);
  EXPECT_EQ(one.ends.of[1], Outcome::connect_failed);  // never whole: it has not run
}

// The whole way: the first attempt may have run, and no repeat comes after the window.
TEST(Endings, RepeatsKeepToTheirWindow) {
  ClusterOptions options;
  options.node_count = 2;
  short_window(options);
  TestCluster world(options);
  for (auto& node : world.nodes)
    node->on_part = [](const ReceivedPart&) { return NodeReply{NodeReply::Kind::error, 1, 25ms, {}, {}}; };
  world.start();
  world.run([&]() -> Task<void> { co_await world.ask("inspection-log", "0", 1100ms, "key7"); }());
  TimePoint first = kNever, last{};
  for (const auto& node : world.nodes)
    for (const ReceivedPart& part : node->received)
      first = std::min(first, part.received_at), last = std::max(last, part.received_at);
  EXPECT_GE(world.parts_received(), 2u);
  EXPECT_LE(last - first, 350ms);
}

// The first attempt fails at one node, and its repeat waits for its turn at the other, behind calls that are
// not read, until the window is over: it is never written.
TEST(Endings, ARepeatThatWaitsForItsTurnBeyondItsWindowIsNeverWritten) {
  ClusterOptions options = held_up(2);
  short_window(options);
  TestCluster world(options);
  Unread node;  // in place of n1, the only holder that is listed as yet
  world.discovery->set("n1", node.address(), 1, "in_service");
  const auto of = [&](const char* name) { return world.gateway->metrics().value(name); };
  const auto list_n0 = [&](const char* state) {
    const std::uint64_t before = world.gateway ? of("discovery.answers") : 0;
    world.discovery->set("n0", world.nodes[0]->address(), 0, state);
    if (world.gateway) until(world, [&] { return of("discovery.answers") > before; });
  };
  list_n0("terminating");
  world.start();
  const auto wide = ask_wide(world);
  until(
      world, [&] { return of("attempts.sent") == 120; }, 30s);
  list_n0("in_service");
  world.nodes[0]->on_part = [](const ReceivedPart&) {
    return NodeReply{NodeReply::Kind::error, 1, {}, {}, {}};
  };
  Peer keyed(world.gateway->address());
  keyed.write(http::write(world.request("inspection-log", "4", 60s, "key7")));  // q5
  until(world, [&] { return of("attempts.sent") == 122; });
  ASSERT_EQ(world.nodes[0]->received.size(), 1u);
  until(world, [&] { return Clock::now() > world.nodes[0]->received[0].received_at + 350ms; });
  list_n0("terminating");
  Peer next(world.gateway->address());
  next.write(http::write(world.request("equipment-search", "5", 60s, "")));  // q6
  until(
      world, [&] { return !node.read().empty() && node.read().back() == "q6"; }, 30s);
  for (const std::string& id : node.read()) EXPECT_NE(id, "q5");
  EXPECT_EQ(of("attempts.repeats"), 1u);
}

// ---- the node list ----
// Discovery is down for long, and refuses each call or says nothing. What it has at its return counts as told
// `told_after` later, whatever became of our calls: by then it has been heard, and nothing new goes to a node
// that drains.
TEST(Endings, WhatDiscoveryHasAtItsReturnIsHeardInTimeHoweverManyCallsHaveFailed) {
  for (const bool refuses : {true, false}) {
    ClusterOptions options;
    options.watch_wait_ms = 100;
    options.adjust = [](Limits& limits) {
      limits.pace.told_after = 800ms;
      limits.pace.watch_slack = 100ms;
      limits.pace.least_backoff = 10ms;
      limits.pace.ask_within = 60s;
    };
    TestCluster world(options);
    (refuses ? world.discovery->failing : world.discovery->silent) = true;
    world.start();
    until(world, [&] { return world.discovery->called.size() >= (refuses ? 12u : 6u); });
    world.discovery->set("n0", world.nodes[0]->address(), 0, "terminating");
    world.discovery->failing = world.discovery->silent = false;
    const TimePoint back = Clock::now();
    until(world, [&] { return world.gateway->metrics().value("discovery.answers") > 0; });
    EXPECT_LE(Clock::now() - back, 800ms) << refuses;
    world.run([&]() -> Task<void> {
      co_await world.pause(20ms);  // the module's turn
      const std::size_t before = world.nodes[0]->received.size();
      for (int i = 0; i < 8; ++i) co_await world.ask("equipment-search", "0,2", 1s);
      EXPECT_EQ(world.nodes[0]->received.size(), before);
    }());
  }
}

// An answer without length, whole to the last byte, whose connection is reset: a reset is no end, and the
// list is not taken. The same bytes and an end are.
TEST(Endings, AListWithoutLengthCountsOnceItsConnectionHasEndedAndNotWhenItIsReset) {
  TestCluster world({});
  const Descriptor listener = listening_socket();
  std::string list = "HTTP/1.1 200 OK\r\n\r\n";
  for (const char c : world.discovery->list(true, 0)) {
    list += c;
    if (c == '{' || c == '[' || c == ',') list += "\n\t    ";
  }
  const Limits limits;
  Metrics metrics(1s);
  struct Lists : DirectorySink {
    void listed(const NodeList& list) override { taken.push_back(list.nodes.size()); }
    void list_failed() override { ++failed; }
    std::vector<std::size_t> taken;
    int failed = 0;
  } lists;
  DiscoveryClient client(world.scheduler, *Address::parse(local_address(listener.get())), limits, metrics, 1,
                         lists);
  client.subscribe();
  for (const bool reset : {true, false}) {
    Descriptor link = accept_one(world.scheduler, listener);
    char buffer[1024];
    until(world, [&] { return ::recv(link.get(), buffer, sizeof buffer, 0) > 0; });
    EXPECT_EQ(::send(link.get(), list.data(), list.size(), MSG_NOSIGNAL), static_cast<ssize_t>(list.size()));
    const linger now{1, 0};
    if (reset) ::setsockopt(link.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    link.reset();
    until(world, [&] { return lists.failed + lists.taken.size() > (reset ? 0u : 1u); });
    EXPECT_EQ(lists.failed, 1);
    EXPECT_EQ(lists.taken, reset ? std::vector<std::size_t>{} : std::vector<std::size_t>{3});
  }
  world.scheduler.destroy_tasks();
}

// ---- descriptors, and starts ----
// Over the API connections at rest count as those in use do: the one that has been idle longest makes room,
// and only where none is does a call find no place.
TEST(Endings, ConnectionsAtRestMakeRoomForCallsToOtherNodes) {
  OneNode one(Api::opensearch, [](Limits& limits) { limits.node_connections = 2; });
  FakeNode second(one.scheduler, Api::opensearch), third(one.scheduler, Api::opensearch);
  one.listed(2, second.address());
  one.listed(3, third.address());
  for (const NodeId id : {1, 2, 3}) {
    one.transport->send(
        id, {attempt_of(static_cast<AttemptId>(id), "q" + std::to_string(id), "equipment-search")});
    one.run_to(static_cast<AttemptId>(id));
    EXPECT_EQ(one.ends.of[static_cast<AttemptId>(id)], Outcome::ok) << id;
  }
  until(one.scheduler, [&] { return one.node.ended == 1; });
  EXPECT_EQ(second.ended + third.ended, 0u);
  second.on_part = third.on_part = [](const ReceivedPart&) {
    return NodeReply{NodeReply::Kind::silent, 1, {}, {}, {}};
  };
  one.transport->send(2, {attempt_of(4, "q4", "equipment-search")});
  one.transport->send(3, {attempt_of(5, "q5", "equipment-search")});
  until(one.scheduler, [&] { return second.received.size() + third.received.size() == 4; });
  one.transport->send(1, {attempt_of(6, "q6", "equipment-search")});
  one.run_to(6);
  EXPECT_EQ(one.ends.of[6], Outcome::connect_failed);
  EXPECT_EQ(one.node.connections, 1u);
}

// Idle clients take all that they can get while discovery says nothing, and the process may hold fewer
// descriptors than the configuration says. What discovery and record nodes need is kept back for them.
TEST(Endings, IdleClientsLeaveDescriptorsToDiscoveryAndRecordNodes) {
  TestCluster world({});
  world.discovery->silent = true;
  Program program(world, world.config_text(), "127.0.0.1:0", {"-c", "ulimit -n 96 && exec " KELPDEAL_PROGRAM},
                  {}, -1, "/bin/sh");
  const std::string address = program.address();
  std::vector<std::unique_ptr<Peer>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(std::make_unique<Peer>(address));
    if (i % 2) idle.back()->write("GET /-/healthy HTTP/1.1\r\n\r\n");
  }
  until(world, [&] { return world.discovery->called.size() >= 2; });  // asked again over a new connection
  world.discovery->silent = false;
  world.discovery->set("n0", world.nodes[0]->address(), 0, "terminating");
  const std::size_t before = world.discovery->called.size();
  until(world, [&] { return world.discovery->called.size() >= before + 2; });  // it goes on after an answer
  world.run([&]() -> Task<void> {
    for (int i = 0; i < 4; ++i) {
      const http::Response response =
          co_await world.send(address, world.request("equipment-search", "0,1,2,3", 1s, ""));
      EXPECT_EQ(response.status, 200);
    }
  }());
  EXPECT_EQ(world.nodes[0]->received.size(), 0u);
  EXPECT_TRUE(program.running());
}

// Clients that ask once and stay, or say nothing, come one after another when all connections are held. Room
// is made for several at once, and the system is not asked of all that are held for each newcomer: a flood of
// them would take the time of everybody.
TEST(Endings, NewcomersToAFullHouseDoNotCostALookAtEverybodyInIt) {
  for (const bool asks : {true, false}) {
    constexpr std::size_t held = 320, newcomers = 40;
    Served served([&](Limits& limits) {
      limits.client_connections = held;
      limits.client_requests = asks ? held / 2 : held;
      limits.client_fresh = 0ms;
    });
    std::deque<Peer> peers;
    const auto come = [&](std::size_t count) {
      for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t all = served.metrics.value("clients.connections") + 1;
        if (peers.size() > held) peers.pop_front();
        peers.emplace_back(served.address());
        if (asks) peers.back().write(kRequest);
        served.until([&] {
          return served.metrics.value("clients.connections") == all && (!asks || peers.back().read() != "");
        });
      }
    };
    come(held);
    const std::size_t before = polls;
    come(newcomers);
    EXPECT_LT(polls - before, newcomers * held / 16) << asks;
    EXPECT_GE(served.metrics.value("clients.shed") + served.metrics.value("clients.shed_idle"), newcomers);
  }
}

// Many restarted at once, whatever discovery does: nine in ten have to be ready within 10 s.
TEST(Endings, RestartedProcessesAreReadyWhateverDiscoveryDoes) {
  for (const int way : {0, 1, 2}) {
    TestCluster world({});
    world.discovery->failing = way == 1;
    world.discovery->silent = way == 2;
    std::vector<std::unique_ptr<Program>> programs;
    const TimePoint began = Clock::now();
    for (int i = 0; i < 10; ++i)
      programs.push_back(std::make_unique<Program>(world, world.config_text(), "127.0.0.1:0"));
    int ready = 0;
    world.run([&]() -> Task<void> {
      for (const auto& program : programs) {
        const std::string address = program->address();
        if ((co_await world.send(address, get("/-/ready"))).status == 200) ++ready;
      }
    }());
    EXPECT_GE(ready, 9) << way;
    EXPECT_LT(Clock::now() - began, 10s) << way;
  }
}

}  // namespace
}  // namespace kelpdeal::test
