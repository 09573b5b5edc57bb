// SPDX-License-Identifier: MIT
#include "kelpdeal/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <system_error>

namespace kelpdeal {
namespace {

// A request that is answered at once takes a read, a write, and a read that waits for the next request.
constexpr int kOperationsPerTurn = 4;
constexpr int kAcceptsPerTurn = 16;
// Of one call of accept(), for connections that fail as they are accepted.
constexpr int kMaxAcceptAttempts = 16;

IoStatus io_status(WakeReason wake) {
  return wake == WakeReason::timed_out ? IoStatus::timed_out : IoStatus::cancelled;
}

void set_no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

[[noreturn]] void throw_errno(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

// Null if epoll cannot watch another descriptor; the connection is then dropped instead of an exception
// ending its caller.
std::unique_ptr<Stream> make_stream(Scheduler& scheduler, Descriptor descriptor) {
  try {
    return std::make_unique<Stream>(scheduler, std::move(descriptor));
  } catch (const std::system_error&) {
    return nullptr;
  }
}

}  // namespace

std::optional<Address> Address::parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address address;
  address.raw.sin_family = AF_INET;
  const std::string host(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  const auto got = std::from_chars(port.data(), port.data() + port.size(), number);
  if (port.empty() || got.ec != std::errc() || got.ptr != port.data() + port.size()) return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &address.raw.sin_addr) != 1) return std::nullopt;
  address.raw.sin_port = htons(number);
  return address;
}

std::string Address::text() const {
  char host[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &raw.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(raw.sin_port));
}

Stream::Stream(Scheduler& scheduler, Descriptor descriptor)
    : scheduler_(scheduler),
      descriptor_(std::move(descriptor)),
      reader_(scheduler),
      writer_(scheduler),
      operations_(scheduler, kOperationsPerTurn) {
  set_no_delay(descriptor_.get());
  scheduler_.watch(descriptor_.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, *this);
}

Stream::~Stream() { scheduler_.unwatch(descriptor_.get(), *this); }

void Stream::on_ready(std::uint32_t events) {
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) reader_.wake();
  if (events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) writer_.wake();
  if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
    hung_up_ = true;
    if (const auto action = std::exchange(hang_up_action_, nullptr)) action();
  }
}

void Stream::on_hang_up(std::function<void()> action) {
  hang_up_action_ = std::move(action);
  if (hung_up_ && hang_up_action_) std::exchange(hang_up_action_, nullptr)();
}

void Stream::finish_writing() { ::shutdown(descriptor_.get(), SHUT_WR); }

void Stream::cancel() {
  cancelled_ = true;
  reader_.wake(WakeReason::cancelled);
  writer_.wake(WakeReason::cancelled);
}

void Stream::interrupt() {
  reader_.wake(WakeReason::cancelled);
  writer_.wake(WakeReason::cancelled);
}

bool Stream::peer_closed() const {
  if (hung_up_) return true;
  pollfd one{descriptor_.get(), POLLIN | POLLRDHUP, 0};
  if (::poll(&one, 1, 0) <= 0) return false;
  if (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) return true;
  char byte = 0;
  return ::recv(descriptor_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

Address Stream::peer() const {
  Address address;
  socklen_t size = sizeof address.raw;
  ::getpeername(descriptor_.get(), reinterpret_cast<sockaddr*>(&address.raw), &size);
  return address;
}

bool Stream::has_input() const {
  pollfd one{descriptor_.get(), POLLIN, 0};
  return ::poll(&one, 1, 0) > 0;
}

Task<IoResult> Stream::read_some(std::span<char> into, TimePoint deadline) {
  if (!operations_.take() && co_await reader_.park(Clock::now()) == WakeReason::cancelled)
    co_return IoResult{IoStatus::cancelled, 0};
  while (!cancelled_) {
    const ssize_t got = ::recv(descriptor_.get(), into.data(), into.size(), 0);
    if (got > 0) co_return IoResult{IoStatus::ok, static_cast<std::size_t>(got)};
    if (got == 0) co_return IoResult{IoStatus::end_of_stream, 0};
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return IoResult{IoStatus::failed, 0};
    const WakeReason wake = co_await reader_.park(deadline);
    if (wake != WakeReason::ready) co_return IoResult{io_status(wake), 0};
  }
  co_return IoResult{IoStatus::cancelled, 0};
}

Task<IoResult> Stream::write_all(std::string_view bytes, TimePoint deadline) {
  return write_pieces({bytes}, deadline);
}

Task<IoResult> Stream::write_pieces(std::vector<std::string_view> pieces, TimePoint deadline) {
  std::size_t done = 0;
  if (!operations_.take()) {
    if (co_await writer_.park(Clock::now()) == WakeReason::cancelled)
      co_return IoResult{IoStatus::cancelled, 0};
    if (Clock::now() >= deadline) co_return IoResult{IoStatus::timed_out, 0};  // must not begin late
  }
  for (std::string_view piece : pieces) {
    while (!cancelled_ && !piece.empty()) {
      const ssize_t put = ::send(descriptor_.get(), piece.data(), piece.size(), MSG_NOSIGNAL);
      if (put >= 0) {
        done += static_cast<std::size_t>(put);
        piece.remove_prefix(static_cast<std::size_t>(put));
        continue;
      }
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) co_return IoResult{IoStatus::failed, done};
      const WakeReason wake = co_await writer_.park(deadline);
      if (wake != WakeReason::ready) co_return IoResult{io_status(wake), done};
    }
    if (!piece.empty()) co_return IoResult{IoStatus::cancelled, done};
  }
  co_return IoResult{IoStatus::ok, done};
}

Task<IoStatus> Stream::wait_connected(TimePoint deadline) {
  while (!cancelled_) {
    pollfd one{descriptor_.get(), POLLOUT, 0};
    if (::poll(&one, 1, 0) > 0) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(descriptor_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
      co_return error == 0 && !(one.revents & (POLLERR | POLLHUP)) ? IoStatus::ok : IoStatus::failed;
    }
    const WakeReason wake = co_await writer_.park(deadline);
    if (wake != WakeReason::ready) co_return io_status(wake);
  }
  co_return IoStatus::cancelled;
}

Task<std::unique_ptr<Stream>> connect(Scheduler& scheduler, Address to, TimePoint deadline) {
  Descriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) co_return nullptr;
  const int started = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to.raw), sizeof to.raw);
  if (started != 0 && errno != EINPROGRESS) co_return nullptr;
  auto stream = make_stream(scheduler, std::move(fd));
  if (!stream || co_await stream->wait_connected(deadline) != IoStatus::ok) co_return nullptr;
  // On loopback the connection is up at once: a loop that connects again and again would never suspend.
  co_await scheduler.next_turn();
  co_return stream;
}

Listener::Listener(Scheduler& scheduler, Address address, int backlog, Descriptor inherited)
    : scheduler_(scheduler),
      descriptor_(std::move(inherited)),
      parker_(scheduler),
      accepts_(scheduler, kAcceptsPerTurn) {
  if (descriptor_)
    adopt_inherited();
  else
    bind_to(address, backlog);
  scheduler_.watch(descriptor_.get(), EPOLLIN | EPOLLET, *this);
}

void Listener::bind_to(Address address, int backlog) {
  descriptor_ = Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!descriptor_) throw_errno("socket");
  const int on = 1;
  ::setsockopt(descriptor_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(descriptor_.get(), reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0)
    throw_errno("bind " + address.text());
  if (::listen(descriptor_.get(), backlog) != 0) throw_errno("listen " + address.text());
}

void Listener::adopt_inherited() {
  int listening = 0;
  socklen_t size = sizeof listening;
  if (::getsockopt(descriptor_.get(), SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0)
    throw_errno("passed socket " + std::to_string(descriptor_.get()));
  if (listening == 0) {
    errno = EINVAL;
    throw_errno("passed socket " + std::to_string(descriptor_.get()) + " is not a listening socket");
  }
  const int flags = ::fcntl(descriptor_.get(), F_GETFL);
  ::fcntl(descriptor_.get(), F_SETFL, flags | O_NONBLOCK);
  ::fcntl(descriptor_.get(), F_SETFD, FD_CLOEXEC);
}

Listener::~Listener() { close(); }

void Listener::on_ready(std::uint32_t) { parker_.wake(); }

void Listener::close() {
  if (!descriptor_) return;
  scheduler_.unwatch(descriptor_.get(), *this);
  descriptor_.reset();
  parker_.wake(WakeReason::cancelled);
}

Address Listener::address() const {
  Address address;
  socklen_t size = sizeof address.raw;
  ::getsockname(descriptor_.get(), reinterpret_cast<sockaddr*>(&address.raw), &size);
  return address;
}

std::unique_ptr<Stream> Listener::try_accept() {
  for (int attempt = 0; descriptor_ && attempt < kMaxAcceptAttempts; ++attempt) {
    Descriptor fd(::accept4(descriptor_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) {
      if (auto stream = make_stream(scheduler_, std::move(fd))) return stream;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return nullptr;
    }
  }
  errno = EMFILE;  // as for connections that cannot be taken: accept() tries again after a pause
  return nullptr;
}

Task<std::unique_ptr<Stream>> Listener::accept() {
  if (!accepts_.take()) co_await parker_.park(Clock::now());
  while (descriptor_) {
    if (auto stream = try_accept()) co_return stream;
    // If accept failed for lack of descriptors, the edge-triggered event has been consumed and no new one
    // will come, so retry after a short pause.
    const bool out_of_descriptors = errno != EAGAIN && errno != EWOULDBLOCK;
    co_await parker_.park(out_of_descriptors ? Clock::now() + Milliseconds(20) : kNever);
  }
  co_return nullptr;
}

}  // namespace kelpdeal
