// SPDX-License-Identifier: MIT
// A single-threaded scheduler: a queue of coroutines that may go on, a queue of timers, and epoll for the
// rest. Nothing in it is shared with other threads.
#pragma once

#include <sys/epoll.h>

#include <coroutine>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kelpdeal/descriptor.h"
#include "kelpdeal/task.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

class Scheduler;

// A timer that is taken back when this goes away.
class Timer {
 public:
  Timer() = default;
  Timer(Timer&& other) noexcept { *this = std::move(other); }
  Timer& operator=(Timer&& other) noexcept;
  ~Timer() { cancel(); }
  void cancel();

 private:
  friend class Scheduler;
  using Key = std::pair<TimePoint, std::uint64_t>;
  Scheduler* scheduler_ = nullptr;
  Key key_;
};

enum class WakeReason { ready, timed_out, cancelled };

// One coroutine waits here until another wakes it or a time has come.
class Parker {
 public:
  explicit Parker(Scheduler& scheduler) : scheduler_(&scheduler) {}
  Parker(const Parker&) = delete;
  Parker& operator=(const Parker&) = delete;

  class Park {
   public:
    Park(Parker& parker, TimePoint deadline) : parker_(parker), deadline_(deadline) {}
    Park(const Park&) = delete;
    Park& operator=(const Park&) = delete;
    ~Park() {
      if (parker_.waiting_ == this) parker_.waiting_ = nullptr;
    }
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> handle);
    WakeReason await_resume() const noexcept { return wake_; }

   private:
    friend class Parker;
    Parker& parker_;
    TimePoint deadline_;
    std::coroutine_handle<> handle_;
    WakeReason wake_ = WakeReason::ready;
    Timer timer_;
  };

  Park park(TimePoint deadline = kNever) { return Park(*this, deadline); }
  bool parked() const { return waiting_ != nullptr; }
  void wake(WakeReason wake = WakeReason::ready);

 private:
  Scheduler* scheduler_;
  Park* waiting_ = nullptr;
};

// What waits for a descriptor's readiness.
struct ReadinessHandler {
  virtual ~ReadinessHandler() = default;
  virtual void on_ready(std::uint32_t events) = 0;
};

class Scheduler {
 public:
  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Runs until stop() is called.
  void run();
  void stop() { stopped_ = true; }

  // Starts a coroutine that belongs to the scheduler. One that ends by an exception is handed to
  // `on_failure`, which by default ends run() with it.
  void spawn(Task<void> task);
  // Ends every spawned task where it stands. Whoever owns what the tasks use calls this before it goes.
  void destroy_tasks();
  std::function<void(std::exception_ptr)> on_failure;

  void post(std::coroutine_handle<> handle) { ready_.push_back(handle); }
  Timer at(TimePoint when, std::function<void()> action);
  Timer in(Duration span, std::function<void()> action) { return at(Clock::now() + span, std::move(action)); }

  // Lets every coroutine that may go on by now go first.
  auto yield() {
    struct Yield {
      Scheduler& scheduler;
      bool await_ready() const noexcept { return false; }
      void await_suspend(std::coroutine_handle<> handle) const { scheduler.post(handle); }
      void await_resume() const noexcept {}
    };
    return Yield{*this};
  }
  Task<void> sleep_until(TimePoint when);

  void watch(int fd, std::uint32_t events, ReadinessHandler& readiness);
  void unwatch(int fd, ReadinessHandler& readiness);

 private:
  friend class Timer;
  struct Root;
  Root start(Task<void> task, std::list<std::coroutine_handle<>>::iterator place);
  void fire_timers();
  void resume_ready();

  Descriptor epoll_;
  std::deque<std::coroutine_handle<>> ready_;
  std::map<Timer::Key, std::function<void()>> timers_;
  std::list<std::coroutine_handle<>> roots_;
  std::vector<epoll_event> batch_;
  std::exception_ptr failure_;
  std::uint64_t timer_number_ = 0;
  bool stopped_ = false;
};

// Messages for one coroutine, in order.
template <typename T>
class Mailbox {
 public:
  explicit Mailbox(Scheduler& scheduler) : parker_(scheduler) {}
  void put(T message) {
    messages_.push_back(std::move(message));
    parker_.wake();
  }
  bool empty() const { return messages_.empty(); }
  // Nothing if the deadline passes first.
  Task<std::optional<T>> take(TimePoint deadline = kNever) {
    while (messages_.empty())
      if (co_await parker_.park(deadline) == WakeReason::timed_out && messages_.empty())
        co_return std::nullopt;
    std::optional<T> message(std::move(messages_.front()));
    messages_.pop_front();
    co_return message;
  }

 private:
  Parker parker_;
  std::deque<T> messages_;
};

}  // namespace kelpdeal
