// SPDX-License-Identifier: MIT
// How much one request that holds many (a multi-search, a bulk) may have open at once, so that it does not
// starve the others, and which of its items are worth trying after refusals. Decisions only, no I/O.
#pragma once

#include <cstddef>
#include <set>

#include "kelpdeal/time.h"

namespace kelpdeal::search {

class FanoutLimiter {
 public:
  struct Bounds {
    std::size_t max_total = 48;        // items open at once over all such requests
    std::size_t max_per_request = 16;  // ... of one of them
  };
  explicit FanoutLimiter(Bounds bounds) : bounds_(bounds), limit_(static_cast<double>(bounds.max_total)) {}

  // How a single request went that runs beside those of many items. They give way to it: what they may have
  // open together is cut when singles are refused or take a good part of their aim, and grows back as items
  // go through (the law of congestion windows, with the singles' time as the sign).
  void record_single_request(bool refused, Duration took, Duration aim, TimePoint now);
  // Items open at once over all such requests, as it stands.
  std::size_t limit() const { return limit_ < 1 ? 1 : static_cast<std::size_t>(limit_); }

  // One request of many items, for as long as it runs. Its window is its fair share of what may be open, cut
  // in half by each refusal that says that the coordinator or the nodes are full, and grown back by one with
  // each window of items that went through: additive increase, multiplicative decrease.
  class RequestLimiter {
   public:
    RequestLimiter(FanoutLimiter& fanout, std::size_t asked);
    ~RequestLimiter();
    RequestLimiter(const RequestLimiter&) = delete;
    RequestLimiter& operator=(const RequestLimiter&) = delete;

    bool can_start() const;
    void on_started();
    void on_ended();
    void on_accepted();
    // `advice`: when to come back, as the refusal said.
    void on_refused(TimePoint now, Duration advice);
    // After refusals in a row, items that have not started are refused at once, with the advice, until it is
    // over: trying each would only add to what there is too much of.
    Duration backoff_remaining(TimePoint now) const;
    std::size_t in_flight() const { return open_; }
    std::size_t window() const;

   private:
    FanoutLimiter& fanout_;
    const std::size_t most_;
    double window_;
    std::size_t open_ = 0, refused_in_row_ = 0;
    TimePoint cut_{}, hopeless_until_{};
  };

 private:
  std::size_t fair() const;
  const Bounds bounds_;
  std::set<const RequestLimiter*> limiters_;
  std::size_t open_ = 0;
  double limit_;
  TimePoint narrowed_{};
};

// What came of one item of a bulk, and what its client may do about it.
struct ItemOutcome {
  enum class Kind { done, refused, unknown, rejected } kind = Kind::done;
  int status = 201;
  const char* type = "";
};
// `may_have_run`: an attempt was written whole to a node.
ItemOutcome item_outcome(bool answered, bool refused, bool rejected);

}  // namespace kelpdeal::search
