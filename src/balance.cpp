// SPDX-License-Identifier: MIT
// The decision policy of cottonbay: admission, replica selection, retries, hedging, server health and the
// time at which a query is answered. The public interface is include/cottonbay/balancer.h. All times are in
// milliseconds on the caller's clock.
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

// Tuning constants. Each is a share or a multiple of a configured or an observed quantity. `design:` marks
// values fixed by the published Cedar ("Hold 'em or Fold 'em") wait-duration policy.

// Wait duration.
constexpr double kInitialLagShare = 1.0 / 20;  // design: initial answer lag, as a share of the class SLO
constexpr double kInitialLagSigma = 1.0;       // design: initial spread (sigma) of the log-normal answer lag
constexpr double kLagPriorObservations = 4;    // weight of the initial lag, in observations
constexpr int kScanSteps = 200;  // scan step = horizon / this: 0.5% of the wait, well below the initial lag
// Order statistics are precomputed for queries of up to this many parts, and computed on first use for larger
// ones.
constexpr int kPrecomputedParts = 64;

// Latency estimates. The fleet is the set of all servers.
constexpr double kServerSmoothing = 0.3;  // weight of a new latency in its server's mean (about the last 6)
constexpr double kFleetSmoothing = 0.08;  // weight of a new latency in the fleet's mean and deviation
constexpr double kQuerySmoothing = 0.3;   // upper bound on that weight for all parts of one query together
constexpr int kMinFleetSamples = 8;       // latencies needed before the fleet's mean is used
constexpr double kMinServerSamples = 3;   // answers needed before a server's own latency counts against it
constexpr double kLatencyExpiry = 30;     // in latencies of a server: an older mean does not count against it
constexpr double kBaselineSpan = 200;     // in minimum SLOs: the baseline latency grows e-fold in this time
constexpr double kPeakShare = 0.5;  // share of the peak completion rate that idle servers can reach again
constexpr double kPeakSpan = 10;    // in minimum SLOs: decay time of the peak completion rate

// Timeouts, retries and hedges.
constexpr double kTimeoutDeviations = 12;  // an attempt times out this many mean deviations above the mean
constexpr double kInitialTimeoutShare = 1.0 / 2;  // of the minimum SLO: timeout until the mean is known
// An attempt this many mean deviations above the mean is late; if it is cancelled then, it counts as lost.
constexpr double kLateDeviations = 4;
// In mean latencies: a suspect is tried if the best healthy holder is slower than this. Also the lower bound
// of the timeout of such a trial.
constexpr double kSlowHolderFactor = 2;
constexpr double kTrialTimeoutShare = 1.0 / 2;  // of the time to the SLO: timeout of a trial at a suspect

// Idle connections that a middlebox drops silently.

// Idle connections are distrusted above this smoothed share of parts lost on them. All parts of one wide
// query together weigh about as much as one sample.
constexpr double kIdleLossThreshold = 0.3;
constexpr double kMinIdle = 1;            // in minimum SLOs: a connection idle for less is not dropped
constexpr double kIdleDistrustSpan = 20;  // in minimum SLOs: how long idle connections stay distrusted

// Server health.
constexpr double kErrorSmoothing = 0.3;       // weight of a new error or answer in a server's error rate
constexpr double kSuspectErrorRate = 0.5;     // error rate from which a server is a suspect
constexpr double kMaxErrorRate = 0.95;        // upper bound of the error rate in the load score
constexpr double kSuccessesPerError = 4;      // consecutive answers that one error costs a suspect
constexpr double kMaxRequiredSuccesses = 12;  // upper bound of their sum, so that a server can recover
// In minimum SLOs: pause before a suspect's first trial, time for which a full server is avoided, and time of
// failing connects from which a server counts as having been down.
constexpr double kMinBackoff = 1.0 / 4;
constexpr double kMaxBackoff = 2.0;        // in minimum SLOs: longest such pause
constexpr double kRemoteZoneFactor = 1.3;  // score factor of other zones: smaller differences are noise
constexpr int kParallelPartsPerCall = 2;   // parts of one call that a server processes in parallel
constexpr double kColdBudgetShare = 0.8;   // share of a cold server's permitted load that is used in total
constexpr double kMinColdOverdraft = 0.5;  // parts that a coordinator may at least overdraw that budget by

// Admission. The headroom is the SLO minus the baseline latency, compared with the wait of the slowest part.
constexpr double kMinRefuseThreshold = 0.5;   // of the headroom: refuses the class of the lowest value
constexpr double kMaxRefuseThreshold = 0.94;  // of the headroom: refuses the class of the highest value
constexpr double kTenantBurst = 40;           // parts that a tenant may request at once within its share
constexpr double kTenantShareSlack = 1.5;     // of its share: usual traffic varies, and quotas leave room
constexpr double kQuotaWindow = 10;           // in minimum SLOs: window in which a rate is held to its quota
constexpr double kMinOverShareRank = -0.25;   // lowest value rank of a query that is over its tenant's share
constexpr double kMaxWaitShare = 1.0 / 2;     // of the time to the SLO: slower holders get no parts

constexpr double kSweepInterval = 1.0 / 40;  // in minimum SLOs: interval of the periodic check
constexpr double kMinRenewDelay = 1.0 / 20;  // of the list request interval: first delay before a retry
constexpr double kTolerance = 1e-4;  // rounding: the weights of a query's parts add up to 1 within this
constexpr double kNever = std::numeric_limits<double>::infinity();

double normal_cdf(double z) { return 0.5 * std::erfc(-z / std::sqrt(2.0)); }

// Source of tie-breaks and jitter, seeded per instance.
std::uint64_t splitmix64(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

struct LogNormal {
  double mu = 0, sigma = 0;
  double cdf(double t) const { return t <= 0 ? 0 : normal_cdf((std::log(t) - mu) / sigma); }
};

// Logarithms of the expected order statistics of k standard log-normal draws: the integral of e^z over the
// density of the i-th smallest normal draw.
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
  for (double& value : logs) value = std::log(value * step / std::sqrt(2 * 3.14159265358979323846));
  return logs;
}

// Design step 2: estimates the distribution of part latencies from the answers so far. Without a usable
// spread (fewer than two answers, or all at the same time) sigma is 0.
LogNormal fit_log_normal(const std::vector<double>& arrivals, const std::vector<double>& log_statistics) {
  LogNormal sum;
  const std::size_t n = std::min(arrivals.size(), log_statistics.size());
  for (std::size_t i = 0; i + 1 < n; ++i) {
    const double sigma =
        std::log(arrivals[i + 1] / arrivals[i]) / (log_statistics[i + 1] - log_statistics[i]);
    sum.sigma += sigma;
    sum.mu += std::log(arrivals[i]) - sigma * log_statistics[i];
  }
  if (n < 2) return {};
  const double pairs = static_cast<double>(n - 1);
  return {sum.mu / pairs, sum.sigma / pairs};
}

// Design step 3: the latest wait that maximizes the expected weight answered. `answer_lag` is the
// distribution of the time between the decision to answer and its effect.
double optimal_wait(const LogNormal& parts, int k, double horizon, const LogNormal& answer_lag) {
  const double eps = horizon / kScanSteps;
  double quality = 0, best = 0, wait = 0;
  double answered = parts.cdf(0), in_time = answer_lag.cdf(horizon);
  for (int i = 0; i < kScanSteps; ++i) {
    const double next_answered = parts.cdf((i + 1) * eps),
                 next_in_time = answer_lag.cdf(horizon - (i + 1) * eps);
    quality += (next_answered - answered) * next_in_time -
               (answered - std::pow(answered, k)) * (in_time - next_in_time);
    if (quality >= best) {
      best = quality;
      wait = (i + 1) * eps;
    }
    answered = next_answered;
    in_time = next_in_time;
  }
  return wait;
}

// Distribution of the answer lag, the upper stage of the policy: the time between the moment an action of
// this module is due and the moment it takes effect, observed at each answered part. Starts with a prior of
// kLagPriorObservations observations.
class AnswerLag {
 public:
  void observe(double lag_ms) {
    const double x = std::log(lag_ms);
    count_ += 1;
    log_sum_ += x;
    log_square_sum_ += x * x;
  }
  LogNormal distribution(double slo_ms) const {
    const double mu0 = std::log(slo_ms * kInitialLagShare), n = kLagPriorObservations + count_;
    const double mu = (kLagPriorObservations * mu0 + log_sum_) / n;
    const double square =
        (kLagPriorObservations * (kInitialLagSigma * kInitialLagSigma + mu0 * mu0) + log_square_sum_) / n;
    return {mu, std::sqrt(std::max(square - mu * mu, 1e-4))};
  }

 private:
  double count_ = 0, log_sum_ = 0, log_square_sum_ = 0;
};

// Exponentially decayed event rate per millisecond over about the last `span_ms`. Corrected for the short
// history after the first event.
class Rate {
 public:
  void count(double now, double span_ms) {
    if (events_ <= 0) first_at_ = now;
    span_ms_ = span_ms;
    events_ = decayed(now) + 1;
    updated_at_ = now;
  }
  double per_ms(double now) const {
    return events_ <= 0
               ? 0
               : decayed(now) / (span_ms_ * (1 - std::exp(-(now - first_at_ + span_ms_ / 4) / span_ms_)));
  }

 private:
  double decayed(double now) const { return events_ * std::exp(-(now - updated_at_) / span_ms_); }
  double events_ = 0, updated_at_ = 0, first_at_ = 0, span_ms_ = 1;
};

struct Attempt {
  ServerId server = 0;
  double sent_at = 0;
  bool in_flight = true, may_have_run = true;
};

struct Part {
  RequestId id = 0;
  int shard = 0;
  double weight = 0;
  // Answered; given up for good; waiting to be sent or sent again.
  bool answered = false, abandoned = false, queued = true;
  std::vector<Attempt> attempts;
  bool in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.in_flight; });
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.may_have_run; });
  }
};

struct Query {
  RequestId id = 0;
  std::uint64_t query_number = 0;
  const ClassSettings* class_settings = nullptr;
  int tenant = -1;
  double arrived_at = 0, expires_at = 0;
  double finish_by = 0;       // latest time at which this module ends the query itself
  double horizon = 0;         // D of the design: the part of the SLO left on arrival
  double timer_at = 0;        // when the design's timer fires
  double second_step_at = 0;  // when the second step began
  bool below_min = false;     // arrived late, or the timer fired before min_fraction was answered
  bool late = false;          // the SLO has passed
  bool in_second_step = false;
  bool trial_sent = false;            // one of its parts was sent to a suspect as a trial
  bool first_step_complete = false;   // the answer to its first step was complete
  bool awaiting_second_step = false;  // the parts of the second step have not arrived yet
  std::vector<Part> parts;
  std::vector<double> arrivals;  // times of the answers, since the query's arrival
  double slo_at() const { return arrived_at + horizon; }
  double answered_weight() const {
    double sum = 0;
    for (const Part& part : parts) sum += part.answered ? part.weight : 0;
    return sum;
  }
};

struct InFlightAttempt {
  double sent_at = 0;
  std::uint64_t call_id = 0;
  double query_parts = 1;  // number of parts of its query
  double idle_ms = -1;     // how long the connection had been idle; -1: it was in use
};

struct Server {
  ServerEntry entry;
  bool listed = true;
  double latency = 0;  // smoothed, in ms
  double samples = 0;
  bool has_latency = false;  // measured since its (re)start
  double last_used_at = 0;
  double idle_ms = -1;  // of the connection of the current call, before the call; -1: in use
  double last_response_at = -kNever, full_until = -kNever, measured_at = 0, connect_failing_since = -kNever;
  std::map<std::pair<RequestId, int>, InFlightAttempt> in_flight;  // by part and attempt
  std::map<std::uint64_t, int> calls;                              // calls in flight: number of their parts
  std::uint64_t current_call = 0, current_call_turn = 0;           // the call that parts sent now may join
  int current_call_parts = 0;
  double required_successes = 0;     // answers needed before it is trusted again; above 0 it is a suspect
  double backoff = 0, trial_at = 0;  // pause before the next trial of a suspect, and its earliest time
  bool was_down = false, unresponsive = false, returns_errors = false;
  double error_rate = 0, last_error_at = -kNever, last_reset_at = -kNever, suspected_at = -kNever;
  double cold_since = -kNever;
  double tokens = 0, tokens_updated_at = 0;  // load budget while it is cold, in parts
  bool usable() const { return listed && entry.state == ServerState::serving; }
  bool is_suspect() const { return required_successes > 0; }
};

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : settings_(settings), seed_(seed) {
    for (const ClassSettings& c : settings_.classes) {
      classes_[c.name] = &c;
      min_slo_ms_ = std::min(min_slo_ms_, c.slo_ms);
    }
    for (std::size_t i = 0; i < settings_.tenants.size(); ++i)
      tenant_index_[settings_.tenants[i].name] = static_cast<int>(i);
    for (int k = 2; k <= std::min(settings_.shards, kPrecomputedParts); ++k)
      log_order_statistics_[k] = log_order_statistics(k);
    servers_by_cell_.resize(settings_.cells);
    tenant_usage_.assign(settings_.tenants.size(), {kTenantBurst, Rate()});
  }

  void step(double now, const std::vector<Event>& events, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    ++turn_;
    if (!started_) start();
    for (const Event& event : events) std::visit([this](const auto& alternative) { on(alternative); }, event);
    for (const RequestId id : new_queries_)
      if (Query* query = find_query(id)) start_query(*query);
    new_queries_.clear();
    send_queued_parts();
  }

 private:
  // ---- events ----
  void start() {
    started_ = true;
    if (settings_.list_on_request) subscribe();
    start_timer(sweep_interval(), "sweep");
  }

  void on(const ServerListReceived& event) {
    subscribed_at_ = kNever;
    if (event.kind == ListKind::failed) {
      // All coordinators share one discovery service: a failed request is repeated after a growing, jittered
      // delay.
      renew_delay_ms_ =
          std::min(std::max(2 * renew_delay_ms_, kMinRenewDelay * settings_.list_request_interval_ms),
                   settings_.list_request_interval_ms / 4);
      renew_at_ = now_ + renew_delay_ms_ * (0.75 + 0.5 * uniform());
      return;
    }
    if (event.kind != ListKind::saved) renew_delay_ms_ = 0;
    if (event.kind != ListKind::changes)
      for (auto& [id, server] : servers_) server.listed = false;
    for (const ServerEntry& entry : event.servers) update_server(entry);
    for (auto& cell : servers_by_cell_) cell.clear();
    usable_servers_ = 0;
    for (auto& [id, server] : servers_) {
      usable_servers_ += server.usable();
      if (server.usable() && server.entry.cell >= 0 && server.entry.cell < settings_.cells)
        servers_by_cell_[server.entry.cell].push_back(&server);
    }
  }

  void on(const QueryArrived& event) {
    const auto found = classes_.find(event.class_name);
    if (found == classes_.end()) throw std::runtime_error("query has a class that is not configured");
    Query query;
    query.id = event.id, query.query_number = event.query_number;
    query.class_settings = found->second;
    const auto tenant = tenant_index_.find(event.tenant);
    if (tenant != tenant_index_.end()) query.tenant = tenant->second;
    query.arrived_at = now_, query.expires_at = event.expires_ms;
    // Two ticks before the client stops waiting: the timer may fire one tick late, and a tick itself may be
    // late.
    query.finish_by = std::max(now_, event.expires_ms - 2 * settings_.tick_ms);
    // A client's retry has less time left: the part of the deadline already used counts against the SLO too.
    const double remaining = std::max(event.expires_ms - now_, 0.0);
    double& longest_wait = longest_wait_[query.class_settings];
    longest_wait = std::max(longest_wait, remaining);
    const bool is_retry =
        settings_.retries_marked ? event.is_retry : remaining < longest_wait - 2 * settings_.tick_ms;
    const double used = is_retry ? std::max(query.class_settings->deadline_ms - remaining, 0.0) : 0;
    query.horizon = std::min(std::max(query.class_settings->slo_ms - used, 0.0), remaining);
    query.late = query.horizon <= 0;
    query.below_min = query.late;
    query.timer_at = query.late ? query.finish_by : std::min(query.slo_at(), query.finish_by);
    query_by_number_[event.query_number] = event.id;
    queries_[event.id] = std::move(query);
    new_queries_.push_back(event.id);
    ++open_count_;
  }

  void on(const PartArrived& event) {
    const auto it = query_by_number_.find(event.query_number);
    Query* query = it == query_by_number_.end() ? nullptr : find_query(it->second);
    if (!query) return;
    Part part;
    part.id = event.id;
    part.shard = event.shard;
    part.weight = event.weight;
    part_of_[event.id] = {query->id, query->parts.size()};
    query->parts.push_back(std::move(part));
    ++open_count_;
    if (settings_.retry_budget_limited) part_times_.push_back(now_);
    if (query->awaiting_second_step) {  // this part belongs to the second step
      query->awaiting_second_step = false;
      new_queries_.push_back(query->id);
    }
  }

  void on(const AttemptEnded& event) {
    Server* server = find_server(event.server);
    if (server) record_attempt_end(*server, event);
    const auto [query, part] = find_part(event.part);
    if (!part || event.attempt < 0 || event.attempt >= static_cast<int>(part->attempts.size())) return;
    Attempt& attempt = part->attempts[event.attempt];
    if (!attempt.in_flight) return;
    attempt.in_flight = false;
    if (event.outcome == Outcome::full || event.outcome == Outcome::connect_failed ||
        event.outcome == Outcome::not_sent)
      attempt.may_have_run = false;
    if (event.outcome == Outcome::ok) {
      if (part->answered || part->abandoned) return;
      part->answered = true, part->queued = false;
      cancel_attempts(*part);
      answer_lag_.observe(std::max(now_ - (attempt.sent_at + event.elapsed_ms), 0.0) + settings_.tick_ms);
      query->arrivals.push_back(std::max(now_ - query->arrived_at, settings_.tick_ms / 2));
      if (!finish_if_decided(*query)) refit(*query);
      return;
    }
    if (part->answered || part->in_flight()) return;
    part->queued = may_retry(*query, *part);
    part->abandoned = !part->queued;
    finish_if_decided(*query);
  }

  void on(const QueryWithdrawn& event) {
    if (Query* query = find_query(event.id)) erase_query(*query);
  }

  void on(const TimerFired& event) {
    if (event.token == "sweep") {
      if (settings_.list_on_request &&
          (now_ >= renew_at_ || now_ - subscribed_at_ > settings_.list_request_interval_ms))
        subscribe();
      hedge_late_parts();
      start_timer(sweep_interval(), "sweep");
    } else if (Query* query = find_query(std::strtoull(event.token.c_str(), nullptr, 10))) {
      if (now_ >= query->timer_at - kTolerance) on_query_timer(*query);
    }
  }

  // Other coordinators report that a server hangs. Without this, each coordinator would lose parts of its own
  // before it found out.
  void on(const ProbeEnded& event) {
    Server* server = event.outcome == Outcome::timeout ? find_server(event.server) : nullptr;
    if (server && !server->is_suspect() &&
        server->last_response_at < now_ - fleet_mean_ - kLateDeviations * fleet_deviation_)
      mark_suspect(*server, now_, std::max(server->required_successes, 1.0),
                   "other coordinators report that it hangs", true);
  }
  void on(const auto&) {}  // stream and peer events are ignored

  // ---- query life cycle ----
  void start_query(Query& query) {
    if (query.parts.empty() || query.finish_by <= now_) return end_unanswered(query);
    if (const char* reason = query.in_second_step ? nullptr : refusal_reason(query))
      return finish(query,
                    Refuse{query.id, settings_.may_advise_retry ? settings_.max_retry_after_ms : 0, reason});
    for (Part& part : query.parts)
      if (part.queued && part.attempts.empty()) try_send(query, part);
    start_timer(query.timer_at - now_, std::to_string(query.id));
  }

  void refit(Query& query) {
    const int part_count = static_cast<int>(query.parts.size());
    if (query.late || query.arrivals.size() < 2 || static_cast<int>(query.arrivals.size()) >= part_count)
      return;
    auto& log_statistics = log_order_statistics_[part_count];
    if (log_statistics.empty()) log_statistics = log_order_statistics(part_count);
    const LogNormal parts = fit_log_normal(query.arrivals, log_statistics);
    // A first answer at the end of the horizon would leave no time for the second step, and the query would
    // always be late.
    const AnswerLag& upper =
        query.class_settings->second_step_parts > 0 && !query.in_second_step ? second_step_lag_ : answer_lag_;
    double wait = query.horizon;  // without a fit the timer stays at the horizon
    if (parts.sigma > 0)
      wait = optimal_wait(parts, part_count, query.horizon, upper.distribution(query.class_settings->slo_ms));
    if (query.below_min) wait = std::max(wait, query.horizon);
    set_timer(query, std::min(query.arrived_at + wait, query.finish_by));
  }

  // The design's timer has fired. Where the answered weight does not allow an answer, this differs from the
  // design: the query waits until its horizon, and beyond it until the client stops waiting if a late answer
  // has any value.
  void on_query_timer(Query& query) {
    if (query.answered_weight() + kTolerance >= query.class_settings->min_fraction)
      return answer_query(query);
    if (now_ >= query.finish_by - kTolerance) return end_unanswered(query);
    query.below_min = true;
    if (now_ < query.slo_at() - kTolerance)
      return set_timer(query, std::min(query.slo_at(), query.finish_by));
    query.late = true;
    if (query.class_settings->late_value_fraction <= 0 ||
        exceeds_headroom(kMinRefuseThreshold, query.class_settings->slo_ms, query.parts.size()))
      return end_unanswered(query);
    set_timer(query, query.finish_by);
  }

  // Ends the query if its outcome is decided. Returns true if it has ended.
  bool finish_if_decided(Query& query) {
    double reachable = 0;
    bool waiting = false, all = true;
    for (const Part& part : query.parts) {
      reachable += part.abandoned ? 0 : part.weight;
      waiting |= !part.answered && !part.abandoned;
      all &= part.answered;
    }
    const double weight = query.answered_weight();
    const bool min_reached = weight + kTolerance >= query.class_settings->min_fraction;
    if (all || (weight + kTolerance >= query.class_settings->complete_fraction && !query.in_second_step) ||
        (min_reached && (query.late || !waiting))) {
      answer_query(query);
      return true;
    }
    if (reachable + kTolerance < query.class_settings->min_fraction) {
      end_unanswered(query);
      return true;
    }
    return false;
  }

  void answer_query(Query& query) {
    const bool all =
        std::all_of(query.parts.begin(), query.parts.end(), [](const Part& part) { return part.answered; });
    const bool enough = query.answered_weight() + kTolerance >= query.class_settings->complete_fraction;
    if (query.class_settings->second_step_parts > 0 && !query.in_second_step) {
      // The answer to the first step makes the client send the parts of the second step, in the next batch.
      emit(Answer{query.id, all || enough});
      drop_parts(query);
      query.in_second_step = true;
      query.first_step_complete = all || enough;
      query.awaiting_second_step = true;
      query.second_step_at = now_;
      query.arrivals.clear();
      return set_timer(query, std::min(query.slo_at(), query.finish_by));
    }
    if (query.in_second_step) second_step_lag_.observe(now_ - query.second_step_at + settings_.tick_ms);
    finish(query, Answer{query.id, query.in_second_step ? all && query.first_step_complete : all || enough});
  }

  // Ends a query without an answer. A refusal tells the client that a retry is harmless, so it is used only
  // for idempotent classes, or if no part may have run. Otherwise the query fails.
  void end_unanswered(Query& query) {
    const bool harmless = query.class_settings->effect == Effect::idempotent ||
                          std::none_of(query.parts.begin(), query.parts.end(), [](const Part& part) {
                            return part.in_flight() || part.may_have_run();
                          });
    // A query that is given up well before the client stops waiting is refused with a retry delay: the time
    // in which the current queues are served. Near the end the client schedules its next try itself.
    const bool advise_retry = settings_.may_advise_retry && now_ + attempt_timeout_ms() < query.finish_by;
    if (harmless && !query.in_second_step)
      finish(query,
             Refuse{query.id, advise_retry ? std::min(attempt_timeout_ms(), settings_.max_retry_after_ms) : 0,
                    "given_up"});
    else
      finish(query, Fail{query.id});
  }

  // The only place where this module ends a query with a final action.
  void finish(Query& query, Action final_action) {
    emit(std::move(final_action));
    erase_query(query);
  }

  void erase_query(Query& query) {
    drop_parts(query);
    query_by_number_.erase(query.query_number);
    --open_count_;
    queries_.erase(query.id);
  }

  void drop_parts(Query& query) {
    for (Part& part : query.parts) {
      cancel_attempts(part);
      part_of_.erase(part.id);
      --open_count_;
    }
    query.parts.clear();
  }

  void cancel_attempts(Part& part) {
    for (std::size_t i = 0; i < part.attempts.size(); ++i)
      if (settings_.may_cancel && std::exchange(part.attempts[i].in_flight, false))
        emit(Cancel{part.id, static_cast<int>(i)});
  }

  // ---- attempts ----
  bool may_retry(const Query& query, const Part& part) const {
    if (static_cast<int>(part.attempts.size()) >= settings_.max_attempts || query.finish_by <= now_)
      return false;
    if (!part.may_have_run() || query.class_settings->effect == Effect::idempotent) return true;
    if (query.class_settings->effect == Effect::at_most_once) return false;
    const auto first = std::find_if(part.attempts.begin(), part.attempts.end(),
                                    [](const Attempt& attempt) { return attempt.may_have_run; });
    return now_ + settings_.tick_ms < first->sent_at + query.class_settings->dedup_window_ms;
  }

  bool retry_budget_left() {
    if (!settings_.retry_budget_limited) return true;
    while (!part_times_.empty() && part_times_.front() <= now_ - settings_.retry_budget_window_ms)
      part_times_.pop_front();
    while (!extra_attempt_times_.empty() &&
           extra_attempt_times_.front() <= now_ - settings_.retry_budget_window_ms - settings_.tick_ms)
      extra_attempt_times_.pop_front();
    return extra_attempt_times_.size() + 1.0 <=
           settings_.retry_budget_min +
               settings_.retry_budget_ratio * static_cast<double>(part_times_.size());
  }

  // Sends a part to the best holder, or leaves it queued until the next event.
  void try_send(Query& query, Part& part) {
    if (!part.attempts.empty() && (!may_retry(query, part) || !retry_budget_left())) return;
    if (Server* server = choose_server(query, part)) send(query, part, server);
  }

  // An attempt at a hanging server ends with a timeout only, which is too late for the SLO. Once an attempt
  // is late and its server has answered nothing since, the part is hedged with an attempt at another holder;
  // the first answer counts. If the whole fleet is slow, its servers still answer and nothing is hedged.
  void hedge_late_parts() {
    if (!settings_.may_hedge || fleet_samples_ < kMinFleetSamples) return;
    const double late_after = fleet_mean_ + kLateDeviations * fleet_deviation_;
    for (auto& [id, query] : queries_)
      for (Part& part : query.parts) {
        if (part.answered || part.abandoned || part.attempts.empty() || query.late ||
            query.class_settings->effect == Effect::at_most_once)
          continue;
        // The newest attempt in flight: if a hedge has failed, the late attempt before it needs another one.
        const auto newest = std::find_if(part.attempts.rbegin(), part.attempts.rend(),
                                         [](const Attempt& attempt) { return attempt.in_flight; });
        if (newest == part.attempts.rend()) continue;
        const Attempt& attempt = *newest;
        const Server* holder = find_server(attempt.server);
        if (now_ - attempt.sent_at <= late_after || (holder && holder->last_response_at >= attempt.sent_at))
          continue;
        if (!may_retry(query, part) || !retry_budget_left()) continue;
        if (Server* server = choose_server(query, part, true)) send(query, part, server);
      }
  }

  void send(Query& query, Part& part, Server* server) {
    part.queued = false;
    double until = attempt_deadline(query, part);
    // A trial at a suspect that still hangs must leave time for another attempt, or the query is lost.
    if (server->is_suspect() && query.class_settings->effect == Effect::idempotent &&
        settings_.max_attempts > 1 && part.attempts.empty())
      until = std::min(until, now_ + std::max(kTrialTimeoutShare * (query.slo_at() - now_),
                                              kSlowHolderFactor * fleet_mean_));
    if (!part.attempts.empty() && settings_.retry_budget_limited) extra_attempt_times_.push_back(now_);
    if (!joins_call(*server, settings_.parts_per_call)) {
      server->current_call_turn = turn_, server->current_call_parts = 0;
      server->current_call = ++last_call_id_;
      // Requires that nothing is in flight: otherwise a server that pauses briefly would make all its
      // connections look dropped.
      const bool was_idle =
          server->in_flight.empty() && now_ - server->last_used_at >= kMinIdle * min_slo_ms_;
      server->idle_ms = was_idle ? now_ - server->last_used_at : -1;
      // A middlebox may drop idle connections silently; a part sent on such a connection gets no answer.
      if (server->idle_ms >= idle_drop_after_ms_ && now_ < idle_distrusted_until_) {
        emit(CloseIdle{server->entry.id});
        server->idle_ms = -1;
      }
    }
    ++server->current_call_parts;
    ++server->calls[server->current_call];
    server->last_used_at = now_;
    const int attempt = static_cast<int>(part.attempts.size());
    server->in_flight[{part.id, attempt}] = {now_, server->current_call,
                                             static_cast<double>(query.parts.size()), server->idle_ms};
    part.attempts.push_back({server->entry.id, now_, true, true});
    if (capacity_share(*server) < 1) server->tokens -= 1;
    emit(Send{part.id, server->entry.id, until});
  }

  double attempt_timeout_ms() const {
    return fleet_samples_ < kMinFleetSamples ? kInitialTimeoutShare * min_slo_ms_
                                             : fleet_mean_ + kTimeoutDeviations * fleet_deviation_;
  }

  // An attempt times out early only if another attempt could still be answered within the SLO.
  double attempt_deadline(const Query& query, const Part& part) const {
    const double last = query.class_settings->late_value_fraction > 0
                            ? query.finish_by
                            : std::min(query.finish_by, query.slo_at());
    if (query.class_settings->effect == Effect::at_most_once ||
        static_cast<int>(part.attempts.size()) + 1 >= settings_.max_attempts)
      return last;
    const double until = now_ + attempt_timeout_ms();
    return until + fleet_mean_ <= query.slo_at() ? until : last;
  }

  // ---- replica selection ----
  // Design: the holder with the lowest product of smoothed latency and own calls in flight plus one.
  // Exceptions: suspects get occasional trials only, cold servers have a load budget, and holders that
  // already failed this part come last.
  Server* choose_server(Query& query, const Part& part, bool hedge = false) {
    Server* best = nullptr;
    Server* best_tried = nullptr;
    Server* trial = nullptr;
    double best_score = kNever, best_tried_score = kNever, trial_at = kNever;
    const bool repeatable = query.class_settings->effect == Effect::idempotent && settings_.max_attempts > 1;
    for (int j = 0; j < settings_.cells_per_shard; ++j) {
      const int cell = (part.shard + j) % settings_.cells;
      for (Server* server : servers_by_cell_[cell]) {
        // A full server rejects parts immediately: it would use up a part's few attempts within milliseconds.
        if (!within_cold_budget(*server) || server->full_until > now_) continue;
        const bool in_flight_here =
            std::any_of(part.attempts.begin(), part.attempts.end(), [server](const Attempt& attempt) {
              return attempt.in_flight && attempt.server == server->entry.id;
            });
        if (in_flight_here) continue;
        const bool tried =
            std::any_of(part.attempts.begin(), part.attempts.end(),
                        [server](const Attempt& attempt) { return attempt.server == server->entry.id; });
        if (server->is_suspect()) {
          if (server->in_flight.empty() && server->trial_at < trial_at) {
            trial_at = server->trial_at;
            trial = server;
          }
          if (!server->returns_errors || query.class_settings->effect == Effect::at_most_once ||
              settings_.max_attempts < 2)
            continue;
        }
        const double score = load_score(*server);
        double& min_score = tried ? best_tried_score : best_score;
        Server*& candidate = tried ? best_tried : best;
        if (score < min_score ||
            (score == min_score && candidate && tie_break(*server) < tie_break(*candidate))) {
          min_score = score;
          candidate = server;
        }
      }
    }
    if (!best) best = best_tried;
    if (hedge) return best;
    // While every holder is down, a part's few attempts would be used up within milliseconds. It stays queued
    // until a trial is due. A server that only returns errors is alive and may be asked at once.
    if (!best && trial && trial->required_successes <= 1 && trial_at > now_) return nullptr;
    if (trial && (!best || (repeatable && trial_at <= now_ && part.attempts.empty() &&
                            (!query.trial_sent || (trial->unresponsive ? expected_wait(*best) : best_score) >
                                                      kSlowHolderFactor * fleet_mean_)))) {
      query.trial_sent = true;
      return trial;
    }
    return best;
  }

  // Whether a part sent now travels in a call that is sent in this turn anyway.
  bool joins_call(const Server& server, int max_parts) const {
    return server.current_call_turn == turn_ &&
           server.current_call_parts < std::min(max_parts, settings_.parts_per_call);
  }

  std::uint64_t tie_break(const Server& server) const { return splitmix64(seed_ ^ server.entry.id); }

  double mean_server_latency() const {
    return servers_with_latency_ > 0 ? latency_sum_ / servers_with_latency_ : min_slo_ms_;
  }

  double load_score(const Server& server) const {
    // A part that joins a call adds no call to the server: sending each part in a call of its own would cost
    // the fleet the work of that call.
    const bool joined = joins_call(server, kParallelPartsPerCall);
    const double calls = static_cast<double>(server.calls.size()) + (joined ? -kTolerance : 1);
    const double latency = server.has_latency ? server.latency : mean_server_latency();
    const double zone_factor =
        server.entry.zone == settings_.zone || !server.has_latency ? 1 : kRemoteZoneFactor;
    // A server that accepts parts and answers none keeps its good latency. The age of its oldest attempt is a
    // lower bound.
    return std::max(latency, oldest_attempt_age(server)) * calls / capacity_share(server) *
           error_penalty(server) * zone_factor;
  }

  // A server that returns errors for some parts must not leave all its load to the other holders: their
  // queues would grow until all answers are late. It is charged for the extra attempts instead, and gets
  // repeatable parts once the others are as slow.
  double error_penalty(const Server& server) const {
    const double success_rate = 1 - std::min(server.error_rate, kMaxErrorRate);
    return 1 / (success_rate * success_rate);
  }

  double oldest_attempt_age(const Server& server) const {
    double oldest = now_;
    for (const auto& [key, attempt] : server.in_flight) oldest = std::min(oldest, attempt.sent_at);
    return now_ - oldest;
  }

  // ---- server health ----
  void record_attempt_end(Server& server, const AttemptEnded& event) {
    const auto it = server.in_flight.find({event.part, event.attempt});
    if (it == server.in_flight.end()) return;
    const InFlightAttempt ended = it->second;
    server.in_flight.erase(it);
    if (--server.calls[ended.call_id] == 0) server.calls.erase(ended.call_id);
    server.last_used_at = now_;
    const bool no_response_since = server.last_response_at < ended.sent_at;
    if (ended.idle_ms >= 0) {
      const bool late =
          event.elapsed_ms > fleet_mean_ + kLateDeviations * fleet_deviation_ && no_response_since;
      const bool lost = late && (event.outcome == Outcome::timeout || event.outcome == Outcome::cancelled);
      if (lost || event.outcome == Outcome::ok)
        idle_loss_rate_ += std::min(kServerSmoothing, 1 / ended.query_parts) * (lost - idle_loss_rate_);
      if (lost) idle_drop_after_ms_ = std::min(idle_drop_after_ms_, ended.idle_ms);
      if (lost && idle_loss_rate_ > kIdleLossThreshold) {
        if (now_ >= idle_distrusted_until_)
          log("requests sent on idle connections get lost; reconnecting before use");
        idle_distrusted_until_ = now_ + kIdleDistrustSpan * min_slo_ms_;
      }
      if (lost && now_ < idle_distrusted_until_) return;  // the connection is to blame, not the server
    }
    switch (event.outcome) {
      case Outcome::ok:
        record_latency(server, event.elapsed_ms, ended.query_parts);
        completion_rate_.count(now_, min_slo_ms_);
        server.last_response_at = now_;
        server.error_rate -= kErrorSmoothing * server.error_rate;
        if (server.was_down) {  // it may have restarted cold before the server list says so
          server.was_down = false;
          if (server.cold_since < now_ - settings_.warm_up_ms) mark_cold(server, now_);
        }
        if (server.is_suspect()) {
          server.required_successes = server.required_successes <= 1 ? 0 : server.required_successes / 2;
          server.trial_at = now_;
          if (!server.is_suspect()) {
            server.backoff = 0;
            server.error_rate = kErrorSmoothing;
            log("server " + std::to_string(server.entry.id) + " is healthy again", server.entry.id);
          }
        }
        break;
      case Outcome::error:  // not measured: failing fast would look like a low latency
        server.last_response_at = now_;
        if (event.value_unusable) break;
        // A healthy server rejects a part now and then, and then all parts of a call together. If each such
        // error made it a suspect, the other holders would get all its work and both would miss their SLOs.
        // So errors at the same time count once.
        if (now_ > server.last_error_at) server.error_rate += kErrorSmoothing * (1 - server.error_rate);
        server.last_error_at = now_;
        if (server.error_rate >= kSuspectErrorRate || server.is_suspect())
          mark_suspect(
              server, ended.sent_at,
              std::min(std::max(server.required_successes, 0.0) + kSuccessesPerError, kMaxRequiredSuccesses),
              "error rate too high", false, true);
        break;
      case Outcome::full:  // without the bound by the SLO the timeout would raise itself through the mean
        server.last_response_at = now_;
        server.full_until = now_ + kMinBackoff * min_slo_ms_;
        record_latency(server, std::max(server.latency, std::min(attempt_timeout_ms(), min_slo_ms_)),
                       ended.query_parts);
        break;
      case Outcome::reset: {
        // One connection that breaks or sends malformed data says little about its server, and all its
        // attempts end together. If the server is down, the next connect fails too.
        const bool ignored = server.last_reset_at == now_ || server.last_response_at > server.last_reset_at;
        server.last_reset_at = now_;
        if (ignored && !server.is_suspect()) break;
      }
        [[fallthrough]];
      case Outcome::connect_failed:  // one failure is no restart; a starting server refuses for a while
        if (server.connect_failing_since <= server.last_response_at) server.connect_failing_since = now_;
        server.was_down |= now_ - server.connect_failing_since >= kMinBackoff * min_slo_ms_;
        mark_suspect(server, ended.sent_at, std::max(server.required_successes, 1.0), "connection failed");
        break;
      case Outcome::timeout:
        record_latency(server, std::max(server.latency, event.elapsed_ms), ended.query_parts);
        if (no_response_since)
          mark_suspect(server, ended.sent_at, std::max(server.required_successes, 1.0), "no answer in time",
                       true);
        break;
      case Outcome::cancelled:
        // Under overload the slow attempts are the ones that get cancelled; without them the mean would look
        // low.
        record_latency(server, std::max(server.has_latency ? server.latency : 0, event.elapsed_ms),
                       ended.query_parts);
        if (no_response_since && event.elapsed_ms > fleet_mean_ + kLateDeviations * fleet_deviation_)
          mark_suspect(server, ended.sent_at, std::max(server.required_successes, 1.0), "no answer in time",
                       true);
        break;
      case Outcome::not_sent:
        break;
    }
  }

  void record_latency(Server& server, double latency, double query_parts) {
    // A new server starts from the mean of the others. If it started from the SLO, it would look several
    // times slower than the others until it had answered a few parts, and would get fewer parts because of
    // that.
    if (!server.has_latency) {
      server.latency = fleet_samples_ < kMinFleetSamples ? min_slo_ms_ : mean_server_latency();
      server.samples = 0;
      latency_sum_ += server.latency, ++servers_with_latency_;
    }
    server.has_latency = true;
    server.measured_at = now_;
    server.samples += 1;
    const double step = std::max(kServerSmoothing, 1 / (server.samples + 1)) * (latency - server.latency);
    server.latency += step;
    latency_sum_ += step;
    if (fleet_samples_ == 0) fleet_mean_ = latency, fleet_deviation_ = latency / 2;
    fleet_samples_ += 1;
    // The parts of a wide query are answered in order, fastest first. At full weight each, they would make
    // the mean swing within every query, and its minimum, the baseline, would be far below the usual
    // mean.
    const double weight =
        std::max(std::min(kFleetSmoothing, kQuerySmoothing / query_parts), 1 / fleet_samples_);
    fleet_deviation_ += weight * (std::abs(latency - fleet_mean_) - fleet_deviation_);
    fleet_mean_ += weight * (latency - fleet_mean_);
    if (fleet_samples_ >= kMinFleetSamples) {
      if (baseline_latency_ <= 0) baseline_latency_ = fleet_mean_;
      baseline_latency_ = std::min(
          baseline_latency_ * std::exp((now_ - baseline_updated_at_) / (kBaselineSpan * min_slo_ms_)),
          fleet_mean_);
    }
    baseline_updated_at_ = now_;
  }

  // A server that pauses briefly loses all its attempts in flight, one by one. Attempts sent before it became
  // a suspect carry no new information; counting them would lengthen the pause before its trial with each.
  void mark_suspect(Server& server, double sent_at, double required_successes, const char* reason,
                    bool unresponsive = false, bool returns_errors = false) {
    if (server.is_suspect() && sent_at <= server.suspected_at) return;
    server.suspected_at = now_;
    const ServerId id = server.entry.id;
    if (!server.is_suspect())
      log("server " + std::to_string(id) + " is suspected to be unhealthy: " + reason, id, unresponsive);
    server.required_successes = required_successes;
    server.unresponsive = unresponsive;
    server.returns_errors = returns_errors;
    server.backoff =
        std::min(std::max(2 * server.backoff, kMinBackoff * min_slo_ms_), kMaxBackoff * min_slo_ms_);
    server.trial_at = now_ + server.backoff;
  }

  // ---- load budget of cold servers ----
  void mark_cold(Server& server, double since) {
    if (server.has_latency) latency_sum_ -= server.latency, --servers_with_latency_;
    server.cold_since = since;
    server.has_latency = false;
    server.tokens = uniform() - kMinColdOverdraft, server.tokens_updated_at = now_;
  }

  double capacity_share(const Server& server) const {
    const double age = now_ - server.cold_since;
    if (settings_.warm_up_ms <= 0 || age >= settings_.warm_up_ms) return 1;
    return settings_.cold_capacity +
           (1 - settings_.cold_capacity) * std::max(age, 0.0) / settings_.warm_up_ms;
  }

  // All coordinators together could overload a cold server. Each keeps to its own budget: the best completion
  // rate of an average server as seen here, times the permitted overload and the server's lowest possible
  // share of capacity by now. The sum stays within the permitted load however the traffic is distributed; one
  // part per coordinator always gets through. In a burst a coordinator spends the tokens it has saved. To
  // complete a call it may overdraw them by its share of the total slack, or by half a part.
  bool within_cold_budget(Server& server) {
    const double share = capacity_share(server), coordinators = std::max(2, settings_.coordinators);
    if (share >= 1) return true;
    const double ramp = kColdBudgetShare * settings_.overload_factor * share * peak_completion_rate() /
                        std::max(usable_servers_, 1.0);
    const double rate = std::max(ramp, 1 / (settings_.overload_window_ms * coordinators));
    const double max_tokens = std::max(1.0, rate * settings_.overload_window_ms / 2);
    server.tokens = std::min(max_tokens, server.tokens + rate * (now_ - server.tokens_updated_at));
    server.tokens_updated_at = now_;
    // Permitted parts per window in total, assuming that the other coordinators have as much to send.
    const double total = rate * settings_.overload_window_ms * coordinators / kColdBudgetShare;
    const double overdraft = ((1 - kColdBudgetShare) * total + 2 * std::sqrt(total) + 2) / coordinators;
    return server.tokens >= (joins_call(server, kParallelPartsPerCall)
                                 ? std::clamp(1 - overdraft, 0.0, kMinColdOverdraft)
                                 : 1);
  }

  // ---- admission ----
  // Returns the reason to refuse the query, or null to admit it.
  const char* refusal_reason(Query& query) {
    double& mean_parts = mean_parts_[query.class_settings];
    const double part_count = static_cast<double>(query.parts.size());
    mean_parts = mean_parts <= 0 ? part_count : mean_parts + kFleetSmoothing * (part_count - mean_parts);
    const bool over_share = exceeds_tenant_share(query, part_count);
    if (query.late && query.class_settings->late_value_fraction <= 0) return "late";
    if (fleet_samples_ < kMinFleetSamples) return nullptr;
    if (abandon_overloaded_parts(query)) return "holders";
    // The rank of the query's value per part between the classes of the lowest (0) and the highest value (1).
    double min_density = kNever, max_density = 0;
    for (const ClassSettings& c : settings_.classes) {
      const auto it = mean_parts_.find(&c);
      if (it == mean_parts_.end()) continue;
      const double class_density = settings_.value_per_part ? c.value : c.value / it->second;
      min_density = std::min(min_density, class_density);
      max_density = std::max(max_density, class_density);
    }
    const double value = query.class_settings->value * (over_share ? settings_.over_share_value_factor : 1);
    const double density = settings_.value_per_part ? value : value / mean_parts;
    const double rank = max_density > min_density && min_density > 0
                            ? std::log(density / min_density) / std::log(max_density / min_density)
                        : over_share ? kMinOverShareRank
                                     : 1;
    const double clamped_rank = query.late ? 0 : std::clamp(rank, over_share ? kMinOverShareRank : 0.0, 1.0);
    const double limit = kMinRefuseThreshold + (kMaxRefuseThreshold - kMinRefuseThreshold) * clamped_rank;
    if (!exceeds_headroom(limit, query.late ? query.class_settings->slo_ms : query.horizon,
                          query.parts.size()))
      return nullptr;
    return over_share ? "share" : "load";
  }

  // Where few healthy holders of a shard are left, their queue grows until all its answers are late, and
  // every query that needs one of them wastes the work on its other parts. Parts at such shards are abandoned
  // with a probability, drawn once per query: coordinators that stopped and resumed together would make the
  // queue oscillate. Returns true if the remaining weight is below the minimum.
  bool abandon_overloaded_parts(Query& query) {
    const double draw = std::sqrt(uniform());
    double remaining = 0;
    for (Part& part : query.parts) {
      double shortest_wait = kNever;
      for (int j = 0; j < settings_.cells_per_shard; ++j)
        for (const Server* server : servers_by_cell_[(part.shard + j) % settings_.cells])
          shortest_wait = std::min(shortest_wait, expected_wait(*server));
      part.abandoned =
          kMaxWaitShare * query.horizon < draw * std::min(shortest_wait, query.class_settings->deadline_ms);
      part.queued = !part.abandoned;
      remaining += part.abandoned ? 0 : part.weight;
    }
    return remaining + kTolerance < query.class_settings->min_fraction;
  }

  // Expected wait of a part at the server. Evidence that is thin, or so old that the queue behind it has been
  // served, is left out: a refusal based on it would never be found to be wrong.
  double expected_wait(const Server& server) const {
    if (server.is_suspect() && server.returns_errors) return server.latency * error_penalty(server);
    if (server.is_suspect())
      return server.trial_at <= now_ && server.in_flight.empty() ? fleet_mean_ : kNever;
    const bool known =
        server.samples >= kMinServerSamples && now_ - server.measured_at < kLatencyExpiry * server.latency;
    return std::max(known ? server.latency : 0, oldest_attempt_age(server));
  }

  // Keeps one tenant from taking all capacity. Each part admitted adds tokens to every tenant by its share,
  // and the requesting tenant spends them; so this works whatever part of the traffic this coordinator sees.
  // Returns true if the tenant has too few tokens and its rate exceeds its quota.
  bool exceeds_tenant_share(const Query& query, double parts) {
    if (query.tenant < 0) return false;
    for (std::size_t i = 0; i < settings_.tenants.size(); ++i)
      tenant_usage_[i].first = std::min(
          tenant_usage_[i].first + kTenantShareSlack * settings_.tenants[i].share * parts, kTenantBurst);
    // A tenant that exceeds its share of little traffic is no overload: a configured quota has to be exceeded
    // as well.
    auto& [tokens, request_rate] = tenant_usage_[query.tenant];
    request_rate.count(now_, kQuotaWindow * min_slo_ms_);
    if (tokens < parts && request_rate.per_ms(now_) * 1000 * settings_.coordinators >
                              settings_.tenants[query.tenant].quota_per_s)
      return true;
    tokens = std::max(tokens - parts, 0.0);
    return false;
  }

  // Whether the expected wait of the slowest of `parts` parts exceeds the baseline by more than `limit` of
  // the headroom in the horizon. The mean describes a single part: of many parts some meet a full queue, and
  // then the work on the others is wasted.
  bool exceeds_headroom(double limit, double horizon, std::size_t parts) {
    double slowest = 0;  // expected maximum of exponential waits, in means
    for (std::size_t i = 1; i <= parts; ++i) slowest += 1.0 / static_cast<double>(i);
    const double wait = std::min(fleet_mean_, estimated_latency()) - baseline_latency_;
    return wait * slowest > limit * std::max(horizon - baseline_latency_, 0.0);
  }

  // Little's law, applied to the attempts in flight now: a mean of past latencies would stay high, and refuse
  // queries indefinitely, once all queries are refused. Attempts at suspects say nothing about the queues
  // elsewhere and are left out.
  double estimated_latency() {
    double in_flight = 0;
    for (const auto& [id, server] : servers_)
      if (!server.is_suspect()) in_flight += static_cast<double>(server.in_flight.size());
    return in_flight / std::max(completion_rate_.per_ms(now_), kPeakShare * peak_completion_rate());
  }

  double peak_completion_rate() {
    peak_rate_ = std::max(peak_rate_ * std::exp(-(now_ - peak_updated_at_) / (kPeakSpan * min_slo_ms_)),
                          completion_rate_.per_ms(now_));
    peak_updated_at_ = now_;
    return peak_rate_;
  }

  void send_queued_parts() {
    for (auto& [id, query] : queries_)
      for (Part& part : query.parts)
        if (part.queued && !part.answered && !part.abandoned && !part.in_flight()) try_send(query, part);
  }

  void subscribe() {
    renew_at_ = kNever;
    subscribed_at_ = now_;
    emit(Subscribe{});
  }

  void update_server(const ServerEntry& entry) {
    const auto [it, inserted] = servers_.try_emplace(entry.id);
    Server& server = it->second;
    const bool restarted = entry.started_ms > 0 && entry.started_ms > server.entry.started_ms + kTolerance;
    server.entry = entry;
    server.listed = entry.state != ServerState::removed;
    if (inserted || restarted) {  // a server restarted under the same id is a new, cold process
      server.required_successes = server.backoff = 0;
      server.was_down = false;
      mark_cold(server, entry.started_ms > 0 ? entry.started_ms : -kNever);
    }
  }

  double sweep_interval() const { return std::max(kSweepInterval * min_slo_ms_, settings_.tick_ms); }
  double uniform() { return static_cast<double>(splitmix64(seed_ + ++random_draws_) >> 11) * 0x1p-53; }
  void emit(Action action) { actions_->push_back(std::move(action)); }
  void log(std::string text, ServerId server = 0, bool hung = false) {
    emit(Log{std::move(text), server, hung});
  }
  void start_timer(double delay_ms, std::string token) {
    emit(SetTimer{std::max(delay_ms, 0.0), std::move(token)});
  }
  void set_timer(Query& query, double at) {
    query.timer_at = at;
    start_timer(at - now_, std::to_string(query.id));
  }
  static auto* find_in(auto& map, auto id) {
    const auto it = map.find(id);
    return it == map.end() ? nullptr : &it->second;
  }
  Query* find_query(RequestId id) { return find_in(queries_, id); }
  Server* find_server(ServerId id) { return find_in(servers_, id); }
  std::pair<Query*, Part*> find_part(RequestId id) {
    const auto it = part_of_.find(id);
    if (it == part_of_.end()) return {nullptr, nullptr};
    Query* query = find_query(it->second.first);
    return {query, query ? &query->parts[it->second.second] : nullptr};
  }

  const Settings settings_;
  const std::uint64_t seed_;
  double now_ = 0, min_slo_ms_ = kNever;
  std::vector<Action>* actions_ = nullptr;
  bool started_ = false;
  std::uint64_t turn_ = 0, last_call_id_ = 0, random_draws_ = 0;
  std::map<std::string, const ClassSettings*> classes_;
  std::map<std::string, int> tenant_index_;
  std::map<int, std::vector<double>> log_order_statistics_;
  std::map<ServerId, Server> servers_;
  std::vector<std::vector<Server*>> servers_by_cell_;
  std::map<RequestId, Query> queries_;
  std::unordered_map<std::uint64_t, RequestId> query_by_number_;
  std::unordered_map<RequestId, std::pair<RequestId, std::size_t>> part_of_;
  std::vector<RequestId> new_queries_;
  int open_count_ = 0;
  AnswerLag answer_lag_, second_step_lag_;                 // of answers; duration of second steps
  double baseline_latency_ = 0, baseline_updated_at_ = 0;  // lowest mean latency, growing slowly
  double fleet_samples_ = 0, fleet_mean_ = 0, fleet_deviation_ = 0;
  double latency_sum_ = 0, servers_with_latency_ = 0;  // over the servers with a latency
  double usable_servers_ = 0;                          // servers that are listed as serving
  double peak_rate_ = 0, peak_updated_at_ = 0;
  Rate completion_rate_;
  std::map<const ClassSettings*, double> mean_parts_, longest_wait_;
  std::vector<std::pair<double, Rate>> tenant_usage_;  // by tenant: tokens (in parts) and rate of requests
  // For the retry budget: times of the parts' arrivals, and of the attempts beyond the first of each part.
  std::deque<double> part_times_, extra_attempt_times_;
  // Idle connections: smoothed share of parts lost on them, shortest idle time with a loss, end of the
  // distrust.
  double idle_loss_rate_ = 0, idle_drop_after_ms_ = kNever, idle_distrusted_until_ = -kNever;
  double renew_delay_ms_ = 0, renew_at_ = kNever, subscribed_at_ = kNever;
};

Balancer::Balancer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Balancer::~Balancer() = default;

std::unique_ptr<Balancer> Balancer::create(const Settings& settings, std::uint64_t seed, std::string& error) {
  try {
    if (settings.classes.empty()) throw std::runtime_error("no query class is configured");
    for (const ClassSettings& c : settings.classes) {
      if (!(c.slo_ms > 0)) throw std::runtime_error("class " + c.name + ": the SLO must be above 0");
      if (!(c.min_fraction >= 0 && c.complete_fraction >= 0))
        throw std::runtime_error("class " + c.name + ": wholeAt and minShare must not be negative");
    }
    if (settings.cells < 1 || settings.cells_per_shard < 1 || settings.cells_per_shard > settings.cells)
      throw std::runtime_error("places and reach must be at least 1, and reach at most places");
    if (!(settings.tick_ms >= 0)) throw std::runtime_error("resolutionMs must not be negative");
    return std::unique_ptr<Balancer>(new Balancer(std::make_unique<Impl>(settings, seed)));
  } catch (const std::exception& exception) {
    error = exception.what();
    return nullptr;
  }
}

bool Balancer::step(double now_ms, const std::vector<Event>& events, std::vector<Action>& actions,
                    std::string& error) {
  try {
    impl_->step(now_ms, events, actions);
    return true;
  } catch (const std::exception& exception) {
    error = exception.what();
    return false;
  }
}

}  // namespace cottonbay
