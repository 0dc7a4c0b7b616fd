// Open-loop load: latency counts from when a request was due. Loopback only.
#include "simulation/load_generator.h"

#include <atomic>
#include <chrono>
#include <thread>

#include "gtest/gtest.h"
#include "standins/peers.h"

namespace mothrack::simulation {
namespace {

// A server that stalls for half a second: of requests due every 5 ms, some hundred waited for it. A client
// that sends the next one only when the last is answered sees one slow answer.
TEST(Load, CountsAStallForAllThatWaitedForIt) {
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
  EXPECT_GT(Quantile(result.from_due, 0.9), 150) << "a tenth waited for the stall";
  EXPECT_LT(Quantile(result.from_sent, 0.9), 50) << "and a client that forgets what was due does not see it";
}

TEST(Load, GoesToLoopbackOnlyAndCountsWhatNobodyAnswers) {
  LoadConfig config;
  config.host = "192.0.2.1";
  EXPECT_THROW(Load(config), std::invalid_argument);
  const testing::Refusing nobody;
  config.host = "127.0.0.1";
  config.port =
      static_cast<std::uint16_t>(std::stoi(nobody.address().substr(nobody.address().find(':') + 1)));
  config.rate = 100;
  config.length_s = 0.2;
  const LoadResult result = Load(config);
  EXPECT_EQ(result.failed, 20U);
}

}  // namespace
}  // namespace mothrack::simulation
