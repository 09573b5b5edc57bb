// SPDX-License-Identifier: MIT
#include "kelpdeal/search/fanout.h"

#include <algorithm>

namespace kelpdeal::search {
namespace {

constexpr std::size_t kHopeless = 8;  // refusals in a row
// Refusals that come together have one cause: the window is cut once for them.
constexpr Duration kOneCause = Milliseconds(50);

}  // namespace

void Fanout::single_ended(bool refused, Duration took, Duration aim, TimePoint now) {
  const bool slow = took * 5 > aim;
  if (!refused && !slow) return;
  if (narrowed_ != TimePoint{} && now - narrowed_ < kOneCause) return;
  narrowed_ = now;
  width_ = std::max(1.0, width_ * (refused ? 0.5 : 0.8));
}

std::size_t Fanout::fair() const {
  const std::size_t share = width() / std::max<std::size_t>(shares_.size(), 1);
  return std::clamp<std::size_t>(share, 1, bounds_.of_request);
}

Fanout::Share::Share(Fanout& fanout, std::size_t asked)
    : fanout_(fanout),
      most_(asked == 0 ? fanout.bounds_.of_request : std::min(asked, fanout.bounds_.of_request)),
      window_(static_cast<double>(most_)) {
  fanout_.shares_.insert(this);
}

Fanout::Share::~Share() {
  fanout_.open_ -= open_;
  fanout_.shares_.erase(this);
}

std::size_t Fanout::Share::window() const {
  return std::max<std::size_t>(1, std::min({most_, fanout_.fair(), static_cast<std::size_t>(window_)}));
}

bool Fanout::Share::may_start() const {
  // One item of each goes on whatever the others hold.
  return open_ == 0 || (open_ < window() && fanout_.open_ < fanout_.width());
}

void Fanout::Share::started() {
  ++open_;
  ++fanout_.open_;
}

void Fanout::Share::ended() {
  --open_;
  --fanout_.open_;
}

void Fanout::Share::went_through() {
  refused_in_row_ = 0;
  hopeless_until_ = {};
  window_ = std::min(static_cast<double>(most_), window_ + 1 / std::max(window_, 1.0));
  // By one with every four times that all that may be open went through.
  fanout_.width_ =
      std::min(static_cast<double>(fanout_.bounds_.in_all), fanout_.width_ + 0.25 / fanout_.width_);
}

void Fanout::Share::refused(TimePoint now, Duration advice) {
  if (cut_ == TimePoint{} || now - cut_ >= kOneCause) {
    window_ = std::max(1.0, window_ / 2);
    cut_ = now;
  }
  if (++refused_in_row_ >= kHopeless) hopeless_until_ = std::max(hopeless_until_, now + advice);
}

Duration Fanout::Share::hopeless_for(TimePoint now) const {
  return refused_in_row_ >= kHopeless && hopeless_until_ > now ? hopeless_until_ - now : Duration::zero();
}

ItemEnd item_end(bool answered, bool refused, bool rejected) {
  if (answered) return {ItemEnd::Kind::done, 201, ""};
  if (rejected) return {ItemEnd::Kind::rejected, 409, "version_conflict_engine_exception"};
  if (refused) return {ItemEnd::Kind::refused, 429, "rejected_execution_exception"};
  return {ItemEnd::Kind::unknown, 504, "timeout_exception"};
}

}  // namespace kelpdeal::search
