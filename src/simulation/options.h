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

// What the options and arguments of all commands set; each command reads its own.
struct Options {
  Command command = Command::kRun;
  std::vector<std::string> scenarios;  // paths
  std::vector<std::string> changes;    // "table.key=value" each, laid over each scenario
  std::uint64_t seed = 1;
  std::string report;  // path of an HTML page; empty: none
  std::string db = "lab.sqlite";
  std::string label = "now";
  bool seconds = false;
  InjectedFault injected_fault = InjectedFault::kNone;
  std::string expected_digest;    // empty: any
  std::string seeds = "1..8";     // "FROM..TO" or one number
  std::vector<std::string> vary;  // "table.key=value,value" each
  std::size_t jobs = 1;           // processes at once
  std::string first_label;        // compared
  std::string second_label;
  std::string found_directory;  // for what a search finds; empty: not written
  int budget = 200;             // runs
  LoadConfig load;
};

// Reads the command line. Where there is nothing to run (--help, --version, a fault) it has printed what
// there is to say, and returns the exit code.
std::variant<Options, int> ParseCommandLine(int argc, char** argv);

}  // namespace mothrack::simulation
