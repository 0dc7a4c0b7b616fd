// The gossip task's log lines on standard error, in the format of the program's own. Used on the task's
// thread only.
#pragma once

#include <spdlog/logger.h>

#include <cstdint>
#include <set>
#include <string>

#include "runtime/rate_limiter.h"

namespace mothrack::gossip {

// The message of an errno value.
std::string ErrorText(int error);

// Rate-limited. Never throws: if a line cannot be written, the task continues.
class TaskLog {
 public:
  // `name` is the prefix of each line.
  explicit TaskLog(const std::string& name);

  void Line(const std::string& text) noexcept;
  // Logs that a system call failed, once per errno value; the snapshot's counters show how often.
  // `operation`: for example "to read".
  void SystemRefuses(const std::string& operation, int error);

 private:
  spdlog::logger logger_;
  runtime::RateLimiter rate_limiter_;
  std::uint64_t suppressed_ = 0;  // since the last line written
  std::set<int> logged_errors_;
};

}  // namespace mothrack::gossip
