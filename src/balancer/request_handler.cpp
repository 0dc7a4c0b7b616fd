#include "balancer/request_handler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

RequestHandler::RequestHandler(Context& context, Fleet& fleet)
    : context_(context),
      fleet_(fleet),
      retries_(context.settings.limits),
      probes_(context.settings),
      shedder_(context.settings.classes) {}

// ---- Events ----

void RequestHandler::Handle(const RequestArrived& e) {
  const auto class_index = static_cast<std::size_t>(e.request_class);
  if (class_index >= context_.settings.classes.size()) return;
  Request* const added = requests_.Add(e.request);
  if (added == nullptr) return;
  Request& r = *added;
  const RequestClass& request_class = context_.settings.classes[class_index];
  r.request_class = &request_class;
  r.class_index = class_index;
  const Duration stretch = Scaled(e.work.value_or(Duration::zero()), request_class.latency_objective_stretch);
  r.latency_objective = std::min(request_class.latency_objective + stretch,
                                 std::max(request_class.latency_objective, request_class.deadline));
  r.arrived = context_.now;
  r.deadline = e.arriving ? TimePoint::max() : e.deadline;
  r.arriving = e.arriving;
  r.time_allowed = std::max(e.deadline - context_.now, Duration(1));
  fleet_.RecordArrival();
  retries_.budget().RecordRequest();
  if (!e.arriving) SetRequestTimer(r, r.deadline);
  Advance(r);
  ScheduleHedge(r);
}

// Attempts may have started while the body was being received, but no upstream can be late before it is
// complete.
void RequestHandler::Handle(const RequestComplete& e) {
  Request* const r = requests_.Find(e.request);
  if (r == nullptr || !std::exchange(r->arriving, false)) return;
  r->arrived = context_.now;
  r->deadline = e.deadline;
  SetRequestTimer(*r, r->deadline);
  for (Attempt& a : r->attempts) {
    if (a.outcome || a.started) continue;
    a.sent = context_.now;
    RecordInFlight(a);
  }
  ScheduleHedge(*r);
}

void RequestHandler::Handle(const AnswerStarted& e) {
  Request* const r = requests_.Find(e.request);
  Attempt* const attempt = r == nullptr || r->ended ? nullptr : r->FindAttempt(e.attempt);
  if (attempt == nullptr || attempt->outcome || r->streaming) return;
  r->streaming = attempt->started = true;
  RecordReleased(*attempt);
  fleet_.RecordAnswerStarted(*attempt);
  const Duration elapsed = context_.now - attempt->sent;
  RecordLateness(*r, *attempt, Outcome::kServed, elapsed);
  fleet_.RecordAnswerTime(*r, *attempt, Outcome::kServed, elapsed);
  for (std::size_t i = 0; i < r->attempts.size(); ++i) {
    if (i != static_cast<std::size_t>(e.attempt)) Cancel(*r, i);
  }
}

void RequestHandler::Handle(const AttemptEnded& e) {
  Request* const r = requests_.Find(e.request);
  Attempt* const attempt = r == nullptr ? nullptr : r->FindAttempt(e.attempt);
  if (attempt == nullptr || attempt->outcome) return;
  attempt->outcome = e.outcome;
  ++context_.counts.ended[static_cast<std::size_t>(e.outcome)];
  RecordReleased(*attempt);
  if (!attempt->started) RecordLateness(*r, *attempt, e.outcome, e.elapsed);
  fleet_.RecordOutcome(*r, *attempt, e.elapsed);
  if (r->streaming && !attempt->started) {
    // An attempt that was cancelled for the one whose answer is being streamed.
  } else if (e.finished) {
    if (e.outcome == Outcome::kServed) fleet_.RecordOvertaken(*r, *attempt);
    End(*r);
  } else if (r->streaming) {
    Finish(*r);  // the stream broke, and the sidecar still needs a final answer
  } else {
    Advance(*r);
  }
  requests_.ForgetIfDone(e.request);
}

void RequestHandler::Handle(const ClientDisconnected& e) {
  Request* const r = requests_.Find(e.request);
  if (r == nullptr) return;
  End(*r);
  requests_.ForgetIfDone(e.request);
}

void RequestHandler::Handle(const ProbeEnded& e) {
  const UpstreamPtr upstream = fleet_.Find(e.upstream);
  if (!upstream) return;
  if (e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kTimeout)
    fleet_.RecordUnansweredProbe(*upstream);
  const std::vector<RequestId> waiting = probes_.waiting();  // a copy: ChooseByLoad() removes entries
  for (const RequestId id : waiting) {
    Request* const r = requests_.Find(id);
    if (r == nullptr) continue;
    r->RecordLoad(*upstream, e.load);
    if (r->HasAllLoads()) ChooseByLoad(*r);
  }
}

void RequestHandler::HandleTimer(std::uint64_t token) {
  const std::optional<RequestId> id = requests_.TakeTimer(token);
  Request* const r = id ? requests_.Find(*id) : nullptr;
  if (r == nullptr) return;
  if (context_.now < r->deadline) {
    if (r->probed.empty()) return Hedge(*r);
    return ChooseByLoad(*r);
  }
  if (!r->streaming) Finish(*r);
  requests_.ForgetIfDone(*id);
}

// ---- Attempts ----

// Makes another attempt if that helps and is allowed, else gives the final answer. Does nothing while an
// attempt is in flight.
void RequestHandler::Advance(Request& r) {
  if (r.ended || r.streaming || r.AnyOut() || !r.probed.empty()) return;
  const bool first = r.attempts.empty();
  if (first && !IsAdmitted(r)) {
    RecordRefusal("overload, answers come late");
    ++context_.counts.overload;
    return Finish(r);
  }
  if (retries_.TakeRetry(r, context_.now) && SendOrProbe(r)) {
    if (first) SendHalfOpenProbe(r);
    return;
  }
  if (first && SendHalfOpenProbe(r)) return;
  if (first) RecordRefusal("no upstream can take a call");
  ++(first ? context_.counts.no_upstream : context_.counts.given_up);
  Finish(r);
}

bool RequestHandler::IsAdmitted(const Request& r) {
  shedder_.RecordDemand(r.class_index, fleet_.latency().UsualTime(r.class_index));
  if (!shedder_.RefusesAny()) return true;
  fleet_.latency().GetUsualTimes(usual_times_);
  return context_.random.Uniform() < shedder_.AdmittedShare(r.class_index, usual_times_);
}

// Sends the request to the next upstream, or first probes the load of the next few. False if there is none.
bool RequestHandler::SendOrProbe(Request& r) {
  const UpstreamPtr first = fleet_.Choose(r, retries_);
  if (!first) return false;
  r.probed = {{first}};
  while (r.probed.size() < probes_.upstreams_per_request()) {
    const UpstreamPtr next = fleet_.Choose(r, retries_);
    if (!next || r.HasTried(*next)) break;  // no further upstream
    r.probed.push_back({next});
  }
  if (r.probed.size() == 1) {
    r.probed.clear();
    SendTo(r, first, Reason::kRequest);
    return true;
  }
  for (const ProbedUpstream& probed : r.probed) context_.Emit(SendProbe{probed.upstream->info.id});
  probes_.RecordSent(r.id);
  SetRequestTimer(r, context_.now + probes_.Wait());
  return true;
}

// Sends the request to the probed upstream with the least load per capacity.
void RequestHandler::ChooseByLoad(Request& r) {
  const std::vector<ProbedUpstream> probed = std::exchange(r.probed, {});
  probes_.RecordDone(r.id);
  if (r.ended || r.streaming) return;
  LeastLoaded least_loaded(r.latency_objective);
  for (std::size_t i = 0; i < probed.size(); ++i) {
    Upstream& u = *probed[i].upstream;
    if (!probed[i].in_flight || !fleet_.MayTake(u) || !retries_.MaySend(r, u.info, context_.now)) continue;
    least_loaded.Consider(i, fleet_.LoadOf(probed[i]));
  }
  UpstreamPtr chosen;
  if (const auto best = least_loaded.best()) {
    chosen = probed[*best].upstream;
  } else if (least_loaded.any_jammed()) {
    RecordRefusal("overload, upstreams hold more than they can serve in time");
  } else {
    chosen = fleet_.Choose(r, retries_);
  }
  if (chosen) return SendTo(r, chosen, Reason::kRequest);
  if (!r.AnyOut()) Finish(r);
}

void RequestHandler::SendTo(Request& r, const UpstreamPtr& upstream, Reason reason) {
  const bool half_open_probe = reason == Reason::kHalfOpenProbe;
  ++(half_open_probe            ? context_.counts.half_open_probes
     : reason == Reason::kHedge ? context_.counts.hedges
     : r.attempts.empty()       ? context_.counts.first
                                : context_.counts.retries);
  const bool in_flight = !r.arriving;
  if (in_flight) shedder_.RecordSent();
  const ConnectionUse use = fleet_.RecordSent(*upstream, half_open_probe, in_flight);
  r.attempts.push_back({upstream, context_.now, half_open_probe, use, in_flight});
  const Duration timeout = retries_.Timeout(r, shedder_.IsShedding(), context_.now);
  context_.Emit(SendAttempt{r.id, upstream->info.id, timeout});
}

// A hedge of a request that may be repeated tests an ejected or suspect upstream. The client does not depend
// on it, so a failure costs no request. If no other upstream is left, the request itself is the probe:
// rejecting all requests while some upstream could serve is the worst outcome.
bool RequestHandler::SendHalfOpenProbe(Request& r) {
  if (!retries_.MayProbe(r)) return false;
  for (const UpstreamPtr& u : fleet_.ranked()) {
    if (r.HasTried(*u)) continue;
    if (!fleet_.MayTake(*u, true) || !retries_.MaySend(r, u->info, context_.now)) continue;
    SendTo(r, u, Reason::kHalfOpenProbe);
    return true;
  }
  return false;
}

// Hedges a request that is late compared to its class, against hangs and pauses. Never to an upstream that is
// no better.
void RequestHandler::Hedge(Request& r) {
  if (r.ended || r.streaming || !r.AnyOut()) return;
  if (context_.now < r.late_at) return;
  fleet_.RecordSilence(r);
  const bool affordable = !shedder_.IsShedding() && retries_.budget().Allows();
  const UpstreamPtr chosen = affordable ? fleet_.Choose(r, retries_, true) : nullptr;
  if (!chosen) {
    // Not affordable now, or no better upstream: check again when it has waited twice as long.
    r.late_at = context_.now + (context_.now - r.arrived);
    if (r.IsUnanswered() && r.late_at < r.deadline) SetRequestTimer(r, r.late_at);
    return;
  }
  retries_.budget().Spend();
  SendTo(r, chosen, Reason::kHedge);
}

void RequestHandler::ScheduleHedge(Request& r) {
  r.late_at = RetryPolicy::LateAt(r, fleet_.latency().UsualTime(r.class_index), context_.now);
  if (!r.ended && retries_.MayHedge(r) && r.late_at < r.deadline) SetRequestTimer(r, r.late_at);
}

void RequestHandler::SetRequestTimer(const Request& r, TimePoint at) {
  context_.Emit(SetTimer{at, requests_.AddTimer(r.id)});
}

void RequestHandler::RecordInFlight(Attempt& a) {
  a.in_flight = true;
  fleet_.RecordInFlight(*a.upstream);
  shedder_.RecordSent();
}

void RequestHandler::RecordReleased(Attempt& a) {
  if (!std::exchange(a.in_flight, false)) return;
  fleet_.RecordReleased(*a.upstream);
  shedder_.RecordReleased();
}

void RequestHandler::RecordLateness(const Request& r, const Attempt& attempt, Outcome outcome,
                                    Duration elapsed) {
  shedder_.RecordOutcome(fleet_.LatenessOf(r, attempt, outcome, elapsed), fleet_.usual_rate());
}

// ---- Rejection and the final answer ----

void RequestHandler::RecordRefusal(const std::string& why) {
  if (shedder_.RecordRefusal(context_.now)) context_.EmitLog("refusing: " + why);
}

void RequestHandler::EndRefusing() {
  if (shedder_.RefusingEnded(context_.now)) context_.EmitLog("taking calls again");
}

// Gives the final answer if no attempt was served: Reject if the request had no effect or repeating it is
// harmless, else Fail.
void RequestHandler::Finish(Request& r) {
  if (r.ended) return;
  if (RetryPolicy::MayReject(r)) {
    context_.Emit(Reject{r.id, retries_.RetryAfter(context_.random.Uniform())});
  } else {
    context_.Emit(Fail{r.id});
  }
  End(r);
}

// No further attempt is made; those in flight are cancelled.
void RequestHandler::End(Request& r) {
  r.ended = true;
  probes_.RecordDone(r.id);
  for (std::size_t i = 0; i < r.attempts.size(); ++i) Cancel(r, i);
}

void RequestHandler::Cancel(const Request& r, std::size_t attempt) {
  if (r.attempts[attempt].outcome || !context_.settings.limits.cancel) return;
  if (r.attempts[attempt].half_open_probe) return;  // its outcome is still wanted
  context_.Emit(CancelAttempt{r.id, AttemptId{attempt}});
}

}  // namespace mothrack::balancer
