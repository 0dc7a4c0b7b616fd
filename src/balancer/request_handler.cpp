#include "balancer/request_handler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "balancer/arithmetic.h"

namespace mothrack::balancer {

namespace {

// How long a body takes depends on its size, so an answer is as late as its first byte.
AnswerTiming TimingOf(const AttemptEnded& event) {
  const bool timed = event.outcome == Outcome::kServed || event.outcome == Outcome::kTimeout;
  if (timed && event.answer_time) return {Outcome::kServed, *event.answer_time};
  return {event.outcome, event.elapsed};
}

}  // namespace

RequestHandler::RequestHandler(Context& context, Fleet& fleet)
    : context_(context),
      fleet_(fleet),
      retries_(context.settings.limits),
      probes_(context.settings),
      shedder_(context.settings.classes) {}

// ---- Events ----

void RequestHandler::Handle(const RequestArrived& event) {
  const auto class_index = static_cast<std::size_t>(event.request_class);
  if (class_index >= context_.settings.classes.size()) return;
  Request* const added = requests_.Add(event.request);
  if (added == nullptr) return;
  Request& request = *added;
  const RequestClass& request_class = context_.settings.classes[class_index];
  request.request_class = &request_class;
  request.class_index = class_index;
  const Duration stretch =
      Scaled(event.work.value_or(Duration::zero()), request_class.latency_objective_stretch);
  request.latency_objective = std::min(request_class.latency_objective + stretch,
                                       std::max(request_class.latency_objective, request_class.deadline));
  request.arrived = context_.now;
  request.deadline = event.arriving ? TimePoint::max() : event.deadline;
  request.arriving = event.arriving;
  request.time_allowed = std::max(event.deadline - context_.now, Duration(1));
  fleet_.RecordArrival();
  retries_.budget().RecordRequest();
  if (!event.arriving) SetRequestTimer(request, request.deadline);
  Advance(request);
  ScheduleHedge(request);
}

// Attempts may have started while the body was being received, but no upstream can be late before it is
// complete.
void RequestHandler::Handle(const RequestComplete& event) {
  Request* const request = requests_.Find(event.request);
  if (request == nullptr || !std::exchange(request->arriving, false)) return;
  request->arrived = context_.now;
  request->deadline = event.deadline;
  SetRequestTimer(*request, request->deadline);
  for (Attempt& attempt : request->attempts) {
    if (attempt.outcome || attempt.started) continue;
    attempt.sent = context_.now;
    RecordInFlight(attempt);
  }
  ScheduleHedge(*request);
}

void RequestHandler::Handle(const AnswerStarted& event) {
  Request* const request = requests_.Find(event.request);
  Attempt* const attempt =
      request == nullptr || request->ended ? nullptr : request->FindAttempt(event.attempt);
  if (attempt == nullptr || attempt->outcome || request->streaming) return;
  request->streaming = attempt->started = true;
  RecordReleased(*attempt);
  fleet_.RecordAnswerStarted(*attempt);
  const Duration answer_time = event.answer_time.value_or(context_.now - attempt->sent);
  RecordLateness(*request, *attempt, Outcome::kServed, answer_time);
  fleet_.RecordAnswerTime(*request, *attempt, Outcome::kServed, answer_time);
  for (std::size_t i = 0; i < request->attempts.size(); ++i) {
    if (i != static_cast<std::size_t>(event.attempt)) Cancel(*request, i);
  }
}

void RequestHandler::Handle(const AttemptEnded& event) {
  Request* const request = requests_.Find(event.request);
  Attempt* const attempt = request == nullptr ? nullptr : request->FindAttempt(event.attempt);
  if (attempt == nullptr || attempt->outcome) return;
  attempt->outcome = event.outcome;
  attempt->request_incomplete = event.request_incomplete;
  ++context_.counts.ended[static_cast<std::size_t>(event.outcome)];
  RecordReleased(*attempt);
  const AnswerTiming answer = TimingOf(event);
  if (!attempt->started) RecordLateness(*request, *attempt, answer.outcome, answer.elapsed);
  fleet_.RecordOutcome(*request, *attempt, event.elapsed, answer);
  if (request->streaming && !attempt->started) {
    // This attempt was cancelled because another one's answer is being streamed. Nothing is left to decide.
  } else if (event.finished) {
    if (event.outcome == Outcome::kServed) fleet_.RecordOvertaken(*request, *attempt);
    End(*request);
  } else if (request->streaming) {
    Finish(*request);  // the stream broke, and the sidecar still needs a final answer
  } else {
    Advance(*request);
  }
  requests_.RemoveIfEnded(event.request);
}

void RequestHandler::Handle(const ClientDisconnected& event) {
  Request* const request = requests_.Find(event.request);
  if (request == nullptr) return;
  End(*request);
  requests_.RemoveIfEnded(event.request);
}

void RequestHandler::Handle(const ProbeEnded& event) {
  const UpstreamPtr upstream = fleet_.Find(event.upstream);
  if (!upstream) return;
  if (event.outcome == Outcome::kConnectFailed || event.outcome == Outcome::kTimeout)
    fleet_.RecordUnansweredProbe(*upstream);
  const std::vector<RequestId> waiting = probes_.waiting();  // a copy: ChooseByLoad() removes entries
  for (const RequestId id : waiting) {
    Request* const request = requests_.Find(id);
    if (request == nullptr) continue;
    request->RecordLoad(*upstream, event.load);
    if (request->HasAllLoadReports()) ChooseByLoad(*request);
  }
}

void RequestHandler::HandleTimer(std::uint64_t token) {
  const std::optional<RequestId> id = requests_.TakeTimer(token);
  Request* const request = id ? requests_.Find(*id) : nullptr;
  if (request == nullptr) return;
  if (context_.now < request->deadline) {
    if (request->probed.empty()) return Hedge(*request);
    return ChooseByLoad(*request);
  }
  if (!request->streaming) Finish(*request);
  requests_.RemoveIfEnded(*id);
}

// ---- Attempts ----

// Makes another attempt if that helps and is allowed, else gives the final answer. Does nothing while an
// attempt is in flight.
void RequestHandler::Advance(Request& request) {
  if (request.ended || request.streaming || request.HasPendingAttempt() || !request.probed.empty()) return;
  const bool first = request.attempts.empty();
  if (first && !IsAdmitted(request)) {
    RecordRejection("overload, answers come late");
    ++context_.counts.overload;
    return Finish(request);
  }
  if (retries_.TakeRetry(request, context_.now) && SendOrProbe(request)) {
    if (first) SendHalfOpenProbe(request);
    return;
  }
  if (first && SendHalfOpenProbe(request)) return;
  if (first) RecordRejection("no upstream can take a call");
  ++(first ? context_.counts.no_upstream : context_.counts.given_up);
  Finish(request);
}

bool RequestHandler::IsAdmitted(const Request& request) {
  shedder_.RecordDemand(request.class_index, fleet_.latency().UsualTime(request.class_index));
  if (!shedder_.RejectsAny()) return true;
  fleet_.latency().GetUsualTimes(usual_times_);
  return context_.random.Uniform() < shedder_.AdmittedShare(request.class_index, usual_times_);
}

// Sends the request to the next upstream, or first probes the load of the next few. Returns false if no
// upstream can get it.
bool RequestHandler::SendOrProbe(Request& request) {
  const UpstreamPtr first = fleet_.Choose(request, retries_);
  if (!first) return false;
  request.probed = {{first}};
  while (request.probed.size() < probes_.upstreams_per_request()) {
    const UpstreamPtr next = fleet_.Choose(request, retries_);
    if (!next || request.HasTried(*next)) break;  // there is no further upstream
    request.probed.push_back({next});
  }
  if (request.probed.size() == 1) {
    request.probed.clear();
    SendTo(request, first, Reason::kRequest);
    return true;
  }
  for (const ProbedUpstream& probed : request.probed) context_.Emit(SendProbe{probed.upstream->info.id});
  probes_.RecordSent(request.id);
  SetRequestTimer(request, context_.now + probes_.Wait());
  return true;
}

// Sends the request to the probed upstream with the least load per capacity.
void RequestHandler::ChooseByLoad(Request& request) {
  const std::vector<ProbedUpstream> probed = std::exchange(request.probed, {});
  probes_.StopWaiting(request.id);
  if (request.ended || request.streaming) return;
  LeastLoaded least_loaded(request.latency_objective);
  for (std::size_t i = 0; i < probed.size(); ++i) {
    Upstream& upstream = *probed[i].upstream;
    if (!probed[i].in_flight || !fleet_.MaySendTo(upstream) ||
        !retries_.MaySend(request, upstream.info, context_.now))
      continue;
    least_loaded.Consider(i, fleet_.LoadOf(probed[i]));
  }
  UpstreamPtr chosen;
  if (const auto best = least_loaded.best()) {
    chosen = probed[*best].upstream;
  } else if (least_loaded.any_overloaded()) {
    RecordRejection("overload, upstreams hold more than they can serve in time");
  } else {
    chosen = fleet_.Choose(request, retries_);
  }
  if (chosen) return SendTo(request, chosen, Reason::kRequest);
  if (!request.HasPendingAttempt()) Finish(request);
}

void RequestHandler::SendTo(Request& request, const UpstreamPtr& upstream, Reason reason) {
  const bool half_open_probe = reason == Reason::kHalfOpenProbe;
  ++(half_open_probe            ? context_.counts.half_open_probes
     : reason == Reason::kHedge ? context_.counts.hedges
     : request.attempts.empty() ? context_.counts.first
                                : context_.counts.retries);
  const bool in_flight = !request.arriving;
  if (in_flight) shedder_.RecordSent();
  const ConnectionUse use = fleet_.RecordSent(*upstream, half_open_probe, in_flight);
  request.attempts.push_back({upstream, context_.now, half_open_probe, use, in_flight});
  const Duration timeout = retries_.Timeout(request, shedder_.IsShedding(), context_.now);
  context_.Emit(SendAttempt{request.id, upstream->info.id, timeout});
}

// Tests an ejected or suspect upstream by a hedge of a request that may be repeated. The client does not
// depend on the hedge, so a failure costs no request. If no other upstream is left, the request itself is the
// probe: rejecting all requests while some upstream could serve is the worst outcome.
bool RequestHandler::SendHalfOpenProbe(Request& request) {
  if (!retries_.MayProbe(request)) return false;
  for (const UpstreamPtr& upstream : fleet_.ranked()) {
    if (request.HasTried(*upstream)) continue;
    if (!fleet_.MaySendTo(*upstream, true) || !retries_.MaySend(request, upstream->info, context_.now))
      continue;
    SendTo(request, upstream, Reason::kHalfOpenProbe);
    return true;
  }
  return false;
}

// Hedges a request that is late compared to its class, in case its upstream hangs or pauses. A hedge is never
// sent to an upstream that was tried or is suspect.
void RequestHandler::Hedge(Request& request) {
  if (request.ended || request.streaming || !request.HasPendingAttempt()) return;
  if (context_.now < request.late_at) return;
  fleet_.RecordUnanswered(request);
  const bool affordable = !shedder_.IsShedding() && retries_.budget().Allows();
  const UpstreamPtr chosen = affordable ? fleet_.Choose(request, retries_, true) : nullptr;
  if (!chosen) {
    // Not affordable now, or no healthy upstream is left: check again when the request has waited twice as
    // long.
    request.late_at = context_.now + (context_.now - request.arrived);
    if (request.IsUnanswered() && request.late_at < request.deadline)
      SetRequestTimer(request, request.late_at);
    return;
  }
  retries_.budget().Spend();
  SendTo(request, chosen, Reason::kHedge);
}

void RequestHandler::ScheduleHedge(Request& request) {
  request.late_at =
      RetryPolicy::LateAt(request, fleet_.latency().UsualTime(request.class_index), context_.now);
  if (!request.ended && retries_.MayHedge(request) && request.late_at < request.deadline)
    SetRequestTimer(request, request.late_at);
}

void RequestHandler::SetRequestTimer(const Request& request, TimePoint at) {
  context_.Emit(SetTimer{at, requests_.AddTimer(request.id)});
}

void RequestHandler::RecordInFlight(Attempt& attempt) {
  attempt.in_flight = true;
  fleet_.RecordInFlight(*attempt.upstream);
  shedder_.RecordSent();
}

void RequestHandler::RecordReleased(Attempt& attempt) {
  if (!std::exchange(attempt.in_flight, false)) return;
  fleet_.RecordReleased(*attempt.upstream);
  shedder_.RecordReleased();
}

void RequestHandler::RecordLateness(const Request& request, const Attempt& attempt, Outcome outcome,
                                    Duration elapsed) {
  shedder_.RecordOutcome(fleet_.LatenessOf(request, attempt, outcome, elapsed), fleet_.usual_rate());
}

// ---- Rejection and the final answer ----

void RequestHandler::RecordRejection(const std::string& why) {
  if (shedder_.RecordRejection(context_.now)) context_.EmitLog("refusing: " + why);
}

void RequestHandler::LogEndOfRejections() {
  if (shedder_.RejectionsEnded(context_.now)) context_.EmitLog("taking calls again");
}

// Gives the final answer if no attempt was served: Reject if the request had no effect or repeating it is
// harmless, else Fail.
void RequestHandler::Finish(Request& request) {
  if (request.ended) return;
  if (RetryPolicy::MayReject(request)) {
    context_.Emit(Reject{request.id, retries_.RetryAfter(context_.random.Uniform())});
  } else {
    context_.Emit(Fail{request.id});
  }
  End(request);
}

// Ends the request: no further attempt is made, and those in flight are cancelled.
void RequestHandler::End(Request& request) {
  request.ended = true;
  probes_.StopWaiting(request.id);
  for (std::size_t i = 0; i < request.attempts.size(); ++i) Cancel(request, i);
}

void RequestHandler::Cancel(const Request& request, std::size_t attempt) {
  if (request.attempts[attempt].outcome || !context_.settings.limits.cancel) return;
  if (request.attempts[attempt].half_open_probe) return;  // its outcome is still needed
  context_.Emit(CancelAttempt{request.id, AttemptId{attempt}});
}

}  // namespace mothrack::balancer
