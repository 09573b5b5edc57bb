// A client records a result without naming an id, under an Idempotency-Key. The coordinator is killed after
// the record node has recorded it and before the answer; the client repeats the request under the same key.
#include "case.h"

using namespace review;

namespace {

std::mutex mutex;
std::map<std::pair<std::string, int>, double> ran_at;  // by key and shard: what a holder drops repeats by
std::vector<std::string> recorded;  // the result's number, once for each time it was recorded
std::atomic<int> runs{0};
bool stand_still = false;

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = begin(argc, argv, 60);
  Discovery discovery;
  stand_still = trouble;
  Nodes nodes(12, discovery, [](const Part& part) {
    sleep_ms(70);  // the work
    const std::lock_guard lock(mutex);
    const std::size_t at = part.text.find("result-");
    const std::string number =
        at == std::string::npos ? "?" : part.text.substr(at, part.text.find('"', at) - at);
    std::string value = "{\"status\":201,\"result\":\"created\"}";
    const auto before = ran_at.find({part.key, part.shard});
    const bool repeat = before != ran_at.end() && now_ms() - before->second < 4000;
    record("node %d, shard %d, k=%s, %s: %s", part.node, part.shard, part.key.c_str(), number.c_str(),
           repeat ? "dropped: a repeat of this key" : "recorded");
    if (repeat) return Reply{'S', 5, value};
    ran_at[{part.key, part.shard}] = now_ms();
    recorded.push_back(number);
    ++runs;
    // It stands still for 200 ms before its answer goes.
    return Reply{'S', stand_still ? 200.0 : 1.0, value};
  });
  std::ofstream(folder + "/front.json") << "{\"listen\":\"127.0.0.1:0\",\"node_api\":\"frames\",\"indices\":{"
                                           "\"results\":{\"class\":\"equipment-search\","
                                           "\"write_class\":\"inspection-log\"}}}";
  const std::string extra = "--front " + folder + "/front.json";
  auto coordinator = std::make_unique<Coordinator>("n1", discovery, settings(12, 24), extra);

  int twice = 0;
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    const std::string number = "result-" + std::to_string(round);
    const std::string request = http_request(
        "POST", "/results/_doc", "{\"unit\":\"R-1001\",\"result\":\"passed\",\"number\":\"" + number + "\"}",
        {{"Idempotency-Key", "key-" + std::to_string(round)}});
    const int before = runs;
    Outcome outcome;
    const std::string address = coordinator->search_address();
    std::thread client([&] { outcome = ask(address, request, 6000); });
    if (trouble) {
      while (runs == before) sleep_ms(1);
      sleep_ms(40);
      coordinator->signal(SIGKILL);
      coordinator->wait_for_end();
    }
    client.join();
    record("client, key-%d: status %d", round, outcome.status);
    if (trouble) coordinator = std::make_unique<Coordinator>("n1", discovery, settings(12, 24), extra);
    // The client repeats what got no answer, under the same key: at once, then twice more after 600 ms.
    for (int retry = 0; retry < 3 && outcome.status != 201 && outcome.status != 200; ++retry) {
      if (retry > 0) sleep_ms(600);
      outcome = ask(coordinator->search_address(), request, 6000);
      record("client, key-%d, repeat %d: status %d %s", round, retry + 1, outcome.status,
             outcome.body.c_str());
    }
    sleep_ms(300);
    const std::lock_guard lock(mutex);
    const auto times = std::count(recorded.begin(), recorded.end(), number);
    record("%s was recorded %ld times", number.c_str(), static_cast<long>(times));
    twice += times > 1;
  }
  finish(twice > 0 ? 1 : 0, std::to_string(twice) + " of " + std::to_string(kRounds) +
                                " results were recorded twice under one Idempotency-Key within its window");
}
