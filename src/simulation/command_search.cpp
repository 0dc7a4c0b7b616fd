// The command search: mutates the given scenarios at random, runs each mutation once and reports those that
// show a fault.
#include <algorithm>
#include <cstdio>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/results.h"
#include "simulation/search.h"
#include "simulation/sweep.h"
#include "simulation/text_file.h"

namespace mothrack::simulation {
namespace {

using nlohmann::json;

// Degraded service that lasts longer than this after its cause has ended is reported.
constexpr double kMaxRecoverySeconds = 12;
// A run is too short to judge if it ends sooner than this after the cause has ended.
constexpr double kMinRemainingSeconds = 17;

// Describes the fault that a run shows; empty if it shows none. `run` is null if its process crashed.
std::string DescribeFault(const Scenario& scenario, const json& run) {
  if (run.is_null()) return "its process crashed";
  if (run.value("broken", 0) > 0) return "rule " + run["breaks"][0].value("rule", "");
  if (!run.contains("took_s")) return {};
  const double covered_s = run.value("covered_s", 0.0);
  const double cause_end_s = std::max(covered_s, scenario.FaultsEnd());
  const double recovered_s =
      run.value("recovered", false) ? covered_s + run.value("took_s", 0.0) : scenario.length_s;
  if (scenario.length_s - cause_end_s < kMinRemainingSeconds ||
      recovered_s - cause_end_s <= kMaxRecoverySeconds)
    return {};
  return "degraded service outlasts its cause by " +
         std::to_string(static_cast<int>(recovered_s - cause_end_s)) + " s";
}

std::vector<Job> MutatedJobs(const Options& options) {
  std::vector<Scenario> originals;
  for (const std::string& path : options.scenarios) originals.push_back(LoadScenario(path, options.changes));
  Random random(options.seed);
  std::vector<Job> jobs;
  for (int i = 0; i < options.budget; ++i) {
    Scenario scenario = Mutate(originals[random.Below(originals.size())], random);
    scenario.name = "found-" + std::to_string(options.seed) + '-' + std::to_string(i);
    jobs.push_back({scenario, random.Next() >> 12});
  }
  return jobs;
}

}  // namespace

int SearchFaults(const Options& options) {
  const std::vector<Job> jobs = MutatedJobs(options);
  std::size_t found = 0;
  RunAll(jobs, options.jobs, [&](std::size_t job, const json& run) {
    const auto& [scenario, seed] = jobs[job];
    const std::string fault = DescribeFault(scenario, run);
    if (fault.empty()) return true;
    ++found;
    std::printf("%s seed %llu: %s\n", scenario.name.c_str(), static_cast<unsigned long long>(seed),
                fault.c_str());
    if (!options.found_directory.empty()) {
      Scenario found_scenario = scenario;
      found_scenario.about = fault + ", seed " + std::to_string(seed);
      WriteFile(options.found_directory + '/' + found_scenario.name + ".toml", ToToml(found_scenario));
    }
    return true;
  });
  std::printf("%zu of %d scenarios show a fault\n", found, options.budget);
  return found == 0 ? kExpectationsMet : kExpectationsMissed;
}

}  // namespace mothrack::simulation
