// Wrappers of system calls for the listener tests: the clock, accept(), shutdown(), close() and epoll_wait().
#include "http/listener_fixture.h"

#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>

#include <functional>
#include <utility>

namespace mothrack {

InterceptedCalls intercepted_calls;

namespace {

template <typename F>
F* RealFunction(const char* name) {
  return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

void CallOnce(Hook& hook) {
  if (const Hook call = std::exchange(hook, nullptr)) call();
}

int CallWithEndHooks(int fd, const std::function<int()>& end) {
  if (fd < 0 || fd != intercepted_calls.watched) return end();
  intercepted_calls.watched = -1;
  CallOnce(intercepted_calls.before_end);
  const int result = end();
  CallOnce(intercepted_calls.after_end);
  return result;
}

}  // namespace
}  // namespace mothrack

using mothrack::CallOnce;
using mothrack::CallWithEndHooks;
using mothrack::intercepted_calls;
using mothrack::RealFunction;

extern "C" int clock_gettime(clockid_t clock, timespec* time) {
  static const auto real = RealFunction<int(clockid_t, timespec*)>("clock_gettime");
  if (clock != CLOCK_MONOTONIC) return real(clock, time);
  if (!intercepted_calls.now) real(clock, &intercepted_calls.now.emplace());
  *time = *intercepted_calls.now;
  return 0;
}

extern "C" int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto real = RealFunction<int(int, sockaddr*, socklen_t*)>("accept");
  const int accepted = real(fd, from, size);
  if (fd == intercepted_calls.listening && accepted >= 0) intercepted_calls.accepted.push_back(accepted);
  return accepted;
}

extern "C" int shutdown(int fd, int how) {
  static const auto real = RealFunction<int(int, int)>("shutdown");
  return CallWithEndHooks(fd, [&] { return real(fd, how); });
}

extern "C" int close(int fd) {
  static const auto real = RealFunction<int(int)>("close");
  return CallWithEndHooks(fd, [&] { return real(fd); });
}

extern "C" int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  static const auto real = RealFunction<int(int, epoll_event*, int, int)>("epoll_wait");
  ++intercepted_calls.waits;
  const int ready = real(epoll, events, max_events, timeout);
  if (ready > 0) CallOnce(intercepted_calls.after_wake);
  return ready;
}
