// Loaded into a program by LD_PRELOAD: its system calls fail, move fewer bytes than requested, or return a
// shifted wall clock, as the mapped plan says (fault_plan.h). A hit with an error only fails: no bytes move,
// no connection is accepted. The calls go directly to the kernel, so that no other library's wrapper
// intervenes.
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>

#include <algorithm>
#include <cerrno>

#include "support/fault_plan.h"

namespace {

using mothrack::testing::CallFaults;
using mothrack::testing::FaultPlan;
using mothrack::testing::SystemCall;

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr long kNanosecondsPerMicrosecond = 1000;

FaultPlan* MapPlan() {
  const char* path = std::getenv("FAULT_PLAN");
  if (path == nullptr) return nullptr;
  const int file = ::open(path, O_RDWR | O_CLOEXEC);
  if (file < 0) return nullptr;
  void* mapped = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  return mapped == MAP_FAILED ? nullptr : static_cast<FaultPlan*>(mapped);
}

FaultPlan* Plan() {
  static FaultPlan* const plan = MapPlan();
  return plan;
}

// Marks the sockets on which this process called connect(), for descriptors below the array's size.
std::array<std::atomic<bool>, 4096> connected{};

void SetConnected(int descriptor, bool on) {
  if (descriptor >= 0 && descriptor < static_cast<int>(connected.size())) {
    connected[static_cast<std::size_t>(descriptor)] = on;
  }
}

bool IsConnected(int descriptor) {
  return descriptor >= 0 && descriptor < static_cast<int>(connected.size()) &&
         connected[static_cast<std::size_t>(descriptor)];
}

// Counts this use of a call. Returns the faults planned for it; null if there are none.
const CallFaults* Hit(SystemCall call, int descriptor) {
  FaultPlan* plan = Plan();
  if (plan == nullptr) return nullptr;
  CallFaults& faults = plan->Of(call);
  if (faults.outgoing_only && !IsConnected(descriptor)) return nullptr;
  const std::uint64_t use = ++faults.uses;
  if (faults.remaining == 0 || use <= faults.skip || (use - faults.skip) % faults.every != 0) return nullptr;
  if (faults.remaining > 0) --faults.remaining;
  ++faults.hits;
  return &faults;
}

// Whether this use of a call fails; sets errno if so.
bool Fails(SystemCall call, int descriptor = -1) {
  const CallFaults* faults = Hit(call, descriptor);
  if (faults == nullptr || faults->error == 0) return false;
  errno = faults->error;
  return true;
}

// Like Fails(), but if the use does not fail, limits `size` to the bytes that it may move.
bool FailsOrShortens(SystemCall call, int descriptor, std::size_t& size) {
  const CallFaults* faults = Hit(call, descriptor);
  if (faults == nullptr) return false;
  if (faults->error != 0) {
    errno = faults->error;
    return true;
  }
  size = std::min<std::size_t>(size, faults->short_to);
  return false;
}

std::size_t SizeOf(const iovec* parts, std::size_t count) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < count; ++i) size += parts[i].iov_len;
  return size;
}

// A message limited to the first `size` bytes of another one.
struct Shortened {
  std::array<iovec, 64> parts{};
  msghdr message{};

  Shortened(const msghdr& original, std::size_t size) : message(original) {
    std::size_t count = 0;
    for (; count < std::min<std::size_t>(original.msg_iovlen, parts.size()) && size > 0; ++count) {
      parts[count] = original.msg_iov[count];
      parts[count].iov_len = std::min(parts[count].iov_len, size);
      size -= parts[count].iov_len;
    }
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
  }
};

// Datagrams are sent completely or not at all, so only stream sockets move fewer bytes.
bool IsStream(int descriptor) {
  int type = 0;
  socklen_t size = sizeof type;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

bool IsFileOrSocket(int descriptor) {
  struct stat status {};
  const int before = errno;
  const bool known = ::fstat(descriptor, &status) == 0;
  errno = before;
  return known && (S_ISREG(status.st_mode) || S_ISSOCK(status.st_mode));
}

std::int64_t WallStep() { return Plan() == nullptr ? 0 : Plan()->wall_step_us.load(); }

}  // namespace

extern "C" {

int accept4(int descriptor, sockaddr* from, socklen_t* size, int flags) {
  if (Fails(SystemCall::kAccept, descriptor)) return -1;
  const int accepted = static_cast<int>(::syscall(SYS_accept4, descriptor, from, size, flags));
  SetConnected(accepted, false);
  return accepted;
}

int accept(int descriptor, sockaddr* from, socklen_t* size) { return accept4(descriptor, from, size, 0); }

int socket(int domain, int type, int protocol) noexcept {
  if (Fails(SystemCall::kSocket)) return -1;
  const int created = static_cast<int>(::syscall(SYS_socket, domain, type, protocol));
  SetConnected(created, false);
  return created;
}

int connect(int descriptor, const sockaddr* to, socklen_t size) {
  if (Fails(SystemCall::kConnect, descriptor)) return -1;
  SetConnected(descriptor, true);
  return static_cast<int>(::syscall(SYS_connect, descriptor, to, size));
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  if (Fails(SystemCall::kPoll)) return -1;
  timespec wait{timeout / 1000, timeout % 1000 * 1'000'000L};
  return static_cast<int>(
      ::syscall(SYS_ppoll, descriptors, count, timeout < 0 ? nullptr : &wait, nullptr, 0));
}

int epoll_pwait(int epoll, epoll_event* events, int most, int timeout, const sigset_t* mask) {
  if (Fails(SystemCall::kEpollWait)) return -1;
  return static_cast<int>(::syscall(SYS_epoll_pwait, epoll, events, most, timeout, mask, sizeof(long)));
}

int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  return epoll_pwait(epoll, events, most, timeout, nullptr);
}

ssize_t sendto(int descriptor, const void* bytes, std::size_t size, int flags, const sockaddr* to,
               socklen_t to_size) {
  std::size_t most = size;
  if (FailsOrShortens(SystemCall::kSend, descriptor, most)) return -1;
  if (most < size && !IsStream(descriptor)) most = size;
  return ::syscall(SYS_sendto, descriptor, bytes, most, flags, to, to_size);
}

ssize_t send(int descriptor, const void* bytes, std::size_t size, int flags) {
  return sendto(descriptor, bytes, size, flags, nullptr, 0);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  const std::size_t size = SizeOf(message->msg_iov, message->msg_iovlen);
  std::size_t most = size;
  if (FailsOrShortens(SystemCall::kSend, descriptor, most)) return -1;
  if (most == size || !IsStream(descriptor)) return ::syscall(SYS_sendmsg, descriptor, message, flags);
  const Shortened part(*message, most);
  return ::syscall(SYS_sendmsg, descriptor, &part.message, flags);
}

ssize_t recvfrom(int descriptor, void* bytes, std::size_t size, int flags, sockaddr* from,
                 socklen_t* from_size) {
  std::size_t most = size;
  if (FailsOrShortens(SystemCall::kReceive, descriptor, most)) return -1;
  if (most < size && !IsStream(descriptor)) most = size;
  return ::syscall(SYS_recvfrom, descriptor, bytes, most, flags, from, from_size);
}

ssize_t recv(int descriptor, void* bytes, std::size_t size, int flags) {
  return recvfrom(descriptor, bytes, size, flags, nullptr, nullptr);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  const std::size_t size = SizeOf(message->msg_iov, message->msg_iovlen);
  std::size_t most = size;
  if (FailsOrShortens(SystemCall::kReceive, descriptor, most)) return -1;
  if (most == size || !IsStream(descriptor)) return ::syscall(SYS_recvmsg, descriptor, message, flags);
  Shortened part(*message, most);
  const ssize_t received = ::syscall(SYS_recvmsg, descriptor, &part.message, flags);
  message->msg_controllen = part.message.msg_controllen;
  message->msg_flags = part.message.msg_flags;
  return received;
}

ssize_t read(int descriptor, void* bytes, std::size_t size) {
  if (IsFileOrSocket(descriptor) && FailsOrShortens(SystemCall::kRead, descriptor, size)) return -1;
  return ::syscall(SYS_read, descriptor, bytes, size);
}

ssize_t write(int descriptor, const void* bytes, std::size_t size) {
  if (IsFileOrSocket(descriptor) && FailsOrShortens(SystemCall::kWrite, descriptor, size)) return -1;
  return ::syscall(SYS_write, descriptor, bytes, size);
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  if (!IsFileOrSocket(descriptor)) return ::syscall(SYS_writev, descriptor, parts, count);
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts);
  message.msg_iovlen = static_cast<std::size_t>(count);
  std::size_t size = SizeOf(parts, message.msg_iovlen);
  if (FailsOrShortens(SystemCall::kWrite, descriptor, size)) return -1;
  const Shortened part(message, size);
  return ::syscall(SYS_writev, descriptor, part.message.msg_iov, part.message.msg_iovlen);
}

int fsync(int descriptor) {
  return Fails(SystemCall::kSync, descriptor) ? -1 : static_cast<int>(::syscall(SYS_fsync, descriptor));
}

int fdatasync(int descriptor) {
  return Fails(SystemCall::kSync, descriptor) ? -1 : static_cast<int>(::syscall(SYS_fdatasync, descriptor));
}

int rename(const char* from, const char* to) noexcept {
  if (Fails(SystemCall::kRename)) return -1;
  return static_cast<int>(::syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const int result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  const std::int64_t microseconds =
      time->tv_sec * kMicrosecondsPerSecond + time->tv_nsec / kNanosecondsPerMicrosecond + WallStep();
  time->tv_sec = microseconds / kMicrosecondsPerSecond;
  time->tv_nsec = microseconds % kMicrosecondsPerSecond * kNanosecondsPerMicrosecond;
  return 0;
}

int gettimeofday(timeval* time, void*) noexcept {
  timespec precise{};
  if (clock_gettime(CLOCK_REALTIME, &precise) != 0) return -1;
  time->tv_sec = precise.tv_sec;
  time->tv_usec = precise.tv_nsec / kNanosecondsPerMicrosecond;
  return 0;
}

time_t time(time_t* out) noexcept {
  timespec precise{};
  clock_gettime(CLOCK_REALTIME, &precise);
  if (out != nullptr) *out = precise.tv_sec;
  return precise.tv_sec;
}

}  // extern "C"
