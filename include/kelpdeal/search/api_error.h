// SPDX-License-Identifier: MIT
// An error in the search API's terms; thrown by whatever reads a request, written by the front.
#pragma once

#include <string>

#include "kelpdeal/time.h"

namespace kelpdeal::search {

struct ApiError {
  int status = 400;
  std::string type, reason, index;
  Duration retry_after{};  // of a refusal; 0: no advice
};

[[noreturn]] inline void throw_illegal_argument(std::string reason) {
  throw ApiError{400, "illegal_argument_exception", std::move(reason), {}, {}};
}
[[noreturn]] inline void throw_parsing_error(std::string reason) {
  throw ApiError{400, "parsing_exception", std::move(reason), {}, {}};
}
// What clients hear of text that is not theirs to have in full.
inline std::string truncated(std::string_view text, std::size_t most = 80) {
  return text.size() <= most ? std::string(text) : std::string(text.substr(0, most)) + "...";
}

}  // namespace kelpdeal::search
