// Timeouts that fire while data is already there.
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

// The sidecar had no time: what came meanwhile is read before anybody is judged by the clock.
TEST_F(ListenerTest, ARequestReceivedBeforeTheIdleTimeoutFiresIsServed) {
  const std::string request = Get("/p");
  for (const std::size_t before : {std::size_t{0}, std::size_t{1}, request.size() - 1}) {
    SCOPED_TRACE(before);
    Client& client = Connect();
    if (before > 0) Send(client, request.substr(0, before));
    Settle();
    system_.after_wake = [&] { Send(client, request.substr(before)); };
    Leap(milliseconds(3000));
    EXPECT_TRUE(Receives(client, "answer /p")) << client.received;
    EXPECT_EQ(handed.size(), 1U);
    handed.clear();
  }
}

TEST_F(ListenerTest, ATricklingClientGetsNoSecondExtension) {
  Client& client = Connect();
  Send(client, "GET /p HTTP/1.1\r\nX: ");
  Settle();
  for (int i = 0; i < 2; ++i) {
    system_.after_wake = [&] { Send(client, "a"); };
    Leap(milliseconds(2600));
  }
  EXPECT_TRUE(Receives(client, "408"));
  EXPECT_TRUE(Ends(client));
}

TEST_F(ListenerTest, ALastAnswerIsNotResetByDataAtTheEndOfTheLingeringClose) {
  more_of_answer = 200000;
  Client& client = Connect(true);
  Send(client, Get("/last", "Connection: close\r\n"));
  Settle();
  system_.after_wake = [&] { Send(client, Get("/behind")); };
  Leap(milliseconds(300));
  EXPECT_EQ(descriptors->used(), 0U);
  EXPECT_TRUE(Ends(client));
  EXPECT_GT(client.received.size(), more_of_answer);
  EXPECT_EQ(handed.size(), 1U);
}

}  // namespace
}  // namespace mothrack
