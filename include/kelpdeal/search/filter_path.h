// SPDX-License-Identifier: MIT
// The filter_path option: selects which parts of a response a client receives.
#pragma once

#include <string>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

// Applies paths such as "took,hits.hits._id,-_shards,**.score": names joined by dots, * within a name, ** for
// any number of levels, - to exclude. Throws ApiError for more than `max_paths` paths, more than 64 names in
// one path, or paths that take too many steps for this body.
json::Value filter_path(const json::Value& body, const std::string& paths, std::size_t max_paths = 64);

}  // namespace kelpdeal::search
