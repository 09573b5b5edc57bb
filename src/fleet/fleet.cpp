// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/fleet.h"

#include <algorithm>
#include <chrono>
#include <limits>

#include "kelpdeal/operations/command.h"

namespace kelpdeal::fleet {
namespace {

constexpr std::int64_t kYear2020Ms = 1'577'836'800'000;  // Unix time, ms
constexpr std::size_t kBatchBytes = 64 * 1024;           // maximum size of a batch for the disk
// Of the second that an operators' call may take.
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
// Added to a claim's duration beyond the end of its query.
constexpr Duration kClaimMargin = std::chrono::milliseconds(250);
constexpr double kReportHalfLifeMs = 2'000;  // of a health report, ms
// A report with less weight is not passed on to the coordinator.
constexpr double kMinReportWeight = 0.5;
// Before retrying a key that another coordinator has claimed.
constexpr Duration kInitialClaimRetryDelay = std::chrono::milliseconds(4);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
constexpr Duration kDiskRetryDelay = std::chrono::seconds(2);  // after a failed write

// Loop delays are reported for the last one to two of these spans.
constexpr Duration kDelaySpan = std::chrono::seconds(10);

// The names in only one of the two sets: `+` marks those added, `-` those removed.
std::string describe_changes(const std::set<std::string, std::less<>>& now,
                             const std::set<std::string, std::less<>>& before) {
  std::vector<std::string> names;
  std::set_symmetric_difference(now.begin(), now.end(), before.begin(), before.end(),
                                std::back_inserter(names));
  std::string text;
  for (const std::string& name : names)
    text += (text.empty() ? "" : " ") + (now.contains(name) ? "+" + name : "-" + name);
  return text;
}

replica::Key operation_key(const std::string& name) { return {replica::kind_of(replica::Operation{}), name}; }

}  // namespace

std::uint64_t incarnation_at(std::int64_t unix_ms) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>((unix_ms - kYear2020Ms) * 2 / 125, 1));
}

std::int64_t Fleet::unix_ms() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch() + file_.clock_offset;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Duration Fleet::loop_delay() const { return std::max(max_loop_delay_, previous_max_loop_delay_); }

Fleet::Fleet(Scheduler& scheduler, const FleetFile& file, const Limits& limits, Metrics& metrics,
             std::uint64_t seed, CoordinatorHooks hooks, admission::MemoryAccount* memory)
    : scheduler_(scheduler),
      file_(file),
      metrics_(metrics),
      seed_(seed),
      random_(seed),
      hooks_(std::move(hooks)) {
  if (!file_.log.path.empty()) events_ = std::make_unique<EventLog>(file_.log, file_.name);
  LoadedState loaded;
  std::uint64_t incarnation = incarnation_at(unix_ms());
  if (!file_.folder.empty()) {
    store_ =
        std::make_unique<Store>(scheduler, file_.folder, [this](const WriteResult& w) { on_written(w); });
    loaded = store_->take_loaded();
    // The clock may have been set back: new writes must have a later incarnation than the stored ones.
    incarnation = std::max(incarnation, loaded.incarnation + 1);
    std::string problem;
    if (!store_->save_incarnation(incarnation, problem) && loaded.problem.empty()) loaded.problem = problem;
    rewrite_pending_ = loaded.damaged > 0;
    if (loaded.damaged > 0) metrics_.count("fleet.copies_damaged");
    if (!loaded.problem.empty())
      log_event("fleet-disk", "disk", loaded.problem,
                {{"damaged_rows", static_cast<std::int64_t>(loaded.damaged)}});
    saved_missed_collections_ = loaded.saved_state.missed_collections;
  }
  member_ = make_member(incarnation, loaded.saved_state);
  saved_mark_ = rewrite_pending_ ? 0 : member_->shared_mark();
  saved_shared_mark_ = member_->shared_mark();
  links_ = std::make_unique<peers::Links>(scheduler, file_.name, incarnation, file_.listen, file_.peers,
                                          *file_.keys, peers::LinkBounds{}, metrics, seed, *this, memory);
  admin_ = std::make_unique<AdminServer>(scheduler, file_.admin, limits, metrics,
                                         [this](std::string line) { return call(std::move(line)); });
  send_all(member_->start(Clock::now()));
  write_event("start", {{"incarnation", static_cast<std::int64_t>(incarnation)},
                        {"entries", static_cast<std::int64_t>(member_->entries().size())}});
  process_changes();
  tick();
}

void Fleet::log_event(std::string_view kind, std::string_view event, const std::string& text,
                      std::initializer_list<EventLog::Field> fields) {
  metrics_.log(kind, text);
  write_event(event, fields);
}

void Fleet::write_event(std::string_view event, std::initializer_list<EventLog::Field> fields) {
  if (events_) events_->write(event, fields);
}

std::unique_ptr<Member> Fleet::make_member(std::uint64_t incarnation, const Member::SavedState& saved_state) {
  std::vector<std::string> names;
  for (const peers::Peer& peer : file_.peers) names.push_back(peer.name);
  auto member = std::make_unique<Member>(file_.name, incarnation, std::move(names), file_.bounds, seed_);
  member->restore(saved_state);
  return member;
}

void Fleet::tick() {
  const TimePoint began = Clock::now();
  if (tick_due_ != TimePoint{}) max_loop_delay_ = std::max(max_loop_delay_, began - tick_due_);
  if (began - delay_span_started_at_ >= kDelaySpan) {
    delay_span_started_at_ = began;
    previous_max_loop_delay_ = std::exchange(max_loop_delay_, {});
  }
  if (!replaced_) send_all(member_->tick(Clock::now(), unix_ms()));
  expire_claims();
  exchange_accounts();
  apply_health_reports();
  process_changes();
  tick_due_ = Clock::now() + file_.bounds.tick_interval;
  tick_timer_ = scheduler_.at(tick_due_, [this] { tick(); });
}

void Fleet::send_all(const std::vector<Outgoing>& out) {
  for (const Outgoing& outgoing : out) {
    if (const auto* message = std::get_if<membership::Message>(&outgoing.body))
      links_->send(outgoing.to, peers::Kind::membership, peers::encode(*message));
    else
      links_->send(outgoing.to, peers::Kind::delta, peers::encode(std::get<replica::Delta>(outgoing.body)));
  }
}

void Fleet::on_message(const peers::Envelope& envelope) {
  if (replaced_) return;
  const TimePoint now = Clock::now();
  for (auto& [team, budget] : budgets_) budget.record_heard(envelope.from, now);
  membership::Message message;
  replica::Delta delta;
  peers::Question question;
  peers::Reply reply;
  switch (static_cast<peers::Kind>(envelope.kind)) {
    case peers::Kind::membership:
      if (!peers::decode(envelope.body, codec_, message)) return metrics_.count("fleet.unreadable");
      send_all(member_->handle_message(envelope.from, message, now));
      break;
    case peers::Kind::delta:
      if (!peers::decode(envelope.body, codec_, delta)) return metrics_.count("fleet.unreadable");
      metrics_.count("fleet.entries_received", delta.items.size());
      send_all(member_->handle_message(envelope.from, delta, now));
      break;
    case peers::Kind::question:
      if (!peers::decode(envelope.body, codec_, question)) return metrics_.count("fleet.unreadable");
      return answer_question(envelope.from, envelope.from_incarnation, question);
    case peers::Kind::reply: {
      if (!peers::decode(envelope.body, codec_, reply)) return metrics_.count("fleet.unreadable");
      const auto it = pending_questions_.find(reply.number);
      if (it == pending_questions_.end() || it->second->awaiting.erase(envelope.from) == 0) return;
      it->second->affirmative |= reply.affirmative;
      it->second->affirmative_count += reply.affirmative;
      it->second->busy |= reply.busy;
      std::move(reply.items.begin(), reply.items.end(), std::back_inserter(it->second->items));
      if (it->second->waiter) it->second->waiter->wake();
      return;
    }
    default:
      return metrics_.count("fleet.unknown_kind");  // sent by a later format
  }
  if (static_cast<peers::Kind>(envelope.kind) == peers::Kind::delta && !delta.items.empty())
    apply_health_reports();
  process_changes();
}

void Fleet::on_link_changed(const std::string& peer, std::uint64_t incarnation, bool up) {
  write_event("link", {{"peer", peer}, {"up", up}, {"incarnation", static_cast<std::int64_t>(incarnation)}});
}

void Fleet::on_superseded(std::uint64_t incarnation) {
  member_->on_superseded(incarnation, Clock::now());
  process_changes();
}

// Publishes, stores and logs whatever the last input changed.
void Fleet::process_changes() {
  for (const membership::MemberChanged& changed : member_->take_changes()) {
    metrics_.count(std::string("fleet.members_") + name_of(changed.state));
    log_event("fleet-" + changed.name, "member",
              changed.name + " is " + name_of(changed.state) + ", incarnation " +
                  std::to_string(changed.version.incarnation),
              {{"peer", changed.name},
               {"state", std::string(name_of(changed.state))},
               {"incarnation", static_cast<std::int64_t>(changed.version.incarnation)}});
  }
  if (const std::uint64_t mark = member_->entries().mark();
      mark != processed_mark_ || seen_rewrite_count_ != member_->rewrite_count()) {
    processed_mark_ = mark;
    if (auto out = member_->banned_nodes(); out != banned_nodes_) {
      const std::string changes = describe_changes(out, banned_nodes_);
      banned_nodes_ = std::move(out);
      hooks_.set_banned_nodes(banned_nodes_);
      metrics_.count("fleet.bans_changed");
      log_event("fleet-hand", "hand",
                "data nodes taken out across the fleet: " + std::to_string(banned_nodes_.size()),
                {{"out", static_cast<std::int64_t>(banned_nodes_.size())}, {"changed", changes}});
    }
  }
  if (std::exchange(ready_, member_->ready(Clock::now())) != ready_)
    log_event(
        "fleet-state", "ready",
        ready_ ? "shared state is complete: ready" : "shared state is incomplete, synchronising: not ready",
        {{"ready", ready_}, {"lag_ms", static_cast<std::int64_t>(member_->lag_ms(Clock::now()))}});
  if (seen_rewrite_count_ != member_->rewrite_count()) {
    seen_rewrite_count_ = member_->rewrite_count();
    rewrite_pending_ = true;
    saved_mark_ = 0;
    metrics_.count("fleet.forgotten");
    log_event("fleet-state", "forgot",
              "missed a collection of obsolete entries: discards its state and synchronises again", {});
  }
  if (const std::uint64_t successor = member_->replaced_by(); successor != 0 && !replaced_) {
    if (successor == Member::kReplaced) {
      replaced_ = true;
      links_->stop();
      metrics_.count("fleet.twins");
      log_event("fleet-twin", "twin",
                "another process runs as " + file_.name + " and started later: this process leaves the fleet",
                {});
    } else {
      reincarnate(successor);
    }
  }
  save();
}

void Fleet::reincarnate(std::uint64_t incarnation) {
  log_event("fleet-twin", "reincarnated",
            "the fleet has heard a later incarnation of this member: continues as incarnation " +
                std::to_string(incarnation),
            {{"incarnation", static_cast<std::int64_t>(incarnation)}});
  member_ = make_member(incarnation, member_->saved_state());
  links_->restart_as(incarnation);
  rewrite_pending_ = true;  // marks start again
  saved_mark_ = saved_shared_mark_ = seen_rewrite_count_ = 0;
  send_all(member_->start(Clock::now()));
  set_teams(teams_);
}

void Fleet::leave() {
  if (!replaced_) send_all(member_->leave(Clock::now()));
}

// ---- State on disk ----
void Fleet::save() {
  if (!store_) return;
  for (replica::Key& key : member_->take_collected()) removed_keys_.push_back(std::move(key));
  if (store_->busy() || Clock::now() < disk_retry_at_) return;
  const replica::ReplicatedMap& entries = member_->entries();
  const bool shared = member_->shared_mark() > saved_shared_mark_;
  if (entries.mark() <= saved_mark_ && removed_keys_.empty() && !rewrite_pending_ && !rewrite_in_progress_ &&
      !shared && member_->missed_collections() == saved_missed_collections_)
    return;
  Batch batch;
  // A complete rewrite is split into batches, so that encoding does not block the loop, but is one
  // transaction up to the current mark, so that a power failure in between loses nothing.
  if (std::exchange(rewrite_pending_, false)) {
    batch.replace_all = rewrite_in_progress_ = true;
    rewritten_mark_ = 0;
    rewrite_end_mark_ = entries.mark();
  }
  const std::uint64_t from = rewrite_in_progress_ ? rewritten_mark_ : saved_mark_;
  batch.shared_mark = member_->shared_mark();
  batch.incarnation = member_->incarnation();
  batch.end_mark = from;
  if (entries.mark() > from)
    for (const replica::Item& item : entries.changes_since(from, kBatchBytes, batch.end_mark)) {
      const std::uint64_t changed_mark = entries.mark_of(item.key);
      batch.rows.push_back({item.key, replica::rank(item.value),
                            changed_mark > batch.shared_mark ? changed_mark : 0,
                            replica::encode(item.value)});
    }
  batch.more_follows = rewrite_in_progress_ && batch.end_mark < rewrite_end_mark_;
  if (!batch.more_follows) {
    batch.removed = removed_keys_;
    batch.missed_collections = member_->missed_collections();
  }
  metrics_.count("fleet.disk_batches");
  metrics_.count("fleet.disk_rows", batch.rows.size());
  batch_in_progress_ = {batch.more_follows, batch.shared_mark, batch.missed_collections,
                        batch.removed.size()};
  store_->write(std::move(batch));
}

void Fleet::on_written(const WriteResult& written) {
  if (written.ok) {
    if (!std::exchange(disk_ok_, true))
      log_event("fleet-disk", "disk", "the state is written to disk again", {{"written", true}});
    if (batch_in_progress_.more_follows) {
      rewritten_mark_ = written.end_mark;
      return save();
    }
    rewrite_in_progress_ = false;
    // A new rewrite may have been requested while this one was being written.
    if (!rewrite_pending_) saved_mark_ = written.end_mark;
    saved_shared_mark_ = std::max(saved_shared_mark_, batch_in_progress_.shared_mark);
    saved_missed_collections_ = batch_in_progress_.missed_collections;
    removed_keys_.erase(removed_keys_.begin(),
                        removed_keys_.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                    batch_in_progress_.removed, removed_keys_.size())));
  } else {
    disk_ok_ = false;
    rewrite_pending_ |= std::exchange(rewrite_in_progress_, false);
    disk_problem_ = written.problem;
    disk_retry_at_ = Clock::now() + kDiskRetryDelay;
    metrics_.count("fleet.disk_failures");
    log_event("fleet-disk", "disk", "cannot write the state to disk: " + written.problem,
              {{"written", false}, {"problem", written.problem}, {"damaged", written.damaged}});
    if (written.damaged) {
      rewrite_pending_ = true;
      saved_mark_ = 0;
      metrics_.count("fleet.copies_damaged");
    }
  }
  save();
}

// ---- Questions to peers ----
void Fleet::answer_question(const std::string& from, std::uint64_t incarnation,
                            const peers::Question& question) {
  peers::Reply reply;
  reply.number = question.number;
  if (question.type == peers::Question::Type::listed) {
    reply.affirmative = hooks_.is_known_node(question.name);
  } else if (question.type == peers::Question::Type::release) {
    put_items(question.items);
    claims_.release(question.name, from, incarnation);
    return process_changes();
  } else {
    const TimePoint now = Clock::now();
    const replica::Claim claim{from, incarnation, question.planned_attempts, question.at_ms,
                               question.window_ms};
    const auto result = member_->ready(now)
                            ? claims_.claim(question.name, claim, Milliseconds(question.duration_ms), now)
                            : replica::ClaimTable::ClaimResult::unavailable;
    reply.affirmative = result == replica::ClaimTable::ClaimResult::granted;
    reply.busy = result == replica::ClaimTable::ClaimResult::busy;
    const replica::Key key = operation_key(question.name);
    if (const replica::Value* value = member_->entries().find(key)) reply.items.push_back({key, *value});
  }
  links_->send(from, peers::Kind::reply, peers::encode(reply));
}

Task<Fleet::PendingQuestion> Fleet::ask_peers(peers::Question question, TimePoint deadline,
                                              std::size_t enough) {
  question.number = ++last_question_number_;
  PendingQuestion pending;
  Parker parker(scheduler_);
  pending.waiter = &parker;
  for (const std::string& peer : member_->alive())
    if (links_->up(peer) && links_->send(peer, peers::Kind::question, peers::encode(question)))
      pending.awaiting.insert(peer);
  pending_questions_[question.number] = &pending;
  while (!pending.awaiting.empty() && pending.affirmative_count < enough && !pending.busy)
    if (co_await parker.park(deadline) == WakeReason::timed_out) break;
  pending_questions_.erase(question.number);
  pending.waiter = nullptr;
  co_return pending;
}

// ---- Keyed operations ----
void Fleet::put_items(const std::vector<replica::Item>& items) {
  for (const replica::Item& item : items) member_->entries().put(item.key, item.value);
}

void Fleet::release_claim(const std::string& name, bool sent) {
  claims_.release(name, file_.name, member_->incarnation());
  peers::Question question;
  question.type = peers::Question::Type::release;
  question.name = name;
  const replica::Key key = operation_key(name);
  if (const replica::Value* value = member_->entries().find(key); value && sent)
    question.items.push_back({key, *value});
  const std::string body = peers::encode(question);
  for (const peers::Peer& peer : file_.peers)
    if (links_->up(peer.name)) links_->send(peer.name, peers::Kind::question, body);
}

Task<KeyedOperations::Grant> Fleet::begin(std::string class_name, std::string key, Duration window, int cap,
                                          TimePoint until) {
  const TimePoint now = Clock::now();
  const std::string name = replica::operation_name(class_name, key);
  const std::int64_t window_ms = std::chrono::duration_cast<Milliseconds>(window).count();
  const replica::Claim claim{file_.name, member_->incarnation(), static_cast<std::uint32_t>(cap), unix_ms(),
                             window_ms};
  Grant grant;
  grant.retry_after = file_.ask_timeout;
  using ClaimResult = replica::ClaimTable::ClaimResult;
  const std::size_t majority = (file_.peers.size() + 1) / 2 + 1;
  const TimePoint deadline = std::min(now + file_.ask_timeout, until);
  bool has_majority = false, busy = false, locally_claimed = false;
  // Of several members that claim one key at the same time, none may get a majority: each releases its claim
  // and retries after a random delay that doubles each time.
  for (Duration retry_delay = kInitialClaimRetryDelay;; retry_delay *= 2) {
    locally_claimed = local_keys_.insert(name).second;  // also one at a time within this coordinator
    ClaimResult local_result = ClaimResult::busy;
    if (locally_claimed && (replaced_ || !member_->ready(Clock::now())))
      local_result = ClaimResult::unavailable;
    else if (locally_claimed)
      local_result = claims_.claim(name, claim, until - now + kClaimMargin, Clock::now());
    has_majority = local_result == ClaimResult::granted;
    busy = local_result == ClaimResult::busy;
    if (!busy) {
      peers::Question question;
      question.type = peers::Question::Type::claim;
      question.name = name;
      question.planned_attempts = claim.planned_attempts;
      question.duration_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
          std::chrono::duration_cast<Milliseconds>(until - now + kClaimMargin).count(), 0, 60'000));
      question.at_ms = claim.at_ms;
      question.window_ms = window_ms;
      const PendingQuestion pending =
          co_await ask_peers(std::move(question), deadline, majority - has_majority);
      put_items(pending.items);
      busy = pending.busy;
      has_majority = pending.affirmative_count + has_majority >= majority;
    }
    if (has_majority || !busy) break;
    if (local_result != ClaimResult::busy) release_claim(name, false);
    if (locally_claimed) local_keys_.erase(name);
    locally_claimed = false;
    if (Clock::now() + retry_delay >= deadline) break;
    const double share = std::uniform_real_distribution<>(0.5, 1)(random_);
    co_await scheduler_.sleep_until(Clock::now() + to_duration(FractionalMs(retry_delay) * share));
  }
  metrics_.count(busy && !has_majority ? "fleet.keys_busy"
                 : has_majority        ? "fleet.keys_claimed"
                                       : "fleet.keys_unheard");
  const auto risk = file_.proceed_unheard.find(class_name);
  const bool risks = !busy && !has_majority && risk != file_.proceed_unheard.end() && risk->second;
  if (risks) metrics_.count("fleet.keys_risked");
  if (!has_majority && !risks) {
    // Releases the claims of a refused request, which would otherwise block the key until they expire.
    if (locally_claimed) release_claim(name, false);
    if (locally_claimed) local_keys_.erase(name);
    grant.reason = busy ? "another coordinator holds the claim on the key"
                        : "no majority of coordinators granted a claim on the key";
    co_return grant;
  }
  const replica::Value* value = member_->entries().find(operation_key(name));
  const auto* operation = value ? std::get_if<replica::Operation>(value) : nullptr;
  const replica::Allowance left = replica::allowance(operation, static_cast<std::uint32_t>(cap), window_ms);
  if (left.until_ms > 0) grant.send_until = now + Milliseconds(left.until_ms - unix_ms());
  if (left.attempts == 0 || grant.send_until <= Clock::now()) {
    metrics_.count("fleet.keys_spent");
    release_claim(name, false);
    local_keys_.erase(name);
    grant.reason = "all attempts for the key have been used";
    co_return grant;
  }
  // Nothing may be sent once the claim may have expired at other members.
  grant.send_until = std::min(grant.send_until, now + replica::ClaimBounds{}.max_duration - kClaimMargin);
  grant.granted = true;
  grant.max_attempts = static_cast<int>(left.attempts);
  co_return grant;
}

void Fleet::end(const std::string& class_name, const std::string& key, Duration window, int made,
                TimePoint first, bool done) {
  const std::string name = replica::operation_name(class_name, key);
  const replica::Value* value = member_->entries().find(operation_key(name));
  const auto* before = value ? std::get_if<replica::Operation>(value) : nullptr;
  if (made > 0) {
    const auto ago = std::chrono::duration_cast<Milliseconds>(Clock::now() - first).count();
    member_->entries().put(
        operation_key(name),
        replica::record_attempts(file_.name, static_cast<std::uint32_t>(made), unix_ms() - ago,
                                 std::chrono::duration_cast<Milliseconds>(window).count(), done, before));
  }
  release_claim(name, made > 0);
  local_keys_.erase(name);
  process_changes();
}

// A coordinator may have been cut off or died with a claim: what it may have sent is recorded as sent.
void Fleet::expire_claims() {
  for (const replica::ClaimTable::ExpiredClaim& expired : claims_.take_expired(Clock::now())) {
    metrics_.count("fleet.claims_overdue");
    const replica::Key key = operation_key(expired.name);
    const replica::Value* value = member_->entries().find(key);
    const auto* before = value ? std::get_if<replica::Operation>(value) : nullptr;
    member_->entries().put(
        key, replica::record_attempts(expired.claim.member, expired.claim.planned_attempts,
                                      expired.claim.at_ms, expired.claim.window_ms, false, before));
  }
}

// ---- Cleared cursors ----
bool Fleet::cleared(std::uint64_t number) {
  return member_->entries().find({replica::kind_of(replica::ClearedCursor{}), std::to_string(number)}) !=
         nullptr;
}

void Fleet::clear(std::uint64_t number, search::WallClock::time_point until) {
  replica::ClearedCursor cleared;
  cleared.until_ms = std::chrono::duration_cast<Milliseconds>(until.time_since_epoch()).count();
  member_->entries().put({replica::kind_of(cleared), std::to_string(number)}, cleared);
}

// ---- Health reports on record nodes ----
void Fleet::report_node_health(const std::string& uid, std::int64_t boot_ms, bool hangs) {
  if (!file_.beliefs || replaced_) return;
  const replica::Key key{replica::kind_of(replica::HealthReport{}), uid};
  const replica::Value* value = member_->entries().find(key);
  const auto* known = value ? std::get_if<replica::HealthReport>(value) : nullptr;
  // A healthy node is only worth reporting if that retracts a suspicion.
  if (!hangs && (!known || known->state == replica::HealthReport::State::healthy)) return;
  replica::HealthReport report;
  report.boot_ms = boot_ms;
  // This report must be the later one even if the local clock is behind the previous reporter's.
  report.at_ms = std::max(unix_ms(), known ? known->at_ms + 1 : 0);
  report.state = hangs ? replica::HealthReport::State::suspect : replica::HealthReport::State::healthy;
  report.reporter = file_.name;
  metrics_.count(hangs ? "fleet.beliefs_told" : "fleet.beliefs_taken_back");
  member_->entries().put(key, report);
  process_changes();
}

// Passes on suspicions while they are recent, measured from their arrival here.
void Fleet::apply_health_reports() {
  if (!file_.beliefs) return;
  const TimePoint now = Clock::now();
  member_->entries().for_each_of_kind(
      replica::kind_of(replica::HealthReport{}), [&](const replica::Key& key, const replica::Value& value) {
        const auto* report = std::get_if<replica::HealthReport>(&value);
        if (!report || report->reporter == file_.name) return;
        ReceivedReport& received = received_reports_[key.name];
        if (received.at_ms != report->at_ms) {
          received = {report->at_ms, now};
          metrics_.count("fleet.beliefs_heard");
        }
        if (report->state != replica::HealthReport::State::suspect) return;
        if (report->weight(
                report->boot_ms,
                report->at_ms + std::chrono::duration_cast<Milliseconds>(now - received.at).count(),
                kReportHalfLifeMs) >= kMinReportWeight)
          hooks_.report_hanging_node(key.name, report->boot_ms);
      });
}

// ---- Team rates ----
void Fleet::set_teams(const std::vector<TeamContract>& teams) {
  teams_ = teams;
  budgets_.clear();
  for (const TeamContract& team : teams_)
    if (team.per_second > 0)
      budgets_.emplace(team.name, replica::TeamBudget(file_.name, member_->incarnation(), team.per_second,
                                                      team.burst, file_.peers.size() + 1, {}, Clock::now()));
}

bool Fleet::admit(const std::string& team, TimePoint now, Duration& retry_after) {
  const auto budget = budgets_.find(team);
  if (budget == budgets_.end() || budget->second.admit(now)) return true;
  retry_after = budget->second.retry_after(kMaxRetryAfter);
  metrics_.count("fleet.rate_refused");
  return false;
}

// Publishes what was admitted here and applies what the other members published.
void Fleet::exchange_accounts() {
  const TimePoint now = Clock::now();
  if (budgets_.empty() || now - accounts_exchanged_at_ < replica::BudgetBounds{}.share_interval) return;
  accounts_exchanged_at_ = now;
  for (auto& [team, budget] : budgets_) {
    const replica::Key key{replica::kind_of(replica::Account{}), team};
    if (replica::Account local = budget.account(); local.sum().attempted > 0)
      member_->entries().put(key, local);
    const replica::Value* value = member_->entries().find(key);
    if (const auto* account = value ? std::get_if<replica::Account>(value) : nullptr)
      budget.apply_account(*account, now);
  }
}

// ---- Operators' calls ----
Task<std::string> Fleet::call(std::string line) {
  const TimePoint deadline = Clock::now() + kCallTimeout;
  std::string problem;
  const auto call = parse_call(line, problem);
  if (!call) {
    metrics_.count("fleet.calls_bad");
    metrics_.log("fleet-call", "invalid call: " + problem);
    co_return operations::failure(problem);
  }
  metrics_.count("fleet.calls");
  if (replaced_)
    co_return operations::failure("another process runs as " + file_.name + ": this one is out of the fleet");
  const TimePoint now = Clock::now();
  switch (call->kind) {
    case Call::Kind::members:
      co_return operations::success(members_json(*member_, now));
    case Call::Kind::digest:
      co_return operations::success(digest_json(*member_));
    case Call::Kind::out:
      co_return operations::success(out_json(*member_));
    case Call::Kind::state:
      co_return operations::success(state_json(*member_, links_->traffic(), metrics_, loop_delay(), now));
    case Call::Kind::offline:
    case Call::Kind::online:
      break;
  }
  // A node known to any member may be named at any member.
  bool listed = hooks_.is_known_node(call->node) || banned_nodes_.contains(call->node);
  if (!listed) {
    peers::Question question;
    question.type = peers::Question::Type::listed;
    question.name = call->node;
    const PendingQuestion pending = co_await ask_peers(std::move(question), now + kCallTimeout / 2, 1);
    listed = pending.affirmative;
  }
  const bool out = call->kind == Call::Kind::offline;
  // While the state is incomplete, a ban that is not known here yet may exist.
  if (!out && !member_->ready(Clock::now()) && !banned_nodes_.contains(call->node))
    co_return operations::failure("not ready: takes what the fleet holds");
  CallResult result = out ? member_->offline(call->node, listed) : member_->online(call->node, listed);
  write_event("call", {{"call", std::string(out ? "OFFLINE" : "ONLINE")},
                       {"node", call->node},
                       {"success", result.success},
                       {"text", result.text}});
  co_return co_await confirm_change(std::move(result), deadline);
}

// A change is acknowledged once it is on disk, if a folder is configured; if the disk fails, the answer says
// so.
Task<std::string> Fleet::confirm_change(CallResult result, TimePoint deadline) {
  process_changes();
  if (!result.success) co_return operations::failure(result.text);
  if (result.changed && store_) {
    const std::uint64_t mark = member_->entries().mark();
    const Member* const original_member = member_.get();
    while (member_.get() == original_member && saved_mark_ < mark && disk_ok_ && Clock::now() < deadline)
      co_await scheduler_.sleep_until(Clock::now() + Milliseconds(2));
    if (saved_mark_ < mark) {
      metrics_.count("fleet.calls_not_on_disk");
      result.text += disk_ok_ ? " (not on the disk yet)" : " (not on the disk: " + disk_problem_ + ")";
    }
  }
  co_return operations::success(result.text);
}

}  // namespace kelpdeal::fleet
