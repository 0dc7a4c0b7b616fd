// The endpoint list: the upstreams and their addresses, from discovery or the operator's file.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "balancer/balancer.h"
#include "runtime/address.h"

namespace mothrack::dispatch {

// An upstream's address, and whether new attempts may be sent to it.
struct Location {
  balancer::UpstreamState state = balancer::UpstreamState::kServing;
  runtime::Endpoint endpoint;
  std::int64_t boot_ms = 0;  // Unix milliseconds when its process started; 0: unknown
};

// A complete list, or the changes since the previous one, for both the balancer and the transport.
struct MembershipList {
  std::uint64_t revision = 0;  // assigned by discovery
  balancer::MembershipUpdate update;
  std::map<std::string, Location> locations;  // by uid, of the upstreams in `update`
};

}  // namespace mothrack::dispatch
