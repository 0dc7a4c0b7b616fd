// Exit codes of the simulator's program. Scripts rely on them: docs/operators/simulator.md.
#pragma once

namespace mothrack::simulation {

enum ExitCode {
  kExpectationsMet = 0,
  kUsage = 1,               // or a fault in a file
  kExpectationsMissed = 2,  // a rule is broken, or what must hold did not
};

}  // namespace mothrack::simulation
