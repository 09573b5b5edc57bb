// SPDX-License-Identifier: MIT
#include "kelpdeal/search/query_dsl.h"

#include <algorithm>
#include <span>
#include <string>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {
namespace {

// The structure of a query's body.
enum class Form {
  plain,         // known members only
  field,         // one field, whose value is a scalar or an object of known members
  field_list,    // one field, whose value is a list, beside known members
  field_object,  // one field, whose value is any object, beside known members
  compound,      // members that are queries, beside known members
};

struct Kind {
  const char* name;
  Form form;
  const char* members;          // known members, each followed by a space
  const char* queries;          // members that are queries or lists of queries
  const char* short_form = "";  // the member that a scalar value abbreviates
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

// Valid queries that need documents of other slices or another index.
constexpr const char* kUnsupportedQueries[] = {"has_child",      "has_parent", "parent_id", "percolate",
                                               "more_like_this", "script",     "pinned",    "knn",
                                               "neural",         "hybrid"};

bool contains_word(std::string_view known, std::string_view name) {
  for (std::size_t position = 0; position < known.size();) {
    const std::size_t end = known.find(' ', position);
    if (known.substr(position, end - position) == name) return true;
    position = end + 1;
  }
  return false;
}

class Checker {
 public:
  explicit Checker(const QueryBounds& bounds) : bounds_(bounds) {}

  void check_query(const json::Value& query, const std::string& path, std::size_t depth) {
    if (depth > bounds_.max_depth)
      throw_illegal_argument("the query is nested deeper than " + std::to_string(bounds_.max_depth) +
                             " at [" + path + "]");
    if (++clauses_ > bounds_.max_clauses)
      throw_illegal_argument("the query has more than " + std::to_string(bounds_.max_clauses) + " clauses");
    const json::Object* members = query.object();
    if (!members) throw_parsing_error("[" + path + "] query malformed, must start with start_object");
    if (members->empty()) throw_illegal_argument("query malformed, empty clause found at [" + path + "]");
    if (members->size() > 1)
      throw_parsing_error("[" + truncated(members->front().first) +
                          "] malformed query, expected [END_OBJECT] but found [FIELD_NAME] at [" + path +
                          "]");
    const auto& [name, body] = members->front();
    const std::string inner_path = path + "." + truncated(name);
    for (const char* refused : kUnsupportedQueries)
      if (name == refused)
        throw_illegal_argument("[" + name +
                               "] queries are not taken: they need more than one slice's documents; at [" +
                               path + "]");
    for (const Kind& kind : kKinds)
      if (name == kind.name) return check_body(kind, body, inner_path, depth);
    throw_parsing_error("unknown query [" + truncated(name) + "] at [" + path + "]");
  }

 private:
  [[noreturn]] static void unsupported(const std::string& kind, std::string_view member,
                                       const std::string& path) {
    throw_parsing_error("[" + kind + "] query does not support [" + truncated(member) + "] at [" + path +
                        "]");
  }

  void check_body(const Kind& kind, const json::Value& body, const std::string& path, std::size_t depth) {
    const json::Object* members = body.object();
    if (!members)
      throw_parsing_error("[" + std::string(kind.name) +
                          "] query malformed, no start_object after query name at [" + path + "]");
    switch (kind.form) {
      case Form::plain:
        for (const auto& [name, value] : *members)
          if (!contains_word(kind.members, name)) unsupported(kind.name, name, path);
        return check_required(kind, body, path);
      case Form::compound:
        return check_compound(kind, *members, path, depth);
      case Form::field:
      case Form::field_list:
      case Form::field_object:
        return check_field(kind, *members, path);
    }
  }

  static void check_required(const Kind& kind, const json::Value& body, const std::string& path) {
    const std::string_view name = kind.name;
    const char* required_member = name == "exists" ? "field"
                                  : name == "ids"  ? "values"
                                  : contains_word("multi_match query_string simple_query_string ", name)
                                      ? "query"
                                      : nullptr;
    if (required_member && !body.find(required_member))
      throw_parsing_error("[" + std::string(name) + "] requires [" + required_member + "] at [" + path + "]");
    if (name == "ids" && !body.find("values")->array())
      throw_parsing_error("[ids] [values] must be a list at [" + path + "]");
  }

  void check_compound(const Kind& kind, const json::Object& members, const std::string& path,
                      std::size_t depth) {
    bool has_query = false;
    for (const auto& [name, value] : members) {
      if (contains_word(kind.queries, name)) {
        has_query = true;
        const std::string inner_path = path + "." + name;
        const json::Array* list = value.array();
        if (!list) {
          check_query(value, inner_path, depth + 1);
          continue;
        }
        const bool takes_list = contains_word("must must_not should filter queries ", name) &&
                                std::string_view(kind.name) != "constant_score";
        if (!takes_list)
          throw_parsing_error("[" + std::string(kind.name) + "] [" + name + "] takes one query at [" + path +
                              "]");
        for (std::size_t i = 0; i < list->size(); ++i)
          check_query((*list)[i], inner_path + "." + std::to_string(i), depth + 1);
      } else if (name == "functions" && value.array()) {
        for (std::size_t i = 0; i < value.array()->size(); ++i)
          if (const json::Value* filter = (*value.array())[i].find("filter"))
            check_query(*filter, path + ".functions." + std::to_string(i) + ".filter", depth + 1);
      } else if (!contains_word(kind.members, name)) {
        unsupported(kind.name, name, path);
      }
    }
    const std::string_view name = kind.name;
    if (!has_query && name != "bool" && name != "function_score")
      throw_parsing_error("[" + std::string(name) + "] requires [" + std::string(kind.queries) + "] at [" +
                          path + "]");
    if (name == "nested" && std::none_of(members.begin(), members.end(),
                                         [](const auto& member) { return member.first == "path"; }))
      throw_parsing_error("[nested] requires [path] at [" + path + "]");
  }

  // Checks a query of one field, with known members beside it.
  void check_field(const Kind& kind, const json::Object& members, const std::string& path) {
    const json::Member* found = nullptr;
    for (const json::Member& member : members) {
      const bool is_option = kind.form != Form::field && contains_word(kind.members, member.first);
      if (kind.form == Form::field && contains_word("boost _name ", member.first) && !member.second.object())
        continue;
      if (is_option) continue;
      if (found)
        throw_parsing_error("[" + std::string(kind.name) +
                            "] query doesn't support multiple fields, found [" + truncated(found->first) +
                            "] and [" + truncated(member.first) + "] at [" + path + "]");
      found = &member;
    }
    if (!found || found->first.empty())
      throw_illegal_argument("[" + std::string(kind.name) + "] query names no field at [" + path + "]");
    if (found->first == "_index")
      throw_illegal_argument(
          "[_index] cannot be searched for: indices are slices here, name them in the path");
    const std::string inner_path = path + "." + truncated(found->first);
    const json::Value& value = found->second;
    if (kind.form == Form::field_list) {
      if (value.object())
        throw_illegal_argument("[terms] lookups in another index are not taken at [" + inner_path + "]");
      if (!value.array())
        throw_parsing_error("[terms] query requires a list of values at [" + inner_path + "]");
      if (value.array()->size() > bounds_.max_clauses * 64)
        throw_illegal_argument("[terms] query has more than " + std::to_string(bounds_.max_clauses * 64) +
                               " values at [" + inner_path + "]");
      for (const json::Value& element : *value.array())
        if (element.array() || element.object())
          throw_parsing_error("[terms] takes plain values at [" + inner_path + "]");
      return;
    }
    if (kind.form == Form::field_object) return;
    const json::Object* options = value.object();
    if (!options) {
      if (!*kind.short_form || value.array() || value.is_null())
        throw_parsing_error("[" + std::string(kind.name) + "] query is malformed at [" + inner_path + "]");
      return;
    }
    for (const auto& [name, option] : *options)
      if (!contains_word(kind.members, name)) unsupported(kind.name, name, inner_path);
    if (*kind.short_form && !value.find(kind.short_form) && !value.find("wildcard"))
      throw_parsing_error("[" + std::string(kind.name) + "] requires [" + kind.short_form + "] at [" +
                          inner_path + "]");
  }

  const QueryBounds& bounds_;
  std::size_t clauses_ = 0;
};

}  // namespace

void check_query(const json::Value& query, std::string_view path, const QueryBounds& bounds) {
  Checker(bounds).check_query(query, std::string(path), 1);
}

}  // namespace kelpdeal::search
