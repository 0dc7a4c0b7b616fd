// Connection model: what is known of this sidecar's idle connections and of how connecting fares.
//
// Guards attempts that may not be repeated against idle connections that the far side dropped unseen (RFC
// 9112, section 9.6: a reused connection may be closed at any time), and requests against upstreams where
// opening a connection takes long or fails, as when their tables of connections are full.
#pragma once

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// How long an idle connection is trusted: half the age at which one was found dropped, this at least, ...
inline constexpr Duration kMinTrustedIdle = std::chrono::milliseconds(100);
// ... growing by this factor each tick (twice in some ten seconds).
inline constexpr double kTrustGrowth = 1.02;
// A reset within this share of the connect time-out is immediate: the connection had been dropped before.
inline constexpr double kImmediateShare = 0.1;
// From this difficulty on connecting is hard: in sum half of the attempts that connect take twice their time
// or fail.
inline constexpr double kHardToConnect = 0.5;
// The difficulty follows about this many of the latest attempts that connect, ...
inline constexpr double kConnectingMemory = 20;
// ... and fades over this time: failures to connect to machines that are gone say nothing of the next ones.
inline constexpr Duration kConnectingFadeTime = std::chrono::seconds(2);

// An upstream's connections from this sidecar that wait for an attempt.
struct ConnectionRecord {
  int idle = 0;
  TimePoint idle_since;  // the last one of them
};

// What an attempt found when it was sent.
struct ConnectionUse {
  bool connects = false;  // it found no connection to use
  Duration idle_for{};    // how long the one it found had been idle
};

class ConnectionModel {
 public:
  explicit ConnectionModel(const Limits& limits) : limits_(limits), trusted_idle_(limits.idle_close) {}

  // Whether an attempt sent now finds a connection; `in_flight`: attempts that the upstream holds.
  bool HasConnection(const ConnectionRecord& record, int in_flight, TimePoint now) const {
    if (limits_.streams > 1 && in_flight > 0) return true;
    return record.idle > 0 && now - record.idle_since < limits_.idle_close;
  }

  bool IsConnectingHard() const { return difficulty_.value > kHardToConnect; }

  // Whether the upstream's idle connections are too old to be trusted; the record then has them as closed.
  bool DropStale(ConnectionRecord& record, TimePoint now) const;
  // An attempt is being sent.
  ConnectionUse Use(ConnectionRecord& record, int in_flight, TimePoint now) const;
  // `usual_time`: of an answer to its class.
  void RecordOutcome(ConnectionRecord& record, const ConnectionUse& use, Outcome outcome, Duration elapsed,
                     Duration usual_time, TimePoint now);
  void RecordTick();

 private:
  const Limits& limits_;
  Mean difficulty_;        // of connecting, 0 to 1: 1 where it fails or takes as long as an answer
  Duration trusted_idle_;  // connections idle for longer are closed before an attempt
};

}  // namespace mothrack::balancer
