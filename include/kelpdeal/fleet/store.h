// SPDX-License-Identifier: MIT
// Stores the shared state in SQLite, so that it survives restarts and power failures. The file is read once
// at the start; then a separate thread writes batches, one transaction each, so that the event loop never
// waits for the disk. If the disk is full, slow, read-only or the file is damaged, that is reported and the
// member continues without it.
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

class Database;  // the SQLite file; internal to store.cpp

// The contents of a folder.
struct LoadedState {
  Member::SavedState saved_state;
  std::uint64_t incarnation = 0;  // of the last process that used it; 0: none
  std::size_t damaged = 0;        // unreadable rows; the file was then set aside
  std::string problem;            // one line; empty: no problem
};

struct Batch {
  struct Row {
    replica::Key key;
    std::uint64_t rank = 0;
    // The mark of the change if no other member is known to hold it; otherwise 0.
    std::uint64_t unshared = 0;
    std::string bytes;
  };
  bool replace_all = false;  // removes all previous rows first
  // The next batch belongs to the same transaction, which is committed with the last one.
  bool more_follows = false;
  std::vector<Row> rows;
  std::vector<replica::Key> removed;
  std::uint64_t end_mark = 0;     // the mark of the shared state that this batch reaches
  std::uint64_t shared_mark = 0;  // rows up to this mark are held by other members as well
  replica::MissedCollections missed_collections;
  std::uint64_t incarnation = 0;  // of the writing process
};

struct WriteResult {
  bool ok = false;
  std::uint64_t end_mark = 0;
  bool damaged = false;  // the file was set aside; everything must be written again
  std::string problem;
};

class Store {
 public:
  // Opens or creates the folder's file and reads it. Blocks on the disk, so it may be used at the start only.
  Store(Scheduler& scheduler, const std::string& folder, std::function<void(const WriteResult&)> done);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  LoadedState take_loaded() { return std::move(loaded_); }
  // Stores the incarnation before anything is sent under it. Returns false if the disk fails.
  bool save_incarnation(std::uint64_t incarnation, std::string& problem);
  // One batch at a time; done() is called on the loop with the result.
  void write(Batch batch);
  bool busy() const { return busy_; }

 private:
  class LoopNotifier;  // wakes the event loop
  void run_writer();

  const std::string folder_;
  const std::function<void(const WriteResult&)> done_;
  LoadedState loaded_;
  std::unique_ptr<Database> database_;  // used only by the thread once that runs
  std::unique_ptr<LoopNotifier> notifier_;
  bool busy_ = false;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::optional<Batch> batch_;          // guarded by mutex_
  std::optional<WriteResult> written_;  // guarded by mutex_
  bool stop_ = false;                   // guarded by mutex_
  std::thread thread_;
};

}  // namespace kelpdeal::fleet
