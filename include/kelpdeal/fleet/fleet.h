// SPDX-License-Identifier: MIT
// A coordinator's part in its fleet: the member, its links, its copy on disk and the operators' calls, put on
// the scheduler. What it decides stands in Member; here it is carried out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "kelpdeal/admin_server.h"
#include "kelpdeal/broker.h"
#include "kelpdeal/contract.h"
#include "kelpdeal/fleet/calls.h"
#include "kelpdeal/fleet/event_log.h"
#include "kelpdeal/fleet/fleet_file.h"
#include "kelpdeal/fleet/store.h"
#include "kelpdeal/limits.h"
#include "kelpdeal/metrics.h"
#include "kelpdeal/peers/links.h"
#include "kelpdeal/replica/budget.h"
#include "kelpdeal/replica/claims.h"
#include "kelpdeal/scheduler.h"
#include "kelpdeal/search/cursor.h"

namespace kelpdeal::fleet {

// What the fleet asks of its coordinator.
struct CoordinatorHooks {
  std::function<bool(std::string_view)> listed;  // whether discovery or the configuration named that node
  std::function<void(const std::set<std::string, std::less<>>&)> hold_out;  // the nodes out by hand, anew
  std::function<void(const std::string&, std::int64_t)> advise;  // that start of that node is said to hang
};

class Fleet : public search::SharedCursors,
              public peers::LinkSink,
              public KeyedOperations,
              public SharedRates,
              public Beliefs {
 public:
  // Throws std::system_error if an address cannot be had.
  Fleet(Scheduler& scheduler, const FleetFile& file, const Limits& limits, Metrics& metrics,
        std::uint64_t seed, CoordinatorHooks coordinator);

  std::string peers_address() const { return links_->address().text(); }
  std::string admin_address() const { return admin_->address().text(); }
  // In order: the others are told.
  void leave();
  // One operators' call, and its answer line, within a second.
  Task<std::string> call(std::string line);
  Member& member() { return *member_; }
  bool cleared(std::uint64_t number) override;
  void clear(std::uint64_t number, search::WallClock::time_point until) override;
  void found(const std::string& uid, std::int64_t boot_ms, bool hangs) override;
  // The teams whose rates are held in common from here on.
  void set_teams(const std::vector<TeamContract>& teams);
  bool admit(const std::string& team, TimePoint now, Duration& retry_after) override;
  // A claim from most of the configured members, and what they know of the operation. Without a majority in
  // time: refused, or at its class's risk on what is known here.
  Task<Grant> begin(std::string class_name, std::string key, Duration window, int cap,
                    TimePoint until) override;
  void end(const std::string& class_name, const std::string& key, Duration window, int made, TimePoint first,
           bool done) override;

 private:
  struct Asked {  // a question that is out
    std::set<std::string> open;
    bool yes = false;
    std::vector<replica::Item> items;
    std::size_t answers = 0;  // yes
    bool busy = false;
    Parker* waiting = nullptr;
  };
  void heard(const peers::Envelope& envelope) override;
  void link_changed(const std::string& peer, std::uint64_t life, bool up) override;
  void outlived(std::uint64_t life) override;
  void beat();
  std::int64_t unix_ms() const;
  Duration late() const;
  void deliver(const std::vector<Outgoing>& out);
  void look();  // after each input: what changed is told, kept and logged
  void keep();
  void kept(const Written& written);
  void answer(const std::string& from, std::uint64_t life, const peers::Question& question);
  // Ends once so many have said yes, or one that it is busy.
  Task<Asked> ask(peers::Question question, TimePoint deadline, std::size_t enough);
  void put(const std::vector<replica::Item>& items);
  void release(const std::string& name, bool sent);
  void overdue();
  void accounts();
  void advise();
  Task<std::string> said(Word word, TimePoint deadline);
  // A line in both logs; the structured one has the fields besides.
  void event(std::string_view kind, std::string_view event, const std::string& text,
             std::initializer_list<EventLog::Field> fields);
  // One in the structured log alone.
  void note(std::string_view event, std::initializer_list<EventLog::Field> fields);
  void reincarnate(std::uint64_t incarnation);
  std::unique_ptr<Member> make_member(std::uint64_t incarnation, const Member::Kept& kept);

  Scheduler& scheduler_;
  const FleetFile file_;
  Metrics& metrics_;
  const std::uint64_t seed_;
  std::mt19937_64 random_;
  const CoordinatorHooks coordinator_;
  const peers::CodecBounds codec_;
  std::unique_ptr<EventLog> events_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Member> member_;
  std::unique_ptr<peers::Links> links_;
  std::unique_ptr<AdminServer> admin_;
  std::set<std::string, std::less<>> held_out_;
  std::map<std::uint64_t, Asked*> asked_;
  std::uint64_t questions_ = 0;
  replica::ClaimTable claims_{{}, Clock::now()};
  std::set<std::string> keys_here_;  // operations under way at this coordinator
  std::vector<TeamContract> teams_;
  std::map<std::string, replica::TeamBudget> budgets_;
  TimePoint accounts_at_{};
  struct Heard {  // another's belief, as it came here: members' clocks may differ
    std::int64_t at_ms = 0;
    TimePoint at{};
  };
  std::map<std::string, Heard> beliefs_;
  std::uint64_t looked_at_ = 0;  // the copy's mark
  bool twin_ = false, ready_ = false;
  // Of the copy on disk.
  std::uint64_t kept_ = 0, kept_shared_ = 0, rewritten_ = 0;
  replica::MissedCollections saved_missed_collections_;
  std::vector<replica::Key> gone_;
  bool anew_ = false, disk_well_ = true;
  bool rewriting_ = false;  // a copy is being written anew, up to handed_ of goal_ so far
  std::uint64_t handed_ = 0, goal_ = 0;
  TimePoint disk_again_{};
  std::string disk_problem_;
  struct Writing {  // what is on its way to the disk
    bool more = false;
    std::uint64_t shared = 0;
    replica::MissedCollections missed_collections;
    std::size_t gone = 0;
  } writing_;
  Timer beat_;
  TimePoint beat_due_{}, late_since_{};
  Duration late_{}, late_before_{};  // the latest beat of this span, and of the one before
};

// A new process's number, of the time: sixteenths of a second since 2020, so that it grows from start to
// start and stays below 2^34.
std::uint64_t incarnation_at(std::int64_t unix_ms);

}  // namespace kelpdeal::fleet
