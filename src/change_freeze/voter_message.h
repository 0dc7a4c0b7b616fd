// The messages between voters. One struct for all kinds, as etcd's raft has it; which fields a kind uses
// stands with it.
//
// Plain values; any thread. Whoever carries them may lose, repeat, delay and reorder them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

struct VoterMessage {
  enum class Kind : std::uint8_t {
    kPreVoteRequest,     // would the receiver vote for the sender in `term`? Changes nothing
    kPreVoteResponse,    // `granted`; `value_version.term` repeats the term of the request
    kVoteRequest,        // vote for the sender in `term`
    kVoteResponse,       // `granted`; then `value_version` and `value` are what the responder holds
    kReplicate,          // from the leader of `term`: hold `value` as `value_version`; counts as a heartbeat
    kHeartbeat,          // from the leader of `term`, to a voter that holds its latest value
    kReplicateResponse,  // to both: `granted`, and the `value_version` that the responder holds
    kRejoinRequest,      // the sender's file was stale: it wants to come back as `wanted_incarnation`
    kRejoinResponse,     // `granted`: that incarnation is on the responder's disk; `term`, `value_version`,
                         // `value`
  };
  Kind kind = Kind::kHeartbeat;
  std::string from{};
  std::string to{};
  Term term = 0;
  bool granted = false;
  ValueVersion value_version{};
  std::string value{};
  std::int64_t request_sent = 0;         // ms of the requester's steady clock; a response repeats it
  Incarnation wanted_incarnation = 0;    // of kRejoinRequest; a response repeats it
  Incarnation incarnation = 0;           // position of the sender's record, once it is on disk
  std::uint64_t serial = 0;              // likewise
  Incarnation receiver_incarnation = 0;  // position of the receiver's record, as the sender last received it:
  std::uint64_t receiver_serial = 0;     // tells a receiver that its own file is stale
  std::map<std::string, Incarnation> incarnations{};  // VoterRecord::incarnations of the sender
};

}  // namespace mothrack::change_freeze
