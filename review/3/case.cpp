// Case 3: bad clients that send and go push the ids of open requests out of the coordinator's table; the id of another
// client's open request is then taken, and the answers of the two requests are mixed up.
#include "../harness.h"

using namespace review;

namespace {

std::atomic<std::uint64_t> next_id{0xbad0000000000000ULL};
std::atomic<bool> flood_goes{true};
std::atomic<long> flooded{0};

// Sends one valid query on a new connection and goes, again and again.
void flood(int port) {
  while (flood_goes) {
    const int fd = connect_to(port);
    if (fd < 0) continue;
    Query query{hex_id(++next_id), "area-report", "", "c41e77d0", row_of_slices(static_cast<int>(next_id % kShards), 1), 7500};
    write_all(fd, query.bytes());
    ::close(fd);
    ++flooded;
  }
}

// Whether every value in an answer is the one that a record node makes for this query; counts the others.
int foreign_values(const Query& query, const Result& result) {
  if (result.status != 200) return 0;
  int foreign = 0;
  std::size_t at = 0;
  while ((at = result.body.find("\"slice\":", at)) != std::string::npos) {
    const int slice = std::atoi(result.body.c_str() + at + 8);
    const std::size_t body = result.body.find("\"body\":\"", at) + 8;
    const std::string value = result.body.substr(body, result.body.find('"', body) - body);
    if (value != value_for(slice, query.filter)) {
      ++foreign;
      record("%s filter %s, slice %d: got %s, made for it is %s", query.id.c_str(), query.filter.c_str(), slice,
             value.c_str(), value_for(slice, query.filter).c_str());
    }
    at = body;
  }
  return foreign;
}

struct Outcome {
  Query query;
  double sent_ms = 0, ended_ms = 0;
  Result result;
};

}  // namespace

int main(int argc, char** argv) {
  start_case(argc, argv);
  // TROUBLE=0 leaves out the disruption: the bad clients that send and go; those under an open request's id stay.
  const char* const wanted = std::getenv("TROUBLE");
  const bool trouble = !wanted || std::string(wanted) != "0";
  record("%s the disruption", trouble ? "with" : "without");
  const std::string folder = std::getenv("CASE_TMP");
  Deployment deployment;
  for (const auto& node : deployment.nodes)
    node->seen = [](const Node& here, const Part& part) {
      if (part.id[0] != 'b') record("%s runs part %s, text %s", here.uid.c_str(), part.id.c_str(), part.text.c_str());
    };
  deployment.list_nodes();
  Coordinator coordinator(argv[1], argv[2], "n1", folder, "coordinator", deployment.config("n1", "8c1f30d27a5be964"));
  if (!wait_ready(coordinator.port)) cannot_run("not ready");

  int foreign_usual = 0, foreign_bad = 0, served_twice = 0, usual_ok = 0, same_id_refused = 0, usual_asked = 0;
  std::vector<std::thread> flooders;
  if (trouble) {
    record("bad clients that send and go begin");
    for (int i = 0; i < 6; ++i) flooders.emplace_back([&] { flood(coordinator.port); });
  }
  std::uint64_t id = 0x1000;
  for (int round = 0; round < 16; ++round) {
    sleep_ms(round == 0 ? 3000 : 400);
    Outcome usual;
    // A try is given up after 60 to 100% of the class's time, 4 s.
    usual.query = {hex_id(++id), "equipment-search", "", "c41e77d0", row_of_slices(round, 4), 2400 + 100 * round};
    std::atomic<bool> usual_ended{false};
    std::mutex mutex;
    std::vector<Outcome> same;
    std::thread usual_client([&] {
      usual.sent_ms = now_ms();
      usual.result = exchange(coordinator.port, usual.query.bytes(), usual.query.budget_ms + 500);
      usual.ended_ms = now_ms();
      usual_ended = true;
    });
    std::vector<std::thread> bad_clients;  // under the id of the open request, again and again
    for (int i = 0; i < 3; ++i)
      bad_clients.emplace_back([&, i] {
        sleep_ms(15 + 8 * i);
        for (int again = 0; again < 40 && !usual_ended; ++again) {
          Outcome other;
          other.query = usual.query;
          other.query.filter = "bad" + std::to_string(10000 + 1000 * i + again);
          other.sent_ms = now_ms();
          other.result = exchange(coordinator.port, other.query.bytes(), 1000);
          other.ended_ms = now_ms();
          {
            const std::lock_guard lock(mutex);
            same.push_back(std::move(other));
          }
          sleep_ms(20);
        }
      });
    usual_client.join();
    for (std::thread& client : bad_clients) client.join();
    ++usual_asked;
    usual_ok += usual.result.status == 200;
    record("%s usual, filter %s: sent %.1f, %d after %.0f ms %s", usual.query.id.c_str(), usual.query.filter.c_str(),
           usual.sent_ms, usual.result.status, usual.result.took_ms, usual.result.body.c_str());
    foreign_usual += foreign_values(usual.query, usual.result);
    for (const Outcome& other : same) {
      const bool was_open = other.sent_ms > usual.sent_ms && other.ended_ms < usual.ended_ms;
      record("%s bad, filter %s: sent %.1f, %d after %.0f ms%s %s", other.query.id.c_str(), other.query.filter.c_str(),
             other.sent_ms, other.result.status, other.result.took_ms,
             was_open ? ", all of it while the usual client's request was open," : "", other.result.body.c_str());
      foreign_bad += foreign_values(other.query, other.result);
      served_twice += was_open && other.result.status == 200;
      same_id_refused += other.result.status == 409;
    }
  }
  flood_goes = false;
  for (std::thread& flooder : flooders) flooder.join();
  record("%ld requests of clients that went; usual: %d of %d answered 200; same id: %d times 409", flooded.load(), usual_ok,
         usual_asked, same_id_refused);
  record("foreign values to usual clients: %d, to bad clients: %d; the id of an open request served: %d", foreign_usual,
         foreign_bad, served_twice);
  std::printf("foreign values: %d to usual clients, %d to bad ones; the id of an open request served %d times\n",
              foreign_usual, foreign_bad, served_twice);
  if (!coordinator.running()) finish(1);
  finish(foreign_usual + foreign_bad + served_twice > 0 ? 1 : 0);
}
