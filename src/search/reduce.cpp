// SPDX-License-Identifier: MIT
#include "kelpdeal/search/reduce.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <unordered_map>

namespace kelpdeal::search {
namespace {

std::optional<double> parse_number(std::string_view raw) {
  double value = 0;
  const auto parsed = std::from_chars(raw.data(), raw.data() + raw.size(), value);
  if (raw.empty() || parsed.ec != std::errc() || parsed.ptr != raw.data() + raw.size()) return std::nullopt;
  return value;
}

// The "hits" member of a search response and, within it, the list of hits.
struct HitsLocation {
  std::string_view hits, list;
};
std::optional<HitsLocation> find_hits(std::string_view value) {
  json::Scanner walk(value);
  if (!walk.is_object()) return std::nullopt;
  while (walk.next()) {
    if (walk.name() != "hits") continue;
    json::Scanner hits(walk.remaining());
    if (!hits.is_object()) return std::nullopt;
    while (hits.next())
      if (hits.name() == "hits" && json::Scanner(hits.remaining()).is_array())
        return HitsLocation{walk.remaining(), hits.remaining()};
    return std::nullopt;
  }
  return std::nullopt;
}

// An error response that blames the request (status 400 to 428): it is passed on to the client.
std::optional<ApiError> request_error_in(std::string_view value) {
  const auto error = json::member(value, "error"), status = json::member(value, "status");
  if (!error || !status || !json::Scanner(*error).is_object() || !json::valid(value)) return std::nullopt;
  std::string problem;
  const json::Value read = json::parse(*error, problem).value_or(json::Value());
  const double code = json::parse(*status, problem).value_or(json::Value()).number()
                          ? *json::parse(*status, problem)->number()
                          : 0;
  if (code < 400 || code >= 429) return std::nullopt;
  const json::Value* root_causes = read.find("root_cause");
  const json::Value& cause = root_causes && root_causes->array() && !root_causes->array()->empty()
                                 ? root_causes->array()->front()
                                 : read;
  return ApiError{static_cast<int>(code),
                  cause.text_or("type", "illegal_argument_exception"),
                  cause.text_or("reason", "a slice refused the request"),
                  {},
                  {}};
}

std::size_t count_sort_values(std::string_view hit) {
  const auto keys = json::member(hit, "sort");
  std::size_t count = 0;
  if (!keys) return count;
  json::Scanner walk(*keys);
  while (walk.next()) ++count;
  return count;
}

json::Array read_array(std::string_view raw) {
  std::string error;
  auto value = json::parse(raw, error);
  if (!value || !value->array()) return {};
  return std::move(*value->array());
}

}  // namespace

Reducer::Reducer(const SearchRequest& request, const AggregationBounds& bounds,
                 std::function<std::string(int)> index_of)
    : request_(request),
      index_of_(std::move(index_of)),
      max_hits_(request.window()),
      hits_are_last_needed_(
          request.aggregations.empty() &&
          std::none_of(request.passthrough_members.begin(), request.passthrough_members.end(),
                       [](const json::Member& member) { return member.first == "terminate_after"; })),
      aggregations_(request.aggregations, bounds) {}

bool Reducer::usable(int, int, const std::string& value) {
  const auto hits = find_hits(value);
  if (!hits && request_error_in(value)) return true;
  if (!hits) {
    // An untyped value has no sort values, counts or buckets, so it cannot be merged into such a search.
    return !request_.sorted() && request_.aggregations.empty() && request_.collapse_field.empty();
  }
  if (!json::valid(value)) return false;
  if (!request_.aggregations.empty()) {
    const auto aggregations = json::member(value, "aggregations");
    if (!aggregations || !AggregationReducer::usable(request_.aggregations, *aggregations)) return false;
  }
  if (!request_.sorted()) return true;
  // Only the first hit is checked for sort values here; a later hit without them is detected during the
  // merge.
  json::Scanner list(hits->list);
  return !list.next() || count_sort_values(list.raw()) == request_.sort.fields.size();
}

void Reducer::take(int step, int shard, double score, std::string value) {
  if (merge_error_) return;
  try {
    const auto hits = find_hits(value);
    if (auto request_error = hits ? std::nullopt : request_error_in(value)) {
      merge_error_ = std::move(request_error);
      return;
    }
    if (!hits) return add_untyped(step, shard, score, std::move(value));
    if (step > 1) return replace_hits(shard, hits->list);
    add_search_response(shard, value);
  } catch (const ApiError& error) {
    merge_error_ = error;
  }
}

// A later step fetches hits of an earlier one again, with their full content.
void Reducer::replace_hits(int shard, std::string_view hits) {
  std::unordered_multimap<std::string_view, Hit*> by_id;
  for (Hit& hit : top_hits_)
    if (hit.slice == shard && !hit.is_untyped) by_id.emplace(hit.id, &hit);
  json::Scanner walk(hits);
  while (walk.next()) {
    Hit fetched;
    if (!read_hit(walk.raw(), shard, 0, fetched)) continue;
    const auto [first, last] = by_id.equal_range(fetched.id);
    for (auto it = first; it != last; ++it) {
      it->second->raw = fetched.raw;
      write_hit(*it->second);
    }
    by_id.erase(first, last);  // a hit that is sent twice counts once
  }
}

void Reducer::add_search_response(int shard, std::string_view value) {
  json::Scanner walk(value);
  while (walk.next()) {
    if (walk.name() == "aggregations") {
      aggregations_.add(walk.remaining());
    } else if (walk.name() == "terminated_early") {
      terminated_early_ |= walk.raw() == "true";
    } else if (walk.name() == "hits") {
      json::Scanner hits(walk.remaining());
      bool seen_total = !request_.track_total, seen_max_score = false;
      while (hits.next()) {
        if (hits.name() == "total") read_total(hits.raw()), seen_total = true;
        if (hits.name() == "hits") {
          const char* end = merge(shard, hits.remaining());
          // Skips scanning the rest of a long list when nothing after it is needed.
          if (!end && seen_total && seen_max_score && hits_are_last_needed_) return;
          hits.skip_to(end);
        }
        seen_max_score |= hits.name() == "max_score";
        if (hits.name() == "max_score")
          if (const auto score = parse_number(hits.raw()))
            max_score_ = std::max(max_score_.value_or(*score), *score);
      }
      walk.skip_to(hits.end());
    }
  }
}

void Reducer::read_total(std::string_view raw) {
  std::string_view number = raw;
  if (json::Scanner(raw).is_object()) {
    number = json::member(raw, "value").value_or("0");
    total_is_lower_bound_ |= json::member(raw, "relation").value_or("") == "\"gte\"";
  }
  total_ += static_cast<std::uint64_t>(std::clamp(parse_number(number).value_or(0), 0.0, 9e15));
}

bool Reducer::read_hit(std::string_view raw, int shard, double score, Hit& hit) const {
  json::Scanner walk(raw);
  if (!walk.is_object()) return false;
  hit.raw = raw;
  hit.slice = shard;
  hit.score = score;
  while (walk.next()) {
    if (walk.name() == "_id")
      hit.id = json::unquote(walk.raw());
    else if (walk.name() == "_score")
      hit.score = parse_number(walk.raw()).value_or(score);
    else if (walk.name() == "sort" && request_.sorted())
      hit.sort_values = read_array(walk.raw());
    else if (walk.name() == "fields" && !request_.collapse_field.empty())
      hit.collapse_value = json::member(walk.raw(), request_.collapse_field).value_or("");
  }
  return true;
}

// Writes the hit as the client receives it: with the name of its index and the requested sort values.
void Reducer::write_hit(Hit& hit) const {
  const std::string_view raw = std::exchange(hit.raw, {});
  std::string out = "{\"_index\":" + json::quote(index_of_(hit.slice));
  out.reserve(raw.size() + out.size() + 2);
  json::Scanner walk(raw);
  while (walk.next()) {
    if (walk.name() == "_index") continue;
    if (walk.name() == "sort") {
      if (request_.visible_sort_keys == 0 && !request_.pit_id) continue;
      const std::size_t shown = request_.pit_id ? hit.sort_values.size() - 1 : request_.visible_sort_keys;
      out += ",\"sort\":[";
      json::Scanner keys(walk.raw());
      for (std::size_t i = 0; i < shown && keys.next(); ++i) out.append(i ? "," : "").append(keys.raw());
      // For a point in time, the marker from which the next page continues.
      if (request_.pit_id)
        out.append(shown ? "," : "").append(json::quote(std::to_string(hit.slice) + "/" + hit.id));
      out += ']';
      continue;
    }
    out.append(",\"").append(walk.name()).append("\":").append(walk.raw());
  }
  hit.text = out + "}";
}

bool Reducer::comes_before(const Hit& a, const Hit& b) const {
  if (request_.sorted()) {
    // The document's id is the last key of a total order; the slice is compared before it.
    const std::size_t keys = request_.sort.fields.size();
    const std::size_t leading_keys = request_.total_order ? keys - 1 : keys;
    if (const int order = compare(request_.sort, a.sort_values, b.sort_values, leading_keys); order != 0)
      return order < 0;
    if (request_.total_order && a.slice == b.slice)
      if (const int order = compare(request_.sort, a.sort_values, b.sort_values); order != 0)
        return order < 0;
  } else if (a.score != b.score) {
    return a.score > b.score;
  }
  return a.slice != b.slice ? a.slice < b.slice : a.rank < b.rank;
}

// Returns where the list ends, or null if it was not scanned to its end.
const char* Reducer::merge(int shard, std::string_view list) {
  Slice& slice = slices_[shard];
  std::vector<Hit> sorted;
  json::Scanner walk(list);
  bool in_order = true, no_better_left = false;
  while (walk.next()) {
    ++slice.returned;
    // A slice returns its best hits first: after one that is no better than all retained hits, none can be.
    no_better_left |= top_hits_.size() >= max_hits_ && !sorted.empty() && in_order &&
                      request_.collapse_field.empty() && !comes_before(sorted.back(), top_hits_.back());
    if (no_better_left && !request_.total_order) break;
    if (no_better_left) continue;  // only count the remaining hits
    Hit hit;
    const std::string_view raw = walk.raw();
    if (!read_hit(raw, shard, 0, hit)) continue;
    if (hit.sort_values.size() != request_.sort.fields.size())
      throw ApiError{
          500, "search_phase_execution_exception", "a slice gave a hit without its sort values", {}, {}};
    hit.rank = slice.returned;
    if (!sorted.empty() && comes_before(hit, sorted.back())) in_order = false;
    sorted.push_back(std::move(hit));
  }
  slice.exhausted = slice.returned < max_hits_;
  if (!in_order)
    std::stable_sort(sorted.begin(), sorted.end(),
                     [this](const Hit& a, const Hit& b) { return comes_before(a, b); });
  merge(std::move(sorted));
  return walk.end();
}

void Reducer::merge(std::vector<Hit> sorted) {
  if (sorted.empty()) return;
  std::vector<Hit> merged;
  merged.reserve(std::min(max_hits_, top_hits_.size() + sorted.size()));
  std::set<std::string_view> groups;
  std::size_t old_pos = 0, new_pos = 0;
  while (merged.size() < max_hits_ && (old_pos < top_hits_.size() || new_pos < sorted.size())) {
    const bool take_new = old_pos == top_hits_.size() ||
                          (new_pos < sorted.size() && comes_before(sorted[new_pos], top_hits_[old_pos]));
    Hit& next = take_new ? sorted[new_pos++] : top_hits_[old_pos++];
    if (take_new && !next.is_untyped) write_hit(next);
    merged.push_back(std::move(next));
    if (request_.collapse_field.empty()) continue;
    // Only the best hit of each group is retained; documents without the field form a group of their own.
    if (!groups.insert(merged.back().collapse_value).second) merged.pop_back();
  }
  top_hits_ = std::move(merged);
}

void Reducer::extract_untyped(std::vector<Hit>& out) {
  out.clear();
  for (Hit& hit : top_hits_)
    if (hit.is_untyped) out.push_back(std::move(hit));
  std::erase_if(top_hits_, [](const Hit& hit) { return hit.is_untyped; });
}

void Reducer::keep_first() {
  if (untyped_step_ < 2) return;
  std::vector<Hit> later;
  extract_untyped(later);
  untyped_count_ = first_untyped_count_;
  merge(std::exchange(first_untyped_, {}));
}

void Reducer::add_untyped(int step, int shard, double score, std::string value) {
  if (step > untyped_step_) {
    // Values of a later step replace those of the previous one.
    extract_untyped(first_untyped_);
    first_untyped_count_ = std::exchange(untyped_count_, 0);
    untyped_step_ = step;
  }
  std::vector<Hit> hits;
  if (json::Scanner list(value); list.is_array() && json::valid(value)) {
    while (list.next()) {
      Hit hit;
      if (!read_hit(list.raw(), shard, score, hit)) continue;
      write_hit(hit);
      hits.push_back(std::move(hit));
    }
  } else {
    Hit hit;
    hit.slice = shard;
    hit.score = score;
    hit.text = json::write(json::Object{{"_index", index_of_(shard)},
                                        {"_shard", shard},
                                        {"_score", score},
                                        {"_source", json::Object{{"body", std::move(value)}}}});
    hits.push_back(std::move(hit));
  }
  for (std::size_t i = 0; i < hits.size(); ++i) {
    hits[i].is_untyped = true;
    hits[i].rank = i;
    max_score_ = std::max(max_score_.value_or(hits[i].score), hits[i].score);
  }
  untyped_count_ += hits.size();
  std::stable_sort(hits.begin(), hits.end(),
                   [this](const Hit& a, const Hit& b) { return comes_before(a, b); });
  merge(std::move(hits));
}

Page Reducer::page(bool complete) const {
  if (merge_error_) throw *merge_error_;
  Page page;
  std::map<int, std::size_t> shown;
  for (std::size_t i = 0; i < top_hits_.size(); ++i) {
    ++shown[top_hits_[i].slice];
    if (i >= request_.from) page.hits.push_back(json::Raw{top_hits_[i].text});
  }
  page.total_hits = total_ + untyped_count_;
  if (request_.track_total) {
    bool is_lower_bound = total_is_lower_bound_ || !complete;
    if (request_.total_limit && page.total_hits > *request_.total_limit) {
      page.total_hits = *request_.total_limit;
      is_lower_bound = true;
    }
    page.total = request_.total_as_number
                     ? json::Value(page.total_hits)
                     : json::Value(json::Object{{"value", page.total_hits},
                                                {"relation", is_lower_bound ? "gte" : "eq"}});
  } else if (request_.total_as_number) {
    page.total = -1;
  }
  const bool scored =
      request_.visible_sort_keys == 0 || request_.track_scores || request_.sort.has_field("_score");
  if (scored && max_score_ && request_.size > 0) page.max_score = *max_score_;
  if (!request_.aggregations.empty()) page.aggregations = aggregations_.render(request_.typed_keys);
  page.terminated_early = terminated_early_;
  if (!request_.total_order) return page;
  if (!top_hits_.empty()) {
    const Hit& last = top_hits_.back();
    Position position{last.sort_values, last.slice, last.id};
    position.sort_values.pop_back();
    page.last_position = std::move(position);
  }
  for (const auto& [number, slice] : slices_)
    if (slice.exhausted && shown[number] == slice.returned) page.finished_slices.push_back(number);
  return page;
}

}  // namespace kelpdeal::search
