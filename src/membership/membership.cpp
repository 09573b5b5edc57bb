// SPDX-License-Identifier: MIT
#include "kelpdeal/membership/membership.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal::membership {
namespace {

Duration scaled(Duration span, double reporter) { return to_duration(FractionalMs(span) * reporter); }

}  // namespace

Membership::Membership(std::string name, std::uint64_t incarnation, const Bounds& bounds, std::uint64_t seed)
    : name_(std::move(name)), bounds_(bounds), random_(seed), version_{incarnation, 0} {}

std::vector<Action> Membership::start(const std::vector<std::string>& peers, TimePoint now) {
  last_tick_at_ = now;
  for (const std::string& peer : peers)
    if (peer != name_ && members_.size() < bounds_.max_members) {
      members_[peer].state = State::dead;  // version 0.0: any update about it is newer
      gone_since_[peer] = now;
    }
  enqueue_broadcast({name_, version_, State::alive});
  for (const auto& [peer, member] : members_) {
    Message hello;
    hello.kind = Message::Kind::ping;
    hello.number = ++last_probe_number_;
    add_full_state(hello);
    send(peer, std::move(hello));
  }
  // Members that start together must not probe in lockstep.
  next_probe_at_ = now + scaled(bounds_.probe_period, std::uniform_real_distribution<>(0, 1)(random_));
  return take_actions();
}

TimePoint Membership::next_tick_at() const {
  TimePoint at = next_probe_at_;
  if (!probe_.target.empty()) {
    if (!probe_.indirect_sent && !probe_.answered) at = std::min(at, probe_.indirect_at);
    at = std::min(at, probe_.ends_at);
  }
  for (const auto& [name, suspicion] : suspicions_) at = std::min(at, suspicion.expires_at);
  for (const auto& [number, indirect_probe] : indirect_probes_) at = std::min(at, indirect_probe.expires_at);
  return at;
}

std::size_t Membership::alive() const {
  return 1 + static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
           return entry.second.state <= State::suspect;
         }));
}

double Membership::fleet_size_log() const {
  return std::max(1.0, std::log2(static_cast<double>(alive()) + 1));
}

void Membership::adjust_health_score(int delta) {
  health_score_ = std::clamp(health_score_ + delta, 0, bounds_.max_health_score);
}

std::vector<Action> Membership::tick(TimePoint now) {
  if (displaced_) return take_actions();
  // A process that was paused cannot judge others by what it missed meanwhile. Everything it was waiting for
  // is extended by the length of the pause.
  const TimePoint due = next_tick_at();
  if (const Duration pause = now - std::max(due, last_tick_at_);
      now > due && pause > bounds_.late_timer_threshold) {
    adjust_health_score(1);
    probe_ = {};
    for (auto& [name, suspicion] : suspicions_) suspicion.expires_at += pause;
    indirect_probes_.clear();
    next_probe_at_ = now;
  }
  last_tick_at_ = now;
  std::vector<std::string> expired;
  for (const auto& [name, suspicion] : suspicions_)
    if (suspicion.expires_at <= now) expired.push_back(name);
  for (const std::string& name : expired) {
    Member& member = members_[name];
    set_state(name, member, State::dead, member.version, now);
    enqueue_broadcast({name, member.version, State::dead});
  }
  for (auto it = indirect_probes_.begin(); it != indirect_probes_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    Message nack;
    nack.kind = Message::Kind::nack;
    nack.number = it->second.requester_number;
    nack.target = it->second.target;
    send(it->second.requester, std::move(nack));
    it = indirect_probes_.erase(it);
  }
  if (!probe_.target.empty() && !probe_.indirect_sent && !probe_.answered && probe_.indirect_at <= now) {
    probe_.indirect_sent = true;
    for (const std::string& helper : random_alive_members(bounds_.indirect_probe_count, probe_.target)) {
      Message probe_request;
      probe_request.kind = Message::Kind::probe_request;
      probe_request.number = probe_.number;
      probe_request.target = probe_.target;
      ++probe_.indirect_requests;
      send(helper, std::move(probe_request));
    }
  }
  if (!probe_.target.empty() && probe_.ends_at <= now) end_probe(now);
  if (next_probe_at_ <= now && !leaving_) start_probe(now);
  for (auto it = gone_since_.begin(); it != gone_since_.end();) {
    const auto member = members_.find(it->first);
    // A member that was never heard is a configured peer and is kept.
    if (now - it->second < bounds_.dead_retention || member->second.version == MemberVersion{}) {
      ++it;
      continue;
    }
    members_.erase(member);
    it = gone_since_.erase(it);
  }
  return take_actions();
}

void Membership::start_probe(TimePoint now) {
  next_probe_at_ = now + bounds_.probe_period;
  ++periods_;
  if (const std::string* target = next_target()) {
    probe_ = {};
    probe_.target = *target;
    probe_.number = ++last_probe_number_;
    probe_.indirect_at = now + std::min(health_scaled(bounds_.probe_timeout),
                                        scaled(bounds_.probe_period, 0.5) * (1 + health_score_));
    probe_.ends_at = now + health_scaled(bounds_.probe_period);
    next_probe_at_ = probe_.ends_at;  // a member with a poor health score probes less often
    Message ping;
    ping.number = probe_.number;
    // Tells a suspected target about the suspicion first, so that it can refute it.
    const Member& member = members_[probe_.target];
    if (member.state != State::alive) ping.updates.push_back({probe_.target, member.version, member.state});
    // If a whole fleet starts at once, the members asked for their full state at the start knew few others,
    // and single updates about all take long to spread. So the full state is requested again later.
    const bool settling = periods_ == bounds_.resync_periods || periods_ == 3 * bounds_.resync_periods;
    if (member.state >= State::dead || settling) add_full_state(ping);
    send(probe_.target, std::move(ping));
  }
}

const std::string* Membership::next_target() {
  // Probes a dead member now and then: otherwise the two sides of a healed partition would never reconnect.
  if (bounds_.dead_probe_interval > 0 && periods_ % bounds_.dead_probe_interval == 0) {
    std::vector<const std::string*> dead;
    for (const auto& [name, member] : members_)
      if (member.state == State::dead) dead.push_back(&name);
    if (!dead.empty()) return dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random_)];
  }
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!probe_order_.empty()) {
      const auto member = members_.find(probe_order_.back());
      probe_order_.pop_back();
      if (member != members_.end() && member->second.state <= State::suspect) return &member->first;
    }
    for (const auto& [name, member] : members_)
      if (member.state <= State::suspect) probe_order_.push_back(name);
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  }
  return nullptr;
}

void Membership::end_probe(TimePoint now) {
  const Probe probe = std::exchange(probe_, {});
  if (probe.answered) return adjust_health_score(-1);
  const auto member = members_.find(probe.target);
  if (member == members_.end() || member->second.state >= State::dead) return;
  // Neither the target nor any indirect prober responded: the problem may be local.
  if (probe.indirect_requests > 0 && probe.nacks == 0) adjust_health_score(1);
  add_suspicion(probe.target, name_, now);
}

void Membership::add_suspicion(const std::string& name, const std::string& reporter, TimePoint now) {
  Member& member = members_[name];
  if (member.state > State::suspect) return;
  Suspicion& suspicion = suspicions_[name];
  const Duration min_timeout = scaled(bounds_.probe_period, bounds_.suspicion_factor * fleet_size_log());
  if (member.state == State::alive) {
    set_state(name, member, State::suspect, member.version, now);
    suspicion.since = now;
    enqueue_broadcast({name, member.version, State::suspect});
  }
  if (std::find(suspicion.reporters.begin(), suspicion.reporters.end(), reporter) ==
          suspicion.reporters.end() &&
      suspicion.reporters.size() <= bounds_.confirmations) {
    suspicion.reporters.push_back(reporter);
    // The first suspicion and each further confirmation are broadcast.
    if (suspicion.reporters.size() > 1) enqueue_broadcast({name, member.version, State::suspect});
  }
  // The more members report the suspicion independently, the sooner it expires: a single reporter may itself
  // be cut off or starved of CPU.
  const double missing =
      suspicion.reporters.size() > bounds_.confirmations
          ? 0
          : std::log2(2.0 - static_cast<double>(suspicion.reporters.size() - 1) /
                                static_cast<double>(std::max<std::size_t>(bounds_.confirmations, 1)));
  suspicion.expires_at =
      suspicion.since + scaled(min_timeout, 1 + (bounds_.unconfirmed_factor - 1) * std::max(missing, 0.0)) *
                            (1 + health_score_);
}

void Membership::set_state(const std::string& name, Member& member, State state, MemberVersion version,
                           TimePoint now) {
  const bool changed = member.state != state || member.version.incarnation != version.incarnation;
  member.state = state;
  member.version = version;
  if (state != State::suspect) suspicions_.erase(name);
  if (state >= State::dead)
    gone_since_.try_emplace(name, now);
  else
    gone_since_.erase(name);
  if (changed) pending_actions_.push_back(MemberChanged{name, version, state});
}

void Membership::enqueue_broadcast(MemberUpdate update) {
  std::erase_if(broadcasts_, [&](const Broadcast& t) { return t.update.name == update.name; });
  broadcasts_.push_back({std::move(update), 0});
}

// Adds the least-transmitted updates first, each a limited number of times. Keeps the updates already in the
// message.
Message Membership::with_updates(Message message) {
  if (message.full_state) return message;
  const auto max_transmissions =
      static_cast<std::size_t>(std::ceil(bounds_.retransmit_factor * fleet_size_log()));
  std::stable_sort(broadcasts_.begin(), broadcasts_.end(),
                   [](const Broadcast& a, const Broadcast& b) { return a.transmissions < b.transmissions; });
  for (Broadcast& broadcast : broadcasts_) {
    if (message.updates.size() >= bounds_.max_updates) break;
    ++broadcast.transmissions;
    message.updates.push_back(broadcast.update);
  }
  std::erase_if(broadcasts_,
                [max_transmissions](const Broadcast& t) { return t.transmissions >= max_transmissions; });
  return message;
}

void Membership::send(const std::string& to, Message message) {
  pending_actions_.push_back(Send{to, with_updates(std::move(message))});
}

void Membership::add_full_state(Message& message) const {
  message.full_state = true;
  message.updates.push_back({name_, version_, leaving_ ? State::left : State::alive});
  for (const auto& [name, member] : members_)
    if (member.version != MemberVersion{}) message.updates.push_back({name, member.version, member.state});
}

std::vector<std::string> Membership::random_alive_members(std::size_t count, const std::string& excluded) {
  std::vector<std::string> names, chosen;
  for (const auto& [name, member] : members_)
    if (member.state == State::alive && name != excluded) names.push_back(name);
  std::sample(names.begin(), names.end(), std::back_inserter(chosen), count, random_);
  return chosen;
}

// Another member suspects this one or declared it dead: answers with a higher version.
void Membership::refute(MemberVersion seen) {
  version_.refutations = std::max(version_.refutations, seen.refutations) + 1;
  enqueue_broadcast({name_, version_, State::alive});
  adjust_health_score(1);
}

void Membership::apply_update(MemberUpdate update, const std::string& from, bool full_state, TimePoint now) {
  // When a partition heals, the other side's full state reports members as dead that are alive here. They are
  // only suspected first, so that they can refute it.
  const auto known = members_.find(update.name);
  if (full_state && update.state == State::dead && known != members_.end() &&
      known->second.state <= State::suspect)
    update.state = State::suspect;
  if (update.name == name_) {
    if (update.version.incarnation > version_.incarnation) {
      // Two processes under one name would refute each other for ever: the later one stays.
      if (!std::exchange(displaced_, true)) pending_actions_.push_back(Displaced{update.version});
    } else if (update.state != State::alive && update.version.incarnation == version_.incarnation &&
               update.version >= version_ && !leaving_) {
      refute(update.version);
    }
    return;
  }
  auto it = members_.find(update.name);
  if (it == members_.end()) {
    // Limits the growth by made-up names; members already gone are not added.
    if (members_.size() >= bounds_.max_members || update.state >= State::dead) return;
    it = members_.emplace(update.name, Member{}).first;
    it->second.state = State::dead;
  }
  Member& member = it->second;
  if (update.version < member.version) return;
  if (update.version == member.version) {
    if (update.state == State::suspect && member.state == State::suspect)
      return add_suspicion(update.name, from, now);  // an independent report
    // For the same version the worse state takes precedence.
    if (update.state <= member.state) return;
  }
  if (update.state == State::suspect) {
    set_state(update.name, member, State::alive, update.version, now);
    return add_suspicion(update.name, from, now);
  }
  set_state(update.name, member, update.state, update.version, now);
  enqueue_broadcast(update);
}

std::vector<Action> Membership::handle_message(const std::string& from, const Message& message,
                                               TimePoint now) {
  if (displaced_ || from == name_) return take_actions();
  for (const MemberUpdate& update : message.updates) apply_update(update, from, message.full_state, now);
  if (const auto it = members_.find(from); it != members_.end()) it->second.last_heard_at = now;
  switch (message.kind) {
    case Message::Kind::ping: {
      Message ack;
      ack.kind = Message::Kind::ack;
      ack.number = message.number;
      if (message.full_state)
        add_full_state(ack);
      else
        ack.updates.push_back({name_, version_, leaving_ ? State::left : State::alive});
      // Tells a sender that is not considered alive, so that it can refute it.
      if (const auto it = members_.find(from); !message.full_state && it != members_.end() &&
                                               it->second.state != State::alive &&
                                               it->second.version != MemberVersion{})
        ack.updates.push_back({from, it->second.version, it->second.state});
      send(from, std::move(ack));
      break;
    }
    case Message::Kind::probe_request: {
      IndirectProbe indirect_probe{from, message.target, message.number, now + bounds_.probe_timeout};
      const std::uint64_t number = ++last_probe_number_;
      indirect_probes_[number] = std::move(indirect_probe);
      Message ping;
      ping.number = number;
      send(message.target, std::move(ping));
      break;
    }
    case Message::Kind::ack:
      if (const auto indirect_probe = indirect_probes_.find(message.number);
          indirect_probe != indirect_probes_.end() && indirect_probe->second.target == from) {
        Message ack;
        ack.kind = Message::Kind::ack;
        ack.number = indirect_probe->second.requester_number;
        ack.target = from;
        if (const auto it = members_.find(from); it != members_.end() && it->second.state <= State::suspect)
          ack.updates.push_back({from, it->second.version, it->second.state});
        send(indirect_probe->second.requester, std::move(ack));
        indirect_probes_.erase(indirect_probe);
      } else if (message.number == probe_.number &&
                 (from == probe_.target || message.target == probe_.target)) {
        probe_.answered = true;
      }
      break;
    case Message::Kind::nack:
      if (message.number == probe_.number && message.target == probe_.target) ++probe_.nacks;
      break;
  }
  return take_actions();
}

std::vector<Action> Membership::leave(TimePoint) {
  leaving_ = true;
  enqueue_broadcast({name_, version_, State::left});
  for (const std::string& to :
       random_alive_members(std::max<std::size_t>(bounds_.indirect_probe_count, 2) * 2, name_)) {
    Message last;
    last.kind = Message::Kind::ping;
    last.number = ++last_probe_number_;
    send(to, std::move(last));
  }
  return take_actions();
}

}  // namespace kelpdeal::membership
