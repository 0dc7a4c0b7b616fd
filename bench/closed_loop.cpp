#include "closed_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <utility>

#include "support/loopback.h"

namespace mothrack::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kMaxEvents = 64;
constexpr int kAnswerTimeoutMs = 5000;  // the run ends if no answer arrives for this long
constexpr std::size_t kReadSize = 65536;

// One run of the load: its connections and its requests in flight.
class ClosedLoop {
 public:
  ClosedLoop(const Protocol& protocol, std::uint16_t port, const Load& load, int requests)
      : protocol_(protocol),
        load_(load),
        requests_(requests),
        epoll_(::epoll_create1(EPOLL_CLOEXEC)),
        buffers_(static_cast<std::size_t>(load.lanes)),
        sent_at_(static_cast<std::size_t>(requests)) {
    for (int lane = 0; lane < load.lanes; ++lane) {
      sockets_.push_back(ConnectToPort(protocol.socket_type, port));
      epoll_event event{};
      event.events = EPOLLIN;
      event.data.fd = lane;
      ::epoll_ctl(epoll_, EPOLL_CTL_ADD, sockets_.back(), &event);
    }
  }
  ~ClosedLoop() {
    for (const int fd : sockets_) ::close(fd);
    ::close(epoll_);
  }
  ClosedLoop(const ClosedLoop&) = delete;
  ClosedLoop& operator=(const ClosedLoop&) = delete;

  LoadResult Run() {
    for (int i = 0; i < load_.depth; ++i) {
      for (int lane = 0; lane < load_.lanes; ++lane) SendNext(lane);
    }
    while (result_.answered < requests_) {
      epoll_event events[kMaxEvents];
      const int ready = ::epoll_wait(epoll_, events, kMaxEvents, kAnswerTimeoutMs);
      if (ready <= 0) break;
      for (int i = 0; i < ready; ++i) Receive(events[i].data.fd);
    }
    return std::move(result_);
  }

 private:
  void SendNext(int lane) {
    if (next_ >= requests_) return;
    const std::string request = protocol_.make_request(next_, lane);
    sent_at_[static_cast<std::size_t>(next_++)] = Clock::now();
    ::send(sockets_[static_cast<std::size_t>(lane)], request.data(), request.size(), MSG_NOSIGNAL);
  }

  void Receive(int lane) {
    const int fd = sockets_[static_cast<std::size_t>(lane)];
    const ssize_t received = ::recv(fd, bytes_, sizeof bytes_, MSG_DONTWAIT);
    if (received <= 0) return;
    std::string& buffer = buffers_[static_cast<std::size_t>(lane)];
    buffer.append(bytes_, static_cast<std::size_t>(received));
    for (const int number : protocol_.remove_answers(buffer, lane)) {
      const auto latency = Clock::now() - sent_at_[static_cast<std::size_t>(number)];
      result_.latencies_us.push_back(std::chrono::duration<double, std::micro>(latency).count());
      ++result_.answered;
      SendNext(lane);
    }
  }

  const Protocol& protocol_;
  const Load load_;
  const int requests_;
  const int epoll_;
  std::vector<int> sockets_;                // by lane
  std::vector<std::string> buffers_;        // by lane: bytes of answers that are not complete yet
  std::vector<Clock::time_point> sent_at_;  // by request
  int next_ = 0;                            // number of the next request
  LoadResult result_;
  char bytes_[kReadSize];
};

}  // namespace

int ConnectToPort(int type, std::uint16_t port) {
  const int fd = testing::ConnectLoopback(type, port);
  if (fd < 0) throw std::runtime_error("connect");
  if (type == SOCK_STREAM) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  return fd;
}

LoadResult RunClosedLoop(const Protocol& protocol, std::uint16_t port, const Load& load, int requests) {
  return ClosedLoop(protocol, port, load, requests).Run();
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

}  // namespace mothrack::bench
