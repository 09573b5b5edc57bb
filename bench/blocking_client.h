// SPDX-License-Identifier: MIT
// An HTTP client on a blocking socket, for measurements whose clients run in threads of their own.
#pragma once

#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

#include "kelpdeal/descriptor.h"
#include "kelpdeal/socket.h"

namespace kelpdeal::test {

class Client {
 public:
  explicit Client(const std::string& address, std::chrono::seconds answer_timeout = std::chrono::seconds(2))
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const Address to = *Address::parse(address);
    if (::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&to.raw), sizeof to.raw) != 0)
      socket_.reset();
    const timeval timeout{answer_timeout.count(), 0};
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  bool send(const std::string& bytes) {
    return ::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  // Reads until `count` responses have begun to arrive; false if the connection ends or falls silent first.
  bool read_responses(std::size_t count) {
    char buffer[65536];
    while (count > 0) {
      const ssize_t got = ::recv(socket_.get(), buffer, sizeof buffer, 0);
      if (got <= 0) return false;
      tail_.append(buffer, static_cast<std::size_t>(got));
      std::size_t at = 0;
      for (std::size_t next; count > 0 && (next = tail_.find(kStatusLine, at)) != std::string::npos; --count)
        at = next + kStatusLine.size();
      tail_.erase(0, std::max(at, tail_.size() - std::min(tail_.size(), kStatusLine.size() - 1)));
    }
    return true;
  }
  // Reads until the other side ends the connection, or falls silent.
  std::string read_to_end() {
    std::string all;
    char buffer[65536];
    for (ssize_t got; (got = ::recv(socket_.get(), buffer, sizeof buffer, 0)) > 0;)
      all.append(buffer, static_cast<std::size_t>(got));
    return all;
  }

 private:
  static constexpr std::string_view kStatusLine = "HTTP/1.1 ";
  Descriptor socket_;
  std::string tail_;  // of the received bytes: may hold the beginning of a status line
};

}  // namespace kelpdeal::test
