// SPDX-License-Identifier: MIT
// Lets a bounded number of coroutines through in each turn of the loop, in the order in which they came. For
// work that would otherwise delay everything else when many peers cause it at once.
#pragma once

#include <list>

#include "kelpdeal/scheduler.h"

namespace kelpdeal {

class TurnQueue {
 public:
  TurnQueue(Scheduler& scheduler, int per_turn)
      : scheduler_(scheduler), per_turn_(per_turn), budget_(scheduler, per_turn) {}
  // Returns when it is the caller's turn.
  Task<void> pass();

 private:
  void resume_first();
  Scheduler& scheduler_;
  const int per_turn_;
  TurnBudget budget_;
  std::list<Parker*> waiting_;
  Timer timer_;
};

}  // namespace kelpdeal
