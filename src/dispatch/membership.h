// Which upstreams there are and where: what a source of membership (discovery, the operator's file) says.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "balancer/balancer.h"
#include "runtime/address.h"

namespace mothrack::dispatch {

// Where an upstream listens, and whether it may be sent anything new.
struct Location {
  balancer::UpstreamState state = balancer::UpstreamState::kServing;
  runtime::Endpoint endpoint;
  std::int64_t boot_ms = 0;  // Unix milliseconds when its process started; 0: unknown
};

// One list, or the changes since the one before: for the module, and for the transport.
struct MembershipList {
  std::uint64_t revision = 0;  // as discovery numbers its lists
  balancer::MembershipUpdate update;
  std::map<std::string, Location> locations;  // by uid, of the same upstreams
};

}  // namespace mothrack::dispatch
