#include "simulation/invariants.h"

#include <algorithm>
#include <numeric>

#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

// A call that was given up may still run so long after its request's end: servers drop what has expired.
constexpr runtime::Duration kMemory = std::chrono::seconds(20);

bool NeverRan(balancer::Outcome outcome) {
  return outcome == balancer::Outcome::kFull || outcome == balancer::Outcome::kConnectFailed ||
         outcome == balancer::Outcome::kNotSent;
}

}  // namespace

const char* NameOf(Rule rule) {
  constexpr std::array<const char*, 4> kNames = {"lost", "twice", "drain", "cold"};
  return kNames.at(static_cast<std::size_t>(rule));
}

Rules::Rules(Limits limits) : limits_(std::move(limits)) {}

std::size_t Rules::total() const { return std::accumulate(counts_.begin(), counts_.end(), std::size_t{0}); }

void Rules::RecordBreach(Rule rule, runtime::TimePoint at, std::string what) {
  if (counts_[static_cast<std::size_t>(rule)]++ == 0)
    first_.push_back({rule, InSeconds(at), std::move(what)});
}

void Rules::Forget(runtime::TimePoint now) {
  while (!ended_.empty() && now - ended_.front().first > kMemory) {
    open_.erase(ended_.front().second);
    ended_.pop_front();
  }
}

void Rules::Record(const SimulationEvent& h) {
  using Kind = SimulationEvent::Kind;
  Forget(h.at);
  switch (h.kind) {
    case Kind::kAccepted:
      open_[h.request] = {h.sidecar, h.cls, h.until, 0, 0, false, false, false, {}};
      break;
    case Kind::kAnswered:
      RecordAnswer(h);
      break;
    case Kind::kClientLeft:
      if (Open* open = Find(h.request); open != nullptr && !open->answered)
        RecordLeft(h.at, h.request, *open);
      break;
    case Kind::kSidecarKilled:
      for (auto& [id, open] : open_) {
        if (open.sidecar == h.sidecar && !open.answered) RecordLeft(h.at, id, open);
      }
      leaving_.erase(h.sidecar);
      break;
    case Kind::kAttemptSent:
      RecordAttempt(h);
      break;
    case Kind::kAttemptEnded:
      if (Open* open = Find(h.request); open != nullptr && NeverRan(h.outcome) && open->unproven > 0) {
        --open->unproven;
      }
      break;
    case Kind::kCallArrived:
      Arrived(h);
      break;
    case Kind::kCallStarted:
      RecordRun(h);
      break;
    case Kind::kSidecarNotified:
      if (h.leaving) {
        leaving_[h.sidecar].try_emplace(h.server, h.at);
      } else if (const auto sidecar = leaving_.find(h.sidecar); sidecar != leaving_.end()) {
        sidecar->second.erase(h.server);
      }
      break;
    case Kind::kServerStarted:
      if (servers_.size() <= h.server) servers_.resize(h.server + 1);
      servers_[h.server] = {h.at, h.work, {}, 0};
      break;
    case Kind::kRequested:
    case Kind::kResolved:
      break;
  }
}

Rules::Open* Rules::Find(std::uint64_t request) {
  const auto it = open_.find(request);
  return it == open_.end() ? nullptr : &it->second;
}

void Rules::RecordLeft(runtime::TimePoint at, std::uint64_t request, Open& open) {
  open.answered = open.left = true;
  ended_.emplace_back(at, request);
}

void Rules::RecordAnswer(const SimulationEvent& h) {
  const std::string request = "request " + std::to_string(h.request);
  Open* open = Find(h.request);
  if (open == nullptr) {
    RecordBreach(Rule::kLost, h.at, request + " was answered and never taken");
    return;
  }
  if (open->answered) RecordBreach(Rule::kLost, h.at, request + " was answered twice");
  if (!open->left && h.at > open->until + limits_.grace) {
    RecordBreach(Rule::kLost, h.at,
                 request + " was answered " + std::to_string(InMilliseconds(h.at - open->until)) +
                     " ms after its time");
  }
  const bool refused = h.request_outcome == RequestOutcome::kRefused;
  if (limits_.unsafe.at(open->cls) && refused && (open->unproven > 0 || open->runs > 0)) {
    RecordBreach(Rule::kTwice, h.at, request + ", unsafe, was refused, and may have run");
  }
  open->answered = true;
  open->refused = refused;
  ended_.emplace_back(h.at, h.request);
}

void Rules::RecordAttempt(const SimulationEvent& h) {
  const std::string request = "request " + std::to_string(h.request);
  if (Open* open = Find(h.request); open != nullptr) {
    if (limits_.unsafe.at(open->cls) && open->unproven > 0) {
      RecordBreach(Rule::kTwice, h.at, request + ", unsafe, was sent again while it may have run");
    }
    ++open->unproven;
  }
  const auto sidecar = leaving_.find(h.sidecar);
  if (sidecar == leaving_.end()) return;
  const auto notified = sidecar->second.find(h.server);
  if (notified == sidecar->second.end() || h.at <= notified->second + limits_.drain) return;
  RecordBreach(Rule::kDrain, h.at,
               request + " was sent to server " + std::to_string(h.server) + " " +
                   std::to_string(InMilliseconds(h.at - notified->second)) +
                   " ms after it was told as leaving");
}

void Rules::RecordRun(const SimulationEvent& h) {
  Open* open = Find(h.request);
  if (open == nullptr) return;
  ++open->runs;
  if (!limits_.unsafe.at(open->cls)) return;
  const std::string request = "request " + std::to_string(h.request);
  if (open->runs > 1) RecordBreach(Rule::kTwice, h.at, request + ", unsafe, ran twice");
  if (open->refused) RecordBreach(Rule::kTwice, h.at, request + ", unsafe, ran after it was refused");
}

// What all sidecars together send to a cold server within the window, against what it can do by now.
void Rules::Arrived(const SimulationEvent& h) {
  if (h.server >= servers_.size()) return;
  Server& server = servers_[h.server];
  if (server.booted == runtime::TimePoint::min() || h.at - server.booted >= limits_.slow_start_duration)
    return;
  server.work.emplace_back(h.at, h.work);
  server.sum += h.work;
  while (h.at - server.work.front().first > limits_.overload_window) {
    server.sum -= server.work.front().second;
    server.work.pop_front();
  }
  const double age = InSeconds(h.at - server.booted) / InSeconds(limits_.slow_start_duration);
  const double slow_start_factor =
      limits_.slow_start_initial_share + (1 - limits_.slow_start_initial_share) * age;
  const double can = slow_start_factor * server.capacity * InMilliseconds(limits_.overload_window);
  if (server.sum > limits_.overload_multiple * can) {
    RecordBreach(Rule::kSlowStart, h.at,
                 "server " + std::to_string(h.server) + ", " +
                     std::to_string(InSeconds(h.at - server.booted)) + " s old, was sent " +
                     std::to_string(server.sum / can) + " times what it can do");
    server.work.clear();
    server.sum = 0;
  }
}

void Rules::End(runtime::TimePoint at) {
  for (const auto& [id, open] : open_) {
    if (open.answered || at <= open.until + limits_.grace) continue;
    RecordBreach(Rule::kLost, at, "request " + std::to_string(id) + " was never answered");
  }
}

}  // namespace mothrack::simulation
