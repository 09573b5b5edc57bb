// SPDX-License-Identifier: MIT
// The account of all memory that peers make the process hold. What may grow is charged to one of its uses
// first, and is refused when the use's share is exhausted. No I/O: the callers decide how to refuse.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "kelpdeal/admission/memory_plan.h"

namespace kelpdeal::admission {

// Why a charge was refused. share_full: the use's share is exhausted. large_share_full: only small holders
// may still be admitted.
enum class RefusalReason { share_full, large_share_full };
struct Refusal {
  Use use = Use::unfinished_requests;
  RefusalReason reason = RefusalReason::share_full;
  std::size_t requested = 0;  // bytes
  std::size_t held = 0;       // bytes held for this use
  std::size_t bound = 0;      // bytes that may be held
};

class MemoryAccount {
 public:
  explicit MemoryAccount(const MemoryPlan& plan) : plan_(plan) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Called for each refused charge.
  std::function<void(const Refusal&)> on_refusal;

  const MemoryPlan& plan() const { return plan_; }
  std::size_t held(Use use) const { return state(use).held; }
  std::size_t held() const;  // for all uses
  std::size_t peak(Use use) const { return state(use).peak; }
  std::uint64_t refusals(Use use) const { return state(use).refusals; }
  // The bytes freed since the start: tells when it is worth returning memory to the system.
  std::uint64_t released_bytes() const { return released_bytes_; }

  // Whether a new holder of so many bytes would be admitted. A false result counts as a refusal.
  bool admits(Use use, std::size_t bytes);

 private:
  friend class Charge;
  struct State {
    std::size_t held = 0, held_by_large = 0, peak = 0;
    std::uint64_t refusals = 0;
  };
  State& state(Use use) { return states_[static_cast<std::size_t>(use)]; }
  const State& state(Use use) const { return states_[static_cast<std::size_t>(use)]; }
  static std::size_t large_part(std::size_t bytes) { return bytes > kSmallHolderBytes ? bytes : 0; }
  // Whether a holder may change its bytes. Giving back is always possible.
  bool fits(Use use, std::size_t from, std::size_t to);
  void change(Use use, std::size_t from, std::size_t to);

  const MemoryPlan plan_;
  std::array<State, kUseCount> states_{};
  std::uint64_t released_bytes_ = 0;
};

// The bytes that one holder has charged to an account. Releases them when it is destroyed. The account has to
// outlive it.
class Charge {
 public:
  Charge() = default;
  Charge(MemoryAccount& account, Use use) : account_(&account), use_(use) {}
  Charge(Charge&& other) noexcept
      : account_(other.account_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}
  Charge& operator=(Charge&& other) noexcept {
    std::swap(account_, other.account_);
    std::swap(use_, other.use_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~Charge() { release(); }

  std::size_t bytes() const { return bytes_; }
  // Changes the number of bytes held. False if the account has no room for them; nothing has changed then.
  [[nodiscard]] bool resize(std::size_t bytes);
  [[nodiscard]] bool grow(std::size_t bytes) { return resize(bytes_ + bytes); }
  void release();

 private:
  MemoryAccount* account_ = nullptr;  // null: every charge is admitted, and none counted
  Use use_ = Use::unfinished_requests;
  std::size_t bytes_ = 0;
};

}  // namespace kelpdeal::admission
