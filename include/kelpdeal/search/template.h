// SPDX-License-Identifier: MIT
// Search templates: renders a Mustache template and its parameters to a search body.
#pragma once

#include <cstddef>
#include <string>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

// What the templates of one request may cost in total. Each of them has a bound of its own besides.
struct TemplateBudget {
  // One unit is a byte of template text that is rendered or of a value that is written, or one look at a
  // value.
  std::size_t work_left = 16'000'000;
};

// `source` is text, or an object whose JSON is the text. Values are escaped for use in a JSON string;
// {{#toJson}}name{{/toJson}} writes a value as JSON, {{#join}}name{{/join}} a list joined by commas. Throws
// ApiError for an invalid or too costly template, output over `max_bytes` bytes, or output that is not a JSON
// object.
json::Value render_template(const json::Value& source, const json::Value& parameters, std::size_t max_bytes,
                            const json::Bounds& bounds, TemplateBudget& budget);

}  // namespace kelpdeal::search
