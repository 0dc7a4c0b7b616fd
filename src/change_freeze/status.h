// Why a request of an operator, a tool or an agent was refused: a code for callers that act on it, and a text
// that is shown to people as it is.
//
// A plain value; any thread.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::change_freeze {

enum class StatusCode : std::uint8_t {
  kOk,
  kInvalidRequest,     // a field is missing, too long or contradicts another one
  kNotAuthorized,      // the role of who asks does not suffice
  kNotLeader,          // this voter does not hold the lease; the text says whom to ask, or who is missing
  kChangePending,      // an earlier change of the state is not yet committed; ask again
  kStateTooLarge,      // the encoded state would exceed kMaxValueBytes
  kLimitReached,       // one of the bounds of bounds.h
  kPermitEnding,       // the change's former permit may still be in use at an agent; ask again
  kExcludedByPermit,   // another change has a permit, and both must not run at once
  kBlockedByIncident,  // an incident that is in force stands against it
};

struct Status {
  StatusCode code = StatusCode::kOk;
  std::string message{};  // empty if and only if ok()
  bool ok() const { return code == StatusCode::kOk; }
};

}  // namespace mothrack::change_freeze
