// SPDX-License-Identifier: MIT
// How much one request that holds many (a multi-search, a bulk) may have open at once, so that it does not
// starve the others, and which of its items are worth trying after refusals. Decisions only, no I/O.
#pragma once

#include <cstddef>
#include <set>

#include "kelpdeal/time.h"

namespace kelpdeal::search {

class Fanout {
 public:
  struct Bounds {
    std::size_t in_all = 48;      // items open at once over all such requests
    std::size_t of_request = 16;  // ... of one of them
  };
  explicit Fanout(Bounds bounds) : bounds_(bounds), width_(static_cast<double>(bounds.in_all)) {}

  // How a single request went that runs beside those of many items. They give way to it: what they may have
  // open together is cut when singles are refused or take a good part of their aim, and grows back as items
  // go through (the law of congestion windows, with the singles' time as the sign).
  void single_ended(bool refused, Duration took, Duration aim, TimePoint now);
  // Items open at once over all such requests, as it stands.
  std::size_t width() const { return width_ < 1 ? 1 : static_cast<std::size_t>(width_); }

  // One request of many items, for as long as it runs. Its window is its fair share of what may be open, cut
  // in half by each refusal that says that the coordinator or the nodes are full, and grown back by one with
  // each window of items that went through: additive increase, multiplicative decrease.
  class Share {
   public:
    Share(Fanout& fanout, std::size_t asked);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    bool may_start() const;
    void started();
    void ended();
    void went_through();
    // `advice`: when to come back, as the refusal said.
    void refused(TimePoint now, Duration advice);
    // After refusals in a row, items that have not started are refused at once, with the advice, until it is
    // over: trying each would only add to what there is too much of.
    Duration hopeless_for(TimePoint now) const;
    std::size_t open() const { return open_; }
    std::size_t window() const;

   private:
    Fanout& fanout_;
    const std::size_t most_;
    double window_;
    std::size_t open_ = 0, refused_in_row_ = 0;
    TimePoint cut_{}, hopeless_until_{};
  };

 private:
  std::size_t fair() const;
  const Bounds bounds_;
  std::set<const Share*> shares_;
  std::size_t open_ = 0;
  double width_;
  TimePoint narrowed_{};
};

// What came of one item of a bulk, and what its client may do about it.
struct ItemEnd {
  enum class Kind { done, refused, unknown, rejected } kind = Kind::done;
  int status = 201;
  const char* type = "";
};
// `may_have_run`: an attempt was written whole to a node.
ItemEnd item_end(bool answered, bool refused, bool rejected);

}  // namespace kelpdeal::search
