// SPDX-License-Identifier: MIT
// Minimal use of a cottonbay::Balancer: two servers, and one query with a single part.
#include <cstdio>
#include <string>
#include <vector>

#include "cottonbay/balancer.h"

using namespace cottonbay;

int main() {
  Settings settings;
  ClassSettings lookup;
  lookup.name = "lookup";
  lookup.slo_ms = 1000;
  lookup.deadline_ms = 3000;
  lookup.effect = Effect::idempotent;
  lookup.value = 1;
  settings.classes = {lookup};
  settings.tick_ms = 1;
  settings.shards = settings.cells = 1;
  settings.max_attempts = 3;

  std::string error;
  const auto balancer = Balancer::create(settings, 1, error);
  if (!balancer) return std::fprintf(stderr, "%s\n", error.c_str()), 1;

  ServerListReceived list;
  list.kind = ListKind::saved;
  for (ServerId id : {11, 12}) {
    ServerEntry server;
    server.id = id;
    list.servers.push_back(server);
  }
  QueryArrived query;
  query.id = 1;
  query.class_name = "lookup";
  query.expires_ms = 3000;
  query.parts = 1;
  PartArrived part;
  part.id = 2;
  part.weight = 1;

  std::vector<Action> actions;
  if (!balancer->step(0, {list, query, part}, actions, error))
    return std::fprintf(stderr, "%s\n", error.c_str()), 1;
  AttemptEnded attempt_ended;
  attempt_ended.part = 2;
  attempt_ended.outcome = Outcome::ok;
  attempt_ended.elapsed_ms = 80;
  for (const Action& action : actions)
    if (const auto* send = std::get_if<Send>(&action)) {
      std::printf("part %d is sent to server %d\n", static_cast<int>(send->part),
                  static_cast<int>(send->server));
      attempt_ended.server = send->server;
    }
  actions.clear();
  if (!balancer->step(80, {attempt_ended}, actions, error))
    return std::fprintf(stderr, "%s\n", error.c_str()), 1;
  for (const Action& action : actions)
    if (const auto* answer = std::get_if<Answer>(&action)) {
      std::printf("query %d has a %s answer\n", static_cast<int>(answer->query),
                  answer->complete ? "complete" : "partial");
      return 0;
    }
  return std::fprintf(stderr, "no answer\n"), 1;
}
