// The command run: runs each scenario once and prints its verdicts. On request it also prints the figures of
// each second and writes an HTML page.
#include <algorithm>
#include <chrono>
#include <cstdio>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/report.h"
#include "simulation/results.h"
#include "simulation/simulation_run.h"
#include "simulation/text_file.h"

namespace mothrack::simulation {
namespace {

using nlohmann::json;

// Returns one text for each expectation: "held: ..." or "not held: ...".
std::vector<std::string> Verdicts(const Scenario& scenario, const json& run) {
  std::vector<std::string> verdicts;
  const auto add = [&](bool expectations_met, const std::string& what) {
    verdicts.push_back((expectations_met ? "held: " : "not held: ") + what);
  };
  add(run.value("broken", 0) == 0, "the four rules");
  for (const json& breach : run["breaks"]) {
    add(false, "rule " + breach.value("rule", "") + " at " + std::to_string(breach.value("at_s", 0.0)) +
                   " s: " + breach.value("what", ""));
  }
  char text[96];
  if (scenario.served_at_least) {
    std::snprintf(text, sizeof text, "served %.4f, at least %.4f", run.value("served", 0.0),
                  *scenario.served_at_least);
    add(run.value("served", 0.0) >= *scenario.served_at_least, text);
  }
  if (scenario.recovers_within_s) {
    const bool recovered = run.value("recovered", true);
    std::snprintf(text, sizeof text, "service recovery took %.0f s, at most %.0f", run.value("took_s", 0.0),
                  *scenario.recovers_within_s);
    add(recovered && run.value("took_s", 0.0) <= *scenario.recovers_within_s, text);
  }
  return verdicts;
}

bool AllExpectationsMet(const std::vector<std::string>& verdicts) {
  return std::all_of(verdicts.begin(), verdicts.end(),
                     [](const std::string& verdict) { return verdict.starts_with("held"); });
}

void Print(const json& run) {
  std::printf("%-16s seed %-6llu digest %s  %llu requests\n", run.value("scenario", "").c_str(),
              static_cast<unsigned long long>(run.value("seed", std::uint64_t{0})),
              run.value("digest", "").c_str(),
              static_cast<unsigned long long>(run.value("requests", std::uint64_t{0})));
  std::printf(
      "  client requests %llu: in time %llu, late %llu, rejected %llu, failed %llu; share of priority weight "
      "served in time %.4f\n",
      static_cast<unsigned long long>(run.value("asked", 0ULL)),
      static_cast<unsigned long long>(run.value("good", 0ULL)),
      static_cast<unsigned long long>(run.value("late", 0ULL)),
      static_cast<unsigned long long>(run.value("refused", 0ULL)),
      static_cast<unsigned long long>(run.value("failed", 0ULL)), run.value("gained", 0.0));
  std::printf(
      "  latency median %.1f ms, 99%% %.1f ms; %.3f attempts and %.3f new connections per request to a "
      "sidecar\n",
      run.value("p50_ms", 0.0), run.value("p99_ms", 0.0), run.value("attempts_a_try", 0.0),
      run.value("connects_a_try", 0.0));
  if (run.contains("took_s")) {
    std::printf(
        "  capacity sufficient from %.0f s on; service %s %.0f s; share not served despite spare capacity "
        "%.4f\n",
        run.value("covered_s", 0.0),
        run.value("recovered", false) ? "recovered after" : "NOT recovered within", run.value("took_s", 0.0),
        run.value("needless", 0.0));
  }
}

void PrintSeconds(const json& run) {
  const char* const keys[] = {"asked",    "good",   "late",   "refused",  "failed",  "overload", "nobody",
                              "given_up", "copies", "trials", "connects", "ejected", "shed",     "able",
                              "demand",   "held",   "cold",   "down",     "p50",     "p95"};
  std::printf("%4s", "s");
  for (const char* key : keys) std::printf(" %8s", key);
  std::printf("\n");
  int number = 0;
  for (const json& second : run["seconds"]) {
    std::printf("%4d", number++);
    for (const char* key : keys)
      std::printf(second[key].is_number_float() ? " %8.2f" : " %8.0f", second[key].get<double>());
    std::printf("\n");
  }
}

std::vector<FaultBand> FaultBands(const Scenario& scenario) {
  std::vector<FaultBand> bands;
  for (const Fault& fault : scenario.faults)
    bands.push_back({NameOf(fault.kind), fault.at_s, std::max(fault.at_s + 0.2, fault.at_s + fault.len_s)});
  return bands;
}

}  // namespace

int RunScenarios(const Options& options) {
  bool expectations_met = true;
  for (const std::string& path : options.scenarios) {
    const Scenario scenario = LoadScenario(path, options.changes);
    SimulationRun simulated(scenario, options.seed, options.injected_fault);
    const auto begin = std::chrono::steady_clock::now();
    const RunOutcome outcome = simulated.Run();
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const json run = ToJson(scenario, options.seed, outcome, simulated.figures(), true);
    Print(run);
    std::printf("  %.2f s, %.0f requests per minute\n", took,
                static_cast<double>(outcome.requests) / took * 60);
    const auto verdicts = Verdicts(scenario, run);
    for (const std::string& verdict : verdicts) std::printf("  %s\n", verdict.c_str());
    expectations_met = AllExpectationsMet(verdicts) && expectations_met;
    if (options.seconds) PrintSeconds(run);
    if (!options.report.empty())
      WriteFile(options.report, RunPage(run, scenario.about, FaultBands(scenario), verdicts));
    if (!options.expected_digest.empty() && run["digest"] != options.expected_digest) {
      std::printf("  digest differs from the expected %s\n", options.expected_digest.c_str());
      expectations_met = false;
    }
  }
  return expectations_met ? kExpectationsMet : kExpectationsMissed;
}

}  // namespace mothrack::simulation
