// The TCP side of a FaultyRelay: a listening port for each ordered pair, and the connections accepted there.
// Bounds: 4,096 connections at once (more are reset), Faults::queue_bytes for each direction of one. Not
// thread-safe: FaultyRelay holds its mutex around every call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/relay_io.h"
#include "standins/relay_stream.h"

namespace mothrack::testing::relay {

class ConnectionRelay {
 public:
  // The poller must outlive the object.
  explicit ConnectionRelay(const Poller& poller) : poller_(poller) {}
  ~ConnectionRelay();
  ConnectionRelay(const ConnectionRelay&) = delete;
  ConnectionRelay& operator=(const ConnectionRelay&) = delete;

  // Listens on a port for connections to `real_port`, whose bytes cross the two links. Returns the port.
  std::uint16_t Listen(Link& forward, Link& backward, std::uint16_t real_port);

  bool OwnsListener(int fd) const { return listeners_.contains(fd); }
  void Accept(int listener);
  // Handles the poller's events for either socket of a connection; ignores sockets that are already closed.
  void HandleEvents(int fd, std::uint32_t events, Clock::time_point now);
  // Opens, serves and closes the connections for which this is due now.
  void Advance();
  // When Advance() has something to do next; time_point::max() if it waits only for events.
  Clock::time_point NextDue() const;
  // Reschedules what is queued on links whose faults changed, as if the new faults had applied on its
  // arrival.
  void Reschedule();
  // Resets both sides of the connections whose forward link matches the two selectors.
  void Reset(const std::string& from, const std::string& to);

 private:
  struct Listener {
    Link* forward = nullptr;
    Link* backward = nullptr;
    std::uint16_t real_port = 0;
  };
  // One of the two sockets of a connection, with the streams from and to it.
  struct Side {
    Side(Stream& from, Stream& to) : outgoing(from), incoming(to) {}
    Stream& outgoing;
    Stream& incoming;
    int fd = -1;
    std::uint32_t events = 0;  // the epoll events that are registered
    bool watched = true;       // false: closed or reset, and removed from the poller
    bool was_reset = false;    // this side was reset while its link was cut; the other side is reset later
  };
  struct Connection {
    explicit Connection(const Listener& listener)
        : forward(*listener.forward), backward(*listener.backward), real_port(listener.real_port) {}
    Stream forward, backward;
    Side client{forward, backward};
    Side server{backward, forward};
    std::uint16_t real_port = 0;
    Clock::time_point connect_at;
    bool connecting = false;
  };

  void Add(int client, const Listener& listener);
  void Connect(Connection& connection);
  static bool FinishConnecting(Connection& connection);
  void StopWatching(Side& side) const;
  void Advance(Connection& connection, Clock::time_point now);
  // Transfers what an established connection can transfer now. Returns false if the connection is to be
  // closed.
  bool Exchange(Connection& connection, Clock::time_point now);
  static Clock::time_point NextDueOf(const Connection& connection);
  // Registers only the events that can be handled now; a side whose stream is full is not read.
  void UpdateInterest(Connection& connection) const;
  void UpdateInterest(Side& side, bool connecting) const;
  void Close(int client, bool reset);

  const Poller& poller_;
  std::map<int, Listener> listeners_;                       // by the listening socket
  std::map<int, std::unique_ptr<Connection>> connections_;  // by the client's socket
  std::unordered_map<int, Connection*> by_socket_;          // of either side
  std::vector<char> buffer_ = std::vector<char>(kReadBytes);
};

}  // namespace mothrack::testing::relay
