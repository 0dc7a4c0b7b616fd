// Exit codes of mothrackctl. Scripts rely on them: docs/operators/rollouts.md.
#pragma once

namespace mothrack::ctl {

enum ExitCode {
  kDone = 0,
  kUsage = 1,
  kRefused = 2,
  kHeld = 3,
  kRolledBack = 4,
  kAborted = 5,
  kUnreachable = 6,  // not all agents were reached
};

}  // namespace mothrack::ctl
