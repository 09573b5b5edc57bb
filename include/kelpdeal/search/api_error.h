// SPDX-License-Identifier: MIT
// An error as the search API reports it: thrown while a request is parsed or executed, and written to the
// client by the front.
#pragma once

#include <string>

#include "kelpdeal/time.h"

namespace kelpdeal::search {

struct ApiError {
  int status = 400;
  std::string type, reason, index;
  Duration retry_after{};  // for a refused request; 0: none stated
};

[[noreturn]] inline void throw_illegal_argument(std::string reason) {
  throw ApiError{400, "illegal_argument_exception", std::move(reason), {}, {}};
}
[[noreturn]] inline void throw_parsing_error(std::string reason) {
  throw ApiError{400, "parsing_exception", std::move(reason), {}, {}};
}
// A prefix of client-supplied text, for use in error messages.
inline std::string truncated(std::string_view text, std::size_t max_length = 80) {
  return text.size() <= max_length ? std::string(text) : std::string(text.substr(0, max_length)) + "...";
}

}  // namespace kelpdeal::search
