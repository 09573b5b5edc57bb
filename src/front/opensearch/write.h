// SPDX-License-Identifier: MIT
// What single writes and bulks have in common.
#pragma once

#include <optional>
#include <string>

#include "call.h"
#include "kelpdeal/search/operation.h"

namespace kelpdeal {
namespace opensearch {

// The request's Idempotency-Key; empty if it has none. Throws ApiError.
std::string client_key_of(const Call& call);
// Throws ApiError if the client asks for a refresh.
void reject_refresh(search::Parameters& parameters);

}  // namespace opensearch

// A document to be written.
struct OpenSearchFront::Write {
  const IndexContract* index = nullptr;
  std::string class_name;
  search::Operation operation;
  std::string id, key;           // under which the document is recorded, and by which a repeat is told
  bool has_action_line = false;  // the node receives an action line before the document
  std::optional<Duration> timeout;
  std::string action_name;   // action name of a bulk item
  admission::Charge memory;  // of the document of a bulk item
};

}  // namespace kelpdeal
