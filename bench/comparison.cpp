#include "comparison.h"

#include <algorithm>
#include <cstddef>
#include <cstdio>

namespace mothrack::bench {
namespace {

// The warm-up and the latency measurement send the requests of a round divided by these numbers.
constexpr int kWarmUpDivisor = 5;
constexpr int kOneAtATimeDivisor = 10;

constexpr double kMicrosecondsPerSecond = 1e6;

void WarmUp(const ComparisonPlan& plan, MeasuredPrograms& programs, const LoadDriver& drive) {
  for (const MeasuredProgram* program : programs.All()) {
    drive(program->port, plan.load, plan.requests / kWarmUpDivisor);
  }
}

void MeasureCpu(const ComparisonPlan& plan, MeasuredPrograms& programs, const LoadDriver& drive) {
  for (int round = 0; round < plan.rounds; ++round) {
    for (MeasuredProgram* program : programs.All()) {
      if (!program->process) continue;
      const double before = program->process->CpuSeconds();
      const LoadResult result = drive(program->port, plan.load, plan.requests);
      const double used = program->process->CpuSeconds() - before;
      program->cpu_us.push_back(used * kMicrosecondsPerSecond / result.answered);
      program->lost += plan.requests - result.answered;
    }
  }
}

void MeasureLatency(const ComparisonPlan& plan, MeasuredPrograms& programs, const LoadDriver& drive) {
  constexpr Load kOneAtATime{1, 1};
  for (MeasuredProgram* program : programs.All()) {
    const LoadResult result = drive(program->port, kOneAtATime, plan.requests / kOneAtATimeDivisor);
    program->median_us = Percentile(result.latencies_us, 0.5);
    program->p99_us = Percentile(result.latencies_us, 0.99);
  }
}

std::vector<double> RatiosByRound(const MeasuredPrograms& programs) {
  std::vector<double> ratios;
  for (std::size_t round = 0; round < programs.sidecar.cpu_us.size(); ++round) {
    ratios.push_back(programs.sidecar.cpu_us[round] / programs.floor.cpu_us[round]);
  }
  return ratios;
}

void Print(const ComparisonPlan& plan, MeasuredPrograms& programs, const std::vector<double>& ratios) {
  std::printf("%s (%d requests, %d rounds, %d in flight)\n", plan.title.c_str(), plan.requests, plan.rounds,
              plan.load.lanes * plan.load.depth);
  for (const MeasuredProgram* program : programs.All()) {
    std::printf("  %-8s cpu %6.2f us per request   one at a time: median %6.1f us, p99 %6.1f us   lost %d\n",
                program->name.c_str(), Percentile(program->cpu_us, 0.5), program->median_us, program->p99_us,
                program->lost);
  }
  std::printf(
      "  ratio %.2f (from %.2f to %.2f); one at a time it adds to the floor: median %.1f us, p99 %.1f us\n\n",
      Percentile(ratios, 0.5), *std::min_element(ratios.begin(), ratios.end()),
      *std::max_element(ratios.begin(), ratios.end()), programs.sidecar.median_us - programs.floor.median_us,
      programs.sidecar.p99_us - programs.floor.p99_us);
}

}  // namespace

double Compare(const ComparisonPlan& plan, MeasuredPrograms& programs, const LoadDriver& drive) {
  WarmUp(plan, programs, drive);
  MeasureCpu(plan, programs, drive);
  MeasureLatency(plan, programs, drive);
  const std::vector<double> ratios = RatiosByRound(programs);
  Print(plan, programs, ratios);
  return Percentile(ratios, 0.5);
}

}  // namespace mothrack::bench
