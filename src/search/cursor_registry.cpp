// SPDX-License-Identifier: MIT
#include "kelpdeal/search/cursor_registry.h"

#include <algorithm>

namespace kelpdeal::search {

void CursorRegistry::remove_expired(WallClock::time_point now) {
  while (const auto number = open_.first_expiring(now)) remove(*number);
  while (const auto number = cleared_.first_expiring(now)) cleared_.remove(*number);
}

void CursorRegistry::add(const Cursor& cursor) {
  if (open_.insert(cursor.number, {cursor.team, cursor.kind, cursor.opened}, cursor.expires))
    ++open_by_team_[cursor.team];
}

void CursorRegistry::remove(std::uint64_t number) {
  const std::optional<Entry> removed = open_.remove(number);
  if (!removed) return;
  const auto team = open_by_team_.find(removed->team);
  if (--team->second == 0) open_by_team_.erase(team);
}

bool CursorRegistry::open(const Cursor& cursor, WallClock::time_point now) {
  remove_expired(now);
  const auto team = open_by_team_.find(cursor.team);
  if (open_.size() >= bounds_.max_total) return false;
  if (team != open_by_team_.end() && team->second >= bounds_.max_per_team) return false;
  add(cursor);
  return true;
}

bool CursorRegistry::renew(const Cursor& cursor, WallClock::time_point now) {
  remove_expired(now);
  if (cleared_.contains(cursor.number) || (shared_ && shared_->cleared(cursor.number))) return false;
  const auto all = cleared_all_.find({cursor.team, cursor.kind});
  if (all != cleared_all_.end() && cursor.opened <= all->second) return false;
  // A cursor opened by another coordinator is served even if the registry is full: it was admitted there.
  if (!open_.extend(cursor.number, cursor.expires) && open_.size() < bounds_.max_total) add(cursor);
  return true;
}

bool CursorRegistry::clear(const Cursor& cursor, WallClock::time_point now) {
  remove_expired(now);
  remove(cursor.number);
  const bool cleared_elsewhere = shared_ && shared_->cleared(cursor.number);
  if (shared_) shared_->clear(cursor.number, cursor.expires);
  if (cleared_.contains(cursor.number)) return false;
  // Bounds the record of cleared cursors: beyond it, the one that expires first is dropped.
  if (cleared_.size() >= 2 * bounds_.max_total)
    cleared_.remove(*cleared_.first_expiring(WallClock::time_point::max()));
  cleared_.insert(cursor.number, {}, cursor.expires);
  return !cleared_elsewhere;
}

std::optional<std::size_t> CursorRegistry::clear_all(const std::string& team, Cursor::Kind kind,
                                                     WallClock::time_point now) {
  remove_expired(now);
  // Cursors that were opened before a record this old have expired.
  if (cleared_all_.size() >= bounds_.max_total)
    std::erase_if(cleared_all_,
                  [&](const auto& record) { return record.second + bounds_.max_keep_alive < now; });
  if (cleared_all_.size() >= bounds_.max_total && !cleared_all_.contains({team, kind})) return std::nullopt;
  cleared_all_[{team, kind}] = now;
  // Clears the cursors known here at the other coordinators too. Those known only elsewhere stay usable there
  // until they expire.
  const Entries known = list(team, kind, now);
  for (const auto& [number, entry] : known) {
    if (shared_) shared_->clear(number, entry.expires);
    remove(number);
  }
  return known.size();
}

CursorRegistry::Entries CursorRegistry::list(const std::string& team, Cursor::Kind kind,
                                             WallClock::time_point now) {
  Entries found;
  for (const auto& [number, entry] : open_.entries())
    if (entry.value.team == team && entry.value.kind == kind && entry.expires > now)
      found.emplace(number, entry);
  return found;
}

}  // namespace kelpdeal::search
