// SPDX-License-Identifier: MIT
// The ids of the parts that were sent on one connection to a record node. Nodes match answers to parts by
// nothing but the id, and clients choose the ids of their queries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace kelpdeal {

// Tracks which parts of a connection may still be answered, so that no answer is taken for that of another
// part. An id that may still be answered is never forgotten: full() tells when no further part may be sent.
// No I/O.
class PartIds {
 public:
  // Identifies the query of a part within this process.
  using QueryNumber = std::uint64_t;
  // expected: of a part that is out. late: of a part that was given up, or a second answer. unknown: of no
  // part that was sent on the connection.
  enum class Answer { expected, late, unknown };

  // `max_past`: the number of given-up parts at which the connection is full, and the number of answered
  // parts whose second answer is recognized.
  explicit PartIds(std::size_t max_past) : max_past_(max_past) {}

  // Whether a part of this query may be sent under the id: it is not in use on the connection, and no answer
  // to a part of another query can still arrive under it.
  bool available(const std::string& id, QueryNumber query) const;
  // A part is about to be sent under an available id.
  void queue(const std::string& id, QueryNumber query);
  // The part was not sent after all.
  void discard(const std::string& id);
  void written(const std::string& id);
  // The part, which was written, is not waited for any longer. It may still be answered.
  void give_up(const std::string& id);
  // An answer has arrived.
  Answer answered(const std::string& id);
  // Forgets the answered parts, to free memory: their second answers are then unknown.
  void forget_answered();
  // True if so many parts were given up that no further part may be sent.
  bool full() const { return given_up_count_ >= max_past_; }
  std::size_t size() const { return entries_.size(); }

 private:
  enum class Current { none, queued, written };
  enum class Past { none, given_up, answered };
  struct Entry {
    QueryNumber query = 0;
    Current current = Current::none;
    Past past = Past::none;  // an earlier part of the same query under this id
  };
  using Entries = std::unordered_map<std::string, Entry>;
  void set_past(Entries::iterator entry, Past past);
  void forget_first_answered();

  const std::size_t max_past_;
  Entries entries_;
  std::deque<const std::string*> answered_;  // keys of `entries_`, oldest first
  std::size_t given_up_count_ = 0;
};

}  // namespace kelpdeal
