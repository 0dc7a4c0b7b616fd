// What a SimulationRun keeps of a sidecar and of a client's request; for simulation_run*.cpp only.
#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "dispatch/dispatcher.h"
#include "simulation/fault_injector.h"
#include "simulation/simulated_transport.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {

// Simulated time begins here: a time point of zero means "none" to the program.
inline constexpr runtime::Duration kEpoch = std::chrono::seconds(1000);

// A client's request, over all of its attempts.
struct SimulationRun::PendingClientRequest {
  std::uint64_t client_request = 0;
  std::size_t cls = 0;
  runtime::TimePoint requested_at;
  runtime::TimePoint until;
  double work = 0;
  int client_attempts = 0;
  int max_client_attempts = 1;
  bool impatient = false;
};

// A sidecar over all of its starts.
struct SimulationRun::Sidecar {
  std::size_t number = 0;
  std::uint64_t id = 0;  // of this start: number, and how often it was started above 32 bits
  std::uint32_t starts = 0;
  std::size_t zone = 0;
  double rate = 0;   // client requests a second
  double times = 1;  // of its usual rate, while a fault raises it
  runtime::Duration notice{};
  Random random{0};
  bool open = false;  // its application sends requests
  std::unique_ptr<SimulatedTransport> transport;
  std::unique_ptr<FaultInjector> fault_injector;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  std::shared_ptr<int> incarnation;
  std::map<std::uint64_t, std::shared_ptr<PendingClientRequest>> pending_requests;  // by client request
  balancer::Counts last_counts;                                                     // at the last second
  std::uint64_t connects = 0;
};

}  // namespace mothrack::simulation
