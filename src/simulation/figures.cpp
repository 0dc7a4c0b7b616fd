#include "simulation/figures.h"

#include <algorithm>
#include <cmath>

#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 1e5;
constexpr double kBinWidth = 1.05;  // ratio of the edges of a bin
// Service counts as recovered after kRecoveredSeconds seconds in a row in which the share of client requests
// that were not served and the share that were late are below these limits.
constexpr double kMaxNotServedShare = 0.02;
constexpr double kMaxLateShare = 0.05;
constexpr std::size_t kRecoveredSeconds = 3;
// Capacity counts as sufficient if it is at least this multiple of the demand.
constexpr double kCapacityMargin = 1.1;

}  // namespace

LatencyHistogram NewLatencyHistogram() {
  const auto bins = static_cast<unsigned>(std::ceil(std::log(kMaxMs / kMinMs) / std::log(kBinWidth)));
  return boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(bins, kMinMs, kMaxMs));
}

double Quantile(const LatencyHistogram& latencies, double level) {
  double sum = 0;
  for (const auto& bin : boost::histogram::indexed(latencies, boost::histogram::coverage::all)) sum += *bin;
  if (sum <= 0) return 0;
  double counted = 0;
  for (const auto& bin : boost::histogram::indexed(latencies, boost::histogram::coverage::all)) {
    counted += *bin;
    if (counted < level * sum) continue;
    const double low = std::max(bin.bin().lower(), kMinMs);
    const double high = std::min(bin.bin().upper(), kMaxMs);
    return std::sqrt(low * high);
  }
  return kMaxMs;
}

Figures::Figures(const Scenario& scenario)
    : scenario_(scenario),
      seconds_(static_cast<std::size_t>(std::ceil(scenario.length_s))),
      all_latencies_(NewLatencyHistogram()) {
  for (std::size_t i = 0; i < seconds_.size(); ++i) latencies_.push_back(NewLatencyHistogram());
}

Second& Figures::At(double time_s) {
  const auto i = static_cast<std::size_t>(std::max(0.0, time_s));
  return seconds_[std::min(i, seconds_.size() - 1)];
}

void Figures::Record(const SimulationEvent& event) {
  const double at_s = InSeconds(event.at);
  switch (event.kind) {
    case SimulationEvent::Kind::kRequested:
      ++At(at_s).requested;
      At(at_s).priority_weight += scenario_.classes[event.cls].priority_weight;
      requested_[event.request] = {event.at, event.cls};
      break;
    case SimulationEvent::Kind::kResolved: {
      const auto it = requested_.find(event.request);
      if (it == requested_.end()) break;
      const double began = InSeconds(it->second.at);
      Second& second = At(began);
      if (event.request_outcome == RequestOutcome::kServed) {
        const double ms = InMilliseconds(event.at - it->second.at);
        ++(event.late ? second.late : second.good);
        if (!event.late) second.served_priority_weight += scenario_.classes[it->second.cls].priority_weight;
        latencies_[std::min(static_cast<std::size_t>(began), latencies_.size() - 1)](ms);
        all_latencies_(ms);
      } else {
        ++(event.request_outcome == RequestOutcome::kRefused ? second.refused : second.failed);
      }
      requested_.erase(it);
      break;
    }
    case SimulationEvent::Kind::kAccepted:
      ++At(at_s).client_attempts;
      break;
    case SimulationEvent::Kind::kAnswered:
      if (event.request_outcome == RequestOutcome::kRefused) ++At(at_s).rejected_client_attempts;
      break;
    case SimulationEvent::Kind::kAttemptSent:
      ++At(at_s).attempts;
      break;
    default:
      break;
  }
}

void Figures::Finish() {
  for (std::size_t i = 0; i < seconds_.size(); ++i) {
    seconds_[i].p50 = Quantile(latencies_[i], 0.5);
    seconds_[i].p95 = Quantile(latencies_[i], 0.95);
    seconds_[i].p99 = Quantile(latencies_[i], 0.99);
  }
}

Second Figures::Sum() const {
  Second sum;
  for (const Second& second : seconds_) {
    sum.requested += second.requested;
    sum.good += second.good;
    sum.late += second.late;
    sum.refused += second.refused;
    sum.failed += second.failed;
    sum.priority_weight += second.priority_weight;
    sum.served_priority_weight += second.served_priority_weight;
    sum.client_attempts += second.client_attempts;
    sum.rejected_client_attempts += second.rejected_client_attempts;
    sum.attempts += second.attempts;
    sum.connects += second.connects;
    sum.overload += second.overload;
    sum.no_upstream += second.no_upstream;
    sum.given_up += second.given_up;
    sum.retries += second.retries;
    sum.hedges += second.hedges;
    sum.half_open_probes += second.half_open_probes;
    sum.ejected += second.ejected;
    sum.returned += second.returned;
  }
  return sum;
}

double Figures::served_share() const {
  const Second sum = Sum();
  return sum.requested == 0 ? 1
                            : static_cast<double>(sum.good + sum.late) / static_cast<double>(sum.requested);
}

double Figures::gained_share() const {
  const Second sum = Sum();
  return sum.priority_weight <= 0 ? 1 : sum.served_priority_weight / sum.priority_weight;
}

std::optional<Recovery> Figures::recovery() const {
  if (scenario_.faults.empty()) return std::nullopt;
  double begin = scenario_.length_s;
  for (const Fault& fault : scenario_.faults) begin = std::min(begin, fault.at_s);
  const auto from = static_cast<std::size_t>(begin);
  // The second after the last one with too little capacity, or the start of the first fault if the capacity
  // always sufficed.
  std::size_t covered = from;
  for (std::size_t i = from; i < seconds_.size(); ++i) {
    if (seconds_[i].available_capacity < seconds_[i].demand) covered = i + 1;
  }
  const auto not_served = [](const Second& second) {
    return static_cast<double>(second.refused + second.failed);
  };
  const auto healthy = [&](const Second& second) {
    const auto requested = static_cast<double>(std::max<std::uint64_t>(1, second.requested));
    return not_served(second) < kMaxNotServedShare * requested &&
           static_cast<double>(second.late) < kMaxLateShare * requested;
  };
  Recovery recovery;
  recovery.covered_s = static_cast<double>(covered);
  double needless = 0;
  double requested = 0;
  for (const Second& second : seconds_) {
    requested += static_cast<double>(second.requested);
    if (second.available_capacity >= kCapacityMargin * second.demand) needless += not_served(second);
  }
  recovery.needless = requested > 0 ? needless / requested : 0;
  for (std::size_t i = covered; i + kRecoveredSeconds <= seconds_.size(); ++i) {
    const auto begin_at = seconds_.begin() + static_cast<std::ptrdiff_t>(i);
    if (!std::all_of(begin_at, begin_at + static_cast<std::ptrdiff_t>(kRecoveredSeconds), healthy)) continue;
    recovery.recovered = true;
    recovery.recovered_s = static_cast<double>(i);
    recovery.took_s = recovery.recovered_s - recovery.covered_s;
    break;
  }
  if (!recovery.recovered) recovery.took_s = scenario_.length_s - recovery.covered_s;
  return recovery;
}

}  // namespace mothrack::simulation
