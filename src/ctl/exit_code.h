// Exit codes of mothrackctl. Scripts rely on them: docs/operators/rollouts.md.
#pragma once

namespace mothrack::ctl {

enum ExitCode {
  kDone = 0,
  kUsage = 1,        // an error in the command line, in a file or in the plan; nothing was sent
  kRefused = 2,      // refused by an agent, or because another holder has the lease; nothing has changed
  kHeld = 3,         // the change stopped and stays open
  kRolledBack = 4,   // the change failed and was undone
  kAborted = 5,      // the operator closed the change; accepted steps are not undone
  kUnreachable = 6,  // not all agents were reached
};

}  // namespace mothrack::ctl
