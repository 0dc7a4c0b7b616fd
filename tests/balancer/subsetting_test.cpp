// Over how many upstreams a sidecar spreads its requests, by its request rate.
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(FleetStart, FirstRequestsSpreadOverTheWholeList) {
  std::map<std::string, int> spread;
  for (const auto& w : MakeSidecars(500)) {
    w->ListUpstreams(20);
    ++spread[w->Serve()];
  }
  EXPECT_EQ(spread.size(), 20u);
  for (const auto& [id, calls] : spread) EXPECT_LT(calls, 60) << id << ", 25 are its share";
}

// One request served each second: the upstreams that served them. The rate is unknown during the first
// seconds.
std::map<std::string, int> ServeAtLowRate(TestSidecar& w, int calls) {
  std::map<std::string, int> spread;
  for (int i = 0; i < calls; ++i) {
    w.Advance(1s);
    ++spread[w.Serve()];
  }
  return spread;
}

TEST(Subsetting, ALowRequestRateUsesFewUpstreams) {
  std::map<std::string, int> fleet;
  for (std::size_t sidecar_index = 0; sidecar_index < 100; ++sidecar_index) {
    Settings settings = DefaultSettings();
    settings.sidecar_count = 100;
    settings.sidecar_index = sidecar_index;
    TestSidecar w(settings, 100 + sidecar_index);
    w.ListUpstreams(20);
    ServeAtLowRate(w, 4);
    const std::map<std::string, int> own = ServeAtLowRate(w, 20);
    EXPECT_LE(own.size(), 6u);
    EXPECT_GE(own.size(), 3u);
    for (const auto& [id, calls] : own) fleet[id] += calls;
  }
  ASSERT_EQ(fleet.size(), 20u);
  for (const auto& [id, calls] : fleet) EXPECT_LT(calls, 200) << id << ", 100 are its share";
}

TEST(Subsetting, AListChangeKeepsTheOtherMembersOfTheSubset) {
  TestSidecar w;
  w.ListUpstreams(20);
  ServeAtLowRate(w, 5);
  const std::map<std::string, int> before = ServeAtLowRate(w, 20);
  UpstreamInfo removed = MakeUpstream(before.begin()->first, UpstreamState::kGone);
  w.ChangeUpstream(removed);
  const std::map<std::string, int> after = ServeAtLowRate(w, 20);
  int retained = 0;
  for (const auto& [id, calls] : before) retained += static_cast<int>(after.count(id));
  EXPECT_GE(retained, static_cast<int>(before.size()) - 2);
  EXPECT_EQ(after.count(removed.id.value), 0u);
}

TEST(Subsetting, AHighRequestRateUsesTheWholeList) {
  TestSidecar w;
  w.ListUpstreams(20);
  for (int i = 0; i < 300; ++i) {
    w.Advance(10ms);
    w.Serve();
  }
  EXPECT_EQ(w.CountServed(200).size(), 20u);
}

}  // namespace
}  // namespace mothrack::balancer::testing
