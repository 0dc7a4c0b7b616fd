// A relay on loopback between the processes of a test, with faults for each ordered pair of endpoints: loss,
// duplication, reordering, delay, bandwidth, cuts, resets. An endpoint is selected by its name, by one of its
// groups or by "*"; a change of faults applies at once, to what is queued as well.
//
// UDP: the relay has one socket for each endpoint, whose address the endpoint advertises as its own. What
// arrives at the socket of B from A's real address is sent to B's real address *from the socket of A*, so B
// reaches A through the relay whether it replies to the source address or to the advertised one.
// TCP: one port for each ordered pair, relayed to a real port. The kernel does the handshake, so a connection
// over a cut link is established, and no byte crosses it; loss, duplication and reordering do not apply.
//
// Threads: all public functions may be called from any thread; one thread of the relay does all I/O. Errors:
// std::runtime_error where the system gives no socket, std::logic_error for an endpoint or link that does not
// exist. Bounds: 4,096 connections at once (more are reset), Faults::queue_bytes on each link.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mothrack::testing {

class FaultyRelay {
 public:
  struct Faults {
    double loss = 0;       // shares of the datagrams, 0 to 1, each drawn independently
    double duplicate = 0;  // delivered twice
    double reorder = 0;    // delayed by reorder_delay and overtaken; jitter alone keeps the order
    std::chrono::milliseconds reorder_delay{20};
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds jitter{0};  // on top of the delay, uniform from 0 to this
    std::size_t bytes_per_s = 0;          // 0: unlimited
    std::size_t queue_bytes =
        256 * 1024;                  // bytes queued: datagrams beyond it are dropped, a TCP sender waits
    bool cut = false;                // datagrams are dropped silently; TCP bytes wait until it is restored
    bool reset_connections = false;  // TCP: open and new connections are reset
  };

  // Of one ordered pair; datagrams, unless the name says otherwise.
  struct Counts {
    std::uint64_t received = 0, delivered = 0, bytes = 0;
    std::uint64_t lost = 0, cut = 0, queue_full = 0,
                  send_errors = 0;  // dropped: by loss, by a cut, by a full queue, by the system
    std::uint64_t duplicated = 0, reordered = 0;
    std::uint64_t connections = 0, resets = 0, tcp_bytes = 0;
    Counts& operator+=(const Counts& other);
  };

  explicit FaultyRelay(std::uint64_t seed = 1);
  ~FaultyRelay();
  FaultyRelay(const FaultyRelay&) = delete;
  FaultyRelay& operator=(const FaultyRelay&) = delete;

  // Adds an endpoint and the groups that it is in; `udp_port`: its real port on loopback, 0 where it has no
  // UDP. Returns the port to advertise, 0 likewise.
  std::uint16_t AddEndpoint(const std::string& name, const std::vector<std::string>& groups,
                            std::uint16_t udp_port = 0);
  // The endpoint restarted on another port; the advertised one stays.
  void MoveEndpoint(const std::string& name, std::uint16_t udp_port);
  std::uint16_t advertised_port(const std::string& name) const;
  // The port by which `from` reaches `to`'s real TCP port. Several for one pair share its link.
  std::uint16_t AddTcpPort(const std::string& from, const std::string& to, std::uint16_t real_port);

  // Changes the faults on every link from one selector to the other: a name, a group, or "*".
  void ChangeFaults(const std::string& from, const std::string& to,
                    const std::function<void(Faults&)>& change);
  void Cut(const std::string& from, const std::string& to);  // one direction only
  void Restore(const std::string& from, const std::string& to);
  // Endpoints of different sides exchange nothing, whatever else is set; those in no side form one of their
  // own.
  void Partition(const std::vector<std::vector<std::string>>& sides);
  void Heal();         // ends the partition; faults of links stay
  void ClearFaults();  // no fault anywhere
  // Resets both sides of the open connections.
  void ResetConnections(const std::string& from, const std::string& to);

  Counts counts(const std::string& from = "*", const std::string& to = "*") const;
  std::uint64_t unknown_senders() const;  // datagrams from no endpoint's address, dropped
  std::size_t queued_bytes() const;       // bytes queued now
  std::string Describe()
      const;  // the links on which anything was dropped, repeated or reordered, for a test's log

 private:
  using Clock = std::chrono::steady_clock;
  struct Endpoint {
    std::string name;
    std::vector<std::string> groups;
    std::uint16_t real = 0;
    std::uint16_t advertised = 0;
    int fd = -1;
    std::size_t side = 0;
  };
  struct Link {
    Endpoint* from = nullptr;
    Endpoint* to = nullptr;
    Faults faults;
    std::mt19937_64 random;
    Clock::time_point last_due;    // of what keeps its order
    Clock::time_point free;        // when a slow link has passed on what it has
    std::size_t queued_bytes = 0;  // bytes
    bool changed = false;          // its faults, since what is queued was planned
    Counts counts;
  };
  struct Datagram {
    Link* link = nullptr;
    Clock::time_point came;
    std::chrono::microseconds extra{0};  // jitter, or what it is held back
    bool ordered = true;
    std::string bytes;
  };
  struct Chunk {
    Clock::time_point came, due;
    std::string bytes;
    bool end = false;  // the sender's
  };
  struct Direction {  // one direction of a connection
    Link* link = nullptr;
    std::deque<Chunk> chunks;
    std::size_t held = 0;  // bytes
    bool ended = false;    // nothing more comes
    bool done = false;     // and all that came was passed on
    bool blocked = false;  // the receiver takes no more for now
  };
  struct Connection {
    int client = -1;
    int server = -1;
    bool connecting = false;
    Clock::time_point begin;  // when the server is called
    std::uint16_t real = 0;
    Direction there, back;
    std::uint32_t client_events = 0, server_events = 0;  // that the system is asked for
    bool client_reset = false, server_reset = false;     // gone, and a cut keeps it from the other side
  };
  struct TcpPort {
    Link* there = nullptr;
    Link* back = nullptr;
    std::uint16_t real = 0;
  };

  static bool Selects(const std::string& selector, const Endpoint& end);
  static bool IsCut(const Link& link);
  Link& LinkOf(Endpoint& from, Endpoint& to);
  Endpoint& EndpointOf(const std::string& name);
  void EachLink(const std::string& from, const std::string& to, const std::function<void(Link&)>& call);
  // When something of this size that came then is due at the far end.
  Clock::time_point Schedule(Link& link, Clock::time_point came, std::size_t size,
                             std::chrono::microseconds extra, bool ordered);
  void RescheduleQueued();
  void Wake();

  void Loop();
  int PollTimeoutMs() const;  // milliseconds until something is due
  void ReceiveDatagrams(Endpoint& to);
  void EnqueueDatagram(Link& link, std::string bytes, Clock::time_point now);
  void DeliverDatagrams(Clock::time_point now);
  void AcceptConnections(int listening);
  void HandleEvents(int fd, std::uint32_t events, Clock::time_point now);
  void ConnectToServer(Connection& connection);
  void Read(Connection& connection, Direction& direction, int from, Clock::time_point now);
  bool Deliver(Connection& connection, Direction& direction, int to,
               Clock::time_point now);  // false: the connection is over
  void Advance(Connection& connection, Clock::time_point now);
  void UpdateInterest(Connection& connection);
  static void DiscardChunks(Direction& direction);
  void Close(int client, bool reset);

  const std::uint64_t seed_;
  int epoll_ = -1;
  int wake_ = -1;
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;
  std::unordered_map<std::uint16_t, Endpoint*> by_real_;
  std::unordered_map<int, Endpoint*> by_fd_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>> links_;
  std::multimap<Clock::time_point, Datagram> datagrams_;
  std::map<int, TcpPort> tcp_ports_;                        // by the listening socket
  std::map<int, std::unique_ptr<Connection>> connections_;  // by the client's socket
  std::unordered_map<int, Connection*> sockets_;            // either side's
  std::uint64_t unknown_senders_ = 0;
  std::vector<char> buffer_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace mothrack::testing
