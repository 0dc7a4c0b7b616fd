// FaultyRelay without faults: all data arrives, from the right address, and nothing is retained.
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "support/faulty_relay_fixture.h"

namespace mothrack::testing {
namespace {

TEST(FaultyRelayUdp, ForwardsInOrderAndRepliesReachTheSenderByEitherAddress) {
  ThreeEndpoints t;
  const auto received = SendAndCollect(t, 1000);
  EXPECT_EQ(received.size(), 1000U);
  EXPECT_TRUE(std::ranges::is_sorted(received));
  // Datagrams arrive from the address at which the relay serves their sender.
  EXPECT_EQ(t.b.from(), t.at("a"));
  t.b.Send(t.b.from(), "answer");
  EXPECT_EQ(t.a.Receive(), "answer");
  EXPECT_EQ(t.a.from(), t.at("b"));
  EXPECT_EQ(t.relay.counts("a", "b").delivered, 1000U);
  EXPECT_EQ(t.relay.counts("b", "a").delivered, 1U);
  EXPECT_EQ(t.relay.queued_bytes(), 0U);
}

TEST(FaultyRelayUdp, DatagramsOfUnknownSendersAreCountedAndDropped) {
  ThreeEndpoints t;
  Udp stranger;
  stranger.Send(t.at("a"), "let me in");
  EXPECT_FALSE(t.a.Receive(kQuietTime));
  EXPECT_EQ(t.relay.unknown_senders(), 1U);
  // That holds until the address belongs to an endpoint that was restarted.
  t.relay.MoveEndpoint("b", stranger.port());
  stranger.Send(t.at("a"), "b again");
  EXPECT_EQ(t.a.Receive(), "b again");
  EXPECT_EQ(t.a.from(), t.at("b"));
  t.a.Send(t.at("b"), "welcome");
  EXPECT_EQ(stranger.Receive(), "welcome");
  t.b.Send(t.at("a"), "the old one");
  EXPECT_FALSE(t.a.Receive(kQuietTime));
}

TEST(FaultyRelayTcp, ForwardsBytesAndHalfClosesBothWays) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  Write(client, "question");
  std::string received;
  EXPECT_EQ(ReadOnce(server, kTimeout, &received), ReadResult::kBytes);
  EXPECT_EQ(received, "question");
  ::shutdown(client.fd(), SHUT_WR);
  EXPECT_EQ(ReadOnce(server), ReadResult::kEnd);
  Write(server, "answer");
  EXPECT_EQ(ReadOnce(client, kTimeout, &received), ReadResult::kBytes);
  EXPECT_EQ(received, "questionanswer");
  ::shutdown(server.fd(), SHUT_WR);
  EXPECT_EQ(ReadOnce(client), ReadResult::kEnd);
  EXPECT_EQ(p.relay.counts("a", "b").tcp_bytes, 8U);
  EXPECT_EQ(p.relay.counts("b", "a").tcp_bytes, 6U);
}

TEST(FaultyRelayTcp, ReleasesManyConnectionsWhoseClientsDisconnect) {
  Pair p;
  std::vector<Socket> clients;
  std::vector<Socket> servers;
  for (int i = 0; i < 64; ++i) {
    clients.push_back(Connect(p.port));
    servers.push_back(Accept(p.listener));
    Write(clients.back(), std::to_string(i));
  }
  for (int i = 0; i < 64; ++i) {
    std::string received;
    EXPECT_EQ(ReadOnce(servers[static_cast<std::size_t>(i)], kTimeout, &received), ReadResult::kBytes);
    EXPECT_EQ(received, std::to_string(i));
  }
  clients.clear();
  for (const Socket& server : servers) EXPECT_EQ(ReadOnce(server), ReadResult::kEnd);
  servers.clear();
  const auto until = Clock::now() + kTimeout;
  while (p.relay.queued_bytes() > 0 && Clock::now() < until) std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(p.relay.counts("a", "b").connections, 64U);
}

}  // namespace
}  // namespace mothrack::testing
