// SPDX-License-Identifier: MIT
#include "kelpdeal/replica/claims.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace kelpdeal::replica {
namespace {

constexpr std::size_t kMaxNameBytes = 200;

}  // namespace

ClaimTable::ClaimResult ClaimTable::claim(const std::string& name, const Claim& claim, Duration duration,
                                          TimePoint now) {
  // After a restart the claims granted earlier are unknown; granting now could give a key to two members.
  if (now < grants_from_) return ClaimResult::unavailable;
  const auto known = active_claims_.find(name);
  if (known != active_claims_.end()) {
    const Claim& other = known->second.claim;
    // A repeated request of the holder: the original claim stands.
    if (other.member == claim.member && other.incarnation == claim.incarnation) return ClaimResult::granted;
    return ClaimResult::busy;
  }
  if (active_claims_.size() >= bounds_.max_claims) return ClaimResult::unavailable;
  const TimePoint expires_at = now + std::clamp(duration, Duration{}, bounds_.max_duration);
  active_claims_[name] = {claim, expires_at};
  expirations_.emplace(expires_at, name);
  return ClaimResult::granted;
}

void ClaimTable::release(const std::string& name, const std::string& member, std::uint64_t incarnation) {
  const auto known = active_claims_.find(name);
  if (known == active_claims_.end() || known->second.claim.member != member ||
      known->second.claim.incarnation != incarnation)
    return;
  auto [at, end] = expirations_.equal_range(known->second.expires_at);
  while (at != end && at->second != name) ++at;
  if (at != end) expirations_.erase(at);
  active_claims_.erase(known);
}

std::vector<ClaimTable::ExpiredClaim> ClaimTable::take_expired(TimePoint now) {
  std::vector<ExpiredClaim> expired;
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const auto known = active_claims_.find(expirations_.begin()->second);
    expired.push_back({known->first, std::move(known->second.claim)});
    active_claims_.erase(known);
    expirations_.erase(expirations_.begin());
  }
  return expired;
}

Operation record_attempts(const std::string& member, std::uint32_t new_attempts, std::int64_t first_ms,
                          std::int64_t window_ms, bool done, const Operation* previous) {
  Operation operation;
  if (previous) operation = *previous;
  if (new_attempts == 0) return operation;
  operation.attempts[member] += new_attempts;
  if (operation.first_ms == 0 || first_ms < operation.first_ms) operation.first_ms = first_ms;
  operation.until_ms = std::max(operation.until_ms, operation.first_ms + window_ms);
  const auto state = done ? Operation::State::done : Operation::State::may_have_run;
  operation.state = std::max(operation.state, state);
  return operation;
}

Allowance allowance(const Operation* known, std::uint32_t max_attempts, std::int64_t window_ms) {
  if (!known || known->first_ms == 0) return {max_attempts, 0};
  const std::uint64_t attempted = known->total_attempts();
  return {attempted >= max_attempts ? 0 : max_attempts - static_cast<std::uint32_t>(attempted),
          known->first_ms + window_ms};
}

std::string operation_name(const std::string& class_name, const std::string& key) {
  if (class_name.size() + key.size() < kMaxNameBytes) return class_name + "/" + key;
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  char hex[33];
  std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return class_name.substr(0, kMaxNameBytes - 40) + "/#" + hex;
}

}  // namespace kelpdeal::replica
