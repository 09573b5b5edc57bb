// SPDX-License-Identifier: MIT
#include "kelpdeal/peers/codec.h"

#include <stdexcept>

#include "kelpdeal/replica/packed.h"

namespace kelpdeal::peers {
namespace {

using replica::Packer;

std::uint32_t count(std::size_t size) { return static_cast<std::uint32_t>(size); }

void pack_bytes(Packer& packer, const std::string& bytes) {
  packer.pack_bin(count(bytes.size())).pack_bin_body(bytes.data(), count(bytes.size()));
}

// An array of so many fields at the least, and at the most so many items.
struct Array {
  Array(const msgpack::object& object, std::size_t least, std::size_t most) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size < least || object.via.array.size > most)
      throw std::runtime_error("not such an array");
    at = object.via.array.ptr;
    size = object.via.array.size;
  }
  const msgpack::object& operator[](std::size_t i) const { return at[i]; }
  const msgpack::object* at = nullptr;
  std::size_t size = 0;
};

constexpr std::size_t kMostFields = 64;  // of one structure, those of later formats included

std::string text(const msgpack::object& object, std::size_t most) {
  if (object.type != msgpack::type::STR || object.via.str.size > most)
    throw std::runtime_error("not such a text");
  return {object.via.str.ptr, object.via.str.size};
}

std::string bytes(const msgpack::object& object, std::size_t most) {
  if (object.type != msgpack::type::BIN || object.via.bin.size > most)
    throw std::runtime_error("not such bytes");
  return {object.via.bin.ptr, object.via.bin.size};
}

template <typename State>
State state(const msgpack::object& object, State most) {
  const auto number = object.as<std::uint32_t>();
  if (number > static_cast<std::uint32_t>(most)) throw std::runtime_error("unknown state");
  return static_cast<State>(number);
}

void pack_item(Packer& packer, const replica::Item& item) {
  packer.pack_array(4).pack(item.key.kind).pack(item.key.name).pack(replica::rank(item.value));
  pack_bytes(packer, replica::encode(item.value));
}

replica::Item item_of(const msgpack::object& object, const CodecBounds& bounds) {
  const Array one(object, 4, kMostFields);
  replica::Item item;
  item.key = {one[0].as<std::uint32_t>(), text(one[1], bounds.key_bytes)};
  if (!replica::decode(item.key.kind, one[2].as<std::uint64_t>(), bytes(one[3], bounds.value_bytes),
                       item.value))
    throw std::runtime_error("no such value");
  return item;
}

// False where reading fails, for whatever reason.
template <typename Read>
bool reading(std::string_view body, Read read) {
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
  packer.pack_array(3 * count(missed_collections.size()));
  for (const auto& [members, number] : missed_collections)
    packer.pack(members.first).pack(members.second).pack(number);
}

replica::MissedCollections read_missed_collections(const msgpack::object& object, const CodecBounds& bounds) {
  const Array list(object, 0, 3 * bounds.rumours);
  replica::MissedCollections missed_collections;
  for (std::size_t i = 0; i + 2 < list.size; i += 3)
    missed_collections[{text(list[i], bounds.name_bytes), text(list[i + 1], bounds.name_bytes)}] =
        list[i + 2].as<std::uint32_t>();
  return missed_collections;
}

void pack_items(Packer& packer, const std::vector<replica::Item>& items) {
  packer.pack_array(count(items.size()));
  for (const replica::Item& item : items) pack_item(packer, item);
}

std::vector<replica::Item> items_of(const msgpack::object& object, const CodecBounds& bounds) {
  const Array list(object, 0, bounds.items);
  std::vector<replica::Item> items;
  for (std::size_t i = 0; i < list.size; ++i) items.push_back(item_of(list[i], bounds));
  return items;
}

}  // namespace

std::string encode(const Hello& hello) {
  msgpack::sbuffer buffer;
  Packer(buffer).pack_array(3).pack(hello.newest_format).pack(hello.oldest_format).pack(hello.later);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, Hello& hello) {
  return reading(body, [&](const msgpack::object& object) {
    const Array fields(object, 2, kMostFields);
    hello.newest_format = fields[0].as<std::uint32_t>();
    hello.oldest_format = fields[1].as<std::uint32_t>();
    hello.later = fields.size > 2 ? fields[2].as<std::uint64_t>() : 0;
  });
}

std::string encode(const Question& question) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(8)
      .pack(question.number)
      .pack(static_cast<std::uint32_t>(question.what))
      .pack(question.name);
  packer.pack(question.planned).pack(question.span_ms).pack(question.at_ms).pack(question.window_ms);
  pack_items(packer, question.items);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, const CodecBounds& bounds, Question& question) {
  return reading(body, [&](const msgpack::object& object) {
    const Array fields(object, 8, kMostFields);
    question.number = fields[0].as<std::uint64_t>();
    question.what = state(fields[1], Question::What::release);
    question.name = text(fields[2], bounds.key_bytes);
    question.planned = fields[3].as<std::uint32_t>();
    question.span_ms = fields[4].as<std::uint32_t>();
    question.at_ms = fields[5].as<std::int64_t>();
    question.window_ms = fields[6].as<std::int64_t>();
    question.items = items_of(fields[7], bounds);
  });
}

std::string encode(const Reply& reply) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(4).pack(reply.number).pack(reply.yes).pack(reply.busy);
  pack_items(packer, reply.items);
  return {buffer.data(), buffer.size()};
}

bool decode(std::string_view body, const CodecBounds& bounds, Reply& reply) {
  return reading(body, [&](const msgpack::object& object) {
    const Array fields(object, 4, kMostFields);
    reply.number = fields[0].as<std::uint64_t>();
    reply.yes = fields[1].as<bool>();
    reply.busy = fields[2].as<bool>();
    reply.items = items_of(fields[3], bounds);
  });
}

std::string encode(const membership::Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(9)
      .pack(static_cast<std::uint32_t>(message.kind))
      .pack(message.number)
      .pack(message.target);
  packer.pack(message.full_state).pack_array(count(message.updates.size()));
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
  return reading(body, [&](const msgpack::object& object) {
    const Array fields(object, 5, kMostFields);
    message = {};
    message.kind = state(fields[0], membership::Message::Kind::nack);
    message.number = fields[1].as<std::uint64_t>();
    message.target = text(fields[2], bounds.name_bytes);
    message.full_state = fields[3].as<bool>();
    const Array updates(fields[4], 0, bounds.rumours);
    for (std::size_t i = 0; i < updates.size; ++i) {
      const Array one(updates[i], 4, kMostFields);
      membership::MemberUpdate update;
      update.name = text(one[0], bounds.name_bytes);
      update.version.incarnation = one[1].as<std::uint64_t>();
      update.version.refutations = one[2].as<std::uint32_t>();
      update.state = state(one[3], membership::State::left);
      message.updates.push_back(std::move(update));
    }
    if (fields.size < 9) return;  // a sender that does not say
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
  return reading(body, [&](const msgpack::object& object) {
    const Array fields(object, 10, kMostFields);
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
    delta.items = items_of(fields[9], bounds);
    if (fields.size > 10) delta.missed_collections = read_missed_collections(fields[10], bounds);
  });
}

}  // namespace kelpdeal::peers
