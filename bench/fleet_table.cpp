// SPDX-License-Identifier: MIT
// Simulates a fleet of complete members in virtual time: the time from an operator's call until all members
// have the change, and the bytes sent per member, by fleet size. Usage: `kelpdeal_fleet_table [MEMBERS ...]`.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "kelpdeal/fleet/member.h"
#include "kelpdeal/peers/codec.h"
#include "kelpdeal/peers/envelope.h"

namespace {

using namespace kelpdeal;
using namespace std::chrono_literals;
using fleet::Member;

// Other members listed in each member's file, for fleets of more than 10.
constexpr std::size_t kListedMembers = 3;
constexpr std::int64_t kWallClockStartMs = 1'800'000'000'000;

class FleetSimulation {
 public:
  FleetSimulation(int size, std::uint64_t seed) : random_(seed) {
    std::string problem;
    keys_ = peers::Keys::parse(std::string(64, 'a'), problem);
    for (int i = 0; i < size; ++i) {
      std::vector<std::string> listed;
      for (int offset = 1;
           offset < size && (size <= 10 || static_cast<std::size_t>(offset) <= kListedMembers); ++offset)
        listed.push_back(name((i + offset) % size));
      members_.push_back(std::make_unique<Member>(name(i), 100 + static_cast<std::uint64_t>(i), listed,
                                                  fleet::MemberBounds{}, random_()));
    }
    for (int i = 0; i < size; ++i) {
      send(i, members_[static_cast<std::size_t>(i)]->start(now));
      tick(i);
    }
  }
  void run(Duration span) {
    const TimePoint end = now + span;
    while (!events_.empty() && events_.begin()->first <= end) run_next_event();
    now = end;
  }
  // The time until all members have the change; at most one minute.
  Duration time_until_all_have(int at, const std::string& node) {
    const TimePoint start = now;
    if (!member(at).offline(node, true).success) std::abort();
    std::size_t members_without = members_.size();
    while (now - start < 1min) {
      run_next_event();
      members_without =
          static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& one) {
            return !one->entries().find({0, node});
          }));
      if (members_without == 0) return now - start;
    }
    return 1min;
  }
  Member& member(int i) { return *members_[static_cast<std::size_t>(i)]; }
  int random_below(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
  TimePoint now{1h};
  std::uint64_t bytes = 0, messages = 0;

 private:
  static std::string name(int i) { return "m" + std::to_string(i); }
  void run_next_event() {
    now = events_.begin()->first;
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  void tick(int i) {
    const auto wall = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
    send(i, member(i).tick(now, kWallClockStartMs + wall));
    events_.emplace(now + 50ms, [this, i] { tick(i); });
  }
  void send(int from, std::vector<fleet::Outgoing> out) {
    for (fleet::Outgoing& one : out) {
      peers::Envelope envelope;
      envelope.from = name(from);
      envelope.to = one.to;
      envelope.from_incarnation = envelope.to_incarnation = envelope.number = 1 << 20;
      const auto* message = std::get_if<membership::Message>(&one.body);
      envelope.body = message ? peers::encode(*message) : peers::encode(std::get<replica::Delta>(one.body));
      bytes += peers::seal(envelope, *keys_).size();
      ++messages;
      const int to = std::atoi(one.to.c_str() + 1);
      events_.emplace(
          now + Milliseconds(1) + std::chrono::microseconds(random_below(1000)),
          [this, from, to, one = std::move(one)] {
            if (const auto* message = std::get_if<membership::Message>(&one.body))
              send(to, member(to).handle_message(name(from), *message, now));
            else
              send(to, member(to).handle_message(name(from), std::get<replica::Delta>(one.body), now));
          });
    }
  }
  std::mt19937_64 random_;
  std::optional<peers::Keys> keys_;
  std::vector<std::unique_ptr<Member>> members_;
  std::multimap<TimePoint, std::function<void()>> events_;
};

void print_row(int size) {
  FleetSimulation simulation(size, 7);
  simulation.run(90s);
  simulation.bytes = simulation.messages = 0;
  simulation.run(30s);
  const auto per_member_and_second = [&](std::uint64_t sum) { return static_cast<double>(sum) / 30 / size; };
  const double idle = per_member_and_second(simulation.bytes),
               messages = per_member_and_second(simulation.messages);
  const int calls = size > 100 ? 40 : 200;
  std::vector<double> times_ms;
  for (int i = 0; i < calls; ++i) {
    times_ms.push_back(
        FractionalMs(simulation.time_until_all_have(simulation.random_below(size), "s" + std::to_string(i)))
            .count());
    simulation.run(Milliseconds(simulation.random_below(300)));
  }
  simulation.run(10s);
  simulation.bytes = 0;
  for (int i = 0; i < 300; ++i) {  // ten changes a second in the whole fleet
    simulation.member(simulation.random_below(size)).offline("t" + std::to_string(i), true);
    simulation.run(100ms);
  }
  std::sort(times_ms.begin(), times_ms.end());
  std::printf("| %d | %.0f | %.0f | %.1f | %.0f | %.0f |\n", size, times_ms[times_ms.size() / 2],
              times_ms[times_ms.size() * 99 / 100], messages, idle, per_member_and_second(simulation.bytes));
}

}  // namespace

int main(int argc, char** argv) {
  std::printf(
      "| members | held by all, ms, p50 | p99 | messages a member and second, idle | bytes, idle | bytes,"
      " ten words a second |\n| --- | --- | --- | --- | --- | --- |\n");
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {3, 7, 30, 100, 300};
  for (const int size : sizes) print_row(std::max(size, 1));
}
