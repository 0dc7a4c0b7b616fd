#include "change_freeze/voter_role.h"

namespace mothrack::change_freeze {

VoterRole NextRole(VoterRole role, RoleEvent event) {
  switch (event) {
    case RoleEvent::kElectionTimeout:
      return role == VoterRole::kFollower ? VoterRole::kPreCandidate : role;
    case RoleEvent::kPreVoteWon:
      return role == VoterRole::kPreCandidate ? VoterRole::kCandidate : role;
    case RoleEvent::kElectionWon:
      return role == VoterRole::kCandidate ? VoterRole::kEstablishing : role;
    case RoleEvent::kValueCommitted:
      return role == VoterRole::kEstablishing ? VoterRole::kLeader : role;
    case RoleEvent::kSteppedDown:
      return role == VoterRole::kRejoining ? role : VoterRole::kFollower;
    case RoleEvent::kRecordStale:
      return VoterRole::kRejoining;
    case RoleEvent::kRejoinGranted:
      return role == VoterRole::kRejoining ? VoterRole::kFollower : role;
  }
  return role;
}

}  // namespace mothrack::change_freeze
