// The command shrink: reduces a scenario while it still shows the same kind of fault, and prints the
// result as a scenario file.
#include <cstdio>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/search.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {

int ShrinkScenario(const Options& options) {
  const Scenario scenario = LoadScenario(options.scenarios.at(0), options.changes);
  const auto find_fault = [&](const Scenario& s) {
    SimulationRun simulated(s, options.seed, options.injected_fault);
    const RunOutcome outcome = simulated.Run();
    return FindFault(s, outcome, simulated.figures());
  };
  const std::string original_fault = find_fault(scenario);
  if (original_fault.empty()) {
    std::fprintf(stderr, "no fault found with seed %llu\n", static_cast<unsigned long long>(options.seed));
    return kUsage;
  }
  // Descriptions of the same kind of fault begin with the same 12 characters; the numbers follow later.
  const std::string kind = original_fault.substr(0, 12);
  const Scenario shrunk = ShrinkWhile(
      scenario, [&](const Scenario& s) { return find_fault(s).starts_with(kind); }, options.budget);
  SimulationRun simulated(shrunk, options.seed, options.injected_fault);
  const RunOutcome outcome = simulated.Run();
  std::printf("# %s; seed %llu\n", FindFault(shrunk, outcome, simulated.figures()).c_str(),
              static_cast<unsigned long long>(options.seed));
  for (const Breach& breach : outcome.breaches)
    std::printf("# %.3f s: %s\n", breach.at_s, breach.what.c_str());
  std::printf("%s", ToToml(shrunk).c_str());
  return kExpectationsMissed;
}

}  // namespace mothrack::simulation
