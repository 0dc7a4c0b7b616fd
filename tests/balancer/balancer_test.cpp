// The subscription to discovery, the validation of settings, and determinism.
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(Discovery, IsSubscribedToAndAgainAfterAFailure) {
  Settings settings = DefaultSettings();
  settings.membership_on_request = true;
  TestSidecar sidecar(settings);
  sidecar.ListUpstreams(2);
  EXPECT_EQ(sidecar.subscribed, 1);
  sidecar.Handle(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
  EXPECT_EQ(sidecar.subscribed, 1) << "subscribed again at once";
  // tests/discovery/endpoint_staleness_test.cpp relies on this delay.
  sidecar.Advance(settings.rules.poll_within / 5 + 250ms);
  EXPECT_EQ(sidecar.subscribed, 2);
  EXPECT_GT(sidecar.CountServed(10)["a"], 0) << "the list from before the failure is not used any more";
}

TEST(Settings, InvalidValuesAreNamed) {
  const auto named = [](auto change, const std::string& name) {
    Settings settings = DefaultSettings();
    change(settings);
    try {
      Balancer balancer(settings, 1);
    } catch (const std::invalid_argument& error) {
      return std::string(error.what()).find(name) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(named([](Settings& settings) { settings.classes.clear(); }, "classes"));
  EXPECT_TRUE(named([](Settings& settings) { settings.classes[0].latency_objective = 0ms; }, "aim"));
  EXPECT_TRUE(named([](Settings& settings) { settings.classes[0].deadline = -1ms; }, "deadline"));
  EXPECT_TRUE(named([](Settings& settings) { settings.classes[2].key_window = 0ms; }, "key_window"));
  EXPECT_TRUE(named([](Settings& settings) { settings.limits.max_attempts = 0; }, "max_attempts"));
  EXPECT_TRUE(named([](Settings& settings) { settings.rules.slow_start_initial_share = 0; }, "cold_from"));
  EXPECT_TRUE(named([](Settings& settings) { settings.rules.slow_start_initial_share = 1.5; }, "cold_from"));
  EXPECT_TRUE(named([](Settings& settings) { settings.rules.slow_start_duration = 0ms; }, "cold_time"));
  EXPECT_TRUE(named([](Settings& settings) { settings.rules.overload_window = 0ms; }, "fall_window"));
  EXPECT_TRUE(named([](Settings& settings) { settings.rules.overload_multiple = 0; }, "fall_multiple"));
}

TEST(Determinism, SameEventsSameActions) {
  TestSidecar a, b;
  for (TestSidecar* sidecar : {&a, &b}) {
    sidecar->ListUpstreams(5);
    sidecar->CountServed(50);
    sidecar->FailInARow("c", 5);
    sidecar->CountServed(50);
    sidecar->Advance(3s);
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].upstream, b.sent[i].upstream);
  EXPECT_EQ(a.logs, b.logs);
}

}  // namespace
}  // namespace mothrack::balancer::testing
