// A simulated server: its cores work through a queue bounded by Scenario::queue_per_core. It becomes slower
// under overload, has a slow start, and pauses at random times.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "simulation/scenario.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {

// Holds references to simulator and scenario, which must outlive it.
class Server {
 public:
  enum class End { kDone, kError, kReset };
  struct Job {
    std::uint64_t id = 0;
    double work = 0;  // in milliseconds on a core of speed 1
    std::function<void()> on_started;
    std::function<void(End)> on_ended;
  };

  Server(Simulator& sim, const Scenario& scenario, Random random, double speed);

  // Queues the call. Returns false, without effect, if the server is full or draining.
  bool Accept(Job job);
  // Removes a call that has not started, because its caller no longer waits. A call that has started
  // continues.
  void Cancel(std::uint64_t id);
  // Ends the server process; all its calls are reset.
  void Kill();
  // Starts the server again; its slow start begins.
  void Boot();
  void Drain() { draining_ = true; }

  bool up() const { return up_; }
  bool draining() const { return draining_; }
  double slow_start_factor() const;
  // Capacities are in milliseconds of work per millisecond. capacity() is that without slow start and faults,
  // available_capacity() the present one.
  double capacity() const { return scenario_.cores * speed_; }
  double available_capacity() const {
    return up_ && !draining_ ? capacity() * slow_start_factor() / slowdown_ : 0;
  }
  std::size_t in_flight() const { return queue_.size() + running_.size(); }

  // Inject faults: calls take `factor` times as long; the share `rate` of them, 0 to 1, ends with an error.
  void SetSlowdown(double factor) { slowdown_ = factor; }
  void SetErrorRate(double rate) { injected_error_rate_ = rate; }

 private:
  void StartQueued();

  Simulator& sim_;
  const Scenario& scenario_;
  Random random_;
  const double speed_;
  bool up_ = true;
  bool draining_ = false;
  bool ever_booted_ = false;
  runtime::TimePoint booted_{};
  double slowdown_ = 1;
  double injected_error_rate_ = 0;
  runtime::TimePoint next_pause_{};
  std::uint64_t incarnation_ = 0;
  std::deque<Job> queue_;
  std::unordered_map<std::uint64_t, Job> running_;
};

}  // namespace mothrack::simulation
