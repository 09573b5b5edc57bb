// SPDX-License-Identifier: MIT
// Merges the slices' responses to one search as they arrive. Holds at most the best `from + size` hits so
// far, and each hit as the JSON text to be returned.
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

// The merged result.
struct Page {
  json::Array hits;       // `size` hits at most, starting at `from`
  json::Value total;      // as in the API's response; null if not requested
  json::Value max_score;  // null unless scores are computed
  std::optional<json::Object> aggregations;
  bool terminated_early = false;
  std::optional<Position> last_position;  // position of the last hit on the page; only with a total order
  std::vector<int> finished_slices;  // slices without further hits after this page; only with a total order
  std::uint64_t total_hits = 0;
};

class Reducer : public PartSink {
 public:
  // `index_of` returns the name of the index that a slice belongs to. The request must outlive the reducer.
  Reducer(const SearchRequest& request, const AggregationBounds& bounds,
          std::function<std::string(int)> index_of);

  // A slice's value is one of: a search response of this API (an object with "hits.hits"), a list of hits, or
  // any other text, which counts as one hit. The latter two (untyped values) have no sort values and no
  // aggregations.
  bool usable(int step, int shard, const std::string& value) override;
  void take(int step, int shard, double score, std::string value) override;
  void keep_first() override;

  // `complete`: every slice has responded. Throws ApiError if the responses are incompatible.
  Page page(bool complete) const;
  std::size_t hit_count() const { return top_hits_.size(); }

 private:
  struct Hit {
    json::Array sort_values;
    double score = 0;
    int slice = 0;
    std::size_t rank = 0;  // position among the hits of its slice
    std::string id, text;
    std::string_view raw;  // valid only while a slice's value is being merged
    std::string collapse_value;
    bool is_untyped = false;  // from an untyped value
  };
  void add_search_response(int shard, std::string_view value);
  void add_untyped(int step, int shard, double score, std::string value);
  void extract_untyped(std::vector<Hit>& out);
  void replace_hits(int shard, std::string_view hits);
  void read_total(std::string_view raw);
  bool read_hit(std::string_view raw, int shard, double score, Hit& hit) const;
  void write_hit(Hit& hit) const;
  bool comes_before(const Hit& a, const Hit& b) const;
  const char* merge(int shard, std::string_view hits);
  void merge(std::vector<Hit> sorted);

  const SearchRequest& request_;
  const std::function<std::string(int)> index_of_;
  const std::size_t max_hits_;
  const bool hits_are_last_needed_;  // nothing after the list of hits in a slice's response is needed
  std::vector<Hit> top_hits_;
  AggregationReducer aggregations_;
  std::uint64_t total_ = 0;
  bool total_is_lower_bound_ = false, terminated_early_ = false;
  std::optional<double> max_score_;
  int untyped_step_ = 0;
  std::uint64_t untyped_count_ = 0;
  std::vector<Hit> first_untyped_;  // hits of the first step, kept once a later step replaces them
  std::uint64_t first_untyped_count_ = 0;
  struct Slice {
    std::size_t returned = 0;
    bool exhausted = false;  // it returned fewer hits than requested: there are no more
  };
  std::map<int, Slice> slices_;
  std::optional<ApiError> merge_error_;
};

}  // namespace kelpdeal::search
