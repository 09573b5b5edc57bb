// SPDX-License-Identifier: MIT
// Received bytes that are consumed from the front. Consuming is constant time on average: the bytes that
// remain are moved only when they are fewer than those consumed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace kelpdeal {

// Appends with little unused capacity: std::string would double it. `expected_size`, if known, is the size
// that the text will have in the end, and is not exceeded.
inline void append_tightly(std::string& text, std::string_view bytes, std::size_t expected_size = 0) {
  constexpr std::size_t kGrowthDivisor = 4;
  const std::size_t needed = text.size() + bytes.size();
  if (needed > text.capacity()) {
    std::size_t capacity = needed + needed / kGrowthDivisor;
    if (expected_size >= needed) capacity = std::min(capacity, expected_size);
    std::string larger;
    larger.reserve(capacity);
    larger += text;
    text.swap(larger);
  }
  text.append(bytes);
}

// Empties a value and frees its memory. Assigning an empty value would keep the memory of strings.
template <typename T>
void free_memory(T& value) {
  const T dropped = std::move(value);
  value = T();
}

class ReceiveBuffer {
 public:
  void append(std::string_view bytes) {
    if (bytes_.size() + bytes.size() > bytes_.capacity()) discard_consumed();
    append_tightly(bytes_, bytes);
  }
  // The bytes not consumed yet. Valid until the next call of another member.
  std::string_view view() const { return std::string_view(bytes_).substr(consumed_); }
  std::size_t size() const { return bytes_.size() - consumed_; }
  bool empty() const { return size() == 0; }
  // The memory in use, in bytes.
  std::size_t held_bytes() const { return bytes_.capacity(); }
  void consume(std::size_t count) {
    consumed_ += count;
    if (empty())
      clear();
    else if (consumed_ > bytes_.size() / 2)
      discard_consumed();
  }
  void clear() {
    consumed_ = 0;
    if (bytes_.capacity() > kKeptCapacity)
      free_memory(bytes_);
    else
      bytes_.clear();
  }

 private:
  static constexpr std::size_t kKeptCapacity = 512;
  void discard_consumed() {
    bytes_.erase(0, consumed_);
    consumed_ = 0;
  }
  std::string bytes_;
  std::size_t consumed_ = 0;
};

}  // namespace kelpdeal
