// SPDX-License-Identifier: MIT
// Received bytes that are consumed from the front. Consuming is constant time on average: the bytes that
// remain are moved only when they are fewer than those consumed.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace kelpdeal {

class ReceiveBuffer {
 public:
  void append(std::string_view bytes) { bytes_.append(bytes); }
  // The bytes not consumed yet. Valid until the next call of another member.
  std::string_view view() const { return std::string_view(bytes_).substr(consumed_); }
  std::size_t size() const { return bytes_.size() - consumed_; }
  bool empty() const { return size() == 0; }
  void consume(std::size_t count) {
    consumed_ += count;
    if (consumed_ <= bytes_.size() / 2) return;
    bytes_.erase(0, consumed_);
    consumed_ = 0;
  }
  void clear() {
    bytes_.clear();
    consumed_ = 0;
  }

 private:
  std::string bytes_;
  std::size_t consumed_ = 0;
};

}  // namespace kelpdeal
