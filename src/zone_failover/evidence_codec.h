// Evidence as bytes: the value that members send each other by gossip. Pure; any thread.
//
// Version (1 byte), zone of the member (4, little-endian), number of zones (1); then of each zone, by rising
// id: its id (4), eleven counts, phase and step (a nibble each), losses (1), generation, age of the state.
// Counts are varints of 7 bits a byte, the lowest first.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "zone_failover/evidence.h"

namespace mothrack::zone_failover {

constexpr std::size_t kMaxEvidenceBytes = 256;  // of a gossip value (src/gossip/types.h)
constexpr std::size_t kMaxZones = 7;            // that fit with every count at its highest

// Of zones beyond kMaxZones nothing is sent; counts above kMaxCount are sent as that.
std::string Encode(const Evidence& evidence);
// Nothing where the bytes are not exactly what Encode() gives for some evidence, or contradict themselves.
std::optional<Evidence> Decode(std::string_view bytes);

}  // namespace mothrack::zone_failover
