// SPDX-License-Identifier: MIT
#include "kelpdeal/search/operation.h"

#include <sodium.h>

#include <string_view>

#include "kelpdeal/json.h"

namespace kelpdeal::search {
namespace {

constexpr std::size_t kIdentityBytes = 16;

// A hash of several texts. Each is preceded by its size, so that no two lists of texts are hashed alike.
class Hash {
 public:
  Hash() { crypto_generichash_init(&state_, nullptr, 0, kIdentityBytes); }
  void add(std::string_view text) {
    update(std::to_string(text.size()) + ":");
    update(text);
  }
  std::string hex() {
    unsigned char hash[kIdentityBytes];
    crypto_generichash_final(&state_, hash, sizeof hash);
    char text[2 * sizeof hash + 1];
    sodium_bin2hex(text, sizeof text, hash, sizeof hash);
    return text;
  }

 private:
  void update(std::string_view bytes) {
    crypto_generichash_update(&state_, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
  }
  crypto_generichash_state state_;
};

}  // namespace

std::string identity_of(const Operation& operation) {
  Hash hash;
  for (const std::string_view part : {std::string_view(operation.client_key),
                                      std::string_view(operation.team), std::string_view(operation.index),
                                      std::string_view(operation.id), std::string_view(operation.routing)})
    hash.add(part);
  hash.add(operation.create ? "create" : "index");
  hash.add(json::compact(operation.document));
  return hash.hex();
}

}  // namespace kelpdeal::search
