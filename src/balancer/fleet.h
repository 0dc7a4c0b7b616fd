// The fleet: the upstreams as this sidecar has met them, and which one takes the next request.
//
// It holds the rooms that keep a record of each upstream and hands each what the others know; none of these
// rooms knows another. The choice is smooth weighted round robin over the upstreams of the subset that are
// not ejected, with weights that follow what was observed.
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

  // ---- What is recorded ----

  void Start() { request_rate_.Start(context_.now); }
  // A list, or what changed of it; not a failed call for one.
  void UpdateMembership(const MembershipUpdate& update);
  void RecordArrival() { request_rate_.RecordArrival(); }
  // An attempt is being sent. Tells which connection it uses; closes those that are too old to be trusted.
  ConnectionUse RecordSent(Upstream& upstream, bool half_open_probe, bool in_flight);
  // What its upstream holds is what it can be late with: not a body that still comes, nor an answer that has
  // begun.
  void RecordInFlight(Upstream& upstream) const { upstream.in_flight.Begin(context_.now); }
  void RecordReleased(Upstream& upstream) const { upstream.in_flight.End(); }
  // A streamed answer has begun: the upstream is not silent. Its time is recorded apart.
  void RecordAnswerStarted(const Attempt& attempt) const {
    attempt.upstream->in_flight.waiting_since = context_.now;
  }
  void RecordAnswerTime(const Request& request, const Attempt& attempt, Outcome outcome, Duration elapsed);
  // Of an attempt that has just got its outcome.
  void RecordOutcome(const Request& request, const Attempt& attempt, Duration elapsed);
  // A hedge was served before other attempts of the request.
  void RecordOvertaken(const Request& request, const Attempt& winner);
  // The request is late, and these attempts' upstreams say nothing.
  void RecordSilence(const Request& request);
  void RecordUnansweredProbe(Upstream& upstream) const {
    OutlierDetector::RecordUnansweredProbe(upstream.outlier);
  }
  // `weights`: of the last tick.
  void RecordTick(const FleetWeights& weights);
  void ReturnThoseDue();

  // ---- What is answered ----

  // Null where there is none of this id.
  UpstreamPtr Find(const UpstreamId& id) const { return upstreams_.Find(id); }
  // Those that are not gone, in this sidecar's order.
  const std::vector<UpstreamPtr>& ranked() const { return upstreams_.ranked(); }
  // May this upstream take a request? The one gate to every upstream. An ejected one takes probes only.
  bool MayTake(Upstream& upstream, bool half_open_probe = false) {
    return IsAvailable(upstream, half_open_probe) && HasSlowStartBudget(upstream);
  }
  // The upstream whose turn it is; null where none can take the request. `only_good`: none that was tried or
  // is suspect.
  UpstreamPtr Choose(const Request& request, const RetryPolicy& retries, bool only_good = false);
  ProbedLoad LoadOf(const ProbedUpstream& probed) const;
  TimelyOutcome LatenessOf(const Request& request, const Attempt& attempt, Outcome outcome,
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
  // By id.
  std::vector<UpstreamView> Views(TimePoint now) const;

 private:
  void UpdateUpstream(const UpstreamInfo& info, std::vector<UpstreamPtr>& entering);
  void MarkSubset();
  void EnterRotation(Upstream& upstream);
  void RecordZoneOutcome(const Attempt& attempt, Outcome outcome);
  void RecordHealth(Upstream& upstream, const Attempt& attempt, Outcome outcome);
  void RecordEjection(Upstream& upstream, const Ejection& ejection);
  void ReturnIfEjectionOver(Upstream& upstream);
  void Return(Upstream& upstream, const char* why);

  bool IsAvailable(Upstream& upstream, bool half_open_probe);
  bool HasSlowStartBudget(Upstream& upstream) const;
  bool MustConnect(const Upstream& upstream) const;
  bool IsSuspect(const Upstream& upstream) const;
  bool IsTelling(const Upstream& upstream) const;
  double Slowness(const Upstream& upstream) const {
    return latency_.Slowness(upstream.latency, upstream.info.kind);
  }
  double LikelyFactor(const Upstream& upstream) const {
    return latency_.LikelyFactor(SlowStartFactor(upstream));
  }
  double RotationWeight(const Upstream& upstream) const;
  SlowStartUpstream BudgetBasis(const Upstream& upstream) const {
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
  std::vector<SubsetMember> subset_members_;  // of one marking, kept for their memory
};

}  // namespace mothrack::balancer
