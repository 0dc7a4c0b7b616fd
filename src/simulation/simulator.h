// Simulated time: events run in the order of their times, and in the order of scheduling at equal times. The
// machine's clock is not read, so the same seed gives the same order. Not thread-safe.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "runtime/timer_queue.h"

namespace mothrack::simulation {

inline runtime::Duration Milliseconds(double ms) {
  return runtime::Duration(static_cast<runtime::Duration::rep>(std::llround(ms * 1000)));
}
inline runtime::Duration SecondsOf(double seconds) { return Milliseconds(seconds * 1000); }
inline double InSeconds(runtime::Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
inline double InSeconds(runtime::TimePoint time) { return InSeconds(time.time_since_epoch()); }
inline double InMilliseconds(runtime::Duration duration) {
  return static_cast<double>(duration.count()) / 1e3;
}

// Random numbers from a seed. They are the same with every standard library, unlike the distributions of
// <random>.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) { Next(); }
  // Returns an independent generator for another purpose: draws from one do not change the numbers of the
  // other.
  Random Fork() { return Random(Next()); }
  std::uint64_t Next() {  // SplitMix64
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1p-53; }
  double Between(double low, double high) { return low + (high - low) * Uniform(); }
  bool Chance(double probability) { return Uniform() < probability; }
  std::size_t Below(std::size_t n) { return static_cast<std::size_t>(Uniform() * static_cast<double>(n)); }
  double Exponential(double mean) { return -mean * std::log(1 - Uniform()); }
  // Draws from a log-normal distribution with mean 1 and the coefficient of variation `variation`.
  double LogNormal(double variation) {
    if (variation <= 0) return 1;
    const double log_variance = std::log(1 + variation * variation);
    // One draw a statement: the order in which operands are evaluated differs between compilers.
    const double radius = std::sqrt(-2 * std::log(1 - Uniform()));
    const double normal = radius * std::cos(6.283185307179586 * Uniform());
    return std::exp(std::sqrt(log_variance) * normal - log_variance / 2);
  }

 private:
  std::uint64_t state_;
};

// The event queue. It is unbounded: a run holds as many events as its calls and timers need.
class Simulator {
 public:
  using Action = std::function<void()>;

  runtime::TimePoint now() const { return now_; }
  std::uint64_t events() const { return events_; }

  void At(runtime::TimePoint at, Action action) {
    heap_.push_back({std::max(at, now_), ++last_sequence_, std::move(action)});
    std::push_heap(heap_.begin(), heap_.end(), Later);
  }
  void After(runtime::Duration wait, Action action) { At(now_ + wait, std::move(action)); }

  // Runs all events due until `end`, including those that they schedule. now() is `end` afterwards.
  void RunUntil(runtime::TimePoint end) {
    while (!heap_.empty() && heap_.front().at <= end) {
      std::pop_heap(heap_.begin(), heap_.end(), Later);
      Event next = std::move(heap_.back());
      heap_.pop_back();
      now_ = next.at;
      ++events_;
      next.action();
    }
    now_ = end;
  }

 private:
  struct Event {
    runtime::TimePoint at;
    std::uint64_t sequence;  // order of scheduling
    Action action;
  };
  static bool Later(const Event& a, const Event& b) {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
  }

  std::vector<Event> heap_;
  runtime::TimePoint now_{};
  std::uint64_t last_sequence_ = 0;
  std::uint64_t events_ = 0;  // run so far
};

// The timer of a dispatcher in simulated time.
class SimulatedTimer : public runtime::Timer {
 public:
  explicit SimulatedTimer(Simulator& sim) : sim_(sim) {}
  runtime::TimePoint Now() const override { return sim_.now(); }
  void Set(runtime::TimePoint at, std::function<void()> due) override {
    *latest_ += 1;
    sim_.At(at, [due = std::move(due), number = *latest_, latest = std::weak_ptr<std::uint64_t>(latest_)] {
      const auto current = latest.lock();
      if (current && *current == number) due();
    });
  }

 private:
  Simulator& sim_;
  // The number of the latest Set(). Scheduled events hold a weak reference to it: an event calls its function
  // only if the timer still exists and no later Set() has replaced the event.
  std::shared_ptr<std::uint64_t> latest_ = std::make_shared<std::uint64_t>(0);
};

}  // namespace mothrack::simulation
