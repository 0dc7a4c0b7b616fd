// The result of the operator's check of a generation: a command that exits with 0 if the files are valid.
#pragma once

#include <optional>
#include <string>

#include "agent/child_process.h"

namespace mothrack::agent {

// Why a generation did not pass its check.
struct CheckError {
  enum class Cause {
    kFilesNotWritten,  // the files could not be written to where the command reads them
    kNotStarted,       // the command could not be started
    kTimedOut,         // the command did not exit in time and was killed
    kRejected          // the command exited with a failure
  };
  Cause cause = Cause::kFilesNotWritten;
  std::string generation;
  std::string output{};  // of the command, for kRejected; at most CommandResult::kMaxOutputBytes
  int system_error = 0;  // errno, for kNotStarted

  // A text for the operator that names the generation and the cause.
  std::string Message() const;
  bool operator==(const CheckError&) const = default;
};

// Turns the result of the check command into an error; nullopt if the files are valid.
std::optional<CheckError> CheckErrorFrom(const std::string& generation, const CommandResult& result);

}  // namespace mothrack::agent
