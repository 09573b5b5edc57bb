// SPDX-License-Identifier: MIT
// The identity of a write operation, by which record nodes drop a repeat. It is made of what the client sends
// and sends again, and of nothing else: neither of the request that carries the operation (alone, or in a
// bulk at some place) nor of anything that a coordinator draws, counts or times.
#pragma once

#include <string>

namespace kelpdeal::search {

struct Operation {
  std::string client_key;  // Idempotency-Key of the request; may be empty
  std::string team;        // X-Team; may be empty
  std::string index;       // name of the index itself, not of an alias
  std::string id;          // as given by the client; may be empty
  std::string routing;     // as given by the client; may be empty
  bool create = false;
  std::string document;  // valid JSON
};

// 32 hexadecimal digits. Equal for equal operations; white space between the document's tokens does not
// count.
std::string identity_of(const Operation& operation);

}  // namespace kelpdeal::search
