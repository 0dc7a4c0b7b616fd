// Why the agents did not grant the lease; the change was not begun then.
#pragma once

#include <string>

namespace mothrack::ctl {

struct ClaimError {
  enum class Cause {
    kAgentError,    // an agent answered with an error instead of a verdict
    kAgentRefused,  // an agent refused the change although the lease would allow it
    kInterrupted,   // the operator interrupted the claim
    kRejected       // the claim was rejected: another holder, too few agents reached, ...
  };
  Cause cause = Cause::kRejected;
  std::string agent{};   // for kAgentError and kAgentRefused
  std::string reason{};  // for the operator, from the agent or the claim; empty for kInterrupted

  // A text for the operator with the reason, and with the agent if there is one.
  std::string Message() const;
};

}  // namespace mothrack::ctl
