// One bad client sends one unusable template to the search front. The usual clients of the platform's front
// go on asking; each of their queries has to get its final answer in its time.
#include "case.h"

using namespace review;

int main(int argc, char** argv) {
  const bool trouble = begin(argc, argv, 110);
  Discovery discovery;
  Nodes nodes(12, discovery, [](const Part& part) {
    return Reply{'S', 60, "5be2a07c" + std::to_string(part.shard)};
  });
  for (const char* name : {"openapi.json", "asyncapi.json"})
    std::ofstream(folder + "/" + name) << file_text(std::string("deploy/") + name);
  std::ofstream(folder + "/front.json")
      << "{\"listen\":\"127.0.0.1:0\",\"openapi\":\"openapi.json\",\"asyncapi\":\"asyncapi.json\"}";
  Coordinator coordinator("n1", discovery, settings(12, 24), "--front " + folder + "/front.json");
  const std::string search = coordinator.search_address();

  // Ten queries a second for 8 s, each on a connection of its own, given up after 4 s.
  constexpr int kBudgetMs = 4000;
  std::vector<std::thread> clients;
  std::atomic<int> answered{0}, late{0}, never{0};
  std::thread bad;
  for (int i = 0; i < 80; ++i) {
    if (i == 20 && trouble)
      bad = std::thread([&search] {
        // 600 KB, under the front's 1 MB for a body: sections inside sections, and one end too many, so that
        // it cannot be read.
        std::string source;
        for (int k = 0; k < 50'000; ++k) source += "{{#a}}";
        for (int k = 0; k < 50'000; ++k) source += "{{/a}}";
        source += "{{/b}}";
        record("a bad client sends its template, %zu bytes", source.size());
        const Outcome outcome =
            ask(search, http_request("POST", "/_render/template", "{\"source\":\"" + source + "\"}"), 3000);
        record("the bad client got status %d after %.0f ms", outcome.status, outcome.took_ms);
      });
    clients.emplace_back([&, i] {
      const std::string id = unique_id();
      const int first = i % 22;
      const double sent = now_ms();
      const Outcome outcome =
          ask(coordinator.address, query("equipment-search", {first, first + 1, first + 2}, kBudgetMs, id),
              60'000);
      // Half a second after its time it is lost; 50 ms are the sockets' slack.
      const bool in_time = outcome.status != 0 && outcome.took_ms <= kBudgetMs + 550;
      ++(outcome.status == 0 ? never : in_time ? answered : late);
      record("query %d (%s) sent at %.0f: status %d after %.0f ms%s", i, id.c_str(), sent, outcome.status,
             outcome.took_ms, in_time ? "" : "  LOST");
    });
    sleep_ms(100);
  }
  for (std::thread& client : clients) client.join();
  if (bad.joinable()) bad.join();
  if (coordinator.ended()) record("the coordinator has ended by itself: %s", coordinator.log().c_str());
  const std::string text = std::to_string(answered) + " of 80 queries had their final answer in time, " +
                           std::to_string(late) + " too late, " + std::to_string(never) + " never";
  finish(answered == 80 ? 0 : 1, text);
}
