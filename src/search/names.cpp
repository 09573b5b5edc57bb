// SPDX-License-Identifier: MIT
#include "kelpdeal/search/names.h"

#include <algorithm>

#include "kelpdeal/search/api_error.h"
#include "kelpdeal/search/dates.h"

namespace kelpdeal::search {
namespace {

[[noreturn]] void no_such(const std::string& name) {
  throw ApiError{
      404, "index_not_found_exception", "no such index [" + truncated(name) + "]", truncated(name), {}};
}

class Resolver {
 public:
  Resolver(const IndexNameOptions& options, const std::vector<IndexContract>& indices)
      : options_(options), indices_(indices) {}

  void take(const std::string& name) {
    const bool pattern = name.find('*') != std::string::npos;
    if (name.starts_with('-') && wildcard_seen_) return drop(name.substr(1));
    if (pattern && options_.expand_open) {
      wildcard_seen_ = true;
      if (!expand(name) && !options_.allow_no_indices) no_such(name);
      return;
    }
    if (!add_named(name) && !options_.ignore_unavailable) no_such(name);
  }

  std::vector<Target> found() { return std::move(found_); }

 private:
  bool shown(const IndexContract& index, const std::string& pattern) const {
    return !index.hidden || options_.expand_hidden ||
           (pattern.starts_with('.') && index.name.starts_with('.'));
  }
  bool expand(const std::string& pattern) {
    bool any = false;
    for (const IndexContract& index : indices_) {
      if (shown(index, pattern) && matches_wildcard(pattern, index.name)) any = true, add(index, nullptr);
      for (const IndexContract::Alias& alias : index.aliases)
        if (shown(index, pattern) && matches_wildcard(pattern, alias.name))
          any = true, add(index, &alias.filter);
    }
    return any;
  }
  bool add_named(const std::string& name) {
    bool any = false;
    for (const IndexContract& index : indices_) {
      if (index.name == name) any = true, add(index, nullptr);
      for (const IndexContract::Alias& alias : index.aliases)
        if (alias.name == name) any = true, add(index, &alias.filter);
    }
    return any;
  }
  void drop(const std::string& pattern) {
    std::erase_if(found_, [&](const Target& target) {
      return matches_wildcard(pattern, target.index->name) ||
             std::any_of(target.index->aliases.begin(), target.index->aliases.end(),
                         [&](const IndexContract::Alias& alias) { return alias.name == pattern; });
    });
  }
  void add(const IndexContract& index, const json::Value* filter) {
    const bool all = !filter || filter->is_null();
    for (Target& target : found_) {
      if (target.index != &index) continue;
      if (all)
        target.filters.clear();
      else if (!target.filters.empty() &&
               std::find(target.filters.begin(), target.filters.end(), *filter) == target.filters.end())
        target.filters.push_back(*filter);
      return;
    }
    Target target{&index, {}};
    if (!all) target.filters.push_back(*filter);
    found_.push_back(std::move(target));
  }

  const IndexNameOptions& options_;
  const std::vector<IndexContract>& indices_;
  std::vector<Target> found_;
  bool wildcard_seen_ = false;
};

// Splits at commas that do not stand in date maths.
std::vector<std::string> split(const std::string& expression) {
  std::vector<std::string> names(1);
  bool inside = false;
  for (const char c : expression) {
    if (c == '<') inside = true;
    if (c == '>') inside = false;
    if (c == ',' && !inside)
      names.emplace_back();
    else
      names.back() += c;
  }
  return names;
}

}  // namespace

bool matches_wildcard(std::string_view pattern, std::string_view name) {
  std::size_t p = 0, n = 0, star = std::string_view::npos, resume = 0;
  while (n < name.size()) {
    if (p < pattern.size() && pattern[p] == '*') {
      star = p++;
      resume = n;
    } else if (p < pattern.size() && pattern[p] == name[n]) {
      ++p;
      ++n;
    } else if (star != std::string_view::npos) {
      p = star + 1;
      n = ++resume;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '*') ++p;
  return p == pattern.size();
}

std::string expand_date_name(std::string_view text, std::int64_t now_ms) {
  const auto wrong = [&]() {
    throw_illegal_argument("invalid dynamic name expression [" + truncated(text) + "]");
  };
  if (text.size() < 2 || !text.ends_with('>')) wrong();
  text = text.substr(1, text.size() - 2);
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '\\' && at + 1 < text.size()) {
      out += text[++at];
      continue;
    }
    if (text[at] != '{') {
      if (text[at] == '}') wrong();
      out += text[at];
      continue;
    }
    const std::size_t format_at = text.find_first_of("{}", at + 1);
    if (format_at == std::string_view::npos) wrong();
    const auto ms = evaluate_date_math(text.substr(at + 1, format_at - at - 1), now_ms);
    if (!ms) wrong();
    std::string_view format = "yyyy.MM.dd";
    std::int64_t zone = 0;
    std::size_t end = format_at;
    if (text[format_at] == '{') {
      const std::size_t close = text.find('}', format_at);
      if (close == std::string_view::npos || close + 1 >= text.size() || text[close + 1] != '}') wrong();
      format = text.substr(format_at + 1, close - format_at - 1);
      if (const std::size_t bar = format.find('|'); bar != std::string_view::npos) {
        const auto offset = parse_zone_offset(format.substr(bar + 1));
        if (!offset) wrong();
        zone = *offset;
        format = format.substr(0, bar);
      }
      end = close + 1;
    }
    const auto written = format_date(*ms, format, zone);
    if (!written) wrong();
    out += *written;
    at = end;
  }
  return out;
}

void read_expand_wildcards(const std::string& text, IndexNameOptions& options) {
  options.expand_open = options.expand_hidden = false;
  for (const std::string& word : split(text)) {
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
  for (std::string name : split(expression)) {
    if (name.starts_with('<')) name = expand_date_name(name, now_ms);
    if (name == "_all" || name.empty()) name = "*";
    resolver.take(name);
  }
  std::vector<Target> found = resolver.found();
  if (found.empty() && !options.allow_no_indices) no_such(expression);
  return found;
}

}  // namespace kelpdeal::search
