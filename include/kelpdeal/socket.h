// SPDX-License-Identifier: MIT
// Non-blocking TCP sockets for coroutines. Every wait takes a deadline and can be cancelled.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kelpdeal/descriptor.h"
#include "kelpdeal/scheduler.h"
#include "kelpdeal/task.h"
#include "kelpdeal/time.h"

namespace kelpdeal {

struct Address {
  sockaddr_in raw{};
  // Parses "10.0.0.4:8000"; empty if the text is not of that form.
  static std::optional<Address> parse(std::string_view text);
  std::string text() const;
};

// The result of an I/O operation. `failed` covers every socket error, such as a reset.
enum class IoStatus { ok, end_of_stream, failed, timed_out, cancelled };

struct IoResult {
  IoStatus status = IoStatus::ok;
  std::size_t bytes = 0;
};

// A TCP connection. At most one reader and one writer may wait at a time. A peer that keeps the socket ready
// is served for a few operations in each turn of the scheduler.
class Stream : private ReadinessHandler {
 public:
  Stream(Scheduler& scheduler, Descriptor descriptor);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Reads at least one byte unless the status says otherwise.
  Task<IoResult> read_some(std::span<char> into, TimePoint deadline = kNever);
  // The result's `bytes` is the number of bytes written, whatever the status.
  Task<IoResult> write_all(std::string_view bytes, TimePoint deadline = kNever);
  // Writes the pieces one after another, so that large ones need not be copied into one text.
  Task<IoResult> write_pieces(std::vector<std::string_view> pieces, TimePoint deadline = kNever);
  // Waits until a non-blocking connect has completed.
  Task<IoStatus> wait_connected(TimePoint deadline);
  // Calls `action` once when the peer has closed or reset the connection; at once if it already has.
  void on_hang_up(std::function<void()> action);
  // Shuts down the sending side; the peer reads the end of the stream after the data sent so far.
  void finish_writing();
  // Cancels every current and future operation on this stream.
  void cancel();
  // Cancels the read and the write that are waiting, if any. Later ones are not affected.
  void interrupt();
  // The peer's address.
  Address peer() const;
  // True if data or the end of the stream can be read without waiting.
  bool has_input() const;
  // True if the peer has closed or reset the connection, even if data sent before that has not been read.
  bool peer_closed() const;

 private:
  void on_ready(std::uint32_t events) override;
  Scheduler& scheduler_;
  Descriptor descriptor_;
  Parker reader_, writer_;
  TurnBudget operations_;
  std::function<void()> hang_up_action_;
  bool cancelled_ = false, hung_up_ = false;
};

// Null if the connection could not be established before the deadline.
Task<std::unique_ptr<Stream>> connect(Scheduler& scheduler, Address to, TimePoint deadline);

// A listening TCP socket.
class Listener : private ReadinessHandler {
 public:
  // Binds `address`, or uses the listening socket `inherited` instead if it is given (during an upgrade the
  // platform passes one as descriptor 4). Throws std::system_error if the address cannot be bound or
  // `inherited` is not a listening socket.
  Listener(Scheduler& scheduler, Address address, int backlog, Descriptor inherited = {});
  ~Listener() override;
  // Waits for the next connection; null once the listener is closed.
  Task<std::unique_ptr<Stream>> accept();
  // Accepts a connection from the backlog without waiting; null if there is none.
  std::unique_ptr<Stream> try_accept();
  void close();
  Address address() const;

 private:
  void on_ready(std::uint32_t events) override;
  void bind_to(Address address, int backlog);
  void adopt_inherited();
  Scheduler& scheduler_;
  Descriptor descriptor_;
  Parker parker_;
  TurnBudget accepts_;
};

}  // namespace kelpdeal
