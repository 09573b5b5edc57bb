// SPDX-License-Identifier: MIT
#include "kelpdeal/replica/values.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>

#include "kelpdeal/replica/packed.h"

namespace kelpdeal::replica {
namespace {

// Merges by taking the maximum per key. Returns whether anything grew.
template <typename Key, typename Item>
bool join_max(std::map<Key, Item>& into, const std::map<Key, Item>& from) {
  bool changed = false;
  for (const auto& [key, item] : from) {
    const auto [it, is_new] = into.try_emplace(key, item);
    if (is_new || it->second < item) {
      it->second = item;
      changed = true;
    }
  }
  return changed;
}

template <typename T>
bool take_max(T& into, const T& from) {
  if (!(into < from)) return false;
  into = from;
  return true;
}

// Takes the earlier value; 0 is unset.
bool take_earlier(std::int64_t& into, std::int64_t from) {
  if (from == 0 || (into != 0 && into <= from)) return false;
  into = from;
  return true;
}

bool join_into(Ban& into, const Ban& from) {
  const bool placed = join_max(into.placed, from.placed), lifted = join_max(into.lifted, from.lifted);
  return placed || lifted;
}

bool join_into(Operation& into, const Operation& from) {
  bool changed = take_max(into.state, from.state);
  changed |= take_earlier(into.first_ms, from.first_ms);
  changed |= take_max(into.until_ms, from.until_ms);
  return join_max(into.attempts, from.attempts) || changed;
}

bool join_into(Account& into, const Account& from) {
  bool changed = false;
  for (const auto& [process, usage] : from.usage_by_process) {
    const auto [it, is_new] = into.usage_by_process.try_emplace(process);
    Account::Usage& own = it->second;
    changed |= is_new;
    changed |= take_max(own.admitted, usage.admitted);
    changed |= take_max(own.attempted, usage.attempted);
  }
  return changed;
}

bool join_into(HealthReport& into, const HealthReport& from) { return take_max(into, from); }
bool join_into(ClearedCursor& into, const ClearedCursor& from) {
  return take_max(into.until_ms, from.until_ms);
}

bool join_into(SettingsGeneration& into, const SettingsGeneration& from) {
  if (from.number < into.number) return false;
  if (from.number > into.number) {
    into = from;
    return true;
  }
  const bool contested = into.contested || from.contested || into.hash != from.hash;
  const bool changed = contested != into.contested;
  into.contested = contested;
  return take_max(into.hash, from.hash) || changed;
}

bool join_into(UnknownValue& into, const UnknownValue& from) {
  if (std::tie(from.rank, from.bytes) <= std::tie(into.rank, into.bytes)) return false;
  into = from;
  return true;
}

std::uint64_t sum_stamps(const std::map<std::string, Stamp>& stamps) {
  std::uint64_t sum = 0;
  // A later incarnation outweighs any count; for a thousand members the sum stays below 2^64.
  for (const auto& [member, stamp] : stamps)
    sum += (stamp.incarnation << 20) + std::min<std::uint64_t>(stamp.count, (1 << 20) - 1) + 1;
  return sum;
}

void pack(Packer& packer, const std::map<std::string, Stamp>& stamps) {
  packer.pack_map(static_cast<std::uint32_t>(stamps.size()));
  for (const auto& [member, stamp] : stamps) {
    packer.pack(member);
    packer.pack_array(2).pack(stamp.incarnation).pack(stamp.count);
  }
}

void unpack(const msgpack::object& object, std::map<std::string, Stamp>& stamps) {
  for (const auto& [member, pair] :
       object.as<std::map<std::string, std::tuple<std::uint64_t, std::uint64_t>>>())
    stamps[member] = {std::get<0>(pair), std::get<1>(pair)};
}

struct Encoder {
  Packer& packer;
  void operator()(const Ban& value) {
    packer.pack_array(2);
    pack(packer, value.placed);
    pack(packer, value.lifted);
  }
  void operator()(const Operation& value) {
    packer.pack_array(4)
        .pack(static_cast<int>(value.state))
        .pack(value.first_ms)
        .pack(value.until_ms)
        .pack(value.attempts);
  }
  void operator()(const Account& value) {
    packer.pack_array(static_cast<std::uint32_t>(value.usage_by_process.size()));
    for (const auto& [process, usage] : value.usage_by_process)
      packer.pack_array(4)
          .pack(process.first)
          .pack(process.second)
          .pack(usage.admitted)
          .pack(usage.attempted);
  }
  void operator()(const HealthReport& value) {
    packer.pack_array(4)
        .pack(value.boot_ms)
        .pack(value.at_ms)
        .pack(static_cast<int>(value.state))
        .pack(value.reporter);
  }
  void operator()(const ClearedCursor& value) { packer.pack(value.until_ms); }
  void operator()(const SettingsGeneration& value) {
    packer.pack_array(3).pack(value.number).pack(value.hash).pack(value.contested);
  }
  void operator()(const UnknownValue&) {}
};

template <typename State>
State state_of(int number, State last) {
  if (number < 0 || number > static_cast<int>(last)) throw std::runtime_error("unknown state");
  return static_cast<State>(number);
}

void read(const msgpack::object& object, Ban& value) {
  const auto halves = object.as<std::tuple<msgpack::object, msgpack::object>>();
  unpack(std::get<0>(halves), value.placed);
  unpack(std::get<1>(halves), value.lifted);
}
void read(const msgpack::object& object, Operation& value) {
  int state = 0;
  std::tie(state, value.first_ms, value.until_ms, value.attempts) =
      object.as<std::tuple<int, std::int64_t, std::int64_t, std::map<std::string, std::uint32_t>>>();
  value.state = state_of(state, Operation::State::done);
}
void read(const msgpack::object& object, Account& value) {
  using Row = std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint64_t>;
  for (const auto& [member, incarnation, admitted, attempted] : object.as<std::vector<Row>>())
    value.usage_by_process[{member, incarnation}] = {admitted, attempted};
}
void read(const msgpack::object& object, HealthReport& value) {
  int state = 0;
  std::tie(value.boot_ms, value.at_ms, state, value.reporter) =
      object.as<std::tuple<std::int64_t, std::int64_t, int, std::string>>();
  value.state = state_of(state, HealthReport::State::suspect);
}
void read(const msgpack::object& object, ClearedCursor& value) { value.until_ms = object.as<std::int64_t>(); }
void read(const msgpack::object& object, SettingsGeneration& value) {
  std::tie(value.number, value.hash, value.contested) =
      object.as<std::tuple<std::uint64_t, std::string, bool>>();
}

constexpr std::uint32_t kKnownKinds = 6;  // the last alternative of Value is UnknownValue

template <std::size_t Kind = 0>
Value empty_of(std::uint32_t kind) {
  if constexpr (Kind + 1 < kKnownKinds)
    if (kind != Kind) return empty_of<Kind + 1>(kind);
  return std::variant_alternative_t<Kind, Value>();
}

}  // namespace

bool Ban::is_active() const {
  return std::any_of(placed.begin(), placed.end(), [this](const auto& entry) {
    const auto it = lifted.find(entry.first);
    return it == lifted.end() || it->second < entry.second;
  });
}

std::uint64_t Operation::total_attempts() const {
  std::uint64_t all = 0;
  for (const auto& [member, count] : attempts) all += count;
  return all;
}

Account::Usage Account::sum() const {
  Usage sum;
  for (const auto& [process, usage] : usage_by_process) {
    sum.admitted += usage.admitted;
    sum.attempted += usage.attempted;
  }
  return sum;
}

double HealthReport::weight(std::int64_t boot, std::int64_t now_ms, double half_life_ms) const {
  if (boot != boot_ms || half_life_ms <= 0) return 0;
  // If the reporter's clock is ahead, a report from the future weighs as if made now.
  return std::exp2(-static_cast<double>(std::max<std::int64_t>(now_ms - at_ms, 0)) / half_life_ms);
}

std::uint32_t kind_of(const Value& value) {
  if (const auto* foreign = std::get_if<UnknownValue>(&value)) return foreign->kind;
  return static_cast<std::uint32_t>(value.index());
}

bool join(Value& into, const Value& from) {
  if (into.index() != from.index() || kind_of(into) != kind_of(from)) return false;
  return std::visit(
      [&from](auto& own) { return join_into(own, std::get<std::decay_t<decltype(own)>>(from)); }, into);
}

std::uint64_t rank(const Value& value) {
  struct Ranker {
    std::uint64_t operator()(const Ban& value) { return sum_stamps(value.placed) + sum_stamps(value.lifted); }
    std::uint64_t operator()(const Operation& value) {
      return static_cast<std::uint64_t>(value.state) + value.total_attempts() + value.attempts.size() +
             static_cast<std::uint64_t>(std::max<std::int64_t>(value.until_ms, 0)) +
             // An earlier time ranks higher, and any time higher than none.
             (value.first_ms == 0 ? 0
                                  : (std::uint64_t{1} << 62) - static_cast<std::uint64_t>(value.first_ms));
    }
    std::uint64_t operator()(const Account& value) {
      const Account::Usage sum = value.sum();
      return sum.admitted + sum.attempted + value.usage_by_process.size();
    }
    std::uint64_t operator()(const HealthReport& value) {
      // By the node's start first, then by the second; finer differences get equal ranks.
      const std::int64_t seconds =
          std::clamp<std::int64_t>((value.at_ms - value.boot_ms) / 1'000, 0, (1 << 20) - 1);
      return (static_cast<std::uint64_t>(std::max<std::int64_t>(value.boot_ms, 0)) << 20) +
             static_cast<std::uint64_t>(seconds);
    }
    std::uint64_t operator()(const ClearedCursor& value) {
      return static_cast<std::uint64_t>(std::max<std::int64_t>(value.until_ms, 0));
    }
    std::uint64_t operator()(const SettingsGeneration& value) { return 2 * value.number + value.contested; }
    std::uint64_t operator()(const UnknownValue& value) { return value.rank; }
  };
  return std::visit(Ranker(), value);
}

bool is_obsolete(const Value& value, std::int64_t now_ms) {
  if (const auto* ban = std::get_if<Ban>(&value)) return !ban->is_active();
  if (const auto* operation = std::get_if<Operation>(&value)) return operation->until_ms < now_ms;
  if (const auto* cleared = std::get_if<ClearedCursor>(&value)) return cleared->until_ms < now_ms;
  return false;
}

std::string encode(const Value& value) {
  if (const auto* foreign = std::get_if<UnknownValue>(&value)) return foreign->bytes;
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  std::visit(Encoder{packer}, value);
  return {buffer.data(), buffer.size()};
}

bool decode(std::uint32_t kind, std::uint64_t rank, const std::string& bytes, Value& value) {
  if (kind >= kKnownKinds) {
    value = UnknownValue{kind, rank, bytes};
    return true;
  }
  try {
    std::size_t end = 0;
    const auto handle = unpack_bounded(bytes, end);
    if (end != bytes.size()) return false;
    value = empty_of(kind);
    std::visit(
        [&handle](auto& own) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(own)>, UnknownValue>) read(handle.get(), own);
        },
        value);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace kelpdeal::replica
