// Subsetting: the number of upstreams over which a sidecar spreads its requests follows its request rate.
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(FleetStart, FirstRequestsSpreadOverTheWholeList) {
  std::map<std::string, int> spread;
  for (const auto& sidecar : MakeSidecars(500)) {
    sidecar->ListUpstreams(20);
    ++spread[sidecar->Serve()];
  }
  EXPECT_EQ(spread.size(), 20u);
  for (const auto& [id, requests] : spread) EXPECT_LT(requests, 60) << id << ", 25 are its share";
}

// Sends one request each second. Returns the number of requests by upstream. The request rate is unknown
// during the first seconds.
std::map<std::string, int> ServeAtLowRate(TestSidecar& sidecar, int requests) {
  std::map<std::string, int> spread;
  for (int i = 0; i < requests; ++i) {
    sidecar.Advance(1s);
    ++spread[sidecar.Serve()];
  }
  return spread;
}

TEST(Subsetting, ALowRequestRateUsesFewUpstreams) {
  std::map<std::string, int> fleet;
  for (std::size_t sidecar_index = 0; sidecar_index < 100; ++sidecar_index) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = sidecar_index;
    TestSidecar sidecar(settings, 100 + sidecar_index);
    sidecar.ListUpstreams(20);
    ServeAtLowRate(sidecar, 4);
    const std::map<std::string, int> own = ServeAtLowRate(sidecar, 20);
    EXPECT_LE(own.size(), 6u);
    EXPECT_GE(own.size(), 3u);
    for (const auto& [id, requests] : own) fleet[id] += requests;
  }
  ASSERT_EQ(fleet.size(), 20u);
  for (const auto& [id, requests] : fleet) EXPECT_LT(requests, 200) << id << ", 100 are its share";
}

TEST(Subsetting, AListChangeKeepsTheOtherMembersOfTheSubset) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(20);
  ServeAtLowRate(sidecar, 5);
  const std::map<std::string, int> before = ServeAtLowRate(sidecar, 20);
  UpstreamInfo removed = MakeUpstream(before.begin()->first, UpstreamState::kGone);
  sidecar.ChangeUpstream(removed);
  const std::map<std::string, int> after = ServeAtLowRate(sidecar, 20);
  int retained = 0;
  for (const auto& [id, requests] : before) retained += static_cast<int>(after.count(id));
  EXPECT_GE(retained, static_cast<int>(before.size()) - 2);
  EXPECT_EQ(after.count(removed.id.value), 0u);
}

TEST(Subsetting, AHighRequestRateUsesTheWholeList) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(20);
  for (int i = 0; i < 300; ++i) {
    sidecar.Advance(10ms);
    sidecar.Serve();
  }
  EXPECT_EQ(sidecar.CountServed(200).size(), 20u);
}

}  // namespace
}  // namespace mothrack::balancer::testing
