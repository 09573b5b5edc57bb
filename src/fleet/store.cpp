// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/store.h"

#include <sqlite3.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <xxhash.h>

#include <ctime>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include "kelpdeal/descriptor.h"

namespace kelpdeal::fleet {
namespace {

// Each row carries its own hash, as SQLite does not detect every change of bytes on disk.
std::int64_t hash_of(const replica::Key& key, const std::string& bytes) {
  return static_cast<std::int64_t>(
      XXH64(bytes.data(), bytes.size(), XXH64(key.name.data(), key.name.size(), key.kind)));
}

struct DiskError : std::runtime_error {
  DiskError(const std::string& text, int code) : std::runtime_error(text), code(code & 0xff) {}
  bool damaged() const { return code == SQLITE_CORRUPT || code == SQLITE_NOTADB; }
  int code;
};

constexpr const char* kSchema =
    "CREATE TABLE IF NOT EXISTS entries(kind INTEGER, name BLOB, rank INTEGER, unshared INTEGER, hash "
    "INTEGER,"
    " bytes BLOB, PRIMARY KEY(kind, name)) WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS facts(name TEXT PRIMARY KEY, value INTEGER) WITHOUT ROWID;";

}  // namespace

class Database {
 public:
  // Throws DiskError.
  explicit Database(const std::string& folder) : path_(folder + "/fleet.db") {
    std::error_code failed;
    std::filesystem::create_directories(folder, failed);
    open();
  }

  // Renames the file for later inspection and creates an empty one.
  void set_aside() {
    handle_.reset();
    in_transaction_ = false;
    const std::string aside = path_ + ".damaged-" + std::to_string(std::time(nullptr));
    for (const char* end : {"", "-wal", "-shm"}) {
      std::error_code failed;
      std::filesystem::rename(path_ + end, aside + end, failed);
    }
    open();
  }

  void execute(const char* sql) {
    if (const int code = sqlite3_exec(handle_.get(), sql, nullptr, nullptr, nullptr); code != SQLITE_OK)
      fail(code);
  }

  struct Statement {
    Statement(Database& database, const char* sql) : database(database) {
      sqlite3_stmt* made = nullptr;
      const int code = sqlite3_prepare_v2(database.handle_.get(), sql, -1, &made, nullptr);
      if (code != SQLITE_OK) database.fail(code);
      statement.reset(made);
    }
    Statement& number(int at, std::uint64_t value) {
      sqlite3_bind_int64(statement.get(), at, static_cast<std::int64_t>(value));
      return *this;
    }
    Statement& bytes(int at, const std::string& value) {
      sqlite3_bind_blob(statement.get(), at, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
      return *this;
    }
    bool step() {
      const int code = sqlite3_step(statement.get());
      if (code != SQLITE_ROW && code != SQLITE_DONE) database.fail(code);
      return code == SQLITE_ROW;
    }
    void run() {
      step();
      sqlite3_reset(statement.get());
    }
    std::uint64_t number(int at) const {
      return static_cast<std::uint64_t>(sqlite3_column_int64(statement.get(), at));
    }
    std::string bytes(int at) const {
      const void* data = sqlite3_column_blob(statement.get(), at);
      const int size = sqlite3_column_bytes(statement.get(), at);
      return data ? std::string(static_cast<const char*>(data), static_cast<std::size_t>(size))
                  : std::string();
    }
    Database& database;
    struct Finish {
      void operator()(sqlite3_stmt* made) const { sqlite3_finalize(made); }
    };
    std::unique_ptr<sqlite3_stmt, Finish> statement;
  };

  std::uint64_t read_fact(const char* name) {
    Statement read(*this, "SELECT value FROM facts WHERE name=?");
    sqlite3_bind_text(read.statement.get(), 1, name, -1, SQLITE_STATIC);
    return read.step() ? read.number(0) : 0;
  }
  void write_fact(const char* name, std::uint64_t value) {
    Statement put(*this, "INSERT OR REPLACE INTO facts VALUES(?, ?)");
    sqlite3_bind_text(put.statement.get(), 1, name, -1, SQLITE_STATIC);
    put.number(2, value).run();
  }

  LoadedState load() {
    LoadedState loaded;
    {
      Statement check(*this, "PRAGMA quick_check(1)");
      if (!check.step() || check.bytes(0) != "ok") throw DiskError("the file is damaged", SQLITE_CORRUPT);
    }
    loaded.incarnation = read_fact("incarnation");
    Statement rounds(*this, "SELECT substr(name, 7), value FROM facts WHERE name LIKE 'round/%'");
    while (rounds.step()) {
      const std::string members = rounds.bytes(0);
      const std::size_t gap = std::min(members.find(' '), members.size());
      loaded.saved_state
          .missed_collections[{members.substr(0, gap), members.substr(std::min(gap + 1, members.size()))}] =
          static_cast<std::uint32_t>(rounds.number(1));
    }
    Statement read(*this, "SELECT kind, name, rank, unshared, hash, bytes FROM entries ORDER BY unshared");
    while (read.step()) {
      replica::Item item;
      item.key = {static_cast<std::uint32_t>(read.number(0)), read.bytes(1)};
      const std::string bytes = read.bytes(5);
      if (static_cast<std::int64_t>(read.number(4)) != hash_of(item.key, bytes) ||
          !replica::decode(item.key.kind, read.number(2), bytes, item.value)) {
        ++loaded.damaged;
        continue;
      }
      const auto unshared = static_cast<std::int64_t>(read.number(3));
      (unshared < 0   ? loaded.saved_state.tombstones
       : unshared > 0 ? loaded.saved_state.unshared
                      : loaded.saved_state.shared)
          .push_back(std::move(item));
    }
    return loaded;
  }

  void write(const Batch& batch) {
    if (!in_transaction_ || batch.replace_all) {
      roll_back();
      execute("BEGIN IMMEDIATE");
      in_transaction_ = true;
    }
    try {
      if (batch.replace_all) execute("DELETE FROM entries WHERE unshared >= 0");
      {
        Statement put(*this, "INSERT OR REPLACE INTO entries VALUES(?, ?, ?, ?, ?, ?)");
        for (const Batch::Row& row : batch.rows) {
          put.number(1, row.key.kind).bytes(2, row.key.name).number(3, row.rank).number(4, row.unshared);
          put.number(5, static_cast<std::uint64_t>(hash_of(row.key, row.bytes))).bytes(6, row.bytes).run();
        }
        // A lifted ban is no longer an entry, but is stored as a tombstone to recognise stale copies.
        Statement erase(*this, "DELETE FROM entries WHERE kind=? AND name=?");
        Statement retire(*this, "UPDATE entries SET unshared=-1 WHERE kind=? AND name=?");
        for (const replica::Key& key : batch.removed)
          (key.kind == 0 ? retire : erase).number(1, key.kind).bytes(2, key.name).run();
        Statement share(*this, "UPDATE entries SET unshared=0 WHERE unshared>0 AND unshared<=?");
        share.number(1, batch.shared_mark).run();
      }
      if (batch.more_follows) return;
      for (const auto& [members, number] : batch.missed_collections)
        write_fact(("round/" + members.first + " " + members.second).c_str(), number);
      write_fact("incarnation", batch.incarnation);
      execute("COMMIT");
      in_transaction_ = false;
    } catch (...) {
      roll_back();
      throw;
    }
  }

 private:
  struct Close {
    void operator()(sqlite3* handle) const { sqlite3_close(handle); }
  };
  void open() {
    sqlite3* made = nullptr;
    const int code =
        sqlite3_open_v2(path_.c_str(), &made, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    handle_.reset(made);
    if (code != SQLITE_OK) fail(code);
    sqlite3_busy_timeout(made, 200);
    // A commit is on disk when it returns (FULL); the write-ahead log costs one flush instead of two.
    execute("PRAGMA journal_mode=WAL");
    execute("PRAGMA synchronous=FULL");
    execute(kSchema);
  }
  void roll_back() {
    if (std::exchange(in_transaction_, false))
      sqlite3_exec(handle_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
  }
  [[noreturn]] void fail(int code) {
    throw DiskError(handle_ ? sqlite3_errmsg(handle_.get()) : sqlite3_errstr(code), code);
  }

  const std::string path_;
  std::unique_ptr<sqlite3, Close> handle_;
  bool in_transaction_ = false;  // whether a transaction is open
};

class Store::LoopNotifier : private ReadinessHandler {
 public:
  LoopNotifier(Scheduler& scheduler, std::function<void()> on_notify)
      : scheduler_(scheduler),
        on_notify_(std::move(on_notify)),
        descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    scheduler_.watch(descriptor_.get(), EPOLLIN, *this);
  }
  ~LoopNotifier() override { scheduler_.unwatch(descriptor_.get(), *this); }
  void notify() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto put = ::write(descriptor_.get(), &one, sizeof one);
  }

 private:
  void on_ready(std::uint32_t) override {
    std::uint64_t count = 0;
    if (::read(descriptor_.get(), &count, sizeof count) == sizeof count) on_notify_();
  }
  Scheduler& scheduler_;
  std::function<void()> on_notify_;
  Descriptor descriptor_;
};

Store::Store(Scheduler& scheduler, const std::string& folder, std::function<void(const WriteResult&)> done)
    : folder_(folder), done_(std::move(done)) {
  const auto aside = [this](const std::string& why) {
    loaded_.problem = "the state in " + folder_ + " is damaged and was set aside: " + why;
    try {
      database_->set_aside();
    } catch (const DiskError& e) {
      loaded_.problem += "; " + std::string(e.what());
      database_ = nullptr;
    }
  };
  for (int tries = 0; tries < 2 && !database_; ++tries) {
    try {
      database_ = std::make_unique<Database>(folder_);
      loaded_ = database_->load();
      // Readable rows are used; the rest comes from the peers.
      if (loaded_.damaged > 0) aside(std::to_string(loaded_.damaged) + " rows");
    } catch (const DiskError& e) {
      loaded_ = {};
      loaded_.problem = "cannot load the state from " + folder_ + ": " + e.what();
      if (!e.damaged()) break;
      if (database_) {
        aside(e.what());
      } else {  // not a database: it is renamed, and the next try creates one
        loaded_.damaged = 1;
        std::error_code failed;
        const std::string path = folder_ + "/fleet.db";
        std::filesystem::rename(path, path + ".damaged-" + std::to_string(std::time(nullptr)), failed);
        if (failed) break;
      }
    }
  }
  notifier_ = std::make_unique<LoopNotifier>(scheduler, [this] {
    std::optional<WriteResult> written;
    {
      const std::lock_guard lock(mutex_);
      written = std::exchange(written_, std::nullopt);
    }
    if (!written) return;
    busy_ = false;
    done_(*written);
  });
  thread_ = std::thread([this] { run_writer(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  work_available_.notify_one();
  thread_.join();
}

bool Store::save_incarnation(std::uint64_t incarnation, std::string& problem) {
  // Before the first batch, so the thread does not use the file yet.
  try {
    if (!database_) throw DiskError("database is not open", SQLITE_CANTOPEN);
    database_->write_fact("incarnation", incarnation);
    return true;
  } catch (const DiskError& e) {
    problem = e.what();
    return false;
  }
}

void Store::write(Batch batch) {
  busy_ = true;
  {
    const std::lock_guard lock(mutex_);
    batch_ = std::move(batch);
  }
  work_available_.notify_one();
}

void Store::run_writer() {
  for (;;) {
    std::optional<Batch> batch;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(lock, [this] { return stop_ || batch_; });
      batch = std::exchange(batch_, std::nullopt);
      // A batch handed in before the end is still written.
      if (!batch) return;
    }
    WriteResult written;
    written.end_mark = batch->end_mark;
    try {
      if (!database_) database_ = std::make_unique<Database>(folder_);
      database_->write(*batch);
      written.ok = true;
    } catch (const DiskError& e) {
      written.problem = e.what();
      if (e.damaged()) {
        try {
          if (database_) database_->set_aside();
          written.damaged = true;
        } catch (const DiskError& second_error) {
          written.problem += std::string("; ") + second_error.what();
          database_ = nullptr;
        }
      }
    }
    {
      const std::lock_guard lock(mutex_);
      written_ = std::move(written);
    }
    notifier_->notify();
  }
}

}  // namespace kelpdeal::fleet
