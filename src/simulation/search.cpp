#include "simulation/search.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace mothrack::simulation {
namespace {

// Degraded service that lasts longer than this after its cause has ended, with enough capacity, is reported.
constexpr double kMaxRecoverySeconds = 12;
constexpr double kMinRunSeconds = 10;  // a shrunk run is not made shorter

double ScaleAtRandom(double value, Random& random, double min, double max) {
  return std::clamp(value * random.Between(0.6, 1.6), min, max);
}

Fault RandomFault(const Scenario& s, Random& random) {
  Fault f;
  f.kind = static_cast<FaultKind>(random.Below(13));
  f.at_s = random.Between(5, s.length_s * 0.4);
  f.len_s = random.Between(0.5, s.length_s * 0.3);
  f.part = random.Between(0.02, 0.6);
  f.size = f.kind == FaultKind::kErrors ? random.Between(0.05, 1) : random.Between(0.5, 5);
  if (f.kind == FaultKind::kFlap) f.size = random.Between(0.5, 4);
  if (f.kind == FaultKind::kBurst) f.size = random.Between(1.1, 2.5);
  f.zone = s.zones[random.Below(s.zones.size())];
  return f;
}

// Makes a scenario smaller step by step. A step is kept only if the result still shows the fault.
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
  // Runs the candidate and keeps it if it shows the fault; false if not, or if no runs are left.
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
      std::erase_if(s.faults, [&](const Fault& f) { return f.at_s > s.length_s; });
      for (Fault& f : s.faults) f.len_s = std::min(f.len_s, s.length_s);
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
  // Judged only if the run continues long enough after its faults have ended and capacity has returned.
  const double cause_end_s = std::max(recovery->covered_s, scenario.FaultsEnd());
  if (scenario.length_s - cause_end_s < kMaxRecoverySeconds + 5) return {};
  const double recovery_s =
      recovery->recovered ? recovery->recovered_s - cause_end_s : scenario.length_s - cause_end_s;
  if (recovery_s > kMaxRecoverySeconds)
    return "degraded service outlasts its cause by " + std::to_string(static_cast<int>(recovery_s)) + " s";
  return {};
}

Scenario Mutate(const Scenario& scenario, Random& random) {
  Scenario s = scenario;
  s.length_s = 70;
  s.skew = ScaleAtRandom(std::max(s.skew, 0.1), random, 0, 2);
  s.use = ScaleAtRandom(s.use, random, 0.2, 0.8);
  s.retries = ScaleAtRandom(std::max(s.retries, 0.3), random, 0, 4);
  s.backoff_ms = ScaleAtRandom(s.backoff_ms, random, 10, 500);
  s.slow_start_s = ScaleAtRandom(s.slow_start_s, random, 5, 25);
  s.slow_start_initial_share = ScaleAtRandom(s.slow_start_initial_share, random, 0.1, 0.5);
  s.pause_ms = ScaleAtRandom(std::max(s.pause_ms, 5.0), random, 0, 300);
  s.notice_to_s = std::max(s.notice_from_s, ScaleAtRandom(s.notice_to_s, random, 0.3, 6));
  s.sidecars = static_cast<std::size_t>(ScaleAtRandom(static_cast<double>(s.sidecars), random, 4, 120));
  s.servers = static_cast<std::size_t>(ScaleAtRandom(static_cast<double>(s.servers), random, 6, 40));
  if (!s.faults.empty() && random.Chance(0.3)) {
    s.faults.erase(s.faults.begin() + static_cast<std::ptrdiff_t>(random.Below(s.faults.size())));
  }
  for (Fault& f : s.faults) {
    f.at_s = ScaleAtRandom(f.at_s, random, 3, 30);
    f.len_s = ScaleAtRandom(std::max(f.len_s, 0.5), random, 0, 20);
    f.part = ScaleAtRandom(f.part, random, 0, 0.8);
  }
  while (s.faults.empty() || (s.faults.size() < 4 && random.Chance(0.5)))
    s.faults.push_back(RandomFault(s, random));
  return s;
}

Scenario ShrinkWhile(Scenario scenario, const std::function<bool(const Scenario&)>& shows_fault, int budget) {
  return Shrinker(std::move(scenario), shows_fault, budget).Shrink();
}

}  // namespace mothrack::simulation
