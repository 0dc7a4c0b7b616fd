// The parameters of the protocol. Plain values, constant after the core was created.
//
// Source: SWIM (Das, Gupta, Motivala 2002) for probing and dissemination, Lifeguard (Dadgar, Phillips, Currey
// 2017) for suspicion and local health. docs/design/gossip.md gives the reasons for the defaults and the
// resulting times by fleet size.
#pragma once

#include <cstddef>

#include "gossip/types.h"

namespace mothrack::gossip {

// Times are those of a healthy member. A member's local health score (0 to 8) multiplies its own probe
// interval and timeout by up to 9, so that an unhealthy member suspects others more slowly.
struct ProtocolConfig {
  Duration probe_interval{500};
  // Time to wait for the direct ack. Then `indirect_probes` other members ping it until the round ends.
  // Must be below `probe_interval`.
  Duration probe_timeout{200};
  std::size_t indirect_probes = 3;
  // Minimum suspicion time: this x log10(members, at least 10) x probe_interval.
  double suspicion_multiplier = 4;
  // Maximum suspicion time, without confirmations, as a multiple of the minimum.
  double max_suspicion_multiplier = 6;
  Duration gossip_interval{100};
  std::size_t fanout = 2;            // datagrams per gossip round; none if no update is queued
  double retransmit_multiplier = 4;  // each update is sent this x log10(members + 1) times, rounded up
  Duration digest_interval{1000};    // between two digests; each covers one range of names
  std::size_t datagrams_per_s = 40;  // all sent datagrams including acks, whatever the fleet's size
  Duration dead_retention{300'000};  // how long dead and departed members are remembered
};

}  // namespace mothrack::gossip
