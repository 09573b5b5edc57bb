// SPDX-License-Identifier: MIT
#include "kelpdeal/search/sort.h"

#include <algorithm>
#include <limits>

#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/compare.h"
#include "kelpdeal/search/parameters.h"

namespace kelpdeal::search {
namespace {

constexpr const char* kKnownOptions[] = {"order",         "missing",         "unmapped_type", "mode",
                                         "nested",        "numeric_type",    "format",        "unit",
                                         "distance_type", "ignore_unmapped", "script",        "type"};

bool read_order(const json::Value& order) {
  const std::string* text = order.string();
  if (text && (*text == "desc" || *text == "DESC")) return true;
  if (text && (*text == "asc" || *text == "ASC")) return false;
  throw_illegal_argument("Unknown SortOrder [" + (text ? truncated(*text) : json::write(order)) + "]");
}

SortField make_field(const std::string& name, bool descending) {
  if (name.empty()) throw_illegal_argument("a sort key names no field");
  SortField field;
  field.field = name;
  field.descending = descending;
  field.slice_form = json::Object{{name, json::Object{{"order", descending ? "desc" : "asc"}}}};
  return field;
}

SortField read_field(const json::Value& entry) {
  if (const std::string* name = entry.string()) return make_field(*name, *name == "_score");
  const json::Object* members = entry.object();
  if (!members || members->size() != 1)
    throw_parsing_error("a sort key is neither a name nor an object of one field");
  const auto& [name, options] = members->front();
  if (options.string()) return make_field(name, read_order(options));
  if (!options.object()) throw_parsing_error("[sort] malformed at [" + truncated(name) + "]");
  SortField field = make_field(name, name == "_score");
  const bool geo = name == "_geo_distance", script = name == "_script";
  for (const auto& [option, value] : *options.object()) {
    const bool known =
        std::any_of(std::begin(kKnownOptions), std::end(kKnownOptions),
                    [&option = option](const char* known_option) { return option == known_option; });
    if (!known && !geo)
      throw_illegal_argument("[sort] unknown option [" + truncated(option) + "] at [" + truncated(name) +
                             "]");
  }
  if (const json::Value* order = options.find("order")) field.descending = read_order(*order);
  if (const json::Value* missing = options.find("missing")) {
    if (geo || script || name == "_score" || name == "_doc")
      throw_illegal_argument("[sort] [" + name + "] takes no [missing]");
    field.missing = *missing == json::Value("_first")  ? SortField::Missing::first
                    : *missing == json::Value("_last") ? SortField::Missing::last
                                                       : SortField::Missing::value;
  }
  // The order is always stated, as its default differs between fields.
  json::Object stated{{"order", field.descending ? "desc" : "asc"}};
  for (const json::Member& option : *options.object())
    if (option.first != "order") stated.push_back(option);
  field.slice_form = json::Object{{name, std::move(stated)}};
  return field;
}

// Strings that denote numbers without a JSON form.
const double* as_number(const json::Value& value, double& infinite) {
  if (const double* number = value.number()) return number;
  if (!value.string()) return nullptr;
  if (*value.string() == "Infinity")
    infinite = std::numeric_limits<double>::infinity();
  else if (*value.string() == "-Infinity")
    infinite = -std::numeric_limits<double>::infinity();
  else
    return nullptr;
  return &infinite;
}

int compare_value(const SortField& field, const json::Value& a, const json::Value& b) {
  if (a.is_null() || b.is_null()) {
    if (a.is_null() && b.is_null()) return 0;
    const int missing_first = field.missing == SortField::Missing::first ? -1 : 1;
    return a.is_null() ? missing_first : -missing_first;
  }
  int order = 0;
  double infinite_a = 0, infinite_b = 0;
  const double *number_a = as_number(a, infinite_a), *number_b = as_number(b, infinite_b);
  if (a.string() && b.string()) {
    order = number_a && number_b ? order_of(*number_a, *number_b) : a.string()->compare(*b.string());
  } else if (number_a && number_b) {
    const auto exact_a = a.integer(), exact_b = b.integer();
    order = exact_a && exact_b ? order_of(*exact_a, *exact_b) : order_of(*number_a, *number_b);
  } else if (a.boolean() && b.boolean()) {
    order = order_of(*a.boolean(), *b.boolean());
  } else {
    throw_illegal_argument("Can't do sort across indices, as field [" + truncated(field.field) +
                           "] has one type in one index and another type in another");
  }
  return field.descending ? -order : order;
}

constexpr std::size_t kMaxSortKeys = 32;

// Must be called before a key is added.
void check_key_count(const SortOrder& order) {
  if (order.fields.size() >= kMaxSortKeys)
    throw_illegal_argument("more than " + std::to_string(kMaxSortKeys) + " sort keys");
}

}  // namespace

bool SortOrder::by_score() const {
  return fields.empty() || (fields.front().field == "_score" && fields.front().descending);
}

bool SortOrder::has_field(std::string_view field) const {
  return std::any_of(fields.begin(), fields.end(),
                     [&](const SortField& sort_field) { return sort_field.field == field; });
}

void SortOrder::append(const std::string& field, bool descending) {
  fields.push_back(make_field(field, descending));
}

json::Array SortOrder::slice_form() const {
  json::Array out;
  for (const SortField& field : fields) out.push_back(field.slice_form);
  return out;
}

SortOrder parse_sort(const json::Value& sort) {
  SortOrder order;
  const auto add = [&order](const json::Value& entry) {
    check_key_count(order);
    order.fields.push_back(read_field(entry));
  };
  if (const json::Array* entries = sort.array()) {
    for (const json::Value& entry : *entries) {
      // An object may name several fields; their order is significant.
      if (const json::Object* members = entry.object(); members && members->size() > 1) {
        for (const json::Member& member : *members) add(json::Object{member});
      } else {
        add(entry);
      }
    }
  } else if (const json::Object* members = sort.object()) {
    for (const json::Member& member : *members) add(json::Object{member});
  } else if (!sort.is_null()) {
    add(sort);
  }
  return order;
}

SortOrder parse_sort(const std::string& parameter) {
  SortOrder order;
  for (const std::string& key : split(parameter)) {
    check_key_count(order);
    const std::size_t colon = key.rfind(':');
    if (colon == std::string::npos)
      order.fields.push_back(make_field(key, key == "_score"));
    else
      order.fields.push_back(
          make_field(key.substr(0, colon), read_order(json::Value(key.substr(colon + 1)))));
  }
  return order;
}

int compare(const SortOrder& order, const json::Array& a, const json::Array& b, std::size_t max_keys) {
  for (std::size_t i = 0; i < std::min(order.fields.size(), max_keys); ++i) {
    static const json::Value none;
    const int result = compare_value(order.fields[i], i < a.size() ? a[i] : none, i < b.size() ? b[i] : none);
    if (result != 0) return result;
  }
  return 0;
}

}  // namespace kelpdeal::search
