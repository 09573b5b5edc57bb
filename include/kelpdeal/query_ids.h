// SPDX-License-Identifier: MIT
// The ids that clients give their queries. An id identifies at most one open query.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

#include "kelpdeal/metrics.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

// Tracks the ids of open queries, and of queries that have ended but whose client may still wait. The ids of
// open queries are never forgotten: their number is bounded by the queries that may be open. Of the others at
// most `max_ended` are remembered, those that expire last.
class QueryIds {
 public:
  QueryIds(std::size_t max_ended, Metrics& metrics) : max_ended_(max_ended), metrics_(metrics) {}
  QueryIds(const QueryIds&) = delete;
  QueryIds& operator=(const QueryIds&) = delete;

  // Holds the id of an open query. The query ends when its claim is destroyed; the id then stays in use until
  // the query's expiry.
  class Claim {
   public:
    Claim(QueryIds& ids, std::string id, TimePoint expires)
        : ids_(&ids), id_(std::move(id)), expires_(expires) {}
    Claim(Claim&& other) noexcept
        : ids_(std::exchange(other.ids_, nullptr)), id_(std::move(other.id_)), expires_(other.expires_) {}
    Claim& operator=(Claim&&) = delete;
    ~Claim() {
      if (ids_) ids_->end(id_, expires_);
    }

   private:
    QueryIds* ids_;
    std::string id_;
    TimePoint expires_;
  };

  // Empty if the id is in use.
  std::optional<Claim> claim(const std::string& id, TimePoint expires, TimePoint now);

  std::size_t open_count() const { return open_.size(); }
  std::size_t ended_count() const { return ended_.size(); }

 private:
  void end(const std::string& id, TimePoint expires);
  void forget_first_ended();

  const std::size_t max_ended_;
  Metrics& metrics_;
  std::unordered_set<std::string> open_, ended_;
  std::set<std::pair<TimePoint, std::string>> ended_by_expiry_;
};

}  // namespace kelpdeal
