// The UDP side of a FaultyRelay: a socket for each endpoint, the datagrams queued on all links, and their
// delivery when they are due. Bounds: Faults::queue_bytes on each link. Not thread-safe: FaultyRelay holds
// its mutex around every call.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/relay_io.h"
#include "standins/relay_topology.h"

namespace mothrack::testing::relay {

class DatagramRelay {
 public:
  // Both must outlive the object.
  DatagramRelay(Topology& topology, const Poller& poller) : topology_(topology), poller_(poller) {}
  ~DatagramRelay();
  DatagramRelay(const DatagramRelay&) = delete;
  DatagramRelay& operator=(const DatagramRelay&) = delete;

  // Opens the relay's socket for an endpoint that has a real port.
  void Open(Endpoint& endpoint);
  // The endpoint's process has another real port now.
  void Move(Endpoint& endpoint, std::uint16_t udp_port);

  bool Owns(int fd) const { return by_fd_.contains(fd); }
  // Receives and queues the datagrams that wait at a socket of the relay.
  void Receive(int fd);
  // Sends all that is due.
  void Deliver(Clock::time_point now);
  // When the next datagram is due; time_point::max() if none is queued.
  Clock::time_point NextDue() const;
  // Reschedules what is queued on links whose faults changed, as if the new faults had applied on its
  // arrival.
  void Reschedule();

  std::uint64_t unknown_senders() const { return unknown_senders_; }

 private:
  struct Datagram {
    Link* link = nullptr;
    Clock::time_point arrived_at;
    std::chrono::microseconds extra_delay{0};
    bool ordered = true;
    std::string bytes;
    std::size_t size() const;  // on the wire
  };

  void Enqueue(Link& link, const std::string& bytes, Clock::time_point now);
  void EnqueueCopies(Link& link, const DatagramDraws& draws, const std::string& bytes, Clock::time_point now);
  void Add(Datagram datagram);
  static void Send(const Datagram& datagram);

  Topology& topology_;
  const Poller& poller_;
  std::unordered_map<std::uint16_t, Endpoint*> by_real_port_;
  std::unordered_map<int, Endpoint*> by_fd_;
  std::multimap<Clock::time_point, Datagram> queue_;  // by due time
  std::uint64_t unknown_senders_ = 0;
  std::vector<char> buffer_ = std::vector<char>(kReadBytes);
};

}  // namespace mothrack::testing::relay
