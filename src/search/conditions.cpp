// SPDX-License-Identifier: MIT
#include "kelpdeal/search/conditions.h"

#include <algorithm>

namespace kelpdeal::search {
namespace {

using Conditions = std::vector<phases::Condition>;

void collect(const json::Value& query, Conditions& out);

void collect_each(const json::Value* clauses, Conditions& out) {
  if (!clauses) return;
  if (const json::Array* list = clauses->array())
    for (const json::Value& clause : *list) collect(clause, out);
  else
    collect(*clauses, out);
}

void collect_range(const std::string& field, const json::Value& bounds, Conditions& out) {
  if (!bounds.object()) return;
  phases::Interval interval;
  for (const auto& [name, value] : *bounds.object()) {
    if (name == "boost" || name == "_name") continue;
    const double* number = value.number();
    if (!number) return;  // dates, strings and `relation` are not evaluated
    if (name == "gt" || name == "gte")
      interval.min = std::max(interval.min, *number);
    else if (name == "lt" || name == "lte")
      interval.max = std::min(interval.max, *number);
    else
      return;
  }
  out.push_back({field, {interval}});
}

void collect_terms(const std::string& field, const json::Array& values, Conditions& out) {
  phases::Condition condition{field, {}};
  for (const json::Value& value : values) {
    const double* number = value.number();
    if (!number) return;
    condition.any_of.push_back({*number, *number});
  }
  out.push_back(std::move(condition));
}

void collect(const json::Value& query, Conditions& out) {
  if (!query.object() || query.object()->size() != 1) return;
  const auto& [kind, body] = query.object()->front();
  if (!body.object()) return;
  if (kind == "bool") {
    collect_each(body.find("must"), out);
    collect_each(body.find("filter"), out);
  } else if (kind == "constant_score") {
    collect_each(body.find("filter"), out);
  } else if (kind == "range" || kind == "term" || kind == "terms") {
    for (const auto& [field, value] : *body.object()) {
      if (kind == "range") {
        collect_range(field, value, out);
      } else if (kind == "terms") {
        if (value.array()) collect_terms(field, *value.array(), out);
      } else if (value.number()) {
        collect_terms(field, {value}, out);
      } else if (const json::Value* term = value.object() ? value.find("value") : nullptr) {
        if (term->number()) collect_terms(field, {*term}, out);
      }
    }
  }
}

}  // namespace

Conditions numeric_conditions(const json::Value& query) {
  Conditions out;
  collect(query, out);
  return out;
}

}  // namespace kelpdeal::search
