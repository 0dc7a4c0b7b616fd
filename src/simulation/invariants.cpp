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
  const std::string request = "request " + std::to_string(h.request);
  const auto it = open_.find(h.request);
  Open* open = it == open_.end() ? nullptr : &it->second;
  const bool unsafe = open != nullptr && limits_.unsafe.at(open->cls);
  switch (h.kind) {
    case Kind::kAccepted:
      open_[h.request] = {h.sidecar, h.cls, h.until, 0, 0, false, false, false, {}};
      break;
    case Kind::kAnswered:
      if (open == nullptr) {
        RecordBreach(Rule::kLost, h.at, request + " was answered and never taken");
        break;
      }
      if (open->answered) RecordBreach(Rule::kLost, h.at, request + " was answered twice");
      if (!open->left && h.at > open->until + limits_.grace) {
        RecordBreach(Rule::kLost, h.at,
                     request + " was answered " + std::to_string(InMilliseconds(h.at - open->until)) +
                         " ms after its time");
      }
      if (unsafe && h.request_outcome == RequestOutcome::kRefused && (open->unproven > 0 || open->runs > 0)) {
        RecordBreach(Rule::kTwice, h.at, request + ", unsafe, was refused, and may have run");
      }
      open->answered = true;
      open->refused = h.request_outcome == RequestOutcome::kRefused;
      ended_.emplace_back(h.at, h.request);
      break;
    case Kind::kClientLeft:
      if (open != nullptr && !open->answered) {
        open->answered = open->left = true;
        ended_.emplace_back(h.at, h.request);
      }
      break;
    case Kind::kSidecarKilled:
      for (auto& [id, o] : open_) {
        if (o.sidecar != h.sidecar || o.answered) continue;
        o.answered = o.left = true;
        ended_.emplace_back(h.at, id);
      }
      leaving_.erase(h.sidecar);
      break;
    case Kind::kAttemptSent: {
      if (open != nullptr) {
        if (unsafe && open->unproven > 0) {
          RecordBreach(Rule::kTwice, h.at, request + ", unsafe, was sent again while it may have run");
        }
        ++open->unproven;
      }
      const auto sidecar = leaving_.find(h.sidecar);
      if (sidecar == leaving_.end()) break;
      const auto notified = sidecar->second.find(h.server);
      if (notified != sidecar->second.end() && h.at > notified->second + limits_.drain) {
        RecordBreach(Rule::kDrain, h.at,
                     request + " was sent to server " + std::to_string(h.server) + " " +
                         std::to_string(InMilliseconds(h.at - notified->second)) +
                         " ms after it was told as leaving");
      }
      break;
    }
    case Kind::kAttemptEnded:
      if (open != nullptr && NeverRan(h.outcome) && open->unproven > 0) --open->unproven;
      break;
    case Kind::kCallArrived:
      Arrived(h);
      break;
    case Kind::kCallStarted:
      if (open == nullptr) break;
      ++open->runs;
      if (unsafe && open->runs > 1) RecordBreach(Rule::kTwice, h.at, request + ", unsafe, ran twice");
      if (unsafe && open->refused)
        RecordBreach(Rule::kTwice, h.at, request + ", unsafe, ran after it was refused");
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
