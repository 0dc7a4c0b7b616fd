// Tests the eviction of connections when descriptors run out.
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

class Eviction : public ListenerTest {
 protected:
  Eviction() { Listen(kDescriptorsForTwoClients); }
  // Occupies one of the two descriptors with a request that gets no response yet.
  void OccupyDescriptor() {
    replies_at_once = false;
    Send(Connect(), Get("/held"));
    RunUntilIdle();
    replies_at_once = true;
  }
};

TEST_F(Eviction, ARequestWithUnreadDataIsNotEvicted) {
  OccupyDescriptor();
  const std::string request = Post("Content-Length: 5\r\n", "abcde");
  Client& half = Connect();
  Send(half, request.substr(0, request.size() - 1));
  RunUntilIdle();
  JumpTime(milliseconds(1500));       // now counts as slow
  Client& next = ConnectToBacklog();  // the event loop is notified of this client first
  Send(half, request.substr(request.size() - 1));
  EXPECT_TRUE(Receives(half, "answer /p"));
  JumpTime(milliseconds(25));
  EXPECT_TRUE(Ends(half));  // idle now, so it is evicted
  next.server = intercepted_calls.accepted.back();
  Send(next, Get("/next"));
  EXPECT_TRUE(Receives(next, "answer /next"));
}

TEST_F(Eviction, ALastResponseIsNotResetByPipelinedData) {
  OccupyDescriptor();
  extra_response_bytes = 200000;
  Client& last = Connect(true);
  Send(last, Get("/last", "Connection: close\r\n"));
  RunUntilIdle();
  ASSERT_EQ(forwarded.size(), 2U);
  Client& next = ConnectToBacklog();
  Send(last, Get("/behind"));
  RunUntilIdle();
  next.server = intercepted_calls.accepted.back();
  Send(next, Get("/next"));
  EXPECT_TRUE(Receives(next, "answer /next"));
  EXPECT_TRUE(Ends(last));
  EXPECT_GT(last.received.size(), extra_response_bytes);
  EXPECT_EQ(forwarded.size(), 3U);
}

// All connections are busy when the accepting period of the drain ends. A client in the backlog is still
// accepted as soon as a descriptor is free.
TEST_F(Eviction, ADrainAcceptsClientsInTheBacklog) {
  OccupyDescriptor();
  OccupyDescriptor();
  Client& waiting = ConnectToBacklog();
  RunUntilIdle();
  listener->Drain([this] { ++drains_ended; });
  AdvanceTime(milliseconds(900), milliseconds(10));
  EXPECT_FALSE((Receive(waiting), waiting.end));
  const std::size_t accepted = intercepted_calls.accepted.size();
  Reply(forwarded[0]);
  EXPECT_TRUE(Ends(clients[0]));
  Disconnect(clients[0], DisconnectKind::kClose);
  AdvanceTime(milliseconds(30));
  ASSERT_EQ(intercepted_calls.accepted.size(), accepted + 1);
  waiting.server = intercepted_calls.accepted.back();
  Send(waiting, Get("/waits"));
  EXPECT_TRUE(Receives(waiting, "answer /waits"));
  Reply(forwarded[1]);
  AdvanceTime(milliseconds(400));
  EXPECT_EQ(drains_ended, 1);
}

TEST_F(Eviction, ADrainResetsClientsInTheBacklogIfNoConnectionEnds) {
  OccupyDescriptor();
  OccupyDescriptor();
  Client& waiting = ConnectToBacklog();
  listener->Drain([this] { ++drains_ended; });
  AdvanceTime(milliseconds(3200), milliseconds(10));
  EXPECT_FALSE((Receive(waiting), waiting.end));
  AdvanceTime(milliseconds(200), milliseconds(10));
  EXPECT_TRUE(WaitUntil([&] { return Receive(waiting), waiting.end.failed(); }));
}

}  // namespace
}  // namespace mothrack
