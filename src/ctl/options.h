// The command line of mothrackctl.
#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace mothrack::ctl {

// What the tool is to do.
enum class Command {
  kStatus,
  kPlan,
  kApply,
  kRestart,
  kDrain,
  kResume,
  kUndo,
  kAbort,
  kHistory,
  kExplain,
};

// What the options and arguments of all commands set; each command reads its own.
struct Options {
  Command command = Command::kStatus;
  std::string agents_file = "agents.toml";
  std::string who;  // empty: the user's name
  std::string why;
  std::string generation;
  std::string directory;          // with the generation's files; empty: the agents have them
  std::vector<std::string> only;  // AGENT/INSTANCE; empty: all
  std::string instance;           // AGENT/INSTANCE
  bool json = false;
  bool watch = false;
  bool dry_run = false;
  bool no_canary = false;
  bool roll_back = false;
  std::size_t max_unavailable = 1;
  int watch_ms = 2000;          // Policy::watch_interval
  int step_limit_ms = 60'000;   // Policy::step_timeout
  std::size_t max_events = 50;  // of each agent
};

// Reads the command line. Where there is nothing to run (--help, --version, a fault) it has printed what
// there is to print, and returns the exit code.
std::variant<Options, int> ParseCommandLine(int argc, char** argv);

}  // namespace mothrack::ctl
