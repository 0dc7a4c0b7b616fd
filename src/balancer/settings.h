// What a deployment tells its sidecars at start. The defaults are plain, not tuned.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "balancer/types.h"

namespace mothrack::balancer {

// What may be done with a request that may already have taken effect.
enum class Effect {
  kSafe,    // repeat and refuse at will
  kKeyed,   // repeat only where and while the upstreams drop repeats: RequestClass::key_scope, key_window
  kUnsafe,  // never repeat or refuse unless every earlier attempt is known not to have run
};
enum class KeyScope { kAll, kZone, kCell };  // the upstreams that know each other's keys

struct RequestClass {
  std::string name{};
  Duration latency_objective{};          // an answer within this time has its full worth
  double latency_objective_stretch = 0;  // the aim grows by this many times the request's expected work
  Duration deadline{};                   // a client waits this long in all, over all of its tries
  Effect effect = Effect::kUnsafe;
  KeyScope key_scope = KeyScope::kAll;
  Duration key_window{};  // repeats are dropped for this long after the first attempt was sent
  double priority_weight = 1;
  double late_priority_weight = 0;  // share of the worth left for an answer after the aim
  bool stream = false;              // answers are streamed: AnswerStarted comes before AttemptEnded
};

struct Tenant {
  std::string name{};
  double share = 1;        // of the service
  double quota_per_s = 0;  // requests a second, over all sidecars, that are within its share
};

struct Limits {
  std::size_t max_attempts = 3;  // for one request, the first one included
  bool hedging = false;          // two attempts of one request may be out at once
  bool cancel = true;            // CancelAttempt may be used
  bool probes = false;           // SendProbe may be used
  bool retry_after = true;       // clients are handed Refuse::retry_after
  Duration max_retry_after = std::chrono::seconds(2);
  Duration connect_timeout = std::chrono::milliseconds(250);
  Duration idle_close = std::chrono::seconds(15);  // the sidecar closes connections idle for this long
  std::size_t streams = 1;                         // attempts that one connection carries at a time
};

struct Rules {
  Duration answer_grace =
      std::chrono::milliseconds(20);                // a final answer this long after the deadline counts
  Duration poll_within = std::chrono::seconds(10);  // membership on request: ask at least this often
  // A draining upstream gets nothing new from then on, counted from the telling. The module stops at once;
  // what brings it the lists has this long for that.
  Duration drain_within = std::chrono::milliseconds(500);
  // A fresh upstream starts at `slow_start_initial_share` of its capacity and is warm after
  // `slow_start_duration`. All sidecars together must not send it more than `overload_multiple` times its
  // present capacity within any `overload_window`.
  double slow_start_initial_share = 0.1;
  Duration slow_start_duration = std::chrono::seconds(20);
  double overload_multiple = 2;
  Duration overload_window = std::chrono::seconds(1);
};

// Costs of a decision, as a fraction of the whole service.
struct Prices {
  double cross_zone = 0;  // every request crosses zones once
  double handshake = 0;   // a new connection for each request
  double probe = 0;       // a probe for each request
  double waste = 0;       // as much upstream work wasted as was asked for
  double late_fail = 0;   // all fail only after their aim
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;            // empty where the deployment has none
  double over_share_priority_weight = 1;  // worth of a request beyond its tenant's share
  std::string zone{};                     // where this sidecar is
  std::size_t sidecar_count = 1;          // how many sidecars there are; they share nothing
  std::size_t sidecar_index = 0;          // this sidecar's number among them, from 0
  bool membership_on_request = false;     // membership comes only after a Subscribe
  bool live_weights = false;              // listed weights follow the load and change from list to list
  bool load_by_probe = false;             // a probe's answer carries a LoadReport
  Limits limits;
  Rules rules;
  Prices prices;

  void Validate() const;  // throws std::invalid_argument, naming the setting that makes no sense
};

}  // namespace mothrack::balancer
