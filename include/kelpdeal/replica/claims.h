// SPDX-License-Identifier: MIT
// Claims on keyed operations across the fleet. Before a coordinator sends a keyed operation, it obtains a
// claim on the key from a majority of the configured members, together with what they know of earlier
// attempts. As any two majorities overlap, at most one of two concurrent claimants proceeds. A claim that is
// not released in time is recorded as if all announced attempts had been sent. No I/O; the caller passes the
// time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kelpdeal/replica/values.h"
#include "kelpdeal/time.h"

namespace kelpdeal::replica {

struct ClaimBounds {
  std::size_t max_claims = 20'000;  // active at once; beyond that, claims are not granted
  // Of a claim; also how long a restarted member without state grants nothing.
  Duration max_duration = std::chrono::seconds(5);
};

struct Claim {
  std::string member;
  std::uint64_t incarnation = 0;
  std::uint32_t planned_attempts = 0;  // maximum attempts per part
  std::int64_t at_ms = 0;              // Unix time
  std::int64_t window_ms = 0;          // deduplication window of the class
  bool operator==(const Claim&) const = default;
};

// The claims that one member has granted to others and to itself.
class ClaimTable {
 public:
  // `started_at`: start of this process. It does not know which claims an earlier process granted, so it
  // grants none until all of those have expired.
  ClaimTable(const ClaimBounds& bounds, TimePoint started_at)
      : bounds_(bounds), grants_from_(started_at + bounds.max_duration) {}

  // Busy: held by another member; unavailable: cannot tell, or at capacity.
  enum class ClaimResult { granted, busy, unavailable };
  ClaimResult claim(const std::string& name, const Claim& claim, Duration duration, TimePoint now);
  // Only the holder can release a claim.
  void release(const std::string& name, const std::string& member, std::uint64_t incarnation);

  // Removes and returns the claims that have expired. The attempts they announced may have been sent, so the
  // caller records them as sent.
  struct ExpiredClaim {
    std::string name;
    Claim claim;
  };
  std::vector<ExpiredClaim> take_expired(TimePoint now);
  std::size_t size() const { return active_claims_.size(); }

 private:
  struct ActiveClaim {
    Claim claim;
    TimePoint expires_at;
  };
  const ClaimBounds bounds_;
  const TimePoint grants_from_;
  std::map<std::string, ActiveClaim> active_claims_;
  std::multimap<TimePoint, std::string> expirations_;
};

// The state of an operation after `new_attempts` further attempts by `member`.
Operation record_attempts(const std::string& member, std::uint32_t new_attempts, std::int64_t first_ms,
                          std::int64_t window_ms, bool done, const Operation* previous);

// What may still be sent for an operation.
struct Allowance {
  std::uint32_t attempts = 0;  // per part
  // Unix time after which a repeat could be executed a second time; 0: no attempt so far.
  std::int64_t until_ms = 0;
};
Allowance allowance(const Operation* known, std::uint32_t max_attempts, std::int64_t window_ms);

// The entry name for a class and key; long ones are hashed to fit into the length limit of names.
std::string operation_name(const std::string& class_name, const std::string& key);

}  // namespace kelpdeal::replica
