// Membership of a fleet and small values that its members share: SWIM with Lifeguard's refinements, and
// anti-entropy. A state machine without I/O, clock or thread: messages and time are its inputs, datagrams and
// changes its outputs. The same seed and inputs give the same outputs. docs/design/gossip.md has its rules as
// tables.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gossip/core_output.h"
#include "gossip/message.h"
#include "gossip/protocol_config.h"
#include "gossip/types.h"

namespace mothrack::gossip {

// The state of another member, for reports and decisions.
struct MemberView {
  MembershipUpdate update;
  TimePoint since;  // when it entered its state, as seen here
};
// A value and its current age.
struct ValueView {
  const Value* value = nullptr;  // its `age` is that at receipt; valid until the next call of the core
  Duration age{0};               // current
};

// Passes events to the parts of the protocol. Not thread-safe. `now` must never decrease.
class Core {
 public:
  Core(MembershipUpdate self, const ProtocolConfig& config, std::uint64_t seed, TimePoint now);
  ~Core();
  Core(Core&&) noexcept;
  Core& operator=(Core&&) noexcept;

  // Sets the addresses that are pinged until another member is known. They are also pinged occasionally
  // afterwards, so that two halves of a fleet that declared each other dead find each other again.
  void SetSeeds(std::vector<std::string> addresses);
  // Handles an authenticated and decoded datagram. `from`: the sender's address.
  void Receive(const Message& message, const std::string& from, TimePoint now, CoreOutput& out);
  // Runs all timers that are due. Must be called at next() at the latest; an earlier call does no harm.
  void Tick(TimePoint now, CoreOutput& out);
  // When Tick() must be called next; TimePoint::max() after Leave().
  TimePoint next() const;
  // Publishes a value of this member. Returns false if it exceeds a bound of types.h or this member has left.
  bool Put(const std::string& key, const std::string& bytes, Duration ttl, TimePoint now);
  // Notifies some members of the leave. Afterwards all calls that would change or send anything have no
  // effect.
  void Leave(TimePoint now, CoreOutput& out);

  const MembershipUpdate& self() const;
  // Lifeguard's local health score: 0 is healthy. At 8, the maximum, this member receives so little that its
  // suspicions of others are unreliable.
  int health() const;
  std::size_t alive() const;  // this member, alive and suspected members
  // Live members, this one included, and members that died within the last `dead_retention`; not members that
  // left.
  std::size_t known() const;
  std::vector<MemberView> members() const;  // ordered by name, without this member
  std::optional<MemberView> Find(const std::string& name) const;
  // Unexpired values of alive and suspected owners, this member included; ordered by the owner's name.
  std::vector<ValueView> Values(const std::string& key, TimePoint now) const;
  const Counts& counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mothrack::gossip
