// A child process, and its start-up output, CPU time and memory. For Linux only (/proc, per-process CPU
// clocks). Throws std::runtime_error on errors.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mothrack::bench {

// A running process. The destructor sends SIGTERM and waits for the process to end.
class ChildProcess {
 public:
  // Starts `command` (a path and its arguments) with `environment` (NAME=VALUE) added to this process's
  // environment. `output_descriptor` (STDOUT_FILENO or STDERR_FILENO) is the stream that ReadPortAfter()
  // reads.
  ChildProcess(const std::vector<std::string>& command, const std::vector<std::string>& environment,
               int output_descriptor);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Reads the output up to the line that contains `mark` and returns the number that follows it. Blocks
  // until then; throws if the output ends first.
  std::uint16_t ReadPortAfter(const std::string& mark);

  // Returns the user and system time since the start.
  double CpuSeconds() const;

  // Returns the peak resident set size, or -1 if the kernel does not report it.
  long PeakMemoryKb() const;

 private:
  pid_t pid_ = -1;
  int output_ = -1;  // read end of the pipe
};

}  // namespace mothrack::bench
