// System calls of the listener tests: clock, accept, ends of connections and wake-ups.
#include "http/listener_fixture.h"

#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>

#include <functional>
#include <utility>

namespace mothrack {

System system_;

namespace {

template <typename F>
F* Next(const char* name) {
  return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

void Once(Hook& hook) {
  if (const Hook call = std::exchange(hook, nullptr)) call();
}

int End(int fd, const std::function<int()>& end) {
  if (fd < 0 || fd != system_.watched) return end();
  system_.watched = -1;
  Once(system_.before_end);
  const int result = end();
  Once(system_.after_end);
  return result;
}

}  // namespace
}  // namespace mothrack

using mothrack::End;
using mothrack::Next;
using mothrack::Once;
using mothrack::system_;

extern "C" int clock_gettime(clockid_t clock, timespec* time) {
  static const auto next = Next<int(clockid_t, timespec*)>("clock_gettime");
  if (clock != CLOCK_MONOTONIC) return next(clock, time);
  if (!system_.now) next(clock, &system_.now.emplace());
  *time = *system_.now;
  return 0;
}

extern "C" int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto next = Next<int(int, sockaddr*, socklen_t*)>("accept");
  const int accepted = next(fd, from, size);
  if (fd == system_.listening && accepted >= 0) system_.accepted.push_back(accepted);
  return accepted;
}

extern "C" int shutdown(int fd, int how) {
  static const auto next = Next<int(int, int)>("shutdown");
  return End(fd, [&] { return next(fd, how); });
}

extern "C" int close(int fd) {
  static const auto next = Next<int(int)>("close");
  return End(fd, [&] { return next(fd); });
}

extern "C" int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  static const auto next = Next<int(int, epoll_event*, int, int)>("epoll_wait");
  ++system_.waits;
  const int ready = next(epoll, events, most, timeout);
  if (ready > 0) Once(system_.after_wake);
  return ready;
}
