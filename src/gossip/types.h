// The types shared by all of gossip: members, their states, the values that they publish, and their bounds.
// Plain values. A TimePoint belongs to one machine's steady clock and is never compared with another
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

// Bounds of what a member sends. Anything beyond a bound is rejected and counted.
constexpr std::size_t kMaxNameSize = 64;      // bytes of a member's or a zone's name
constexpr std::size_t kMaxAddressSize = 48;   // bytes of "ip:port"
constexpr std::size_t kMaxKeySize = 24;       // bytes of a value's key
constexpr std::size_t kMaxValueSize = 256;    // bytes of a value
constexpr std::size_t kMaxKeysPerOwner = 16;  // values of one owner
constexpr std::size_t kMaxMembers = 4096;     // known at once, including remembered dead ones
// Bytes in the UDP payload including the seal; small enough to avoid IP fragmentation.
constexpr std::size_t kMaxDatagramSize = 1200;
constexpr Duration kMaxValueTtl{600'000};  // maximum time to live that an owner may state
// Upper bound of boot numbers, incarnations and versions. A greater number is rejected, because a member must
// always be able to exceed a number that it received.
constexpr std::uint64_t kMaxCounter = std::uint64_t{1} << 62;

// The kind of process. The numbers are sent to other members.
enum class Role : std::uint8_t { kSidecar = 1, kAgent = 2 };

// One process of a member. A later process of the same name has a greater `boot_number`: the Unix time of its
// start in microseconds, or more if the clock of an earlier process was ahead.
struct BootId {
  std::string name;
  std::uint64_t boot_number = 0;
  auto operator<=>(const BootId&) const = default;
};

// The state of a member. The numbers are sent to other members, and their order matters (Supersedes()).
enum class MemberState : std::uint8_t {
  kAlive = 1,
  kSuspect = 2,  // a probe got no ack; the member may refute with a higher incarnation
  kDead = 3,     // the suspicion was not refuted in time
  kLeft = 4,     // the member itself announced it
};

// The state of a member, as stored and as disseminated. Of two updates, each member keeps the one that
// Supersedes() the other.
struct MembershipUpdate {
  BootId boot_id;
  std::uint64_t incarnation = 0;  // raised only by the member itself, to refute
  MemberState state = MemberState::kAlive;
  Role role = Role::kSidecar;
  std::string address;  // where it receives datagrams, "ip:port"; opaque to the core
  std::string zone;     // empty: not configured
  bool operator==(const MembershipUpdate&) const = default;
};

// Whether `update` replaces `current`: the later boot wins, then the higher incarnation, then the later state
// (alive, suspect, dead, left).
bool Supersedes(const MembershipUpdate& update, const MembershipUpdate& current);

// A small value with an owner. The owner's latest version wins, in whatever order versions arrive. It expires
// everywhere when its age reaches `ttl`. No clocks are compared: each member adds the time for which it
// stored the value.
struct Value {
  BootId owner;
  std::string key;
  std::uint64_t version = 0;  // raised by its owner with each change
  // Time since its owner published it, as far as the sender knows. Never too low, except for the time on the
  // wire.
  Duration age{0};
  Duration ttl{0};
  std::string bytes;
  bool operator==(const Value&) const = default;
};

}  // namespace mothrack::gossip
