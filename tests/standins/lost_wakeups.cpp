// Loaded into a program by LD_PRELOAD: epoll_wait() never reports a client that waits at a listening socket.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>

namespace {

// The epoll data of each descriptor. There is no lock, since one thread of the program under test both
// registers and waits. Events of higher descriptors are reported as usual.
std::array<void*, 4096> registered{};

bool Listens(const void* tag) {
  for (int fd = 0; fd < static_cast<int>(registered.size()); ++fd) {
    if (registered[static_cast<std::size_t>(fd)] != tag) continue;
    int listens = 0;
    socklen_t size = sizeof listens;
    return ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens == 1;
  }
  return false;
}

}  // namespace

extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
  using Function = int (*)(int, int, int, epoll_event*);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "epoll_ctl"));
  if (event != nullptr && fd >= 0 && fd < static_cast<int>(registered.size())) {
    for (void*& tag : registered) {
      // Another descriptor with the same data was closed, and the memory of its data was reused. With
      // EPOLL_CTL_MOD this is the entry of `fd` itself, which is set again below.
      if (tag == event->data.ptr) tag = nullptr;
    }
    registered[static_cast<std::size_t>(fd)] = event->data.ptr;
  }
  return next(epoll, operation, fd, event);
}

extern "C" int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  using Function = int (*)(int, epoll_event*, int, int);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "epoll_wait"));
  const int reported = next(epoll, events, max_events, timeout);
  int passed = 0;
  for (int i = 0; i < reported; ++i) {
    if (!Listens(events[i].data.ptr)) events[passed++] = events[i];
  }
  return reported < 0 ? reported : passed;
}
