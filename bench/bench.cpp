// mothrack_bench PROGRAM FLOOR [--requests N] [--rounds N] [--check]: what a request through the sidecar
// costs, as a ratio to the bare relay of bench/floor.cpp, which carries the same messages of the same client
// to the same stand-ins in the same run, turn about. CPU times are the process's own (its CPU clock). Also
// the time that either adds, one request at a time, and the memory at 10,000 open DNS queries. With --check
// it fails where an aim is missed.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "standins/dns_wire.h"
#include "standins/resolver.h"
#include "support/loopback.h"

namespace {

using mothrack::testing::Octets;
using Clock = std::chrono::steady_clock;

// The aims; the HTTP figure is what it cost before DNS was there.
constexpr double kMostHttp = 2.6;
constexpr double kMostUdp = 2.5;
constexpr long kMostMemoryKb = 32 * 1024;
constexpr int kOpenQueries = 10000;

int Connect(int type, std::uint16_t port) {
  const int fd = mothrack::testing::ConnectLoopback(type, port);
  if (fd < 0) throw std::runtime_error("connect");
  if (type == SOCK_STREAM) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  return fd;
}

// Answers each request that ends with an empty line by the same 200.
class HttpStandin {
 public:
  HttpStandin() {
    listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!mothrack::testing::BindLoopback(listening_, 0)) throw std::runtime_error("bind");
    port_ = mothrack::testing::LocalPort(listening_);
    ::listen(listening_, 512);
    thread_ = std::thread([this] { Loop(); });
  }
  ~HttpStandin() {
    stopping_ = true;
    thread_.join();
  }
  std::uint16_t port() const { return port_; }

 private:
  void Loop() {
    static const std::string kAnswer =
        "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + std::string(200, 'x');
    const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
    const auto watch = [epoll](int fd) {
      epoll_event event{};
      event.events = EPOLLIN;
      event.data.fd = fd;
      ::epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
    };
    watch(listening_);
    std::map<int, std::string> read;
    char bytes[16384];
    while (!stopping_) {
      epoll_event events[64];
      const int ready = ::epoll_wait(epoll, events, 64, 50);
      for (int i = 0; i < ready; ++i) {
        const int fd = events[i].data.fd;
        if (fd == listening_) {
          const int accepted = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
          if (accepted < 0) continue;
          const int on = 1;
          ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          watch(accepted);
          continue;
        }
        const ssize_t got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got <= 0) {
          read.erase(fd);
          ::close(fd);
          continue;
        }
        std::string& buffered = read[fd];
        buffered.append(bytes, static_cast<std::size_t>(got));
        for (std::size_t end; (end = buffered.find("\r\n\r\n")) != std::string::npos;
             buffered.erase(0, end + 4)) {
          ::send(fd, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
        }
      }
    }
    ::close(epoll);
    ::close(listening_);
  }

  int listening_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// A program that was started, until it is ended.
class Process {
 public:
  Process(const std::vector<std::string>& command, const std::vector<std::string>& environment, int output) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("pipe");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], output);
      for (const auto& entry : environment) ::putenv(const_cast<char*>(entry.c_str()));
      std::vector<char*> arguments;
      for (const auto& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
      arguments.push_back(nullptr);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    ::close(ends[1]);
    output_ = ends[0];
  }
  ~Process() {
    ::kill(pid_, SIGTERM);
    ::waitpid(pid_, nullptr, 0);
    ::close(output_);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // The number behind `mark` in what it prints.
  std::uint16_t PortBehind(const std::string& mark) {
    std::string text;
    char byte = 0;
    while (::read(output_, &byte, 1) == 1) {
      text += byte;
      const auto at = text.find(mark);
      if (byte == '\n' && at != std::string::npos) {
        return static_cast<std::uint16_t>(std::atoi(text.c_str() + at + mark.size()));
      }
    }
    throw std::runtime_error("it did not start: " + text);
  }
  double CpuSeconds() const {
    clockid_t clock{};
    timespec time{};
    if (::clock_getcpuclockid(pid_, &clock) != 0 || ::clock_gettime(clock, &time) != 0) {
      throw std::runtime_error("no CPU clock");
    }
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
  }
  long PeakMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) return std::stol(line.substr(6));
    }
    return -1;
  }

 private:
  pid_t pid_ = -1;
  int output_ = -1;
};

class TextFile {
 public:
  TextFile(const std::string& name, const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("mothrack-bench-" + std::to_string(::getpid()) + name)) {
    std::ofstream(path_) << text;
  }
  ~TextFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_; }

 private:
  std::string path_;
};

// A closed loop: each of `lanes` connections keeps `depth` requests out.
struct Load {
  int lanes = 4;
  int depth = 1;
};

struct Result {
  int answered = 0;
  std::vector<double> microseconds;  // of each answer
};

// `make(number)` gives a message; `take(buffer)` cuts whole answers off its front and returns their numbers.
Result Drive(int type, std::uint16_t port, const Load& load, int requests,
             const std::function<std::string(int)>& make,
             const std::function<std::vector<int>(std::string&, int lane)>& take) {
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  std::vector<int> sockets;
  std::vector<std::string> buffered(static_cast<std::size_t>(load.lanes));
  std::vector<Clock::time_point> sent(static_cast<std::size_t>(requests));
  for (int i = 0; i < load.lanes; ++i) {
    sockets.push_back(Connect(type, port));
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = i;
    ::epoll_ctl(epoll, EPOLL_CTL_ADD, sockets.back(), &event);
  }
  int next = 0;
  const auto send_one = [&](int lane) {
    if (next >= requests) return;
    const std::string message = make(next);
    sent[static_cast<std::size_t>(next++)] = Clock::now();
    ::send(sockets[static_cast<std::size_t>(lane)], message.data(), message.size(), MSG_NOSIGNAL);
  };
  Result result;
  for (int d = 0; d < load.depth; ++d) {
    for (int lane = 0; lane < load.lanes; ++lane) send_one(lane);
  }
  char bytes[65536];
  while (result.answered < requests) {
    epoll_event events[64];
    const int ready = ::epoll_wait(epoll, events, 64, 5000);
    if (ready <= 0) break;  // what is lost is seen in the count
    for (int i = 0; i < ready; ++i) {
      const int lane = events[i].data.fd;
      const ssize_t got = ::recv(sockets[static_cast<std::size_t>(lane)], bytes, sizeof bytes, MSG_DONTWAIT);
      if (got <= 0) continue;
      std::string& buffer = buffered[static_cast<std::size_t>(lane)];
      buffer.append(bytes, static_cast<std::size_t>(got));
      for (const int number : take(buffer, lane)) {
        const auto took = Clock::now() - sent[static_cast<std::size_t>(number)];
        result.microseconds.push_back(std::chrono::duration<double, std::micro>(took).count());
        ++result.answered;
        send_one(lane);
      }
    }
  }
  for (const int fd : sockets) ::close(fd);
  ::close(epoll);
  return result;
}

// DNS numbers stand in the name, since ids come again.
std::string DnsMessage(int number, bool framed) {
  mothrack::testing::QuerySpec spec;
  char name[32];
  std::snprintf(name, sizeof name, "n%08d.example.org", number);
  spec.name = name;
  spec.id = static_cast<std::uint16_t>(number);
  const Octets query = mothrack::testing::MakeQuery(spec);
  std::string text;
  if (framed) text += {static_cast<char>(query.size() >> 8), static_cast<char>(query.size())};
  text.append(query.begin(), query.end());
  return text;
}

constexpr std::size_t kNumberAt = 12 + 2;  // in a message, behind header, length and 'n'

std::vector<int> TakeDatagram(std::string& buffer, int) {
  const int number = std::atoi(buffer.substr(kNumberAt, 8).c_str());
  buffer.clear();
  return {number};
}

std::vector<int> TakeFrames(std::string& buffer, int) {
  std::vector<int> numbers;
  while (buffer.size() >= 2) {
    const auto size = static_cast<std::size_t>(static_cast<unsigned char>(buffer[0]) << 8 |
                                               static_cast<unsigned char>(buffer[1]));
    if (buffer.size() < 2 + size) break;
    numbers.push_back(std::atoi(buffer.substr(2 + kNumberAt, 8).c_str()));
    buffer.erase(0, 2 + size);
  }
  return numbers;
}

// One request at a time on an HTTP connection: the number is remembered by lane.
struct HttpLanes {
  std::map<int, int> out;
  int prefix = 0;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct Contestant {
  std::string name;
  std::unique_ptr<Process> process;  // null: the stand-in itself, with nothing between
  std::uint16_t port = 0;
  std::vector<double> cpu;  // microseconds a request, by round
  double median = 0;
  double p99 = 0;
  int lost = 0;
};

using Driver = std::function<Result(std::uint16_t port, const Load& load, int requests)>;

// Runs floor and program turn about, and prints their figures; returns the median ratio.
double Compare(const char* title, std::vector<Contestant>& contestants, const Driver& drive, const Load& load,
               int requests, int rounds) {
  for (Contestant& c : contestants) drive(c.port, load, requests / 5);  // warm
  for (int round = 0; round < rounds; ++round) {
    for (Contestant& c : contestants) {
      if (!c.process) continue;
      const double before = c.process->CpuSeconds();
      const Result result = drive(c.port, load, requests);
      c.cpu.push_back((c.process->CpuSeconds() - before) * 1e6 / result.answered);
      c.lost += requests - result.answered;
    }
  }
  for (Contestant& c : contestants) {
    const Result alone = drive(c.port, {1, 1}, requests / 10);
    c.median = Percentile(alone.microseconds, 0.5);
    c.p99 = Percentile(alone.microseconds, 0.99);
  }
  std::printf("%s (%d requests, %d rounds, %d in flight)\n", title, requests, rounds,
              load.lanes * load.depth);
  for (const Contestant& c : contestants) {
    std::printf("  %-8s cpu %6.2f us a request   alone: median %6.1f us, p99 %6.1f us   lost %d\n",
                c.name.c_str(), c.cpu.empty() ? 0.0 : Percentile(c.cpu, 0.5), c.median, c.p99, c.lost);
  }
  std::vector<double> ratios;
  for (int round = 0; round < rounds; ++round) {
    ratios.push_back(contestants[2].cpu[static_cast<std::size_t>(round)] /
                     contestants[1].cpu[static_cast<std::size_t>(round)]);
  }
  const double ratio = Percentile(ratios, 0.5);
  std::printf("  ratio %.2f (from %.2f to %.2f); adds to the floor alone: median %.1f us, p99 %.1f us\n\n",
              ratio, *std::min_element(ratios.begin(), ratios.end()),
              *std::max_element(ratios.begin(), ratios.end()), contestants[2].median - contestants[1].median,
              contestants[2].p99 - contestants[1].p99);
  return ratio;
}

std::string DnsFile(std::uint16_t resolver) {
  return "[dns]\nlisten = [\"127.0.0.1:0\"]\n[[dns.resolver]]\nuid = \"r1\"\nendpoint = \"127.0.0.1:" +
         std::to_string(resolver) + "\"\n";
}

std::string HttpConfig(std::uint16_t upstream) {
  return R"({"name":"bench","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"rev":0,"all":true,"targets":[{"uid":"u1","endpoint":"127.0.0.1:)" +
         std::to_string(upstream) +
         R"(","az":"a","model":"m","pod_group":0,"state":"active","capacity_hint":1.0,
"boot_ms":0}]},
"settings":{"Classes":[{"Name":"page","Effect":"read_like","Aim":400000,"HardLimit":20000000}],
"MembershipMode":"pushed","Limits":{"MaxAttempts":3,"SecondCopies":false,"Cancelling":true,
"ConnectTimeout":200000,"IdleClose":15000000}}})";
}

int Run(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: mothrack_bench PROGRAM FLOOR [--requests N] [--rounds N] [--check]\n");
    return 2;
  }
  const std::string program = argv[1];
  const std::string floor = argv[2];
  int requests = 50000;
  int rounds = 5;
  bool check = false;
  for (int i = 3; i < argc; ++i) {
    const std::string option = argv[i];
    if (option == "--check") check = true;
    if (option == "--requests" && i + 1 < argc) requests = std::atoi(argv[++i]);
    if (option == "--rounds" && i + 1 < argc) rounds = std::atoi(argv[++i]);
  }
  std::signal(SIGPIPE, SIG_IGN);
  bool missed = false;

  HttpStandin http_upstream;
  const TextFile http_config(".json", HttpConfig(http_upstream.port()));
  std::vector<Contestant> http(3);
  http[0] = {"direct", nullptr, http_upstream.port(), {}, 0, 0, 0};
  http[1].name = "floor";
  http[1].process = std::make_unique<Process>(
      std::vector<std::string>{floor, "stream", std::to_string(http_upstream.port())},
      std::vector<std::string>{}, 1);
  http[1].port = http[1].process->PortBehind("");
  http[2].name = "sidecar";
  http[2].process = std::make_unique<Process>(
      std::vector<std::string>{program},
      std::vector<std::string>{"LB_NAME=bench", "LB_LISTEN=127.0.0.1:0", "LB_DISCOVERY=127.0.0.1:1",
                               "LB_CONFIG=" + http_config.path()},
      2);
  http[2].port = http[2].process->PortBehind("listening on 127.0.0.1:");
  HttpLanes lanes;
  const Driver drive_http = [&lanes](std::uint16_t port, const Load& load, int count) {
    ++lanes.prefix;
    std::map<int, std::vector<int>> numbers;  // a lane's, in the order sent: they come back in it
    int made = 0;
    // The first `lanes` are sent in the lanes' order, each later one on the lane of the answer.
    std::vector<int> queue_of(static_cast<std::size_t>(load.lanes));
    int answered_lane = -1;
    return Drive(
        SOCK_STREAM, port, load, count,
        [&](int number) {
          const int lane = answered_lane >= 0 ? answered_lane : made++ % load.lanes;
          queue_of[static_cast<std::size_t>(lane)] = number;
          return "GET /page/k HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: b" +
                 std::to_string(lanes.prefix) + "-" + std::to_string(number) +
                 "\r\nX-Timeout-Ms: 5000\r\n\r\n";
        },
        [&](std::string& buffer, int lane) {
          std::vector<int> done;
          answered_lane = lane;
          const auto end = buffer.find("\r\n\r\n");
          if (end == std::string::npos || buffer.size() < end + 4 + 200) return done;
          buffer.clear();
          done.push_back(queue_of[static_cast<std::size_t>(lane)]);
          return done;
        });
  };
  const double http_ratio =
      Compare("HTTP/1.1, kept connections", http, drive_http, {16, 1}, requests, rounds);
  missed = missed || http_ratio > kMostHttp;

  mothrack::testing::StandinResolver resolver(mothrack::testing::StandinResolver::Echo());
  resolver.StopRecording();
  const TextFile dns_file(".toml", DnsFile(resolver.port()));
  for (const bool tcp : {false, true}) {
    std::vector<Contestant> dns(3);
    dns[0] = {"direct", nullptr, resolver.port(), {}, 0, 0, 0};
    dns[1].name = "floor";
    dns[1].process = std::make_unique<Process>(
        std::vector<std::string>{floor, tcp ? "stream" : "udp", std::to_string(resolver.port())},
        std::vector<std::string>{}, 1);
    dns[1].port = dns[1].process->PortBehind("");
    dns[2].name = "sidecar";
    dns[2].process = std::make_unique<Process>(std::vector<std::string>{program, "--config", dns_file.path()},
                                               std::vector<std::string>{}, 2);
    dns[2].port = dns[2].process->PortBehind("dns on 127.0.0.1:");
    const Driver drive = [tcp](std::uint16_t port, const Load& load, int count) {
      return Drive(
          tcp ? SOCK_STREAM : SOCK_DGRAM, port, load, count,
          [tcp](int number) { return DnsMessage(number, tcp); }, tcp ? TakeFrames : TakeDatagram);
    };
    const double ratio = Compare(tcp ? "DNS over TCP, pipelined (to resolvers over UDP)" : "DNS over UDP",
                                 dns, drive, {4, 16}, requests, rounds);
    missed = missed || (!tcp && ratio > kMostUdp);
  }

  resolver.SetScript(mothrack::testing::StandinResolver::Unresponsive());
  Process unresponsive({program, "--config", dns_file.path()}, {}, 2);
  const std::uint16_t port = unresponsive.PortBehind("dns on 127.0.0.1:");
  const long before = unresponsive.PeakMemoryKb();
  const int fd = Connect(SOCK_DGRAM, port);
  const int seen = resolver.queries();
  for (int i = 0; i < kOpenQueries; ++i) {
    const std::string query = DnsMessage(i, false);
    ::send(fd, query.data(), query.size(), 0);
    if (i % 100 == 99) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  std::printf("memory: %ld KB at the start, %ld KB with %d queries open\n", before,
              unresponsive.PeakMemoryKb(), std::min(kOpenQueries, resolver.queries() - seen));
  missed = missed || unresponsive.PeakMemoryKb() > kMostMemoryKb;
  ::close(fd);
  if (missed)
    std::printf("an aim is missed: HTTP %.1f, DNS over UDP %.1f, memory %ld KB\n", kMostHttp, kMostUdp,
                kMostMemoryKb);
  return check && missed ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "mothrack_bench: %s\n", e.what());
    return 1;
  }
}
