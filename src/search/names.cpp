// SPDX-License-Identifier: MIT
#include "kelpdeal/search/names.h"

#include <algorithm>

#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/dates.h"
#include "kelpdeal/search/wildcard.h"

namespace kelpdeal::search {
namespace {

[[noreturn]] void throw_index_not_found(const std::string& name) {
  throw ApiError{
      404, "index_not_found_exception", "no such index [" + truncated(name) + "]", truncated(name), {}};
}

class Resolver {
 public:
  Resolver(const IndexNameOptions& options, const std::vector<IndexContract>& indices)
      : options_(options), indices_(indices) {}

  void add_expression(const std::string& name) {
    const bool pattern = name.find('*') != std::string::npos;
    if (name.starts_with('-') && wildcard_seen_) return exclude(name.substr(1));
    if (pattern && options_.expand_open) {
      wildcard_seen_ = true;
      if (!expand(name) && !options_.allow_no_indices) throw_index_not_found(name);
      return;
    }
    if (!add_named(name) && !options_.ignore_unavailable) throw_index_not_found(name);
  }

  std::vector<Target> release_targets() { return std::move(targets_); }

 private:
  bool is_visible(const IndexContract& index, const std::string& pattern) const {
    return !index.hidden || options_.expand_hidden ||
           (pattern.starts_with('.') && index.name.starts_with('.'));
  }
  bool expand(const std::string& pattern) {
    bool found = false;
    for (const IndexContract& index : indices_) {
      if (is_visible(index, pattern) && matches_wildcard(pattern, index.name))
        found = true, add(index, nullptr);
      for (const IndexContract::Alias& alias : index.aliases)
        if (is_visible(index, pattern) && matches_wildcard(pattern, alias.name))
          found = true, add(index, &alias.filter);
    }
    return found;
  }
  bool add_named(const std::string& name) {
    bool found = false;
    for (const IndexContract& index : indices_) {
      if (index.name == name) found = true, add(index, nullptr);
      for (const IndexContract::Alias& alias : index.aliases)
        if (alias.name == name) found = true, add(index, &alias.filter);
    }
    return found;
  }
  void exclude(const std::string& pattern) {
    std::erase_if(targets_, [&](const Target& target) {
      return matches_wildcard(pattern, target.index->name) ||
             std::any_of(target.index->aliases.begin(), target.index->aliases.end(),
                         [&](const IndexContract::Alias& alias) { return alias.name == pattern; });
    });
  }
  void add(const IndexContract& index, const json::Value* filter) {
    const bool unfiltered = !filter || filter->is_null();
    for (Target& target : targets_) {
      if (target.index != &index) continue;
      if (unfiltered)
        target.filters.clear();
      else if (!target.filters.empty() &&
               std::find(target.filters.begin(), target.filters.end(), *filter) == target.filters.end())
        target.filters.push_back(*filter);
      return;
    }
    Target target{&index, {}};
    if (!unfiltered) target.filters.push_back(*filter);
    targets_.push_back(std::move(target));
  }

  const IndexNameOptions& options_;
  const std::vector<IndexContract>& indices_;
  std::vector<Target> targets_;
  bool wildcard_seen_ = false;
};

// Splits at commas outside date math expressions.
std::vector<std::string> split_expression(const std::string& expression) {
  std::vector<std::string> names(1);
  bool in_date_math = false;
  for (const char c : expression) {
    if (c == '<') in_date_math = true;
    if (c == '>') in_date_math = false;
    if (c == ',' && !in_date_math)
      names.emplace_back();
    else
      names.back() += c;
  }
  return names;
}

}  // namespace

std::string expand_date_name(std::string_view text, std::int64_t now_ms) {
  const auto throw_invalid = [&]() {
    throw_illegal_argument("invalid dynamic name expression [" + truncated(text) + "]");
  };
  if (text.size() < 2 || !text.ends_with('>')) throw_invalid();
  text = text.substr(1, text.size() - 2);
  std::string out;
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (text[position] == '\\' && position + 1 < text.size()) {
      out += text[++position];
      continue;
    }
    if (text[position] != '{') {
      if (text[position] == '}') throw_invalid();
      out += text[position];
      continue;
    }
    const std::size_t format_start = text.find_first_of("{}", position + 1);
    if (format_start == std::string_view::npos) throw_invalid();
    const auto ms = evaluate_date_math(text.substr(position + 1, format_start - position - 1), now_ms);
    if (!ms) throw_invalid();
    std::string_view format = "yyyy.MM.dd";
    std::int64_t zone = 0;
    std::size_t end = format_start;
    if (text[format_start] == '{') {
      const std::size_t close = text.find('}', format_start);
      if (close == std::string_view::npos || close + 1 >= text.size() || text[close + 1] != '}')
        throw_invalid();
      format = text.substr(format_start + 1, close - format_start - 1);
      if (const std::size_t bar = format.find('|'); bar != std::string_view::npos) {
        const auto offset = parse_zone_offset(format.substr(bar + 1));
        if (!offset) throw_invalid();
        zone = *offset;
        format = format.substr(0, bar);
      }
      end = close + 1;
    }
    const auto formatted = format_date(*ms, format, zone);
    if (!formatted) throw_invalid();
    out += *formatted;
    position = end;
  }
  return out;
}

void read_expand_wildcards(const std::string& text, IndexNameOptions& options) {
  options.expand_open = options.expand_hidden = false;
  for (const std::string& word : split_expression(text)) {
    if (word == "open" || word == "all") options.expand_open = true;
    if (word == "hidden" || word == "all") options.expand_hidden = true;
    if (word == "none") options.expand_open = options.expand_hidden = false;
    if (word != "open" && word != "closed" && word != "hidden" && word != "all" && word != "none")
      throw_illegal_argument("No valid expand wildcard value [" + truncated(word) + "]");
  }
}

std::vector<Target> resolve(const std::string& expression, const IndexNameOptions& options,
                            const std::vector<IndexContract>& indices, std::int64_t now_ms) {
  Resolver resolver(options, indices);
  for (std::string name : split_expression(expression)) {
    if (name.starts_with('<')) name = expand_date_name(name, now_ms);
    if (name == "_all" || name.empty()) name = "*";
    resolver.add_expression(name);
  }
  std::vector<Target> found = resolver.release_targets();
  if (found.empty() && !options.allow_no_indices) throw_index_not_found(expression);
  return found;
}

}  // namespace kelpdeal::search
