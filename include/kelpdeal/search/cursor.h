// SPDX-License-Identifier: MIT
// Cursors: the state of a scroll or a point in time. It is contained in the id that the client holds, so that
// any coordinator can continue it without shared storage. CursorRegistry holds what one coordinator knows in
// addition: which cursors are open and which were cleared here. No I/O; the caller supplies random bytes.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kelpdeal/json.h"
#include "kelpdeal/search/reduce.h"
#include "kelpdeal/search/request.h"
#include "kelpdeal/time.h"

namespace kelpdeal::search {

using WallClock = std::chrono::system_clock;

struct CursorKey {
  std::string name;  // 1 to 32 characters; part of each id
  std::array<unsigned char, 32> secret{};
};
// Parses lines of "NAME HEX", with comments after #. The first key signs, all of them are accepted. Returns
// nothing for invalid text; `problem` then describes the error without revealing the key.
std::optional<std::vector<CursorKey>> parse_cursor_keys(std::string_view text, std::string& problem);

// Signs ids with the first key and verifies them with any of the keys.
class CursorSigner {
 public:
  explicit CursorSigner(std::vector<CursorKey> keys);
  // Returns an id that needs no escaping in a URL path or a JSON body.
  std::string sign(std::string_view payload) const;
  // Returns the payload, or nothing for an id that was altered, truncated or signed with an unknown key.
  std::optional<std::string> verify(std::string_view id) const;

 private:
  std::vector<CursorKey> keys_;
};

struct Cursor {
  enum class Kind { scroll, point_in_time } kind = Kind::scroll;
  std::uint64_t number = 0;  // identifies the cursor; the same on all pages
  std::string team;
  WallClock::time_point opened, expires;
  std::vector<std::string> indices;
  std::vector<json::Value> filters;  // filters of aliases, one for each index; null if there is none
  std::string routing;
  // Only for a scroll:
  json::Value search_body;  // as returned by scroll_search_body()
  bool typed_keys = false, total_as_number = false;
  std::optional<Position> position;
  // Slices that missed a page, with the position from which each continues (nullopt: from its start).
  std::map<int, std::optional<Position>> lagging;
  std::set<int> finished_slices;
  std::uint64_t total = 0;
  std::optional<double> max_score;
};

json::Value cursor_to_json(const Cursor& cursor);
std::optional<Cursor> cursor_from_json(const json::Value& value);
// The search body that a scroll stores; parse_search() accepts it.
json::Value scroll_search_body(const SearchRequest& request);

// Those of `slices` that a scroll still needs, each with the position from which it continues (null: from its
// start).
std::vector<std::pair<int, const Position*>> remaining_slices(const Cursor& cursor,
                                                              const std::vector<int>& slices);
// Advances the cursor past a page. `asked` lists the slices queried for the page, `missing` those of them
// that did not respond.
void advance_cursor(Cursor& cursor, const SortOrder& order, const Page& page, const std::vector<int>& asked,
                    const std::vector<int>& missing);

}  // namespace kelpdeal::search
