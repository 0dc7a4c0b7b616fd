// LoadProbes and LeastLoaded: how many upstreams are probed for their load, and which one is chosen.
#include "balancer/load_probes.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

TEST(LoadProbes, UpstreamsPerRequestFollowThePriceOfAProbe) {
  struct Case {
    bool by_probe, may_probe;
    double price;
    std::size_t probed;
  };
  for (const Case& test : {Case{true, true, 0, 3}, Case{true, true, 0.005, 2}, Case{true, true, 0.1, 1},
                           Case{false, true, 0, 1}, Case{true, false, 0, 1}}) {
    Settings settings;
    settings.load_by_probe = test.by_probe;
    settings.limits.probes = test.may_probe;
    settings.prices.probe = test.price;
    EXPECT_EQ(LoadProbes(settings).upstreams_per_request(), test.probed) << test.price;
  }
}

TEST(LeastLoaded, PrefersTheLeastLoadForItsCapacityAndNoneThatIsOverloaded) {
  LeastLoaded least(std::chrono::milliseconds(400));
  least.Consider(0, {10, 20, 1, 1});  // serves 4 within half of the objective
  EXPECT_TRUE(least.any_overloaded());
  EXPECT_FALSE(least.best());
  least.Consider(1, {3, 0, 1, 1});
  least.Consider(2, {5, 0, 1, 2});
  least.Consider(3, {3, 0, 2, 1});
  EXPECT_EQ(least.best(), 2);
}

}  // namespace
}  // namespace mothrack::balancer
