// Wrappers of the system calls that the acceptor tests use: they inject the faults set in `faults` and
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

SystemCallFaults faults;

namespace {

template <typename F>
F* RealFunction(const char* name) {
  return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace
}  // namespace mothrack

using mothrack::faults;
using mothrack::RealFunction;

extern "C" int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto real = RealFunction<int(int, sockaddr*, socklen_t*)>("accept");
  if (fd == faults.listening && faults.accept_failures > 0) {
    --faults.accept_failures;
    if (faults.failure_drops_client) ::close(real(fd, from, size));
    errno = faults.accept_errno;
    return -1;
  }
  rlimit previous{};
  const bool limited = fd == faults.listening && faults.descriptor_limit != RLIM_INFINITY;
  if (limited) {
    ::getrlimit(RLIMIT_NOFILE, &previous);
    const rlimit lowered{faults.descriptor_limit, previous.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &lowered);
  }
  const int accepted = real(fd, from, size);
  if (limited) {
    const int error = errno;
    ::setrlimit(RLIMIT_NOFILE, &previous);
    errno = error;
  }
  if (fd == faults.listening && accepted < 0 && faults.after_failed_accept) {
    const int error = errno;
    std::exchange(faults.after_failed_accept, nullptr)();
    errno = error;
  }
  return accepted;
}

extern "C" int poll(pollfd* fds, nfds_t count, int timeout) {
  static const auto real = RealFunction<int(pollfd*, nfds_t, int)>("poll");
  if (timeout < 0 && count == 1 && fds->fd == faults.listening) {
    ++faults.blocking_polls;
    errno = EINTR;
    return -1;
  }
  if (faults.poll_interrupts > 0 && count == 1 && fds->fd == faults.listening) {
    --faults.poll_interrupts;
    errno = EINTR;
    return -1;
  }
  return real(fds, count, timeout);
}

extern "C" int timerfd_settime(int fd, int flags, const itimerspec* value, itimerspec* old) noexcept {
  static const auto real = RealFunction<int(int, int, const itimerspec*, itimerspec*)>("timerfd_settime");
  ++faults.timer_sets;
  return real(fd, flags, value, old);
}

extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
  static const auto real = RealFunction<int(int, int, int, epoll_event*)>("epoll_ctl");
  if (event != nullptr) faults.epoll_data[fd] = event->data.ptr;
  return real(epoll, operation, fd, event);
}

extern "C" int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  static const auto real = RealFunction<int(int, epoll_event*, int, int)>("epoll_wait");
  const int notified = real(epoll, events, max_events, timeout);
  int retained = 0;
  for (int i = 0; i < notified; ++i) {
    const auto listening = faults.epoll_data.find(faults.listening);
    if (faults.suppressed_wakeups > 0 && listening != faults.epoll_data.end() &&
        events[i].data.ptr == listening->second && (events[i].events & EPOLLIN) != 0) {
      --faults.suppressed_wakeups;
      continue;
    }
    events[retained++] = events[i];
  }
  return retained;
}
