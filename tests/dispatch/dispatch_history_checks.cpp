// Plays a history and checks the rules after each event and at its end.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <string>

#include "dispatch/dispatch_history.h"

namespace mothrack::testing {

const std::map<Rule, std::string>& DispatchHistory::Run() {
  int total_weight = 0;
  for (const Event& event : WeightedEvents()) total_weight += event.weight;
  for (int i = 0; i < kEventsPerHistory && !HasFailed(); ++i) {
    auto drawn = static_cast<int>(random_.Below(static_cast<std::size_t>(total_weight)));
    for (const Event& event : WeightedEvents()) {
      if ((drawn -= event.weight) >= 0) continue;
      (this->*event.run)();
      break;
    }
    CheckBetweenEvents();
  }
  EndAllAndCheck();
  return violations_;
}

void DispatchHistory::Check(bool holds, const std::string& violation, Rule rule) {
  if (!holds)
    violations_.try_emplace(rule,
                            std::to_string(sim_.now().time_since_epoch().count()) + " us: " + violation);
}

bool DispatchHistory::IsServing(const std::string& uid) const {
  const auto it = listed_.find(uid);
  return it != listed_.end() && it->second.info.state == UpstreamState::kServing && !bans_.contains(uid);
}

void DispatchHistory::CheckBetweenEvents() {
  std::size_t open = 0, in_flight = 0, not_cancelled = 0;
  for (const Request& request : requests_) {
    const bool has_attempts_in_flight =
        std::ranges::any_of(request.attempts, [&](auto id) { return !attempts_.at(id).outcome; });
    if (!request.ended() || has_attempts_in_flight) ++open;
    if (!request.arriving && !request.disconnected && (request.finals == 0 || request.streaming)) ++in_flight;
  }
  Check(dispatcher_.open() == open,
        "open requests: " + std::to_string(dispatcher_.open()) + " instead of " + std::to_string(open));
  Check(dispatcher_.in_flight() == in_flight,
        "requests in flight: " + std::to_string(dispatcher_.in_flight()) + " instead of " +
            std::to_string(in_flight));
  // The attempts of a request that has ended are cancelled, except half-open probes. The module reports only
  // how many half-open probes there were, and an unsafe request never is one.
  for (const dispatch::ExchangeId id : in_flight_) {
    const Attempt& attempt = attempts_.at(id);
    const Request& request = requests_[attempt.request_number];
    Check(!request.ended() || attempt.written || attempt.answer_started || attempt.unsendable,
          "an attempt that had not begun when its request ended may still be written");
    if (!settings_.limits.cancel || attempt.cancelled || !request.ended()) continue;
    if (request.streaming == id && !request.disconnected) continue;
    Check(ClassOf(request).effect != Effect::kUnsafe,
          "an attempt of an ended unsafe request was not cancelled");
    ++not_cancelled;
  }
  const balancer::Counts counts = dispatcher_.counts();
  Check(not_cancelled <= counts.half_open_probes, "attempts of ended requests were not cancelled");
  // The module decides on no further attempt once it has the event of the request's end. If a request ends
  // while the dispatcher executes the module's actions, one more attempt may be among them, which is not
  // sent.
  const std::size_t decided = counts.first + counts.retries + counts.hedges + counts.half_open_probes;
  Check(decided <= attempts_.size() + ended_reentrantly_,
        std::to_string(decided) + " attempts decided on, " + std::to_string(attempts_.size()) + " sent",
        Rule::kAttemptEnds);
}

void DispatchHistory::EndAllAndCheck() {
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (requests_[i].arriving) random_.Chance(0.5) ? DisconnectClientOf(i) : CompleteBody(i);
  }
  // Runs for 5 s, longer than the longest deadline. Attempts that are sent meanwhile end as well.
  for (int i = 0; i < 100 && !HasFailed(); ++i) {
    while (!in_flight_.empty() && !HasFailed()) EndDrawnAttempt();
    while (!probes_.empty()) EndProbe();
    sim_.RunUntil(sim_.now() + milliseconds(50));
    CheckBetweenEvents();
  }
  if (HasFailed()) return;
  for (const Request& request : requests_) {
    Check(request.finals == 1 || request.disconnected,
          "no final answer to a request of class " + ClassOf(request).name);
  }
  Check(dispatcher_.open() == 0 && dispatcher_.in_flight() == 0, "requests are left");
  const balancer::Counts counts = dispatcher_.counts();
  Check(std::accumulate(counts.ended.begin(), counts.ended.end(), std::uint64_t{0}) ==
            counts.first + counts.retries + counts.hedges + counts.half_open_probes,
        "attempts without an end", Rule::kAttemptEnds);
  std::uint64_t accepted = 0, ended = 0, written = 0;
  for (const dispatch::RequestCounters::Row& row : dispatcher_.request_counters().rows()) {
    accepted += row.accepted;
    written += row.sent;
    ended += std::accumulate(row.ended.begin(), row.ended.end(), std::uint64_t{0});
  }
  Check(accepted == requests_.size() && ended == accepted, "the request counters do not match the outcomes");
  const auto actually_written =
      std::ranges::count_if(attempts_, [](const auto& entry) { return entry.second.written; });
  Check(written == static_cast<std::uint64_t>(actually_written),
        "the request counters do not match the written attempts");
}

}  // namespace mothrack::testing
