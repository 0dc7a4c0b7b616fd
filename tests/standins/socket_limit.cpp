// Loaded into a program by LD_PRELOAD: the system gives no socket whose number is SOCKET_LIMIT or more, as if
// that were the limit of descriptors. Not a limit of the process itself: the undefined-behaviour sanitizer
// opens pipes for its checks, and takes one that it can't have for an object that isn't there.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <climits>
#include <cstdlib>

namespace {

// Asked before anything happens: what is refused must not be accepted and closed.
bool Refused() {
  static const char* const setting = std::getenv("SOCKET_LIMIT");
  static const int limit = setting == nullptr ? INT_MAX : std::atoi(setting);
  for (int fd = 0; fd < limit; ++fd) {
    if (::fcntl(fd, F_GETFD) < 0) return false;  // the system gives the lowest that is free
  }
  errno = EMFILE;
  return true;
}

}  // namespace

extern "C" int socket(int domain, int type, int protocol) {
  using Function = int (*)(int, int, int);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "socket"));
  return Refused() ? -1 : next(domain, type, protocol);
}

extern "C" int accept(int fd, sockaddr* from, socklen_t* from_size) {
  using Function = int (*)(int, sockaddr*, socklen_t*);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "accept"));
  return Refused() ? -1 : next(fd, from, from_size);
}
