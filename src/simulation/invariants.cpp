#include "simulation/invariants.h"

#include <algorithm>
#include <numeric>

#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

// The longest time that an attempt may still run after its request has ended; servers drop expired calls.
constexpr runtime::Duration kEndedRequestRetention = std::chrono::seconds(20);

bool NeverRan(balancer::Outcome outcome) {
  return outcome == balancer::Outcome::kFull || outcome == balancer::Outcome::kConnectFailed ||
         outcome == balancer::Outcome::kNotSent;
}

}  // namespace

const char* NameOf(Rule rule) {
  constexpr std::array<const char*, 4> kNames = {"lost", "twice", "drain", "cold"};
  return kNames.at(static_cast<std::size_t>(rule));
}

RuleChecker::RuleChecker(Limits limits) : limits_(std::move(limits)) {}

std::size_t RuleChecker::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::size_t{0});
}

void RuleChecker::RecordBreach(Rule rule, runtime::TimePoint at, std::string what) {
  if (counts_[static_cast<std::size_t>(rule)]++ == 0)
    first_breaches_.push_back({rule, InSeconds(at), std::move(what)});
}

void RuleChecker::ForgetEnded(runtime::TimePoint now) {
  while (!ended_.empty() && now - ended_.front().first > kEndedRequestRetention) {
    open_.erase(ended_.front().second);
    ended_.pop_front();
  }
}

void RuleChecker::Record(const SimulationEvent& event) {
  using Kind = SimulationEvent::Kind;
  ForgetEnded(event.at);
  switch (event.kind) {
    case Kind::kAccepted:
      open_[event.request] = {event.sidecar, event.cls, event.until, 0, 0, false, false, false, {}};
      break;
    case Kind::kAnswered:
      RecordAnswer(event);
      break;
    case Kind::kClientLeft:
      if (OpenRequest* open = Find(event.request); open != nullptr && !open->answered)
        RecordLeft(event.at, event.request, *open);
      break;
    case Kind::kSidecarKilled:
      for (auto& [id, open] : open_) {
        if (open.sidecar == event.sidecar && !open.answered) RecordLeft(event.at, id, open);
      }
      leaving_.erase(event.sidecar);
      break;
    case Kind::kAttemptSent:
      RecordAttempt(event);
      break;
    case Kind::kAttemptEnded:
      if (OpenRequest* open = Find(event.request);
          open != nullptr && NeverRan(event.outcome) && open->possibly_run_attempts > 0) {
        --open->possibly_run_attempts;
      }
      break;
    case Kind::kCallArrived:
      RecordArrival(event);
      break;
    case Kind::kCallStarted:
      RecordStart(event);
      break;
    case Kind::kSidecarNotified:
      if (event.leaving) {
        leaving_[event.sidecar].try_emplace(event.server, event.at);
      } else if (const auto sidecar = leaving_.find(event.sidecar); sidecar != leaving_.end()) {
        sidecar->second.erase(event.server);
      }
      break;
    case Kind::kServerStarted:
      if (servers_.size() <= event.server) servers_.resize(event.server + 1);
      servers_[event.server] = {event.at, event.work, {}, 0};
      break;
    case Kind::kRequested:
    case Kind::kResolved:
      break;
  }
}

RuleChecker::OpenRequest* RuleChecker::Find(std::uint64_t request) {
  const auto it = open_.find(request);
  return it == open_.end() ? nullptr : &it->second;
}

void RuleChecker::RecordLeft(runtime::TimePoint at, std::uint64_t request, OpenRequest& open) {
  open.answered = open.client_left = true;
  ended_.emplace_back(at, request);
}

void RuleChecker::RecordAnswer(const SimulationEvent& event) {
  const std::string request = "request " + std::to_string(event.request);
  OpenRequest* open = Find(event.request);
  if (open == nullptr) {
    RecordBreach(Rule::kLost, event.at, request + " was answered and never taken");
    return;
  }
  if (open->answered) RecordBreach(Rule::kLost, event.at, request + " was answered twice");
  if (!open->client_left && event.at > open->until + limits_.grace) {
    RecordBreach(Rule::kLost, event.at,
                 request + " was answered " + std::to_string(InMilliseconds(event.at - open->until)) +
                     " ms after its time");
  }
  const bool refused = event.request_outcome == RequestOutcome::kRefused;
  if (limits_.unsafe.at(open->cls) && refused && (open->possibly_run_attempts > 0 || open->runs > 0)) {
    RecordBreach(Rule::kTwice, event.at, request + ", unsafe, was refused, and may have run");
  }
  open->answered = true;
  open->refused = refused;
  ended_.emplace_back(event.at, event.request);
}

void RuleChecker::RecordAttempt(const SimulationEvent& event) {
  const std::string request = "request " + std::to_string(event.request);
  if (OpenRequest* open = Find(event.request); open != nullptr) {
    if (limits_.unsafe.at(open->cls) && open->possibly_run_attempts > 0) {
      RecordBreach(Rule::kTwice, event.at, request + ", unsafe, was sent again while it may have run");
    }
    ++open->possibly_run_attempts;
  }
  const auto sidecar = leaving_.find(event.sidecar);
  if (sidecar == leaving_.end()) return;
  const auto notified = sidecar->second.find(event.server);
  if (notified == sidecar->second.end() || event.at <= notified->second + limits_.drain) return;
  RecordBreach(Rule::kDrain, event.at,
               request + " was sent to server " + std::to_string(event.server) + " " +
                   std::to_string(InMilliseconds(event.at - notified->second)) +
                   " ms after it was told as leaving");
}

void RuleChecker::RecordStart(const SimulationEvent& event) {
  OpenRequest* open = Find(event.request);
  if (open == nullptr) return;
  ++open->runs;
  if (!limits_.unsafe.at(open->cls)) return;
  const std::string request = "request " + std::to_string(event.request);
  if (open->runs > 1) RecordBreach(Rule::kTwice, event.at, request + ", unsafe, ran twice");
  if (open->refused) RecordBreach(Rule::kTwice, event.at, request + ", unsafe, ran after it was refused");
}

// Compares the work that all sidecars together send to a server in slow start, within the window, with the
// capacity of the server.
void RuleChecker::RecordArrival(const SimulationEvent& event) {
  if (event.server >= servers_.size()) return;
  ServerLoad& server = servers_[event.server];
  if (server.booted == runtime::TimePoint::min() || event.at - server.booted >= limits_.slow_start_duration)
    return;
  server.work.emplace_back(event.at, event.work);
  server.total_work += event.work;
  while (event.at - server.work.front().first > limits_.overload_window) {
    server.total_work -= server.work.front().second;
    server.work.pop_front();
  }
  const double elapsed_share = InSeconds(event.at - server.booted) / InSeconds(limits_.slow_start_duration);
  const double slow_start_factor =
      limits_.slow_start_initial_share + (1 - limits_.slow_start_initial_share) * elapsed_share;
  const double capacity = slow_start_factor * server.capacity * InMilliseconds(limits_.overload_window);
  if (server.total_work > limits_.overload_multiple * capacity) {
    RecordBreach(Rule::kSlowStart, event.at,
                 "server " + std::to_string(event.server) + ", " +
                     std::to_string(InSeconds(event.at - server.booted)) + " s old, was sent " +
                     std::to_string(server.total_work / capacity) + " times what it can do");
    server.work.clear();
    server.total_work = 0;
  }
}

void RuleChecker::End(runtime::TimePoint at) {
  for (const auto& [id, open] : open_) {
    if (open.answered || at <= open.until + limits_.grace) continue;
    RecordBreach(Rule::kLost, at, "request " + std::to_string(id) + " was never answered");
  }
}

}  // namespace mothrack::simulation
