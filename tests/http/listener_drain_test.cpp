// Tests how quiescing and draining end connections: between requests, during one, and in the backlog.
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

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

// ---- The last moment of a planned stop ----

// How a client sends a request that is open when the stop begins, or becomes so while it lasts.
struct SlowRequest {
  std::string name;
  std::string text;
  std::size_t cut = 0;          // sent before the stop begins
  milliseconds last_byte_at{};  // when the rest is sent, after the stop began
  bool reuses_connection = false;
};

// The stop is killed at `end`.
std::vector<SlowRequest> SlowRequests(milliseconds end) {
  const std::string body(300, 'b');
  const std::string head = Get("/p");
  const std::string post = Post("Content-Length: 300\r\n", body);
  const std::string streamed = PostOfLength(100'000, 100'000);
  std::vector<SlowRequest> requests;
  for (const bool reuses : {false, true}) {
    requests.push_back({"whole before the stop", head, head.size(), milliseconds(0), reuses});
    // A longer silence gets a 408 before the end of the stop.
    if (end < http::kRequestTimeout) {
      requests.push_back({"upload that never ends", streamed, streamed.size() - 1, end, reuses});
    }
    for (const int at : {0, 350, 700, 750, 1800}) {
      const milliseconds last_byte_at(at);
      requests.push_back({"slow head", head, 5, last_byte_at, reuses});
      requests.push_back({"last byte of the head is slow", head, head.size() - 1, last_byte_at, reuses});
      requests.push_back({"slow body", post, post.size() - 100, last_byte_at, reuses});
      requests.push_back({"slow streamed body", streamed, streamed.size() - 1, last_byte_at, reuses});
    }
  }
  return requests;
}

struct LastMoment {
  milliseconds longest_deadline;
  bool has_successor;  // another process accepts clients at the same address
};

class PlannedStopEnd : public ListenerTest, public ::testing::WithParamInterface<LastMoment> {
 protected:
  struct Sender {
    std::string name;  // of its request
    Client* client;
  };

  // From the begin of the stop: SIGKILL, and the moment shortly before it when open requests are answered.
  const milliseconds kill_at = std::min(GetParam().longest_deadline, milliseconds(3000)) + milliseconds(700);
  const milliseconds answers_at = kill_at - milliseconds(200);

  void SetUp() override {
    longest_deadline = GetParam().longest_deadline;
    Listen(kManyDescriptors, 16 << 20);
    replies_at_once = false;
  }

  Client& Begin(const SlowRequest& request) {
    Client& client = Connect();
    if (request.reuses_connection) {
      Send(client, Get("/first"));
      EXPECT_TRUE(WaitUntil([&] { return !forwarded.empty() && forwarded.back().reply; }));
      Reply(forwarded.back());
      EXPECT_TRUE(Receives(client, "answer /first"));
      client.received.clear();
    }
    SendAll(client, request.text.substr(0, request.cut));
    return client;
  }

  void BeginDrain() {
    if (GetParam().has_successor) listener->PauseAccepting();
    listener->Drain([this] { ++drains_ended; });
  }

  // Advances from one moment of the stop to another, and sends what is due then.
  void AdvanceTo(milliseconds& at, milliseconds until) {
    if (until > at) AdvanceTime(until - at, milliseconds(10));
    at = std::max(at, until);
  }

  // Begins the requests, then the stop, and goes on until shortly after the last answers.
  void PlayUntilLastAnswers(std::vector<SlowRequest> requests) {
    std::stable_sort(requests.begin(), requests.end(), [](const SlowRequest& a, const SlowRequest& b) {
      return a.last_byte_at < b.last_byte_at;
    });
    for (const SlowRequest& request : requests) senders.push_back({request.name, &Begin(request)});
    AdvanceTime(milliseconds(50));
    BeginDrain();
    milliseconds at{};
    for (std::size_t i = 0; i < requests.size() && requests[i].last_byte_at < answers_at; ++i) {
      AdvanceTo(at, requests[i].last_byte_at);
      Client& client = *senders[i].client;
      ASSERT_FALSE(client.end) << senders[i].name;
      if (requests[i].cut < requests[i].text.size())
        SendAll(client, requests[i].text.substr(requests[i].cut));
    }
    AdvanceTo(at, answers_at - milliseconds(20));
    for (const Sender& sender : senders) {
      EXPECT_EQ(Receive(*sender.client), "") << sender.name << ": an answer could still have come";
    }
    AdvanceTo(at, answers_at + milliseconds(20));
  }

  std::vector<Sender> senders;

  void ExpectAnswers(const std::string& status) {
    for (const Sender& sender : senders) {
      EXPECT_NE(Receive(*sender.client).find(status), std::string::npos) << sender.name;
    }
  }
};

INSTANTIATE_TEST_SUITE_P(
    Listener, PlannedStopEnd,
    ::testing::Values(LastMoment{milliseconds(100), false}, LastMoment{milliseconds(1000), false},
                      LastMoment{milliseconds(3000), false}, LastMoment{milliseconds(5000), false},
                      LastMoment{milliseconds(100), true}, LastMoment{milliseconds(3000), true}),
    [](const auto& info) {
      return std::to_string(info.param.longest_deadline.count()) + "ms" +
             (info.param.has_successor ? "WithSuccessor" : "");
    });

// Guards against this failure: the SIGKILL that ends a planned stop found requests without any answer,
// because their first byte had come before SIGTERM or because a successor had taken over the address.
TEST_P(PlannedStopEnd, EveryRequestThatIsServedThenIsFailedBeforeTheKill) {
  std::vector<SlowRequest> requests = SlowRequests(kill_at);
  std::erase_if(requests, [&](const SlowRequest& request) {
    const bool streams = request.cut > http::kBufferLimit;
    return !streams && request.last_byte_at >= answers_at;
  });
  PlayUntilLastAnswers(requests);
  ExpectAnswers(" 504 ");
  AdvanceTime(kill_at - answers_at - milliseconds(30), milliseconds(10));
  EXPECT_EQ(drains_ended, 1);
}

// Guards against this failure: a request of which a part had been read kept the process until SIGKILL, which
// reset its connection; its last byte might have been written by then.
TEST_P(PlannedStopEnd, ARequestThatIsStillArrivingThenIsRefusedBeforeTheKill) {
  const std::string body = PostOfLength(60'000, 60'000);
  // Each silence and the whole of a head must last less than the limits of the phase.
  const bool short_stop = answers_at < milliseconds(2400);
  for (const bool reuses : {false, true}) {
    const auto begin = [&](const std::string& name, const std::string& text, std::size_t cut) {
      senders.push_back({name, &Begin({name, text, cut, kill_at, reuses})});
    };
    begin("slow body", body, 1000);
    if (!short_stop) continue;
    begin("slow head", body, 5);
    begin("silence in the body", body, 20'000);
    begin("waits for 100 (Continue)", Post("Content-Length: 5\r\nExpect: 100-continue\r\n", ""),
          std::string::npos);
  }
  forwarded.clear();
  BeginDrain();
  const auto write_bodies = [&] {
    for (const Sender& sender : senders) {
      if (sender.name == "slow body") SendAll(*sender.client, std::string(1000, 'x'));
    }
  };
  for (milliseconds at{}; at + milliseconds(100) < answers_at; at += milliseconds(100)) {
    write_bodies();
    AdvanceTime(milliseconds(100), milliseconds(10));
  }
  for (const Sender& sender : senders) {
    EXPECT_EQ(Receive(*sender.client).find(" 503 "), std::string::npos) << sender.name << ": too early";
  }
  AdvanceTime(milliseconds(120), milliseconds(10));
  ExpectAnswers(" 503 ");
  write_bodies();
  AdvanceTime(kill_at - answers_at - milliseconds(30), milliseconds(10));
  for (const Sender& sender : senders) EXPECT_TRUE(Ends(*sender.client)) << sender.name;
  EXPECT_EQ(drains_ended, 1);
  EXPECT_TRUE(forwarded.empty());
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
