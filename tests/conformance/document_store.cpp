// SPDX-License-Identifier: MIT
#include "document_store.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <sstream>

namespace kelpdeal::test {
namespace {

using json::Array;
using json::Object;
using json::Value;

struct RequestError {
  int status;
  std::string type, reason;
};

using DocumentList = std::vector<const Document*>;

Array values_of(const Document& document, const std::string& field) {
  if (field == "_id") return {document.id};
  const Value* found = document.source.find(field);
  if (!found) found = document.source.at(field);
  if (!found && field.ends_with(".raw")) found = document.source.find(field.substr(0, field.size() - 4));
  if (!found || found->is_null()) return {};
  return found->array() ? *found->array() : Array{*found};
}

std::vector<std::string> split_words(const Value& value) {
  std::vector<std::string> out;
  std::istringstream text(value.string() ? *value.string() : json::write(value));
  for (std::string word; text >> word;) {
    std::transform(word.begin(), word.end(), word.begin(), [](unsigned char c) { return std::tolower(c); });
    out.push_back(word);
  }
  return out;
}

int compare_values(const Value& a, const Value& b) {
  if (a.integer() && b.integer()) return *a.integer() < *b.integer() ? -1 : *a.integer() > *b.integer();
  if (a.number() && b.number()) return *a.number() < *b.number() ? -1 : *a.number() > *b.number();
  if (a.string() && b.string()) return a.string()->compare(*b.string());
  if (a.boolean() && b.boolean()) return int(*a.boolean()) - int(*b.boolean());
  return a.string() ? 1 : -1;
}

// The score of a document; empty if it does not match.
using Score = std::optional<double>;
Score score(const Value& query, const Document& document);

Array to_list(const Value* value) {
  if (!value) return {};
  return value->array() ? *value->array() : Array{*value};
}

Score score_bool(const Value& body, const Document& document) {
  double sum = 0;
  for (const Value& clause : to_list(body.find("must")))
    if (const Score s = score(clause, document))
      sum += *s;
    else
      return {};
  for (const Value& clause : to_list(body.find("filter")))
    if (!score(clause, document)) return {};
  for (const Value& clause : to_list(body.find("must_not")))
    if (score(clause, document)) return {};
  const Array should = to_list(body.find("should"));
  std::size_t matched = 0;
  for (const Value& clause : should)
    if (const Score s = score(clause, document)) ++matched, sum += *s;
  const bool others = body.find("must") || body.find("filter");
  const double minimum = body.number_or("minimum_should_match", should.empty() || others ? 0 : 1);
  if (static_cast<double>(matched) < minimum) return {};
  return sum;
}

Score score(const Value& query, const Document& document) {
  const auto& [kind, body] = query.object()->front();
  const double boost = body.number_or("boost", 1);
  if (kind == "match_all") return boost;
  if (kind == "match_none") return {};
  if (kind == "bool") return score_bool(body, document);
  if (kind == "constant_score") return score(*body.find("filter"), document) ? Score(boost) : Score();
  if (kind == "exists") return values_of(document, body.text_or("field", "")).empty() ? Score() : Score(1);
  if (kind == "ids") {
    for (const Value& id : *body.find("values")->array())
      if (id == Value(document.id)) return 1;
    return {};
  }
  if (kind == "query_string" || kind == "multi_match") {
    for (const std::string& word : split_words(*body.find("query")))
      for (const auto& [name, value] : *document.source.object())
        for (const std::string& own : split_words(value))
          if (own == word) return 1;
    return {};
  }
  if (kind == "dis_max") {
    Score best;
    for (const Value& clause : *body.find("queries")->array())
      if (const Score s = score(clause, document)) best = std::max(best.value_or(*s), *s);
    return best;
  }
  const auto& [field, spec] = body.object()->front();
  const Array values = values_of(document, field);
  const auto any = [&](auto&& test) { return std::any_of(values.begin(), values.end(), test); };
  const auto given = [&](const char* name) { return spec.object() ? *spec.find(name) : spec; };
  if (kind == "term") {
    const Value wanted = given("value");
    const double own = spec.number_or("boost", 1);
    return any([&](const Value& v) { return compare_values(v, wanted) == 0; }) ? Score(own) : Score();
  }
  if (kind == "terms") {
    for (const Value& wanted : *spec.array())
      if (any([&](const Value& v) { return compare_values(v, wanted) == 0; })) return 1;
    return {};
  }
  if (kind == "prefix") {
    const Value wanted = given("value");
    return any([&](const Value& v) { return v.string() && v.string()->starts_with(*wanted.string()); })
               ? Score(1)
               : Score();
  }
  if (kind == "match") {
    double sum = 0;
    for (const std::string& word : split_words(given("query")))
      for (const Value& v : values)
        for (const std::string& own : split_words(v)) sum += own == word;
    return sum > 0 ? Score(sum) : Score();
  }
  if (kind == "range") {
    const auto within = [&](const Value& v) {
      for (const auto& [bound, limit] : *spec.object()) {
        if (bound == "format" || bound == "boost") continue;
        const int order = compare_values(v, limit);
        if ((bound == "gt" && order <= 0) || (bound == "gte" && order < 0) || (bound == "lt" && order >= 0) ||
            (bound == "lte" && order > 0))
          return false;
      }
      return true;
    };
    return any(within) ? Score(1) : Score();
  }
  throw RequestError{400, "parsing_exception", "the node knows no query [" + kind + "]"};
}

// ---- sort ----
struct Key {
  std::string field;
  bool descending = false;
  Value missing = "_last";
};

std::vector<Key> parse_sort_keys(const Value* sort) {
  std::vector<Key> keys;
  for (const Value& entry : to_list(sort)) {
    Key key;
    if (entry.string()) {
      key.field = *entry.string();
      key.descending = key.field == "_score";
    } else {
      key.field = entry.object()->front().first;
      const Value& options = entry.object()->front().second;
      key.descending = (options.string() ? *options.string() : options.text_or("order", "asc")) == "desc";
      if (const Value* missing = options.find("missing")) key.missing = *missing;
    }
    keys.push_back(std::move(key));
  }
  return keys;
}

struct ScoredHit {
  const Document* document;
  double score;
  Array keys;
};

int compare_keys(const std::vector<Key>& keys, const Array& a, const Array& b) {
  for (std::size_t i = 0; i < keys.size(); ++i) {
    if (a[i].is_null() && b[i].is_null()) continue;
    if (a[i].is_null() || b[i].is_null()) {
      const bool first = keys[i].missing == Value("_first");
      return a[i].is_null() == first ? -1 : 1;
    }
    if (const int order = compare_values(a[i], b[i]); order != 0) return keys[i].descending ? -order : order;
  }
  return 0;
}

// ---- aggregations ----
Value aggregate(const Value& spec, const DocumentList& docs);

Object sub_aggregations(const Value& spec, const DocumentList& docs) {
  Object out;
  for (const char* name : {"aggs", "aggregations"})
    if (const Value* inside = spec.find(name))
      for (const auto& [key, one] : *inside->object()) out.emplace_back(key, aggregate(one, docs));
  return out;
}

std::string to_iso8601(double ms) {
  const auto whole = static_cast<std::int64_t>(std::floor(ms / 1000));
  std::time_t seconds = whole;
  std::tm fields_of_time{};
  gmtime_r(&seconds, &fields_of_time);
  char text[40];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &fields_of_time);
  char all[64];
  std::snprintf(all, sizeof all, "%s.%03dZ", text, static_cast<int>(ms - static_cast<double>(whole) * 1000));
  return all;
}

double month_start(double ms, int step) {
  std::time_t seconds = static_cast<std::time_t>(std::floor(ms / 1000));
  std::tm fields_of_time{};
  gmtime_r(&seconds, &fields_of_time);
  fields_of_time.tm_mday = 1;
  fields_of_time.tm_hour = fields_of_time.tm_min = fields_of_time.tm_sec = 0;
  fields_of_time.tm_mon += step;
  return static_cast<double>(timegm(&fields_of_time)) * 1000;
}

void sort_buckets(const Value* order, std::vector<std::pair<Value, Object>>& buckets, bool by_count) {
  struct By {
    std::string path;
    bool descending;
  };
  std::vector<By> all;
  for (const Value& one : to_list(order))
    all.push_back({one.object()->front().first, one.object()->front().second == Value("desc")});
  if (all.empty()) all.push_back(by_count ? By{"_count", true} : By{"_key", false});
  all.push_back({"_key", false});
  std::stable_sort(buckets.begin(), buckets.end(), [&](const auto& a, const auto& b) {
    for (const By& by : all) {
      int order = 0;
      if (by.path == "_key") {
        order = compare_values(a.first, b.first);
      } else {
        std::string path = by.path == "_count" ? "doc_count" : by.path;
        if (by.path != "_count" && path.find('.') == std::string::npos) path += ".value";
        for (char& c : path)
          if (c == '>') c = '.';
        const Value value_a = a.second, value_b = b.second;
        const Value *x = value_a.at(path), *y = value_b.at(path);
        const bool x_missing = !x || !x->number(), y_missing = !y || !y->number();
        if (x_missing != y_missing) return y_missing;
        if (!x_missing) order = *x->number() < *y->number() ? -1 : *x->number() > *y->number();
      }
      if (order != 0) return by.descending ? order > 0 : order < 0;
    }
    return false;
  });
}

Value metric(const std::string& kind, const Value& body, const DocumentList& docs) {
  double count = 0, sum = 0, sum_of_squares = 0;
  std::optional<double> min, max;
  for (const Document* document : docs)
    for (const Value& v : values_of(*document, body.text_or("field", ""))) {
      if (kind == "value_count") ++count;
      if (kind == "value_count" || !v.number()) continue;
      const double x = *v.number();
      ++count, sum += x, sum_of_squares += x * x;
      min = std::min(min.value_or(x), x);
      max = std::max(max.value_or(x), x);
    }
  const auto value = [](const std::optional<double>& v) { return v ? Value(*v) : Value(); };
  const Value mean = count > 0 ? Value(sum / count) : Value();
  if (kind == "value_count") return Object{{"value", count}};
  if (kind == "sum") return Object{{"value", sum}};
  if (kind == "min") return Object{{"value", value(min)}};
  if (kind == "max") return Object{{"value", value(max)}};
  if (kind == "avg") return Object{{"value", mean}};
  Object out{{"count", count}, {"min", value(min)}, {"max", value(max)}, {"avg", mean}, {"sum", sum}};
  if (kind == "stats") return out;
  const double variance = count > 0 ? sum_of_squares / count - sum / count * (sum / count) : 0;
  out.emplace_back("sum_of_squares", count > 0 ? Value(sum_of_squares) : Value());
  out.emplace_back("variance", count > 0 ? Value(variance) : Value());
  out.emplace_back("std_deviation", count > 0 ? Value(std::sqrt(std::max(0.0, variance))) : Value());
  return out;
}

Value terms(const Value& spec, const Value& body, const DocumentList& docs) {
  const std::string field = body.text_or("field", "");
  std::vector<std::pair<Value, DocumentList>> groups;
  for (const Document* document : docs) {
    Array values = values_of(*document, field);
    if (values.empty() && body.find("missing")) values = {*body.find("missing")};
    std::set<std::string> seen;
    for (const Value& v : values) {
      if (!seen.insert(json::write(v)).second) continue;
      const auto it = std::find_if(groups.begin(), groups.end(), [&](const auto& g) { return g.first == v; });
      if (it == groups.end())
        groups.emplace_back(v, DocumentList{document});
      else
        it->second.push_back(document);
    }
  }
  std::vector<std::pair<Value, Object>> buckets;
  for (const auto& [key, group] : groups) {
    if (static_cast<double>(group.size()) < body.number_or("min_doc_count", 1)) continue;
    Object bucket{{"key", key}, {"doc_count", static_cast<std::uint64_t>(group.size())}};
    for (auto& member : sub_aggregations(spec, group)) bucket.push_back(std::move(member));
    buckets.emplace_back(key, std::move(bucket));
  }
  sort_buckets(body.find("order"), buckets, true);
  const auto size = static_cast<std::size_t>(body.number_or("size", 10));
  double other = 0;
  Array out;
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    if (i < size)
      out.emplace_back(std::move(buckets[i].second));
    else
      other += Value(buckets[i].second).number_or("doc_count", 0);
  }
  return Object{
      {"doc_count_error_upper_bound", 0}, {"sum_other_doc_count", other}, {"buckets", std::move(out)}};
}

Value histogram(const std::string& kind, const Value& spec, const Value& body, const DocumentList& docs) {
  const bool dates = kind == "date_histogram";
  const std::string calendar = body.text_or("calendar_interval", "");
  const double offset = body.number_or("offset", 0);
  double interval = body.number_or("interval", 0);
  if (const std::string fixed = body.text_or("fixed_interval", ""); !fixed.empty())
    interval = std::stod(fixed) * (fixed.ends_with("d") ? 86'400'000.0 : 3'600'000.0);
  std::map<double, DocumentList> groups;
  for (const Document* document : docs)
    for (const Value& v : values_of(*document, body.text_or("field", ""))) {
      const double x = *v.number();
      groups[calendar.empty() ? std::floor((x - offset) / interval) * interval + offset : month_start(x, 0)]
          .push_back(document);
    }
  const double minimum = body.number_or("min_doc_count", 0);
  if (minimum == 0) {
    if (const Value* bounds = body.find("extended_bounds"))
      for (const char* side : {"min", "max"})
        groups[std::floor((bounds->number_or(side, 0) - offset) / interval) * interval + offset];
    if (!groups.empty()) {
      const double last = groups.rbegin()->first;
      for (double key = groups.begin()->first; key < last;
           key = calendar.empty() ? key + interval : month_start(key, 1))
        groups[key];
    }
  }
  std::vector<std::pair<Value, Object>> buckets;
  for (const auto& [key, group] : groups) {
    if (static_cast<double>(group.size()) < minimum) continue;
    Object bucket;
    if (dates) bucket.emplace_back("key_as_string", to_iso8601(key));
    bucket.emplace_back("key", key);
    bucket.emplace_back("doc_count", static_cast<std::uint64_t>(group.size()));
    for (auto& member : sub_aggregations(spec, group)) bucket.push_back(std::move(member));
    buckets.emplace_back(key, std::move(bucket));
  }
  sort_buckets(body.find("order"), buckets, false);
  Array out;
  for (auto& [key, bucket] : buckets) out.emplace_back(std::move(bucket));
  return Object{{"buckets", std::move(out)}};
}

DocumentList matching(const Value& query, const DocumentList& docs) {
  DocumentList out;
  for (const Document* document : docs)
    if (score(query, *document)) out.push_back(document);
  return out;
}

Value filter_bucket(const Value& spec, const DocumentList& docs) {
  Object out{{"doc_count", static_cast<std::uint64_t>(docs.size())}};
  for (auto& member : sub_aggregations(spec, docs)) out.push_back(std::move(member));
  return out;
}

Value aggregate(const Value& spec, const DocumentList& docs) {
  std::string kind;
  Value body;
  for (const auto& [name, value] : *spec.object())
    if (name != "aggs" && name != "aggregations" && name != "meta") kind = name, body = value;
  if (kind == "terms") return terms(spec, body, docs);
  if (kind == "histogram" || kind == "date_histogram") return histogram(kind, spec, body, docs);
  if (kind == "filter") return filter_bucket(spec, matching(body, docs));
  if (kind == "missing") {
    DocumentList without;
    for (const Document* document : docs)
      if (values_of(*document, body.text_or("field", "")).empty()) without.push_back(document);
    return filter_bucket(spec, without);
  }
  if (kind == "filters") {
    const Value& filters = *body.find("filters");
    DocumentList rest = docs;
    const auto one = [&](const Value& query) {
      const DocumentList in = matching(query, docs);
      std::erase_if(rest, [&](const Document* d) { return std::find(in.begin(), in.end(), d) != in.end(); });
      return filter_bucket(spec, in);
    };
    Array list;
    Object named;
    if (filters.array())
      for (const Value& query : *filters.array()) list.push_back(one(query));
    else
      for (const auto& [key, query] : *filters.object()) named.emplace_back(key, one(query));
    const bool other = body.flag_or("other_bucket", false) || body.find("other_bucket_key");
    if (other && filters.array()) list.push_back(filter_bucket(spec, rest));
    if (other && filters.object())
      named.emplace_back(body.text_or("other_bucket_key", "_other_"), filter_bucket(spec, rest));
    if (filters.array()) return Object{{"buckets", std::move(list)}};
    return Object{{"buckets", std::move(named)}};
  }
  if (kind == "range") {
    Array buckets;
    for (const Value& range : *body.find("ranges")->array()) {
      const Value *from = range.find("from"), *to = range.find("to");
      DocumentList in;
      for (const Document* document : docs)
        for (const Value& v : values_of(*document, body.text_or("field", "")))
          if ((!from || *v.number() >= *from->number()) && (!to || *v.number() < *to->number())) {
            in.push_back(document);
            break;
          }
      const auto side = [](const Value* v) {
        return v ? json::write(*v) + (v->integer() ? ".0" : "") : std::string("*");
      };
      Object bucket{{"key", range.text_or("key", side(from) + "-" + side(to))}};
      if (from) bucket.emplace_back("from", *from);
      if (to) bucket.emplace_back("to", *to);
      const Value filling = filter_bucket(spec, in);
      for (const auto& member : *filling.object()) bucket.push_back(member);
      buckets.emplace_back(std::move(bucket));
    }
    return Object{{"buckets", std::move(buckets)}};
  }
  return metric(kind, body, docs);
}

Value filter_source(const Value& source, const Value* wanted) {
  if (!wanted || !source.object()) return source;
  Array includes = wanted->array() || wanted->string() ? to_list(wanted) : to_list(wanted->find("includes"));
  Array excludes = wanted->object() ? to_list(wanted->find("excludes")) : Array{};
  Object out;
  const auto lists = [](const Array& names, const std::string& name) {
    return std::find(names.begin(), names.end(), Value(name)) != names.end();
  };
  for (const auto& [name, value] : *source.object())
    if ((includes.empty() || lists(includes, name)) && !lists(excludes, name)) out.emplace_back(name, value);
  return out;
}

std::size_t partition_hash(const std::string& id) {
  std::size_t hash = 5381;
  for (const char c : id) hash = hash * 33 + static_cast<unsigned char>(c);
  return hash;
}

Value answer(const Value& body, const std::vector<Document>& documents, const std::vector<int>& slices) {
  DocumentList all;
  for (const Document& document : documents)
    if (std::find(slices.begin(), slices.end(), document.slice) != slices.end()) all.push_back(&document);
  std::stable_sort(all.begin(), all.end(),
                   [](const Document* a, const Document* b) { return a->slice < b->slice; });
  const Value everything = Object{{"match_all", Object{}}};
  const Value* query = body.find("query");
  const std::vector<Key> keys = parse_sort_keys(body.find("sort"));
  std::vector<ScoredHit> found;
  DocumentList matched;
  std::size_t place = 0;
  for (const Document* document : all) {
    const Score s = score(query ? *query : everything, *document);
    if (!s || *s < body.number_or("min_score", -1)) continue;
    if (const Value* slice = body.find("slice"))
      if (partition_hash(document->id) % static_cast<std::size_t>(slice->number_or("max", 1)) !=
          static_cast<std::size_t>(slice->number_or("id", 0)))
        continue;
    if (const double terminate_after = body.number_or("terminate_after", 0);
        terminate_after > 0 && static_cast<double>(matched.size()) >= terminate_after)
      break;
    matched.push_back(document);
    if (const Value* post_filter = body.find("post_filter"); post_filter && !score(*post_filter, *document))
      continue;
    ScoredHit one{document, *s, {}};
    for (const Key& key : keys) {
      if (key.field == "_score")
        one.keys.emplace_back(*s);
      else if (key.field == "_doc")
        one.keys.emplace_back(static_cast<std::uint64_t>(place));
      else {
        Array values = values_of(*document, key.field);
        std::sort(values.begin(), values.end(),
                  [](const Value& a, const Value& b) { return compare_values(a, b) < 0; });
        if (!values.empty())
          one.keys.push_back(key.descending ? values.back() : values.front());
        else
          one.keys.push_back(key.missing == Value("_last") || key.missing == Value("_first") ? Value()
                                                                                             : key.missing);
      }
    }
    ++place;
    found.push_back(std::move(one));
  }
  const std::size_t total = found.size();
  std::stable_sort(found.begin(), found.end(), [&](const ScoredHit& a, const ScoredHit& b) {
    return keys.empty() ? a.score > b.score : compare_keys(keys, a.keys, b.keys) < 0;
  });
  std::optional<double> best;
  for (const ScoredHit& hit : found) best = std::max(best.value_or(hit.score), hit.score);
  if (const Value* after = body.find("search_after"))
    std::erase_if(found,
                  [&](const ScoredHit& hit) { return compare_keys(keys, hit.keys, *after->array()) <= 0; });
  const std::string group = body.text_or("collapse.field", "");
  if (!group.empty()) {
    std::set<std::string> seen;
    std::erase_if(found, [&](const ScoredHit& hit) {
      return !seen.insert(json::write(values_of(*hit.document, group))).second;
    });
  }
  const auto from = static_cast<std::size_t>(body.number_or("from", 0)),
             size = static_cast<std::size_t>(body.number_or("size", 10));
  const bool scored = keys.empty() || body.flag_or("track_scores", false) ||
                      std::any_of(keys.begin(), keys.end(), [](const Key& k) { return k.field == "_score"; });
  Array hits;
  for (std::size_t i = from; i < found.size() && i < from + size; ++i) {
    const ScoredHit& hit = found[i];
    Object hit_json{{"_index", "of-the-node"},
                    {"_id", hit.document->id},
                    {"_score", scored ? Value(hit.score) : Value()}};
    if (body.flag_or("version", false)) hit_json.emplace_back("_version", hit.document->version);
    if (body.flag_or("seq_no_primary_term", false)) {
      hit_json.emplace_back("_seq_no", hit.document->sequence);
      hit_json.emplace_back("_primary_term", 1);
    }
    const Value* source = body.find("_source");
    if (!source || *source != Value(false))
      hit_json.emplace_back(
          "_source", filter_source(hit.document->source, source && source->boolean() ? nullptr : source));
    Object fields;
    for (const char* list : {"docvalue_fields", "fields"})
      for (const Value& field : to_list(body.find(list))) {
        const std::string name = field.string() ? *field.string() : field.text_or("field", "");
        if (Array values = values_of(*hit.document, name); !values.empty())
          fields.emplace_back(name, std::move(values));
      }
    if (!group.empty())
      if (Array values = values_of(*hit.document, group); !values.empty())
        fields.emplace_back(group, std::move(values));
    if (!fields.empty()) hit_json.emplace_back("fields", std::move(fields));
    if (const Value* highlight = body.at("highlight.fields")) {
      Object marked;
      for (const auto& [name, options] : *highlight->object())
        for (const Value& v : values_of(*hit.document, name))
          if (v.string()) marked.emplace_back(name, Array{"<em>" + *v.string() + "</em>"});
      hit_json.emplace_back("highlight", std::move(marked));
    }
    if (!keys.empty()) hit_json.emplace_back("sort", hit.keys);
    hits.emplace_back(std::move(hit_json));
  }
  Object out{{"took", 1}, {"timed_out", false}};
  if (body.find("terminate_after"))
    out.emplace_back("terminated_early",
                     static_cast<double>(matched.size()) >= body.number_or("terminate_after", 0));
  out.emplace_back("_shards", Object{{"total", 1}, {"successful", 1}, {"skipped", 0}, {"failed", 0}});
  Object hits_json;
  const Value* track = body.find("track_total_hits");
  if (!track || *track != Value(false)) {
    const double limit = !track            ? 10'000
                         : track->number() ? *track->number()
                                           : std::numeric_limits<double>::infinity();
    const bool is_lower_bound = static_cast<double>(total) > limit;
    hits_json.emplace_back("total", Object{{"value", is_lower_bound ? limit : static_cast<double>(total)},
                                           {"relation", is_lower_bound ? "gte" : "eq"}});
  }
  hits_json.emplace_back("max_score", scored && best && size > 0 ? Value(*best) : Value());
  hits_json.emplace_back("hits", std::move(hits));
  out.emplace_back("hits", std::move(hits_json));
  const Value* aggs = body.find("aggs") ? body.find("aggs") : body.find("aggregations");
  if (aggs) {
    Object aggregations;
    for (const auto& [name, spec] : *aggs->object())
      aggregations.emplace_back(name, aggregate(spec, matched));
    out.emplace_back("aggregations", std::move(aggregations));
  }
  return out;
}

}  // namespace

Value DocumentStore::search(const std::string& text, const std::vector<int>& slices) const {
  std::string error;
  const auto body = json::parse(text, error, {128, 1'000'000});
  try {
    if (!body) throw RequestError{400, "parsing_exception", error};
    return answer(*body, documents_, slices);
  } catch (const RequestError& request_error) {
    const Object cause{{"type", request_error.type}, {"reason", request_error.reason}};
    return Object{{"error", Object{{"root_cause", Array{cause}},
                                   {"type", request_error.type},
                                   {"reason", request_error.reason}}},
                  {"status", request_error.status}};
  }
}

Value DocumentStore::write(const std::string& operation, int slice) {
  const std::size_t end = operation.find('\n');
  std::string error;
  const auto line = json::parse(operation.substr(0, end), error),
             source = json::parse(operation.substr(end + 1), error);
  if (!line || !source)
    return Object{{"status", 400}, {"error", Object{{"type", "parsing_exception"}, {"reason", error}}}};
  const auto& [action, options] = line->object()->front();
  const std::string id = options.text_or("_id", "");
  if (source->find("refuse"))
    return Object{{"status", 400},
                  {"error", Object{{"type", "mapper_parsing_exception"},
                                   {"reason", "failed to parse field [refuse]"}}}};
  for (Document& document : documents_) {
    if (document.id != id || document.slice != slice) continue;
    if (action == "create")
      return Object{{"status", 409},
                    {"error", Object{{"type", "version_conflict_engine_exception"},
                                     {"reason", "[" + id + "]: version conflict, document already exists"}}}};
    document.source = *source;
    document.sequence = ++sequence_;
    return Object{{"_id", id}, {"status", 200}, {"result", "updated"}, {"_version", ++document.version}};
  }
  documents_.push_back({id, slice, 1, ++sequence_, *source});
  return Object{{"_id", id}, {"status", 201}, {"result", "created"}, {"_version", 1}};
}

}  // namespace kelpdeal::test
