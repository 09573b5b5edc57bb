// SPDX-License-Identifier: MIT
// `kelpdeal_fleet_exporter --listen ADDRESS --at ADDRESS ...`: serves the fleet metrics of coordinators to
// Prometheus at /metrics. A separate process, so that a coordinator needs neither the library nor a listener
// for it: on each scrape it makes the calls MEMBERS, DIGEST and STATE.
#include <prometheus/collectable.h>
#include <prometheus/exposer.h>
#include <prometheus/metric_family.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "kelpdeal/fleet/command.h"
#include "kelpdeal/json.h"

namespace {

using namespace kelpdeal;
using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr std::string_view kSuccess = "SUCCESS ";
constexpr int kSignals[] = {SIGINT, SIGTERM};

// Metric families by name, so that all members' samples of one name are grouped.
class Samples {
 public:
  void add(const std::string& name, const char* help, MetricType type,
           std::vector<ClientMetric::Label> labels, double value) {
    MetricFamily& family = families_[name];
    family.name = name;
    family.help = help;
    family.type = type;
    ClientMetric sample;
    sample.label = std::move(labels);
    (type == MetricType::Counter ? sample.counter.value : sample.gauge.value) = value;
    family.metric.push_back(std::move(sample));
  }
  std::vector<MetricFamily> take() {
    std::vector<MetricFamily> all;
    for (auto& [name, family] : families_) all.push_back(std::move(family));
    return all;
  }

 private:
  std::map<std::string, MetricFamily> families_;
};

double number_of(const json::Value* value) {
  if (!value) return 0;
  if (const bool* flag = value->boolean()) return *flag ? 1 : 0;
  const double* number = value->number();
  return number ? *number : 0;
}

std::optional<json::Value> call_json(const Address& at, const std::string& line) {
  const std::string answer = fleet::call_member(at, line);
  if (!answer.starts_with(kSuccess)) return std::nullopt;
  std::string error;
  return json::parse(answer.substr(kSuccess.size()), error);
}

void add_state_samples(const std::string& member, const json::Value& state, Samples& samples) {
  const auto gauge = [&](const char* name, const char* help, const json::Value* value) {
    samples.add(name, help, MetricType::Gauge, {{"member", member}}, number_of(value));
  };
  gauge("kelpdeal_fleet_ready", "Whether it has what the fleet holds.", state.find("ready"));
  gauge("kelpdeal_fleet_lag_milliseconds", "For how long its copy has been behind.", state.find("lag_ms"));
  gauge("kelpdeal_fleet_doubt", "Doubt of itself, 0 is none.", state.find("doubt"));
  gauge("kelpdeal_fleet_unshared", "Changes that most are not known to hold.", state.find("unshared"));
  if (const json::Value* entries = state.find("entries"); entries && entries->object())
    for (const auto& [kind, count] : *entries->object())
      samples.add("kelpdeal_fleet_entries", "Entries held in common.", MetricType::Gauge,
                  {{"member", member}, {"kind", kind}}, number_of(&count));
  samples.add("kelpdeal_fleet_differing_total", "Copies found to differ by their digests, and joined.",
              MetricType::Counter, {{"member", member}}, number_of(state.find("differing")));
  if (const json::Value* links = state.find("links"); links && links->array())
    for (const json::Value& link : *links->array()) {
      const json::Value* peer = link.find("peer");
      const std::vector<ClientMetric::Label> labels{{"member", member},
                                                    {"peer", peer && peer->string() ? *peer->string() : ""}};
      samples.add("kelpdeal_fleet_link_up", "Whether the link to that peer is up.", MetricType::Gauge, labels,
                  number_of(link.find("up")));
      samples.add("kelpdeal_fleet_link_sent_bytes_total", "Sent to that peer.", MetricType::Counter, labels,
                  number_of(link.find("bytes_sent")));
      samples.add("kelpdeal_fleet_link_received_bytes_total", "Received from that peer.", MetricType::Counter,
                  labels, number_of(link.find("bytes_received")));
      if (const json::Value* behind = link.find("behind_here"))
        samples.add("kelpdeal_fleet_behind_changes", "Changes of that peer not taken here.",
                    MetricType::Gauge, labels, number_of(behind));
    }
  if (const json::Value* counters = state.find("counters"); counters && counters->object())
    for (const auto& [name, value] : *counters->object())
      samples.add("kelpdeal_events_total", "The coordinator's counters of its fleet and links, by name.",
                  MetricType::Counter, {{"member", member}, {"event", name}}, number_of(&value));
}

class FleetCollector : public prometheus::Collectable {
 public:
  explicit FleetCollector(std::vector<Address> members) : members_(std::move(members)) {}
  std::vector<MetricFamily> Collect() const override {
    Samples samples;
    for (const Address& at : members_) {
      const auto state = call_json(at, "STATE"), rows = call_json(at, "MEMBERS");
      const bool answers = state && rows && rows->array();
      samples.add("kelpdeal_fleet_answers", "Whether the member answers at that address.", MetricType::Gauge,
                  {{"at", at.text()}}, answers ? 1 : 0);
      if (!answers) continue;
      add_state_samples(at.text(), *state, samples);
      for (const json::Value& row : *rows->array()) {
        const json::Value *name = row.find("name"), *is = row.find("state");
        if (name && name->string() && is && is->string())
          samples.add("kelpdeal_fleet_member", "1 for the state in which the member sees that one.",
                      MetricType::Gauge,
                      {{"member", at.text()}, {"peer", *name->string()}, {"state", *is->string()}}, 1);
      }
    }
    return samples.take();
  }

 private:
  const std::vector<Address> members_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Serves the fleet metrics of coordinators to Prometheus at /metrics."};
  std::string listen = "127.0.0.1:9464";
  std::vector<std::string> at;
  app.add_option("--listen", listen, "address to serve /metrics on, default 127.0.0.1:9464");
  app.add_option("--at", at, "operators' address of a fleet member, one or more")->required();
  CLI11_PARSE(app, argc, argv);
  std::vector<Address> members;
  for (const std::string& text : at) {
    const auto address = Address::parse(text);
    if (!address) return std::fprintf(stderr, "--at: invalid address: %s\n", text.c_str()), 2;
    members.push_back(*address);
  }
  try {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : kSignals) sigaddset(&set, signal);
    // Before the server's threads start, which inherit the mask.
    sigprocmask(SIG_BLOCK, &set, nullptr);
    prometheus::Exposer exposer(listen, 1);
    const auto fleet = std::make_shared<FleetCollector>(std::move(members));
    exposer.RegisterCollectable(fleet);
    std::fprintf(stderr, "kelpdeal fleet exporter: listening on %s, port %d\n", listen.c_str(),
                 exposer.GetListeningPorts().front());
    int signal = 0;
    sigwait(&set, &signal);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "kelpdeal fleet exporter: --listen %s: %s\n", listen.c_str(), e.what());
    return 1;
  }
}
