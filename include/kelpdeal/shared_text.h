// SPDX-License-Identifier: MIT
// Immutable text that all its users share, so that it is held in memory once.
#pragma once

#include <memory>
#include <string>
#include <utility>

namespace kelpdeal {

class SharedText {
 public:
  SharedText() = default;
  SharedText(std::string text) : text_(std::make_shared<const std::string>(std::move(text))) {}
  SharedText(const char* text) : SharedText(std::string(text)) {}
  SharedText(std::shared_ptr<const std::string> text) : text_(std::move(text)) {}
  const std::string& str() const {
    static const std::string empty;
    return text_ ? *text_ : empty;
  }
  std::size_t size() const { return str().size(); }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace kelpdeal
