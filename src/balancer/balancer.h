// The decisions of a sidecar balancer for service-to-service calls.
//
// A sidecar owns the sockets, the clock and the timers. It tells a `Balancer` what happened, one `Event` at a
// time, and carries out the `Action`s that come back, in their order. The balancer does no I/O, reads no
// clock, starts no thread and keeps no global state: the same settings, seed and events give the same
// actions.
//
//   mothrack::balancer::Balancer balancer(settings, seed);
//   std::vector<mothrack::balancer::Action> actions;
//   balancer.handle(now, mothrack::balancer::MembershipUpdate{...}, actions);
//   balancer.handle(now, mothrack::balancer::RequestArrived{...}, actions);
//   for (const auto& action : actions) std::visit(CarryOut{}, action);
//
// What the sidecar owes the balancer:
//   * `now` never goes backwards, and events come in the order in which they happened;
//   * the membership it holds comes first, as `MembershipUpdate::Kind::kRestored`, also when it is empty;
//   * every `SendAttempt` is followed by exactly one `AttemptEnded`;
//   * every `SetTimer` is followed by one `TimerFired` at or after its time.
// What it gets: exactly one final answer for each request, by the request's deadline: the answer of an
// attempt (an `AttemptEnded` with `finished`), a `Reject` or a `Fail`. An instance serves one thread at a
// time.
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

// What is held of one upstream. For people who look: no decision rests on it.
struct UpstreamView {
  UpstreamId id;
  UpstreamState state = UpstreamState::kServing;
  int in_flight = 0;  // attempts out
  double slow_start_factor =
      1;  // the share of its capacity that it is taken to have by now; below 1 it is cold
  std::optional<TimePoint> ejected_until{};  // absent where it is not ejected
  int ejected_after = 0;                     // failures in a row, of the last ejection
  std::uint64_t sent = 0;                    // attempts, since this process of it was first heard of
  std::uint64_t unanswered = 0;              // of these: timed out, not connected or broken
  int idle = 0;                              // connections that are taken to wait for a call
};

// What was done so far, and why; and what the balancer goes by now. For people who look, likewise.
struct Counts {
  // Attempts by their reason, and their ends by Outcome.
  std::uint64_t first = 0, retries = 0, hedges = 0, half_open_probes = 0;
  std::array<std::uint64_t, 8> ended{};
  std::uint64_t connects = 0;    // attempts that found no connection to use
  std::uint64_t slow_start = 0;  // attempts sent to cold upstreams
  // Refusals and failures by their reason: overload, nobody to send to, given up after attempts.
  std::uint64_t overload = 0, no_upstream = 0, given_up = 0;
  std::uint64_t ejected = 0, returned = 0;
  double in_flight = 0, shed = 0;  // calls held; the share of the work asked for that is refused as overload
  double rate = 0, subset = 0;     // requests a second, as usual; upstreams it spreads them over
};

class Balancer {
 public:
  // Throws what Settings::Validate() throws.
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends what is to be done to `actions`. Events about unknown requests or upstreams are ignored.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  // All upstreams that are not gone, by id.
  std::vector<UpstreamView> upstreams(TimePoint now) const;
  Counts counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mothrack::balancer
