// The clients and front end of a history.
#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatch_history.h"

namespace mothrack::testing {

bool DispatchHistory::Submit(const std::string& key) {
  const std::size_t number = requests_.size();
  Request& request = requests_.emplace_back();
  request.class_number = random_.Below(settings_.classes.size());
  request.arriving = random_.Chance(0.25);
  request.deadline = sim_.now() + ClassOf(request).deadline;
  dispatch::NewRequest new_request;
  new_request.request_class = balancer::ClassId{request.class_number};
  new_request.deadline = request.deadline;
  new_request.arriving = request.arriving;
  new_request.key = key;
  new_request.message = std::make_shared<RequestMessage>(number);
  new_request.on_final = [this, number](dispatch::FinalAnswer final) { OnFinal(number, std::move(final)); };
  request.id = dispatcher_.Submit(std::move(new_request));
  return request.id.has_value();
}

void DispatchHistory::SubmitDuplicate() {
  const auto number = DrawRequest([](const Request& request) { return !request.ended(); });
  if (!number) return;
  Check(!Submit("k" + std::to_string(*number)), "a duplicate was accepted");
  Check(requests_.back().finals == 0, "a request that was not accepted has a final answer");
  requests_.pop_back();
  ++situations_["duplicate"];
}

std::optional<std::size_t> DispatchHistory::DrawRequest(const std::function<bool(const Request&)>& matches) {
  std::vector<std::size_t> matching;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (requests_[i].id && matches(requests_[i])) matching.push_back(i);
  }
  if (matching.empty()) return std::nullopt;
  return matching[random_.Below(matching.size())];
}

void DispatchHistory::CompleteDrawnBody() {
  if (const auto number = DrawRequest([](const Request& request) { return request.arriving; }))
    CompleteBody(*number);
}

void DispatchHistory::CompleteBody(std::size_t number) {
  Request& request = requests_[number];
  request.arriving = false;
  request.deadline = sim_.now() + ClassOf(request).deadline;
  // An upstream can run a request no earlier than its last byte has arrived, so the key window counts from
  // there.
  for (const dispatch::ExchangeId id : request.attempts) {
    if (!attempts_.at(id).outcome) attempts_.at(id).sent = sim_.now();
  }
  ++situations_[request.ended()            ? "body complete after the end"
                : request.attempts.empty() ? "body complete"
                                           : "body complete, already sent"];
  dispatcher_.OnRequestComplete(*request.id, request.deadline);
}

void DispatchHistory::DisconnectClient() {
  // May be a client that already has its answer, which changes nothing.
  if (const auto number = DrawRequest([](const Request&) { return true; })) DisconnectClientOf(*number);
}

void DispatchHistory::DisconnectClientOf(std::size_t number) {
  Request& request = requests_[number];
  if (request.finals == 0 || request.streaming) {
    ++situations_[request.streaming          ? "client disconnected during its answer"
                  : request.attempts.empty() ? "client disconnected, nothing sent"
                                             : "client disconnected"];
    request.disconnected = true;
    request.streaming.reset();
  }
  request.arriving = false;
  dispatcher_.OnClientDisconnected(*request.id);
}

void DispatchHistory::OnFinal(std::size_t number, dispatch::FinalAnswer final) {
  Request& request = requests_[number];
  Check(!request.disconnected, "a final answer after the client disconnected");
  Check(++request.finals == 1, "a second final answer");
  Check(request.arriving || sim_.now() <= request.deadline + kMaxTimerDelay,
        "a final answer after the deadline");
  Check(final.attempts == request.attempts.size(), "a final answer with a wrong number of attempts");
  const auto* answer = static_cast<const Answer*>(final.reply.get());
  if (final.kind == dispatch::FinalAnswer::Kind::kServed) {
    Check(answer != nullptr && attempts_.at(answer->attempt).request_number == number,
          "the answer to another request");
    if (answer == nullptr) return;
    const Attempt& attempt = attempts_.at(answer->attempt);
    Check(final.streaming ? attempt.answer_started : attempt.outcome == Outcome::kServed,
          "a final answer from an attempt that was not served");
    if (final.streaming) request.streaming = answer->attempt;
    ++situations_[final.streaming ? "answer started" : "served"];
  } else {
    Check(final.last == request.last_outcome, "a final answer with a wrong last outcome");
    Check(answer == nullptr || attempts_.at(answer->attempt).outcome == request.last_outcome,
          "a reply that is not from the last attempt");
    Check(final.late == (!request.arriving && sim_.now() >= request.deadline),
          "a final answer is wrongly marked late or in time", Rule::kLateMark);
    ++situations_[final.late                                             ? "late"
                  : final.kind == dispatch::FinalAnswer::Kind::kRejected ? "rejected"
                                                                         : "failed"];
    const balancer::RequestClass& request_class = ClassOf(request);
    const bool harmless =
        request_class.effect == Effect::kSafe ||
        (request_class.effect == Effect::kKeyed && request_class.key_scope == KeyScope::kAll);
    Check(final.kind == dispatch::FinalAnswer::Kind::kFailed || harmless ||
              std::ranges::none_of(request.attempts, [&](auto id) { return MayHaveRun(id); }),
          "a request that may have run was rejected");
  }
  if (!random_.Chance(reentry_chance_) || HasFailed()) return;
  // A front end submits the next request of its connection, or another connection ends.
  ++situations_["front end acts within on_final"];
  if (random_.Chance(0.7)) return SubmitNew();
  ++ended_reentrantly_;
  DisconnectClient();
}

void DispatchHistory::AdvanceTime() {
  constexpr double kMaxMilliseconds[] = {2, 50, 500, 2000};
  sim_.RunUntil(sim_.now() +
                simulation::Milliseconds(random_.Between(0, kMaxMilliseconds[random_.Below(4)])));
}

}  // namespace mothrack::testing
