// Records how long a process ran and how long it waited for a processor, so that a late answer can be told
// from a machine that was too busy.
//
// Reads /proc/PID/schedstat (proc(5)) of the main thread, which has the sidecar's event loop. Its two methods
// may be called by different threads.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/books.h"

namespace mothrack::soak {

class ProcessorTime {
 public:
  explicit ProcessorTime(pid_t pid);
  ~ProcessorTime();
  ProcessorTime(const ProcessorTime&) = delete;
  ProcessorTime& operator=(const ProcessorTime&) = delete;

  // For each second or so how long the process waited for a processor, and how long it ran; empty if nothing
  // could be read.
  std::string BySecond() const;

 private:
  struct Sample {
    TimePoint at;
    double ran_s = 0;
    double waited_s = 0;
  };

  void Run();

  const std::string path_;
  const TimePoint begin_ = Clock::now();
  mutable std::mutex mutex_;
  std::vector<Sample> samples_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace mothrack::soak
