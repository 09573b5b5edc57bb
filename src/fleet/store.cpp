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

// Each row carries a hash of its own, as a disk may change bytes that SQLite does not look at.
std::int64_t hash_of(const replica::Key& key, const std::string& bytes) {
  return static_cast<std::int64_t>(
      XXH64(bytes.data(), bytes.size(), XXH64(key.name.data(), key.name.size(), key.kind)));
}

struct DiskError : std::runtime_error {
  DiskError(const std::string& text, int code) : std::runtime_error(text), code(code & 0xff) {}
  bool damaged() const { return code == SQLITE_CORRUPT || code == SQLITE_NOTADB; }
  int code;
};

constexpr const char* kTables =
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

  // The file as it is goes aside, for whoever wants to look at it, and an empty one takes its place.
  void set_aside() {
    handle_.reset();
    open_ = false;
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

  std::uint64_t fact(const char* name) {
    Statement read(*this, "SELECT value FROM facts WHERE name=?");
    sqlite3_bind_text(read.statement.get(), 1, name, -1, SQLITE_STATIC);
    return read.step() ? read.number(0) : 0;
  }
  void set_fact(const char* name, std::uint64_t value) {
    Statement put(*this, "INSERT OR REPLACE INTO facts VALUES(?, ?)");
    sqlite3_bind_text(put.statement.get(), 1, name, -1, SQLITE_STATIC);
    put.number(2, value).run();
  }

  Loaded load() {
    Loaded loaded;
    {
      Statement check(*this, "PRAGMA quick_check(1)");
      if (!check.step() || check.bytes(0) != "ok") throw DiskError("the file is damaged", SQLITE_CORRUPT);
    }
    loaded.incarnation = fact("incarnation");
    Statement rounds(*this, "SELECT substr(name, 7), value FROM facts WHERE name LIKE 'round/%'");
    while (rounds.step()) {
      const std::string members = rounds.bytes(0);
      const std::size_t gap = std::min(members.find(' '), members.size());
      loaded.kept.rounds[{members.substr(0, gap), members.substr(std::min(gap + 1, members.size()))}] =
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
      (unshared < 0   ? loaded.kept.collected
       : unshared > 0 ? loaded.kept.unshared
                      : loaded.kept.shared)
          .push_back(std::move(item));
    }
    return loaded;
  }

  void write(const Batch& batch) {
    if (!open_ || batch.anew) {
      roll_back();
      execute("BEGIN IMMEDIATE");
      open_ = true;
    }
    try {
      if (batch.anew) execute("DELETE FROM entries WHERE unshared >= 0");
      {
        Statement put(*this, "INSERT OR REPLACE INTO entries VALUES(?, ?, ?, ?, ?, ?)");
        for (const Batch::Row& row : batch.rows) {
          put.number(1, row.key.kind).bytes(2, row.key.name).number(3, row.rank).number(4, row.unshared);
          put.number(5, static_cast<std::uint64_t>(hash_of(row.key, row.bytes))).bytes(6, row.bytes).run();
        }
        // A lifted ban is no entry any more, but an old copy of it is to be known again.
        Statement erase(*this, "DELETE FROM entries WHERE kind=? AND name=?");
        Statement retire(*this, "UPDATE entries SET unshared=-1 WHERE kind=? AND name=?");
        for (const replica::Key& key : batch.gone)
          (key.kind == 0 ? retire : erase).number(1, key.kind).bytes(2, key.name).run();
        Statement share(*this, "UPDATE entries SET unshared=0 WHERE unshared>0 AND unshared<=?");
        share.number(1, batch.shared).run();
      }
      if (batch.more) return;
      for (const auto& [members, number] : batch.rounds)
        set_fact(("round/" + members.first + " " + members.second).c_str(), number);
      set_fact("incarnation", batch.incarnation);
      execute("COMMIT");
      open_ = false;
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
    // A commit is on the disk when it returns (FULL); the log beside the file costs one flush, not two.
    execute("PRAGMA journal_mode=WAL");
    execute("PRAGMA synchronous=FULL");
    execute(kTables);
  }
  void roll_back() {
    if (std::exchange(open_, false)) sqlite3_exec(handle_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
  }
  [[noreturn]] void fail(int code) {
    throw DiskError(handle_ ? sqlite3_errmsg(handle_.get()) : sqlite3_errstr(code), code);
  }

  const std::string path_;
  std::unique_ptr<sqlite3, Close> handle_;
  bool open_ = false;  // a transaction
};

class Store::Bell : private ReadinessHandler {
 public:
  Bell(Scheduler& scheduler, std::function<void()> rung)
      : scheduler_(scheduler), rung_(std::move(rung)), descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    scheduler_.watch(descriptor_.get(), EPOLLIN, *this);
  }
  ~Bell() override { scheduler_.unwatch(descriptor_.get(), *this); }
  void ring() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto put = ::write(descriptor_.get(), &one, sizeof one);
  }

 private:
  void on_ready(std::uint32_t) override {
    std::uint64_t count = 0;
    if (::read(descriptor_.get(), &count, sizeof count) == sizeof count) rung_();
  }
  Scheduler& scheduler_;
  std::function<void()> rung_;
  Descriptor descriptor_;
};

Store::Store(Scheduler& scheduler, const std::string& folder, std::function<void(const Written&)> done)
    : folder_(folder), done_(std::move(done)) {
  const auto aside = [this](const std::string& why) {
    loaded_.problem = "the copy in " + folder_ + " is damaged and set aside: " + why;
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
      // What can be read counts; the rest comes from the peers.
      if (loaded_.damaged > 0) aside(std::to_string(loaded_.damaged) + " rows");
    } catch (const DiskError& e) {
      loaded_ = {};
      loaded_.problem = "no copy in " + folder_ + ": " + e.what();
      if (!e.damaged()) break;
      if (database_) {
        aside(e.what());
      } else {  // no database at all: it goes aside by its name, and the next try makes one
        loaded_.damaged = 1;
        std::error_code failed;
        const std::string path = folder_ + "/fleet.db";
        std::filesystem::rename(path, path + ".damaged-" + std::to_string(std::time(nullptr)), failed);
        if (failed) break;
      }
    }
  }
  bell_ = std::make_unique<Bell>(scheduler, [this] {
    std::optional<Written> written;
    {
      const std::lock_guard lock(mutex_);
      written = std::exchange(written_, std::nullopt);
    }
    if (!written) return;
    busy_ = false;
    done_(*written);
  });
  thread_ = std::thread([this] { work(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wanted_.notify_one();
  thread_.join();
}

bool Store::keep_incarnation(std::uint64_t incarnation, std::string& problem) {
  // Before the first batch: the thread does not touch the file yet.
  try {
    if (!database_) throw DiskError("no file", SQLITE_CANTOPEN);
    database_->set_fact("incarnation", incarnation);
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
  wanted_.notify_one();
}

void Store::work() {
  for (;;) {
    std::optional<Batch> batch;
    {
      std::unique_lock lock(mutex_);
      wanted_.wait(lock, [this] { return stop_ || batch_; });
      batch = std::exchange(batch_, std::nullopt);
      if (!batch) return;  // what was handed in is written before the end
    }
    Written written;
    written.upto = batch->upto;
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
        } catch (const DiskError& again) {
          written.problem += std::string("; ") + again.what();
          database_ = nullptr;
        }
      }
    }
    {
      const std::lock_guard lock(mutex_);
      written_ = std::move(written);
    }
    bell_->ring();
  }
}

}  // namespace kelpdeal::fleet
