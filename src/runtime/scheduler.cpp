// SPDX-License-Identifier: MIT
#include "kelpdeal/scheduler.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace kelpdeal {

Timer& Timer::operator=(Timer&& other) noexcept {
  std::swap(scheduler_, other.scheduler_);
  std::swap(key_, other.key_);
  return *this;
}

void Timer::cancel() {
  if (scheduler_) scheduler_->timers_.erase(key_);
  scheduler_ = nullptr;
}

void Parker::Park::await_suspend(std::coroutine_handle<> handle) {
  handle_ = handle;
  parker_.waiting_ = this;
  if (deadline_ != kNever)
    timer_ = parker_.scheduler_->at(deadline_, [this] { parker_.wake(WakeReason::timed_out); });
}

void Parker::wake(WakeReason wake) {
  if (!waiting_) return;
  Park* woken = std::exchange(waiting_, nullptr);
  woken->wake_ = wake;
  woken->timer_.cancel();
  scheduler_->post(woken->handle_);
}

// The frame round a spawned task. It takes itself off the scheduler's list when it ends.
struct Scheduler::Root {
  struct promise_type {
    Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
    std::suspend_always initial_suspend() const noexcept { return {}; }
    std::suspend_never final_suspend() const noexcept { return {}; }
    void return_void() const noexcept {}
    void unhandled_exception() const noexcept { std::terminate(); }
  };
  std::coroutine_handle<promise_type> handle;
};

Scheduler::Root Scheduler::start(Task<void> task, std::list<std::coroutine_handle<>>::iterator place) {
  try {
    co_await task;
  } catch (...) {
    if (on_failure)
      on_failure(std::current_exception());
    else if (!failure_)
      failure_ = std::current_exception();
  }
  roots_.erase(place);
}

Scheduler::Scheduler() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), batch_(64) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Scheduler::~Scheduler() { destroy_tasks(); }

void Scheduler::destroy_tasks() {
  while (!roots_.empty()) {
    const auto handle = roots_.front();
    roots_.pop_front();
    handle.destroy();
  }
  ready_.clear();  // what is left in it belongs to frames that are gone
}

void Scheduler::spawn(Task<void> task) {
  const auto place = roots_.emplace(roots_.end());
  *place = start(std::move(task), place).handle;
  post(*place);
}

Timer Scheduler::at(TimePoint when, std::function<void()> action) {
  Timer timer;
  timer.scheduler_ = this;
  timer.key_ = {when, ++timer_number_};
  timers_.emplace(timer.key_, std::move(action));
  return timer;
}

Task<void> Scheduler::sleep_until(TimePoint when) {
  Parker parker(*this);
  co_await parker.park(when);
}

void Scheduler::watch(int fd, std::uint32_t events, ReadinessHandler& readiness) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = &readiness;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void Scheduler::unwatch(int fd, ReadinessHandler& readiness) {
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  // Guards against an event of this batch that is still to be handed to what is being taken down.
  for (epoll_event& event : batch_)
    if (event.data.ptr == &readiness) event.data.ptr = nullptr;
}

void Scheduler::fire_timers() {
  const TimePoint now = Clock::now();
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
  }
}

void Scheduler::resume_ready() {
  while (!ready_.empty() && !stopped_) {
    const auto handle = ready_.front();
    ready_.pop_front();
    handle.resume();
  }
}

void Scheduler::run() {
  stopped_ = false;
  while (!stopped_) {
    resume_ready();
    fire_timers();
    if (failure_) std::rethrow_exception(std::exchange(failure_, nullptr));
    if (stopped_) break;
    int wait = -1;
    if (!ready_.empty()) {
      wait = 0;
    } else if (!timers_.empty()) {
      const auto left = std::chrono::ceil<Milliseconds>(timers_.begin()->first.first - Clock::now());
      wait = static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 60'000));
    }
    const int count = ::epoll_wait(epoll_.get(), batch_.data(), static_cast<int>(batch_.size()), wait);
    for (int i = 0; i < count; ++i)
      if (batch_[i].data.ptr) static_cast<ReadinessHandler*>(batch_[i].data.ptr)->on_ready(batch_[i].events);
    for (int i = 0; i < count; ++i) batch_[i].data.ptr = nullptr;
  }
}

}  // namespace kelpdeal
