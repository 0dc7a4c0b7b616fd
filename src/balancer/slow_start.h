// Slow start: the ramp of an upstream that has just started, and the budget of attempts that enforces it.
//
// Guards new processes, which have little capacity at first, against the sum of what all sidecars send. The
// round robin already reduces their weight; the budget still holds when requests shift to them from
// upstreams that fail. See docs/design/slow_start.md.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// Safety margin: the budget is this share of the load that would overload an upstream in slow start. That
// load is estimated from what its peers carry, which may be 1.3 times their capacity, and attempts arrive in
// bursts. On the other hand, the ramp is only the guaranteed minimum of its capacity.
inline constexpr double kSlowStartSafety = 0.75;
// Share of the budget for sidecars that do not have the upstream in their subset, which send it the requests
// that their own subset could not serve. The rest is for the sidecars that have it in their subset.
inline constexpr double kOutsideSubsetShare = 0.25;

// The budget of one upstream.
struct SlowStartRecord {
  double budget = 0;   // attempts that may still be sent
  TimePoint refilled;  // when it was last refilled
};

// The properties of an upstream on which its budget depends.
struct SlowStartUpstream {
  double factor = 1;  // SlowStart::Factor()
  double weight = 1;  // listed
  bool in_subset = false;
  double subset_share = 0;  // the subset's share of the listed weight; 0 if unknown
};

// The requests since the last tick, and the state of the fleet.
struct SlowStartTick {
  std::uint64_t arrivals = 0;
  std::uint64_t served = 0;
  Duration age{};                             // since this sidecar's start
  double healthy_past_slow_start_weight = 0;  // at the last tick: of healthy upstreams past slow start
  double serving_weight = 0;                  // at the last tick: of all serving upstreams
  double listed_weight = 0;                   // now: of all serving upstreams
};

class SlowStart {
 public:
  explicit SlowStart(const Rules& rules) : rules_(rules) {}

  // The guaranteed minimum share of its capacity that an upstream has by now: linear from the initial share
  // to 1.
  double Factor(const std::optional<TimePoint>& started, TimePoint now) const {
    if (!started) return 1;
    const double age = Seconds(now - *started) / Seconds(rules_.slow_start_duration);
    const double from = rules_.slow_start_initial_share;
    return std::clamp(from + (1 - from) * age, from, 1.0);
  }

  // Refills the budget up to `now` and returns whether it allows one more attempt.
  bool HasBudget(SlowStartRecord& record, const SlowStartUpstream& upstream, TimePoint now) const {
    return upstream.factor >= 1 || Refill(record, upstream, now) >= 1;
  }
  static void Spend(SlowStartRecord& record) { record.budget -= 1; }
  // A new process was announced. All sidecars learn of it at the same time and must not all send to it at
  // once, so each starts with a random debt (`uniform`, from [0, 1)). The debt is bounded by the rate, so
  // that the sidecars together use the upstream from the first second on.
  void RecordEntry(SlowStartRecord& record, const SlowStartUpstream& upstream, double uniform,
                   TimePoint now) const;
  void RecordTick(const SlowStartTick& tick);

  // The factor by which slowly decaying values are multiplied at each tick. They halve in somewhat more than
  // the slow start duration.
  double DecayFactorPerTick() const;
  // Time constant of the usual request rate, in seconds.
  double RateMemorySeconds() const { return Seconds(rules_.slow_start_duration) / 2; }

 private:
  double Refill(SlowStartRecord& record, const SlowStartUpstream& upstream, TimePoint now) const;
  double RefillRate(const SlowStartUpstream& upstream) const;
  double ShareOfRequests(const SlowStartUpstream& upstream) const;

  const Rules& rules_;
  double requests_per_s_ = 0;            // requests per second, averaged from zero
  double served_per_s_ = 0;              // served answers per second, likewise
  double most_served_per_s_ = 0;         // maximum of served_per_s_, slowly decaying
  double usual_weight_ = 0;              // maximum of the listed weight, slowly decaying
  bool enough_past_slow_start_ = false;  // half of the upstreams were past slow start for long enough
};

}  // namespace mothrack::balancer
