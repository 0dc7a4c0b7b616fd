// The real program between scripted resolvers and DNS clients. UPDATE runs at most once; retransmissions of a
// query are one query.
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

#include "dns/closed_port.h"
#include "dns/dns_helpers.h"
#include "gtest/gtest.h"
#include "standins/dns_client.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using Script = StandinResolver::Script;
using Responder = StandinResolver::Responder;

// ---- Updates ----

TEST(Update, RunsOnce) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets update = MakeUpdate("example.org", 77, "host");
  const auto answer = client.Query(update);
  ASSERT_TRUE(answer);
  EXPECT_EQ(RcodeOf(*answer), 0);
  // After a lost answer, a retransmission gets the same answer and the UPDATE does not run again.
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client.Query(update), answer);
  EXPECT_EQ(resolver.queries(), 1);
  // Another UPDATE under the same id is a new one.
  ASSERT_TRUE(client.Query(MakeUpdate("example.org", 77, "other")));
  EXPECT_EQ(resolver.queries(), 2);
}

TEST(Update, IsNotSentAgainWhenItMayHaveRun) {
  enum class Way { kUnresponsive, kReset, kTruncated };
  for (const Way way : {Way::kUnresponsive, Way::kReset, Way::kTruncated}) {
    const Script script = [way](Responder& responder) {
      AnswerSpec spec;
      spec.truncated = true;
      if (way == Way::kReset) return responder.Reset();
      if (way == Way::kTruncated) return responder.Answer(spec);
    };
    StandinResolver one(script);
    StandinResolver two(script);
    const std::string classes =
        "[[dns.class]]\nname = \"update\"\nopcode = \"UPDATE\"\naim_ms = 200\ndeadline_ms = 400\n";
    Node node(DnsOnlyOptions(
        OperatorFile(ResolverList().Add("r1", one.address()).Add("r2", two.address()), classes)));
    ASSERT_TRUE(node.DnsListening());
    Octets update = MakeUpdate("example.org", 5, "host");
    std::optional<Octets> answer;
    if (way == Way::kReset) {
      DnsTcpClient client(node.dns_port());
      answer = client.Query(update);
    } else {
      DnsUdpClient client(node.dns_port());
      answer = client.Query(update);
      EXPECT_EQ(client.Query(update), answer) << "no second run";
    }
    ASSERT_TRUE(answer) << static_cast<int>(way);
    EXPECT_EQ(RcodeOf(*answer), kServFail);
    std::this_thread::sleep_for(kQuietPeriod);
    EXPECT_EQ(one.queries() + two.queries(), 1) << static_cast<int>(way);
  }
}

// The good resolver of the node has to run the update once.
void ExpectRunsOnce(Node& node, StandinResolver& good, std::uint16_t id) {
  const int before = good.queries();
  const Octets update = MakeUpdate("example.org", id, "host");
  const auto answer =
      id % 2 == 0 ? DnsUdpClient(node.dns_port()).Query(update) : DnsTcpClient(node.dns_port()).Query(update);
  ASSERT_TRUE(answer);
  EXPECT_EQ(RcodeOf(*answer), 0);
  EXPECT_EQ(good.queries(), before + 1);
}

constexpr std::uint16_t kUpdates = 6;      // over UDP and TCP in turn
constexpr std::uint16_t kMaxUpdates = 60;  // bound for reaching a resolver over each protocol

TEST(Update, IsRetriedIfRefusedByAClosedPort) {
  StandinResolver good(StandinResolver::Echo());
  const ClosedPort closed;
  Node node(
      DnsOnlyOptions(OperatorFile(ResolverList().Add("bad", closed.address()).Add("good", good.address()))));
  ASSERT_TRUE(node.DnsListening());
  for (std::uint16_t id = 0; id < kUpdates; ++id) ASSERT_NO_FATAL_FAILURE(ExpectRunsOnce(node, good, id));
}

// REFUSED is answered before anything runs. It also counts as a sign of overload, after which a node may
// reject updates without any attempt. So each update is sent to a new node, until the refusing resolver got
// one over each protocol.
TEST(Update, IsRetriedIfRefusedBeforeItWasSeen) {
  StandinResolver good(StandinResolver::Echo());
  StandinResolver refusing([](Responder& responder) {
    AnswerSpec spec;
    spec.rcode = kRefused;
    responder.Answer(spec);
  });
  const std::string file =
      OperatorFile(ResolverList().Add("bad", refusing.address()).Add("good", good.address()));
  const auto saw_both_protocols = [&] { return refusing.udp_queries() > 0 && refusing.tcp_queries() > 0; };
  for (std::uint16_t id = 0; id < kUpdates || (id < kMaxUpdates && !saw_both_protocols()); ++id) {
    Node node(DnsOnlyOptions(file));
    ASSERT_TRUE(node.DnsListening());
    ASSERT_NO_FATAL_FAILURE(ExpectRunsOnce(node, good, id));
  }
  EXPECT_GE(refusing.udp_queries(), 1);
  EXPECT_GE(refusing.tcp_queries(), 1);
}

// Each UPDATE over UDP uses its own socket, so that an ICMP error of another datagram is not attributed to
// it.
TEST(Update, UsesTheTransportOfTheClient) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient udp(node.dns_port());
  ASSERT_TRUE(udp.Query(MakeUpdate("example.org", 1, "a")));
  ASSERT_TRUE(udp.Query(MakeUpdate("example.org", 2, "b")));
  EXPECT_EQ(resolver.udp_queries(), 2);
  EXPECT_NE(resolver.seen()[0].from_port, resolver.seen()[1].from_port);
  DnsTcpClient tcp(node.dns_port());
  ASSERT_TRUE(tcp.Query(MakeUpdate("example.org", 3, "c")));
  EXPECT_EQ(resolver.tcp_queries(), 1);
}

// ---- Retransmissions ----

TEST(Retransmission, OfAnOpenQueryIsNoSecondQuery) {
  std::atomic<bool> answering{false};
  StandinResolver resolver([&](Responder& responder) {
    if (NameOf(responder.query()) != "slow.org") return responder.Answer();
    responder.SendAfter(milliseconds(400), MakeAnswer(responder.query()));
  });
  const std::string file = OperatorFile(ResolverList().Add("r1", resolver.address()));
  Node node(DnsOnlyOptions(file));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets query = MakeQuery(QueryFor("slow.org"));
  for (int i = 0; i < 5; ++i) client.Send(query);
  // The same id with another question is another query, and so is another client's.
  client.Send(MakeQuery(QueryFor("fast.org")));
  DnsUdpClient other(node.dns_port());
  EXPECT_TRUE(other.Query(query));
  std::map<std::string, int> answers;
  while (const auto answer = client.Receive(milliseconds(600))) ++answers[NameOf(*answer)];
  EXPECT_EQ(answers["slow.org"], 1);
  EXPECT_EQ(answers["fast.org"], 1);
  EXPECT_EQ(resolver.queries(), 3);
  EXPECT_EQ(ReadCounter(node, file, "retransmissions"), 4);
}

}  // namespace
}  // namespace mothrack::testing
