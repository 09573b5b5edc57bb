// SPDX-License-Identifier: MIT
#include "kelpdeal/search/fanout.h"

#include <algorithm>

namespace kelpdeal::search {
namespace {

// Consecutive refusals after which the remaining items are refused without being tried.
constexpr std::size_t kRefusalsBeforeBackoff = 8;
// Refusals within this time have one cause: the window is reduced once for them.
constexpr Duration kRefusalGroupingTime = Milliseconds(50);

}  // namespace

void FanoutLimiter::record_single_request(bool refused, Duration took, Duration latency_target,
                                          TimePoint now) {
  const bool slow = took * 5 > latency_target;
  if (!refused && !slow) return;
  if (last_reduction_ != TimePoint{} && now - last_reduction_ < kRefusalGroupingTime) return;
  last_reduction_ = now;
  limit_ = std::max(1.0, limit_ * (refused ? 0.5 : 0.8));
}

std::size_t FanoutLimiter::fair_share() const {
  const std::size_t share = limit() / std::max<std::size_t>(limiters_.size(), 1);
  return std::clamp<std::size_t>(share, 1, bounds_.max_per_request);
}

FanoutLimiter::RequestLimiter::RequestLimiter(FanoutLimiter& fanout, std::size_t max_concurrent)
    : fanout_(fanout),
      max_in_flight_(max_concurrent == 0 ? fanout.bounds_.max_per_request
                                         : std::min(max_concurrent, fanout.bounds_.max_per_request)),
      window_(static_cast<double>(max_in_flight_)) {
  fanout_.limiters_.insert(this);
}

FanoutLimiter::RequestLimiter::~RequestLimiter() {
  fanout_.in_flight_ -= in_flight_;
  fanout_.limiters_.erase(this);
}

std::size_t FanoutLimiter::RequestLimiter::window() const {
  return std::max<std::size_t>(
      1, std::min({max_in_flight_, fanout_.fair_share(), static_cast<std::size_t>(window_)}));
}

bool FanoutLimiter::RequestLimiter::can_start() const {
  // Each request may always run one item, whatever the others use.
  return in_flight_ == 0 || (in_flight_ < window() && fanout_.in_flight_ < fanout_.limit());
}

void FanoutLimiter::RequestLimiter::on_started() {
  ++in_flight_;
  ++fanout_.in_flight_;
}

void FanoutLimiter::RequestLimiter::on_ended() {
  --in_flight_;
  --fanout_.in_flight_;
}

void FanoutLimiter::RequestLimiter::on_accepted() {
  consecutive_refusals_ = 0;
  backoff_until_ = {};
  window_ = std::min(static_cast<double>(max_in_flight_), window_ + 1 / std::max(window_, 1.0));
  // Grows by one after four times the limit's number of items were accepted.
  fanout_.limit_ =
      std::min(static_cast<double>(fanout_.bounds_.max_total), fanout_.limit_ + 0.25 / fanout_.limit_);
}

void FanoutLimiter::RequestLimiter::on_refused(TimePoint now, Duration retry_after) {
  if (last_reduction_ == TimePoint{} || now - last_reduction_ >= kRefusalGroupingTime) {
    window_ = std::max(1.0, window_ / 2);
    last_reduction_ = now;
  }
  if (++consecutive_refusals_ >= kRefusalsBeforeBackoff)
    backoff_until_ = std::max(backoff_until_, now + retry_after);
}

Duration FanoutLimiter::RequestLimiter::backoff_remaining(TimePoint now) const {
  return consecutive_refusals_ >= kRefusalsBeforeBackoff && backoff_until_ > now ? backoff_until_ - now
                                                                                 : Duration::zero();
}

ItemOutcome item_outcome(bool answered, bool refused, bool rejected) {
  if (answered) return {ItemOutcome::Kind::done, 201, ""};
  if (rejected) return {ItemOutcome::Kind::rejected, 409, "version_conflict_engine_exception"};
  if (refused) return {ItemOutcome::Kind::refused, 429, "rejected_execution_exception"};
  return {ItemOutcome::Kind::unknown, 504, "timeout_exception"};
}

}  // namespace kelpdeal::search
