// The output of the core: datagrams to send, changes to report, counters. Plain values.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gossip/message.h"
#include "gossip/types.h"

namespace mothrack::gossip {

// A message to be encoded, sealed and sent to `address` ("ip:port").
struct Datagram {
  std::string address;
  Message message;
};

// A change that users of the membership react to.
struct Change {
  enum class Kind { kMember, kValue, kValueExpired, kLocalBootRaised } kind = Kind::kMember;
  MembershipUpdate member;  // for kLocalBootRaised: this process, whose boot number had to be raised
  Value value;              // for kValue and kValueExpired (then `bytes` is empty)
};

// Each call of the core appends to this in the order of events. The caller sends the datagrams, handles the
// changes and clears both.
struct CoreOutput {
  std::vector<Datagram> datagrams;
  std::vector<Change> changes;

  void AddChange(Change::Kind kind, const MembershipUpdate& member) {
    changes.emplace_back().kind = kind;
    changes.back().member = member;
  }
  void AddChange(Change::Kind kind, const Value& value) {
    changes.emplace_back().kind = kind;
    changes.back().value = value;
  }
};

// Counters since the core was created.
struct Counts {
  std::uint64_t sent = 0, received = 0;  // datagrams
  std::uint64_t rate_limited = 0;        // datagrams not sent because of `datagrams_per_s`
  std::uint64_t probes = 0, probes_failed = 0, indirect_probes = 0;
  std::uint64_t refuted = 0;  // suspicions and deaths of this member that it has refuted
  std::uint64_t suspected = 0, died = 0, returned = 0;  // state changes of other members
  std::uint64_t updates_applied = 0, updates_stale = 0;
  std::uint64_t values_applied = 0, values_stale = 0, expired = 0;
  std::uint64_t rejected = 0;  // messages, updates and values that were invalid or beyond a bound
  std::uint64_t digests = 0;   // digests sent
  std::uint64_t records = 0;   // updates and values sent in answer to digests
};

}  // namespace mothrack::gossip
