// The state that a SimulationRun keeps for each sidecar and client request. For the source files of
// SimulationRun only.
#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "dispatch/dispatcher.h"
#include "simulation/fault_injector.h"
#include "simulation/simulated_transport.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {

// The time at which simulated time starts. It is not zero, because the sidecar's code treats a time point of
// zero as "none".
inline constexpr runtime::Duration kEpoch = std::chrono::seconds(1000);

// A client request, over all attempts that its client makes.
struct SimulationRun::PendingClientRequest {
  std::uint64_t number = 0;
  std::size_t cls = 0;
  runtime::TimePoint requested_at;
  runtime::TimePoint until;
  double work = 0;
  int client_attempts = 0;
  int max_client_attempts = 1;
  bool impatient = false;
};

// A sidecar, over all its starts.
struct SimulationRun::Sidecar {
  std::size_t number = 0;
  std::uint64_t id = 0;  // of this start: `number` in the lower 32 bits, `starts` in the upper 32
  std::uint32_t starts = 0;
  std::size_t zone = 0;
  double rate = 0;         // client requests per second
  double rate_factor = 1;  // above 1 while a fault raises the rate
  runtime::Duration discovery_delay{};
  Random random{0};
  bool open = false;  // accepts requests from its clients
  std::unique_ptr<SimulatedTransport> transport;
  std::unique_ptr<FaultInjector> fault_injector;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  std::shared_ptr<int> incarnation;  // scheduled callbacks hold a weak reference; null while it is down
  // By the number of the client request.
  std::map<std::uint64_t, std::shared_ptr<PendingClientRequest>> pending_requests;
  balancer::Counts last_counts;     // at the last sample
  std::uint64_t last_connects = 0;  // at the last sample
};

}  // namespace mothrack::simulation
