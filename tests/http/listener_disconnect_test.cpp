// Tests that a disconnect is detected regardless of the bytes that the client sent before it.
#include <cstddef>
#include <string>
#include <vector>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

// What one upload needs at least, and what a flood of pipelined requests may take.
constexpr std::size_t kMemoryForOneUpload = std::size_t{64} * 1024;
constexpr std::size_t kMemoryForReadAhead = std::size_t{1} << 20;

struct DisconnectCase {
  const char* name;
  std::string sent;
  bool streamed;  // forwarded before its body is complete
};

std::vector<DisconnectCase> DisconnectCases() {
  return {
      {"nothing after the request", Get("/p"), false},
      {"some bytes after it", Get("/p") + PipelinedRequests(20000), false},
      {"more bytes after it than are buffered", Get("/p") + PipelinedRequests(100000), false},
      // 256 KiB are read, and up to two reads more. The rest stays in the kernel's receive buffer, before the
      // close.
      {"more bytes after it than are read", Get("/p") + PipelinedRequests(280000), false},
      // More than all of the memory, so that some bytes stay in the kernel's receive buffer.
      {"an upload that the handler does not consume", PostOfLength(1 << 20, kMemoryForOneUpload + 40 * 1024),
       true},
  };
}

TEST_F(ListenerTest, ADisconnectIsDetectedWithin100MsDespiteBytesBeforeIt) {
  replies_at_once = consumes_bodies = false;
  for (const DisconnectCase& disconnect_case : DisconnectCases()) {
    for (const DisconnectKind disconnect_kind : {DisconnectKind::kClose, DisconnectKind::kReset}) {
      SCOPED_TRACE(disconnect_case.name +
                   std::string(disconnect_kind == DisconnectKind::kReset ? ", reset" : ", closed"));
      Listen(kManyDescriptors, disconnect_case.streamed ? kMemoryForOneUpload : kMemoryForReadAhead);
      Client& client = Connect();
      ASSERT_EQ(SendAll(client, disconnect_case.sent), disconnect_case.sent.size());
      RunUntilIdle();
      ASSERT_EQ(forwarded.size(), 1U);
      ASSERT_FALSE(forwarded[0].disconnected);
      Disconnect(client, disconnect_kind);
      AdvanceTime(milliseconds(100));
      EXPECT_TRUE(forwarded[0].disconnected);
      EXPECT_EQ(descriptors->used(), 0U);
      EXPECT_EQ(forwarded.size(), 1U);
      EXPECT_EQ(disconnect_case.streamed, static_cast<bool>(forwarded[0].streamed_body));
      if (disconnect_case.streamed) {
        EXPECT_EQ(forwarded[0].streamed_body.stream->state(), runtime::Stream::State::kTruncated);
      }
      forwarded.clear();
      clients.clear();
    }
  }
}

// The request and the disconnect are both pending before the listener reads, and it reads the request first.
TEST_F(ListenerTest, AQueuedRequestOfADisconnectedClientIsNotForwarded) {
  for (const std::string& sent : {Get("/p"), Get("/p") + PipelinedRequests(5000), PostOfLength(5, 5)}) {
    for (const DisconnectKind disconnect_kind : {DisconnectKind::kClose, DisconnectKind::kReset}) {
      Client& client = Connect();
      Send(client, sent);
      Disconnect(client, disconnect_kind);
      EXPECT_TRUE(AllClosed());
      EXPECT_TRUE(forwarded.empty());
    }
  }
}

// A client that pipelines more than the buffer holds may have disconnected without the listener's notice. Its
// pipelined requests must not be forwarded one by one. The response to the first request must still arrive
// completely.
TEST_F(ListenerTest, RequestsAfterAFloodAreNotForwarded) {
  extra_response_bytes = 200000;
  for (const std::size_t size : {100000, 280000}) {
    replies_at_once = false;
    Client& client = Connect(true);
    const std::string sent = Get("/p") + PipelinedRequests(size);
    ASSERT_EQ(SendAll(client, sent), sent.size());
    RunUntilIdle();
    ASSERT_EQ(forwarded.size(), 1U);
    replies_at_once = true;
    Reply(forwarded[0]);
    EXPECT_TRUE(Ends(client));
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    EXPECT_GT(client.received.size(), extra_response_bytes);
    EXPECT_EQ(forwarded.size(), 1U);
    forwarded.clear();
  }
}

}  // namespace
}  // namespace mothrack
