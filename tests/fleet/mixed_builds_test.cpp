// SPDX-License-Identifier: MIT
// Processes of two builds side by side: each reads what the other sends, stores and hands over. The second
// build is the program at $KELPDEAL_OTHER_PROGRAM; if that is unset, both are the build under test.
#include "process_harness.h"

namespace kelpdeal::test {
namespace {

using namespace std::chrono_literals;

constexpr const char* kThisBuild = KELPDEAL_PROGRAM;
constexpr Duration kSilentAfterStart = 5500ms;  // a member that has just started grants no claims for 5 s

const char* other_build() {
  const char* path = std::getenv("KELPDEAL_OTHER_PROGRAM");
  return path ? path : kThisBuild;
}

// Four members; those with an odd number run the other build.
void alternate_builds(FleetHarness& fleet, bool swapped = false) {
  for (const int member : fleet.all())
    fleet.builds[member] = (member % 2 == 1) != swapped ? other_build() : kThisBuild;
}

Task<void> expect_bans(FleetHarness& fleet, std::string bans) {
  const auto equal = [&]() -> Task<bool> {
    for (const int member : fleet.all())
      if (co_await fleet.call(member, "OUT") != "SUCCESS " + bans) co_return false;
    co_return true;
  };
  co_await fleet.until(equal, bans.c_str());
}

Task<void> expect_call(FleetHarness& fleet, int member, std::string line, std::string answer) {
  EXPECT_EQ(co_await fleet.call(member, line), answer) << "member " << member << ": " << line;
}

TEST(MixedBuilds, BanOfOneBuildIsLiftedByTheOther) {
  FleetHarness fleet("mixed-bans", 4, false);
  alternate_builds(fleet);
  fleet.run([&]() -> Task<void> {
    co_await expect_call(fleet, 0, "OFFLINE n0", "SUCCESS out n0");
    co_await expect_call(fleet, 1, "OFFLINE n1", "SUCCESS out n1");
    co_await expect_bans(fleet, "[\"n0\",\"n1\"]");
    co_await expect_call(fleet, 3, "ONLINE n0", "SUCCESS back n0");
    co_await expect_call(fleet, 2, "ONLINE n1", "SUCCESS back n1");
    co_await expect_bans(fleet, "[]");
    co_await fleet.until([&] { return fleet.converged(fleet.all()); }, "replicas are equal");
  });
}

// A member of each build is away while a ban is placed at a member of the other one.
TEST(MixedBuilds, RestartedMemberCatchesUpFromTheOtherBuild) {
  FleetHarness fleet("mixed-catch-up", 4, true);
  alternate_builds(fleet);
  fleet.run([&]() -> Task<void> {
    for (const int away : {2, 3}) {
      const int placed_at = away == 2 ? 1 : 0;
      fleet.kill(away);
      co_await expect_call(fleet, placed_at, "OFFLINE n2", "SUCCESS out n2");
      fleet.start(away);
      co_await expect_bans(fleet, "[\"n2\"]");
      co_await expect_call(fleet, away, "ONLINE n2", "SUCCESS back n2");
      co_await expect_bans(fleet, "[]");
    }
    co_await fleet.until([&] { return fleet.converged(fleet.all()); }, "replicas are equal");
  });
}

// All members stop at once and start as the other build: what is known then comes from the folders alone.
TEST(MixedBuilds, FolderOfOneBuildIsReadByTheOther) {
  FleetHarness fleet("mixed-folders", 4, true);
  alternate_builds(fleet);
  fleet.run([&]() -> Task<void> {
    co_await expect_call(fleet, 0, "OFFLINE n0", "SUCCESS out n0");
    co_await expect_call(fleet, 1, "OFFLINE n2", "SUCCESS out n2");
    co_await expect_call(fleet, 0, "OFFLINE n1", "SUCCESS out n1");
    co_await expect_bans(fleet, "[\"n0\",\"n1\",\"n2\"]");
    co_await expect_call(fleet, 1, "ONLINE n1", "SUCCESS back n1");
    co_await expect_bans(fleet, "[\"n0\",\"n2\"]");
    fleet.stop_all();
    alternate_builds(fleet, true);
    for (const int member : fleet.all()) fleet.start(member);
    co_await expect_bans(fleet, "[\"n0\",\"n2\"]");
    co_await fleet.until([&] { return fleet.converged(fleet.all()); }, "replicas are equal");
  });
}

// One member at a time restarts as the other build, as in a rolling upgrade, until all builds are swapped.
TEST(MixedBuilds, RollingRestartAsOtherBuildKeepsBans) {
  FleetHarness fleet("mixed-rolling", 4, true);
  alternate_builds(fleet);
  fleet.run(
      [&]() -> Task<void> {
        co_await expect_call(fleet, 1, "OFFLINE n1", "SUCCESS out n1");
        co_await expect_bans(fleet, "[\"n1\"]");
        for (const int member : fleet.all()) {
          fleet.signal(member, SIGTERM);
          EXPECT_EQ(fleet.program(member).wait(), 0);
          fleet.builds[member] = member % 2 == 1 ? kThisBuild : other_build();
          fleet.start(member);
          co_await fleet.until([&] { return fleet.converged(fleet.all()); }, "it is a member again");
          co_await expect_bans(fleet, "[\"n1\"]");
        }
      },
      120s);
}

// Record nodes that never answer: all members of both builds together send a part of a keyed operation at
// most as often as the settings allow a single coordinator.
TEST(MixedBuilds, SendCapHoldsAcrossBuilds) {
  FleetHarness fleet("mixed-keys", 4, false);
  alternate_builds(fleet);
  std::map<std::pair<std::string, int>, int> sent;
  for (auto& node : fleet.world.nodes)
    node->on_part = [&](const ReceivedPart& part) {
      if (!part.key.empty()) ++sent[{part.key, part.shard}];
      NodeReply reply;
      reply.kind = NodeReply::Kind::silent;
      return reply;
    };
  const auto ask = [&](int member, std::string key) -> Task<void> {
    co_await fleet.world.send(fleet.front(member), fleet.world.request("inspection-log", "0,1", 500ms, key));
  };
  fleet.run([&]() -> Task<void> {
    co_await fleet.world.pause(std::chrono::duration_cast<Milliseconds>(kSilentAfterStart));
    // Each key goes to members of both builds, and each build is the first to claim one.
    for (const int first : {0, 1})
      for (int i = 0; i < fleet.size; ++i)
        co_await ask((first + i) % fleet.size, "key-" + std::to_string(first));
    EXPECT_FALSE(sent.empty());
    for (const auto& [part, times] : sent) EXPECT_LE(times, 4) << part.first << " " << part.second;
    for (const int member : {0, 1})
      EXPECT_GE(co_await fleet.state(member, "counters", "fleet.keys_claimed"), 1) << "member " << member;
  });
}

// A point in time that one build opened is searched and closed at the other, with the same file of cursor
// keys.
TEST(MixedBuilds, CursorOfOneBuildIsReadAndClearedByTheOther) {
  FleetHarness fleet("mixed-cursors", 4, false);
  alternate_builds(fleet);
  fleet.front_file = R"({"listen":"127.0.0.1:0","node_api":"frames","cursor_keys":"../mixed-cursor.keys",)"
                     R"("indices":{"lifts":{"class":"equipment-search","first_slice":0,"slices":2}}})";
  std::ofstream(testing::TempDir() + "mixed-cursor.keys") << "now " << std::string(64, 'd') << "\n";
  const auto request = [](const char* method, const char* target, json::Object body) {
    http::Request request;
    request.method = method;
    request.target = target;
    request.headers.fields.emplace_back("Content-Type", "application/json");
    request.body = json::write(std::move(body));
    return request;
  };
  fleet.run([&]() -> Task<void> {
    for (const int opener : {0, 1}) {
      const int reader = 1 - opener;
      http::Request opening = request("POST", "/lifts/_search/point_in_time?keep_alive=1m", {});
      const http::Response opened = co_await fleet.world.send(fleet.search(opener), std::move(opening));
      const std::string id = body_of(opened).text_or("pit_id", "");
      EXPECT_FALSE(id.empty()) << opened.body;
      const json::Object point{{"id", id}, {"keep_alive", "1m"}}, search{{"pit", point}};
      const json::Object closing{{"pit_id", json::Array{id}}};
      const auto searched = [&](int member) -> Task<int> {
        http::Request again = request("POST", "/_search", search);
        co_return (co_await fleet.world.send(fleet.search(member), std::move(again))).status;
      };
      const int read = co_await searched(reader);
      EXPECT_TRUE(read != 400 && read != 404) << read;
      http::Request close = request("DELETE", "/_search/point_in_time", closing);
      EXPECT_EQ((co_await fleet.world.send(fleet.search(reader), std::move(close))).status, 200);
      const auto cleared = [&]() -> Task<bool> { co_return co_await searched(opener) == 404; };
      co_await fleet.until(cleared, "cleared at the build that opened it");
    }
  });
}

Task<std::string> admin_call(TestCluster& world, std::string address, std::string line) {
  const TimePoint until = Clock::now() + 1s;
  const auto stream = co_await connect(world.scheduler, *Address::parse(address), until);
  if (!stream) co_return std::string();
  co_await stream->write_all(line, until);
  std::string answer;
  std::vector<char> chunk(256);
  while (!answer.ends_with('\n')) {
    const IoResult got = co_await stream->read_some(chunk, until);
    if (got.status != IoStatus::ok) break;
    answer.append(chunk.data(), got.bytes);
  }
  co_return answer;
}

class MixedBuildsUpgrade : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(Directions, MixedBuildsUpgrade, testing::Bool(), [](const auto& info) {
  return info.param ? "ToTheOtherBuild" : "FromTheOtherBuild";
});

// Both processes of an upgrade serve on the socket that is passed as descriptor 4, and share their bans
// through the hand-over file, which also outlives the first process.
TEST_P(MixedBuildsUpgrade, KeepsSocketAndBans) {
  const char* first_build = GetParam() ? kThisBuild : other_build();
  const char* next_build = GetParam() ? other_build() : kThisBuild;
  TestCluster world({});
  const std::string folder = testing::TempDir() + "kelpdeal-mixed-upgrade-" + std::to_string(::getpid());
  std::filesystem::remove_all(folder);
  std::filesystem::create_directory(folder);
  const Descriptor socket = listening_socket();
  const std::string address = local_address(socket.get());
  const std::vector<std::string> environment{"GW_ADMIN_ADDR=127.0.0.1:0", "TMPDIR=" + folder,
                                             "GW_PASSED_SOCKET=4"};
  Program first(world, world.config_text(), address, {}, environment, socket.get(), first_build);
  first.address();
  const std::string first_admin = first.address();
  const auto search = [&]() -> Task<int> {
    http::Request request = world.request("equipment-search", "0,1,2", 1s, "");
    co_return (co_await world.send(address, std::move(request))).status;
  };
  std::optional<Program> next;
  std::string next_admin;
  world.run([&]() -> Task<void> {
    EXPECT_EQ(co_await search(), 200);
    EXPECT_EQ(co_await admin_call(world, first_admin, "OFFLINE n1\n"), "SUCCESS out n1\n");
    next.emplace(world, world.config_text(), address, std::vector<std::string>{}, environment, socket.get(),
                 next_build);
    next->address();
    next_admin = next->address();
    EXPECT_EQ(co_await admin_call(world, next_admin, "OFFLINE n1\n"), "SUCCESS already out n1\n");
    EXPECT_EQ(co_await admin_call(world, next_admin, "OFFLINE n2\n"), "SUCCESS out n2\n");
    EXPECT_EQ(co_await admin_call(world, first_admin, "OFFLINE n2\n"), "SUCCESS already out n2\n");
    EXPECT_EQ(co_await admin_call(world, first_admin, "ONLINE n2\n"), "SUCCESS back n2\n");
    EXPECT_EQ(co_await admin_call(world, next_admin, "ONLINE n2\n"), "SUCCESS was not out n2\n");
  }());
  first.signal(SIGTERM);
  EXPECT_EQ(first.wait(), 0);
  const std::size_t before = world.nodes[1]->received.size();
  world.run([&]() -> Task<void> {
    EXPECT_EQ(co_await search(), 200);
    EXPECT_EQ(world.nodes[1]->received.size(), before);
    EXPECT_EQ(co_await admin_call(world, next_admin, "ONLINE n1\n"), "SUCCESS back n1\n");
  }());
  next->signal(SIGTERM);
  EXPECT_EQ(next->wait(), 0);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace kelpdeal::test
