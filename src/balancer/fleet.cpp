#include "balancer/fleet.h"

#include <algorithm>
#include <chrono>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// An upstream that rejected an attempt as full gets nothing for this many usual answer times, plus up to one
// more at random: it needs about one answer time to have capacity again.
constexpr double kMinFullTimes = 0.5;
// Half-open probes of an unavailable zone are this many kFirstProbeDelay apart, plus up to one more at
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
  // Only once the whole list is known: with credit drawn from a partial sum, the first upstreams of the list
  // would come first at every sidecar, and the whole fleet would send its first requests to the same few.
  for (const UpstreamPtr& u : entering) EnterRotation(*u);
}

void Fleet::UpdateUpstream(const UpstreamInfo& info, std::vector<UpstreamPtr>& entering) {
  const auto [u, new_process, enters] = upstreams_.Update(info);
  if (new_process && info.started) zone_health_.RecordNewProcess(info.zone);
  if (new_process)
    slow_start_.RecordEntry(u->slow_start, BudgetBasis(*u), context_.random.Uniform(), context_.now);
  if (enters) entering.push_back(u);
}

void Fleet::MarkSubset() {
  subset_members_.clear();
  for (const UpstreamPtr& u : upstreams_.ranked()) {
    const bool serving = u->info.state == UpstreamState::kServing;
    const bool takes_place = serving && !u->outlier.ejected && !IsSuspect(*u);
    subset_members_.push_back(
        {&u->subset, serving ? u->info.weight : 0, takes_place ? SlowStartFactor(*u) : 0});
  }
  subset_.Mark(subset_members_, SubsetSize(), request_rate_.IsKnown(context_.now),
               upstreams_.ServingWeight());
}

void Fleet::EnterRotation(Upstream& u) {
  SmoothWeightedRoundRobin::Enter(u.rotation, context_.random.Uniform(), upstreams_.ServingWeight());
}

void Fleet::RecordTick(const FleetWeights& weights) {
  slow_start_.RecordTick({request_rate_.arrivals(), request_rate_.served(), request_rate_.Age(context_.now),
                          weights.telling, weights.serving, upstreams_.ServingWeight()});
  request_rate_.RecordTick(context_.now, slow_start_.RateMemorySeconds());
  subset_.RecordTick(slow_start_.FadingPerTick());
  MarkSubset();
  connections_.RecordTick();
}

// ---- Attempts and their outcomes ----

ConnectionUse Fleet::RecordSent(Upstream& u, bool half_open_probe, bool in_flight) {
  ++u.in_flight.sent;
  if (SlowStartFactor(u) < 1) {
    SlowStart::Spend(u.slow_start);
    ++context_.counts.slow_start;
  }
  if (in_flight) RecordInFlight(u);
  if (half_open_probe) {
    HalfOpenProbes::RecordSent(u.half_open);
    const double delays = kMinZoneProbeDelays + context_.random.Uniform();
    zone_health_.RecordProbe(u.info.zone, context_.now + Scaled(kFirstProbeDelay, delays));
  }
  if (connections_.DropStale(u.connection, context_.now)) context_.Emit(CloseIdle{u.info.id});
  const ConnectionUse use = connections_.Use(u.connection, u.in_flight.attempts, context_.now);
  context_.counts.connects += use.connects;
  return use;
}

void Fleet::RecordOutcome(const Request& r, const Attempt& attempt, Duration elapsed) {
  const Outcome outcome = *attempt.outcome;
  Upstream& u = *attempt.upstream;
  connections_.RecordOutcome(u.connection, attempt.connection, outcome, elapsed,
                             latency_.UsualTime(r.class_index), context_.now);
  if (!attempt.started) RecordAnswerTime(r, attempt, outcome, elapsed);
  RecordZoneOutcome(attempt, outcome);
  RecordHealth(u, attempt, outcome);
  if (outcome == Outcome::kServed) request_rate_.RecordServed();
}

void Fleet::RecordAnswerTime(const Request& r, const Attempt& attempt, Outcome outcome, Duration elapsed) {
  Upstream& u = *attempt.upstream;
  latency_.RecordAnswer(u.latency, u.info.kind,
                        {r.class_index, r.latency_objective, SlowStartFactor(u), outcome, elapsed});
}

void Fleet::RecordZoneOutcome(const Attempt& attempt, Outcome outcome) {
  const UpstreamInfo& info = attempt.upstream->info;
  if (IsAnswer(outcome)) {
    zone_health_.RecordAnswer(info.zone, context_.now);
  } else if (outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed) {
    zone_health_.RecordSilence(info.zone, info.id, attempt.sent);
  }
}

void Fleet::RecordSilence(const Request& r) {
  for (const Attempt& a : r.attempts) {
    if (a.IsUnanswered()) zone_health_.RecordSilence(a.upstream->info.zone, a.upstream->info.id, a.sent);
  }
}

void Fleet::RecordHealth(Upstream& u, const Attempt& attempt, Outcome outcome) {
  if (IsFailure(outcome) && outcome != Outcome::kError) ++u.in_flight.unanswered;
  if (u.info.state == UpstreamState::kGone) return;  // its health no longer matters
  if (attempt.half_open_probe &&
      HalfOpenProbes::RecordOutcome(u.half_open, u.outlier.ejected, outcome, context_.now))
    Return(u, "after it served on trial");
  if (outcome != Outcome::kConnectFailed && outcome != Outcome::kTimeout && outcome != Outcome::kCancelled)
    u.in_flight.waiting_since = context_.now;
  if (outcome == Outcome::kFull) {
    const double times = kMinFullTimes + context_.random.Uniform();
    u.in_flight.full_until = context_.now + Scaled(latency_.UsualTime(), times);
  }
  if (outcome != Outcome::kServed && !IsFailure(outcome)) return;
  if (const auto ejection = outliers_.RecordOutcome(u.outlier, outcome, context_.now))
    RecordEjection(u, *ejection);
  outliers_.ClearSums();
  for (const UpstreamPtr& other : upstreams_.ranked()) {
    if (other->info.state == UpstreamState::kServing) outliers_.AddToSums(other->outlier);
  }
}

// A hedge was served before an earlier attempt whose upstream is unresponsive: that counts as a time-out.
// Without it hedges would hide upstreams that drop attempts from outlier detection. Attempts that were in
// flight at the same time count once.
void Fleet::RecordOvertaken(const Request& r, const Attempt& winner) {
  for (const Attempt& a : r.attempts) {
    Upstream& u = *a.upstream;
    if (!a.IsUnanswered() || a.half_open_probe) continue;
    if (a.sent >= winner.sent || a.sent < u.outlier.overtaken_at) continue;
    if (u.info.state != UpstreamState::kServing) continue;
    if (const auto ejection = outliers_.RecordOvertaken(u.outlier, context_.now))
      RecordEjection(u, *ejection);
  }
}

// ---- Ejection ----

void Fleet::RecordEjection(Upstream& u, const Ejection& ejection) {
  HalfOpenProbes::RecordEjection(u.half_open, context_.now);
  ++context_.counts.ejected;
  context_.EmitLog("ejected " + u.info.id.value + " for " +
                   std::to_string(duration_cast<milliseconds>(ejection.duration).count()) + " ms after " +
                   std::to_string(ejection.failures_in_a_row) + " failures in a row");
}

void Fleet::ReturnThoseDue() {
  for (const UpstreamPtr& u : upstreams_.ranked()) ReturnIfEjectionOver(*u);
}

void Fleet::ReturnIfEjectionOver(Upstream& u) {
  if (OutlierDetector::IsOver(u.outlier, context_.now)) Return(u, "after its ejection");
}

void Fleet::Return(Upstream& u, const char* why) {
  OutlierDetector::RecordReturn(u.outlier, context_.now);
  ++context_.counts.returned;
  EnterRotation(u);
  context_.EmitLog("returned " + u.info.id.value + " " + why);
}

// ---- Standing and choice ----

// Whether it may get a request, apart from its slow start budget.
bool Fleet::IsAvailable(Upstream& u, bool half_open_probe) {
  if (u.info.state != UpstreamState::kServing) return false;
  ReturnIfEjectionOver(u);
  if (!half_open_probe) return !u.outlier.ejected;
  if (!zone_health_.MayProbe(u.info.zone, context_.now)) return false;
  return HalfOpenProbes::MayProbe(u.half_open, context_.now) && (u.outlier.ejected || IsSuspect(u));
}

bool Fleet::HasSlowStartBudget(Upstream& u) const {
  return slow_start_.HasBudget(u.slow_start, BudgetBasis(u), context_.now);
}

// Whether it has no usable connection while connecting is hard. Not for one in slow start, whose connection
// table is empty.
bool Fleet::MustConnect(const Upstream& u) const {
  return connections_.IsConnectingHard() && SlowStartFactor(u) >= 1 &&
         !connections_.HasConnection(u.connection, u.in_flight.attempts, context_.now);
}

bool Fleet::IsSuspect(const Upstream& u) const {
  if (outliers_.IsSuspect(u.outlier) || zone_health_.IsUnavailable(u.info.zone)) return true;
  // Most have nothing in flight, and the rest need not be computed.
  return u.in_flight.attempts > 0 &&
         u.in_flight.IsUnresponsive(context_.now, latency_.UsualTime(), Slowness(u), SlowStartFactor(u));
}

// Whether late answers of the upstream are a sign of overload, rather than its own fault.
bool Fleet::IsTelling(const Upstream& u) const {
  return !u.outlier.ejected && SlowStartFactor(u) >= 1 && !IsSuspect(u);
}

// The listed weight, scaled by slow start, observed slowness and failures.
double Fleet::RotationWeight(const Upstream& u) const {
  const double of_kind = latency_.KindSlowness(u.info.kind);
  const double own = LatencyModel::Slowness(u.latency, of_kind);
  const double slowness = upstreams_.has_sizes() ? own / of_kind : own;
  return u.info.weight * LikelyFactor(u) / slowness *
         OutlierDetector::SuccessFactor(u.outlier, LatencyModel::IsLoaded(u.latency));
}

// Upstreams of the subset that are ejected, suspect or already tried are replaced by the next ones in order.
// Upstreams that have just rejected an attempt as full are left out.
UpstreamPtr Fleet::Choose(const Request& r, const RetryPolicy& retries, bool only_good) {
  round_robin_.Clear();
  double places_left = SubsetSize();
  const std::vector<UpstreamPtr>& ranked = upstreams_.ranked();
  for (std::size_t i = 0; i < ranked.size() && places_left > 0; ++i) {
    Upstream& u = *ranked[i];
    if (!IsAvailable(u, false) || context_.now < u.in_flight.full_until) continue;
    if (!retries.MaySend(r, u.info, context_.now)) continue;
    const bool suspect = IsSuspect(u);
    if (!HasSlowStartBudget(u)) {
      if (!suspect) round_robin_.AddWaiting(u.rotation, RotationWeight(u));
      continue;
    }
    const bool tried = r.HasTried(u);
    round_robin_.Add(
        {&u.rotation, i, RotationWeight(u), u.in_flight.attempts, tried, suspect, MustConnect(u)});
    if (!suspect && !tried)
      places_left -= SlowStartFactor(u);  // one in slow start takes only part of a place
  }
  const auto chosen = round_robin_.Choose(only_good);
  return chosen ? ranked[*chosen] : nullptr;
}

ProbedLoad Fleet::LoadOf(const ProbedUpstream& probed) const {
  const Upstream& u = *probed.upstream;
  return {*probed.in_flight, probed.served_per_s, Slowness(u), u.info.weight * SlowStartFactor(u)};
}

TimelyOutcome Fleet::LatenessOf(const Request& r, const Attempt& attempt, Outcome outcome,
                                Duration elapsed) const {
  const Upstream& u = *attempt.upstream;
  const bool late = LoadShedder::IsLate(outcome, elapsed, r.latency_objective);
  return {outcome, elapsed, r.latency_objective, LatencyModel::IsLoaded(u.latency), late && IsTelling(u)};
}

FleetWeights Fleet::SumWeights() const {
  FleetWeights weights;
  for (const UpstreamPtr& u : upstreams_.ranked()) {
    if (u->info.state != UpstreamState::kServing) continue;
    weights.serving += u->info.weight;
    ++weights.upstreams;
    if (IsTelling(*u)) weights.telling += u->info.weight;
    if (!u->outlier.ejected && !IsSuspect(*u)) weights.able += u->info.weight * LikelyFactor(*u);
  }
  return weights;
}

std::vector<UpstreamView> Fleet::Views(TimePoint now) const {
  std::vector<UpstreamView> views;
  views.reserve(upstreams_.ranked().size());
  for (const UpstreamPtr& u : upstreams_.ranked()) {
    UpstreamView& view = views.emplace_back();
    view.id = u->info.id;
    view.state = u->info.state;
    view.in_flight = u->in_flight.attempts;
    view.slow_start_factor = slow_start_.Factor(u->info.started, now);
    if (u->outlier.ejected) view.ejected_until = u->outlier.ejected_until;
    view.ejected_after = u->outlier.ejected_after;
    view.sent = u->in_flight.sent;
    view.unanswered = u->in_flight.unanswered;
    view.idle = u->connection.idle;
  }
  std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  return views;
}

}  // namespace mothrack::balancer
