// SPDX-License-Identifier: MIT
#include "kelpdeal/admission/memory_account.h"

#include <algorithm>

namespace kelpdeal::admission {

std::size_t MemoryAccount::held() const {
  std::size_t total = 0;
  for (const State& one : states_) total += one.held;
  return total;
}

bool MemoryAccount::admits(Use use, std::size_t bytes) { return fits(use, 0, bytes); }

bool MemoryAccount::fits(Use use, std::size_t from, std::size_t to) {
  if (to <= from) return true;
  State& current = state(use);
  const Share& share = plan_.share(use);
  Refusal refusal{use, RefusalReason::share_full, to - from, current.held, share.bound};
  bool refused = to - from > share.bound - std::min(share.bound, current.held);
  const std::size_t others_large = current.held_by_large - large_part(from);
  if (!refused && large_part(to) > share.large_bound - std::min(share.large_bound, others_large)) {
    refused = true;
    refusal.reason = RefusalReason::large_share_full;
    refusal.held = current.held_by_large;
    refusal.bound = share.large_bound;
  }
  if (!refused) return true;
  ++current.refusals;
  if (on_refusal) on_refusal(refusal);
  return false;
}

void MemoryAccount::change(Use use, std::size_t from, std::size_t to) {
  State& current = state(use);
  current.held = current.held - from + to;
  current.held_by_large = current.held_by_large - large_part(from) + large_part(to);
  current.peak = std::max(current.peak, current.held);
  if (to < from) released_bytes_ += from - to;
}

bool Charge::resize(std::size_t bytes) {
  if (!account_) return true;
  if (!account_->fits(use_, bytes_, bytes)) return false;
  account_->change(use_, bytes_, bytes);
  bytes_ = bytes;
  return true;
}

void Charge::release() {
  if (account_ && bytes_ > 0) account_->change(use_, bytes_, 0);
  bytes_ = 0;
}

}  // namespace kelpdeal::admission
