// Who is there, and what is known: membership by SWIM with Lifeguard's refinements, and small values that
// merge in any order. A state machine without I/O, clock and thread: messages and time go in, datagrams and
// changes come out. The same seed and inputs give the same outputs. docs/design/peers.md has its rules as
// tables.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gossip/message.h"
#include "gossip/types.h"

namespace mothrack::gossip {

// Times are of a healthy member; its local health (0 to 8) makes a sick one slower in judging others.
struct ProtocolConfig {
  Duration probe_interval{500};
  Duration probe_timeout{200};  // for the ack, then `indirect` others are asked until the round is over
  std::size_t indirect_probes = 3;
  double suspicion_multiplier =
      4;  // least time of a suspicion: this x log10(members, 10 at least) x probe_interval
  double max_suspicion_multiplier = 6;  // without confirmations: this many times the least
  Duration gossip_interval{100};
  std::size_t fanout = 2;            // datagrams of news each time; none where there is no news
  double retransmit_multiplier = 4;  // each piece of news is sent this x log10(members + 1) times, rounded up
  Duration digest_interval{1000};    // one range to one member
  std::size_t datagrams_per_s = 40;  // sent in all, whatever the fleet's size; acks count too
  Duration dead_retention{300'000};
};

struct Datagram {
  std::string address;
  Message message;
};

// What changed for whoever uses it.
struct Change {
  enum class What { kMember, kValue, kValueExpired, kLocalBootRaised } what = What::kMember;
  MembershipUpdate member;  // kMember; of kLocalBootRaised: this process, whose `born` had to be raised
  Value value;              // kValue, kValueExpired (bytes empty)
};

struct CoreOutput {
  std::vector<Datagram> datagrams;
  std::vector<Change> changes;
};

struct Counts {
  std::uint64_t sent = 0, received = 0, rate_limited = 0;  // rate_limited: datagrams that the bound kept back
  std::uint64_t probes = 0, probes_failed = 0, indirect_probes = 0, refuted = 0;
  std::uint64_t suspected = 0, died = 0, returned = 0;
  std::uint64_t updates_applied = 0, updates_stale = 0, values_applied = 0, values_stale = 0, expired = 0,
                rejected = 0;
  std::uint64_t digests = 0, records = 0;
};

// A member's view of another, for people and for decisions.
struct MemberView {
  MembershipUpdate update;
  TimePoint since;  // of its state, here
};
struct ValueView {
  const Value* value = nullptr;  // its `age` as of when it came
  Duration age{0};               // now
};

class Core {
 public:
  Core(MembershipUpdate self, const ProtocolConfig& config, std::uint64_t seed, TimePoint now);
  ~Core();
  Core(Core&&) noexcept;
  Core& operator=(Core&&) noexcept;

  // Addresses of which one at least is asked until a member is known; also asked now and then afterwards, so
  // that two halves that took each other for dead find together again.
  void SetSeeds(std::vector<std::string> addresses);
  // A datagram came, checked and read.
  void Receive(const Message& message, const std::string& from, TimePoint now, CoreOutput& out);
  // Time passed. Call it at next() at the latest; sooner does no harm.
  void Tick(TimePoint now, CoreOutput& out);
  TimePoint next() const;
  // This member's value, from now on. False where a bound forbids it.
  bool Put(const std::string& key, const std::string& bytes, Duration ttl, TimePoint now);
  void Leave(TimePoint now, CoreOutput& out);

  const MembershipUpdate& self() const;
  int health() const;         // 0: well; to 8: it hears so little that it had better doubt itself
  std::size_t alive() const;  // itself and the suspected included
  // The live ones and those that died within the last `dead_retention`, itself included; not who left.
  std::size_t known() const;
  std::vector<MemberView> members() const;  // itself not; by name
  std::optional<MemberView> Find(const std::string& name) const;
  // Of live and suspected owners, itself included, what has not lapsed; by owner's name.
  std::vector<ValueView> Values(const std::string& key, TimePoint now) const;
  const Counts& counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mothrack::gossip
