// SPDX-License-Identifier: MIT
// A single-threaded event loop for coroutines: a queue of runnable coroutines, a timer queue, and epoll for
// descriptor readiness. None of its state may be used from another thread.
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

// Handle of a scheduled timer. Destroying the handle cancels the timer.
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

// Why a parked coroutine was resumed.
enum class WakeReason { ready, timed_out, cancelled };

// Suspends one coroutine until wake() is called or a deadline passes. Only one coroutine may be parked at a
// time: park() throws std::logic_error in a second one.
class Parker {
 public:
  explicit Parker(Scheduler& scheduler) : scheduler_(&scheduler) {}
  Parker(const Parker&) = delete;
  Parker& operator=(const Parker&) = delete;

  class Awaiter {
   public:
    Awaiter(Parker& parker, TimePoint deadline) : parker_(parker), deadline_(deadline) {}
    Awaiter(const Awaiter&) = delete;
    Awaiter& operator=(const Awaiter&) = delete;
    ~Awaiter() {
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

  Awaiter park(TimePoint deadline = kNever) { return Awaiter(*this, deadline); }
  bool parked() const { return waiting_ != nullptr; }
  void wake(WakeReason wake = WakeReason::ready);

 private:
  Scheduler* scheduler_;
  Awaiter* waiting_ = nullptr;
};

// Receives the epoll events of a watched descriptor.
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

  // Starts a coroutine that the scheduler owns. An exception that escapes it is passed to `on_failure`; if
  // that is not set, run() rethrows it.
  void spawn(Task<void> task);
  // Destroys every spawned task at its current suspension point. The owner of objects that tasks refer to
  // must call this before it destroys those objects.
  void destroy_tasks();
  std::function<void(std::exception_ptr)> on_failure;
  // Calls `action` with the duration of each turn of the loop, from one wait for events to the next, that
  // exceeds `threshold`. Nothing else is served during a turn.
  void on_slow_turn(Duration threshold, std::function<void(Duration)> action);

  // Queues a suspended coroutine for resumption.
  void post(std::coroutine_handle<> handle) { runnable_.push_back(handle); }
  // Runs `action` at `when`, or after `delay`, unless the returned handle is cancelled or destroyed first.
  // Descriptors that are ready at that time are served before it.
  Timer at(TimePoint when, std::function<void()> action);
  Timer in(Duration delay, std::function<void()> action) {
    return at(Clock::now() + delay, std::move(action));
  }

  // Resumes the caller after every coroutine that is runnable now, in the same turn.
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
  // Resumes the caller once the descriptors have been polled and due timers have run.
  Task<void> next_turn() { return sleep_until(Clock::now()); }
  // The number of the current turn of the loop. Each wait for events begins another one.
  std::uint64_t turn() const { return turn_; }

  // Registers a descriptor with epoll. The handler must be unwatched before it is destroyed.
  void watch(int fd, std::uint32_t events, ReadinessHandler& handler);
  void unwatch(int fd, ReadinessHandler& handler);

 private:
  friend class Timer;
  struct RootTask;
  RootTask start(Task<void> task, std::list<std::coroutine_handle<>>::iterator position);
  void run_due_timers();
  void resume_runnable();
  void check_turn_duration();
  Milliseconds max_wait(TimePoint now) const;
  void poll_descriptors();

  Descriptor epoll_;
  std::deque<std::coroutine_handle<>> runnable_;
  std::map<Timer::Key, std::function<void()>> timers_;
  std::list<std::coroutine_handle<>> root_tasks_;
  std::vector<epoll_event> event_batch_;
  std::exception_ptr uncaught_exception_;
  Duration slow_turn_threshold_{};
  std::function<void(Duration)> slow_turn_action_;
  std::uint64_t last_timer_id_ = 0;
  std::uint64_t turn_ = 0;
  TimePoint turn_started_{};
  TimePoint polled_until_{};  // what was ready by then has been dispatched
  int full_batches_ = 0;      // since `polled_until_` was set
  int resumes_left_ = 0;      // in this turn
  bool stopped_ = false;
};

// Limits how much of one kind of work is done in one turn of the loop. A loop whose peer keeps it supplied
// takes from a budget and waits for the next turn when it is used up: otherwise it would never suspend, and
// neither timers nor signals nor other connections would be served.
class TurnBudget {
 public:
  TurnBudget(Scheduler& scheduler, int per_turn) : scheduler_(scheduler), per_turn_(per_turn) {}
  // False if the budget of this turn is used up.
  bool take() {
    if (std::exchange(turn_, scheduler_.turn()) != scheduler_.turn()) taken_ = 0;
    return ++taken_ <= per_turn_;
  }

 private:
  Scheduler& scheduler_;
  const int per_turn_;
  std::uint64_t turn_ = 0;
  int taken_ = 0;
};

// A FIFO queue of messages with a single consumer coroutine.
template <typename T>
class Mailbox {
 public:
  explicit Mailbox(Scheduler& scheduler) : parker_(scheduler) {}
  void put(T message) {
    messages_.push_back(std::move(message));
    parker_.wake();
  }
  bool empty() const { return messages_.empty(); }
  // Empty if the deadline passes before a message arrives.
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
