// SPDX-License-Identifier: MIT
// A harness that runs several processes of the program as one fleet, with a relay on every directed link that
// drops, delays, duplicates, reorders, corrupts or blocks messages, and signals that freeze and kill
// processes. Everything runs on the test's one scheduler, so that all events are seen on one clock.
#pragma once

#include <filesystem>
#include <random>

#include "../program.h"

namespace kelpdeal::test {

// The faults of one direction of a link.
struct Faults {
  double loss_rate = 0, duplicate_rate = 0, reorder_rate = 0, corruption_rate = 0;  // fractions of messages
  Duration delay{}, jitter{};
  bool blocked = false;
};

// Forwards the connections from one member to the current address of another.
class Relay {
 public:
  Relay(Scheduler& scheduler, std::uint64_t seed);
  Faults faults;
  std::optional<Address> target;
  std::size_t passed = 0, lost = 0;
  Address address() const { return listener_.address(); }

 private:
  Task<void> accept_all();
  Task<void> forward_messages(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to);
  Task<void> relay_answers(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to);
  Task<void> relay_connection(std::shared_ptr<Stream> from);
  bool occurs(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
  Scheduler& scheduler_;
  std::mt19937_64 random_;
  Listener listener_;
};

// One member's state as its operators' calls show it.
struct MemberView {
  std::string digest, out;
  std::map<std::string, std::string> states;  // by member
  std::set<std::string> ready;
  bool answered = false;
};

class FleetHarness {
 public:
  // `folders`: each member stores its state on disk. `extra`: additional lines of the fleet file.
  FleetHarness(std::string name, int members, bool folders, std::string extra = {},
               ClusterOptions options = {});
  ~FleetHarness();

  TestCluster world;
  const int size;
  std::map<int, std::string> extras;  // additional lines of one member's file
  std::string front_file;             // the text of a second front's contract; empty: none
  std::map<int, std::string> builds;  // path of the program for members that run another build
  Relay& relay(int from, int to) { return *relays_[static_cast<std::size_t>(from * size + to)]; }
  // Blocks or unblocks both directions between `side` and the rest.
  void partition(const std::set<int>& side, bool blocked);
  void heal();
  void start(int member);
  // Starts all members, waits until they have found each other, then runs the steps.
  void run(std::function<Task<void>()> steps, Duration max_wait = std::chrono::seconds(60));
  void stop_all();
  void signal(int member, int number) { programs_[static_cast<std::size_t>(member)]->signal(number); }
  void kill(int member) { programs_[static_cast<std::size_t>(member)] = nullptr; }
  bool runs(int member) const { return programs_[static_cast<std::size_t>(member)] != nullptr; }
  Program& program(int member) { return *programs_[static_cast<std::size_t>(member)]; }
  std::string front(int member) const { return fronts_[static_cast<std::size_t>(member)]; }
  std::string search(int member) const { return searches_[static_cast<std::size_t>(member)]; }
  std::string admin(int member) const { return admins_[static_cast<std::size_t>(member)]; }
  Address links(int member) const { return links_[static_cast<std::size_t>(member)]; }
  std::string folder(int member) const { return dir_ + "/state" + std::to_string(member); }
  static std::string name_of(int member) { return "m" + std::to_string(member); }
  void use_name(int member, std::string name) { names_[static_cast<std::size_t>(member)] = std::move(name); }

  // Makes one call; empty if no answer arrives in time.
  Task<std::string> call(int member, std::string line, Duration within = std::chrono::seconds(2));
  Task<MemberView> view_of(int member);
  // A number of STATE by its path ("counters" and "fleet.keys_claimed"); -1 if it is missing.
  Task<double> state(int member, std::string group, std::string name);
  // Waits until the condition holds; fails the test after `max_wait`.
  Task<void> until(std::function<Task<bool>()> condition, const char* what,
                   Duration max_wait = std::chrono::seconds(20));
  // Whether all of them answer with the same digest and see each other as alive and ready.
  Task<bool> converged(std::set<int> who);
  std::set<int> all() const;

 private:
  std::string dir_, extra_;
  bool folders_;
  std::vector<std::string> names_, fronts_, searches_, admins_;
  std::vector<Address> links_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<std::unique_ptr<Program>> programs_;
};

}  // namespace kelpdeal::test
