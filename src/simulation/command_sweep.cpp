// The command sweep: runs each scenario with each setting and seed in parallel processes. Runs that the
// result database already has are skipped.
#include <sys/utsname.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/results.h"
#include "simulation/sweep.h"

namespace mothrack::simulation {
namespace {

using nlohmann::json;

// Changes to a scenario in the form of --set: "table.key=value" each.
using Changes = std::vector<std::string>;

// The runs that are to be made. A job and the key of its result have the same index.
struct PendingRuns {
  std::vector<Job> jobs;
  std::vector<RunKey> keys;
  std::size_t skipped = 0;  // number of runs left out because the database has them
};

std::string MachineName() {
  utsname name{};
  ::uname(&name);
  return std::string(name.nodename) + ' ' + name.machine + ", " +
         std::to_string(std::thread::hardware_concurrency()) + " cores";
}

// Parses a range of seeds such as "1..20", or a single seed such as "7".
std::pair<std::uint64_t, std::uint64_t> ParseSeeds(const std::string& text) {
  const auto dots = text.find("..");
  try {
    const std::uint64_t from = std::stoull(text.substr(0, dots));
    const std::uint64_t to = dots == std::string::npos ? from : std::stoull(text.substr(dots + 2));
    if (to < from || to - from > 1'000'000) throw std::invalid_argument(text);
    return {from, to};
  } catch (const std::exception&) {
    throw std::runtime_error("--seeds " + text + ": give a number or a range such as 1..20");
  }
}

// Splits "key=a,b,c" into a list of changes, one for each value.
std::vector<std::string> Variants(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos)
    throw std::runtime_error("--vary " + text + ": give table.key=value,value");
  std::vector<std::string> changes;
  std::istringstream values(text.substr(equals + 1));
  for (std::string value; std::getline(values, value, ',');)
    changes.push_back(text.substr(0, equals + 1) + value);
  return changes;
}

// Returns each combination of the values of --vary, on top of the changes of --set.
std::vector<Changes> Combinations(const Changes& common, const std::vector<std::string>& vary) {
  std::vector<Changes> combinations = {common};
  for (const std::string& option : vary) {
    std::vector<Changes> extended;
    for (const Changes& base : combinations) {
      for (const std::string& change : Variants(option)) {
        extended.push_back(base);
        extended.back().push_back(change);
      }
    }
    combinations = std::move(extended);
  }
  return combinations;
}

// Loads the scenario with these changes. Its name includes the changes after the first `common` ones.
Scenario LoadVariant(const std::string& path, const Changes& changes, std::size_t common) {
  Scenario scenario = LoadScenario(path, changes);
  for (std::size_t i = common; i < changes.size(); ++i) scenario.name += ' ' + changes[i];
  return scenario;
}

PendingRuns FindPendingRuns(const Options& options, const Results& results) {
  const auto [from, to] = ParseSeeds(options.seeds);
  const std::vector<Changes> combinations = Combinations(options.changes, options.vary);
  PendingRuns pending;
  for (const std::string& path : options.scenarios) {
    for (const Changes& changes : combinations) {
      const Scenario scenario = LoadVariant(path, changes, options.changes.size());
      const std::string hash = HashOf(scenario);
      for (std::uint64_t seed = from; seed <= to; ++seed) {
        const RunKey key{options.label, scenario.name, hash, seed};
        if (results.Has(key)) {
          ++pending.skipped;
          continue;
        }
        pending.jobs.push_back({scenario, seed});
        pending.keys.push_back(key);
      }
    }
  }
  return pending;
}

// Prints the fault that a run shows and returns false; returns true if it shows none. `run` is null if its
// process crashed.
bool CheckRun(const RunKey& key, const json& run) {
  const auto seed = static_cast<unsigned long long>(key.seed);
  if (run.is_null()) {
    std::printf("%s seed %llu: its process crashed\n", key.scenario.c_str(), seed);
    return false;
  }
  if (run.value("broken", 0) == 0) return true;
  std::printf("%s seed %llu: rule %s\n", key.scenario.c_str(), seed,
              run["breaks"][0].value("rule", "").c_str());
  return false;
}

// Runs and stores the pending runs. Returns the number of runs with a fault.
std::size_t RunPending(const PendingRuns& pending, std::size_t max_parallel, Results& results) {
  const auto begin = std::chrono::steady_clock::now();
  const std::string machine = MachineName();
  const bool on_terminal = ::isatty(1) != 0;
  std::size_t ended = 0;
  std::size_t faulty = 0;
  RunAll(pending.jobs, max_parallel, [&](std::size_t job, const json& run) {
    ++ended;
    if (!run.is_null()) results.Store(pending.keys[job], MOTHRACK_VERSION, machine, run);
    if (!CheckRun(pending.keys[job], run)) ++faulty;
    if (on_terminal && !run.is_null()) {
      const double passed = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
      std::printf("\r%zu of %zu, %.0f s left ", ended, pending.jobs.size(),
                  passed / static_cast<double>(ended) * static_cast<double>(pending.jobs.size() - ended));
      std::fflush(stdout);
    }
    return true;
  });
  if (on_terminal) std::printf("\n");
  return faulty;
}

// Prints one row for each scenario, over all seeds stored under the label.
void PrintTable(const Results& results, const std::string& label) {
  std::map<std::string, std::vector<json>> runs_by_scenario;
  for (const auto& [key, run] : results.RunsWithLabel(label)) runs_by_scenario[key.scenario].push_back(run);
  std::printf("%-34s %5s %8s %8s %8s %8s %8s %8s\n", "scenario", "runs", "gained", "worst", "took_s", "worst",
              "needless", "p99_ms");
  for (const auto& [name, runs] : runs_by_scenario) {
    double gained = 0, lowest = 1, took = 0, longest = 0, needless = 0, p99 = 0;
    for (const json& run : runs) {
      const auto count = static_cast<double>(runs.size());
      gained += run.value("gained", 0.0) / count;
      lowest = std::min(lowest, run.value("gained", 0.0));
      took += run.value("took_s", 0.0) / count;
      longest = std::max(longest, run.value("took_s", 0.0));
      needless += run.value("needless", 0.0) / count;
      p99 += run.value("p99_ms", 0.0) / count;
    }
    std::printf("%-34s %5zu %8.4f %8.4f %8.2f %8.1f %8.4f %8.1f\n", name.c_str(), runs.size(), gained, lowest,
                took, longest, needless, p99);
  }
}

}  // namespace

int SweepScenarios(const Options& options) {
  Results results(options.db);
  const PendingRuns pending = FindPendingRuns(options, results);
  if (pending.skipped > 0) std::printf("%zu runs skipped: the database has their results\n", pending.skipped);
  const std::size_t faulty = RunPending(pending, options.jobs, results);
  PrintTable(results, options.label);
  return faulty == 0 ? kExpectationsMet : kExpectationsMissed;
}

}  // namespace mothrack::simulation
