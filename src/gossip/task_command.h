// The commands from the event loop's thread to the gossip task. Plain values, delivered through a
// BoundedQueue.
#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "gossip/types.h"

namespace mothrack::gossip {

// Publishes a value of this member.
struct PutValueCommand {
  std::string key, bytes;
  Duration ttl{0};
};
// Notifies the other members that this one leaves.
struct LeaveCommand {};
// Reads the key file again.
struct ReloadKeysCommand {};
using TaskCommand = std::variant<PutValueCommand, LeaveCommand, ReloadKeysCommand>;

// Four times the number of values of one owner. A later PutValueCommand of a key replaces an
// earlier one, so a task that is further behind loses only outdated values, provided that the event loop
// repeats its commands.
constexpr std::size_t kMaxPendingCommands = 4 * kMaxKeysPerOwner;

}  // namespace mothrack::gossip
