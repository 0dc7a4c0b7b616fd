// State that several parts of the protocol share. Owned by the core and passed to each part by reference.
// Used on one thread; no I/O, no clock.
#pragma once

#include <cstdint>
#include <utility>

#include "gossip/core_output.h"
#include "gossip/membership.h"
#include "gossip/protocol_config.h"
#include "gossip/random.h"
#include "gossip/update_queue.h"
#include "gossip/value_store.h"

namespace mothrack::gossip {

struct ProtocolContext {
  ProtocolContext(MembershipUpdate local, const ProtocolConfig& protocol_config, std::uint64_t seed,
                  TimePoint now)
      : config(protocol_config),
        self(std::move(local)),
        random(seed),
        membership(self, protocol_config, now) {}

  bool IsSelf(const BootId& boot_id) const { return boot_id.name == self.boot_id.name; }
  // Whether no other member is alive or suspected.
  bool alone() const { return membership.live().empty(); }
  // A random phase in [0, interval], so that members that start together do not act together.
  Duration RandomPhase(Duration interval) {
    return Duration(random.Below(static_cast<std::size_t>(interval.count()) + 1));
  }

  const ProtocolConfig config;
  MembershipUpdate self;
  // The order of draws is part of the core's behaviour: the same seed must give the same outputs.
  Random random;
  Membership membership;
  ValueStore values;
  UpdateQueue updates;
  Counts counts;
};

}  // namespace mothrack::gossip
