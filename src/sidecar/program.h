// The running program: what it is told at its start, its signals and its end.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace mothrack::sidecar {

struct Options {
  std::optional<std::string> path;  // of the operator's file, where there is one
  std::optional<double> counts_s;   // how often a line of counts is logged; absent: never
};

// Runs until a planned stop (SIGTERM, SIGINT) has ended. `variable` (std::getenv's form) gives the platform's
// LB_*. Returns the exit code; what can't start is told in one line on standard error.
int Run(const Options& options, const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
