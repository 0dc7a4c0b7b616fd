// The permit service of a voter that is not the leader.
#include "change_freeze/permit_service.h"

#include <gtest/gtest.h>

#include <vector>

#include "change_freeze/voter_fixture.h"

namespace mothrack::change_freeze {
namespace {

TEST(FreezePermitService, NamesUnreachableVotersIfThereIsNoLeader) {
  PermitService service(InRole(VoterRole::kFollower).voter);
  std::vector<VoterMessage> out;
  const auto receipt = service.Change(
      At(20'000), [](FreezeState&) { return Status(); }, out);
  EXPECT_EQ(receipt.version, 0u);
  EXPECT_EQ(receipt.status.message, "there is no coordinator; unreachable voters: b, c");
  EXPECT_FALSE(service.ConfirmPermit("c1", At(20'000)));
}

}  // namespace
}  // namespace mothrack::change_freeze
