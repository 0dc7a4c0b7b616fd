// One direction between two endpoints of a FaultyRelay: its faults, its counts, the random decisions for each
// datagram, and when the data that crosses it is due at the far end. Nothing here does I/O or reads a clock.
// Not thread-safe: FaultyRelay holds its mutex around every call.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace mothrack::testing::relay {

using Clock = std::chrono::steady_clock;

struct Faults {
  // Shares of the datagrams, 0 to 1, each drawn independently.
  double loss = 0;
  double duplicate = 0;  // delivered twice
  double reorder = 0;    // delayed by reorder_delay, so that later ones overtake them; jitter keeps the order
  std::chrono::milliseconds reorder_delay{20};
  std::chrono::milliseconds delay{0};
  std::chrono::milliseconds jitter{0};  // on top of the delay, uniform from 0 to this
  std::size_t bytes_per_s = 0;          // 0: unlimited
  // The bytes that may be queued. Datagrams beyond that are dropped; a TCP sender has to wait.
  std::size_t queue_bytes = 256 * 1024;
  bool cut = false;                // datagrams are dropped silently; TCP bytes wait until it is restored
  bool reset_connections = false;  // TCP: open and new connections are reset
};

// The counts of one ordered pair, in datagrams unless the name says otherwise.
struct Counts {
  std::uint64_t received = 0, delivered = 0, bytes = 0;
  // Dropped: by loss, by a cut, by a full queue, by a send error of the system.
  std::uint64_t lost = 0, cut = 0, queue_full = 0, send_errors = 0;
  std::uint64_t duplicated = 0, reordered = 0;
  std::uint64_t connections = 0, resets = 0, tcp_bytes = 0;
  Counts& operator+=(const Counts& other);
};

struct Endpoint {
  std::string name;
  std::vector<std::string> groups;
  std::uint16_t real = 0;        // UDP port of the process, 0: no UDP
  std::uint16_t advertised = 0;  // UDP port of the relay's socket for it
  int fd = -1;                   // the relay's socket for it
  std::size_t side = 0;          // of the partition; 0: on no side
};

// Whether a selector (a name, a group or "*") matches this endpoint.
bool Selects(const std::string& selector, const Endpoint& endpoint);

// The random decisions for one datagram.
struct DatagramDraws {
  bool lost = false;
  bool duplicated = false;
  bool reordered = false;
  std::chrono::microseconds extra_delay{0};  // jitter, and reorder_delay if it is reordered
};

class Link {
 public:
  // The random numbers depend only on the seed and the two names, not on the order in which links are made.
  Link(const Endpoint& from, const Endpoint& to, std::uint64_t seed);

  const Endpoint& from() const { return from_; }
  const Endpoint& to() const { return to_; }
  // Whether the link is cut, by its own fault or by a partition.
  bool IsCut() const;
  // Draws the same number of random numbers for each datagram, whatever the faults, so that one more fault
  // does not change which datagrams another one affects.
  DatagramDraws Draw();
  // Returns when `size` bytes that arrived at `arrived_at` are due at the far end. `ordered`: not before what
  // arrived earlier.
  Clock::time_point Schedule(Clock::time_point arrived_at, std::size_t size,
                             std::chrono::microseconds extra_delay, bool ordered);
  // Resets the schedule, so that the queued data can be scheduled again.
  void ResetSchedule();

  Faults faults;
  Counts counts;
  std::size_t queued_bytes = 0;
  bool faults_changed = false;  // since the queued data was scheduled

 private:
  const Endpoint& from_;
  const Endpoint& to_;
  std::mt19937_64 random_;
  Clock::time_point last_due_;    // of data that keeps its order
  Clock::time_point busy_until_;  // when a link of limited bandwidth has sent all its queued data
};

}  // namespace mothrack::testing::relay
