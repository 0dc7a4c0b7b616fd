#include "simulation/figures.h"

#include <algorithm>
#include <cmath>

#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 1e5;
constexpr double kBinWidth = 1.05;
// Service counts as recovered after kRecoveredSeconds seconds in a row in which the shares of client requests
// that were not served and that were late are below these.
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

double Quantile(const LatencyHistogram& times, double q) {
  double sum = 0;
  for (const auto& bin : boost::histogram::indexed(times, boost::histogram::coverage::all)) sum += *bin;
  if (sum <= 0) return 0;
  double counted = 0;
  for (const auto& bin : boost::histogram::indexed(times, boost::histogram::coverage::all)) {
    counted += *bin;
    if (counted < q * sum) continue;
    const double low = std::max(bin.bin().lower(), kMinMs);
    const double high = std::min(bin.bin().upper(), kMaxMs);
    return std::sqrt(low * high);
  }
  return kMaxMs;
}

Figures::Figures(const Scenario& scenario)
    : scenario_(scenario),
      seconds_(static_cast<std::size_t>(std::ceil(scenario.length_s))),
      all_(NewLatencyHistogram()) {
  for (std::size_t i = 0; i < seconds_.size(); ++i) times_.push_back(NewLatencyHistogram());
}

Second& Figures::At(double s) {
  const auto i = static_cast<std::size_t>(std::max(0.0, s));
  return seconds_[std::min(i, seconds_.size() - 1)];
}

void Figures::Record(const SimulationEvent& event) {
  const double s = InSeconds(event.at);
  switch (event.kind) {
    case SimulationEvent::Kind::kRequested:
      ++At(s).requested;
      At(s).priority_weight += scenario_.classes[event.cls].priority_weight;
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
        times_[std::min(static_cast<std::size_t>(began), times_.size() - 1)](ms);
        all_(ms);
      } else {
        ++(event.request_outcome == RequestOutcome::kRefused ? second.refused : second.failed);
      }
      requested_.erase(it);
      break;
    }
    case SimulationEvent::Kind::kAccepted:
      ++At(s).client_attempts;
      break;
    case SimulationEvent::Kind::kAnswered:
      if (event.request_outcome == RequestOutcome::kRefused) ++At(s).rejected_client_attempts;
      break;
    case SimulationEvent::Kind::kAttemptSent:
      ++At(s).attempts;
      break;
    default:
      break;
  }
}

void Figures::Finish() {
  for (std::size_t i = 0; i < seconds_.size(); ++i) {
    seconds_[i].p50 = Quantile(times_[i], 0.5);
    seconds_[i].p95 = Quantile(times_[i], 0.95);
    seconds_[i].p99 = Quantile(times_[i], 0.99);
  }
}

Second Figures::Sum() const {
  Second sum;
  for (const Second& s : seconds_) {
    sum.requested += s.requested;
    sum.good += s.good;
    sum.late += s.late;
    sum.refused += s.refused;
    sum.failed += s.failed;
    sum.priority_weight += s.priority_weight;
    sum.served_priority_weight += s.served_priority_weight;
    sum.client_attempts += s.client_attempts;
    sum.rejected_client_attempts += s.rejected_client_attempts;
    sum.attempts += s.attempts;
    sum.connects += s.connects;
    sum.overload += s.overload;
    sum.no_upstream += s.no_upstream;
    sum.given_up += s.given_up;
    sum.retries += s.retries;
    sum.hedges += s.hedges;
    sum.half_open_probes += s.half_open_probes;
    sum.ejected += s.ejected;
    sum.returned += s.returned;
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
  for (const Fault& f : scenario_.faults) begin = std::min(begin, f.at_s);
  const auto from = static_cast<std::size_t>(begin);
  // The second after the last one with too little capacity; the start of the first fault if there always was
  // enough.
  std::size_t covered = from;
  for (std::size_t i = from; i < seconds_.size(); ++i) {
    if (seconds_[i].available_capacity < seconds_[i].demand) covered = i + 1;
  }
  const auto not_served = [](const Second& s) { return static_cast<double>(s.refused + s.failed); };
  const auto healthy = [&](const Second& s) {
    const auto requested = static_cast<double>(std::max<std::uint64_t>(1, s.requested));
    return not_served(s) < kMaxNotServedShare * requested &&
           static_cast<double>(s.late) < kMaxLateShare * requested;
  };
  Recovery recovery;
  recovery.covered_s = static_cast<double>(covered);
  double needless = 0;
  double requested = 0;
  for (const Second& s : seconds_) {
    requested += static_cast<double>(s.requested);
    if (s.available_capacity >= kCapacityMargin * s.demand) needless += not_served(s);
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
