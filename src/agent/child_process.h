// Processes that outlive the agent. They are started in a session of their own, and a restarted agent finds
// them again. They are identified by pidfd (pidfd_open(2)), so that a signal never reaches another process
// that has the same pid.
//
// Each process holds the lock (flock(2)) of its instance's directory until it exits, whoever its parent is.
// The process file in the same directory is valid only while that lock is held. Call these functions only
// from the agent's one thread.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "agent/posix_io.h"

namespace mothrack::agent {

// The exit code if a program could not be started, as in shells.
constexpr int kExitNoExec = 127;

// A running process; none if pid is 0.
struct ChildProcess {
  pid_t pid = 0;
  UniqueFd pid_fd;
  std::string token;       // of the step that it was started for; empty if there was none
  std::string generation;  // the generation that it was started with

  bool running() const { return pid != 0; }
  // Sends a signal. No effect if the process has exited.
  void Signal(int number) const;
};

// How a process is started.
struct LaunchSpec {
  std::vector<std::string> arguments;    // the program's path first
  std::vector<std::string> environment;  // NAME=value; nothing is inherited
  std::string lock_path;
  std::string process_file_path;  // written by the child, under the lock, before it executes the program
  std::string log_path;           // for its standard output and error
  std::string token;
  std::string generation;
};

// Starts a process. Returns nullopt with errno set if fork failed. A child that can't take the lock, write
// its process file or execute the program exits with kExitNoExec.
std::optional<ChildProcess> Launch(LaunchSpec spec);

// Returns the process that holds the lock, as its process file describes it. Returns nullopt if no process
// holds the lock, or if it has not written its file yet: call again later.
std::optional<ChildProcess> FindRunning(const std::string& lock_path, const std::string& process_file_path);

// Returns how a process has ended, for the log: "ended", with its exit code or signal if it was this agent's
// child. Returns nullopt while it runs.
std::optional<std::string> PollExit(const ChildProcess& process);

// The result of RunCommand().
struct CommandResult {
  enum class Outcome { kSucceeded, kFailed, kTimedOut, kNotStarted };
  Outcome outcome = Outcome::kFailed;
  std::string output;  // standard output and error: the first kMaxOutputBytes and at most one more read
  int error = 0;       // errno, for kNotStarted

  static constexpr std::size_t kMaxOutputBytes = 2000;
};

// Runs a command with an empty environment, blocks until it exits, and kills it after `timeout_ms`
// milliseconds. `arguments`: the program's absolute path first.
CommandResult RunCommand(std::vector<std::string> arguments, int timeout_ms);

}  // namespace mothrack::agent
