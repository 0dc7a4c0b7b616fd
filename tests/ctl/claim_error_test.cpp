// The error texts, by cause, and the exit code of mothrackctl if the lease was not granted.
#include "ctl/claim_error.h"

#include "ctl/session.h"
#include "gtest/gtest.h"

namespace mothrack::ctl {
namespace {

using Cause = ClaimError::Cause;

TEST(ClaimError, EveryCauseHasItsText) {
  const struct {
    ClaimError error;
    const char* text;
  } rows[] = {
      {{Cause::kAgentError, "agent-1", "answered 500"}, "agent-1: answered 500"},
      {{Cause::kAgentRefused, "agent-1", "not saved"}, "agent-1: not saved"},
      {{Cause::kInterrupted}, "interrupted"},
      {{Cause::kRejected, {}, "can't be reached: agent-1"}, "can't be reached: agent-1"},
  };
  for (const auto& row : rows) EXPECT_EQ(row.error.Message(), row.text);
}

TEST(ClaimError, RefusedChangePrintsTheTextOnStandardError) {
  Driver::Outcome outcome;
  outcome.claim_error = ClaimError{Cause::kAgentError, "agent-1", "answered 500"};
  ::testing::internal::CaptureStderr();
  const ExitCode code = PrintOutcome(outcome);
  EXPECT_EQ(::testing::internal::GetCapturedStderr(),
            "mothrackctl: agent-1: answered 500; nothing has changed\n");
  EXPECT_EQ(code, kRefused);
}

}  // namespace
}  // namespace mothrack::ctl
