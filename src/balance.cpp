// SPDX-License-Identifier: MIT
// The policy of cottonbay: every decision, table and threshold. Its interface: include/cottonbay/balancer.h.
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <stdexcept>
#include <unordered_map>

#include "cottonbay/balancer.h"

namespace cottonbay {
namespace {

// Constants. Each is a share of something stated at start or learnt since.
constexpr double kLagShare = 1.0 / 20;      // design: the answer lag starts at this share of the class aim
constexpr double kLagSigma = 1.0;           // design: with this spread
constexpr double kLagPrior = 4;             // the starting lag weighs as much as so many observations
constexpr int kScanSteps = 200;             // eps = D / this: 0.5% of the wait, well under the lag's start
constexpr int kTableAtStart = 64;           // order statistics tabled at start; larger queries when first met
constexpr double kSmoothing = 0.3;          // weight of a new latency at its server (about the last 6)
constexpr double kFleetSmoothing = 0.08;    // weight of a new latency in the fleet's mean and deviation
constexpr double kQuerySmoothing = 0.3;     // ... and at most so much for all parts of one query together
constexpr int kFleetKnown = 8;              // latencies before the fleet's mean is trusted
constexpr double kPatienceDeviations = 12;  // a try is given up so many mean deviations over the mean
constexpr double kFirstPatience = 1.0 / 2;  // share of the aim, until the fleet is known
constexpr double kStretch = 2;              // of the mean latency: a sound holder so slow asks for help
constexpr double kKnown = 3;                // answers before a server's own latency is evidence against it
constexpr double kStale = 30;               // of a latency: it is no evidence any more after so long
constexpr double kHopeless = 1.0 / 2;       // of the time to the aim: holders slower than it are spared
constexpr double kLostDeviations = 4;       // later than the mean by so many: lost, if the query ends first
constexpr double kReaped = 0.3;             // share of first parts on idle connections lost, of one query
constexpr double kReapIdle = 1;             // of the least aim: a connection idle for less is not dropped
constexpr double kReapSpan = 20;            // of the least aim: idle connections are mistrusted for so long
constexpr double kTrialShare = 1.0 / 2;     // of the time to the aim: the longest wait for a suspect's trial
constexpr double kErrorStep = 0.3;          // weight of a new error or answer in a server's share of errors
constexpr double kErrorsBad = 0.5;          // share of errors from which on a server is a suspect
constexpr double kErrorsMost = 0.95;        // share of errors that a server is charged at the most
constexpr double kErrorDebt = 4;            // answers in a row that one error costs a server
constexpr double kMostDebt = 12;            // ... and the most it can owe, so that it can come back
constexpr double kFirstBackoff = 1.0 / 4;   // of the least aim: first pause before a suspect is tried again
constexpr double kMostBackoff = 2.0;        // of the least aim: longest such pause
constexpr double kFar = 1.3;         // score of a holder in another zone: noise hides so much of a latency
constexpr int kSideBySide = 2;       // parts of one call that count as one: they are served side by side
constexpr double kColdSafety = 0.8;  // share of the allowed work that all mixers use on a cold server
constexpr double kColdAhead = 0.5;   // parts that a mixer may send there ahead of its credit, at the least
constexpr double kRefuseLow = 0.5;   // of the room to the aim, by the slowest part: least dense class refused
constexpr double kRefuseHigh = 0.94;      // ... and the densest
constexpr double kCalmSpan = 200;         // of the least aim: the calmest mean seen grows e-fold in so long
constexpr double kShareBurst = 40;        // parts a tenant may ask for at once within its share
constexpr double kShareSlack = 1.5;       // of its share: usual traffic varies, and quotas leave room
constexpr double kQuotaSpan = 10;         // of the least aim: over which a tenant's rate is held to its quota
constexpr double kOverPlace = -0.25;      // lowest place of a query over its tenant's share
constexpr double kPeakShare = 0.5;        // of the best rate of answers seen: what idle servers can do again
constexpr double kPeakSpan = 10;          // of the least aim: how long that best rate is remembered
constexpr double kSweepShare = 1.0 / 40;  // of the least aim: how often what waits is looked at
constexpr double kRenewShare = 1.0 / 20;  // of ask_within: first wait before a failed list call is repeated
constexpr double kWeightSlack = 1e-4;     // weights add up to 1 except for rounding
constexpr double kNever = std::numeric_limits<double>::infinity();

double normal_cdf(double z) { return 0.5 * std::erfc(-z / std::sqrt(2.0)); }

std::uint64_t mix(std::uint64_t x) {  // splitmix64: ties and jitter, from the instance's own seed
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

struct LogNormal {
  double mu = 0, sigma = 0;
  double cdf(double t) const { return t <= 0 ? 0 : normal_cdf((std::log(t) - mu) / sigma); }
};

// ln of the expected order statistics of k standard log-normal draws: e^z over the i-th smallest's density.
std::vector<double> log_order_statistics(int k) {
  constexpr double low = -9, high = 11, step = 1.0 / 16;
  std::vector<double> logs(k, 0.0);
  for (double z = low; z <= high; z += step) {
    const double below = std::log(normal_cdf(z)), above = std::log(std::max(normal_cdf(-z), 1e-300));
    const double base = z - z * z / 2 + std::lgamma(k + 1.0);
    for (int i = 1; i <= k; ++i)
      logs[i - 1] +=
          std::exp(base + (i - 1) * below + (k - i) * above - std::lgamma(i) - std::lgamma(k - i + 1.0));
  }
  for (double& o : logs) o = std::log(o * step / std::sqrt(2 * 3.14159265358979323846));
  return logs;
}

// Design step 2. No usable spread (fewer than two arrivals, or all at one time) gives sigma 0.
LogNormal fit(const std::vector<double>& arrivals, const std::vector<double>& log_o) {
  LogNormal sum;
  const std::size_t n = std::min(arrivals.size(), log_o.size());
  for (std::size_t i = 0; i + 1 < n; ++i) {
    const double sigma = std::log(arrivals[i + 1] / arrivals[i]) / (log_o[i + 1] - log_o[i]);
    sum.sigma += sigma;
    sum.mu += std::log(arrivals[i]) - sigma * log_o[i];
  }
  if (n < 2) return {};
  const double pairs = static_cast<double>(n - 1);
  return {sum.mu / pairs, sum.sigma / pairs};
}

// Design step 3: the latest wait of most expected answered weight.
double best_wait(const LogNormal& parts, int k, double horizon, const LogNormal& lag) {
  const double eps = horizon / kScanSteps;
  double quality = 0, best = 0, wait = 0;
  double came = parts.cdf(0), in_time = lag.cdf(horizon);
  for (int i = 0; i < kScanSteps; ++i) {
    const double next_came = parts.cdf((i + 1) * eps), next_in_time = lag.cdf(horizon - (i + 1) * eps);
    quality += (next_came - came) * next_in_time - (came - std::pow(came, k)) * (in_time - next_in_time);
    if (quality >= best) {
      best = quality;
      wait = (i + 1) * eps;
    }
    came = next_came;
    in_time = next_in_time;
  }
  return wait;
}

// The upper stage: how long after it was due our own action takes effect, seen at each outcome.
class AnswerLag {
 public:
  void observe(double lag) {
    const double x = std::log(lag);
    n_ += 1;
    sum_ += x;
    squares_ += x * x;
  }
  LogNormal curve(double aim) const {
    const double mu0 = std::log(aim * kLagShare), n = kLagPrior + n_;
    const double mu = (kLagPrior * mu0 + sum_) / n;
    const double square = (kLagPrior * (kLagSigma * kLagSigma + mu0 * mu0) + squares_) / n;
    return {mu, std::sqrt(std::max(square - mu * mu, 1e-4))};
  }

 private:
  double n_ = 0, sum_ = 0, squares_ = 0;
};

// Events per ms over about the last `span`; right from the first ones on.
class Rate {
 public:
  void count(double now, double span) {
    if (events_ <= 0) first_ = now;
    span_ = span;
    events_ = decayed(now) + 1;
    at_ = now;
  }
  double per_ms(double now) const {
    return events_ <= 0 ? 0 : decayed(now) / (span_ * (1 - std::exp(-(now - first_ + span_ / 4) / span_)));
  }

 private:
  double decayed(double now) const { return events_ * std::exp(-(now - at_) / span_); }
  double events_ = 0, at_ = 0, first_ = 0, span_ = 1;
};

struct Attempt {
  ServerId server = 0;
  double sent = 0;
  bool out = true, may_have_run = true;
};

struct Part {
  RequestId id = 0;
  int shard = 0;
  double weight = 0;
  bool in = false, dead = false, parked = true;
  std::vector<Attempt> attempts;
  bool out() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
};

struct Query {
  RequestId id = 0;
  std::uint64_t query_number = 0;
  const ClassSettings* cls = nullptr;
  int tenant = -1;
  double arrived = 0, expires = 0;
  double end_at = 0;   // the last moment at which we end it ourselves
  double horizon = 0;  // D
  double timer = 0;    // Cedar's timer, on the clock
  double step_at = 0;  // when its second step began
  bool short_of_floor = false, late = false, second = false, trying = false, first_whole = false,
       awaiting = false;
  std::vector<Part> parts;
  std::vector<double> arrivals;
  double aim_at() const { return arrived + horizon; }
  double weight_in() const {
    double in = 0;
    for (const Part& p : parts) in += p.in ? p.weight : 0;
    return in;
  }
};

struct OutAttempt {
  double sent = 0;
  std::uint64_t call = 0;
  double siblings = 1;  // parts of its query
  double idle = -1;     // how long the connection had been idle, if it had
};

struct Server {
  ServerEntry entry;
  bool listed = true;
  double latency = 0;
  double samples = 0;
  bool heard = false;
  double used_at = 0, idle = -1;
  double heard_at = -kNever, closed_until = -kNever, measured_at = 0, gone_since = -kNever;
  std::map<std::pair<RequestId, int>, OutAttempt> out;
  std::map<std::uint64_t, int> calls;  // own calls out, their parts
  std::uint64_t open_call = 0, open_reply = 0;
  int open_parts = 0;
  double debt = 0, backoff = 0, trial_at = 0;  // owed answers; while above 0 it is a suspect
  bool was_down = false, silent = false, erring = false;
  double errors = 0, erred_at = -kNever, broke_at = -kNever, doubted_at = -kNever;
  double cold_since = -kNever, tokens = 0, tokens_at = 0;
  bool usable() const { return listed && entry.state == ServerState::serving; }
  bool suspect() const { return debt > 0; }
};

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& s, std::uint64_t seed) : s_(s), seed_(seed) {
    for (const ClassSettings& c : s_.classes) {
      classes_[c.name] = &c;
      least_aim_ = std::min(least_aim_, c.slo_ms);
    }
    for (std::size_t i = 0; i < s_.tenants.size(); ++i) tenants_[s_.tenants[i].name] = static_cast<int>(i);
    for (int k = 2; k <= std::min(s_.shards, kTableAtStart); ++k) order_[k] = log_order_statistics(k);
    by_cell_.resize(s_.cells);
    asked_.assign(s_.tenants.size(), {kShareBurst, Rate()});
  }

  void step(double now, const std::vector<Event>& events, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    ++reply_;
    if (!started_) start();
    for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
    for (const RequestId id : fresh_)
      if (Query* q = find(id)) begin(*q);
    fresh_.clear();
    serve_parked();
  }

 private:
  // ---- events ----
  void start() {
    started_ = true;
    if (s_.list_on_request) subscribe();
    timer(sweep_every(), "sweep");
  }

  void on(const ServerListReceived& e) {
    asked_at_ = kNever;
    if (e.kind == ListKind::failed) {
      // Discovery is one service for all: a failed call is repeated after growing, jittered waits.
      renew_wait_ = std::min(std::max(2 * renew_wait_, kRenewShare * s_.list_request_interval_ms),
                             s_.list_request_interval_ms / 4);
      renew_at_ = now_ + renew_wait_ * (0.75 + 0.5 * uniform());
      return;
    }
    if (e.kind != ListKind::saved) renew_wait_ = 0;
    if (e.kind != ListKind::changes)
      for (auto& [id, server] : servers_) server.listed = false;
    for (const ServerEntry& entry : e.servers) list(entry);
    for (auto& cell : by_cell_) cell.clear();
    usable_ = 0;
    for (auto& [id, server] : servers_) {
      usable_ += server.usable();
      if (server.usable() && server.entry.cell >= 0 && server.entry.cell < s_.cells)
        by_cell_[server.entry.cell].push_back(&server);
    }
  }

  void on(const QueryArrived& e) {
    const auto cls = classes_.find(e.class_name);
    if (cls == classes_.end()) throw std::runtime_error("query of a class not in the settings");
    Query q;
    q.id = e.id, q.query_number = e.query_number;
    q.cls = cls->second;
    const auto tenant = tenants_.find(e.tenant);
    if (tenant != tenants_.end()) q.tenant = tenant->second;
    q.arrived = now_, q.expires = e.expires_ms;
    // Two ticks before the client leaves: the timer may fire one tick late, and a tick may be late itself.
    q.end_at = std::max(now_, e.expires_ms - 2 * s_.tick_ms);
    // A client's later try has less of its wait left: what is gone of the deadline is gone of the aim.
    const double left = std::max(e.expires_ms - now_, 0.0);
    double& whole_try = longest_try_[q.cls];
    whole_try = std::max(whole_try, left);
    const bool repeat = s_.retries_marked ? e.is_retry : left < whole_try - 2 * s_.tick_ms;
    const double used = repeat ? std::max(q.cls->deadline_ms - left, 0.0) : 0;
    q.horizon = std::min(std::max(q.cls->slo_ms - used, 0.0), left);
    q.late = q.horizon <= 0;
    q.short_of_floor = q.late;
    q.timer = q.late ? q.end_at : std::min(q.aim_at(), q.end_at);
    by_number_[e.query_number] = e.id;
    queries_[e.id] = std::move(q);
    fresh_.push_back(e.id);
    ++open_;
  }

  void on(const PartArrived& e) {
    const auto number = by_number_.find(e.query_number);
    Query* q = number == by_number_.end() ? nullptr : find(number->second);
    if (!q) return;
    Part p;
    p.id = e.id;
    p.shard = e.shard;
    p.weight = e.weight;
    part_of_[e.id] = {q->id, q->parts.size()};
    q->parts.push_back(std::move(p));
    ++open_;
    if (s_.retry_budget_limited) taken_.push_back(now_);
    if (q->awaiting) {  // the parts of a second step
      q->awaiting = false;
      fresh_.push_back(q->id);
    }
  }

  void on(const AttemptEnded& e) {
    Server* server = find_server(e.server);
    if (server) learn(*server, e);
    const auto [q, p] = find_part(e.part);
    if (!p || e.attempt < 0 || e.attempt >= static_cast<int>(p->attempts.size())) return;
    Attempt& a = p->attempts[e.attempt];
    if (!a.out) return;
    a.out = false;
    if (e.outcome == Outcome::full || e.outcome == Outcome::connect_failed || e.outcome == Outcome::not_sent)
      a.may_have_run = false;
    if (e.outcome == Outcome::ok) {
      if (p->in || p->dead) return;
      p->in = true, p->parked = false;
      call_off(*p);
      lag_.observe(std::max(now_ - (a.sent + e.elapsed_ms), 0.0) + s_.tick_ms);
      q->arrivals.push_back(std::max(now_ - q->arrived, s_.tick_ms / 2));
      if (!progress(*q)) refit(*q);
      return;
    }
    if (p->in || p->out()) return;
    p->parked = may_retry(*q, *p);
    p->dead = !p->parked;
    progress(*q);
  }

  void on(const QueryWithdrawn& e) {
    if (Query* q = find(e.id)) forget(*q);
  }

  void on(const TimerFired& e) {
    if (e.token == "sweep") {
      if (s_.list_on_request && (now_ >= renew_at_ || now_ - asked_at_ > s_.list_request_interval_ms))
        subscribe();
      copy_late_parts();
      timer(sweep_every(), "sweep");
    } else if (Query* q = find(std::strtoull(e.token.c_str(), nullptr, 10))) {
      if (now_ >= q->timer - kWeightSlack) expire(*q);
    }
  }

  void on(const ProbeEnded& e) {  // danger: each mixer pays in parts for a hang that others know of already
    Server* server = e.outcome == Outcome::timeout ? find_server(e.server) : nullptr;
    if (server && !server->suspect() && server->heard_at < now_ - fleet_mean_ - kLostDeviations * fleet_dev_)
      doubt(*server, now_, std::max(server->debt, 1.0), "others say it hangs", true);
  }
  void on(const auto&) {}  // streams and messages are not used

  // ---- the life of a query: begin, refit, expire, progress, end ----
  void begin(Query& q) {
    if (q.parts.empty() || q.end_at <= now_) return end(q);
    if (const char* why = q.second ? nullptr : refuse_now(q))
      return send_end(q, Refuse{q.id, s_.may_advise_retry ? s_.max_retry_after_ms : 0, why});
    for (Part& p : q.parts)
      if (p.parked && p.attempts.empty()) try_send(q, p);
    timer(q.timer - now_, std::to_string(q.id));
  }

  void refit(Query& q) {
    const int k = static_cast<int>(q.parts.size());
    if (q.late || q.arrivals.size() < 2 || static_cast<int>(q.arrivals.size()) >= k) return;
    auto& log_o = order_[k];
    if (log_o.empty()) log_o = log_order_statistics(k);
    const LogNormal parts = fit(q.arrivals, log_o);
    // Danger: an answer that comes at D has no time left for its second step, and is late whole.
    const AnswerLag& upper = q.cls->second_step_parts > 0 && !q.second ? step_lag_ : lag_;
    double wait = q.horizon;  // no spread, no fit: the timer stays at D
    if (parts.sigma > 0) wait = best_wait(parts, k, q.horizon, upper.curve(q.cls->slo_ms));
    if (q.short_of_floor) wait = std::max(wait, q.horizon);
    set_timer(q, std::min(q.arrived + wait, q.end_at));
  }

  // Cedar's timer has fired. Exception: where the weight in hand allows no answer, it cannot end the
  // query with one; it holds to D, and beyond it to the client's leaving if a late answer earns anything.
  void expire(Query& q) {
    if (q.weight_in() + kWeightSlack >= q.cls->min_fraction) return answer(q);
    if (now_ >= q.end_at - kWeightSlack) return end(q);
    q.short_of_floor = true;
    if (now_ < q.aim_at() - kWeightSlack) return set_timer(q, std::min(q.aim_at(), q.end_at));
    q.late = true;
    if (q.cls->late_value_fraction <= 0 || over(kRefuseLow, q.cls->slo_ms, q.parts.size())) return end(q);
    set_timer(q, q.end_at);
  }

  // True if the query is over.
  bool progress(Query& q) {
    double reachable = 0;
    bool waiting = false, all = true;
    for (const Part& p : q.parts) {
      reachable += p.dead ? 0 : p.weight;
      waiting |= !p.in && !p.dead;
      all &= p.in;
    }
    const double in = q.weight_in();
    const bool floor_met = in + kWeightSlack >= q.cls->min_fraction;
    if (all || (in + kWeightSlack >= q.cls->complete_fraction && !q.second) ||
        (floor_met && (q.late || !waiting))) {
      answer(q);
      return true;
    }
    if (reachable + kWeightSlack < q.cls->min_fraction) {
      end(q);
      return true;
    }
    return false;
  }

  void answer(Query& q) {
    const bool all = std::all_of(q.parts.begin(), q.parts.end(), [](const Part& p) { return p.in; });
    const bool enough = q.weight_in() + kWeightSlack >= q.cls->complete_fraction;
    if (q.cls->second_step_parts > 0 && !q.second) {
      // The first answer of a class with a second step brings its further parts in the next batch.
      emit(Answer{q.id, all || enough});
      drop_parts(q);
      q.second = true;
      q.first_whole = all || enough;
      q.awaiting = true;
      q.step_at = now_;
      q.arrivals.clear();
      return set_timer(q, std::min(q.aim_at(), q.end_at));
    }
    if (q.second) step_lag_.observe(now_ - q.step_at + s_.tick_ms);
    send_end(q, Answer{q.id, q.second ? all && q.first_whole : all || enough});
  }

  // Ends a query without an answer. A refusal promises that a retry is harmless: only where it is.
  void end(Query& q) {
    const bool harmless = q.cls->effect == Effect::idempotent ||
                          std::none_of(q.parts.begin(), q.parts.end(),
                                       [](const Part& p) { return p.out() || p.may_have_run(); });
    // A query given up well before its client leaves is answered at once, with word of when to come back:
    // once what stands in the queues by now is served. Near the end a next try has its time from the client.
    const bool early = s_.may_advise_retry && now_ + patience() < q.end_at;
    if (harmless && !q.second)
      send_end(q, Refuse{q.id, early ? std::min(patience(), s_.max_retry_after_ms) : 0, "given_up"});
    else
      send_end(q, Fail{q.id});
  }

  // The one place where a query ends by our own word.
  void send_end(Query& q, Action final) {
    emit(std::move(final));
    forget(q);
  }

  void forget(Query& q) {
    drop_parts(q);
    by_number_.erase(q.query_number);
    --open_;
    queries_.erase(q.id);
  }

  void drop_parts(Query& q) {
    for (Part& p : q.parts) {
      call_off(p);
      part_of_.erase(p.id);
      --open_;
    }
    q.parts.clear();
  }

  void call_off(Part& p) {
    for (std::size_t i = 0; i < p.attempts.size(); ++i)
      if (s_.may_cancel && std::exchange(p.attempts[i].out, false)) emit(Cancel{p.id, static_cast<int>(i)});
  }

  // ---- attempts ----
  bool may_retry(const Query& q, const Part& p) const {
    if (static_cast<int>(p.attempts.size()) >= s_.max_attempts || q.end_at <= now_) return false;
    if (!p.may_have_run() || q.cls->effect == Effect::idempotent) return true;
    if (q.cls->effect == Effect::at_most_once) return false;
    const auto first =
        std::find_if(p.attempts.begin(), p.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
    return now_ + s_.tick_ms < first->sent + q.cls->dedup_window_ms;
  }

  bool budget_left() {
    if (!s_.retry_budget_limited) return true;
    while (!taken_.empty() && taken_.front() <= now_ - s_.retry_budget_window_ms) taken_.pop_front();
    while (!extras_.empty() && extras_.front() <= now_ - s_.retry_budget_window_ms - s_.tick_ms)
      extras_.pop_front();
    return extras_.size() + 1.0 <=
           s_.retry_budget_min + s_.retry_budget_ratio * static_cast<double>(taken_.size());
  }

  // Sends a part to the best holder there is, or leaves it parked for the next event.
  void try_send(Query& q, Part& p) {
    if (!p.attempts.empty() && (!may_retry(q, p) || !budget_left())) return;
    if (Server* server = pick(q, p)) send(q, p, server);
  }

  // Danger: what is out at a server that hangs or stands still waits for its time-out, and is late by then.
  // Once it is later than usual, and its server has answered nothing since, a copy goes to another holder.
  // The first answer counts; where a whole fleet is slow its servers answer on, and nothing is copied.
  void copy_late_parts() {
    if (!s_.may_hedge || fleet_n_ < kFleetKnown) return;
    const double usual = fleet_mean_ + kLostDeviations * fleet_dev_;
    for (auto& [id, q] : queries_)
      for (Part& p : q.parts) {
        if (p.in || p.dead || p.attempts.empty() || q.late || q.cls->effect == Effect::at_most_once) continue;
        // The newest one out: a copy that failed leaves the late one behind, which needs another.
        const auto out =
            std::find_if(p.attempts.rbegin(), p.attempts.rend(), [](const Attempt& a) { return a.out; });
        if (out == p.attempts.rend()) continue;
        const Attempt& last = *out;
        const Server* silent = find_server(last.server);
        if (now_ - last.sent <= usual || (silent && silent->heard_at >= last.sent)) continue;
        if (!may_retry(q, p) || !budget_left()) continue;
        if (Server* server = pick(q, p, true)) send(q, p, server);
      }
  }

  void send(Query& q, Part& p, Server* server) {
    p.parked = false;
    double until = give_up_at(q, p);
    // Danger: a trial at a server that still hangs costs its query, if it leaves no time for another try.
    if (server->suspect() && q.cls->effect == Effect::idempotent && s_.max_attempts > 1 && p.attempts.empty())
      until = std::min(until, now_ + std::max(kTrialShare * (q.aim_at() - now_), kStretch * fleet_mean_));
    if (!p.attempts.empty() && s_.retry_budget_limited) extras_.push_back(now_);
    if (!joins(*server, s_.parts_per_call)) {
      server->open_reply = reply_, server->open_parts = 0;
      server->open_call = ++call_;
      // Else a server that stands still for a moment would make each of its connections look dropped.
      const bool rested = server->out.empty() && now_ - server->used_at >= kReapIdle * least_aim_;
      server->idle = rested ? now_ - server->used_at : -1;
      // Danger: something between drops idle connections unseen, and what is sent on one gets no answer.
      if (server->idle >= reaped_after_ && now_ < reaped_until_) {
        emit(CloseIdle{server->entry.id});
        server->idle = -1;
      }
    }
    ++server->open_parts;
    ++server->calls[server->open_call];
    server->used_at = now_;
    const int attempt = static_cast<int>(p.attempts.size());
    server->out[{p.id, attempt}] = {now_, server->open_call, static_cast<double>(q.parts.size()),
                                    server->idle};
    p.attempts.push_back({server->entry.id, now_, true, true});
    if (cold_share(*server) < 1) server->tokens -= 1;
    emit(Send{p.id, server->entry.id, until});
  }

  double patience() const {
    return fleet_n_ < kFleetKnown ? kFirstPatience * least_aim_
                                  : fleet_mean_ + kPatienceDeviations * fleet_dev_;
  }

  // A try is given up early only where another one still can answer before the aim has passed.
  double give_up_at(const Query& q, const Part& p) const {
    const double last = q.cls->late_value_fraction > 0 ? q.end_at : std::min(q.end_at, q.aim_at());
    if (q.cls->effect == Effect::at_most_once || static_cast<int>(p.attempts.size()) + 1 >= s_.max_attempts)
      return last;
    const double until = now_ + patience();
    return until + fleet_mean_ <= q.aim_at() ? until : last;
  }

  // ---- which replica ----
  // Design: least smoothed latency times own calls out plus one. Exceptions: suspects are left out but
  // for gentle trials, cold servers have a budget, holders that failed this part come last.
  Server* pick(Query& q, const Part& p, bool copy = false) {
    Server* best = nullptr;
    Server* retried = nullptr;
    Server* trial = nullptr;
    double best_score = kNever, retried_score = kNever, trial_at = kNever;
    const bool can_repeat = q.cls->effect == Effect::idempotent && s_.max_attempts > 1;
    for (int j = 0; j < s_.cells_per_shard; ++j) {
      const int cell = (p.shard + j) % s_.cells;
      for (Server* server : by_cell_[cell]) {
        // Danger: a full server says so at once, and a part's few attempts are burnt there in no time.
        if (!may_warm(*server) || server->closed_until > now_) continue;
        const bool there = std::any_of(p.attempts.begin(), p.attempts.end(), [server](const Attempt& a) {
          return a.out && a.server == server->entry.id;
        });
        if (there) continue;
        const bool tried = std::any_of(p.attempts.begin(), p.attempts.end(),
                                       [server](const Attempt& a) { return a.server == server->entry.id; });
        if (server->suspect()) {
          if (server->out.empty() && server->trial_at < trial_at) {
            trial_at = server->trial_at;
            trial = server;
          }
          if (!server->erring || q.cls->effect == Effect::at_most_once || s_.max_attempts < 2) continue;
        }
        const double score = load_score(*server);
        double& least = tried ? retried_score : best_score;
        Server*& kept = tried ? retried : best;
        if (score < least || (score == least && kept && tie(*server) < tie(*kept))) {
          least = score;
          kept = server;
        }
      }
    }
    if (!best) best = retried;
    if (copy) return best;  // beside one that is out elsewhere
    // Danger: with every holder down, a part's few attempts are burnt within milliseconds. It waits,
    // unsent, for a trial to fall due; a server that only errs is alive and may be asked at once.
    if (!best && trial && trial->debt <= 1 && trial_at > now_) return nullptr;
    if (trial &&
        (!best || (can_repeat && trial_at <= now_ && p.attempts.empty() &&
                   (!q.trying || (trial->silent ? waits(*best) : best_score) > kStretch * fleet_mean_)))) {
      q.trying = true;
      return trial;
    }
    return best;
  }

  // Whether a part sent now shares a call that leaves this turn anyway.
  bool joins(const Server& server, int most) const {
    return server.open_reply == reply_ && server.open_parts < std::min(most, s_.parts_per_call);
  }

  std::uint64_t tie(const Server& server) const { return mix(seed_ ^ server.entry.id); }

  double usual_latency() const { return heard_n_ > 0 ? heard_sum_ / heard_n_ : least_aim_; }

  double load_score(const Server& server) const {
    // Danger: each part sent to an idle server in a call of its own costs all of them the work of that call.
    const bool joined = joins(server, kSideBySide);
    const double calls = static_cast<double>(server.calls.size()) + (joined ? -kWeightSlack : 1);
    const double latency = server.heard ? server.latency : usual_latency();
    // Danger: a server that takes work and answers nothing keeps its good figure. The age of its oldest
    // part is the least its latency can be.
    const double far = server.entry.zone == s_.zone || !server.heard ? 1 : kFar;
    return std::max(latency, oldest_age(server)) * calls / cold_share(server) * error_charge(server) * far;
  }

  // Danger: a server that errs in part is lost to its partners, whose queues then grow until all is late. It
  // is charged for the further tries instead, and gets what can be repeated once the others are as slow as
  // that.
  double error_charge(const Server& server) const {
    const double good = 1 - std::min(server.errors, kErrorsMost);
    return 1 / (good * good);
  }

  double oldest_age(const Server& server) const {
    double oldest = now_;
    for (const auto& [key, sent] : server.out) oldest = std::min(oldest, sent.sent);
    return now_ - oldest;
  }

  // ---- server health ----
  void learn(Server& server, const AttemptEnded& e) {
    const auto it = server.out.find({e.part, e.attempt});
    if (it == server.out.end()) return;
    const OutAttempt was = it->second;
    server.out.erase(it);
    if (--server.calls[was.call] == 0) server.calls.erase(was.call);
    server.used_at = now_;
    const bool unheard = server.heard_at < was.sent;
    if (was.idle >= 0) {
      const bool late = e.elapsed_ms > fleet_mean_ + kLostDeviations * fleet_dev_ && unheard;
      const bool lost = late && (e.outcome == Outcome::timeout || e.outcome == Outcome::cancelled);
      if (lost || e.outcome == Outcome::ok)
        lost_idle_ += std::min(kSmoothing, 1 / was.siblings) * (lost - lost_idle_);
      if (lost) reaped_after_ = std::min(reaped_after_, was.idle);
      if (lost && lost_idle_ > kReaped) {
        if (now_ >= reaped_until_) log("idle connections lose what is sent on them");
        reaped_until_ = now_ + kReapSpan * least_aim_;
      }
      if (lost && now_ < reaped_until_) return;  // tells of the connection, not of the server
    }
    switch (e.outcome) {
      case Outcome::ok:
        measure(server, e.elapsed_ms, was.siblings);
        done_rate_.count(now_, least_aim_);
        server.heard_at = now_;
        server.errors -= kErrorStep * server.errors;
        if (server.was_down) {  // danger: it may have come back cold before the list says so
          server.was_down = false;
          if (server.cold_since < now_ - s_.warm_up_ms) chill(server, now_);
        }
        if (server.suspect()) {
          server.debt = server.debt <= 1 ? 0 : server.debt / 2;
          server.trial_at = now_;
          if (!server.suspect()) {
            server.backoff = 0;
            server.errors = kErrorStep;
            log("server " + std::to_string(server.entry.id) + " answers again", server.entry.id);
          }
        }
        break;
      case Outcome::error:  // danger: failing fast looks like low latency, so errors never count as one
        server.heard_at = now_;
        // Danger: a sound server turns a part away now and then, and the parts of one call together. If each
        // such error cost it its place, its partners would get all its work, and both be missed.
        if (now_ > server.erred_at) server.errors += kErrorStep * (1 - server.errors);
        server.erred_at = now_;
        if (server.errors >= kErrorsBad || server.suspect())
          doubt(server, was.sent, std::min(std::max(server.debt, 0.0) + kErrorDebt, kMostDebt), "errors",
                false, true);
        break;
      case Outcome::full:  // danger: without the bound by the aim the patience would feed on itself
        server.heard_at = now_;
        server.closed_until = now_ + kFirstBackoff * least_aim_;
        measure(server, std::max(server.latency, std::min(patience(), least_aim_)), was.siblings);
        break;
      case Outcome::reset: {  // danger: one connection that breaks, or brought what cannot be read, tells
        // little of its server; all that was out on it ends at once. A dead one refuses the next.
        const bool excused = server.broke_at == now_ || server.heard_at > server.broke_at;
        server.broke_at = now_;
        if (excused && !server.suspect()) break;
      }
        [[fallthrough]];
      case Outcome::connect_failed:  // danger: a connection lost is no restart; one that starts refuses on
        if (server.gone_since <= server.heard_at) server.gone_since = now_;
        server.was_down |= now_ - server.gone_since >= kFirstBackoff * least_aim_;
        doubt(server, was.sent, std::max(server.debt, 1.0), "connection lost");
        break;
      case Outcome::timeout:
        measure(server, std::max(server.latency, e.elapsed_ms), was.siblings);
        if (unheard) doubt(server, was.sent, std::max(server.debt, 1.0), "no answer", true);
        break;
      case Outcome::cancelled:  // danger: under overload the slow parts are those that are cancelled, and a
        // mean of the rest looks calm
        measure(server, std::max(server.heard ? server.latency : 0, e.elapsed_ms), was.siblings);
        if (unheard && e.elapsed_ms > fleet_mean_ + kLostDeviations * fleet_dev_)
          doubt(server, was.sent, std::max(server.debt, 1.0), "no answer", true);
        break;
      case Outcome::not_sent:
        break;
    }
  }

  void measure(Server& server, double latency, double siblings) {
    // Danger: smoothed from the aim, one first heard looks several times slower than the others for as long
    // as it takes to ask it a few times more, and is asked the less. What is not known is as the rest.
    if (!server.heard) {
      server.latency = fleet_n_ < kFleetKnown ? least_aim_ : usual_latency();
      server.samples = 0;
      heard_sum_ += server.latency, ++heard_n_;
    }
    server.heard = true;
    server.measured_at = now_;
    server.samples += 1;
    const double step = std::max(kSmoothing, 1 / (server.samples + 1)) * (latency - server.latency);
    server.latency += step;
    heard_sum_ += step;
    if (fleet_n_ == 0) fleet_mean_ = latency, fleet_dev_ = latency / 2;
    fleet_n_ += 1;
    // Danger: the parts of a wide query come back ordered, fastest first. Weighed one by one they make the
    // mean swing within each query, and its least value, the calm one, lies far below what is usual.
    const double weight = std::max(std::min(kFleetSmoothing, kQuerySmoothing / siblings), 1 / fleet_n_);
    fleet_dev_ += weight * (std::abs(latency - fleet_mean_) - fleet_dev_);
    fleet_mean_ += weight * (latency - fleet_mean_);
    if (fleet_n_ >= kFleetKnown) {
      if (calm_ <= 0) calm_ = fleet_mean_;
      calm_ = std::min(calm_ * std::exp((now_ - calm_at_) / (kCalmSpan * least_aim_)), fleet_mean_);
    }
    calm_at_ = now_;
  }

  // Danger: a server that stands still for a moment loses all that was out on it, one by one. What was sent
  // before it became a suspect tells nothing new; else the pause before its trial would grow with each.
  void doubt(Server& server, double sent, double debt, const char* why, bool silent = false,
             bool errors = false) {
    if (server.suspect() && sent <= server.doubted_at) return;
    server.doubted_at = now_;
    const ServerId id = server.entry.id;
    if (!server.suspect()) log("server " + std::to_string(id) + " suspected: " + why, id, silent);
    server.debt = debt;
    server.silent = silent;
    server.erring = errors;
    server.backoff =
        std::min(std::max(2 * server.backoff, kFirstBackoff * least_aim_), kMostBackoff * least_aim_);
    server.trial_at = now_ + server.backoff;
  }

  // ---- warm-up budget ----
  void chill(Server& server, double since) {
    if (server.heard) heard_sum_ -= server.latency, --heard_n_;
    server.cold_since = since;
    server.heard = false;
    server.tokens = uniform() - kColdAhead, server.tokens_at = now_;
  }

  double cold_share(const Server& server) const {
    const double age = now_ - server.cold_since;
    if (s_.warm_up_ms <= 0 || age >= s_.warm_up_ms) return 1;
    return s_.cold_capacity + (1 - s_.cold_capacity) * std::max(age, 0.0) / s_.warm_up_ms;
  }

  // Danger: a cold server is pushed over by all mixers together. Each keeps to its own part: what an average
  // server answers it at best, times the allowed multiple and the least share of capacity it can have by now.
  // So the sum stays allowed whatever their shares of the traffic are; one part gets through per mixer. In a
  // burst each sends what it has saved up; ahead of that goes its share of all's slack, or half a part.
  bool may_warm(Server& server) {
    const double share = cold_share(server), coordinators = std::max(2, s_.coordinators);
    if (share >= 1) return true;
    const double ramp = kColdSafety * s_.overload_factor * share * peak() / std::max(usable_, 1.0);
    const double rate = std::max(ramp, 1 / (s_.overload_window_ms * coordinators));
    const double most = std::max(1.0, rate * s_.overload_window_ms / 2);
    server.tokens = std::min(most, server.tokens + rate * (now_ - server.tokens_at));
    server.tokens_at = now_;
    const double all =
        rate * s_.overload_window_ms * coordinators / kColdSafety;  // N, if others have as much to send
    const double ahead = ((1 - kColdSafety) * all + 2 * std::sqrt(all) + 2) / coordinators;
    return server.tokens >= (joins(server, kSideBySide) ? std::clamp(1 - ahead, 0.0, kColdAhead) : 1);
  }

  // ---- admission ----
  const char* refuse_now(Query& q) {  // why, or null
    double& usual = usual_parts_[q.cls];
    const double k = static_cast<double>(q.parts.size());
    usual = usual <= 0 ? k : usual + kFleetSmoothing * (k - usual);
    const bool over_share = spend_share(q, k);
    if (q.late && q.cls->late_value_fraction <= 0) return "late";
    if (fleet_n_ < kFleetKnown) return nullptr;
    if (hopeless(q)) return "holders";
    double least = kNever, most = 0;
    for (const ClassSettings& c : s_.classes) {
      const auto it = usual_parts_.find(&c);
      if (it == usual_parts_.end()) continue;
      const double other = s_.value_per_part ? c.value : c.value / it->second;
      least = std::min(least, other);
      most = std::max(most, other);
    }
    const double worth = q.cls->value * (over_share ? s_.over_share_value_factor : 1);
    const double density = s_.value_per_part ? worth : worth / usual;
    const double place = most > least && least > 0 ? std::log(density / least) / std::log(most / least)
                         : over_share              ? kOverPlace
                                                   : 1;
    const double room = q.late ? 0 : std::clamp(place, over_share ? kOverPlace : 0.0, 1.0);
    const double limit = kRefuseLow + (kRefuseHigh - kRefuseLow) * room;
    if (!over(limit, q.late ? q.cls->slo_ms : q.horizon, q.parts.size())) return nullptr;
    return over_share ? "share" : "load";
  }

  // Danger: where few sound holders of a shard are left their queue grows until all its answers are late, and
  // every query that needs one of them is served in vain. Parts at such shards are spared, by a draw for the
  // query, as mixers that stop and go on together would make the queue swing. True if too few are left.
  bool hopeless(Query& q) {
    const double draw = std::sqrt(uniform());
    double left = 0;
    for (Part& p : q.parts) {
      double best = kNever;
      for (int j = 0; j < s_.cells_per_shard; ++j)
        for (const Server* server : by_cell_[(p.shard + j) % s_.cells]) best = std::min(best, waits(*server));
      p.dead = kHopeless * q.horizon < draw * std::min(best, q.cls->deadline_ms);
      p.parked = !p.dead;
      left += p.dead ? 0 : p.weight;
    }
    return left + kWeightSlack < q.cls->min_fraction;
  }

  // How long a part would wait there for all that is known. Evidence is left out that is thin, or so old that
  // what stood in the queue is served; else a refusal would never be found out to be wrong.
  double waits(const Server& server) const {
    if (server.suspect() && server.erring) return server.latency * error_charge(server);
    if (server.suspect()) return server.trial_at <= now_ && server.out.empty() ? fleet_mean_ : kNever;
    const bool known = server.samples >= kKnown && now_ - server.measured_at < kStale * server.latency;
    return std::max(known ? server.latency : 0, oldest_age(server));
  }

  // Danger: one tenant floods all. Each part taken fills every tenant's allowance by its share, and the
  // one who asks spends: so it holds whatever part of the traffic this mixer sees. True if overspent.
  bool spend_share(const Query& q, double parts) {
    if (q.tenant < 0) return false;
    for (std::size_t i = 0; i < s_.tenants.size(); ++i)
      asked_[i].first = std::min(asked_[i].first + kShareSlack * s_.tenants[i].share * parts, kShareBurst);
    // Danger: who asks for more of little is no flood. A quota, where stated, has to be passed as well.
    auto& [own, asked] = asked_[q.tenant];
    asked.count(now_, kQuotaSpan * least_aim_);
    if (own < parts && asked.per_ms(now_) * 1000 * s_.coordinators > s_.tenants[q.tenant].quota_per_s)
      return true;
    own = std::max(own - parts, 0.0);
    return false;
  }

  // Whether the slowest of so many parts takes longer than a calm one by a share of the room that the horizon
  // leaves. Danger: a mean tells of one part; of many, some meet a full queue, and all are served in vain.
  bool over(double limit, double horizon, std::size_t parts) {
    double slowest = 0;  // of exponential waits, in means
    for (std::size_t i = 1; i <= parts; ++i) slowest += 1.0 / static_cast<double>(i);
    const double wait = std::min(fleet_mean_, expected_latency()) - calm_;
    return wait * slowest > limit * std::max(horizon - calm_, 0.0);
  }

  // Little's law on what is out now: a mean of past latencies would stay high, and refuse for ever, once
  // all is refused. What suspects hold says nothing of the queues elsewhere and is left out.
  double expected_latency() {
    double out = 0;
    for (const auto& [id, server] : servers_)
      if (!server.suspect()) out += static_cast<double>(server.out.size());
    return out / std::max(done_rate_.per_ms(now_), kPeakShare * peak());
  }

  double peak() {
    peak_ =
        std::max(peak_ * std::exp(-(now_ - peak_at_) / (kPeakSpan * least_aim_)), done_rate_.per_ms(now_));
    peak_at_ = now_;
    return peak_;
  }

  void serve_parked() {
    for (auto& [id, q] : queries_)
      for (Part& p : q.parts)
        if (p.parked && !p.in && !p.dead && !p.out()) try_send(q, p);
  }

  void subscribe() {
    renew_at_ = kNever;
    asked_at_ = now_;
    emit(Subscribe{});
  }

  void list(const ServerEntry& entry) {
    const auto [it, fresh] = servers_.try_emplace(entry.id);
    Server& server = it->second;
    const bool restarted = entry.started_ms > 0 && entry.started_ms > server.entry.started_ms + kWeightSlack;
    server.entry = entry;
    server.listed = entry.state != ServerState::removed;
    if (fresh || restarted) {  // one restarted under its id is a new, cold process
      server.debt = server.backoff = 0;
      server.was_down = false;
      chill(server, entry.started_ms > 0 ? entry.started_ms : -kNever);
    }
  }

  double sweep_every() const { return std::max(kSweepShare * least_aim_, s_.tick_ms); }
  double uniform() { return static_cast<double>(mix(seed_ + ++draws_) >> 11) * 0x1p-53; }
  void emit(Action action) { actions_->push_back(std::move(action)); }
  void log(std::string text, ServerId about = 0, bool hangs = false) { emit(Log{text, about, hangs}); }
  void timer(double in, std::string token) { emit(SetTimer{std::max(in, 0.0), std::move(token)}); }
  void set_timer(Query& q, double at) {
    q.timer = at;
    timer(at - now_, std::to_string(q.id));
  }
  static auto* entry(auto& map, auto id) {
    const auto it = map.find(id);
    return it == map.end() ? nullptr : &it->second;
  }
  Query* find(RequestId id) { return entry(queries_, id); }
  Server* find_server(ServerId id) { return entry(servers_, id); }
  std::pair<Query*, Part*> find_part(RequestId id) {
    const auto it = part_of_.find(id);
    if (it == part_of_.end()) return {nullptr, nullptr};
    Query* q = find(it->second.first);
    return {q, q ? &q->parts[it->second.second] : nullptr};
  }

  const Settings s_;
  const std::uint64_t seed_;
  double now_ = 0, least_aim_ = kNever;
  std::vector<Action>* actions_ = nullptr;
  bool started_ = false;
  std::uint64_t reply_ = 0, call_ = 0, draws_ = 0;
  std::map<std::string, const ClassSettings*> classes_;
  std::map<std::string, int> tenants_;
  std::map<int, std::vector<double>> order_;
  std::map<ServerId, Server> servers_;
  std::vector<std::vector<Server*>> by_cell_;
  std::map<RequestId, Query> queries_;
  std::unordered_map<std::uint64_t, RequestId> by_number_;
  std::unordered_map<RequestId, std::pair<RequestId, std::size_t>> part_of_;
  std::vector<RequestId> fresh_;
  int open_ = 0;
  AnswerLag lag_, step_lag_;       // of our own answers; of second steps
  double calm_ = 0, calm_at_ = 0;  // the mean latency of the calmest time remembered
  double fleet_n_ = 0, fleet_mean_ = 0, fleet_dev_ = 0;
  double heard_sum_ = 0, heard_n_ = 0;  // latencies of the servers heard
  double usable_ = 0;                   // servers that the list calls serving
  double peak_ = 0, peak_at_ = 0;
  Rate done_rate_;
  std::map<const ClassSettings*, double> usual_parts_, longest_try_;
  std::vector<std::pair<double, Rate>> asked_;  // by tenant: parts it may still ask for, its queries
  std::deque<double> taken_, extras_;
  double lost_idle_ = 0, reaped_after_ = kNever, reaped_until_ = -kNever;  // idle connections dropped unseen
  double renew_wait_ = 0, renew_at_ = kNever, asked_at_ = kNever;
};

Balancer::Balancer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Balancer::~Balancer() = default;

std::unique_ptr<Balancer> Balancer::create(const Settings& s, std::uint64_t seed, std::string& error) {
  try {
    if (s.classes.empty()) throw std::runtime_error("no class of query is stated");
    for (const ClassSettings& c : s.classes) {
      if (!(c.slo_ms > 0)) throw std::runtime_error("class " + c.name + " has no aim");
      if (!(c.min_fraction >= 0 && c.complete_fraction >= 0))
        throw std::runtime_error("class " + c.name + " has a bad share");
    }
    if (s.cells < 1 || s.cells_per_shard < 1 || s.cells_per_shard > s.cells)
      throw std::runtime_error("cells and reach make no sense");
    if (!(s.tick_ms >= 0)) throw std::runtime_error("the tick is below 0");
    return std::unique_ptr<Balancer>(new Balancer(std::make_unique<Impl>(s, seed)));
  } catch (const std::exception& e) {
    error = e.what();
    return nullptr;
  }
}

bool Balancer::step(double now_ms, const std::vector<Event>& events, std::vector<Action>& actions,
                    std::string& error) {
  try {
    impl_->step(now_ms, events, actions);
    return true;
  } catch (const std::exception& e) {
    error = e.what();
    return false;
  }
}

}  // namespace cottonbay
