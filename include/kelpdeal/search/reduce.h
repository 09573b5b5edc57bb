// SPDX-License-Identifier: MIT
// Puts the slices' answers to one search together as they come in. It holds the best `from + size` hits so
// far, never those of all slices, and a hit as the text that its slice gave.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kelpdeal/part_sink.h"
#include "kelpdeal/search/aggregations.h"
#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/request.h"

namespace kelpdeal::search {

// What is put together at the end.
struct Page {
  json::Array hits;       // from `from` on, at most `size`
  json::Value total;      // as the API writes it; null if not asked for
  json::Value max_score;  // null unless scores count
  std::optional<json::Object> aggregations;
  bool terminated_early = false;
  std::optional<Position> last;      // of the last hit shown; in a total order only
  std::vector<int> finished_slices;  // slices that have nothing behind what is shown; in a total order only
  std::uint64_t counted = 0;         // the total as a number
};

class Reducer : public PartSink {
 public:
  // `index_of` names the index that a slice's hits belong to. The request has to outlive the reducer.
  Reducer(const SearchRequest& request, const AggregationBounds& bounds,
          std::function<std::string(int)> index_of);

  // A slice's answer is one of: a search's answer in this API (an object with "hits.hits"), a list of hits,
  // or any other text, which is one hit. The latter two have no sort values and no aggregations.
  bool usable(int step, int shard, const std::string& value) override;
  void take(int step, int shard, double score, std::string value) override;
  void keep_first() override;

  // `whole`: every slice is in. Throws ApiError if the answers do not go together.
  Page page(bool whole) const;
  std::size_t hit_count() const { return top_.size(); }

 private:
  struct Hit {
    json::Array keys;
    double score = 0;
    int slice = 0;
    std::size_t rank = 0;  // in its slice
    std::string id, text;
    std::string_view raw;  // only while a slice is taken
    std::string group;
    bool plain = false;  // of a slice that speaks no search API
  };
  void take_search(int shard, std::string_view value);
  void take_plain(int step, int shard, double score, std::string value);
  void take_out_plain(std::vector<Hit>& out);
  void replace(int shard, std::string_view hits);
  void read_total(std::string_view raw);
  bool read_hit(std::string_view raw, int shard, double score, Hit& hit) const;
  void write_hit(Hit& hit) const;
  bool before(const Hit& a, const Hit& b) const;
  const char* merge(int shard, std::string_view hits);
  void merge(std::vector<Hit> sorted);

  const SearchRequest& request_;
  const std::function<std::string(int)> index_of_;
  const std::size_t most_;
  const bool last_wanted_;  // hits are the last that is wanted of a slice's answer
  std::vector<Hit> top_;    // sorted
  AggregationReducer aggregations_;
  std::uint64_t total_ = 0;
  bool total_above_ = false, terminated_early_ = false;
  std::optional<double> max_score_;
  int plain_step_ = 0;
  std::uint64_t plain_count_ = 0;
  std::vector<Hit> first_plain_;  // what the first step found, once a later one takes its place
  std::uint64_t first_plain_count_ = 0;
  struct Slice {
    std::size_t given = 0;
    bool short_of = false;  // it gave fewer than asked: there are no more
  };
  std::map<int, Slice> slices_;
  std::optional<ApiError> conflict_;
};

}  // namespace kelpdeal::search
