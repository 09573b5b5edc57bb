// SPDX-License-Identifier: MIT
// Measures a Mustache template before it is parsed. The parser builds a tree without any bound: a node for
// each tag, each blank and each piece of text between them, and for each section a copy of its text. No I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace kelpdeal::search {

// The largest template that is parsed.
struct TemplateBounds {
  std::size_t max_nodes = 100'000;
  std::size_t max_depth = 64;               // sections inside sections
  std::size_t max_section_bytes = 4 << 20;  // sum of the sections' texts
  // Delimiters are compared at every position.
  std::size_t max_delimiter_bytes = 16;
};

// By name, the cost of rendering the most costly section of that name once: its bytes and its nodes.
using SectionCosts = std::map<std::string, std::size_t, std::less<>>;

// Reads the tags of `text` in one pass as the parser would, which stops at the first malformed one. Throws
// ApiError for a template that exceeds the bounds.
SectionCosts measure_template(std::string_view text, const TemplateBounds& bounds);

// The name or text of a tag without the white space around it, as the library reads it.
std::string_view trimmed(std::string_view text);

}  // namespace kelpdeal::search
