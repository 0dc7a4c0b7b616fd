// Why a request of an operator, a tool or an agent was refused: a code for callers that react to it, and a
// text that is shown to people unchanged.
//
// A plain value; any thread.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::change_freeze {

// Reason codes.
enum class StatusCode : std::uint8_t {
  kOk,
  kInvalidRequest,  // a field is missing, too long or contradicts another one
  kNotAuthorized,   // the caller's role does not suffice
  // This voter does not hold the lease; the text names the leader, or the unreachable voters.
  kNotLeader,
  kChangePending,      // an earlier change of the state is not committed yet; ask again
  kStateTooLarge,      // the encoded state would exceed kMaxValueBytes
  kLimitReached,       // a bound of bounds.h
  kPermitEnding,       // an agent may still use the change's previous permit; ask again
  kExcludedByPermit,   // another change has a permit, and the two must not run at the same time
  kBlockedByIncident,  // an incident in force forbids it
};

// Result of a request.
struct Status {
  StatusCode code = StatusCode::kOk;
  std::string message{};  // empty if and only if ok()
  bool ok() const { return code == StatusCode::kOk; }
};

}  // namespace mothrack::change_freeze
