// The command line of mothrackctl.
#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace mothrack::ctl {

// The subcommand to run.
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

// The options and arguments of all subcommands. Each subcommand reads only its own.
struct Options {
  Command command = Command::kStatus;
  std::string agents_file = "agents.toml";
  std::string who;  // empty: the user's name
  std::string why;
  std::string generation;
  std::string directory;          // has the generation's files; empty: the agents have them already
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
  std::size_t max_events = 50;  // from each agent
};

// Parses the command line. If there is nothing to run (--help, --version, an error), prints the text for that
// case and returns the exit code.
std::variant<Options, int> ParseCommandLine(int argc, char** argv);

}  // namespace mothrack::ctl
