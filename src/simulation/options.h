// The command line of the simulator's program.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "simulation/fault_injector.h"
#include "simulation/load_generator.h"

namespace mothrack::simulation {

enum class Command { kRun, kSweep, kCompare, kSearch, kShrink, kLoad };

// The options and arguments of all commands. Each command reads the ones it has.
struct Options {
  Command command = Command::kRun;
  std::vector<std::string> scenarios;  // paths
  std::vector<std::string> changes;    // "table.key=value" each, applied to each scenario
  std::uint64_t seed = 1;
  std::string report;  // path of an HTML page; empty if none is written
  std::string db = "lab.sqlite";
  std::string label = "now";
  bool seconds = false;
  InjectedFault injected_fault = InjectedFault::kNone;
  std::string expected_digest;    // empty if any digest is accepted
  std::string seeds = "1..8";     // "FROM..TO" or one number
  std::vector<std::string> vary;  // "table.key=value,value" each
  std::size_t jobs = 1;           // number of parallel processes
  std::string first_label;        // the labels to compare
  std::string second_label;
  std::string found_directory;  // for scenarios that a search finds; empty if not written
  int budget = 200;             // maximum number of runs of a search or a shrink
  LoadConfig load;
};

// Reads the command line. If there is nothing to run (--help, --version, an error), prints the text for the
// user and returns the exit code.
std::variant<Options, int> ParseCommandLine(int argc, char** argv);

}  // namespace mothrack::simulation
