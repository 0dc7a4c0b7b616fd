// Subset: over how many upstreams requests are spread, and which ones.
#include "balancer/subset.h"

#include <string>

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

TEST(Subset, ItsSizeFollowsTheRateOnceThatIsKnown) {
  const Limits limits;  // idle connections are closed after 15 s
  const Subset subset(limits);
  EXPECT_EQ(subset.Size(4, false, 100), 100);
  EXPECT_EQ(subset.Size(0.1, true, 100), kMinSubset);
  EXPECT_EQ(subset.Size(4, true, 100), 15);
}

TEST(Subset, UnavailableMembersAreReplacedByTheNextRanked) {
  const Limits limits;
  Subset subset(limits);
  const double capacities[] = {1, 0, 0.5, 1, 1};
  SubsetRecord records[5];
  std::vector<SubsetMember> members;
  for (int i = 0; i < 5; ++i) members.push_back({&records[i], 1, capacities[i]});
  subset.Mark(members, 2, true, 5);
  std::string marked;
  for (const SubsetRecord& record : records) marked += record.in_subset ? '+' : '-';
  EXPECT_EQ(marked, "++++-");
  EXPECT_DOUBLE_EQ(subset.share(), 0.8);
}

}  // namespace
}  // namespace mothrack::balancer
