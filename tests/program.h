// SPDX-License-Identifier: MIT
// The program itself as a process, for tests that speak to it over sockets.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>

#include "stand_ins.h"

extern char** environ;

namespace kelpdeal::test {

// A process of the program, ended by its id when this goes away.
class Program {
 public:
  // `extra` adds to its environment; `passed`, if not -1, becomes its descriptor 4. `path`: of another
  // program.
  Program(TestCluster& world, const std::string& config, const std::string& listen,
          std::vector<std::string> arguments = {}, std::vector<std::string> extra = {}, int passed = -1,
          const char* path = KELPDEAL_PROGRAM) {
    path_ = testing::TempDir() + "kelpdeal-" + std::to_string(::getpid()) + "-" +
            std::to_string(reinterpret_cast<std::uintptr_t>(this)) + ".json";
    std::ofstream(path_) << config;
    std::vector<std::string> environment = {"GW_NAME=n0", "GW_LISTEN=" + listen,
                                            "GW_DISCOVERY=" + world.discovery->address(),
                                            "GW_CONFIG=" + path_};
    environment.insert(environment.end(), extra.begin(), extra.end());
    for (char** entry = environ; *entry; ++entry)
      if (!std::string_view(*entry).starts_with("GW_")) environment.push_back(*entry);
    arguments.insert(arguments.begin(), path);
    int pipe[2];
    EXPECT_EQ(::pipe2(pipe, O_CLOEXEC), 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe[1], 2);
    if (passed >= 0) posix_spawn_file_actions_adddup2(&actions, passed, 4);
    std::vector<char*> argv, envp;
    for (std::string& argument : arguments) argv.push_back(argument.data());
    for (std::string& entry : environment) envp.push_back(entry.data());
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    EXPECT_EQ(::posix_spawn(&pid_, path, &actions, nullptr, argv.data(), envp.data()), 0);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    log_ = ::fdopen(pipe[0], "r");
  }
  ~Program() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      wait();
    }
    std::fclose(log_);
    std::remove(path_.c_str());
  }

  // The next line of its log; empty at the end.
  std::string line() {
    char buffer[1024];
    if (!std::fgets(buffer, sizeof buffer, log_)) return {};
    std::string text(buffer);
    if (text.ends_with('\n')) text.pop_back();
    return text;
  }
  // The address that the next start line names; other lines before it are passed over.
  std::string address() {
    std::string text = line();
    while (!text.empty() && !text.starts_with("kelpdeal start: ") && !text.starts_with("kelpdeal: "))
      text = line();
    return text.substr(text.rfind(' ') + 1);
  }
  std::string rest() {
    std::string all;
    for (std::string text = line(); !text.empty(); text = line()) all += text + "\n";
    return all;
  }
  // What it has logged meanwhile is passed over: a pipe that nobody reads fills up, and holds it.
  void drain() {
    const int fd = ::fileno(log_);
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    char buffer[4096];
    while (::read(fd, buffer, sizeof buffer) > 0) {
    }
  }
  pid_t id() const { return pid_; }
  void signal(int number) { ::kill(pid_, number); }
  void replace_config(const std::string& config) { std::ofstream(path_) << config; }
  bool running() {
    if (pid_ <= 0) return false;
    if (::waitpid(pid_, &status_, WNOHANG) == 0) return true;
    pid_ = 0;
    return false;
  }
  int wait() {
    if (pid_ > 0) ::waitpid(pid_, &status_, 0);
    pid_ = 0;
    return status_;
  }

 private:
  pid_t pid_ = 0;
  int status_ = 0;
  std::FILE* log_ = nullptr;
  std::string path_;
};

// A listening socket of the test's, as the platform holds one at an upgrade.
inline Descriptor listening_socket() {
  Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  EXPECT_EQ(::listen(socket.get(), 64), 0);
  return socket;
}

inline std::string local_address(int fd) {
  Address address;
  socklen_t size = sizeof address.raw;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address.raw), &size);
  return address.text();
}

inline http::Request get(const char* target) {
  http::Request request;
  request.method = "GET";
  request.target = target;
  return request;
}

}  // namespace kelpdeal::test
