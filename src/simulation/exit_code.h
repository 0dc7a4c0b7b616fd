// Exit codes of the program mothrack-sim. Scripts rely on them: docs/operators/simulator.md.
#pragma once

namespace mothrack::simulation {

enum ExitCode {
  kExpectationsMet = 0,
  kUsage = 1,               // wrong usage, or an error in a file
  kExpectationsMissed = 2,  // a rule was broken, or an expectation was not met
};

}  // namespace mothrack::simulation
