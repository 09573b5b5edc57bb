// SPDX-License-Identifier: MIT
// Receives the values of a request's parts as they arrive, for a front that merges them itself instead of
// getting them in the reply.
#pragma once

#include <string>

namespace kelpdeal {

class PartSink {
 public:
  virtual ~PartSink() = default;
  // Validates a value before it is accepted. The attempt that brought an unusable value counts as failed and
  // may have run.
  virtual bool usable(int step, int shard, const std::string& value) = 0;
  // Takes an accepted value. Called at most once for each step and shard; an accepted value is never
  // withdrawn.
  virtual void take(int step, int shard, double score, std::string value) = 0;
  // The second step failed: the result is that of the first step, and values of the second are discarded.
  virtual void keep_first() = 0;
};

}  // namespace kelpdeal
