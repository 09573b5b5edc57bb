// SPDX-License-Identifier: MIT
// Three-way comparison, for sorting by several criteria.
#pragma once

namespace kelpdeal::search {

// Negative if `a` comes before `b`, positive if it comes after it, else 0.
template <typename T>
int order_of(const T& a, const T& b) {
  return a < b ? -1 : b < a ? 1 : 0;
}

}  // namespace kelpdeal::search
