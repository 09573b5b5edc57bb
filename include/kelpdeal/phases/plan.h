// SPDX-License-Identifier: MIT
// The phases of one query as data: which parts each has, what is in, what the next one asks, and until when
// it may last. No I/O: the clock is handed in.
//
// A later phase asks some of the slices of the one before once more, the best-scoring first. Where the answer
// of the phase before may go out (`keeps`), a later phase never costs it: it ends early enough, and when it
// brings nothing the earlier answer goes out, as a partial one.
#pragma once

#include <cstddef>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::phases {

struct PhaseRules {
  std::size_t second_phase_parts = 0;  // parts of a second phase, at the most; 0: there is none
  bool keep_first_answer = false;      // the first phase's answer goes out when the second brings none
  Duration aim{};                      // of the class: an answer by then earns its worth
};

class PhasePlan {
 public:
  PhasePlan(const PhaseRules& rules, TimePoint arrived, TimePoint expires)
      : rules_(rules), arrived_(arrived), expires_(expires) {}

  // The first phase, by the shards of its parts.
  void begin_phase(std::vector<int> shards, TimePoint now);
  // Part `place` of a phase is in. False if that phase is over: its value must not count.
  bool record_part(int phase, std::size_t index, double score);
  // The phase under way has an answer, whole or not. The places of its parts that the next phase asks, best
  // score first and then lowest shard; empty if it was the last.
  std::vector<std::size_t> advance(bool whole, TimePoint now);

  int phase() const { return phase_; }  // from 1
  bool is_later_phase() const { return phase_ > 1; }
  bool first_whole() const { return first_whole_; }
  const std::vector<int>& first_phase_shards() const {
    return first_phase_shards_;
  }                                    // shards in at the end of the first phase, sorted
  std::vector<int> missing() const;    // shards not in: of the phases that ended, and of this one
  std::size_t received_parts() const;  // parts of this phase that are
  std::size_t parts() const { return shards_.size(); }
  std::size_t open_count() const { return 1 + shards_.size(); }  // of what a coordinator may hold

  // Whether an earlier phase has an answer that goes out if this one brings none.
  bool has_fallback_answer() const { return rules_.keep_first_answer && is_later_phase(); }
  // How long this phase may last, with `margin` to bring an answer out. Beside a kept answer that is still in
  // time, no longer than it stays so: late, both earn next to nothing.
  TimePoint deadline(Duration margin) const;

 private:
  const PhaseRules rules_;
  const TimePoint arrived_, expires_;
  TimePoint phase_started_{};
  int phase_ = 0;
  bool first_whole_ = false;
  std::vector<int> shards_, first_phase_shards_, missing_;
  std::vector<bool> received_;
  std::vector<double> scores_;
};

}  // namespace kelpdeal::phases
