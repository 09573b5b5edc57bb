// SPDX-License-Identifier: MIT
#include "kelpdeal/peers/envelope.h"

#include <sodium.h>

#include <algorithm>
#include <tuple>

#include "kelpdeal/replica/packed.h"

namespace kelpdeal::peers {
namespace {

constexpr std::size_t kFields = 8;
constexpr std::size_t kMaxFields = 64;  // including those of later formats

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

std::string seal(const Envelope& envelope, const Keys& keys) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(kFields)
      .pack(envelope.format)
      .pack(envelope.from)
      .pack(envelope.from_incarnation)
      .pack(envelope.to)
      .pack(envelope.to_incarnation)
      .pack(envelope.number);
  packer.pack(envelope.kind);
  packer.pack_bin(static_cast<std::uint32_t>(envelope.body.size()))
      .pack_bin_body(envelope.body.data(), static_cast<std::uint32_t>(envelope.body.size()));
  const std::string_view covered = view(buffer);
  const auto length = static_cast<std::uint32_t>(kHashBytes + covered.size());
  std::string out;
  out.reserve(length + 4);
  for (int i = 0; i < 4; ++i) out += static_cast<char>(length >> (8 * i) & 255);
  out += keys.sign(covered);
  out += covered;
  return out;
}

const char* name_of(DropReason reason) {
  switch (reason) {
    case DropReason::none:
      return "taken";
    case DropReason::too_long:
      return "too_long";
    case DropReason::forged:
      return "forged";
    case DropReason::unreadable:
      return "unreadable";
    case DropReason::format:
      return "format";
    case DropReason::not_for_us:
      return "not_for_us";
    case DropReason::replayed:
      return "replayed";
    case DropReason::superseded:
      return "outlived";
  }
  return "unknown";
}

std::optional<std::string> MessageReader::next() {
  if (too_long_ || buffer_.size() < 4) return std::nullopt;
  const std::string_view received = buffer_.view();
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(received[i])) << (8 * i);
  // Prevents allocations for a length that is only announced.
  if (length > max_bytes_ || length <= kHashBytes) {
    too_long_ = true;
    buffer_.clear();
    return std::nullopt;
  }
  if (buffer_.size() < 4 + length) return std::nullopt;
  std::string message(received.substr(4, length));
  buffer_.consume(4 + length);
  return message;
}

DropReason EnvelopeVerifier::open(std::string_view message, Envelope& envelope) {
  // Verifies the hash first: nothing else of an unauthenticated message is parsed.
  if (message.size() <= kHashBytes) return DropReason::unreadable;
  const std::string_view covered = message.substr(kHashBytes);
  if (!keys_.verify(message.substr(0, kHashBytes), covered)) return DropReason::forged;
  try {
    std::size_t end = 0;
    const auto handle = replica::unpack_bounded(covered, end, kMaxFields, 4);
    const msgpack::object& all = handle.get();
    // A later format may append fields.
    if (all.type != msgpack::type::ARRAY || all.via.array.size < kFields) return DropReason::unreadable;
    const msgpack::object* field = all.via.array.ptr;
    envelope.format = field[0].as<std::uint32_t>();
    envelope.from = field[1].as<std::string>();
    envelope.from_incarnation = field[2].as<std::uint64_t>();
    envelope.to = field[3].as<std::string>();
    envelope.to_incarnation = field[4].as<std::uint64_t>();
    envelope.number = field[5].as<std::uint64_t>();
    envelope.kind = field[6].as<std::uint32_t>();
    if (field[7].type != msgpack::type::BIN) return DropReason::unreadable;
    envelope.body.assign(field[7].via.bin.ptr, field[7].via.bin.size);
  } catch (const std::exception&) {
    return DropReason::unreadable;
  }
  // The next format keeps the known fields in place.
  if (envelope.format < kOldestFormat || envelope.format > kFormat + 1) return DropReason::format;
  if (envelope.to != name_ || envelope.from == name_) return DropReason::not_for_us;
  // Rejects messages to an earlier incarnation of this process; only a hello may be addressed to any.
  const bool hello = envelope.kind == static_cast<std::uint32_t>(Kind::hello);
  if (envelope.to_incarnation != incarnation_ && !(hello && envelope.to_incarnation == 0))
    return DropReason::replayed;
  Seen& seen =
      last_seen_[{envelope.from, std::min(envelope.kind, static_cast<std::uint32_t>(Kind::membership))}];
  if (std::tie(envelope.from_incarnation, envelope.number) <= std::tie(seen.incarnation, seen.number))
    return hello && envelope.from_incarnation < seen.incarnation ? DropReason::superseded
                                                                 : DropReason::replayed;
  seen = {envelope.from_incarnation, envelope.number};
  return DropReason::none;
}

std::uint64_t EnvelopeVerifier::latest_incarnation(const std::string& name) const {
  std::uint64_t incarnation = 0;
  for (auto it = last_seen_.lower_bound({name, 0}); it != last_seen_.end() && it->first.first == name; ++it)
    incarnation = std::max(incarnation, it->second.incarnation);
  return incarnation;
}

}  // namespace kelpdeal::peers
