// SPDX-License-Identifier: MIT
#include "kelpdeal/membership/membership.h"

#include <algorithm>
#include <cmath>

namespace kelpdeal::membership {
namespace {

Duration times(Duration span, double by) { return to_duration(FractionalMs(span) * by); }

}  // namespace

Membership::Membership(std::string name, std::uint64_t incarnation, const Bounds& bounds, std::uint64_t seed)
    : name_(std::move(name)), bounds_(bounds), random_(seed), life_{incarnation, 0} {}

std::vector<Act> Membership::start(const std::vector<std::string>& peers, TimePoint now) {
  ticked_ = now;
  for (const std::string& peer : peers)
    if (peer != name_ && members_.size() < bounds_.members) {
      members_[peer].state = State::dead;  // of no life yet: anything heard of it is later
      gone_[peer] = now;
    }
  tell({name_, life_, State::alive});
  for (const auto& [peer, member] : members_) {
    Message hello;
    hello.kind = Message::Kind::ping;
    hello.number = ++number_;
    add_all(hello);
    send(peer, std::move(hello));
  }
  // Members that start together are not to probe in step.
  next_probe_ = now + times(bounds_.period, std::uniform_real_distribution<>(0, 1)(random_));
  return take();
}

TimePoint Membership::next() const {
  TimePoint at = next_probe_;
  if (!probe_.target.empty()) {
    if (!probe_.asked && !probe_.answered) at = std::min(at, probe_.ask_others);
    at = std::min(at, probe_.ends);
  }
  for (const auto& [name, suspicion] : suspicions_) at = std::min(at, suspicion.until);
  for (const auto& [number, favour] : favours_) at = std::min(at, favour.until);
  return at;
}

std::size_t Membership::alive() const {
  return 1 + static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
           return entry.second.state <= State::suspect;
         }));
}

double Membership::scale() const { return std::max(1.0, std::log2(static_cast<double>(alive()) + 1)); }

void Membership::doubt_self(int by) { doubt_ = std::clamp(doubt_ + by, 0, bounds_.most_doubt); }

std::vector<Act> Membership::tick(TimePoint now) {
  if (displaced_) return take();
  // Guards against verdicts of one that stood still: what it did not hear in that time says nothing of
  // others. All it waited for waits on for as long again.
  const TimePoint due = next();
  if (const Duration stood = now - std::max(due, ticked_); now > due && stood > bounds_.late) {
    doubt_self(1);
    probe_ = {};
    for (auto& [name, suspicion] : suspicions_) suspicion.until += stood;
    favours_.clear();
    next_probe_ = now;
  }
  ticked_ = now;
  std::vector<std::string> fallen;
  for (const auto& [name, suspicion] : suspicions_)
    if (suspicion.until <= now) fallen.push_back(name);
  for (const std::string& name : fallen) {
    Member& member = members_[name];
    set(name, member, State::dead, member.life, now);
    tell({name, member.life, State::dead});
  }
  for (auto it = favours_.begin(); it != favours_.end();) {
    if (it->second.until > now) {
      ++it;
      continue;
    }
    Message none;
    none.kind = Message::Kind::no_answer;
    none.number = it->second.their_number;
    none.about = it->second.target;
    send(it->second.asker, std::move(none));
    it = favours_.erase(it);
  }
  if (!probe_.target.empty() && !probe_.asked && !probe_.answered && probe_.ask_others <= now) {
    probe_.asked = true;
    for (const std::string& helper : some(bounds_.helpers, probe_.target)) {
      Message ask;
      ask.kind = Message::Kind::ask;
      ask.number = probe_.number;
      ask.about = probe_.target;
      ++probe_.asked_of;
      send(helper, std::move(ask));
    }
  }
  if (!probe_.target.empty() && probe_.ends <= now) end_probe(now);
  if (next_probe_ <= now && !leaving_) probe_next(now);
  for (auto it = gone_.begin(); it != gone_.end();) {
    const auto member = members_.find(it->first);
    // One that was never heard of is named by the file, and stays.
    if (now - it->second < bounds_.remember || member->second.life == Life{}) {
      ++it;
      continue;
    }
    members_.erase(member);
    it = gone_.erase(it);
  }
  return take();
}

void Membership::probe_next(TimePoint now) {
  next_probe_ = now + bounds_.period;
  ++periods_;
  if (const std::string* target = next_target()) {
    probe_ = {};
    probe_.target = *target;
    probe_.number = ++number_;
    probe_.ask_others = now + std::min(patient(bounds_.answer), times(bounds_.period, 0.5) * (1 + doubt_));
    probe_.ends = now + patient(bounds_.period);
    next_probe_ = probe_.ends;  // in doubt of itself a member probes the less
    Message ping;
    ping.number = probe_.number;
    // One that is suspected is told so first of all, so that it can contradict.
    const Member& member = members_[probe_.target];
    if (member.state != State::alive) ping.news.push_back({probe_.target, member.life, member.state});
    // Guards against a fleet that starts at once: whoever was asked at the start knew few yet, and single
    // rumours of all take long.
    const bool settling = periods_ == bounds_.settle || periods_ == 3 * bounds_.settle;
    if (member.state >= State::dead || settling) add_all(ping);
    send(probe_.target, std::move(ping));
  }
}

const std::string* Membership::next_target() {
  // A dead member now and then: the two sides of a cut that has healed would else never meet again.
  if (bounds_.visit_dead > 0 && periods_ % bounds_.visit_dead == 0) {
    std::vector<const std::string*> dead;
    for (const auto& [name, member] : members_)
      if (member.state == State::dead) dead.push_back(&name);
    if (!dead.empty()) return dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random_)];
  }
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      const auto member = members_.find(round_.back());
      round_.pop_back();
      if (member != members_.end() && member->second.state <= State::suspect) return &member->first;
    }
    for (const auto& [name, member] : members_)
      if (member.state <= State::suspect) round_.push_back(name);
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  return nullptr;
}

void Membership::end_probe(TimePoint now) {
  const Probe probe = std::exchange(probe_, {});
  if (probe.answered) return doubt_self(-1);
  const auto member = members_.find(probe.target);
  if (member == members_.end() || member->second.state >= State::dead) return;
  // Nobody answered, not even those that were asked to help: the trouble may be here.
  if (probe.asked_of > 0 && probe.no_answers == 0) doubt_self(1);
  suspect(probe.target, name_, now);
}

void Membership::suspect(const std::string& name, const std::string& by, TimePoint now) {
  Member& member = members_[name];
  if (member.state > State::suspect) return;
  Suspicion& suspicion = suspicions_[name];
  const Duration least = times(bounds_.period, bounds_.suspicion * scale());
  if (member.state == State::alive) {
    set(name, member, State::suspect, member.life, now);
    suspicion.since = now;
    tell({name, member.life, State::suspect});
  }
  if (std::find(suspicion.by.begin(), suspicion.by.end(), by) == suspicion.by.end() &&
      suspicion.by.size() <= bounds_.confirms) {
    suspicion.by.push_back(by);
    // The first suspicion, and each confirmation, is passed on anew.
    if (suspicion.by.size() > 1) tell({name, member.life, State::suspect});
  }
  // The more suspect it, each for itself, the sooner it is dead: one alone may be cut off or starved.
  const double missing =
      suspicion.by.size() > bounds_.confirms
          ? 0
          : std::log2(2.0 - static_cast<double>(suspicion.by.size() - 1) /
                                static_cast<double>(std::max<std::size_t>(bounds_.confirms, 1)));
  suspicion.until =
      suspicion.since + times(least, 1 + (bounds_.doubted - 1) * std::max(missing, 0.0)) * (1 + doubt_);
}

void Membership::set(const std::string& name, Member& member, State state, Life life, TimePoint now) {
  const bool changed = member.state != state || member.life.incarnation != life.incarnation;
  member.state = state;
  member.life = life;
  if (state != State::suspect) suspicions_.erase(name);
  if (state >= State::dead)
    gone_.try_emplace(name, now);
  else
    gone_.erase(name);
  if (changed) acts_.push_back(Changed{name, life, state});
}

void Membership::tell(Rumour rumour) {
  std::erase_if(telling_, [&](const Telling& t) { return t.rumour.name == rumour.name; });
  telling_.push_back({std::move(rumour), 0});
}

// The least told goes first; each is told only so often. What the message already holds is kept.
Message Membership::filled(Message message) {
  if (message.whole) return message;
  const auto most = static_cast<std::size_t>(std::ceil(bounds_.retell * scale()));
  std::stable_sort(telling_.begin(), telling_.end(),
                   [](const Telling& a, const Telling& b) { return a.told < b.told; });
  for (Telling& telling : telling_) {
    if (message.news.size() >= bounds_.news) break;
    ++telling.told;
    message.news.push_back(telling.rumour);
  }
  std::erase_if(telling_, [most](const Telling& t) { return t.told >= most; });
  return message;
}

void Membership::send(const std::string& to, Message message) {
  acts_.push_back(Send{to, filled(std::move(message))});
}

void Membership::add_all(Message& message) const {
  message.whole = true;
  message.news.push_back({name_, life_, leaving_ ? State::left : State::alive});
  for (const auto& [name, member] : members_)
    if (member.life != Life{}) message.news.push_back({name, member.life, member.state});
}

std::vector<std::string> Membership::some(std::size_t count, const std::string& but) {
  std::vector<std::string> names, chosen;
  for (const auto& [name, member] : members_)
    if (member.state == State::alive && name != but) names.push_back(name);
  std::sample(names.begin(), names.end(), std::back_inserter(chosen), count, random_);
  return chosen;
}

// What is said of us is wrong, as we are here: the next life of ours says so.
void Membership::deny(Life seen) {
  life_.denials = std::max(life_.denials, seen.denials) + 1;
  tell({name_, life_, State::alive});
  doubt_self(1);
}

void Membership::learn(Rumour rumour, const std::string& from, bool whole, TimePoint now) {
  // Guards against one side of a cut that is believed on the other's members as the two meet: they are asked
  // first, and contradict.
  const auto known = members_.find(rumour.name);
  if (whole && rumour.state == State::dead && known != members_.end() &&
      known->second.state <= State::suspect)
    rumour.state = State::suspect;
  if (rumour.name == name_) {
    if (rumour.life.incarnation > life_.incarnation) {
      // Guards against two under one name that contradict each other for ever: the later one stays.
      if (!std::exchange(displaced_, true)) acts_.push_back(Displaced{rumour.life});
    } else if (rumour.state != State::alive && rumour.life.incarnation == life_.incarnation &&
               rumour.life >= life_ && !leaving_) {
      deny(rumour.life);
    }
    return;
  }
  auto it = members_.find(rumour.name);
  if (it == members_.end()) {
    // Guards against a fleet that grows by names made up; and what is gone already is no news.
    if (members_.size() >= bounds_.members || rumour.state >= State::dead) return;
    it = members_.emplace(rumour.name, Member{}).first;
    it->second.state = State::dead;
  }
  Member& member = it->second;
  if (rumour.life < member.life) return;
  if (rumour.life == member.life) {
    if (rumour.state == State::suspect && member.state == State::suspect)
      return suspect(rumour.name, from, now);  // one more, for itself
    if (rumour.state <= member.state) return;  // of two things said of one life the graver one counts
  }
  if (rumour.state == State::suspect) {
    set(rumour.name, member, State::alive, rumour.life, now);
    return suspect(rumour.name, from, now);
  }
  set(rumour.name, member, rumour.state, rumour.life, now);
  tell(rumour);
}

std::vector<Act> Membership::handle_message(const std::string& from, const Message& message, TimePoint now) {
  if (displaced_ || from == name_) return take();
  for (const Rumour& rumour : message.news) learn(rumour, from, message.whole, now);
  if (const auto it = members_.find(from); it != members_.end()) it->second.heard = now;
  switch (message.kind) {
    case Message::Kind::ping: {
      Message ack;
      ack.kind = Message::Kind::ack;
      ack.number = message.number;
      if (message.whole)
        add_all(ack);
      else
        ack.news.push_back({name_, life_, leaving_ ? State::left : State::alive});
      // One that is held for other than alive is told so, to contradict.
      if (const auto it = members_.find(from); !message.whole && it != members_.end() &&
                                               it->second.state != State::alive && it->second.life != Life{})
        ack.news.push_back({from, it->second.life, it->second.state});
      send(from, std::move(ack));
      break;
    }
    case Message::Kind::ask: {
      Favour favour{from, message.about, message.number, now + bounds_.answer};
      const std::uint64_t number = ++number_;
      favours_[number] = std::move(favour);
      Message ping;
      ping.number = number;
      send(message.about, std::move(ping));
      break;
    }
    case Message::Kind::ack:
      if (const auto favour = favours_.find(message.number);
          favour != favours_.end() && favour->second.target == from) {
        Message ack;
        ack.kind = Message::Kind::ack;
        ack.number = favour->second.their_number;
        ack.about = from;
        if (const auto it = members_.find(from); it != members_.end() && it->second.state <= State::suspect)
          ack.news.push_back({from, it->second.life, it->second.state});
        send(favour->second.asker, std::move(ack));
        favours_.erase(favour);
      } else if (message.number == probe_.number &&
                 (from == probe_.target || message.about == probe_.target)) {
        probe_.answered = true;
      }
      break;
    case Message::Kind::no_answer:
      if (message.number == probe_.number && message.about == probe_.target) ++probe_.no_answers;
      break;
  }
  return take();
}

std::vector<Act> Membership::leave(TimePoint) {
  leaving_ = true;
  tell({name_, life_, State::left});
  for (const std::string& to : some(std::max<std::size_t>(bounds_.helpers, 2) * 2, name_)) {
    Message last;
    last.kind = Message::Kind::ping;
    last.number = ++number_;
    send(to, std::move(last));
  }
  return take();
}

}  // namespace kelpdeal::membership
