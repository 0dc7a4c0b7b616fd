// Bounds of what is read from clients that flood.
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

TEST_F(ListenerTest, APipelinedFloodIsReadToABoundWithoutBusyLoopOrStarvation) {
  answers = false;
  Client& client = Connect();
  const std::string sent = Get("/p") + Followers(64 << 20);
  const std::size_t sent_bytes = SendAll(client, sent);
  EXPECT_LT(sent_bytes, sent.size());
  // Nothing is read any more, and nothing asks whether it should be.
  Settle();
  const std::size_t waiting = Unread(client);
  const auto waits = system_.waits;
  Settle();
  EXPECT_LE(system_.waits - waits, 2U);
  EXPECT_EQ(Unread(client), waiting);
  EXPECT_FALSE(handed[0].disconnected);
  // Others are served meanwhile, and its own request is answered.
  answers = true;
  Client& other = Connect();
  Send(other, Get("/other"));
  EXPECT_TRUE(Receives(other, "answer /other"));
  Answer(handed[0]);
  EXPECT_TRUE(Receives(client, "answer /p"));
}

// After a last answer so much is dropped at most. Others get their turn between any two reads.
TEST_F(ListenerTest, AFloodBehindALastAnswerIsResetWhileOthersAreServed) {
  Client& client = Connect();
  Client& other = Connect();
  Send(client, Get("/p", "Connection: close\r\n"));
  EXPECT_TRUE(Receives(client, "answer /p"));
  Send(client, std::string(60000, 'x'));
  Send(other, Get("/other"));
  const std::size_t waiting = Unread(client);
  io.restart();
  for (int turns = 0; turns < 6 && handed.size() < 2; ++turns) io.poll_one();
  EXPECT_EQ(handed.size(), 2U);
  EXPECT_GE(Unread(client) + 4 * 8192, waiting);
  const std::string sent(8 << 20, 'x');
  EXPECT_LT(SendAll(client, sent), sent.size());
  EXPECT_TRUE(Until([&] { return descriptors->used() == 1; }));
  EXPECT_EQ(handed.size(), 2U);
}

TEST_F(ListenerTest, AnUnconsumedUploadIsReadToItsWindowWithoutBusyLoop) {
  takes = false;
  Client& client = Connect();
  const std::string sent = PostOfLength(8 << 20, 8 << 20);
  EXPECT_LT(SendAll(client, sent), sent.size());
  Settle();
  EXPECT_LE(budget->held(), http::kBufferLimit + runtime::ByteBudget::kMaxWindow);
  const auto waits = system_.waits;
  Settle();
  EXPECT_LE(system_.waits - waits, 2U);
  Leave(client, Way::kReset);
  Pass(milliseconds(100));
  EXPECT_TRUE(handed[0].disconnected);
}

}  // namespace
}  // namespace mothrack
