// A simulated page server: cores that work through a bounded queue, slower under overload, with a slow start
// and occasional pauses. Scenario::queue_per_core bounds the queue.
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
    double work = 0;  // milliseconds of a core of speed 1
    std::function<void()> begun;
    std::function<void(End)> ended;
  };

  Server(Simulator& sim, const Scenario& scenario, Random random, double speed);

  // False: rejected without effect, as it is full or drains.
  bool Take(Job job);
  // The caller does not wait any more: a call that has not begun never will; one that has goes on.
  void Cancel(std::uint64_t id);
  // Its process ends; all calls that it has are reset.
  void Kill();
  // It starts again, at the begin of its slow start.
  void Boot();
  void Drain() { draining_ = true; }

  bool up() const { return up_; }
  bool draining() const { return draining_; }
  double slow_start_factor() const;
  // Milliseconds of work a millisecond: when warm and left alone, and what it could do now.
  double capacity() const { return scenario_.cores * speed_; }
  double available_capacity() const { return up_ && !draining_ ? capacity() * slow_start_factor() / slowed_ : 0; }
  std::size_t in_flight() const { return queue_.size() + running_.size(); }

  // Faults: calls take `times` as long; a share of them, 0 to 1, ends with an error.
  void Slow(double times) { slowed_ = times; }
  void Fail(double share) { failing_ = share; }

 private:
  void Begin();

  Simulator& sim_;
  const Scenario& scenario_;
  Random random_;
  const double speed_;
  bool up_ = true;
  bool draining_ = false;
  bool ever_booted_ = false;
  runtime::TimePoint booted_{};
  double slowed_ = 1;
  double failing_ = 0;
  runtime::TimePoint pause_at_{};
  std::uint64_t incarnation_ = 0;
  std::deque<Job> queue_;
  std::unordered_map<std::uint64_t, Job> running_;
};

}  // namespace mothrack::simulation
