// SPDX-License-Identifier: MIT
#include "kelpdeal/peers/codec.h"

#include <stdexcept>

#include "kelpdeal/replica/packed.h"

namespace kelpdeal::peers {
namespace {

using replica::Packer;

std::uint32_t to_uint32(std::size_t size) { return static_cast<std::uint32_t>(size); }

void pack_bytes(Packer& packer, const std::string& bytes) {
  packer.pack_bin(to_uint32(bytes.size())).pack_bin_body(bytes.data(), to_uint32(bytes.size()));
}

// A msgpack array whose size is checked against limits.
struct Array {
  Array(const msgpack::object& object, std::size_t min_size, std::size_t max) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size < min_size ||
        object.via.array.size > max)
      throw std::runtime_error("not an array, or its size is out of range");
    at = object.via.array.ptr;
    size = object.via.array.size;
  }
  const msgpack::object& operator[](std::size_t i) const { return at[i]; }
  const msgpack::object* at = nullptr;
  std::size_t size = 0;
};

constexpr std::size_t kMaxFields = 64;  // of one structure, including those of later formats

std::string read_text(const msgpack::object& object, std::size_t max) {
  if (object.type != msgpack::type::STR || object.via.str.size > max)
    throw std::runtime_error("not a string, or too long");
  return {object.via.str.ptr, object.via.str.size};
}

std::string read_bytes(const msgpack::object& object, std::size_t max) {
  if (object.type != msgpack::type::BIN || object.via.bin.size > max)
    throw std::runtime_error("not binary data, or too long");
  return {object.via.bin.ptr, object.via.bin.size};
}

template <typename State>
State read_enum(const msgpack::object& object, State max) {
  const auto number = object.as<std::uint32_t>();
  if (number > static_cast<std::uint32_t>(max)) throw std::runtime_error("unknown state");
  return static_cast<State>(number);
}

void pack_item(Packer& packer, const replica::Item& item) {
  packer.pack_array(4).pack(item.key.kind).pack(item.key.name).pack(replica::rank(item.value));
  pack_bytes(packer, replica::encode(item.value));
}

replica::Item read_item(const msgpack::object& object, const CodecBounds& bounds) {
  const Array entry(object, 4, kMaxFields);
  replica::Item item;
  item.key = {entry[0].as<std::uint32_t>(), read_text(entry[1], bounds.max_key_bytes)};
  if (!replica::decode(item.key.kind, entry[2].as<std::uint64_t>(),
                       read_bytes(entry[3], bounds.max_value_bytes), item.value))
    throw std::runtime_error("not a valid value");
  return item;
}

// Returns false if decoding throws.
template <typename Read>
bool try_decode(std::string_view body, Read read) {
  try {
    std::size_t end = 0;
    const auto handle = replica::unpack_bounded(body, end);
    read(handle.get());
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

void pack_missed_collections(Packer& packer, const replica::MissedCollections& missed_collections) {
  packer.pack_array(3 * to_uint32(missed_collections.size()));
  for (const auto& [members, number] : missed_collections)
    packer.pack(members.first).pack(members.second).pack(number);
}

replica::MissedCollections read_missed_collections(const msgpack::object& object, const CodecBounds& bounds) {
  const Array list(object, 0, 3 * bounds.max_updates);
  replica::MissedCollections missed_collections;
  for (std::size_t i = 0; i + 2 < list.size; i += 3)
    missed_collections[{read_text(list[i], bounds.max_member_name_bytes),
                        read_text(list[i + 1], bounds.max_member_name_bytes)}] =
        list[i + 2].as<std::uint32_t>();
  return missed_collections;
}

void pack_items(Packer& packer, const std::vector<replica::Item>& items) {
  packer.pack_array(to_uint32(items.size()));
  for (const replica::Item& item : items) pack_item(packer, item);
}

std::vector<replica::Item> read_items(const msgpack::object& object, const CodecBounds& bounds) {
  const Array list(object, 0, bounds.max_items);
  std::vector<replica::Item> items;
  for (std::size_t i = 0; i < list.size; ++i) items.push_back(read_item(list[i], bounds));
  return items;
}

}  // namespace

std::string encode(const Hello& hello) {
  msgpack::sbuffer buffer;
  Packer(buffer).pack_array(3).pack(hello.newest_format).pack(hello.oldest_format).pack(hello.superseded_by);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, Hello& hello) {
  return try_decode(body, [&](const msgpack::object& object) {
    const Array fields(object, 2, kMaxFields);
    hello.newest_format = fields[0].as<std::uint32_t>();
    hello.oldest_format = fields[1].as<std::uint32_t>();
    hello.superseded_by = fields.size > 2 ? fields[2].as<std::uint64_t>() : 0;
  });
}

std::string encode(const Question& question) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(8)
      .pack(question.number)
      .pack(static_cast<std::uint32_t>(question.type))
      .pack(question.name);
  packer.pack(question.planned_attempts)
      .pack(question.duration_ms)
      .pack(question.at_ms)
      .pack(question.window_ms);
  pack_items(packer, question.items);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, const CodecBounds& bounds, Question& question) {
  return try_decode(body, [&](const msgpack::object& object) {
    const Array fields(object, 8, kMaxFields);
    question.number = fields[0].as<std::uint64_t>();
    question.type = read_enum(fields[1], Question::Type::release);
    question.name = read_text(fields[2], bounds.max_key_bytes);
    question.planned_attempts = fields[3].as<std::uint32_t>();
    question.duration_ms = fields[4].as<std::uint32_t>();
    question.at_ms = fields[5].as<std::int64_t>();
    question.window_ms = fields[6].as<std::int64_t>();
    question.items = read_items(fields[7], bounds);
  });
}

std::string encode(const Reply& reply) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(4).pack(reply.number).pack(reply.affirmative).pack(reply.busy);
  pack_items(packer, reply.items);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, const CodecBounds& bounds, Reply& reply) {
  return try_decode(body, [&](const msgpack::object& object) {
    const Array fields(object, 4, kMaxFields);
    reply.number = fields[0].as<std::uint64_t>();
    reply.affirmative = fields[1].as<bool>();
    reply.busy = fields[2].as<bool>();
    reply.items = read_items(fields[3], bounds);
  });
}

std::string encode(const membership::Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(9)
      .pack(static_cast<std::uint32_t>(message.kind))
      .pack(message.number)
      .pack(message.target);
  packer.pack(message.full_state).pack_array(to_uint32(message.updates.size()));
  for (const membership::MemberUpdate& update : message.updates)
    packer.pack_array(4)
        .pack(update.name)
        .pack(update.version.incarnation)
        .pack(update.version.refutations)
        .pack(static_cast<std::uint32_t>(update.state));
  packer.pack(message.replica_status.ready)
      .pack(message.replica_status.lag_ms)
      .pack(message.replica_status.digest);
  pack_missed_collections(packer, message.replica_status.missed_collections);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, const CodecBounds& bounds, membership::Message& message) {
  return try_decode(body, [&](const msgpack::object& object) {
    const Array fields(object, 5, kMaxFields);
    message = {};
    message.kind = read_enum(fields[0], membership::Message::Kind::nack);
    message.number = fields[1].as<std::uint64_t>();
    message.target = read_text(fields[2], bounds.max_member_name_bytes);
    message.full_state = fields[3].as<bool>();
    const Array updates(fields[4], 0, bounds.max_updates);
    for (std::size_t i = 0; i < updates.size; ++i) {
      const Array entry(updates[i], 4, kMaxFields);
      membership::MemberUpdate update;
      update.name = read_text(entry[0], bounds.max_member_name_bytes);
      update.version.incarnation = entry[1].as<std::uint64_t>();
      update.version.refutations = entry[2].as<std::uint32_t>();
      update.state = read_enum(entry[3], membership::State::left);
      message.updates.push_back(std::move(update));
    }
    if (fields.size < 9) return;  // the sender does not report it
    message.replica_status = {fields[5].as<bool>(), fields[6].as<std::uint32_t>(),
                              fields[7].as<std::uint64_t>(), read_missed_collections(fields[8], bounds)};
  });
}

std::string encode(const replica::Delta& delta) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(11)
      .pack(delta.incarnation)
      .pack(delta.start_mark)
      .pack(delta.end_mark)
      .pack(delta.latest_mark);
  packer.pack(delta.acknowledged_incarnation)
      .pack(delta.acknowledged_mark)
      .pack(delta.digest)
      .pack(delta.range_digests)
      .pack(delta.requested_ranges);
  pack_items(packer, delta.items);
  pack_missed_collections(packer, delta.missed_collections);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, const CodecBounds& bounds, replica::Delta& delta) {
  return try_decode(body, [&](const msgpack::object& object) {
    const Array fields(object, 10, kMaxFields);
    delta = {};
    delta.incarnation = fields[0].as<std::uint64_t>();
    delta.start_mark = fields[1].as<std::uint64_t>();
    delta.end_mark = fields[2].as<std::uint64_t>();
    delta.latest_mark = fields[3].as<std::uint64_t>();
    delta.acknowledged_incarnation = fields[4].as<std::uint64_t>();
    delta.acknowledged_mark = fields[5].as<std::uint64_t>();
    delta.digest = fields[6].as<std::uint64_t>();
    const Array ranges(fields[7], 0, replica::ReplicatedMap::kRanges),
        wanted(fields[8], 0, replica::ReplicatedMap::kRanges);
    for (std::size_t i = 0; i < ranges.size; ++i)
      delta.range_digests.push_back(ranges[i].as<std::uint64_t>());
    for (std::size_t i = 0; i < wanted.size; ++i)
      delta.requested_ranges.push_back(wanted[i].as<std::uint32_t>());
    delta.items = read_items(fields[9], bounds);
    if (fields.size > 10) delta.missed_collections = read_missed_collections(fields[10], bounds);
  });
}

}  // namespace kelpdeal::peers
