// Light traffic through many sidecars, as their applications send it: one client thread for each sidecar,
// which reuses its connection while that stays open. The outcome of every request is recorded, to be compared
// with what ran at the upstreams.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/peers.h"

namespace mothrack::testing {

// Counts how often each unsafe request ran at the upstreams.
class RunCounter {
 public:
  // A handler that answers 200 and counts each POST by its body.
  Upstream::Handler Handler();
  void CountRun(const std::string& id);
  std::map<std::string, int> all() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;  // by the body, which is the request's id
};

class Traffic {
 public:
  enum class Outcome {
    kServed,
    kRefused,        // 503
    kFailed,         // another status
    kNotAccepted,    // no connection was established: the sidecar is down
    kIdleCloseRace,  // written to a reused connection that the sidecar closed meanwhile
    kLost,           // sent on a new connection and never answered
  };

  // A request that has ended, with any outcome: the number of its client's sidecar, its index among that
  // client's requests, and its times. `connected`: when its connection was established; `begin` if the
  // connection was reused or never established.
  struct CompletedRequest {
    std::size_t number = 0;
    int index = 0;
    std::string id;
    bool unsafe = false;
    Outcome outcome{};
    std::chrono::steady_clock::time_point begin, connected, end;
  };

  // Starts at once. `every`: the pause between the requests of a client. `on_completed` is called by the
  // clients' threads. `requests_on_a_connection`: a client closes its connection after this many requests; 0:
  // never.
  Traffic(const std::vector<std::uint16_t>& ports, std::chrono::milliseconds every,
          std::function<void(const CompletedRequest&)> on_completed = {}, int requests_on_a_connection = 0);
  ~Traffic();
  // Ends the traffic. Returns the outcomes of the unsafe requests by their ids.
  std::map<std::string, Outcome> Stop();
  // The number of requests with this outcome, safe ones included.
  std::size_t count(Outcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }

 private:
  void Send(std::size_t number, std::uint16_t port, std::chrono::milliseconds every);

  const std::function<void(const CompletedRequest&)> on_completed_;
  const int requests_on_a_connection_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> counts_[6]{};
  std::mutex mutex_;
  std::map<std::string, Outcome> unsafe_;
  std::vector<std::thread> threads_;
};

}  // namespace mothrack::testing
