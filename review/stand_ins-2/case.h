// Stand-ins and tools of the second review's cases: discovery, record nodes that speak frames, HTTP clients,
// and the coordinator as a separate process. Plain blocking sockets and threads, loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(std::max(ms, 0.0)));
}
inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---- record.txt, result, clean-up ----
inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;
inline void record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  char line[2000];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(line, sizeof line, format, arguments);
  va_end(arguments);
  if (!record_file) return;
  std::fprintf(record_file, "%9.1f ms  %s\n", now_ms(), line);
  std::fflush(record_file);
}

inline std::mutex children_mutex;
inline std::set<pid_t> children;  // every process that the case started and that has not been waited for
inline std::string folder;        // temporary, removed at the end
[[noreturn]] inline void finish(int code, const std::string& why) {
  record("%s: %s", code == 0 ? "HELD" : code == 1 ? "BROKEN" : "COULD NOT RUN", why.c_str());
  std::printf("%s: %s\n", code == 0 ? "held" : code == 1 ? "broken" : "could not run", why.c_str());
  std::fflush(stdout);
  {
    const std::lock_guard lock(children_mutex);
    for (const pid_t child : children) {
      ::kill(child, SIGCONT);
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
  }
  std::error_code ignored;
  if (!folder.empty()) std::filesystem::remove_all(folder, ignored);
  ::_exit(code);
}

// argv[1] is the record file. Ends the case after `limit_s` seconds, whatever happens.
inline bool begin(int argc, char** argv, int limit_s) {
  ::signal(SIGPIPE, SIG_IGN);
  record_file = argc > 1 ? std::fopen(argv[1], "w") : nullptr;
  if (!record_file) std::fprintf(stderr, "usage: CASE RECORD-FILE\n"), ::_exit(2);
  std::thread([limit_s] {
    sleep_ms(limit_s * 1000.0);
    finish(2, "not done in " + std::to_string(limit_s) + " s");
  }).detach();
  std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (!::mkdtemp(pattern.data())) finish(2, "no temporary folder");
  folder = pattern;
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = !trouble || std::strcmp(trouble, "0") != 0;
  record("%s the disruption", with_trouble ? "with" : "without");
  return with_trouble;
}

// ---- sockets ----
struct Socket {
  int fd = -1;
  explicit Socket(int given = -1) : fd(given) {
    const int on = 1;
    if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (fd >= 0) ::close(fd);
  }
  bool write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t put = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (put <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(put));
    }
    return true;
  }
  // Appends what comes next. 1: bytes, 0: the end or an error, -1: nothing in time.
  int read(std::string& into, double timeout_ms = -1) {
    pollfd one{fd, POLLIN, 0};
    if (timeout_ms >= 0 && ::poll(&one, 1, static_cast<int>(timeout_ms + 0.999)) <= 0) return -1;
    char bytes[16384];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, 0);
    if (got <= 0) return 0;
    into.append(bytes, static_cast<std::size_t>(got));
    return 1;
  }
};
using SocketPtr = std::shared_ptr<Socket>;

inline sockaddr_in address_of(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::size_t colon = text.rfind(':');
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

inline SocketPtr connect_to(const std::string& address) {
  const sockaddr_in to = address_of(address);
  auto socket = std::make_shared<Socket>(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (::connect(socket->fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return nullptr;
  return socket;
}

// A listening socket on 127.0.0.1 with a thread that accepts; each connection gets a thread. stop() closes
// the listener and resets the connections, as when a process dies; start() listens on the same port again.
class Server {
 public:
  explicit Server(std::function<void(SocketPtr)> serve) : serve_(std::move(serve)) { start(); }
  void start() {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener_, 256) != 0)
      finish(2, "cannot listen");
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this, listener = listener_] {
      for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        auto socket = std::make_shared<Socket>(fd);
        {
          const std::lock_guard lock(mutex_);
          open_.push_back(socket);
          std::erase_if(open_, [](const auto& weak) { return weak.expired(); });
        }
        std::thread([this, socket] { serve_(socket); }).detach();
      }
    }).detach();
  }
  void stop() {
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    const std::lock_guard lock(mutex_);
    for (const auto& weak : open_)
      if (const SocketPtr socket = weak.lock()) {
        const linger reset{1, 0};
        ::setsockopt(socket->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(socket->fd, SHUT_RDWR);
      }
    open_.clear();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::function<void(SocketPtr)> serve_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Socket>> open_;
};

// ---- HTTP ----
struct Message {
  std::string start;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};
// Reads one message with a length; `buffer` keeps what follows it. Empty: the end, or not in time.
inline std::optional<Message> read_message(Socket& socket, std::string& buffer, double timeout_ms = -1) {
  const double until = now_ms() + timeout_ms;
  const auto more = [&] {
    const double left = timeout_ms < 0 ? -1 : std::max(until - now_ms(), 0.0);
    return socket.read(buffer, left) == 1;
  };
  std::size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more()) return std::nullopt;
  Message message;
  std::istringstream head(buffer.substr(0, end + 2));
  std::string line;
  std::getline(head, line);
  message.start = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon), value = line.substr(colon + 1);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
    while (!value.empty() && value.front() == ' ') value.erase(0, 1);
    message.headers[name] = value;
  }
  buffer.erase(0, end + 4);
  const std::size_t length =
      message.headers.count("content-length") ? std::stoul(message.headers["content-length"]) : 0;
  while (buffer.size() < length)
    if (!more()) return std::nullopt;
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

inline std::string http_request(const std::string& method, const std::string& target, const std::string& body,
                                const std::vector<std::pair<std::string, std::string>>& headers = {}) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: backend.local\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One request on a connection of its own. `status` 0: no connection, or no whole answer in time.
struct Outcome {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
  double took_ms = 0;
};
inline Outcome ask(const std::string& address, const std::string& request, double timeout_ms) {
  Outcome outcome;
  const double from = now_ms();
  if (const SocketPtr socket = connect_to(address); socket && socket->write(request)) {
    std::string buffer;
    if (const auto answer = read_message(*socket, buffer, timeout_ms)) {
      outcome.status = answer->status();
      outcome.body = answer->body;
      outcome.headers = answer->headers;
    }
  }
  outcome.took_ms = now_ms() - from;
  return outcome;
}

// ---- discovery ----
class Discovery {
 public:
  struct Entry {
    std::string endpoint, zone, state;
    int cell = 0;
    std::int64_t boot_ms = 0;
    std::uint64_t changed = 0;
  };
  void set(const std::string& uid, Entry entry) {
    const std::lock_guard lock(mutex_);
    entry.changed = ++version_;
    record("discovery: %s is %s", uid.c_str(), entry.state.c_str());
    entries_[uid] = std::move(entry);
    changed_.notify_all();
  }
  void set_state(const std::string& uid, const std::string& state, std::int64_t boot_ms) {
    Entry entry;
    {
      const std::lock_guard lock(mutex_);
      entry = entries_[uid];
    }
    entry.state = state;
    entry.boot_ms = boot_ms;
    set(uid, std::move(entry));
  }
  std::string address() const { return server_.address(); }
  // The whole list, or what changed after a version. Gone nodes are named only among changes.
  std::string list(bool whole, std::uint64_t after) {
    std::string targets;
    for (const auto& [uid, entry] : entries_) {
      if (whole ? entry.state == "terminated" : entry.changed <= after) continue;
      targets += (targets.empty() ? "" : ",") + std::string("{\"uid\":\"") + uid + "\",\"endpoint\":\"" +
                 entry.endpoint + "\",\"az\":\"" + entry.zone + "\",\"model\":\"standard-2core\"," +
                 "\"pod_group\":" + std::to_string(entry.cell) + ",\"state\":\"" + entry.state +
                 "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(entry.boot_ms) + "}";
    }
    return "{\"rev\":" + std::to_string(version_) + ",\"all\":" + (whole ? "true" : "false") +
           ",\"targets\":[" + targets + "]}";
  }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list(true, 0);
  }

 private:
  void serve(SocketPtr socket) {
    std::string buffer;
    while (const auto request = read_message(*socket, buffer)) {
      const std::size_t index = request->start.find("index="), wait = request->start.find("wait=");
      std::string body;
      {
        std::unique_lock lock(mutex_);
        if (index == std::string::npos) {
          body = list(true, 0);
        } else {
          const std::uint64_t after = std::strtoull(request->start.c_str() + index + 6, nullptr, 10);
          const int ms = wait == std::string::npos ? 0 : std::atoi(request->start.c_str() + wait + 5);
          changed_.wait_for(lock, std::chrono::milliseconds(ms), [&] { return version_ > after; });
          body = list(false, after);
        }
      }
      if (!socket->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t version_ = 40;
  std::map<std::string, Entry> entries_;
  Server server_{[this](SocketPtr socket) { serve(std::move(socket)); }};
};

// ---- record nodes ----
struct Part {
  std::string id, key, text;
  int shard = 0, node = 0;
  double at_ms = 0;  // when its frame had come
};
struct Reply {
  char end = 'S';  // S, E, B, or 0: no answer
  double after_ms = 0;
  std::string value{};
  double score = 1;
};

// Record nodes in a ring, one a cell; shard s is held by the cells s and s + 1 (mod their number).
class Nodes {
 public:
  using Handler = std::function<Reply(const Part&)>;
  Nodes(int count, Discovery& discovery, Handler handler)
      : discovery_(discovery), handler_(std::move(handler)) {
    static const char* zones[] = {"derby", "leicester", "nottingham"};
    for (int i = 0; i < count; ++i) {
      servers_.push_back(
          std::make_unique<Server>([this, i](SocketPtr socket) { serve(i, std::move(socket)); }));
      discovery.set(uid(i), {servers_.back()->address(), zones[i % 3], "in_service", i, 0, 0});
    }
  }
  static std::string uid(int node) { return "s-" + std::to_string(node); }
  int count() const { return static_cast<int>(servers_.size()); }
  bool holds(int node, int shard) const { return (node - shard % count() + count()) % count() < 2; }
  // The process ends and leaves the list; later it is back under its id and address, started just now.
  void take_down(int node) {
    record("node %d ends", node);
    servers_[static_cast<std::size_t>(node)]->stop();
    discovery_.set_state(uid(node), "terminated", 0);
  }
  void bring_back(int node) {
    servers_[static_cast<std::size_t>(node)]->start();
    record("node %d has started again", node);
    discovery_.set_state(uid(node), "in_service", unix_ms());
  }

 private:
  static std::string frame(char letter, const std::string& rest) {
    const auto length = static_cast<std::uint32_t>(rest.size() + 1);
    std::string out;
    for (int i = 0; i < 4; ++i) out += static_cast<char>(length >> (8 * i) & 255);
    return out + letter + rest;
  }
  void serve(int node, SocketPtr socket) {
    std::string buffer;
    const auto writing = std::make_shared<std::mutex>();
    while (socket->read(buffer) == 1) {
      for (;;) {
        if (buffer.size() < 4) break;
        std::uint32_t length = 0;
        for (int i = 0; i < 4; ++i)
          length |=
              static_cast<std::uint32_t>(static_cast<unsigned char>(buffer[static_cast<std::size_t>(i)]))
              << (8 * i);
        if (buffer.size() < 4 + length) break;
        const char letter = buffer[4];
        const std::string rest = buffer.substr(5, length - 1);
        buffer.erase(0, 4 + length);
        if (letter == '3' || letter == '4') {
          const std::lock_guard lock(*writing);
          socket->write(frame(letter, letter == '3' ? "S" : "-"));
        }
        if (letter == '1') take_call(node, socket, writing, rest);
      }
    }
  }
  void take_call(int node, SocketPtr socket, std::shared_ptr<std::mutex> writing, std::string_view rest) {
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      std::istringstream line{std::string(rest.substr(0, end))};
      Part part;
      std::string options;
      std::size_t length = 0;
      line >> part.id >> part.shard >> options >> length;
      part.node = node;
      part.at_ms = now_ms();
      part.text = rest.substr(end + 1, length);
      rest.remove_prefix(std::min(end + 1 + length, rest.size()));
      if (const std::size_t key = ("," + options).find(",k="); key != std::string::npos)
        part.key = options.substr(key + 2, options.find(',', key + 2) - key - 2);
      std::thread([this, socket, writing, part] {
        const Reply reply = handler_(part);
        if (!reply.end) return;
        sleep_ms(reply.after_ms);
        const std::string answer =
            frame('5', part.id + " " + reply.end + " " + std::to_string(static_cast<long>(reply.score)) +
                           " -\n" + (reply.end == 'S' ? reply.value : ""));
        const std::lock_guard lock(*writing);
        socket->write(answer);
      }).detach();
    }
  }
  Discovery& discovery_;
  Handler handler_;
  std::vector<std::unique_ptr<Server>> servers_;
};

// ---- the coordinator ----
// The settings of a small deployment: the classes, limits and guarantees of midlands-register.
inline std::string settings(int cells, int shards) {
  const auto grade = [](const char* name, const char* effect, int wanted, int given_up, int window,
                        double late, double worth) {
    std::ostringstream text;
    text << "{\"name\":\"" << name << "\",\"effect\":\"" << effect
         << "\",\"group\":\"all\",\"sloMs\":" << wanted << ",\"deadlineMs\":" << given_up
         << ",\"dedupWindowMs\":" << window << ",\"lateWorth\":" << late << ",\"worth\":" << worth
         << ",\"stream\":false}";
    return text.str();
  };
  std::ostringstream text;
  text << "{\"grades\":[" << grade("area-report", "idempotent", 2500, 7500, 5000, 0.1, 3) << ","
       << grade("equipment-search", "idempotent", 1500, 4000, 5000, 0.1, 1) << ","
       << grade("inspection-log", "deduplicated", 1500, 4000, 4000, 0, 1) << "],"
       << "\"areas\":[\"derby\",\"leicester\",\"nottingham\"],\"zone\":\"derby\",\"balancers\":3,\"rank\":0,"
       << "\"discovery\":\"subscribe\",\"resolutionMs\":5,\"valueBy\":\"request\",\"weights\":\"rough\","
       << "\"clientHabits\":{\"marksRetry\":true},\"feedback\":{\"how\":\"silent\",\"fields\":[]},"
       << "\"familyInfo\":{\"batch\":8,\"callMs\":48,\"followUp\":[5,0,0],\"minShare\":[0.8,1,1],"
       << "\"wholeAt\":[1,1,1],\"partialEarns\":[0.8,0.9,0.9],\"places\":" << cells
       << ",\"reach\":2,\"shards\":" << shards << "},"
       << "\"limits\":{\"cancel\":true,\"connIdleMs\":30000,\"dialTimeoutMs\":250,\"maxRetryAfterMs\":2000,"
       << "\"multiplex\":32,\"openCap\":210,\"parallelTries\":true,\"peers\":false,\"probing\":true,"
       << "\"retryAfter\":true,\"sendCap\":4},"
       << "\"guarantees\":{\"askEveryMs\":10000,\"coldFrom\":0.32,\"coldMs\":18000,\"graceToAnswerMs\":20,"
       << "\"overloadForMs\":1000,\"stopSendingWithinMs\":2000,\"tipMultiple\":3},"
       << "\"prices\":{\"lateFail\":0.03,\"probe\":0.01,\"waste\":0.03,\"crossZone\":0.02}}";
  return text.str();
}

// The value of a key in deploy/balancer.toml.
inline std::string deploy_command(const std::string& name) {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(name + " ") && !line.starts_with(name + "=")) continue;
    const std::size_t from = line.find('"');
    return line.substr(from + 1, line.find('"', from + 1) - from - 1);
  }
  finish(2, "deploy/balancer.toml has no " + name);
}

class Coordinator {
 public:
  // `extra`: arguments behind `run`; `variables`: NAME=VALUE.
  Coordinator(std::string name, Discovery& discovery, std::string settings_text, std::string extra = "",
              std::vector<std::string> variables = {}, std::string listen = "127.0.0.1:0",
              int passed_socket = -1)
      : log_path_(folder + "/" + name + "-" + std::to_string(static_cast<long>(now_ms())) + ".log") {
    const std::string config = folder + "/" + name + ".json";
    std::ofstream(config) << "{\"name\":\"" << name << "\",\"discovery\":\"" << discovery.address()
                          << "\",\"seed\":\"" << std::hex << (unix_ms() * 7919 + ::getpid()) << std::dec
                          << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                          << discovery.whole_list() << ",\"settings\":" << settings_text << "}";
    const std::string command = deploy_command("run") + (extra.empty() ? "" : " " + extra);
    variables.insert(variables.end(),
                     {"GW_NAME=" + name, "GW_LISTEN=" + listen, "GW_DISCOVERY=" + discovery.address(),
                      "GW_CONFIG=" + config, "TMPDIR=" + folder});
    // Everything that allocates is done before the fork, as other threads run.
    std::vector<std::string> environment = variables;
    for (char** entry = environ; *entry; ++entry)
      if (!std::string_view(*entry).starts_with("GW_") && !std::string_view(*entry).starts_with("TMPDIR="))
        environment.push_back(*entry);
    std::vector<char*> pointers;
    for (std::string& entry : environment) pointers.push_back(entry.data());
    pointers.push_back(nullptr);
    std::string shell = "sh", option = "-c", line = command;
    char* arguments[] = {shell.data(), option.data(), line.data(), nullptr};
    const int log_fd = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const int nothing = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    const pid_t made = ::fork();
    if (made == 0) {
      ::dup2(nothing, 0);
      ::dup2(log_fd, 1);
      ::dup2(log_fd, 2);
      if (passed_socket >= 0) ::dup2(passed_socket, 4);
      ::execve("/bin/sh", arguments, pointers.data());
      ::_exit(127);
    }
    ::close(log_fd);
    ::close(nothing);
    if (made < 0) finish(2, "cannot start a process");
    pid_ = made;
    {
      const std::lock_guard lock(children_mutex);
      children.insert(pid_);
    }
    record("started %s (%s)", name.c_str(), command.c_str());
    for (int tries = 0; tries < 1000; ++tries, sleep_ms(10)) {
      address = named_in_log("serves on ");
      if (!address.empty() && ask(address, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 500).status == 200)
        return;
      if (ended()) break;
    }
    finish(2, "the coordinator did not get ready: " + log());
  }
  // An address of the start lines: "serves on ", "searches on ", "operator interface on ".
  std::string named_in_log(const std::string& what) const {
    const std::string text = log();
    const std::size_t at = text.find(what), end = text.find('\n', at);
    if (at == std::string::npos || end == std::string::npos) return {};
    return text.substr(at + what.size(), end - at - what.size());
  }
  std::string search_address() const {
    for (int tries = 0; tries < 200; ++tries, sleep_ms(5))
      if (const std::string found = named_in_log("searches on "); !found.empty()) return found;
    finish(2, "the search front did not start: " + log());
  }
  std::string log() const {
    std::ifstream file(log_path_);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  void signal(int number) {
    record("signal %d to the coordinator", number);
    ::kill(pid_, number);
  }
  void wait_for_end() {
    ::waitpid(pid_, nullptr, 0);
    const std::lock_guard lock(children_mutex);
    children.erase(pid_);
    over_ = true;
  }
  bool ended() {
    if (over_) return true;
    if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    const std::lock_guard lock(children_mutex);
    children.erase(pid_);
    return over_ = true;
  }
  std::string address;  // of the platform's front

 private:
  std::string log_path_;
  pid_t pid_ = 0;
  bool over_ = false;
};

// Reads `deploy/FILE`; for descriptions that a front file names.
inline std::string file_text(const std::string& path) {
  std::ifstream file(path);
  if (!file) finish(2, "cannot read " + path);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// A query of the platform's clients, whole parts of equal mass.
inline std::string query(const std::string& class_name, const std::vector<int>& shards, int budget_ms,
                         const std::string& id, const std::string& key = "") {
  std::string slices;
  for (const int shard : shards)
    slices += (slices.empty() ? "" : ",") + std::string("{\"slice\":") + std::to_string(shard) +
              ",\"mass\":" + std::to_string(1.0 / static_cast<double>(shards.size())) + "}";
  std::vector<std::pair<std::string, std::string>> headers = {
      {"X-Call-Id", id}, {"X-Call-Class", class_name}, {"X-Budget-Ms", std::to_string(budget_ms)}};
  if (!key.empty()) headers.emplace_back("Idempotency-Key", key);
  return http_request("POST", "/" + class_name, "{\"slices\":[" + slices + "],\"filter\":\"c41e77d0\"}",
                      headers);
}

inline std::string unique_id() {
  static std::atomic<unsigned> next{0};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++next);
  return text;
}

}  // namespace review
