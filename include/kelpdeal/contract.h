// SPDX-License-Identifier: MIT
// What the teams in front of the broker have agreed with it: which index stands for which class and slices,
// who may ask for what, how often and how much at once. Read from a file of ours, which may name an OpenAPI
// description that carries the agreements.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cottonbay/balancer.h"
#include "kelpdeal/config.h"
#include "kelpdeal/json.h"
#include "kelpdeal/phases/prune.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

struct IndexContract {
  std::string name, class_name;
  int first_slice = 0, slices = 0;  // slices in a row
  std::string write_class{};  // of documents, if they may be read and written; empty: as class_name says
  struct Alias {
    std::string name;
    json::Value filter{};  // a query; null: none
  };
  std::vector<Alias> aliases{};
  bool hidden = false;       // patterns leave it out unless they ask for hidden ones
  std::string time_field{};  // holds when a document was recorded; cursors leave out what came after them
  std::vector<phases::FieldRanges>
      ranges{};              // of each slice, what the agreement says of its values; empty: nothing
  json::Value properties{};  // of the mapping: field to type and such
  json::Value settings{};    // shown as they are
};

struct TeamContract {
  std::string name;
  std::set<std::string> classes;
  double per_second = 0;  // 0: no bound
  double burst = 1;
  std::size_t concurrent = 0;  // 0: no bound
};

struct FrontContract {
  std::string listen;
  bool opensearch_nodes = false;  // the record nodes are spoken to in this API too
  // Bounds on what nodes and discovery may send; 0: those of Limits.
  std::size_t max_frame_bytes = 0, max_node_list_bytes = 0;
  std::string cursor_keys;         // the text of the file that holds them; empty: each start draws its own
  std::string version = "2.11.0";  // of the API, as clients are told
  std::vector<IndexContract> indices;
  std::vector<TeamContract> teams;  // none: anybody may ask for anything
};

// Throws ConfigError with one line that names the field.
FrontContract load_front_contract(const std::string& path, const cottonbay::Settings& settings);
// `agreements` are those with teams (of an OpenAPI description), `messages` those with nodes and discovery
// (of an AsyncAPI description); either may be the front file itself.
FrontContract parse_front_contract(const json::Value& file, const json::Value& agreements,
                                   const json::Value& messages, const cottonbay::Settings& settings);

// Where coordinators hold the teams' rates in common: asked in place of the bucket that each keeps for
// itself.
class SharedRateLimits {
 public:
  virtual ~SharedRateLimits() = default;
  // One request of the team: admitted, or when to come back.
  virtual bool admit(const std::string& team, TimePoint now, Duration& retry_after) = 0;
};

// Keeps teams to their budgets of rate and of requests at once.
class TeamQuotas {
 public:
  explicit TeamQuotas(std::vector<TeamContract> teams);
  // Must outlive the use of this.
  void set_shared_rate_limits(SharedRateLimits& rates) { rates_ = &rates; }

  // Held for as long as a request runs.
  class Permit {
   public:
    Permit(Permit&& other) noexcept : running_(std::exchange(other.running_, nullptr)) {}
    Permit& operator=(Permit&&) = delete;
    ~Permit() {
      if (running_) --*running_;
    }

   private:
    friend class TeamQuotas;
    explicit Permit(std::size_t* running) : running_(running) {}
    std::size_t* running_;
  };
  enum class Refusal { unknown_team, class_not_agreed, rate, concurrency };
  struct Decision {
    std::optional<Permit> permit;
    Refusal refusal = Refusal::unknown_team;  // if there is no permit
    Duration retry_after{};
  };
  Decision acquire(const std::string& team, const std::string& class_name, TimePoint now);

 private:
  struct TeamState {
    TeamContract contract;
    double tokens = 0;
    TimePoint last_refill{};
    std::size_t running = 0;
  };
  std::map<std::string, TeamState> teams_;
  std::size_t unbounded_ = 0;
  SharedRateLimits* rates_ = nullptr;
};

}  // namespace kelpdeal
