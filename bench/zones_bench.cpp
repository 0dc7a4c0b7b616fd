// zones_bench [RUNS [MEMBERS [NAME]]]: simulates many members in three zones. Measures how long after the
// loss of a zone members still send to it, for how long the members disagree, the load on the zone during
// slow start after its return, and whether a zone is drained that should not be. Prints the figures of
// docs/design/zone_failover.md. The arguments:
//   RUNS: the number of runs of each scenario (20). Scenarios in which a zone is lost get at most 20 runs
//   with 60
//     members and at most 5 with 300.
//   MEMBERS: 60 or 300, to run only the scenarios of that size.
//   NAME: the scenario to run, or "nights" for those in which no zone is lost.
// zones_simulation.h describes the models.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "zones_simulation.h"

namespace {

using mothrack::zone_failover::bench::Result;
using mothrack::zone_failover::bench::Scenario;
using mothrack::zone_failover::bench::ZoneSimulation;

constexpr int kThreads = 3;

double Quantile(std::vector<double> values, double level) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(level * static_cast<double>(values.size() - 1))];
}

// Returns one result for each seed. They do not depend on the order of the threads.
std::vector<Result> RunAll(const Scenario& scenario, int seeds) {
  std::vector<Result> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> threads;
  for (int first = 0; first < kThreads; ++first) {
    threads.emplace_back([&, first] {
      for (int run = first; run < seeds; run += kThreads)
        results[static_cast<std::size_t>(run)] = ZoneSimulation(scenario, run + 1).Run();
    });
  }
  for (std::thread& thread : threads) thread.join();
  return results;
}

// Runs the scenario and prints one line of figures.
void Report(const Scenario& scenario, int seeds) {
  std::vector<double> last_sent, median_last_sent, disagreed, sent_to_lost, shed_calls, slow_start_load,
      allowance_used, fully_back, failed;
  int false_drains = 0, drains = 0;
  double bytes = 0;
  for (const Result& result : RunAll(scenario, seeds)) {
    last_sent.push_back(result.last_sent_ms);
    median_last_sent.push_back(result.median_last_sent_ms);
    disagreed.push_back(result.disagreed_ms);
    sent_to_lost.push_back(static_cast<double>(result.sent_to_lost));
    shed_calls.push_back(1.0 * result.shed_calls / result.calls);
    failed.push_back(1.0 * result.failed / result.calls);
    slow_start_load.push_back(result.max_slow_start_load);
    allowance_used.push_back(result.max_allowance_used);
    fully_back.push_back(result.fully_back_ms);
    false_drains += result.false_drains;
    drains += result.drains;
    bytes += 1000.0 * result.bytes / scenario.length_ms / scenario.members / seeds;
  }
  std::printf(
      "%-16s %4d %-6s last sent %5.0f/%5.0f ms (median member %5.0f)  disagreed %5.0f ms  "
      "sent to lost zone %6.0f  shed %.3f  failed %.3f  slow-start load %.2f/%.2f (of allowance %.2f)  "
      "fully back %6.0f ms  drains %d, false %d  %.0f B/s\n",
      scenario.name, scenario.members, scenario.fleet_decides ? "fleet" : "alone", Quantile(last_sent, 0.5),
      Quantile(last_sent, 1), Quantile(median_last_sent, 0.5), Quantile(disagreed, 0.5),
      Quantile(sent_to_lost, 0.5), Quantile(shed_calls, 0.5), Quantile(failed, 0.5),
      Quantile(slow_start_load, 0.5), Quantile(slow_start_load, 1), Quantile(allowance_used, 1),
      Quantile(fully_back, 0.5), drains, false_drains, bytes);
  std::fflush(stdout);
}

// Scenarios in which one or two zones are lost, or seem to be.
std::vector<Scenario> LossScenarios(int members) {
  Scenario lost{"lost", members};
  lost.lost_at = 15'000;
  lost.back_at = 23'000;
  Scenario members_fail = lost;
  members_fail.name = "hall";
  members_fail.members_fail = true;
  Scenario high_load = lost;
  high_load.name = "lost, use 0.75";
  high_load.utilization = 0.75;
  Scenario lost_twice = lost;
  lost_twice.name = "lost again";
  lost_twice.lost_again = 34'000;
  lost_twice.back_again = 40'000;
  lost_twice.length_ms = 90'000;
  Scenario partitioned = lost;
  partitioned.name = "cut off";
  partitioned.partitioned = true;
  partitioned.back_at = 30'000;
  Scenario two_zones = lost;
  two_zones.name = "two in turn";
  two_zones.second_at = 25'000;
  two_zones.back_at = -1;
  Scenario partly_lost = lost;
  partly_lost.name = "a third lost";
  partly_lost.lost_share = 0.34;
  Scenario false_reporter{"busy liar", members};
  false_reporter.false_reporters = 1;
  false_reporter.false_reporter_rate = 20;
  return {lost, members_fail, high_load, lost_twice, partitioned, two_zones, partly_lost, false_reporter};
}

// Scenarios in which no zone is lost, so that none may be drained.
std::vector<Scenario> FaultFreeScenarios() {
  Scenario calm{"calm"};
  Scenario overloaded{"overloaded"};
  overloaded.utilization = 1.1;
  Scenario much_overloaded{"much overloaded"};
  much_overloaded.utilization = 1.6;
  std::vector<Scenario> runs{calm, overloaded, much_overloaded};
  for (Scenario& scenario : runs) scenario.length_ms = 20'000;
  return runs;
}

}  // namespace

int main(int argc, char** argv) {
  const int runs = argc > 1 ? std::atoi(argv[1]) : 20;
  const int only_members = argc > 2 ? std::atoi(argv[2]) : 0;
  const std::string only_name = argc > 3 ? argv[3] : "";
  for (const int members : {60, 300}) {
    if (only_members != 0 && only_members != members) continue;
    const int seeds = std::min(runs, members == 60 ? 20 : 5);
    for (Scenario scenario : LossScenarios(members)) {
      if (!only_name.empty() && only_name != scenario.name) continue;
      for (const bool fleet_decides : {false, true}) {
        scenario.fleet_decides = fleet_decides;
        Report(scenario, seeds);
      }
    }
  }
  const bool run_fault_free =
      (only_members == 0 || only_members == 60) && (only_name.empty() || only_name == "nights");
  if (!run_fault_free) return 0;
  for (const Scenario& scenario : FaultFreeScenarios()) Report(scenario, runs);
}
