// What the event loop's thread tells the gossip task to do. Values; delivered through a BoundedQueue.
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
// Tells the others that this member leaves.
struct LeaveCommand {};
// Reads the key file again.
struct ReloadKeysCommand {};
using TaskCommand = std::variant<PutValueCommand, LeaveCommand, ReloadKeysCommand>;

// Every value of an owner four times over. A later put of a key makes the former worthless, so a task that is
// further behind than this has lost nothing that would still count, as long as the loop repeats its puts.
constexpr std::size_t kMaxPendingCommands = 4 * kMaxKeysPerOwner;

}  // namespace mothrack::gossip
