#include "change_freeze/voter_fixture.h"

namespace mothrack::change_freeze {

using Kind = VoterMessage::Kind;
using Role = VoterRole;

void VoterFixture::GrantLastRequest(const std::string& name) {
  const VoterMessage request = out.back();
  VoterMessage m = From(name,
                        request.kind == Kind::kPreVoteRequest  ? Kind::kPreVoteResponse
                        : request.kind == Kind::kVoteRequest   ? Kind::kVoteResponse
                        : request.kind == Kind::kRejoinRequest ? Kind::kRejoinResponse
                                                               : Kind::kReplicateResponse,
                        request.term);
  m.granted = true;
  m.value_version = request.kind == Kind::kPreVoteRequest ? ValueVersion{request.term, 0}
                    : request.kind == Kind::kVoteRequest  ? ValueVersion{4, 2}
                                                          : request.value_version;
  m.value = "of b";
  m.wanted_incarnation = request.wanted_incarnation;
  out.clear();
  Receive(m);
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
  EXPECT_EQ(kRoles[static_cast<int>(fixture.voter.role())], std::string(kRoles[static_cast<int>(role)]));
  return fixture;
}

}  // namespace mothrack::change_freeze
