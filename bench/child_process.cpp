#include "child_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string_view>

namespace mothrack::bench {
namespace {

constexpr int kExitCannotExecute = 127;  // the code that a shell uses

[[noreturn]] void Execute(const std::vector<std::string>& command,
                          const std::vector<std::string>& environment) {
  for (const auto& entry : environment) ::putenv(const_cast<char*>(entry.c_str()));
  std::vector<char*> arguments;
  for (const auto& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  ::execv(arguments[0], arguments.data());
  ::_exit(kExitCannotExecute);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::vector<std::string>& environment, int output_descriptor) {
  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_CLOEXEC) != 0) throw std::runtime_error("pipe");
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(pipe_ends[1], output_descriptor);
    Execute(command, environment);
  }
  ::close(pipe_ends[1]);
  output_ = pipe_ends[0];
}

ChildProcess::~ChildProcess() {
  ::kill(pid_, SIGTERM);
  ::waitpid(pid_, nullptr, 0);
  ::close(output_);
}

std::uint16_t ChildProcess::ReadPortAfter(const std::string& mark) {
  std::string text;
  char byte = 0;
  while (::read(output_, &byte, 1) == 1) {
    text += byte;
    const auto position = text.find(mark);
    if (byte == '\n' && position != std::string::npos) {
      return static_cast<std::uint16_t>(std::atoi(text.c_str() + position + mark.size()));
    }
  }
  throw std::runtime_error("the child process ended before it printed its port: " + text);
}

double ChildProcess::CpuSeconds() const {
  clockid_t clock{};
  timespec time{};
  if (::clock_getcpuclockid(pid_, &clock) != 0 || ::clock_gettime(clock, &time) != 0) {
    throw std::runtime_error("cannot read the CPU clock of the child process");
  }
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

long ChildProcess::PeakMemoryKb() const {
  constexpr std::string_view kPeakField = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kPeakField)) return std::stol(line.substr(kPeakField.size()));
  }
  return -1;
}

}  // namespace mothrack::bench
