// Tests timeouts that expire when bytes have arrived that are not read yet.
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

// The event loop was delayed: bytes that arrived meanwhile are read before a timeout is applied.
TEST_F(ListenerTest, ARequestReceivedBeforeTheIdleTimeoutFiresIsServed) {
  const std::string request = Get("/p");
  for (const std::size_t before : {std::size_t{0}, std::size_t{1}, request.size() - 1}) {
    SCOPED_TRACE(before);
    Client& client = Connect();
    if (before > 0) Send(client, request.substr(0, before));
    RunUntilIdle();
    intercepted_calls.after_wake = [&] { Send(client, request.substr(before)); };
    JumpTime(milliseconds(3000));
    EXPECT_TRUE(Receives(client, "answer /p")) << client.received;
    EXPECT_EQ(forwarded.size(), 1U);
    forwarded.clear();
  }
}

TEST_F(ListenerTest, ATricklingClientGetsNoSecondExtension) {
  Client& client = Connect();
  Send(client, "GET /p HTTP/1.1\r\nX: ");
  RunUntilIdle();
  for (int i = 0; i < 2; ++i) {
    intercepted_calls.after_wake = [&] { Send(client, "a"); };
    JumpTime(milliseconds(2600));
  }
  EXPECT_TRUE(Receives(client, "408"));
  EXPECT_TRUE(Ends(client));
}

TEST_F(ListenerTest, ALastResponseIsNotResetByBytesAtTheEndOfTheLingeringClose) {
  extra_response_bytes = 200000;
  Client& client = Connect(true);
  Send(client, Get("/last", "Connection: close\r\n"));
  RunUntilIdle();
  intercepted_calls.after_wake = [&] { Send(client, Get("/behind")); };
  JumpTime(milliseconds(300));
  EXPECT_EQ(descriptors->used(), 0U);
  EXPECT_TRUE(Ends(client));
  EXPECT_GT(client.received.size(), extra_response_bytes);
  EXPECT_EQ(forwarded.size(), 1U);
}

}  // namespace
}  // namespace mothrack
