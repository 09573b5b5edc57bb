// SPDX-License-Identifier: MIT
// filter_path: what of an answer a client wants to see.
#pragma once

#include <string>

#include "kelpdeal/json.h"

namespace kelpdeal::search {

// "took,hits.hits._id,-_shards,**.score": names joined by dots, * within a name, ** for any depth, - to leave
// out. Throws ApiError if there are more than `most` of them, or more than 64 names in one.
json::Value filter_path(const json::Value& body, const std::string& paths, std::size_t most = 64);

}  // namespace kelpdeal::search
