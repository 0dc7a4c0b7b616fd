#include "standins/traffic_record.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>

#include "runtime/clock.h"
#include "simulation/invariants.h"

namespace mothrack::testing {
namespace {

using simulation::SimulationEvent;
using std::chrono::milliseconds;
using Outcome = Traffic::Outcome;

// The longest time between a sidecar's death and the moment its client notices it.
constexpr milliseconds kDeathNoticeDelay{100};
// How long after its request's deadline an answer may come: all processes of the cluster and the clients
// share one machine.
constexpr milliseconds kAnswerGrace{1000};
// The number of a request has its sidecar in the high bits and its index in the low ones.
constexpr int kSidecarShift = 32;

SimulationEvent EventAt(SimulationEvent::Kind kind, TrafficRecord::TimePoint at) {
  SimulationEvent event;
  event.kind = kind;
  event.at = runtime::ToTimePoint(at);
  return event;
}

// The number of a request from its id, such as "s3-17"; nullopt for ids of another form.
std::optional<std::uint64_t> NumberOf(std::string_view id) {
  const auto dash = id.find('-');
  if (!id.starts_with('s') || dash == std::string_view::npos) return std::nullopt;
  return std::stoull(std::string(id.substr(1, dash - 1))) << kSidecarShift |
         std::stoull(std::string(id.substr(dash + 1)));
}

bool HasAnswer(Outcome outcome) {
  return outcome == Outcome::kServed || outcome == Outcome::kRefused || outcome == Outcome::kFailed;
}

simulation::RequestOutcome OutcomeOf(Outcome outcome) {
  if (outcome == Outcome::kServed) return simulation::RequestOutcome::kServed;
  if (outcome == Outcome::kRefused) return simulation::RequestOutcome::kRefused;
  return simulation::RequestOutcome::kFailed;
}

}  // namespace

void TrafficRecord::RequestCompleted(const Traffic::CompletedRequest& request) {
  const std::lock_guard lock(mutex_);
  completed_.push_back(request);
}

void TrafficRecord::RequestStarted(std::size_t upstream, std::string_view id, TimePoint at) {
  const auto number = NumberOf(id);
  if (!number) return;
  const std::lock_guard lock(mutex_);
  using Kind = SimulationEvent::Kind;
  for (const Kind kind : {Kind::kAttemptSent, Kind::kCallArrived, Kind::kCallStarted}) {
    SimulationEvent event = EventAt(kind, at);
    event.request = *number;
    event.sidecar = *number >> kSidecarShift;
    event.server = upstream;
    event.work = 1;
    events_.push_back(event);
  }
}

void TrafficRecord::SidecarKilled(std::size_t sidecar, TimePoint at) {
  SimulationEvent event = EventAt(SimulationEvent::Kind::kSidecarKilled, at);
  event.sidecar = sidecar;
  const std::lock_guard lock(mutex_);
  events_.push_back(event);
  kills_[sidecar].push_back(at);
}

void TrafficRecord::SidecarNotified(std::size_t sidecar, const std::vector<bool>& draining, TimePoint at) {
  SimulationEvent event = EventAt(SimulationEvent::Kind::kSidecarNotified, at);
  event.sidecar = sidecar;
  const std::lock_guard lock(mutex_);
  for (event.server = 0; event.server < draining.size(); ++event.server) {
    event.leaving = draining[event.server];
    events_.push_back(event);
  }
}

void TrafficRecord::UpstreamRestarted(std::size_t upstream, double requests_per_second, TimePoint at) {
  SimulationEvent event = EventAt(SimulationEvent::Kind::kServerStarted, at);
  event.server = upstream;
  event.work = requests_per_second / 1000;
  const std::lock_guard lock(mutex_);
  events_.push_back(event);
}

bool TrafficRecord::KilledMeanwhile(const Traffic::CompletedRequest& request) const {
  const auto kills = kills_.find(request.number);
  if (kills == kills_.end()) return false;
  return std::ranges::any_of(kills->second, [&](TimePoint at) {
    return at >= request.begin - kDeathNoticeDelay && at <= request.end + kDeathNoticeDelay;
  });
}

// A connection belongs to one process. If that process was killed before the client had read the answer, the
// answer was sent before the kill, however late the client read it.
TrafficRecord::TimePoint TrafficRecord::AnsweredAt(const Traffic::CompletedRequest& request) const {
  const auto kills = kills_.find(request.number);
  if (kills == kills_.end()) return request.end;
  const auto first_kill = std::ranges::lower_bound(kills->second, request.connected);
  if (first_kill == kills->second.end() || *first_kill > request.end) return request.end;
  return *first_kill;
}

// All events by time. At equal times the clients' events come before those of upstreams and sidecars, so that
// an answer precedes the kill of its sidecar. Requests that no sidecar accepted are left out.
std::vector<SimulationEvent> TrafficRecord::EventsInOrder() const {
  std::vector<SimulationEvent> events;
  for (const Traffic::CompletedRequest& request : completed_) {
    const bool answered = HasAnswer(request.outcome);
    if (!answered && request.outcome != Outcome::kLost) continue;
    // It is not known which process accepted a lost request: the first that may have done so is assumed.
    SimulationEvent event =
        EventAt(SimulationEvent::Kind::kAccepted, answered ? request.connected : request.begin);
    event.request = static_cast<std::uint64_t>(request.number) << kSidecarShift |
                    static_cast<std::uint64_t>(request.index);
    event.sidecar = request.number;
    event.cls = request.unsafe ? 1 : 0;
    event.until = runtime::ToTimePoint(request.begin + kRequestTimeout);
    events.push_back(event);
    if (!answered) continue;
    event.kind = SimulationEvent::Kind::kAnswered;
    event.at = runtime::ToTimePoint(AnsweredAt(request));
    event.request_outcome = OutcomeOf(request.outcome);
    events.push_back(event);
  }
  events.insert(events.end(), events_.begin(), events_.end());
  std::ranges::stable_sort(events, {}, &SimulationEvent::at);
  return events;
}

void TrafficRecord::AddLostRequests(std::vector<std::string>& violations) const {
  for (const Traffic::CompletedRequest& request : completed_) {
    if (request.outcome != Outcome::kLost && request.outcome != Outcome::kIdleCloseRace) continue;
    // If the sidecar closed the connection before it read the request, the client notices it at once. If the
    // client notices it later, the sidecar had accepted the request.
    const bool accepted =
        request.outcome == Outcome::kLost || request.end - request.begin > kDeathNoticeDelay;
    if (accepted && !KilledMeanwhile(request)) {
      violations.push_back(request.id + " was accepted and never answered");
    }
  }
}

void TrafficRecord::AddWrongRuns(const std::map<std::string, Outcome>& unsafe,
                                 const std::map<std::string, int>& runs,
                                 std::vector<std::string>& violations) const {
  for (const auto& [id, times] : runs) {
    if (times > 1) violations.push_back(id + " ran " + std::to_string(times) + " times");
    if (!unsafe.contains(id)) violations.push_back(id + " ran, but no client sent it");
  }
  std::set<std::string> killed;
  for (const Traffic::CompletedRequest& request : completed_) {
    const bool unanswered = request.outcome == Outcome::kLost || request.outcome == Outcome::kIdleCloseRace;
    if (unanswered && KilledMeanwhile(request)) killed.insert(request.id);
  }
  for (const auto& [id, outcome] : unsafe) {
    // A failed request may have run or not.
    if (outcome == Outcome::kFailed || outcome == Outcome::kLost || killed.contains(id)) continue;
    const bool has_run = runs.contains(id);
    if (has_run == (outcome == Outcome::kServed)) continue;
    violations.push_back(id + (has_run ? " ran, and ended as " : " did not run, and ended as ") +
                         std::to_string(static_cast<int>(outcome)));
  }
}

void TrafficRecord::AddBreaches(milliseconds drain, std::vector<std::string>& violations) const {
  simulation::RuleChecker::Limits limits;
  limits.unsafe = {false, true};
  limits.grace = kAnswerGrace;
  limits.drain = drain;
  simulation::RuleChecker rules(limits);
  for (const SimulationEvent& event : EventsInOrder()) rules.Record(event);
  rules.End(runtime::TimePoint::max());  // requests that are unanswered now stay unanswered
  for (const simulation::Breach& breach : rules.breaches()) {
    violations.push_back("rule " + std::string(NameOf(breach.rule)) + ": " + breach.what + " (" +
                         std::to_string(rules.count(breach.rule)) + " times)");
  }
}

std::vector<std::string> TrafficRecord::Violations(const std::map<std::string, Outcome>& unsafe,
                                                   const std::map<std::string, int>& runs,
                                                   milliseconds drain) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> violations;
  AddLostRequests(violations);
  AddWrongRuns(unsafe, runs, violations);
  AddBreaches(drain, violations);
  return violations;
}

}  // namespace mothrack::testing
