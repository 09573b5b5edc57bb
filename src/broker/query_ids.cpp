// SPDX-License-Identifier: MIT
#include "kelpdeal/query_ids.h"

namespace kelpdeal {

std::optional<QueryIds::Claim> QueryIds::claim(const std::string& id, TimePoint expires, TimePoint now) {
  while (!ended_by_expiry_.empty() && ended_by_expiry_.begin()->first <= now) forget_first_ended();
  if (open_.contains(id) || ended_.contains(id)) return std::nullopt;
  open_.insert(id);
  return Claim(*this, id, expires);
}

void QueryIds::end(const std::string& id, TimePoint expires) {
  open_.erase(id);
  ended_.insert(id);
  ended_by_expiry_.emplace(expires, id);
  if (ended_.size() <= max_ended_) return;
  metrics_.count("queries.ids_forgotten");
  forget_first_ended();
}

void QueryIds::forget_first_ended() {
  ended_.erase(ended_by_expiry_.begin()->second);
  ended_by_expiry_.erase(ended_by_expiry_.begin());
}

}  // namespace kelpdeal
