#include "soak/processor_time.h"

#include <cstdio>
#include <fstream>

namespace mothrack::soak {
namespace {

constexpr Milliseconds kStep{100};
// Samples in a second.
constexpr std::size_t kWindow = 10;
constexpr double kNanosecond = 1e-9;

}  // namespace

ProcessorTime::ProcessorTime(pid_t pid)
    : path_("/proc/" + std::to_string(pid) + "/schedstat"), thread_([this] { Run(); }) {}

ProcessorTime::~ProcessorTime() {
  stopping_ = true;
  thread_.join();
}

void ProcessorTime::Run() {
  while (!stopping_) {
    double ran_ns = 0;
    double waited_ns = 0;
    if (std::ifstream(path_) >> ran_ns >> waited_ns) {
      const std::lock_guard lock(mutex_);
      samples_.push_back({Clock::now(), ran_ns * kNanosecond, waited_ns * kNanosecond});
    }
    std::this_thread::sleep_for(kStep);
  }
}

std::string ProcessorTime::BySecond() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (std::size_t last = kWindow; last < samples_.size(); last += kWindow) {
    const Sample& from = samples_[last - kWindow];
    const Sample& to = samples_[last];
    const double until_s = std::chrono::duration<double>(to.at - begin_).count();
    char line[64];
    std::snprintf(line, sizeof line, " until %.1f s %.2f/%.2f", until_s, to.waited_s - from.waited_s,
                  to.ran_s - from.ran_s);
    text += line;
  }
  return text;
}

}  // namespace mothrack::soak
