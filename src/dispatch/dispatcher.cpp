#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace mothrack::dispatch {
namespace {

using balancer::AttemptEnded;
using balancer::AttemptId;
using balancer::MembershipUpdate;
using balancer::Outcome;
using balancer::RequestId;

// Clients do not reuse keys, so a key is needed only to detect a duplicate that was sent before the answer
// arrived. It is kept for at least this time, and for as long as a request may take or upstreams recognize a
// duplicate.
constexpr runtime::Duration kMinKeyRetention = std::chrono::seconds(5);
constexpr std::size_t kMaxEndedKeys = 8192;

// Sets a flag for its lifetime. An exception must not leave the flag set, which would stop all processing.
class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag), before_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = before_; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
  const bool before_;
};

}  // namespace

runtime::Duration Dispatcher::KeyRetention(const balancer::Settings& settings) {
  runtime::Duration longest = kMinKeyRetention;
  for (const auto& request_class : settings.classes) {
    longest = std::max(longest, request_class.deadline);
    if (request_class.effect == balancer::Effect::kKeyed)
      longest = std::max(longest, request_class.key_window);
  }
  return longest;
}

Dispatcher::Dispatcher(std::unique_ptr<runtime::Timer> timer, const balancer::Settings& settings,
                       std::uint64_t seed, Transport& transport, runtime::Logger& log,
                       OnSubscribe on_subscribe)
    : settings_(settings),
      balancer_(settings, seed),
      transport_(transport),
      log_(log),
      on_subscribe_(std::move(on_subscribe)),
      request_counters_(settings.classes.size(), settings.tenants.size()),
      keys_(KeyRetention(settings), kMaxEndedKeys),
      timers_(std::move(timer), [this](std::uint64_t token) { Deliver(balancer::TimerFired{token}); }),
      request_log_(log, Now()) {}

void Dispatcher::ProcessEvents() {
  {
    const ScopedFlag delivering(delivering_);
    while (!events_.empty()) {
      const balancer::Event next = std::move(events_.front());
      events_.pop_front();
      actions_.clear();
      balancer_.handle(Now(), next, actions_);
      for (const auto& action : actions_) {
        std::visit([this](const auto& alternative) { Execute(alternative); }, action);
      }
    }
  }
  for (const RequestId id : std::exchange(possibly_done_, {})) EraseIfDone(id);
  timers_.Arm();
}

// The module gets the list before the ends of attempts that the list causes, and acts on it only once the
// transport has it too: otherwise it would retry at draining upstreams, or at ones that the transport does
// not know.
void Dispatcher::UpdateMembership(MembershipList list) {
  {
    const ScopedFlag delivering(delivering_);
    events_.emplace_back(std::move(list.update));
    for (const auto& [uid, location] : list.locations) transport_.Apply(uid, location);
  }
  if (!delivering_) ProcessEvents();
}

void Dispatcher::Apply(MembershipList list) { UpdateMembership(upstream_overrides_.Apply(std::move(list))); }

bool Dispatcher::Ban(const std::string& uid) {
  auto change = upstream_overrides_.Ban(uid);
  if (change) UpdateMembership(std::move(*change));
  return change.has_value();
}

bool Dispatcher::Unban(const std::string& uid) {
  auto change = upstream_overrides_.Unban(uid);
  if (change) UpdateMembership(std::move(*change));
  return change.has_value();
}

void Dispatcher::RestoreBans(const std::set<std::string>& bans) {
  MembershipList change = upstream_overrides_.Restore(bans);
  // Without changes nothing is passed on: the module must get the restored list first, which may come later.
  if (!change.update.upstreams.empty()) UpdateMembership(std::move(change));
}

void Dispatcher::MembershipFailed() { Deliver(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}}); }

std::optional<RequestId> Dispatcher::Submit(NewRequest request) {
  if (!request.key.empty() && !keys_.Insert(request.key, Now())) return std::nullopt;
  const auto effect = settings_.classes[static_cast<std::size_t>(request.request_class)].effect;
  if (on_key_ && !request.key.empty() && effect != balancer::Effect::kSafe) on_key_(request.key);
  balancer::RequestArrived event;
  event.request = RequestId{++last_request_};
  event.request_class = request.request_class;
  event.tenant = request.tenant;
  event.deadline = request.deadline;
  event.work = request.work;
  event.client_retry = request.client_retry;
  event.arriving = request.arriving;
  const RequestId id = event.request;

  PendingRequest pending;
  pending.key = std::move(request.key);
  pending.request_class = request.request_class;
  pending.tenant = request.tenant;
  pending.message = std::move(request.message);
  pending.deadline = request.deadline;
  pending.on_final = std::move(request.on_final);
  request_counters_.CountAccepted(pending.request_class, pending.tenant);
  if (!request.arriving) Advance(pending, RequestEvent::kBodyComplete);
  requests_.emplace(id, std::move(pending));
  Deliver(event);
  return id;
}

void Dispatcher::OnRequestComplete(RequestId id, runtime::TimePoint deadline) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !Advance(it->second, RequestEvent::kBodyComplete)) return;
  it->second.deadline = deadline;
  Deliver(balancer::RequestComplete{id, deadline});
}

void Dispatcher::OnClientDisconnected(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  if (!Finish(it->second, RequestEvent::kClientDisconnected, RequestCounters::Outcome::kClientDisconnected))
    return;
  it->second.on_final = nullptr;
  Deliver(balancer::ClientDisconnected{id});
  AbandonUnsentAttempts(id);
  EraseIfDone(id);
}

bool Dispatcher::Advance(PendingRequest& pending, RequestEvent event) {
  const auto next = NextState(pending.state, event);
  if (!next) return false;
  if (IsInFlight(pending.state)) --in_flight_;
  if (IsInFlight(*next)) ++in_flight_;
  pending.state = *next;
  return true;
}

bool Dispatcher::Finish(PendingRequest& pending, RequestEvent event, RequestCounters::Outcome outcome) {
  if (!Advance(pending, event)) return false;
  request_counters_.CountOutcome(pending.request_class, pending.tenant, outcome);
  return true;
}

// The client gets this attempt's answer; the module cancels the other attempts.
void Dispatcher::OnAnswerStarted(RequestId id, AttemptId attempt, std::unique_ptr<Reply> reply,
                                 runtime::Duration answer_time) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  PendingRequest& pending = it->second;
  // The request already has its outcome, so it needs no other answer.
  if (!Advance(pending, RequestEvent::kAnswerStarted)) {
    return transport_.Cancel(pending.attempts[static_cast<std::size_t>(attempt)].exchange);
  }
  const auto on_final = std::exchange(pending.on_final, nullptr);
  pending.winner = attempt;
  FinalAnswer final;
  final.kind = FinalAnswer::Kind::kServed;
  final.reply = std::move(reply);
  final.streaming = true;
  final.attempts = pending.attempts.size();
  {
    const ScopedFlag delivering(delivering_);
    events_.emplace_back(balancer::AnswerStarted{id, attempt, answer_time});
    on_final(std::move(final));  // may erase `pending`
  }
  if (!delivering_) ProcessEvents();
  AbandonUnsentAttempts(id);
}

void Dispatcher::OnAttemptEnded(RequestId id, AttemptId attempt, ExchangeResult result) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  PendingRequest& pending = it->second;
  --pending.attempts_in_flight;
  pending.last_outcome = result.outcome;
  const bool served = result.outcome == Outcome::kServed;
  if (!served) LogFailedAttempt(pending, attempt, result);
  if (IsStreaming(pending.state) && pending.winner == attempt) {
    Finish(pending, RequestEvent::kStreamEnded,
           served ? RequestCounters::Outcome::kServed : RequestCounters::Outcome::kFailed);
  }
  const bool finished = served || !AwaitsFinal(pending.state);
  {
    // The module gets this event before those that the front end causes in turn, such as the next request.
    const ScopedFlag delivering(delivering_);
    events_.emplace_back(AttemptEnded{id, attempt, result.outcome, result.elapsed, finished, result.load,
                                      result.answer_time, result.request_incomplete});
    if (!served) {
      pending.last_reply = std::move(result.reply);
    } else if (Finish(pending, RequestEvent::kFinalGiven, RequestCounters::Outcome::kServed)) {
      const auto on_final = std::exchange(pending.on_final, nullptr);
      FinalAnswer final;
      final.kind = FinalAnswer::Kind::kServed;
      final.reply = std::move(result.reply);
      final.attempts = pending.attempts.size();
      final.last = Outcome::kServed;
      on_final(std::move(final));  // may erase `pending`
    }
  }
  if (!delivering_) ProcessEvents();
  if (served) AbandonUnsentAttempts(id);
  EraseIfDone(id);
}

void Dispatcher::LogFailedAttempt(const PendingRequest& pending, AttemptId attempt,
                                  const ExchangeResult& result) {
  if (result.outcome == Outcome::kCancelled || result.outcome == Outcome::kNotSent) return;
  const auto index = static_cast<std::size_t>(attempt);
  request_log_.AttemptFailed({pending.key, pending.attempts[index].upstream, index + 1, result.outcome,
                              result.cause, IsArriving(pending.state)},
                             Now());
}

void Dispatcher::GiveFinal(RequestId id, FinalAnswer final) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  // While the body is arriving the deadline does not count.
  final.late = !IsArriving(it->second.state) && Now() >= it->second.deadline;
  final.attempts = it->second.attempts.size();
  final.last = it->second.last_outcome;
  final.reply = std::move(it->second.last_reply);
  const bool rejected = final.kind == FinalAnswer::Kind::kRejected;
  const auto outcome = rejected     ? RequestCounters::Outcome::kRejected
                       : final.late ? RequestCounters::Outcome::kLate
                                    : RequestCounters::Outcome::kFailed;
  if (Finish(it->second, RequestEvent::kFinalGiven, outcome)) {
    const auto request_class = static_cast<std::size_t>(it->second.request_class);
    request_log_.NotServed({it->second.key, settings_.classes[request_class].name, rejected, final.late,
                            IsArriving(it->second.state), final.attempts, final.last},
                           Now());
    const auto on_final = std::exchange(it->second.on_final, nullptr);
    on_final(std::move(final));
  }
  AbandonUnsentAttempts(id);
  EraseIfDone(id);
}

// Called after the module's own cancellations. The attempts that are left are half-open probes, whose outcome
// the module needs, and all attempts if the settings do not allow cancelling.
void Dispatcher::AbandonUnsentAttempts(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.attempts_in_flight == 0) return;
  // A copy: the end of an attempt may erase the request.
  const std::vector<SentAttempt> attempts = it->second.attempts;
  for (const SentAttempt& attempt : attempts) transport_.Abandon(attempt.exchange);
}

// Deferred while events are queued: the module may still send attempts for the request, and must be told the
// end of each.
void Dispatcher::EraseIfDone(RequestId id) {
  if (delivering_) return possibly_done_.push_back(id);
  const auto it = requests_.find(id);
  if (it == requests_.end() || AwaitsFinal(it->second.state) || it->second.attempts_in_flight > 0) return;
  const auto effect = settings_.classes[static_cast<std::size_t>(it->second.request_class)].effect;
  const bool repeatable = effect == balancer::Effect::kSafe;
  if (!it->second.key.empty()) keys_.OnRequestEnded(std::move(it->second.key), Now(), repeatable);
  requests_.erase(it);
}

void Dispatcher::Execute(const balancer::SendAttempt& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  PendingRequest& pending = it->second;
  const AttemptId attempt{pending.attempts.size()};
  const ExchangeId exchange{++last_exchange_};
  pending.attempts.push_back({exchange, action.upstream.value});
  ++pending.attempts_in_flight;
  ExchangeHooks hooks;
  hooks.on_written = [this, request_class = pending.request_class, tenant = pending.tenant] {
    request_counters_.CountSent(request_class, tenant);
  };
  hooks.on_started = [this, id = action.request, attempt](std::unique_ptr<Reply> reply,
                                                          runtime::Duration answer_time) {
    OnAnswerStarted(id, attempt, std::move(reply), answer_time);
  };
  hooks.on_end = [this, id = action.request, attempt](ExchangeResult result) {
    OnAttemptEnded(id, attempt, std::move(result));
  };
  // The client disconnected or has its answer, so no further attempt is sent.
  if (!AwaitsFinal(pending.state))
    return hooks.on_end({Outcome::kNotSent, runtime::Duration::zero(), {}, nullptr});
  AttemptTimeouts timeouts{action.timeout, action.timeout};
  // While the body is arriving, the module's time-out is the whole time that the client allows.
  if (!IsArriving(pending.state)) {
    timeouts.until_deadline = std::max<runtime::Duration>(action.timeout, pending.deadline - Now());
  }
  transport_.Send(exchange, action.upstream.value, pending.message, timeouts, std::move(hooks));
}

void Dispatcher::Execute(const balancer::CancelAttempt& action) {
  const auto it = requests_.find(action.request);
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (it == requests_.end() || attempt >= it->second.attempts.size()) return;
  transport_.Cancel(it->second.attempts[attempt].exchange);
}

void Dispatcher::Execute(const balancer::Reject& action) {
  FinalAnswer final;
  final.kind = FinalAnswer::Kind::kRejected;
  final.retry_after = action.retry_after;
  GiveFinal(action.request, std::move(final));
}

void Dispatcher::Execute(const balancer::Fail& action) {
  FinalAnswer final;
  final.kind = FinalAnswer::Kind::kFailed;
  GiveFinal(action.request, std::move(final));
}

void Dispatcher::Execute(const balancer::SetTimer& action) { timers_.Set(action.at, action.token); }

void Dispatcher::Execute(const balancer::SendProbe& action) {
  transport_.Probe(ExchangeId{++last_exchange_}, action.upstream.value,
                   [this, upstream = action.upstream](ExchangeResult result) {
                     Deliver(balancer::ProbeEnded{upstream, result.outcome, result.elapsed, result.load});
                   });
}

void Dispatcher::Execute(const balancer::CloseIdle& action) { transport_.CloseIdle(action.upstream.value); }

void Dispatcher::Execute(const balancer::Subscribe&) {
  if (on_subscribe_) on_subscribe_();
}

void Dispatcher::Execute(const balancer::Log& action) { log_.Info("decision", {{"text", action.text}}); }

}  // namespace mothrack::dispatch
