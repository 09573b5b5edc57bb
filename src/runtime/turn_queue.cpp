// SPDX-License-Identifier: MIT
#include "kelpdeal/turn_queue.h"

#include <algorithm>

namespace kelpdeal {

Task<void> TurnQueue::pass() {
  if (waiting_.empty() && budget_.take()) co_return;
  Parker parker(scheduler_);
  // Leaves the queue also when its coroutine is destroyed while it waits.
  struct Place {
    Place(std::list<Parker*>& queue, Parker& waiting) : queue(queue), waiting(&waiting) {
      queue.push_back(this->waiting);
    }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;
    ~Place() { std::erase(queue, waiting); }
    std::list<Parker*>& queue;
    Parker* waiting;
  };
  const Place place(waiting_, parker);
  if (waiting_.size() == 1) timer_ = scheduler_.at(Clock::now(), [this] { resume_first(); });
  co_await parker.park();
}

void TurnQueue::resume_first() {
  for (int i = 0; i < per_turn_ && !waiting_.empty(); ++i) {
    Parker* const first = waiting_.front();
    waiting_.pop_front();
    first->wake();
  }
  if (!waiting_.empty()) timer_ = scheduler_.at(Clock::now(), [this] { resume_first(); });
}

}  // namespace kelpdeal
