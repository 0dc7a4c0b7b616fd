// Stand-ins for a review case: the application's clients, upstreams, discovery and the network, written from
// the protocol pages, and the sidecar as a child process. They share no code with the program. All addresses
// are loopback addresses on free ports, all waits are bounded, all times are those of the steady clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
inline double Now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(microseconds(static_cast<std::int64_t>(ms * 1000)));
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[600];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) std::fprintf(file_, "%9.4f %s\n", Now(), text);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---- Sockets ----

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int ListenOn(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that was free a moment ago, for a process that has to be told its address.
inline std::uint16_t FreePort() {
  std::uint16_t port = 0;
  ::close(ListenOn(port));
  return port;
}

inline void NoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int ConnectTo(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  NoDelay(fd);
  return fd;
}

// Whether the descriptor becomes readable (bytes or the end) within the time.
inline bool Readable(int fd, int timeout_ms) {
  pollfd wait{fd, POLLIN, 0};
  return ::poll(&wait, 1, timeout_ms) > 0;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  for (std::size_t done = 0; done < bytes.size();) {
    const ssize_t size = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (size <= 0) return false;
    done += static_cast<std::size_t>(size);
  }
  return true;
}

// ---- HTTP/1.1 messages with a length or in chunks ----

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string Field(const char* name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
  }
  std::string Word(int n) const {  // the n-th word of the first line
    std::size_t at = 0;
    for (; n > 0; --n) {
      at = first_line.find(' ', at);
      if (at == std::string::npos) return {};
      ++at;
    }
    return first_line.substr(at, first_line.find(' ', at) - at);
  }
  int status() const { return std::atoi(Word(1).c_str()); }
};

class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {}
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;
  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger now{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  bool Write(const std::string& bytes) { return fd_ >= 0 && WriteAll(fd_, bytes); }
  bool HasInput() const { return !in_.empty() || Readable(fd_, 0); }

  enum class Result { kMessage, kTimeout, kEnded };
  // `deadline`: as of Now().
  Result Read(Message& message, double deadline) {
    message = {};
    std::size_t head = 0;
    while ((head = in_.find("\r\n\r\n")) == std::string::npos) {
      if (const Result more = More(deadline); more != Result::kMessage) return more;
    }
    ParseHead(message, in_.substr(0, head));
    in_.erase(0, head + 4);
    if (message.Field("transfer-encoding") == "chunked") return ReadChunks(message, deadline);
    const std::size_t length = std::strtoul(message.Field("content-length").c_str(), nullptr, 10);
    while (in_.size() < length) {
      if (const Result more = More(deadline); more != Result::kMessage) return more;
    }
    message.body = in_.substr(0, length);
    in_.erase(0, length);
    return Result::kMessage;
  }

 private:
  Result More(double deadline) {
    const double left = deadline - Now();
    if (left <= 0 || !Readable(fd_, static_cast<int>(left * 1000) + 1)) return Result::kTimeout;
    char bytes[16384];
    const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) return Result::kEnded;
    in_.append(bytes, static_cast<std::size_t>(size));
    return Result::kMessage;
  }
  Result ReadChunks(Message& message, double deadline) {
    while (true) {
      std::size_t end = 0;
      while ((end = in_.find("\r\n")) == std::string::npos) {
        if (const Result more = More(deadline); more != Result::kMessage) return more;
      }
      const std::size_t size = std::strtoul(in_.c_str(), nullptr, 16);
      while (in_.size() < end + 2 + size + 2) {
        if (const Result more = More(deadline); more != Result::kMessage) return more;
      }
      message.body += in_.substr(end + 2, size);
      in_.erase(0, end + 2 + size + 2);
      if (size == 0) return Result::kMessage;
    }
  }
  static void ParseHead(Message& message, const std::string& head) {
    std::size_t at = head.find("\r\n");
    message.first_line = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
  }

  int fd_;
  std::string in_;
};

inline std::string Answer(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Listens and serves each connection in a thread of its own until Stop().
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve) : serve_(std::move(serve)) {
    fd_ = ListenOn(port_);
    thread_ = std::thread([this] { Run(); });
  }
  ~Server() { Stop(); }
  std::uint16_t port() const { return port_; }
  bool stopping() const { return stopping_; }
  // Refuses new connections; each connection's thread ends when it asks stopping().
  void Stop() {
    if (stopping_.exchange(true)) return;
    thread_.join();
    ::close(fd_);
    for (auto& thread : threads_) thread.join();
  }

 private:
  void Run() {
    while (!stopping_) {
      if (!Readable(fd_, 50)) continue;
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      NoDelay(fd);
      threads_.emplace_back([this, fd] { serve_(fd); });
    }
  }
  Serve serve_;
  std::uint16_t port_ = 0;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
  std::vector<std::thread> threads_;
};

// ---- The network: passes bytes on in both directions, each of them `delay_ms` later ----

class Link {
 public:
  Link(std::uint16_t target, double delay_ms)
      : target_(target),
        delay_(static_cast<std::int64_t>(delay_ms * 1000)),
        server_([this](int fd) { Serve(fd); }) {}
  std::uint16_t port() const { return server_.port(); }

 private:
  struct Piece {
    Clock::time_point due;
    std::string bytes;  // empty: the end
  };
  struct Way {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Piece> pieces;
  };
  void Serve(int from) {
    const int to = ConnectTo(target_);
    if (to < 0) {
      Conn(from).Reset();
      return;
    }
    std::thread back([&] { Pass(to, from); });
    Pass(from, to);
    back.join();
    ::close(from);
    ::close(to);
  }
  void Pass(int from, int to) {
    Way way;
    std::thread writer([&] {
      while (true) {
        Piece piece;
        {
          std::unique_lock lock(way.mutex);
          way.changed.wait(lock, [&] { return !way.pieces.empty(); });
          piece = std::move(way.pieces.front());
          way.pieces.pop_front();
        }
        std::this_thread::sleep_until(piece.due);
        if (piece.bytes.empty() || !WriteAll(to, piece.bytes)) break;
      }
      ::shutdown(to, SHUT_WR);
    });
    while (!server_.stopping()) {
      if (!Readable(from, 50)) continue;
      char bytes[16384];
      const ssize_t size = ::recv(from, bytes, sizeof bytes, 0);
      if (size <= 0) break;
      Push(way, std::string(bytes, static_cast<std::size_t>(size)));
    }
    Push(way, "");
    writer.join();
  }
  void Push(Way& way, std::string bytes) {
    const std::lock_guard lock(way.mutex);
    way.pieces.push_back({Clock::now() + delay_, std::move(bytes)});
    way.changed.notify_one();
  }

  const std::uint16_t target_;
  const microseconds delay_;
  Server server_;
};

// ---- Discovery: the agent on the sidecar's machine, or the shared service ----

class Discovery {
 public:
  Discovery() : server_([this](int fd) { Serve(fd); }) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  // `targets`: the elements of the JSON array. Each call is a new version and tells the whole list.
  void Publish(std::string targets) {
    const std::lock_guard lock(mutex_);
    targets_ = std::move(targets);
    ++revision_;
    changed_.notify_all();
  }
  // Each answer takes this long, as in a crowded service.
  void AnswerIn(double ms) { answer_ms_ = ms; }
  int calls() const { return calls_; }
  int answers() const { return answers_; }
  std::function<void(int revision)> on_told;  // a list of this revision has been written

 private:
  void Serve(int fd) {
    Conn conn(fd);
    Message request;
    while (!server_.stopping()) {
      const auto result = conn.Read(request, Now() + 0.05);
      if (result == Conn::Result::kTimeout) continue;
      if (result == Conn::Result::kEnded) return;
      ++calls_;
      const std::string target = request.Word(1);
      const std::size_t index = target.find("index=");
      const std::size_t wait = target.find("wait=");
      SleepMs(answer_ms_);
      std::unique_lock lock(mutex_);
      if (index != std::string::npos) {
        const int known = std::atoi(target.c_str() + index + 6);
        const int wait_ms = wait == std::string::npos ? 0 : std::atoi(target.c_str() + wait + 5);
        const auto until = Clock::now() + milliseconds(wait_ms);
        while (revision_ <= known && Clock::now() < until && !server_.stopping()) {
          changed_.wait_for(lock, milliseconds(20));
        }
        if (revision_ <= known) {
          const std::string none = List(false, "");
          lock.unlock();
          if (!conn.Write(Answer(200, none))) return;
          ++answers_;
          continue;
        }
      }
      const int revision = revision_;
      const std::string list = List(true, targets_);
      lock.unlock();
      if (!conn.Write(Answer(200, list))) return;
      ++answers_;
      if (on_told) on_told(revision);
    }
  }
  std::string List(bool all, const std::string& targets) const {
    return "{\"rev\":" + std::to_string(revision_) + ",\"all\":" + (all ? "true" : "false") +
           ",\"targets\":[" + targets + "]}";
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string targets_;
  int revision_ = 0;
  std::atomic<double> answer_ms_{0};
  std::atomic<int> calls_{0};
  std::atomic<int> answers_{0};
  Server server_;
};

inline std::string Target(const std::string& uid, std::uint16_t port, const std::string& hall,
                          const std::string& state = "active") {
  return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + std::to_string(port) + "\",\"az\":\"" + hall +
         "\",\"model\":\"fast-3core\",\"pod_group\":0,\"state\":\"" + state +
         "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
}

// ---- The sidecar, started as the deploy file says ----

// The value of `run` in the deploy file.
inline std::string RunCommand(const std::string& root) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  std::fprintf(stderr, "no run command in deploy/balancer.toml\n");
  std::exit(2);
}

class Sidecar {
 public:
  Sidecar(const std::string& root, const std::string& log,
          const std::map<std::string, std::string>& variables) {
    const std::string command = RunCommand(root);
    std::vector<std::string> texts = {"PATH=/usr/bin:/bin"};
    for (const auto& [name, value] : variables) texts.push_back(name + '=' + value);
    std::vector<char*> environment;
    for (std::string& text : texts) environment.push_back(text.data());
    environment.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it never outlives the stand-ins, whatever ends them
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (::chdir(root.c_str()) != 0) ::_exit(127);
    ::execle("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr), environment.data());
    ::_exit(127);
  }
  ~Sidecar() {
    if (status_ != -1) return;
    Signal(SIGKILL);
    Wait(5);
  }
  void Signal(int number) const { ::kill(pid_, number); }
  // Waits for its end; whether it came in time. The exit status is that of waitpid().
  bool Wait(double seconds) {
    for (const double until = Now() + seconds; status_ == -1 && Now() < until; SleepMs(5)) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
    }
    return status_ != -1;
  }
  bool running() { return !Wait(0.001); }
  int status() const { return status_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = -1;
};

// Whether GET /up at the port answers 200 within the time.
inline bool WaitUntilUp(std::uint16_t port, double seconds) {
  for (const double until = Now() + seconds; Now() < until; SleepMs(20)) {
    const int fd = ConnectTo(port);
    if (fd < 0) continue;
    Conn conn(fd);
    Message answer;
    conn.Write("GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
    if (conn.Read(answer, Now() + 1) == Conn::Result::kMessage && answer.status() == 200) return true;
  }
  return false;
}

inline std::string RandomId(std::mt19937_64& random) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  std::rename((path + ".new").c_str(), path.c_str());
}

}  // namespace review
