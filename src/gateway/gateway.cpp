// SPDX-License-Identifier: MIT
#include "kelpdeal/gateway.h"

#include <sys/signalfd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "kelpdeal/admin_server.h"
#include "kelpdeal/broker.h"
#include "kelpdeal/discovery.h"
#include "kelpdeal/fleet/command.h"
#include "kelpdeal/fleet/fleet.h"
#include "kelpdeal/frame_transport.h"
#include "kelpdeal/http_server.h"
#include "kelpdeal/opensearch_front.h"
#include "kelpdeal/opensearch_transport.h"
#include "kelpdeal/operations/door.h"
#include "kelpdeal/platform_front.h"

namespace kelpdeal {
namespace {

Address needed_address(const std::string& text, const char* field) {
  const auto address = Address::parse(text);
  if (!address) throw ConfigError(std::string("field ") + field + ": not an address: " + text);
  return *address;
}

Limits agreed(Limits limits, const std::optional<FrontContract>& contract) {
  if (contract && contract->frame_bytes > 0) limits.frame_bytes = contract->frame_bytes;
  if (contract && contract->list_bytes > 0) limits.list_bytes = contract->list_bytes;
  return limits;
}

// Signals as input of the scheduler.
class Signals : private ReadinessHandler {
 public:
  Signals(Scheduler& scheduler, std::function<void(int)> action)
      : scheduler_(scheduler), action_(std::move(action)) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    descriptor_ = Descriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    scheduler_.watch(descriptor_.get(), EPOLLIN, *this);
  }
  ~Signals() override { scheduler_.unwatch(descriptor_.get(), *this); }

 private:
  void on_ready(std::uint32_t) override {
    signalfd_siginfo info{};
    while (::read(descriptor_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
      action_(static_cast<int>(info.ssi_signo));
  }
  Scheduler& scheduler_;
  std::function<void(int)> action_;
  Descriptor descriptor_;
};

}  // namespace

struct Gateway::Parts {
  Parts(Scheduler& scheduler, const Config& config, const std::optional<FrontContract>& contract,
        const std::optional<fleet::FleetFile>& fleet_file)
      : scheduler(scheduler),
        limits(agreed(config.limits, contract)),
        metrics(config.limits.log_every),
        broker(scheduler, config, metrics),
        transport(make_transport(contract)),
        discovery(scheduler, needed_address(config.discovery, "discovery"), limits, metrics, config.seed,
                  broker),
        front(broker, config.limits, metrics),
        server(scheduler, needed_address(config.listen, "listen"), config.limits, metrics, front,
               Descriptor(config.passed_socket)),
        handover(config.handover) {
    discovery.start_from(config.known.version);
    if (!handover.empty()) take_handover();
    broker.start(*transport, discovery, config.known);
    discovery.start();
    if (contract) {
      search_front.emplace(scheduler, broker, *contract, config.limits, config.seed, metrics);
      search_server.emplace(scheduler, needed_address(contract->listen, "front file: listen"), config.limits,
                            metrics, *search_front);
    }
    if (!config.admin.empty())
      admin.emplace(scheduler, needed_address(config.admin, "admin_addr"), limits, metrics,
                    [this](std::string line) { return answer(std::move(line)); });
    if (fleet_file)
      fleet = std::make_unique<fleet::Fleet>(
          scheduler, *fleet_file, limits, metrics, config.seed,
          fleet::Coordinator{
              [this](std::string_view node) { return broker.known(node); },
              [this](const NodeNames& out) {
                fleet_out = out;
                hold_out();
              },
              [this](const std::string& node, std::int64_t boot_ms) { broker.advise(node, boot_ms); }});
    if (fleet) {
      broker.share(static_cast<KeyedOperations&>(*fleet));
      broker.share(static_cast<Beliefs&>(*fleet));
      if (search_front) {
        fleet->take_teams(contract->teams);
        search_front->share(static_cast<SharedRates&>(*fleet));
        search_front->share(static_cast<search::SharedCursors&>(*fleet));
      }
    }
  }

  // Out by hand: at this coordinator's own door, or over the whole fleet.
  using NodeNames = std::set<std::string, std::less<>>;
  void hold_out() {
    NodeNames out = door.out();
    out.insert(fleet_out.begin(), fleet_out.end());
    broker.hold_out(out);
  }

  Task<std::string> answer(std::string line) { co_return call(line); }

  // One call at the operators' door, and its answer line.
  std::string call(std::string_view line) {
    std::string problem;
    const auto command = operations::parse_command(line, problem);
    if (!command) {
      metrics.count("admin.bad");
      metrics.log("admin", "a call that cannot be read: " + problem);
      return operations::failure(problem);
    }
    // Guards against a change made at the other process of an upgrade in the last moments being written over.
    if (!handover.empty()) refresh_handover();
    operations::Facts facts;
    facts.started = true;
    facts.stopping = stopping;
    facts.listed = !command->node.empty() && broker.known(command->node);
    const operations::Verdict verdict = door.decide(*command, facts, Clock::now());
    metrics.count(verdict.success ? "admin.success" : "admin.failure");
    if (verdict.bans_changed) {
      hold_out();
      save_handover();
      metrics.log("hand", verdict.text + "; out by hand: " + std::to_string(door.out().size()));
    }
    if (verdict.presence_changed) {
      metrics.log("leave", door.leaving() ? "LEAVE: clients are sent away" : "JOIN: clients are taken again");
      front.set_ready(!door.leaving());
      for (HttpServer* each : {&server, search_server ? &*search_server : nullptr}) {
        if (!each) continue;
        if (door.leaving())
          each->leave(door.close_from());
        else
          each->join();
      }
    }
    return verdict.line();
  }

  // What the other process of an upgrade has said of nodes out by hand, also before this one started; looked
  // at again and again.
  void take_handover() {
    refresh_handover();
    handover_timer = scheduler.in(limits.handover_every, [this] { take_handover(); });
  }

  void refresh_handover() {
    std::ifstream in(handover, std::ios::binary);
    if (!in) return;
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (text == handover_seen || !door.restore(text)) return;
    handover_seen = text;
    hold_out();
    metrics.log("hand", "taken over: out by hand: " + std::to_string(door.out().size()));
  }

  void save_handover() {
    // Without a door in the configuration nobody takes over: calls come from the embedding program alone.
    if (handover.empty()) return;
    const std::string text = door.saved();
    const std::string temporary = handover + ".new";
    {
      std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
      out << text;
      if (!out) return metrics.log("hand", "cannot write " + temporary);
    }
    if (std::rename(temporary.c_str(), handover.c_str()) != 0)
      return metrics.log("hand", "cannot replace " + handover);
    handover_seen = text;
  }

  std::unique_ptr<NodeTransport> make_transport(const std::optional<FrontContract>& contract) {
    if (contract && contract->opensearch_nodes)
      return std::make_unique<OpenSearchTransport>(scheduler, limits, metrics, broker);
    return std::make_unique<FrameTransport>(scheduler, limits, metrics, broker);
  }

  void look_whether_drained(TimePoint last) {
    const bool done = server.drained() && (!search_server || search_server->drained());
    if (done || Clock::now() >= last) return scheduler.stop();
    drain_timer = scheduler.in(Milliseconds(10), [this, last] { look_whether_drained(last); });
  }

  Scheduler& scheduler;
  const Limits limits;
  Metrics metrics;
  Broker broker;
  std::unique_ptr<NodeTransport> transport;
  DiscoveryClient discovery;
  PlatformFront front;
  HttpServer server;
  std::optional<OpenSearchFront> search_front;
  std::optional<HttpServer> search_server;
  operations::Door door{operations::DoorLimits{limits.admin_out, limits.leave_close}};
  const std::string handover;
  std::string handover_seen;
  bool stopping = false;
  std::optional<AdminServer> admin;
  NodeNames fleet_out;
  std::unique_ptr<fleet::Fleet> fleet;
  Timer drain_timer, finish_timer, handover_timer;
};

Gateway::Gateway(Scheduler& scheduler, const Config& config, const std::optional<FrontContract>& contract,
                 const std::optional<fleet::FleetFile>& fleet)
    : parts_(std::make_unique<Parts>(scheduler, config, contract, fleet)) {
  scheduler.on_failure = [this](std::exception_ptr failure) {
    // Guards against one request's fault ending all the others.
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& e) {
      parts_->metrics.log("fault", e.what());
    }
  };
}

Gateway::~Gateway() {
  // Guards against a suspended task that still refers to the parts as they go.
  parts_->scheduler.destroy_tasks();
  parts_->scheduler.on_failure = nullptr;
}

std::string Gateway::address() const { return parts_->server.address().text(); }

std::string Gateway::admin_address() const {
  return parts_->admin ? parts_->admin->address().text() : std::string();
}

std::string Gateway::peers_address() const {
  return parts_->fleet ? parts_->fleet->peers_address() : std::string();
}

std::string Gateway::fleet_address() const {
  return parts_->fleet ? parts_->fleet->admin_address() : std::string();
}

std::string Gateway::search_address() const {
  return parts_->search_server ? parts_->search_server->address().text() : std::string();
}

const Metrics& Gateway::metrics() const { return parts_->metrics; }

std::string Gateway::operate(std::string_view line) { return parts_->call(line); }

void Gateway::drain() {
  if (parts_->stopping) return;  // told twice: the time that it has runs from the first word
  parts_->metrics.log("drain", "SIGTERM: finishing what was taken");
  parts_->stopping = true;
  if (parts_->fleet) parts_->fleet->leave();
  parts_->front.mark_draining();
  parts_->server.drain();
  if (parts_->search_server) parts_->search_server->drain();
  const TimePoint now = Clock::now();
  // Guards against a request taken late in the drain that a kill would find without its answer.
  parts_->finish_timer = parts_->scheduler.in(parts_->limits.drain_accept, [parts = parts_.get(), now] {
    parts->broker.finish_by(now + parts->limits.drain_end);
  });
  parts_->look_whether_drained(now + parts_->limits.drain_most);
}

void Gateway::reload(const std::function<Config()>& read) {
  try {
    const Config config = read();
    const Address address = needed_address(config.discovery, "discovery");
    const bool moves = address.text() != parts_->discovery.address().text();
    parts_->metrics.count("reloads");
    parts_->metrics.log("reload",
                        moves ? "discovery moves to " + address.text() : "discovery stays where it is");
    if (moves) parts_->discovery.move_to(address);
  } catch (const std::exception& e) {
    // Guards against a bad file that ends a coordinator in service.
    parts_->metrics.count("reloads_failed");
    parts_->metrics.log("config", std::string("the old configuration stays: ") + e.what());
  }
}

int run_program(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a disk that takes no more is an error of the write, not the end
  try {
    if (argc > 1 && std::string_view(argv[1]) == "fleet") return fleet::run_command(argc - 1, argv + 1);
    std::string front_file, fleet_file;
    for (int i = 1; i < argc; i += 2) {
      std::string* file = std::string_view(argv[i]) == "--front"   ? &front_file
                          : std::string_view(argv[i]) == "--fleet" ? &fleet_file
                                                                   : nullptr;
      if (!file || !file->empty() || i + 1 >= argc || !*argv[i + 1])
        throw ConfigError("usage: kelpdeal [--front FILE] [--fleet FILE], or kelpdeal fleet --help");
      *file = argv[i + 1];
    }
    const auto read_config = [] {
      return load_config([](const char* name) {
        const char* value = std::getenv(name);
        return std::string(value ? value : "");
      });
    };
    const Config config = read_config();
    std::optional<FrontContract> contract;
    if (!front_file.empty()) contract = load_front_contract(front_file, config.settings);
    std::optional<fleet::FleetFile> fleet;
    if (!fleet_file.empty()) fleet = fleet::read_fleet_file(fleet_file, config.name);
    const std::string name = config.name;
    auto scheduler = std::make_unique<Scheduler>();
    std::unique_ptr<Gateway> gateway;
    const Signals signals(*scheduler, [&](int signal) {
      if (signal == SIGUSR1)
        std::fprintf(stderr, "%s", gateway->metrics().text().c_str());
      else if (signal == SIGHUP)
        gateway->reload(read_config);
      else
        gateway->drain();
    });
    gateway = std::make_unique<Gateway>(*scheduler, config, contract, fleet);
    std::fprintf(stderr, "kelpdeal start: %s serves on %s\n", name.c_str(), gateway->address().c_str());
    if (contract) std::fprintf(stderr, "kelpdeal start: searches on %s\n", gateway->search_address().c_str());
    if (!config.admin.empty())
      std::fprintf(stderr, "kelpdeal start: operators' door on %s\n", gateway->admin_address().c_str());
    if (fleet)
      std::fprintf(stderr, "kelpdeal start: %s in the fleet: links on %s, operators on %s\n",
                   fleet->name.c_str(), gateway->peers_address().c_str(), gateway->fleet_address().c_str());
    scheduler->run();
    std::fprintf(stderr, "%skelpdeal stop: %s ends\n", gateway->metrics().text().c_str(), name.c_str());
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "kelpdeal: %s\n", e.what());
    return 1;
  }
}

}  // namespace kelpdeal
