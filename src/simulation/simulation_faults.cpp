// The faults of a SimulationRun: the effect of each kind, and how the effect ends.
#include <algorithm>
#include <cmath>
#include <numeric>

#include "simulation/simulation_run_state.h"

namespace mothrack::simulation {
namespace {

using balancer::UpstreamState;

// The time until discovery lists servers that stopped without notice as gone.
constexpr runtime::Duration kLossDetectionTime = std::chrono::seconds(5);
// The time from listing a server as draining until its replacement has started.
constexpr runtime::Duration kReplacementDelay = std::chrono::seconds(1);

}  // namespace

std::vector<std::size_t> SimulationRun::ChooseIndices(std::size_t count, double part) {
  std::vector<std::size_t> all(count);
  std::iota(all.begin(), all.end(), std::size_t{0});
  for (std::size_t i = count; i > 1; --i) std::swap(all[i - 1], all[random_.Below(i)]);
  all.resize(static_cast<std::size_t>(std::llround(part * static_cast<double>(count))));
  return all;
}

void SimulationRun::ScheduleFault(const Fault& fault) {
  const auto at = runtime::TimePoint(kEpoch) + SecondsOf(fault.at_s);
  sim_.At(at, [this, &fault] { BeginFault(fault); });
}

std::vector<std::size_t> SimulationRun::ServingServers() const {
  std::vector<std::size_t> serving;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].state == UpstreamState::kServing) serving.push_back(i);
  }
  return serving;
}

std::vector<std::size_t> SimulationRun::ChooseServers(double part) {
  const std::vector<std::size_t> serving = ServingServers();
  std::vector<std::size_t> chosen;
  for (const std::size_t i : ChooseIndices(serving.size(), part)) chosen.push_back(serving[i]);
  return chosen;
}

void SimulationRun::BeginFault(const Fault& fault) {
  const runtime::Duration length = SecondsOf(fault.len_s);
  const auto at_end = [this, length](auto action) { sim_.After(length, action); };
  switch (fault.kind) {
    case FaultKind::kCutZone: {
      const std::size_t zone = ZoneOf(fault);
      zone_cut_off_[zone] = true;
      return at_end([this, zone] { zone_cut_off_[zone] = false; });
    }
    case FaultKind::kLoseZone:
      return LoseZone(ZoneOf(fault), length);
    case FaultKind::kUnresponsive:
    case FaultKind::kSlow:
    case FaultKind::kErrors:
      return ImpairServers(fault);
    case FaultKind::kFlap:
      for (const std::size_t i : ChooseServers(fault.part)) Flap(i, fault.size, sim_.now() + length);
      return;
    case FaultKind::kReplace:
      return ReplaceServers(fault);
    case FaultKind::kKill:
      for (const std::size_t i : ChooseIndices(sidecars_.size(), fault.part)) KillAndRestart(*sidecars_[i]);
      return;
    case FaultKind::kRestart:
      return RestartSidecars(fault);
    case FaultKind::kBurst:
      burst_factor_ *= fault.size;
      return at_end([this, &fault] { burst_factor_ /= fault.size; });
    case FaultKind::kHotSidecars:
      return RaiseRates(fault);
    case FaultKind::kStale:
      stale_ = true;
      return at_end([this] { stale_ = false; });
    case FaultKind::kImpatient:
      impatient_share_ = fault.part;
      return at_end([this] { impatient_share_ = 0; });
  }
}

std::size_t SimulationRun::ZoneOf(const Fault& fault) const {
  return static_cast<std::size_t>(std::find(scenario_.zones.begin(), scenario_.zones.end(), fault.zone) -
                                  scenario_.zones.begin());
}

void SimulationRun::LoseZone(std::size_t zone, runtime::Duration length) {
  zone_lost_[zone] = true;
  std::vector<std::size_t> removed;
  for (const std::size_t i : ServingServers()) {
    if (machines_[i].zone == zone) removed.push_back(i);
  }
  sim_.After(kLossDetectionTime, [this, zone, removed] {
    if (!zone_lost_[zone]) return;
    for (const std::size_t i : removed) {
      machines_[i].state = UpstreamState::kGone;
      NotifySidecars(i);
    }
  });
  sim_.After(length, [this, zone, removed] {
    zone_lost_[zone] = false;
    for (const std::size_t i : removed) {
      KillServer(i);
      BootServer(i);
    }
  });
}

void SimulationRun::ImpairServers(const Fault& fault) {
  for (const std::size_t i : ChooseServers(fault.part)) {
    SetImpaired(i, fault, true);
    sim_.After(SecondsOf(fault.len_s), [this, i, &fault] { SetImpaired(i, fault, false); });
  }
}

void SimulationRun::SetImpaired(std::size_t server, const Fault& fault, bool impaired) {
  Machine& machine = machines_[server];
  if (fault.kind == FaultKind::kUnresponsive) machine.unresponsive = impaired;
  if (fault.kind == FaultKind::kSlow) machine.server->SetSlowdown(impaired ? std::max(1.0, fault.size) : 1);
  if (fault.kind == FaultKind::kErrors)
    machine.server->SetErrorRate(impaired ? std::min(1.0, fault.size) : 0);
}

void SimulationRun::ReplaceServers(const Fault& fault) {
  const std::vector<std::size_t> chosen = ChooseServers(fault.part);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const double position =
        static_cast<double>(i) / static_cast<double>(std::max<std::size_t>(1, chosen.size()));
    sim_.After(SecondsOf(fault.len_s * position), [this, server = chosen[i]] { ReplaceServer(server); });
  }
}

void SimulationRun::ReplaceServer(std::size_t server) {
  machines_[server].state = UpstreamState::kDraining;
  NotifySidecars(server);
  sim_.After(kReplacementDelay,
             [this, server] { BootServer(AddServer(machines_[server].zone, machines_[server].speed)); });
  sim_.After(SecondsOf(scenario_.drain_s), [this, server] {
    machines_[server].state = UpstreamState::kGone;
    KillServer(server);
    NotifySidecars(server);
  });
}

void SimulationRun::RestartSidecars(const Fault& fault) {
  for (const auto& sidecar : sidecars_) {
    const double position = static_cast<double>(sidecar->number) / static_cast<double>(sidecars_.size());
    sim_.After(SecondsOf(fault.len_s * position), [this, &sidecar = *sidecar] { PlannedRestart(sidecar); });
  }
}

void SimulationRun::RaiseRates(const Fault& fault) {
  for (const std::size_t i : ChooseIndices(sidecars_.size(), fault.part)) {
    sidecars_[i]->rate_factor *= fault.size;
    sim_.After(SecondsOf(fault.len_s), [this, i, &fault] { sidecars_[i]->rate_factor /= fault.size; });
  }
}

void SimulationRun::Flap(std::size_t server, double down_s, runtime::TimePoint end) {
  if (sim_.now() >= end) return;
  KillServer(server);
  sim_.After(SecondsOf(down_s), [this, server] { BootServer(server); });
  sim_.After(SecondsOf(2 * down_s), [this, server, down_s, end] { Flap(server, down_s, end); });
}

}  // namespace mothrack::simulation
