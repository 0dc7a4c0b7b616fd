#include "agent/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "rollout/wire.h"

namespace mothrack::agent {
namespace {

using nlohmann::json;

// The lock's descriptor in the started process, which keeps it open and so holds the lock until it exits.
constexpr int kLockFd = 3;

int OpenPidFd(pid_t pid) { return static_cast<int>(::syscall(SYS_pidfd_open, pid, 0)); }

// Returns when the kernel started a process, in ticks since boot, or 0 if there is no such process. This is
// field 22 of /proc/PID/stat (proc(5)). The fields are counted from the end of the name in parentheses, since
// the name may contain any characters.
std::uint64_t StartTimeOf(pid_t pid) {
  constexpr int kFirstFieldAfterName = 3;
  constexpr int kStartTimeField = 22;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (!std::getline(file, line)) return 0;
  const auto name_end = line.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(line.substr(name_end + 1));
  std::string field;
  for (int i = kFirstFieldAfterName; i <= kStartTimeField; ++i) {
    if (!(fields >> field)) return 0;
  }
  return std::strtoull(field.c_str(), nullptr, 10);
}

// Returns a null-terminated array for execve(2). It is valid as long as `texts` is.
std::vector<char*> PointersTo(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Executes the program; called in the child after fork. The agent has one thread, so this may allocate.
[[noreturn]] void ExecuteProgram(const LaunchSpec& spec, const std::vector<char*>& argv,
                                 const std::vector<char*>& envp) {
  ::setsid();
  // Not CLOEXEC: the program keeps the lock.
  const int lock = ::open(spec.lock_path.c_str(), O_RDWR | O_CREAT, kPrivateMode);
  if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0) ::_exit(kExitNoExec);
  const json file = {{"pid", ::getpid()},
                     {"started", StartTimeOf(::getpid())},
                     {"token", spec.token},
                     {"generation", spec.generation}};
  if (!WriteFileDurably(spec.process_file_path, file.dump())) ::_exit(kExitNoExec);
  const int log = ::open(spec.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kPrivateMode);
  const int no_input = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  ::dup2(no_input, STDIN_FILENO);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  // Closes all other descriptors of the agent: a child that kept its listening socket open would prevent the
  // next agent from listening.
  ::dup2(lock, kLockFd);
  CloseFdsFrom(kLockFd + 1);
  ::signal(SIGPIPE, SIG_DFL);
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::execve(argv[0], argv.data(), envp.data());
  ::_exit(kExitNoExec);
}

// Appends what can be read from `fd` to `output` until end of file. Returns false if `deadline` came first.
bool ReadOutput(int fd, std::chrono::steady_clock::time_point deadline, std::string& output) {
  using std::chrono::milliseconds;
  while (true) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now()).count();
    pollfd ready{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) return false;
    std::array<char, 1024> buffer;
    const ssize_t size = ::read(fd, buffer.data(), buffer.size());
    if (size <= 0) return true;
    if (output.size() < CommandResult::kMaxOutputBytes) {
      output.append(buffer.data(), static_cast<std::size_t>(size));
    }
  }
}

}  // namespace

void ChildProcess::Signal(int number) const {
  if (running()) ::syscall(SYS_pidfd_send_signal, pid_fd.get(), number, nullptr, 0);
}

std::optional<ChildProcess> Launch(LaunchSpec spec) {
  const std::vector<char*> argv = PointersTo(spec.arguments);
  const std::vector<char*> envp = PointersTo(spec.environment);
  const pid_t pid = ::fork();
  if (pid < 0) return std::nullopt;
  if (pid == 0) ExecuteProgram(spec, argv, envp);
  return ChildProcess{pid, UniqueFd(OpenPidFd(pid)), std::move(spec.token), std::move(spec.generation)};
}

// The lock shows that a process runs, and the file which one. The start time distinguishes it from a later
// process with the same pid.
std::optional<ChildProcess> FindRunning(const std::string& lock_path, const std::string& process_file_path) {
  if (!IsLockedByAnother(lock_path)) return std::nullopt;
  const json file = json::parse(ReadFile(process_file_path), nullptr, false);
  ChildProcess process;
  try {
    const auto pid = static_cast<pid_t>(rollout::Member<std::int64_t>(file, "pid"));
    const auto started = rollout::Member<std::uint64_t>(file, "started");
    UniqueFd pid_fd(OpenPidFd(pid));
    if (pid <= 0 || !pid_fd || started == 0 || StartTimeOf(pid) != started) return std::nullopt;
    process.pid = pid;
    process.pid_fd = std::move(pid_fd);
    process.token = rollout::Member<std::string>(file, "token");
    process.generation = rollout::Member<std::string>(file, "generation");
  } catch (const std::invalid_argument&) {
    // The process has the lock but has not written its file yet.
  }
  if (!process.running()) return std::nullopt;
  return process;
}

std::optional<std::string> PollExit(const ChildProcess& process) {
  pollfd ended{process.pid_fd.get(), POLLIN, 0};
  if (::poll(&ended, 1, 0) != 1) return std::nullopt;
  int status = 0;
  const bool own_child = ::waitpid(process.pid, &status, WNOHANG) == process.pid;
  if (own_child && WIFEXITED(status)) return "ended with " + std::to_string(WEXITSTATUS(status));
  if (own_child && WIFSIGNALED(status)) return "ended by signal " + std::to_string(WTERMSIG(status));
  return "ended";
}

CommandResult RunCommand(std::vector<std::string> arguments, int timeout_ms) {
  const std::vector<char*> argv = PointersTo(arguments);
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) return {CommandResult::Outcome::kNotStarted, {}, errno};
  const UniqueFd read_end(ends[0]);
  UniqueFd write_end(ends[1]);
  const pid_t pid = ::fork();
  if (pid == 0) {
    char* no_environment[] = {nullptr};
    ::dup2(write_end.get(), STDOUT_FILENO);
    ::dup2(write_end.get(), STDERR_FILENO);
    CloseFdsFrom(STDERR_FILENO + 1);
    ::execve(argv[0], argv.data(), no_environment);
    ::_exit(kExitNoExec);
  }
  const int fork_error = errno;
  write_end.Close();
  if (pid < 0) return {CommandResult::Outcome::kNotStarted, {}, fork_error};
  CommandResult result;
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  const bool ended = ReadOutput(read_end.get(), deadline, result.output);
  if (!ended) ::kill(pid, SIGKILL);
  int status = 0;
  while (::waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  const bool succeeded = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  result.outcome = !ended      ? CommandResult::Outcome::kTimedOut
                   : succeeded ? CommandResult::Outcome::kSucceeded
                               : CommandResult::Outcome::kFailed;
  return result;
}

}  // namespace mothrack::agent
