// The fleet: the state of the upstreams as this sidecar has observed them, and the choice of one for a
// request.
//
// Owns the components that keep a record per upstream and passes values between them, so that none depends on
// another. The choice is a smooth weighted round robin over the upstreams of the subset that are not ejected,
// with weights that follow the observations.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/connection_model.h"
#include "balancer/context.h"
#include "balancer/half_open_probes.h"
#include "balancer/latency_model.h"
#include "balancer/load_probes.h"
#include "balancer/load_shedder.h"
#include "balancer/outlier_detection.h"
#include "balancer/request.h"
#include "balancer/request_rate.h"
#include "balancer/retry_policy.h"
#include "balancer/round_robin.h"
#include "balancer/slow_start.h"
#include "balancer/subset.h"
#include "balancer/upstream.h"
#include "balancer/upstream_set.h"
#include "balancer/zone_health.h"

namespace mothrack::balancer {

class Fleet {
 public:
  explicit Fleet(Context& context);

  // ---- Events ----

  void Start() { request_rate_.Start(context_.now); }
  // A complete list or changes of it; not Kind::kFailed.
  void UpdateMembership(const MembershipUpdate& update);
  void RecordArrival() { request_rate_.RecordArrival(); }
  // An attempt is being sent. Returns how it gets its connection, and closes idle ones that are too old.
  ConnectionUse RecordSent(Upstream& upstream, bool half_open_probe, bool in_flight);
  // Counts the attempt as in flight: from when the upstream has the complete request until its answer begins,
  // the time during which it can be late.
  void RecordInFlight(Upstream& upstream) const { upstream.in_flight.Begin(context_.now); }
  void RecordReleased(Upstream& upstream) const { upstream.in_flight.End(); }
  // A streamed answer has begun: the upstream is responsive. RecordAnswerTime() records the time.
  void RecordAnswerStarted(const Attempt& attempt) const {
    attempt.upstream->in_flight.waiting_since = context_.now;
  }
  void RecordAnswerTime(const Request& request, const Attempt& attempt, Outcome outcome, Duration elapsed);
  // An attempt has ended, and `attempt.outcome` is set. `answer`: what its latency shows, unless that was
  // recorded when its answer began.
  void RecordOutcome(const Request& request, const Attempt& attempt, Duration elapsed,
                     const AnswerTiming& answer);
  // The attempt `winner`, a hedge, was served before other attempts of the request.
  void RecordOvertaken(const Request& request, const Attempt& winner);
  // The request is late: records the upstreams of its unanswered attempts as not answering.
  void RecordUnanswered(const Request& request);
  void RecordUnansweredProbe(Upstream& upstream) const {
    OutlierDetector::RecordUnansweredProbe(upstream.outlier);
  }
  // `weights`: those of the last tick.
  void RecordTick(const FleetWeights& weights);
  void EndExpiredEjections();

  // ---- Queries ----

  // The upstream with this id; null if there is none.
  UpstreamPtr Find(const UpstreamId& id) const { return upstreams_.Find(id); }
  // The upstreams that have not been removed, in this sidecar's order.
  const std::vector<UpstreamPtr>& ranked() const { return upstreams_.ranked(); }
  // Whether the upstream may get a request; checked before every attempt. An ejected upstream gets half-open
  // probes only.
  bool MaySendTo(Upstream& upstream, bool half_open_probe = false) {
    return IsAvailable(upstream, half_open_probe) && HasSlowStartBudget(upstream);
  }
  // The next upstream by round robin; null if none can take the request. `only_untried_healthy`: excludes
  // upstreams that were tried or are suspect.
  UpstreamPtr Choose(const Request& request, const RetryPolicy& retries, bool only_untried_healthy = false);
  ProbedLoad LoadOf(const ProbedUpstream& probed) const;
  LatenessInput LatenessOf(const Request& request, const Attempt& attempt, Outcome outcome,
                           Duration elapsed) const;
  FleetWeights SumWeights() const;
  const LatencyModel& latency() const { return latency_; }
  double usual_rate() const { return request_rate_.usual(); }  // requests a second
  double SubsetSize() const {
    return subset_.Size(request_rate_.usual(), request_rate_.IsKnown(context_.now),
                        upstreams_.ranked().size());
  }
  double SlowStartFactor(const Upstream& upstream) const {
    return slow_start_.Factor(upstream.info.started, context_.now);
  }
  // Sorted by id.
  std::vector<UpstreamView> Views(TimePoint now) const;

 private:
  void UpdateUpstream(const UpstreamInfo& info, std::vector<UpstreamPtr>& entering);
  void MarkSubset();
  void EnterRotation(Upstream& upstream);
  void RecordZoneOutcome(const Attempt& attempt, Outcome outcome);
  void RecordHealth(Upstream& upstream, const Attempt& attempt, Outcome outcome);
  void RecordEjection(Upstream& upstream, const Ejection& ejection);
  void EndEjectionIfExpired(Upstream& upstream);
  void ReturnToRotation(Upstream& upstream, const char* why);

  bool IsAvailable(Upstream& upstream, bool half_open_probe);
  bool HasSlowStartBudget(Upstream& upstream) const;
  bool MustConnect(const Upstream& upstream) const;
  bool IsSuspect(const Upstream& upstream) const;
  bool IsHealthyPastSlowStart(const Upstream& upstream) const;
  double Slowness(const Upstream& upstream) const {
    return latency_.Slowness(upstream.latency, upstream.info.kind);
  }
  double EstimatedFactor(const Upstream& upstream) const {
    return latency_.EstimatedFactor(SlowStartFactor(upstream));
  }
  double RotationWeight(const Upstream& upstream) const;
  SlowStartUpstream BudgetInput(const Upstream& upstream) const {
    return {SlowStartFactor(upstream), upstream.info.weight, upstream.subset.in_subset, subset_.share()};
  }

  Context& context_;
  UpstreamSet upstreams_;
  RequestRate request_rate_;
  Subset subset_;
  OutlierDetector outliers_;
  ZoneHealth zone_health_;
  LatencyModel latency_;
  ConnectionModel connections_;
  SlowStart slow_start_;
  SmoothWeightedRoundRobin round_robin_;
  std::vector<SubsetMember> subset_members_;  // scratch space, a member only to reuse its memory
};

}  // namespace mothrack::balancer
