// SPDX-License-Identifier: MIT
#include "kelpdeal/lease/lease.h"

#include <algorithm>
#include <utility>

namespace kelpdeal::lease {
namespace {

// Low bits of a ballot's number; the incarnation is above them.
constexpr int kBallotBitsPerIncarnation = 20;
// Of holder_duration(): a lease is renewed after this part of it.
constexpr double kRenewAfterFraction = 1.0 / 3;

Duration scaled(Duration duration, double factor) { return to_duration(FractionalMs(duration) * factor); }

std::string ballot_text(const Ballot& ballot) { return std::to_string(ballot.number) + ballot.member; }

std::string remaining_text(TimePoint expires_at, TimePoint now) {
  return expires_at <= now ? "-" : std::to_string((expires_at - now).count());
}

}  // namespace

Duration holder_duration(const Bounds& bounds) {
  return scaled(bounds.lease_duration, (1 - bounds.max_clock_drift) / (1 + bounds.max_clock_drift));
}

// ---- Acceptor ----
std::optional<Message> Acceptor::handle_message(const Message& question, TimePoint now) {
  // An earlier incarnation of this member may have granted a lease that this one does not know of.
  if (silent(now)) return std::nullopt;
  using Kind = Message::Kind;
  if (question.kind > Kind::release) return std::nullopt;
  const auto known = tasks_.find(question.task);
  if (question.kind == Kind::release) {
    // Ignores a release that arrives late, after a newer grant.
    if (known != tasks_.end() && known->second.accepted == question.ballot) known->second.expires_at = now;
    return std::nullopt;
  }
  if (known == tasks_.end() && tasks_.size() >= bounds_.max_tasks) return std::nullopt;
  Task& task = known == tasks_.end() ? tasks_[question.task] : known->second;
  // Tokens must not fall below those of earlier holders.
  if (known == tasks_.end()) task.promised = floor_;
  task.last_request_at = now;
  Message answer = question;
  answer.kind = Kind::refuse;
  const bool runs = now < task.expires_at;
  if (question.kind == Kind::prepare) {
    if (runs && task.accepted != question.ballot) {
      answer.remaining = task.expires_at - now;
      answer.promised = task.promised;
    } else if (question.ballot < task.promised) {
      answer.promised = task.promised;
    } else {
      task.promised = question.ballot;
      answer.kind = Kind::promise;
    }
    return answer;
  }
  // Refuses a proposal whose promise was made by an earlier incarnation of this process, or that another
  // ballot has overtaken: what the proposer learned in the first phase may be out of date.
  if (question.ballot != task.promised) {
    answer.promised = task.promised;
    if (runs) answer.remaining = task.expires_at - now;
    return answer;
  }
  task.accepted = question.ballot;
  task.expires_at = now + bounds_.lease_duration;
  answer.kind = Kind::accept;
  return answer;
}

void Acceptor::forget(TimePoint now) {
  std::erase_if(tasks_, [&](const auto& entry) {
    const auto& task = entry.second;
    const bool over = task.expires_at <= now && task.last_request_at + bounds_.lease_duration <= now;
    if (over) floor_ = std::max(floor_, task.promised);
    return over;
  });
}

Ballot Acceptor::highest_promised() const {
  Ballot highest = floor_;
  for (const auto& [name, task] : tasks_) highest = std::max(highest, task.promised);
  return highest;
}

std::string Acceptor::state_text(TimePoint now) const {
  std::string all = "s" + remaining_text(silent_until_, now);
  for (const auto& [name, task] : tasks_) {
    all += "|" + name + " " + ballot_text(task.promised) + " " + remaining_text(task.expires_at, now);
    if (now < task.expires_at) all += " " + ballot_text(task.accepted);
  }
  return all;
}

// ---- Proposer ----
Proposer::Proposer(std::string name, std::uint64_t incarnation, std::set<std::string> acceptors,
                   const Bounds& bounds)
    : name_(std::move(name)),
      acceptors_(std::move(acceptors)),
      bounds_(bounds),
      retry_delay_(scaled(
          bounds.round_timeout,
          (1.0 + static_cast<double>(std::distance(acceptors_.begin(), acceptors_.lower_bound(name_)))) /
              (1.0 + static_cast<double>(acceptors_.size())))),
      last_ballot_number_(incarnation << kBallotBitsPerIncarnation) {}

std::vector<Outgoing> Proposer::to_all(const Message& message) const {
  std::vector<Outgoing> out;
  for (const std::string& acceptor : acceptors_) out.push_back({acceptor, message});
  return out;
}

std::vector<Outgoing> Proposer::prepare(const std::string& name, Task& task, TimePoint now) {
  task.state = Task::State::preparing;
  task.ballot = {++last_ballot_number_, name_};
  task.round = 0;
  task.round_started_at = now;
  task.agreed_by.clear(), task.refused_by.clear();
  Message message;
  message.kind = Message::Kind::prepare;
  message.task = name;
  message.ballot = task.ballot;
  return to_all(message);
}

std::vector<Outgoing> Proposer::propose(const std::string& name, Task& task, TimePoint now) {
  task.state = Task::State::proposing;
  ++task.round;
  // The lease is measured from here, before any acceptor has received the proposal.
  task.round_started_at = now;
  task.agreed_by.clear(), task.refused_by.clear();
  Message message;
  message.kind = Message::Kind::propose;
  message.task = name;
  message.ballot = task.ballot;
  message.round = task.round;
  return to_all(message);
}

// Releases a lease that only a minority has accepted: nobody holds it, but it would block all proposers for
// its duration. The ballot is not reused, whatever answers still arrive.
std::vector<Outgoing> Proposer::abandon_round(const std::string& name, Task& task, TimePoint now) {
  const bool proposed = std::exchange(task.state, Task::State::idle) == Task::State::proposing;
  task.next_attempt_at = std::max(task.next_attempt_at, now + retry_delay_);
  if (!proposed || (task.acquired && now < task.expires_at)) return {};
  Message message;
  message.kind = Message::Kind::release;
  message.task = name;
  message.ballot = std::exchange(task.ballot, {});
  return to_all(message);
}

std::vector<Outgoing> Proposer::acquire_or_renew(const std::string& name, TimePoint now) {
  Task& task = tasks_[name];
  const bool held = task.acquired && now < task.expires_at;
  if (task.state != Task::State::idle) {
    if (now < task.round_started_at + bounds_.round_timeout) return {};
    if (!held) return abandon_round(name, task, now);
  }
  if (held && now < task.next_attempt_at) return {};
  if (!held && task.state == Task::State::idle && now < task.next_attempt_at) return {};
  // Renewed in one phase under its ballot: that was promised, and no other ballot is promised while the lease
  // runs.
  if (held) return propose(name, task, now);
  task.acquired = false;
  return prepare(name, task, now);
}

std::vector<Outgoing> Proposer::handle_message(const std::string& from, const Message& answer,
                                               TimePoint now) {
  const auto it = tasks_.find(answer.task);
  if (it == tasks_.end() || !acceptors_.contains(from)) return {};
  Task& task = it->second;
  if (answer.ballot != task.ballot || answer.round != task.round || task.state == Task::State::idle)
    return {};
  using Kind = Message::Kind;
  if (answer.kind == Kind::refuse) {
    last_ballot_number_ = std::max(last_ballot_number_, answer.promised.number);
    task.refused_by.insert(from);
    task.next_attempt_at = std::max(task.next_attempt_at, now + answer.remaining);
    // A majority can no longer be reached: the round ends, and is retried after the current lease has
    // expired.
    return acceptors_.size() - task.refused_by.size() < majority() ? abandon_round(it->first, task, now)
                                                                   : std::vector<Outgoing>();
  }
  if (answer.kind != (task.state == Task::State::preparing ? Kind::promise : Kind::accept)) return {};
  task.agreed_by.insert(from);
  if (task.agreed_by.size() < majority()) return {};
  if (task.state == Task::State::preparing) return propose(it->first, task, now);
  task.state = Task::State::idle;
  task.expires_at = task.round_started_at + holder_duration(bounds_);
  task.acquired = now < task.expires_at;
  task.next_attempt_at = task.round_started_at + scaled(holder_duration(bounds_), kRenewAfterFraction);
  return {};
}

std::vector<Outgoing> Proposer::release(const std::string& name, TimePoint now) {
  const auto it = tasks_.find(name);
  if (it == tasks_.end()) return {};
  Task& task = it->second;
  Message message;
  message.kind = Message::Kind::release;
  message.task = name;
  message.ballot = task.ballot;
  const bool active = task.acquired || task.state == Task::State::proposing;
  // The ballot is not reused, so a delayed accept of it cannot restore the lease.
  task = {};
  task.next_attempt_at = now + bounds_.lease_duration;
  return active ? to_all(message) : std::vector<Outgoing>();
}

Duration Proposer::remaining(const std::string& name, TimePoint now) const {
  const auto it = tasks_.find(name);
  if (it == tasks_.end() || !it->second.acquired || now >= it->second.expires_at) return {};
  return it->second.expires_at - now;
}

Ballot Proposer::token(const std::string& name) const {
  const auto it = tasks_.find(name);
  return it == tasks_.end() || !it->second.acquired ? Ballot{} : it->second.ballot;
}

bool Proposer::can_start_action(const std::string& name, Duration max_duration, TimePoint now) const {
  // On the local clock, which may run slow compared to the true duration of the action.
  return remaining(name, now) >=
         scaled(max_duration, (1 + bounds_.max_clock_drift) / (1 - bounds_.max_clock_drift));
}

TimePoint Proposer::next_attempt_at(const std::string& name) const {
  const auto it = tasks_.find(name);
  if (it == tasks_.end()) return {};
  const Task& task = it->second;
  return task.state == Task::State::idle ? task.next_attempt_at
                                         : task.round_started_at + bounds_.round_timeout;
}

std::vector<std::string> Proposer::held_tasks(TimePoint now) const {
  std::vector<std::string> names;
  for (const auto& [name, task] : tasks_)
    if (holds(name, now)) names.push_back(name);
  return names;
}

std::string Proposer::state_text(TimePoint now) const {
  std::string all = std::to_string(last_ballot_number_);
  for (const auto& [name, task] : tasks_) {
    all += "|" + name + " " + std::to_string(static_cast<int>(task.state)) + ballot_text(task.ballot) + "." +
           std::to_string(task.round);
    if (task.state != Task::State::idle) {
      all += " a" + std::to_string((now - task.round_started_at).count());
      for (const std::string& acceptor : task.agreed_by) all += "+" + acceptor;
      for (const std::string& acceptor : task.refused_by) all += "-" + acceptor;
    }
    all += " h" + remaining_text(task.acquired ? task.expires_at : now, now) + " w" +
           remaining_text(task.next_attempt_at, now);
  }
  return all;
}

// ---- Fence ----
bool Fence::admits(const std::string& task, const Ballot& token) {
  Ballot& seen = newest_tokens_[task];
  if (token < seen) {
    ++refused_;
    return false;
  }
  seen = token;
  return true;
}

}  // namespace kelpdeal::lease
