// Case 2: bad clients that repeat a request as soon as it is turned away, beside clients that connect and say nothing, keep
// the coordinator from taking new connections: requests of usual clients get no answer at all.
#include "../harness.h"

using namespace review;

namespace {

// The configuration allows 256 descriptors; clients hold a third of them (85) at the most for requests: 74 bad clients and
// the usual ones, of whose requests at most 10 are out at a time (2 a second, 5 s each).
constexpr int kDescriptors = 256, kRepeaters = 74, kSilent = 300;
constexpr double kTroubleFromMs = 5'000, kTroubleUntilMs = 35'000, kUsualUntilMs = 45'000;

std::atomic<bool> trouble_goes{false};
std::atomic<long> repeats{0}, silent_connections{0};

// Asks for a class that does not exist, reads the error, and asks the same again at once.
void repeat_bad_request(int port, int number) {
  const std::string bytes =
      Query{hex_id(0xbad0000000000000ULL + static_cast<std::uint64_t>(number)), "no-such-class", "", "c41e77d0", {1}, 4000}.bytes();
  while (trouble_goes) {
    const int fd = connect_to(port, 5000);
    if (fd < 0) {
      sleep_ms(20);
      continue;
    }
    while (trouble_goes && write_all(fd, bytes)) {
      if (read_response(fd, Clock::now(), Clock::now() + 5s).status == 0) break;
      ++repeats;
    }
    ::close(fd);
  }
}

// Connections that say nothing; each is opened anew when it ends.
void stay_silent(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  std::vector<pollfd> sockets(kSilent, pollfd{-1, POLLIN, 0});
  while (trouble_goes) {
    for (pollfd& one : sockets) {
      if (one.fd >= 0) continue;
      one.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      if (::connect(one.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 || errno == EINPROGRESS)
        ++silent_connections;
      one.revents = 0;
    }
    ::poll(sockets.data(), sockets.size(), 50);
    for (pollfd& one : sockets) {
      char bytes[256];
      if (!(one.revents & (POLLIN | POLLHUP | POLLERR)) || ::recv(one.fd, bytes, sizeof bytes, 0) > 0) continue;
      ::close(one.fd);
      one.fd = -1;
    }
  }
  for (const pollfd& one : sockets)
    if (one.fd >= 0) ::close(one.fd);
}

}  // namespace

int main(int argc, char** argv) {
  start_case(argc, argv);
  // TROUBLE=0 leaves out the disruption: the bad clients, both kinds.
  const char* const wanted = std::getenv("TROUBLE");
  const bool trouble = !wanted || std::string(wanted) != "0";
  record("%s the disruption", trouble ? "with" : "without");
  const std::string folder = std::getenv("CASE_TMP");
  Deployment deployment;
  for (const auto& node : deployment.nodes)
    node->seen = [](const Node& here, const Part& part) { record("%s runs part %s", here.uid.c_str(), part.id.c_str()); };
  deployment.list_nodes();
  std::string config = deployment.config("n1", "8c1f30d27a5be964");
  const std::string descriptors = "\"sockets\":1024";
  config.replace(config.find(descriptors), descriptors.size(), "\"sockets\":" + std::to_string(kDescriptors));
  Coordinator coordinator(argv[1], argv[2], "n1", folder, "coordinator", config);
  if (!wait_ready(coordinator.port)) cannot_run("not ready");

  Clients keeping(coordinator.port);
  std::mutex mutex;
  std::size_t asked = 0, ok = 0, lost = 0;
  std::vector<std::thread> threads;
  const double begin = now_ms();
  const auto since_begin = [&] { return now_ms() - begin; };
  bool started = false, ended = false;
  std::uint64_t id = 0x1000;
  for (int i = 0; since_begin() < kUsualUntilMs; ++i) {
    if (trouble && !started && since_begin() > kTroubleFromMs) {
      started = trouble_goes = true;
      record("%d clients repeat a bad request, %d say nothing", kRepeaters, kSilent);
      for (int b = 0; b < kRepeaters; ++b) threads.emplace_back([&, b] { repeat_bad_request(coordinator.port, b); });
      threads.emplace_back([&] { stay_silent(coordinator.port); });
    }
    if (started && !ended && since_begin() > kTroubleUntilMs) {
      ended = true;
      trouble_goes = false;
      record("bad clients end");
    }
    Query query{hex_id(++id), "equipment-search", "", "c41e77d0", row_of_slices(i, 3 + i % 3), 4000};
    if (i % 4 == 3) query = {hex_id(id), "inspection-log", hex_id(id * 7), "c41e77d0", row_of_slices(i, 1), 4000};
    threads.emplace_back([&, query, id_is_even = id % 2 == 0] {
      record("%s %s asked, waits %d ms", query.id.c_str(), query.klass.c_str(), query.budget_ms);
      // The rule allows half a second after the request's time, and 50 ms as slack on sockets; this waits for 1 s.
      // Every other client is a new one with a connection of its own; the others keep theirs.
      const Result result = id_is_even ? exchange(coordinator.port, query.bytes(), query.budget_ms + 1000)
                                       : keeping.ask(query.bytes(), query.budget_ms + 1000);
      record("%s %s: %s %d after %.0f ms", query.id.c_str(), query.klass.c_str(),
             result.text(), result.status, result.took_ms);
      const std::lock_guard lock(mutex);
      ++asked;
      ok += result.status == 200;
      lost += result.lost();
    });
    sleep_ms(500);
  }
  trouble_goes = false;
  for (std::thread& thread : threads) thread.join();
  const Result counters = exchange(coordinator.port, "GET /-/counters HTTP/1.1\r\nHost: backend.local\r\n\r\n", 2000);
  std::istringstream lines(counters.body);
  for (std::string line; std::getline(lines, line);)
    if (line.rfind("clients.", 0) == 0 || line.rfind("queries.", 0) == 0) record("counter %s", line.c_str());
  const bool up = coordinator.running();
  record("bad clients: %ld requests turned away, %ld silent connections opened", repeats.load(), silent_connections.load());
  record("usual clients: %zu asked, %zu answered with 200, %zu got no final answer; the coordinator %s", asked, ok, lost,
         up ? "runs" : "has ended");
  if (!trouble && ok * 10 < asked * 9) cannot_run("too few answers without trouble");
  std::printf("%zu of %zu requests of usual clients got no final answer\n", lost, asked);
  finish(lost > 0 || !up ? 1 : 0);
}
