// Loaded into a program by LD_PRELOAD: only every UDP_SEND_INTERVAL-th call that sends a datagram succeeds.
// The others fail with EAGAIN, as if the send buffer were full, which does not occur on the loopback
// interface.
#include <dlfcn.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>

namespace {

bool IsFull(int fd) {
  int type = 0;
  socklen_t size = sizeof type;
  if (::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_DGRAM) return false;
  static const char* const setting = std::getenv("UDP_SEND_INTERVAL");
  static const int every = setting == nullptr ? 1 : std::atoi(setting);
  static int count = 0;
  return ++count % every != 0;
}

}  // namespace

extern "C" ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  using Function = ssize_t (*)(int, const msghdr*, int);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "sendmsg"));
  if (IsFull(fd)) {
    errno = EAGAIN;
    return -1;
  }
  return next(fd, message, flags);
}

extern "C" ssize_t sendto(int fd, const void* bytes, size_t size, int flags, const sockaddr* to,
                          socklen_t to_size) {
  using Function = ssize_t (*)(int, const void*, size_t, int, const sockaddr*, socklen_t);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "sendto"));
  if (IsFull(fd)) {
    errno = EAGAIN;
    return -1;
  }
  return next(fd, bytes, size, flags, to, to_size);
}

extern "C" ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  using Function = ssize_t (*)(int, const void*, size_t, int);
  static const auto next = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "send"));
  if (IsFull(fd)) {
    errno = EAGAIN;
    return -1;
  }
  return next(fd, bytes, size, flags);
}
