// SPDX-License-Identifier: MIT
#include "kelpdeal/search/reduce.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace kelpdeal::search {
namespace {

std::optional<double> number_in(std::string_view raw) {
  double value = 0;
  const auto got = std::from_chars(raw.data(), raw.data() + raw.size(), value);
  if (raw.empty() || got.ec != std::errc() || got.ptr != raw.data() + raw.size()) return std::nullopt;
  return value;
}

// Where "hits" of a search's answer begin, and in them their list, if it is one.
struct Found {
  std::string_view hits, list;
};
std::optional<Found> hits_of(std::string_view value) {
  json::Walk walk(value);
  if (!walk.is_object()) return std::nullopt;
  while (walk.next()) {
    if (walk.name() != "hits") continue;
    json::Walk hits(walk.from_here());
    if (!hits.is_object()) return std::nullopt;
    while (hits.next())
      if (hits.name() == "hits" && json::Walk(hits.from_here()).is_array())
        return Found{walk.from_here(), hits.from_here()};
    return std::nullopt;
  }
  return std::nullopt;
}

// A slice that says that the request is at fault: its answer is the client's.
std::optional<ApiError> fault_of(std::string_view value) {
  const auto error = json::member(value, "error"), status = json::member(value, "status");
  if (!error || !status || !json::Walk(*error).is_object() || !json::valid(value)) return std::nullopt;
  std::string problem;
  const json::Value read = json::parse(*error, problem).value_or(json::Value());
  const double code = json::parse(*status, problem).value_or(json::Value()).number()
                          ? *json::parse(*status, problem)->number()
                          : 0;
  if (code < 400 || code >= 429) return std::nullopt;
  const json::Value* cause = read.find("root_cause");
  const json::Value& told =
      cause && cause->array() && !cause->array()->empty() ? cause->array()->front() : read;
  return ApiError{static_cast<int>(code),
                  told.text_or("type", "illegal_argument_exception"),
                  told.text_or("reason", "a slice refused the request"),
                  {},
                  {}};
}

std::size_t keys_in(std::string_view hit) {
  const auto keys = json::member(hit, "sort");
  std::size_t count = 0;
  if (!keys) return count;
  json::Walk walk(*keys);
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
      most_(request.window()),
      last_wanted_(
          request.aggregations.empty() &&
          std::none_of(request.passthrough_members.begin(), request.passthrough_members.end(),
                       [](const json::Member& member) { return member.first == "terminate_after"; })),
      aggregations_(request.aggregations, bounds) {}

bool Reducer::usable(int, int, const std::string& value) {
  const auto hits = hits_of(value);
  if (!hits && fault_of(value)) return true;
  if (!hits) {
    // Guards against a wrong order: text of a node's own has no sort values, counts or buckets.
    return !request_.sorted() && request_.aggregations.empty() && request_.collapse_field.empty();
  }
  if (!json::valid(value)) return false;
  if (!request_.aggregations.empty()) {
    const auto aggregations = json::member(value, "aggregations");
    if (!aggregations || !AggregationReducer::usable(request_.aggregations, *aggregations)) return false;
  }
  if (!request_.sorted()) return true;
  // The first hit shows whether the slice gives sort values; a later one without is found out as it is
  // merged.
  json::Walk list(hits->list);
  return !list.next() || keys_in(list.raw()) == request_.sort.fields.size();
}

void Reducer::take(int step, int shard, double score, std::string value) {
  try {
    const auto hits = hits_of(value);
    if (auto fault = hits ? std::nullopt : fault_of(value)) {
      if (!conflict_) conflict_ = std::move(fault);
      return;
    }
    if (!hits) return take_plain(step, shard, score, std::move(value));
    if (step > 1) return replace(shard, hits->list);
    take_search(shard, value);
  } catch (const ApiError& error) {
    if (!conflict_) conflict_ = error;
  }
}

// A later step fetches again what an earlier one found.
void Reducer::replace(int shard, std::string_view hits) {
  json::Walk walk(hits);
  while (walk.next()) {
    Hit fetched;
    if (!read_hit(walk.raw(), shard, 0, fetched)) continue;
    for (Hit& hit : top_)
      if (hit.slice == shard && hit.id == fetched.id && !hit.plain) {
        hit.raw = fetched.raw;
        write_hit(hit);
      }
  }
}

void Reducer::take_search(int shard, std::string_view value) {
  json::Walk walk(value);
  while (walk.next()) {
    if (walk.name() == "aggregations") {
      aggregations_.add(walk.from_here());
    } else if (walk.name() == "terminated_early") {
      terminated_early_ |= walk.raw() == "true";
    } else if (walk.name() == "hits") {
      json::Walk hits(walk.from_here());
      bool total = !request_.track_total, best = false;
      while (hits.next()) {
        if (hits.name() == "total") read_total(hits.raw()), total = true;
        if (hits.name() == "hits") {
          const char* end = merge(shard, hits.from_here());
          // What is left of a long list is not passed over where nothing behind it is wanted.
          if (!end && total && best && last_wanted_) return;
          hits.ended_at(end);
        }
        best |= hits.name() == "max_score";
        if (hits.name() == "max_score")
          if (const auto score = number_in(hits.raw()))
            max_score_ = std::max(max_score_.value_or(*score), *score);
      }
      walk.ended_at(hits.end());
    }
  }
}

void Reducer::read_total(std::string_view raw) {
  std::string_view number = raw;
  if (json::Walk(raw).is_object()) {
    number = json::member(raw, "value").value_or("0");
    total_above_ |= json::member(raw, "relation").value_or("") == "\"gte\"";
  }
  total_ += static_cast<std::uint64_t>(std::clamp(number_in(number).value_or(0), 0.0, 9e15));
}

bool Reducer::read_hit(std::string_view raw, int shard, double score, Hit& hit) const {
  json::Walk walk(raw);
  if (!walk.is_object()) return false;
  hit.raw = raw;
  hit.slice = shard;
  hit.score = score;
  while (walk.next()) {
    if (walk.name() == "_id")
      hit.id = json::unquote(walk.raw());
    else if (walk.name() == "_score")
      hit.score = number_in(walk.raw()).value_or(score);
    else if (walk.name() == "sort" && request_.sorted())
      hit.keys = read_array(walk.raw());
    else if (walk.name() == "fields" && !request_.collapse_field.empty())
      hit.group = json::member(walk.raw(), request_.collapse_field).value_or("");
  }
  return true;
}

// The hit as the client sees it: under its index's name, with the sort values that were asked for.
void Reducer::write_hit(Hit& hit) const {
  const std::string_view raw = std::exchange(hit.raw, {});
  std::string out = "{\"_index\":" + json::quote(index_of_(hit.slice));
  out.reserve(raw.size() + out.size() + 2);
  json::Walk walk(raw);
  while (walk.next()) {
    if (walk.name() == "_index") continue;
    if (walk.name() == "sort") {
      if (request_.visible_sort_keys == 0 && !request_.pit_id) continue;
      const std::size_t shown = request_.pit_id ? hit.keys.size() - 1 : request_.visible_sort_keys;
      out += ",\"sort\":[";
      json::Walk keys(walk.raw());
      for (std::size_t i = 0; i < shown && keys.next(); ++i) out.append(i ? "," : "").append(keys.raw());
      // Of a point in time, the mark that the next page goes on from.
      if (request_.pit_id)
        out.append(shown ? "," : "").append(json::quote(std::to_string(hit.slice) + "/" + hit.id));
      out += ']';
      continue;
    }
    out.append(",\"").append(walk.name()).append("\":").append(walk.raw());
  }
  hit.text = out + "}";
}

bool Reducer::before(const Hit& a, const Hit& b) const {
  if (request_.sorted()) {
    // The document's id is the last key of a total order; the slice counts before it.
    const std::size_t keys = request_.sort.fields.size();
    const std::size_t leading = request_.total_order ? keys - 1 : keys;
    if (const int order = compare(request_.sort, a.keys, b.keys, leading); order != 0) return order < 0;
    if (request_.total_order && a.slice == b.slice)
      if (const int order = compare(request_.sort, a.keys, b.keys); order != 0) return order < 0;
  } else if (a.score != b.score) {
    return a.score > b.score;
  }
  return a.slice != b.slice ? a.slice < b.slice : a.rank < b.rank;
}

// Gives where the list ends, if all of it was looked at.
const char* Reducer::merge(int shard, std::string_view list) {
  Slice& slice = slices_[shard];
  std::vector<Hit> sorted;
  json::Walk walk(list);
  bool in_order = true, over = false;
  while (walk.next()) {
    ++slice.given;
    // A slice gives its best first: behind one that is no better than all we hold, none is.
    over |= top_.size() >= most_ && !sorted.empty() && in_order && request_.collapse_field.empty() &&
            !before(sorted.back(), top_.back());
    if (over && !request_.total_order) break;
    if (over) continue;  // still counted
    Hit hit;
    const std::string_view raw = walk.raw();
    if (!read_hit(raw, shard, 0, hit)) continue;
    if (hit.keys.size() != request_.sort.fields.size())
      throw ApiError{
          500, "search_phase_execution_exception", "a slice gave a hit without its sort values", {}, {}};
    hit.rank = slice.given;
    if (!sorted.empty() && before(hit, sorted.back())) in_order = false;
    sorted.push_back(std::move(hit));
  }
  slice.short_of = slice.given < most_;
  if (!in_order)
    std::stable_sort(sorted.begin(), sorted.end(),
                     [this](const Hit& a, const Hit& b) { return before(a, b); });
  merge(std::move(sorted));
  return walk.end();
}

void Reducer::merge(std::vector<Hit> sorted) {
  if (sorted.empty()) return;
  std::vector<Hit> merged;
  merged.reserve(std::min(most_, top_.size() + sorted.size()));
  std::set<std::string_view> groups;
  std::size_t a = 0, b = 0;
  while (merged.size() < most_ && (a < top_.size() || b < sorted.size())) {
    const bool fresh = a == top_.size() || (b < sorted.size() && before(sorted[b], top_[a]));
    Hit& next = fresh ? sorted[b++] : top_[a++];
    if (fresh && !next.plain) write_hit(next);
    merged.push_back(std::move(next));
    if (request_.collapse_field.empty()) continue;
    // Of each group only the best is shown; a missing value is a group too.
    if (!groups.insert(merged.back().group).second) merged.pop_back();
  }
  top_ = std::move(merged);
}

void Reducer::take_out_plain(std::vector<Hit>& out) {
  out.clear();
  for (Hit& hit : top_)
    if (hit.plain) out.push_back(std::move(hit));
  std::erase_if(top_, [](const Hit& hit) { return hit.plain; });
}

void Reducer::keep_first() {
  if (plain_step_ < 2) return;
  std::vector<Hit> later;
  take_out_plain(later);
  plain_count_ = first_plain_count_;
  merge(std::exchange(first_plain_, {}));
}

void Reducer::take_plain(int step, int shard, double score, std::string value) {
  if (step > plain_step_) {
    // Values of a later step take the place of those of the one before.
    take_out_plain(first_plain_);
    first_plain_count_ = std::exchange(plain_count_, 0);
    plain_step_ = step;
  }
  std::vector<Hit> hits;
  if (json::Walk list(value); list.is_array() && json::valid(value)) {
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
    hits[i].plain = true;
    hits[i].rank = i;
    max_score_ = std::max(max_score_.value_or(hits[i].score), hits[i].score);
  }
  plain_count_ += hits.size();
  std::stable_sort(hits.begin(), hits.end(), [this](const Hit& a, const Hit& b) { return before(a, b); });
  merge(std::move(hits));
}

Page Reducer::page(bool whole) const {
  if (conflict_) throw *conflict_;
  Page page;
  std::map<int, std::size_t> shown;
  for (std::size_t i = 0; i < top_.size(); ++i) {
    ++shown[top_[i].slice];
    if (i >= request_.from) page.hits.push_back(json::Raw{top_[i].text});
  }
  page.counted = total_ + plain_count_;
  if (request_.track_total) {
    bool above = total_above_ || !whole;
    if (request_.total_limit && page.counted > *request_.total_limit) {
      page.counted = *request_.total_limit;
      above = true;
    }
    page.total = request_.total_as_number
                     ? json::Value(page.counted)
                     : json::Value(json::Object{{"value", page.counted}, {"relation", above ? "gte" : "eq"}});
  } else if (request_.total_as_number) {
    page.total = -1;
  }
  const bool scored =
      request_.visible_sort_keys == 0 || request_.track_scores || request_.sort.names("_score");
  if (scored && max_score_ && request_.size > 0) page.max_score = *max_score_;
  if (!request_.aggregations.empty()) page.aggregations = aggregations_.render(request_.typed_keys);
  page.terminated_early = terminated_early_;
  if (!request_.total_order) return page;
  if (!top_.empty()) {
    const Hit& last = top_.back();
    Position position{last.keys, last.slice, last.id};
    position.keys.pop_back();
    page.last = std::move(position);
  }
  for (const auto& [number, slice] : slices_)
    if (slice.short_of && shown[number] == slice.given) page.finished_slices.push_back(number);
  return page;
}

}  // namespace kelpdeal::search
