// SPDX-License-Identifier: MIT
// The contracts of the OpenSearch-style front: which index maps to which class and slices, and which team may
// use which classes, at what rate and with how many concurrent requests. Read from the front file, which may
// refer to an OpenAPI and an AsyncAPI description that contain the contracts.
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

// An index that the front offers, as a name for a class and a range of slices.
struct IndexContract {
  std::string name, class_name;
  int first_slice = 0, slices = 0;  // consecutive slices
  // Class of single-document reads and writes; empty: class_name.
  std::string write_class{};
  struct Alias {
    std::string name;
    json::Value filter{};  // a query; null: no filter
  };
  std::vector<Alias> aliases{};
  bool hidden = false;  // name patterns skip it unless they include hidden indices
  // Field with the time at which a document was recorded; cursors skip documents recorded after their start.
  std::string time_field{};
  std::vector<phases::FieldRanges> ranges{};  // agreed value ranges by slice; empty: none
  json::Value properties{};                   // properties of the mapping: types etc. by field
  json::Value settings{};                     // returned to clients unchanged
};

// What a team may use: classes, request rate (a token bucket) and concurrent requests.
struct TeamContract {
  std::string name;
  std::set<std::string> classes;
  double per_second = 0;  // 0: unlimited
  double burst = 1;
  std::size_t concurrent = 0;  // 0: unlimited
};

// The complete front file.
struct FrontContract {
  std::string listen;
  bool opensearch_nodes = false;  // the record nodes use this API too
  // Limits for data from nodes and discovery; 0: those of Limits.
  std::size_t max_frame_bytes = 0, max_node_list_bytes = 0;
  std::string cursor_keys;         // contents of the key file; empty: each start generates its own keys
  std::string version = "2.11.0";  // API version reported to clients
  std::vector<IndexContract> indices;
  std::vector<TeamContract> teams;  // empty: no restrictions
};

// Throws ConfigError with one line that names the invalid field.
FrontContract load_front_contract(const std::string& path, const cottonbay::Settings& settings);
// `agreements` are the contracts with teams (from an OpenAPI description), `messages` those with nodes and
// discovery (from an AsyncAPI description); either may be the front file itself.
FrontContract parse_front_contract(const json::Value& file, const json::Value& agreements,
                                   const json::Value& messages, const cottonbay::Settings& settings);

// Rate limits of teams, shared by all coordinators of a fleet. Replaces the local token buckets.
class SharedRateLimits {
 public:
  virtual ~SharedRateLimits() = default;
  // Admits one request of the team, or sets `retry_after`.
  virtual bool admit(const std::string& team, TimePoint now, Duration& retry_after) = 0;
};

// Enforces the teams' limits on request rate and concurrent requests.
class TeamQuotas {
 public:
  explicit TeamQuotas(std::vector<TeamContract> teams);
  // `rates` must outlive this object.
  void set_shared_rate_limits(SharedRateLimits& rates) { shared_rates_ = &rates; }

  // Counts a request as running for as long as the permit exists.
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
    Refusal refusal = Refusal::unknown_team;  // only valid without a permit
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
  std::size_t unlimited_ = 0;
  SharedRateLimits* shared_rates_ = nullptr;
};

}  // namespace kelpdeal
