// SPDX-License-Identifier: MIT
#include "kelpdeal/peers/envelope.h"

#include <sodium.h>

#include <algorithm>
#include <tuple>

#include "kelpdeal/replica/packed.h"

namespace kelpdeal::peers {
namespace {

constexpr std::size_t kFields = 8;
constexpr std::size_t kMostFields = 64;  // those of later formats included

std::string_view view(const msgpack::sbuffer& buffer) { return {buffer.data(), buffer.size()}; }

const unsigned char* bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::optional<Keys> Keys::parse(std::string_view text, std::string& problem) {
  Keys keys;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.remove_suffix(1);
    if (line.empty()) continue;
    std::string key(kKeyBytes, '\0');
    std::size_t length = 0;
    const char* stop = nullptr;
    if (line.size() != 2 * kKeyBytes ||
        sodium_hex2bin(reinterpret_cast<unsigned char*>(key.data()), key.size(), line.data(), line.size(),
                       nullptr, &length, &stop) != 0 ||
        length != kKeyBytes || stop != line.data() + line.size()) {
      problem = "a key is not 64 hex digits";
      return std::nullopt;
    }
    keys.keys_.push_back(std::move(key));
  }
  if (keys.keys_.empty() || keys.keys_.size() > 2) {
    problem = keys.keys_.empty() ? "holds no key" : "holds more than two keys";
    return std::nullopt;
  }
  return keys;
}

std::string Keys::sign(std::string_view covered) const {
  std::string hash(kHashBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(hash.data()), hash.size(), bytes(covered),
                     covered.size(), bytes(keys_.front()), kKeyBytes);
  return hash;
}

bool Keys::verify(std::string_view hash, std::string_view covered) const {
  if (hash.size() != kHashBytes) return false;
  for (const std::string& key : keys_) {
    unsigned char own[kHashBytes];
    crypto_generichash(own, sizeof own, bytes(covered), covered.size(), bytes(key), kKeyBytes);
    if (sodium_memcmp(own, hash.data(), sizeof own) == 0) return true;
  }
  return false;
}

std::string seal(const Envelope& e, const Keys& keys) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(kFields)
      .pack(e.format)
      .pack(e.from)
      .pack(e.from_incarnation)
      .pack(e.to)
      .pack(e.to_incarnation)
      .pack(e.number);
  packer.pack(e.kind);
  packer.pack_bin(static_cast<std::uint32_t>(e.body.size()))
      .pack_bin_body(e.body.data(), static_cast<std::uint32_t>(e.body.size()));
  const std::string_view covered = view(buffer);
  const auto length = static_cast<std::uint32_t>(kHashBytes + covered.size());
  std::string out;
  out.reserve(length + 4);
  for (int i = 0; i < 4; ++i) out += static_cast<char>(length >> (8 * i) & 255);
  out += keys.sign(covered);
  out += covered;
  return out;
}

const char* name_of(Drop drop) {
  switch (drop) {
    case Drop::none:
      return "taken";
    case Drop::too_long:
      return "too_long";
    case Drop::forged:
      return "forged";
    case Drop::unreadable:
      return "unreadable";
    case Drop::format:
      return "format";
    case Drop::not_for_us:
      return "not_for_us";
    case Drop::replayed:
      return "replayed";
    case Drop::outlived:
      return "outlived";
  }
  return "unknown";
}

std::optional<std::string> Reader::next() {
  if (too_long_ || buffer_.size() < 4) return std::nullopt;
  std::size_t length = 0;
  for (int i = 0; i < 4; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(buffer_[static_cast<std::size_t>(i)]))
              << (8 * i);
  // Guards against room made for what never comes.
  if (length > most_ || length <= kHashBytes) {
    too_long_ = true;
    buffer_.clear();
    return std::nullopt;
  }
  if (buffer_.size() < 4 + length) return std::nullopt;
  std::string message = buffer_.substr(4, length);
  buffer_.erase(0, 4 + length);
  return message;
}

Drop Gate::open(std::string_view message, Envelope& e) {
  // The hash first: nothing of a message that is not the fleet's own is looked at.
  if (message.size() <= kHashBytes) return Drop::unreadable;
  const std::string_view covered = message.substr(kHashBytes);
  if (!keys_.verify(message.substr(0, kHashBytes), covered)) return Drop::forged;
  try {
    std::size_t end = 0;
    const auto handle = replica::unpack_bounded(covered, end, kMostFields, 4);
    const msgpack::object& all = handle.get();
    // A later format may add fields behind these.
    if (all.type != msgpack::type::ARRAY || all.via.array.size < kFields) return Drop::unreadable;
    const msgpack::object* field = all.via.array.ptr;
    e.format = field[0].as<std::uint32_t>();
    e.from = field[1].as<std::string>();
    e.from_incarnation = field[2].as<std::uint64_t>();
    e.to = field[3].as<std::string>();
    e.to_incarnation = field[4].as<std::uint64_t>();
    e.number = field[5].as<std::uint64_t>();
    e.kind = field[6].as<std::uint32_t>();
    if (field[7].type != msgpack::type::BIN) return Drop::unreadable;
    e.body.assign(field[7].via.bin.ptr, field[7].via.bin.size);
  } catch (const std::exception&) {
    return Drop::unreadable;
  }
  // Of the next format the fields that this one knows stand where they stood.
  if (e.format < kOldestFormat || e.format > kFormat + 1) return Drop::format;
  if (e.to != name_ || e.from == name_) return Drop::not_for_us;
  // Guards against what was said to an earlier process of ours; only a hello can be meant for any.
  const bool hello = e.kind == static_cast<std::uint32_t>(Kind::hello);
  if (e.to_incarnation != life_ && !(hello && e.to_incarnation == 0)) return Drop::replayed;
  Seen& seen = seen_[{e.from, std::min(e.kind, static_cast<std::uint32_t>(Kind::membership))}];
  if (std::tie(e.from_incarnation, e.number) <= std::tie(seen.life, seen.number))
    return hello && e.from_incarnation < seen.life ? Drop::outlived : Drop::replayed;
  seen = {e.from_incarnation, e.number};
  return Drop::none;
}

std::uint64_t Gate::latest(const std::string& name) const {
  std::uint64_t life = 0;
  for (auto it = seen_.lower_bound({name, 0}); it != seen_.end() && it->first.first == name; ++it)
    life = std::max(life, it->second.life);
  return life;
}

}  // namespace kelpdeal::peers
