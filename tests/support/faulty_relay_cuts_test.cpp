// Cuts, partitions and resets of FaultyRelay.
#include <sys/socket.h>

#include <stdexcept>
#include <string>

#include "gtest/gtest.h"
#include "support/faulty_relay_fixture.h"

namespace mothrack::testing {
namespace {

TEST(FaultyRelayUdp, CutDropsOneDirectionOnly) {
  ThreeEndpoints t;
  t.relay.Cut("a", "b");
  t.a.Send(t.at("b"), "there");
  t.b.Send(t.at("a"), "back");
  t.a.Send(t.at("c"), "another");
  EXPECT_EQ(t.a.Receive(), "back");
  EXPECT_EQ(t.c.Receive(), "another");
  EXPECT_FALSE(t.b.Receive(kQuietTime));
  EXPECT_EQ(t.relay.counts("a", "b").cut, 1U);
  EXPECT_NE(t.relay.Describe().find("a > b: 1 received, 0 delivered"), std::string::npos)
      << t.relay.Describe();
  t.relay.Restore("a", "b");
  t.a.Send(t.at("b"), "joined");
  EXPECT_EQ(t.b.Receive(), "joined") << "what was cut is gone";
}

TEST(FaultyRelayUdp, PartitionSeparatesGroupsUntilHealed) {
  ThreeEndpoints t;
  t.relay.Partition({{"bole"}, {"kality"}});
  t.a.Send(t.at("b"), "same side");
  t.a.Send(t.at("c"), "other side");
  t.c.Send(t.at("b"), "other side");
  EXPECT_EQ(t.b.Receive(), "same side");
  EXPECT_FALSE(t.c.Receive(kQuietTime));
  EXPECT_FALSE(t.b.Receive(milliseconds(0)));
  t.relay.Heal();
  t.a.Send(t.at("c"), "healed");
  EXPECT_EQ(t.c.Receive(), "healed");
  // A partition named by an endpoint; endpoints that are in no side still reach each other.
  t.relay.Partition({{"c"}});
  t.a.Send(t.at("c"), "alone");
  t.a.Send(t.at("b"), "not alone");
  EXPECT_EQ(t.b.Receive(), "not alone");
  EXPECT_FALSE(t.c.Receive(kQuietTime));
  t.relay.ClearFaults();
  t.a.Send(t.at("c"), "cleared");
  EXPECT_EQ(t.c.Receive(), "cleared");
  EXPECT_THROW(t.relay.Cut("bole", "nowhere"), std::logic_error);
}

TEST(FaultyRelayTcp, CutBuffersBytesAndResetsUntilHealed) {
  Pair p;
  const Socket client = Connect(p.port);
  Socket server = Accept(p.listener);
  p.relay.Cut("bole", "kality");
  Write(client, "held");
  EXPECT_EQ(ReadOnce(server, kQuietTime), ReadResult::kTimedOut);
  Write(server, "back");  // one way only
  EXPECT_EQ(ReadOnce(client), ReadResult::kBytes);
  p.relay.Restore("bole", "kality");
  std::string received;
  EXPECT_EQ(ReadOnce(server, kTimeout, &received), ReadResult::kBytes);
  EXPECT_EQ(received, "held");

  // The end of a process on one side does not reach the other side either, until the cut is healed.
  p.relay.Partition({{"a"}, {"b"}});
  const Socket late = Connect(p.port);
  EXPECT_FALSE(p.listener.Ready(kQuietTime));
  const linger at_once{1, 0};
  ::setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  server.Close();
  EXPECT_EQ(ReadOnce(client, kQuietTime), ReadResult::kTimedOut);
  p.relay.Heal();
  EXPECT_EQ(ReadOnce(client), ReadResult::kReset);
  const Socket accepted = Accept(p.listener);
  Write(late, "late");
  EXPECT_EQ(ReadOnce(accepted), ReadResult::kBytes);
}

TEST(FaultyRelayTcp, ResetReachesBothSidesAndRefusalResetsNewConnections) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  Write(client, "question");
  EXPECT_EQ(ReadOnce(server), ReadResult::kBytes);
  p.relay.ResetConnections("a", "b");
  EXPECT_EQ(ReadOnce(client), ReadResult::kReset);
  EXPECT_EQ(ReadOnce(server), ReadResult::kReset);
  p.relay.ChangeFaults("a", "b", [](auto& faults) { faults.reset_connections = true; });
  EXPECT_EQ(ReadOnce(Connect(p.port)), ReadResult::kReset);
  EXPECT_FALSE(p.listener.Ready(milliseconds(0)));
  EXPECT_EQ(p.relay.counts("a", "b").resets, 2U);
  p.relay.ClearFaults();
  // No process listens behind the relay.
  p.listener.Close();
  EXPECT_EQ(ReadOnce(Connect(p.port)), ReadResult::kReset);
}

}  // namespace
}  // namespace mothrack::testing
