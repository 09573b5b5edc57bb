// SPDX-License-Identifier: MIT
#include "kelpdeal/search/query_dsl.h"

#include <algorithm>
#include <span>
#include <string>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {
namespace {

// How a query's body is made up.
enum class Form {
  plain,         // members, all of them known
  field,         // one field, whose value is a scalar or members, all of them known
  field_list,    // one field, whose value is a list; beside it known members
  field_object,  // one field, whose value is an object of any make; beside it known members
  compound,      // members that are queries, beside known ones
};

struct Kind {
  const char* name;
  Form form;
  const char* members;          // known ones, each followed by a space
  const char* queries;          // members that are queries or lists of them
  const char* short_form = "";  // the member that a scalar stands for
};

constexpr Kind kKinds[] = {
    {"match_all", Form::plain, "boost _name ", ""},
    {"match_none", Form::plain, "boost _name ", ""},
    {"term", Form::field, "value boost _name case_insensitive ", "", "value"},
    {"terms", Form::field_list, "boost _name ", ""},
    {"terms_set", Form::field, "terms minimum_should_match_field minimum_should_match_script boost _name ",
     ""},
    {"range", Form::field,
     "gt gte lt lte from to include_lower include_upper format relation time_zone boost _name ", ""},
    {"exists", Form::plain, "field boost _name ", ""},
    {"prefix", Form::field, "value boost _name rewrite case_insensitive ", "", "value"},
    {"wildcard", Form::field, "value wildcard boost _name rewrite case_insensitive ", "", "value"},
    {"regexp", Form::field,
     "value flags flags_value max_determinized_states boost _name rewrite case_insensitive ", "", "value"},
    {"fuzzy", Form::field, "value fuzziness prefix_length max_expansions transpositions rewrite boost _name ",
     "", "value"},
    {"ids", Form::plain, "values boost _name ", ""},
    {"match", Form::field,
     "query operator minimum_should_match analyzer fuzziness prefix_length max_expansions "
     "fuzzy_transpositions "
     "fuzzy_rewrite lenient zero_terms_query auto_generate_synonyms_phrase_query cutoff_frequency boost "
     "_name ",
     "", "query"},
    {"match_phrase", Form::field, "query analyzer slop zero_terms_query boost _name ", "", "query"},
    {"match_phrase_prefix", Form::field, "query analyzer slop max_expansions zero_terms_query boost _name ",
     "", "query"},
    {"match_bool_prefix", Form::field,
     "query analyzer operator minimum_should_match fuzziness prefix_length max_expansions "
     "fuzzy_transpositions "
     "fuzzy_rewrite boost _name ",
     "", "query"},
    {"multi_match", Form::plain,
     "query fields type operator minimum_should_match analyzer tie_breaker slop fuzziness prefix_length "
     "max_expansions fuzzy_transpositions fuzzy_rewrite lenient zero_terms_query cutoff_frequency "
     "auto_generate_synonyms_phrase_query boost _name ",
     ""},
    {"query_string", Form::plain,
     "query default_field fields default_operator analyzer quote_analyzer allow_leading_wildcard "
     "analyze_wildcard auto_generate_synonyms_phrase_query enable_position_increments escape fuzziness "
     "fuzzy_max_expansions fuzzy_prefix_length fuzzy_transpositions fuzzy_rewrite lenient "
     "max_determinized_states minimum_should_match phrase_slop quote_field_suffix rewrite tie_breaker "
     "time_zone type boost _name ",
     ""},
    {"simple_query_string", Form::plain,
     "query fields default_operator analyzer analyze_wildcard auto_generate_synonyms_phrase_query flags "
     "fuzzy_max_expansions fuzzy_prefix_length fuzzy_transpositions lenient minimum_should_match "
     "quote_field_suffix boost _name ",
     ""},
    {"bool", Form::compound, "minimum_should_match adjust_pure_negative boost _name ",
     "must must_not should filter "},
    {"constant_score", Form::compound, "boost _name ", "filter "},
    {"dis_max", Form::compound, "tie_breaker boost _name ", "queries "},
    {"boosting", Form::compound, "negative_boost boost _name ", "positive negative "},
    {"nested", Form::compound, "path score_mode ignore_unmapped boost _name ", "query "},
    {"function_score", Form::compound,
     "functions score_mode boost_mode max_boost min_score boost _name weight random_score field_value_factor "
     "gauss linear exp script_score ",
     "query "},
    {"script_score", Form::compound, "script min_score boost _name ", "query "},
    {"geo_distance", Form::field_object,
     "distance distance_type validation_method ignore_unmapped boost _name ", ""},
    {"geo_bounding_box", Form::field_object, "type validation_method ignore_unmapped boost _name ", ""},
    {"geo_polygon", Form::field_object, "validation_method ignore_unmapped boost _name ", ""},
    {"geo_shape", Form::field_object, "ignore_unmapped boost _name ", ""},
    {"distance_feature", Form::plain, "field origin pivot boost _name ", ""},
    {"rank_feature", Form::plain, "field saturation log sigmoid linear boost _name ", ""},
};

// They exist, but need more than one slice's documents or another index.
constexpr const char* kRefused[] = {"has_child", "has_parent", "parent_id", "percolate", "more_like_this",
                                    "script",    "pinned",     "knn",       "neural",    "hybrid"};

bool lists(std::string_view known, std::string_view name) {
  for (std::size_t at = 0; at < known.size();) {
    const std::size_t end = known.find(' ', at);
    if (known.substr(at, end - at) == name) return true;
    at = end + 1;
  }
  return false;
}

class Checker {
 public:
  explicit Checker(const QueryBounds& bounds) : bounds_(bounds) {}

  void query(const json::Value& query, const std::string& place, std::size_t depth) {
    if (depth > bounds_.max_depth)
      throw_illegal_argument("the query is nested deeper than " + std::to_string(bounds_.max_depth) +
                             " at [" + place + "]");
    if (++clauses_ > bounds_.max_clauses)
      throw_illegal_argument("the query has more than " + std::to_string(bounds_.max_clauses) + " clauses");
    const json::Object* members = query.object();
    if (!members) throw_parsing_error("[" + place + "] query malformed, must start with start_object");
    if (members->empty()) throw_illegal_argument("query malformed, empty clause found at [" + place + "]");
    if (members->size() > 1)
      throw_parsing_error("[" + truncated(members->front().first) +
                          "] malformed query, expected [END_OBJECT] but found [FIELD_NAME] at [" + place +
                          "]");
    const auto& [name, body] = members->front();
    const std::string inside = place + "." + truncated(name);
    for (const char* refused : kRefused)
      if (name == refused)
        throw_illegal_argument("[" + name +
                               "] queries are not taken: they need more than one slice's documents; at [" +
                               place + "]");
    for (const Kind& kind : kKinds)
      if (name == kind.name) return check(kind, body, inside, depth);
    throw_parsing_error("unknown query [" + truncated(name) + "] at [" + place + "]");
  }

 private:
  [[noreturn]] static void unsupported(const std::string& kind, std::string_view member,
                                       const std::string& place) {
    throw_parsing_error("[" + kind + "] query does not support [" + truncated(member) + "] at [" + place +
                        "]");
  }

  void check(const Kind& kind, const json::Value& body, const std::string& place, std::size_t depth) {
    const json::Object* members = body.object();
    if (!members)
      throw_parsing_error("[" + std::string(kind.name) +
                          "] query malformed, no start_object after query name at [" + place + "]");
    switch (kind.form) {
      case Form::plain:
        for (const auto& [name, value] : *members)
          if (!lists(kind.members, name)) unsupported(kind.name, name, place);
        return needed(kind, body, place);
      case Form::compound:
        return compound(kind, *members, place, depth);
      case Form::field:
      case Form::field_list:
      case Form::field_object:
        return field(kind, *members, place);
    }
  }

  static void needed(const Kind& kind, const json::Value& body, const std::string& place) {
    const std::string_view name = kind.name;
    const char* needs = name == "exists"                                               ? "field"
                        : name == "ids"                                                ? "values"
                        : lists("multi_match query_string simple_query_string ", name) ? "query"
                                                                                       : nullptr;
    if (needs && !body.find(needs))
      throw_parsing_error("[" + std::string(name) + "] requires [" + needs + "] at [" + place + "]");
    if (name == "ids" && !body.find("values")->array())
      throw_parsing_error("[ids] [values] must be a list at [" + place + "]");
  }

  void compound(const Kind& kind, const json::Object& members, const std::string& place, std::size_t depth) {
    bool any = false;
    for (const auto& [name, value] : members) {
      if (lists(kind.queries, name)) {
        any = true;
        const std::string inside = place + "." + name;
        const json::Array* several = value.array();
        if (!several) {
          query(value, inside, depth + 1);
          continue;
        }
        const bool list = lists("must must_not should filter queries ", name) &&
                          std::string_view(kind.name) != "constant_score";
        if (!list)
          throw_parsing_error("[" + std::string(kind.name) + "] [" + name + "] takes one query at [" + place +
                              "]");
        for (std::size_t i = 0; i < several->size(); ++i)
          query((*several)[i], inside + "." + std::to_string(i), depth + 1);
      } else if (name == "functions" && value.array()) {
        for (std::size_t i = 0; i < value.array()->size(); ++i)
          if (const json::Value* filter = (*value.array())[i].find("filter"))
            query(*filter, place + ".functions." + std::to_string(i) + ".filter", depth + 1);
      } else if (!lists(kind.members, name)) {
        unsupported(kind.name, name, place);
      }
    }
    const std::string_view name = kind.name;
    if (!any && name != "bool" && name != "function_score")
      throw_parsing_error("[" + std::string(name) + "] requires [" + std::string(kind.queries) + "] at [" +
                          place + "]");
    if (name == "nested" && std::none_of(members.begin(), members.end(),
                                         [](const auto& member) { return member.first == "path"; }))
      throw_parsing_error("[nested] requires [path] at [" + place + "]");
  }

  // One field, and known members beside it.
  void field(const Kind& kind, const json::Object& members, const std::string& place) {
    const json::Member* found = nullptr;
    for (const json::Member& member : members) {
      const bool beside = kind.form != Form::field && lists(kind.members, member.first);
      if (kind.form == Form::field && lists("boost _name ", member.first) && !member.second.object())
        continue;
      if (beside) continue;
      if (found)
        throw_parsing_error("[" + std::string(kind.name) +
                            "] query doesn't support multiple fields, found [" + truncated(found->first) +
                            "] and [" + truncated(member.first) + "] at [" + place + "]");
      found = &member;
    }
    if (!found || found->first.empty())
      throw_illegal_argument("[" + std::string(kind.name) + "] query names no field at [" + place + "]");
    if (found->first == "_index")
      throw_illegal_argument(
          "[_index] cannot be searched for: indices are slices here, name them in the path");
    const std::string inside = place + "." + truncated(found->first);
    const json::Value& value = found->second;
    if (kind.form == Form::field_list) {
      if (value.object())
        throw_illegal_argument("[terms] lookups in another index are not taken at [" + inside + "]");
      if (!value.array()) throw_parsing_error("[terms] query requires a list of values at [" + inside + "]");
      if (value.array()->size() > bounds_.max_clauses * 64)
        throw_illegal_argument("[terms] query has more than " + std::to_string(bounds_.max_clauses * 64) +
                               " values at [" + inside + "]");
      for (const json::Value& one : *value.array())
        if (one.array() || one.object())
          throw_parsing_error("[terms] takes plain values at [" + inside + "]");
      return;
    }
    if (kind.form == Form::field_object) return;
    const json::Object* options = value.object();
    if (!options) {
      if (!*kind.short_form || value.array() || value.is_null())
        throw_parsing_error("[" + std::string(kind.name) + "] query is malformed at [" + inside + "]");
      return;
    }
    for (const auto& [name, option] : *options)
      if (!lists(kind.members, name)) unsupported(kind.name, name, inside);
    if (*kind.short_form && !value.find(kind.short_form) && !value.find("wildcard"))
      throw_parsing_error("[" + std::string(kind.name) + "] requires [" + kind.short_form + "] at [" +
                          inside + "]");
  }

  const QueryBounds& bounds_;
  std::size_t clauses_ = 0;
};

}  // namespace

void check_query(const json::Value& query, std::string_view place, const QueryBounds& bounds) {
  Checker(bounds).query(query, std::string(place), 1);
}

}  // namespace kelpdeal::search
