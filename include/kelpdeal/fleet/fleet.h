// SPDX-License-Identifier: MIT
// Runs a coordinator's fleet membership on the scheduler: the member, its links, its state on disk and the
// operators' calls. Member makes the decisions; this class carries them out.
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
#include "kelpdeal/search/cursor_registry.h"

namespace kelpdeal::fleet {

// Callbacks into the coordinator.
struct CoordinatorHooks {
  // Whether discovery or the configuration has named that node.
  std::function<bool(std::string_view)> is_known_node;
  // The complete set of banned nodes.
  std::function<void(const std::set<std::string, std::less<>>&)> set_banned_nodes;
  // Another member reports that this start of the node hangs.
  std::function<void(const std::string&, std::int64_t)> report_hanging_node;
};

class Fleet : public search::SharedCursors,
              public peers::LinkSink,
              public KeyedOperations,
              public SharedRateLimits,
              public NodeHealthExchange {
 public:
  // Throws std::system_error if an address cannot be bound.
  Fleet(Scheduler& scheduler, const FleetFile& file, const Limits& limits, Metrics& metrics,
        std::uint64_t seed, CoordinatorHooks hooks, admission::MemoryAccount* memory = nullptr);

  std::string peers_address() const { return links_->address().text(); }
  std::string admin_address() const { return admin_->address().text(); }
  // Graceful departure: informs the other members.
  void leave();
  // Handles one operators' call and returns the answer line, within a second.
  Task<std::string> call(std::string line);
  Member& member() { return *member_; }
  bool cleared(std::uint64_t number) override;
  void clear(std::uint64_t number, search::WallClock::time_point until) override;
  void report_node_health(const std::string& uid, std::int64_t boot_ms, bool hangs) override;
  // Sets the teams whose rates are enforced across the fleet.
  void set_teams(const std::vector<TeamContract>& teams);
  bool admit(const std::string& team, TimePoint now, Duration& retry_after) override;
  // Requests a claim from a majority of the configured members and learns what they know of the operation.
  // Without a majority in time, the operation is refused, or, if the class permits, continues with local
  // knowledge.
  Task<Grant> begin(std::string class_name, std::string key, Duration window, int cap,
                    TimePoint until) override;
  void end(const std::string& class_name, const std::string& key, Duration window, int made, TimePoint first,
           bool done) override;

 private:
  struct PendingQuestion {  // a question sent to peers, not yet settled
    std::set<std::string> awaiting;
    bool affirmative = false;
    std::vector<replica::Item> items;
    // Peers that answered yes.
    std::size_t affirmative_count = 0;
    bool busy = false;
    Parker* waiter = nullptr;
  };
  void on_message(const peers::Envelope& envelope) override;
  void on_link_changed(const std::string& peer, std::uint64_t incarnation, bool up) override;
  void on_superseded(std::uint64_t incarnation) override;
  void tick();
  std::int64_t unix_ms() const;
  Duration loop_delay() const;
  void send_all(const std::vector<Outgoing>& out);
  void process_changes();  // called after each input: publishes, stores and logs what changed
  void save();
  void on_written(const WriteResult& written);
  void answer_question(const std::string& from, std::uint64_t incarnation, const peers::Question& question);
  // Ends after that many affirmative answers or one that reports the key as busy.
  Task<PendingQuestion> ask_peers(peers::Question question, TimePoint deadline, std::size_t enough);
  void put_items(const std::vector<replica::Item>& items);
  void release_claim(const std::string& name, bool sent);
  void expire_claims();
  void exchange_accounts();
  void apply_health_reports();
  Task<std::string> confirm_change(CallResult result, TimePoint deadline);
  // Writes to both logs; the fields go to the structured one only.
  void log_event(std::string_view kind, std::string_view event, const std::string& text,
                 std::initializer_list<EventLog::Field> fields);
  // Writes to the structured log only.
  void write_event(std::string_view event, std::initializer_list<EventLog::Field> fields);
  void reincarnate(std::uint64_t incarnation);
  std::unique_ptr<Member> make_member(std::uint64_t incarnation, const Member::SavedState& saved_state);

  Scheduler& scheduler_;
  const FleetFile file_;
  Metrics& metrics_;
  const std::uint64_t seed_;
  std::mt19937_64 random_;
  const CoordinatorHooks hooks_;
  const peers::CodecBounds codec_;
  std::unique_ptr<EventLog> events_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Member> member_;
  std::unique_ptr<peers::Links> links_;
  std::unique_ptr<AdminServer> admin_;
  std::set<std::string, std::less<>> banned_nodes_;
  std::map<std::uint64_t, PendingQuestion*> pending_questions_;
  std::uint64_t last_question_number_ = 0;
  replica::ClaimTable claims_{{}, Clock::now()};
  std::set<std::string> local_keys_;  // operations in progress at this coordinator
  std::vector<TeamContract> teams_;
  std::map<std::string, replica::TeamBudget> budgets_;
  TimePoint accounts_exchanged_at_{};
  // When a report of another member arrived here, as the members' clocks may differ.
  struct ReceivedReport {
    std::int64_t at_ms = 0;
    TimePoint at{};
  };
  std::map<std::string, ReceivedReport> received_reports_;
  std::uint64_t processed_mark_ = 0;  // mark of the shared state
  bool replaced_ = false, ready_ = false;
  // State on disk.
  std::uint64_t saved_mark_ = 0, saved_shared_mark_ = 0, seen_rewrite_count_ = 0;
  replica::MissedCollections saved_missed_collections_;
  std::vector<replica::Key> removed_keys_;
  bool rewrite_pending_ = false, disk_ok_ = true;
  // A complete rewrite is in progress: written up to rewritten_mark_ of rewrite_end_mark_.
  bool rewrite_in_progress_ = false;
  std::uint64_t rewritten_mark_ = 0, rewrite_end_mark_ = 0;
  TimePoint disk_retry_at_{};
  std::string disk_problem_;
  struct BatchInProgress {  // the batch being written
    bool more_follows = false;
    std::uint64_t shared_mark = 0;
    replica::MissedCollections missed_collections;
    std::size_t removed = 0;
  } batch_in_progress_;
  Timer tick_timer_;
  TimePoint tick_due_{}, delay_span_started_at_{};
  // Maximum delay of the tick in the current span and in the previous one.
  Duration max_loop_delay_{}, previous_max_loop_delay_{};
};

// The incarnation of a new process, derived from the time in sixteenths of a second since 2020: increases
// from start to start and stays below 2^34.
std::uint64_t incarnation_at(std::int64_t unix_ms);

}  // namespace kelpdeal::fleet
