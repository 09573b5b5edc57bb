// SPDX-License-Identifier: MIT
#include "kelpdeal/discovery.h"

namespace kelpdeal {

DiscoveryClient::DiscoveryClient(Scheduler& scheduler, Address address, const Limits& limits,
                                 Metrics& metrics, std::uint64_t seed, DirectorySink& sink)
    : scheduler_(scheduler),
      address_(address),
      limits_(limits),
      metrics_(metrics),
      sink_(sink),
      pace_(limits.pace, seed) {
  pace_.start(Clock::now());
}

void DiscoveryClient::start() {
  if (!limits_.pace.pushed) return;
  // Guards against versions of a saved list that the agent does not know: the whole list costs it nothing.
  anew_ = true;
  begin();
}

void DiscoveryClient::subscribe() {
  if (turn_ == 0) begin();
}

void DiscoveryClient::begin() { scheduler_.spawn(watch(++turn_)); }

void DiscoveryClient::fetch() { scheduler_.spawn(fetch_once()); }

void DiscoveryClient::move_to(Address address) {
  address_ = address;
  anew_ = true;
  kept_ = nullptr;
  // Guards against an answer of the old address that arrives after one of the new.
  for (const std::weak_ptr<Stream>& call : std::exchange(calls_, {}))
    if (const auto stream = call.lock()) stream->cancel();
  pace_.start(Clock::now());
  begin();
}

Task<void> DiscoveryClient::watch(std::uint64_t turn) {
  while (turn == turn_) {
    // Guards against a hundred coordinators that ask in step: the pace says when a new watch begins. One that
    // goes on does so as soon as an answer is in, within 200 ms.
    if (pace_.next() > Clock::now()) co_await scheduler_.sleep_until(pace_.next());
    if (turn != turn_) co_return;
    std::string target = "/api/targets";
    pace_.asked(Clock::now());
    TimePoint deadline = Clock::now() + pace_.slack();
    // Guards against versions of one address told to another: after a move the whole list comes first.
    if (!anew_) {
      const auto wait = std::chrono::duration_cast<Milliseconds>(pace_.wait());
      target += "?index=" + std::to_string(version_) + "&wait=" + std::to_string(wait.count());
      deadline += wait;
    }
    const std::optional<NodeList> list = co_await get(std::move(target), deadline);
    if (turn != turn_) co_return;
    if (!list) {
      pace_.failed(Clock::now());
      // Guards against a list that nobody keeps up: the module asks only where it has to subscribe, and is
      // told of failures only of what it has asked. An agent that is silent is asked on.
      if (limits_.pace.pushed) {
        if (!std::exchange(silent_, true))
          metrics_.log("discovery", "the agent is silent: discovery is down");
        metrics_.count("discovery.silent");
        // Guards against an agent that has begun anew meanwhile, with versions of its own.
        anew_ = true;
        continue;
      }
      // The module is told, and may subscribe again; when the next call leaves is the pace's to say, as what
      // changes meanwhile counts as told whatever becomes of our calls.
      metrics_.log("discovery", "a watch failed");
      sink_.list_failed();
      continue;
    }
    pace_.answered(Clock::now());
    if (std::exchange(silent_, false)) metrics_.log("discovery", "the agent answers again");
    version_ = list->version;
    anew_ = false;
    metrics_.count("discovery.answers");
    sink_.listed(*list);
  }
}

Task<void> DiscoveryClient::fetch_once() {
  std::string target = "/api/targets";
  const Address asked = address_;
  const std::optional<NodeList> list = co_await get(std::move(target), Clock::now() + pace_.slack());
  if (asked.text() != address_.text()) co_return;  // the list of the new address is on its way
  if (!list) {
    metrics_.log("discovery", "a call for the whole list failed");
    sink_.list_failed();
    co_return;
  }
  version_ = list->version;
  metrics_.count("discovery.answers");
  sink_.listed(*list);
}

Task<std::optional<NodeList>> DiscoveryClient::get(std::string target, TimePoint deadline) {
  metrics_.count("discovery.calls");
  http::Request request;
  request.method = "GET";
  request.target = std::move(target);
  request.headers.fields = {{"Host", address_.text()}};
  const std::string bytes = http::write(request);

  const Address to = address_;
  std::shared_ptr<Stream> stream = std::exchange(kept_, nullptr);
  // Guards against a kept connection that discovery has closed meanwhile.
  if (stream && stream->has_input()) stream = nullptr;
  if (!stream) stream = co_await connect(scheduler_, to, Clock::now() + limits_.connects.timeout);
  if (!stream || to.text() != address_.text()) co_return std::nullopt;
  std::erase_if(calls_, [](const std::weak_ptr<Stream>& call) { return call.expired(); });
  calls_.push_back(stream);
  if ((co_await stream->write_all(bytes, deadline)).status != IoStatus::ok) co_return std::nullopt;

  http::Bounds bounds = limits_.http;
  bounds.body = limits_.list_bytes;
  http::Parser<http::Response> parser(bounds);
  std::vector<char> chunk(limits_.read_chunk);
  http::State state = http::State::more;
  while (state == http::State::more) {
    const IoResult got = co_await stream->read_some(chunk, deadline);
    if (got.status == IoStatus::end_of_stream && parser.finish_at_eof()) {
      state = http::State::done;
    } else if (got.status != IoStatus::ok) {
      co_return std::nullopt;
    } else {
      parser.feed({chunk.data(), got.bytes});
      state = parser.advance();
    }
  }
  if (state == http::State::bad) {
    metrics_.log("discovery", "an answer could not be read: " + parser.problem());
    co_return std::nullopt;
  }
  const http::Response response = parser.take();
  if (response.keeps_alive() && to.text() == address_.text()) kept_ = stream;
  if (response.status != 200) co_return std::nullopt;
  std::string error;
  const auto value = json::parse(response.body, error, limits_.json);
  try {
    if (value) co_return parse_node_list(*value);
  } catch (const ConfigError& e) {
    error = e.what();
  }
  metrics_.log("discovery", "an answer could not be read: " + error);
  co_return std::nullopt;
}

}  // namespace kelpdeal
