// SPDX-License-Identifier: MIT
#include "kelpdeal/fleet/fleet.h"

#include <algorithm>
#include <chrono>
#include <limits>

#include "kelpdeal/operations/command.h"

namespace kelpdeal::fleet {
namespace {

constexpr std::int64_t kYear2020 = 1'577'836'800'000;              // Unix time, ms
constexpr std::size_t kBatchBytes = 64 * 1024;                     // on their way to the disk at once
constexpr Duration kCallTime = std::chrono::milliseconds(800);     // of the second that a call may take
constexpr Duration kClaimMargin = std::chrono::milliseconds(250);  // of a claim beyond its query's end
constexpr double kHalfLife = 2'000;                                // of a belief, ms
constexpr double kHeeded = 0.5;  // a belief that weighs less is not passed to the decisions
constexpr Duration kFirstPause = std::chrono::milliseconds(4);  // of one that found a key claimed by another
constexpr Duration kMostRetry = std::chrono::seconds(10);
constexpr Duration kDiskPause = std::chrono::seconds(2);  // after a write that failed

constexpr Duration kLateSpan = std::chrono::seconds(10);  // how late the loop was is told of one or two of it

// The names that one set has and the other lacks, `+` before those that came.
std::string changes_to(const std::set<std::string, std::less<>>& now,
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
  return static_cast<std::uint64_t>(std::max<std::int64_t>((unix_ms - kYear2020) * 2 / 125, 1));
}

std::int64_t Fleet::unix_ms() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch() + file_.clock_offset;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Duration Fleet::late() const { return std::max(late_, late_before_); }

Fleet::Fleet(Scheduler& scheduler, const FleetFile& file, const Limits& limits, Metrics& metrics,
             std::uint64_t seed, Coordinator coordinator)
    : scheduler_(scheduler),
      file_(file),
      metrics_(metrics),
      seed_(seed),
      random_(seed),
      coordinator_(std::move(coordinator)) {
  if (!file_.log.path.empty()) events_ = std::make_unique<EventLog>(file_.log, file_.name);
  Loaded loaded;
  std::uint64_t incarnation = incarnation_at(unix_ms());
  if (!file_.folder.empty()) {
    store_ = std::make_unique<Store>(scheduler, file_.folder, [this](const Written& w) { kept(w); });
    loaded = store_->take_loaded();
    // Guards against a clock that was set back: what is said now has to count as the later word.
    incarnation = std::max(incarnation, loaded.incarnation + 1);
    std::string problem;
    if (!store_->keep_incarnation(incarnation, problem) && loaded.problem.empty()) loaded.problem = problem;
    anew_ = loaded.damaged > 0;
    if (loaded.damaged > 0) metrics_.count("fleet.copies_damaged");
    if (!loaded.problem.empty())
      event("fleet-disk", "disk", loaded.problem,
            {{"damaged_rows", static_cast<std::int64_t>(loaded.damaged)}});
    kept_rounds_ = loaded.kept.rounds;
  }
  member_ = make_member(incarnation, loaded.kept);
  kept_ = anew_ ? 0 : member_->shared_mark();
  kept_shared_ = member_->shared_mark();
  links_ = std::make_unique<peers::Links>(scheduler, file_.name, incarnation, file_.listen, file_.peers,
                                          *file_.keys, peers::LinkBounds{}, metrics, seed, *this);
  admin_ = std::make_unique<AdminServer>(scheduler, file_.admin, limits, metrics,
                                         [this](std::string line) { return call(std::move(line)); });
  deliver(member_->start(Clock::now()));
  note("start", {{"incarnation", static_cast<std::int64_t>(incarnation)},
                 {"entries", static_cast<std::int64_t>(member_->copy().size())}});
  look();
  beat();
}

void Fleet::event(std::string_view kind, std::string_view event, const std::string& text,
                  std::initializer_list<EventLog::Field> fields) {
  metrics_.log(kind, text);
  note(event, fields);
}

void Fleet::note(std::string_view event, std::initializer_list<EventLog::Field> fields) {
  if (events_) events_->write(event, fields);
}

std::unique_ptr<Member> Fleet::make_member(std::uint64_t incarnation, const Member::Kept& kept) {
  std::vector<std::string> names;
  for (const peers::Peer& peer : file_.peers) names.push_back(peer.name);
  auto member = std::make_unique<Member>(file_.name, incarnation, std::move(names), file_.bounds, seed_);
  member->restore(kept);
  return member;
}

void Fleet::beat() {
  const TimePoint began = Clock::now();
  if (beat_due_ != TimePoint{}) late_ = std::max(late_, began - beat_due_);
  if (began - late_since_ >= kLateSpan) {
    late_since_ = began;
    late_before_ = std::exchange(late_, {});
  }
  if (!twin_) deliver(member_->tick(Clock::now(), unix_ms()));
  overdue();
  accounts();
  advise();
  look();
  beat_due_ = Clock::now() + file_.bounds.beat;
  beat_ = scheduler_.at(beat_due_, [this] { beat(); });
}

void Fleet::deliver(const std::vector<Out>& out) {
  for (const Out& one : out) {
    if (const auto* message = std::get_if<membership::Message>(&one.body))
      links_->send(one.to, peers::Kind::membership, peers::encode(*message));
    else
      links_->send(one.to, peers::Kind::piece, peers::encode(std::get<replica::Piece>(one.body)));
  }
}

void Fleet::heard(const peers::Envelope& envelope) {
  if (twin_) return;
  const TimePoint now = Clock::now();
  for (auto& [team, budget] : budgets_) budget.heard(envelope.from, now);
  membership::Message message;
  replica::Piece piece;
  peers::Question question;
  peers::Reply reply;
  switch (static_cast<peers::Kind>(envelope.kind)) {
    case peers::Kind::membership:
      if (!peers::decode(envelope.body, codec_, message)) return metrics_.count("fleet.unreadable");
      deliver(member_->received(envelope.from, message, now));
      break;
    case peers::Kind::piece:
      if (!peers::decode(envelope.body, codec_, piece)) return metrics_.count("fleet.unreadable");
      metrics_.count("fleet.entries_received", piece.items.size());
      deliver(member_->received(envelope.from, piece, now));
      break;
    case peers::Kind::question:
      if (!peers::decode(envelope.body, codec_, question)) return metrics_.count("fleet.unreadable");
      return answer(envelope.from, envelope.from_life, question);
    case peers::Kind::reply: {
      if (!peers::decode(envelope.body, codec_, reply)) return metrics_.count("fleet.unreadable");
      const auto it = asked_.find(reply.number);
      if (it == asked_.end() || it->second->open.erase(envelope.from) == 0) return;
      it->second->yes |= reply.yes;
      it->second->answers += reply.yes;
      it->second->busy |= reply.busy;
      std::move(reply.items.begin(), reply.items.end(), std::back_inserter(it->second->items));
      if (it->second->waiting) it->second->waiting->wake();
      return;
    }
    default:
      return metrics_.count("fleet.unknown_kind");  // of a later format
  }
  if (static_cast<peers::Kind>(envelope.kind) == peers::Kind::piece && !piece.items.empty()) advise();
  look();
}

void Fleet::link_changed(const std::string& peer, std::uint64_t life, bool up) {
  note("link", {{"peer", peer}, {"up", up}, {"incarnation", static_cast<std::int64_t>(life)}});
}

void Fleet::outlived(std::uint64_t life) {
  member_->outlived(life, Clock::now());
  look();
}

// Whatever came in may have changed what this coordinator has to keep to.
void Fleet::look() {
  for (const membership::Changed& changed : member_->changes()) {
    metrics_.count(std::string("fleet.members_") + name_of(changed.state));
    event("fleet-" + changed.name, "member",
          changed.name + " is " + name_of(changed.state) + ", incarnation " +
              std::to_string(changed.life.incarnation),
          {{"peer", changed.name},
           {"state", std::string(name_of(changed.state))},
           {"incarnation", static_cast<std::int64_t>(changed.life.incarnation)}});
  }
  if (const std::uint64_t mark = member_->copy().mark();
      mark != looked_at_ || rewritten_ != member_->rewritten()) {
    looked_at_ = mark;
    if (auto out = member_->out(); out != held_out_) {
      const std::string changes = changes_to(out, held_out_);
      held_out_ = std::move(out);
      coordinator_.hold_out(held_out_);
      metrics_.count("fleet.bans_changed");
      event("fleet-hand", "hand", "out by hand over the fleet: " + std::to_string(held_out_.size()),
            {{"out", static_cast<std::int64_t>(held_out_.size())}, {"changed", changes}});
    }
  }
  if (std::exchange(ready_, member_->ready(Clock::now())) != ready_)
    event("fleet-state", "ready",
          ready_ ? "has what the fleet holds: ready for its promises"
                 : "takes what the fleet holds: not ready for its promises",
          {{"ready", ready_}, {"lag_ms", static_cast<std::int64_t>(member_->lag_ms(Clock::now()))}});
  if (rewritten_ != member_->rewritten()) {
    rewritten_ = member_->rewritten();
    anew_ = true;
    kept_ = 0;
    metrics_.count("fleet.forgotten");
    event("fleet-state", "forgot", "was away while the others forgot: takes the whole anew", {});
  }
  if (const std::uint64_t to = member_->displaced_to(); to != 0 && !twin_) {
    if (to == Member::kTwin) {
      twin_ = true;
      links_->stop();
      metrics_.count("fleet.twins");
      event("fleet-twin", "twin",
            "another process runs as " + file_.name + " and came later: this one is out", {});
    } else {
      reincarnate(to);
    }
  }
  keep();
}

void Fleet::reincarnate(std::uint64_t incarnation) {
  event("fleet-twin", "reincarnated",
        "the fleet knows a later process of ours: goes on as incarnation " + std::to_string(incarnation),
        {{"incarnation", static_cast<std::int64_t>(incarnation)}});
  member_ = make_member(incarnation, member_->kept());
  links_->become(incarnation);
  anew_ = true;  // marks are counted anew
  kept_ = kept_shared_ = rewritten_ = 0;
  deliver(member_->start(Clock::now()));
  take_teams(teams_);
}

void Fleet::leave() {
  if (!twin_) deliver(member_->leave(Clock::now()));
}

// ---- the copy on disk ----
void Fleet::keep() {
  if (!store_) return;
  for (replica::Key& key : member_->collected()) gone_.push_back(std::move(key));
  if (store_->busy() || Clock::now() < disk_again_) return;
  const replica::Copy& copy = member_->copy();
  const bool shared = member_->shared_mark() > kept_shared_;
  if (copy.mark() <= kept_ && gone_.empty() && !anew_ && !rewriting_ && !shared &&
      member_->rounds() == kept_rounds_)
    return;
  Batch batch;
  // Guards against a power cut in the middle of a copy written anew, and against a loop that stands still
  // while all of it is encoded: it goes in pieces that are one transaction, up to where it stands now.
  if (std::exchange(anew_, false)) {
    batch.anew = rewriting_ = true;
    handed_ = 0;
    goal_ = copy.mark();
  }
  const std::uint64_t from = rewriting_ ? handed_ : kept_;
  batch.shared = member_->shared_mark();
  batch.incarnation = member_->incarnation();
  batch.upto = from;
  if (copy.mark() > from)
    for (const replica::Item& item : copy.since(from, kBatchBytes, batch.upto)) {
      const std::uint64_t changed = copy.changed(item.key);
      batch.rows.push_back({item.key, replica::rank(item.value), changed > batch.shared ? changed : 0,
                            replica::encode(item.value)});
    }
  batch.more = rewriting_ && batch.upto < goal_;
  if (!batch.more) {
    batch.gone = gone_;
    batch.rounds = member_->rounds();
  }
  metrics_.count("fleet.disk_batches");
  metrics_.count("fleet.disk_rows", batch.rows.size());
  writing_ = {batch.more, batch.shared, batch.rounds, batch.gone.size()};
  store_->write(std::move(batch));
}

void Fleet::kept(const Written& written) {
  if (written.ok) {
    if (!std::exchange(disk_well_, true))
      event("fleet-disk", "disk", "the copy on disk is written again", {{"written", true}});
    if (writing_.more) {
      handed_ = written.upto;
      return keep();
    }
    rewriting_ = false;
    // Guards against a copy that was begun anew while this was on its way.
    if (!anew_) kept_ = written.upto;
    kept_shared_ = std::max(kept_shared_, writing_.shared);
    kept_rounds_ = writing_.rounds;
    gone_.erase(gone_.begin(),
                gone_.begin() + static_cast<std::ptrdiff_t>(std::min(writing_.gone, gone_.size())));
  } else {
    disk_well_ = false;
    anew_ |= std::exchange(rewriting_, false);
    disk_problem_ = written.problem;
    disk_again_ = Clock::now() + kDiskPause;
    metrics_.count("fleet.disk_failures");
    event("fleet-disk", "disk", "the copy on disk is not written: " + written.problem,
          {{"written", false}, {"problem", written.problem}, {"damaged", written.damaged}});
    if (written.damaged) {
      anew_ = true;
      kept_ = 0;
      metrics_.count("fleet.copies_damaged");
    }
  }
  keep();
}

// ---- questions to the peers ----
void Fleet::answer(const std::string& from, std::uint64_t life, const peers::Question& question) {
  peers::Reply reply;
  reply.number = question.number;
  if (question.what == peers::Question::What::listed) {
    reply.yes = coordinator_.listed(question.name);
  } else if (question.what == peers::Question::What::release) {
    put(question.items);
    claims_.release(question.name, from, life);
    return look();
  } else {
    const TimePoint now = Clock::now();
    const replica::Claim claim{from, life, question.planned, question.at_ms, question.window_ms};
    const auto word = member_->ready(now)
                          ? claims_.claim(question.name, claim, Milliseconds(question.span_ms), now)
                          : replica::ClaimBook::Word::silent;
    reply.yes = word == replica::ClaimBook::Word::granted;
    reply.busy = word == replica::ClaimBook::Word::busy;
    const replica::Key key = operation_key(question.name);
    if (const replica::Value* value = member_->copy().find(key)) reply.items.push_back({key, *value});
  }
  links_->send(from, peers::Kind::reply, peers::encode(reply));
}

Task<Fleet::Asked> Fleet::ask(peers::Question question, TimePoint deadline, std::size_t enough) {
  question.number = ++questions_;
  Asked asked;
  Parker parker(scheduler_);
  asked.waiting = &parker;
  for (const std::string& peer : member_->alive())
    if (links_->up(peer) && links_->send(peer, peers::Kind::question, peers::encode(question)))
      asked.open.insert(peer);
  asked_[question.number] = &asked;
  while (!asked.open.empty() && asked.answers < enough && !asked.busy)
    if (co_await parker.park(deadline) == WakeReason::timed_out) break;
  asked_.erase(question.number);
  asked.waiting = nullptr;
  co_return asked;
}

// ---- keyed operations ----
void Fleet::put(const std::vector<replica::Item>& items) {
  for (const replica::Item& item : items) member_->copy().put(item.key, item.value);
}

void Fleet::release(const std::string& name, bool sent) {
  claims_.release(name, file_.name, member_->incarnation());
  peers::Question question;
  question.what = peers::Question::What::release;
  question.name = name;
  const replica::Key key = operation_key(name);
  if (const replica::Value* value = member_->copy().find(key); value && sent)
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
  grant.retry_after = file_.ask;
  using Word = replica::ClaimBook::Word;
  const std::size_t majority = (file_.peers.size() + 1) / 2 + 1;
  const TimePoint last = std::min(now + file_.ask, until);
  bool held = false, busy = false, here = false;
  // Of several that claim a key at once none may have most: each gives its claim back and comes again after a
  // while of its own, longer each time.
  for (Duration pause = kFirstPause;; pause *= 2) {
    here = keys_here_.insert(name).second;  // one at a time here, too
    Word own = Word::busy;
    if (here && (twin_ || !member_->ready(Clock::now())))
      own = Word::silent;
    else if (here)
      own = claims_.claim(name, claim, until - now + kClaimMargin, Clock::now());
    held = own == Word::granted;
    busy = own == Word::busy;
    if (!busy) {
      peers::Question question;
      question.what = peers::Question::What::claim;
      question.name = name;
      question.planned = claim.planned;
      question.span_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
          std::chrono::duration_cast<Milliseconds>(until - now + kClaimMargin).count(), 0, 60'000));
      question.at_ms = claim.at_ms;
      question.window_ms = window_ms;
      const Asked asked = co_await ask(std::move(question), last, majority - held);
      put(asked.items);
      busy = asked.busy;
      held = asked.answers + held >= majority;
    }
    if (held || !busy) break;
    if (own != Word::busy) release(name, false);
    if (here) keys_here_.erase(name);
    here = false;
    if (Clock::now() + pause >= last) break;
    const double share = std::uniform_real_distribution<>(0.5, 1)(random_);
    co_await scheduler_.sleep_until(Clock::now() + to_duration(FractionalMs(pause) * share));
  }
  metrics_.count(busy && !held ? "fleet.keys_busy" : held ? "fleet.keys_claimed" : "fleet.keys_unheard");
  const auto risk = file_.risk.find(class_name);
  const bool risks = !busy && !held && risk != file_.risk.end() && risk->second;
  if (risks) metrics_.count("fleet.keys_risked");
  if (!held && !risks) {
    // Guards against a claim of one that was refused, which would hold the key until its time is up.
    if (here) release(name, false);
    if (here) keys_here_.erase(name);
    grant.why = busy ? "another coordinator has the key" : "too few coordinators answer for the key";
    co_return grant;
  }
  const replica::Value* value = member_->copy().find(operation_key(name));
  const auto* operation = value ? std::get_if<replica::Operation>(value) : nullptr;
  const replica::Allowance left = replica::allowance(operation, static_cast<std::uint32_t>(cap), window_ms);
  if (left.until_ms > 0) grant.send_until = now + Milliseconds(left.until_ms - unix_ms());
  if (left.attempts == 0 || grant.send_until <= Clock::now()) {
    metrics_.count("fleet.keys_spent");
    release(name, false);
    keys_here_.erase(name);
    grant.why = "the key's attempts are used up";
    co_return grant;
  }
  // Nothing is sent once the claim may be over elsewhere.
  grant.send_until = std::min(grant.send_until, now + replica::ClaimBounds{}.longest - kClaimMargin);
  grant.go = true;
  grant.attempts = static_cast<int>(left.attempts);
  co_return grant;
}

void Fleet::end(const std::string& class_name, const std::string& key, Duration window, int made,
                TimePoint first, bool done) {
  const std::string name = replica::operation_name(class_name, key);
  const replica::Value* value = member_->copy().find(operation_key(name));
  const auto* before = value ? std::get_if<replica::Operation>(value) : nullptr;
  if (made > 0) {
    const auto ago = std::chrono::duration_cast<Milliseconds>(Clock::now() - first).count();
    member_->copy().put(
        operation_key(name),
        replica::done_by(file_.name, static_cast<std::uint32_t>(made), unix_ms() - ago,
                         std::chrono::duration_cast<Milliseconds>(window).count(), done, before));
  }
  release(name, made > 0);
  keys_here_.erase(name);
  look();
}

// Guards against a coordinator that was cut off, or died, with a claim: what it may have sent counts as sent.
void Fleet::overdue() {
  for (const replica::ClaimBook::Overdue& over : claims_.overdue(Clock::now())) {
    metrics_.count("fleet.claims_overdue");
    const replica::Key key = operation_key(over.name);
    const replica::Value* value = member_->copy().find(key);
    const auto* before = value ? std::get_if<replica::Operation>(value) : nullptr;
    member_->copy().put(key, replica::done_by(over.claim.member, over.claim.planned, over.claim.at_ms,
                                              over.claim.window_ms, false, before));
  }
}

// ---- cleared cursors ----
bool Fleet::cleared(std::uint64_t number) {
  return member_->copy().find({replica::kind_of(replica::Cleared{}), std::to_string(number)}) != nullptr;
}

void Fleet::clear(std::uint64_t number, search::WallClock::time_point until) {
  replica::Cleared cleared;
  cleared.until_ms = std::chrono::duration_cast<Milliseconds>(until.time_since_epoch()).count();
  member_->copy().put({replica::kind_of(cleared), std::to_string(number)}, cleared);
}

// ---- what is believed of record nodes ----
void Fleet::found(const std::string& uid, std::int64_t boot_ms, bool hangs) {
  if (!file_.beliefs || twin_) return;
  const replica::Key key{replica::kind_of(replica::Belief{}), uid};
  const replica::Value* value = member_->copy().find(key);
  const auto* known = value ? std::get_if<replica::Belief>(value) : nullptr;
  // Only what takes a suspicion back is worth telling of a sound one.
  if (!hangs && (!known || known->state == replica::Belief::State::sound)) return;
  replica::Belief belief;
  belief.boot_ms = boot_ms;
  // Guards against a clock that runs behind the last speaker's: this is the later word.
  belief.at_ms = std::max(unix_ms(), known ? known->at_ms + 1 : 0);
  belief.state = hangs ? replica::Belief::State::suspect : replica::Belief::State::sound;
  belief.by = file_.name;
  metrics_.count(hangs ? "fleet.beliefs_told" : "fleet.beliefs_taken_back");
  member_->copy().put(key, belief);
  look();
}

// Advice: for as long as it is fresh, and by the time that it has been here.
void Fleet::advise() {
  if (!file_.beliefs) return;
  const TimePoint now = Clock::now();
  member_->copy().each_of(
      replica::kind_of(replica::Belief{}), [&](const replica::Key& key, const replica::Value& value) {
        const auto* belief = std::get_if<replica::Belief>(&value);
        if (!belief || belief->by == file_.name) return;
        Heard& heard = beliefs_[key.name];
        if (heard.at_ms != belief->at_ms) {
          heard = {belief->at_ms, now};
          metrics_.count("fleet.beliefs_heard");
        }
        if (belief->state != replica::Belief::State::suspect) return;
        if (belief->weight(belief->boot_ms,
                           belief->at_ms + std::chrono::duration_cast<Milliseconds>(now - heard.at).count(),
                           kHalfLife) >= kHeeded)
          coordinator_.advise(key.name, belief->boot_ms);
      });
}

// ---- the teams' rates ----
void Fleet::take_teams(const std::vector<TeamContract>& teams) {
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
  retry_after = budget->second.retry_after(kMostRetry);
  metrics_.count("fleet.rate_refused");
  return false;
}

// What was admitted here is told, and what the others have told is taken up.
void Fleet::accounts() {
  const TimePoint now = Clock::now();
  if (budgets_.empty() || now - accounts_at_ < replica::BudgetBounds{}.look) return;
  accounts_at_ = now;
  for (auto& [team, budget] : budgets_) {
    const replica::Key key{replica::kind_of(replica::Account{}), team};
    if (replica::Account own = budget.account(); own.sum().attempted > 0) member_->copy().put(key, own);
    const replica::Value* value = member_->copy().find(key);
    if (const auto* account = value ? std::get_if<replica::Account>(value) : nullptr)
      budget.learn(*account, now);
  }
}

// ---- operators' calls ----
Task<std::string> Fleet::call(std::string line) {
  const TimePoint deadline = Clock::now() + kCallTime;
  std::string problem;
  const auto call = parse_call(line, problem);
  if (!call) {
    metrics_.count("fleet.calls_bad");
    metrics_.log("fleet-call", "a call that cannot be read: " + problem);
    co_return operations::failure(problem);
  }
  metrics_.count("fleet.calls");
  if (twin_)
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
      co_return operations::success(state_json(*member_, links_->traffic(), metrics_, late(), now));
    case Call::Kind::offline:
    case Call::Kind::online:
      break;
  }
  // A node that any member's list names may be named at any member.
  bool listed = coordinator_.listed(call->node) || held_out_.contains(call->node);
  if (!listed) {
    peers::Question question;
    question.what = peers::Question::What::listed;
    question.name = call->node;
    const Asked asked = co_await ask(std::move(question), now + kCallTime / 2, 1);
    listed = asked.yes;
  }
  const bool out = call->kind == Call::Kind::offline;
  // Guards against an answer about bans that are still to be heard of.
  if (!out && !member_->ready(Clock::now()) && !held_out_.contains(call->node))
    co_return operations::failure("not ready: takes what the fleet holds");
  Word word = out ? member_->offline(call->node, listed) : member_->online(call->node, listed);
  note("call", {{"call", std::string(out ? "OFFLINE" : "ONLINE")},
                {"node", call->node},
                {"success", word.success},
                {"text", word.text}});
  co_return co_await said(std::move(word), deadline);
}

// A word counts as said once it is kept where the file asks for it; without a disk that takes it, here.
Task<std::string> Fleet::said(Word word, TimePoint deadline) {
  look();
  if (!word.success) co_return operations::failure(word.text);
  if (word.changed && store_) {
    const std::uint64_t mark = member_->copy().mark();
    const Member* const of = member_.get();
    while (member_.get() == of && kept_ < mark && disk_well_ && Clock::now() < deadline)
      co_await scheduler_.sleep_until(Clock::now() + Milliseconds(2));
    if (kept_ < mark) {
      metrics_.count("fleet.calls_not_on_disk");
      word.text += disk_well_ ? " (not on the disk yet)" : " (not on the disk: " + disk_problem_ + ")";
    }
  }
  co_return operations::success(word.text);
}

}  // namespace kelpdeal::fleet
