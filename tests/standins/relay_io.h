// The system interface of a FaultyRelay: loopback sockets and their readiness. Errors: std::runtime_error if
// the system provides no socket or epoll set.
#pragma once

#include <sys/epoll.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mothrack::testing::relay {

constexpr std::size_t kReadBytes = 65'536;  // the most bytes that one read returns

// Opens a non-blocking socket of `type` on a loopback port that the system chooses, and sets `port` to it.
int OpenLoopbackSocket(int type, std::uint16_t& port);
// Makes a later close() reset the connection.
void ResetOnClose(int fd);

// An epoll set, and a way to end a wait from another thread. All functions may be called from any thread, as
// epoll allows, but the caller has to guard its own records of the sockets.
class Poller {
 public:
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Add(int fd, std::uint32_t events) const;
  void Change(int fd, std::uint32_t events) const;
  void Remove(int fd) const;
  // Waits until a socket is ready, Wake() is called or the timeout ends (-1: no limit). Returns the events of
  // at most 256 ready sockets, without the wake-up itself.
  std::vector<epoll_event> Wait(int timeout_ms) const;
  void Wake() const;

 private:
  void ClearWakeUp() const;

  int epoll_ = -1;
  int wake_ = -1;
};

}  // namespace mothrack::testing::relay
