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

double DiscoveryPace::draw(double from, double to) {
  return std::uniform_real_distribution<>(from, to)(random_);
}

Duration DiscoveryPace::spread() const {
  if (bounds_.pushed) return {};
  // Each is to ask within `ask_within`, so discovery bears that of all in half of it.
  const Duration span = std::min(bounds_.callers * bounds_.call, bounds_.ask_within / 2);
  return span <= bounds_.few ? Duration{} : span;
}

Duration DiscoveryPace::most_pause(bool queued) const {
  const Duration least = scaled(bounds_.told_after, kToldPause);
  // Calls that stood in its queue in vain: all of them together ask for half of what it can serve at most.
  if (queued)
    return std::min(std::max<Duration>(2 * bounds_.callers * bounds_.call, least), bounds_.ask_within);
  // A call that hangs just as discovery can be reached again, the pause after it and the answer to the next
  // one have to fit into `told_after`.
  const Duration fits = std::max(bounds_.told_after - 2 * bounds_.watch_slack, least);
  return std::min({std::max(spread(), least), fits, bounds_.ask_within});
}

// Discovery that vanishes gives no sign, so a watch is short; many short ones would be many calls.
Duration DiscoveryPace::wait() const {
  if (bounds_.pushed) return scaled(bounds_.told_within, kPushedWait);
  return std::min(std::max(bounds_.watch_wait, spread()), scaled(bounds_.told_after, kToldWait));
}

Duration DiscoveryPace::slack() const {
  return bounds_.pushed ? scaled(bounds_.told_within, kPushedSlack) : bounds_.watch_slack;
}

void DiscoveryPace::start(TimePoint now) {
  backoff_ = {};
  next_ = now + scaled(spread(), draw(0, 1));
}

void DiscoveryPace::answered(TimePoint now) {
  backoff_ = {};
  next_ = bounds_.pushed ? std::max(now, asked_ + scaled(bounds_.told_within, kPushedGap)) : now;
}

void DiscoveryPace::failed(TimePoint now) {
  const bool queued = now - asked_ >= bounds_.watch_slack / 2;
  // The first pause comes on top of a silent watch's wait and slack.
  const Duration first = std::min(spread(), scaled(bounds_.told_after, kToldFirst));
  const Duration least =
      bounds_.pushed ? scaled(bounds_.told_within, kPushedGap) : std::max(bounds_.least_backoff, first);
  const Duration most = bounds_.pushed ? scaled(bounds_.told_within, kPushedBackoff) : most_pause(queued);
  backoff_ = std::min(std::max(2 * backoff_, least), most);
  next_ = now + scaled(backoff_, draw(kLeast, 1));
}

}  // namespace kelpdeal
