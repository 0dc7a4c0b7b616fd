// The leader's side of its lease: until when it may act without asking anybody again.
//
// The lease counts from when the leader *sent* the request that the last voter of a majority has
// acknowledged, and is shortened by the clock tolerance; the voters' side is a promise from when they
// *received* it, lengthened (Voter::PromiseLease). So it ends at its holder first, however slow the messages
// are (Gray and Cheriton, "Leases", 1989; Raft, 6.4.1).
//
// A value that its Voter owns; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "change_freeze/clock_tolerance.h"

namespace mothrack::change_freeze {

class LeaderLease {
 public:
  explicit LeaderLease(Duration length) : length_(length) {}

  // Forgets what was acknowledged: another term begins.
  void Reset() { acknowledged_requests_.clear(); }
  // Heartbeats to all voters leave at `now`; the leader acknowledges its own at once.
  void OnHeartbeatsSent(TimePoint now) { last_heartbeat_ = now; }
  // `voter` has acknowledged the request that left at `request_sent`, of this leader's clock.
  void OnAcknowledged(const std::string& voter, TimePoint request_sent);
  // TimePoint::min() while fewer than `majority` voters, this one included, have acknowledged anything.
  TimePoint End(std::size_t majority) const;

 private:
  Duration length_;
  TimePoint last_heartbeat_;
  std::map<std::string, TimePoint>
      acknowledged_requests_;  // by voter: when the latest acknowledged one was sent
};

}  // namespace mothrack::change_freeze
