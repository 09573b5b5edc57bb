// SPDX-License-Identifier: MIT
// Whole members in virtual time: how long from a call until all hold it, and what a member pays for it in
// bytes as they are on the wire, by the fleet's size. `kelpdeal_fleet_table [MEMBERS ...]`.
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

constexpr std::size_t kNamed = 3;  // members that each file names, besides itself, at large sizes
constexpr std::int64_t kWall = 1'800'000'000'000;

class World {
 public:
  World(int size, std::uint64_t seed) : random_(seed) {
    std::string problem;
    keys_ = peers::Keys::parse(std::string(64, 'a'), problem);
    for (int i = 0; i < size; ++i) {
      std::vector<std::string> named;
      for (int step = 1; step < size && (size <= 10 || static_cast<std::size_t>(step) <= kNamed); ++step)
        named.push_back(name((i + step) % size));
      members_.push_back(std::make_unique<Member>(name(i), 100 + static_cast<std::uint64_t>(i), named,
                                                  fleet::MemberBounds{}, random_()));
    }
    for (int i = 0; i < size; ++i) {
      send(i, members_[static_cast<std::size_t>(i)]->start(now));
      tick(i);
    }
  }
  void run(Duration span) {
    const TimePoint end = now + span;
    while (!events_.empty() && events_.begin()->first <= end) step();
    now = end;
  }
  // How long until all hold it; at most a minute.
  Duration held_by_all(int at, const std::string& node) {
    const TimePoint began = now;
    if (!member(at).offline(node, true).success) std::abort();
    std::size_t lacking = members_.size();
    while (now - began < 1min) {
      step();
      lacking =
          static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& one) {
            return !one->entries().find({0, node});
          }));
      if (lacking == 0) return now - began;
    }
    return 1min;
  }
  Member& member(int i) { return *members_[static_cast<std::size_t>(i)]; }
  int draw(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
  TimePoint now{1h};
  std::uint64_t bytes = 0, messages = 0;

 private:
  static std::string name(int i) { return "m" + std::to_string(i); }
  void step() {
    now = events_.begin()->first;
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  void tick(int i) {
    const auto wall = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
    send(i, member(i).tick(now, kWall + wall));
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
      events_.emplace(now + Milliseconds(1) + std::chrono::microseconds(draw(1000)), [this, from, to,
                                                                                      one = std::move(one)] {
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

void table(int size) {
  World world(size, 7);
  world.run(90s);
  world.bytes = world.messages = 0;
  world.run(30s);
  const auto each = [&](std::uint64_t sum) { return static_cast<double>(sum) / 30 / size; };
  const double idle = each(world.bytes), messages = each(world.messages);
  const int calls = size > 100 ? 40 : 200;
  std::vector<double> took;
  for (int i = 0; i < calls; ++i) {
    took.push_back(FractionalMs(world.held_by_all(world.draw(size), "s" + std::to_string(i))).count());
    world.run(Milliseconds(world.draw(300)));
  }
  world.run(10s);
  world.bytes = 0;
  for (int i = 0; i < 300; ++i) {  // ten words a second in the whole fleet
    world.member(world.draw(size)).offline("t" + std::to_string(i), true);
    world.run(100ms);
  }
  std::sort(took.begin(), took.end());
  std::printf("| %d | %.0f | %.0f | %.1f | %.0f | %.0f |\n", size, took[took.size() / 2],
              took[took.size() * 99 / 100], messages, idle, each(world.bytes));
}

}  // namespace

int main(int argc, char** argv) {
  std::printf(
      "| members | held by all, ms, p50 | p99 | messages a member and second, idle | bytes, idle | bytes,"
      " ten words a second |\n| --- | --- | --- | --- | --- | --- |\n");
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {3, 7, 30, 100, 300};
  for (const int size : sizes) table(std::max(size, 1));
}
