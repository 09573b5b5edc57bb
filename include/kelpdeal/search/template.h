// SPDX-License-Identifier: MIT
// Search templates: renders a Mustache template and its parameters to a search body.
#pragma once

#include <cstddef>
#include <string>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

// `source` is text, or an object whose JSON is the text. Values are escaped for use in a JSON string;
// {{#toJson}}name{{/toJson}} writes a value as JSON, {{#join}}name{{/join}} a list joined by commas. Throws
// ApiError for an invalid template, output over `max_bytes` bytes, or output that is not a JSON object.
json::Value render_template(const json::Value& source, const json::Value& parameters, std::size_t max_bytes,
                            const json::Bounds& bounds);

}  // namespace kelpdeal::search
