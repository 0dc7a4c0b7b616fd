// Why the lease of the agents was not granted, so that a change was not begun.
#pragma once

#include <string>

namespace mothrack::ctl {

struct ClaimError {
  enum class Cause {
    kAgentError,    // an agent answered with an error instead of a verdict
    kAgentRefused,  // an agent refuses the change although the lease would allow it
    kInterrupted,   // the operator interrupted the claim
    kRejected       // the claim was rejected: another holder, too few agents reached, ...
  };
  Cause cause = Cause::kRejected;
  std::string agent{};   // of kAgentError and kAgentRefused
  std::string reason{};  // of all but kInterrupted, for the operator: as the agent or the claim gave it

  // For the operator: the agent where there is one, and the reason.
  std::string Message() const;
};

}  // namespace mothrack::ctl
