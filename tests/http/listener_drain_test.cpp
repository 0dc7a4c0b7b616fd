// Connections that end between requests: quiesce and drain.
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

class ConnectionEnd : public ListenerTest, public ::testing::WithParamInterface<bool> {
 protected:
  // By hand, or for good.
  void Begin() {
    if (GetParam()) {
      listener->Drain([this] { ++ended; });
    } else {
      listener->Quiesce(true);
    }
  }
  Client& Served() {
    Client& client = Connect();
    Send(client, Get("/first"));
    EXPECT_TRUE(Receives(client, "answer /first"));
    client.received.clear();
    handed.clear();
    return client;
  }
};

INSTANTIATE_TEST_SUITE_P(Listener, ConnectionEnd, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "Drained" : "Rested"; });

TEST_P(ConnectionEnd, RequestsBeforeTheEndAreServedAndAnsweredWithClose) {
  Client& client = Served();
  Send(client, Get("/second"));
  Begin();
  EXPECT_TRUE(Receives(client, "answer /second"));
  EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Ends(client));
}

TEST_P(ConnectionEnd, RequestsThatCrossTheEndAreNeitherReadNorReset) {
  for (Hook System::*const moment : {&System::before_end, &System::after_end}) {
    SCOPED_TRACE(moment == &System::before_end ? "before the end" : "after it");
    Client& client = Served();
    bool crossed = false;
    system_.watched = client.server;
    system_.*moment = [&] {
      Send(client, Get("/crossing"));
      crossed = true;
    };
    Begin();
    ASSERT_TRUE(crossed);
    EXPECT_TRUE(Ends(client));
    EXPECT_EQ(client.received, "");
    // The client is the first to close, and the listener sees it behind what it left unread.
    EXPECT_EQ(descriptors->used(), 1U);
    EXPECT_EQ(Unread(client), Get("/crossing").size());
    Leave(client, Way::kClose);
    Pass(milliseconds(10));
    EXPECT_EQ(descriptors->used(), 0U);
    EXPECT_TRUE(handed.empty());
    if (GetParam()) break;  // once for good
    listener->Quiesce(false);
  }
}

TEST_P(ConnectionEnd, IdleClientsAreClosed) {
  Client& closes = Served();
  Client& stays = Served();
  Begin();
  EXPECT_TRUE(Ends(closes));
  EXPECT_TRUE(Ends(stays));
  EXPECT_EQ(descriptors->used(), 2U);
  Leave(closes, Way::kClose);
  Settle();
  EXPECT_EQ(descriptors->used(), 1U);
  Pass(milliseconds(280));
  EXPECT_EQ(descriptors->used(), 0U);
}

TEST_P(ConnectionEnd, APartialRequestIsAwaitedServedAndAnsweredWithClose) {
  const std::string request = Post("Content-Length: 5\r\n", "abcde");
  for (const std::size_t cut : {std::size_t{1}, std::size_t{20}, request.size() - 1}) {
    Client& client = Served();
    Send(client, request.substr(0, cut));
    Settle();
    Begin();
    Pass(milliseconds(2400));
    ASSERT_EQ(Receive(client), "");
    ASSERT_FALSE(client.end);
    Send(client, request.substr(cut));
    EXPECT_TRUE(Receives(client, "answer /p"));
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    ASSERT_EQ(handed.size(), 1U);
    EXPECT_EQ(handed[0].body, "abcde");
    EXPECT_TRUE(Ends(client));
    if (GetParam()) break;
    listener->Quiesce(false);
  }
}

TEST_P(ConnectionEnd, RequestsAfterTheLastAnswerAreNotForwarded) {
  answers = false;
  Client& ahead = Connect();
  Send(ahead, Get("/held") + Get("/ahead"));
  Client& behind = Connect();
  Send(behind, Get("/held"));
  Client& crossing = Connect();
  Send(crossing, Get("/held"));
  Settle();
  ASSERT_EQ(handed.size(), 3U);
  Begin();
  system_.watched = crossing.server;
  system_.before_end = [&] { Send(crossing, Get("/crossing")); };
  for (Handed& request : handed) Answer(request);
  Settle();
  Send(behind, Get("/behind"));
  for (Client* client : {&ahead, &behind, &crossing}) {
    EXPECT_TRUE(Receives(*client, "answer /held"));
    EXPECT_NE(client->received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(Ends(*client));
    Leave(*client, Way::kClose);
  }
  EXPECT_TRUE(AllClosed());
  EXPECT_EQ(handed.size(), 3U);
}

TEST_F(ListenerTest, ADrainEndsOnceAndOnlyWhenAllIsAnswered) {
  answers = false;
  Client& in_flight = Connect();
  Send(in_flight, Get("/held"));
  Settle();
  // One that has connected and says nothing for now, one that comes later.
  Client& recent = Connect();
  listener->Drain([this] { ++ended; });
  Pass(milliseconds(200));
  Send(recent, Get("/fresh"));
  Settle();
  Client& late = Connect();
  Send(late, Get("/late"));
  Settle();
  ASSERT_EQ(handed.size(), 3U);
  Pass(milliseconds(2800));
  EXPECT_EQ(ended, 0);
  for (Handed& request : handed) Answer(request);
  for (Client* client : {&in_flight, &recent, &late}) {
    EXPECT_TRUE(Receives(*client, "answer"));
    EXPECT_TRUE(Ends(*client));
  }
  EXPECT_EQ(ended, 0);
  Pass(milliseconds(400));
  EXPECT_EQ(ended, 1);
}

TEST_F(ListenerTest, ADrainDuringASweepEndsOnce) {
  listener->PauseAccepting();
  // The sweep is due, and the signal is handled ahead of it.
  boost::asio::steady_timer signal(io, std::chrono::steady_clock::time_point());
  signal.async_wait([this](error_code) { listener->Drain([this] { ++ended; }); });
  Leap(milliseconds(300));
  Pass(milliseconds(100));
  EXPECT_EQ(ended, 1);
}

}  // namespace
}  // namespace mothrack
