// SPDX-License-Identifier: MIT
// Who is in the fleet, and how it is. No I/O: messages come in and go out as values, the clock is handed in,
// the jitter is drawn from a seed.
//
// After SWIM (Das, Gupta, Motivala, 2002): each member probes one other a period, asks a few others to probe
// it where no answer came, suspects it, and takes it for dead once nobody has contradicted for a while. News
// travels on the probes, so what a member pays does not grow with the fleet. After Lifeguard (Dadgar,
// Phillips, Currey, 2018): a member doubts itself first. One whose own timers are late or whose helpers are
// silent too waits longer before it accuses, and one that stood still takes back what it was about to say.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "kelpdeal/time.h"

namespace kelpdeal::membership {

enum class State : std::uint8_t { alive, suspect, dead, left };

// Which life of a member is spoken of: its process (a number that grows from start to start) and, within it,
// how often it has contradicted a suspicion. The later one counts.
struct Life {
  std::uint64_t incarnation = 0;
  std::uint32_t denials = 0;
  auto operator<=>(const Life&) const = default;
};

// What one member says of another.
struct Rumour {
  std::string name;
  Life life;
  State state = State::alive;
  bool operator==(const Rumour&) const = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    ping,      // answer me; `about`, if set, asks on that member's behalf
    ack,       // I am here; with `about`, that member is
    ask,       // probe `about` for me
    no_answer  // I live, but `about` has not answered me yet
  };
  Kind kind = Kind::ping;
  std::uint64_t number = 0;  // of the probe it belongs to, as its asker counts
  std::string about;         // of the last two, and of an ack for a probe through another
  // The news is all that the sender knows, and a ping asks for all that the receiver knows: of one that has
  // just come, or met a member it held for dead.
  bool whole = false;
  std::vector<Rumour> news;
  // What the sender says of its copy of the fleet's state; carried for whoever uses this, not looked at.
  struct ReplicaStatus {
    bool ready = false;        // it has what its promises need
    std::uint32_t lag_ms = 0;  // how long it has been behind; 0: it is not
    std::uint64_t digest = 0;  // of the bans that stand there; 0: not told
    std::map<std::pair<std::string, std::string>, std::uint32_t> rounds;  // see replica::Rounds
    bool operator==(const ReplicaStatus&) const = default;
  } replica_status;
};

struct Bounds {
  Duration period = std::chrono::seconds(1);         // one probe each
  Duration answer = std::chrono::milliseconds(300);  // until others are asked to probe too
  std::size_t helpers = 3;                           // that many are asked
  std::size_t news = 12;                             // rumours on one message
  double retell = 4;     // each is passed on so many times the logarithm of the fleet's size
  double suspicion = 4;  // periods times that logarithm, until a suspect without a contradiction is dead
  double doubted = 3;    // ... and so many times longer while fewer than `confirms` others suspect it too
  std::size_t confirms = 3;
  int most_doubt = 8;                              // of oneself: waits grow up to 1 + this
  Duration late = std::chrono::milliseconds(250);  // a timer later than this is a sign of one's own trouble
  std::size_t settle =
      3;  // after so many periods, and thrice as many, one that has come asks once more for all
  std::size_t visit_dead = 8;  // every so many periods a dead member is probed: a cut may have healed
  Duration remember = std::chrono::hours(1);  // the dead and the left, so long
  std::size_t members = 1'000;                // no more are taken in
};

// What is to be done.
struct Send {
  std::string to;
  Message message;
};
struct Changed {  // someone else's state, as this member sees it
  std::string name;
  Life life;
  State state;
};
struct Displaced {  // a later incarnation under our own name is about: this one has to go
  Life by;
};
using Act = std::variant<Send, Changed, Displaced>;

class Membership {
 public:
  Membership(std::string name, std::uint64_t incarnation, const Bounds& bounds, std::uint64_t seed);

  // `peers`: whom the fleet's file names, alive or not. Known before anybody was heard; asked for all they
  // know.
  std::vector<Act> start(const std::vector<std::string>& peers, TimePoint now);
  std::vector<Act> handle_message(const std::string& from, const Message& message, TimePoint now);
  // Due at next(). How late it comes is what a member learns about itself.
  std::vector<Act> tick(TimePoint now);
  TimePoint next() const;
  // In order: the others are told, and probe no more.
  std::vector<Act> leave(TimePoint now);

  struct Member {
    Life life;
    State state = State::alive;
    TimePoint heard{};  // directly; the epoch: never
  };
  // Everyone but oneself; a named peer that was never heard is `dead` with incarnation 0.
  const std::map<std::string, Member, std::less<>>& members() const { return members_; }
  const std::string& name() const { return name_; }
  Life life() const { return life_; }
  std::size_t alive() const;            // oneself included; suspects count
  int doubt() const { return doubt_; }  // of oneself: 0 is none

 private:
  struct Suspicion {
    TimePoint since, until;
    std::vector<std::string> by;
  };
  struct Probe {  // of ours that is out
    std::string target;
    std::uint64_t number = 0;
    TimePoint ask_others, ends;
    bool asked = false, answered = false;
    std::size_t asked_of = 0, no_answers = 0;
  };
  struct Favour {  // a probe on another's behalf
    std::string asker, target;
    std::uint64_t their_number = 0;
    TimePoint until;
  };
  struct Telling {
    Rumour rumour;
    std::size_t told = 0;
  };

  double scale() const;  // of the logarithm of the fleet's size
  Duration patient(Duration span) const { return span * (1 + doubt_); }
  void doubt_self(int by);
  void learn(Rumour rumour, const std::string& from, bool whole, TimePoint now);
  void add_all(Message& message) const;
  void set(const std::string& name, Member& member, State state, Life life, TimePoint now);
  void suspect(const std::string& name, const std::string& by, TimePoint now);
  void tell(Rumour rumour);
  void deny(Life seen);
  Message filled(Message message);
  void send(const std::string& to, Message message);
  void probe_next(TimePoint now);
  void end_probe(TimePoint now);
  const std::string* next_target();
  std::vector<std::string> some(std::size_t count, const std::string& but);
  std::vector<Act> take() { return std::exchange(acts_, {}); }

  const std::string name_;
  const Bounds bounds_;
  std::mt19937_64 random_;
  Life life_;
  bool leaving_ = false, displaced_ = false;
  int doubt_ = 0;
  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, Suspicion, std::less<>> suspicions_;
  std::map<std::string, TimePoint, std::less<>> gone_;  // since when dead or left
  std::vector<Telling> telling_;
  std::vector<std::string> round_;  // whom this round has still to probe
  std::uint64_t number_ = 0, periods_ = 0;
  Probe probe_;
  std::map<std::uint64_t, Favour> favours_;  // by our number
  TimePoint next_probe_{}, ticked_{};
  std::vector<Act> acts_;
};

}  // namespace kelpdeal::membership
