// Random faults of FaultyRelay: their rates, and that the same seed repeats them.
#include <algorithm>
#include <cstdint>
#include <string>

#include "gtest/gtest.h"
#include "support/faulty_relay_fixture.h"

namespace mothrack::testing {
namespace {

TEST(FaultyRelayUdp, LossRateIsMetAndRepeatsWithTheSeed) {
  const auto lose = [](std::uint64_t seed, double repeat) {
    ThreeEndpoints t(seed);
    t.relay.ChangeFaults("a", "b", [&](auto& faults) { faults.loss = 0.1, faults.duplicate = repeat; });
    auto received = SendAndCollect(t, 2000);
    received.erase(std::ranges::unique(received).begin(), received.end());
    EXPECT_EQ(received.size() + t.relay.counts("a", "b").lost, 2000U);
    return received;
  };
  const auto once = lose(7, 0);
  // Five standard deviations of the 200 that are expected.
  EXPECT_NEAR(static_cast<double>(once.size()), 1800, 67);
  EXPECT_EQ(lose(7, 0), once);
  EXPECT_EQ(lose(7, 0.2), once) << "another fault moved the losses";
  EXPECT_NE(lose(8, 0), once);
}

TEST(FaultyRelayUdp, EachLinkDrawsFromItsOwnRandomStream) {
  ThreeEndpoints t;
  t.relay.ChangeFaults("a", "*", [](auto& faults) { faults.loss = 0.5; });
  std::string to_b;
  std::string to_c;
  for (int i = 0; i < 100; ++i)
    t.a.Send(t.at("b"), std::to_string(i)), t.a.Send(t.at("c"), std::to_string(i));
  while (const auto got = t.b.Receive(kQuietTime)) to_b += *got + ' ';
  while (const auto got = t.c.Receive(kQuietTime)) to_c += *got + ' ';
  EXPECT_FALSE(to_b.empty());
  EXPECT_NE(to_b, to_c);
}

TEST(FaultyRelayUdp, DuplicatesAndReordersAtTheirRates) {
  ThreeEndpoints t(3);
  t.relay.ChangeFaults("a", "b", [](auto& faults) { faults.duplicate = 0.1; });
  auto received = SendAndCollect(t, 1000);
  EXPECT_NEAR(static_cast<double>(received.size()), 1100, 48);
  EXPECT_EQ(received.size(), 1000 + t.relay.counts("a", "b").duplicated);
  EXPECT_TRUE(std::ranges::is_sorted(received));

  t.relay.ChangeFaults("a", "b", [](auto& faults) {
    faults = {}, faults.reorder = 0.1, faults.reorder_delay = milliseconds(30);
  });
  received = SendAndCollect(t, 1000);
  ASSERT_EQ(received.size(), 1000U) << "reordering loses nothing";
  EXPECT_NEAR(static_cast<double>(t.relay.counts("a", "b").reordered), 100, 48);
  int overtaken = 0;
  int highest = -1;
  for (const int number : received) {
    overtaken += number < highest ? 1 : 0;
    highest = std::max(highest, number);
  }
  EXPECT_GE(overtaken, 40);
  EXPECT_LE(overtaken, static_cast<int>(t.relay.counts("a", "b").reordered));
}

}  // namespace
}  // namespace mothrack::testing
