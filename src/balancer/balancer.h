// kestrellb: the decisions of a sidecar balancer for service-to-service calls.
//
// A sidecar owns the sockets, the clock and the timers. It tells a `Balancer` what happened, one `Event` at a
// time, and carries out the `Action`s that come back, in their order. The balancer does no I/O, reads no
// clock, starts no thread and keeps no global state: the same settings, seed and events give the same
// actions.
//
//   kestrellb::Balancer balancer(settings, seed);
//   std::vector<kestrellb::Action> actions;
//   balancer.handle(now, kestrellb::MembershipUpdate{...}, actions);
//   balancer.handle(now, kestrellb::RequestArrived{...}, actions);
//   for (const auto& action : actions) std::visit(CarryOut{}, action);
//
// What the sidecar owes the balancer:
//   * `now` never goes backwards, and events come in the order in which they happened;
//   * the membership it holds comes first, as `MembershipUpdate::Kind::kRestored`, also when it is empty;
//   * every `SendAttempt` is followed by exactly one `AttemptEnded`;
//   * every `SetTimer` is followed by one `TimerFired` at or after its time.
// What it gets: exactly one final answer for each request, by the request's deadline: the answer of an
// attempt (an `AttemptEnded` with `finished`), a `Refuse` or a `Fail`. An instance serves one thread at a
// time.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mothrack::balancer {

using Duration = std::chrono::microseconds;

// The sidecar's clock. It has no now(): the only time a balancer knows is the one handed to handle().
struct Clock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using TimePoint = Clock::time_point;

// Ids are opaque. A request id is never used twice; an upstream keeps its id when its process restarts.
enum class RequestId : std::uint64_t {};
enum class ClassId : std::size_t {};    // index into Settings::classes
enum class TenantId : std::size_t {};   // index into Settings::tenants
enum class AttemptId : std::size_t {};  // a request's attempts count from 0 in the order of their SendAttempt
struct UpstreamId {
  std::string value;
  auto operator<=>(const UpstreamId&) const = default;
};

// ---- Settings: what a deployment tells its sidecars at start. The defaults are plain, not tuned. ----

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

// ---- Events ----

enum class UpstreamState { kServing, kDraining, kGone };

struct UpstreamInfo {
  UpstreamId id{};
  std::string zone{};
  std::string kind{};  // machines of one kind are about alike; empty where kinds are not told
  std::int64_t cell = 0;
  UpstreamState state = UpstreamState::kServing;
  double weight = 1;                   // the registered size; 1 where none is registered
  std::optional<TimePoint> started{};  // absent: long ago. A new time means a new process
};

struct MembershipUpdate {
  enum class Kind {
    kChanges,   // `upstreams` has only what changed
    kFull,      // `upstreams` is the whole list: what is missing is gone
    kRestored,  // the whole list as it was last seen, perhaps out of date
    kFailed,    // a Subscribe failed or a subscription ended: the old list stands
  };
  Kind kind = Kind::kFull;
  std::vector<UpstreamInfo> upstreams;
};

struct RequestArrived {
  RequestId request{};
  ClassId request_class{};
  std::optional<TenantId> tenant{};
  TimePoint deadline{};            // when the client gives up on this try
  std::optional<Duration> work{};  // expected work, where it is known
  bool client_retry = false;       // a client's own repeat, where clients say so
  // Its body is still coming: its time, which is as long as `deadline` is off now, counts from
  // RequestComplete on. Its attempts may begin before.
  bool arriving = false;
};

struct RequestComplete {  // the last byte of a request that was arriving has come
  RequestId request{};
  TimePoint deadline{};
};

enum class Outcome {
  kServed,
  kError,          // the upstream answered with an error: may have run
  kFull,           // turned away unseen: did not run
  kTimeout,        // no answer in time: may have run
  kConnectFailed,  // no connection: did not run
  kReset,          // the connection broke: may have run
  kCancelled,      // called off: may have run
  kNotSent,        // the sidecar did not send it (the request had ended): did not run
};

// An upstream's view of its load; absent values were not reported.
struct LoadReport {
  std::optional<double> in_flight;
  std::optional<double> queued;
  std::optional<double> utilization;
  std::optional<double> rate;  // requests served a second
};

// A streamed answer has begun: the request is the client's now and has no deadline any more. It counts as
// served in time or late by now; only a break of it is still a failure of its upstream.
struct AnswerStarted {
  RequestId request{};
  AttemptId attempt{};
};

struct AttemptEnded {
  RequestId request{};
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};     // since it was sent
  bool finished = false;  // the client has its answer: no further one is owed
  LoadReport load;
};

struct ClientDisconnected {  // the client left: no answer is owed
  RequestId request{};
};

struct TimerFired {
  std::uint64_t token = 0;
};

struct ProbeEnded {
  UpstreamId upstream;
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
  LoadReport load;
};

using Event = std::variant<MembershipUpdate, RequestArrived, RequestComplete, AnswerStarted, AttemptEnded,
                           ClientDisconnected, TimerFired, ProbeEnded>;

// ---- Actions ----

struct SendAttempt {
  RequestId request{};
  UpstreamId upstream;
  Duration timeout{};  // always positive; of an arriving request it counts from its last byte on
};
struct CancelAttempt {  // stop waiting for it; it still ends with one AttemptEnded
  RequestId request{};
  AttemptId attempt{};
};
struct Reject {  // final: nothing was done, trying again is harmless
  RequestId request{};
  Duration retry_after{};  // zero: no advice
};
struct Fail {  // final: no promise whether it took effect
  RequestId request{};
};
struct SetTimer {  // at: may already be past by the time it is carried out
  TimePoint at;
  std::uint64_t token = 0;  // at most 2^63
};
struct SendProbe {
  UpstreamId upstream;
};
struct CloseIdle {  // close this sidecar's idle connections to it
  UpstreamId upstream;
};
struct Subscribe {};  // ask for membership changes from now on, the missed ones first
struct Log {
  std::string text;  // one line for the people on call
};

using Action =
    std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, SendProbe, CloseIdle, Subscribe, Log>;

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
  std::uint64_t connects = 0;  // attempts that found no connection to use
  std::uint64_t cold = 0;      // attempts sent to cold upstreams
  // Refusals and failures by their reason: overload, nobody to send to, given up after attempts.
  std::uint64_t overload = 0, nobody = 0, given_up = 0;
  std::uint64_t ejected = 0, returned = 0;
  double held = 0, shed = 0;    // calls held; the share of the work asked for that is refused as overload
  double rate = 0, subset = 0;  // requests a second, as usual; upstreams it spreads them over
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
