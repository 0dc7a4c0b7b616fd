// The gossip task's lines on standard error, in the form of the program's own. Used on the task's thread.
#pragma once

#include <spdlog/logger.h>

#include <cstdint>
#include <set>
#include <string>

#include "runtime/rate_limiter.h"

namespace mothrack::gossip {

// The system's text for an errno value.
std::string ErrorText(int error);

// Rate-limited; never throws: whatever keeps it from writing, the task goes on.
class TaskLog {
 public:
  // `name` stands before each line.
  explicit TaskLog(const std::string& name);

  void Line(const std::string& text) noexcept;
  // One line for each errno value, however often the system refuses `operation` ("to read"): how often shows
  // in the snapshot's counters.
  void SystemRefuses(const std::string& operation, int error);

 private:
  spdlog::logger logger_;
  runtime::RateLimiter rate_limiter_;
  std::uint64_t suppressed_ = 0;  // lines since the last one written
  std::set<int> logged_errors_;
};

}  // namespace mothrack::gossip
