// SPDX-License-Identifier: MIT
#include "kelpdeal/discovery.h"

namespace kelpdeal {
namespace {

constexpr std::size_t kMaxValuesPerNode = 1'000;  // JSON values in one entry of a list

}  // namespace

DiscoveryClient::DiscoveryClient(Scheduler& scheduler, Address address, const Limits& limits,
                                 Metrics& metrics, admission::MemoryAccount& memory, std::uint64_t seed,
                                 DirectorySink& sink)
    : scheduler_(scheduler),
      address_(address),
      limits_(limits),
      metrics_(metrics),
      memory_(memory),
      sink_(sink),
      schedule_(limits.discovery_schedule, seed) {
  schedule_.start(Clock::now());
}

void DiscoveryClient::start() {
  if (!limits_.discovery_schedule.pushed) return;
  // The agent may not know the version of a saved list; the complete list costs it nothing.
  need_complete_list_ = true;
  start_watch();
}

void DiscoveryClient::subscribe() {
  if (watch_generation_ == 0) start_watch();
}

void DiscoveryClient::start_watch() { scheduler_.spawn(watch(++watch_generation_)); }

void DiscoveryClient::fetch() { scheduler_.spawn(fetch_once()); }

void DiscoveryClient::change_address(Address address) {
  address_ = address;
  need_complete_list_ = true;
  idle_connection_ = nullptr;
  // Cancel outstanding calls: an answer from the old address must not arrive after one from the new address.
  for (const std::weak_ptr<Stream>& call : std::exchange(active_connections_, {}))
    if (const auto stream = call.lock()) stream->cancel();
  schedule_.start(Clock::now());
  start_watch();
}

Task<void> DiscoveryClient::watch(std::uint64_t generation) {
  while (generation == watch_generation_) {
    // The schedule keeps a hundred coordinators from calling in step. A watch that continues does so as soon
    // as an answer has arrived, within 200 ms.
    if (schedule_.next_call() > Clock::now()) co_await scheduler_.sleep_until(schedule_.next_call());
    if (generation != watch_generation_) co_return;
    std::string target = "/api/targets";
    schedule_.call_started(Clock::now());
    TimePoint deadline = Clock::now() + schedule_.watch_slack();
    // Versions are only valid for one address: after an address change the complete list is fetched first.
    if (!need_complete_list_) {
      const auto wait = std::chrono::duration_cast<Milliseconds>(schedule_.watch_wait());
      target += "?index=" + std::to_string(version_) + "&wait=" + std::to_string(wait.count());
      deadline += wait;
    }
    const std::optional<NodeList> list = co_await get(std::move(target), deadline);
    if (generation != watch_generation_) co_return;
    if (!list) {
      schedule_.call_failed(Clock::now());
      // The module subscribes, and is notified of failures, only where lists are not pushed. Keep calling an
      // agent that does not answer, or nobody would update the list.
      if (limits_.discovery_schedule.pushed) {
        if (!std::exchange(agent_failed_, true))
          metrics_.log("discovery", "the agent does not answer; discovery is down");
        metrics_.count("discovery.silent");
        // The agent may have restarted in the meantime, with versions of its own.
        need_complete_list_ = true;
        continue;
      }
      // The module is notified and may subscribe again. The schedule alone determines the time of the next
      // call, because changes in the meantime count as known even if the calls fail.
      metrics_.log("discovery", "watch call failed");
      sink_.list_failed();
      continue;
    }
    schedule_.call_succeeded(Clock::now());
    if (std::exchange(agent_failed_, false)) metrics_.log("discovery", "the agent answers again");
    version_ = list->version;
    need_complete_list_ = false;
    metrics_.count("discovery.answers");
    sink_.nodes_listed(*list);
  }
}

Task<void> DiscoveryClient::fetch_once() {
  std::string target = "/api/targets";
  const Address requested_address = address_;
  const std::optional<NodeList> list =
      co_await get(std::move(target), Clock::now() + schedule_.watch_slack());
  if (requested_address.text() != address_.text()) co_return;  // the list of the new address follows
  if (!list) {
    metrics_.log("discovery", "call for the complete list failed");
    sink_.list_failed();
    co_return;
  }
  version_ = list->version;
  metrics_.count("discovery.answers");
  sink_.nodes_listed(*list);
}

Task<std::optional<NodeList>> DiscoveryClient::get(std::string target, TimePoint deadline) {
  metrics_.count("discovery.calls");
  http::Request request;
  request.method = "GET";
  request.target = std::move(target);
  request.headers.fields = {{"Host", address_.text()}};
  const std::string bytes = http::write(request);

  const Address address = address_;
  std::shared_ptr<Stream> stream = std::exchange(idle_connection_, nullptr);
  // Do not reuse a kept-alive connection that discovery has closed in the meantime.
  if (stream && stream->has_input()) stream = nullptr;
  if (!stream) stream = co_await connect(scheduler_, address, Clock::now() + limits_.connect_pacing.timeout);
  if (!stream || address.text() != address_.text()) co_return std::nullopt;
  std::erase_if(active_connections_, [](const std::weak_ptr<Stream>& call) { return call.expired(); });
  active_connections_.push_back(stream);
  if ((co_await stream->write_all(bytes, deadline)).status != IoStatus::ok) co_return std::nullopt;

  http::Bounds bounds = limits_.http;
  bounds.body = limits_.max_node_list_bytes;
  http::Parser<http::Response> parser(bounds);
  admission::Charge memory(memory_, admission::Use::node_list);
  std::vector<char> chunk(limits_.read_chunk_bytes);
  http::State state = http::State::more;
  while (state == http::State::more) {
    const IoResult result = co_await stream->read_some(chunk, deadline);
    if (result.status == IoStatus::end_of_stream && parser.finish_at_eof()) {
      state = http::State::done;
    } else if (result.status != IoStatus::ok) {
      co_return std::nullopt;
    } else {
      parser.feed({chunk.data(), result.bytes});
      state = parser.advance();
      if (!memory.resize(parser.held_bytes())) {
        metrics_.log("discovery", "no memory for the answer");
        co_return std::nullopt;
      }
    }
  }
  if (state == http::State::bad) {
    metrics_.log("discovery", "invalid answer: " + parser.problem());
    co_return std::nullopt;
  }
  const http::Response response = parser.take();
  if (response.keeps_alive() && address.text() == address_.text()) idle_connection_ = stream;
  if (response.status != 200) co_return std::nullopt;
  try {
    co_return parse_node_list(response.body, {limits_.json.depth, kMaxValuesPerNode}, limits_.max_nodes);
  } catch (const ConfigError& e) {
    metrics_.log("discovery", std::string("invalid answer: ") + e.what());
  }
  co_return std::nullopt;
}

}  // namespace kelpdeal
