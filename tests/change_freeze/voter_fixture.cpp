#include "change_freeze/voter_fixture.h"

namespace mothrack::change_freeze {

using Kind = VoterMessage::Kind;
using Role = VoterRole;

void VoterFixture::GrantLastRequest(const std::string& name) {
  const VoterMessage request = out.back();
  VoterMessage message = From(name,
                              request.kind == Kind::kPreVoteRequest  ? Kind::kPreVoteResponse
                              : request.kind == Kind::kVoteRequest   ? Kind::kVoteResponse
                              : request.kind == Kind::kRejoinRequest ? Kind::kRejoinResponse
                                                                     : Kind::kReplicateResponse,
                              request.term);
  message.granted = true;
  message.value_version = request.kind == Kind::kPreVoteRequest ? ValueVersion{request.term, 0}
                          : request.kind == Kind::kVoteRequest  ? ValueVersion{4, 2}
                                                                : request.value_version;
  message.value = "of b";
  message.wanted_incarnation = request.wanted_incarnation;
  out.clear();
  Receive(message);
}

VoterFixture InRole(Role role) {
  VoterSettings settings;
  settings.local_voter = "a";
  settings.voters = {"a", "b", "c"};
  VoterRecord record;
  record.serial = 7;
  record.term = 5;
  record.voted_for = "c";
  record.value_version = {4, 1};
  record.value = "of a";
  VoterFixture fixture{Voter(settings, record,
                             role == Role::kRejoining ? RecordCondition::kStale : RecordCondition::kCurrent,
                             At(0))};
  if (role != Role::kFollower) fixture.Tick();
  for (int step = 3; role >= Role::kCandidate && step <= static_cast<int>(role); ++step)
    fixture.GrantLastRequest("b");
  EXPECT_EQ(kRoleNames[static_cast<int>(fixture.voter.role())],
            std::string(kRoleNames[static_cast<int>(role)]));
  return fixture;
}

}  // namespace mothrack::change_freeze
