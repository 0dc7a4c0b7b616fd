#include "ctl/claim_error.h"

namespace mothrack::ctl {

std::string ClaimError::Message() const {
  switch (cause) {
    case Cause::kAgentError:
    case Cause::kAgentRefused:
      return agent + ": " + reason;
    case Cause::kInterrupted:
      return "interrupted";
    case Cause::kRejected:
      break;
  }
  return reason;
}

}  // namespace mothrack::ctl
