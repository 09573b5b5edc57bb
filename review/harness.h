// Shared by the review's cases: small stand-ins of discovery, record nodes and clients on loopback addresses, and
// the start of the project's program with the command of the deploy file. They follow PROTOCOL-kelpdeal.md.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point kStart = Clock::now();
inline double ms_between(Clock::time_point a, Clock::time_point b) {
  return std::chrono::duration<double, std::milli>(b - a).count();
}
inline double now_ms() { return ms_between(kStart, Clock::now()); }
inline void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

// ---- the record ----
inline std::FILE* record_file = nullptr;
inline std::mutex record_mutex;
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  if (!record_file) return;
  std::fprintf(record_file, "%10.1f ", now_ms());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// ---- processes; all of them end with this program ----
inline std::vector<pid_t> children;
inline void end_children() {
  for (const pid_t child : children) ::kill(child, SIGKILL);
  for (const pid_t child : children) ::waitpid(child, nullptr, 0);
  children.clear();
}
[[noreturn]] inline void finish(int code) {
  end_children();
  record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
[[noreturn]] inline void cannot_run(const std::string& why) {
  record("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  finish(2);
}
inline void start_case(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: %s REPOSITORY RUN_COMMAND RECORD_FILE\n", argv[0]);
    std::exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(argv[3], "w");
  if (!record_file) std::exit(2);
  std::thread([] {  // the whole case takes 120 s at the most
    sleep_ms(110'000);
    cannot_run("it took too long");
  }).detach();
}

// ---- sockets ----
inline int listen_on_loopback(int& port, int backlog = 512) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0)
    cannot_run("no port to listen on");
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
inline int connect_to(int port, int timeout_ms = 1000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    pollfd one{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&one, 1, timeout_ms) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t put = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (put <= 0) return false;
    done += static_cast<std::size_t>(put);
  }
  return true;
}

// ---- discovery: the whole list, and watches that wait ----
class Discovery {
 public:
  Discovery() : fd_(listen_on_loopback(port)) {
    std::thread([this] {
      for (;;) {
        const int client = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        std::thread([this, client] { serve(client); }).detach();
      }
    }).detach();
  }
  int port = 0;
  void set(const std::string& uid, int node_port, int cell, const std::string& state, const std::string& zone) {
    const std::lock_guard lock(mutex_);
    ++version_;
    std::ostringstream entry;
    entry << "{\"uid\":\"" << uid << "\",\"endpoint\":\"127.0.0.1:" << node_port << "\",\"az\":\"" << zone
          << "\",\"model\":\"standard-2core\",\"pod_group\":" << cell << ",\"state\":\"" << state
          << "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    targets_[uid] = {entry.str(), version_};
    changed_.notify_all();
    record("discovery lists %s as %s, version %llu", uid.c_str(), state.c_str(),
           static_cast<unsigned long long>(version_));
  }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list(true, 0);
  }

 private:
  struct Target {
    std::string entry;
    std::uint64_t version = 0;
  };
  std::string list(bool all, std::uint64_t after) {
    std::string body = "{\"rev\":" + std::to_string(version_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
    bool first = true;
    for (const auto& [uid, target] : targets_) {
      if (!all && target.version <= after) continue;
      body += (first ? "" : ",") + target.entry;
      first = false;
    }
    return body + "]}";
  }
  void serve(int client) {
    std::string input;
    char chunk[4096];
    for (;;) {
      const std::size_t end = input.find("\r\n\r\n");
      if (end == std::string::npos) {
        const ssize_t got = ::recv(client, chunk, sizeof chunk, 0);
        if (got <= 0) break;
        input.append(chunk, static_cast<std::size_t>(got));
        continue;
      }
      const std::string head = input.substr(0, end);
      input.erase(0, end + 4);
      std::string body;
      {
        std::unique_lock lock(mutex_);
        const std::size_t index = head.find("index="), wait = head.find("wait=");
        if (index == std::string::npos) {
          body = list(true, 0);
        } else {
          const std::uint64_t after = std::strtoull(head.c_str() + index + 6, nullptr, 10);
          const long wait_ms = wait == std::string::npos ? 0 : std::strtol(head.c_str() + wait + 5, nullptr, 10);
          changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return version_ > after; });
          body = list(false, after);
        }
      }
      if (!write_all(client, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body))
        break;
    }
    ::close(client);
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Target> targets_;
  std::uint64_t version_ = 40;
  int fd_;
};

// ---- record nodes ----
struct Part {
  std::string id, list, text;
  int shard = 0;
  double at_ms = 0;
};

// The value that a node makes for a part: it depends on the shard and on the query's text, and on nothing else.
inline std::string value_for(int shard, const std::string& text) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
  char value[64];
  std::snprintf(value, sizeof value, "s%d-%016llx", shard, static_cast<unsigned long long>(hash));
  return value;
}

class Node {
 public:
  Node(std::string name, int cell_number) : uid(std::move(name)), cell(cell_number), fd_(listen_on_loopback(port)) {
    std::thread([this] {
      for (;;) {
        const int client = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        const int on = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, client] { serve(std::make_shared<Connection>(client)); }).detach();
      }
    }).detach();
    std::thread([this] { answer_all(); }).detach();
  }
  std::string uid;
  int cell, port = 0;
  std::atomic<double> work_ms{85};                    // how long a part takes
  std::function<double(const Part&)> work_of;         // the same, by part, where set
  std::function<void(const Node&, const Part&)> seen;  // told of each part as its frame is complete

 private:
  struct Connection {
    explicit Connection(int socket) : fd(socket) {}
    ~Connection() { ::close(fd); }
    int fd;
    std::mutex mutex;
    std::map<std::string, int> open;  // ids that were not given up, and how many parts came under each
  };
  struct Due {
    Clock::time_point at;
    std::shared_ptr<Connection> connection;
    std::string id, answer;
    bool operator>(const Due& other) const { return at > other.at; }
  };
  static std::string frame(char letter, const std::string& rest) {
    const std::uint32_t length = static_cast<std::uint32_t>(rest.size() + 1);
    std::string bytes;
    for (int i = 0; i < 4; ++i) bytes += static_cast<char>(length >> (8 * i) & 255);
    return bytes + letter + rest;
  }
  void serve(std::shared_ptr<Connection> connection) {
    std::string input;
    std::vector<char> chunk(65536);
    for (;;) {
      const ssize_t got = ::recv(connection->fd, chunk.data(), chunk.size(), 0);
      if (got <= 0) return;
      input.append(chunk.data(), static_cast<std::size_t>(got));
      while (input.size() >= 4) {
        std::uint32_t length = 0;
        for (int i = 0; i < 4; ++i)
          length |= static_cast<std::uint32_t>(static_cast<unsigned char>(input[static_cast<std::size_t>(i)])) << (8 * i);
        if (input.size() < 4 + length) break;
        const char letter = input[4];
        const std::string rest = input.substr(5, length - 1);
        input.erase(0, 4 + length);
        if (letter == '1') take_call(connection, rest);
        if (letter == '2') {
          const std::lock_guard lock(connection->mutex);
          connection->open.erase(rest);
        }
        if (letter == '3' || letter == '4') {
          const std::lock_guard lock(connection->mutex);
          write_all(connection->fd, frame(letter, letter == '3' ? "S" : "-"));
        }
      }
    }
  }
  void take_call(const std::shared_ptr<Connection>& connection, std::string rest) {
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      if (end == std::string::npos) return;
      std::istringstream line(rest.substr(0, end));
      Part part;
      std::size_t length = 0;
      line >> part.id >> part.shard >> part.list >> length;
      part.text = rest.substr(end + 1, length);
      part.at_ms = now_ms();
      rest.erase(0, end + 1 + length);
      if (seen) seen(*this, part);
      {
        const std::lock_guard lock(connection->mutex);
        ++connection->open[part.id];
      }
      const double work = work_of ? work_of(part) : work_ms.load();
      const std::lock_guard lock(mutex_);
      due_.push({Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(work)),
                 connection, part.id, part.id + " S 1000 -\n" + value_for(part.shard, part.text)});
      wakeup_.notify_all();
    }
  }
  void answer_all() {
    std::unique_lock lock(mutex_);
    for (;;) {
      if (due_.empty()) {
        wakeup_.wait(lock);
        continue;
      }
      if (due_.top().at > Clock::now()) {
        wakeup_.wait_until(lock, due_.top().at);
        continue;
      }
      const Due due = due_.top();
      due_.pop();
      lock.unlock();
      {
        const std::lock_guard connection_lock(due.connection->mutex);
        const auto open = due.connection->open.find(due.id);
        if (open != due.connection->open.end()) {
          if (--open->second == 0) due.connection->open.erase(open);
          write_all(due.connection->fd, frame('5', due.answer));
        }
      }
      lock.lock();
    }
  }
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::priority_queue<Due, std::vector<Due>, std::greater<Due>> due_;
  int fd_;
};

// ---- a small deployment: 12 record nodes in a ring, each slice on two of them, three sites ----
constexpr int kNodes = 12, kShards = 24;
inline const char* const kZones[] = {"derby", "leicester", "nottingham"};

struct Deployment {
  Discovery discovery;
  std::vector<std::unique_ptr<Node>> nodes;
  Deployment() {
    for (int i = 0; i < kNodes; ++i) nodes.push_back(std::make_unique<Node>("s-node" + std::to_string(i), i));
  }
  // Called once the nodes' callbacks are set.
  void list_nodes() {
    for (const auto& node : nodes) discovery.set(node->uid, node->port, node->cell, "in_service", kZones[node->cell % 3]);
  }
  // Settings after midlands-register: three coordinators, about 22 queries a second. `open_cap` is 3 s of one
  // coordinator's share of that (7.3 queries of 4.7 queries and parts in the mean).
  std::string config(const std::string& name, const std::string& seed, int open_cap = 103) {
    std::ostringstream out;
    out << "{\"name\":\"" << name << "\",\"discovery\":\"127.0.0.1:" << discovery.port << "\",\"seed\":\"" << seed
        << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" << discovery.whole_list()
        << ",\"settings\":{\"grades\":["
           "{\"name\":\"area-report\",\"sloMs\":2500,\"deadlineMs\":7500,\"effect\":\"idempotent\",\"worth\":3,"
           "\"lateWorth\":0.1,\"stream\":false},"
           "{\"name\":\"equipment-search\",\"sloMs\":1500,\"deadlineMs\":4000,\"effect\":\"idempotent\",\"worth\":1,"
           "\"lateWorth\":0.1,\"stream\":false},"
           "{\"name\":\"inspection-log\",\"sloMs\":1500,\"deadlineMs\":4000,\"effect\":\"deduplicated\",\"group\":\"all\","
           "\"dedupWindowMs\":4000,\"worth\":1,\"lateWorth\":0,\"stream\":false}],"
           "\"balancers\":3,\"rank\":0,\"tier\":0,\"tiers\":[\"register-nodes\"],\"tenants\":[],\"discovery\":\"subscribe\","
           "\"zone\":\"derby\",\"areas\":[\"derby\",\"leicester\",\"nottingham\"],\"skus\":[\"standard-2core\"],"
           "\"resolutionMs\":5,\"serviceType\":\"fanout\",\"valueBy\":\"request\",\"weights\":\"rough\","
           "\"clientHabits\":{\"marksRetry\":true},"
           "\"familyInfo\":{\"batch\":8,\"callMs\":48,\"followUp\":[5,0,0],\"minShare\":[0.8,1,1],\"wholeAt\":[1,1,1],"
           "\"partialEarns\":[0.8,0.9,0.9],\"places\":"
        << kNodes << ",\"reach\":2,\"shards\":" << kShards
        << "},\"feedback\":{\"how\":\"silent\",\"fields\":[]},"
           "\"limits\":{\"cancel\":true,\"connIdleMs\":30000,\"dialTimeoutMs\":250,\"cpuUsPerS\":400000,"
           "\"cpuUsPerRequest\":0,\"maxRetryAfterMs\":2000,\"multiplex\":32,\"openCap\":"
        << open_cap
        << ",\"parallelTries\":true,\"peers\":false,\"probing\":true,\"retryAfter\":true,\"sendCap\":4},"
           "\"guarantees\":{\"askEveryMs\":10000,\"coldFrom\":0.32,\"coldMs\":18000,\"graceToAnswerMs\":20,"
           "\"overloadForMs\":1000,\"stopSendingWithinMs\":2000,\"tipMultiple\":3},"
           "\"prices\":{\"lateFail\":0.03,\"waste\":0.03,\"probe\":0.01,\"crossZone\":0.02}}}";
    return out.str();
  }
};

// ---- a coordinator ----
class Coordinator {
 public:
  // Starts `command` of the deploy file from the repository's root, as a deployment does.
  Coordinator(const std::string& root, const std::string& command, const std::string& name, const std::string& folder,
              const std::string& tag, const std::string& config, std::vector<std::string> environment = {},
              int passed_socket = -1)
      : log_path_(folder + "/" + tag + ".log") {
    const std::string config_path = folder + "/" + tag + ".json";
    std::ofstream(config_path) << config;
    environment.insert(environment.end(), {"GW_NAME=" + name, "GW_CONFIG=" + config_path, "TMPDIR=" + folder + "/tmp"});
    ::mkdir((folder + "/tmp").c_str(), 0700);
    bool listens = false;
    for (const std::string& entry : environment) listens |= entry.rfind("GW_LISTEN=", 0) == 0;
    if (!listens) environment.push_back("GW_LISTEN=127.0.0.1:0");
    environment.push_back(std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin"));
    std::remove(log_path_.c_str());
    pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      const int null = ::open("/dev/null", O_RDONLY);
      ::dup2(null, 0);
      ::dup2(log, 1);
      ::dup2(log, 2);
      if (passed_socket >= 0) {
        ::dup2(passed_socket, 4);
        ::fcntl(4, F_SETFD, 0);
      }
      for (int fd = passed_socket >= 0 ? 5 : 3; fd < 1024; ++fd) ::close(fd);
      if (::chdir(root.c_str()) != 0) ::_exit(127);
      std::vector<char*> envp;
      for (std::string& entry : environment) envp.push_back(entry.data());
      envp.push_back(nullptr);
      char sh[] = "/bin/sh", c[] = "-c";
      std::string line = command;
      char* const argv[] = {sh, c, line.data(), nullptr};
      ::execve(sh, argv, envp.data());
      ::_exit(127);
    }
    children.push_back(pid);
    record("start of %s as process %d", tag.c_str(), static_cast<int>(pid));
    for (int i = 0; i < 100 && (port = port_of(" serves on ")) == 0; ++i) sleep_ms(50);
    if (port == 0) cannot_run("the coordinator does not start: " + log());
    admin_port = port_of("operator interface on ");
  }
  std::string log() const {
    std::ifstream in(log_path_);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
  }
  int port_of(const std::string& label) const {
    const std::string text = log();
    const std::size_t at = text.find(label);
    if (at == std::string::npos) return 0;
    const std::size_t colon = text.find(':', at), end = text.find('\n', at);
    return colon == std::string::npos || end == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
  }
  bool running() const { return ::waitpid(pid, nullptr, WNOHANG) == 0; }
  void wait_admin() {
    for (int i = 0; i < 100 && (admin_port = port_of("operator interface on ")) == 0; ++i) sleep_ms(20);
    if (admin_port == 0) cannot_run("no operators' address");
  }
  pid_t pid = -1;
  int port = 0, admin_port = 0;

 private:
  std::string log_path_;
};

// ---- clients ----
struct Query {
  std::string id, klass, key, filter;
  std::vector<int> slices;
  int budget_ms = 4000;
  std::string bytes(const std::string& extra = "") const {
    std::string body = "{\"slices\":[";
    for (std::size_t i = 0; i < slices.size(); ++i) {
      char mass[32];
      std::snprintf(mass, sizeof mass, "%.9f", 1.0 / static_cast<double>(slices.size()));
      body += (i ? ",{\"slice\":" : "{\"slice\":") + std::to_string(slices[i]) + ",\"mass\":" + mass + "}";
    }
    body += "],\"filter\":\"" + filter + "\"}";
    return "POST /" + klass + " HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + klass +
           "\r\nX-Budget-Ms: " + std::to_string(budget_ms) + "\r\n" +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") + extra +
           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

struct Result {
  int status = 0;  // 0: none came
  std::string body;
  double took_ms = 0;
  bool sent = false;    // the whole request was written to a connection that is up
  bool closed = false;  // the connection ended before a whole answer
  // Taken, as its last byte was written, and neither answered nor shown the connection's end.
  bool lost() const { return sent && !closed && status == 0; }
  const char* text() const {
    return status != 0 ? "answer" : !sent ? "not sent, no connection" : closed ? "connection ended" : "NO ANSWER";
  }
};

// Reads one response; status 0 if none came by `deadline`.
inline Result read_response(int fd, Clock::time_point since, Clock::time_point deadline) {
  Result result;
  std::string input;
  char chunk[16384];
  for (;;) {
    const std::size_t end = input.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::size_t length_at = input.find("Content-Length: ");
      const std::size_t length = length_at < end ? std::strtoul(input.c_str() + length_at + 16, nullptr, 10) : 0;
      if (input.size() >= end + 4 + length) {
        result.status = std::atoi(input.c_str() + 9);
        result.body = input.substr(end + 4, length);
        break;
      }
    }
    const double left = ms_between(Clock::now(), deadline);
    if (left <= 0) break;
    pollfd one{fd, POLLIN, 0};
    if (::poll(&one, 1, static_cast<int>(left) + 1) <= 0) continue;
    const ssize_t got = ::recv(fd, chunk, sizeof chunk, 0);
    if (got <= 0) {
      result.closed = true;
      break;
    }
    input.append(chunk, static_cast<std::size_t>(got));
  }
  result.took_ms = ms_between(since, Clock::now());
  return result;
}
// Sends bytes on a new connection and waits for the answer.
inline Result exchange(int port, const std::string& bytes, double wait_ms) {
  const auto since = Clock::now();
  const auto deadline = since + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(wait_ms));
  const int fd = connect_to(port, static_cast<int>(wait_ms));
  if (fd < 0) return {};
  Result result;
  const bool written = write_all(fd, bytes);
  if (written) result = read_response(fd, since, deadline);
  result.sent = written;
  result.took_ms = ms_between(since, Clock::now());
  ::close(fd);
  return result;
}
// Usual clients: they keep their connections, send one request at a time on each, and open more when all are busy. A
// request that crosses the end of a kept connection is sent once more on a new one.
class Clients {
 public:
  explicit Clients(int port) : port_(port) {}
  ~Clients() {
    for (const int fd : idle_) ::close(fd);
  }
  Result ask(const std::string& bytes, double wait_ms) {
    const auto since = Clock::now();
    const auto deadline = since + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(wait_ms));
    Result result;
    for (int attempt = 0; attempt < 2; ++attempt) {
      int fd = -1;
      bool kept = false;
      if (attempt == 0) {
        const std::lock_guard lock(mutex_);
        if (!idle_.empty()) fd = idle_.back(), idle_.pop_back(), kept = true;
      }
      if (fd < 0) fd = connect_to(port_, 1000);
      if (fd < 0) return result;
      result = {};
      const bool written = write_all(fd, bytes);
      if (written) result = read_response(fd, since, deadline);
      result.sent = written;
      if (result.status != 0 && result.body.size() < 4096) {
        const std::lock_guard lock(mutex_);
        idle_.push_back(fd);
        return result;
      }
      ::close(fd);
      if (!kept || (written && !result.closed)) return result;
    }
    return result;
  }

 private:
  const int port_;
  std::mutex mutex_;
  std::vector<int> idle_;
};

inline std::string get_ready() { return "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"; }
inline bool wait_ready(int port) {
  for (int i = 0; i < 100; ++i) {
    if (exchange(port, get_ready(), 500).status == 200) return true;
    sleep_ms(50);
  }
  return false;
}
// One operators' call: one line, one answer line.
inline std::string admin_call(int port, const std::string& line, double wait_ms = 1500) {
  const auto deadline = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(wait_ms));
  const int fd = connect_to(port, 500);
  if (fd < 0) return {};
  std::string answer;
  if (write_all(fd, line + "\n")) {
    char chunk[512];
    while (answer.find('\n') == std::string::npos) {
      const double left = ms_between(Clock::now(), deadline);
      pollfd one{fd, POLLIN, 0};
      if (left <= 0 || ::poll(&one, 1, static_cast<int>(left) + 1) <= 0) break;
      const ssize_t got = ::recv(fd, chunk, sizeof chunk, 0);
      if (got <= 0) break;
      answer.append(chunk, static_cast<std::size_t>(got));
    }
  }
  ::close(fd);
  while (!answer.empty() && (answer.back() == '\n' || answer.back() == '\r')) answer.pop_back();
  return answer;
}

inline std::string hex_id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}
inline std::vector<int> row_of_slices(int first, int count) {
  std::vector<int> slices;
  for (int i = 0; i < count; ++i) slices.push_back((first + i) % kShards);
  return slices;
}

}  // namespace review
