// The leader's side of its lease: how long it may act without asking the voters again.
//
// The lease counts from when the leader *sent* the request that the last voter of a majority has
// acknowledged, and is shortened by the clock tolerance. The voters' side is a promise that counts from when
// they *received* it, lengthened (Voter::PromiseLease). So the lease ends at its holder first, however slow
// the messages are (Gray and Cheriton, "Leases", 1989; Raft, 6.4.1).
//
// A value owned by its Voter; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "change_freeze/clock_tolerance.h"

namespace mothrack::change_freeze {

class LeaderLease {
 public:
  explicit LeaderLease(Duration length) : length_(length) {}

  // Forgets all acknowledgements, because another term begins.
  void Reset() { acknowledged_requests_.clear(); }
  // Heartbeats to all voters are sent at `now`. The leader acknowledges its own at once.
  void OnHeartbeatsSent(TimePoint now) { last_heartbeat_ = now; }
  // `voter` acknowledged the request that was sent at `request_sent`, on this leader's clock.
  void OnAcknowledged(const std::string& voter, TimePoint request_sent);
  // The end of the lease; TimePoint::min() while fewer than `majority` voters, including this one, have
  // acknowledged a request.
  TimePoint End(std::size_t majority) const;

 private:
  Duration length_;
  TimePoint last_heartbeat_;
  // By voter: when the latest acknowledged request was sent.
  std::map<std::string, TimePoint> acknowledged_requests_;
};

}  // namespace mothrack::change_freeze
