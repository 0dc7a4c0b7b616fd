// The running program: its start, its signals and its end.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace mothrack::sidecar {

// The command line.
struct Options {
  std::optional<std::string> path;  // of the operator's file, where there is one
  std::optional<double> counts_s;   // seconds between lines of counts in the log; absent: none
};

// Runs until a planned stop (SIGTERM, SIGINT) has ended. `variable` (std::getenv's form) gives the platform's
// LB_*. Returns the exit code; what can't start is said in one line on standard error.
int Run(const Options& options, const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
