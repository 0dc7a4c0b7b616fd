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
    ThreeEndpoints udp(seed);
    udp.relay.ChangeFaults("a", "b", [&](auto& faults) { faults.loss = 0.1, faults.duplicate = repeat; });
    auto received = SendAndCollect(udp, 2000);
    received.erase(std::ranges::unique(received).begin(), received.end());
    EXPECT_EQ(received.size() + udp.relay.counts("a", "b").lost, 2000U);
    return received;
  };
  const auto once = lose(7, 0);
  // The tolerance is five standard deviations of the 200 expected losses.
  EXPECT_NEAR(static_cast<double>(once.size()), 1800, 67);
  EXPECT_EQ(lose(7, 0), once);
  EXPECT_EQ(lose(7, 0.2), once) << "another fault changed which datagrams are lost";
  EXPECT_NE(lose(8, 0), once);
}

TEST(FaultyRelayUdp, EachLinkDrawsFromItsOwnRandomStream) {
  ThreeEndpoints udp;
  udp.relay.ChangeFaults("a", "*", [](auto& faults) { faults.loss = 0.5; });
  std::string to_b;
  std::string to_c;
  for (int i = 0; i < 100; ++i)
    udp.a.Send(udp.port_of("b"), std::to_string(i)), udp.a.Send(udp.port_of("c"), std::to_string(i));
  while (const auto got = udp.b.Receive(kQuietTime)) to_b += *got + ' ';
  while (const auto got = udp.c.Receive(kQuietTime)) to_c += *got + ' ';
  EXPECT_FALSE(to_b.empty());
  EXPECT_NE(to_b, to_c);
}

TEST(FaultyRelayUdp, DuplicatesAndReordersAtTheirRates) {
  ThreeEndpoints udp(3);
  udp.relay.ChangeFaults("a", "b", [](auto& faults) { faults.duplicate = 0.1; });
  auto received = SendAndCollect(udp, 1000);
  EXPECT_NEAR(static_cast<double>(received.size()), 1100, 48);
  EXPECT_EQ(received.size(), 1000 + udp.relay.counts("a", "b").duplicated);
  EXPECT_TRUE(std::ranges::is_sorted(received));

  udp.relay.ChangeFaults("a", "b", [](auto& faults) {
    faults = {}, faults.reorder = 0.1, faults.reorder_delay = milliseconds(30);
  });
  received = SendAndCollect(udp, 1000);
  ASSERT_EQ(received.size(), 1000U) << "reordering lost or duplicated datagrams";
  EXPECT_NEAR(static_cast<double>(udp.relay.counts("a", "b").reordered), 100, 48);
  int overtaken = 0;
  int highest = -1;
  for (const int number : received) {
    overtaken += number < highest ? 1 : 0;
    highest = std::max(highest, number);
  }
  EXPECT_GE(overtaken, 40);
  EXPECT_LE(overtaken, static_cast<int>(udp.relay.counts("a", "b").reordered));
}

}  // namespace
}  // namespace mothrack::testing
