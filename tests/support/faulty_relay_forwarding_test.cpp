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

TEST(FaultyRelayUdp, ForwardsInOrderAndRepliesReachTheSender) {
  ThreeEndpoints udp;
  const auto received = SendAndCollect(udp, 1000);
  EXPECT_EQ(received.size(), 1000U);
  EXPECT_TRUE(std::ranges::is_sorted(received));
  // Datagrams arrive from the address at which the relay serves their sender.
  EXPECT_EQ(udp.b.from(), udp.port_of("a"));
  udp.b.Send(udp.b.from(), "answer");
  EXPECT_EQ(udp.a.Receive(), "answer");
  EXPECT_EQ(udp.a.from(), udp.port_of("b"));
  EXPECT_EQ(udp.relay.counts("a", "b").delivered, 1000U);
  EXPECT_EQ(udp.relay.counts("b", "a").delivered, 1U);
  EXPECT_EQ(udp.relay.queued_bytes(), 0U);
}

TEST(FaultyRelayUdp, DatagramsOfUnknownSendersAreCountedAndDropped) {
  ThreeEndpoints udp;
  Udp stranger;
  stranger.Send(udp.port_of("a"), "let me in");
  EXPECT_FALSE(udp.a.Receive(kQuietTime));
  EXPECT_EQ(udp.relay.unknown_senders(), 1U);
  // The sender becomes known if an endpoint moves to its port, as after a restart of a process.
  udp.relay.MoveEndpoint("b", stranger.port());
  stranger.Send(udp.port_of("a"), "b again");
  EXPECT_EQ(udp.a.Receive(), "b again");
  EXPECT_EQ(udp.a.from(), udp.port_of("b"));
  udp.a.Send(udp.port_of("b"), "welcome");
  EXPECT_EQ(stranger.Receive(), "welcome");
  udp.b.Send(udp.port_of("a"), "the old one");
  EXPECT_FALSE(udp.a.Receive(kQuietTime));
}

TEST(FaultyRelayTcp, ForwardsBytesAndHalfClosesBothWays) {
  TcpPair tcp;
  const Socket client = Connect(tcp.port);
  const Socket server = Accept(tcp.listener);
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
  EXPECT_EQ(tcp.relay.counts("a", "b").tcp_bytes, 8U);
  EXPECT_EQ(tcp.relay.counts("b", "a").tcp_bytes, 6U);
}

TEST(FaultyRelayTcp, ReleasesManyConnectionsWhoseClientsDisconnect) {
  TcpPair tcp;
  std::vector<Socket> clients;
  std::vector<Socket> servers;
  for (int i = 0; i < 64; ++i) {
    clients.push_back(Connect(tcp.port));
    servers.push_back(Accept(tcp.listener));
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
  while (tcp.relay.queued_bytes() > 0 && Clock::now() < until) std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(tcp.relay.counts("a", "b").connections, 64U);
}

}  // namespace
}  // namespace mothrack::testing
