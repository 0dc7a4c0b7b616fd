// The transport of a history: it ends attempts at once, late, or from within a call.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatch_history.h"

namespace mothrack::testing {

void DispatchHistory::Send(dispatch::ExchangeId id, const std::string& uid,
                           std::shared_ptr<const dispatch::Message> message, runtime::Duration timeout,
                           dispatch::ExchangeHooks hooks) {
  const std::size_t number = static_cast<const RequestMessage&>(*message).call;
  Call& call = calls_[number];
  const balancer::RequestClass& cls = ClassOf(call);
  Check(timeout > runtime::Duration::zero(), "no time for an attempt");
  Check(!call.disconnected, "sent after its client left");
  Check(call.finals == 0, "sent after its Final");
  Check(Serves(uid), "sent to " + uid + ", which drains or is gone");
  Check(call.arriving || sim_.now() < call.deadline, "sent after its time");
  Check(call.attempts.size() < settings_.limits.max_attempts, "one attempt too many");
  const balancer::UpstreamInfo place = listed_[uid].info;
  for (const dispatch::ExchangeId before : call.attempts) {
    if (!MayHaveRun(before)) continue;
    const Attempt& earlier = attempts_.at(before);
    Check(earlier.outcome || settings_.limits.hedging, "two out at once");
    Check(cls.effect != Effect::kUnsafe, "an unsafe request that may have run was sent again");
    if (cls.effect != Effect::kKeyed) continue;
    Check(sim_.now() - earlier.sent < cls.key_window, "a keyed request was sent again after its window");
    Check(cls.key_scope != KeyScope::kZone || earlier.place.zone == place.zone, "a key went to another zone",
          Rule::kKeyScope);
    Check(cls.key_scope != KeyScope::kCell || earlier.place.cell == place.cell, "a key went to another cell",
          Rule::kKeyScope);
    ++seen_["keyed request sent again"];
  }
  if (!call.attempts.empty()) ++seen_["sent again"];
  call.attempts.push_back(id);
  out_.push_back(id);
  Attempt& attempt = attempts_[id];
  attempt.call = number;
  attempt.uid = uid;
  attempt.place = place;
  attempt.sent = sim_.now();
  attempt.hooks = std::move(hooks);
  if (!random_.Chance(immediate_end_chance_)) return;
  const bool ended = call.ended();
  random_.Chance(0.2) ? StartAnswer(id) : End(id, AnyOutcome(attempt));
  ++seen_["ended within Send"];
  if (!ended && call.ended()) ++ended_reentrantly_;
}

void DispatchHistory::Cancel(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.outcome) return;
  it->second.cancelled = true;
  if (!it->second.begun) it->second.never = true;
  if (random_.Chance(0.5)) return;
  ++seen_["ended within Cancel"];
  End(id, random_.Chance(0.2) ? AnyOutcome(it->second)
          : it->second.begun  ? Outcome::kCancelled
                              : Outcome::kNotSent);
}

void DispatchHistory::Abandon(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.outcome || it->second.written || it->second.started) return;
  it->second.abandoned = true;
  if (!it->second.begun) it->second.never = true;
  if (!it->second.begun && random_.Chance(0.5)) return;  // while its connection comes up
  ++seen_["abandoned"];
  End(id, it->second.begun ? Outcome::kCancelled : Outcome::kNotSent);
}

void DispatchHistory::Probe(dispatch::ExchangeId, const std::string&, OnEnd on_end) {
  if (random_.Chance(0.5)) return probes_.push_back(std::move(on_end));
  on_end({Outcome::kConnectFailed, runtime::Duration(1), {}, nullptr});
}

void DispatchHistory::Apply(const std::string& uid, const dispatch::Location& location) {
  dispatch::Location& known = locations_[uid];
  const bool same = location.state == UpstreamState::kServing && location.boot_ms == known.boot_ms;
  known = location;
  if (same) return;
  for (const dispatch::ExchangeId id : std::vector<dispatch::ExchangeId>(out_)) {
    Attempt& attempt = attempts_.at(id);
    if (attempt.uid != uid || attempt.begun || attempt.outcome) continue;
    attempt.never = true;
    if (random_.Chance(0.7)) End(id, Outcome::kNotSent);
  }
}

Outcome DispatchHistory::AnyOutcome(const Attempt& attempt) {
  const auto of = [&](const std::vector<Outcome>& outcomes) {
    return outcomes[random_.Below(outcomes.size())];
  };
  if (attempt.started) return of({Outcome::kServed, Outcome::kServed, Outcome::kReset, Outcome::kTimeout});
  if (attempt.never) return Outcome::kNotSent;
  if (!attempt.begun)
    return of({Outcome::kConnectFailed, Outcome::kNotSent, Outcome::kTimeout, Outcome::kServed});
  return of({Outcome::kServed, Outcome::kServed, Outcome::kError, Outcome::kFull, Outcome::kTimeout,
             Outcome::kReset, Outcome::kCancelled});
}

void DispatchHistory::End(dispatch::ExchangeId id, Outcome outcome) {
  Attempt& attempt = attempts_.at(id);
  Call& call = calls_[attempt.call];
  if (call.ended()) ++seen_["attempt ended after its request"];
  attempt.outcome = call.last = outcome;
  std::erase(out_, id);
  if (call.streams == id) {
    call.streams.reset();
    ++seen_[outcome == Outcome::kServed ? "answer streamed" : "stream broke"];
  }
  const auto on_end = std::move(attempt.hooks.on_end);
  const bool replies = (outcome == Outcome::kServed && !attempt.started) || outcome == Outcome::kError;
  on_end({outcome, sim_.now() - attempt.sent, {}, replies ? std::make_unique<Answer>(id) : nullptr});
}

void DispatchHistory::StartAnswer(dispatch::ExchangeId id) {
  Attempt& attempt = attempts_.at(id);
  attempt.started = attempt.begun = true;
  const bool unwanted = calls_[attempt.call].ended();
  if (unwanted) ++seen_["answer started after its request's end"];
  const auto on_started = std::move(attempt.hooks.on_started);
  on_started(std::make_unique<Answer>(id));
  Check(!unwanted || attempt.cancelled, "an answer that nobody wants was not called off");
}

std::optional<dispatch::ExchangeId> DispatchHistory::AnyAttempt(
    const std::function<bool(const Attempt&)>& fits) {
  std::vector<dispatch::ExchangeId> fitting;
  std::ranges::copy_if(out_, std::back_inserter(fitting), [&](auto id) { return fits(attempts_.at(id)); });
  if (fitting.empty()) return std::nullopt;
  return fitting[random_.Below(fitting.size())];
}

void DispatchHistory::BeginOne() {
  if (const auto id = AnyAttempt([](const Attempt& a) { return !a.begun && !a.never; }))
    attempts_.at(*id).begun = true;
}

void DispatchHistory::WriteOne() {
  const auto id = AnyAttempt(
      [this](const Attempt& a) { return a.begun && !a.written && !a.started && !calls_[a.call].arriving; });
  if (!id) return;
  attempts_.at(*id).written = true;
  attempts_.at(*id).hooks.on_written();
}

void DispatchHistory::StartOneAnswer() {
  // Also before all of the request was written.
  if (const auto id = AnyAttempt([](const Attempt& a) { return a.begun && !a.started; })) StartAnswer(*id);
}

void DispatchHistory::EndOne() {
  if (const auto id = AnyAttempt([](const Attempt&) { return true; }))
    End(*id, AnyOutcome(attempts_.at(*id)));
}

void DispatchHistory::EndProbe() {
  if (probes_.empty()) return;
  const auto on_end = std::move(probes_.front());
  probes_.pop_front();
  balancer::LoadReport load;
  load.in_flight = random_.Uniform() * 4;
  on_end({random_.Chance(0.7) ? Outcome::kServed : Outcome::kTimeout, milliseconds(1), load, nullptr});
}

}  // namespace mothrack::testing
