// SPDX-License-Identifier: MIT
// Tracks the phases of one query: which parts each phase has, which have been received, what the next phase
// requests and how long it may last. Performs no I/O; the caller passes in the current time.
//
// A later phase repeats some of the slices of the previous one, those with the best scores. If the answer of
// the first phase may be returned (`keep_first_answer`), a later phase never loses it: it ends early enough,
// and if it yields nothing, the earlier answer is returned as a partial one.
#pragma once

#include <cstddef>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::phases {

struct PhaseRules {
  std::size_t second_phase_parts = 0;  // maximum parts of the second phase; 0: no second phase
  bool keep_first_answer = false;      // return the first phase's answer if the second yields none
  Duration slo{};                      // SLO of the class: an answer by then earns its full value
};

// The state of one query. begin_phase() starts the first phase, advance() ends a phase and starts the next.
class PhasePlan {
 public:
  PhasePlan(const PhaseRules& rules, TimePoint arrived, TimePoint expires)
      : rules_(rules), arrived_(arrived), expires_(expires) {}

  // Starts a phase with the shards of its parts.
  void begin_phase(std::vector<int> shards, TimePoint now);
  // Records that part `index` of a phase has been received. Returns false if that phase is over or the part
  // already has a value: the new value must not count.
  bool record_part(int phase, std::size_t index, double score);
  // Ends the current phase, which has an answer, whole or not, and starts the next one. Returns the indices
  // of the parts that the next phase repeats, by descending score, then ascending shard; empty after the last
  // phase.
  std::vector<std::size_t> advance(bool whole, TimePoint now);

  int phase() const { return phase_; }  // starts at 1
  bool is_later_phase() const { return phase_ > 1; }
  bool first_whole() const { return first_whole_; }
  // The shards received by the end of the first phase, sorted.
  const std::vector<int>& first_phase_shards() const { return first_phase_shards_; }
  std::vector<int> missing() const;    // shards not received, of the completed phases and the current one
  std::size_t received_parts() const;  // of the current phase
  std::size_t parts() const { return shards_.size(); }
  std::size_t open_count() const { return 1 + shards_.size(); }  // as counted against the limit of open parts

  // Whether an earlier phase has an answer that is returned if the current one yields none.
  bool has_fallback_answer() const { return rules_.keep_first_answer && is_later_phase(); }
  // When the current phase must end, leaving `margin` to send the answer. While a fallback answer would still
  // meet the SLO, the phase ends in time for that: after the SLO both answers earn next to nothing.
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
