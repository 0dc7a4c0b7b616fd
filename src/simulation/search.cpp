#include "simulation/search.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace mothrack::simulation {
namespace {

// Degraded service is reported if it lasts longer than this after its cause has ended and the capacity covers
// the demand again.
constexpr double kMaxRecoverySeconds = 12;
constexpr double kMinRunSeconds = 10;  // a run is not shortened below this

double ScaleAtRandom(double value, Random& random, double min, double max) {
  return std::clamp(value * random.Between(0.6, 1.6), min, max);
}

Fault RandomFault(const Scenario& scenario, Random& random) {
  Fault fault;
  fault.kind = static_cast<FaultKind>(random.Below(13));
  fault.at_s = random.Between(5, scenario.length_s * 0.4);
  fault.len_s = random.Between(0.5, scenario.length_s * 0.3);
  fault.part = random.Between(0.02, 0.6);
  fault.size = fault.kind == FaultKind::kErrors ? random.Between(0.05, 1) : random.Between(0.5, 5);
  if (fault.kind == FaultKind::kFlap) fault.size = random.Between(0.5, 4);
  if (fault.kind == FaultKind::kBurst) fault.size = random.Between(1.1, 2.5);
  fault.zone = scenario.zones[random.Below(scenario.zones.size())];
  return fault;
}

// Makes a scenario smaller step by step. Keeps a step only if the result still shows the fault.
class Shrinker {
 public:
  Shrinker(Scenario scenario, const std::function<bool(const Scenario&)>& shows_fault, int budget)
      : scenario_(std::move(scenario)), shows_fault_(shows_fault), budget_(budget) {}

  Scenario Shrink() {
    bool smaller = true;
    while (smaller && budget_ > 0) {
      smaller = RemoveFaults();
      smaller = RemoveClasses() || smaller;
      smaller = ShrinkFleet() || smaller;
      smaller = ShortenRun() || smaller;
      smaller = SimplifyLoad() || smaller;
    }
    return std::move(scenario_);
  }

 private:
  // Runs the candidate and keeps it if it shows the fault. Returns false if it does not, or if no runs are
  // left.
  bool KeepIfShown(const Scenario& candidate) {
    if (budget_-- <= 0 || !shows_fault_(candidate)) return false;
    scenario_ = candidate;
    return true;
  }
  template <typename Change>
  bool KeepChange(Change change) {
    Scenario candidate = scenario_;
    change(candidate);
    return KeepIfShown(candidate);
  }
  bool RemoveFaults() {
    bool smaller = false;
    for (std::size_t i = 0; i < scenario_.faults.size();) {
      const bool kept =
          KeepChange([&](Scenario& s) { s.faults.erase(s.faults.begin() + static_cast<std::ptrdiff_t>(i)); });
      if (!kept) ++i;
      smaller = kept || smaller;
    }
    return smaller;
  }
  bool RemoveClasses() {
    bool smaller = false;
    for (std::size_t i = 0; scenario_.classes.size() > 1 && i < scenario_.classes.size();) {
      const bool kept = KeepChange(
          [&](Scenario& s) { s.classes.erase(s.classes.begin() + static_cast<std::ptrdiff_t>(i)); });
      if (!kept) ++i;
      smaller = kept || smaller;
    }
    return smaller;
  }
  bool ShrinkFleet() {
    bool smaller = false;
    if (scenario_.sidecars > 1) smaller = KeepChange([](Scenario& s) { s.sidecars /= 2; });
    if (scenario_.servers > 2) {
      smaller =
          KeepChange([](Scenario& s) { s.servers = std::max<std::size_t>(2, s.servers / 2); }) || smaller;
    }
    return smaller;
  }
  bool ShortenRun() {
    if (scenario_.length_s <= kMinRunSeconds) return false;
    return KeepChange([](Scenario& s) {
      s.length_s = std::max(kMinRunSeconds, std::floor(s.length_s / 2));
      std::erase_if(s.faults, [&](const Fault& fault) { return fault.at_s > s.length_s; });
      for (Fault& fault : s.faults) fault.len_s = std::min(fault.len_s, s.length_s);
    });
  }
  bool SimplifyLoad() {
    bool smaller = false;
    for (double Scenario::*const value : {&Scenario::wave, &Scenario::retries, &Scenario::skew}) {
      if (scenario_.*value > 0) smaller = KeepChange([&](Scenario& s) { s.*value = 0; }) || smaller;
    }
    return smaller;
  }

  Scenario scenario_;
  const std::function<bool(const Scenario&)>& shows_fault_;
  int budget_;  // runs left
};

}  // namespace

std::string FindFault(const Scenario& scenario, const RunOutcome& outcome, const Figures& figures) {
  if (!outcome.breaches.empty()) return std::string("rule ") + NameOf(outcome.breaches.front().rule);
  if (outcome.still_open > 0) return "requests without an answer";
  const auto recovery = figures.recovery();
  if (!recovery) return {};
  // Recovery is judged only if the run continues long enough after its faults have ended and the capacity has
  // returned.
  const double cause_end_s = std::max(recovery->covered_s, scenario.FaultsEnd());
  if (scenario.length_s - cause_end_s < kMaxRecoverySeconds + 5) return {};
  const double recovery_s =
      recovery->recovered ? recovery->recovered_s - cause_end_s : scenario.length_s - cause_end_s;
  if (recovery_s > kMaxRecoverySeconds)
    return "degraded service outlasts its cause by " + std::to_string(static_cast<int>(recovery_s)) + " s";
  return {};
}

Scenario Mutate(const Scenario& original, Random& random) {
  Scenario mutated = original;
  mutated.length_s = 70;
  mutated.skew = ScaleAtRandom(std::max(mutated.skew, 0.1), random, 0, 2);
  mutated.use = ScaleAtRandom(mutated.use, random, 0.2, 0.8);
  mutated.retries = ScaleAtRandom(std::max(mutated.retries, 0.3), random, 0, 4);
  mutated.backoff_ms = ScaleAtRandom(mutated.backoff_ms, random, 10, 500);
  mutated.slow_start_s = ScaleAtRandom(mutated.slow_start_s, random, 5, 25);
  mutated.slow_start_initial_share = ScaleAtRandom(mutated.slow_start_initial_share, random, 0.1, 0.5);
  mutated.pause_ms = ScaleAtRandom(std::max(mutated.pause_ms, 5.0), random, 0, 300);
  mutated.notice_to_s = std::max(mutated.notice_from_s, ScaleAtRandom(mutated.notice_to_s, random, 0.3, 6));
  mutated.sidecars =
      static_cast<std::size_t>(ScaleAtRandom(static_cast<double>(mutated.sidecars), random, 4, 120));
  mutated.servers =
      static_cast<std::size_t>(ScaleAtRandom(static_cast<double>(mutated.servers), random, 6, 40));
  if (!mutated.faults.empty() && random.Chance(0.3)) {
    mutated.faults.erase(mutated.faults.begin() +
                         static_cast<std::ptrdiff_t>(random.Below(mutated.faults.size())));
  }
  for (Fault& fault : mutated.faults) {
    fault.at_s = ScaleAtRandom(fault.at_s, random, 3, 30);
    fault.len_s = ScaleAtRandom(std::max(fault.len_s, 0.5), random, 0, 20);
    fault.part = ScaleAtRandom(fault.part, random, 0, 0.8);
  }
  while (mutated.faults.empty() || (mutated.faults.size() < 4 && random.Chance(0.5)))
    mutated.faults.push_back(RandomFault(mutated, random));
  return mutated;
}

Scenario ShrinkWhile(Scenario scenario, const std::function<bool(const Scenario&)>& shows_fault, int budget) {
  return Shrinker(std::move(scenario), shows_fault, budget).Shrink();
}

}  // namespace mothrack::simulation
