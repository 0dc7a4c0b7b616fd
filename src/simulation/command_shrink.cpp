// shrink: the smallest scenario that shows the same kind of fault, printed as a file.
#include <cstdio>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/search.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {

int ShrinkScenario(const Options& options) {
  const Scenario scenario = LoadScenario(options.scenarios.at(0), options.changes);
  const auto fault = [&](const Scenario& s) {
    SimulationRun simulated(s, options.seed, options.injected_fault);
    const Outcome outcome = simulated.Run();
    return FindFault(s, outcome, simulated.figures());
  };
  const std::string whole = fault(scenario);
  if (whole.empty()) {
    std::fprintf(stderr, "nothing is wrong with seed %llu\n", static_cast<unsigned long long>(options.seed));
    return kUsage;
  }
  // The same kind of trouble: its first words.
  const std::string kind = whole.substr(0, 12);
  const Scenario small = Shrunk(
      scenario, [&](const Scenario& s) { return fault(s).starts_with(kind); }, options.budget);
  SimulationRun simulated(small, options.seed, options.injected_fault);
  const Outcome outcome = simulated.Run();
  std::printf("# %s; seed %llu\n", FindFault(small, outcome, simulated.figures()).c_str(),
              static_cast<unsigned long long>(options.seed));
  for (const Breach& b : outcome.breaches) std::printf("# %.3f s: %s\n", b.at_s, b.what.c_str());
  std::printf("%s", ToToml(small).c_str());
  return kExpectationsMissed;
}

}  // namespace mothrack::simulation
