#include "gossip/task_log.h"

#include <system_error>

namespace mothrack::gossip {
namespace {

// Tighter than the program's own, since many changes at once must not fill the log.
constexpr runtime::Logger::Limits kLimits{.burst = 20, .per_second = 1};

}  // namespace

std::string ErrorText(int error) { return std::generic_category().message(error); }

TaskLog::TaskLog(const std::string& name) : Logger(name, kLimits) {}

void TaskLog::LogSystemFailure(const std::string& operation, int error) {
  if (!logged_errors_.insert(error).second) return;
  Warn("peers_system_refuses", {{"operation", operation}, {"cause", ErrorText(error)}});
}

}  // namespace mothrack::gossip
