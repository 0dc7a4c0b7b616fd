#include "gossip/task_log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <system_error>
#include <utility>

namespace mothrack::gossip {
namespace {

// Bounds, because many changes at once must not fill the log.
constexpr double kLinesPerSecond = 1;
constexpr double kLinesBurst = 20;

}  // namespace

std::string ErrorText(int error) { return std::generic_category().message(error); }

TaskLog::TaskLog(const std::string& name)
    : logger_(name, std::make_shared<spdlog::sinks::stderr_sink_mt>()),
      rate_limiter_(kLinesPerSecond, kLinesBurst, runtime::Now()) {
  logger_.set_pattern("%n: %v");
  logger_.set_error_handler([](const std::string&) {});
}

void TaskLog::Line(const std::string& text) noexcept {
  try {
    if (!rate_limiter_.Take(runtime::Now())) {
      ++suppressed_;
      return;
    }
    if (suppressed_ > 0) logger_.info("peers: {} lines left out", std::exchange(suppressed_, 0));
    logger_.info("peers: {}", text);
  } catch (...) {  // a line that cannot be written is lost, and the task continues
  }
}

void TaskLog::SystemRefuses(const std::string& operation, int error) {
  if (!logged_errors_.insert(error).second) return;
  Line("the system refuses " + operation + ": " + ErrorText(error) + "; does without");
}

}  // namespace mothrack::gossip
