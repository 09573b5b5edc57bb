// SPDX-License-Identifier: MIT
#include "kelpdeal/gateway.h"

#include <sys/signalfd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "kelpdeal/broker.h"
#include "kelpdeal/discovery.h"
#include "kelpdeal/frame_transport.h"
#include "kelpdeal/http_server.h"
#include "kelpdeal/platform_front.h"

namespace kelpdeal {
namespace {

Address needed_address(const std::string& text, const char* field) {
  const auto address = Address::parse(text);
  if (!address) throw ConfigError(std::string("field ") + field + ": not an address: " + text);
  return *address;
}

// Signals as input of the scheduler.
class Signals : private Readiness {
 public:
  Signals(Scheduler& scheduler, std::function<void(int)> action)
      : scheduler_(scheduler), action_(std::move(action)) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1}) sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    descriptor_ = Descriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    scheduler_.watch(descriptor_.get(), EPOLLIN, *this);
  }
  ~Signals() override { scheduler_.unwatch(descriptor_.get(), *this); }

 private:
  void ready(std::uint32_t) override {
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
  Parts(Scheduler& scheduler, const Config& config)
      : scheduler(scheduler),
        limits(config.limits),
        metrics(config.limits.log_every),
        broker(scheduler, config, metrics),
        transport(scheduler, config.limits, metrics, broker),
        discovery(scheduler, needed_address(config.discovery, "discovery"), config.limits, metrics, broker),
        front(broker, config.limits, metrics),
        server(scheduler, needed_address(config.listen, "listen"), config.limits, metrics, front) {
    discovery.start_from(config.known.version);
    broker.start(transport, discovery, config.known);
  }

  void look_whether_drained(TimePoint last) {
    if (server.drained() || Clock::now() >= last) return scheduler.stop();
    drain_timer = scheduler.in(Milliseconds(10), [this, last] { look_whether_drained(last); });
  }

  Scheduler& scheduler;
  const Limits limits;
  Metrics metrics;
  Broker broker;
  FrameTransport transport;
  DiscoveryClient discovery;
  PlatformFront front;
  HttpServer server;
  Timer drain_timer;
};

Gateway::Gateway(Scheduler& scheduler, Config config) : parts_(std::make_unique<Parts>(scheduler, config)) {
  scheduler.on_failure = [this](std::exception_ptr failure) {
    // Guards against one request's fault ending all the others.
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& e) {
      parts_->metrics.log("fault", e.what());
    }
  };
}

Gateway::~Gateway() = default;

const Metrics& Gateway::metrics() const { return parts_->metrics; }

void Gateway::drain() {
  parts_->metrics.log("drain", "SIGTERM: finishing what was taken");
  parts_->front.unready();
  parts_->server.drain();
  parts_->look_whether_drained(Clock::now() + parts_->limits.drain_most);
}

int run_program(int, char**) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Config config = load_config([](const char* name) {
      const char* value = std::getenv(name);
      return std::string(value ? value : "");
    });
    const std::string name = config.name, listen = config.listen;
    auto scheduler = std::make_unique<Scheduler>();
    std::unique_ptr<Gateway> gateway;
    const Signals signals(*scheduler, [&](int signal) {
      if (signal == SIGUSR1)
        std::fprintf(stderr, "%s", gateway->metrics().text().c_str());
      else
        gateway->drain();
    });
    gateway = std::make_unique<Gateway>(*scheduler, std::move(config));
    std::fprintf(stderr, "kelpdeal start: %s serves on %s\n", name.c_str(), listen.c_str());
    scheduler->run();
    std::fprintf(stderr, "%skelpdeal stop: %s ends\n", gateway->metrics().text().c_str(), name.c_str());
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "kelpdeal: %s\n", e.what());
    return 1;
  }
}

}  // namespace kelpdeal
