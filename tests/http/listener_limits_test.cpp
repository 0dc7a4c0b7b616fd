// Tests the bounds on the bytes read from clients that send without pause.
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

TEST_F(ListenerTest, APipelinedFloodIsReadUpToABoundWithoutABusyLoopOrStarvation) {
  replies_at_once = false;
  Client& client = Connect();
  const std::string sent = Get("/p") + PipelinedRequests(64 << 20);
  const std::size_t sent_bytes = SendAll(client, sent);
  EXPECT_LT(sent_bytes, sent.size());
  // The listener has stopped reading, and the event loop does not wake up for the unread bytes.
  RunUntilIdle();
  const std::size_t unread_before = Unread(client);
  const auto waits_before = intercepted_calls.waits;
  RunUntilIdle();
  EXPECT_LE(intercepted_calls.waits - waits_before, 2U);
  EXPECT_EQ(Unread(client), unread_before);
  EXPECT_FALSE(forwarded[0].disconnected);
  // Other clients are served meanwhile, and the flooding client's own request is answered.
  replies_at_once = true;
  Client& other = Connect();
  Send(other, Get("/other"));
  EXPECT_TRUE(Receives(other, "answer /other"));
  Reply(forwarded[0]);
  EXPECT_TRUE(Receives(client, "answer /p"));
}

// After the last response a bounded number of bytes is discarded. Other connections are served between two
// reads.
TEST_F(ListenerTest, AFloodAfterTheLastResponseIsResetWhileOthersAreServed) {
  Client& client = Connect();
  Client& other = Connect();
  Send(client, Get("/p", "Connection: close\r\n"));
  EXPECT_TRUE(Receives(client, "answer /p"));
  Send(client, std::string(60000, 'x'));
  Send(other, Get("/other"));
  const std::size_t unread_before = Unread(client);
  io.restart();
  for (int turns = 0; turns < 6 && forwarded.size() < 2; ++turns) io.poll_one();
  EXPECT_EQ(forwarded.size(), 2U);
  EXPECT_GE(Unread(client) + 4 * 8192, unread_before);
  const std::string sent(8 << 20, 'x');
  EXPECT_LT(SendAll(client, sent), sent.size());
  EXPECT_TRUE(WaitUntil([&] { return descriptors->used() == 1; }));
  EXPECT_EQ(forwarded.size(), 2U);
}

TEST_F(ListenerTest, AnUnconsumedUploadIsReadUpToItsWindowWithoutABusyLoop) {
  consumes_bodies = false;
  Client& client = Connect();
  const std::string sent = PostOfLength(8 << 20, 8 << 20);
  EXPECT_LT(SendAll(client, sent), sent.size());
  RunUntilIdle();
  EXPECT_LE(budget->used(), http::kBufferLimit + runtime::MemoryBudget::kMaxWindow);
  const auto waits_before = intercepted_calls.waits;
  RunUntilIdle();
  EXPECT_LE(intercepted_calls.waits - waits_before, 2U);
  Disconnect(client, DisconnectKind::kReset);
  AdvanceTime(milliseconds(100));
  EXPECT_TRUE(forwarded[0].disconnected);
}

}  // namespace
}  // namespace mothrack
