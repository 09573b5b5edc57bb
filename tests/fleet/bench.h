// SPDX-License-Identifier: MIT
// The fault bench: several processes of the program as one fleet, with a relay on every directed pair between
// them that loses, delays, doubles, swaps, damages or cuts, and signals that freeze and kill. All of it runs
// on the test's one scheduler, so one clock sees everything.
#pragma once

#include <filesystem>
#include <random>

#include "../program.h"

namespace kelpdeal::test {

// What a relay does to the messages of one direction.
struct Faults {
  double lose = 0, twice = 0, swap = 0, damage = 0;  // shares of messages
  Duration delay{}, jitter{};
  bool cut = false;
};

// From one member to another: connections are taken here and passed on to where the other listens now.
class Relay {
 public:
  Relay(Scheduler& scheduler, std::uint64_t seed);
  Faults faults;
  std::optional<Address> target;
  std::size_t passed = 0, lost = 0;
  Address address() const { return listener_.address(); }

 private:
  Task<void> accept_all();
  Task<void> forth(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to);
  Task<void> back(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to);
  Task<void> serve(std::shared_ptr<Stream> from);
  bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
  Scheduler& scheduler_;
  std::mt19937_64 random_;
  Listener listener_;
};

// One member as the operators' calls show it.
struct Shown {
  std::string digest, out;
  std::map<std::string, std::string> states;  // by member
  std::set<std::string> ready;
  bool answered = false;
};

class FleetBench {
 public:
  // `folders`: each member keeps its copy on disk. `extra`: further lines of the fleet's file.
  FleetBench(std::string name, int members, bool folders, std::string extra = {},
             ClusterOptions options = {});
  ~FleetBench();

  TestCluster world;
  const int size;
  std::map<int, std::string> extras;  // further lines of one member's file
  std::string front_file;             // the text of a second front's contract; empty: none
  Relay& relay(int from, int to) { return *relays_[static_cast<std::size_t>(from * size + to)]; }
  void cut(const std::set<int>& side, bool cut);  // between those and the rest, both ways
  void heal();
  void start(int member);
  // All of them, and once they have found each other, the steps.
  void run(std::function<Task<void>()> steps, Duration most = std::chrono::seconds(60));
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

  // One call; empty if no answer came in time.
  Task<std::string> call(int member, std::string line, Duration within = std::chrono::seconds(2));
  Task<Shown> shown(int member);
  // A number of STATE, by its path ("counters.fleet.keys_claimed" is one name below "counters"); -1 if it is
  // not there.
  Task<double> state(int member, std::string group, std::string name);
  // Until it holds; fails the test after `most`.
  Task<void> until(std::function<Task<bool>()> holds, const char* what,
                   Duration most = std::chrono::seconds(20));
  // All members of `who` answer with one digest, and see each other as alive and ready.
  Task<bool> together(std::set<int> who);
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
