// Cuts, partitions and resets of FaultyRelay.
#include <sys/socket.h>

#include <stdexcept>
#include <string>

#include "gtest/gtest.h"
#include "support/faulty_relay_fixture.h"

namespace mothrack::testing {
namespace {

TEST(FaultyRelayUdp, CutDropsOneDirectionOnly) {
  ThreeEndpoints udp;
  udp.relay.Cut("a", "b");
  udp.a.Send(udp.port_of("b"), "there");
  udp.b.Send(udp.port_of("a"), "back");
  udp.a.Send(udp.port_of("c"), "another");
  EXPECT_EQ(udp.a.Receive(), "back");
  EXPECT_EQ(udp.c.Receive(), "another");
  EXPECT_FALSE(udp.b.Receive(kQuietTime));
  EXPECT_EQ(udp.relay.counts("a", "b").cut, 1U);
  EXPECT_NE(udp.relay.Describe().find("a > b: 1 received, 0 delivered"), std::string::npos)
      << udp.relay.Describe();
  udp.relay.Restore("a", "b");
  udp.a.Send(udp.port_of("b"), "joined");
  EXPECT_EQ(udp.b.Receive(), "joined") << "a datagram that was sent during the cut arrived";
}

TEST(FaultyRelayUdp, PartitionSeparatesGroupsUntilHealed) {
  ThreeEndpoints udp;
  udp.relay.Partition({{"bole"}, {"kality"}});
  udp.a.Send(udp.port_of("b"), "same side");
  udp.a.Send(udp.port_of("c"), "other side");
  udp.c.Send(udp.port_of("b"), "other side");
  EXPECT_EQ(udp.b.Receive(), "same side");
  EXPECT_FALSE(udp.c.Receive(kQuietTime));
  EXPECT_FALSE(udp.b.Receive(milliseconds(0)));
  udp.relay.Heal();
  udp.a.Send(udp.port_of("c"), "healed");
  EXPECT_EQ(udp.c.Receive(), "healed");
  // A partition named by an endpoint; endpoints outside the groups still reach each other.
  udp.relay.Partition({{"c"}});
  udp.a.Send(udp.port_of("c"), "alone");
  udp.a.Send(udp.port_of("b"), "not alone");
  EXPECT_EQ(udp.b.Receive(), "not alone");
  EXPECT_FALSE(udp.c.Receive(kQuietTime));
  udp.relay.ClearFaults();
  udp.a.Send(udp.port_of("c"), "cleared");
  EXPECT_EQ(udp.c.Receive(), "cleared");
  EXPECT_THROW(udp.relay.Cut("bole", "nowhere"), std::logic_error);
}

TEST(FaultyRelayTcp, CutBuffersBytesAndResetsUntilHealed) {
  TcpPair tcp;
  const Socket client = Connect(tcp.port);
  Socket server = Accept(tcp.listener);
  tcp.relay.Cut("bole", "kality");
  Write(client, "held");
  EXPECT_EQ(ReadOnce(server, kQuietTime), ReadResult::kTimedOut);
  Write(server, "back");  // the cut affects one direction only
  EXPECT_EQ(ReadOnce(client), ReadResult::kBytes);
  tcp.relay.Restore("bole", "kality");
  std::string received;
  EXPECT_EQ(ReadOnce(server, kTimeout, &received), ReadResult::kBytes);
  EXPECT_EQ(received, "held");

  // A partition also holds back the reset of a connection until it is healed.
  tcp.relay.Partition({{"a"}, {"b"}});
  const Socket late = Connect(tcp.port);
  EXPECT_FALSE(tcp.listener.Ready(kQuietTime));
  const linger reset_on_close{1, 0};
  ::setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  server.Close();
  EXPECT_EQ(ReadOnce(client, kQuietTime), ReadResult::kTimedOut);
  tcp.relay.Heal();
  EXPECT_EQ(ReadOnce(client), ReadResult::kReset);
  const Socket accepted = Accept(tcp.listener);
  Write(late, "late");
  EXPECT_EQ(ReadOnce(accepted), ReadResult::kBytes);
}

TEST(FaultyRelayTcp, ResetReachesBothSidesAndRefusalResetsNewConnections) {
  TcpPair tcp;
  const Socket client = Connect(tcp.port);
  const Socket server = Accept(tcp.listener);
  Write(client, "question");
  EXPECT_EQ(ReadOnce(server), ReadResult::kBytes);
  tcp.relay.ResetConnections("a", "b");
  EXPECT_EQ(ReadOnce(client), ReadResult::kReset);
  EXPECT_EQ(ReadOnce(server), ReadResult::kReset);
  tcp.relay.ChangeFaults("a", "b", [](auto& faults) { faults.reset_connections = true; });
  EXPECT_EQ(ReadOnce(Connect(tcp.port)), ReadResult::kReset);
  EXPECT_FALSE(tcp.listener.Ready(milliseconds(0)));
  EXPECT_EQ(tcp.relay.counts("a", "b").resets, 2U);
  tcp.relay.ClearFaults();
  // No process listens behind the relay.
  tcp.listener.Close();
  EXPECT_EQ(ReadOnce(Connect(tcp.port)), ReadResult::kReset);
}

}  // namespace
}  // namespace mothrack::testing
