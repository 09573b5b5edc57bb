// SPDX-License-Identifier: MIT
// A library for LD_PRELOAD that disturbs the system calls of one process: sockets that fail for a moment,
// short reads and writes, interrupted waits, a wall clock that is stepped, and a disk that fails for a while.
//
// KELPDEAL_FAULT_SEED      seed of the random numbers
// KELPDEAL_FAULT_SYSCALLS  one in so many socket calls is disturbed; 0 or unset: none
// KELPDEAL_FAULT_CONTROL   a file of two whole numbers, read every 50 ms: the step of the wall clock in
// seconds,
//                          and 1 while writes to regular files fail with ENOSPC, 2 while they fail with EIO
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <initializer_list>

namespace {

constexpr std::int64_t kControlIntervalNs = 50'000'000;

template <typename Function>
Function* next_symbol(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

unsigned long read_number(const char* variable) {
  const char* text = getenv(variable);
  return text ? strtoul(text, nullptr, 10) : 0;
}

std::uint64_t next_random() {
  static std::uint64_t state = read_number("KELPDEAL_FAULT_SEED") + 1;
  std::uint64_t x = state += 0x9e3779b97f4a7c15ULL;  // splitmix64
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Whether this call is disturbed.
bool disturbed() {
  static const unsigned long one_in = read_number("KELPDEAL_FAULT_SYSCALLS");
  return one_in > 0 && next_random() % one_in == 0;
}

int fail_with(std::initializer_list<int> errors) {
  errno = errors.begin()[next_random() % errors.size()];
  return -1;
}

struct Control {
  long wall_clock_step_s = 0;
  int disk_fault = 0;  // 0: none, 1: ENOSPC, 2: EIO
};

const Control& control() {
  static Control current;
  static std::int64_t read_at = -kControlIntervalNs;
  static const char* const path = getenv("KELPDEAL_FAULT_CONTROL");
  static bool reading = false;
  if (!path || reading) return current;
  timespec now{};
  static const auto real = next_symbol<int(clockid_t, timespec*)>("clock_gettime");
  real(CLOCK_MONOTONIC, &now);
  const std::int64_t now_ns = now.tv_sec * 1'000'000'000 + now.tv_nsec;
  if (now_ns - read_at < kControlIntervalNs) return current;
  read_at = now_ns;
  reading = true;
  if (FILE* file = fopen(path, "re")) {
    Control next;
    if (fscanf(file, "%ld %d", &next.wall_clock_step_s, &next.disk_fault) == 2) current = next;
    fclose(file);
  }
  reading = false;
  return current;
}

// The error that a write to this descriptor is to fail with; 0 if none.
int disk_error(int descriptor) {
  const int fault = control().disk_fault;
  if (fault == 0) return 0;
  struct stat about {};
  if (fstat(descriptor, &about) != 0 || !S_ISREG(about.st_mode)) return 0;
  return fault == 1 ? ENOSPC : EIO;
}

size_t shorten(size_t size) { return size > 1 && disturbed() ? 1 + next_random() % size : size; }

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) {
  static const auto real = next_symbol<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, out);
  if (result == 0 && clock == CLOCK_REALTIME) out->tv_sec += control().wall_clock_step_s;
  return result;
}

int accept4(int listener, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next_symbol<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (disturbed()) return fail_with({ECONNABORTED, ENFILE, ENOBUFS, EINTR});
  return real(listener, address, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto real = next_symbol<int(int, int, int)>("socket");
  if (disturbed()) return fail_with({ENFILE, ENOBUFS});
  return real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = next_symbol<int(int, const sockaddr*, socklen_t)>("connect");
  if (disturbed()) return fail_with({EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH});
  return real(descriptor, address, size);
}

ssize_t recv(int descriptor, void* into, size_t size, int flags) {
  static const auto real = next_symbol<ssize_t(int, void*, size_t, int)>("recv");
  if (disturbed()) return fail_with({EINTR});
  return real(descriptor, into, flags & MSG_PEEK ? size : shorten(size), flags);
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  static const auto real = next_symbol<ssize_t(int, const void*, size_t, int)>("send");
  if (disturbed()) return fail_with({EINTR});
  return real(descriptor, bytes, shorten(size), flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = next_symbol<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (message->msg_iovlen > 0 && disturbed()) {
    if (next_random() % 2 == 0) return fail_with({EINTR});
    iovec first = message->msg_iov[0];
    first.iov_len = shorten(first.iov_len);
    msghdr shortened = *message;
    shortened.msg_iov = &first;
    shortened.msg_iovlen = 1;
    return real(descriptor, &shortened, flags);
  }
  return real(descriptor, message, flags);
}

int epoll_wait(int descriptor, epoll_event* events, int max_events, int timeout) {
  static const auto real = next_symbol<int(int, epoll_event*, int, int)>("epoll_wait");
  if (disturbed()) return fail_with({EINTR});
  return real(descriptor, events, max_events, timeout);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto real = next_symbol<ssize_t(int, const void*, size_t)>("write");
  if (const int error = disk_error(descriptor)) return fail_with({error});
  return real(descriptor, bytes, size);
}

ssize_t writev(int descriptor, const iovec* pieces, int count) {
  static const auto real = next_symbol<ssize_t(int, const iovec*, int)>("writev");
  if (const int error = disk_error(descriptor)) return fail_with({error});
  return real(descriptor, pieces, count);
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t size, off64_t offset) {
  static const auto real = next_symbol<ssize_t(int, const void*, size_t, off64_t)>("pwrite64");
  if (const int error = disk_error(descriptor)) return fail_with({error});
  return real(descriptor, bytes, size, offset);
}

int fsync(int descriptor) {
  static const auto real = next_symbol<int(int)>("fsync");
  if (const int error = disk_error(descriptor)) return fail_with({error});
  return real(descriptor);
}

int fdatasync(int descriptor) {
  static const auto real = next_symbol<int(int)>("fdatasync");
  if (const int error = disk_error(descriptor)) return fail_with({error});
  return real(descriptor);
}

}  // extern "C"
