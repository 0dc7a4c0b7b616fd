// Membership of a fleet, and small values that its members share: SWIM with Lifeguard's refinements, and
// anti-entropy. A state machine without I/O, clock and thread: messages and time go in, datagrams and changes
// come out. The same seed and inputs give the same outputs. docs/design/gossip.md has its rules as tables.
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

// What is known of another member, for people and for decisions.
struct MemberView {
  MembershipUpdate update;
  TimePoint since;  // when it took its state, here
};
struct ValueView {
  const Value* value = nullptr;  // its `age` as of when it was received; valid until the core is next called
  Duration age{0};               // now
};

// Routes events to the parts of the protocol. Not thread-safe; `now` must never go back.
class Core {
 public:
  Core(MembershipUpdate self, const ProtocolConfig& config, std::uint64_t seed, TimePoint now);
  ~Core();
  Core(Core&&) noexcept;
  Core& operator=(Core&&) noexcept;

  // Addresses that are pinged until a member is known; also now and then afterwards, so that two halves that
  // declared each other dead find together again.
  void SetSeeds(std::vector<std::string> addresses);
  // A datagram that was authenticated and decoded. `from`: the address it came from.
  void Receive(const Message& message, const std::string& from, TimePoint now, CoreOutput& out);
  // Runs what is due. To be called at next() at the latest; sooner does no harm.
  void Tick(TimePoint now, CoreOutput& out);
  // TimePoint::max() once it left.
  TimePoint next() const;
  // Publishes this member's value. False where a bound of types.h forbids it, or it left.
  bool Put(const std::string& key, const std::string& bytes, Duration ttl, TimePoint now);
  // Tells some members and takes no further part.
  void Leave(TimePoint now, CoreOutput& out);

  const MembershipUpdate& self() const;
  // Lifeguard's local health: 0 is healthy, up to 8 it receives so little that it had better doubt itself.
  int health() const;
  std::size_t alive() const;  // itself and the suspected included
  // The live ones and those that died within the last `dead_retention`, itself included; not who left.
  std::size_t known() const;
  std::vector<MemberView> members() const;  // itself not; by name
  std::optional<MemberView> Find(const std::string& name) const;
  // Unexpired values of live and suspected owners, itself included; by owner's name.
  std::vector<ValueView> Values(const std::string& key, TimePoint now) const;
  const Counts& counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mothrack::gossip
