// Eviction of connections where descriptors run out.
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

class Eviction : public ListenerTest {
 protected:
  Eviction() { Listen(kTwoClients); }
  // One of the two descriptors is in use for good.
  void Hold() {
    answers = false;
    Send(Connect(), Get("/held"));
    Settle();
    answers = true;
  }
};

TEST_F(Eviction, ARequestWithUnreadDataIsNotEvicted) {
  Hold();
  const std::string request = Post("Content-Length: 5\r\n", "abcde");
  Client& half = Connect();
  Send(half, request.substr(0, request.size() - 1));
  Settle();
  Leap(milliseconds(1500));  // slow by now
  Client& next = Dial();     // the event loop hears of it first
  Send(half, request.substr(request.size() - 1));
  EXPECT_TRUE(Receives(half, "answer /p"));
  Leap(milliseconds(25));
  EXPECT_TRUE(Ends(half));  // idle by now
  next.server = system_.accepted.back();
  Send(next, Get("/next"));
  EXPECT_TRUE(Receives(next, "answer /next"));
}

TEST_F(Eviction, ALastAnswerIsNotResetByPipelinedData) {
  Hold();
  more_of_answer = 200000;
  Client& last = Connect(true);
  Send(last, Get("/last", "Connection: close\r\n"));
  Settle();
  ASSERT_EQ(handed.size(), 2U);
  Client& next = Dial();
  Send(last, Get("/behind"));
  Settle();
  next.server = system_.accepted.back();
  Send(next, Get("/next"));
  EXPECT_TRUE(Receives(next, "answer /next"));
  EXPECT_TRUE(Ends(last));
  EXPECT_GT(last.received.size(), more_of_answer);
  EXPECT_EQ(handed.size(), 3U);
}

// All are busy when the listener would close: whoever waits in its queue is let in as soon as there is room.
TEST_F(Eviction, ADrainAwaitsQueuedClients) {
  Hold();
  Hold();
  Client& waits = Dial();
  Settle();
  listener->Drain([this] { ++ended; });
  Pass(milliseconds(900), milliseconds(10));
  EXPECT_FALSE((Receive(waits), waits.end));
  const std::size_t accepted = system_.accepted.size();
  Answer(handed[0]);
  EXPECT_TRUE(Ends(clients[0]));
  Leave(clients[0], Way::kClose);
  Pass(milliseconds(30));
  ASSERT_EQ(system_.accepted.size(), accepted + 1);
  waits.server = system_.accepted.back();
  Send(waits, Get("/waits"));
  EXPECT_TRUE(Receives(waits, "answer /waits"));
  Answer(handed[1]);
  Pass(milliseconds(400));
  EXPECT_EQ(ended, 1);
}

TEST_F(Eviction, ADrainAbandonsQueuedClientsWhereNoConnectionEnds) {
  Hold();
  Hold();
  Client& waits = Dial();
  listener->Drain([this] { ++ended; });
  Pass(milliseconds(3200), milliseconds(10));
  EXPECT_FALSE((Receive(waits), waits.end));
  Pass(milliseconds(200), milliseconds(10));
  EXPECT_TRUE(Until([&] { return Receive(waits), waits.end.failed(); }));
}

}  // namespace
}  // namespace mothrack
