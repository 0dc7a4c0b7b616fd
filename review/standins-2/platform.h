// The platform round one sidecar, for the cases of the second review: discovery, upstreams, clients and the
// process itself. Written from the operators' pages (protocol, deployment). Everything listens on 127.0.0.1.
//
// Blocking sockets, a thread for each connection: a case has a few dozen of them. A program ends with
// _exit(), once the sidecar is dead, so that no thread has to be joined.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
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
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace platform {

// ---- Time and the record ----

inline std::int64_t NowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t NowMs() { return NowUs() / 1000; }
inline void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// What was sent, answered and run, one event a line: milliseconds since the start, then the event.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(NowUs()) {}
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f ", static_cast<double>(NowUs() - start_) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const std::int64_t start_;
};

// ---- Sockets ----

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Listens at a free port, which it stores.
inline int Listen(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

inline std::uint16_t FreePort() {
  std::uint16_t port = 0;
  ::close(Listen(port));
  return port;
}

// One TCP connection with what was read ahead.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::shared_ptr<Connection> To(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_shared<Connection>(fd);
  }

  bool Write(const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t size = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (size <= 0) return false;
      done += static_cast<std::size_t>(size);
    }
    return true;
  }

  enum class Read { kBytes, kEnd, kReset, kTimeout };
  // Appends what arrives by `until` (NowMs()) to buffer().
  Read Receive(std::int64_t until) {
    pollfd polled{fd_, POLLIN, 0};
    const int ready = ::poll(&polled, 1, static_cast<int>(std::max<std::int64_t>(until - NowMs(), 0)));
    if (ready <= 0) return Read::kTimeout;
    char bytes[65536];
    const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
    if (size == 0) return Read::kEnd;
    if (size < 0) return Read::kReset;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return Read::kBytes;
  }
  std::string& buffer() { return buffer_; }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  std::string buffer_;
};

// ---- HTTP/1.1 ----

struct Message {
  std::string start;                          // the first line
  std::map<std::string, std::string> fields;  // by name in lower case
  std::string body;
  std::string Field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string target() const {
    const auto begin = start.find(' ');
    return begin == std::string::npos ? std::string()
                                      : start.substr(begin + 1, start.find(' ', begin + 1) - begin - 1);
  }
};

enum class Parsed { kWhole, kPartial, kBad };

// Takes one message from the front of `bytes`, if it is whole: with Content-Length, chunked, or without a
// body.
inline Parsed TakeMessage(std::string& bytes, Message& message) {
  const auto head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) return Parsed::kPartial;
  message = {};
  std::size_t at = 0;
  while (at < head_end) {
    const auto line_end = std::min(bytes.find("\r\n", at), head_end);
    const std::string line = bytes.substr(at, line_end - at);
    at = line_end + 2;
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) return Parsed::kBad;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto value = line.find_first_not_of(" \t", colon + 1);
    message.fields[name] = value == std::string::npos ? std::string() : line.substr(value);
  }
  std::size_t body_at = head_end + 4;
  if (message.Field("transfer-encoding") == "chunked") {
    while (true) {
      const auto line_end = bytes.find("\r\n", body_at);
      if (line_end == std::string::npos) return Parsed::kPartial;
      const std::size_t size = std::strtoul(bytes.c_str() + body_at, nullptr, 16);
      if (bytes.size() < line_end + 2 + size + 2) return Parsed::kPartial;
      message.body.append(bytes, line_end + 2, size);
      body_at = line_end + 2 + size + 2;
      if (size == 0) break;
    }
  } else {
    const std::size_t size = std::strtoul(message.Field("content-length").c_str(), nullptr, 10);
    if (bytes.size() < body_at + size) return Parsed::kPartial;
    message.body = bytes.substr(body_at, size);
    body_at += size;
  }
  bytes.erase(0, body_at);
  return Parsed::kWhole;
}

enum class Got { kMessage, kEnd, kReset, kTimeout, kBad };

inline const char* NameOf(Got got) {
  switch (got) {
    case Got::kMessage:
      return "a message";
    case Got::kEnd:
      return "end of the connection";
    case Got::kReset:
      return "reset";
    case Got::kTimeout:
      return "nothing in time";
    case Got::kBad:
      return "no HTTP";
  }
  return "";
}

inline Got ReadMessage(Connection& connection, Message& message, std::int64_t until) {
  while (true) {
    const Parsed parsed = TakeMessage(connection.buffer(), message);
    if (parsed == Parsed::kWhole) return Got::kMessage;
    if (parsed == Parsed::kBad) return Got::kBad;
    switch (connection.Receive(until)) {
      case Connection::Read::kBytes:
        break;
      case Connection::Read::kEnd:
        return Got::kEnd;
      case Connection::Read::kReset:
        return Got::kReset;
      case Connection::Read::kTimeout:
        return Got::kTimeout;
    }
  }
}

inline std::string Response(const std::string& body, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A request in the form of the protocol page: GET without a body for a class that is safe to repeat, POST
// with a key for a keyed one, and POST without one for one that is unsafe.
inline std::string Request(const std::string& request_class, const std::string& id, std::int64_t timeout_ms,
                           bool safe, const std::string& key = {}) {
  std::string text = (safe ? "GET /" : "POST /") + request_class + "/k" + id + " HTTP/1.1\r\n" +
                     "Host: api.internal\r\nX-Request-ID: " + id +
                     "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  if (safe) return text + "\r\n";
  if (!key.empty()) text += "Idempotency-Key: " + key + "\r\n";
  const std::string body = "sheet " + id;
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Calls `serve` in a thread of its own for each connection that comes to `listening`.
inline void Serve(int listening, std::function<void(std::shared_ptr<Connection>)> serve) {
  std::thread([listening, serve = std::move(serve)] {
    while (true) {
      const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([serve, connection = std::make_shared<Connection>(fd)] { serve(connection); }).detach();
    }
  }).detach();
}

// ---- Discovery ----

struct Target {
  std::string uid;
  std::uint16_t port = 0;
  std::string zone;
};

inline std::string ListOf(const std::vector<Target>& targets) {
  std::string text = "{\"rev\":1,\"all\":true,\"targets\":[";
  for (std::size_t i = 0; i < targets.size(); ++i) {
    text += (i > 0 ? ",{\"uid\":\"" : "{\"uid\":\"") + targets[i].uid +
            "\",\"endpoint\":\"127.0.0.1:" + std::to_string(targets[i].port) + "\",\"az\":\"" +
            targets[i].zone +
            "\",\"model\":\"m1\",\"pod_group\":0,\"state\":\"active\",\"capacity_hint\":1.0,\"boot_ms\":0}";
  }
  return text + "]}";
}

// The agent on the sidecar's machine: one list that never changes.
inline std::uint16_t StartDiscovery(const std::vector<Target>& targets) {
  std::uint16_t port = 0;
  const int listening = Listen(port);
  Serve(listening, [list = ListOf(targets)](const std::shared_ptr<Connection>& connection) {
    Message call;
    while (ReadMessage(*connection, call, NowMs() + 600'000) == Got::kMessage) {
      const auto wait = call.target().find("wait=");
      if (wait != std::string::npos) SleepMs(std::atoll(call.target().c_str() + wait + 5));
      const bool changes = call.target().find("index=") != std::string::npos;
      if (!connection->Write(Response(changes ? "{\"rev\":1,\"all\":false,\"targets\":[]}" : list))) return;
    }
  });
  return port;
}

// ---- The sidecar ----

struct RequestClass {
  std::string name;
  bool safe = true;
  std::int64_t aim_ms = 0;
  std::int64_t limit_ms = 0;
  std::int64_t window_ms = 0;  // above 0: keyed, and every upstream drops repeats for so long
  double late_worth = 0;
};

// Settings like those of a small deployment: lists are pushed, probes and second copies are allowed.
inline std::string SettingsOf(const std::vector<RequestClass>& classes) {
  std::string text =
      "{\"MembershipMode\":\"pushed\",\"PeersTotal\":4,\"Me\":0,\"Zone\":\"hall-a\",\"Weights\":\"nominal\",";
  text += "\"Azs\":[\"hall-a\",\"hall-b\"],\"Kinds\":[\"m1\"],\"Tick\":5000,\"Tenants\":[],\"Classes\":[";
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const RequestClass& of = classes[i];
    text += std::string(i > 0 ? "," : "") + "{\"Name\":\"" + of.name + "\",\"Effect\":\"" +
            (of.window_ms > 0 ? "idempotency_key"
             : of.safe        ? "read_like"
                              : "non_idempotent") +
            "\",\"Aim\":" + std::to_string(of.aim_ms * 1000) +
            ",\"HardLimit\":" + std::to_string(of.limit_ms * 1000) + ",\"KeyScope\":\"all\",\"Window\":" +
            std::to_string(of.window_ms > 0 ? of.window_ms * 1000 : 5'000'000) +
            ",\"Worth\":5.0,\"LateWorth\":" + std::to_string(of.late_worth) + ",\"Stream\":false}";
  }
  return text +
         "],\"Limits\":{\"Cancelling\":true,\"ConnectTimeout\":200000,\"IdleClose\":15000000,\"MaxAttempts\":"
         "6,"
         "\"MaxRetryAfter\":2000000,\"MayProbe\":true,\"Multiplex\":1,\"RetryAfter\":true,\"SecondCopies\":"
         "true},"
         "\"Prices\":{\"CrossZone\":0.03,\"Handshake\":0.08,\"LateFail\":0.05,\"Probe\":0.01,\"Waste\":0.05},"
         "\"Report\":{\"Fields\":[],\"How\":\"none\"},"
         "\"Rules\":{\"Cold\":24000000,\"ColdFrom\":0.13,\"Fall\":1000000,\"FallMultiple\":4.0,"
         "\"GraceToAnswer\":20000,\"MustAskIn\":10000000,\"StopSendingWithin\":500000}}";
}

// One sidecar process, started by the deploy file's `run` as the platform does.
class Sidecar {
 public:
  // `folder`: private and empty.
  Sidecar(const std::string& run, const std::string& folder, const std::vector<RequestClass>& classes,
          const std::vector<Target>& targets, std::uint16_t discovery)
      : port_(FreePort()) {
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    const std::string registry = "127.0.0.1:" + std::to_string(discovery);
    const std::string config = folder + "/config.json";
    std::ofstream(config) << "{\"name\":\"n1\",\"listen\":\"" << listen << "\",\"discovery\":\"" << registry
                          << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                          << "\"sockets\":1024},\"known\":" << ListOf(targets)
                          << ",\"settings\":" << SettingsOf(classes) << "}\n";
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("LB_NAME", "n1", 1);
    ::setenv("LB_LISTEN", listen.c_str(), 1);
    ::setenv("LB_DISCOVERY", registry.c_str(), 1);
    ::setenv("LB_CONFIG", config.c_str(), 1);
    ::setenv("TMPDIR", folder.c_str(), 1);
    const int log = ::open((folder + "/sidecar.log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
    std::_Exit(127);
  }

  std::uint16_t port() const { return port_; }
  // Whether `GET /up` is answered with 200 within 10 s.
  bool IsUp() const {
    for (const std::int64_t until = NowMs() + 10'000; NowMs() < until; SleepMs(20)) {
      const auto connection = Connection::To(port_);
      Message answer;
      if (connection && connection->Write("GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n") &&
          ReadMessage(*connection, answer, NowMs() + 1000) == Got::kMessage && answer.status() == 200) {
        return true;
      }
    }
    return false;
  }
  void Signal(int signal) const { ::kill(pid_, signal); }
  // Whether it ended on its own before `until` (NowMs()).
  bool EndsBy(std::int64_t until) {
    while (!ended_) {
      ended_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
      if (ended_ || NowMs() >= until) break;
      SleepMs(1);
    }
    return ended_;
  }
  void Kill() {
    if (ended_) return;
    Signal(SIGKILL);
    ::waitpid(pid_, &status_, 0);
    ended_ = true;
  }

 private:
  const std::uint16_t port_;
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

// ---- A case's program ----

struct Arguments {
  std::string run;     // the deploy file's command
  std::string folder;  // private and empty
  std::string record;  // the path of record.txt
  bool trouble = true;
};

inline Arguments ReadArguments(int count, char** values) {
  if (count != 4) {
    std::fprintf(stderr, "usage: %s RUN FOLDER RECORD\n", values[0]);
    std::_Exit(2);
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return {values[1], values[2], values[3], trouble == nullptr || std::string(trouble) != "0"};
}

enum Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

[[noreturn]] inline void End(Sidecar& sidecar, Record& record, Verdict verdict, const std::string& why) {
  sidecar.Kill();
  record.Line("verdict %d: %s", static_cast<int>(verdict), why.c_str());
  std::printf("%s\n", why.c_str());
  std::fflush(nullptr);
  std::_Exit(verdict);
}

}  // namespace platform
