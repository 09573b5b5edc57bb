// SPDX-License-Identifier: MIT
#include "kelpdeal/scheduler.h"

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace kelpdeal {
namespace {

constexpr std::size_t kEventBatchSize = 64;  // events read by one epoll_wait
constexpr Milliseconds kMaxEpollWait{60'000};
// Coroutines that wake each other must not hold up timers and descriptors.
constexpr int kMaxResumesPerTurn = 500;
// Descriptors that are always ready must not hold up timers.
constexpr int kMaxFullBatchesAheadOfTimers = 8;

}  // namespace

Timer& Timer::operator=(Timer&& other) noexcept {
  std::swap(scheduler_, other.scheduler_);
  std::swap(key_, other.key_);
  return *this;
}

void Timer::cancel() {
  if (scheduler_) scheduler_->timers_.erase(key_);
  scheduler_ = nullptr;
}

void Parker::Awaiter::await_suspend(std::coroutine_handle<> handle) {
  // A second coroutine would take the place of the first, which would never be resumed.
  if (parker_.waiting_) throw std::logic_error("two coroutines wait at one place");
  handle_ = handle;
  parker_.waiting_ = this;
  if (deadline_ != kNever)
    timer_ = parker_.scheduler_->at(deadline_, [this] { parker_.wake(WakeReason::timed_out); });
}

void Parker::wake(WakeReason wake) {
  if (!waiting_) return;
  Awaiter* resumed = std::exchange(waiting_, nullptr);
  resumed->wake_ = wake;
  resumed->timer_.cancel();
  scheduler_->post(resumed->handle_);
}

// The outermost coroutine of a spawned task. It removes itself from the scheduler's list when the task ends.
struct Scheduler::RootTask {
  struct promise_type {
    RootTask get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
    std::suspend_always initial_suspend() const noexcept { return {}; }
    std::suspend_never final_suspend() const noexcept { return {}; }
    void return_void() const noexcept {}
    void unhandled_exception() const noexcept { std::terminate(); }
  };
  std::coroutine_handle<promise_type> handle;
};

Scheduler::RootTask Scheduler::start(Task<void> task, std::list<std::coroutine_handle<>>::iterator position) {
  try {
    co_await task;
  } catch (...) {
    if (on_failure)
      on_failure(std::current_exception());
    else if (!uncaught_exception_)
      uncaught_exception_ = std::current_exception();
  }
  root_tasks_.erase(position);
}

Scheduler::Scheduler() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), event_batch_(kEventBatchSize) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Scheduler::~Scheduler() { destroy_tasks(); }

void Scheduler::destroy_tasks() {
  while (!root_tasks_.empty()) {
    const auto handle = root_tasks_.front();
    root_tasks_.pop_front();
    handle.destroy();
  }
  runnable_.clear();  // the remaining handles refer to destroyed coroutine frames
}

void Scheduler::spawn(Task<void> task) {
  const auto position = root_tasks_.emplace(root_tasks_.end());
  *position = start(std::move(task), position).handle;
  post(*position);
}

Timer Scheduler::at(TimePoint when, std::function<void()> action) {
  Timer timer;
  timer.scheduler_ = this;
  timer.key_ = {when, ++last_timer_id_};
  timers_.emplace(timer.key_, std::move(action));
  return timer;
}

Task<void> Scheduler::sleep_until(TimePoint when) {
  Parker parker(*this);
  co_await parker.park(when);
}

void Scheduler::watch(int fd, std::uint32_t events, ReadinessHandler& handler) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = &handler;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void Scheduler::unwatch(int fd, ReadinessHandler& handler) {
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  // The current epoll batch may still hold an event for this handler, which may be destroyed next.
  for (epoll_event& event : event_batch_)
    if (event.data.ptr == &handler) event.data.ptr = nullptr;
}

// A timer that became due while the loop was busy must not run before what has arrived by then is read.
void Scheduler::run_due_timers() {
  while (!timers_.empty() && timers_.begin()->first.first <= polled_until_) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
  }
}

void Scheduler::resume_runnable() {
  for (; resumes_left_ > 0 && !runnable_.empty() && !stopped_; --resumes_left_) {
    const auto handle = runnable_.front();
    runnable_.pop_front();
    handle.resume();
  }
}

void Scheduler::on_slow_turn(Duration threshold, std::function<void(Duration)> action) {
  slow_turn_threshold_ = threshold;
  slow_turn_action_ = std::move(action);
}

void Scheduler::check_turn_duration() {
  if (!slow_turn_action_) return;
  const Duration took = Clock::now() - turn_started_;
  if (took > slow_turn_threshold_) slow_turn_action_(took);
}

// How long epoll_wait() may block at `now`; negative: until an event.
Milliseconds Scheduler::max_wait(TimePoint now) const {
  if (!runnable_.empty()) return Milliseconds(0);
  if (timers_.empty()) return Milliseconds(-1);
  const auto remaining = std::chrono::ceil<Milliseconds>(timers_.begin()->first.first - now);
  return std::clamp(remaining, Milliseconds(0), kMaxEpollWait);
}

void Scheduler::poll_descriptors() {
  const TimePoint wait_started = Clock::now();
  const Milliseconds wait = max_wait(wait_started);
  const int count = ::epoll_wait(epoll_.get(), event_batch_.data(), static_cast<int>(event_batch_.size()),
                                 static_cast<int>(wait.count()));
  turn_started_ = Clock::now();
  ++turn_;
  resumes_left_ = kMaxResumesPerTurn;
  if (count < 0) return;  // interrupted by a signal: nothing has been polled
  const bool more_may_be_ready = static_cast<std::size_t>(count) == event_batch_.size();
  if (!more_may_be_ready || ++full_batches_ >= kMaxFullBatchesAheadOfTimers) {
    // A wait that ends without an event has looked at the descriptors at its end.
    polled_until_ = count == 0 ? wait_started + wait : wait_started;
    full_batches_ = 0;
  }
  for (int i = 0; i < count; ++i)
    if (event_batch_[i].data.ptr)
      static_cast<ReadinessHandler*>(event_batch_[i].data.ptr)->on_ready(event_batch_[i].events);
  for (int i = 0; i < count; ++i) event_batch_[i].data.ptr = nullptr;
}

void Scheduler::run() {
  stopped_ = false;
  while (!stopped_) {
    poll_descriptors();
    resume_runnable();
    run_due_timers();
    resume_runnable();
    if (uncaught_exception_) std::rethrow_exception(std::exchange(uncaught_exception_, nullptr));
    if (!stopped_) check_turn_duration();
  }
}

}  // namespace kelpdeal
