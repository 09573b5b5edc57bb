// SPDX-License-Identifier: MIT
#include "kelpdeal/search/fanout.h"

#include <algorithm>

namespace kelpdeal::search {
namespace {

constexpr std::size_t kHopeless = 8;  // refusals in a row
// Refusals that come together have one cause: the window is cut once for them.
constexpr Duration kOneCause = Milliseconds(50);

}  // namespace

void FanoutLimiter::record_single_request(bool refused, Duration took, Duration aim, TimePoint now) {
  const bool slow = took * 5 > aim;
  if (!refused && !slow) return;
  if (narrowed_ != TimePoint{} && now - narrowed_ < kOneCause) return;
  narrowed_ = now;
  limit_ = std::max(1.0, limit_ * (refused ? 0.5 : 0.8));
}

std::size_t FanoutLimiter::fair() const {
  const std::size_t share = limit() / std::max<std::size_t>(limiters_.size(), 1);
  return std::clamp<std::size_t>(share, 1, bounds_.max_per_request);
}

FanoutLimiter::RequestLimiter::RequestLimiter(FanoutLimiter& fanout, std::size_t asked)
    : fanout_(fanout),
      most_(asked == 0 ? fanout.bounds_.max_per_request : std::min(asked, fanout.bounds_.max_per_request)),
      window_(static_cast<double>(most_)) {
  fanout_.limiters_.insert(this);
}

FanoutLimiter::RequestLimiter::~RequestLimiter() {
  fanout_.open_ -= open_;
  fanout_.limiters_.erase(this);
}

std::size_t FanoutLimiter::RequestLimiter::window() const {
  return std::max<std::size_t>(1, std::min({most_, fanout_.fair(), static_cast<std::size_t>(window_)}));
}

bool FanoutLimiter::RequestLimiter::can_start() const {
  // One item of each goes on whatever the others hold.
  return open_ == 0 || (open_ < window() && fanout_.open_ < fanout_.limit());
}

void FanoutLimiter::RequestLimiter::on_started() {
  ++open_;
  ++fanout_.open_;
}

void FanoutLimiter::RequestLimiter::on_ended() {
  --open_;
  --fanout_.open_;
}

void FanoutLimiter::RequestLimiter::on_accepted() {
  refused_in_row_ = 0;
  hopeless_until_ = {};
  window_ = std::min(static_cast<double>(most_), window_ + 1 / std::max(window_, 1.0));
  // By one with every four times that all that may be open went through.
  fanout_.limit_ =
      std::min(static_cast<double>(fanout_.bounds_.max_total), fanout_.limit_ + 0.25 / fanout_.limit_);
}

void FanoutLimiter::RequestLimiter::on_refused(TimePoint now, Duration advice) {
  if (cut_ == TimePoint{} || now - cut_ >= kOneCause) {
    window_ = std::max(1.0, window_ / 2);
    cut_ = now;
  }
  if (++refused_in_row_ >= kHopeless) hopeless_until_ = std::max(hopeless_until_, now + advice);
}

Duration FanoutLimiter::RequestLimiter::backoff_remaining(TimePoint now) const {
  return refused_in_row_ >= kHopeless && hopeless_until_ > now ? hopeless_until_ - now : Duration::zero();
}

ItemOutcome item_outcome(bool answered, bool refused, bool rejected) {
  if (answered) return {ItemOutcome::Kind::done, 201, ""};
  if (rejected) return {ItemOutcome::Kind::rejected, 409, "version_conflict_engine_exception"};
  if (refused) return {ItemOutcome::Kind::refused, 429, "rejected_execution_exception"};
  return {ItemOutcome::Kind::unknown, 504, "timeout_exception"};
}

}  // namespace kelpdeal::search
