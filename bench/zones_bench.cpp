// Many members over three zones in simulated time. Measures how soon no member sends to a lost zone any more,
// for how long the members disagree, the load on the cold zone after its return, and whether a zone is ever
// drained that should not be.
//   zones_bench [NIGHTS [MEMBERS [NAME]]]
// prints the figures of docs/design/zone_failover.md: NIGHTS calm and overloaded ones (NAME nights), 20 and 5
// of the others at most. zones_simulation.h has the models.
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

double Quantile(std::vector<double> values, double at) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
}

// One result for each seed, independent of the order of the threads.
std::vector<Result> RunAll(const Scenario& scenario, int seeds) {
  std::vector<Result> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int s = t; s < seeds; s += kThreads)
        results[static_cast<std::size_t>(s)] = ZoneSimulation(scenario, s + 1).Run();
    });
  }
  for (std::thread& t : threads) t.join();
  return results;
}

// Runs the scenario and prints one line of figures.
void Report(const Scenario& scenario, int seeds) {
  std::vector<double> last_sent, median, disagreed, into, shed_calls, cold, allowance_used, full, lost;
  int false_drains = 0, drains = 0;
  double bytes = 0;
  for (const Result& r : RunAll(scenario, seeds)) {
    last_sent.push_back(r.last_sent_ms);
    median.push_back(r.median_last_sent_ms);
    disagreed.push_back(r.disagreed_ms);
    into.push_back(static_cast<double>(r.sent_to_lost));
    shed_calls.push_back(1.0 * r.shed_calls / r.calls);
    lost.push_back(1.0 * r.failed / r.calls);
    cold.push_back(r.max_slow_start_load);
    allowance_used.push_back(r.max_allowance_used);
    full.push_back(r.fully_back_ms);
    false_drains += r.false_drains;
    drains += r.drains;
    bytes += 1000.0 * r.bytes / scenario.length_ms / scenario.members / seeds;
  }
  std::printf(
      "%-16s %4d %-6s last sent %5.0f/%5.0f ms (median member %5.0f)  apart %5.0f  into lost %6.0f  refused "
      "%.3f  "
      "failed %.3f  cold %.2f/%.2f (of allowance %.2f)  full %6.0f  leaves %d, false %d  %.0f B/s\n",
      scenario.name, scenario.members, scenario.fleet_decides ? "fleet" : "alone", Quantile(last_sent, 0.5),
      Quantile(last_sent, 1), Quantile(median, 0.5), Quantile(disagreed, 0.5), Quantile(into, 0.5),
      Quantile(shed_calls, 0.5), Quantile(lost, 0.5), Quantile(cold, 0.5), Quantile(cold, 1),
      Quantile(allowance_used, 1), Quantile(full, 0.5), drains, false_drains, bytes);
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
  Scenario tight = lost;
  tight.name = "lost, use 0.75";
  tight.utilization = 0.75;
  Scenario again = lost;
  again.name = "lost again";
  again.lost_again = 34'000;
  again.back_again = 40'000;
  again.length_ms = 90'000;
  Scenario partitioned = lost;
  partitioned.name = "cut off";
  partitioned.partitioned = true;
  partitioned.back_at = 30'000;
  Scenario two = lost;
  two.name = "two in turn";
  two.second_at = 25'000;
  two.back_at = -1;
  Scenario third = lost;
  third.name = "a third lost";
  third.lost_share = 0.34;
  Scenario false_reporter{"busy liar", members};
  false_reporter.false_reporters = 1;
  false_reporter.false_reporter_rate = 20;
  return {lost, members_fail, tight, again, partitioned, two, third, false_reporter};
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
