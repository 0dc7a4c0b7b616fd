// Loaded into a program by LD_PRELOAD: socket() and accept() return no descriptor of SOCKET_LIMIT or more, as
// if that were the process's limit. RLIMIT_NOFILE is not used: the undefined-behaviour sanitizer opens pipes
// for its checks, and reports an invalid object if it cannot open one.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <climits>
#include <cstdlib>

namespace {

// Checked before the call: a refused client must stay in the backlog, not be accepted and closed.
bool LimitReached() {
  static const char* const setting = std::getenv("SOCKET_LIMIT");
  static const int limit = setting == nullptr ? INT_MAX : std::atoi(setting);
  for (int fd = 0; fd < limit; ++fd) {
    if (::fcntl(fd, F_GETFD) < 0) return false;  // the system returns the lowest free descriptor
  }
  errno = EMFILE;
  return true;
}

}  // namespace

extern "C" int socket(int domain, int type, int protocol) {
  using Function = int (*)(int, int, int);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "socket"));
  return LimitReached() ? -1 : next(domain, type, protocol);
}

extern "C" int accept(int fd, sockaddr* from, socklen_t* from_size) {
  using Function = int (*)(int, sockaddr*, socklen_t*);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "accept"));
  return LimitReached() ? -1 : next(fd, from, from_size);
}
