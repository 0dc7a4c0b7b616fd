// The error texts for a generation that does not pass its check, and how they come from the command's result.
#include "agent/generation_check.h"

#include <cerrno>
#include <string>

#include "gtest/gtest.h"

namespace mothrack::agent {
namespace {

using Cause = CheckError::Cause;
using Outcome = CommandResult::Outcome;

TEST(GenerationCheck, EveryCauseHasItsText) {
  const struct {
    CheckError error;
    const char* text;
  } rows[] = {
      {{Cause::kFilesNotWritten, "g1"}, "g1: can't be checked: its files can't be written"},
      {{Cause::kNotStarted, "g1", {}, EAGAIN}, "g1: can't be checked: Resource temporarily unavailable"},
      {{Cause::kTimedOut, "g1"}, "g1: its check timed out"},
      {{Cause::kRejected, "g1", "line 3: no such key\n"}, "g1: its check failed: line 3: no such key\n"},
      {{Cause::kRejected, "g1"}, "g1: its check failed without output"},
  };
  for (const auto& row : rows) EXPECT_EQ(row.error.Message(), row.text);
}

TEST(GenerationCheck, CommandResultIsTheCause) {
  const struct {
    CommandResult result;
    std::optional<CheckError> error;
  } rows[] = {
      {{Outcome::kSucceeded, "all is well", 0}, std::nullopt},
      {{Outcome::kNotStarted, "", ENOMEM}, CheckError{Cause::kNotStarted, "g1", {}, ENOMEM}},
      {{Outcome::kTimedOut, "so far", 0}, CheckError{Cause::kTimedOut, "g1"}},
      {{Outcome::kFailed, "line 3", 0}, CheckError{Cause::kRejected, "g1", "line 3"}},
      {{Outcome::kFailed, "", 0}, CheckError{Cause::kRejected, "g1"}},
  };
  for (const auto& row : rows) {
    EXPECT_EQ(CheckErrorFrom("g1", row.result), row.error) << static_cast<int>(row.result.outcome);
  }
}

TEST(GenerationCheck, OutputIsBounded) {
  const std::string output(CommandResult::kMaxOutputBytes + 1, 'x');
  const auto error = CheckErrorFrom("g1", {Outcome::kFailed, output, 0});
  ASSERT_TRUE(error);
  EXPECT_EQ(error->output, output.substr(1));
}

}  // namespace
}  // namespace mothrack::agent
