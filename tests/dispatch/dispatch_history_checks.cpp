// What holds after each event, and at the end of a history.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <string>

#include "dispatch/dispatch_history.h"

namespace mothrack::testing {

const std::map<Rule, std::string>& DispatchHistory::Run() {
  int weights = 0;
  for (const Event& event : WeightedEvents()) weights += event.weight;
  for (int i = 0; i < kEvents && !IsBroken(); ++i) {
    auto dice = static_cast<int>(random_.Below(static_cast<std::size_t>(weights)));
    for (const Event& event : WeightedEvents()) {
      if ((dice -= event.weight) >= 0) continue;
      (this->*event.run)();
      break;
    }
    CheckBetweenEvents();
  }
  EndAllAndCheck();
  return broken_;
}

void DispatchHistory::Check(bool holds, const std::string& what, Rule rule) {
  if (!holds)
    broken_.try_emplace(rule, std::to_string(sim_.now().time_since_epoch().count()) + " us: " + what);
}

bool DispatchHistory::Serves(const std::string& uid) const {
  const auto it = listed_.find(uid);
  return it != listed_.end() && it->second.info.state == UpstreamState::kServing && !bans_.contains(uid);
}

void DispatchHistory::CheckBetweenEvents() {
  std::size_t open = 0, in_flight = 0, not_cancelled = 0;
  for (const Call& call : calls_) {
    const bool out = std::ranges::any_of(call.attempts, [&](auto id) { return !attempts_.at(id).outcome; });
    if (!call.ended() || out) ++open;
    if (!call.arriving && !call.disconnected && (call.finals == 0 || call.streams)) ++in_flight;
  }
  Check(dispatcher_.open() == open,
        "open: " + std::to_string(dispatcher_.open()) + " for " + std::to_string(open));
  Check(dispatcher_.in_flight() == in_flight,
        "in flight: " + std::to_string(dispatcher_.in_flight()) + " for " + std::to_string(in_flight));
  // What is out for a request that has ended is called off, but for trials, of which the module tells only
  // how many there were, and which an unsafe request never is.
  for (const dispatch::ExchangeId id : out_) {
    const Attempt& attempt = attempts_.at(id);
    const Call& call = calls_[attempt.call];
    Check(!call.ended() || attempt.written || attempt.started || attempt.never,
          "what had not begun when its request ended may still be written");
    if (!settings_.limits.cancel || attempt.cancelled || !call.ended()) continue;
    if (call.streams == id && !call.disconnected) continue;
    Check(ClassOf(call).effect != Effect::kUnsafe,
          "an attempt of an ended unsafe request was not called off");
    ++not_cancelled;
  }
  const balancer::Counts counts = dispatcher_.counts();
  Check(not_cancelled <= counts.half_open_probes, "attempts of ended requests were not called off");
  // The module decides on no further attempt once it has been told of the end. Where a request ends from
  // within the module's turn, that turn may have one left, which is not carried out.
  const std::size_t decided = counts.first + counts.retries + counts.hedges + counts.half_open_probes;
  Check(decided <= attempts_.size() + ended_reentrantly_,
        std::to_string(decided) + " attempts decided, " + std::to_string(attempts_.size()) + " sent",
        Rule::kAttemptEnds);
}

void DispatchHistory::EndAllAndCheck() {
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (calls_[i].arriving) random_.Chance(0.5) ? DisconnectClientOf(i) : CompleteBody(i);
  }
  // Longer than the longest deadline; what is sent anew meanwhile ends as well.
  for (int i = 0; i < 100 && !IsBroken(); ++i) {
    while (!out_.empty() && !IsBroken()) EndOne();
    while (!probes_.empty()) EndProbe();
    sim_.RunUntil(sim_.now() + milliseconds(50));
    CheckBetweenEvents();
  }
  if (IsBroken()) return;
  for (const Call& call : calls_) {
    Check(call.finals == 1 || call.disconnected, "no Final of a request of class " + ClassOf(call).name);
  }
  Check(dispatcher_.open() == 0 && dispatcher_.in_flight() == 0, "something is left");
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
  Check(accepted == calls_.size() && ended == accepted, "the counters have other ends than there were");
  const auto really =
      std::ranges::count_if(attempts_, [](const auto& entry) { return entry.second.written; });
  Check(written == static_cast<std::uint64_t>(really), "the counters have other attempts than were written");
}

}  // namespace mothrack::testing
