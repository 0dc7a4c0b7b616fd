// Describes what a FaultyRelay did to its traffic, as text for a test's log.
#pragma once

#include <cstdint>
#include <string>

#include "standins/relay_topology.h"

namespace mothrack::testing::relay {

// Returns one line for each link on which anything was dropped, duplicated, reordered or reset, and one for
// the datagrams of unknown senders if there were any.
std::string Describe(const Topology& topology, std::uint64_t unknown_senders);

}  // namespace mothrack::testing::relay
