// The protocol's parameters. Pure; read-only after the core was made.
//
// Source: SWIM (Das, Gupta, Motivala 2002) for probing and dissemination, Lifeguard (Dadgar, Phillips, Currey
// 2017) for suspicion and local health; docs/design/gossip.md gives the reasons for the defaults and the
// times that follow from them by the fleet's size.
#pragma once

#include <cstddef>

#include "gossip/types.h"

namespace mothrack::gossip {

// Times hold for a healthy member. A member's local health score (0 to 8) multiplies its own probe interval
// and timeout by up to 9, which makes an unhealthy member slower in suspecting others.
struct ProtocolConfig {
  Duration probe_interval{500};
  // Wait for the direct ack; then `indirect_probes` others are asked until the round ends. Below
  // `probe_interval`.
  Duration probe_timeout{200};
  std::size_t indirect_probes = 3;
  // Shortest suspicion: this x log10(members, at least 10) x probe_interval.
  double suspicion_multiplier = 4;
  // Longest suspicion, without confirmations: this many times the shortest.
  double max_suspicion_multiplier = 6;
  Duration gossip_interval{100};
  std::size_t fanout = 2;            // datagrams a gossip round; none where no update is queued
  double retransmit_multiplier = 4;  // each update is sent this x log10(members + 1) times, rounded up
  Duration digest_interval{1000};    // one range of names to one member
  std::size_t datagrams_per_s = 40;  // sent in all, whatever the fleet's size; acks count too
  Duration dead_retention{300'000};  // dead and departed members are remembered for this long
};

}  // namespace mothrack::gossip
