// The running program: what it is told at its start, its signals and its end.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace mothrack {

// Runs until a planned stop (SIGTERM, SIGINT) has ended. `path` names the operator's file, where there is
// one; `variable` (std::getenv's form) gives the platform's LB_*. Returns the exit code; what can't start is
// told in one line on standard error.
int Run(const std::optional<std::string>& path, const std::function<const char*(const char*)>& variable);

}  // namespace mothrack
