// SPDX-License-Identifier: MIT
// The kinds of shared values, each with its join: the rule that merges two replicas of a value. No I/O.
//
// Every join is commutative, associative and idempotent, and the result includes everything that both
// replicas state (tests/replica_test.cpp). So replicas that have received the same values in any order and
// any number of times are equal; see Shapiro, Preguica, Baquero, Zawirski, "Conflict-free Replicated Data
// Types" (2011).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace kelpdeal::replica {

// Of one writer: the incarnation of its process, which increases with each start (derived from the time;
// below 2^34), and a counter within it. Increases with each write, even across a restart without state.
struct Stamp {
  std::uint64_t incarnation = 0, count = 0;
  auto operator<=>(const Stamp&) const = default;
};

// An operator's ban of a data node, by the node's uid. Each OFFLINE is a stamp of the member that placed it;
// ONLINE lifts exactly the stamps that its member has seen. So a concurrent OFFLINE that was not seen wins,
// and a stale copy of a lifted ban neither lifts nor bans anything.
struct Ban {
  std::map<std::string, Stamp> placed, lifted;  // by member
  bool is_active() const;
  bool operator==(const Ban&) const = default;
};

// A keyed operation, by class and idempotency key, within its window. The state only advances; attempts are
// counted per member and only increase.
struct Operation {
  enum class State : std::uint8_t { unsent, may_have_run, done };
  State state = State::unsent;
  // Unix time of the first attempt that may have run; 0: none. The join keeps the earliest.
  std::int64_t first_ms = 0;
  std::int64_t until_ms = 0;                      // end of the window; the join keeps the latest
  std::map<std::string, std::uint32_t> attempts;  // by member
  std::uint64_t total_attempts() const;
  bool operator==(const Operation&) const = default;
};

// What a team has consumed, per incarnation of each member: counters that only increase.
struct Account {
  struct Usage {
    std::uint64_t admitted = 0, attempted = 0;
    bool operator==(const Usage&) const = default;
  };
  std::map<std::pair<std::string, std::uint64_t>, Usage> usage_by_process;  // by member and incarnation
  Usage sum() const;
  bool operator==(const Account&) const = default;
};

// A report on the health of a data node, by its uid; advisory. The join prefers the later start of the node,
// then the later report, then the worse state.
struct HealthReport {
  enum class State : std::uint8_t { healthy, cold, suspect };
  std::int64_t boot_ms = 0;  // identifies the start of the node that is reported on
  std::int64_t at_ms = 0;    // Unix time
  State state = State::healthy;
  std::string reporter;
  // Weight at that time, from 0 to 1: halves with each half-life; 0 for another start of the node.
  double weight(std::int64_t boot, std::int64_t now_ms, double half_life_ms) const;
  auto operator<=>(const HealthReport&) const = default;
};

// A cleared cursor, by its hash; needed until the cursor would have expired.
struct ClearedCursor {
  std::int64_t until_ms = 0;
  bool operator==(const ClearedCursor&) const = default;
};

// The settings in force. The join keeps the higher number. Two settings with the same number, made on two
// sides of a partition, are resolved to the greater hash, and the number stays `contested`, as the other text
// may be in use somewhere.
struct SettingsGeneration {
  std::uint64_t number = 0;
  std::string hash;
  bool contested = false;
  bool operator==(const SettingsGeneration&) const = default;
};

// A value of a kind that only newer formats know: stored and passed on. The join keeps the one with the
// higher rank, as given by its writer, then the greater bytes.
struct UnknownValue {
  std::uint32_t kind = 0;
  std::uint64_t rank = 0;
  std::string bytes;
  bool operator==(const UnknownValue&) const = default;
};

using Value =
    std::variant<Ban, Operation, Account, HealthReport, ClearedCursor, SettingsGeneration, UnknownValue>;

// The number of the kind on the wire and in keys; never changes.
std::uint32_t kind_of(const Value& value);

// Joins `from` into `into`; returns whether that changed it. Both must be of one kind.
bool join(Value& into, const Value& from);

// Never decreases when values are joined: lets formats that do not know the kind choose the more complete
// value.
std::uint64_t rank(const Value& value);

// Whether the value carries no more information once every member has it: a lifted ban, an operation after
// its window, an expired cursor.
bool is_obsolete(const Value& value, std::int64_t now_ms);

// A canonical encoding: equal values have equal bytes.
std::string encode(const Value& value);
// Returns false if the bytes are not a value of that kind. Kinds beyond the known ones decode to
// UnknownValue.
bool decode(std::uint32_t kind, std::uint64_t rank, const std::string& bytes, Value& value);

}  // namespace kelpdeal::replica
