#include "agent/generation_check.h"

#include <cstring>

namespace mothrack::agent {
namespace {

std::string DescribeCause(const CheckError& error) {
  switch (error.cause) {
    case CheckError::Cause::kFilesNotWritten:
      return "can't be checked: its files can't be written";
    case CheckError::Cause::kNotStarted:
      return std::string("can't be checked: ") + std::strerror(error.system_error);
    case CheckError::Cause::kTimedOut:
      return "its check timed out";
    case CheckError::Cause::kRejected:
      break;
  }
  return "its check failed" + (error.output.empty() ? " without output" : ": " + error.output);
}

}  // namespace

std::string CheckError::Message() const { return generation + ": " + DescribeCause(*this); }

std::optional<CheckError> CheckErrorFrom(const std::string& generation, const CommandResult& result) {
  using Cause = CheckError::Cause;
  switch (result.outcome) {
    case CommandResult::Outcome::kSucceeded:
      return std::nullopt;
    case CommandResult::Outcome::kNotStarted:
      return CheckError{Cause::kNotStarted, generation, {}, result.error};
    case CommandResult::Outcome::kTimedOut:
      return CheckError{Cause::kTimedOut, generation};
    case CommandResult::Outcome::kFailed:
      break;
  }
  return CheckError{Cause::kRejected, generation, result.output.substr(0, CommandResult::kMaxOutputBytes)};
}

}  // namespace mothrack::agent
