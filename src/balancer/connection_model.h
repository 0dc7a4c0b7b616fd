// Connection model: estimates which idle connections are still usable and how hard it is to open new ones.
//
// Guards attempts that may not be repeated against idle connections that the upstream has closed unnoticed
// (RFC 9112, section 9.6: a reused connection may be closed at any time), and requests against upstreams
// where opening a connection is slow or fails, for example because their connection tables are full.
#pragma once

#include "balancer/arithmetic.h"
#include "balancer/balancer.h"

namespace mothrack::balancer {

// A connection is reused up to a trusted idle time. Once a connection was found closed, the trusted idle time
// is half of the time for which that connection had been idle, but at least this.
inline constexpr Duration kMinTrustedIdle = std::chrono::milliseconds(100);
// Factor by which the trusted idle time grows each tick until it reaches Limits::idle_close. It doubles in
// about ten seconds.
inline constexpr double kTrustedIdleGrowth = 1.02;
// A reset of a reused connection within this share of the connect time-out means that the connection was
// already closed.
inline constexpr double kImmediateShare = 0.1;
// Difficulty of connecting above which connecting counts as hard: about half of the attempts that open a
// connection take twice their usual time or fail.
inline constexpr double kHardToConnect = 0.5;
// Memory of the difficulty, in attempts that open a connection.
inline constexpr double kConnectingMemory = 20;
// Decay time of the difficulty: failed connections to removed machines say nothing about other machines.
inline constexpr Duration kConnectingDecayTime = std::chrono::seconds(2);

// The idle connections of this sidecar to an upstream, as estimated.
struct ConnectionRecord {
  int idle = 0;
  TimePoint idle_since;  // when the most recently used one became idle
};

// How an attempt got its connection.
struct ConnectionUse {
  bool connects = false;  // it opened a new one
  Duration idle_for{};    // how long the reused one had been idle
};

class ConnectionModel {
 public:
  explicit ConnectionModel(const Limits& limits) : limits_(limits), trusted_idle_(limits.idle_close) {}

  // Whether an attempt sent now finds a usable connection. `in_flight`: attempts at the upstream.
  bool HasConnection(const ConnectionRecord& record, int in_flight, TimePoint now) const {
    if (limits_.streams > 1 && in_flight > 0) return true;
    return record.idle > 0 && now - record.idle_since < limits_.idle_close;
  }

  bool IsConnectingHard() const { return difficulty_.value > kHardToConnect; }

  // Whether the idle connections are too old to be reused; if so, the record counts them as closed.
  bool DropStale(ConnectionRecord& record, TimePoint now) const;
  // An attempt is being sent. Returns how it gets its connection, and removes an idle one from the record.
  ConnectionUse Use(ConnectionRecord& record, int in_flight, TimePoint now) const;
  // An attempt has ended. `usual_time`: the usual answer time of its class.
  void RecordOutcome(ConnectionRecord& record, const ConnectionUse& use, Outcome outcome, Duration elapsed,
                     Duration usual_time, TimePoint now);
  void RecordTick();

 private:
  const Limits& limits_;
  Mean difficulty_;        // of connecting, 0 to 1; 1 if it fails or the answer takes twice its usual time
  Duration trusted_idle_;  // connections that were idle for longer are closed, not reused
};

}  // namespace mothrack::balancer
