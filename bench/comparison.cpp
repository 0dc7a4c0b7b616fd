#include "comparison.h"

#include <algorithm>
#include <cstddef>
#include <cstdio>

namespace mothrack::bench {
namespace {

// Shares of the requests of a round.
constexpr int kWarmUpDivisor = 5;
constexpr int kOneAtATimeDivisor = 10;

constexpr double kMicrosecondsPerSecond = 1e6;

void WarmUp(const ComparisonPlan& plan, Contestants& contestants, const LoadDriver& drive) {
  for (const Contestant* contestant : contestants.All()) {
    drive(contestant->port, plan.load, plan.requests / kWarmUpDivisor);
  }
}

void MeasureCpu(const ComparisonPlan& plan, Contestants& contestants, const LoadDriver& drive) {
  for (int round = 0; round < plan.rounds; ++round) {
    for (Contestant* contestant : contestants.All()) {
      if (!contestant->process) continue;
      const double before = contestant->process->CpuSeconds();
      const LoadResult result = drive(contestant->port, plan.load, plan.requests);
      const double used = contestant->process->CpuSeconds() - before;
      contestant->cpu_us.push_back(used * kMicrosecondsPerSecond / result.answered);
      contestant->lost += plan.requests - result.answered;
    }
  }
}

void MeasureLatency(const ComparisonPlan& plan, Contestants& contestants, const LoadDriver& drive) {
  constexpr Load kOneAtATime{1, 1};
  for (Contestant* contestant : contestants.All()) {
    const LoadResult result = drive(contestant->port, kOneAtATime, plan.requests / kOneAtATimeDivisor);
    contestant->median_us = Percentile(result.latencies_us, 0.5);
    contestant->p99_us = Percentile(result.latencies_us, 0.99);
  }
}

std::vector<double> RatiosByRound(const Contestants& contestants) {
  std::vector<double> ratios;
  for (std::size_t round = 0; round < contestants.sidecar.cpu_us.size(); ++round) {
    ratios.push_back(contestants.sidecar.cpu_us[round] / contestants.floor.cpu_us[round]);
  }
  return ratios;
}

void Print(const ComparisonPlan& plan, Contestants& contestants, const std::vector<double>& ratios) {
  std::printf("%s (%d requests, %d rounds, %d in flight)\n", plan.title.c_str(), plan.requests, plan.rounds,
              plan.load.lanes * plan.load.depth);
  for (const Contestant* contestant : contestants.All()) {
    std::printf("  %-8s cpu %6.2f us a request   alone: median %6.1f us, p99 %6.1f us   lost %d\n",
                contestant->name.c_str(), Percentile(contestant->cpu_us, 0.5), contestant->median_us,
                contestant->p99_us, contestant->lost);
  }
  std::printf("  ratio %.2f (from %.2f to %.2f); adds to the floor alone: median %.1f us, p99 %.1f us\n\n",
              Percentile(ratios, 0.5), *std::min_element(ratios.begin(), ratios.end()),
              *std::max_element(ratios.begin(), ratios.end()),
              contestants.sidecar.median_us - contestants.floor.median_us,
              contestants.sidecar.p99_us - contestants.floor.p99_us);
}

}  // namespace

double Compare(const ComparisonPlan& plan, Contestants& contestants, const LoadDriver& drive) {
  WarmUp(plan, contestants, drive);
  MeasureCpu(plan, contestants, drive);
  MeasureLatency(plan, contestants, drive);
  const std::vector<double> ratios = RatiosByRound(contestants);
  Print(plan, contestants, ratios);
  return Percentile(ratios, 0.5);
}

}  // namespace mothrack::bench
