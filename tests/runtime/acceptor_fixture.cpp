// Wrappers of the system calls that the acceptor tests use: they inject the faults set in `system_` and
// otherwise call the real functions.
#include "runtime/acceptor_fixture.h"

#include <dlfcn.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace mothrack {

System system_;

namespace {

template <typename F>
F* Next(const char* name) {
  return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace
}  // namespace mothrack

using mothrack::Next;
using mothrack::system_;

extern "C" int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto next = Next<int(int, sockaddr*, socklen_t*)>("accept");
  if (fd == system_.listening && system_.fails > 0) {
    --system_.fails;
    if (system_.takes) ::close(next(fd, from, size));
    errno = system_.error;
    return -1;
  }
  rlimit usual{};
  const bool limited = fd == system_.listening && system_.descriptors != RLIM_INFINITY;
  if (limited) {
    ::getrlimit(RLIMIT_NOFILE, &usual);
    const rlimit few{system_.descriptors, usual.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &few);
  }
  const int accepted = next(fd, from, size);
  if (limited) {
    const int error = errno;
    ::setrlimit(RLIMIT_NOFILE, &usual);
    errno = error;
  }
  if (fd == system_.listening && accepted < 0 && system_.after_refusal) {
    const int error = errno;
    std::exchange(system_.after_refusal, nullptr)();
    errno = error;
  }
  return accepted;
}

extern "C" int poll(pollfd* fds, nfds_t count, int timeout) {
  static const auto next = Next<int(pollfd*, nfds_t, int)>("poll");
  if (timeout < 0 && count == 1 && fds->fd == system_.listening) {
    ++system_.blocked;
    errno = EINTR;
    return -1;
  }
  if (system_.interrupts > 0 && count == 1 && fds->fd == system_.listening) {
    --system_.interrupts;
    errno = EINTR;
    return -1;
  }
  return next(fds, count, timeout);
}

extern "C" int timerfd_settime(int fd, int flags, const itimerspec* value, itimerspec* old) noexcept {
  static const auto next = Next<int(int, int, const itimerspec*, itimerspec*)>("timerfd_settime");
  ++system_.timers;
  return next(fd, flags, value, old);
}

extern "C" int epoll_ctl(int epoll, int what, int fd, epoll_event* event) {
  static const auto next = Next<int(int, int, int, epoll_event*)>("epoll_ctl");
  if (event != nullptr) system_.registered[fd] = event->data.ptr;
  return next(epoll, what, fd, event);
}

extern "C" int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  static const auto next = Next<int(int, epoll_event*, int, int)>("epoll_wait");
  const int notified = next(epoll, events, most, timeout);
  int retained = 0;
  for (int i = 0; i < notified; ++i) {
    const auto listening = system_.registered.find(system_.listening);
    if (system_.lost_wakes > 0 && listening != system_.registered.end() &&
        events[i].data.ptr == listening->second && (events[i].events & EPOLLIN) != 0) {
      --system_.lost_wakes;
      continue;
    }
    events[retained++] = events[i];
  }
  return retained;
}
