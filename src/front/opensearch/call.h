// SPDX-License-Identifier: MIT
// A routed call of the search API, and helpers shared by its handlers.
#pragma once

#include <string>
#include <utility>

#include "kelpdeal/opensearch_front.h"

namespace kelpdeal {
namespace opensearch {

struct Call {
  const http::Request& http;
  TimePoint received;
  std::string pattern, index, id, name, team, opaque_id;
  search::Parameters parameters{};
  bool is_single = true;  // false for an item of a multi-item request
  // Rejects parameters that no handler has read or accepted.
  void reject_unknown_parameters() const { parameters.reject_unknown(http.path()); }
};

// The body as JSON, or null if it is empty. Throws ApiError.
json::Value read_body(Call& call, const json::Bounds& bounds);
std::int64_t wall_clock_ms();
// Converts "a,b" or ["a","b"] to "a,b".
std::string joined(const json::Value& value);
// Serializes and parses the value again, so that its Raw values can be inspected. Throws ApiError if it holds
// too many values for that.
json::Value without_raw_values(const json::Value& value);

// A task list entry for a call.
search::TaskRegistry::Entry make_task_entry(const Call& call, const char* action, std::string description,
                                            std::function<void()> cancel = {});

// Forwards the client's disconnect to `inner` for the lifetime of this object.
class CallerLink {
 public:
  CallerLink(CancellationToken& client, CancellationToken& inner) : client_(client) {
    client_.on_cancel = [&inner] { inner.cancel(); };
    if (client_.cancelled()) inner.cancel();
  }
  ~CallerLink() { client_.on_cancel = nullptr; }
  CallerLink(const CallerLink&) = delete;
  CallerLink& operator=(const CallerLink&) = delete;

 private:
  CancellationToken& client_;
};

// One caller per item of a multi-item request. All of them are notified when the client disconnects or the
// request is cancelled.
class ItemCallers {
 public:
  ItemCallers(CancellationToken& client, std::size_t count) : item_callers_(count), link_(client, group_) {
    group_.on_cancel = [this] {
      for (CancellationToken& item_caller : item_callers_) item_caller.cancel();
    };
    if (group_.cancelled()) group_.on_cancel();
  }
  CancellationToken& operator[](std::size_t i) { return item_callers_[i]; }
  bool gone() const { return group_.cancelled(); }
  void leave() { group_.cancel(); }

 private:
  std::vector<CancellationToken> item_callers_;
  CancellationToken group_;
  const CallerLink link_;
};

}  // namespace opensearch

struct OpenSearchFront::Handler {
  opensearch::Route route;
  Method method;
};

}  // namespace kelpdeal
