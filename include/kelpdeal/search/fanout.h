// SPDX-License-Identifier: MIT
// Limits how many items of multi-item requests (multi-search, bulk) are in flight at once, so that they do
// not starve other requests, and decides when remaining items are refused without being tried. Decisions
// only, no I/O.
#pragma once

#include <cstddef>
#include <set>

#include "kelpdeal/time.h"

namespace kelpdeal::search {

// Changes to other requests' windows can allow a request to start items, without a notification: it looks
// again after this time at the latest.
constexpr Milliseconds kFanoutPollInterval{20};

class FanoutLimiter {
 public:
  struct Bounds {
    std::size_t max_total = 48;        // items in flight over all multi-item requests
    std::size_t max_per_request = 16;  // items in flight of one of them
  };
  explicit FanoutLimiter(Bounds bounds) : bounds_(bounds), limit_(static_cast<double>(bounds.max_total)) {}

  // Records how a single request ended that ran beside multi-item requests. Single requests take precedence:
  // the total limit is reduced when one of them is refused or takes more than a fifth of its latency target,
  // and grows again as items are accepted (multiplicative decrease, additive increase).
  void record_single_request(bool refused, Duration took, Duration latency_target, TimePoint now);
  // The current limit on items in flight over all multi-item requests.
  std::size_t limit() const { return limit_ < 1 ? 1 : static_cast<std::size_t>(limit_); }

  // The limiter of one multi-item request; it lives as long as the request. Its window is its fair share of
  // the total limit, halved by each refusal that reports an overloaded coordinator or node, and increased by
  // one for each window of accepted items (additive increase, multiplicative decrease).
  class RequestLimiter {
   public:
    // `max_concurrent`: the limit that the request itself states; 0 for none.
    RequestLimiter(FanoutLimiter& fanout, std::size_t max_concurrent);
    ~RequestLimiter();
    RequestLimiter(const RequestLimiter&) = delete;
    RequestLimiter& operator=(const RequestLimiter&) = delete;

    bool can_start() const;
    // Each item that starts must be reported with on_started() and later on_ended().
    void on_started();
    void on_ended();
    // Reports an item that was not refused.
    void on_accepted();
    // Reports a refused item. `retry_after`: the delay that the refusal stated.
    void on_refused(TimePoint now, Duration retry_after);
    // After several consecutive refusals, items that have not started are refused at once with this delay
    // until it has passed: trying them would only add to the overload. Zero if there is no such delay.
    Duration backoff_remaining(TimePoint now) const;
    std::size_t in_flight() const { return in_flight_; }
    std::size_t window() const;

   private:
    FanoutLimiter& fanout_;
    const std::size_t max_in_flight_;
    double window_;
    std::size_t in_flight_ = 0, consecutive_refusals_ = 0;
    TimePoint last_reduction_{}, backoff_until_{};
  };

 private:
  std::size_t fair_share() const;
  const Bounds bounds_;
  std::set<const RequestLimiter*> limiters_;
  std::size_t in_flight_ = 0;
  double limit_;
  TimePoint last_reduction_{};
};

// The outcome of one bulk item, with the status and error type that its client receives.
struct ItemOutcome {
  enum class Kind { done, refused, unknown, rejected } kind = Kind::done;
  int status = 201;
  const char* type = "";
};
// With none of the flags set, the item may have run: it is reported as unknown.
ItemOutcome item_outcome(bool answered, bool refused, bool rejected);

}  // namespace kelpdeal::search
