// Processes that outlive the agent: started in a session of their own, found again after the agent's death,
// identified by pidfd (pidfd_open(2)), so that a signal never reaches another process with the same number.
//
// Each holds the lock (flock(2)) of its instance's directory for as long as it lives, whoever its parent is;
// the process file beside it counts only while that lock is held. Called from the agent's one thread.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "agent/posix_io.h"

namespace mothrack::agent {

// Exit code where a program could not be started, as shells have it.
constexpr int kExitNoExec = 127;

// A process that runs; none where pid is 0.
struct ChildProcess {
  pid_t pid = 0;
  UniqueFd pid_fd;
  std::string token;       // of the step that it was started for; empty: of none
  std::string generation;  // that it was started with

  bool running() const { return pid != 0; }
  // No effect where the process has ended.
  void Signal(int number) const;
};

// How a process is started.
struct LaunchSpec {
  std::vector<std::string> arguments;    // the program's path first
  std::vector<std::string> environment;  // NAME=value; all that it gets
  std::string lock_path;
  std::string process_file_path;  // written by the child, under the lock, before it becomes the program
  std::string log_path;           // its standard output and error
  std::string token;
  std::string generation;
};

// Starts a process. Nothing where fork failed, with errno set. A child that can't take the lock, write its
// process file or execute the program ends with kExitNoExec.
std::optional<ChildProcess> Launch(LaunchSpec spec);

// The process that holds the lock, by its process file. Nothing where no process holds it, or where it has
// not written its file yet: ask again later.
std::optional<ChildProcess> FindRunning(const std::string& lock_path, const std::string& process_file_path);

// How a process has ended, for the log: "ended", with its exit code or signal where it was this agent's
// child. Nothing while it runs.
std::optional<std::string> PollExit(const ChildProcess& process);

// What became of a command that was run to its end.
struct CommandResult {
  enum class Outcome { kSucceeded, kFailed, kTimedOut, kNotStarted };
  Outcome outcome = Outcome::kFailed;
  std::string output;  // standard output and error, the first kMaxOutputBytes and at most a read more
  int error = 0;       // errno of kNotStarted

  static constexpr std::size_t kMaxOutputBytes = 2000;
};

// Runs a command with an empty environment and waits for its end, for `timeout_ms` milliseconds at most; then
// it is killed. Blocks the caller. `arguments`: the program's absolute path first.
CommandResult RunCommand(std::vector<std::string> arguments, int timeout_ms);

}  // namespace mothrack::agent
