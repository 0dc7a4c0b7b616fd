// Every decision of kestrellb, and nothing else. The interface is src/balancer/balancer.h; what is kept
// of an upstream and a request is in src/balancer/state.h.
//
// The mechanism is the consecutive-failures circuit breaker of the Linkerd circuit-breaking RFC, per
// upstream, with smooth weighted rotation over the upstreams that are not ejected. docs/design.md says what
// was kept and what was changed. The parts, in the order of this file:
//   constants    one table; what can be derived from the settings is derived at its place of use
//   membership   which upstreams there are; a new start time is a new process with a clean record
//   ejection     the failure run, the ejection and its inflation, trials and the return
//   rotation     who takes the next call: MayTake() and Pick(); weights that follow what was observed
//   attempts     MaySend(): what a class allows; time-outs, trials, retries, second copies
//   admission    the limit on calls held at once, refusal, and the final answer: Finish()
//   slow start   the ramp and the budget of a cold upstream
#include "balancer/balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balancer/connection_model.h"
#include "balancer/half_open_probes.h"
#include "balancer/latency_model.h"
#include "balancer/load_probes.h"
#include "balancer/load_shedder.h"
#include "balancer/outlier_detection.h"
#include "balancer/random.h"
#include "balancer/request.h"
#include "balancer/request_rate.h"
#include "balancer/request_table.h"
#include "balancer/retry_policy.h"
#include "balancer/round_robin.h"
#include "balancer/slow_start.h"
#include "balancer/subset.h"
#include "balancer/tick.h"
#include "balancer/upstream.h"
#include "balancer/upstream_set.h"
#include "balancer/zone_health.h"

namespace mothrack::balancer {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Constants ----

// After a failed call for membership the next one follows in up to a fifth of `poll_within`, or of this: a
// change counts as told 6 s after it could be asked for, and the failed call and the next take 2 s each. The
// look takes the rest.
constexpr Duration kMostAskWithin = milliseconds(8750);

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        random_(seed),
        probes_(settings_),
        upstreams_(settings_.sidecar_index),
        connections_(settings_.limits),
        latency_(settings_),
        slow_start_(settings_.rules),
        subset_(settings_.limits),
        shedder_(settings_.classes),
        retries_(settings_.limits) {
    settings_.Validate();
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    if (!running_) Start();
    std::visit([this](const auto& e) { On(e); }, event);
    out_ = nullptr;
  }

  std::vector<UpstreamView> Upstreams(TimePoint now) const {
    std::vector<UpstreamView> views;
    views.reserve(upstreams_.ranked().size());
    for (const UpstreamPtr& u : upstreams_.ranked()) {
      views.push_back({u->info.id,
                       u->info.state,
                       u->in_flight.attempts,
                       slow_start_.Factor(u->info.started, now),
                       {},
                       u->outlier.ejected_after,
                       u->in_flight.sent,
                       u->in_flight.unanswered,
                       u->connection.idle});
      if (u->outlier.ejected) views.back().ejected_until = u->outlier.ejected_until;
    }
    std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return views;
  }

  Counts CountsNow() const {
    Counts counts = counts_;
    counts.held = shedder_.in_flight();
    counts.shed = shedder_.shed();
    counts.rate = request_rate_.usual();
    counts.subset = std::min(SubsetSize(), static_cast<double>(upstreams_.ranked().size()));
    return counts;
  }

 private:
  // ---- Membership ----

  void Start() {
    running_ = true;
    request_rate_.Start(now_);
    if (settings_.membership_on_request) Emit(Subscribe{});
    Emit(SetTimer{now_ + kTickInterval, kTickToken});
  }

  void On(const MembershipUpdate& update) {
    if (update.kind == MembershipUpdate::Kind::kFailed) {
      // Asking again at once would add to what made it fail.
      if (settings_.membership_on_request)
        ask_again_at_ = now_ + Scaled(std::min(settings_.rules.poll_within, kMostAskWithin),
                                      0.1 + 0.1 * random_.Uniform());
      return;
    }
    upstreams_.BeginUpdate(update.kind != MembershipUpdate::Kind::kChanges);
    std::vector<UpstreamPtr> entering;
    for (const UpstreamInfo& info : update.upstreams) UpdateUpstream(info, entering);
    upstreams_.FinishUpdate();
    zone_health_.KeepOnly(upstreams_.Zones());
    MarkSubset();
    // With the whole list known: a turn drawn from the sum so far would put the first ones of the list first
    // at every sidecar, and a fleet of them would send their first calls to the same few.
    for (const UpstreamPtr& u : entering) EnterRotation(*u);
  }

  double SubsetSize() const {
    return subset_.Size(request_rate_.usual(), request_rate_.IsKnown(now_), upstreams_.ranked().size());
  }

  void MarkSubset() {
    std::vector<SubsetMember> members;
    members.reserve(upstreams_.ranked().size());
    for (const UpstreamPtr& u : upstreams_.ranked()) {
      const bool serving = u->info.state == UpstreamState::kServing;
      const bool takes_room = serving && !u->outlier.ejected && !IsSuspect(*u);
      members.push_back({&u->subset, serving ? u->info.weight : 0, takes_room ? SlowStartFactor(*u) : 0});
    }
    subset_.Mark(members, SubsetSize(), request_rate_.IsKnown(now_), upstreams_.ServingWeight());
  }

  void UpdateUpstream(const UpstreamInfo& info, std::vector<UpstreamPtr>& entering) {
    const auto [u, new_process, enters] = upstreams_.Update(info);
    if (new_process && info.started) zone_health_.RecordNewProcess(info.zone);
    if (new_process)
      slow_start_.RecordEntry(u->slow_start, BudgetBasis(*u, SlowStartFactor(*u)), random_.Uniform(), now_);
    if (enters) entering.push_back(u);
  }

  // ---- Ejection ----

  void RecordOutcome(Upstream& u, const Attempt& attempt, Outcome outcome) {
    if (IsFailure(outcome) && outcome != Outcome::kError) ++u.in_flight.unanswered;
    if (u.info.state == UpstreamState::kGone) return;  // nothing more is decided about it
    const bool served = outcome == Outcome::kServed;
    if (attempt.half_open_probe &&
        HalfOpenProbes::RecordOutcome(u.half_open, u.outlier.ejected, outcome, now_))
      Return(u, "after it served on trial");
    if (outcome != Outcome::kConnectFailed && outcome != Outcome::kTimeout &&
        outcome != Outcome::kCancelled) {
      u.in_flight.waiting_since = now_;
    }
    // Said to be full: it needs about the time of an answer to have room again.
    if (outcome == Outcome::kFull)
      u.in_flight.full_until = now_ + Scaled(latency_.UsualTime(), 0.5 + random_.Uniform());
    if (!served && !IsFailure(outcome)) return;
    if (const auto ejection = outliers_.RecordOutcome(u.outlier, outcome, now_)) RecordEjection(u, *ejection);
    outliers_.ClearSums();
    for (const UpstreamPtr& other : upstreams_.ranked()) {
      if (other->info.state == UpstreamState::kServing) outliers_.AddToSums(other->outlier);
    }
  }

  void RecordEjection(Upstream& u, const Ejection& ejection) {
    HalfOpenProbes::RecordEjection(u.half_open, now_);
    ++counts_.ejected;
    Say("ejected " + u.info.id.value + " for " +
        std::to_string(duration_cast<milliseconds>(ejection.duration).count()) + " ms after " +
        std::to_string(ejection.failures_in_a_row) + " failures in a row");
  }

  void ReturnIfEjectionOver(Upstream& u) {
    if (OutlierDetector::IsOver(u.outlier, now_)) Return(u, "after its ejection");
  }

  void Return(Upstream& u, const char* why) {
    OutlierDetector::RecordReturn(u.outlier, now_);
    ++counts_.returned;
    EnterRotation(u);
    Say("returned " + u.info.id.value + " " + why);
  }

  // ---- Rotation ----

  void EnterRotation(Upstream& u) {
    SmoothWeightedRoundRobin::Enter(u.rotation, random_.Uniform(), upstreams_.ServingWeight());
  }

  // The registered weight, less when cold, by what was observed; squared: a slow one is late far more often.
  double RotationWeight(const Upstream& u) const {
    return u.info.weight * LikelyFactor(u) /
           (upstreams_.has_sizes() ? Slowness(u) / latency_.KindSlowness(u.info.kind) : Slowness(u)) *
           OutlierDetector::SuccessFactor(u.outlier, LatencyModel::IsLoaded(u.latency));
  }

  double Slowness(const Upstream& u) const { return latency_.Slowness(u.latency, u.info.kind); }

  void RecordAnswerTime(Upstream& u, const Request& r, Outcome outcome, Duration elapsed) {
    latency_.RecordAnswer(u.latency, u.info.kind,
                          {r.class_index, r.latency_objective, SlowStartFactor(u), outcome, elapsed});
  }

  // Guards against hangs, silent machines and cut links, which show by nothing but time: passed over before
  // five in a row, while others stand. One answer clears it.
  bool IsSuspect(const Upstream& u) const {
    if (outliers_.IsSuspect(u.outlier) || zone_health_.IsUnavailable(u.info.zone)) return true;
    return u.in_flight.IsUnresponsive(now_, latency_.UsualTime(), Slowness(u), SlowStartFactor(u));
  }

  // An answer says that its zone is there; none to a call sent after the last one may say that it is not.
  void RecordZoneOutcome(const Attempt& a, Outcome outcome) {
    if (IsAnswer(outcome)) {
      zone_health_.RecordAnswer(a.upstream->info.zone, now_);
    } else if (outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed) {
      RecordSilence(a);
    }
  }

  void RecordSilence(const Attempt& a) {
    zone_health_.RecordSilence(a.upstream->info.zone, a.upstream->info.id, a.sent);
  }

  // May this upstream take a call? The one gate to every upstream. An ejected one takes trials only.
  bool MayTake(Upstream& u, bool half_open_probe = false) {
    return IsAvailable(u, half_open_probe) && HasSlowStartBudget(u);
  }

  // The same but for the budget of a cold one.
  bool IsAvailable(Upstream& u, bool half_open_probe) {
    if (u.info.state != UpstreamState::kServing) return false;
    ReturnIfEjectionOver(u);
    if (!half_open_probe) return !u.outlier.ejected;
    if (!zone_health_.MayProbe(u.info.zone, now_)) return false;
    return HalfOpenProbes::MayProbe(u.half_open, now_) && (u.outlier.ejected || IsSuspect(u));
  }

  // The next upstream for this request by smooth weighted rotation over the subset: one not yet tried while
  // any such stands, and of those one in good standing; then the crowded ones, then the suspects. None that
  // just said it is full. Members that are out, suspect or tried are made up for by the next ones in order.
  UpstreamPtr Choose(const Request& r, bool only_good = false) {
    round_robin_.Clear();
    double room = SubsetSize();
    const std::vector<UpstreamPtr>& ranked = upstreams_.ranked();
    for (std::size_t i = 0; i < ranked.size() && room > 0; ++i) {
      Upstream& u = *ranked[i];
      if (!IsAvailable(u, false) || now_ < u.in_flight.full_until || !retries_.MaySend(r, u.info, now_))
        continue;
      const bool suspect = IsSuspect(u);
      if (!HasSlowStartBudget(u)) {
        if (!suspect) round_robin_.AddWaiting(u.rotation, RotationWeight(u));
        continue;
      }
      const bool tried = r.HasTried(u);
      round_robin_.Add(
          {&u.rotation, i, RotationWeight(u), u.in_flight.attempts, tried, suspect, MustConnect(u)});
      if (!suspect && !tried) room -= SlowStartFactor(u);  // those in slow start are no help yet
    }
    const auto chosen = round_robin_.Choose(only_good);
    return chosen ? ranked[*chosen] : nullptr;
  }

  // Whether it has no connection while connecting is hard. One that has just started has its table of
  // connections empty.
  bool MustConnect(const Upstream& u) const {
    return connections_.IsConnectingHard() && SlowStartFactor(u) >= 1 &&
           !connections_.HasConnection(u.connection, u.in_flight.attempts, now_);
  }

  // ---- Attempts ----

  bool SendOrProbe(Request& r) {
    const UpstreamPtr pick = Choose(r);
    if (!pick) return false;
    r.probed = {{pick}};
    while (r.probed.size() < probes_.upstreams_per_request()) {
      const UpstreamPtr next = Choose(r);
      if (!next || r.HasTried(*next)) break;  // there is no other
      r.probed.push_back({next});
    }
    if (r.probed.size() == 1) {
      r.probed.clear();
      SendTo(r, pick, Reason::kRequest);
      return true;
    }
    for (const ProbedUpstream& a : r.probed) Emit(SendProbe{a.upstream->info.id});
    probes_.RecordSent(r.id);
    SetRequestTimer(r, now_ + probes_.Wait());
    return true;
  }

  // Of the upstreams asked, the one that holds the least for what it can do. Guards against queues that a
  // sidecar with a trickle does not see: they are other sidecars' calls.
  void ChooseByLoad(Request& r) {
    const std::vector<ProbedUpstream> probed = std::exchange(r.probed, {});
    probes_.RecordDone(r.id);
    if (r.ended || r.streaming) return;
    LeastLoaded least_loaded(r.latency_objective);
    for (std::size_t i = 0; i < probed.size(); ++i) {
      const ProbedUpstream& a = probed[i];
      Upstream& u = *a.upstream;
      if (!a.in_flight || !MayTake(u) || !retries_.MaySend(r, u.info, now_)) continue;
      least_loaded.Consider(i,
                            {*a.in_flight, a.served_per_s, Slowness(u), u.info.weight * SlowStartFactor(u)});
    }
    const auto least = least_loaded.best();
    UpstreamPtr best = least ? probed[*least].upstream : nullptr;
    const bool jammed = least_loaded.any_jammed();
    if (jammed && !best) RecordRefusal("overload, upstreams hold more than they can serve in time");
    if (!jammed && !best) best = Choose(r);
    if (best) return SendTo(r, best, Reason::kRequest);
    if (!r.AnyOut()) Finish(r);
  }

  void On(const ProbeEnded& e) {
    const UpstreamPtr upstream = upstreams_.Find(e.upstream);
    if (!upstream) return;
    // No answer to as little as this is a failure like another.
    if (e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kTimeout)
      OutlierDetector::RecordUnansweredProbe(upstream->outlier);
    const std::vector<RequestId> asking = probes_.waiting();
    for (const RequestId id : asking) {
      Request* r = requests_.Find(id);
      if (r == nullptr) continue;
      for (ProbedUpstream& a : r->probed) {
        if (a.upstream != upstream) continue;
        a.answered = true;
        a.in_flight = e.load.in_flight;
        a.served_per_s = e.load.rate.value_or(0);
      }
      if (std::all_of(r->probed.begin(), r->probed.end(), [](const ProbedUpstream& a) { return a.answered; }))
        ChooseByLoad(*r);
    }
  }

  enum class Reason { kRequest, kHedge, kHalfOpenProbe };

  void SendTo(Request& r, const UpstreamPtr& upstream, Reason reason) {
    Upstream& u = *upstream;
    const bool half_open_probe = reason == Reason::kHalfOpenProbe;
    ++(half_open_probe            ? counts_.half_open_probes
       : reason == Reason::kHedge ? counts_.hedges
       : r.attempts.empty()       ? counts_.first
                                  : counts_.retries);
    ++u.in_flight.sent;
    if (SlowStartFactor(u) < 1) SlowStart::Spend(u.slow_start), ++counts_.cold;
    if (!r.arriving) RecordHeld(u);
    if (half_open_probe) HalfOpenProbes::RecordSent(u.half_open);
    if (half_open_probe)
      zone_health_.RecordProbe(u.info.zone, now_ + Scaled(kFirstProbeDelay, 0.5 + random_.Uniform()));
    if (connections_.DropStale(u.connection, now_)) Emit(CloseIdle{u.info.id});
    const ConnectionUse use = connections_.Use(u.connection, u.in_flight.attempts, now_);
    counts_.connects += use.connects;
    r.attempts.push_back({upstream, now_, half_open_probe, use});
    r.attempts.back().in_flight = !r.arriving;
    Emit(SendAttempt{r.id, u.info.id, retries_.Timeout(r, shedder_.IsShedding(), now_)});
  }

  // What its upstream holds is what it can be late with: not a body that still comes, nor an answer that has
  // begun.
  void RecordHeld(Upstream& u) {
    u.in_flight.Begin(now_);
    shedder_.RecordSent();
  }

  void RecordReleased(Attempt& a) {
    if (!std::exchange(a.in_flight, false)) return;
    a.upstream->in_flight.End();
    shedder_.RecordReleased();
  }

  // A copy of a call that may be repeated tries out an ejected or suspect upstream; the client does not
  // depend on it, so a relapsing upstream costs no request. Where nothing else stands, the call itself is the
  // trial: refusing all while some could serve is the worst outcome.
  bool SendHalfOpenProbe(Request& r) {
    if (!retries_.MayProbe(r)) return false;
    for (const UpstreamPtr& u : upstreams_.ranked()) {
      if (r.HasTried(*u)) continue;
      if (!MayTake(*u, true) || !retries_.MaySend(r, u->info, now_)) continue;
      SendTo(r, u, Reason::kHalfOpenProbe);
      return true;
    }
    return false;
  }

  void On(const RequestArrived& e) {
    const auto request_class = static_cast<std::size_t>(e.request_class);
    if (request_class >= settings_.classes.size()) return;
    Request* added = requests_.Add(e.request);
    if (added == nullptr) return;
    Request& r = *added;
    r.request_class = &settings_.classes[request_class];
    r.class_index = request_class;
    const Duration stretch =
        Scaled(e.work.value_or(Duration::zero()), r.request_class->latency_objective_stretch);
    r.latency_objective = std::min(r.request_class->latency_objective + stretch,
                                   std::max(r.request_class->latency_objective, r.request_class->deadline));
    r.arrived = now_;
    r.deadline = e.arriving ? TimePoint::max() : e.deadline;
    r.arriving = e.arriving;
    r.time_allowed = std::max(e.deadline - now_, Duration(1));
    request_rate_.RecordArrival();
    retries_.budget().RecordRequest();
    if (!e.arriving) SetRequestTimer(r, r.deadline);
    Advance(r);
    ScheduleHedge(r);
  }

  // It may be sent on while it comes, but nobody can be late with it before it is whole.
  void On(const RequestComplete& e) {
    Request* r = requests_.Find(e.request);
    if (r == nullptr || !std::exchange(r->arriving, false)) return;
    r->arrived = now_;
    r->deadline = e.deadline;
    SetRequestTimer(*r, r->deadline);
    for (Attempt& a : r->attempts) {
      if (a.outcome || a.started) continue;
      a.sent = now_;
      a.in_flight = true;
      RecordHeld(*a.upstream);
    }
    ScheduleHedge(*r);
  }

  void ScheduleHedge(Request& r) {
    r.late_at = RetryPolicy::LateAt(r, latency_.UsualTime(r.class_index), now_);
    if (!r.ended && retries_.MayHedge(r) && r.late_at < r.deadline) SetRequestTimer(r, r.late_at);
  }

  void SetRequestTimer(const Request& r, TimePoint at) { Emit(SetTimer{at, requests_.AddTimer(r.id)}); }

  // Another attempt where one helps and is allowed, else the final answer. Nothing to do while one is out.
  void Advance(Request& r) {
    if (r.ended || r.streaming || r.AnyOut() || !r.probed.empty()) return;
    const bool first = r.attempts.empty();
    if (first && !IsAdmitted(r)) {
      RecordRefusal("overload, answers come late");
      ++counts_.overload;
      return Finish(r);
    }
    if (retries_.TakeRetry(r, now_) && SendOrProbe(r)) {
      if (first) SendHalfOpenProbe(r);
      return;
    }
    if (first && SendHalfOpenProbe(r)) return;
    if (first) RecordRefusal("no upstream can take a call");
    ++(first ? counts_.nobody : counts_.given_up);
    Finish(r);
  }

  // A second copy of a call that is late against what is usual: guards against hangs and pauses. Never onto
  // an upstream that is no better.
  void Hedge(Request& r) {
    if (r.ended || r.streaming || !r.AnyOut()) return;
    if (now_ < r.late_at) return;
    for (const Attempt& a : r.attempts) {
      if (IsUnanswered(a)) RecordSilence(a);
    }
    const bool crowded = shedder_.IsShedding();
    const UpstreamPtr pick = crowded || !retries_.budget().Allows() ? nullptr : Choose(r, true);
    if (!pick) {
      // Nobody who holds it says a word: later, when it has waited as long again.
      r.late_at = now_ + (now_ - r.arrived);
      if (AllUnanswered(r) && r.late_at < r.deadline) SetRequestTimer(r, r.late_at);
      return;
    }
    retries_.budget().Spend();
    SendTo(r, pick, Reason::kHedge);
  }

  // Has its upstream answered nothing at all since it was sent?
  static bool IsUnanswered(const Attempt& a) {
    return !a.outcome && a.upstream->in_flight.waiting_since <= a.sent;
  }

  static bool AllUnanswered(const Request& r) {
    return std::all_of(r.attempts.begin(), r.attempts.end(),
                       [](const Attempt& a) { return a.outcome || IsUnanswered(a); });
  }

  // Its copy, sent when it was late, has been served before it, and its upstream says nothing: a time-out
  // that was not waited for. Guards against upstreams that swallow calls, which copies hide from the failure
  // run. Calls that were out together tell of one silence, not of several.
  void RecordOvertaken(const Request& r, const Attempt& winner) {
    for (const Attempt& a : r.attempts) {
      Upstream& u = *a.upstream;
      if (!IsUnanswered(a) || a.half_open_probe || a.sent >= winner.sent || a.sent < u.outlier.overtaken_at)
        continue;
      if (u.info.state != UpstreamState::kServing) continue;
      if (const auto ejection = outliers_.RecordOvertaken(u.outlier, now_)) RecordEjection(u, *ejection);
    }
  }

  void On(const AnswerStarted& e) {
    Request* r = requests_.Find(e.request);
    Attempt* attempt = r == nullptr || r->ended ? nullptr : AttemptOf(*r, e.attempt);
    if (attempt == nullptr || attempt->outcome || r->streaming) return;
    r->streaming = attempt->started = true;
    Upstream& u = *attempt->upstream;
    RecordReleased(*attempt);
    u.in_flight.waiting_since = now_;
    RecordLateness(*r, u, Outcome::kServed, now_ - attempt->sent);
    RecordAnswerTime(u, *r, Outcome::kServed, now_ - attempt->sent);
    for (std::size_t i = 0; i < r->attempts.size(); ++i) {
      if (i != static_cast<std::size_t>(e.attempt)) Cancel(*r, i);
    }
  }

  void On(const AttemptEnded& e) {
    Request* r = requests_.Find(e.request);
    Attempt* attempt = r == nullptr ? nullptr : AttemptOf(*r, e.attempt);
    if (attempt == nullptr || attempt->outcome) return;
    attempt->outcome = e.outcome;
    ++counts_.ended[static_cast<std::size_t>(e.outcome)];
    Upstream& u = *attempt->upstream;
    RecordReleased(*attempt);
    if (!attempt->started) RecordLateness(*r, u, e.outcome, e.elapsed);
    connections_.RecordOutcome(u.connection, attempt->connection, e.outcome, e.elapsed,
                               latency_.UsualTime(r->class_index), now_);
    if (!attempt->started) RecordAnswerTime(u, *r, e.outcome, e.elapsed);
    RecordZoneOutcome(*attempt, e.outcome);
    RecordOutcome(u, *attempt, e.outcome);
    if (e.outcome == Outcome::kServed) request_rate_.RecordServed();
    if (r->streaming && !attempt->started) {
      // One of those that were called off: the answer that has begun goes on.
    } else if (e.finished) {
      if (e.outcome == Outcome::kServed) RecordOvertaken(*r, *attempt);
      End(*r);
    } else if (r->streaming) {
      Finish(*r);  // a broken stream that the sidecar still wants an answer for
    } else {
      Advance(*r);
    }
    requests_.ForgetIfDone(e.request);
  }

  void On(const ClientDisconnected& e) {
    Request* r = requests_.Find(e.request);
    if (r == nullptr) return;
    End(*r);
    requests_.ForgetIfDone(e.request);
  }

  // ---- Admission and the final answer ----

  bool IsAdmitted(const Request& r) {
    shedder_.RecordDemand(r.class_index, latency_.UsualTime(r.class_index));
    return !shedder_.RefusesAny() ||
           random_.Uniform() < shedder_.AdmittedShare(r.class_index, latency_.UsualTimes());
  }

  // Lateness of one in slow start, suspect or ejected is its own trouble.
  bool IsTelling(const Upstream& u) const {
    return !u.outlier.ejected && SlowStartFactor(u) >= 1 && !IsSuspect(u);
  }

  void RecordLateness(const Request& r, const Upstream& u, Outcome outcome, Duration elapsed) {
    shedder_.RecordOutcome(
        {outcome, elapsed, r.latency_objective, LatencyModel::IsLoaded(u.latency), IsTelling(u)},
        request_rate_.usual());
  }

  FleetWeights SumWeights() const {
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

  void RecordRefusal(const std::string& why) {
    if (shedder_.RecordRefusal(now_)) Say("refusing: " + why);
  }

  // Give the final answer: a refusal where it is true that nothing was done or that repeating is harmless,
  // else a failure. The one way out but for a served answer.
  void Finish(Request& r) {
    if (r.ended) return;
    if (RetryPolicy::MayReject(r)) {
      Emit(Reject{r.id, retries_.RetryAfter(random_.Uniform())});
    } else {
      Emit(Fail{r.id});
    }
    End(r);
  }

  // Nothing more is sent for it from here on; what is still out is called off.
  void End(Request& r) {
    r.ended = true;
    probes_.RecordDone(r.id);
    for (std::size_t i = 0; i < r.attempts.size(); ++i) Cancel(r, i);
  }

  void Cancel(const Request& r, std::size_t attempt) {
    if (r.attempts[attempt].outcome || !settings_.limits.cancel) return;
    if (r.attempts[attempt].half_open_probe) return;  // its outcome is what it was sent for
    Emit(CancelAttempt{r.id, AttemptId{attempt}});
  }

  // ---- Slow start ----

  double SlowStartFactor(const Upstream& u) const { return slow_start_.Factor(u.info.started, now_); }

  double LikelyFactor(const Upstream& u) const { return latency_.LikelyFactor(SlowStartFactor(u)); }

  SlowStartUpstream BudgetBasis(const Upstream& u, double factor) const {
    return {factor, u.info.weight, u.subset.in_subset, subset_.share()};
  }

  bool HasSlowStartBudget(Upstream& u) {
    return slow_start_.HasBudget(u.slow_start, BudgetBasis(u, SlowStartFactor(u)), now_);
  }

  void RecordTick() {
    slow_start_.RecordTick({request_rate_.arrivals(), request_rate_.served(), request_rate_.Age(now_),
                            shedder_.weights().telling, shedder_.weights().serving,
                            upstreams_.ServingWeight()});
    request_rate_.RecordTick(now_, slow_start_.RateMemorySeconds());
    subset_.RecordTick(slow_start_.FadingPerTick());
    MarkSubset();
  }

  // ---- Timers and small helpers ----

  void On(const TimerFired& e) {
    if (e.token == kTickToken) return Tick();
    const std::optional<RequestId> id = requests_.TakeTimer(e.token);
    Request* r = id ? requests_.Find(*id) : nullptr;
    if (r == nullptr) return;
    if (now_ < r->deadline) return r->probed.empty() ? Hedge(*r) : ChooseByLoad(*r);
    if (!r->streaming) Finish(*r);
    requests_.ForgetIfDone(*id);
  }

  void Tick() {
    Emit(SetTimer{now_ + kTickInterval, kTickToken});
    RecordTick();
    shedder_.RecordTick(SumWeights());
    connections_.RecordTick();
    if (shedder_.RefusingEnded(now_)) Say("taking calls again");
    for (const UpstreamPtr& u : upstreams_.ranked()) ReturnIfEjectionOver(*u);
    if (ask_again_at_ && now_ >= *ask_again_at_) {
      ask_again_at_.reset();
      Emit(Subscribe{});
    }
  }

  static Attempt* AttemptOf(Request& r, AttemptId id) {
    const auto i = static_cast<std::size_t>(id);
    return i < r.attempts.size() ? &r.attempts[i] : nullptr;
  }

  template <typename T>
  void Emit(T action) {
    out_->emplace_back(std::move(action));
  }
  void Say(std::string text) { Emit(Log{std::move(text)}); }

  Counts counts_;
  const Settings settings_;
  Random random_;
  TimePoint now_;
  std::vector<Action>* out_ = nullptr;
  bool running_ = false;
  RequestTable requests_;
  std::optional<TimePoint> ask_again_at_;
  SmoothWeightedRoundRobin round_robin_;
  LoadProbes probes_;
  UpstreamSet upstreams_;
  RequestRate request_rate_;
  ZoneHealth zone_health_;
  OutlierDetector outliers_;
  ConnectionModel connections_;
  LatencyModel latency_;
  SlowStart slow_start_;
  Subset subset_;
  LoadShedder shedder_;
  RetryPolicy retries_;
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

Counts Balancer::counts() const { return impl_->CountsNow(); }

std::vector<UpstreamView> Balancer::upstreams(TimePoint now) const { return impl_->Upstreams(now); }

}  // namespace mothrack::balancer
