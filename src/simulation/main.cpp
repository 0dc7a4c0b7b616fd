// The program mothrack-sim: reads the command line and runs the command. docs/operators/simulator.md
// describes it.
#include <exception>
#include <iostream>
#include <variant>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/options.h"

namespace mothrack::simulation {
namespace {

int RunCommand(const Options& options) {
  switch (options.command) {
    case Command::kRun:
      return RunScenarios(options);
    case Command::kSweep:
      return SweepScenarios(options);
    case Command::kCompare:
      return CompareLabels(options);
    case Command::kSearch:
      return SearchFaults(options);
    case Command::kShrink:
      return ShrinkScenario(options);
    case Command::kLoad:
      return ApplyLoad(options);
  }
  return kUsage;
}

}  // namespace
}  // namespace mothrack::simulation

int main(int argc, char** argv) {
  using namespace mothrack::simulation;
  try {
    const auto options = ParseCommandLine(argc, argv);
    if (const int* code = std::get_if<int>(&options)) return *code;
    return RunCommand(std::get<Options>(options));
  } catch (const std::exception& e) {
    std::cerr << "mothrack-sim: " << e.what() << '\n';
    return kUsage;
  }
}
