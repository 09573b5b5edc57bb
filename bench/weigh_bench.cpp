// SPDX-License-Identifier: MIT
// Compares candidates for the state that coordinators share: msgpack and flatbuffers for encoding a piece of
// entries, SQLite and LMDB for a commit flushed to disk. Target `kelpdeal_weigh_bench`; the databases are
// created in $TMPDIR.
#include <benchmark/benchmark.h>
#include <flatbuffers/flatbuffers.h>
#include <lmdb.h>
#include <sqlite3.h>

#include <filesystem>
#include <stdexcept>

#include "kelpdeal/peers/codec.h"

namespace {

using namespace kelpdeal;
using namespace kelpdeal::replica;

Delta make_piece(std::int64_t entries) {
  Delta delta;
  delta.incarnation = 1;
  delta.end_mark = delta.latest_mark = static_cast<std::uint64_t>(entries);
  for (std::int64_t i = 0; i < entries; ++i) {
    Operation operation;
    operation.state = Operation::State::may_have_run;
    operation.first_ms = 1'800'000'000'000 + i;
    operation.until_ms = operation.first_ms + 600'000;
    operation.attempts["m1"] = 1;
    delta.items.push_back({{kind_of(operation), "inspection-log/key-" + std::to_string(i)}, operation});
  }
  return delta;
}

void msgpack_encode(benchmark::State& state) {
  const Delta delta = make_piece(state.range(0));
  std::size_t bytes = 0;
  for (auto _ : state) bytes = peers::encode(delta).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
void msgpack_decode(benchmark::State& state) {
  const std::string bytes = peers::encode(make_piece(state.range(0)));
  for (auto _ : state) {
    Delta delta;
    if (!peers::decode(bytes, {}, delta)) state.SkipWithError("decoding failed");
  }
}

// Encodes the same entries as a vector of tables {kind, name, rank, bytes}, as code generated from a schema
// would.
std::size_t encode_flatbuffers(flatbuffers::FlatBufferBuilder& builder, const Delta& delta) {
  std::vector<flatbuffers::Offset<flatbuffers::Table>> items;
  for (const Item& item : delta.items) {
    const auto name = builder.CreateString(item.key.name);
    const std::string value = encode(item.value);
    const auto bytes =
        builder.CreateVector(reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
    const auto start = builder.StartTable();
    builder.AddElement<std::uint32_t>(4, item.key.kind, 0);
    builder.AddOffset(6, name);
    builder.AddElement<std::uint64_t>(8, rank(item.value), 0);
    builder.AddOffset(10, bytes);
    items.emplace_back(builder.EndTable(start));
  }
  const auto all = builder.CreateVector(items);
  const auto start = builder.StartTable();
  builder.AddElement<std::uint64_t>(4, delta.incarnation, 0);
  builder.AddElement<std::uint64_t>(6, delta.end_mark, 0);
  builder.AddElement<std::uint64_t>(8, delta.latest_mark, 0);
  builder.AddOffset(10, all);
  builder.Finish(flatbuffers::Offset<flatbuffers::Table>(builder.EndTable(start)));
  return builder.GetSize();
}
void flatbuffers_encode(benchmark::State& state) {
  const Delta delta = make_piece(state.range(0));
  std::size_t bytes = 0;
  for (auto _ : state) {
    flatbuffers::FlatBufferBuilder builder;
    bytes = encode_flatbuffers(builder, delta);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
void flatbuffers_decode(benchmark::State& state) {
  flatbuffers::FlatBufferBuilder builder;
  encode_flatbuffers(builder, make_piece(state.range(0)));
  for (auto _ : state) {
    Delta delta;
    const auto* root = flatbuffers::GetRoot<flatbuffers::Table>(builder.GetBufferPointer());
    const auto* items =
        root->GetPointer<const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::Table>>*>(10);
    for (const flatbuffers::Table* table : *items) {
      const auto* name = table->GetPointer<const flatbuffers::String*>(6);
      const auto* bytes = table->GetPointer<const flatbuffers::Vector<std::uint8_t>*>(10);
      Item item;
      item.key = {table->GetField<std::uint32_t>(4, 0), name->str()};
      if (!decode(item.key.kind, table->GetField<std::uint64_t>(8, 0),
                  std::string(bytes->begin(), bytes->end()), item.value))
        state.SkipWithError("decoding failed");
      delta.items.push_back(std::move(item));
    }
    benchmark::DoNotOptimize(delta);
  }
}

std::string make_empty_directory(const char* name) {
  const auto path = std::filesystem::temp_directory_path() / name;
  std::filesystem::remove_all(path);
  std::filesystem::create_directories(path);
  return path.string();
}
void check_status(int code) {
  if (code != 0) throw std::runtime_error("database call failed with status " + std::to_string(code));
}

// Writes state.range(0) rows in one transaction, which is on disk when the commit returns.
void sqlite_commit(benchmark::State& state) {
  const std::string path = make_empty_directory("kelpdeal-weigh-sqlite") + "/db";
  sqlite3* db = nullptr;
  check_status(sqlite3_open(path.c_str(), &db));
  for (const char* sql : {"PRAGMA journal_mode=WAL", "PRAGMA synchronous=FULL",
                          "CREATE TABLE t(name BLOB PRIMARY KEY, bytes BLOB) WITHOUT ROWID"})
    check_status(sqlite3_exec(db, sql, nullptr, nullptr, nullptr));
  sqlite3_stmt* put = nullptr;
  check_status(sqlite3_prepare_v2(db, "INSERT OR REPLACE INTO t VALUES(?, ?)", -1, &put, nullptr));
  const std::string bytes(60, 'x');
  std::int64_t number = 0;
  for (auto _ : state) {
    check_status(sqlite3_exec(db, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr));
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      const std::string name = "inspection-log/key-" + std::to_string(number++ % 100'000);
      sqlite3_bind_blob(put, 1, name.data(), static_cast<int>(name.size()), SQLITE_TRANSIENT);
      sqlite3_bind_blob(put, 2, bytes.data(), static_cast<int>(bytes.size()), SQLITE_STATIC);
      if (sqlite3_step(put) != SQLITE_DONE) throw std::runtime_error(sqlite3_errmsg(db));
      sqlite3_reset(put);
    }
    check_status(sqlite3_exec(db, "COMMIT", nullptr, nullptr, nullptr));
  }
  sqlite3_finalize(put);
  sqlite3_close(db);
}
void lmdb_commit(benchmark::State& state) {
  const std::string path = make_empty_directory("kelpdeal-weigh-lmdb");
  MDB_env* env = nullptr;
  check_status(mdb_env_create(&env));
  check_status(mdb_env_set_mapsize(env, 1u << 28));
  check_status(mdb_env_open(env, path.c_str(), 0, 0600));
  MDB_dbi dbi = 0;
  MDB_txn* txn = nullptr;
  check_status(mdb_txn_begin(env, nullptr, 0, &txn));
  check_status(mdb_dbi_open(txn, nullptr, 0, &dbi));
  check_status(mdb_txn_commit(txn));
  std::string bytes(60, 'x');
  std::int64_t number = 0;
  for (auto _ : state) {
    check_status(mdb_txn_begin(env, nullptr, 0, &txn));
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      std::string name = "inspection-log/key-" + std::to_string(number++ % 100'000);
      MDB_val key{name.size(), name.data()}, value{bytes.size(), bytes.data()};
      check_status(mdb_put(txn, dbi, &key, &value, 0));
    }
    check_status(mdb_txn_commit(txn));
  }
  mdb_env_close(env);
}

BENCHMARK(msgpack_encode)->Arg(1)->Arg(500);
BENCHMARK(flatbuffers_encode)->Arg(1)->Arg(500);
BENCHMARK(msgpack_decode)->Arg(1)->Arg(500);
BENCHMARK(flatbuffers_decode)->Arg(1)->Arg(500);
BENCHMARK(sqlite_commit)->Arg(1)->Arg(100)->Arg(1000);
BENCHMARK(lmdb_commit)->Arg(1)->Arg(100)->Arg(1000);

}  // namespace

BENCHMARK_MAIN();
