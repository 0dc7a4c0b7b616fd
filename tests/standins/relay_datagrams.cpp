#include "standins/relay_datagrams.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "support/loopback.h"

namespace mothrack::testing::relay {
namespace {

constexpr std::size_t kHeaderBytes = 28;     // IP and UDP headers: an empty datagram has a size as well
constexpr int kMaxReceivedAtOnce = 256;      // datagrams in a row, so that no socket starves the others
constexpr int kKernelBufferBytes = 1 << 20;  // for datagrams that arrive while the thread is not scheduled

}  // namespace

std::size_t DatagramRelay::Datagram::size() const { return bytes.size() + kHeaderBytes; }

DatagramRelay::~DatagramRelay() {
  for (const auto& [fd, endpoint] : by_fd_) ::close(fd);
}

void DatagramRelay::Open(Endpoint& endpoint) {
  endpoint.fd = OpenLoopbackSocket(SOCK_DGRAM, endpoint.advertised);
  ::setsockopt(endpoint.fd, SOL_SOCKET, SO_RCVBUF, &kKernelBufferBytes, sizeof kKernelBufferBytes);
  by_real_port_[endpoint.real] = by_fd_[endpoint.fd] = &endpoint;
  poller_.Add(endpoint.fd, EPOLLIN);
}

void DatagramRelay::Move(Endpoint& endpoint, std::uint16_t udp_port) {
  by_real_port_.erase(endpoint.real);
  endpoint.real = udp_port;
  by_real_port_[udp_port] = &endpoint;
}

void DatagramRelay::Receive(int fd) {
  const Endpoint& to = *by_fd_.at(fd);
  for (int i = 0; i < kMaxReceivedAtOnce; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(fd, buffer_.data(), buffer_.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    const auto sender = by_real_port_.find(ntohs(from.sin_port));
    if (sender == by_real_port_.end() || sender->second == &to) {
      ++unknown_senders_;
      continue;
    }
    Enqueue(topology_.LinkOf(*sender->second, to), std::string(buffer_.data(), static_cast<std::size_t>(got)),
            Clock::now());
  }
}

void DatagramRelay::Enqueue(Link& link, const std::string& bytes, Clock::time_point now) {
  const DatagramDraws draws = link.Draw();
  ++link.counts.received;
  if (link.IsCut()) {
    ++link.counts.cut;
    return;
  }
  if (draws.lost) {
    ++link.counts.lost;
    return;
  }
  link.counts.reordered += draws.reordered ? 1 : 0;
  EnqueueCopies(link, draws, bytes, now);
}

void DatagramRelay::EnqueueCopies(Link& link, const DatagramDraws& draws, const std::string& bytes,
                                  Clock::time_point now) {
  for (int copy = 0; copy < (draws.duplicated ? 2 : 1); ++copy) {
    Datagram datagram{&link, now, draws.extra_delay, !draws.reordered, bytes};
    if (link.queued_bytes + datagram.size() > link.faults.queue_bytes) {
      ++link.counts.queue_full;
      continue;
    }
    link.counts.duplicated += copy;
    link.queued_bytes += datagram.size();
    Add(std::move(datagram));
  }
}

void DatagramRelay::Add(Datagram datagram) {
  const auto due =
      datagram.link->Schedule(datagram.arrived_at, datagram.size(), datagram.extra_delay, datagram.ordered);
  queue_.emplace(due, std::move(datagram));
}

void DatagramRelay::Deliver(Clock::time_point now) {
  while (!queue_.empty() && queue_.begin()->first <= now) {
    const Datagram datagram = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    Link& link = *datagram.link;
    link.queued_bytes -= datagram.size();
    if (link.IsCut()) {
      ++link.counts.cut;
      continue;
    }
    Send(datagram);
  }
}

void DatagramRelay::Send(const Datagram& datagram) {
  Link& link = *datagram.link;
  const sockaddr_in to = LoopbackAddress(link.to().real);
  const ssize_t sent = ::sendto(link.from().fd, datagram.bytes.data(), datagram.bytes.size(), MSG_NOSIGNAL,
                                reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (sent < 0) {
    ++link.counts.send_errors;
    return;
  }
  ++link.counts.delivered;
  link.counts.bytes += static_cast<std::uint64_t>(sent);
}

Clock::time_point DatagramRelay::NextDue() const {
  return queue_.empty() ? Clock::time_point::max() : queue_.begin()->first;
}

void DatagramRelay::Reschedule() {
  std::vector<Datagram> changed;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (!it->second.link->faults_changed) {
      ++it;
      continue;
    }
    changed.push_back(std::move(it->second));
    it = queue_.erase(it);
  }
  std::ranges::stable_sort(changed, {}, &Datagram::arrived_at);
  for (Datagram& datagram : changed) Add(std::move(datagram));
}

}  // namespace mothrack::testing::relay
