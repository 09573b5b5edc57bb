// SPDX-License-Identifier: MIT
// Search templates: Mustache text and parameters to a search's body.
#pragma once

#include <cstddef>
#include <string>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

// `source` is text, or an object that is taken as its JSON. Values are written as they stand in a JSON
// string;
// {{#toJson}}name{{/toJson}} writes one as JSON, {{#join}}name{{/join}} a list with commas. Throws ApiError:
// a template that cannot be read, output over `most` bytes, or output that is no JSON.
json::Value render_template(const json::Value& source, const json::Value& parameters, std::size_t most,
                            const json::Bounds& bounds);

}  // namespace kelpdeal::search
