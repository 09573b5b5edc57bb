// SPDX-License-Identifier: MIT
#include <algorithm>

#include "kelpdeal/discovery_schedule.h"

namespace kelpdeal {
namespace {

// A call that failed is not repeated at once: of the span, its first quarter is left out.
constexpr double kLeast = 0.25;

// Of `told_within`, where lists are pushed: a watch's wait, its slack and the longest pause after a failure
// leave a fifth over, for the node's own turn. The least time from one call to the next, for an agent that
// does not wait.
constexpr double kPushedWait = 0.4;
constexpr double kPushedSlack = 0.2;
constexpr double kPushedBackoff = 0.2;
constexpr double kPushedGap = 0.1;

// Of `told_after`: a watch's wait and the first pause after a failed call, at the most; the longest such
// pause, of however small a fleet.
constexpr double kToldWait = 1.0 / 3;
constexpr double kToldFirst = 1.0 / 2;
constexpr double kToldPause = 1.0 / 4;

Duration scaled(Duration span, double by) { return to_duration(FractionalMs(span) * by); }

}  // namespace

double DiscoverySchedule::draw(double from, double to) {
  return std::uniform_real_distribution<>(from, to)(random_);
}

Duration DiscoverySchedule::startup_spread() const {
  if (bounds_.pushed) return {};
  // Each is to ask within `ask_within`, so discovery bears that of all in half of it.
  const Duration span = std::min(bounds_.coordinators * bounds_.call_cost, bounds_.max_poll_interval / 2);
  return span <= bounds_.spread_threshold ? Duration{} : span;
}

Duration DiscoverySchedule::max_pause(bool queued) const {
  const Duration least = scaled(bounds_.assumed_known_after, kToldPause);
  // Calls that stood in its queue in vain: all of them together ask for half of what it can serve at most.
  if (queued)
    return std::min(std::max<Duration>(2 * bounds_.coordinators * bounds_.call_cost, least),
                    bounds_.max_poll_interval);
  // A call that hangs just as discovery can be reached again, the pause after it and the answer to the next
  // one have to fit into `told_after`.
  const Duration fits = std::max(bounds_.assumed_known_after - 2 * bounds_.watch_slack, least);
  return std::min({std::max(startup_spread(), least), fits, bounds_.max_poll_interval});
}

// Discovery that vanishes gives no sign, so a watch is short; many short ones would be many calls.
Duration DiscoverySchedule::watch_wait() const {
  if (bounds_.pushed) return scaled(bounds_.push_grace, kPushedWait);
  return std::min(std::max(bounds_.min_watch_wait, startup_spread()),
                  scaled(bounds_.assumed_known_after, kToldWait));
}

Duration DiscoverySchedule::watch_slack() const {
  return bounds_.pushed ? scaled(bounds_.push_grace, kPushedSlack) : bounds_.watch_slack;
}

void DiscoverySchedule::start(TimePoint now) {
  backoff_ = {};
  next_call_ = now + scaled(startup_spread(), draw(0, 1));
}

void DiscoverySchedule::call_succeeded(TimePoint now) {
  backoff_ = {};
  next_call_ =
      bounds_.pushed ? std::max(now, call_started_at_ + scaled(bounds_.push_grace, kPushedGap)) : now;
}

void DiscoverySchedule::call_failed(TimePoint now) {
  const bool queued = now - call_started_at_ >= bounds_.watch_slack / 2;
  // The first pause comes on top of a silent watch's wait and slack.
  const Duration first = std::min(startup_spread(), scaled(bounds_.assumed_known_after, kToldFirst));
  const Duration least =
      bounds_.pushed ? scaled(bounds_.push_grace, kPushedGap) : std::max(bounds_.min_backoff, first);
  const Duration most = bounds_.pushed ? scaled(bounds_.push_grace, kPushedBackoff) : max_pause(queued);
  backoff_ = std::min(std::max(2 * backoff_, least), most);
  next_call_ = now + scaled(backoff_, draw(kLeast, 1));
}

}  // namespace kelpdeal
