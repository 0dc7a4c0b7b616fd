// The decision module: load balancing, retries, outlier detection and load shedding for one pool of
// upstreams.
//
// The sidecar owns the sockets, the clock and the timers. It passes each `Event` to a `Balancer` and carries
// out the returned `Action`s in order. The balancer does no I/O, reads no clock, starts no thread and has no
// global state: the same settings, seed and events give the same actions.
//
//   mothrack::balancer::Balancer balancer(settings, seed);
//   std::vector<mothrack::balancer::Action> actions;
//   balancer.handle(now, mothrack::balancer::MembershipUpdate{...}, actions);
//   balancer.handle(now, mothrack::balancer::RequestArrived{...}, actions);
//   for (const auto& action : actions) std::visit(CarryOut{}, action);
//
// The sidecar guarantees that
//   * `now` never goes backwards, and events are passed in the order in which they happened;
//   * the first event is the membership that it has, as `MembershipUpdate::Kind::kRestored`, even if empty;
//   * every `SendAttempt` is followed by exactly one `AttemptEnded`;
//   * every `SetTimer` is followed by one `TimerFired` at or after its time.
// The balancer guarantees exactly one final answer to each request by its deadline: the answer of an attempt
// (an `AttemptEnded` with `finished`), a `Reject` or a `Fail`. An instance is not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "balancer/actions.h"
#include "balancer/events.h"
#include "balancer/settings.h"
#include "balancer/types.h"

namespace mothrack::balancer {

// The state of one upstream, for the admin API and logs. No decision uses it.
struct UpstreamView {
  UpstreamId id;
  UpstreamState state = UpstreamState::kServing;
  int in_flight = 0;                         // attempts
  double slow_start_factor = 1;              // guaranteed share of its capacity; below 1 it is in slow start
  std::optional<TimePoint> ejected_until{};  // absent if it is not ejected
  int ejected_after = 0;                     // consecutive failures that caused the last ejection
  std::uint64_t sent = 0;                    // attempts, since this process of the upstream became known
  std::uint64_t unanswered = 0;              // of these: timed out, connection failed or reset
  int idle = 0;                              // idle connections, by the balancer's own count
};

// Counters since the start and current estimates, for the admin API and logs. No decision uses them.
struct Counts {
  // Attempts by reason, and ended attempts indexed by Outcome.
  std::uint64_t first = 0, retries = 0, hedges = 0, half_open_probes = 0;
  std::array<std::uint64_t, kOutcomes> ended{};
  std::uint64_t connects = 0;    // attempts that had to open a connection
  std::uint64_t slow_start = 0;  // attempts sent to upstreams in slow start
  // Rejected and failed requests by reason: overload, no usable upstream, no retry after failed attempts.
  std::uint64_t overload = 0, no_upstream = 0, given_up = 0;
  std::uint64_t ejected = 0, returned = 0;
  double in_flight = 0, shed = 0;  // attempts in flight; share of the requested work that is shed
  double rate = 0, subset = 0;     // usual requests per second; size of the subset
};

class Balancer {
 public:
  // Throws what Settings::Validate() throws.
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends the resulting actions to `actions`. Events about unknown requests or upstreams are ignored. Must
  // not be re-entered.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  // All upstreams that have not been removed, sorted by id.
  std::vector<UpstreamView> upstreams(TimePoint now) const;
  Counts counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mothrack::balancer
