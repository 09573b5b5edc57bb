// SPDX-License-Identifier: MIT
#include "kelpdeal/search/conditions.h"

#include <algorithm>

namespace kelpdeal::search {
namespace {

using Conditions = std::vector<phases::Condition>;

void read(const json::Value& query, Conditions& out);

void read_each(const json::Value* clauses, Conditions& out) {
  if (!clauses) return;
  if (const json::Array* list = clauses->array())
    for (const json::Value& clause : *list) read(clause, out);
  else
    read(*clauses, out);
}

void read_range(const std::string& field, const json::Value& bounds, Conditions& out) {
  if (!bounds.object()) return;
  phases::Interval interval;
  for (const auto& [name, value] : *bounds.object()) {
    if (name == "boost" || name == "_name") continue;
    const double* number = value.number();
    if (!number) return;  // dates, texts, relations of ranges
    if (name == "gt" || name == "gte")
      interval.least = std::max(interval.least, *number);
    else if (name == "lt" || name == "lte")
      interval.most = std::min(interval.most, *number);
    else
      return;
  }
  out.push_back({field, {interval}});
}

void read_terms(const std::string& field, const json::Array& values, Conditions& out) {
  phases::Condition condition{field, {}};
  for (const json::Value& value : values) {
    const double* number = value.number();
    if (!number) return;
    condition.any_of.push_back({*number, *number});
  }
  out.push_back(std::move(condition));
}

void read(const json::Value& query, Conditions& out) {
  if (!query.object() || query.object()->size() != 1) return;
  const auto& [kind, body] = query.object()->front();
  if (!body.object()) return;
  if (kind == "bool") {
    read_each(body.find("must"), out);
    read_each(body.find("filter"), out);
  } else if (kind == "constant_score") {
    read_each(body.find("filter"), out);
  } else if (kind == "range" || kind == "term" || kind == "terms") {
    for (const auto& [field, value] : *body.object()) {
      if (kind == "range") {
        read_range(field, value, out);
      } else if (kind == "terms") {
        if (value.array()) read_terms(field, *value.array(), out);
      } else if (value.number()) {
        read_terms(field, {value}, out);
      } else if (const json::Value* term = value.object() ? value.find("value") : nullptr) {
        if (term->number()) read_terms(field, {*term}, out);
      }
    }
  }
}

}  // namespace

Conditions numeric_conditions(const json::Value& query) {
  Conditions out;
  read(query, out);
  return out;
}

}  // namespace kelpdeal::search
