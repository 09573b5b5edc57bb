// SPDX-License-Identifier: MIT
#include "kelpdeal/gateway.h"

#include <malloc.h>
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
#include "kelpdeal/operations/admin_controller.h"
#include "kelpdeal/platform_front.h"

namespace kelpdeal {
namespace {

Address require_address(const std::string& text, const char* field) {
  const auto address = Address::parse(text);
  if (!address) throw ConfigError(std::string("field ") + field + ": not an address: " + text);
  return *address;
}

Limits apply_contract_limits(Limits limits, const std::optional<FrontContract>& contract) {
  if (contract && contract->max_frame_bytes > 0) limits.max_frame_bytes = contract->max_frame_bytes;
  if (contract && contract->max_node_list_bytes > 0)
    limits.max_node_list_bytes = contract->max_node_list_bytes;
  limits.fit_messages_to_memory();
  return limits;
}

// Makes the allocator return what is freed: large blocks at once, small ones when the heap is trimmed.
void configure_allocator() {
  constexpr int kLargeBlockBytes = 64 * 1024, kTrimBytes = 256 * 1024;
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  ::mallopt(M_TOP_PAD, kLargeBlockBytes);
}

std::string describe(const admission::Refusal& refusal) {
  return std::string(admission::name_of(refusal.use)) + ": " + std::to_string(refusal.requested) +
         " bytes refused, " + std::to_string(refusal.held) + " of " + std::to_string(refusal.bound) +
         " held" + (refusal.reason == admission::RefusalReason::large_share_full ? " by large holders" : "");
}

// Delivers signals through the scheduler.
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

struct Gateway::Components {
  Components(Scheduler& scheduler, const Config& config, const std::optional<FrontContract>& contract,
             const std::optional<fleet::FleetFile>& fleet_file)
      : scheduler(scheduler),
        limits(apply_contract_limits(config.limits, contract)),
        metrics(config.limits.log_interval),
        memory(limits.memory),
        broker(scheduler, config, metrics, memory),
        transport(make_transport(contract)),
        discovery(scheduler, require_address(config.discovery, "discovery"), limits, metrics, memory,
                  config.seed, broker),
        front(broker, config.limits, metrics),
        server(scheduler, require_address(config.listen, "listen"), config.limits, metrics, memory, front,
               Descriptor(config.passed_socket)),
        handover_path(config.handover_path) {
    memory.on_refusal = [this](const admission::Refusal& refusal) {
      metrics.count(std::string("memory.refused_") + admission::counter_of(refusal.use));
      metrics.log("memory", describe(refusal));
    };
    maintain_memory();
    discovery.set_known_version(config.known_nodes.version);
    if (!handover_path.empty()) poll_handover();
    broker.start(*transport, discovery, config.known_nodes);
    discovery.start();
    if (contract) {
      search_front.emplace(scheduler, broker, *contract, config.limits, config.seed, metrics, memory);
      search_server.emplace(scheduler, require_address(contract->listen, "front file: listen"), config.limits,
                            metrics, memory, *search_front);
    }
    if (!config.admin_address.empty())
      admin.emplace(scheduler, require_address(config.admin_address, "admin_addr"), limits, metrics,
                    [this](std::string line) { return run_command_async(std::move(line)); });
    if (fleet_file)
      fleet = std::make_unique<fleet::Fleet>(
          scheduler, *fleet_file, limits, metrics, config.seed,
          fleet::CoordinatorHooks{
              [this](std::string_view node) { return broker.has_node(node); },
              [this](const NodeNames& offline) {
                fleet_offline = offline;
                update_offline_nodes();
              },
              [this](const std::string& node, std::int64_t boot_ms) { broker.suspect_node(node, boot_ms); }},
          &memory);
    if (fleet) {
      broker.set_keyed_operations(*fleet);
      broker.set_health_exchange(*fleet);
      if (search_front) {
        fleet->set_teams(contract->teams);
        search_front->share(static_cast<SharedRateLimits&>(*fleet));
        search_front->share(static_cast<search::SharedCursors&>(*fleet));
      }
    }
  }

  // Nodes that operators have taken offline: on this coordinator alone or in the whole fleet.
  using NodeNames = std::set<std::string, std::less<>>;
  void update_offline_nodes() {
    NodeNames offline = admin_controller.offline_nodes();
    offline.insert(fleet_offline.begin(), fleet_offline.end());
    broker.set_offline_nodes(offline);
  }

  Task<std::string> run_command_async(std::string line) { co_return run_command(line); }

  // Executes one operator command and returns its answer line.
  std::string run_command(std::string_view line) {
    std::string error;
    const auto command = operations::parse_command(line, error);
    if (!command) {
      metrics.count("admin.bad");
      metrics.log("admin", "invalid command: " + error);
      return operations::failure(error);
    }
    // Load the latest changes first, so that those just made by the other process of an upgrade are not
    // overwritten.
    if (!handover_path.empty()) load_handover();
    operations::ProcessState state;
    state.started = true;
    state.stopping = stopping;
    state.node_known = !command->node.empty() && broker.has_node(command->node);
    const operations::CommandResult result = admin_controller.execute(*command, state, Clock::now());
    metrics.count(result.success ? "admin.success" : "admin.failure");
    if (result.offline_changed) {
      update_offline_nodes();
      save_handover();
      metrics.log("hand", result.text +
                              "; nodes offline: " + std::to_string(admin_controller.offline_nodes().size()));
    }
    if (result.leaving_changed) {
      metrics.log("leave", admin_controller.leaving() ? "LEAVE: directing clients to other coordinators"
                                                      : "JOIN: accepting clients again");
      front.set_ready(!admin_controller.leaving());
      for (HttpServer* http_server : {&server, search_server ? &*search_server : nullptr}) {
        if (!http_server) continue;
        if (admin_controller.leaving())
          http_server->leave(admin_controller.close_connections_from());
        else
          http_server->join();
      }
    }
    return result.line();
  }

  // Returns freed memory to the system, and updates the counters of what is held.
  void maintain_memory() {
    if (memory.released_bytes() - trimmed_at_bytes >= limits.memory_trim_bytes) {
      trimmed_at_bytes = memory.released_bytes();
      ::malloc_trim(0);
    }
    const struct mallinfo2 heap = ::mallinfo2();
    metrics.raise("memory.peak_heap_used", heap.uordblks + heap.hblkhd);
    metrics.raise("memory.peak_heap_free", heap.fordblks);
    for (std::size_t i = 0; i < admission::kUseCount; ++i) {
      const auto use = static_cast<admission::Use>(i);
      metrics.raise(std::string("memory.peak_") + admission::counter_of(use), memory.peak(use));
    }
    memory_timer = scheduler.in(limits.memory_trim_interval, [this] { maintain_memory(); });
  }

  // Periodically loads the set of offline nodes that the other process of an upgrade has saved, also before
  // this one started.
  void poll_handover() {
    load_handover();
    handover_timer = scheduler.in(limits.handover_poll_interval, [this] { poll_handover(); });
  }

  void load_handover() {
    std::ifstream in(handover_path, std::ios::binary);
    if (!in) return;
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (text == handover_text || !admin_controller.restore(text)) return;
    handover_text = text;
    update_offline_nodes();
    metrics.log("hand", "loaded from the other process; nodes offline: " +
                            std::to_string(admin_controller.offline_nodes().size()));
  }

  void save_handover() {
    // Without an operator interface there is no hand-over: commands come only from the embedding program.
    if (handover_path.empty()) return;
    const std::string text = admin_controller.serialize();
    const std::string temporary = handover_path + ".new";
    {
      std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
      out << text;
      if (!out) return metrics.log("hand", "cannot write " + temporary);
    }
    if (std::rename(temporary.c_str(), handover_path.c_str()) != 0)
      return metrics.log("hand", "cannot replace " + handover_path);
    handover_text = text;
  }

  std::unique_ptr<NodeTransport> make_transport(const std::optional<FrontContract>& contract) {
    if (contract && contract->opensearch_nodes)
      return std::make_unique<OpenSearchTransport>(scheduler, limits, metrics, memory, broker);
    return std::make_unique<FrameTransport>(scheduler, limits, metrics, memory, broker);
  }

  void stop_when_drained(TimePoint deadline) {
    const bool done = server.drained() && (!search_server || search_server->drained());
    if (done || Clock::now() >= deadline) return scheduler.stop();
    drain_timer = scheduler.in(Milliseconds(10), [this, deadline] { stop_when_drained(deadline); });
  }

  Scheduler& scheduler;
  const Limits limits;
  Metrics metrics;
  admission::MemoryAccount memory;
  std::uint64_t trimmed_at_bytes = 0;
  Broker broker;
  std::unique_ptr<NodeTransport> transport;
  DiscoveryClient discovery;
  PlatformFront front;
  HttpServer server;
  std::optional<OpenSearchFront> search_front;
  std::optional<HttpServer> search_server;
  operations::AdminController admin_controller{
      operations::AdminLimits{limits.max_offline_nodes, limits.leave_close_delay}};
  const std::string handover_path;
  std::string handover_text;
  bool stopping = false;
  std::optional<AdminServer> admin;
  NodeNames fleet_offline;
  std::unique_ptr<fleet::Fleet> fleet;
  Timer drain_timer, finish_timer, handover_timer, memory_timer;
};

Gateway::Gateway(Scheduler& scheduler, const Config& config, const std::optional<FrontContract>& contract,
                 const std::optional<fleet::FleetFile>& fleet)
    : components_(std::make_unique<Components>(scheduler, config, contract, fleet)) {
  scheduler.on_failure = [this](std::exception_ptr failure) {
    // Log the exception, so that a fault in one request does not end the others.
    try {
      std::rethrow_exception(std::move(failure));
    } catch (const std::exception& e) {
      components_->metrics.log("fault", e.what());
    }
  };
  scheduler.on_slow_turn(components_->limits.measured_turn_threshold, [this](Duration took) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(took).count();
    components_->metrics.raise("loop.longest_turn_us", static_cast<std::uint64_t>(us));
    if (took <= components_->limits.slow_turn_threshold) return;
    const auto ms = std::chrono::duration_cast<Milliseconds>(took).count();
    components_->metrics.log("loop", "one turn of the event loop took " + std::to_string(ms) + " ms");
  });
}

Gateway::~Gateway() {
  // End suspended tasks before the components they refer to are destroyed.
  components_->scheduler.destroy_tasks();
  components_->scheduler.on_failure = nullptr;
  components_->scheduler.on_slow_turn({}, nullptr);
}

std::string Gateway::address() const { return components_->server.address().text(); }

std::string Gateway::admin_address() const {
  return components_->admin ? components_->admin->address().text() : std::string();
}

std::string Gateway::peers_address() const {
  return components_->fleet ? components_->fleet->peers_address() : std::string();
}

std::string Gateway::fleet_address() const {
  return components_->fleet ? components_->fleet->admin_address() : std::string();
}

std::string Gateway::search_address() const {
  return components_->search_server ? components_->search_server->address().text() : std::string();
}

const Metrics& Gateway::metrics() const { return components_->metrics; }

std::string Gateway::run_operator_command(std::string_view line) { return components_->run_command(line); }

void Gateway::drain() {
  if (components_->stopping) return;  // a repeated signal does not extend the drain time
  components_->metrics.log("drain", "SIGTERM: finishing the accepted requests");
  components_->stopping = true;
  if (components_->fleet) components_->fleet->leave();
  components_->front.mark_draining();
  components_->server.drain();
  if (components_->search_server) components_->search_server->drain();
  const TimePoint now = Clock::now();
  // Requests accepted late in the drain must be answered before the platform kills the process.
  components_->finish_timer = components_->scheduler.in(
      components_->limits.drain_accept_period, [components = components_.get(), now] {
        components->broker.limit_expiry(now + components->limits.drain_answer_deadline);
      });
  components_->stop_when_drained(now + components_->limits.max_drain_time);
}

void Gateway::reload(const std::function<Config()>& read) {
  try {
    const Config config = read();
    const Address address = require_address(config.discovery, "discovery");
    const bool address_changed = address.text() != components_->discovery.address().text();
    components_->metrics.count("reloads");
    components_->metrics.log(
        "reload", address_changed ? "discovery moves to " + address.text() : "discovery address unchanged");
    if (address_changed) components_->discovery.change_address(address);
  } catch (const std::exception& e) {
    // An invalid file must not stop a running coordinator.
    components_->metrics.count("reloads_failed");
    components_->metrics.log("config", std::string("the old configuration stays: ") + e.what());
  }
}

int run_program(int argc, char** argv) {
  configure_allocator();
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit fails instead of ending the process
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
    if (!config.admin_address.empty())
      std::fprintf(stderr, "kelpdeal start: operator interface on %s\n", gateway->admin_address().c_str());
    if (fleet)
      std::fprintf(stderr, "kelpdeal start: %s in the fleet: links on %s, operators on %s\n",
                   fleet->name.c_str(), gateway->peers_address().c_str(), gateway->fleet_address().c_str());
    scheduler->run();
    std::fprintf(stderr, "%skelpdeal stop: %s stopped\n", gateway->metrics().text().c_str(), name.c_str());
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "kelpdeal: %s\n", e.what());
    return 1;
  }
}

}  // namespace kelpdeal
