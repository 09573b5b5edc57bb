// A client records two results of one building in a bulk under one Idempotency-Key. The record nodes' queues
// are full for the second, which is refused; the client sends what was refused again, alone, under the same
// key. What the client is told was recorded has to be recorded.
#include "case.h"

using namespace review;

namespace {

std::mutex mutex;
std::map<std::pair<std::string, int>, double> ran_at;  // by key and shard: what a holder drops repeats by
std::map<std::string, int> recorded;                   // by document id: how often it was recorded
double full_until = -1;                                // the holders' queues are full until then
bool place_taken = false;

std::string member_of(const std::string& text, const std::string& name) {
  const std::size_t at = text.find("\"" + name + "\":");
  if (at == std::string::npos) return {};
  std::size_t from = at + name.size() + 3;
  const bool quoted = text[from] == '"';
  if (quoted) ++from;
  return text.substr(from, text.find_first_of(quoted ? "\"" : ",}", from) - from);
}

Reply take(const Part& part) {
  const std::lock_guard lock(mutex);
  const std::string id = member_of(part.text, "unit");
  const auto say = [&](const char* what) {
    record("node %d, shard %d, part %s, k=%s, unit %s: %s", part.node, part.shard, part.id.c_str(),
           part.key.c_str(), id.c_str(), what);
  };
  if (now_ms() < full_until && std::exchange(place_taken, true))
    return say("turned away, queue full"), Reply{'B', 1, ""};
  const auto before = ran_at.find({part.key, part.shard});
  if (before != ran_at.end() && now_ms() - before->second < 4000)
    return say("dropped: a repeat of this key"), Reply{'S', 5, "{\"result\":\"created\"}"};
  ran_at[{part.key, part.shard}] = now_ms();
  ++recorded[id];
  say("recorded");
  return Reply{'S', 70, "{\"result\":\"created\"}"};
}

struct Item {
  std::string unit, line;
  int status = 0;
  double retry_after_ms = 0;
};

// Sends the items as one bulk and reads the status of each.
void send_bulk(const std::string& address, const std::string& key, std::vector<Item*> items) {
  std::string body;
  for (const Item* item : items) body += item->line;
  const Outcome outcome =
      ask(address,
          http_request(
              "POST", "/inspection-log/_bulk?routing=building-7", body,
              {{"X-Team", "inspectors"}, {"Idempotency-Key", key}, {"Content-Type", "application/x-ndjson"}}),
          10'000);
  std::size_t at = outcome.body.find("\"items\":");
  for (Item* item : items) {
    const std::size_t begin = at == std::string::npos ? at : outcome.body.find("{\"index\":{", at);
    const std::size_t end = begin == std::string::npos ? begin : outcome.body.find("{\"index\":{", begin + 1);
    const std::string text = begin == std::string::npos ? "" : outcome.body.substr(begin, end - begin);
    item->status = std::atoi(member_of(text, "status").c_str());
    item->retry_after_ms = std::atof(member_of(text, "retry_after_ms").c_str());
    record("client, key %s: unit %s has status %d", key.c_str(), item->unit.c_str(), item->status);
    at = end;
  }
}

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = begin(argc, argv, 100);
  Discovery discovery;
  Nodes nodes(12, discovery, take);
  for (const char* name : {"openapi.json", "asyncapi.json"})
    std::ofstream(folder + "/" + name) << file_text(std::string("deploy/") + name);
  std::ofstream(folder + "/front.json")
      << "{\"listen\":\"127.0.0.1:0\",\"openapi\":\"openapi.json\",\"asyncapi\":\"asyncapi.json\"}";
  Coordinator coordinator("n1", discovery, settings(12, 24), "--front " + folder + "/front.json");
  const std::string search = coordinator.search_address();

  int told = 0, missing = 0;
  for (int round = 0; round < 8; ++round) {
    const std::string key = "results-" + std::to_string(round);
    std::vector<Item> items;
    for (const char* unit : {"A", "B"}) {
      const std::string name = "R-10" + std::to_string(round) + unit;
      items.push_back({name, "{\"index\":{\"_id\":\"" + name + "\"}}\n{\"unit\":\"" + name +
                                 "\",\"result\":\"passed\"}\n"});
    }
    {
      // A burst of others' traffic: one place is left at the holders, and none for 2.2 s.
      const std::lock_guard lock(mutex);
      full_until = trouble ? now_ms() + 2200 : -1;
      place_taken = false;
    }
    send_bulk(search, key, {&items[0], &items[1]});
    // Retries: at most 3, each of what was refused (429) or has no answer (504), after the advised wait.
    for (int retry = 0; retry < 3; ++retry) {
      std::vector<Item*> again;
      double wait = 0;
      for (Item& item : items)
        if (item.status == 429 || item.status == 504)
          again.push_back(&item), wait = std::max(wait, item.retry_after_ms);
      if (again.empty()) break;
      sleep_ms(std::clamp(wait, 600.0, 2000.0));
      send_bulk(search, key, again);
    }
    const std::lock_guard lock(mutex);
    for (const Item& item : items) {
      if (item.status != 200 && item.status != 201) continue;
      ++told;
      if (recorded[item.unit] > 0) continue;
      ++missing;
      record("unit %s: the client was told %d, no record node has it  LOST", item.unit.c_str(), item.status);
    }
  }
  finish(missing > 0 ? 1 : 0, std::to_string(missing) + " of " + std::to_string(told) +
                                  " results that the client was told are recorded are at no record node");
}
