// The running program: start, signals and planned stop.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace mothrack::sidecar {

// The command line.
struct Options {
  std::optional<std::string> path;  // of the operator's file, if any
  std::optional<double> counts_s;   // interval of the counter lines in the log, in seconds; absent: none
};

// Runs until a planned stop (SIGTERM, SIGINT) is complete. `variable`, with std::getenv's signature, gives
// the platform's LB_* variables. Returns the exit code; a failure to start is one line on standard error.
int Run(const Options& options, const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
