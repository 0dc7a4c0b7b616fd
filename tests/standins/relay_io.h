// What a FaultyRelay asks the system for: sockets on loopback, and which of them are ready. Errors:
// std::runtime_error where the system gives none.
#pragma once

#include <sys/epoll.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mothrack::testing::relay {

constexpr std::size_t kReadBytes = 65'536;  // at most, of one read

// A non-blocking socket of `type` on a port of loopback that the system chooses and `port` tells.
int OpenLoopbackSocket(int type, std::uint16_t& port);
// The close that follows resets the connection.
void ResetOnClose(int fd);

// An epoll set, and a way to end a wait from another thread. Wake may be called from any thread; the rest as
// epoll allows it, which is from any thread too, but the set does not guard what the caller knows of a
// socket.
class Poller {
 public:
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Add(int fd, std::uint32_t events) const;
  void Change(int fd, std::uint32_t events) const;
  void Remove(int fd) const;
  // Waits until a socket is ready, Wake is called or the time is over (-1: no limit). The ready sockets, at
  // most 256, without the wake-up itself.
  std::vector<epoll_event> Wait(int timeout_ms) const;
  void Wake() const;

 private:
  void ClearWakeUp() const;

  int epoll_ = -1;
  int wake_ = -1;
};

}  // namespace mothrack::testing::relay
