// Words that the peers share: who a member is, what is said of it, and what it says. Pure: nothing here does
// I/O or reads a clock. A TimePoint is of one machine's steady clock and is never compared with another
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

// Bounds that hold whatever a peer says; what exceeds one is not taken, and counted.
constexpr std::size_t kMaxNameSize = 64;        // bytes of a member's or a zone's name
constexpr std::size_t kMaxAddressSize = 48;     // bytes of "ip:port"
constexpr std::size_t kMaxKeySize = 24;         // bytes of a value's key
constexpr std::size_t kMaxValueSize = 256;      // bytes of a value
constexpr std::size_t kMaxKeysPerOwner = 16;    // values of one owner
constexpr std::size_t kMaxMembers = 4096;       // known at once, the dead that are remembered included
constexpr std::size_t kMaxDatagramSize = 1200;  // bytes on the wire, seal and all: no network fragments it
constexpr Duration kMaxValueTtl{600'000};       // of a value, as stated by its owner
// Of boot numbers, incarnations and versions. A greater one is invalid: whoever has to go one above what it
// received needs the room to.
constexpr std::uint64_t kMaxCounter = std::uint64_t{1} << 62;

enum class Role : std::uint8_t { kSidecar = 1, kAgent = 2 };

// One process of a member. `born` is greater for a later process of the same name: the Unix time of its start
// in microseconds, or one more than what it hears of a former one whose clock was ahead.
struct BootId {
  std::string name;
  std::uint64_t boot_number = 0;
  auto operator<=>(const BootId&) const = default;
};

enum class MemberState : std::uint8_t {
  kAlive = 1,
  kSuspect = 2,  // somebody got no answer; it may refute by a higher incarnation
  kDead = 3,     // nobody refuted in time
  kLeft = 4,     // said so itself
};

// What is known of a member. Of two that differ the later one by Supersedes() counts, at every member alike.
struct MembershipUpdate {
  BootId boot_id;
  std::uint64_t incarnation = 0;  // raised by the member itself alone, to refute
  MemberState state = MemberState::kAlive;
  Role role = Role::kSidecar;
  std::string address;  // where it hears, "ip:port"; opaque to the core
  std::string zone;     // hall
  bool operator==(const MembershipUpdate&) const = default;
};

// Later life; then higher incarnation; then the graver state (alive, suspect, dead, left).
bool Supersedes(const MembershipUpdate& update, const MembershipUpdate& held);

// A small value with an owner. The owner's latest version counts, in whatever order versions come; it lapses
// when its age reaches `lasts`, everywhere, without any clock being compared: each holder adds the time that
// it held it.
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
