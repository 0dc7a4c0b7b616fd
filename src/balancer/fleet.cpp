#include "balancer/fleet.h"

#include <algorithm>
#include <chrono>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// An upstream that rejected an attempt as full gets nothing for this many usual answer times plus up to one
// more at random, since it needs about one answer time to have capacity again.
constexpr double kMinFullTimes = 0.5;
// Half-open probes of an unavailable zone are this many times kFirstProbeDelay apart, plus up to one more at
// random, so that sidecars do not probe in step.
constexpr double kMinZoneProbeDelays = 0.5;

}  // namespace

Fleet::Fleet(Context& context)
    : context_(context),
      upstreams_(context.settings.sidecar_index),
      subset_(context.settings.limits),
      latency_(context.settings),
      connections_(context.settings.limits),
      slow_start_(context.settings.rules) {}

// ---- Membership ----

void Fleet::UpdateMembership(const MembershipUpdate& update) {
  upstreams_.BeginUpdate(update.kind != MembershipUpdate::Kind::kChanges);
  std::vector<UpstreamPtr> entering;
  for (const UpstreamInfo& info : update.upstreams) UpdateUpstream(info, entering);
  upstreams_.FinishUpdate();
  zone_health_.KeepOnly([this](const std::string& zone) { return upstreams_.HasZone(zone); });
  MarkSubset();
  // Upstreams enter the rotation only once the complete list is known. If their credit were drawn from a
  // partial sum of the weights, the first upstreams of the list would have the most credit at every sidecar,
  // and all sidecars would send their first requests to the same few.
  for (const UpstreamPtr& upstream : entering) EnterRotation(*upstream);
}

void Fleet::UpdateUpstream(const UpstreamInfo& info, std::vector<UpstreamPtr>& entering) {
  const auto [upstream, new_process, enters] = upstreams_.Update(info);
  if (new_process && info.started) zone_health_.RecordNewProcess(info.zone);
  if (new_process)
    slow_start_.RecordEntry(upstream->slow_start, BudgetInput(*upstream), context_.random.Uniform(),
                            context_.now);
  if (enters) entering.push_back(upstream);
}

void Fleet::MarkSubset() {
  subset_members_.clear();
  for (const UpstreamPtr& upstream : upstreams_.ranked()) {
    const bool serving = upstream->info.state == UpstreamState::kServing;
    const bool fills_place = serving && !upstream->outlier.ejected && !IsSuspect(*upstream);
    subset_members_.push_back({&upstream->subset, serving ? upstream->info.weight : 0,
                               fills_place ? SlowStartFactor(*upstream) : 0});
  }
  subset_.Mark(subset_members_, SubsetSize(), request_rate_.IsKnown(context_.now),
               upstreams_.ServingWeight());
}

void Fleet::EnterRotation(Upstream& upstream) {
  SmoothWeightedRoundRobin::Enter(upstream.rotation, context_.random.Uniform(), upstreams_.ServingWeight());
}

void Fleet::RecordTick(const FleetWeights& weights) {
  slow_start_.RecordTick({request_rate_.arrivals(), request_rate_.served(), request_rate_.Age(context_.now),
                          weights.healthy_past_slow_start, weights.serving, upstreams_.ServingWeight()});
  request_rate_.RecordTick(context_.now, slow_start_.RateMemorySeconds());
  subset_.RecordTick(slow_start_.DecayFactorPerTick());
  MarkSubset();
  connections_.RecordTick();
}

// ---- Attempts and their outcomes ----

ConnectionUse Fleet::RecordSent(Upstream& upstream, bool half_open_probe, bool in_flight) {
  ++upstream.in_flight.sent;
  if (SlowStartFactor(upstream) < 1) {
    SlowStart::Spend(upstream.slow_start);
    ++context_.counts.slow_start;
  }
  if (in_flight) RecordInFlight(upstream);
  if (half_open_probe) {
    HalfOpenProbes::RecordSent(upstream.half_open);
    const double delays = kMinZoneProbeDelays + context_.random.Uniform();
    zone_health_.RecordProbe(upstream.info.zone, context_.now + Scaled(kFirstProbeDelay, delays));
  }
  if (connections_.DropStale(upstream.connection, context_.now)) context_.Emit(CloseIdle{upstream.info.id});
  const ConnectionUse use = connections_.Use(upstream.connection, upstream.in_flight.attempts, context_.now);
  context_.counts.connects += use.connects;
  return use;
}

void Fleet::RecordOutcome(const Request& request, const Attempt& attempt, Duration elapsed,
                          const AnswerTiming& answer) {
  // What says nothing about the upstream is recorded as if the sidecar had ended the attempt.
  const Outcome outcome = attempt.request_incomplete ? Outcome::kCancelled : *attempt.outcome;
  Upstream& upstream = *attempt.upstream;
  connections_.RecordOutcome(upstream.connection, attempt.connection, outcome, elapsed,
                             latency_.UsualTime(request.class_index), context_.now);
  if (!attempt.started) RecordAnswerTime(request, attempt, answer.outcome, answer.elapsed);
  RecordZoneOutcome(attempt, outcome);
  RecordHealth(upstream, attempt, outcome);
  if (outcome == Outcome::kServed) request_rate_.RecordServed();
}

void Fleet::RecordAnswerTime(const Request& request, const Attempt& attempt, Outcome outcome,
                             Duration elapsed) {
  Upstream& upstream = *attempt.upstream;
  latency_.RecordAnswer(
      upstream.latency, upstream.info.kind,
      {request.class_index, request.latency_objective, SlowStartFactor(upstream), outcome, elapsed});
}

void Fleet::RecordZoneOutcome(const Attempt& attempt, Outcome outcome) {
  const UpstreamInfo& info = attempt.upstream->info;
  if (IsAnswer(outcome)) {
    zone_health_.RecordAnswer(info.zone, context_.now);
  } else if (outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed) {
    zone_health_.RecordUnanswered(info.zone, info.id, attempt.sent);
  }
}

void Fleet::RecordUnanswered(const Request& request) {
  for (const Attempt& attempt : request.attempts) {
    if (attempt.IsUnanswered())
      zone_health_.RecordUnanswered(attempt.upstream->info.zone, attempt.upstream->info.id, attempt.sent);
  }
}

void Fleet::RecordHealth(Upstream& upstream, const Attempt& attempt, Outcome outcome) {
  if (IsFailure(outcome) && outcome != Outcome::kError) ++upstream.in_flight.unanswered;
  if (upstream.info.state == UpstreamState::kGone) return;  // its health no longer matters
  if (attempt.half_open_probe &&
      HalfOpenProbes::RecordOutcome(upstream.half_open, upstream.outlier.ejected, outcome, context_.now))
    ReturnToRotation(upstream, "after it served on trial");
  if (outcome != Outcome::kConnectFailed && outcome != Outcome::kTimeout && outcome != Outcome::kCancelled)
    upstream.in_flight.waiting_since = context_.now;
  if (outcome == Outcome::kFull) {
    const double times = kMinFullTimes + context_.random.Uniform();
    upstream.in_flight.full_until = context_.now + Scaled(latency_.UsualTime(), times);
  }
  if (outcome != Outcome::kServed && !IsFailure(outcome)) return;
  if (const auto ejection = outliers_.RecordOutcome(upstream.outlier, outcome, context_.now))
    RecordEjection(upstream, *ejection);
  outliers_.ClearSums();
  for (const UpstreamPtr& other : upstreams_.ranked()) {
    if (other->info.state == UpstreamState::kServing) outliers_.AddToSums(other->outlier);
  }
}

// Counts an earlier attempt whose upstream is unresponsive as a time-out when a hedge was served before it.
// Otherwise hedges would hide upstreams that drop attempts from outlier detection. Attempts that were in
// flight at the same time count once.
void Fleet::RecordOvertaken(const Request& request, const Attempt& winner) {
  for (const Attempt& attempt : request.attempts) {
    Upstream& upstream = *attempt.upstream;
    if (!attempt.IsUnanswered() || attempt.half_open_probe) continue;
    if (attempt.sent >= winner.sent || attempt.sent < upstream.outlier.overtaken_at) continue;
    if (upstream.info.state != UpstreamState::kServing) continue;
    if (const auto ejection = outliers_.RecordOvertaken(upstream.outlier, context_.now))
      RecordEjection(upstream, *ejection);
  }
}

// ---- Ejection ----

void Fleet::RecordEjection(Upstream& upstream, const Ejection& ejection) {
  HalfOpenProbes::RecordEjection(upstream.half_open, context_.now);
  ++context_.counts.ejected;
  context_.EmitLog("ejected " + upstream.info.id.value + " for " +
                   std::to_string(duration_cast<milliseconds>(ejection.duration).count()) + " ms after " +
                   std::to_string(ejection.failures_in_a_row) + " failures in a row");
}

void Fleet::EndExpiredEjections() {
  for (const UpstreamPtr& upstream : upstreams_.ranked()) EndEjectionIfExpired(*upstream);
}

void Fleet::EndEjectionIfExpired(Upstream& upstream) {
  if (OutlierDetector::IsEjectionExpired(upstream.outlier, context_.now))
    ReturnToRotation(upstream, "after its ejection");
}

void Fleet::ReturnToRotation(Upstream& upstream, const char* why) {
  OutlierDetector::RecordReturn(upstream.outlier, context_.now);
  ++context_.counts.returned;
  EnterRotation(upstream);
  context_.EmitLog("returned " + upstream.info.id.value + " " + why);
}

// ---- Availability and choice ----

// Whether the upstream may get a request, apart from its slow start budget.
bool Fleet::IsAvailable(Upstream& upstream, bool half_open_probe) {
  if (upstream.info.state != UpstreamState::kServing) return false;
  EndEjectionIfExpired(upstream);
  if (!half_open_probe) return !upstream.outlier.ejected;
  if (!zone_health_.MayProbe(upstream.info.zone, context_.now)) return false;
  return HalfOpenProbes::MayProbe(upstream.half_open, context_.now) &&
         (upstream.outlier.ejected || IsSuspect(upstream));
}

bool Fleet::HasSlowStartBudget(Upstream& upstream) const {
  return slow_start_.HasBudget(upstream.slow_start, BudgetInput(upstream), context_.now);
}

// Whether the upstream has no usable connection while connecting is hard. False for an upstream in slow
// start, whose connection table is empty.
bool Fleet::MustConnect(const Upstream& upstream) const {
  return connections_.IsConnectingHard() && SlowStartFactor(upstream) >= 1 &&
         !connections_.HasConnection(upstream.connection, upstream.in_flight.attempts, context_.now);
}

bool Fleet::IsSuspect(const Upstream& upstream) const {
  if (outliers_.IsSuspect(upstream.outlier) || zone_health_.IsUnavailable(upstream.info.zone)) return true;
  // Most upstreams have nothing in flight, so the rest need not be computed.
  return upstream.in_flight.attempts > 0 &&
         upstream.in_flight.IsUnresponsive(context_.now, latency_.UsualTime(), Slowness(upstream),
                                           SlowStartFactor(upstream));
}

// Whether late answers of the upstream are a sign of overload rather than its own fault.
bool Fleet::IsHealthyPastSlowStart(const Upstream& upstream) const {
  return !upstream.outlier.ejected && SlowStartFactor(upstream) >= 1 && !IsSuspect(upstream);
}

// The listed weight, scaled by slow start, observed slowness and failures.
double Fleet::RotationWeight(const Upstream& upstream) const {
  const double kind_slowness = latency_.KindSlowness(upstream.info.kind);
  const double upstream_slowness = LatencyModel::Slowness(upstream.latency, kind_slowness);
  const double slowness = upstreams_.has_weights() ? upstream_slowness / kind_slowness : upstream_slowness;
  return upstream.info.weight * EstimatedFactor(upstream) / slowness *
         OutlierDetector::SuccessFactor(upstream.outlier, LatencyModel::IsLoaded(upstream.latency));
}

// Upstreams of the subset that are ejected, suspect or already tried are replaced by the next ones in order.
// Upstreams that have just rejected an attempt as full are excluded.
UpstreamPtr Fleet::Choose(const Request& request, const RetryPolicy& retries, bool only_untried_healthy) {
  round_robin_.Clear();
  double places_left = SubsetSize();
  const std::vector<UpstreamPtr>& ranked = upstreams_.ranked();
  for (std::size_t i = 0; i < ranked.size() && places_left > 0; ++i) {
    Upstream& upstream = *ranked[i];
    if (!IsAvailable(upstream, false) || context_.now < upstream.in_flight.full_until) continue;
    if (!retries.MaySend(request, upstream.info, context_.now)) continue;
    const bool suspect = IsSuspect(upstream);
    if (!HasSlowStartBudget(upstream)) {
      if (!suspect) round_robin_.AddWaiting(upstream.rotation, RotationWeight(upstream));
      continue;
    }
    const bool tried = request.HasTried(upstream);
    round_robin_.Add({&upstream.rotation, i, RotationWeight(upstream), upstream.in_flight.attempts, tried,
                      suspect, MustConnect(upstream)});
    if (!suspect && !tried)
      places_left -= SlowStartFactor(upstream);  // an upstream in slow start fills only part of a place
  }
  const auto chosen = round_robin_.Choose(only_untried_healthy);
  return chosen ? ranked[*chosen] : nullptr;
}

ProbedLoad Fleet::LoadOf(const ProbedUpstream& probed) const {
  const Upstream& upstream = *probed.upstream;
  return {*probed.in_flight, probed.served_per_s, Slowness(upstream),
          upstream.info.weight * SlowStartFactor(upstream)};
}

LatenessInput Fleet::LatenessOf(const Request& request, const Attempt& attempt, Outcome outcome,
                                Duration elapsed) const {
  const Upstream& upstream = *attempt.upstream;
  const bool late = LoadShedder::IsLate(outcome, elapsed, request.latency_objective);
  return {outcome, elapsed, request.latency_objective, LatencyModel::IsLoaded(upstream.latency),
          late && IsHealthyPastSlowStart(upstream)};
}

FleetWeights Fleet::SumWeights() const {
  FleetWeights weights;
  for (const UpstreamPtr& upstream : upstreams_.ranked()) {
    if (upstream->info.state != UpstreamState::kServing) continue;
    weights.serving += upstream->info.weight;
    ++weights.upstreams;
    if (IsHealthyPastSlowStart(*upstream)) weights.healthy_past_slow_start += upstream->info.weight;
    if (!upstream->outlier.ejected && !IsSuspect(*upstream))
      weights.usable += upstream->info.weight * EstimatedFactor(*upstream);
  }
  return weights;
}

std::vector<UpstreamView> Fleet::Views(TimePoint now) const {
  std::vector<UpstreamView> views;
  views.reserve(upstreams_.ranked().size());
  for (const UpstreamPtr& upstream : upstreams_.ranked()) {
    UpstreamView& view = views.emplace_back();
    view.id = upstream->info.id;
    view.state = upstream->info.state;
    view.in_flight = upstream->in_flight.attempts;
    view.slow_start_factor = slow_start_.Factor(upstream->info.started, now);
    if (upstream->outlier.ejected) view.ejected_until = upstream->outlier.ejected_until;
    view.ejected_after = upstream->outlier.ejected_after;
    view.sent = upstream->in_flight.sent;
    view.unanswered = upstream->in_flight.unanswered;
    view.idle = upstream->connection.idle;
  }
  std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  return views;
}

}  // namespace mothrack::balancer
