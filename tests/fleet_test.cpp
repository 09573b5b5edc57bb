// SPDX-License-Identifier: MIT
// What many coordinators do together, each a module of its own that learns nothing of the others.
#include <cmath>
#include <numeric>
#include <random>

#include "fixture.h"

using namespace cottonbay;

namespace {
constexpr int kFleet = 100;

Settings fleet_settings() {
  Settings s = make_settings();
  s.coordinators = kFleet;
  s.cold_capacity = 0.32;
  s.warm_up_ms = 18000;
  s.overload_factor = 3;
  s.overload_window_ms = 1000;
  return s;
}
}  // namespace

// A site vanishes without a sign and is back cold: reachable by all at once, it is sent less than the rule
// bears.
TEST(Fleet, AServerBackColdIsNotPushedOverByAllTogether) {
  std::vector<double> sent;  // to it, since it is back, by all
  double known = 0;
  for (int i = 0; i < kFleet; ++i) {
    Host host(fleet_settings(), 1000 + static_cast<std::uint64_t>(i));
    host.list(0, {Host::server(11, 0), Host::server(12, 0)});
    host.warm_up(60, 50);
    for (RequestId id = 10; id < 50; id += 10) host.ask(host.now + 1, id, "whole", 1);  // out at both
    host.settle(Outcome::reset);
    for (int n = 0; n < 4; ++n) {  // it refuses while it starts
      host.feed(host.now + 750);
      host.settle(Outcome::connect_failed);
    }
    host.ask(host.now + 1000, 60, "whole", 1);
    host.ask(host.now, 70, "whole", 1);
    host.settle(Outcome::ok);
    const double back = host.now;
    host.list(back, {Host::server(11, 0, back)}, ListKind::changes);
    const std::size_t before = host.sent.size();
    for (RequestId id = 5000; id < 5400; id += 10) {  // 20 a second, at times of its own
      host.ask(host.now + 30 + (i * 7 + static_cast<int>(id)) % 40, id, "whole", 1);
      host.feed(host.now + 2);
      host.settle(Outcome::ok);
    }
    for (std::size_t n = before; n < host.sent.size(); ++n)
      if (host.sent[n].send.server == 11) sent.push_back(host.sent[n].at - back);
    known += 1000.0 / 55 / 2;  // what each of the two answered to this one, a second
  }
  std::sort(sent.begin(), sent.end());
  std::size_t most = 0;
  for (std::size_t from = 0, to = 0; from < sent.size(); ++from) {
    while (to < sent.size() && sent[to] < sent[from] + 1000) ++to;
    most = std::max(most, to - from);
  }
  EXPECT_LE(static_cast<double>(most), 3 * 0.32 * known);
  EXPECT_GE(most, 100u);  // and it is used
}

// A fleet in virtual time: so many modules, each with queries of its own at a rate of its own, and servers
// that answer after a while. One server starts anew, cold, in the midst of it and its partner leaves just
// then, so that all that is asked of their shards presses on it. How many parts all modules send it within
// any span that the rule names, against the budget N that the settings allow at the span's begin.
class ColdStart {
 public:
  // `restarted`: of the modules, so many begin anew as the server does. `quiet`: until the burst, in ms.
  ColdStart(int coordinators, int restarted, double quiet, std::uint64_t seed)
      : mixers_(coordinators), hot_(kBack + quiet), random_(seed) {
    settings_ = in_ring(fleet_settings(), kServers);
    settings_.coordinators = coordinators;
    settings_.max_attempts = 4;
    std::vector<double> weights;
    for (int i = 0; i < coordinators; ++i) weights.push_back(i % 10 == 0 ? 4 : i % 2 ? 0.5 : 1);  // uneven
    const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (int i = 0; i < coordinators; ++i) {
      settings_.coordinator_index = i;
      members_.emplace_back(Host(settings_, seed * 1000 + static_cast<std::uint64_t>(i)));
      members_.back().gap_ms = 2 / (kUsed * kServers * kCapacity * weights[i] / all);
      members_.back().next_ms = members_.back().gap_ms * uniform();
    }
    std::vector<ServerEntry> servers;
    for (int i = 0; i < kServers; ++i) servers.push_back(Host::server(11 + i, i));
    for (Member& member : members_) member.host.list(0, servers);
    play(0, kBack);
    for (int i = 0; i < restarted; ++i) {
      Member& member = members_[static_cast<std::size_t>(coordinators - 1 - i)];
      member.host = Host(settings_, seed * 1000 + 500 + static_cast<std::uint64_t>(i));
      member.answers.clear();
      member.seen = 0;
      member.host.list(kBack, servers, ListKind::saved);
    }
    for (Member& member : members_)
      member.host.list(kBack, {Host::server(12, 1, kBack), Host::server(11, 0, 0, ServerState::draining)},
                       ListKind::changes);
    play(kBack, hot_);
    for (Member& member : members_) member.next_ms = hot_ + 100 * uniform();  // one burst through all
    play(hot_, hot_ + 5500);
  }
  std::size_t sent() const { return to_cold_.size(); }
  // The most that a span holds beyond N + 2 x root of N + 2; 0 or less if none does.
  double over() const {
    double worst = -1e9;
    for (std::size_t from = 0, to = 0; from < to_cold_.size(); ++from) {
      while (to < to_cold_.size() && to_cold_[to] < to_cold_[from] + settings_.overload_window_ms) ++to;
      const double share = settings_.cold_capacity +
                           (1 - settings_.cold_capacity) * (to_cold_[from] - kBack) / settings_.warm_up_ms;
      const double n = settings_.overload_factor * share * kCapacity * settings_.overload_window_ms;
      worst = std::max(worst, static_cast<double>(to - from) - (n + 2 * std::sqrt(n) + 2));
    }
    return worst;
  }

 private:
  static constexpr int kServers = 12;
  static constexpr double kCapacity = 0.016, kUsed = 0.6;  // parts a ms that a warm server answers; in use
  static constexpr double kBack = 8000, kTick = 5, kLatency = 90;
  struct Member {
    explicit Member(Host h) : host(std::move(h)) {}
    Host host;
    double gap_ms = 0, next_ms = 0;
    std::size_t seen = 0;                                      // of what it sent
    std::multimap<double, std::pair<RequestId, int>> answers;  // by when
    RequestId next_id = 10;
  };
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void play(double from, double until) {
    for (double now = from + kTick; now <= until; now += kTick)
      for (Member& member : members_) {
        while (!member.answers.empty() && member.answers.begin()->first <= now) {
          const RequestId part = member.answers.begin()->second.first;
          member.answers.erase(member.answers.begin());
          member.host.ends(now, part, Outcome::ok);
        }
        member.host.feed(now);
        while (member.next_ms <= now) {
          // Two neighbouring shards; those of the cold server in no query for a while after its start, while
          // each module may save up for it, and then in all of them.
          const bool hot = now > hot_;
          const int shard = hot ? 0 : 2 + static_cast<int>(uniform() * (kServers - 3));
          auto events = Host::query(member.next_id, "whole", 2, now + 6000);
          std::get<PartArrived>(events[1]).shard = shard;
          std::get<PartArrived>(events[2]).shard = (shard + 1) % kServers;
          member.next_id += 10;
          member.host.feed(now, events);
          member.next_ms += -std::log(1 - uniform()) * member.gap_ms;
        }
        for (; member.seen < member.host.sent.size(); ++member.seen) {
          const auto& sent = member.host.sent[member.seen];
          if (sent.send.server == 12 && now > kBack) to_cold_.push_back(now);
          member.answers.emplace(now + kLatency * (0.7 + 0.6 * uniform()),
                                 std::pair(sent.send.part, sent.attempt));
        }
      }
  }

  const int mixers_;
  const double hot_;
  std::mt19937_64 random_;
  Settings settings_;
  std::vector<Member> members_;
  std::vector<double> to_cold_;
};

TEST(Fleet, AllTogetherSendAColdServerNoMoreThanItsBudgetBears) {
  for (const int coordinators : {3, 20, 30})
    for (const int restarted : {0, coordinators / 3})
      for (const double quiet : {1000, 2500, 4000})
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
          const ColdStart day(coordinators, restarted, quiet, seed);
          EXPECT_LE(day.over(), 0) << coordinators << " modules, " << restarted << " restarted, burst after "
                                   << quiet << " ms, seed " << seed;
          EXPECT_GE(day.sent(), 20u) << coordinators;  // and it is used
        }
}

// Six in ten are replaced: old ones gone, new ones cold, the list behind. Every part still has a holder.
TEST(Fleet, WhileMostServersAreReplacedEveryShardHasAHolderThatIsAsked) {
  Host host(in_ring(fleet_settings(), 10));
  std::vector<ServerEntry> servers, changes;
  for (int c = 0; c < 10; ++c) servers.push_back(Host::server(100 + static_cast<ServerId>(c), c));
  host.list(0, servers);
  for (RequestId id = 1000; id < 1300; id += 10) {
    host.ask(host.now + 50, id, "whole", 9);
    host.feed(host.now + 50);
    host.settle(Outcome::ok);
  }
  const auto gone = [](ServerId id) { return id >= 104 && id < 110; };
  for (RequestId id = 2000; id < 2100; id += 10) {  // before the list says so
    host.ask(host.now + 300, id, "whole", 9);
    for (int tries = 0; tries < 4; ++tries)
      for (const Host::Sent& sent : std::vector<Host::Sent>(host.sent))
        if (sent.out && gone(sent.send.server)) host.ends(host.now, sent.send.part, Outcome::connect_failed);
    host.feed(host.now + 100);
    host.settle(Outcome::ok);
  }
  for (int c = 4; c < 10; ++c) {
    changes.push_back(Host::server(100 + static_cast<ServerId>(c), c, 0, ServerState::removed));
    changes.push_back(Host::server(200 + static_cast<ServerId>(c), c, host.now));
  }
  const double told = host.now;
  host.list(told, changes, ListKind::changes);
  int whole = 0;
  for (RequestId id = 3000; id < 3300; id += 10) {
    host.ask(host.now + 500, id, "whole", 9);
    for (int i = 0; i < 20 && host.ended(id) == "-"; ++i) {
      host.feed(host.now + 50);
      host.settle(Outcome::ok);
    }
    whole += host.ended(id) == "w";
  }
  EXPECT_GE(whole, 27);  // of 30
  const auto late = [&](const Host::Sent& sent) { return sent.at > told && gone(sent.send.server); };
  EXPECT_EQ(std::count_if(host.sent.begin(), host.sent.end(), late), 0);
}

// Started with an old list: what is gone from it is left when the list comes, what is new is asked.
TEST(Fleet, AnOldListServesUntilTheNewOneComes) {
  Settings s = fleet_settings();
  s.list_on_request = true;
  Host host(s);
  host.list(0, {Host::server(11, 0), Host::server(12, 0)}, ListKind::saved);
  for (RequestId id = 10; id < 100; id += 10) {
    host.ask(host.now + 300, id, "whole", 1);
    if (host.last_server(id + 1) == 11) host.ends(host.now + 1, id + 1, Outcome::connect_failed);
    host.ends(host.now + 50, id + 1, Outcome::ok);
    EXPECT_EQ(host.ended(id), "w");
  }
  EXPECT_LE(host.sent_to(11), 4);  // a connection refused is not tried again at once
  const int before = host.sent_to(11);
  host.list(host.now, {Host::server(12, 0), Host::server(13, 0)}, ListKind::complete);
  for (RequestId id = 200; id < 260; id += 10) host.ask(host.now + 1, id, "whole", 1);
  EXPECT_EQ(host.sent_to(11), before);
  EXPECT_GE(host.sent_to(13), 2);
}
