// SPDX-License-Identifier: MIT
#include "kelpdeal/search/cursor.h"

#include <sodium.h>

#include <algorithm>

namespace kelpdeal::search {
namespace {

constexpr char kIdFormatVersion = 1;
constexpr std::size_t kMacBytes = crypto_auth_BYTES;
static_assert(crypto_auth_KEYBYTES == 32);

std::int64_t to_ms(WallClock::time_point time) {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}
WallClock::time_point from_ms(double ms) {
  return WallClock::time_point(Milliseconds(static_cast<std::int64_t>(std::clamp(ms, 0.0, 8e12))));
}
int to_slice(double number) { return static_cast<int>(std::clamp(number, -1.0, 1e9)); }

json::Value write_position(const Position& position) {
  return json::Object{{"k", position.sort_values}, {"s", position.slice}, {"i", position.id}};
}
Position read_position(const json::Value& value) {
  Position position;
  if (const json::Value* keys = value.find("k"); keys && keys->array()) position.sort_values = *keys->array();
  position.slice = to_slice(value.number_or("s", -1));
  position.id = value.text_or("i", "");
  return position;
}

std::string compute_mac(const CursorKey& key, std::string_view bytes) {
  std::string mac(kMacBytes, '\0');
  crypto_auth(reinterpret_cast<unsigned char*>(mac.data()),
              reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), key.secret.data());
  return mac;
}

}  // namespace

std::optional<std::vector<CursorKey>> parse_cursor_keys(std::string_view text, std::string& problem) {
  std::vector<CursorKey> keys;
  int line_number = 0;
  for (std::size_t position = 0; position < text.size();) {
    const std::size_t end = std::min(text.find('\n', position), text.size());
    std::string_view line = text.substr(position, end - position);
    position = end + 1;
    ++line_number;
    line = line.substr(0, line.find('#'));
    while (!line.empty() && static_cast<unsigned char>(line.back()) <= ' ') line.remove_suffix(1);
    if (line.empty()) continue;
    const std::size_t space = line.find(' ');
    CursorKey key;
    key.name = line.substr(0, space);
    const std::string_view hex = space == std::string_view::npos ? "" : line.substr(space + 1);
    std::size_t size = 0;
    const bool decoded = hex.size() == 64 && sodium_hex2bin(key.secret.data(), key.secret.size(), hex.data(),
                                                            hex.size(), nullptr, &size, nullptr) == 0;
    if (key.name.size() > 32 || !decoded || size != key.secret.size()) {
      problem = "line " + std::to_string(line_number) + " is not NAME and 64 hexadecimal digits";
      return std::nullopt;
    }
    keys.push_back(std::move(key));
  }
  if (keys.empty()) return problem = "no key found", std::nullopt;
  return keys;
}

CursorSigner::CursorSigner(std::vector<CursorKey> keys) : keys_(std::move(keys)) {}

std::string CursorSigner::sign(std::string_view payload) const {
  const CursorKey& key = keys_.front();
  std::string bytes{kIdFormatVersion, static_cast<char>(key.name.size())};
  bytes.append(key.name).append(payload);
  bytes += compute_mac(key, bytes);
  std::string out(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
  sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  out.resize(out.find('\0'));
  return out;
}

std::optional<std::string> CursorSigner::verify(std::string_view id) const {
  std::string bytes(id.size(), '\0');
  std::size_t size = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), id.data(), id.size(),
                        nullptr, &size, nullptr, sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0)
    return std::nullopt;
  bytes.resize(size);
  if (size < 2 + kMacBytes || bytes[0] != kIdFormatVersion) return std::nullopt;
  const std::size_t name_size = static_cast<unsigned char>(bytes[1]);
  if (size < 2 + name_size + kMacBytes) return std::nullopt;
  const std::string_view signed_part(bytes.data(), size - kMacBytes);
  for (const CursorKey& key : keys_) {
    if (signed_part.substr(2, name_size) != key.name) continue;
    const std::string mac = compute_mac(key, signed_part);
    if (sodium_memcmp(mac.data(), bytes.data() + size - kMacBytes, kMacBytes) == 0)
      return std::string(signed_part.substr(2 + name_size));
  }
  return std::nullopt;
}

json::Value cursor_to_json(const Cursor& cursor) {
  json::Array indices(cursor.indices.begin(), cursor.indices.end()), finished;
  for (const int slice : cursor.finished_slices) finished.emplace_back(slice);
  json::Array lagging;
  for (const auto& [slice, position] : cursor.lagging)
    lagging.push_back(json::Array{slice, position ? write_position(*position) : json::Value()});
  json::Object out{{"kind", cursor.kind == Cursor::Kind::scroll ? "scroll" : "point"},
                   {"n", std::to_string(cursor.number)},
                   {"team", cursor.team},
                   {"from", to_ms(cursor.opened)},
                   {"to", to_ms(cursor.expires)},
                   {"in", std::move(indices)},
                   {"f", json::Array(cursor.filters)},
                   {"r", cursor.routing}};
  if (cursor.kind == Cursor::Kind::point_in_time) return out;
  out.emplace_back("q", cursor.search_body);
  out.emplace_back("typed", cursor.typed_keys);
  out.emplace_back("int", cursor.total_as_number);
  if (cursor.position) out.emplace_back("at", write_position(*cursor.position));
  if (!lagging.empty()) out.emplace_back("behind", std::move(lagging));
  out.emplace_back("done", std::move(finished));
  out.emplace_back("total", cursor.total);
  if (cursor.max_score) out.emplace_back("max", *cursor.max_score);
  return out;
}

std::optional<Cursor> cursor_from_json(const json::Value& value) {
  if (!value.object()) return std::nullopt;
  Cursor cursor;
  const std::string kind = value.text_or("kind", "");
  if (kind != "scroll" && kind != "point") return std::nullopt;
  cursor.kind = kind == "scroll" ? Cursor::Kind::scroll : Cursor::Kind::point_in_time;
  cursor.number = std::strtoull(value.text_or("n", "0").c_str(), nullptr, 10);
  cursor.team = value.text_or("team", "");
  cursor.opened = from_ms(value.number_or("from", 0));
  cursor.expires = from_ms(value.number_or("to", 0));
  cursor.routing = value.text_or("r", "");
  const auto list = [&](const char* name) -> const json::Array& {
    static const json::Array none;
    const json::Value* found = value.find(name);
    return found && found->array() ? *found->array() : none;
  };
  for (const json::Value& name : list("in"))
    if (name.string()) cursor.indices.push_back(*name.string());
  cursor.filters = list("f");
  cursor.filters.resize(cursor.indices.size());
  if (const json::Value* search = value.find("q")) cursor.search_body = *search;
  cursor.typed_keys = value.flag_or("typed", false);
  cursor.total_as_number = value.flag_or("int", false);
  if (const json::Value* position = value.find("at")) cursor.position = read_position(*position);
  for (const json::Value& entry : list("behind")) {
    if (!entry.array() || entry.array()->size() != 2 || !entry.array()->front().number()) return std::nullopt;
    const json::Value& position = entry.array()->back();
    cursor.lagging[to_slice(*entry.array()->front().number())] =
        position.is_null() ? std::nullopt : std::optional(read_position(position));
  }
  for (const json::Value& slice : list("done"))
    if (slice.number()) cursor.finished_slices.insert(to_slice(*slice.number()));
  cursor.total = static_cast<std::uint64_t>(std::clamp(value.number_or("total", 0), 0.0, 9e15));
  if (const json::Value* score = value.find("max"); score && score->number())
    cursor.max_score = *score->number();
  return cursor;
}

json::Value scroll_search_body(const SearchRequest& request) {
  json::Object out;
  if (!request.query.is_null()) out.emplace_back("query", request.query);
  out.emplace_back("size", static_cast<std::uint64_t>(request.size));
  json::Array sort = request.sort.slice_form();
  sort.resize(request.visible_sort_keys);
  if (!sort.empty()) out.emplace_back("sort", std::move(sort));
  if (request.track_scores) out.emplace_back("track_scores", true);
  if (request.timeout)
    out.emplace_back(
        "timeout", std::to_string(std::chrono::duration_cast<Milliseconds>(*request.timeout).count()) + "ms");
  if (request.partition)
    out.emplace_back("slice", json::Object{{"id", static_cast<std::uint64_t>(request.partition->first)},
                                           {"max", static_cast<std::uint64_t>(request.partition->second)}});
  out.insert(out.end(), request.passthrough_members.begin(), request.passthrough_members.end());
  return out;
}

std::vector<std::pair<int, const Position*>> remaining_slices(const Cursor& cursor,
                                                              const std::vector<int>& slices) {
  std::vector<std::pair<int, const Position*>> needed;
  for (const int slice : slices) {
    if (cursor.finished_slices.contains(slice)) continue;
    const auto lagging = cursor.lagging.find(slice);
    if (lagging != cursor.lagging.end())
      needed.emplace_back(slice, lagging->second ? &*lagging->second : nullptr);
    else
      needed.emplace_back(slice, cursor.position ? &*cursor.position : nullptr);
  }
  return needed;
}

namespace {

// Orders two positions; no position comes before any hit.
bool before(const SortOrder& order, const std::optional<Position>& a, const std::optional<Position>& b) {
  if (!a || !b) return !a && b;
  // The last sort key is the id, which is compared after the slice.
  const int keys = compare(order, a->sort_values, b->sort_values, order.fields.size() - 1);
  if (keys != 0) return keys < 0;
  return a->slice != b->slice ? a->slice < b->slice : a->id < b->id;
}

}  // namespace

void advance_cursor(Cursor& cursor, const SortOrder& order, const Page& page, const std::vector<int>& asked,
                    const std::vector<int>& missing) {
  // A slice that did not respond continues from its position before this page. One that was lagging and has
  // responded now has returned its hits up to the end of this page, which may still be before the position of
  // the other slices.
  const std::optional<Position> previous = cursor.position;
  const auto later_of = [&](const std::optional<Position>& a, const std::optional<Position>& b) {
    return before(order, a, b) ? b : a;
  };
  cursor.position = later_of(cursor.position, page.last_position);
  for (const int slice : asked) {
    const auto entry = cursor.lagging.find(slice);
    std::optional<Position> position = entry == cursor.lagging.end() ? previous : entry->second;
    if (std::find(missing.begin(), missing.end(), slice) == missing.end())
      position = later_of(position, page.last_position);
    if (before(order, position, cursor.position)) {
      cursor.lagging[slice] = std::move(position);
    } else {
      cursor.lagging.erase(slice);
    }
  }
  for (const int slice : page.finished_slices) cursor.finished_slices.insert(slice);
}

}  // namespace kelpdeal::search
