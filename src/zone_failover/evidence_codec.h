// Encodes evidence as the value that members send each other by gossip. Pure functions; any thread.
//
// Format: version (1 byte), zone of the member (4, little-endian), number of zones (1); then for each zone,
// by ascending id: its id (4), eleven counts, phase and step (a nibble each), losses (1), generation, age of
// the state. Counts are varints with 7 bits per byte, the lowest first.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "zone_failover/evidence.h"

namespace mothrack::zone_failover {

constexpr std::size_t kMaxEvidenceBytes = 256;  // bound of a gossip value (gossip/types.h)
// Number of zones that fit even if every count has its maximum.
constexpr std::size_t kMaxZones = 7;

// Zones beyond kMaxZones are omitted, and counts above kMaxCount are clamped.
std::string Encode(const Evidence& evidence);
// Returns nothing if the bytes are not an exact result of Encode(), or if its counts contradict each other.
std::optional<Evidence> Decode(std::string_view bytes);

}  // namespace mothrack::zone_failover
