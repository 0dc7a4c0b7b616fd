// Parsing of endpoint lists.
#include <chrono>

#include "discovery/discovery.h"
#include "gtest/gtest.h"
#include "standins/peers.h"

namespace mothrack {
namespace {

using balancer::UpstreamState;
using nlohmann::json;
using testing::Target;

dispatch::MembershipList ParseTargets(const json& targets) {
  return discovery::ParseList(json{{"rev", 1}, {"all", true}, {"targets", targets}});
}

TEST(EndpointList, LastEntryOfAnIdCountsOnce) {
  const auto list = ParseTargets({Target("u1", "127.0.0.1:1", "active", 5), Target("u2", "127.0.0.1:2"),
                                  Target("u1", "127.0.0.1:3", "leaving", 9)});
  ASSERT_EQ(list.update.upstreams.size(), 2U);
  EXPECT_EQ(list.update.upstreams[0].id.value, "u1");
  EXPECT_EQ(list.update.upstreams[0].state, UpstreamState::kDraining);
  EXPECT_EQ(list.locations.at("u1").state, UpstreamState::kDraining);
  EXPECT_EQ(list.locations.at("u1").endpoint.port(), 3);
  EXPECT_EQ(list.locations.at("u1").boot_ms, 9);
  EXPECT_EQ(list.update.upstreams[1].id.value, "u2");
}

}  // namespace
}  // namespace mothrack
