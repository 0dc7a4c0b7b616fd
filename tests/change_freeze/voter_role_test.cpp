// The role transitions of the table in voter_role.h.
#include "change_freeze/voter_role.h"

#include <gtest/gtest.h>

#include <map>
#include <utility>

namespace mothrack::change_freeze {
namespace {

TEST(FreezeVoterRole, ChangesByItsTableOnly) {
  using Role = VoterRole;
  using Event = RoleEvent;
  const std::map<std::pair<Role, Event>, Role> table = {
      {{Role::kFollower, Event::kElectionTimeout}, Role::kPreCandidate},
      {{Role::kPreCandidate, Event::kPreVoteWon}, Role::kCandidate},
      {{Role::kCandidate, Event::kElectionWon}, Role::kEstablishing},
      {{Role::kEstablishing, Event::kValueCommitted}, Role::kLeader},
      {{Role::kRejoining, Event::kRejoinGranted}, Role::kFollower},
  };
  for (int role_index = 0; role_index <= static_cast<int>(Role::kLeader); ++role_index) {
    for (int event_index = 0; event_index <= static_cast<int>(Event::kRejoinGranted); ++event_index) {
      const auto role = static_cast<Role>(role_index);
      const auto event = static_cast<Event>(event_index);
      Role expected = role;
      if (const auto row = table.find({role, event}); row != table.end()) expected = row->second;
      if (event == Event::kRecordStale) expected = Role::kRejoining;
      if (event == Event::kSteppedDown && role != Role::kRejoining) expected = Role::kFollower;
      EXPECT_EQ(NextRole(role, event), expected) << "role " << role_index << ", event " << event_index;
    }
  }
}

}  // namespace
}  // namespace mothrack::change_freeze
