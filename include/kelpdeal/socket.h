// SPDX-License-Identifier: MIT
// TCP over epoll for coroutines: every wait has a deadline and can be cancelled.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "kelpdeal/descriptor.h"
#include "kelpdeal/scheduler.h"
#include "kelpdeal/task.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

struct Address {
  sockaddr_in raw{};
  // "10.0.0.4:8000"; nothing if it is not of that form.
  static std::optional<Address> parse(std::string_view text);
  std::string text() const;
};

enum class IoStatus { ok, end_of_stream, failed, timed_out, cancelled };

struct IoResult {
  IoStatus status = IoStatus::ok;
  std::size_t bytes = 0;
};

// One connected stream. A reader and a writer may wait at the same time, one of each.
class Stream : private ReadinessHandler {
 public:
  Stream(Scheduler& scheduler, Descriptor descriptor);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Ok with at least one byte, or why not.
  Task<IoResult> read_some(std::span<char> into, TimePoint deadline = kNever);
  // `bytes` tells how far it came, whatever the outcome.
  Task<IoResult> write_all(std::string_view bytes, TimePoint deadline = kNever);
  // Waits for the connection to come up.
  Task<IoStatus> connected(TimePoint deadline);
  // Tells, once, when the other side has closed or reset the connection; also if it already has.
  void on_hang_up(std::function<void()> action);
  // Nothing more will be written; the other side sees an end once all is read.
  void finish_writing();
  // Ends whatever waits here, now and later.
  void cancel();
  // Ends the read that waits here, if one does, as cancelled; what is read later is read as ever.
  void interrupt();
  // The address at the other side.
  Address peer() const;
  // True if bytes or an end are there to be read.
  bool has_input() const;
  // True if the other side has closed or reset the connection, also behind bytes that nobody has read yet.
  bool peer_closed() const;

 private:
  void on_ready(std::uint32_t events) override;
  Scheduler& scheduler_;
  Descriptor descriptor_;
  Parker reader_, writer_;
  std::function<void()> hang_up_;
  bool cancelled_ = false, hung_up_ = false;
};

// Null if the connection did not come up in time.
Task<std::unique_ptr<Stream>> connect(Scheduler& scheduler, Address to, TimePoint deadline);

class Listener : private ReadinessHandler {
 public:
  // Binds the address, or, given `inherited`, takes over that socket as it listens (one handed down by the
  // platform, descriptor 4 at an upgrade) and the address is not used. Throws std::system_error if the
  // address cannot be had or `inherited` is no listening socket.
  Listener(Scheduler& scheduler, Address address, int backlog, Descriptor inherited = {});
  ~Listener() override;
  // Null once closed.
  Task<std::unique_ptr<Stream>> accept();
  // What is up already and waits to be accepted; null if nothing does.
  std::unique_ptr<Stream> try_accept();
  void close();
  Address address() const;

 private:
  void on_ready(std::uint32_t events) override;
  void bind_to(Address address, int backlog);
  void adopt();
  Scheduler& scheduler_;
  Descriptor descriptor_;
  Parker parker_;
};

}  // namespace kelpdeal
