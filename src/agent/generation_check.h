// The result of the operator's check of a generation: a command that ends with 0 where its files are good.
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
    kTimedOut,         // the command was killed, as it did not end in time
    kRejected          // the command ended with a failure
  };
  Cause cause = Cause::kFilesNotWritten;
  std::string generation;
  std::string output{};  // of the command, for kRejected: CommandResult::kMaxOutputBytes at most
  int system_error = 0;  // errno, for kNotStarted

  // For the operator: the generation and the cause.
  std::string Message() const;
  bool operator==(const CheckError&) const = default;
};

// What the check command's result says of a generation; nothing where the files are good.
std::optional<CheckError> CheckErrorFrom(const std::string& generation, const CommandResult& result);

}  // namespace mothrack::agent
