// SPDX-License-Identifier: MIT
#include <algorithm>

#include "kelpdeal/discovery_schedule.h"

namespace kelpdeal {
namespace {

// The pause after a failed call is drawn from the span without its first quarter, so that it is not repeated
// at once.
constexpr double kMinBackoffFraction = 0.25;

// Fractions of `push_grace`, where lists are pushed. A watch's wait, its slack and the longest pause after a
// failure add up to four fifths; the rest is left for processing. The gap is the minimum time between two
// calls, for an agent that answers without waiting.
constexpr double kPushedWaitFraction = 0.4;
constexpr double kPushedSlackFraction = 0.2;
constexpr double kPushedBackoffFraction = 0.2;
constexpr double kPushedGapFraction = 0.1;

// Fractions of `assumed_known_after`: the maximum wait of a watch, the maximum of the first pause after a
// failed call, and the lower bound of the longest pause, which applies to small fleets.
constexpr double kMaxWaitFraction = 1.0 / 3;
constexpr double kMaxFirstPauseFraction = 1.0 / 2;
constexpr double kMinLongestPauseFraction = 1.0 / 4;

Duration scaled(Duration span, double factor) { return to_duration(FractionalMs(span) * factor); }

}  // namespace

double DiscoverySchedule::draw(double from, double to) {
  return std::uniform_real_distribution<>(from, to)(random_);
}

Duration DiscoverySchedule::startup_spread() const {
  if (options_.pushed) return {};
  // Every coordinator must call within `max_poll_interval`, so discovery can serve all of them in half of it.
  const Duration span = std::min(options_.coordinators * options_.call_cost, options_.max_poll_interval / 2);
  return span <= options_.spread_threshold ? Duration{} : span;
}

Duration DiscoverySchedule::max_pause(bool queued) const {
  const Duration min_pause = scaled(options_.assumed_known_after, kMinLongestPauseFraction);
  // Calls that time out in discovery's queue: all coordinators together may use at most half of its capacity.
  if (queued)
    return std::min(std::max<Duration>(2 * options_.coordinators * options_.call_cost, min_pause),
                    options_.max_poll_interval);
  // A call that hangs when discovery becomes reachable again, the pause after it and the answer to the next
  // call must fit into `assumed_known_after`.
  const Duration fitting_pause = std::max(options_.assumed_known_after - 2 * options_.watch_slack, min_pause);
  return std::min({std::max(startup_spread(), min_pause), fitting_pause, options_.max_poll_interval});
}

// A discovery service that disappears gives no sign, so watches are short. They are longer for many
// coordinators, which would otherwise make too many calls.
Duration DiscoverySchedule::watch_wait() const {
  if (options_.pushed) return scaled(options_.push_grace, kPushedWaitFraction);
  return std::min(std::max(options_.min_watch_wait, startup_spread()),
                  scaled(options_.assumed_known_after, kMaxWaitFraction));
}

Duration DiscoverySchedule::watch_slack() const {
  return options_.pushed ? scaled(options_.push_grace, kPushedSlackFraction) : options_.watch_slack;
}

void DiscoverySchedule::start(TimePoint now) {
  backoff_ = {};
  next_call_ = now + scaled(startup_spread(), draw(0, 1));
}

void DiscoverySchedule::call_succeeded(TimePoint now) {
  backoff_ = {};
  next_call_ = options_.pushed
                   ? std::max(now, call_started_at_ + scaled(options_.push_grace, kPushedGapFraction))
                   : now;
}

void DiscoverySchedule::call_failed(TimePoint now) {
  const bool queued = now - call_started_at_ >= options_.watch_slack / 2;
  // The first pause adds to the wait and the slack of a watch that got no answer.
  const Duration first_pause =
      std::min(startup_spread(), scaled(options_.assumed_known_after, kMaxFirstPauseFraction));
  const Duration min_pause = options_.pushed ? scaled(options_.push_grace, kPushedGapFraction)
                                             : std::max(options_.min_backoff, first_pause);
  const Duration max_backoff =
      options_.pushed ? scaled(options_.push_grace, kPushedBackoffFraction) : max_pause(queued);
  backoff_ = std::min(std::max(2 * backoff_, min_pause), max_backoff);
  next_call_ = now + scaled(backoff_, draw(kMinBackoffFraction, 1));
}

}  // namespace kelpdeal
