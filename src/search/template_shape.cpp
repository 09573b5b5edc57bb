// SPDX-License-Identifier: MIT
#include "kelpdeal/search/template_shape.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <vector>

#include "kelpdeal/search/api_error.h"

namespace kelpdeal::search {
namespace {

constexpr std::string_view kOpen = "{{", kClose = "}}", kCloseUnescaped = "}}}";
constexpr std::size_t kNodeCost = 8;  // of visiting a node, in bytes of text that are copied
constexpr std::string_view kBlanks = "\r\n \t";

bool is_space(char c) { return std::isspace(static_cast<unsigned char>(c)) != 0; }

struct Delimiters {
  std::string_view open = kOpen, close = kClose;
  bool are_default() const { return open == kOpen && close == kClose; }
};

// The delimiters that the contents of a tag such as "=<% %>=" set; nothing if they are malformed.
std::optional<Delimiters> parse_delimiters(std::string_view contents) {
  if (contents.size() < 5 || contents.back() != '=') return std::nullopt;
  const std::string_view both = trimmed(contents.substr(1, contents.size() - 2));
  const std::size_t space = both.find(' ');
  if (space == std::string_view::npos) return std::nullopt;
  const Delimiters delimiters{both.substr(0, space), both.substr(both.find_first_not_of(' ', space))};
  for (const std::string_view delimiter : {delimiters.open, delimiters.close})
    if (std::any_of(delimiter.begin(), delimiter.end(), [](char c) { return c == '=' || is_space(c); }))
      return std::nullopt;
  return delimiters;
}

struct Tag {
  std::string_view contents;
  bool unescaped = false;
  std::size_t end = 0;  // the position after the tag
};

// The tag at `at`; nothing if it is not closed.
std::optional<Tag> tag_at(std::string_view text, std::size_t at, const Delimiters& delimiters) {
  Tag tag;
  std::size_t from = at + delimiters.open.size();
  tag.unescaped = delimiters.are_default() && from < text.size() && text[from] == kOpen[0];
  if (tag.unescaped) ++from;
  const std::string_view close = tag.unescaped ? kCloseUnescaped : delimiters.close;
  const std::size_t end = text.find(close, from);
  if (end == std::string_view::npos) return std::nullopt;
  tag.contents = trimmed(text.substr(from, end - from));
  tag.end = end + close.size();
  return tag;
}

class Measurement {
 public:
  Measurement(std::string_view text, const TemplateBounds& bounds) : text_(text), bounds_(bounds) {}

  SectionCosts run() {
    while (at_ < text_.size())
      if (!text_.substr(at_).starts_with(delimiters_.open))
        read_text();
      else if (!read_tag())
        break;
    return std::move(section_costs_);
  }

 private:
  struct Section {
    std::string_view name;
    std::size_t start = 0;         // of its text
    std::size_t nodes_before = 0;  // in the template
  };

  // Reads one blank, or text up to the next blank or tag.
  void read_text() {
    add_node();
    if (kBlanks.find(text_[at_++]) != std::string_view::npos) return;
    while (at_ < text_.size() && kBlanks.find(text_[at_]) == std::string_view::npos &&
           !text_.substr(at_).starts_with(delimiters_.open))
      ++at_;
  }

  // Reads the tag at the current position. False if it is malformed.
  bool read_tag() {
    add_node();
    const std::optional<Tag> tag = tag_at(text_, at_, delimiters_);
    if (!tag) return false;
    const std::size_t start = at_;
    at_ = tag->end;
    const char kind = tag->contents.empty() ? '\0' : tag->contents.front();
    if (kind == '=') return set_delimiters(tag->contents);
    if (tag->unescaped) return true;
    if (kind == '#' || kind == '^') open_section(trimmed(tag->contents.substr(1)));
    return kind != '/' || close_section(start);
  }

  bool set_delimiters(std::string_view contents) {
    const std::optional<Delimiters> delimiters = parse_delimiters(contents);
    if (!delimiters) return false;
    if (std::max(delimiters->open.size(), delimiters->close.size()) > bounds_.max_delimiter_bytes)
      throw_illegal_argument("the template's delimiters are longer than " +
                             std::to_string(bounds_.max_delimiter_bytes) + " bytes");
    delimiters_ = *delimiters;
    return true;
  }

  void open_section(std::string_view name) {
    if (open_sections_.size() >= bounds_.max_depth)
      throw_illegal_argument("the template's sections are nested deeper than " +
                             std::to_string(bounds_.max_depth));
    open_sections_.push_back({name, at_, nodes_});
  }

  bool close_section(std::size_t end) {
    if (open_sections_.empty()) return false;
    const Section section = open_sections_.back();
    open_sections_.pop_back();
    const std::size_t bytes = end - section.start;
    total_section_bytes_ += bytes;
    if (total_section_bytes_ > bounds_.max_section_bytes)
      throw_illegal_argument("the template's sections hold more than " +
                             std::to_string(bounds_.max_section_bytes) + " bytes in total");
    const std::size_t cost = bytes + kNodeCost * (nodes_ - section.nodes_before);
    std::size_t& highest = section_costs_[std::string(section.name)];
    highest = std::max(highest, cost);
    return true;
  }

  void add_node() {
    if (++nodes_ > bounds_.max_nodes)
      throw_illegal_argument("the template holds more than " + std::to_string(bounds_.max_nodes) +
                             " tags, blanks and pieces of text");
  }

  std::string_view text_;
  const TemplateBounds& bounds_;
  Delimiters delimiters_;
  std::vector<Section> open_sections_;
  SectionCosts section_costs_;
  std::size_t at_ = 0, nodes_ = 0, total_section_bytes_ = 0;
};

}  // namespace

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && is_space(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_space(text.back())) text.remove_suffix(1);
  return text;
}

SectionCosts measure_template(std::string_view text, const TemplateBounds& bounds) {
  return Measurement(text, bounds).run();
}

}  // namespace kelpdeal::search
