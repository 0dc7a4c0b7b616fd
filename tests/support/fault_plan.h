// Which system calls of a running process fail, and how: written by a test, read by fault_injection.cpp,
// which is loaded into the process by LD_PRELOAD. Both map one small file, named by the variable FAULT_PLAN.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <stdexcept>
#include <string>

namespace mothrack::testing {

enum class SystemCall : std::size_t {
  kAccept,  // accept and accept4
  kSocket,
  kConnect,
  kPoll,
  kEpollWait,  // epoll_wait and epoll_pwait
  kSend,       // send, sendto and sendmsg
  kReceive,    // recv, recvfrom and recvmsg
  kRead,       // of regular files and sockets
  kWrite,      // write and writev, of regular files and sockets
  kSync,       // fsync and fdatasync
  kRename,
  kCount,
};
constexpr std::size_t kSystemCalls = static_cast<std::size_t>(SystemCall::kCount);

// The faults of one system call. After its first `skip` uses every `every`-th use is a hit, which has the
// fault; other uses are unaffected. All numbers may be changed while the process runs, `remaining` last.
struct CallFaults {
  std::atomic<int> error{0};  // errno of a hit; 0: it moves at most `short_to` bytes
  std::atomic<std::uint64_t> short_to{1};
  std::atomic<std::uint64_t> skip{0};
  std::atomic<std::uint64_t> every{1};
  std::atomic<bool> outgoing_only{false};  // only sockets on which this process called connect()
  std::atomic<std::int64_t> remaining{0};  // hits still to come; negative: unlimited
  std::atomic<std::uint64_t> uses{0};      // counted by the process
  std::atomic<std::uint64_t> hits{0};      // likewise
};

struct FaultPlan {
  std::array<CallFaults, kSystemCalls> calls;
  std::atomic<std::int64_t> wall_step_us{0};  // added to the wall clock; the monotonic clock is unaffected

  CallFaults& Of(SystemCall call) { return calls[static_cast<std::size_t>(call)]; }
};

// A plan in a file that exists as long as this object.
class FaultPlanFile {
 public:
  FaultPlanFile() {
    std::string pattern = "/tmp/mothrack-faults-XXXXXX";
    const int file = ::mkstemp(pattern.data());
    if (file < 0 || ::ftruncate(file, sizeof(FaultPlan)) != 0)
      throw std::runtime_error("cannot create the file of the fault plan");
    path_ = pattern;
    void* mapped = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (mapped == MAP_FAILED) throw std::runtime_error("cannot map the file of the fault plan");
    plan_ = new (mapped) FaultPlan();
  }
  ~FaultPlanFile() {
    ::munmap(plan_, sizeof(FaultPlan));
    ::unlink(path_.c_str());
  }
  FaultPlanFile(const FaultPlanFile&) = delete;
  FaultPlanFile& operator=(const FaultPlanFile&) = delete;

  FaultPlan& plan() { return *plan_; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  FaultPlan* plan_ = nullptr;
};

}  // namespace mothrack::testing
