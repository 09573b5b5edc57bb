// SPDX-License-Identifier: MIT
// The copy on disk, in SQLite: what a member held outlives its process, and a power cut. It is read once, at
// the start; after that a thread of its own writes batch by batch, each one transaction, so that the loop
// never waits for the disk. A disk that is full, slow, read-only or damaged is told of and worked without.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "kelpdeal/fleet/member.h"
#include "kelpdeal/scheduler.h"

namespace kelpdeal::fleet {

class Database;  // the SQLite file; known to store.cpp alone

// What a folder held.
struct Loaded {
  Member::Kept kept;
  std::uint64_t incarnation = 0;  // of the last process that used it; 0: none
  std::size_t damaged = 0;        // rows that could not be read; the file was set aside
  std::string problem;            // one line, where something was wrong; empty: nothing
};

struct Batch {
  struct Row {
    replica::Key key;
    std::uint64_t rank = 0;
    std::uint64_t unshared = 0;  // the mark of its change, while nobody else is known to hold it; else 0
    std::string bytes;
  };
  bool anew = false;  // all rows of before go first
  bool more = false;  // the batch after this one is of the same transaction; only the last is kept
  std::vector<Row> rows;
  std::vector<replica::Key> gone;
  std::uint64_t end_mark = 0;  // the copy's mark that this brings the folder to
  std::uint64_t shared = 0;    // rows up to this mark are held by others as well
  replica::MissedCollections missed_collections;
  std::uint64_t incarnation = 0;  // of the process that writes
};

struct Written {
  bool ok = false;
  std::uint64_t end_mark = 0;
  bool damaged = false;  // the file was set aside; all has to be written anew
  std::string problem;
};

class Store {
 public:
  // Opens or makes the folder's file, and reads it. Blocks for as long as the disk takes: at the start only.
  Store(Scheduler& scheduler, const std::string& folder, std::function<void(const Written&)> done);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  Loaded take_loaded() { return std::move(loaded_); }
  // Kept before anything is said under it. False if the disk does not take it.
  bool keep_incarnation(std::uint64_t incarnation, std::string& problem);
  // One at a time: done() tells how it went, on the loop.
  void write(Batch batch);
  bool busy() const { return busy_; }

 private:
  class Bell;  // wakes the loop
  void work();

  const std::string folder_;
  const std::function<void(const Written&)> done_;
  Loaded loaded_;
  std::unique_ptr<Database> database_;  // the thread's, once it runs
  std::unique_ptr<Bell> bell_;
  bool busy_ = false;
  std::mutex mutex_;
  std::condition_variable wanted_;
  std::optional<Batch> batch_;      // under the mutex
  std::optional<Written> written_;  // under the mutex
  bool stop_ = false;               // under the mutex
  std::thread thread_;
};

}  // namespace kelpdeal::fleet
