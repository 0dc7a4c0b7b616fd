// Delay, jitter and bandwidth of FaultyRelay, and their effect on queued data.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "support/faulty_relay_fixture.h"

namespace mothrack::testing {
namespace {

constexpr std::size_t kHeaders = 28;  // bytes of IP and UDP headers, which count towards the bandwidth

TEST(FaultyRelayUdp, DelayIsALowerBoundAndJitterDoesNotReorder) {
  ThreeEndpoints udp;
  udp.relay.ChangeFaults(
      "a", "b", [](auto& faults) { faults.delay = milliseconds(100), faults.jitter = milliseconds(60); });
  const auto sent = Clock::now();
  for (int i = 0; i < 50; ++i) udp.a.Send(udp.port_of("b"), std::to_string(i));
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(udp.b.Receive(), std::to_string(i));
    EXPECT_GE(Clock::now() - sent, milliseconds(100));
  }
  EXPECT_GE(Clock::now() - sent, milliseconds(130)) << "no datagram was delayed by jitter";
  // The opposite direction has no delay.
  const auto back = Clock::now();
  udp.b.Send(udp.port_of("a"), "back");
  EXPECT_TRUE(udp.a.Receive());
  EXPECT_LT(Clock::now() - back, milliseconds(100));
}

TEST(FaultyRelayUdp, ChangedFaultsApplyToQueuedDatagrams) {
  ThreeEndpoints udp;
  udp.relay.ChangeFaults("*", "*", [](auto& faults) { faults.delay = milliseconds(60'000); });
  udp.a.Send(udp.port_of("b"), "late");
  udp.a.Send(udp.port_of("c"), "cut off");
  EXPECT_FALSE(udp.b.Receive(kQuietTime));
  EXPECT_EQ(udp.relay.queued_bytes(), 11U + 2 * kHeaders);
  udp.relay.Cut("a", "c");
  udp.relay.ChangeFaults("*", "*", [](auto& faults) { faults.delay = milliseconds(0); });
  EXPECT_EQ(udp.b.Receive(), "late");
  EXPECT_FALSE(udp.c.Receive(kQuietTime));
  EXPECT_EQ(udp.relay.counts("a", "c").cut, 1U);
}

TEST(FaultyRelayUdp, BandwidthLimitIsMetAndTheQueueIsBounded) {
  ThreeEndpoints udp;
  udp.relay.ChangeFaults("a", "b",
                         [](auto& faults) { faults.bytes_per_s = 100'000, faults.queue_bytes = 50'000; });
  const auto sent = Clock::now();
  const std::string kilobyte(1000 - kHeaders, 'x');
  for (int i = 0; i < 100; ++i) udp.a.Send(udp.port_of("b"), kilobyte);
  int received = 0;
  while (received < 50 && udp.b.Receive()) ++received;
  const auto took = Clock::now() - sent;
  EXPECT_EQ(received, 50);
  EXPECT_GE(took, milliseconds(490));
  EXPECT_LT(took, milliseconds(2000));
  // A few more than 50 arrive if the first was forwarded before the last was queued.
  while (udp.b.Receive(kQuietTime)) ++received;
  const auto counts = udp.relay.counts("a", "b");
  EXPECT_EQ(static_cast<std::uint64_t>(received), counts.delivered);
  EXPECT_EQ(counts.delivered + counts.queue_full, 100U);
  EXPECT_GE(counts.queue_full, 20U);
  EXPECT_EQ(udp.relay.queued_bytes(), 0U);
}

TEST(FaultyRelayTcp, DelayIsALowerBound) {
  TcpPair tcp;
  const Socket client = Connect(tcp.port);
  const Socket server = Accept(tcp.listener);
  tcp.relay.ChangeFaults("a", "b", [](auto& faults) { faults.delay = milliseconds(120); });
  const auto sent = Clock::now();
  Write(client, "question");
  EXPECT_EQ(ReadOnce(server), ReadResult::kBytes);
  EXPECT_GE(Clock::now() - sent, milliseconds(120));
}

TEST(FaultyRelayTcp, BandwidthLimitIsMetByBackpressure) {
  TcpPair tcp;
  const Socket client = Connect(tcp.port);
  const Socket server = Accept(tcp.listener);
  tcp.relay.ChangeFaults("a", "b",
                         [](auto& faults) { faults.bytes_per_s = 1'000'000, faults.queue_bytes = 20'000; });
  constexpr std::size_t kSize = 500'000;
  const auto begin = Clock::now();
  std::thread writing([&] { Write(client, std::string(kSize, 'x')); });
  std::string received;
  std::size_t most = 0;
  while (received.size() < kSize && ReadOnce(server, kTimeout, &received) == ReadResult::kBytes) {
    most = std::max(most, tcp.relay.queued_bytes());
  }
  writing.join();
  const auto took = Clock::now() - begin;
  EXPECT_EQ(received.size(), kSize);
  EXPECT_GE(took, milliseconds(480));
  EXPECT_LT(took, milliseconds(2000));
  EXPECT_LE(most, 20'000U);
  EXPECT_GT(most, 0U);
}

}  // namespace
}  // namespace mothrack::testing
