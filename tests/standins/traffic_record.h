// Records what clients, upstreams and sidecars of a test cluster report, and finds the violations of the
// rules: a lost request, an effect that happened twice, a request sent to a draining upstream. Reports come
// from several threads in any order; they are checked once, when the traffic has ended.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "simulation/simulation_event.h"
#include "standins/traffic.h"

namespace mothrack::testing {

class TrafficRecord {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // How long a client of the cluster waits for its answer.
  static constexpr std::chrono::milliseconds kRequestTimeout{5000};

  // Called by the clients' threads when a request has ended.
  void RequestCompleted(const Traffic::CompletedRequest& request);
  // Called by the upstreams' threads when the request with this id, as Traffic forms it, runs at an upstream.
  // Other ids are ignored.
  void RequestStarted(std::size_t upstream, std::string_view id, TimePoint at);
  // The process of a sidecar has ended: all that it sent, it sent before `at`.
  void SidecarKilled(std::size_t sidecar, TimePoint at);
  // Discovery notifies a sidecar of all upstreams. `draining`: for each upstream, whether it drains.
  void SidecarNotified(std::size_t sidecar, const std::vector<bool>& draining, TimePoint at);
  // An upstream is in slow start from `at`, and handles this many requests a second after it.
  void UpstreamRestarted(std::size_t upstream, double requests_per_second, TimePoint at);

  // Returns all violations, one line each. `unsafe`: how the unsafe requests ended for their clients; `runs`:
  // how often each of them ran; `drain`: how long after the notice that it drains an upstream may still get
  // requests. Must be called after the traffic has ended.
  std::vector<std::string> Violations(const std::map<std::string, Traffic::Outcome>& unsafe,
                                      const std::map<std::string, int>& runs,
                                      std::chrono::milliseconds drain) const;

 private:
  bool KilledMeanwhile(const Traffic::CompletedRequest& request) const;
  TimePoint AnsweredAt(const Traffic::CompletedRequest& request) const;
  std::vector<simulation::SimulationEvent> EventsInOrder() const;
  void AddLostRequests(std::vector<std::string>& violations) const;
  void AddWrongRuns(const std::map<std::string, Traffic::Outcome>& unsafe,
                    const std::map<std::string, int>& runs, std::vector<std::string>& violations) const;
  void AddBreaches(std::chrono::milliseconds drain, std::vector<std::string>& violations) const;

  mutable std::mutex mutex_;
  std::vector<simulation::SimulationEvent> events_;  // of upstreams and sidecars
  std::vector<Traffic::CompletedRequest> completed_;
  std::map<std::size_t, std::vector<TimePoint>> kills_;  // by sidecar, in order of time
};

}  // namespace mothrack::testing
