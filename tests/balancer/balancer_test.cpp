// The subscription to discovery, the check of settings, and determinism.
#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(Discovery, IsSubscribedToAndAgainAfterAFailure) {
  Settings s = DefaultSettings();
  s.membership_on_request = true;
  TestSidecar w(s);
  w.ListUpstreams(2);
  EXPECT_EQ(w.subscribed, 1);
  w.Handle(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
  EXPECT_EQ(w.subscribed, 1) << "not at once";
  w.Advance(s.rules.poll_within / 5 + 250ms);  // as src/discovery/news.cpp counts on
  EXPECT_EQ(w.subscribed, 2);
  EXPECT_GT(w.CountServed(10)["a"], 0) << "the old list holds";
}

TEST(Settings, InvalidValuesAreNamed) {
  const auto named = [](auto change, const std::string& name) {
    Settings s = DefaultSettings();
    change(s);
    try {
      Balancer balancer(s, 1);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what()).find(name) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(named([](Settings& s) { s.classes.clear(); }, "classes"));
  EXPECT_TRUE(named([](Settings& s) { s.classes[0].latency_objective = 0ms; }, "aim"));
  EXPECT_TRUE(named([](Settings& s) { s.classes[0].deadline = -1ms; }, "deadline"));
  EXPECT_TRUE(named([](Settings& s) { s.classes[2].key_window = 0ms; }, "key_window"));
  EXPECT_TRUE(named([](Settings& s) { s.limits.max_attempts = 0; }, "max_attempts"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.slow_start_initial_share = 0; }, "cold_from"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.slow_start_initial_share = 1.5; }, "cold_from"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.slow_start_duration = 0ms; }, "cold_time"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.overload_window = 0ms; }, "fall_window"));
  EXPECT_TRUE(named([](Settings& s) { s.rules.overload_multiple = 0; }, "fall_multiple"));
}

TEST(Determinism, SameEventsSameActions) {
  TestSidecar a, b;
  for (TestSidecar* w : {&a, &b}) {
    w->ListUpstreams(5);
    w->CountServed(50);
    w->FailInARow("c", 5);
    w->CountServed(50);
    w->Advance(3s);
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].upstream, b.sent[i].upstream);
  EXPECT_EQ(a.logs, b.logs);
}

}  // namespace
}  // namespace mothrack::balancer::testing
