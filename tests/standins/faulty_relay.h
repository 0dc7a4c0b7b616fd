// A relay on loopback between the processes of a test, with faults for each ordered pair of endpoints: loss,
// duplication, reordering, delay, bandwidth, cuts, resets. An endpoint is selected by its name, by one of its
// groups or by "*". A change of faults applies at once, to queued data as well.
//
// UDP: the relay has one socket for each endpoint, whose address the endpoint advertises as its own. A
// datagram that arrives at the socket of B from A's real address is sent to B's real address *from the socket
// of A*. So B reaches A through the relay whether it replies to the source address or to the advertised one.
// TCP: one port for each ordered pair, relayed to a real port. The kernel does the handshake, so a connection
// over a cut link is established, and no byte crosses it; loss, duplication and reordering do not apply.
//
// Threads: all public functions may be called from any thread; one thread of the relay does all I/O. Errors:
// std::runtime_error if the system provides no socket, std::logic_error for an endpoint or link that does not
// exist. Bounds: 4,096 connections at once (more are reset), Faults::queue_bytes on each link.
//
// Its parts: relay_link (faults, counts, random decisions, schedule), relay_topology (endpoints, links,
// selectors), relay_datagrams (UDP), relay_connections and relay_stream (TCP), relay_io (sockets and
// readiness), relay_report (Describe).
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/relay_connections.h"
#include "standins/relay_datagrams.h"
#include "standins/relay_io.h"
#include "standins/relay_link.h"
#include "standins/relay_topology.h"

namespace mothrack::testing {

class FaultyRelay {
 public:
  using Faults = relay::Faults;  // of one link; by default there are none
  using Counts = relay::Counts;  // of one link, or the sum of several

  explicit FaultyRelay(std::uint64_t seed = 1);
  ~FaultyRelay();
  FaultyRelay(const FaultyRelay&) = delete;
  FaultyRelay& operator=(const FaultyRelay&) = delete;

  // Adds an endpoint and the groups that it is in; `udp_port`: its real port on loopback, 0 if it has no
  // UDP. Returns the port to advertise, 0 if it has no UDP.
  std::uint16_t AddEndpoint(const std::string& name, const std::vector<std::string>& groups,
                            std::uint16_t udp_port = 0);
  // Sets another real port for a restarted endpoint; the advertised port stays.
  void MoveEndpoint(const std::string& name, std::uint16_t udp_port);
  std::uint16_t advertised_port(const std::string& name) const;
  // Opens and returns a port by which `from` reaches `to`'s real TCP port. Several ports of one pair share
  // its link.
  std::uint16_t AddTcpPort(const std::string& from, const std::string& to, std::uint16_t real_port);

  // Changes the faults on every link from one selector to the other: a name, a group, or "*".
  void ChangeFaults(const std::string& from, const std::string& to,
                    const std::function<void(Faults&)>& change);
  void Cut(const std::string& from, const std::string& to);  // one direction only
  void Restore(const std::string& from, const std::string& to);
  // Endpoints on different sides exchange nothing, whatever faults are set. Endpoints on no side form one
  // more side.
  void Partition(const std::vector<std::vector<std::string>>& sides);
  void Heal();         // ends the partition; faults of links stay
  void ClearFaults();  // no fault anywhere
  // Resets both sides of the open connections.
  void ResetConnections(const std::string& from, const std::string& to);

  Counts counts(const std::string& from = "*", const std::string& to = "*") const;
  std::uint64_t unknown_senders() const;  // datagrams dropped because no endpoint has their source address
  std::size_t queued_bytes() const;       // bytes queued now
  // Lists the links on which anything was dropped, duplicated, reordered or reset.
  std::string Describe() const;

 private:
  // Reschedules queued data after a change of faults, and wakes the thread.
  void ApplyChangedFaults();
  void Loop();
  int PollTimeoutMs() const;  // milliseconds until queued data is due; -1: nothing is queued
  void HandleEvents(int fd, std::uint32_t events, relay::Clock::time_point now);

  relay::Poller poller_;
  mutable std::mutex mutex_;  // guards topology_, datagrams_ and connections_
  relay::Topology topology_;
  relay::DatagramRelay datagrams_;
  relay::ConnectionRelay connections_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace mothrack::testing
