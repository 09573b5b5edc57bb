// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/calls.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <map>

#include "kelpdeal/json.h"
#include "kelpdeal/operations/command.h"

namespace kelpdeal::fleet {
namespace {

constexpr std::array<const char*, 7> kEntryKindNames = {"bans",    "operations",  "accounts", "beliefs",
                                                        "cleared", "generations", "foreign"};

json::Value to_json_number(std::uint64_t number) { return static_cast<std::int64_t>(number); }

}  // namespace

const char* name_of(membership::State state) {
  switch (state) {
    case membership::State::alive:
      return "alive";
    case membership::State::suspect:
      return "suspect";
    case membership::State::dead:
      return "dead";
    case membership::State::left:
      return "left";
  }
  return "?";
}

std::optional<Call> parse_call(std::string_view line, std::string& problem) {
  const std::size_t begin = std::min(line.find_first_not_of(" \t"), line.size());
  const std::size_t end = std::min(line.find_first_of(" \t", begin), line.size());
  std::string name(line.substr(begin, end - begin));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  Call call;
  using Kind = Call::Kind;
  if (name == "OFFLINE" || name == "ONLINE") {
    const auto command = operations::parse_command(line, problem);
    if (!command) return std::nullopt;
    call.kind = name == "OFFLINE" ? Kind::offline : Kind::online;
    call.node = command->node;
    return call;
  }
  if (name == "MEMBERS") {
    call.kind = Kind::members;
  } else if (name == "DIGEST") {
    call.kind = Kind::digest;
  } else if (name == "OUT") {
    call.kind = Kind::out;
  } else if (name == "STATE") {
    call.kind = Kind::state;
  } else {
    problem = name.empty() ? "empty call" : "unknown call";
    return std::nullopt;
  }
  if (line.find_first_not_of(" \t", end) != std::string_view::npos) {
    problem = "takes no argument";
    return std::nullopt;
  }
  return call;
}

std::string members_json(const Member& member, TimePoint now) {
  json::Array rows;
  for (const MemberRow& row : member.rows(now))
    rows.push_back(json::Object{{"name", row.name},
                                {"state", name_of(row.state)},
                                {"incarnation", to_json_number(row.incarnation)},
                                {"lag_ms", to_json_number(row.lag_ms)},
                                {"ready", row.ready}});
  return json::write(std::move(rows));
}

std::string digest_json(const Member& member) {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(member.entries().digest()));
  return json::write(json::Object{{"digest", hex}, {"entries", to_json_number(member.entries().size())}});
}

std::string out_json(const Member& member) {
  json::Array ids;
  for (const std::string& id : member.banned_nodes()) ids.push_back(id);
  return json::write(std::move(ids));
}

std::string state_json(const Member& member, const std::vector<peers::Links::Traffic>& traffic,
                       const Metrics& metrics, Duration loop_delay, TimePoint now) {
  std::array<std::uint64_t, kEntryKindNames.size()> counts{};
  for (const auto& [kind, count] : member.entries().counts())
    counts[std::min<std::size_t>(kind, counts.size() - 1)] += count;
  json::Object entries;
  std::uint64_t rounds = 0;
  for (const auto& [name, number] : member.missed_collections()) rounds += number;
  for (std::size_t i = 0; i < counts.size(); ++i)
    entries.emplace_back(kEntryKindNames[i], to_json_number(counts[i]));
  std::map<std::string, replica::Syncer::Lag> lags;
  for (replica::Syncer::Lag& lag : member.syncer().lags()) lags[lag.partner] = std::move(lag);
  json::Array links;
  for (const peers::Links::Traffic& link : traffic) {
    json::Object row{{"peer", link.peer},
                     {"up", link.up},
                     {"queued", to_json_number(link.queued)},
                     {"bytes_sent", to_json_number(link.bytes_sent)},
                     {"bytes_received", to_json_number(link.bytes_received)}};
    if (const auto lag = lags.find(link.peer); lag != lags.end()) {
      row.emplace_back("behind_here", to_json_number(lag->second.behind_here));
      row.emplace_back("behind_there", to_json_number(lag->second.behind_there));
    }
    links.push_back(std::move(row));
  }
  json::Object counters;
  for (const auto& [name, value] : metrics.all())
    if (name.starts_with("fleet.") || name.starts_with("peers."))
      counters.emplace_back(name, to_json_number(value));
  return json::write(
      json::Object{{"entries", std::move(entries)},
                   {"ready", member.ready(now)},
                   {"lag_ms", to_json_number(member.lag_ms(now))},
                   {"behind", to_json_number(member.syncer().lag())},
                   {"unshared", to_json_number(member.unshared())},
                   {"doubt", to_json_number(static_cast<std::uint64_t>(member.local_health_score()))},
                   {"rounds", to_json_number(rounds)},
                   {"differing", to_json_number(member.syncer().mismatch_count())},
                   {"forgotten", to_json_number(member.syncer().resync_count())},
                   {"late_ms", FractionalMs(loop_delay).count()},
                   {"links", std::move(links)},
                   {"counters", std::move(counters)}});
}

}  // namespace kelpdeal::fleet
