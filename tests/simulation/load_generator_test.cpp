// Open-loop load: the latency of a request counts from its due time; only loopback addresses are accepted.
#include "simulation/load_generator.h"

#include <atomic>
#include <chrono>
#include <thread>

#include "gtest/gtest.h"
#include "standins/peers.h"

namespace mothrack::simulation {
namespace {

// The server stalls for half a second, and about a hundred requests that are due every 5 ms wait for it. A
// closed-loop client, which sends the next request only after an answer, would see one slow answer.
TEST(Load, CountsAStallForEachRequestThatWaitedForIt) {
  std::atomic<bool> stalled{false};
  const auto begin = std::chrono::steady_clock::now();
  testing::Upstream server([&](testing::Wire& wire, const testing::Request&, int) {
    const auto passed = std::chrono::steady_clock::now() - begin;
    if (passed > std::chrono::milliseconds(300) && !stalled.exchange(true)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    wire.Answer(200, "fine");
  });
  LoadConfig config;
  config.port =
      static_cast<std::uint16_t>(std::stoi(server.address().substr(server.address().find(':') + 1)));
  config.rate = 200;
  config.length_s = 1.5;
  config.connections = 1;
  const LoadResult result = Load(config);
  EXPECT_EQ(result.due, 300U);
  EXPECT_EQ(result.served + result.refused + result.failed, result.due);
  EXPECT_EQ(result.served, 300U);
  EXPECT_GT(Quantile(result.from_due, 0.9), 150) << "at least a tenth of the requests waited for the stall";
  EXPECT_LT(Quantile(result.from_sent, 0.9), 50) << "measured from the send time the stall is not visible";
}

TEST(Load, AcceptsLoopbackOnlyAndCountsRefusedConnectionsAsFailed) {
  LoadConfig config;
  config.host = "192.0.2.1";
  EXPECT_THROW(Load(config), std::invalid_argument);
  const testing::RefusingAddress refusing_server;
  config.host = "127.0.0.1";
  config.port = static_cast<std::uint16_t>(
      std::stoi(refusing_server.address().substr(refusing_server.address().find(':') + 1)));
  config.rate = 100;
  config.length_s = 0.2;
  const LoadResult result = Load(config);
  EXPECT_EQ(result.failed, 20U);
}

}  // namespace
}  // namespace mothrack::simulation
