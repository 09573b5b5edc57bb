// SPDX-License-Identifier: MIT
// One call of the search API, as routed.
#pragma once

#include <string>
#include <utility>

#include "kelpdeal/opensearch_front.h"

namespace kelpdeal {
namespace opensearch {

struct Call {
  const http::Request& http;
  TimePoint received;
  std::string pattern, index, id, name, team, opaque;
  search::Parameters parameters{};
  bool single = true;  // not one of many in a request
  // Whatever was not asked for by now is unknown.
  void reject_unknown_parameters() const { parameters.reject_unknown(http.path()); }
};

// The body as JSON, or null if there is none. Throws ApiError.
json::Value read_body(Call& call, const json::Bounds& bounds);
std::int64_t wall_ms();
// "a,b" or ["a","b"] to "a,b".
std::string joined(const json::Value& value);
// Writes Raw values out and reads them again, so that all can be looked at.
json::Value plain(const json::Value& value);

// An entry of the task list for what runs for a call.
search::TaskRegistry::Entry task_entry(const Call& call, const char* action, std::string what,
                                       std::function<void()> cancel = {});

// Tells `inner` when the client leaves, for as long as this lives.
class CallerLink {
 public:
  CallerLink(Caller& client, Caller& inner) : client_(client) {
    client_.on_leave = [&inner] { inner.leave(); };
    if (client_.gone()) inner.leave();
  }
  ~CallerLink() { client_.on_leave = nullptr; }
  CallerLink(const CallerLink&) = delete;
  CallerLink& operator=(const CallerLink&) = delete;

 private:
  Caller& client_;
};

// The callers of a request of many items: each hears that the client left, or that all were cancelled.
class ItemCallers {
 public:
  ItemCallers(Caller& client, std::size_t count) : each_(count), linked_(client, whole_) {
    whole_.on_leave = [this] {
      for (Caller& one : each_) one.leave();
    };
    if (whole_.gone()) whole_.on_leave();
  }
  Caller& operator[](std::size_t i) { return each_[i]; }
  bool gone() const { return whole_.gone(); }
  void leave() { whole_.leave(); }

 private:
  std::vector<Caller> each_;
  Caller whole_;
  const CallerLink linked_;
};

}  // namespace opensearch

struct OpenSearchFront::Handler {
  opensearch::Route route;
  Method method;
};

}  // namespace kelpdeal
