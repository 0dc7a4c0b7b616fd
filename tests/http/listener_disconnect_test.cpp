// Clients that disconnect, whatever they sent ahead.
#include <cstddef>
#include <string>
#include <vector>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

struct Departure {
  const char* name;
  std::string sent;
  bool comes;  // handed on before its end
};

std::vector<Departure> Departures() {
  return {
      {"nothing behind the request", Get("/p"), false},
      {"some behind it", Get("/p") + Followers(20000), false},
      {"more than is kept behind it", Get("/p") + Followers(100000), false},
      // 256 KiB are read, and up to two reads more; the system has the rest, and the end behind it.
      {"more than is read behind it", Get("/p") + Followers(280000), false},
      // As much as is kept whole, the least window, what is read ahead; and some that waits in the system.
      {"an upload that nobody takes", PostOfLength(1 << 20, (64 + 16 + 32 + 8) * 1024), true},
  };
}

TEST_F(ListenerTest, ADisconnectIsDetectedWithin100MsDespitePipelinedData) {
  answers = takes = false;
  for (const Departure& departure : Departures()) {
    for (const Way way : {Way::kClose, Way::kReset}) {
      SCOPED_TRACE(departure.name + std::string(way == Way::kReset ? ", reset" : ", closed"));
      Listen(kRoomy, runtime::ByteBudget::kMinWindow);
      Client& client = Connect();
      ASSERT_EQ(SendAll(client, departure.sent), departure.sent.size());
      Settle();
      ASSERT_EQ(handed.size(), 1U);
      ASSERT_FALSE(handed[0].disconnected);
      Leave(client, way);
      Pass(milliseconds(100));
      EXPECT_TRUE(handed[0].disconnected);
      EXPECT_EQ(descriptors->used(), 0U);
      EXPECT_EQ(handed.size(), 1U);
      EXPECT_EQ(departure.comes, static_cast<bool>(handed[0].coming));
      if (departure.comes) {
        EXPECT_EQ(handed[0].coming.stream->state(), runtime::Stream::State::kBroken);
      }
      handed.clear();
      clients.clear();
    }
  }
}

// The sidecar had no time for either: what it reads first is the request.
TEST_F(ListenerTest, AQueuedRequestOfADisconnectedClientIsNotForwarded) {
  for (const std::string& sent : {Get("/p"), Get("/p") + Followers(5000), PostOfLength(5, 5)}) {
    for (const Way way : {Way::kClose, Way::kReset}) {
      Client& client = Connect();
      Send(client, sent);
      Leave(client, way);
      EXPECT_TRUE(AllClosed());
      EXPECT_TRUE(handed.empty());
    }
  }
}

// Else a client that has left would get them sent on, one after the other. Its own answer arrives whole.
TEST_F(ListenerTest, RequestsAfterAFloodAreNotForwarded) {
  more_of_answer = 200000;
  for (const std::size_t size : {100000, 280000}) {
    answers = false;
    Client& client = Connect(true);
    const std::string sent = Get("/p") + Followers(size);
    ASSERT_EQ(SendAll(client, sent), sent.size());
    Settle();
    ASSERT_EQ(handed.size(), 1U);
    answers = true;
    Answer(handed[0]);
    EXPECT_TRUE(Ends(client));
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    EXPECT_GT(client.received.size(), more_of_answer);
    EXPECT_EQ(handed.size(), 1U);
    handed.clear();
  }
}

}  // namespace
}  // namespace mothrack
