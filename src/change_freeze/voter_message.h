// The messages between voters. There is one struct for all kinds, as in etcd's raft; each kind lists the
// fields that it uses.
//
// Plain values; any thread. The transport may lose, repeat, delay and reorder messages.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

struct VoterMessage {
  enum class Kind : std::uint8_t {
    kPreVoteRequest,     // would the receiver vote for the sender in `term`? Changes no state
    kPreVoteResponse,    // `granted`; `value_version.term` repeats the request's term
    kVoteRequest,        // asks for a vote for the sender in `term`
    kVoteResponse,       // `granted`; if so, `value_version` and `value` of the responder
    kReplicate,          // from the leader of `term`: store `value` as `value_version`; also a heartbeat
    kHeartbeat,          // from the leader of `term` to a voter that has its latest value
    kReplicateResponse,  // to both: `granted`, and the responder's `value_version`
    kRejoinRequest,      // the sender's file was stale: it asks to rejoin as `wanted_incarnation`
    // `granted`: that incarnation is on the responder's disk; `term`, `value_version`, `value`.
    kRejoinResponse,
  };
  Kind kind = Kind::kHeartbeat;
  std::string from{};
  std::string to{};
  Term term = 0;
  bool granted = false;
  ValueVersion value_version{};
  std::string value{};
  std::int64_t request_sent = 0;         // ms on the requester's steady clock; repeated in a response
  Incarnation wanted_incarnation = 0;    // for kRejoinRequest; repeated in a response
  Incarnation incarnation = 0;           // position of the sender's record once it is on disk
  std::uint64_t serial = 0;              // same
  Incarnation receiver_incarnation = 0;  // position of the receiver's record, as the sender last received it:
  std::uint64_t receiver_serial = 0;     // tells a receiver that its own file is stale
  std::map<std::string, Incarnation> incarnations{};  // the sender's VoterRecord::incarnations
};

}  // namespace mothrack::change_freeze
