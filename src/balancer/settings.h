// The settings of a deployment, as its sidecars get them at start. The defaults are general: they are not
// adapted to any deployment.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "balancer/types.h"

namespace mothrack::balancer {

// What the balancer may do with a request whose earlier attempt may already have taken effect.
enum class Effect {
  kSafe,    // may be retried and rejected at any time
  kKeyed,   // carries an idempotency key: may be retried within RequestClass::key_scope and key_window
  kUnsafe,  // may be retried or rejected only if every earlier attempt is known not to have run
};
// Which upstreams share the idempotency keys that they have seen, and so drop repeats of each other's
// requests.
enum class KeyScope { kAll, kZone, kCell };

struct RequestClass {
  std::string name{};
  Duration latency_objective{};          // an answer within this time has its full priority weight
  double latency_objective_stretch = 0;  // the objective grows by this many times the request's expected work
  Duration deadline{};                   // how long a client waits in all, including its own retries
  Effect effect = Effect::kUnsafe;
  KeyScope key_scope = KeyScope::kAll;
  Duration key_window{};  // upstreams drop repeats for this long after the first attempt was sent
  double priority_weight = 1;
  double late_priority_weight = 0;  // share of the weight that a later answer keeps, 0 to 1
  bool stream = false;              // answers are streamed: AnswerStarted precedes AttemptEnded
};

struct Tenant {
  std::string name{};
  double share = 1;        // of the service's capacity
  double quota_per_s = 0;  // requests per second over all sidecars that count as within its share
};

// What the balancer may do with a request, and how the sidecar treats its connections.
struct Limits {
  std::size_t max_attempts = 3;  // per request, including the first
  bool hedging = false;          // two attempts of one request may be in flight at once
  bool cancel = true;            // CancelAttempt may be used
  bool probes = false;           // SendProbe may be used
  bool retry_after = true;       // clients are given Reject::retry_after
  Duration max_retry_after = std::chrono::seconds(2);
  Duration connect_timeout = std::chrono::milliseconds(250);
  // The sidecar closes connections that were idle for this long.
  Duration idle_close = std::chrono::seconds(15);
  std::size_t streams = 1;  // concurrent attempts per connection
};

// The requirements of the deployment that the balancer has to meet.
struct Rules {
  // A final answer up to this long after the deadline still counts as in time.
  Duration answer_grace = std::chrono::milliseconds(20);
  // The longest time between two polls of the endpoint list, if Settings::membership_on_request is set.
  Duration poll_within = std::chrono::seconds(10);
  // No attempt may start at a draining upstream later than this after discovery announced the drain. The
  // balancer stops at once, so all of this time is available for delivering the endpoint list to it.
  Duration drain_within = std::chrono::milliseconds(500);
  // Slow start: a new process of an upstream has `slow_start_initial_share` of its capacity at first and all
  // of it after `slow_start_duration`. Meanwhile all sidecars together must not send it more than
  // `overload_multiple` times its present capacity within any `overload_window`.
  double slow_start_initial_share = 0.1;
  Duration slow_start_duration = std::chrono::seconds(20);
  double overload_multiple = 2;
  Duration overload_window = std::chrono::seconds(1);
};

// Costs of decisions, each as a fraction of the value of the service.
struct Prices {
  double cross_zone = 0;  // if every request crosses zones once
  double handshake = 0;   // if every request opens a connection
  double probe = 0;       // if every request sends a load probe
  double waste = 0;       // if upstreams waste as much work as was requested
  double late_fail = 0;   // if every request fails after its latency objective
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;            // empty if the deployment has none
  double over_share_priority_weight = 1;  // factor for requests beyond their tenant's share
  std::string zone{};                     // of this sidecar
  std::size_t sidecar_count = 1;          // sidecars in the fleet; they share no state
  std::size_t sidecar_index = 0;          // of this sidecar, from 0
  bool membership_on_request = false;     // membership is sent only after a Subscribe
  bool live_weights = false;              // listed weights follow the load and change with every list
  bool load_by_probe = false;             // the answer to a load probe carries a LoadReport
  Limits limits;
  Rules rules;
  Prices prices;

  void Validate() const;  // throws std::invalid_argument that names the invalid setting
};

}  // namespace mothrack::balancer
