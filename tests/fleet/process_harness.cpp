// SPDX-License-Identifier: MIT
#include "process_harness.h"

namespace kelpdeal::test {

using namespace std::chrono_literals;

Relay::Relay(Scheduler& scheduler, std::uint64_t seed)
    : scheduler_(scheduler), random_(seed), listener_(scheduler, *Address::parse("127.0.0.1:0"), 16) {
  scheduler_.spawn(accept_all());
}

Task<void> Relay::accept_all() {
  while (auto stream = co_await listener_.accept()) scheduler_.spawn(relay_connection(std::move(stream)));
}

Task<void> Relay::relay_connection(std::shared_ptr<Stream> from) {
  if (!target) co_return;
  std::shared_ptr<Stream> to = co_await connect(scheduler_, *target, Clock::now() + 500ms);
  if (!to) co_return;
  scheduler_.spawn(relay_answers(to, from));
  co_await forward_messages(from, to);
  from->cancel();
  to->cancel();
}

// Handles complete messages; each starts with its length.
Task<void> Relay::forward_messages(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to) {
  std::string buffer, kept;
  std::vector<char> chunk(64 * 1024);
  for (;;) {
    while (buffer.size() >= 4) {
      std::size_t size = 0;
      for (int i = 3; i >= 0; --i)
        size = size << 8 | static_cast<unsigned char>(buffer[static_cast<std::size_t>(i)]);
      if (buffer.size() < 4 + size) break;
      std::string message = buffer.substr(0, 4 + size);
      buffer.erase(0, 4 + size);
      if (faults.blocked || occurs(faults.loss_rate)) {
        ++lost;
        continue;
      }
      if (const Duration wait = faults.delay + to_duration(FractionalMs(faults.jitter) *
                                                           std::uniform_real_distribution<>(0, 1)(random_));
          wait > Duration{})
        co_await scheduler_.sleep_until(Clock::now() + wait);
      if (occurs(faults.corruption_rate)) message[4 + random_() % size] ^= 0x10;
      if (occurs(faults.duplicate_rate)) message += message;
      if (kept.empty() && occurs(faults.reorder_rate)) {
        kept = std::move(message);
        continue;
      }
      message += std::exchange(kept, {});
      ++passed;
      if ((co_await to->write_all(message, Clock::now() + 5s)).status != IoStatus::ok) co_return;
    }
    const IoResult got = co_await from->read_some(chunk);
    if (got.status != IoStatus::ok) co_return;
    buffer.append(chunk.data(), got.bytes);
  }
}

Task<void> Relay::relay_answers(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to) {
  std::vector<char> chunk(4096);
  for (;;) {
    const IoResult got = co_await from->read_some(chunk);
    if (got.status != IoStatus::ok) break;
    if (faults.blocked) continue;
    if ((co_await to->write_all({chunk.data(), got.bytes}, Clock::now() + 5s)).status != IoStatus::ok) break;
  }
  to->cancel();
}

FleetHarness::FleetHarness(std::string name, int members, bool folders, std::string extra,
                           ClusterOptions options)
    : world(std::move(options)),
      size(members),
      dir_(testing::TempDir() + "kelpdeal-fleet-" + name + "-" + std::to_string(::getpid())),
      extra_(std::move(extra)),
      folders_(folders) {
  std::filesystem::remove_all(dir_);
  std::filesystem::create_directories(dir_);
  std::ofstream(dir_ + "/fleet.key") << std::string(64, 'b') << "\n";
  for (int i = 0; i < size; ++i) names_.push_back(name_of(i));
  for (int i = 0; i < size * size; ++i)
    relays_.push_back(std::make_unique<Relay>(world.scheduler, 1000 + static_cast<std::uint64_t>(i)));
  programs_.resize(static_cast<std::size_t>(size));
  fronts_.resize(programs_.size());
  searches_.resize(programs_.size());
  links_.resize(programs_.size());
  admins_.resize(programs_.size());
}

FleetHarness::~FleetHarness() {
  stop_all();
  world.scheduler.destroy_tasks();
  std::filesystem::remove_all(dir_);
}

void FleetHarness::stop_all() {
  for (auto& program : programs_) program = nullptr;
}

void FleetHarness::start(int member) {
  const auto at = static_cast<std::size_t>(member);
  const std::string path = dir_ + "/" + std::to_string(member) + ".conf";
  {
    std::ofstream file(path);
    file << "name = \"" << names_[at] << "\"\nlisten = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n"
         << "key_file = \"fleet.key\"\n";
    if (folders_) file << "folder = \"state" << member << "\"\n";
    file << extra_ << "\n" << extras[member] << "\npeers = [";
    std::set<std::string> named{names_[at]};
    for (int i = 0; i < size; ++i)
      if (named.insert(names_[static_cast<std::size_t>(i)]).second)
        file << " { name = \"" << names_[static_cast<std::size_t>(i)] << "\", address = \""
             << relay(member, i).address().text() << "\" },";
    file << " ]\n";
  }
  std::vector<std::string> arguments{"--fleet", path};
  if (!front_file.empty()) {
    std::ofstream(path + ".front") << front_file;
    arguments.insert(arguments.end(), {"--front", path + ".front"});
  }
  const std::string build = builds.contains(member) ? builds[member] : KELPDEAL_PROGRAM;
  programs_[at] = std::make_unique<Program>(world, world.config_text(), "127.0.0.1:0", arguments,
                                            std::vector<std::string>{}, -1, build.c_str());
  fronts_[at] = programs_[at]->address();
  std::string line = programs_[at]->next_log_line();
  while (!line.empty() && line.find("links on ") == std::string::npos) {
    if (const std::size_t on = line.find("searches on "); on != std::string::npos)
      searches_[at] = line.substr(on + 12);
    line = programs_[at]->next_log_line();
  }
  const std::size_t links = line.find("links on ") + 9, comma = line.find(", operators on ");
  ASSERT_NE(comma, std::string::npos) << line;
  admins_[at] = line.substr(comma + 15);
  links_[at] = *Address::parse(line.substr(links, comma - links));
  for (int i = 0; i < size; ++i) relay(i, member).target = links_[at];
}

void FleetHarness::run(std::function<Task<void>()> steps, Duration max_wait) {
  for (const int member : all()) start(member);
  const auto scenario = [&]() -> Task<void> {
    co_await until([this] { return converged(all()); }, "members find each other");
    co_await steps();
  };
  world.run(scenario(), max_wait);
}

void FleetHarness::partition(const std::set<int>& side, bool blocked) {
  for (int i = 0; i < size; ++i)
    for (int j = 0; j < size; ++j)
      if (side.contains(i) != side.contains(j)) relay(i, j).faults.blocked = blocked;
}

void FleetHarness::heal() {
  for (const auto& relay : relays_) relay->faults = {};
}

std::set<int> FleetHarness::all() const {
  std::set<int> who;
  for (int i = 0; i < size; ++i) who.insert(i);
  return who;
}

Task<std::string> FleetHarness::call(int member, std::string line, Duration within) {
  const TimePoint until = Clock::now() + within;
  const auto stream = co_await connect(world.scheduler, *Address::parse(admin(member)), until);
  if (!stream) co_return std::string();
  line += "\n";
  co_await stream->write_all(line, until);
  std::string answer;
  std::vector<char> chunk(16 * 1024);
  while (!answer.ends_with('\n')) {
    const IoResult got = co_await stream->read_some(chunk, until);
    if (got.status != IoStatus::ok) co_return std::string();
    answer.append(chunk.data(), got.bytes);
  }
  answer.pop_back();
  co_return answer;
}

Task<MemberView> FleetHarness::view_of(int member) {
  MemberView view;
  const std::string members = co_await call(member, "MEMBERS"), digest = co_await call(member, "DIGEST"),
                    out = co_await call(member, "OUT");
  if (!members.starts_with("SUCCESS ") || !digest.starts_with("SUCCESS ") || !out.starts_with("SUCCESS "))
    co_return view;
  std::string error;
  const auto rows = json::parse(members.substr(8), error), value = json::parse(digest.substr(8), error);
  EXPECT_TRUE(rows && rows->array() && value && value->object()) << members << digest;
  for (const json::Value& row : *rows->array()) {
    std::string name, state;
    for (const auto& [key, field] : *row.object()) {
      if (key == "name") name = *field.string();
      if (key == "state") state = *field.string();
      if (key == "ready" && *field.boolean()) view.ready.insert(name);
    }
    view.states[name] = state;
  }
  for (const auto& [key, field] : *value->object())
    if (key == "digest") view.digest = *field.string();
  view.out = out.substr(8);
  view.answered = true;
  co_return view;
}

Task<double> FleetHarness::state(int member, std::string group, std::string name) {
  const std::string answer = co_await call(member, "STATE");
  std::string error;
  const auto value = json::parse(answer.starts_with("SUCCESS ") ? answer.substr(8) : "null", error);
  const json::Value* found = value ? &*value : nullptr;
  if (found && !group.empty()) found = found->find(group);
  if (found) found = found->find(name);
  co_return found && found->number() ? *found->number() : -1;
}

Task<void> FleetHarness::until(std::function<Task<bool>()> condition, const char* what, Duration max_wait) {
  const TimePoint deadline = Clock::now() + max_wait;
  bool met = co_await condition();
  while (!met && Clock::now() < deadline) {
    co_await world.pause(20ms);
    met = co_await condition();
  }
  EXPECT_TRUE(met) << what;
}

Task<bool> FleetHarness::converged(std::set<int> who) {
  std::set<std::string> digests;
  for (const int member : who) {
    const MemberView view = co_await view_of(member);
    if (!view.answered) co_return false;
    digests.insert(view.digest);
    for (const int other : who) {
      const auto state = view.states.find(names_[static_cast<std::size_t>(other)]);
      if (state == view.states.end() || state->second != "alive" || !view.ready.contains(state->first))
        co_return false;
    }
  }
  co_return digests.size() == 1;
}

}  // namespace kelpdeal::test
