// The values that all of gossip shares: members, their states, the values that they publish, and the bounds
// of all of them. Pure. A TimePoint is of one machine's steady clock and is never compared with another
// machine's.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace mothrack::gossip {

using Duration = std::chrono::milliseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Bounds of whatever a member sends; what exceeds one is rejected and counted.
constexpr std::size_t kMaxNameSize = 64;        // bytes of a member's or a zone's name
constexpr std::size_t kMaxAddressSize = 48;     // bytes of "ip:port"
constexpr std::size_t kMaxKeySize = 24;         // bytes of a value's key
constexpr std::size_t kMaxValueSize = 256;      // bytes of a value
constexpr std::size_t kMaxKeysPerOwner = 16;    // values of one owner
constexpr std::size_t kMaxMembers = 4096;       // known at once, remembered dead ones included
constexpr std::size_t kMaxDatagramSize = 1200;  // bytes on the wire, seal and all: no network fragments it
constexpr Duration kMaxValueTtl{600'000};       // of a value, as stated by its owner
// Of boot numbers, incarnations and versions. A greater one is invalid: whoever has to go one above what it
// received needs the room to.
constexpr std::uint64_t kMaxCounter = std::uint64_t{1} << 62;

enum class Role : std::uint8_t { kSidecar = 1, kAgent = 2 };

// One process of a member. `boot_number` is greater for a later process of the same name: the Unix time of
// its start in microseconds, or more where a former process's clock was ahead.
struct BootId {
  std::string name;
  std::uint64_t boot_number = 0;
  auto operator<=>(const BootId&) const = default;
};

enum class MemberState : std::uint8_t {
  kAlive = 1,
  kSuspect = 2,  // a probe had no ack; it may refute by a higher incarnation
  kDead = 3,     // nobody refuted in time
  kLeft = 4,     // on its own word
};

// What a member is known to be, as stored and as disseminated. Of two the later one by Supersedes() wins, at
// every member alike.
struct MembershipUpdate {
  BootId boot_id;
  std::uint64_t incarnation = 0;  // raised by the member itself alone, to refute
  MemberState state = MemberState::kAlive;
  Role role = Role::kSidecar;
  std::string address;  // where it receives, "ip:port"; opaque to the core
  std::string zone;     // empty: its settings name none
  bool operator==(const MembershipUpdate&) const = default;
};

// Later boot; then higher incarnation; then the later state (alive, suspect, dead, left).
bool Supersedes(const MembershipUpdate& update, const MembershipUpdate& current);

// A small value with an owner. The owner's latest version wins, in whatever order versions arrive. It expires
// when its age reaches `ttl`, everywhere, without clocks being compared: each member adds the time that it
// stored it.
struct Value {
  BootId owner;
  std::string key;
  std::uint64_t version = 0;  // raised by its owner with each change
  Duration age{0};  // since its owner put it, as far as the sender can tell; never less than is true but for
                    // the time on the wire
  Duration ttl{0};
  std::string bytes;
  bool operator==(const Value&) const = default;
};

}  // namespace mothrack::gossip
