// Slow start: the ramp of an upstream that has just started, and the budget of attempts that keeps to it.
//
// Guards fresh processes, which can do little at first, against what the whole fleet would send them. The
// round robin already gives them less; the budget holds when others fail and their requests move on.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// An upstream in slow start gets at most this share of what would overload it, going by the load that its
// peers bear: they may bear 1.3 times what they can. Chance bunches attempts, but what is gone by is the
// least it can do.
inline constexpr double kSlowStartSafety = 0.75;
// Of the budget, what a sidecar may spend that does not have the upstream in its subset: requests that others
// of its subset fail are pushed on to it. The rest is for those that have it there.
inline constexpr double kOutsideSubsetShare = 0.25;

// The budget of one upstream.
struct SlowStartRecord {
  double budget = 0;  // attempts that it may still be sent
  TimePoint refilled;
};

// What the budget's size rests on.
struct SlowStartUpstream {
  double factor = 1;  // SlowStart::Factor()
  double weight = 1;  // listed
  bool in_subset = false;
  double subset_share = 0;  // of the listed weight, the subset's; 0 where it is not known
};

// What came since the last tick, and the fleet as it was then.
struct SlowStartTick {
  std::uint64_t arrivals = 0;
  std::uint64_t served = 0;
  Duration age{};             // since this sidecar's start
  double warm_weight = 0;     // of upstreams in good standing that are past slow start
  double serving_weight = 0;  // of all that serve, then
  double listed_weight = 0;   // of all that serve, now
};

class SlowStart {
 public:
  explicit SlowStart(const Rules& rules) : rules_(rules) {}

  // The least share of its capacity that an upstream has by now: an even rise from the initial share to 1.
  double Factor(const std::optional<TimePoint>& started, TimePoint now) const {
    if (!started) return 1;
    const double age = Seconds(now - *started) / Seconds(rules_.slow_start_duration);
    const double from = rules_.slow_start_initial_share;
    return std::clamp(from + (1 - from) * age, from, 1.0);
  }

  // Whether one more attempt is within its budget, which is refilled up to now.
  bool HasBudget(SlowStartRecord& record, const SlowStartUpstream& upstream, TimePoint now) const {
    return upstream.factor >= 1 || Refill(record, upstream, now) >= 1;
  }
  static void Spend(SlowStartRecord& record) { record.budget -= 1; }
  // A new process. Sidecars that hear of it together must not all call it at once, so each starts with a debt
  // by chance (`uniform`, from [0, 1)); but where each may send it a fraction of an attempt a second,
  // together they are owed a flow from the first second on.
  void RecordEntry(SlowStartRecord& record, const SlowStartUpstream& upstream, double uniform,
                   TimePoint now) const;
  void RecordTick(const SlowStartTick& tick);

  // What is left after a tick of what is slow to fall: it halves in about the slow start's duration.
  double FadingPerTick() const;
  // How long the usual rate is remembered, in seconds.
  double RateMemorySeconds() const { return Seconds(rules_.slow_start_duration) / 2; }

 private:
  double Refill(SlowStartRecord& record, const SlowStartUpstream& upstream, TimePoint now) const;
  double Rate(const SlowStartUpstream& upstream) const;
  double ShareOfRequests(const SlowStartUpstream& upstream) const;

  const Rules& rules_;
  double requests_per_s_ = 0;     // requests a second, learnt from nothing
  double served_per_s_ = 0;       // answers served a second, likewise
  double most_served_per_s_ = 0;  // slow to fall
  double usual_weight_ = 0;       // the list's weight, slow to fall
  bool served_by_warm_ = false;   // it served for long enough while half of the upstreams were warm
};

}  // namespace mothrack::balancer
