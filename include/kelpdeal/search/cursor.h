// SPDX-License-Identifier: MIT
// Cursors: where a scroll or a point in time goes on, carried by the id that the client holds. Coordinators
// share nothing, so any of them goes on from the id alone. What one coordinator knows besides (which are
// open, which were cleared here) is in CursorBook. No I/O; random bytes come from the caller.
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
  std::string name;  // 1 to 32 characters; stands in the id
  std::array<unsigned char, 32> secret{};
};
// "NAME HEX" on each line, # before a comment: the first key signs, all are accepted. Nothing if it cannot be
// read; `problem` says why, without the key.
std::optional<std::vector<CursorKey>> parse_cursor_keys(std::string_view text, std::string& problem);

// Signs ids under the first key, and opens those under any.
class CursorSigner {
 public:
  explicit CursorSigner(std::vector<CursorKey> keys);
  // Safe in a path and in a body.
  std::string sign(std::string_view payload) const;
  // Nothing for an id that was altered, cut off, or signed by a key that is not known.
  std::optional<std::string> verify(std::string_view id) const;

 private:
  std::vector<CursorKey> keys_;
};

struct Cursor {
  enum class Kind { scroll, point_in_time } kind = Kind::scroll;
  std::uint64_t number = 0;  // the same over all pages
  std::string team;
  WallClock::time_point opened, expires;
  std::vector<std::string> indices;
  std::vector<json::Value> filters;  // of aliases, one for each index, null if there is none
  std::string routing;
  // Of a scroll:
  json::Value search;  // as search_form() gives it
  bool typed_keys = false, total_as_number = false;
  std::optional<Position> position;
  std::map<int, std::optional<Position>> lagging;  // slices that were not in for a page go on from before it
  std::set<int> finished_slices;
  std::uint64_t total = 0;
  std::optional<double> max_score;
};

json::Value cursor_to_json(const Cursor& cursor);
std::optional<Cursor> cursor_from_json(const json::Value& value);
// What a scroll has to remember of its search; read_search() takes it back.
json::Value scroll_search_body(const SearchRequest& request);

// The slices, of those it is over, that a scroll still needs, and where each goes on (null: at its start).
std::vector<std::pair<int, const Position*>> remaining_slices(const Cursor& cursor,
                                                              const std::vector<int>& slices);
// Where it stands after a page, in the search's total order; `asked` and `missing` are the slices asked for
// the page and those that were not in.
void advance_cursor(Cursor& cursor, const SortOrder& order, const Page& page, const std::vector<int>& asked,
                    const std::vector<int>& missing);

// Where coordinators tell each other which cursors were cleared.
class SharedCursors {
 public:
  virtual ~SharedCursors() = default;
  virtual bool cleared(std::uint64_t number) = 0;
  // `until`: when it would have ended by itself.
  virtual void clear(std::uint64_t number, WallClock::time_point until) = 0;
};

// What this coordinator knows of cursors: bounds of teams, and what was cleared here.
class CursorRegistry {
 public:
  struct Bounds {
    std::size_t max_per_team = 500, max_total = 10'000;
  };
  explicit CursorRegistry(Bounds bounds) : bounds_(bounds) {}
  // Must outlive the use of this.
  void share(SharedCursors& shared) { shared_ = &shared; }

  // False if the team, or all of them, hold as many as they may.
  bool open(const Cursor& cursor, WallClock::time_point now);
  // Goes on with one, opened here or elsewhere. False if it was cleared: here, or anywhere that is shared.
  bool renew(const Cursor& cursor, WallClock::time_point now);
  // True if it was not cleared before.
  bool clear(const Cursor& cursor, WallClock::time_point now);
  // Every one of the team and kind that was opened up to now; tells how many were known here.
  std::size_t clear_all(const std::string& team, Cursor::Kind kind, WallClock::time_point now);
  struct Entry {
    std::string team;
    Cursor::Kind kind = Cursor::Kind::scroll;
    WallClock::time_point opened, expires;
  };
  std::map<std::uint64_t, Entry> list(const std::string& team, Cursor::Kind kind, WallClock::time_point now);
  std::size_t size() const { return entries_.size(); }

 private:
  void forget(WallClock::time_point now);
  std::size_t held_by(const std::string& team) const;
  const Bounds bounds_;
  std::map<std::uint64_t, Entry> entries_;
  std::map<std::uint64_t, WallClock::time_point> cleared_;  // until they would expire
  std::map<std::pair<std::string, Cursor::Kind>, WallClock::time_point> cleared_all_;
  WallClock::time_point swept_{};
  SharedCursors* shared_ = nullptr;
};

}  // namespace kelpdeal::search
