// Tests how quiescing and draining end connections: between requests, during one, and in the backlog.
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

class ConnectionEnd : public ListenerTest, public ::testing::WithParamInterface<bool> {
 protected:
  // Drains or quiesces the listener, by the test's parameter.
  void BeginStop() {
    if (GetParam()) {
      listener->Drain([this] { ++drains_ended; });
    } else {
      listener->Quiesce(true);
    }
  }
  Client& ConnectAndServe() {
    Client& client = Connect();
    Send(client, Get("/first"));
    EXPECT_TRUE(Receives(client, "answer /first"));
    client.received.clear();
    forwarded.clear();
    return client;
  }
};

INSTANTIATE_TEST_SUITE_P(Listener, ConnectionEnd, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "Drained" : "Quiesced"; });

TEST_P(ConnectionEnd, RequestsBeforeTheHalfCloseAreServedAndAnsweredWithClose) {
  Client& client = ConnectAndServe();
  Send(client, Get("/second"));
  BeginStop();
  EXPECT_TRUE(Receives(client, "answer /second"));
  EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Ends(client));
}

TEST_P(ConnectionEnd, RequestsThatCrossTheHalfCloseAreNeitherReadNorReset) {
  for (Hook InterceptedCalls::*const moment : {&InterceptedCalls::before_end, &InterceptedCalls::after_end}) {
    SCOPED_TRACE(moment == &InterceptedCalls::before_end ? "before the half-close" : "after the half-close");
    Client& client = ConnectAndServe();
    bool crossed = false;
    intercepted_calls.watched = client.server;
    intercepted_calls.*moment = [&] {
      Send(client, Get("/crossing"));
      crossed = true;
    };
    BeginStop();
    ASSERT_TRUE(crossed);
    EXPECT_TRUE(Ends(client));
    EXPECT_EQ(client.received, "");
    // The client closes first, and the listener detects that although unread bytes precede the close.
    EXPECT_EQ(descriptors->used(), 1U);
    EXPECT_EQ(Unread(client), Get("/crossing").size());
    Disconnect(client, DisconnectKind::kClose);
    AdvanceTime(milliseconds(10));
    EXPECT_EQ(descriptors->used(), 0U);
    EXPECT_TRUE(forwarded.empty());
    if (GetParam()) break;  // a drain cannot be undone
    listener->Quiesce(false);
  }
}

TEST_P(ConnectionEnd, IdleClientsAreClosed) {
  Client& closing = ConnectAndServe();
  Client& staying = ConnectAndServe();
  BeginStop();
  EXPECT_TRUE(Ends(closing));
  EXPECT_TRUE(Ends(staying));
  EXPECT_EQ(descriptors->used(), 2U);
  Disconnect(closing, DisconnectKind::kClose);
  RunUntilIdle();
  EXPECT_EQ(descriptors->used(), 1U);
  AdvanceTime(milliseconds(280));
  EXPECT_EQ(descriptors->used(), 0U);
}

TEST_P(ConnectionEnd, APartialRequestIsAwaitedServedAndAnsweredWithClose) {
  const std::string request = Post("Content-Length: 5\r\n", "abcde");
  for (const std::size_t cut : {std::size_t{1}, std::size_t{20}, request.size() - 1}) {
    Client& client = ConnectAndServe();
    Send(client, request.substr(0, cut));
    RunUntilIdle();
    BeginStop();
    AdvanceTime(milliseconds(2400));
    ASSERT_EQ(Receive(client), "");
    ASSERT_FALSE(client.end);
    Send(client, request.substr(cut));
    EXPECT_TRUE(Receives(client, "answer /p"));
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    ASSERT_EQ(forwarded.size(), 1U);
    EXPECT_EQ(forwarded[0].body, "abcde");
    EXPECT_TRUE(Ends(client));
    if (GetParam()) break;
    listener->Quiesce(false);
  }
}

TEST_P(ConnectionEnd, RequestsAfterTheLastResponseAreNotForwarded) {
  replies_at_once = false;
  Client& ahead = Connect();
  Send(ahead, Get("/held") + Get("/ahead"));
  Client& behind = Connect();
  Send(behind, Get("/held"));
  Client& crossing = Connect();
  Send(crossing, Get("/held"));
  RunUntilIdle();
  ASSERT_EQ(forwarded.size(), 3U);
  BeginStop();
  intercepted_calls.watched = crossing.server;
  intercepted_calls.before_end = [&] { Send(crossing, Get("/crossing")); };
  for (ForwardedRequest& request : forwarded) Reply(request);
  RunUntilIdle();
  Send(behind, Get("/behind"));
  for (Client* client : {&ahead, &behind, &crossing}) {
    EXPECT_TRUE(Receives(*client, "answer /held"));
    EXPECT_NE(client->received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(Ends(*client));
    Disconnect(*client, DisconnectKind::kClose);
  }
  EXPECT_TRUE(AllClosed());
  EXPECT_EQ(forwarded.size(), 3U);
}

TEST_F(ListenerTest, ADrainEndsOnceAndOnlyWhenAllRequestsAreAnswered) {
  replies_at_once = false;
  Client& in_flight = Connect();
  Send(in_flight, Get("/held"));
  RunUntilIdle();
  // `recent` has connected and sends nothing yet; `late` connects during the drain.
  Client& recent = Connect();
  listener->Drain([this] { ++drains_ended; });
  AdvanceTime(milliseconds(200));
  Send(recent, Get("/fresh"));
  RunUntilIdle();
  Client& late = Connect();
  Send(late, Get("/late"));
  RunUntilIdle();
  ASSERT_EQ(forwarded.size(), 3U);
  AdvanceTime(milliseconds(2800));
  EXPECT_EQ(drains_ended, 0);
  for (ForwardedRequest& request : forwarded) Reply(request);
  for (Client* client : {&in_flight, &recent, &late}) {
    EXPECT_TRUE(Receives(*client, "answer"));
    EXPECT_TRUE(Ends(*client));
  }
  EXPECT_EQ(drains_ended, 0);
  AdvanceTime(milliseconds(400));
  EXPECT_EQ(drains_ended, 1);
}

TEST_F(ListenerTest, ADrainDuringASweepEndsOnce) {
  listener->PauseAccepting();
  // Both the sweep and the handler below are due, and the handler, which starts the drain, runs first.
  boost::asio::steady_timer signal(io, std::chrono::steady_clock::time_point());
  signal.async_wait([this](error_code) { listener->Drain([this] { ++drains_ended; }); });
  JumpTime(milliseconds(300));
  AdvanceTime(milliseconds(100));
  EXPECT_EQ(drains_ended, 1);
}

}  // namespace
}  // namespace mothrack
