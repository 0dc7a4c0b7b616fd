// The transport of a history. Attempts end within Send(), Cancel(), Abandon() or Apply(), or in later events.
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
                           std::shared_ptr<const dispatch::Message> message,
                           const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) {
  const std::size_t number = static_cast<const RequestMessage&>(*message).request_number;
  Request& request = requests_[number];
  const balancer::RequestClass& request_class = ClassOf(request);
  Check(timeouts.until_begun > runtime::Duration::zero(), "an attempt without a timeout");
  Check(timeouts.until_deadline >= timeouts.until_begun, "an attempt that outlives its request");
  Check(!request.disconnected, "sent after the client disconnected");
  Check(request.finals == 0, "sent after the final answer");
  Check(IsServing(uid), "sent to " + uid + ", which is draining, banned or removed");
  Check(request.arriving || sim_.now() < request.deadline, "sent after the deadline");
  Check(request.attempts.size() < settings_.limits.max_attempts, "more attempts than max_attempts");
  const balancer::UpstreamInfo upstream = listed_[uid].info;
  for (const dispatch::ExchangeId before : request.attempts) {
    if (!MayHaveRun(before)) continue;
    const Attempt& earlier = attempts_.at(before);
    Check(earlier.outcome || settings_.limits.hedging, "two attempts in flight at once");
    Check(request_class.effect != Effect::kUnsafe, "an unsafe request that may have run was sent again");
    if (request_class.effect != Effect::kKeyed) continue;
    Check(sim_.now() - earlier.sent < request_class.key_window,
          "a keyed request was sent again after its key window");
    Check(request_class.key_scope != KeyScope::kZone || earlier.upstream.zone == upstream.zone,
          "a keyed request was sent to another zone", Rule::kKeyScope);
    Check(request_class.key_scope != KeyScope::kCell || earlier.upstream.cell == upstream.cell,
          "a keyed request was sent to another cell", Rule::kKeyScope);
    ++situations_["keyed request sent again"];
  }
  if (!request.attempts.empty()) ++situations_["sent again"];
  request.attempts.push_back(id);
  in_flight_.push_back(id);
  Attempt& attempt = attempts_[id];
  attempt.request_number = number;
  attempt.uid = uid;
  attempt.upstream = upstream;
  attempt.sent = sim_.now();
  attempt.hooks = std::move(hooks);
  if (!random_.Chance(immediate_end_chance_)) return;
  const bool ended = request.ended();
  random_.Chance(0.2) ? StartAnswer(id) : End(id, DrawOutcome(attempt));
  ++situations_["ended within Send"];
  if (!ended && request.ended()) ++ended_reentrantly_;
}

void DispatchHistory::Cancel(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.outcome) return;
  it->second.cancelled = true;
  if (!it->second.writing) it->second.unsendable = true;
  if (random_.Chance(0.5)) return;
  ++situations_["ended within Cancel"];
  End(id, random_.Chance(0.2)  ? DrawOutcome(it->second)
          : it->second.writing ? Outcome::kCancelled
                               : Outcome::kNotSent);
}

void DispatchHistory::Abandon(dispatch::ExchangeId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.outcome || it->second.written || it->second.answer_started) return;
  it->second.abandoned = true;
  if (!it->second.writing) it->second.unsendable = true;
  if (!it->second.writing && random_.Chance(0.5)) return;  // its connection is still being established
  ++situations_["abandoned"];
  End(id, it->second.writing ? Outcome::kCancelled : Outcome::kNotSent);
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
  for (const dispatch::ExchangeId id : std::vector<dispatch::ExchangeId>(in_flight_)) {
    Attempt& attempt = attempts_.at(id);
    if (attempt.uid != uid || attempt.writing || attempt.outcome) continue;
    attempt.unsendable = true;
    if (random_.Chance(0.7)) End(id, Outcome::kNotSent);
  }
}

Outcome DispatchHistory::DrawOutcome(const Attempt& attempt) {
  const auto one_of = [&](const std::vector<Outcome>& outcomes) {
    return outcomes[random_.Below(outcomes.size())];
  };
  if (attempt.answer_started)
    return one_of({Outcome::kServed, Outcome::kServed, Outcome::kReset, Outcome::kTimeout});
  if (attempt.unsendable) return Outcome::kNotSent;
  if (!attempt.writing)
    return one_of({Outcome::kConnectFailed, Outcome::kNotSent, Outcome::kTimeout, Outcome::kServed});
  return one_of({Outcome::kServed, Outcome::kServed, Outcome::kError, Outcome::kFull, Outcome::kTimeout,
                 Outcome::kReset, Outcome::kCancelled});
}

void DispatchHistory::End(dispatch::ExchangeId id, Outcome outcome) {
  Attempt& attempt = attempts_.at(id);
  Request& request = requests_[attempt.request_number];
  if (request.ended()) ++situations_["attempt ended after the request"];
  attempt.outcome = request.last_outcome = outcome;
  std::erase(in_flight_, id);
  if (request.streaming == id) {
    request.streaming.reset();
    ++situations_[outcome == Outcome::kServed ? "answer streamed" : "answer broken off"];
  }
  const auto on_end = std::move(attempt.hooks.on_end);
  const bool replies = (outcome == Outcome::kServed && !attempt.answer_started) || outcome == Outcome::kError;
  on_end({outcome, sim_.now() - attempt.sent, {}, replies ? std::make_unique<Answer>(id) : nullptr});
}

void DispatchHistory::StartAnswer(dispatch::ExchangeId id) {
  Attempt& attempt = attempts_.at(id);
  attempt.answer_started = attempt.writing = true;
  const bool unneeded = requests_[attempt.request_number].ended();
  if (unneeded) ++situations_["answer started after the request ended"];
  const auto on_started = std::move(attempt.hooks.on_started);
  on_started(std::make_unique<Answer>(id), sim_.now() - attempt.sent);
  Check(!unneeded || attempt.cancelled, "an attempt whose answer is not needed was not cancelled");
}

std::optional<dispatch::ExchangeId> DispatchHistory::DrawAttempt(
    const std::function<bool(const Attempt&)>& matches) {
  std::vector<dispatch::ExchangeId> matching;
  std::ranges::copy_if(in_flight_, std::back_inserter(matching),
                       [&](auto id) { return matches(attempts_.at(id)); });
  if (matching.empty()) return std::nullopt;
  return matching[random_.Below(matching.size())];
}

void DispatchHistory::BeginWriting() {
  if (const auto id =
          DrawAttempt([](const Attempt& attempt) { return !attempt.writing && !attempt.unsendable; }))
    attempts_.at(*id).writing = true;
}

void DispatchHistory::CompleteWriting() {
  const auto id = DrawAttempt([this](const Attempt& attempt) {
    return attempt.writing && !attempt.written && !attempt.answer_started &&
           !requests_[attempt.request_number].arriving;
  });
  if (!id) return;
  attempts_.at(*id).written = true;
  attempts_.at(*id).hooks.on_written();
}

void DispatchHistory::StartDrawnAnswer() {
  // May happen before the request is completely written.
  if (const auto id =
          DrawAttempt([](const Attempt& attempt) { return attempt.writing && !attempt.answer_started; }))
    StartAnswer(*id);
}

void DispatchHistory::EndDrawnAttempt() {
  if (const auto id = DrawAttempt([](const Attempt&) { return true; }))
    End(*id, DrawOutcome(attempts_.at(*id)));
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
